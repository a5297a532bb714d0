//! Fleets that are too large for one cell.

use std::time::Duration;

use samphiredoor_standin::platform_store::StoreFault;
use serde_json::json;

use super::env::{BINARY, Platform, route};
use crate::env::wait_until;

const FAST: Duration = Duration::from_millis(2);
const SLOW: Duration = Duration::from_millis(150);
/// Two cells of seven: in order of names, the second one begins with `gateway-3`.
const GATEWAYS: usize = 14;
const IN_FIRST_CELL: usize = 0;
const FIRST_OF_SECOND_CELL: usize = 3;
const IN_SECOND_CELL: usize = 9;
const ITEMS: [&str; 4] = ["item-a", "item-b", "item-c", "item-d"];

fn two_cells() -> Platform {
    let mut platform = Platform::new(BINARY);
    for _ in 0..GATEWAYS {
        platform.spawn_gateway();
    }
    for number in 0..GATEWAYS {
        platform.wait_ready(number);
    }
    platform
}

/// Waits until a gateway hears another one.
fn wait_heard(platform: &Platform, by: usize, of: usize) {
    platform.wait_logged(by, &format!("peers: heard peer=gateway-{of} "));
}

// Gateways of one cell never tell those of another one of their state; only summaries do. Without them each cell would take
// the other's jobs.
#[test]
fn gateways_hear_of_those_of_another_cell() {
    let mut platform = two_cells();
    let _target = platform.start_target("t-1", FAST);
    wait_heard(&platform, IN_FIRST_CELL, IN_SECOND_CELL);
    wait_heard(&platform, IN_SECOND_CELL, IN_FIRST_CELL);
    assert_eq!(platform.submit(IN_SECOND_CELL, "job-1", &ITEMS).status, 202);
    platform.all_results(IN_FIRST_CELL, "job-1", ITEMS.len());
}

// The gateway that speaks for a cell is killed, with a job. Its cell goes on to be heard, and the other cell learns that it is
// gone.
#[test]
fn another_gateway_speaks_for_a_cell_whose_speaker_is_killed() {
    let mut platform = two_cells();
    let target = platform.start_target("t-1", SLOW);
    wait_heard(&platform, IN_FIRST_CELL, FIRST_OF_SECOND_CELL);
    wait_heard(&platform, IN_FIRST_CELL, IN_SECOND_CELL);
    assert_eq!(platform.submit(FIRST_OF_SECOND_CELL, "job-1", &ITEMS).status, 202);
    wait_until("the job runs", || !target.runs().is_empty());
    platform.gateway(FIRST_OF_SECOND_CELL).kill();
    platform.all_results(IN_FIRST_CELL, "job-1", ITEMS.len());
    assert_eq!(platform.submit(IN_SECOND_CELL, "job-2", &ITEMS).status, 202);
    platform.all_results(IN_FIRST_CELL, "job-2", ITEMS.len());
    platform.restart_gateway(FIRST_OF_SECOND_CELL);
    platform.wait_ready(FIRST_OF_SECOND_CELL);
    wait_until("the first cell hears it again", || {
        platform.times_logged(IN_FIRST_CELL, "peers: heard peer=gateway-3 ") >= 2
    });
}

// Those that speak for a cell freeze. The other cell would take all others of it for gone, take their jobs, and acknowledge
// ends of jobs that run on.
#[test]
fn a_cell_whose_speakers_freeze_is_not_taken_for_gone() {
    let platform = two_cells();
    wait_heard(&platform, IN_FIRST_CELL, IN_SECOND_CELL);
    for speaker in [FIRST_OF_SECOND_CELL, FIRST_OF_SECOND_CELL + 1] {
        platform.signal(speaker, "STOP");
    }
    std::thread::sleep(Duration::from_secs(6));
    let heard = format!("peers: heard peer=gateway-{IN_SECOND_CELL} ");
    assert_eq!(platform.times_logged(IN_FIRST_CELL, &heard), 1, "it was heard all the while");
}

