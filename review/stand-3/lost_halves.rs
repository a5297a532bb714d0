//! Case: half of the gateways stand still for some seconds; later the same half is lost for good. Those that are left have to take
//! over the jobs of those that are gone.
//!
//! `lost_halves FOLDER`: plays six gateways and nine replicas; writes FOLDER/record.txt. `TROUBLE=0` leaves all gateways alone,
//! `ONLY_LAST=1` stops none before the loss. `KILLS=1` has each half killed and back after some seconds instead, one after the other.
//! Exit: 1 if the rule was broken, 0 if it held, 2 if it could not run.

mod platform;

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    process::exit,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use platform::{Gateway, Store, call, field, read_message};

const HOST: &str = "till.example";
const GATEWAYS: usize = 6;
const REPLICAS: usize = 9;
const SLOTS: usize = 8;
const JOBS: usize = 12;
const ITEMS: usize = 10;
/// Events of an item, and the time between two.
const EVENTS: u64 = 30;
const EVENT_PAUSE: Duration = Duration::from_millis(80);
/// Time for which a half is away, and after which all gateways know each other again.
const AWAY: Duration = Duration::from_secs(5);
const SETTLED: Duration = Duration::from_secs(9);
/// Bounds of the site.
const FINISH: Duration = Duration::from_secs(18);
const CALM: Duration = Duration::from_secs(5);
const NO_ITEM_FINISHED: Duration = Duration::from_secs(3);

struct World {
    began: Instant,
    lines: Mutex<Vec<String>>,
    /// When a replica last had an item of a job, by item.
    had: Mutex<BTreeMap<String, Instant>>,
    /// When a replica last finished an item.
    finished: Mutex<Option<Instant>>,
    busy: AtomicUsize,
}

impl World {
    fn note(&self, line: &str) {
        let line = format!("{:>6} {line}", self.began.elapsed().as_millis());
        println!("{line}");
        self.lines.lock().unwrap().push(line);
    }
}

/// Serves a replica that runs items as streams of events, and goes on after `Last-Event-Id`.
fn serve_replica(name: String, world: Arc<World>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let taken = Arc::new(AtomicUsize::new(0));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, world, taken) = (name.clone(), Arc::clone(&world), Arc::clone(&taken));
            thread::spawn(move || {
                let _ = serve_connection(&name, &world, &taken, &stream);
            });
        }
    });
    address
}

