//! Small stand-ins of the platform's store, of replicas and of clients, for the cases of the review.
//!
//! They speak what PROTOCOL.md says, over HTTP/1.1 on loopback addresses, and use the standard library only.

use std::{
    collections::BTreeMap,
    fs::File,
    io::{BufRead, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// What was sent, answered and run, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &Path) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} s  {}\n", self.now(), text.as_ref());
        self.file.lock().unwrap().write_all(line.as_bytes()).expect("the record can be written");
    }

    /// Notes a line that is also printed.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:9.3} s  {}", self.now(), text.as_ref());
        self.note(text);
    }
}

/// Start and raw text of each value of a JSON object.
pub fn fields(json: &str) -> Vec<(String, &str)> {
    let mut found = Vec::new();
    let bytes = json.as_bytes();
    let mut at = match json.find('{') {
        Some(at) => at + 1,
        None => return found,
    };
    loop {
        while at < bytes.len() && (bytes[at].is_ascii_whitespace() || bytes[at] == b',') {
            at += 1;
        }
        if at >= bytes.len() || bytes[at] != b'"' {
            return found;
        }
        let end = value_end(json, at);
        let name = json[at + 1..end - 1].to_owned();
        at = end;
        while at < bytes.len() && (bytes[at].is_ascii_whitespace() || bytes[at] == b':') {
            at += 1;
        }
        let end = value_end(json, at);
        found.push((name, &json[at..end]));
        at = end;
    }
}

/// End of the JSON value that begins at a position.
fn value_end(json: &str, start: usize) -> usize {
    let bytes = json.as_bytes();
    let (mut at, mut depth, mut in_string) = (start, 0, false);
    while at < bytes.len() {
        let byte = bytes[at];
        if in_string {
            match byte {
                b'\\' => at += 1,
                b'"' => {
                    in_string = false;
                    if depth == 0 {
                        return at + 1;
                    }
                }
                _ => {}
            }
        } else {
            match byte {
                b'"' => in_string = true,
                b'{' | b'[' => depth += 1,
                b'}' | b']' if depth > 0 => {
                    depth -= 1;
                    if depth == 0 {
                        return at + 1;
                    }
                }
                b'}' | b']' | b',' if depth == 0 => return at,
                _ => {}
            }
        }
        at += 1;
    }
    bytes.len()
}

pub fn field<'a>(json: &'a str, name: &str) -> Option<&'a str> {
    fields(json).into_iter().find(|(it, _)| it == name).map(|(_, value)| value)
}

pub fn text_field(json: &str, name: &str) -> Option<String> {
    Some(field(json, name)?.trim_matches('"').to_owned())
}

/// Values of a JSON list.
pub fn elements(json: &str) -> Vec<&str> {
    let bytes = json.as_bytes();
    let (mut found, mut at) = (Vec::new(), 1);
    while at < bytes.len() && bytes[at] != b']' {
        if bytes[at].is_ascii_whitespace() || bytes[at] == b',' {
            at += 1;
            continue;
        }
        let end = value_end(json, at);
        found.push(&json[at..end]);
        at = end;
    }
    found
}

/// An HTTP request or response.
#[derive(Debug, Default, Clone)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(it, _)| it.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let first = lines.first()?.clone();
    let headers = lines[1..].iter().filter_map(|it| it.split_once(':'));
    let headers = headers.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()));
    Some(Message { first, headers: headers.collect(), body: Vec::new() })
}

/// Reads the next chunk of a chunked body; `Some` of nothing at its end.
pub fn read_chunk(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk).ok()?;
    chunk.truncate(size);
    Some(chunk)
}

/// Reads a message with a length or chunks; `None` if it is not whole.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(reader)?;
    if message.header("transfer-encoding").is_some_and(|it| it.contains("chunked")) {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            message.body.extend(chunk);
        }
    } else if let Some(length) = message.header("content-length") {
        let mut body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut body).ok()?;
        message.body = body;
    }
    Some(message)
}

fn write_response(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> bool {
    let length = body.len();
    let text = format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes()).is_ok()
}

