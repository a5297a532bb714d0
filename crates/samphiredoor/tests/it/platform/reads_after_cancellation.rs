//! Results of cancelled jobs: what a caller has read stays readable at every gateway.

use std::time::{Duration, Instant};

use samphiredoor_standin::{platform_store::StoreFault, platform_target::PlatformTarget};
use serde_json::Value;

use super::env::{BINARY, Platform};
use crate::env::wait_until;

const JOB: &str = "job-1";
/// Enough to run for about twenty seconds.
const ITEMS: usize = 200;
const PAUSE: Duration = Duration::from_millis(150);
/// Longer than a write that was not answered can still take effect.
const LATE_WRITES_OVER: Duration = Duration::from_secs(8);

fn three_gateways() -> (Platform, PlatformTarget) {
    let mut platform = Platform::new(BINARY);
    let target = platform.start_target("t-1", PAUSE);
    for _ in 0..3 {
        platform.start_gateway();
    }
    for by in 0..3 {
        for of in (0..3).filter(|it| *it != by) {
            platform.wait_logged(by, &format!("peers: peer is live peer=gateway-{of} "));
        }
    }
    (platform, target)
}

fn calls(platform: &Platform, call: &str) -> u64 {
    platform.store.calls().get(call).copied().unwrap_or(0)
}

/// Submits a job at gateway 0, and waits until its first segment with results has been sent to the store, which applies
/// it later.
fn submit_with_a_late_segment(platform: &Platform) {
    platform.set_store_path_fault(0, StoreFault::SegmentsLate);
    assert_eq!(platform.submit_many(0, JOB, ITEMS).status, 202);
    wait_until("results are written", || calls(platform, "POST jobsegments") > 0);
}

fn wait_cancelled(platform: &Platform, at: usize) {
    wait_until("the cancellation is acknowledged", || platform.cancel(at, JOB).status == 200);
}

/// Waits until a gateway returns results.
fn wait_results(platform: &Platform, at: usize) -> Vec<Value> {
    let mut results = Vec::new();
    wait_until("results are readable", || {
        results = platform.available_results(at, JOB);
        !results.is_empty()
    });
    results
}

/// Reads the job at each gateway until late writes are over, and checks that all results are there. A gateway may say
/// that it is not sure.
fn assert_results_stay(platform: &Platform, results: &[Value]) {
    let until = Instant::now() + LATE_WRITES_OVER;
    while Instant::now() < until {
        for gateway in 0..3 {
            let answer = platform.results(gateway, JOB, 0);
            assert!([200, 503].contains(&answer.status), "{}: {}", answer.status, answer.text);
            if answer.status == 200 {
                let outputs = answer.json()["outputs"].clone();
                assert_eq!(outputs, Value::Array(results.to_vec()), "at gateway-{gateway}");
            }
        }
    }
}

// Guards against an owner that answers from a log which it has not read since its former owner could last append.
#[test]
fn results_of_a_former_owner_stay_readable_after_it_has_restarted() {
    let (mut platform, _target) = three_gateways();
    submit_with_a_late_segment(&platform);
    let reads = calls(&platform, "GET jobsegments");
    platform.signal(0, "STOP");
    wait_until("the next owner has read the log", || calls(&platform, "GET jobsegments") > reads);
    wait_cancelled(&platform, 1);
    platform.set_store_path_fault(0, StoreFault::None);
    let results = wait_results(&platform, 1);
    platform.gateway(0).kill();
    platform.restart_gateway(0);
    assert_results_stay(&platform, &results);
}

// Guards against an owner that answers from memory although its last write may have taken effect.
#[test]
fn results_of_an_unanswered_write_stay_readable_after_a_cancellation() {
    let (platform, _target) = three_gateways();
    submit_with_a_late_segment(&platform);
    platform.set_store_path_fault(0, StoreFault::Busy);
    platform.wait_logged(0, "store: lost");
    wait_cancelled(&platform, 1);
    platform.signal(0, "STOP");
    let results = wait_results(&platform, 1);
    platform.signal(0, "CONT");
    platform.set_store_path_fault(0, StoreFault::None);
    assert_results_stay(&platform, &results);
}
