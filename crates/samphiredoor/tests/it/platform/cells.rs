//! Fleets of more than one cell: summaries between the cells, failover of their senders, and relayed watches.

use std::time::Duration;

use samphiredoor_standin::platform_store::StoreFault;
use serde_json::json;

use super::env::{BINARY, Platform, route};
use crate::env::wait_until;

const FAST: Duration = Duration::from_millis(2);
const SLOW: Duration = Duration::from_millis(150);
/// Two cells of seven gateways; in order of names, the second cell starts with `gateway-3`.
const GATEWAYS: usize = 14;
const IN_FIRST_CELL: usize = 0;
const FIRST_OF_SECOND_CELL: usize = 3;
const IN_SECOND_CELL: usize = 9;
const ITEMS: [&str; 4] = ["item-a", "item-b", "item-c", "item-d"];

fn start_two_cells() -> Platform {
    let mut platform = Platform::new(BINARY);
    for _ in 0..GATEWAYS {
        platform.spawn_gateway();
    }
    for number in 0..GATEWAYS {
        platform.wait_ready(number);
    }
    platform
}

/// Waits until gateway `by` counts gateway `of` as live.
fn wait_live(platform: &Platform, by: usize, of: usize) {
    platform.wait_logged(by, &format!("peers: peer is live peer=gateway-{of} "));
}

// Gateways receive the full state of other cells only through summaries. Without them each cell would declare the other
// one dead and take over its jobs.
#[test]
fn gateways_receive_the_state_of_another_cell() {
    let mut platform = start_two_cells();
    let _target = platform.start_target("t-1", FAST);
    wait_live(&platform, IN_FIRST_CELL, IN_SECOND_CELL);
    wait_live(&platform, IN_SECOND_CELL, IN_FIRST_CELL);
    assert_eq!(platform.submit(IN_SECOND_CELL, "job-1", &ITEMS).status, 202);
    platform.all_results(IN_FIRST_CELL, "job-1", ITEMS.len());
}

// A summary sender that owns a job is killed. The rest of its cell must stay live for the other cell, which must also
// learn that the killed gateway is dead.
#[test]
fn another_gateway_sends_summaries_after_a_sender_is_killed() {
    let mut platform = start_two_cells();
    let target = platform.start_target("t-1", SLOW);
    wait_live(&platform, IN_FIRST_CELL, FIRST_OF_SECOND_CELL);
    wait_live(&platform, IN_FIRST_CELL, IN_SECOND_CELL);
    assert_eq!(platform.submit(FIRST_OF_SECOND_CELL, "job-1", &ITEMS).status, 202);
    wait_until("the job runs", || !target.runs().is_empty());
    platform.gateway(FIRST_OF_SECOND_CELL).kill();
    platform.all_results(IN_FIRST_CELL, "job-1", ITEMS.len());
    assert_eq!(platform.submit(IN_SECOND_CELL, "job-2", &ITEMS).status, 202);
    platform.all_results(IN_FIRST_CELL, "job-2", ITEMS.len());
    platform.restart_gateway(FIRST_OF_SECOND_CELL);
    platform.wait_ready(FIRST_OF_SECOND_CELL);
    wait_until("the first cell counts it as live again", || {
        platform.times_logged(IN_FIRST_CELL, "peers: peer is live peer=gateway-3 ") >= 2
    });
}

// Both summary senders of a cell freeze. If the other cell declared the rest of that cell dead, it would take over
// their jobs, and acknowledge cancellations of jobs that are still running.
#[test]
fn a_cell_whose_summary_senders_freeze_is_not_declared_dead() {
    let platform = start_two_cells();
    wait_live(&platform, IN_FIRST_CELL, IN_SECOND_CELL);
    for sender in [FIRST_OF_SECOND_CELL, FIRST_OF_SECOND_CELL + 1] {
        platform.signal(sender, "STOP");
    }
    std::thread::sleep(Duration::from_secs(6));
    let live = format!("peers: peer is live peer=gateway-{IN_SECOND_CELL} ");
    assert_eq!(platform.times_logged(IN_FIRST_CELL, &live), 1, "it was live all the time");
}

