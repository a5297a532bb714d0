//! How long targets that leave still get requests, while other gateways fail or are turned away by the store.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use hyper::Method;
use samphiredoor_standin::{
    http::call, platform_store::StoreFault, platform_target::PlatformTarget,
};

use super::env::{BINARY, HOST, Platform};
use crate::env::wait_until;

const FAST: Duration = Duration::from_millis(2);
/// Two cells of seven gateways; in order of names, the second cell starts with `gateway-3`, then `gateway-4`.
const GATEWAYS: usize = 14;
const IN_FIRST_CELL: usize = 9;
const RELAY: usize = 3;
const NEXT_RELAY: usize = 4;
/// Gateways of the second cell that are no relay in any test, and send the requests.
const SENDING: [usize; 5] = [5, 6, 7, 8, 10];
/// Time in which a target that leaves may still get requests.
const WITHIN: Duration = Duration::from_millis(2_500);
/// The same after one or two other gateways have failed. The rest of the time is for hosts with a tenth of a core and for
/// requests that are on their way.
const APPLIED_WITHIN: Duration = Duration::from_millis(WITHIN.as_millis() as u64 * 3 / 4);
/// Time after which a status of a gateway that has lost the store has reached all others.
const STATUSES_ARRIVE: Duration = Duration::from_millis(1_500);
/// Time between a change and the fault that follows it, within the pause of the watches after changes.
const AFTER_CHANGE: Duration = Duration::from_millis(300);
/// Time after which the gateways of a cell whose relay was killed watch through the next one.
const NEXT_RELAY_ANSWERS: Duration = Duration::from_millis(2_000);
/// Time for which requests are sent before a target leaves.
const SENT_BEFORE: Duration = Duration::from_secs(1);
/// Time for which requests are sent after a target has left.
const OBSERVED: Duration = Duration::from_millis(8_000);

/// Starts gateways and four targets, and waits until all gateways know them.
fn start_fleet(gateways: usize) -> (Platform, Vec<PlatformTarget>) {
    let mut platform = Platform::new(BINARY);
    (platform.watch_ms, platform.within_ms) =
        (WITHIN.as_millis() as u64, WITHIN.as_millis() as u64);
    let targets = (1..=4).map(|it| platform.start_target(&format!("t-{it}"), FAST)).collect();
    for _ in 0..gateways {
        platform.spawn_gateway();
    }
    for number in 0..gateways {
        platform.wait_ready(number);
        platform.wait_logged(number, "peers: peer is live");
    }
    (platform, targets)
}

/// Starts two cells, and waits until their gateways watch through the relays.
fn start_two_cells() -> (Platform, Vec<PlatformTarget>) {
    let (platform, targets) = start_fleet(GATEWAYS);
    for number in SENDING {
        platform.wait_logged(number, "store: watched through another gateway kind=targets ");
    }
    (platform, targets)
}

/// Sends requests to gateways of the second cell without a pause, while `leave` makes the target leave that gets most of them,
/// and for a while after; returns how long after it has returned the last one reached that target.
fn last_request_after_leaving(
    platform: &mut Platform,
    targets: &[PlatformTarget],
    leave: impl FnOnce(&mut Platform, &PlatformTarget),
) -> Duration {
    let callers: Vec<SocketAddr> = SENDING.iter().map(|it| platform.callers(*it)).collect();
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        for callers in callers {
            let is_over = &is_over;
            scope.spawn(move || send_until(callers, is_over));
        }
        thread::sleep(SENT_BEFORE);
        let most_used = targets.iter().max_by_key(|it| it.runs().len());
        let leaving = most_used.expect("there are targets");
        leave(platform, leaving);
        let left_at = Instant::now();
        thread::sleep(OBSERVED);
        is_over.store(true, Ordering::Relaxed);
        let last = leaving.runs().into_iter().map(|it| it.at).max();
        last.map_or(Duration::ZERO, |it| it.saturating_duration_since(left_at))
    })
}

fn send_until(callers: SocketAddr, is_over: &AtomicBool) {
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("id-{}-{number}", callers.port());
        call(Method::POST, callers, "/safe/check", &[("host", HOST), ("x-request-id", &id)], "");
    }
}

/// Has the store turn a gateway away, and waits until the others know that it has lost the store.
fn turn_away(platform: &Platform, number: usize) {
    platform.set_store_path_fault(number, StoreFault::Busy);
    thread::sleep(STATUSES_ARRIVE);
}

/// What happens before the target leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Before {
    /// Nothing for a while.
    Quiet,
    /// Another target comes, so that the watches pause.
    Change,
}

macro_rules! leaving_targets_get_no_requests_in_time {
    ($($name:ident: $before:expr, $within:expr, $leave:expr;)*) => {$(
        #[test]
        fn $name() {
            let (mut platform, targets) = start_two_cells();
            turn_away(&platform, IN_FIRST_CELL);
            let leave: fn(&mut Platform, &PlatformTarget) = $leave;
            let last = last_request_after_leaving(&mut platform, &targets, |it, leaving| {
                match $before {
                    Before::Quiet => thread::sleep(WITHIN * 2),
                    Before::Change => {
                        it.start_target("t-5", FAST);
                        thread::sleep(AFTER_CHANGE);
                    }
                }
                leave(it, leaving);
            });
            assert!(last <= $within, "{last:?}");
        }
    )*};
}

