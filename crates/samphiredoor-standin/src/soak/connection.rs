//! A caller's HTTP connection to a gateway over plain sockets, so that the received part of a cut answer and
//! unsolicited bytes are visible.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use socket2::{Domain, Socket, Type};

use crate::fleet::HOST;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_HEADERS: usize = 64;
/// Receive buffer of a slow caller, near the least that the system allows.
const SLOW_BUFFER_BYTES: usize = 4 * 1024;
const BUFFER_BYTES: usize = 16 * 1024;

/// Request of a caller.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Method.
    pub method: &'a str,
    /// Path with query.
    pub path: &'a str,
    /// Headers other than `Host` and `Content-Length`.
    pub headers: &'a [(&'a str, &'a str)],
    /// Body.
    pub body: &'a str,
    /// Timeout for the whole answer.
    pub timeout: Duration,
}

/// Received part of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Reply {
    /// Status; 0 if no response head was received.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Received part of the body.
    pub body: Vec<u8>,
    /// Whether the answer was received to its end.
    pub is_complete: bool,
}

impl Reply {
    /// Value of a header; names are compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name)).map(|(_, it)| it.as_str())
    }

    /// Whether the status guarantees that the request has not run and never will.
    pub fn is_refusal(&self) -> bool {
        matches!(self.status, 408 | 421 | 429 | 503)
    }

    /// Whether the request was refused as it is suspected of crashing targets.
    pub fn is_quarantined(&self) -> bool {
        self.status == 503 && String::from_utf8_lossy(&self.body).contains("quarantined")
    }
}

/// Keep-alive connection that stays open until the gateway closes it.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
    is_slow: bool,
    opened_at: Instant,
}

impl Connection {
    /// Connects to a gateway, with a timeout of [`CONNECT_TIMEOUT`].
    ///
    /// # Errors
    ///
    /// The gateway cannot be reached.
    pub fn open(address: SocketAddr) -> io::Result<Connection> {
        let opened_at = Instant::now();
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        Ok(Connection { stream, buffer: Vec::new(), is_slow: false, opened_at })
    }

    /// Connects like [`Connection::open`], with a small receive buffer: what the caller has not read stays at the gateway.
    ///
    /// # Errors
    ///
    /// The gateway cannot be reached.
    pub fn open_slow(address: SocketAddr) -> io::Result<Connection> {
        let opened_at = Instant::now();
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_recv_buffer_size(SLOW_BUFFER_BYTES)?;
        socket.connect_timeout(&address.into(), CONNECT_TIMEOUT)?;
        let stream = TcpStream::from(socket);
        stream.set_nodelay(true)?;
        Ok(Connection { stream, buffer: Vec::new(), is_slow: true, opened_at })
    }

    /// When it was opened.
    pub fn opened_at(&self) -> Instant {
        self.opened_at
    }

    /// Whether it was opened by [`Connection::open_slow`].
    pub fn is_slow(&self) -> bool {
        self.is_slow
    }

    /// Sends a request without waiting for its answer.
    ///
    /// # Errors
    ///
    /// The request cannot be sent.
    pub fn send(&mut self, request: &Request<'_>) -> io::Result<()> {
        let length = request.body.len().to_string();
        let headers = [request.headers, &[("Content-Length", length.as_str())]].concat();
        let head = request_head(request.method, request.path, &headers);
        self.stream.write_all((head + request.body).as_bytes())
    }

    /// Sends the head of a request with these headers besides `Host`, and no body.
    ///
    /// # Errors
    ///
    /// The head cannot be sent.
    pub fn send_head(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
    ) -> io::Result<()> {
        self.stream.write_all(request_head(method, path, headers).as_bytes())
    }

    /// Sends a part of a request's body.
    ///
    /// # Errors
    ///
    /// It cannot be sent.
    pub fn send_part(&mut self, part: &str) -> io::Result<()> {
        self.stream.write_all(part.as_bytes())
    }

