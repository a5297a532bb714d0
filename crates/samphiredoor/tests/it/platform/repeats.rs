//! How often gateways send the same work again: the bounds hold across owners, restarts, and interruptions between an
//! owner and the store.

use std::{
    thread,
    time::{Duration, Instant},
};

use samphiredoor_standin::{
    platform_store::StoreFault,
    platform_target::{PlatformTarget, TargetFault},
};

use super::env::{BINARY, Platform};
use crate::env::wait_until;

const PAUSE: Duration = Duration::from_millis(2);
const FAILING: &str = "item-a";
/// Item that its target always rejects as not run, so that the job stays open.
const OPEN: &str = "item-b";
/// Setting `attempts` of the routes.
const ATTEMPTS: usize = 3;
/// Most runs of an item that answers 422.
const MOST_IMPOSSIBLE: usize = 3;
/// Most runs of an item that answers 500.
const MOST_FAILED: usize = 3 * ATTEMPTS;
const OWNERS: usize = 5;
/// Time after a run in which its outcome is recorded, unless it waits for something else; results wait for 1.5 s to share
/// a write.
const RECORDED_WITHIN: Duration = Duration::from_secs(1);

fn fleet(gateways: usize) -> (Platform, PlatformTarget) {
    let mut platform = Platform::new(BINARY);
    let target = platform.start_target("t-1", PAUSE);
    target.fail_always(OPEN, TargetFault::Full);
    for _ in 0..gateways {
        platform.start_gateway();
    }
    (platform, target)
}

/// Waits until the item has a result in the store, for at most [`RECORDED_WITHIN`].
fn wait_recorded(platform: &Platform) {
    let until = Instant::now() + RECORDED_WITHIN;
    let is_recorded = || {
        let segments = platform.store.names("jobsegments");
        segments.iter().filter_map(|it| platform.store.spec("jobsegments", it)).any(|segment| {
            segment["results"].as_array().is_some_and(|it| it.iter().any(|it| it["id"] == FAILING))
        })
    };
    while Instant::now() < until && !is_recorded() {
        thread::sleep(Duration::from_millis(5));
    }
}

/// Runs a job with a failing item at one owner after the other, each of which is killed; returns the number of its runs.
fn runs_over_all_owners(fault: TargetFault, runs_per_owner: usize) -> usize {
    let (mut platform, target) = fleet(1);
    target.fail_always(FAILING, fault);
    assert_eq!(platform.submit(0, "job-1", &[FAILING, OPEN]).status, 202);
    wait_until("the item fails", || target.runs_of(FAILING) >= runs_per_owner);
    for _ in 1..OWNERS {
        wait_recorded(&platform);
        platform.gateway(0).kill();
        platform.restart_gateway(0);
        platform.wait_logged(0, "job: items started");
    }
    wait_recorded(&platform);
    target.runs_of(FAILING)
}

// Guards against owners that are killed before they have recorded that an item can never succeed.
#[test]
fn an_impossible_item_is_not_sent_by_each_next_owner() {
    let runs = runs_over_all_owners(TargetFault::Impossible, 1);
    assert!(runs <= MOST_IMPOSSIBLE, "{runs} runs");
}

// Guards against owners that each count the failures of an item anew.
#[test]
fn failures_of_an_item_are_counted_across_owners() {
    let runs = runs_over_all_owners(TargetFault::Fails, ATTEMPTS);
    assert!(runs <= MOST_FAILED, "{runs} runs");
}

// Guards against an owner that forgets outcomes which it could not write yet when it resumes the job's items.
#[test]
fn an_outcome_that_waits_to_be_written_is_not_forgotten_by_its_owner() {
    let (platform, target) = fleet(2);
    target.fail_always(FAILING, TargetFault::Full);
    platform.wait_logged(0, "peers: peer is live");
    platform.wait_logged(1, "peers: peer is live");
    assert_eq!(platform.submit(0, "job-1", &[FAILING, OPEN]).status, 202);
    // Keeps the other gateway from taking the job over.
    platform.set_store_path_fault(1, StoreFault::HeaderUpdatesHeld);
    platform.set_store_path_fault(0, StoreFault::Busy);
    target.fail_always(FAILING, TargetFault::Impossible);
    wait_until("the item fails", || target.runs_of(FAILING) == 1);
    platform.wait_logged(0, "runs stopped, the store answers other gateways but not this one");
    platform.set_store_path_fault(0, StoreFault::SegmentsRefused);
    wait_until("the items are resumed", || platform.times_logged(0, "job: items started") > 1);
    thread::sleep(RECORDED_WITHIN);
    assert_eq!(target.runs_of(FAILING), 1);
}
