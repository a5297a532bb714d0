//! Answers that never end: the target sends bytes until the caller closes the connection.

use std::{
    io::{self, Write},
    thread,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::stamp_header;

/// Size of the pieces in which bytes are sent.
const PIECE_BYTES: usize = 16 * 1024;
/// Length of a header, line or comment that is sent again and again.
const LINE_BYTES: usize = 64;
/// Pause after each piece of bytes that come slowly.
const SLOW_PAUSE: Duration = Duration::from_millis(100);

/// What a target sends without end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndlessBytes {
    /// Bytes in place of a head.
    NoHead,
    /// Headers of one head.
    Head,
    /// Interim heads (100 Continue).
    InterimHeads,
    /// Bytes of one line inside the first event of a run.
    FirstEvent,
    /// Data lines of the first event of a run.
    DataLines,
    /// Bytes of one line inside the second event of a run.
    SecondEvent,
    /// Comment lines after the first event of a run.
    CommentLines,
    /// Comments that blank lines end, after the first event of a run.
    Comments,
    /// Blank lines after the first event of a run.
    BlankLines,
    /// Single bytes inside the first event of a run, with pauses.
    SlowFirstEvent,
    /// Comments after the first event of a run, with pauses.
    SlowComments,
    /// The body of a success that is no event stream.
    WholeAnswer,
    /// The body of a failure (500).
    Failure,
}

impl EndlessBytes {
    /// Begin of the answer, and the bytes that follow it again and again. `first` is the number of the run's first event.
    fn parts(self, id: &str, first: u64) -> (String, Vec<u8>) {
        let line = |begin: &str| format!("{begin}{:-<LINE_BYTES$}\n", "");
        match self {
            EndlessBytes::NoHead => (String::new(), vec![b'-'; PIECE_BYTES]),
            EndlessBytes::Head => (
                "HTTP/1.1 200 OK\r\n".to_owned(),
                repeated(&format!("X-More: {}\r\n", line("").trim())),
            ),
            EndlessBytes::InterimHeads => {
                (String::new(), repeated("HTTP/1.1 100 Continue\r\n\r\n"))
            }
            EndlessBytes::FirstEvent => (stream_head(id) + &chunk("data: "), endless_chunk("-")),
            EndlessBytes::DataLines => (stream_head(id), endless_chunk(&line("data: "))),
            EndlessBytes::SecondEvent => {
                (stream_head(id) + &event(first) + &chunk("data: "), endless_chunk("-"))
            }
            EndlessBytes::CommentLines => {
                (stream_head(id) + &event(first), endless_chunk(&line(": ")))
            }
            EndlessBytes::Comments => {
                (stream_head(id) + &event(first), endless_chunk(&(line(": ") + "\n")))
            }
            EndlessBytes::BlankLines => (stream_head(id) + &event(first), endless_chunk("\n")),
            EndlessBytes::SlowFirstEvent => {
                (stream_head(id) + &chunk("data: "), chunk("-").into_bytes())
            }
            EndlessBytes::SlowComments => {
                (stream_head(id) + &event(first), chunk(":\n\n").into_bytes())
            }
            EndlessBytes::WholeAnswer => (head("200 OK", "text/plain", id), endless_chunk("-")),
            EndlessBytes::Failure => {
                (head("500 Internal Server Error", "text/plain", id), endless_chunk("-"))
            }
        }
    }

    /// Pause after each piece.
    fn pause(self) -> Duration {
        match self {
            EndlessBytes::SlowFirstEvent | EndlessBytes::SlowComments => SLOW_PAUSE,
            _ => Duration::ZERO,
        }
    }

    /// Sends bytes until the caller closes the connection, as the error tells.
    pub(super) fn send(
        self,
        stream: &mut impl Write,
        id: &str,
        after: Option<u64>,
    ) -> io::Result<()> {
        let (begin, more) = self.parts(id, after.unwrap_or(0) + 1);
        stream.write_all(begin.as_bytes())?;
        loop {
            stream.write_all(&more)?;
            thread::sleep(self.pause());
        }
    }
}

fn head(status: &str, content_type: &str, id: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nContent-Type: {content_type}\r\nTransfer-Encoding: chunked\r\nX-Request-Id: {id}\r\n{}\r\n",
        stamp_header(id)
    )
}

fn stream_head(id: &str) -> String {
    head("200 OK", "text/event-stream", id)
}

fn event(number: u64) -> String {
    chunk(&format!("id: {number}\ndata: piece-{number}\n\n"))
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn repeated(text: &str) -> Vec<u8> {
    text.repeat(PIECE_BYTES / text.len()).into_bytes()
}

/// A chunk of a text that is repeated.
fn endless_chunk(text: &str) -> Vec<u8> {
    chunk(&text.repeat(PIECE_BYTES / text.len())).into_bytes()
}
