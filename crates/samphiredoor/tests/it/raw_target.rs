//! A simulated target on a plain TCP socket, which sends scripted replies and records what it ran.

use std::{
    collections::VecDeque,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
};

/// Scripted handling of one request.
#[derive(Debug, Clone)]
pub enum Reply {
    /// The connection is closed after part of the request has arrived and before anything is read; it does not run.
    CloseUnread,
    /// The request runs, and the connection is closed without an answer.
    Close,
    /// The request runs, and gets a complete answer with this body.
    Whole(&'static str),
    /// The request runs; these bytes are sent and the connection is closed.
    SendAndClose(&'static str),
    /// The request runs; these bytes are sent and the connection stays open.
    Send(&'static str),
    /// The request runs; the first bytes are sent, and then the second ones again and again until the client closes.
    Endless(&'static str, String),
    /// The request runs, and gets an answer with this body after a message at the receiver.
    Gated(flume::Receiver<()>, &'static str),
}

#[derive(Default)]
struct State {
    /// Text in a request body that crashes the target.
    crash_on: Option<&'static str>,
    dead: bool,
    listener_closed: bool,
    streams: Vec<TcpStream>,
    script: VecDeque<Reply>,
    ran: Vec<String>,
    connections: usize,
    closed_by_client: usize,
    endless_closed: usize,
}

/// Handle to a simulated target.
#[derive(Clone)]
pub struct RawTarget {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl RawTarget {
    /// Starts a target that uses one reply of `script` for each request, and answers `ok` after the last one.
    pub fn start(script: impl IntoIterator<Item = Reply>) -> RawTarget {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let state = State { script: script.into_iter().collect(), ..State::default() };
        let target = RawTarget { address, state: Arc::new(Mutex::new(state)) };
        let accepting = target.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.is_dead() {
                    break;
                }
                let target = accepting.clone();
                thread::spawn(move || target.serve(stream));
            }
            drop(listener);
            accepting.state.lock().expect("not poisoned").listener_closed = true;
        });
        target
    }

    /// Lets the target crash at the first request that contains `text`: its listener and connections are closed.
    pub fn with_crash_on(self, text: &'static str) -> RawTarget {
        self.state.lock().expect("not poisoned").crash_on = Some(text);
        self
    }

    /// Whether a request has crashed it.
    pub fn is_dead(&self) -> bool {
        self.state.lock().expect("not poisoned").dead
    }

    /// Bodies of the requests that ran, in order.
    pub fn ran(&self) -> Vec<String> {
        self.state.lock().expect("not poisoned").ran.clone()
    }

    /// Number of connections on which a request arrived.
    pub fn connections(&self) -> usize {
        self.state.lock().expect("not poisoned").connections
    }

    /// Number of connections that the client closed.
    pub fn closed_by_client(&self) -> usize {
        self.state.lock().expect("not poisoned").closed_by_client
    }

    /// Number of endless replies that the client closed.
    pub fn endless_closed(&self) -> usize {
        self.state.lock().expect("not poisoned").endless_closed
    }

    fn serve(&self, mut stream: TcpStream) {
        self.store_stream_if_crashing(&stream);
        if self.closes_unread() {
            // Wait for the first byte: the gateway may notice an earlier close in time, and then it has sent nothing.
            let _ = stream.peek(&mut [0]);
            return;
        }
        let mut is_counted = false;
        while let Some(request) = read_request(&mut stream) {
            // A load poll is not counted as a run.
            let Request::Call(body) = request else {
                let _ = stream.write_all(b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n");
                continue;
            };
            let reply = {
                let mut state = self.state.lock().expect("not poisoned");
                let crashes = state.crash_on.is_some_and(|it| body.contains(it));
                state.ran.push(body);
                state.connections += usize::from(!is_counted);
                is_counted = true;
                if crashes {
                    drop(state);
                    return self.crash();
                }
                state.script.pop_front().unwrap_or(Reply::Whole("ok"))
            };
            let is_endless = matches!(reply, Reply::Endless(..));
            let stays_open = send_reply(reply, &mut stream);
            self.state.lock().expect("not poisoned").endless_closed += usize::from(is_endless);
            if !stays_open {
                return;
            }
        }
        self.state.lock().expect("not poisoned").closed_by_client += 1;
    }

    fn crash(&self) {
        let streams = {
            let mut state = self.state.lock().expect("not poisoned");
            state.dead = true;
            std::mem::take(&mut state.streams)
        };
        // Wakes the thread of the listener, which then drops it. The connections are closed after that.
        let _ = TcpStream::connect(self.address);
        while !self.state.lock().expect("not poisoned").listener_closed {
            thread::yield_now();
        }
        for stream in streams {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// A stored handle keeps its connection open, so only a target that may crash stores them.
    fn store_stream_if_crashing(&self, stream: &TcpStream) {
        let mut state = self.state.lock().expect("not poisoned");
        if state.crash_on.is_some() {
            state.streams.extend(stream.try_clone());
        }
    }

    fn closes_unread(&self) -> bool {
        let mut state = self.state.lock().expect("not poisoned");
        let closes = matches!(state.script.front(), Some(Reply::CloseUnread));
        if closes {
            state.script.pop_front();
        }
        closes
    }
}

/// Sends a reply; returns whether the connection stays open.
fn send_reply(reply: Reply, stream: &mut TcpStream) -> bool {
    match reply {
        Reply::CloseUnread | Reply::Close => false,
        Reply::Whole(body) => stream.write_all(complete_answer(body).as_bytes()).is_ok(),
        Reply::SendAndClose(text) => {
            let _ = stream.write_all(text.as_bytes());
            false
        }
        Reply::Send(text) => stream.write_all(text.as_bytes()).is_ok(),
        Reply::Endless(start, repeated) => {
            let _ = stream.write_all(start.as_bytes());
            while stream.write_all(repeated.as_bytes()).is_ok() {}
            false
        }
        Reply::Gated(gate, body) => {
            let _ = gate.recv();
            stream.write_all(complete_answer(body).as_bytes()).is_ok()
        }
    }
}

fn complete_answer(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

enum Request {
    LoadPoll,
    Call(String),
}

/// Reads the next request; `None` once the client has closed the connection.
fn read_request(stream: &mut TcpStream) -> Option<Request> {
    let mut read = Vec::new();
    loop {
        if let Some(end) = read.windows(4).position(|it| it == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&read[..end]).to_lowercase();
            let length = head.lines().find_map(|it| it.strip_prefix("content-length:"));
            let length: usize = length.and_then(|it| it.trim().parse().ok()).unwrap_or(0);
            while read.len() < end + 4 + length {
                read_more(stream, &mut read)?;
            }
            if head.starts_with("get ") {
                return Some(Request::LoadPoll);
            }
            return Some(Request::Call(String::from_utf8_lossy(&read[end + 4..]).into_owned()));
        }
        read_more(stream, &mut read)?;
    }
}

fn read_more(stream: &mut TcpStream, read: &mut Vec<u8>) -> Option<()> {
    let mut buffer = [0; 4_096];
    let count = stream.read(&mut buffer).ok().filter(|it| *it > 0)?;
    read.extend_from_slice(&buffer[..count]);
    Some(())
}
