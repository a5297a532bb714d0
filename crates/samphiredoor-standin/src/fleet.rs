//! Test fleet on loopback: a simulated store, simulated replicas (targets), and real processes of gateways and storage
//! hosts. Child processes end when their owner is dropped.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU8, AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

use base64::{Engine, engine::general_purpose::STANDARD};
use hyper::Method;
use serde_json::{Value, json};

use crate::{
    http::{Answer, call, get, start, wait_until},
    link::{Link, SharedBandwidth},
    platform_store::{PlatformStore, StoreFault},
    platform_target::{FIRST_VERSION, PlatformTarget, event_data, text_of},
    process::ChildProcess,
};

/// Host name of all routes.
pub const HOST: &str = "desk.example";
/// Number of events in the answer of a complete run.
pub const EVENTS: u64 = 6;

static NEXT_FOLDER: AtomicU32 = AtomicU32::new(0);

/// Simulated platform with any number of gateway processes. Fields that say so affect only processes and targets that
/// are started after they were set.
pub struct Platform {
    /// Store of the platform.
    pub store: PlatformStore,
    /// Path of the `samphiredoor` program.
    binary: PathBuf,
    address: SocketAddr,
    folder: PathBuf,
    gateways: Vec<Gateway>,
    /// Setting `stopping.unready_ms` of gateways that are started next: time between failing readiness and closing the
    /// listener.
    pub unready_ms: u64,
    /// Setting `stopping.finish_ms` of gateways that are started next: longest wait for running requests after that.
    pub finish_ms: u64,
    /// Setting `store.watch_ms` of processes that are started next: maximum wait of a watch.
    pub watch_ms: u64,
    /// Settings `store.routes_within_ms` and `store.targets_within_ms` of gateways that are started next: time within
    /// which changes of routes and targets have to be active.
    pub within_ms: u64,
    /// Fault of the store paths of gateways that are started next.
    pub store_path_fault: StoreFault,
    /// Whether gateways and storage hosts that are started next reach the store through links, and targets that are
    /// started next are reached through links.
    pub linked: bool,
    /// Bandwidth that the store links of gateways and storage hosts that are started next share.
    pub store_bandwidth: Option<SharedBandwidth>,
    /// Region of gateways that are started next; their availability zone is this name with `-north` appended.
    pub region: &'static str,
    /// Lines that are appended to the settings of gateways that are started next.
    pub more_settings: String,
    /// API key that callers send.
    pub api_key: Option<&'static str>,
    /// IP address on which gateways that are started next listen for peers.
    pub peers_ip: &'static str,
    /// Links to targets, by target name.
    target_links: BTreeMap<String, Link>,
    /// Mirror addresses of storage hosts, for the settings of gateways that are started next.
    mirrors: Vec<SocketAddr>,
    /// Names and logs of all processes that were started.
    logs: Vec<(String, Lines)>,
}

/// Gateway process with its addresses.
pub struct Gateway {
    callers: SocketAddr,
    readiness: SocketAddr,
    process: ChildProcess,
    /// Store handle with the access path of this gateway.
    store_path: PlatformStore,
    /// Link to the store, if [`Platform::linked`] was set.
    link: Option<Link>,
    lines: Lines,
}

/// Log lines of a process since it reported its start.
type Lines = Arc<Mutex<Vec<String>>>;