/// Puts routes in force that serve only a path of this version.
fn put_path(platform: &Platform, version: u64) {
    let mut new = route("stream", 1, false);
    new["pathPrefix"] = json!(format!("/path-{version}/"));
    platform.store.put("config", "main", json!({ "version": version, "routes": [new] }));
}

fn wait_in_force(platform: &Platform, by: usize, version: u64) {
    let path = format!("/path-{version}/check");
    wait_until("the new routes are in force", || {
        platform.send(by, &path, &format!("id-{by}-{version}"), "").status == 200
    });
}

/// Two cells that have heard each other and follow the store through their first gateways.
fn following_cells() -> Platform {
    let mut platform = two_cells();
    platform.start_target("t-1", FAST);
    wait_heard(&platform, IN_FIRST_CELL, IN_SECOND_CELL);
    for number in 0..GATEWAYS {
        platform.wait_logged(number, "targets: changed target=t-1 ");
    }
    put_path(&platform, 2);
    for number in 0..GATEWAYS {
        wait_in_force(&platform, number, 2);
    }
    let followers = [IN_FIRST_CELL, FIRST_OF_SECOND_CELL];
    for number in (0..GATEWAYS).filter(|it| !followers.contains(it)) {
        for kind in ["routes", "targets"] {
            let followed = format!("store: followed through another gateway kind={kind} ");
            platform.wait_logged(number, &followed);
        }
    }
    platform
}

// Each change would cost a call of each gateway.
#[test]
fn a_change_costs_a_call_of_each_cell() {
    let platform = following_cells();
    let calls = |platform: &Platform| platform.store.calls()["GET config"];
    let before = calls(&platform);
    put_path(&platform, 3);
    for number in 0..GATEWAYS {
        wait_in_force(&platform, number, 3);
    }
    let asked = calls(&platform) - before;
    assert!(asked < GATEWAYS as u64, "calls for one change: {asked}");
}

macro_rules! change_found {
    ($($name:ident: $harm:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut platform = following_cells();
            let harm: fn(&mut Platform) = $harm;
            harm(&mut platform);
            put_path(&platform, 3);
            wait_in_force(&platform, IN_SECOND_CELL, 3);
            wait_in_force(&platform, IN_FIRST_CELL, 3);
        }
    )*};
}

// What follows the store for a cell fails it; the others of the cell must still hear of changes.
change_found! {
    a_change_is_found_whose_follower_is_killed: |it| it.gateway(FIRST_OF_SECOND_CELL).kill();
    a_change_is_found_whose_follower_is_frozen: |it| it.signal(FIRST_OF_SECOND_CELL, "STOP");
    a_change_is_found_whose_follower_is_turned_away: |it| {
        it.set_way_fault(FIRST_OF_SECOND_CELL, StoreFault::Busy);
    };
    a_change_is_found_whose_follower_is_deaf: |it| {
        it.set_way_fault(FIRST_OF_SECOND_CELL, StoreFault::WatchesSilent);
    };
    a_change_is_found_where_all_but_one_are_turned_away: |it| {
        (0..GATEWAYS - 1).for_each(|number| it.set_way_fault(number, StoreFault::Busy));
    };
}

// The gateways that follow the store miss it for a moment, and entries lapse meanwhile. Those that watch through them missed
// nothing themselves, and would drop all targets at once.
#[test]
fn targets_that_lapsed_while_the_followers_missed_the_store_still_serve() {
    let platform = following_cells();
    let followers = [IN_FIRST_CELL, FIRST_OF_SECOND_CELL];
    followers.iter().for_each(|it| platform.set_way_fault(*it, StoreFault::Busy));
    std::thread::sleep(Duration::from_millis(700));
    platform.store.remove("servers", "t-1");
    followers.iter().for_each(|it| platform.set_way_fault(*it, StoreFault::None));
    for number in 0..8 {
        let answer = platform.send(IN_SECOND_CELL, "/path-2/check", &format!("id-{number}"), "");
        assert_eq!(answer.status, 200);
        std::thread::sleep(Duration::from_millis(150));
    }
}
