//! Batch jobs: accepted once, each item completed once, results readable everywhere and never moving.

use std::time::Duration;

use samphiredoor_standin::{
    platform_store::StoreFault,
    platform_target::{PlatformTarget, TargetFault},
};
use serde_json::Value;

use super::env::{BINARY, Platform, whole_stream};
use crate::env::wait_until;

const FAST: Duration = Duration::from_millis(2);
const SLOW: Duration = Duration::from_millis(150);
const ITEMS: [&str; 4] = ["item-a", "item-b", "item-c", "item-d"];

fn two_gateways(pause: Duration) -> (Platform, PlatformTarget) {
    let mut platform = Platform::new(BINARY);
    let target = platform.start_target("t-1", pause);
    platform.start_gateway();
    platform.start_gateway();
    (platform, target)
}

fn ids(results: &[Value]) -> Vec<String> {
    let mut ids: Vec<String> =
        results.iter().map(|it| it["id"].as_str().unwrap_or_default().to_owned()).collect();
    ids.sort();
    ids
}

#[test]
fn a_job_is_done_and_read_at_any_gateway() {
    let (platform, target) = two_gateways(FAST);
    assert_eq!(platform.submit(0, "job-1", &ITEMS).status, 202);
    let results = platform.all_results(0, "job-1", ITEMS.len());
    assert_eq!(ids(&results), ITEMS);
    assert!(results.iter().all(|it| it["state"] == "completed" && it["text"] == target.text()));
    assert_eq!(platform.all_results(1, "job-1", ITEMS.len()), results);
    assert_eq!(platform.results(1, "job-1", 2).json()["outputs"].as_array().map(Vec::len), Some(2));
}

#[test]
fn a_job_that_comes_again_is_accepted_once() {
    let (platform, target) = two_gateways(FAST);
    for gateway in [0, 1, 0] {
        assert_eq!(platform.submit(gateway, "job-1", &ITEMS).status, 202);
    }
    platform.all_results(1, "job-1", ITEMS.len());
    assert_eq!(target.runs().len(), ITEMS.len());
}

#[test]
fn an_unknown_job_is_not_found() {
    let (platform, _target) = two_gateways(FAST);
    assert_eq!(platform.results(0, "job-9", 0).status, 404);
    assert_eq!(platform.cancel(0, "job-9").status, 404);
    assert_eq!(platform.item(0, "job-9", "item-a").status, 404);
}

#[test]
fn an_item_that_is_not_done_gives_its_body_at_any_gateway() {
    let (platform, target) = two_gateways(FAST);
    target.fail_next(100, TargetFault::Full);
    assert_eq!(platform.submit(0, "job-1", &ITEMS).status, 202);
    for gateway in [0, 1] {
        let answer = platform.item(gateway, "job-1", "item-b");
        assert_eq!((answer.status, answer.text.as_str()), (200, "item-b"));
    }
}

// What a target fails for good, or as often as the route allows, is listed as failed and not run again.
#[test]
fn items_that_cannot_be_done_are_listed_as_failed() {
    let (platform, target) = two_gateways(FAST);
    target.fail_next(100, TargetFault::Impossible);
    assert_eq!(platform.submit(0, "job-1", &["item-a"]).status, 202);
    let results = platform.all_results(0, "job-1", 1);
    assert_eq!(results[0]["state"], "errored");
    assert_eq!(target.runs().len(), 1);
    target.fail_next(100, TargetFault::Fails);
    assert_eq!(platform.submit(0, "job-2", &["item-b"]).status, 202);
    platform.all_results(0, "job-2", 1);
    assert_eq!(target.runs().len(), 1 + 3);
}