// Relays of a cell fail, and the store refuses a gateway of another cell. Guards against requests to a target for longer than
// allowed after it has left.
leaving_targets_get_no_requests_in_time! {
    a_target_that_leaves_after_a_relay_was_killed_gets_no_requests_in_time: Before::Quiet, APPLIED_WITHIN, |it, leaving| {
        it.gateway(RELAY).kill();
        thread::sleep(NEXT_RELAY_ANSWERS);
        it.store.remove("servers", &leaving.name);
    };
    a_target_that_leaves_beside_a_frozen_relay_gets_no_requests_in_time: Before::Quiet, APPLIED_WITHIN, |it, leaving| {
        it.signal(RELAY, "STOP");
        it.store.remove("servers", &leaving.name);
    };
    a_target_that_leaves_after_a_change_beside_a_killed_relay_gets_no_requests_in_time: Before::Change, APPLIED_WITHIN, |it, leaving| {
        it.gateway(RELAY).kill();
        it.store.remove("servers", &leaving.name);
    };
    a_target_that_leaves_after_a_change_beside_a_frozen_relay_gets_no_requests_in_time: Before::Change, APPLIED_WITHIN, |it, leaving| {
        it.signal(RELAY, "STOP");
        it.store.remove("servers", &leaving.name);
    };
    a_target_that_leaves_after_a_change_beside_a_relay_with_silent_watches_gets_no_requests_in_time: Before::Change, APPLIED_WITHIN, |it, leaving| {
        it.set_store_path_fault(RELAY, StoreFault::WatchesSilent);
        it.store.remove("servers", &leaving.name);
    };
    a_target_that_drains_while_two_relays_fail_gets_no_requests_in_time: Before::Change, APPLIED_WITHIN, |it, leaving| {
        it.gateway(RELAY).kill();
        it.register(leaving, "draining");
        it.signal(NEXT_RELAY, "STOP");
    };
}

/// Time that watches have been silent for when a target leaves.
const SILENCE: Duration = Duration::from_millis(400);

/// Removes a target of a fleet without relays while the watches of the first two gateways are silent.
fn remove_beside_silent_watches(platform: &Platform) {
    let silenced = || platform.store.silenced_watches().get("servers").copied().unwrap_or(0);
    platform.store.set_fault(StoreFault::WatchesSilent);
    wait_until("the watches are silent", || silenced() >= 2);
    thread::sleep(SILENCE);
    platform.store.set_fault(StoreFault::None);
    platform.store.remove("servers", "t-1");
    let removed_at = Instant::now();
    for number in 0..2 {
        platform.wait_logged(number, "targets: removed target=t-1");
    }
    assert!(removed_at.elapsed() < WITHIN, "{:?}", removed_at.elapsed());
}

// Guards against holding the removal back as after an outage of the store, in which entries expire.
#[test]
fn a_removal_that_silent_watches_missed_takes_effect_in_time() {
    let (platform, _targets) = start_fleet(2);
    remove_beside_silent_watches(&platform);
}

// Guards against the same, as one gateway that the store refuses reports an outage.
#[test]
fn a_removal_takes_effect_in_time_while_the_store_refuses_another_gateway() {
    let (platform, _targets) = start_fleet(3);
    turn_away(&platform, 2);
    remove_beside_silent_watches(&platform);
}

/// Longer than gateways take to report that they have lost the store, and the others to hear of it.
const OUTAGE: Duration = Duration::from_secs(6);
/// Time in which targets whose entries have expired register again after an outage.
const REGISTERED_AGAIN: Duration = Duration::from_millis(1_200);

macro_rules! entries_that_expire_are_kept {
    ($($name:ident: $fault:expr;)*) => {$(
        #[test]
        fn $name() {
            let (platform, targets) = start_two_cells();
            platform.store.set_fault($fault);
            thread::sleep(OUTAGE);
            platform.store.remove("servers", "t-1");
            platform.store.set_fault(StoreFault::None);
            thread::sleep(REGISTERED_AGAIN);
            platform.register(&targets[0], "ready");
            thread::sleep(WITHIN * 2);
            for number in SENDING {
                assert_eq!(platform.times_logged(number, "targets: removed target=t-1"), 0, "gateway {number}");
            }
        }
    )*};
}

// The store is away for all, and the entry of one of four targets expires. Guards against losing targets that live, at gateways
// that watch through others.
entries_that_expire_are_kept! {
    entries_that_expire_while_the_store_refuses_all_are_kept: StoreFault::Busy;
    entries_that_expire_while_the_store_is_silent_are_kept: StoreFault::Silent;
}