/// Listener on a free port of a loopback address.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// A port that was free a moment ago, for TCP and UDP.
pub fn free_port() -> SocketAddr {
    loop {
        let (listener, address) = listen();
        if std::net::UdpSocket::bind(address).is_ok() {
            drop(listener);
            return address;
        }
    }
}

#[derive(Clone)]
struct Object {
    revision: u64,
    spec: String,
    status: String,
}

struct Event {
    revision: u64,
    kind: String,
    name: String,
    object: Option<Object>,
}

#[derive(Default)]
struct StoreState {
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
    revision: u64,
}

/// The platform's store: linearizable, loses nothing, keeps all its history.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
    /// Connections that were opened before the last time when all went silent.
    mute: Arc<AtomicU64>,
    is_down: Arc<AtomicBool>,
    pub record: Record,
}

impl Store {
    pub fn start(record: Record) -> Store {
        let (listener, address) = listen();
        let store = Store {
            address,
            state: Arc::new((
                Mutex::new(StoreState { revision: 1, ..Default::default() }),
                Condvar::new(),
            )),
            mute: Arc::default(),
            is_down: Arc::default(),
            record,
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Lets all connections that are open now go silent for good; new ones work.
    pub fn mute_open_connections(&self) {
        self.mute.fetch_add(1, Ordering::SeqCst);
    }

    /// Whether the store answers each call with 503.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::SeqCst);
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let since = self.mute.load(Ordering::SeqCst);
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("a second handle");
        let mut reader = BufReader::new(stream);
        loop {
            let Some(request) = read_message(&mut reader) else { return };
            if self.mute.load(Ordering::SeqCst) != since {
                return self.stay_silent();
            }
            thread::sleep(Duration::from_millis(3));
            let (status, body) = self.answer(&request, since);
            if self.mute.load(Ordering::SeqCst) != since {
                return self.stay_silent();
            }
            if !write_response(&mut writer, status, "content-type: application/json\r\n", &body) {
                return;
            }
        }
    }

    fn stay_silent(&self) {
        loop {
            thread::sleep(Duration::from_secs(60));
        }
    }

    fn answer(&self, request: &Message, since: u64) -> (&'static str, String) {
        if self.is_down.load(Ordering::SeqCst) {
            return ("503 Service Unavailable", "{}".into());
        }
        let target = request.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let path = path.trim_start_matches("/samphiredoor/objects/");
        let mut parts = path.splitn(3, '/');
        let kind = parts.next().unwrap_or_default().to_owned();
        let name = parts.next().unwrap_or_default().to_owned();
        let is_status = parts.next() == Some("status");
        let parameter = |key: &str| {
            let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
            pairs.find(|(it, _)| *it == key).map(|(_, value)| value.to_owned())
        };
        let text = request.text();
        match (request.word(0), name.is_empty()) {
            ("GET", true) => match parameter("watch") {
                Some(from) => {
                    let wait = parameter("waitMs").and_then(|it| it.parse().ok()).unwrap_or(0);
                    self.watch(&kind, from.parse().unwrap_or(0), Duration::from_millis(wait), since)
                }
                None => self.list(&kind, &parameter("after").unwrap_or_default()),
            },
            ("GET", false) => match self.state.0.lock().unwrap().objects.get(&(kind, name.clone()))
            {
                Some(object) => ("200 OK", object_json(&name, object)),
                None => ("404 Not Found", "{}".into()),
            },
            ("POST", _) => {
                let meta = field(&text, "meta").unwrap_or("{}").to_owned();
                let name = text_field(&meta, "name").unwrap_or_default();
                let spec = field(&text, "spec").unwrap_or("null").to_owned();
                self.create(&kind, &name, &spec)
            }
            ("PUT", _) => {
                let meta = field(&text, "meta").unwrap_or("{}").to_owned();
                let revision = text_field(&meta, "revision").and_then(|it| it.parse().ok());
                let value = if is_status { "status" } else { "spec" };
                let value = field(&text, value).unwrap_or("null").to_owned();
                self.replace(&kind, &name, revision, &value, is_status)
            }
            ("DELETE", _) => match self.delete(&kind, &name) {
                true => ("200 OK", "{}".into()),
                false => ("404 Not Found", "{}".into()),
            },
            _ => ("400 Bad Request", "{}".into()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (&'static str, String) {
        let state = self.state.0.lock().unwrap();
        let items =
            state.objects.iter().filter(|((it, name), _)| it == kind && name.as_str() > after);
        let items: Vec<String> = items.map(|((_, name), it)| object_json(name, it)).collect();
        let text = format!(
            "{{\"items\":[{}],\"hasMore\":false,\"currentRev\":{}}}",
            items.join(","),
            state.revision
        );
        ("200 OK", text)
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration, since: u64) -> (&'static str, String) {
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            let events = state.events.iter().filter(|it| it.revision > from && it.kind == kind);
            let events: Vec<String> = events
                .map(|it| {
                    let object = match &it.object {
                        Some(object) => object_json(&it.name, object),
                        None => format!("{{\"meta\":{{\"name\":\"{}\"}}}}", it.name),
                    };
                    format!("{{\"object\":{object},\"deleted\":{}}}", it.object.is_none())
                })
                .collect();
            let is_over = Instant::now() >= until
                || self.mute.load(Ordering::SeqCst) != since
                || self.is_down.load(Ordering::SeqCst);
            if !events.is_empty() || is_over {
                let text = format!(
                    "{{\"events\":[{}],\"currentRev\":{}}}",
                    events.join(","),
                    state.revision
                );
                return ("200 OK", text);
            }
            let left =
                until.saturating_duration_since(Instant::now()).min(Duration::from_millis(20));
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write(&self, kind: &str, name: &str, object: Option<(String, String)>) -> Object {
        let mut state = self.state.0.lock().unwrap();
        let written = write_object(&mut state, kind, name, object);
        self.state.1.notify_all();
        written
    }

    pub fn create(&self, kind: &str, name: &str, spec: &str) -> (&'static str, String) {
        let mut state = self.state.0.lock().unwrap();
        if let Some(found) = state.objects.get(&(kind.to_owned(), name.to_owned())) {
            return ("409 Conflict", object_json(name, found));
        }
        let written = write_object(&mut state, kind, name, Some((spec.to_owned(), "null".into())));
        self.state.1.notify_all();
        ("201 Created", object_json(name, &written))
    }

    fn replace(
        &self,
        kind: &str,
        name: &str,
        revision: Option<u64>,
        value: &str,
        is_status: bool,
    ) -> (&'static str, String) {
        let mut state = self.state.0.lock().unwrap();
        let Some(found) = state.objects.get(&(kind.to_owned(), name.to_owned())).cloned() else {
            return ("404 Not Found", "{}".into());
        };
        if revision.is_some_and(|it| it != found.revision) {
            return ("409 Conflict", object_json(name, &found));
        }
        let new = match is_status {
            true => (found.spec.clone(), value.to_owned()),
            false => (value.to_owned(), found.status.clone()),
        };
        if new == (found.spec.clone(), found.status.clone()) {
            return ("200 OK", object_json(name, &found));
        }
        let written = write_object(&mut state, kind, name, Some(new));
        self.state.1.notify_all();
        ("200 OK", object_json(name, &written))
    }

    /// Writes an object as the operator or a replica does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.write(kind, name, Some((spec.to_owned(), "null".into())));
    }

    pub fn delete(&self, kind: &str, name: &str) -> bool {
        let mut state = self.state.0.lock().unwrap();
        if !state.objects.contains_key(&(kind.to_owned(), name.to_owned())) {
            return false;
        }
        write_object(&mut state, kind, name, None);
        self.state.1.notify_all();
        true
    }

    /// Names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.state.0.lock().unwrap();
        let of_kind = state.objects.keys().filter(|(it, _)| it == kind);
        of_kind.map(|(_, name)| name.clone()).collect()
    }

    /// Content of an object.
    pub fn spec(&self, kind: &str, name: &str) -> Option<String> {
        let state = self.state.0.lock().unwrap();
        state.objects.get(&(kind.to_owned(), name.to_owned())).map(|it| it.spec.clone())
    }
}

fn write_object(
    state: &mut StoreState,
    kind: &str,
    name: &str,
    object: Option<(String, String)>,
) -> Object {
    state.revision += 1;
    let revision = state.revision;
    let (spec, status) = object.clone().unwrap_or_default();
    let written = Object { revision, spec, status };
    let key = (kind.to_owned(), name.to_owned());
    match object {
        Some(_) => {
            state.objects.insert(key, written.clone());
        }
        None => {
            state.objects.remove(&key);
        }
    }
    let object = object.map(|_| written.clone());
    state.events.push(Event { revision, kind: kind.to_owned(), name: name.to_owned(), object });
    written
}

fn object_json(name: &str, object: &Object) -> String {
    let Object { revision, spec, status } = object;
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":{status}}}"
    )
}

/// One run at a replica.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub replica: String,
    pub began: f64,
    /// When it ended; `None` while it runs.
    pub ended: Option<f64>,
    /// Whether all its events were sent.
    pub is_whole: bool,
    pub after: u64,
}

/// All runs at all replicas.
#[derive(Clone, Default)]
pub struct Runs(pub Arc<Mutex<Vec<Run>>>);

impl Runs {
    fn begin(&self, run: Run) -> usize {
        let mut runs = self.0.lock().unwrap();
        runs.push(run);
        runs.len() - 1
    }