impl Drop for Platform {
    fn drop(&mut self) {
        if thread::panicking() {
            self.print_last_lines();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Lines of each process that are printed when a test fails.
const LAST_LINES: usize = 150;

/// Address for the metrics of a gateway that is about to start. Its IP address is used only once, as another test could
/// otherwise listen at the free port before the gateway does.
///
/// # Panics
///
/// No port is free.
pub fn metrics_address() -> SocketAddr {
    static USED: AtomicU8 = AtomicU8::new(0);
    let number = USED.fetch_add(1, Ordering::Relaxed);
    let free = TcpListener::bind((Ipv4Addr::new(127, 0, 1, number), 0)).expect("a port");
    free.local_addr().expect("an address")
}

/// Route of a kind under `/kind/`, or `/kind-resumable/` for resumable streams.
pub fn route(kind: &str, attempts: u32, resumable: bool) -> Value {
    json!({
        "name": format!("r-{kind}-{resumable}"), "host": HOST,
        "pathPrefix": if resumable { format!("/{kind}-resumable/") } else { format!("/{kind}/") },
        "kind": kind, "timeoutMs": 20_000, "sloMs": 2_000, "prio": 0, "service": "reader",
        "attempts": attempts, "sticky": true, "resumable": resumable, "gapAimMs": 400,
        "batchSloMs": 20_000, "maxWaitS": 60,
    })
}

impl Platform {
    /// Platform with routes of all kinds, without gateways and replicas.
    pub fn new(binary: impl AsRef<Path>) -> Platform {
        let platform = Platform::without_routes(binary);
        platform.put_routes(1, 3);
        platform
    }

    /// Platform with an empty store.
    pub fn without_routes(binary: impl AsRef<Path>) -> Platform {
        let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
        let name = format!("samphiredoor-fleet-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a folder for settings");
        let store = PlatformStore::new();
        let serving = store.clone();
        let address = start(move || move |request| serving.clone().handle(request));
        Platform {
            store,
            binary: binary.as_ref().to_owned(),
            address,
            folder,
            gateways: Vec::new(),
            unready_ms: 300,
            finish_ms: 10_000,
            watch_ms: 2_000,
            within_ms: 2_000,
            store_path_fault: StoreFault::None,
            linked: false,
            store_bandwidth: None,
            region: "brisbane",
            more_settings: String::new(),
            api_key: None,
            peers_ip: "127.0.0.1",
            target_links: BTreeMap::new(),
            mirrors: Vec::new(),
            logs: Vec::new(),
        }
    }

    /// Writes a configuration with routes of all kinds.
    pub fn put_routes(&self, version: u64, attempts: u32) {
        self.store.put("config", "main", Platform::config(version, attempts));
    }

    /// Writes a configuration with routes of all kinds, this idle limit of connections and this timeout of requests.
    pub fn put_limits(&self, version: u64, attempts: u32, idle_ms: u64, timeout_ms: u64) {
        self.put_limits_and_routes(version, attempts, (idle_ms, timeout_ms), Vec::new());
    }

    /// The same with further routes.
    pub fn put_limits_and_routes(
        &self,
        version: u64,
        attempts: u32,
        (idle_ms, timeout_ms): (u64, u64),
        further: Vec<Value>,
    ) {
        let mut config = Platform::config(version, attempts);
        config["limits"]["idleTimeoutMs"] = json!(idle_ms);
        let routes = config["routes"].as_array_mut().expect("routes");
        routes.extend(further);
        for route in routes {
            route["timeoutMs"] = json!(timeout_ms);
        }
        self.store.put("config", "main", config);
    }

    /// Writes a configuration with routes of all kinds and one public route, whose callers need a key of a workspace.
    pub fn put_workspaces(&self, version: u64, tenants: &Value) {
        let mut config = Platform::config(version, 3);
        let mut public = route("safe", 3, false);
        public["pathPrefix"] = json!("/public/");
        public["public"] = json!(true);
        config["routes"].as_array_mut().expect("routes").push(public);
        config["tenants"] = tenants.clone();
        self.store.put("config", "main", config);
    }

    /// Writes a configuration with routes of all kinds, whose items are given up after this time only.
    pub fn put_routes_with_max_wait(&self, version: u64, max_wait_s: u64) {
        let mut config = Platform::config(version, 3);
        for route in config["routes"].as_array_mut().expect("routes") {
            route["maxWaitS"] = json!(max_wait_s);
        }
        self.store.put("config", "main", config);
    }

    fn config(version: u64, attempts: u32) -> Value {
        let routes = [
            route("stream", 1, false),
            route("stream", attempts, true),
            route("safe", attempts, false),
            route("unsafe", attempts, false),
            route("batch", attempts, false),
        ];
        let limits = json!({
            "maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304, "headerTimeoutMs": 5_000,
            "idleTimeoutMs": 15_000,
        });
        json!({ "version": version, "routes": routes, "services": [], "limits": limits })
    }

    /// Writes a configuration whose only route is `/newest/`.
    pub fn put_newest_route(&self, version: u64) {
        let mut newest = route("safe", 3, false);
        newest["pathPrefix"] = json!("/newest/");
        self.store.put("config", "main", json!({ "version": version, "routes": [newest] }));
    }

    /// Starts a replica and registers it as ready.
    pub fn start_target(&mut self, name: &str, pause: Duration) -> PlatformTarget {
        let target = PlatformTarget::start(name, EVENTS, pause).expect("a replica starts");
        self.add_target(&target);
        target
    }

    /// Starts a replica with a version of its software and registers it as ready.
    pub fn start_target_at(
        &mut self,
        version: &str,
        name: &str,
        pause: Duration,
    ) -> PlatformTarget {
        let target = PlatformTarget::start(name, EVENTS, pause).expect("a replica starts");
        let target = target.with_version(version);
        self.add_target(&target);
        target
    }

    /// Starts a replica of a service and registers it as ready.
    pub fn start_target_of(
        &mut self,
        service: &'static str,
        name: &str,
        pause: Duration,
    ) -> PlatformTarget {
        let target = PlatformTarget::start(name, EVENTS, pause).expect("a replica starts");
        let target = target.with_service(service);
        self.add_target(&target);
        target
    }

    /// Registers a replica as ready, behind a link if targets have one.
    pub fn add_target(&mut self, target: &PlatformTarget) {
        if self.linked {
            let link = Link::start(target.address).expect("a link starts");
            self.target_links.insert(target.name.clone(), link);
        }
        self.register(target, "ready");
    }

    /// Writes the store entry of a replica, with the address of its link if it has one.
    pub fn register(&self, target: &PlatformTarget, state: &str) {
        let mut entry = target.entry(target.service, "brisbane-north", state);
        if let Some(link) = self.target_links.get(&target.name) {
            entry["addr"] = json!(link.address().to_string());
        }
        self.store.put("servers", &target.name, entry);
    }

    /// Starts a gateway and waits until it is ready.
    pub fn start_gateway(&mut self) -> usize {
        let number = self.spawn_gateway();
        self.wait_ready(number);
        number
    }

    /// Waits until the readiness check of a gateway succeeds.
    pub fn wait_ready(&self, number: usize) {
        let readiness = self.gateways[number].readiness;
        wait_until("the gateway is ready", || get(readiness, "/samphiredoor/ready").status == 200);
    }

    /// Starts a gateway and waits until it listens; it may not be ready yet.
    pub fn spawn_gateway(&mut self) -> usize {
        let number = self.gateways.len();
        let gateway = self.run_gateway(number);
        self.gateways.push(gateway);
        number
    }

    /// Restarts a gateway under the same name; the previous process must have exited.
    pub fn restart_gateway(&mut self, number: usize) {
        self.gateways[number] = self.run_gateway(number);
    }

    fn run_gateway(&mut self, number: usize) -> Gateway {
        let store_path = self.store.with_own_path();
        store_path.set_path_fault(self.store_path_fault);
        let serving = store_path.clone();
        let store = start(move || move |request| serving.clone().handle(request));
        let link = self.store_link(store);
        let store = link.as_ref().map_or(store, Link::address);
        let (region, peers_ip) = (self.region, self.peers_ip);
        let settings = format!(
            "name = \"gateway-{number}\"\nregion = \"{region}\"\navailability_zone = \"{region}-north\"\n\
             callers.address = \"127.0.0.1:0\"\nreadiness.address = \"127.0.0.1:0\"\n\
             peers.address = \"{peers_ip}:0\"\nstore.address = \"{}\"\nstore.timeout_ms = 500\n\
             store.watch_ms = {}\nstore.routes_within_ms = {}\nstore.targets_within_ms = {}\nstopping.unready_ms = {}\nstopping.finish_ms = {}\n\
             regions.brisbane-north = \"brisbane\"\nregions.cairns-north = \"cairns\"\nmirrors.addresses = {:?}\n{}\n",
            store,
            self.watch_ms,
            self.within_ms,
            self.within_ms,
            self.unready_ms,
            self.finish_ms,
            self.mirrors.iter().map(SocketAddr::to_string).collect::<Vec<String>>(),
            self.more_settings,
        );
        let (child, line, lines) = self.spawn("gateway", &format!("gateway-{number}"), &settings);
        let address = |key: &str| {
            let (_, rest) = line.split_once(&format!(" {key}=")).expect("the field is logged");
            rest.split_whitespace().next().expect("a value").parse().expect("an address")
        };
        let (callers, readiness) = (address("callers"), address("readiness"));
        Gateway { callers, readiness, process: ChildProcess(child), store_path, link, lines }
    }

    /// Link to a server of the store for a process that is started next, if these have one.
    fn store_link(&self, store: SocketAddr) -> Option<Link> {
        let link = self.linked.then(|| Link::start(store).expect("a link starts"))?;
        if let Some(bandwidth) = &self.store_bandwidth {
            link.limit_bandwidth(bandwidth);
        }
        Some(link)
    }

    /// Starts the process of a storage host; gateways that are started next use its mirror.
    pub fn start_storage(&mut self, name: &str) -> ChildProcess {
        let link = self.store_link(self.address);
        let store = link.as_ref().map_or(self.address, Link::address);
        let settings = format!(
            "name = \"{name}\"\nregion = \"brisbane\"\navailability_zone = \"brisbane-north\"\n\
             store.address = \"{}\"\nstore.watch_ms = {}\nmirror.address = \"127.0.0.1:0\"\n",
            store, self.watch_ms
        );
        let (child, line, _) = self.spawn("storage", name, &settings);
        let (_, mirror) = line.split_once(" mirror=").expect("the address is logged");
        self.mirrors.push(mirror.trim().parse().expect("an address"));
        ChildProcess(child)
    }

    fn spawn(&mut self, role: &str, name: &str, settings: &str) -> (Child, String, Lines) {
        let file = self.folder.join(format!("{name}.toml"));
        std::fs::write(&file, settings).expect("settings are written");
        let mut child = Command::new(&self.binary)
            .arg(role)
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the process starts");
        let mut lines = BufReader::new(child.stdout.take().expect("stdout is piped")).lines();
        let mark = format!("{role}: started");
        let started = lines.find_map(|it| it.ok().filter(|line| line.contains(&mark)));
        let started = started.expect("the process logs its start");
        let print_lines = std::env::var_os("SAMPHIREDOOR_TEST_LOG").is_some();
        let (name, logged) = (name.to_owned(), Lines::default());
        let log = Arc::clone(&logged);
        self.logs.push((name.clone(), Arc::clone(&logged)));
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                if print_lines {
                    eprintln!("{name} {line}");
                }
                log.lock().expect("the lock is not poisoned").push(line);
            }
        });
        (child, started, logged)
    }

