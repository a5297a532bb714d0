//! Planned stops and signals.

use std::{thread, time::Duration};

use serde_json::json;

use super::env::{Platform, whole_stream};
use crate::env::{get, wait_until};

const SLOW: Duration = Duration::from_millis(120);

// A gateway is told to stop while it passes a stream on. The caller gets its whole answer, and the balancer is told first.
#[test]
fn a_planned_stop_cuts_no_stream() {
    let mut platform = Platform::new();
    platform.start_target("t-1", SLOW);
    platform.start_gateway();
    let readiness = platform.gateway(0).readiness;
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
    let mut platform = Platform::new();
    let target = platform.start_target("t-1", SLOW);
    platform.start_gateway();
    platform.start_gateway();
    let items: Vec<String> = (0..20).map(|it| format!("item-{it}")).collect();
    let items: Vec<&str> = items.iter().map(String::as_str).collect();
    assert_eq!(platform.submit(0, "job-1", &items).status, 202);
    platform.signal(0, "TERM");
    assert!(platform.gateway(0).wait(), "the gateway ends well");
    let results = platform.all_results(1, "job-1", items.len());
    assert!(results.iter().all(|it| it["text"] == target.text()));
}

// A signal to read the settings again comes to processes that have nothing to change; it must not end them.
#[test]
fn a_signal_to_reload_ends_no_process() {
    let mut platform = Platform::new();
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