/// Writes routes with a single path that names their version.
fn put_path(platform: &Platform, version: u64) {
    let mut new = route("stream", 1, false);
    new["pathPrefix"] = json!(format!("/path-{version}/"));
    platform.store.put("config", "main", json!({ "version": version, "routes": [new] }));
}

fn wait_active(platform: &Platform, by: usize, version: u64) {
    let path = format!("/path-{version}/check");
    wait_until("the new routes are active", || {
        platform.send(by, &path, &format!("id-{by}-{version}"), "").status == 200
    });
}

/// Starts two cells and waits until they are live for each other and watch the store through their first gateways.
fn start_relaying_cells() -> Platform {
    let mut platform = start_two_cells();
    platform.start_target("t-1", FAST);
    wait_live(&platform, IN_FIRST_CELL, IN_SECOND_CELL);
    for number in 0..GATEWAYS {
        platform.wait_logged(number, "targets: changed target=t-1 ");
    }
    put_path(&platform, 2);
    for number in 0..GATEWAYS {
        wait_active(&platform, number, 2);
    }
    let relays = [IN_FIRST_CELL, FIRST_OF_SECOND_CELL];
    for number in (0..GATEWAYS).filter(|it| !relays.contains(it)) {
        for kind in ["routes", "targets"] {
            let watched = format!("store: watched through another gateway kind={kind} ");
            platform.wait_logged(number, &watched);
        }
    }
    platform
}

// If every gateway watched the store itself, each change would cost one call per gateway.
#[test]
fn a_change_costs_one_call_per_cell() {
    let platform = start_relaying_cells();
    let calls = |platform: &Platform| platform.store.calls()["GET config"];
    let before = calls(&platform);
    put_path(&platform, 3);
    for number in 0..GATEWAYS {
        wait_active(&platform, number, 3);
    }
    let asked = calls(&platform) - before;
    assert!(asked < GATEWAYS as u64, "calls for one change: {asked}");
}

macro_rules! changes_arrive {
    ($($name:ident: $fault:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut platform = start_relaying_cells();
            let inject_fault: fn(&mut Platform) = $fault;
            inject_fault(&mut platform);
            put_path(&platform, 3);
            wait_active(&platform, IN_SECOND_CELL, 3);
            wait_active(&platform, IN_FIRST_CELL, 3);
        }
    )*};
}

// The watch relay of a cell fails; the other gateways of the cell must still receive changes.
changes_arrive! {
    changes_arrive_when_the_watch_relay_is_killed: |it| it.gateway(FIRST_OF_SECOND_CELL).kill();
    changes_arrive_when_the_watch_relay_is_frozen: |it| it.signal(FIRST_OF_SECOND_CELL, "STOP");
    changes_arrive_when_the_store_refuses_the_watch_relay: |it| {
        it.set_store_path_fault(FIRST_OF_SECOND_CELL, StoreFault::Busy);
    };
    changes_arrive_when_the_watches_of_the_watch_relay_stall: |it| {
        it.set_store_path_fault(FIRST_OF_SECOND_CELL, StoreFault::WatchesSilent);
    };
    changes_arrive_when_the_store_refuses_all_gateways_but_one: |it| {
        (0..GATEWAYS - 1).for_each(|number| it.set_store_path_fault(number, StoreFault::Busy));
    };
}

// The watch relays lose the store for a moment, and entries of targets expire meanwhile. The gateways that watch
// through them saw no outage themselves, and would remove all targets at once.
#[test]
fn targets_whose_entries_expire_during_an_outage_of_the_watch_relays_still_serve() {
    let platform = start_relaying_cells();
    let relays = [IN_FIRST_CELL, FIRST_OF_SECOND_CELL];
    relays.iter().for_each(|it| platform.set_store_path_fault(*it, StoreFault::Busy));
    std::thread::sleep(Duration::from_millis(700));
    platform.store.remove("servers", "t-1");
    relays.iter().for_each(|it| platform.set_store_path_fault(*it, StoreFault::None));
    for number in 0..8 {
        let answer = platform.send(IN_SECOND_CELL, "/path-2/check", &format!("id-{number}"), "");
        assert_eq!(answer.status, 200);
        std::thread::sleep(Duration::from_millis(150));
    }
}
