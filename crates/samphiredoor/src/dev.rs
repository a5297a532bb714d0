//! The `dev` command: a gateway, an object API and two small engines in one process, to try the system. Nothing is
//! stored on disk.

use std::{net::SocketAddr, thread, time::Duration};

use anyhow::{Context, anyhow};
use samphiredoor_embedded::{engine::EngineConfig, engine_http::Engine, objects_http::ObjectApi};
use samphiredoor_net::{ServeLimits, Server};
use serde_json::{Value, json};

use crate::{
    config::{DevConfig, DoorConfig},
    exit_codes::Exit,
    process,
};

const ENGINES: usize = 2;
const DEMO_ITEMS: usize = 10;
const MAX_POLLS: u32 = 200;
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Runs the embedded servers and the gateway.
pub fn run(dev: DevConfig) -> anyhow::Result<Exit> {
    let store = start_store()?;
    let engines = (0..ENGINES).map(|_| start_engine()).collect::<anyhow::Result<Vec<_>>>()?;
    let config = door_config(&dev, store);
    let operators = config.operators;
    println!(
        "samphiredoor dev: one door, an object API and {ENGINES} small engines in one process"
    );
    println!("samphiredoor dev: nothing is kept when it ends");
    let demo = dev.demo;
    let callers = config.callers;
    let demonstration = thread::spawn(move || -> anyhow::Result<()> {
        let runtime = compio::runtime::Runtime::new()?;
        runtime.block_on(async {
            declare(operators, &engines).await?;
            if demo { run_demo(callers).await } else { print_usage(callers) }
        })?;
        if demo {
            std::process::exit(0);
        }
        Ok(())
    });
    let door = process::run(config);
    match demonstration.join() {
        Ok(shown) => shown?,
        Err(_) => return Err(anyhow!("the thread that declares the engines panicked")),
    }
    door
}

fn start_store() -> anyhow::Result<SocketAddr> {
    start_thread("store", || {
        let api = ObjectApi::new();
        move |request| api.clone().handle(request)
    })
}

fn start_engine() -> anyhow::Result<SocketAddr> {
    start_thread("engine", || {
        let engine = Engine::new(EngineConfig::default());
        compio::runtime::spawn(engine.clone().run_steps()).detach();
        move |request| engine.clone().handle(request)
    })
}

fn start_thread<M, H, F>(name: &str, make: M) -> anyhow::Result<SocketAddr>
where
    M: FnOnce() -> H + Send + 'static,
    H: Fn(hyper::Request<hyper::body::Incoming>) -> F + 'static,
    F: Future<Output = hyper::Response<samphiredoor_net::Body>> + 'static,
{
    let (sender, receiver) = flume::bounded(1);
    thread::Builder::new().name(name.to_owned()).spawn(move || -> anyhow::Result<()> {
        compio::runtime::Runtime::new()?.block_on(async move {
            let address = SocketAddr::from(([127, 0, 0, 1], 0));
            let server = Server::bind(address, ServeLimits::default()).await?;
            sender.send(server.local_addr()?)?;
            server.run(make()).await;
            Ok(())
        })
    })?;
    receiver.recv().context("an embedded server did not start")
}

fn door_config(dev: &DevConfig, store: SocketAddr) -> DoorConfig {
    let next_port =
        |offset: u16| SocketAddr::new(dev.callers.ip(), dev.callers.port().wrapping_add(offset));
    DoorConfig {
        name: "dev".into(),
        region: "dev".into(),
        availability_zone: "dev-a".into(),
        callers: dev.callers,
        operators: next_port(1),
        operators_token: None,
        peers: next_port(2),
        peer_token: [].into(),
        seeds: Vec::new(),
        heartbeat: Duration::from_millis(500),
        store,
        store_timeout: Duration::from_secs(2),
        max_body_bytes: 64 * 1024 * 1024,
        body_timeout: Duration::from_secs(30),
        max_connections: 1_024,
        default_deadline: Duration::from_secs(60),
        remember_keys: Duration::from_secs(86_400),
        lease: Duration::from_secs(30),
        renew: Duration::from_secs(10),
        unready: Duration::ZERO,
        finish: Duration::from_secs(10),
    }
}

async fn declare(operators: SocketAddr, engines: &[SocketAddr]) -> anyhow::Result<()> {
    let targets: Vec<Value> = engines.iter().enumerate().map(|(n, it)| target(n, *it)).collect();
    let manifest = json!({
        "services": [{ "name": "small", "kind": "engine" }],
        "targets": targets,
    });
    let client = cyper::Client::new()?;
    for _ in 0..MAX_POLLS {
        let url = format!("http://{operators}/manifest");
        if let Ok(answer) = client.put(url)?.json(&manifest)?.send().await {
            let status = answer.status();
            let text = answer.text().await?;
            anyhow::ensure!(status.is_success(), "the manifest was refused: {text}");
            return Ok(());
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
    Err(anyhow!("the operators' listener on {operators} did not answer"))
}

fn target(number: usize, address: SocketAddr) -> Value {
    json!({
        "name": format!("engine-{number}"),
        "service": "small",
        "address": address.to_string(),
        "region": "dev",
        "availability_zone": "dev-a",
        "owner": "dev",
        "concurrency_limit": 64,
        "loan_limit": 32,
    })
}

fn print_usage(callers: SocketAddr) -> anyhow::Result<()> {
    println!("samphiredoor dev: try");
    println!(
        "  curl http://{callers}/v1/completions -d '{{\"model\":\"small\",\"prompt\":\"hello\"}}'"
    );
    Ok(())
}

async fn run_demo(callers: SocketAddr) -> anyhow::Result<()> {
    let client = cyper::Client::new()?;
    let call = json!({ "model": "small", "prompt": "hello", "max_tokens": 5 });
    let url = format!("http://{callers}/v1/completions");
    let answer = client.post(url)?.json(&call)?.send().await?.text().await?;
    println!("completion: {answer}");
    let job = submit_demo_job(&client, callers).await?;
    let url = format!("http://{callers}/v1/batches/{job}");
    for _ in 0..MAX_POLLS {
        let status: Value = client.get(&url)?.send().await?.json().await?;
        if status["status"] == "completed" {
            println!("job: {status}");
            let results = client.get(format!("{url}/results"))?.send().await?.text().await?;
            print!("{results}");
            return Ok(());
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
    Err(anyhow!("the job did not complete"))
}

async fn submit_demo_job(client: &cyper::Client, callers: SocketAddr) -> anyhow::Result<String> {
    let lines: Vec<String> = (0..DEMO_ITEMS).map(demo_line).collect();
    let answer = client
        .post(format!("http://{callers}/v1/batches"))?
        .header("idempotency-key", "demo")?
        .body(lines.join("\n"))
        .send()
        .await?;
    let job: Value = answer.json().await?;
    let id = job["id"].as_str().with_context(|| format!("the job was refused: {job}"))?;
    Ok(id.to_owned())
}

fn demo_line(number: usize) -> String {
    json!({
        "custom_id": format!("item-{number}"),
        "url": "/v1/completions",
        "body": { "model": "small", "prompt": format!("item {number}"), "max_tokens": 4 },
    })
    .to_string()
}