    /// Sends a signal to a gateway, by its name without `SIG`, such as `STOP`.
    pub fn signal(&self, number: usize, name: &str) {
        self.gateways[number].process.signal(name);
    }

    /// Greatest name after which a gateway has read a page of a list.
    pub fn listed_after(&self, number: usize) -> String {
        self.gateways[number].store_path.listed_after()
    }

    /// Sets the fault of a gateway's store path.
    pub fn set_store_path_fault(&self, number: usize, fault: StoreFault) {
        self.gateways[number].store_path.set_path_fault(fault);
    }

    /// All links of gateways to the store and of gateways to targets.
    pub fn links(&self) -> Vec<&Link> {
        let of_gateways = self.gateways.iter().filter_map(|it| it.link.as_ref());
        of_gateways.chain(self.target_links.values()).collect()
    }

    /// Waits until a gateway has logged a line that contains `text`.
    pub fn wait_logged(&self, number: usize, text: &str) {
        wait_until(text, || self.times_logged(number, text) > 0);
    }

    /// Number of lines that contain `text` in the log of a gateway's current process.
    pub fn times_logged(&self, number: usize, text: &str) -> usize {
        let lines = self.gateways[number].lines.lock().expect("the lock is not poisoned");
        lines.iter().filter(|it| it.contains(text)).count()
    }

