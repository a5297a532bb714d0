//! Simulated replica of the platform (a target), over plain sockets, so that it can send invalid and incomplete
//! answers.

mod endless;
mod holds;
mod runs;
mod wrong_resumption;

use std::{
    collections::{BTreeMap, VecDeque},
    io::{self, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use socket2::{Domain, SockRef, Socket, Type};

pub use endless::EndlessBytes;
pub use runs::{NamedRun, stream_without_names, text_without_names};
pub use wrong_resumption::WrongResumption;

/// Time without an answer; longer than the timeout of any request in tests.
const NO_ANSWER_TIME: Duration = Duration::from_secs(120);
/// Send buffer of a target that aborts unread answers. By default the kernel takes megabytes that nobody has read.
const SEND_BUFFER_BYTES: usize = 16 * 1024;
const MAX_PENDING_CONNECTIONS: i32 = 128;
/// Version of targets that are started without one. The data of its events does not name it.
pub const FIRST_VERSION: &str = "v1";

/// Service of targets that are started without one.
pub const DEFAULT_SERVICE: &str = "reader";

/// Fault with which a request is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetFault {
    /// No fault.
    #[default]
    None,
    /// The connection is closed after this number of events.
    CutAfter(u64),
    /// The request runs, and its connection is closed without an answer.
    AnswerLost,
    /// The request is rejected with 503 and marked as not run.
    Full,
    /// The request runs and fails with 500.
    Fails,
    /// The request runs and crashes the target: its connection and the listener are closed.
    Crashes,
    /// The same after this number of events of an answer without a length or chunks: its connection is closed in order.
    UnframedCrashAfter(u64),
    /// The request runs and is answered with 422: it can never succeed.
    Impossible,
    /// The same, but the connection is closed before the end of the answer's body.
    ImpossibleCut,
    /// An answer that names another request is sent before the correct one.
    Stray,
    /// The request runs and is not answered.
    Silent,
    /// The request runs, and the answer pauses once; new connections are accepted meanwhile.
    Pauses {
        /// Number of events before the pause; `None` for a pause before the first byte.
        after: Option<u64>,
        /// Length of the pause.
        ms: u64,
    },
    /// The answer has neither a length nor chunked framing; it ends with the connection.
    Unframed,
    /// The same, but the connection is closed in order inside the event after this number of events.
    UnframedCutAfter(u64),
    /// The chunks end in order inside the event after this number of events.
    ChunksEndAfter(u64),
    /// The answer to a request with `Last-Event-Id` begins at another event than the next one.
    Resumes(WrongResumption),
    /// The request runs, and bytes are sent until the caller closes the connection.
    Endless(EndlessBytes),
}

impl TargetFault {
    /// Whether the answer has neither a length nor chunks.
    fn is_unframed(self) -> bool {
        matches!(
            self,
            TargetFault::Unframed
                | TargetFault::UnframedCutAfter(_)
                | TargetFault::UnframedCrashAfter(_)
        )
    }

    /// Pauses if the answer does so after this number of events.
    fn pause_after(self, sent: u64) {
        match self {
            TargetFault::Pauses { after: Some(events), ms } if events == sent => {
                thread::sleep(Duration::from_millis(ms));
            }
            _ => {}
        }
    }

    /// Number of events after which the answer breaks off, if it does.
    fn breaks_off_after(self) -> Option<u64> {
        match self {
            TargetFault::CutAfter(events)
            | TargetFault::UnframedCutAfter(events)
            | TargetFault::ChunksEndAfter(events) => Some(events),
            _ => None,
        }
    }
}

/// Request that the target started to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Request id.
    pub id: String,
    /// Number of the event after which it resumes.
    pub after: Option<u64>,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Headers of the request, in order.
    pub headers: Vec<(String, String)>,
    /// When the request arrived.
    pub at: Instant,
}

impl Run {
    /// Values of a header.
    pub fn header_values(&self, name: &str) -> Vec<&str> {
        let headers = self.headers.iter();
        headers.filter(|(it, _)| it.eq_ignore_ascii_case(name)).map(|(_, it)| it.as_str()).collect()
    }
}

