//! Load generator: sends the requests and jobs of a scenario and measures the answers.
//!
//! The load is open-loop: each request is sent when it is due, whether or not earlier ones were answered, and its
//! latency is measured from the due time. So a slow system cannot reduce its own load.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::{Context, ensure};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Method, Request, header};
use samphiredoor_embedded::engine_record::EngineRecord;
use samphiredoor_net::{
    Body, Pool,
    body::read_whole,
    pool::{ResponseBody, within},
};

use crate::{
    measured::{Measurements, OnlineOutcome},
    scenario::{Arrival, Scenario},
};

const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
const MAX_BODY_BYTES: usize = 64_000_000;

/// Addresses of the processes under test.
#[derive(Debug, Clone)]
pub struct Addresses {
    /// Gateways' listeners for callers.
    pub gateways: Vec<SocketAddr>,
    /// Engines, whose counters are read.
    pub engines: Vec<SocketAddr>,
}

/// Runs a scenario once, with its jobs if `batch` is set.
pub async fn run(
    scenario: &Scenario,
    addresses: &Addresses,
    batch: bool,
) -> anyhow::Result<Measurements> {
    let arrivals = scenario.arrivals(addresses.gateways.len());
    let gateways: Vec<Pool> = addresses.gateways.iter().map(|it| Pool::new(*it)).collect();
    let engines: Vec<Pool> = addresses.engines.iter().map(|it| Pool::new(*it)).collect();
    if batch {
        submit_jobs(scenario, &gateways).await?;
    }
    let warmup = Duration::from_secs_f64(scenario.warmup_s);
    let measured = Rc::new(RefCell::new(Measurements::new(warmup)));
    let start = Instant::now();
    let service = scenario.service.as_str().into();
    let sender = send_all(start, service, arrivals, gateways, Rc::clone(&measured));
    let sender = compio::runtime::spawn(sender);
    compio::time::sleep_until(start + warmup).await;
    for engine in &engines {
        call(engine, Method::DELETE, "/record", &[], String::new()).await?;
    }
    let measuring_since = Instant::now();
    compio::time::sleep_until(start + warmup + Duration::from_secs_f64(scenario.measure_s)).await;
    let mut records = Vec::new();
    for engine in &engines {
        let answer = call(engine, Method::GET, "/record", &[], String::new()).await?;
        records.push(serde_json::from_slice::<EngineRecord>(&answer)?);
    }
    let elapsed_s = measuring_since.elapsed().as_secs_f64();
    let tasks = sender.await.ok().context("the task that sends requests failed")?;
    for task in tasks {
        let _ = within(ANSWER_TIMEOUT, task).await;
    }
    let mut measured = measured.take();
    measured.set_engine_records(records, elapsed_s);
    Ok(measured)
}

type RequestTask = compio::runtime::JoinHandle<()>;

async fn send_all(
    start: Instant,
    service: Rc<str>,
    arrivals: Vec<Arrival>,
    gateways: Vec<Pool>,
    measured: Rc<RefCell<Measurements>>,
) -> Vec<RequestTask> {
    let mut tasks = Vec::new();
    for arrival in arrivals {
        compio::time::sleep_until(start + arrival.at).await;
        let gateway = gateways[arrival.gateway].clone();
        let service = Rc::clone(&service);
        let measured = Rc::clone(&measured);
        tasks.push(compio::runtime::spawn(async move {
            let at = arrival.at;
            let end = within(ANSWER_TIMEOUT, send_request(start, service, arrival, gateway)).await;
            measured
                .borrow_mut()
                .add_online(at, &end.unwrap_or(OnlineOutcome::failed("no_answer")));
        }));
    }
    tasks
}

async fn send_request(
    start: Instant,
    service: Rc<str>,
    arrival: Arrival,
    gateway: Pool,
) -> OnlineOutcome {
    let body = serde_json::json!({
        "model": &*service, "prompt": arrival.prompt, "max_tokens": arrival.tokens, "stream": true,
    });
    let request = request(Method::POST, "/v1/completions", &[], body.to_string());
    let Ok(response) = gateway.send(request).await else {
        return OnlineOutcome::failed("connection");
    };
    if !response.status().is_success() {
        let body = read_whole(response.into_body(), MAX_BODY_BYTES).await.unwrap_or_default();
        let value: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        return OnlineOutcome::failed(value["error"]["type"].as_str().unwrap_or("unnamed"));
    }
    read_stream(start + arrival.at, response.into_body()).await
}

async fn read_stream(due: Instant, mut body: ResponseBody) -> OnlineOutcome {
    let mut end = OnlineOutcome::default();
    let mut last = due;
    let mut done = false;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return OnlineOutcome::failed("cut") };
        let Ok(data) = frame.into_data() else { continue };
        let now = Instant::now();
        for event in data.split(|it| *it == b'\n').filter(|it| it.starts_with(b"data: ")) {
            if event == b"data: [DONE]" {
                done = true;
                continue;
            }
            let gap_us = now.saturating_duration_since(last).as_micros() as u64;
            match end.first_token_us {
                None => end.first_token_us = Some(gap_us),
                Some(_) => end.gaps_us.push(gap_us),
            }
            last = now;
        }
    }
    end.total_us = last.saturating_duration_since(due).as_micros() as u64;
    if done { end } else { OnlineOutcome::failed("cut") }
}

async fn submit_jobs(scenario: &Scenario, gateways: &[Pool]) -> anyhow::Result<()> {
    let mut number = 0;
    for gateway in gateways {
        for _ in 0..scenario.batch.jobs_per_door {
            let key = format!("load-{number}");
            let workspace = format!("workspace-{}", number % 2);
            let headers = [("idempotency-key", key.as_str()), ("x-workspace", &workspace)];
            let body = scenario.job_body(number);
            call(gateway, Method::POST, "/v1/batches", &headers, body).await?;
            number += 1;
        }
    }
    Ok(())
}

async fn call(
    pool: &Pool,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: String,
) -> anyhow::Result<Bytes> {
    let sent = pool.send(request(method, path, headers, body)).await;
    let response = sent.map_err(|err| anyhow::anyhow!("{path}: {err:?}"))?;
    let status = response.status();
    let body = read_whole(response.into_body(), MAX_BODY_BYTES).await;
    let body = body.map_err(|err| anyhow::anyhow!("{path}: {err:?}"))?;
    ensure!(status.is_success(), "{path}: {status} {}", String::from_utf8_lossy(&body));
    Ok(body)
}

fn request(method: Method, path: &str, headers: &[(&str, &str)], body: String) -> Request<Body> {
    let mut request = Request::builder().method(method).uri(path).header(header::HOST, "load");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(Body::full(body)).unwrap_or_else(|_| Request::new(Body::empty()))
}