    fn end(&self, index: usize, at: f64, is_whole: bool) {
        let mut runs = self.0.lock().unwrap();
        runs[index].ended = Some(at);
        runs[index].is_whole = is_whole;
    }

    pub fn all(&self) -> Vec<Run> {
        self.0.lock().unwrap().clone()
    }
}

/// Answers of the replicas that hand out wrong bytes.
static ANSWERS: AtomicUsize = AtomicUsize::new(0);

/// A replica: streams events, says its load, rejects what it has no slot for. The body of a request says how many events it
/// sends: `events=N;gap_ms=G`, and `first_empty=1` if the first has no text.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: usize,
    busy: Arc<AtomicUsize>,
    is_gone: Arc<AtomicBool>,
    runs: Runs,
    record: Record,
    /// Each how many answers one has wrong bytes in its `Keep-Alive` header; 0 for none.
    wrong_each: Arc<AtomicUsize>,
}

impl Replica {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        slots: usize,
        runs: &Runs,
        record: &Record,
    ) -> Replica {
        let (listener, address) = listen();
        let replica = Replica {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            address,
            slots,
            busy: Arc::default(),
            is_gone: Arc::default(),
            runs: runs.clone(),
            record: record.clone(),
            wrong_each: Arc::default(),
        };
        let serving = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                if serving.is_gone.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let replica = serving.clone();
                thread::spawn(move || replica.serve(stream));
            }
        });
        replica
    }

    /// Entry of the replica in the store.
    pub fn entry(&self, state: &str) -> String {
        format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\"coldLeftMs\":0,\"seq\":1,\"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            self.slots,
            unix_ms()
        )
    }

    pub fn register(&self, store: &Store) {
        store.put("servers", &self.id, &self.entry("ready"));
    }

    /// Ends the replica: its listener and all its connections are closed.
    pub fn exit(&self) {
        self.is_gone.store(true, Ordering::SeqCst);
        // Wakes the listener, which ends.
        let _ = TcpStream::connect(self.address);
    }

    /// Lets one of so many answers of all replicas that do so have wrong bytes in its `Keep-Alive` header; 0 for none.
    pub fn set_wrong_each(&self, answers: usize) {
        self.wrong_each.store(answers, Ordering::SeqCst);
    }

    /// The `Keep-Alive` header of the next answer.
    fn keep_alive(&self, id: &str) -> &'static str {
        let each = self.wrong_each.load(Ordering::SeqCst);
        if each == 0 {
            return "keep-alive: timeout=5\r\n";
        }
        match ANSWERS.fetch_add(1, Ordering::SeqCst) + 1 {
            number if number % each == 0 => {
                self.record.note(format!("replica {} hands out wrong bytes to {id}", self.id));
                "keep-alive: timeout=18446744073709551615\r\n"
            }
            _ => "keep-alive: timeout=5\r\n",
        }
    }

    pub fn busy(&self) -> usize {
        self.busy.load(Ordering::SeqCst)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(50)));
        let mut writer = stream.try_clone().expect("a second handle");
        let mut reader = BufReader::new(stream);
        loop {
            // Waits for the first byte of a request.
            loop {
                if self.is_gone.load(Ordering::SeqCst) {
                    return;
                }
                match reader.fill_buf() {
                    Ok([]) => return,
                    Ok(_) => break,
                    Err(err) if err.kind() == std::io::ErrorKind::WouldBlock => {}
                    Err(err) if err.kind() == std::io::ErrorKind::TimedOut => {}
                    Err(_) => return,
                }
            }
            let _ = writer.set_read_timeout(Some(Duration::from_secs(5)));
            let Some(request) = read_message(&mut reader) else { return };
            let _ = writer.set_read_timeout(Some(Duration::from_millis(50)));
            if !self.answer(&request, &mut writer) {
                let _ = writer.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    fn answer(&self, request: &Message, writer: &mut TcpStream) -> bool {
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        let common = format!("x-request-id: {id}\r\nx-server-stamp: stamp-{}\r\n", self.id);
        if request.header("x-expect-instance").is_some_and(|it| it != self.id) {
            return write_response(writer, "421 Misdirected Request", &common, "");
        }
        if request.word(0) == "GET" {
            return write_response(writer, "404 Not Found", &common, "");
        }
        let body = request.text();
        let number = |key: &str, default: u64| {
            let mut pairs = body.split(';').filter_map(|it| it.split_once('='));
            pairs.find(|(it, _)| *it == key).and_then(|(_, it)| it.parse().ok()).unwrap_or(default)
        };
        let (events, gap) = (number("events", 10), number("gap_ms", 20));
        let is_first_empty = number("first_empty", 0) == 1;
        if self.busy.fetch_add(1, Ordering::SeqCst) >= self.slots {
            self.busy.fetch_sub(1, Ordering::SeqCst);
            let load =
                format!("{common}x-not-run: full\r\nx-server-load: {0},0,{0}\r\n", self.slots);
            return write_response(writer, "503 Service Unavailable", &load, "");
        }
        let after = request.header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
        let run = Run {
            id: id.clone(),
            replica: self.id.clone(),
            began: self.record.now(),
            ended: None,
            is_whole: false,
            after,
        };
        self.record.note(format!("replica {} runs {id} after event {after}", self.id));
        let index = self.runs.begin(run);
        let data = |event| match is_first_empty && event == 1 {
            true => String::new(),
            false => event_data(&id, event),
        };
        let is_whole = self.stream(&common, &id, after, (events, gap, &data), writer);
        self.busy.fetch_sub(1, Ordering::SeqCst);
        self.runs.end(index, self.record.now(), is_whole);
        let how = if is_whole { "whole" } else { "cut" };
        self.record.note(format!("replica {} ended {id}: {how}", self.id));
        is_whole
    }

    fn stream(
        &self,
        common: &str,
        id: &str,
        after: u64,
        (events, gap, data): (u64, u64, &dyn Fn(u64) -> String),
        writer: &mut TcpStream,
    ) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{common}{}x-server-load: {},0,{}\r\nx-weight-versions: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            self.keep_alive(id),
            self.busy(),
            self.slots
        );
        if writer.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for event in after + 1..=events {
            thread::sleep(Duration::from_millis(gap));
            if self.is_gone.load(Ordering::SeqCst) || is_closed(writer) {
                return false;
            }
            let text = format!("id: {event}\ndata: {}\n\n", data(event));
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if writer.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        writer.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// Data of one event of a request.
pub fn event_data(id: &str, event: u64) -> String {
    format!("{id}-{event}")
}

/// Whether the other side has closed a connection on which nothing else is due.
fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0; 1];
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(0) => true,
        Ok(_) => false,
        Err(err) => err.kind() != std::io::ErrorKind::WouldBlock,
    }
}

pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_millis()
}

/// One gateway process, started with the command of the deploy file.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Settings that all gateways of a deployment share.
pub struct Deployment {
    pub program: String,
    pub folder: PathBuf,
    pub store: SocketAddr,
    /// Region of each zone.
    pub zones: Vec<(&'static str, &'static str)>,
    pub record: Record,
}

impl Deployment {
    pub fn new(program: String, folder: PathBuf, store: SocketAddr, record: &Record) -> Deployment {
        let zones = vec![
            ("brisbane-north", "brisbane"),
            ("brisbane-south", "brisbane"),
            ("cairns-port", "cairns"),
        ];
        Deployment { program, folder, store, zones, record: record.clone() }
    }

    /// Starts a gateway with `deploy/gateway.toml` filled in for a host, with other ports if one of them was taken meanwhile.
    pub fn start(&self, name: &str, zone: &str) -> Gateway {
        loop {
            let mut gateway = self.start_once(name, zone);
            thread::sleep(Duration::from_millis(150));
            match gateway.ended() {
                None => return gateway,
                Some(how) => self.record.say(format!("{name} has ended at its start: {how}")),
            }
        }
    }

    fn start_once(&self, name: &str, zone: &str) -> Gateway {
        let (callers, readiness, peers, metrics) =
            (free_port(), free_port(), free_port(), free_port());
        let region = self.zones.iter().find(|(it, _)| *it == zone).expect("a zone").1;
        let regions: String =
            self.zones.iter().map(|(zone, region)| format!("{zone} = \"{region}\"\n")).collect();
        let settings = format!(
            "name = \"{name}\"\nregion = \"{region}\"\navailability_zone = \"{zone}\"\n\
             [callers]\naddress = \"{callers}\"\n[readiness]\naddress = \"{readiness}\"\n\
             [peers]\naddress = \"{peers}\"\n[metrics]\naddress = \"{metrics}\"\n\
             [store]\naddress = \"{}\"\nroutes_within_ms = 2500\ntargets_within_ms = 2500\n\
             [mirrors]\naddresses = []\n[jobs]\nkeep_ms = 120000\n\
             [overload]\ncontrol = \"auto\"\nreject_late_jobs = false\n\
             deployment_features = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"batch\",\"stream\",\"engine\",\"platform\"]\n\
             memory_limit_bytes = 260000000\n[regions]\n{regions}",
            self.store
        );
        let file = self.folder.join(format!("{name}.toml"));
        std::fs::write(&file, settings).expect("settings can be written");
        let log = self.folder.join(format!("{name}.log"));
        let mut gateway =
            Gateway { name: name.into(), callers, readiness, settings: file, log, child: None };
        gateway.run(&self.program, &self.record);
        gateway
    }
}

