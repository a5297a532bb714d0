//! A caller's connection to a gateway, over plain sockets, so that it shows what came of an answer that was cut and
//! whether bytes came that nobody asked for.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use crate::fleet::HOST;

const CONNECT_LIMIT: Duration = Duration::from_secs(1);
const MAX_HEADERS: usize = 64;
const PIECE_BYTES: usize = 16 * 1024;

/// A caller's request.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Headers beside the host and the length.
    pub headers: &'a [(&'a str, &'a str)],
    /// Body.
    pub body: &'a str,
    /// Longest wait for the whole answer.
    pub limit: Duration,
}

/// What came of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Reply {
    /// Status; 0 if no head came.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body as far as it came.
    pub body: Vec<u8>,
    /// Whether the answer came to its end.
    pub is_whole: bool,
}

impl Reply {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name)).map(|(_, it)| it.as_str())
    }

    /// Whether the answer promises that the request has not run and never will.
    pub fn is_refusal(&self) -> bool {
        matches!(self.status, 408 | 421 | 429 | 503)
    }
}

/// A connection that is kept open until its far side ends it.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    /// Connects to a gateway.
    ///
    /// # Errors
    ///
    /// Why it cannot be reached.
    pub fn open(address: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_LIMIT)?;
        stream.set_nodelay(true)?;
        Ok(Connection { stream, buffer: Vec::new() })
    }

    /// Sends a request without waiting for its answer.
    ///
    /// # Errors
    ///
    /// Why it cannot be sent.
    pub fn send(&mut self, request: &Request<'_>) -> io::Result<()> {
        let mut head = format!("{} {} HTTP/1.1\r\nHost: {HOST}\r\n", request.method, request.path);
        for (name, value) in request.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", request.body.len()));
        self.stream.write_all((head + request.body).as_bytes())
    }

    /// Reads the answer to a request that was sent; says whether the connection goes on.
    pub fn receive(&mut self, limit: Duration) -> (Reply, bool) {
        let until = Instant::now() + limit;
        let mut reply = Reply::default();
        let ended = loop {
            match parse(&self.buffer, &mut reply) {
                Parsed::Whole(used) => {
                    self.buffer.drain(..used);
                    break false;
                }
                Parsed::Part => {}
            }
            if !self.read_more(until) {
                break true;
            }
        };
        let has_length = reply.header("content-length").is_some() || is_chunked(&reply);
        reply.is_whole = !ended || (reply.status > 0 && !has_length && Instant::now() < until);
        let closes = reply.header("connection").is_some_and(|it| it.eq_ignore_ascii_case("close"));
        let goes_on = !ended && !closes;
        (reply, goes_on)
    }

    /// Whether bytes are there that answer nothing.
    pub fn has_stray_bytes(&mut self) -> bool {
        let mut piece = [0; 1];
        let _ = self.stream.set_nonblocking(true);
        let waiting = matches!(self.stream.peek(&mut piece), Ok(1..));
        let _ = self.stream.set_nonblocking(false);
        waiting || !self.buffer.is_empty()
    }

    fn read_more(&mut self, until: Instant) -> bool {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() || self.stream.set_read_timeout(Some(left)).is_err() {
            return false;
        }
        let mut piece = [0; PIECE_BYTES];
        match self.stream.read(&mut piece) {
            Ok(read @ 1..) => {
                self.buffer.extend_from_slice(&piece[..read]);
                true
            }
            _ => false,
        }
    }
}

/// Makes one call on a connection of its own.
pub fn call(address: SocketAddr, request: &Request<'_>) -> Reply {
    let Ok(mut connection) = Connection::open(address) else { return Reply::default() };
    match connection.send(request) {
        Ok(()) => connection.receive(request.limit).0,
        Err(_) => Reply::default(),
    }
}

enum Parsed {
    /// The answer is there, in so many bytes.
    Whole(usize),
    /// More must come.
    Part,
}

fn is_chunked(reply: &Reply) -> bool {
    reply.header("transfer-encoding").is_some()
}

/// Reads what is there of an answer.
fn parse(buffer: &[u8], reply: &mut Reply) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let Ok(httparse::Status::Complete(head)) = response.parse(buffer) else { return Parsed::Part };
    let text = |it: &[u8]| String::from_utf8_lossy(it).into_owned();
    reply.status = response.code.unwrap_or(0);
    reply.headers =
        response.headers.iter().map(|it| (it.name.to_owned(), text(it.value))).collect();
    let body = &buffer[head..];
    if is_chunked(reply) {
        return parse_chunks(body, head, reply);
    }
    let length = reply.header("content-length").and_then(|it| it.parse::<usize>().ok());
    let there = length.map_or(body.len(), |it| body.len().min(it));
    reply.body = body[..there].to_vec();
    if length == Some(there) { Parsed::Whole(head + there) } else { Parsed::Part }
}

fn parse_chunks(body: &[u8], head: usize, reply: &mut Reply) -> Parsed {
    let mut at = 0;
    reply.body.clear();
    loop {
        let Ok(httparse::Status::Complete((skip, size))) = httparse::parse_chunk_size(&body[at..])
        else {
            return Parsed::Part;
        };
        let (first, size) = (at + skip, size as usize);
        let there = &body[first..body.len().min(first + size)];
        reply.body.extend_from_slice(there);
        at = first + size + 2;
        if body.len() < at {
            return Parsed::Part;
        }
        if size == 0 {
            return Parsed::Whole(head + at);
        }
    }
}