// A target breaks off in the middle of an item. The text must go on after the last whole event.
#[test]
fn a_cut_item_goes_on_after_its_last_event() {
    let (platform, target) = two_gateways(FAST);
    target.fail_next(1, TargetFault::CutAfter(3));
    assert_eq!(platform.submit(0, "job-1", &["item-a"]).status, 202);
    let results = platform.all_results(0, "job-1", 1);
    assert_eq!(results[0]["text"], target.text());
    let after: Vec<_> = target.runs().iter().map(|it| it.after).collect();
    assert_eq!(after, [None, Some(3)]);
}

#[test]
fn an_ended_job_stops_also_where_another_gateway_heard_of_it() {
    let (platform, target) = two_gateways(SLOW);
    target.fail_next(1_000, TargetFault::Full);
    assert_eq!(platform.submit(0, "job-1", &ITEMS).status, 202);
    assert_eq!(platform.cancel(1, "job-1").status, 200);
    assert_eq!(platform.cancel(0, "job-1").status, 200);
    wait_until("the job is closed", || {
        platform.store.spec("orderedjobs", "job-1").is_some_and(|it| it["finished"] == true)
    });
    target.fail_next(0, TargetFault::None);
    assert!(target.runs().is_empty());
}

// The gateway that accepted a job is killed before an item is done. Another one takes the job, and the results stand
// once.
#[test]
fn a_job_outlives_the_gateway_that_accepted_it() {
    let (mut platform, _target) = two_gateways(SLOW);
    assert_eq!(platform.submit(0, "job-1", &ITEMS).status, 202);
    platform.gateway(0).kill();
    let results = platform.all_results(1, "job-1", ITEMS.len());
    assert_eq!(ids(&results), ITEMS);
}

// The gateway that owns a job is killed while its items are half done. Their outputs were lost with it, and the items ran
// from their beginning: where a hundred were half done, the fleet worked half a minute for nothing.
#[test]
fn items_go_on_where_a_killed_gateway_left_them() {
    let (mut platform, target) = two_gateways(Duration::from_millis(1_200));
    // Of three, the two that are left know that they are not the ones that are cut off.
    platform.start_gateway();
    platform.wait_logged(2, "peers: peer is live");
    assert_eq!(platform.submit(0, "job-1", &ITEMS).status, 202);
    wait_until("outputs are kept", || !platform.store.names("jobsegments").is_empty());
    platform.gateway(0).kill();
    let results = platform.all_results(1, "job-1", ITEMS.len());
    assert!(results.iter().all(|it| it["text"] == target.text()));
    let begun = target.runs().iter().filter(|it| it.after.is_none()).count();
    assert_eq!(begun, ITEMS.len(), "each item began once");
}

// A caller ends a job at a gateway that has just started and has heard of no other yet. It took the owner for gone and
// acknowledged the end, and the items ran on.
#[test]
fn an_end_at_a_gateway_that_has_just_started_reaches_the_owner() {
    let (mut platform, target) = two_gateways(SLOW);
    assert_eq!(platform.submit_many(0, "job-1", 40).status, 202);
    wait_until("items run", || !target.runs().is_empty());
    let started = platform.start_gateway();
    wait_until("the end is acknowledged", || platform.cancel(started, "job-1").status == 200);
    std::thread::sleep(SLOW);
    let runs = target.runs().len();
    std::thread::sleep(SLOW * 10);
    assert_eq!(target.runs().len(), runs);
}

// Guards against items that run on at an owner that the others had not heard when its job was ended.
#[test]
fn an_end_reaches_an_owner_that_was_not_heard_before() {
    let mut platform = Platform::new(BINARY);
    platform.watch_ms = 30_000;
    let target = platform.start_target("t-0", Duration::from_millis(300));
    platform.start_gateway();
    platform.set_way_fault(0, StoreFault::WatchesSilent);
    platform.start_gateway();
    platform.start_gateway();
    // The owner counts as gone where it was not heard for so long.
    std::thread::sleep(Duration::from_secs(4));
    assert_eq!(platform.submit_many(0, "job-1", 200).status, 202);
    wait_until("the end is acknowledged", || platform.cancel(1, "job-1").status == 200);
    platform.set_way_fault(0, StoreFault::None);
    platform.wait_logged(1, "peers: peer is live peer=gateway-0");
    std::thread::sleep(Duration::from_secs(6));
    let runs = target.runs().len();
    std::thread::sleep(Duration::from_secs(4));
    assert_eq!(target.runs().len(), runs, "of 200 items");
}