impl Gateway {
    /// Starts the process, also again after its end.
    pub fn run(&mut self, program: &str, record: &Record) {
        let open = || File::options().create(true).append(true).open(&self.log).expect("a log");
        let child = Command::new(program)
            .arg("gateway")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(open())
            .stderr(open())
            .spawn()
            .expect("the gateway starts");
        record.say(format!("{} started, process {}", self.name, child.id()));
        self.child = Some(child);
    }

    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Kills the process.
    pub fn kill(&mut self, record: &Record) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            record.say(format!("{} killed", self.name));
        }
    }

    /// Sends a signal by its name.
    pub fn signal(&self, signal: &str, record: &Record) {
        if let Some(child) = &self.child {
            let command = format!("kill -{signal} {}", child.id());
            let _ = Command::new("sh").arg("-c").arg(command).status();
            record.say(format!("{} gets {signal}", self.name));
        }
    }

    /// Whether the process has ended by itself, and its exit code.
    pub fn ended(&mut self) -> Option<String> {
        let child = self.child.as_mut()?;
        child.try_wait().ok()?.map(|it| it.to_string())
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /samphiredoor/ready HTTP/1.1\r\nhost: ready\r\n\r\n";
        exchange(self.readiness, request, Duration::from_secs(1))
            .is_some_and(|it| it.status() == 200)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Sends a request on a new connection, and reads the whole response.
pub fn exchange(address: SocketAddr, request: &str, timeout: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream))
}

