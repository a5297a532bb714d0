//! Measures the time until a change of the manifest is active on nine gateways, and the cost of idle gateways: bytes
//! sent to peers, CPU time, memory, and calls to the store. Build `samphiredoor` in release mode first, and run this in
//! release mode.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use anyhow::{Context, Result, ensure};
use bytes::Bytes;
use hyper::{Method, Request, header};
use samphiredoor_embedded::objects_http::ObjectApi;
use samphiredoor_net::{Body, Pool, ServeLimits, Server, body::read_whole};
use serde_json::{Value, json};

const DOORS: usize = 9;
const CHANGES: usize = 100;
const IDLE: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(1);
const TRIES: u32 = 20_000;
const ZONES: [&str; 3] = ["north", "south", "port"];
const CLOCK_TICKS_PER_S: f64 = 100.0;

struct DoorProcess {
    child: Child,
    operators: Pool,
}

impl Drop for DoorProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn main() -> Result<()> {
    compio::runtime::Runtime::new()?.block_on(measure())
}

async fn measure() -> Result<()> {
    let store = start_store()?;
    let folder = std::env::temp_dir().join(format!("manifest-spread-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let doors: Vec<DoorProcess> =
        (0..DOORS).map(|it| start_door(it, store, &folder)).collect::<Result<_>>()?;
    for door in &doors {
        wait_for(door, "/metrics", |it| it.contains(&format!("samphiredoor_members {DOORS}\n")))
            .await?;
    }
    spread(&doors).await?;
    idle(&doors, &Pool::new(store)).await?;
    std::fs::remove_dir_all(&folder)?;
    Ok(())
}

async fn spread(doors: &[DoorProcess]) -> Result<()> {
    let (mut accepted, mut in_force) = (Vec::new(), Vec::new());
    for number in 0..CHANGES {
        let declared = json!({ "services": [{ "name": format!("s-{number}"), "kind": "plain" }] });
        let start = Instant::now();
        let answer = call(&doors[number % DOORS].operators, Method::PUT, "/manifest", &declared);
        let revision = serde_json::from_str::<Value>(&answer.await?)?["revision"].clone();
        ensure!(revision.is_u64(), "the change was not accepted");
        accepted.push(start.elapsed());
        let expected = format!("\"revision\":{revision}");
        for door in doors {
            wait_for(door, "/ready", |it| it.contains(&expected)).await?;
        }
        in_force.push(start.elapsed());
    }
    println!("changes,{CHANGES}");
    print_times("accepted_ms", accepted);
    print_times("in_force_on_all_ms", in_force);
    Ok(())
}

fn print_times(name: &str, mut times: Vec<Duration>) {
    times.sort();
    let at = |share: usize| times[(times.len() * share / 100).min(times.len() - 1)];
    let ms = |it: Duration| it.as_secs_f64() * 1_000.0;
    println!("{name},p50 {:.1},p99 {:.1},most {:.1}", ms(at(50)), ms(at(99)), ms(at(100)));
}

async fn idle(doors: &[DoorProcess], store: &Pool) -> Result<()> {
    // Lets gossip and probes from the start of the processes settle first.
    compio::time::sleep(Duration::from_secs(20)).await;
    let bytes = total(doors, "samphiredoor_peer_bytes_sent_total ").await?;
    let cpu: f64 = doors.iter().map(cpu_s).sum();
    let calls = store_calls(store).await?;
    compio::time::sleep(IDLE).await;
    let seconds = IDLE.as_secs_f64();
    let per_door = |sum: f64| sum / DOORS as f64 / seconds;
    let cpu = doors.iter().map(cpu_s).sum::<f64>() - cpu;
    let bytes = total(doors, "samphiredoor_peer_bytes_sent_total ").await? - bytes;
    println!("sent_bytes_per_s_per_door,{:.0}", per_door(bytes));
    println!("cpu_percent_per_door,{:.2}", 100.0 * per_door(cpu));
    println!("most_resident_kb,{}", doors.iter().map(resident_kb).max().unwrap_or_default());
    for (call, count) in store_calls(store).await? {
        let before = calls.get(&call).copied().unwrap_or_default();
        println!("{call},per_door_per_minute {:.2}", 60.0 * per_door((count - before) as f64));
    }
    Ok(())
}

async fn total(doors: &[DoorProcess], name: &str) -> Result<f64> {
    let mut sum = 0.0;
    for door in doors {
        let text = call(&door.operators, Method::GET, "/metrics", &Value::Null).await?;
        let line = text.lines().find_map(|it| it.strip_prefix(name));
        sum += line.and_then(|it| it.parse::<f64>().ok()).unwrap_or_default();
    }
    Ok(sum)
}

async fn store_calls(store: &Pool) -> Result<BTreeMap<String, u64>> {
    Ok(serde_json::from_str(&call(store, Method::GET, "/calls", &Value::Null).await?)?)
}

fn cpu_s(door: &DoorProcess) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", door.child.id()));
    let stat = stat.unwrap_or_default();
    let fields = stat.rsplit_once(')').map_or("", |it| it.1).split_whitespace();
    let ticks: u64 = fields.skip(11).take(2).filter_map(|it| it.parse::<u64>().ok()).sum();
    ticks as f64 / CLOCK_TICKS_PER_S
}

fn resident_kb(door: &DoorProcess) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", door.child.id()));
    let status = status.unwrap_or_default();
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
    line.and_then(|it| it.split_whitespace().next()?.parse().ok()).unwrap_or_default()
}

