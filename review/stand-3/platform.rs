//! Stand-ins for the platform, with the standard library only: the store of objects, HTTP on blocking sockets, and gateway
//! processes. Each follows the pages; faults are switched on by the case that uses them.

#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs,
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

// ---- random numbers -------------------------------------------------------------------------------------------------

/// Small generator with a fixed seed, so that runs differ by timing only.
pub struct Random(AtomicU64);

impl Random {
    pub const fn new(seed: u64) -> Random {
        Random(AtomicU64::new(seed))
    }

    pub fn next(&self) -> u64 {
        let mut z = self.0.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Number from 0 to 1.
    pub fn unit(&self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

// ---- HTTP -----------------------------------------------------------------------------------------------------------

/// Head and body of a message.
#[derive(Debug, Clone)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match lines.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            if lines.is_empty() {
                continue;
            }
            break;
        }
        lines.push(line);
    }
    let first = lines.remove(0);
    let headers = lines.iter().filter_map(|it| it.split_once(':'));
    let headers = headers.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()));
    Ok(Some(Message { first, headers: headers.collect(), body: Vec::new() }))
}

/// Reads a whole message with a length or chunks.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    let is_chunked = message.header("transfer-encoding").is_some_and(|it| it.contains("chunked"));
    if is_chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(Some(message));
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Sends one request on a new connection, and reads its answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    wait: Duration,
) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut writer = stream.try_clone()?;
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    writer.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    read_message(&mut reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

// ---- JSON -----------------------------------------------------------------------------------------------------------

/// Text of the value of a key of a JSON object, as it is written.
pub fn field<'a>(json: &'a str, key: &str) -> Option<&'a str> {
    let bytes = json.as_bytes();
    let mut at = skip_space(bytes, json.find('{')? + 1);
    while at < bytes.len() && bytes[at] != b'}' {
        let key_end = value_end(bytes, at)?;
        let name = &json[at + 1..key_end - 1];
        at = skip_space(bytes, key_end);
        if bytes.get(at) != Some(&b':') {
            return None;
        }
        at = skip_space(bytes, at + 1);
        let end = value_end(bytes, at)?;
        if name == key {
            return Some(&json[at..end]);
        }
        at = skip_space(bytes, end);
        if bytes.get(at) == Some(&b',') {
            at = skip_space(bytes, at + 1);
        }
    }
    None
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

fn value_end(bytes: &[u8], start: usize) -> Option<usize> {
    let (mut at, mut depth, mut is_text) = (start, 0, false);
    loop {
        let byte = *bytes.get(at)?;
        at += 1;
        if is_text {
            match byte {
                b'\\' => at += 1,
                b'"' => {
                    is_text = false;
                    if depth == 0 {
                        return Some(at);
                    }
                }
                _ => {}
            }
            continue;
        }
        match byte {
            b'"' => is_text = true,
            b'{' | b'[' => depth += 1,
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 {
                    return Some(at);
                }
            }
            _ => {}
        }
        let ends = depth == 0
            && !is_text
            && bytes.get(at).is_none_or(|it| matches!(it, b',' | b'}' | b']') || it.is_ascii_whitespace());
        if ends {
            return Some(at);
        }
    }
}

/// A JSON text without its quotes; its escapes stay.
pub fn text(json: &str) -> &str {
    json.trim_matches('"')
}

// ---- store ----------------------------------------------------------------------------------------------------------

struct Object {
    revision: u64,
    created: u64,
    spec: String,
    status: String,
}

impl Object {
    fn json(&self, name: &str) -> String {
        format!(
            "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{},\"created\":{},\"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":{}}}",
            self.revision, self.created, self.spec, self.status
        )
    }
}

struct Event {
    revision: u64,
    kind: String,
    text: String,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
    events: Vec<Event>,
}

/// The platform's store: linearizable, one revision counter, watches, pages of 500 objects.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<StoreState>, Condvar)>);

