//! Results of cancelled jobs: what a caller has read stays readable at every gateway.

use std::time::{Duration, Instant};

use samphiredoor_standin::{
    platform_store::StoreFault,
    platform_target::{PlatformTarget, TargetFault},
};
use serde_json::Value;

use super::{cancellations::gateways, env::Platform};
use crate::env::wait_until;

const JOB: &str = "job-1";
/// Enough to run for about twenty seconds.
const ITEMS: usize = 200;
/// More runs than the target does at a time, so that the first ones have ended.
const RUNS_AFTER_FIRST_RESULTS: usize = 10;
/// Time in which an owner reads a short log after its takeover. It writes results seconds later.
const LOG_IS_READ: Duration = Duration::from_millis(300);
/// Longer than a write that was not answered can still take effect.
const LATE_WRITES_OVER: Duration = Duration::from_secs(8);
/// Pause after which a process counts as one that others may have declared dead.
const PAUSE: Duration = Duration::from_secs(2);
/// Time after a pause in which others hear from the process again; a late takeover takes some seconds more.
const SETTLED_AFTER: Duration = Duration::from_secs(4);

fn calls(platform: &Platform, call: &str) -> u64 {
    platform.store.calls().get(call).copied().unwrap_or(0)
}

/// Submits a job at gateway 0, and waits until its first segment with results has been sent to the store, which applies
/// it later.
fn submit_with_a_late_segment(platform: &Platform) {
    assert_eq!(platform.submit_many(0, JOB, ITEMS).status, 202);
    platform.set_store_path_fault(0, StoreFault::WritesHeld);
    wait_until("results are written", || calls(platform, "POST jobsegments") > 0);
}

/// Submits a job at gateway 0, and freezes the gateway when it has results that it has not written.
fn freeze_with_unwritten_results(platform: &Platform, target: &PlatformTarget) -> Value {
    assert_eq!(platform.submit_many(0, JOB, ITEMS).status, 202);
    wait_until("items have run", || target.runs().len() >= RUNS_AFTER_FIRST_RESULTS);
    platform.signal(0, "STOP");
    assert!(platform.store.names("jobsegments").is_empty(), "no result is written");
    owner(platform)
}

fn owner(platform: &Platform) -> Value {
    platform.store.spec("orderedjobs", JOB).expect("the job exists")["owner"].clone()
}

/// Waits until a job has another owner that has read its log, and returns the number of its gateway.
fn wait_taken_over(platform: &Platform, from: &Value) -> usize {
    wait_until("the job is taken over", || owner(platform) != *from);
    std::thread::sleep(LOG_IS_READ);
    let name = owner(platform)["process"].as_str().unwrap_or_default().to_owned();
    name.trim_start_matches("gateway-").parse().expect("the name of a gateway")
}