// A job was taken from a gateway that was killed and has started anew. Nobody but its owner can append to its log, and the
// owner still looked into the store for others at each read, three times a second for each job that is read.
#[test]
fn reads_of_a_job_whose_former_owner_is_gone_cost_no_store_calls() {
    let (mut platform, _target) = two_gateways(Duration::from_millis(1_800));
    platform.start_gateway();
    platform.wait_logged(2, "peers: peer is live");
    assert_eq!(platform.submit_many(0, "job-1", 16).status, 202);
    platform.gateway(0).kill();
    platform.restart_gateway(0);
    let owner = || platform.store.spec("orderedjobs", "job-1").map(|it| it["owner"].clone());
    let first = owner();
    wait_until("the job is taken", || owner() != first);
    // A last write of the former owner may take effect late.
    std::thread::sleep(Duration::from_secs(7));
    let reads = || platform.store.calls().get("GET jobsegments").copied().unwrap_or(0);
    let before = reads();
    for _ in 0..10 {
        let page = platform.results(1, "job-1", 0);
        assert_eq!(page.status, 200);
        assert_ne!(page.json()["next"], 16, "the job is still open");
    }
    assert_eq!(reads() - before, 0);
}

// The owner of a job sleeps, another gateway takes the job and finishes it, and the owner wakes with results of its own.
// Both must tell the same results at the same positions.
#[test]
fn a_former_owner_that_wakes_moves_no_result() {
    let (mut platform, _target) = two_gateways(SLOW);
    assert_eq!(platform.submit(0, "job-1", &ITEMS).status, 202);
    platform.gateway(0).signal("STOP");
    let results = platform.all_results(1, "job-1", ITEMS.len());
    platform.gateway(0).signal("CONT");
    wait_until("the former owner tells the same", || {
        platform.results(0, "job-1", 0).json()["outputs"] == Value::Array(results.clone())
    });
    assert_eq!(platform.all_results(1, "job-1", ITEMS.len()), results);
}

// A job's results are due while the store answers nothing. The task of the job waited for a time that had passed, held
// the whole process, and no caller was answered any more.
#[test]
fn online_requests_are_answered_while_results_cannot_be_written() {
    let (platform, target) = two_gateways(FAST);
    target.fail_next(4, TargetFault::CutAfter(2));
    assert_eq!(platform.submit(0, "job-1", &ITEMS).status, 202);
    platform.store.set_fault(StoreFault::Silent);
    wait_until("all items have run", || target.runs().len() >= 2 * ITEMS.len());
    for number in 0..20 {
        let answer = platform.send(0, "/stream/check", &format!("id-{number}"), "");
        assert_eq!((answer.status, answer.text), (200, whole_stream()));
        std::thread::sleep(Duration::from_millis(50));
    }
    platform.store.set_fault(StoreFault::None);
    assert_eq!(ids(&platform.all_results(0, "job-1", ITEMS.len())), ITEMS);
}

// A gateway alone misses the store and holds its runs back; then the store is lost for all. The job's task asked whose the
// job is again as soon as it was refused, a thousand times a second, and each call is paid for.
#[test]
fn a_lost_store_is_not_asked_all_the_time_whose_a_job_is() {
    let (platform, _target) = two_gateways(Duration::from_secs(2));
    platform.wait_logged(0, "peers: peer is live");
    platform.wait_logged(1, "peers: peer is live");
    assert_eq!(platform.submit(0, "job-1", &ITEMS).status, 202);
    platform.set_way_fault(0, StoreFault::Busy);
    platform.wait_logged(0, "runs held back");
    platform.store.set_fault(StoreFault::Busy);
    platform.wait_logged(1, "store: lost");
    // Until the other gateway's word is heard that it misses the store as well.
    std::thread::sleep(Duration::from_millis(2_500));
    let reads = || platform.store.calls().get("GET orderedjobs").copied().unwrap_or(0);
    let before = reads();
    std::thread::sleep(Duration::from_secs(1));
    // One each 150 ms, and the sweeps of two gateways.
    assert!(reads() - before <= 10, "{} reads in a second", reads() - before);
}