    /// Reads the answer to the request that was sent; also returns whether the connection can be reused.
    pub fn receive(&mut self, timeout: Duration) -> (Reply, bool) {
        let deadline = Instant::now() + timeout;
        let mut reply = Reply::default();
        let end = loop {
            match parse(&self.buffer, &mut reply) {
                Parsed::Complete(used) => {
                    self.buffer.drain(..used);
                    break AnswerEnd::Framing;
                }
                Parsed::Incomplete => {}
            }
            match self.read_more(deadline) {
                Ok(0) => break AnswerEnd::Closed,
                Ok(_) => {}
                Err(_) => break AnswerEnd::Failed,
            }
        };
        let has_length = reply.header("content-length").is_some() || is_chunked(&reply);
        reply.is_complete = match end {
            AnswerEnd::Framing => true,
            AnswerEnd::Closed => reply.status > 0 && !has_length,
            AnswerEnd::Failed => false,
        };
        let is_closing =
            reply.header("connection").is_some_and(|it| it.eq_ignore_ascii_case("close"));
        let is_reusable = end == AnswerEnd::Framing && !is_closing;
        (reply, is_reusable)
    }

    /// Whether bytes were received that don't belong to an answer.
    pub fn has_stray_bytes(&mut self) -> bool {
        let mut chunk = [0; 1];
        let _ = self.stream.set_nonblocking(true);
        let has_unread = matches!(self.stream.peek(&mut chunk), Ok(1..));
        let _ = self.stream.set_nonblocking(false);
        has_unread || !self.buffer.is_empty()
    }

    /// Reads more bytes; returns their number, 0 after the connection was closed in order.
    fn read_more(&mut self, deadline: Instant) -> io::Result<usize> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut chunk = [0; BUFFER_BYTES];
        let read = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..read]);
        Ok(read)
    }
}

fn request_head(method: &str, path: &str, headers: &[(&str, &str)]) -> String {
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head + "\r\n"
}

/// Sends one request on a new connection.
pub fn call(address: SocketAddr, request: &Request<'_>) -> Reply {
    let Ok(mut connection) = Connection::open(address) else { return Reply::default() };
    match connection.send(request) {
        Ok(()) => connection.receive(request.timeout).0,
        Err(_) => Reply::default(),
    }
}

/// How the receipt of an answer has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AnswerEnd {
    /// At the end of its length or chunks.
    Framing,
    /// The connection was closed in order.
    Closed,
    /// The connection was reset, or the time is over.
    Failed,
}

enum Parsed {
    /// The answer is complete and takes this number of bytes.
    Complete(usize),
    /// More bytes are needed.
    Incomplete,
}

fn is_chunked(reply: &Reply) -> bool {
    reply.header("transfer-encoding").is_some()
}

/// Parses the received part of an answer into `reply`.
fn parse(buffer: &[u8], reply: &mut Reply) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let Ok(httparse::Status::Complete(head)) = response.parse(buffer) else {
        return Parsed::Incomplete;
    };
    let text = |it: &[u8]| String::from_utf8_lossy(it).into_owned();
    reply.status = response.code.unwrap_or(0);
    reply.headers =
        response.headers.iter().map(|it| (it.name.to_owned(), text(it.value))).collect();
    let body = &buffer[head..];
    if is_chunked(reply) {
        return parse_chunks(body, head, reply);
    }
    let length = reply.header("content-length").and_then(|it| it.parse::<usize>().ok());
    let received = length.map_or(body.len(), |it| body.len().min(it));
    reply.body = body[..received].to_vec();
    if length == Some(received) { Parsed::Complete(head + received) } else { Parsed::Incomplete }
}

fn parse_chunks(body: &[u8], head: usize, reply: &mut Reply) -> Parsed {
    let mut at = 0;
    reply.body.clear();
    loop {
        let Ok(httparse::Status::Complete((skip, size))) = httparse::parse_chunk_size(&body[at..])
        else {
            return Parsed::Incomplete;
        };
        let (first, size) = (at + skip, size as usize);
        let received = &body[first..body.len().min(first + size)];
        reply.body.extend_from_slice(received);
        at = first + size + 2;
        if body.len() < at {
            return Parsed::Incomplete;
        }
        if size == 0 {
            return Parsed::Complete(head + at);
        }
    }
}