/// Freezes gateway 0, whose segment is late, and cancels its job when another gateway has taken it over. Returns the
/// number of that gateway.
fn cancel_at_next_owner(platform: &Platform) -> usize {
    let first = owner(platform);
    platform.signal(0, "STOP");
    let next = wait_taken_over(platform, &first);
    wait_cancelled(platform, next);
    next
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
/// that it is not sure, but not at the end.
fn assert_results_stay(platform: &Platform, results: &[Value]) {
    let until = Instant::now() + LATE_WRITES_OVER;
    while Instant::now() < until {
        for gateway in 0..3 {
            reads_all(platform, gateway, results);
        }
    }
    for gateway in 0..3 {
        wait_until("the gateway is sure", || reads_all(platform, gateway, results));
    }
}

/// Reads the job at a gateway, and checks that all results are there unless the gateway says that it is not sure.
/// Returns whether it was sure.
fn reads_all(platform: &Platform, gateway: usize, results: &[Value]) -> bool {
    let answer = platform.results(gateway, JOB, 0);
    assert!([200, 503].contains(&answer.status), "{}: {}", answer.status, answer.text);
    if answer.status == 200 {
        assert_eq!(
            answer.json()["outputs"],
            Value::Array(results.to_vec()),
            "at gateway-{gateway}"
        );
    }
    answer.status == 200
}

// Guards against an owner that answers from a log which it has not read since its former owner could last append.
#[test]
fn results_of_a_former_owner_stay_readable_after_it_has_restarted() {
    let (mut platform, _target) = gateways(3);
    submit_with_a_late_segment(&platform);
    let next = cancel_at_next_owner(&platform);
    platform.set_store_path_fault(0, StoreFault::None);
    let results = wait_results(&platform, next);
    platform.gateway(0).kill();
    platform.restart_gateway(0);
    assert_results_stay(&platform, &results);
}

// Guards against a closed job whose log is never read to its end, so that each read goes to the store.
#[test]
fn a_cancelled_job_is_answered_from_memory_once_its_former_owner_has_ended() {
    let (mut platform, _target) = gateways(3);
    submit_with_a_late_segment(&platform);
    let next = cancel_at_next_owner(&platform);
    platform.gateway(0).kill();
    platform.restart_gateway(0);
    wait_until("reads make no store calls", || {
        let before = calls(&platform, "GET jobsegments");
        (0..5).for_each(|_| drop(platform.results(next, JOB, 0)));
        calls(&platform, "GET jobsegments") == before
    });
}

// Guards against an owner that answers from memory although its last write may have taken effect.
#[test]
fn results_of_an_unanswered_write_stay_readable_after_a_cancellation() {
    let (platform, _target) = gateways(3);
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

// Guards against an owner that does not know of a former owner before its direct predecessor.
#[test]
fn results_of_an_earlier_former_owner_are_readable() {
    let (mut platform, _target) = gateways(4);
    submit_with_a_late_segment(&platform);
    let first = owner(&platform);
    platform.signal(0, "STOP");
    let number = wait_taken_over(&platform, &first);
    let second = owner(&platform);
    platform.gateway(number).kill();
    platform.restart_gateway(number);
    let third = wait_taken_over(&platform, &second);
    wait_cancelled(&platform, third);
    std::thread::sleep(LATE_WRITES_OVER);
    platform.set_store_path_fault(0, StoreFault::None);
    wait_until("the segment is stored", || !platform.store.names("jobsegments").is_empty());
    assert!(!platform.available_results(third, JOB).is_empty());
}

// Guards against an owner that appends results after a pause, in which others have taken over its job and closed it.
#[test]
fn a_resumed_owner_appends_nothing_before_it_has_checked_its_ownership() {
    let (platform, target) = gateways(3);
    let first = freeze_with_unwritten_results(&platform, &target);
    let next = wait_taken_over(&platform, &first);
    wait_cancelled(&platform, next);
    platform.signal(0, "CONT");
    platform.wait_logged(0, "job: another process owns it");
    assert!(platform.store.names("jobsegments").is_empty());
}

// Guards against an owner that answers from memory after a pause, in which another one has written results.
#[test]
fn a_resumed_owner_returns_the_results_of_the_next_owner() {
    let (platform, target) = gateways(3);
    let first = freeze_with_unwritten_results(&platform, &target);
    let next = wait_taken_over(&platform, &first);
    let results = wait_results(&platform, next);
    platform.signal(0, "CONT");
    while platform.times_logged(0, "job: another process owns it") == 0 {
        let answer = platform.results(0, JOB, 0);
        let returned = answer.json()["outputs"].as_array().map_or(0, Vec::len);
        assert!(answer.status != 200 || returned >= results.len(), "{returned} results");
    }
}

// Guards against an owner that answers from memory soon after a pause: a takeover that was sent during the pause may take
// effect seconds later, and another one then writes results.
#[test]
fn a_resumed_owner_sends_readers_to_the_store_until_no_takeover_can_be_late() {
    let (platform, target) = gateways(1);
    target.fail_next(100_000, TargetFault::Full);
    assert_eq!(platform.submit(0, JOB, &["item-a"]).status, 202);
    platform.signal(0, "STOP");
    std::thread::sleep(PAUSE);
    platform.signal(0, "CONT");
    platform.wait_logged(0, "peers may have declared this process dead");
    std::thread::sleep(SETTLED_AFTER);
    let reads_store = || {
        let before = calls(&platform, "GET jobsegments");
        assert_eq!(platform.results(0, JOB, 0).status, 200);
        calls(&platform, "GET jobsegments") > before
    };
    for _ in 0..3 {
        assert!(reads_store(), "the page is from memory alone");
    }
    wait_until("the owner answers from memory", || !reads_store());
}