#[derive(Debug)]
struct State {
    /// Version of its software, as in its entry.
    version: Arc<str>,
    /// Faults of the next requests, in order.
    faults: VecDeque<TargetFault>,
    /// Faults of requests with a body, at each run.
    faults_by_body: BTreeMap<Vec<u8>, TargetFault>,
    /// Faults of requests by the last byte of their body, at each run.
    faults_by_last_byte: BTreeMap<u8, TargetFault>,
    /// Faults of requests by a part of their prompt other than the last, at each run.
    faults_by_part: BTreeMap<String, TargetFault>,
    runs: Vec<Run>,
    /// Open connections by the addresses of their clients.
    connections: BTreeMap<SocketAddr, TcpStream>,
    events: u64,
    pause: Duration,
    /// Size to which the data of each event is padded in answers to requests without a body.
    event_bytes: usize,
    /// Whether the data of each event names its run.
    names_runs: bool,
    /// Number after which events are held back.
    held_after: Option<u64>,
    /// Size to which the body of a failure is padded.
    failure_bytes: usize,
    /// How long a request runs before it fails with [`TargetFault::Fails`] or [`TargetFault::Impossible`].
    failure_pause: Duration,
    /// How long an answer may stay unread before its connection is closed.
    unread_limit: Option<Duration>,
    /// Ids of requests whose answers were cut because the connection was closed or their data stayed unread.
    cut: Vec<(String, Instant)>,
    /// Answers that are being sent.
    running: usize,
    /// Number of answers that were sent to their end.
    finished: usize,
    /// Until when nothing is sent or read.
    silent_until: Option<Instant>,
    crashed_at: Option<Instant>,
}

/// Handle to a replica; it listens until it crashes or the process ends.
#[derive(Debug, Clone)]
pub struct PlatformTarget {
    /// Name under which it is registered.
    pub name: String,
    /// Service that it serves.
    pub service: &'static str,
    /// Address of its listener.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    listener: Arc<TcpListener>,
    is_crashed: Arc<AtomicBool>,
}

