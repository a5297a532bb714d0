//! Ends of jobs whose owner is not heard by the gateway that acknowledges them.

use std::time::Duration;

use samphiredoor_standin::{
    platform_store::StoreFault,
    platform_target::{PlatformTarget, TargetFault},
};

use serde_json::json;

use super::env::{BINARY, Platform};
use crate::env::wait_until;

const SLOW: Duration = Duration::from_millis(150);
/// So many that they run for some twenty seconds.
const ITEMS: usize = 200;
/// So many that others look for jobs three times meanwhile.
const FEW_ITEMS: usize = 60;
/// After this time a gateway that was never heard counts as gone in its own cell.
const UNHEARD: Duration = Duration::from_millis(3_200);
/// Gateways of two cells, and the first one of the second cell.
const TWO_CELLS: usize = 14;
const IN_SECOND_CELL: usize = 9;

/// Gateways that hear each other, before a target that is slow enough for a job to last.
fn gateways(count: usize) -> (Platform, PlatformTarget) {
    let mut platform = Platform::new(BINARY);
    let target = platform.start_target("t-1", SLOW);
    for _ in 0..count {
        platform.start_gateway();
    }
    for by in 0..count {
        for of in (0..count).filter(|it| *it != by) {
            platform.wait_logged(by, &format!("peers: peer is live peer=gateway-{of} "));
        }
    }
    (platform, target)
}

/// Submits a job that no other gateway finds by looking through all jobs.
fn submit_unseen(platform: &Platform, target: &PlatformTarget, owner: usize) {
    platform.store.keep_for_stale_lists();
    assert_eq!(platform.submit_many(owner, "job-1", ITEMS).status, 202);
    wait_until("items run", || !target.runs().is_empty());
}

fn wait_ended(platform: &Platform, at: usize) {
    wait_until("the end is acknowledged", || platform.cancel(at, "job-1").status == 200);
}

/// Waits until the owner is done with the job, and checks that it did not run on to its last item.
fn assert_stopped(platform: &Platform, target: &PlatformTarget, owner: usize) {
    let ways = ["job: closed", "job: another process owns it"];
    wait_until("the owner is done with the job", || {
        ways.iter().any(|it| platform.times_logged(owner, it) > 0)
    });
    assert_eq!(platform.times_logged(owner, "how=finished"), 0, "the job ran on to its end");
    // What was on its way to the target has arrived then.
    std::thread::sleep(SLOW);
    let runs = target.runs().len();
    std::thread::sleep(SLOW * 10);
    assert_eq!(target.runs().len(), runs);
}

// The owner lives and reaches the store, and others have never heard it. They took it for gone and acknowledged the end without it.
#[test]
fn an_end_reaches_an_owner_that_was_never_heard() {
    let (mut platform, target) = gateways(2);
    std::thread::sleep(UNHEARD);
    platform.way_fault = StoreFault::GatewaysHidden;
    let owner = platform.start_gateway();
    submit_unseen(&platform, &target, owner);
    wait_ended(&platform, 0);
    assert_stopped(&platform, &target, owner);
}

// The same in another cell, at a gateway that has started lately.
#[test]
fn an_end_reaches_an_owner_of_another_cell_that_was_never_heard() {
    let mut platform = Platform::new(BINARY);
    let target = platform.start_target("t-1", SLOW);
    for number in 0..TWO_CELLS {
        platform.way_fault = match number {
            IN_SECOND_CELL => StoreFault::GatewaysHidden,
            _ => StoreFault::None,
        };
        platform.spawn_gateway();
    }
    (0..TWO_CELLS).for_each(|number| platform.wait_ready(number));
    platform.way_fault = StoreFault::None;
    platform.gateway(0).kill();
    platform.restart_gateway(0);
    platform.wait_ready(0);
    platform.wait_logged(0, "peers: cells computed cells=2");
    std::thread::sleep(UNHEARD);
    submit_unseen(&platform, &target, IN_SECOND_CELL);
    wait_ended(&platform, 0);
    assert_stopped(&platform, &target, IN_SECOND_CELL);
}

// The owner has started anew, and others still know its former start alone.
#[test]
fn an_end_reaches_an_owner_that_has_just_started_anew() {
    let (mut platform, target) = gateways(3);
    platform.gateway(1).kill();
    platform.way_fault = StoreFault::GatewaysHidden;
    platform.restart_gateway(1);
    platform.wait_ready(1);
    submit_unseen(&platform, &target, 1);
    wait_ended(&platform, 0);
    assert_stopped(&platform, &target, 1);
}

