//! Load generator of small calls to a plain service, to measure the latency that a gateway adds and its maximum rate.
//!
//! Without a rate, the load is closed-loop: each connection sends its next call when the last one is answered, which
//! gives the maximum rate. With a rate, it is open-loop: calls are due at fixed times, and latency is measured from the
//! due time, so that the delay that a slow answer causes to later calls is counted (no coordinated omission).

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::Context;
use hdrhistogram::Histogram;
use hyper::{Method, Request};
use samphiredoor_net::{Body, Pool, body::read_whole};

const BODY: &str = r#"{"boxes":41}"#;
const MAX_ANSWER_BYTES: usize = 1_024;
const MAX_LATENCY_US: u64 = 60_000_000;

/// Parameters of a run.
#[derive(Debug, Clone)]
pub struct Calls {
    /// Address that the calls are sent to.
    pub address: SocketAddr,
    /// Path of each call.
    pub path: String,
    /// Concurrent calls; only without a rate.
    pub connections: usize,
    /// Calls per second; without it, the load is closed-loop.
    pub rate_per_s: Option<f64>,
    /// Duration of the run.
    pub duration: Duration,
}

struct Measured {
    latency_us: RefCell<Histogram<u64>>,
    failed: RefCell<u64>,
}

/// Sends the calls and prints one line: rate, latencies in milliseconds, number of failures.
pub async fn run(calls: Calls) -> anyhow::Result<()> {
    let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)?;
    let measured =
        Rc::new(Measured { latency_us: RefCell::new(histogram), failed: RefCell::new(0) });
    let pool = Pool::new(calls.address);
    let started_at = Instant::now();
    match calls.rate_per_s {
        None => run_closed_loop(&calls, &pool, &measured).await,
        Some(rate) => run_open_loop(&calls, rate, &pool, &measured).await,
    }
    let elapsed_s = started_at.elapsed().as_secs_f64();
    let latency = measured.latency_us.borrow();
    let ms = |quantile: f64| latency.value_at_quantile(quantile) as f64 / 1_000.0;
    println!(
        "{:.0} calls/s, p50 {:.3} ms, p99 {:.3} ms, p99.9 {:.3} ms, failed {}",
        latency.len() as f64 / elapsed_s,
        ms(0.5),
        ms(0.99),
        ms(0.999),
        measured.failed.borrow()
    );
    Ok(())
}

async fn run_closed_loop(calls: &Calls, pool: &Pool, measured: &Rc<Measured>) {
    let end = Instant::now() + calls.duration;
    let workers = (0..calls.connections).map(|_| async {
        while Instant::now() < end {
            call_and_record(calls, pool, measured, Instant::now()).await;
        }
    });
    futures_util::future::join_all(workers).await;
}

async fn run_open_loop(calls: &Calls, rate: f64, pool: &Pool, measured: &Rc<Measured>) {
    let started_at = Instant::now();
    let mut tasks = Vec::new();
    for number in 0.. {
        let due = started_at + Duration::from_secs_f64(f64::from(number) / rate);
        if due >= started_at + calls.duration {
            break;
        }
        let wait = due.saturating_duration_since(Instant::now());
        if !wait.is_zero() {
            compio::time::sleep(wait).await;
        }
        let (calls, pool, measured) = (calls.clone(), pool.clone(), Rc::clone(measured));
        tasks.push(compio::runtime::spawn(async move {
            call_and_record(&calls, &pool, &measured, due).await;
        }));
    }
    futures_util::future::join_all(tasks).await;
}

async fn call_and_record(calls: &Calls, pool: &Pool, measured: &Measured, due: Instant) {
    match send_call(calls, pool).await {
        Ok(()) => {
            let us = due.elapsed().as_micros() as u64;
            measured.latency_us.borrow_mut().saturating_record(us.max(1));
        }
        Err(err) => {
            log::debug!("calls: {err:#}");
            *measured.failed.borrow_mut() += 1;
        }
    }
}

async fn send_call(calls: &Calls, pool: &Pool) -> anyhow::Result<()> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(&calls.path)
        .header("host", "bench")
        .body(Body::full(BODY))?;
    let sent = pool.send(request).await;
    let response = sent.map_err(|err| anyhow::anyhow!("{err:?}"))?;
    anyhow::ensure!(response.status().is_success(), "status {}", response.status());
    let read = read_whole(response.into_body(), MAX_ANSWER_BYTES).await;
    read.map_err(|err| anyhow::anyhow!("{err:?}")).context("the answer is incomplete")?;
    Ok(())
}