// The store is silent for all for some seconds, and the owner of a job notices it before the other gateway does. It took itself for
// the only one that misses the store, stopped all items and began them anew when the store was back: results came seconds
// later, though nobody could have taken the job. Evidence: `runs held back, only this process misses the store` at five of
// nine gateways in a silence of three seconds.
#[test]
fn a_store_that_is_silent_for_all_stops_no_item() {
    let mut platform = Platform::new(BINARY);
    let target = platform.start_target("t-1", Duration::from_millis(1_000));
    platform.start_gateway();
    // Its own watches tell it nothing of the silence.
    platform.within_ms = 600_000;
    platform.start_gateway();
    platform.wait_logged(0, "peers: peer is live");
    platform.wait_logged(1, "peers: peer is live");
    assert_eq!(platform.submit(0, "job-1", &ITEMS).status, 202);
    wait_until("all items run", || target.runs().len() == ITEMS.len());
    platform.store.set_fault(StoreFault::Silent);
    std::thread::sleep(Duration::from_millis(4_500));
    platform.store.set_fault(StoreFault::None);
    platform.all_results(0, "job-1", ITEMS.len());
    assert_eq!(target.runs().len(), ITEMS.len(), "each item runs once");
}

// A gateway that has just started takes a job before it knows any routes. It cannot tell that the job has none: the items
// must wait, and not be listed as failed.
#[test]
fn items_wait_where_no_routes_are_known_yet() {
    let mut platform = Platform::new(BINARY);
    let target = platform.start_target("t-1", SLOW);
    platform.start_gateway();
    assert_eq!(platform.submit(0, "job-1", &ITEMS).status, 202);
    let config = platform.store.spec("config", "main").expect("a configuration");
    platform.store.remove("config", "main");
    let next = platform.spawn_gateway();
    platform.gateway(0).kill();
    wait_until("the job has its next owner", || {
        let spec = platform.store.spec("orderedjobs", "job-1");
        spec.is_some_and(|it| it["owner"]["process"] == "gateway-1")
    });
    std::thread::sleep(Duration::from_millis(500));
    platform.store.put("config", "main", config);
    let results = platform.all_results(next, "job-1", ITEMS.len());
    assert!(results.iter().all(|it| it["text"] == target.text()));
}

macro_rules! one_way_lost {
    ($($name:ident: $fault:ident,)*) => {
        $(
            #[test]
            fn $name() {
                accepted_through_another_gateway(StoreFault::$fault);
            }
        )*
    };
}

// The store answers one gateway no more and serves the other. Callers' jobs at the first were refused, each after some
// seconds of waiting for the store. Now the other gateway accepts them in its place.
one_way_lost! {
    a_job_is_accepted_where_the_store_is_silent: Silent,
    a_job_is_accepted_where_the_store_refuses: Busy,
    a_job_is_accepted_where_the_store_does_not_answer_writes: WritesUnanswered,
}

fn accepted_through_another_gateway(fault: StoreFault) {
    let (platform, target) = two_gateways(FAST);
    platform.wait_logged(0, "peers: peer is live");
    platform.set_way_fault(0, fault);
    assert_eq!(platform.submit(0, "job-1", &ITEMS).status, 202);
    let results = platform.all_results(1, "job-1", ITEMS.len());
    assert_eq!(ids(&results), ITEMS);
    assert_eq!(target.runs().len(), ITEMS.len());
}

