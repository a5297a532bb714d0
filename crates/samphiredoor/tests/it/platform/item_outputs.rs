//! Outputs of batch items that a gateway holds until the store has them.

use std::{net::SocketAddr, thread, time::Duration};

use samphiredoor_standin::{
    platform_store::StoreFault,
    platform_target::{PlatformTarget, TargetFault},
};

use super::env::{BINARY, Platform, metric, metrics_address};
use crate::env::wait_until;

/// Events of an item, about 230 KB of output.
const EVENTS: u64 = 20_000;
const BUDGET_BYTES: u64 = 1_000_000;
/// Output from which on no further item starts.
const HELD_BYTES: u64 = BUDGET_BYTES / 100 * 85;
const ITEMS: usize = 24;
/// Slots of a target, all but the one that items leave free.
const ITEM_SLOTS: usize = 7;

/// Time after which items are given up, so long that a busy machine finishes them.
const MAX_WAIT_S: u64 = 600;

struct SmallGateway {
    platform: Platform,
    target: PlatformTarget,
    metrics: SocketAddr,
}

impl SmallGateway {
    fn new() -> SmallGateway {
        let mut platform = Platform::without_routes(BINARY);
        platform.put_routes_with_max_wait(1, MAX_WAIT_S);
        let metrics = metrics_address();
        platform.more_settings = format!(
            "metrics.address = \"{metrics}\"\noverload.control = \"on\"\n\
             overload.buffer_percent = 20\noverload.memory_limit_bytes = {}",
            BUDGET_BYTES * 5
        );
        let target = PlatformTarget::start("t-1", EVENTS, Duration::ZERO).expect("a target");
        platform.add_target(&target);
        platform.start_gateway();
        SmallGateway { platform, target, metrics }
    }

    fn metric(&self, name: &str) -> u64 {
        metric(self.metrics, name).unwrap_or_else(|| panic!("no metric {name}"))
    }

    /// Submits a job while results cannot be written, and waits until its outputs fill the budget.
    fn fill(&self) {
        assert_eq!(self.platform.submit_many(0, "job-1", ITEMS).status, 202);
        self.platform.store.set_fault(StoreFault::SegmentsRefused);
        wait_until("the outputs fill the budget", || {
            self.metric("buffered_item_bytes") >= HELD_BYTES && self.target.running() == 0
        });
    }
}

// The store refuses results. The gateway goes on holding the outputs of items that have run, so if it went on starting
// items, it would exceed its memory and be killed, and all of the outputs would be lost.
#[test]
fn no_item_starts_while_outputs_that_cannot_be_written_fill_the_budget() {
    let small = SmallGateway::new();
    small.fill();
    let started = small.target.runs().len();
    assert!(started <= 2 * ITEM_SLOTS, "{started} items have started");
    thread::sleep(Duration::from_millis(1_500));
    assert_eq!(small.target.runs().len(), started, "an item has started");
    assert_eq!(small.metric("items_held"), (ITEMS - started) as u64);
    let online = small.platform.send(0, "/stream/check", "online-1", "");
    assert_eq!(online.status, 200, "online requests are served");
    small.platform.store.set_fault(StoreFault::None);
    let results = small.platform.all_results(0, "job-1", ITEMS);
    assert!(
        results.iter().all(|it| it["state"] == "completed" && it["text"] == small.target.text())
    );
    wait_until("the memory is released", || small.metric("buffered_item_bytes") == 0);
    assert_eq!(small.metric("items_held"), 0);
}

// A caller cancels a job whose outputs fill the budget. They are written no more, so the items of other jobs would wait
// for ever if their memory were not released.
#[test]
fn the_outputs_of_a_cancelled_job_hold_back_no_other_job() {
    let small = SmallGateway::new();
    small.fill();
    assert_eq!(small.platform.cancel(0, "job-1").status, 200);
    wait_until("the memory is released", || small.metric("buffered_item_bytes") == 0);
    small.platform.store.set_fault(StoreFault::None);
    assert_eq!(small.platform.submit(0, "job-2", &["a", "b"]).status, 202);
    assert_eq!(small.platform.all_results(0, "job-2", 2).len(), 2);
}

// All items have lost their answers half-way, and what they produced fills the budget. It is released only when they
// are complete, so none would ever run again if all of them waited for memory.
#[test]
fn interrupted_items_resume_although_their_outputs_fill_the_budget() {
    let small = SmallGateway::new();
    small.target.fail_next(ITEMS as u32, TargetFault::CutAfter(EVENTS * 3 / 4));
    assert_eq!(small.platform.submit_many(0, "job-1", ITEMS).status, 202);
    assert_eq!(small.platform.all_results(0, "job-1", ITEMS).len(), ITEMS);
    assert!(small.metric("buffered_highest_bytes") >= HELD_BYTES);
    wait_until("the memory is released", || small.metric("buffered_item_bytes") == 0);
}