impl Store {
    /// Writes an object as the operator or a replica.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.0.0.lock().unwrap();
        state.write(kind, name, |it| spec.clone_into(&mut it.spec));
        self.0.1.notify_all();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.0.0.lock().unwrap();
        state.remove(kind, name);
        self.0.1.notify_all();
    }

    /// Serves it on a free port.
    pub fn serve(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve_connection(&stream));
            }
        });
        address
    }

    fn serve_connection(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let (status, body) = self.answer(&request);
            let reason = if status < 300 { "OK" } else { "Error" };
            let head = format!(
                "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let Some(path) = path.strip_prefix("/samphiredoor/objects/") else { return (404, "{}".into()) };
        let query: BTreeMap<&str, &str> = query.split('&').filter_map(|it| it.split_once('=')).collect();
        let segments: Vec<&str> = path.split('/').filter(|it| !it.is_empty()).collect();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        // The answer takes 4 ms, as on the sheets.
        thread::sleep(Duration::from_millis(4));
        match (request.method(), segments.as_slice()) {
            ("GET", [kind]) if query.contains_key("watch") => self.watch(kind, &query),
            ("GET", [kind]) => self.list(kind, query.get("after").unwrap_or(&"")),
            ("GET", [kind, name]) => {
                let state = self.0.0.lock().unwrap();
                match state.kinds.get(*kind).and_then(|it| it.get(*name)) {
                    Some(object) => (200, object.json(name)),
                    None => (404, "{}".into()),
                }
            }
            ("POST", [kind]) => self.create(kind, &body),
            ("PUT", [kind, name]) => self.replace(kind, name, &body, false),
            ("PUT", [kind, name, "status"]) => self.replace(kind, name, &body, true),
            ("DELETE", [kind, name]) => {
                let mut state = self.0.0.lock().unwrap();
                let found = state.remove(kind, name);
                self.0.1.notify_all();
                (if found { 200 } else { 404 }, "{}".into())
            }
            _ => (400, "{}".into()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let state = self.0.0.lock().unwrap();
        let empty = BTreeMap::new();
        let mut objects =
            state.kinds.get(kind).unwrap_or(&empty).iter().filter(|(name, _)| name.as_str() > after);
        let items: Vec<String> = objects.by_ref().take(500).map(|(name, it)| it.json(name)).collect();
        let has_more = objects.next().is_some();
        let revision = state.revision;
        (200, format!("{{\"items\":[{}],\"hasMore\":{has_more},\"currentRev\":{revision}}}", items.join(",")))
    }

    fn watch(&self, kind: &str, query: &BTreeMap<&str, &str>) -> (u16, String) {
        let number = |key: &str| query.get(key).and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("waitMs"));
        let since = number("watch");
        let mut state = self.0.0.lock().unwrap();
        loop {
            let events: Vec<&str> = state
                .events
                .iter()
                .filter(|it| it.revision > since && it.kind == kind)
                .map(|it| it.text.as_str())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"currentRev\":{revision}}}"));
            }
            state = self.0.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn create(&self, kind: &str, body: &str) -> (u16, String) {
        let name = field(body, "meta").and_then(|it| field(it, "name")).map(text);
        let (Some(name), Some(spec)) = (name, field(body, "spec")) else { return (400, "{}".into()) };
        let mut state = self.0.0.lock().unwrap();
        if let Some(object) = state.kinds.get(kind).and_then(|it| it.get(name)) {
            return (409, object.json(name));
        }
        let written = state.write(kind, name, |it| spec.clone_into(&mut it.spec));
        self.0.1.notify_all();
        (200, written)
    }

    fn replace(&self, kind: &str, name: &str, body: &str, is_status: bool) -> (u16, String) {
        let expected = field(body, "meta").and_then(|it| field(it, "revision")).and_then(|it| it.parse::<u64>().ok());
        let value = field(body, if is_status { "status" } else { "spec" }).unwrap_or("null");
        let mut state = self.0.0.lock().unwrap();
        let Some(object) = state.kinds.get(kind).and_then(|it| it.get(name)) else { return (404, "{}".into()) };
        if expected.is_some_and(|it| it != object.revision) {
            return (409, object.json(name));
        }
        // "A PUT that changes nothing does not increase the revision and produces no event." For comparison, a store that gives
        // each write a revision can be asked for.
        let each_counts = std::env::var("EACH_WRITE_COUNTS").as_deref() == Ok("1");
        if !each_counts && value == if is_status { &object.status } else { &object.spec } {
            return (200, object.json(name));
        }
        let written = state.write(kind, name, |it| match is_status {
            true => value.clone_into(&mut it.status),
            false => value.clone_into(&mut it.spec),
        });
        self.0.1.notify_all();
        (200, written)
    }
}

