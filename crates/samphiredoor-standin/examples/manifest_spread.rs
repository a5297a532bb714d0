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

const GATEWAYS: usize = 9;
const CHANGES: usize = 100;
const IDLE_TIME: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(1);
const MAX_POLLS: u32 = 20_000;
const ZONES: [&str; 3] = ["north", "south", "port"];
const CLOCK_TICKS_PER_S: f64 = 100.0;

struct GatewayProcess {
    child: Child,
    operators: Pool,
}

impl Drop for GatewayProcess {
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
    let gateways: Vec<GatewayProcess> =
        (0..GATEWAYS).map(|it| start_gateway(it, store, &folder)).collect::<Result<_>>()?;
    for gateway in &gateways {
        wait_for(gateway, "/metrics", |it| {
            it.contains(&format!("samphiredoor_members {GATEWAYS}\n"))
        })
        .await?;
    }
    measure_spread(&gateways).await?;
    measure_idle_cost(&gateways, &Pool::new(store)).await?;
    std::fs::remove_dir_all(&folder)?;
    Ok(())
}

async fn measure_spread(gateways: &[GatewayProcess]) -> Result<()> {
    let (mut accepted, mut active) = (Vec::new(), Vec::new());
    for number in 0..CHANGES {
        let declared = json!({ "services": [{ "name": format!("s-{number}"), "kind": "plain" }] });
        let start = Instant::now();
        let answer =
            call(&gateways[number % GATEWAYS].operators, Method::PUT, "/manifest", &declared);
        let revision = serde_json::from_str::<Value>(&answer.await?)?["revision"].clone();
        ensure!(revision.is_u64(), "the change was rejected");
        accepted.push(start.elapsed());
        let expected = format!("\"revision\":{revision}");
        for gateway in gateways {
            wait_for(gateway, "/ready", |it| it.contains(&expected)).await?;
        }
        active.push(start.elapsed());
    }
    println!("changes,{CHANGES}");
    print_times("accepted_ms", accepted);
    print_times("in_force_on_all_ms", active);
    Ok(())
}

fn print_times(name: &str, mut times: Vec<Duration>) {
    times.sort();
    let percentile = |percent: usize| times[(times.len() * percent / 100).min(times.len() - 1)];
    let ms = |it: Duration| it.as_secs_f64() * 1_000.0;
    println!(
        "{name},p50 {:.1},p99 {:.1},most {:.1}",
        ms(percentile(50)),
        ms(percentile(99)),
        ms(percentile(100))
    );
}

async fn measure_idle_cost(gateways: &[GatewayProcess], store: &Pool) -> Result<()> {
    // Lets gossip and probes from the start of the processes settle first.
    compio::time::sleep(Duration::from_secs(20)).await;
    let bytes = total(gateways, "samphiredoor_peer_bytes_sent_total ").await?;
    let cpu: f64 = gateways.iter().map(cpu_s).sum();
    let calls = store_calls(store).await?;
    compio::time::sleep(IDLE_TIME).await;
    let seconds = IDLE_TIME.as_secs_f64();
    let per_gateway = |sum: f64| sum / GATEWAYS as f64 / seconds;
    let cpu = gateways.iter().map(cpu_s).sum::<f64>() - cpu;
    let bytes = total(gateways, "samphiredoor_peer_bytes_sent_total ").await? - bytes;
    println!("sent_bytes_per_s_per_door,{:.0}", per_gateway(bytes));
    println!("cpu_percent_per_door,{:.2}", 100.0 * per_gateway(cpu));
    println!("most_resident_kb,{}", gateways.iter().map(resident_kb).max().unwrap_or_default());
    for (call, count) in store_calls(store).await? {
        let before = calls.get(&call).copied().unwrap_or_default();
        println!("{call},per_door_per_minute {:.2}", 60.0 * per_gateway((count - before) as f64));
    }
    Ok(())
}