fn serve_connection(name: &str, world: &World, taken: &AtomicUsize, stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader)? {
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        let echoed = format!("X-Request-Id: {id}\r\nX-Server-Stamp: {name}.{id}\r\n");
        if request.header("x-expect-instance").is_some_and(|it| it != name) {
            write!(writer, "HTTP/1.1 421 Misdirected Request\r\n{echoed}Content-Length: 0\r\n\r\n")?;
            continue;
        }
        if taken.fetch_add(1, Ordering::SeqCst) >= SLOTS {
            taken.fetch_sub(1, Ordering::SeqCst);
            write!(writer, "HTTP/1.1 503 Service Unavailable\r\n{echoed}X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        world.busy.fetch_add(1, Ordering::SeqCst);
        let after: u64 = request.header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
        world.note(&format!("{name} runs item {id} after event {after}"));
        let head = format!(
            "HTTP/1.1 200 OK\r\n{echoed}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut sent = writer.write_all(head.as_bytes());
        for event in after + 1..=EVENTS {
            thread::sleep(EVENT_PAUSE);
            world.had.lock().unwrap().insert(id.clone(), Instant::now());
            let text = format!("id: {event}\ndata: word {event} of {id}\n\n");
            sent = sent.and_then(|()| writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()));
            if sent.is_err() {
                break;
            }
        }
        let ended = sent.and_then(|()| writer.write_all(b"0\r\n\r\n"));
        taken.fetch_sub(1, Ordering::SeqCst);
        world.busy.fetch_sub(1, Ordering::SeqCst);
        if ended.is_ok() {
            *world.finished.lock().unwrap() = Some(Instant::now());
        }
        ended?;
    }
    Ok(())
}

fn submission(job: usize) -> String {
    let items: Vec<String> = (0..ITEMS)
        .map(|it| format!("{{\"id\":\"{job:02}{it:02}\",\"path\":\"/lists/write\",\"headers\":{{\"X-Model\":\"m\"}},\"body\":\"Ym94\",\"tokenCount\":90}}"))
        .collect();
    format!("{{\"items\":[{}]}}", items.join(","))
}

/// Ids of the items that are listed as completed or errored, read through these gateways.
fn listed(job: &str, gateways: &[SocketAddr]) -> Result<BTreeSet<String>, String> {
    let mut ids = BTreeSet::new();
    let (mut after, mut tries) = (0, 0);
    loop {
        let headers = [("Host", HOST.to_owned())];
        let path = format!("/samphiredoor/lots/{job}?after={after}");
        let answer = call(gateways[tries % gateways.len()], "GET", &path, &headers, b"", Duration::from_secs(3));
        let Some(answer) = answer.ok().filter(|it| it.status() == 200) else {
            tries += 1;
            if tries == 12 {
                return Err(format!("job {job} can't be read"));
            }
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let next = field(&text, "next").and_then(|it| it.parse().ok()).unwrap_or(after);
        let outputs = field(&text, "outputs").unwrap_or("[]");
        ids.extend(outputs.split("\"id\":\"").skip(1).filter_map(|it| Some(it.split_once('"')?.0.to_owned())));
        if next == after || next == ITEMS {
            return Ok(ids);
        }
        after = next;
    }
}

/// Loses a half of the gateways for a time, and waits until all know each other again.
fn lose(world: &World, gateways: &mut [Gateway], half: &[usize]) -> Result<(), String> {
    world.note(&format!("gateways {half:?} get SIGKILL"));
    half.iter().for_each(|it| gateways[*it].kill());
    thread::sleep(AWAY);
    for number in half {
        gateways[*number].restart().map_err(|err| err.to_string())?;
    }
    world.note(&format!("gateways {half:?} are started again"));
    if !gateways.iter().all(|it| it.is_ready_within(Duration::from_secs(10))) {
        return Err("a gateway is not ready 10 s after its start".into());
    }
    thread::sleep(SETTLED);
    Ok(())
}

/// Stops a half of the gateways for a time, and waits until all know each other again.
fn freeze(world: &World, gateways: &[Gateway], half: &[usize]) {
    world.note(&format!("gateways {half:?} get SIGSTOP"));
    half.iter().for_each(|it| gateways[*it].signal("STOP"));
    thread::sleep(AWAY);
    half.iter().for_each(|it| gateways[*it].signal("CONT"));
    world.note(&format!("gateways {half:?} get SIGCONT"));
    thread::sleep(SETTLED);
}

fn play(folder: &Path, temporary: &Path) -> Result<i32, String> {
    let is_set = |name: &str, value: &str| std::env::var(name).as_deref() == Ok(value);
    let (has_trouble, only_last) = (!is_set("TROUBLE", "0"), is_set("ONLY_LAST", "1"));
    let world = Arc::new(World {
        began: Instant::now(),
        lines: Mutex::default(),
        had: Mutex::default(),
        finished: Mutex::default(),
        busy: AtomicUsize::new(0),
    });
    let store = Store::default();
    store.put(
        "config",
        "main",
        &format!(
            "{{\"version\":3,\"routes\":[{{\"name\":\"r-lists\",\"host\":\"{HOST}\",\"pathPrefix\":\"/lists/\",\"kind\":\"batch\",\"sloMs\":400,\"batchSloMs\":18000,\"maxWaitS\":60,\"timeoutMs\":15000,\"prio\":2,\"service\":\"till\",\"attempts\":3}}],\
             \"services\":[{{\"name\":\"till\",\"healthPath\":\"/healthz\",\"maxConns\":230}}],\
             \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
        ),
    );
    for number in 0..REPLICAS {
        let name = format!("i-{number:02}");
        let address = serve_replica(name.clone(), Arc::clone(&world));
        store.put(
            "servers",
            &name,
            &format!(
                "{{\"service\":\"till\",\"addr\":\"{address}\",\"zone\":\"quay-north\",\"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1,\"born\":1}}"
            ),
        );
    }
    let at = store.serve();
    let mut gateways = Vec::new();
    for number in 0..GATEWAYS {
        gateways.push(Gateway::start(number, at, temporary).map_err(|err| format!("gateway: {err}"))?);
    }
    if !gateways.iter().all(|it| it.is_ready_within(Duration::from_secs(15))) {
        return Err("a gateway is not ready within 15 s".into());
    }
    world.note("six gateways are ready");
    thread::sleep(SETTLED);
    match is_set("KILLS", "1") {
        _ if !has_trouble || only_last => {}
        true => {
            lose(&world, &mut gateways, &[0, 1, 2])?;
            lose(&world, &mut gateways, &[3, 4, 5])?;
        }
        false => freeze(&world, &gateways, &[0, 1, 2]),
    }
    let mut jobs = Vec::new();
    for job in 0..JOBS {
        let (number, name) = (job % GATEWAYS, format!("job{job:02}"));
        let headers = [
            ("Host", HOST.to_owned()),
            ("X-Request-Id", name.clone()),
            ("Content-Type", "application/json".to_owned()),
        ];
        let body = submission(job);
        let answer = call(gateways[number].callers, "POST", "/lists/hand-in", &headers, body.as_bytes(), Duration::from_secs(4));
        let status = answer.map_or(0, |it| it.status());
        world.note(&format!("job {name} is sent to gateway {number}: {status}"));
        if status == 202 {
            jobs.push((job, name));
        }
    }
    if jobs.len() < JOBS / 2 {
        return Err(format!("{} of {JOBS} jobs were accepted", jobs.len()));
    }
    thread::sleep(Duration::from_millis(1_000));
    if has_trouble {
        world.note("gateways [0, 1, 2] get SIGKILL, for good");
        gateways[..3].iter_mut().for_each(Gateway::kill);
    }
    world.note("traffic has ended");
    let alive: Vec<SocketAddr> = gateways[3..].iter().map(|it| it.callers).collect();
    thread::sleep(FINISH);
    world.note("finishS is over");
    let now = Instant::now();
    let mut lying = Vec::new();
    for (job, name) in &jobs {
        let listed = listed(name, &alive)?;
        let unlisted: Vec<String> =
            (0..ITEMS).map(|it| format!("{job:02}{it:02}")).filter(|it| !listed.contains(it)).collect();
        world.note(&format!("job {name}: {} of {ITEMS} items are listed", listed.len()));
        let had = world.had.lock().unwrap();
        let is_calm = unlisted.iter().all(|it| had.get(it).is_none_or(|at| now.duration_since(*at) >= CALM));
        if !unlisted.is_empty() && is_calm {
            lying.push((name.clone(), unlisted));
        }
    }
    let finished = *world.finished.lock().unwrap();
    let no_item_finished = finished.is_none_or(|at| now.duration_since(at) >= NO_ITEM_FINISHED);
    let is_half_empty = world.busy.load(Ordering::SeqCst) * 2 < REPLICAS * SLOTS;
    let items: usize = lying.iter().map(|(_, it)| it.len()).sum();
    let is_broken = items > 0 && no_item_finished && is_half_empty;
    world.note(&format!(
        "left lying: {items} items of {} jobs; no item finished in the last 3 s: {no_item_finished}; replicas under half full: {is_half_empty}; broken: {is_broken}",
        lying.len()
    ));
    if std::env::var_os("WATCH").is_some() {
        let until = Instant::now() + Duration::from_secs(40);
        while Instant::now() < until {
            thread::sleep(Duration::from_secs(2));
            let mut left = 0;
            for (_, name) in &jobs {
                left += ITEMS - listed(name, &alive)?.len();
            }
            world.note(&format!("unlisted: {left}"));
            if left == 0 {
                break;
            }
        }
    }
    drop(gateways);
    let lines = world.lines.lock().unwrap().join("\n");
    fs::write(folder.join("record.txt"), lines + "\n").map_err(|err| err.to_string())?;
    Ok(i32::from(is_broken))
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    let temporary = std::env::temp_dir().join(format!("lost-halves-{}", std::process::id()));
    let _ = fs::create_dir_all(&temporary);
    let played = play(Path::new(&folder), &temporary);
    if std::env::var_os("KEEP").is_none() {
        let _ = fs::remove_dir_all(&temporary);
    }
    match played {
        Ok(code) => exit(code),
        Err(problem) => {
            eprintln!("could not run: {problem}");
            exit(2);
        }
    }
}