    /// Log lines of all processes that name an id, each with the name of its process in front.
    pub fn log_lines_with(&self, id: &str) -> Vec<String> {
        let mut found = Vec::new();
        for (name, lines) in &self.logs {
            let lines = lines.lock().expect("the lock is not poisoned");
            let matching = lines.iter().filter(|it| contains_id(it, id));
            found.extend(matching.map(|it| format!("{name} {it}")));
        }
        found
    }

    /// Prints the last log lines of each process; a test harness shows them with the failure.
    fn print_last_lines(&self) {
        for (name, lines) in &self.logs {
            let Ok(lines) = lines.lock() else { continue };
            let skipped = lines.len().saturating_sub(LAST_LINES);
            println!("last lines of {name}, {skipped} before:");
            lines.iter().skip(skipped).for_each(|it| println!("{name} {it}"));
        }
    }

    /// Writes the log of each process to the file `NAME.log`; lines of later incarnations follow those of earlier ones.
    ///
    /// # Errors
    ///
    /// A file cannot be written.
    pub fn write_logs(&self, folder: &Path) -> std::io::Result<()> {
        let mut logs: BTreeMap<&str, String> = BTreeMap::new();
        for (name, lines) in &self.logs {
            let lines = lines.lock().expect("the lock is not poisoned");
            let log = logs.entry(name).or_default();
            lines.iter().for_each(|it| log.extend([it.as_str(), "\n"]));
        }
        logs.iter()
            .try_for_each(|(name, log)| std::fs::write(folder.join(format!("{name}.log")), log))
    }