async fn total(gateways: &[GatewayProcess], name: &str) -> Result<f64> {
    let mut sum = 0.0;
    for gateway in gateways {
        let text = call(&gateway.operators, Method::GET, "/metrics", &Value::Null).await?;
        let line = text.lines().find_map(|it| it.strip_prefix(name));
        sum += line.and_then(|it| it.parse::<f64>().ok()).unwrap_or_default();
    }
    Ok(sum)
}

async fn store_calls(store: &Pool) -> Result<BTreeMap<String, u64>> {
    Ok(serde_json::from_str(&call(store, Method::GET, "/calls", &Value::Null).await?)?)
}

fn cpu_s(gateway: &GatewayProcess) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", gateway.child.id()));
    let stat = stat.unwrap_or_default();
    let fields = stat.rsplit_once(')').map_or("", |it| it.1).split_whitespace();
    let ticks: u64 = fields.skip(11).take(2).filter_map(|it| it.parse::<u64>().ok()).sum();
    ticks as f64 / CLOCK_TICKS_PER_S
}

fn resident_kb(gateway: &GatewayProcess) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", gateway.child.id()));
    let status = status.unwrap_or_default();
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
    line.and_then(|it| it.split_whitespace().next()?.parse().ok()).unwrap_or_default()
}

async fn wait_for(
    gateway: &GatewayProcess,
    path: &str,
    condition: impl Fn(&str) -> bool,
) -> Result<()> {
    for _ in 0..MAX_POLLS {
        if condition(&call(&gateway.operators, Method::GET, path, &Value::Null).await?) {
            return Ok(());
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
    anyhow::bail!("{path} did not show the expected state in time")
}

async fn call(pool: &Pool, method: Method, path: &str, value: &Value) -> Result<String> {
    let request = Request::builder().method(method).uri(path).header(header::HOST, "door");
    let request = request.body(Body::full(Bytes::from(value.to_string())))?;
    let response = pool.send(request).await.map_err(|err| anyhow::anyhow!("{path}: {err:?}"))?;
    let body = read_whole(response.into_body(), 1_000_000).await;
    let body = body.map_err(|err| anyhow::anyhow!("{path}: {err:?}"))?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

fn start_gateway(
    number: usize,
    store: SocketAddr,
    folder: &std::path::Path,
) -> Result<GatewayProcess> {
    let file = folder.join(format!("door-{number}.toml"));
    let zone = ZONES[number % ZONES.len()];
    let settings = format!(
        "name = \"door-{number}\"\nregion = \"brisbane\"\navailability_zone = \"{zone}\"\n\
         callers.address = \"127.0.0.1:0\"\noperators.address = \"127.0.0.1:0\"\n\
         peers.address = \"127.0.0.1:0\"\nstore.address = \"{store}\"\n"
    );
    std::fs::write(&file, settings)?;
    let mut child = Command::new(gateway_binary()?)
        .arg("serve")
        .arg(&file)
        .stderr(Stdio::piped())
        .spawn()
        .context("build samphiredoor in release first")?;
    let mut lines = BufReader::new(child.stderr.take().context("the log is not piped")?).lines();
    let address = lines.by_ref().find_map(|line| {
        let line = line.ok()?;
        line.split_once("door: operators on ")?.1.parse::<SocketAddr>().ok()
    });
    thread::spawn(move || lines.for_each(drop));
    Ok(GatewayProcess {
        child,
        operators: Pool::new(address.context("the gateway did not log its address")?),
    })
}

fn gateway_binary() -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folder =
        own.parent().and_then(|it| it.parent()).context("this program is in no target folder")?;
    Ok(folder.join("samphiredoor"))
}

fn start_store() -> Result<SocketAddr> {
    let (sender, receiver) = flume::bounded(1);
    thread::spawn(move || -> Result<()> {
        compio::runtime::Runtime::new()?.block_on(async move {
            let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
            let server = Server::bind(any_port, ServeLimits::default()).await?;
            sender.send(server.local_addr()?)?;
            let api = ObjectApi::new();
            server.run(move |request| api.clone().handle(request)).await;
            Ok(())
        })
    });
    Ok(receiver.recv()?)
}