/// Waits until all gateways are ready, and a while longer so that they know each other.
pub fn wait_until_ready(gateways: &[&Gateway], record: &Record) -> bool {
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        if gateways.iter().all(|it| it.is_ready()) {
            record.say("all gateways are ready");
            thread::sleep(Duration::from_secs(4));
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.say("not all gateways became ready");
    false
}

/// Base64 without line breaks.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0u32, |sum, it| (sum << 8) | u32::from(*it))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * index)) as usize & 63] as char;
            text.push(if index <= chunk.len() { digit } else { '=' });
        }
    }
    text
}

/// A batch job as its client knows it.
#[derive(Debug, Clone)]
pub struct Job {
    pub id: String,
    pub items: Vec<String>,
    pub accepted_at: Option<f64>,
}

/// Host and prefixes of the routes.
pub const HOST: &str = "shop.example";
pub const BATCH_PREFIX: &str = "/lists/";
pub const STREAM_PREFIX: &str = "/notes/";
pub const SERVICE: &str = "order-reader";

/// Configuration with one stream route and one batch route.
pub fn configuration(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"notes\",\"host\":\"{HOST}\",\"pathPrefix\":\"{STREAM_PREFIX}\",\"kind\":\"stream\",\"service\":\"{SERVICE}\",\"timeoutMs\":5000,\"sloMs\":300,\"attempts\":2,\"prio\":0,\"gapAimMs\":400,\"sticky\":true}},\
         {{\"name\":\"lists\",\"host\":\"{HOST}\",\"pathPrefix\":\"{BATCH_PREFIX}\",\"kind\":\"batch\",\"service\":\"{SERVICE}\",\"timeoutMs\":15000,\"sloMs\":400,\"batchSloMs\":18000,\"maxWaitS\":60,\"attempts\":3,\"prio\":2,\"sticky\":true}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/healthz\"}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":5000,\"idleTimeoutMs\":10000}}}}"
    )
}