    /// Link of a gateway to the store, if it has one.
    pub fn gateway_link(&self, number: usize) -> Option<&Link> {
        self.gateways[number].link.as_ref()
    }

    /// Link to a target, if it has one.
    pub fn target_link(&self, name: &str) -> Option<&Link> {
        self.target_links.get(name)
    }

    /// Addresses of the mirrors of storage hosts.
    pub fn mirrors(&self) -> &[SocketAddr] {
        &self.mirrors
    }

    /// Address of a gateway's listener for callers.
    pub fn callers(&self, number: usize) -> SocketAddr {
        self.gateways[number].callers
    }

    /// Process of a gateway.
    pub fn gateway(&mut self, number: usize) -> &mut ChildProcess {
        &mut self.gateways[number].process
    }

    /// Address of a gateway's readiness check.
    pub fn readiness(&self, number: usize) -> SocketAddr {
        self.gateways[number].readiness
    }

    /// Sends a request as a caller.
    pub fn send(&self, gateway: usize, path: &str, id: &str, body: &str) -> Answer {
        self.send_with(gateway, path, id, &[], body)
    }

    /// Sends a request as a caller, with additional headers.
    pub fn send_with(
        &self,
        gateway: usize,
        path: &str,
        id: &str,
        extra: &[(&str, &str)],
        body: &str,
    ) -> Answer {
        let mut headers = vec![("host", HOST), ("x-request-id", id)];
        headers.extend(self.key_header());
        headers.extend_from_slice(extra);
        call(Method::POST, self.gateways[gateway].callers, path, &headers, body)
    }

    /// Submits a job; the body of each item is its id.
    pub fn submit(&self, gateway: usize, job: &str, items: &[&str]) -> Answer {
        self.send(gateway, "/batch/submit", job, &submission(items))
    }

    /// Submits a job of `count` items.
    pub fn submit_many(&self, gateway: usize, job: &str, count: usize) -> Answer {
        let items: Vec<String> = (0..count).map(|it| format!("item-{it}")).collect();
        let items: Vec<&str> = items.iter().map(String::as_str).collect();
        self.submit(gateway, job, &items)
    }