// Its entry has been read by nobody yet. They took its jobs, and each item ran twice.
#[test]
fn a_job_is_not_taken_from_an_owner_that_was_never_heard() {
    let (mut platform, _target) = gateways(2);
    std::thread::sleep(UNHEARD);
    platform.way_fault = StoreFault::GatewaysHidden;
    let owner = platform.start_gateway();
    assert_eq!(platform.submit_many(owner, "job-1", FEW_ITEMS).status, 202);
    platform.all_results(owner, "job-1", FEW_ITEMS);
    for other in [0, 1] {
        assert_eq!(platform.times_logged(other, "job: taken"), 0, "taken by gateway-{other}");
    }
}

// The owner freezes, its job is ended without it, and it wakes with items that wait.
#[test]
fn an_owner_that_wakes_runs_no_item_of_a_job_that_was_ended() {
    let (mut platform, target) = gateways(3);
    submit_unseen(&platform, &target, 0);
    platform.gateway(0).signal("STOP");
    wait_ended(&platform, 1);
    platform.gateway(0).signal("CONT");
    assert_stopped(&platform, &target, 0);
}

// The same where another gateway has taken the job before it is ended.
#[test]
fn an_owner_that_wakes_runs_no_item_of_a_job_that_was_taken_and_ended() {
    let (mut platform, target) = gateways(3);
    assert_eq!(platform.submit_many(0, "job-1", ITEMS).status, 202);
    wait_until("items run", || !target.runs().is_empty());
    platform.gateway(0).signal("STOP");
    wait_until("the job is taken", || {
        let header = platform.store.spec("orderedjobs", "job-1").expect("the job stands");
        header["owner"]["process"] != "gateway-0"
    });
    wait_ended(&platform, 1);
    platform.gateway(0).signal("CONT");
    assert_stopped(&platform, &target, 0);
}

// The job's owner is killed, and its end crosses the taking of the job by another gateway.
#[test]
fn a_job_that_is_ended_while_it_is_taken_is_not_run() {
    let (mut platform, target) = gateways(3);
    target.fail_next(1_000_000, TargetFault::Full);
    assert_eq!(platform.submit_many(0, "job-1", ITEMS).status, 202);
    platform.gateway(0).kill();
    let updates = || platform.store.calls().get("PUT orderedjobs").copied().unwrap_or(0);
    let before = updates();
    platform.store.set_fault(StoreFault::HeaderUpdatesHeld);
    wait_until("the job is being taken", || updates() > before);
    assert_eq!(platform.cancel(1, "job-1").status, 200);
    target.fail_next(0, TargetFault::None);
    platform.store.set_fault(StoreFault::None);
    wait_until("the job is closed", || {
        platform.store.spec("orderedjobs", "job-1").is_some_and(|it| it["finished"] == true)
    });
    assert!(target.runs().is_empty());
}

macro_rules! end_found {
    ($($name:ident: $gap:expr, $over:expr;)*) => {$(
        #[test]
        fn $name() {
            let (mut platform, target) = gateways(3);
            submit_unseen(&platform, &target, 0);
            let (gap, over): (fn(&mut Platform), fn(&mut Platform)) = ($gap, $over);
            gap(&mut platform);
            platform.store.put("jobends", "job-1", json!({}));
            over(&mut platform);
            assert_stopped(&platform, &target, 0);
        }
    )*};
}

// Others may have acknowledged the end without the owner: it was cut off from them or from the store. It has to find the end itself.
end_found! {
    an_owner_that_hears_nobody_finds_the_end:
        |it| [1, 2].iter().for_each(|number| it.signal(*number, "STOP")),
        |_| {};
    an_owner_finds_the_end_after_an_outage_of_the_store:
        |it| {
            it.store.set_fault(StoreFault::Busy);
            it.wait_logged(0, "store: lost");
        },
        |it| it.store.set_fault(StoreFault::None);
    an_owner_that_alone_missed_the_store_finds_the_end:
        |it| {
            it.set_way_fault(0, StoreFault::Busy);
            it.wait_logged(0, "runs held back");
        },
        |it| it.set_way_fault(0, StoreFault::None);
}