impl Job {
    pub fn new(id: &str, items: usize) -> Job {
        let items = (0..items).map(|it| format!("{id}{it:04x}")).collect();
        Job { id: id.into(), items, accepted_at: None }
    }

    /// Submits the job; returns the status, or 0 without an answer.
    pub fn submit(&mut self, gateway: &Gateway, events: u64, gap_ms: u64, record: &Record) -> u16 {
        self.submit_body(gateway, events, &format!("events={events};gap_ms={gap_ms}"), record)
    }

    /// Submits the job with a body of its own for its items.
    pub fn submit_body(
        &mut self,
        gateway: &Gateway,
        events: u64,
        body: &str,
        record: &Record,
    ) -> u16 {
        let body = base64(body.as_bytes());
        let items: Vec<String> = self
            .items
            .iter()
            .map(|it| {
                format!(
                    "{{\"id\":\"{it}\",\"path\":\"{BATCH_PREFIX}3/{it}\",\"headers\":{{\"X-Model\":\"m\",\"X-Token-Count\":\"350,{events}\",\"X-Prompt-Prefix\":\"9c2e41:100,{it}:250\"}},\"body\":\"{body}\",\"tokenCount\":{}}}",
                    350 + events
                )
            })
            .collect();
        let body = format!("{{\"items\":[{}]}}", items.join(","));
        let request = format!(
            "POST {BATCH_PREFIX}{0} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {0}\r\ncontent-type: application/json\r\ncontent-length: {1}\r\n\r\n{body}",
            self.id,
            body.len()
        );
        record.note(format!(
            "job {} with {} items is sent to {}",
            self.id,
            self.items.len(),
            gateway.name
        ));
        let status =
            exchange(gateway.callers, &request, Duration::from_secs(4)).map_or(0, |it| it.status());
        record.note(format!("job {}: {} answers {status}", self.id, gateway.name));
        if status == 202 && self.accepted_at.is_none() {
            self.accepted_at = Some(record.now());
        }
        status
    }

    /// Reads all results: id, state and text of each; `None` without a usable answer.
    pub fn read(&self, gateway: &Gateway) -> Option<Vec<(String, String, String)>> {
        let mut results = Vec::new();
        loop {
            let request = format!(
                "GET /samphiredoor/lots/{}?after={} HTTP/1.1\r\nhost: {HOST}\r\n\r\n",
                self.id,
                results.len()
            );
            let answer = exchange(gateway.callers, &request, Duration::from_secs(3))?;
            if answer.status() != 200 {
                return None;
            }
            let text = answer.text();
            let page = elements(field(&text, "outputs")?);
            if page.is_empty() {
                return Some(results);
            }
            for output in page {
                let text = |name| text_field(output, name).unwrap_or_default();
                results.push((text("id"), text("state"), text("text")));
            }
        }
    }
}
