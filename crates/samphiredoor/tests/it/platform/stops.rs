//! Planned stops and signals.

use std::{thread, time::Duration};

use samphiredoor_standin::platform_target::TargetFault;
use serde_json::json;

use super::env::{BINARY, Platform, whole_stream};
use crate::env::{get, wait_until};

const SLOW: Duration = Duration::from_millis(120);

// A gateway is told to stop while it passes a stream on. The caller gets its whole answer, and the balancer is told first.
#[test]
fn a_planned_stop_cuts_no_stream() {
    let mut platform = Platform::new(BINARY);
    platform.start_target("t-1", SLOW);
    platform.start_gateway();
    let readiness = platform.readiness(0);
    thread::scope(|scope| {
        let answer = scope.spawn(|| platform.send(0, "/stream/check", "id-1", ""));
        thread::sleep(SLOW);
        assert_eq!(get(readiness, "/samphiredoor/ready").status, 200);
        let platform = &platform;
        platform.signal(0, "TERM");
        wait_until("it says that it stops", || get(readiness, "/samphiredoor/ready").status != 200);
        let answer = answer.join().expect("the caller ends");
        assert_eq!((answer.status, answer.text), (200, whole_stream()));
    });
    assert!(platform.gateway(0).wait(), "the gateway ends well");
}

// A gateway that stops hands its jobs over; another one goes on with them at once.
#[test]
fn a_planned_stop_hands_jobs_over() {
    let mut platform = Platform::new(BINARY);
    let target = platform.start_target("t-1", SLOW);
    platform.start_gateway();
    platform.start_gateway();
    assert_eq!(platform.submit_many(0, "job-1", 20).status, 202);
    platform.signal(0, "TERM");
    assert!(platform.gateway(0).wait(), "the gateway ends well");
    let results = platform.all_results(1, "job-1", 20);
    assert!(results.iter().all(|it| it["text"] == target.text()));
}

// A signal to read the settings again comes to processes that have nothing to change; it must not end them.
#[test]
fn a_signal_to_reload_ends_no_process() {
    let mut platform = Platform::new(BINARY);
    platform.start_target("t-1", Duration::from_millis(2));
    platform.start_gateway();
    let storage = platform.start_storage("store-1");
    platform.signal(0, "HUP");
    storage.signal("HUP");
    thread::sleep(Duration::from_millis(100));
    platform.store.put("retirements", "store-2", json!({ "overS": 5 }));
    wait_until("the storage process still answers", || {
        platform.store.status("retirements", "store-2").is_some_and(|it| it["state"] == "completed")
    });
    assert_eq!(platform.send(0, "/stream/check", "id-1", "").status, 200);
}

// A gateway that stops has handed a job over, and a caller ends the job there. The end must reach the next owner: a
// gateway that only knew that the job was over for itself told the caller that it was ended, and the items ran on.
#[test]
fn an_end_after_a_hand_over_stops_the_next_owner() {
    let mut platform = Platform::new(BINARY);
    platform.unready_ms = 4_000;
    let target = platform.start_target("t-1", SLOW);
    platform.start_gateway();
    platform.start_gateway();
    assert_eq!(platform.submit_many(0, "job-1", 20).status, 202);
    platform.signal(0, "TERM");
    let owner = |spec: serde_json::Value| spec["owner"]["process"] == "gateway-1";
    wait_until("the job has its next owner", || {
        platform.store.spec("orderedjobs", "job-1").is_some_and(owner)
    });
    wait_until("the end is acknowledged", || platform.cancel(0, "job-1").status == 200);
    wait_until("the job is closed", || {
        platform.store.spec("orderedjobs", "job-1").is_some_and(|it| it["finished"] == true)
    });
    let runs = target.runs().len();
    thread::sleep(SLOW * 5);
    assert_eq!(target.runs().len(), runs);
}

// Items are cut by a planned stop in the middle of their output. The next owner goes on after their last events.
#[test]
fn outputs_are_handed_over_with_their_job() {
    let mut platform = Platform::new(BINARY);
    let target = platform.start_target("t-1", SLOW);
    platform.start_gateway();
    platform.start_gateway();
    assert_eq!(platform.submit(0, "job-1", &["item-a", "item-b"]).status, 202);
    wait_until("both run", || target.runs().len() == 2);
    thread::sleep(SLOW * 2);
    platform.signal(0, "TERM");
    let results = platform.all_results(1, "job-1", 2);
    assert!(results.iter().all(|it| it["text"] == target.text()));
    assert!(target.runs()[2..].iter().all(|it| it.after.is_some_and(|after| after > 0)));
}

// A gateway stops while a result waits to be written with others, and another one looks for jobs to take meanwhile. It took
// the job before its outputs were handed over, and its items ran from their beginning.
#[test]
fn a_job_is_not_taken_before_its_outputs_are_handed_over() {
    let mut platform = Platform::new(BINARY);
    let target = platform.start_target("t-1", SLOW * 3);
    platform.start_gateway();
    platform.start_gateway();
    // The other gateway looks for jobs each two seconds; its next look falls between the stop and the write.
    thread::sleep(Duration::from_millis(4_000));
    target.fail_next(1, TargetFault::Impossible);
    assert_eq!(platform.submit(0, "job-1", &["item-a", "item-b", "item-c"]).status, 202);
    wait_until("all run", || target.runs().len() == 3);
    thread::sleep(SLOW * 4);
    platform.signal(0, "TERM");
    platform.all_results(1, "job-1", 3);
    let begun = target.runs().iter().filter(|it| it.after.is_none()).count();
    assert_eq!(begun, 3, "each item began once");
}