// Each call to a slow store takes a quarter of a second, and the acknowledgement is due in less than half a second. So the
// header does not wait for the parts.
#[test]
fn a_submission_is_written_in_one_round_trip() {
    let (platform, _target) = two_gateways(FAST);
    platform.store.set_fault(StoreFault::PartsAfterHeaders);
    assert_eq!(platform.submit(0, "job-1", &ITEMS).status, 202);
    assert_eq!(ids(&platform.all_results(1, "job-1", ITEMS.len())), ITEMS);
}

// The header of a job stands and its parts do not. The job is not accepted, and nothing says that it never will be: when
// its caller sends it again, each item runs once.
#[test]
fn a_job_without_its_parts_waits_for_them() {
    let (platform, target) = two_gateways(FAST);
    platform.store.set_fault(StoreFault::PartsRefused);
    assert_eq!(platform.submit(0, "job-1", &ITEMS).status, 504);
    assert_eq!(platform.results(1, "job-1", 0).json()["outputs"], Value::Array(Vec::new()));
    assert!(target.runs().is_empty());
    platform.store.set_fault(StoreFault::None);
    assert_eq!(platform.submit(1, "job-1", &ITEMS).status, 202);
    assert_eq!(ids(&platform.all_results(1, "job-1", ITEMS.len())), ITEMS);
    assert_eq!(target.runs().len(), ITEMS.len());
}

// The header of a job stands at once, its parts only later. Its caller ends it meanwhile at another gateway, which cannot tell
// the owner: that one has not begun. When it begins at last, it must find the end.
#[test]
fn a_job_that_was_ended_before_it_began_is_not_run() {
    let (platform, target) = two_gateways(FAST);
    target.fail_next(100_000, TargetFault::Full);
    platform.wait_logged(1, "peers: peer is live");
    platform.store.set_fault(StoreFault::PartsHeld);
    std::thread::scope(|scope| {
        let submission = scope.spawn(|| platform.submit(0, "job-1", &ITEMS).status);
        wait_until("the header stands", || platform.store.spec("orderedjobs", "job-1").is_some());
        assert_eq!(platform.cancel(1, "job-1").status, 504);
        // Nobody tells a caller that a job stands within the time that the store alone is waited for.
        std::thread::sleep(Duration::from_millis(300));
        platform.store.set_fault(StoreFault::None);
        assert_eq!(submission.join().expect("the submission is answered"), 202);
    });
    wait_until("the job is closed", || {
        platform.store.spec("orderedjobs", "job-1").is_some_and(|it| it["finished"] == true)
    });
    assert!(target.runs().is_empty());
}

macro_rules! lost_answers {
    ($($name:ident: $fault:expr;)*) => {
        $(
            // Answers of the store are lost, some calls take effect long after they were given up. Items must stand
            // once, and the job must be accepted once.
            #[test]
            fn $name() {
                let (platform, _target) = two_gateways(FAST);
                platform.store.set_fault($fault);
                let first = platform.submit(0, "job-1", &ITEMS);
                assert!([202, 503, 504].contains(&first.status), "{}", first.status);
                platform.store.set_fault(StoreFault::None);
                wait_until("the job is accepted", || platform.submit(1, "job-1", &ITEMS).status == 202);
                platform.store.set_fault($fault);
                std::thread::sleep(Duration::from_millis(700));
                platform.store.set_fault(StoreFault::None);
                let results = platform.all_results(0, "job-1", ITEMS.len());
                assert_eq!(ids(&results), ITEMS);
                assert_eq!(platform.all_results(1, "job-1", ITEMS.len()), results);
            }
        )*
    };
}

lost_answers! {
    a_job_stands_once_where_writes_are_not_answered: StoreFault::WritesUnanswered;
    a_job_stands_once_where_writes_come_late: StoreFault::WritesLate;
    a_job_stands_once_where_the_store_refuses: StoreFault::Busy;
}