async fn wait_for(door: &DoorProcess, path: &str, holds: impl Fn(&str) -> bool) -> Result<()> {
    for _ in 0..TRIES {
        if holds(&call(&door.operators, Method::GET, path, &Value::Null).await?) {
            return Ok(());
        }
        compio::time::sleep(POLL).await;
    }
    anyhow::bail!("{path} never came to hold what was waited for")
}

async fn call(pool: &Pool, method: Method, path: &str, value: &Value) -> Result<String> {
    let request = Request::builder().method(method).uri(path).header(header::HOST, "door");
    let request = request.body(Body::full(Bytes::from(value.to_string())))?;
    let response = pool.send(request).await.map_err(|err| anyhow::anyhow!("{path}: {err:?}"))?;
    let body = read_whole(response.into_body(), 1_000_000).await;
    let body = body.map_err(|err| anyhow::anyhow!("{path}: {err:?}"))?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

fn start_door(number: usize, store: SocketAddr, folder: &std::path::Path) -> Result<DoorProcess> {
    let file = folder.join(format!("door-{number}.toml"));
    let zone = ZONES[number % ZONES.len()];
    let settings = format!(
        "name = \"door-{number}\"\nregion = \"brisbane\"\navailability_zone = \"{zone}\"\n\
         callers.address = \"127.0.0.1:0\"\noperators.address = \"127.0.0.1:0\"\n\
         peers.address = \"127.0.0.1:0\"\nstore.address = \"{store}\"\n"
    );
    std::fs::write(&file, settings)?;
    let mut child = Command::new(door_binary()?)
        .arg("serve")
        .arg(&file)
        .stderr(Stdio::piped())
        .spawn()
        .context("build samphiredoor in release first")?;
    let mut lines = BufReader::new(child.stderr.take().context("no log")?).lines();
    let address = lines.by_ref().find_map(|line| {
        let line = line.ok()?;
        line.split_once("door: operators on ")?.1.parse::<SocketAddr>().ok()
    });
    thread::spawn(move || lines.for_each(drop));
    Ok(DoorProcess { child, operators: Pool::new(address.context("the door did not listen")?) })
}

fn door_binary() -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folder = own.parent().and_then(|it| it.parent()).context("no folder of binaries")?;
    Ok(folder.join("samphiredoor"))
}

fn start_store() -> Result<SocketAddr> {
    let (sender, receiver) = flume::bounded(1);
    thread::spawn(move || -> Result<()> {
        compio::runtime::Runtime::new()?.block_on(async move {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let server = Server::bind(any, ServeLimits::default()).await?;
            sender.send(server.local_addr()?)?;
            let api = ObjectApi::new();
            server.run(move |request| api.clone().handle(request)).await;
            Ok(())
        })
    });
    Ok(receiver.recv()?)
}
