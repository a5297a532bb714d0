//! Splits server-sent event streams into whole events.
//!
//! A target may fail in the middle of an event. Only whole events are forwarded, so that another target can resume the
//! stream after the last one.

use bytes::{Bytes, BytesMut};
use hyper::{HeaderMap, header};

/// Content type of an event stream.
const CONTENT_TYPE: &str = "text/event-stream";

/// Whether an answer is an event stream, by its content type.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE).and_then(|it| it.to_str().ok());
    content_type.is_some_and(|it| it.starts_with(CONTENT_TYPE))
}

/// One whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Bytes of the event, with the blank line that ends it.
    pub raw: Bytes,
    /// Number in the last `id` field, if there is one.
    pub id: Option<u64>,
}

impl Event {
    fn new(raw: Bytes) -> Event {
        let id = fields(&raw).filter(|(name, _)| *name == b"id").last();
        let id = id.and_then(|(_, value)| std::str::from_utf8(value).ok()?.trim().parse().ok());
        Event { raw, id }
    }

    /// Appends the data lines of the event to `text`, separated by line feeds. `is_first` means that no data has been
    /// appended before, so that no line feed comes first.
    pub fn append_data(&self, text: &mut Vec<u8>, is_first: bool) {
        let mut first = is_first;
        for (_, data) in fields(&self.raw).filter(|(name, _)| *name == b"data") {
            if !std::mem::take(&mut first) {
                text.push(b'\n');
            }
            text.extend_from_slice(data);
        }
    }

    /// Whether the event has a data line.
    pub fn has_data(&self) -> bool {
        fields(&self.raw).any(|(name, _)| name == b"data")
    }
}

/// Name and value of each line of an event, without the space after the colon.
fn fields(raw: &[u8]) -> impl Iterator<Item = (&[u8], &[u8])> {
    raw.split(|it| *it == b'\n').filter_map(|line| {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let colon = line.iter().position(|it| *it == b':')?;
        let (name, value) = (&line[..colon], &line[colon + 1..]);
        Some((name, value.strip_prefix(b" ").unwrap_or(value)))
    })
}

/// Collects bytes as they arrive and returns whole events.
#[derive(Debug, Default)]
pub struct EventBuffer {
    rest: BytesMut,
}

impl EventBuffer {
    /// Appends received bytes.
    pub fn push(&mut self, data: &[u8]) {
        self.rest.extend_from_slice(data);
    }

    /// Whether a whole event has arrived.
    pub fn has_event(&self) -> bool {
        end_of_event(&self.rest).is_some()
    }

    /// Takes the next whole event; `None` until it has arrived.
    pub fn take_event(&mut self) -> Option<Event> {
        let end = end_of_event(&self.rest)?;
        Some(Event::new(self.rest.split_to(end).freeze()))
    }

    /// Whether the bytes that are left are a part of an event. Blank lines and whole comments are none.
    pub fn is_inside_event(&self) -> bool {
        let mut lines = self.rest.split_inclusive(|it| *it == b'\n');
        lines.any(|line| {
            let Some(line) = line.strip_suffix(b"\n") else { return true };
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            !line.is_empty() && !line.starts_with(b":")
        })
    }

    /// Number of bytes after the last whole event.
    pub fn unfinished_bytes(&self) -> usize {
        self.rest.len()
    }

    /// Takes all bytes that are left, as at the end of the stream.
    pub fn take_rest(&mut self) -> Bytes {
        self.rest.split().freeze()
    }
}

/// Index after the blank line that ends the first event.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let feeds = bytes.iter().enumerate().filter(|(_, it)| **it == b'\n').map(|(at, _)| at);
    feeds.into_iter().find_map(|at| match &bytes[at + 1..] {
        [b'\n', ..] => Some(at + 2),
        [b'\r', b'\n', ..] => Some(at + 3),
        _ => None,
    })
}