    /// Reads one page of results, from position `after` on.
    pub fn results(&self, gateway: usize, job: &str, after: usize) -> Answer {
        self.results_after(gateway, job, &after.to_string())
    }

    /// Reads one page of results from a position that may be invalid.
    pub fn results_after(&self, gateway: usize, job: &str, after: &str) -> Answer {
        let path = format!("/samphiredoor/lots/{job}?after={after}");
        let mut headers = vec![("host", HOST), ("x-wait-ms", "100")];
        headers.extend(self.key_header());
        call(Method::GET, self.gateways[gateway].callers, &path, &headers, "")
    }

    /// Waits until a job has `count` results, and returns them.
    pub fn all_results(&self, gateway: usize, job: &str, count: usize) -> Vec<Value> {
        let mut all = Vec::new();
        wait_until("all results are available", || {
            all = self.available_results(gateway, job);
            all.len() == count
        });
        all
    }

    /// Reads all available results, page by page.
    pub fn available_results(&self, gateway: usize, job: &str) -> Vec<Value> {
        let mut all: Vec<Value> = Vec::new();
        loop {
            let page = self.results(gateway, job, all.len()).json();
            let outputs = page["outputs"].as_array().cloned().unwrap_or_default();
            if outputs.is_empty() {
                return all;
            }
            all.extend(outputs);
            if page["total"] == json!(all.len()) {
                return all;
            }
        }
    }

    /// Reads the body of an item.
    pub fn item(&self, gateway: usize, job: &str, item: &str) -> Answer {
        let path = format!("/samphiredoor/items/{job}?id={item}");
        self.call_job(Method::GET, gateway, &path)
    }

    /// Cancels a job.
    pub fn cancel(&self, gateway: usize, job: &str) -> Answer {
        let path = format!("/samphiredoor/lots/{job}");
        self.call_job(Method::DELETE, gateway, &path)
    }

    fn call_job(&self, method: Method, gateway: usize, path: &str) -> Answer {
        let mut headers = vec![("host", HOST)];
        headers.extend(self.key_header());
        call(method, self.gateways[gateway].callers, path, &headers, "")
    }

    fn key_header(&self) -> Option<(&'static str, &'static str)> {
        self.api_key.map(|it| ("x-api-key", it))
    }
}

/// Body of a job submission; the body of each item is its id.
pub fn submission(items: &[impl AsRef<str>]) -> String {
    let items = items.iter().map(AsRef::as_ref).map(|id| {
        json!({
            "id": id, "path": "/batch/item", "headers": { "X-Model": "m" },
            "body": STANDARD.encode(id), "tokenCount": 10,
        })
    });
    json!({ "items": items.collect::<Vec<Value>>() }).to_string()
}

/// Whether a line contains an id as a whole word, not as a part of a longer id.
fn contains_id(line: &str, id: &str) -> bool {
    let is_boundary = |it: Option<char>| it.is_none_or(|it| !it.is_alphanumeric() && it != '-');
    line.match_indices(id).any(|(at, _)| {
        is_boundary(line[..at].chars().next_back())
            && is_boundary(line[at + id.len()..].chars().next())
    })
}

/// Event stream that a caller receives from a complete run.
pub fn whole_stream() -> String {
    padded_stream(0)
}

/// Event stream of a complete run, with the data of each event padded to a size.
pub fn padded_stream(event_bytes: usize) -> String {
    stream_after(FIRST_VERSION, event_bytes, 0)
}

/// Events of a run at a version after the one with a number, with the data of each padded to a size.
pub fn stream_after(version: &str, event_bytes: usize, after: u64) -> String {
    let event = |it| format!("id: {it}\ndata: {}\n\n", event_data(version, it, event_bytes));
    (after + 1..=EVENTS).map(event).collect()
}

/// Text of an item of a complete run at a version.
pub fn whole_text(version: &str) -> String {
    text_of(version, EVENTS)
}