impl PlatformTarget {
    /// Starts a replica that answers with `events` events and waits `pause` after each.
    ///
    /// # Errors
    ///
    /// No port can be listened on.
    pub fn start(name: &str, events: u64, pause: Duration) -> io::Result<PlatformTarget> {
        let listener = listen()?;
        let state = State {
            version: Arc::from(FIRST_VERSION),
            faults: VecDeque::new(),
            faults_by_body: BTreeMap::new(),
            faults_by_last_byte: BTreeMap::new(),
            faults_by_part: BTreeMap::new(),
            runs: Vec::new(),
            connections: BTreeMap::new(),
            events,
            pause,
            event_bytes: 0,
            names_runs: false,
            held_after: None,
            failure_bytes: 0,
            failure_pause: Duration::ZERO,
            unread_limit: None,
            cut: Vec::new(),
            running: 0,
            finished: 0,
            silent_until: None,
            crashed_at: None,
        };
        let target = PlatformTarget {
            name: name.to_owned(),
            service: DEFAULT_SERVICE,
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(state)),
            listener: Arc::new(listener),
            is_crashed: Arc::default(),
        };
        let acceptor = target.clone();
        thread::spawn(move || acceptor.accept());
        Ok(target)
    }

    /// Serves connections until the target crashes.
    fn accept(&self) {
        for stream in self.listener.incoming() {
            if self.has_crashed() {
                return;
            }
            let Ok(stream) = stream else { continue };
            let target = self.clone();
            // Errors of a connection are ignored: closed and reset connections are expected.
            thread::spawn(move || drop(target.serve(stream)));
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Sets the fault of the next `count` requests; replaces faults set before.
    pub fn fail_next(&self, count: u32, fault: TargetFault) {
        self.state().faults.clear();
        self.fail_then(count, fault);
    }

    /// Sets the fault of `count` requests after those that have a fault already.
    pub fn fail_then(&self, count: u32, fault: TargetFault) {
        self.state().faults.extend((0..count).map(|_| fault));
    }

    /// Sets the fault of all requests with this body, before any other; [`TargetFault::None`] ends it.
    pub fn fail_always(&self, body: &str, fault: TargetFault) {
        self.state().faults_by_body.insert(body.as_bytes().to_vec(), fault);
    }

    /// Sets the fault of all requests with this part in their prompts, unless it is the last, before any other.
    pub fn fail_part(&self, part: &str, fault: TargetFault) {
        self.state().faults_by_part.insert(part.to_owned(), fault);
    }

    /// Sets the fault of all requests whose body ends with a character.
    pub fn with_fault_of_bodies_ending(self, last: char, fault: TargetFault) -> PlatformTarget {
        self.state().faults_by_last_byte.insert(last as u8, fault);
        self
    }

    /// Version of its software.
    pub fn version(&self) -> Arc<str> {
        Arc::clone(&self.state().version)
    }

    /// Sets the version of its software.
    pub fn with_version(self, version: &str) -> PlatformTarget {
        self.state().version = Arc::from(version);
        self
    }

    /// Pads the data of each event to a size in answers to requests without a body; batch items have bodies.
    pub fn with_event_bytes(self, bytes: usize) -> PlatformTarget {
        self.state().event_bytes = bytes;
        self
    }

    /// Names the run that made an event, and the `Last-Event-Id` that it was asked with, after the data of each event. The
    /// padding of the data does not count the name.
    pub fn with_named_runs(self) -> PlatformTarget {
        self.state().names_runs = true;
        self
    }

    /// Pads the answers to requests that fail with [`TargetFault::Fails`] to a size.
    pub fn with_failure_bytes(self, bytes: usize) -> PlatformTarget {
        self.state().failure_bytes = bytes;
        self
    }

    /// Lets requests that fail with [`TargetFault::Fails`] or [`TargetFault::Impossible`] run for this time before.
    pub fn with_failure_pause(self, pause: Duration) -> PlatformTarget {
        self.state().failure_pause = pause;
        self
    }

    /// Sets the wait after each event of answers that begin from now on.
    pub fn set_pause(&self, pause: Duration) {
        self.state().pause = pause;
    }

    /// Aborts answers that stay unread for this time.
    pub fn with_unread_limit(self, limit: Duration) -> PlatformTarget {
        self.state().unread_limit = Some(limit);
        self
    }

    /// When the answer to a request was cut because it stayed unread or its connection was closed.
    pub fn cut_at(&self, id: &str) -> Option<Instant> {
        self.state().cut.iter().find(|(it, _)| it == id).map(|(_, at)| *at)
    }

    /// Number of answers that are being sent.
    pub fn running(&self) -> usize {
        self.state().running
    }

    /// Number of answers that were sent to their end.
    pub fn finished(&self) -> usize {
        self.state().finished
    }

    /// Number of runs of requests with this body.
    pub fn runs_of(&self, body: &str) -> usize {
        self.state().runs.iter().filter(|it| it.body == body.as_bytes()).count()
    }

    /// Requests that started to run, in order.
    pub fn runs(&self) -> Vec<Run> {
        self.state().runs.clone()
    }

    /// Sets its service.
    pub fn with_service(self, service: &'static str) -> PlatformTarget {
        PlatformTarget { service, ..self }
    }

    /// Sends nothing and reads nothing for this time, also between requests, and goes on then. The kernel accepts connections
    /// meanwhile.
    pub fn fall_silent(&self, time: Duration) {
        self.state().silent_until = Some(Instant::now() + time);
    }

    fn wait_while_silent(&self) {
        while let Some(until) = self.state().silent_until.filter(|it| *it > Instant::now()) {
            thread::sleep(until.saturating_duration_since(Instant::now()));
        }
    }

    /// When it crashed.
    pub fn crashed_at(&self) -> Option<Instant> {
        self.state().crashed_at
    }

    /// Simulates a crash: refuses new connections and closes all open ones at once, as the kernel does for a killed process.
    pub fn crash(&self) {
        self.is_crashed.store(true, Ordering::SeqCst);
        self.state().crashed_at.get_or_insert_with(Instant::now);
        let _ = SockRef::from(&*self.listener).shutdown(Shutdown::Both);
        for connection in self.state().connections.values() {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Whether it has crashed.
    pub fn has_crashed(&self) -> bool {
        self.is_crashed.load(Ordering::SeqCst)
    }

    /// Entry in the store that registers it.
    pub fn entry(&self, service: &str, zone: &str, state: &str) -> Value {
        json!({
            "service": service, "addr": self.address.to_string(), "zone": zone,
            "version": &*self.version(), "slots": 8, "state": state, "coldLeftMs": 0, "seq": 1, "born": 1,
        })
    }

    /// Output of a complete run, as the text of an item's result, without the name of the run.
    pub fn text(&self) -> String {
        let events = self.state().events;
        text_of(&self.version(), events)
    }

    fn next_fault(&self, request: &HttpRequest) -> TargetFault {
        let mut state = self.state();
        let body = request.body.as_slice();
        let by_part = request.shared_parts().find_map(|it| state.faults_by_part.get(it));
        let by_last_byte = body.last().and_then(|it| state.faults_by_last_byte.get(it));
        let by_body = by_part.or(state.faults_by_body.get(body)).or(by_last_byte).copied();
        by_body.or_else(|| state.faults.pop_front()).unwrap_or_default()
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let client = stream.peer_addr()?;
        self.state().connections.insert(client, stream.try_clone()?);
        let served = self.serve_requests(stream);
        // The connection stays open as long as a handle to it is kept.
        self.state().connections.remove(&client);
        served
    }

    fn serve_requests(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let unread_limit = self.state().unread_limit;
        if unread_limit.is_some() {
            stream.set_write_timeout(unread_limit)?;
            SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES)?;
        }
        let mut buffer = Vec::new();
        // The crash may have closed all connections before this one was accepted.
        if self.has_crashed() {
            return Ok(());
        }
        while let Some(request) = read_request(&mut stream, &mut buffer)? {
            let arrived_at = Instant::now();
            self.wait_while_silent();
            if self.has_crashed() || !self.answer(&mut stream, &request, arrived_at)? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Answers a request; returns whether the connection stays open.
    fn answer(
        &self,
        stream: &mut TcpStream,
        request: &HttpRequest,
        arrived_at: Instant,
    ) -> io::Result<bool> {
        let id = request.header("x-request-id").unwrap_or_default();
        if request.header("x-expect-instance").is_some_and(|it| it != self.name) {
            write_answer(stream, "421 Misdirected Request", id, "", "")?;
            return Ok(true);
        }
        if id.is_empty() {
            // Rejected as not run, as every replica does. It may be a call to a process that used this port before.
            write_answer(stream, "400 Bad Request", id, "X-Not-Run: 1\r\n", "")?;
            return Ok(true);
        }
        let fault = self.next_fault(request);
        if fault == TargetFault::Full {
            write_answer(stream, "503 Service Unavailable", id, "X-Not-Run: 1\r\n", "")?;
            return Ok(true);
        }
        let after = request.header("last-event-id").and_then(|it| it.parse().ok());
        let run = Run {
            id: id.to_owned(),
            after,
            body: request.body.clone(),
            headers: request.headers.clone(),
            at: arrived_at,
        };
        self.state().runs.push(run);
        if matches!(fault, TargetFault::Fails | TargetFault::Impossible) {
            let pause = self.state().failure_pause;
            thread::sleep(pause);
        }
        match fault {
            TargetFault::Fails => {
                let bytes = self.state().failure_bytes;
                let body = padded("failed".to_owned(), bytes);
                write_answer(stream, "500 Internal Server Error", id, &stamp_header(id), &body)?
            }
            TargetFault::Impossible => {
                write_answer(
                    stream,
                    "422 Unprocessable Entity",
                    id,
                    &stamp_header(id),
                    "impossible",
                )?;
            }
            TargetFault::ImpossibleCut => {
                write!(
                    stream,
                    "HTTP/1.1 422 Unprocessable Entity\r\nContent-Length: 100\r\nX-Request-Id: {id}\r\n{}\r\nimposs",
                    stamp_header(id)
                )?;
                return Ok(false);
            }
            TargetFault::AnswerLost => return Ok(false),
            TargetFault::Crashes => {
                self.crash();
                return Ok(false);
            }
            TargetFault::Silent => {
                thread::sleep(NO_ANSWER_TIME);
                return Ok(false);
            }
            TargetFault::Endless(bytes) => {
                bytes.send(stream, id, after)?;
                return Ok(false);
            }
            TargetFault::Pauses { after: None, ms } => {
                thread::sleep(Duration::from_millis(ms));
                return self.answer_events(stream, request, after, fault);
            }
            TargetFault::Stray => {
                write_answer(
                    stream,
                    "200 OK",
                    "of-another-request",
                    &stamp_header("of-another-request"),
                    "stray",
                )?;
                self.answer_events(stream, request, after, fault)?;
            }
            _ => return self.answer_events(stream, request, after, fault),
        }
        Ok(true)
    }

    /// Sends an event stream, and notes whether it was cut.
    fn answer_events(
        &self,
        stream: &mut TcpStream,
        request: &HttpRequest,
        after: Option<u64>,
        fault: TargetFault,
    ) -> io::Result<bool> {
        let id = request.header("x-request-id").unwrap_or_default();
        self.state().running += 1;
        let sent = self.stream_events(stream, request, after, fault);
        let mut state = self.state();
        state.running -= 1;
        match &sent {
            Ok(_) => state.finished += 1,
            Err(_) => state.cut.push((id.to_owned(), Instant::now())),
        }
        sent
    }

    fn stream_events(
        &self,
        stream: &mut TcpStream,
        request: &HttpRequest,
        after: Option<u64>,
        fault: TargetFault,
    ) -> io::Result<bool> {
        let id = request.header("x-request-id").unwrap_or_default();
        let (version, events, pause, event_bytes, run) = {
            let state = self.state();
            let event_bytes = if request.body.is_empty() { state.event_bytes } else { 0 };
            let run = state.names_runs.then(|| NamedRun::begin(after));
            (Arc::clone(&state.version), state.events, state.pause, event_bytes, run)
        };
        let is_unframed = fault.is_unframed();
        let framing = if is_unframed { "" } else { "Transfer-Encoding: chunked\r\n" };
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{framing}X-Request-Id: {id}\r\n\
             X-Server-Load: 1,0,8\r\n{}\r\n",
            stamp_header(id)
        )?;
        let first = fault.first_event(after);
        for (sent, number) in (first..=events).enumerate() {
            self.wait_while_held(number);
            self.wait_while_silent();
            if fault == TargetFault::UnframedCrashAfter(sent as u64) {
                self.crash();
                return Ok(false);
            }
            fault.pause_after(sent as u64);
            if fault.breaks_off_after() == Some(sent as u64) {
                return break_off(stream, fault, number);
            }
            let data = event_data(&version, number, event_bytes);
            let data = run.map_or_else(|| data.clone(), |it| it.add_to(&data));
            let event = format!("id: {number}\ndata: {data}\n\n");
            match is_unframed {
                true => stream.write_all(event.as_bytes())?,
                false => write!(stream, "{:x}\r\n{event}\r\n", event.len())?,
            }
            thread::sleep(pause);
            if self.has_crashed() {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
        }
        fault.pause_after((events + 1).saturating_sub(first));
        self.wait_while_silent();
        if !is_unframed {
            stream.write_all(b"0\r\n\r\n")?;
        }
        Ok(!is_unframed)
    }
}

/// Listens on a free port that nothing else can use while the listener exists, also after a crash has shut it down: a process
/// that is started then must not be taken for the target.
fn listen() -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
    socket.listen(MAX_PENDING_CONNECTIONS)?;
    Ok(socket.into())
}

/// Sends a part of an event and ends the answer; returns whether the connection stays open.
fn break_off(stream: &mut TcpStream, fault: TargetFault, number: u64) -> io::Result<bool> {
    let part = format!("id: {number}\n");
    match fault {
        TargetFault::UnframedCutAfter(_) => stream.write_all(part.as_bytes())?,
        TargetFault::ChunksEndAfter(_) => {
            write!(stream, "{:x}\r\n{part}\r\n0\r\n\r\n", part.len())?;
            return Ok(true);
        }
        // The chunk is longer than what follows.
        _ => write!(stream, "{:x}\r\n{part}", part.len() + 1)?,
    }
    Ok(false)
}

/// Data of an event that a version writes, padded to a size.
pub fn event_data(version: &str, number: u64, bytes: usize) -> String {
    let mark = if version == FIRST_VERSION { String::new() } else { format!("@{version}") };
    padded(format!("piece-{number}{mark}"), bytes)
}

/// Text of an item that a version has run.
pub fn text_of(version: &str, events: u64) -> String {
    (1..=events).map(|it| event_data(version, it, 0)).collect::<Vec<String>>().join("\n")
}

fn padded(text: String, bytes: usize) -> String {
    let missing = bytes.saturating_sub(text.len());
    text + &"-".repeat(missing)
}

fn stamp_header(id: &str) -> String {
    format!("X-Server-Stamp: stamp-{id}\r\n")
}

fn write_answer(
    stream: &mut TcpStream,
    status: &str,
    id: &str,
    extra_headers: &str,
    body: &str,
) -> io::Result<()> {
    write!(
        stream,
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\nX-Request-Id: {id}\r\n{extra_headers}\r\n{body}",
        body.len()
    )
}

struct HttpRequest {
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl HttpRequest {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name)).map(|(_, it)| it.as_str())
    }
}

impl HttpRequest {
    /// Ids of the parts of its prompt but the last.
    fn shared_parts(&self) -> impl Iterator<Item = &str> {
        let parts = self.header("x-prompt-prefix").unwrap_or_default();
        let (shared, _) = parts.rsplit_once(',').unwrap_or_default();
        shared.split(',').filter_map(|it| it.split(':').next())
    }
}

/// Reads the next request of a connection; `None` at its end.
fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<HttpRequest>> {
    loop {
        if let Some((request, len)) = parse(buffer)? {
            buffer.drain(..len);
            return Ok(Some(request));
        }
        let mut chunk = [0; 4_096];
        let read = stream.read(&mut chunk)?;
        if read == 0 {
            return Ok(None);
        }
        buffer.extend_from_slice(&chunk[..read]);
    }
}

/// Parses the request at the front of the buffer, with any number of headers; `None` while a part of it is missing.
fn parse(buffer: &[u8]) -> io::Result<Option<(HttpRequest, usize)>> {
    let lines = buffer.split(|it| *it == b'\n').take_while(|it| !it.trim_ascii().is_empty());
    let mut headers = vec![httparse::EMPTY_HEADER; lines.count()];
    let mut request = httparse::Request::new(&mut headers);
    let parsed = request.parse(buffer).map_err(io::Error::other)?;
    let httparse::Status::Complete(head) = parsed else { return Ok(None) };
    let text = |it: &[u8]| String::from_utf8_lossy(it).into_owned();
    let headers: Vec<(String, String)> =
        request.headers.iter().map(|it| (it.name.to_owned(), text(it.value))).collect();
    let mut request = HttpRequest { headers, body: Vec::new() };
    let length = request.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    let Some(body) = buffer.get(head..head + length) else { return Ok(None) };
    request.body = body.to_vec();
    Ok(Some((request, head + length)))
}