impl StoreState {
    fn write(&mut self, kind: &str, name: &str, change: impl FnOnce(&mut Object)) -> String {
        self.revision += 1;
        let revision = self.revision;
        let objects = self.kinds.entry(kind.to_owned()).or_default();
        let new = || Object { revision, created: revision, spec: "null".into(), status: "null".into() };
        let object = objects.entry(name.to_owned()).or_insert_with(new);
        object.revision = revision;
        change(object);
        let json = object.json(name);
        let text = format!("{{\"deleted\":false,\"object\":{json}}}");
        self.events.push(Event { revision, kind: kind.to_owned(), text });
        json
    }

    fn remove(&mut self, kind: &str, name: &str) -> bool {
        let Some(object) = self.kinds.get_mut(kind).and_then(|it| it.remove(name)) else { return false };
        self.revision += 1;
        let text = format!("{{\"deleted\":true,\"object\":{}}}", object.json(name));
        self.events.push(Event { revision: self.revision, kind: kind.to_owned(), text });
        true
    }
}

// ---- gateways -------------------------------------------------------------------------------------------------------

/// A gateway process, which is killed when this is dropped.
pub struct Gateway {
    pub callers: SocketAddr,
    readiness: SocketAddr,
    file: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A free port for TCP and UDP, below those that the system gives to connections, so that a process that is started again finds it
/// free. Plays beside each other begin at different ports.
fn free_port() -> u16 {
    static TRIED: AtomicU64 = AtomicU64::new(0);
    loop {
        let tried = TRIED.fetch_add(1, Ordering::Relaxed);
        let port = 12_000 + ((u64::from(std::process::id()) * 48 + tried) % 18_000) as u16;
        let is_free = TcpListener::bind(("127.0.0.1", port)).is_ok() && UdpSocket::bind(("127.0.0.1", port)).is_ok();
        if is_free {
            return port;
        }
    }
}

impl Gateway {
    /// Starts `target/release/samphiredoor gateway FILE`, as in the deploy file, with the template's settings of a small
    /// deployment.
    pub fn start(number: usize, store: SocketAddr, folder: &Path) -> io::Result<Gateway> {
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let (callers, readiness, peers, metrics) =
            (address(free_port()), address(free_port()), address(free_port()), address(free_port()));
        let settings = format!(
            "name = \"front-quay-north-{number}\"\nregion = \"quay\"\navailability_zone = \"quay-north\"\n\n\
             [callers]\naddress = \"{callers}\"\n\n[readiness]\naddress = \"{readiness}\"\n\n\
             [peers]\naddress = \"{peers}\"\n\n[metrics]\naddress = \"{metrics}\"\n\n\
             [store]\naddress = \"{store}\"\nroutes_within_ms = 2500\ntargets_within_ms = 2500\n\n\
             [mirrors]\naddresses = []\n\n[stopping]\ngrace_s = 8\n\n[jobs]\nkeep_ms = 120000\n\n\
             [overload]\ncontrol = \"auto\"\nreject_late_jobs = false\n\
             deployment_features = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"batch\",\"stream\",\"engine\",\"platform\"]\n\
             memory_limit_bytes = 260000000\n\n[regions]\nquay-north = \"quay\"\n"
        );
        let file = folder.join(format!("gateway-{number}.toml"));
        let log = folder.join(format!("gateway-{number}.log"));
        fs::write(&file, settings)?;
        let child = Gateway::spawn(&file, &log)?;
        Ok(Gateway { callers, readiness, file, log, child })
    }

    fn spawn(file: &Path, log: &Path) -> io::Result<Child> {
        let log = fs::File::options().create(true).append(true).open(log)?;
        Command::new("target/release/samphiredoor")
            .arg("gateway")
            .arg(file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends the process a signal by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {}", self.child.id())).status();
    }

    /// Starts the process again at its addresses.
    ///
    /// # Errors
    ///
    /// The process doesn't start.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child = Gateway::spawn(&self.file, &self.log)?;
        Ok(())
    }

    /// Whether its readiness check succeeds within a time.
    pub fn is_ready_within(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let host = [("Host", "ready".to_owned())];
            let answer =
                call(self.readiness, "GET", "/samphiredoor/ready", &host, b"", Duration::from_secs(1));
            if answer.is_ok_and(|it| it.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}
