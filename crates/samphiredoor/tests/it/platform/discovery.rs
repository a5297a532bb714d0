//! Routes and targets as they change.

use std::time::Duration;

use samphiredoor_standin::platform_store::StoreFault;
use serde_json::json;

use super::env::{BINARY, Platform, route};
use crate::env::{get, wait_until};

const FAST: Duration = Duration::from_millis(2);

// A gateway that knows no routes cannot tell a wrong request from a proper one: it must not answer 404.
#[test]
fn without_routes_nothing_is_refused_for_good() {
    let mut platform = Platform::without_routes(BINARY);
    platform.start_target("t-1", FAST);
    platform.spawn_gateway();
    let readiness = platform.readiness(0);
    assert_eq!(get(readiness, "/samphiredoor/ready").status, 503);
    assert_eq!(platform.send(0, "/stream/check", "id-1", "").status, 503);
    platform.put_routes(1, 2);
    platform.wait_ready(0);
    assert_eq!(platform.send(0, "/stream/check", "id-2", "").status, 200);
}

// An older configuration is written after a newer one was seen. It must not come back into force.
#[test]
fn an_older_configuration_never_comes_back() {
    let mut platform = Platform::new(BINARY);
    platform.start_target("t-1", FAST);
    platform.start_gateway();
    let with = |version: u64, path: &str| {
        let mut new = route("stream", 1, false);
        new["pathPrefix"] = json!(path);
        platform.store.put("config", "main", json!({ "version": version, "routes": [new] }));
    };
    with(9, "/new/");
    wait_until("the new route serves", || platform.send(0, "/new/check", "id-1", "").status == 200);
    with(5, "/old/");
    with(12, "/newest/");
    wait_until("the newest serves", || platform.send(0, "/newest/check", "id-2", "").status == 200);
    assert_eq!(platform.send(0, "/old/check", "id-3", "").status, 404);
}

#[test]
fn a_configuration_is_found_where_the_history_is_gone() {
    let mut platform = Platform::new(BINARY);
    platform.start_target("t-1", FAST);
    platform.start_gateway();
    platform.store.set_fault(StoreFault::Busy);
    std::thread::sleep(Duration::from_millis(300));
    let mut new = route("stream", 1, false);
    new["pathPrefix"] = json!("/new/");
    platform.store.put("config", "main", json!({ "version": 7, "routes": [new] }));
    platform.store.forget_history();
    platform.store.set_fault(StoreFault::None);
    wait_until("the new route serves", || platform.send(0, "/new/check", "id-1", "").status == 200);
}

#[test]
fn a_leaving_target_gets_no_new_work() {
    let mut platform = Platform::new(BINARY);
    let leaving = platform.start_target("t-1", FAST);
    platform.start_gateway();
    assert_eq!(platform.send(0, "/stream/check", "id-1", "").status, 200);
    platform.register(&leaving, "draining");
    wait_until("it gets none", || platform.send(0, "/stream/check", "id-2", "").status == 503);
    let runs = leaving.runs().len();
    platform.start_target("t-2", FAST);
    wait_until("another serves", || platform.send(0, "/stream/check", "id-3", "").status == 200);
    assert_eq!(leaving.runs().len(), runs);
}

// Entries of another writer stand among those of targets: fields missing, of another type, a state that nobody knows.
// They name no target to use, and the others hold.
#[test]
fn foreign_entries_name_no_target() {
    let mut platform = Platform::new(BINARY);
    let foreign = [
        json!("text"),
        json!({ "service": "reader" }),
        json!({ "service": 7, "addr": "127.0.0.1:1", "zone": "z", "slots": 8, "state": "ready" }),
        json!({ "service": "reader", "addr": "nowhere", "zone": "z", "slots": 8, "state": "ready" }),
        json!({ "service": "reader", "addr": "127.0.0.1:1", "zone": "z", "slots": 8, "state": "asleep" }),
    ];
    for (number, entry) in foreign.into_iter().enumerate() {
        platform.store.put("servers", &format!("foreign-{number}"), entry);
    }
    platform.start_target("t-1", FAST);
    platform.start_gateway();
    for number in 0..5 {
        assert_eq!(platform.send(0, "/unsafe/book", &format!("id-{number}"), "").status, 200);
    }
}

// The store is away, all entries lapse, and the targets write theirs anew about two seconds after its return. To drop
// them all at once would leave no target to use.
#[test]
fn targets_that_lapsed_with_the_store_still_serve() {
    let mut platform = Platform::new(BINARY);
    let target = platform.start_target("t-1", FAST);
    platform.start_gateway();
    platform.store.set_fault(StoreFault::Busy);
    std::thread::sleep(Duration::from_millis(1_500));
    platform.store.remove("servers", "t-1");
    platform.store.set_fault(StoreFault::None);
    for number in 0..8 {
        let answer = platform.send(0, "/unsafe/book", &format!("id-{number}"), "");
        assert_eq!(answer.status, 200);
        std::thread::sleep(Duration::from_millis(100));
    }
    platform.register(&target, "ready");
    std::thread::sleep(Duration::from_millis(1_800));
    assert_eq!(platform.send(0, "/unsafe/book", "id-9", "").status, 200);
}

// All gateways are killed while the store answers nothing. They came back knowing neither routes nor targets, and refused
// every caller until the store was back; now a storage host's process tells them what it saw last.
#[test]
fn a_fleet_that_restarts_without_the_store_serves() {
    let mut platform = Platform::new(BINARY);
    platform.start_target("t-1", FAST);
    let _storage = platform.start_storage("store-1");
    platform.start_gateway();
    platform.start_gateway();
    // The storage host's process looks each three seconds.
    std::thread::sleep(Duration::from_millis(3_500));
    platform.store.set_fault(StoreFault::Silent);
    for number in 0..2 {
        platform.gateway(number).kill();
        platform.restart_gateway(number);
        platform.wait_ready(number);
        assert_eq!(platform.send(number, "/stream/check", &format!("id-{number}"), "").status, 200);
    }
    platform.store.set_fault(StoreFault::None);
    platform.put_routes(2, 3);
    platform.wait_logged(1, "version=2");
}

// A configuration is written while the store does not answer gateways, and one of them starts. What a storage host's process
// saw last, an older configuration, is in force until the store answers, and never after that.
#[test]
fn what_the_store_says_replaces_what_was_seen_last() {
    let mut platform = Platform::new(BINARY);
    platform.start_target("t-1", FAST);
    let _storage = platform.start_storage("store-1");
    platform.start_gateway();
    std::thread::sleep(Duration::from_millis(500));
    platform.store.set_fault(StoreFault::Silent);
    let mut new = route("stream", 1, false);
    new["pathPrefix"] = json!("/new/");
    platform.store.put("config", "main", json!({ "version": 7, "routes": [new] }));
    platform.gateway(0).kill();
    platform.restart_gateway(0);
    platform.wait_ready(0);
    assert_eq!(platform.send(0, "/stream/check", "id-1", "").status, 200);
    platform.store.set_fault(StoreFault::None);
    wait_until("the new route serves", || platform.send(0, "/new/check", "id-2", "").status == 200);
    assert_eq!(platform.send(0, "/stream/check", "id-3", "").status, 404);
}

// The store falls silent and is back, and cuts no connection; a watch that waited hears nothing any more. A configuration that
// was written then was in force nowhere until the watch's time was over, half a minute later.
#[test]
fn a_watch_that_fell_silent_with_the_store_is_asked_anew() {
    let mut platform = Platform::new(BINARY);
    platform.watch_ms = 300_000;
    platform.start_target("t-1", FAST);
    platform.start_gateway();
    platform.store.set_fault(StoreFault::Silent);
    // A look for jobs, each two seconds, gets no answer.
    std::thread::sleep(Duration::from_millis(4_000));
    platform.store.set_fault(StoreFault::None);
    platform.put_routes(2, 3);
    platform.wait_logged(0, "version=2");
}

// Callers were served by routes that operators had replaced more than ten seconds before. The store had been silent for less than a
// second; the watches that gateways asked just then were never answered, and no other call fell into the silence. Cause: a watch
// that hears nothing cannot tell a silent store from one without changes, and waited for 25 s. Evidence: a gateway's routes' watch
// failed with waited_ms=16001 while its targets' watch was answered twice.
#[test]
fn deaf_watches_do_not_keep_routes_from_being_in_force() {
    let mut platform = Platform::new(BINARY);
    platform.watch_ms = 300_000;
    platform.start_target("t-1", FAST);
    platform.start_gateway();
    deafen(&platform);
    platform.put_routes(2, 3);
    platform.wait_logged(0, "version=2");
}

// A target says that it leaves after such a silence, and goes on getting requests until it is gone.
#[test]
fn deaf_watches_do_not_keep_a_target_from_leaving() {
    let mut platform = Platform::new(BINARY);
    platform.watch_ms = 300_000;
    let leaving = platform.start_target("t-1", FAST);
    platform.start_gateway();
    assert_eq!(platform.send(0, "/stream/check", "id-1", "").status, 200);
    deafen(&platform);
    platform.register(&leaving, "draining");
    wait_until("it gets none", || platform.send(0, "/stream/check", "id-2", "").status == 503);
}

// One gateway's watch is deaf and the other's is not. The deaf one went on sending requests to a target that leaves for as long as
// its watch might wait; the other's statuses now tell that there is a change it has not seen. Turns of watches are far too long here
// to help.
#[test]
fn a_deaf_watch_is_asked_anew_when_another_gateway_is_ahead() {
    let mut platform = Platform::new(BINARY);
    platform.watch_ms = 300_000;
    platform.within_ms = 600_000;
    let leaving = platform.start_target("t-1", FAST);
    platform.start_gateway();
    platform.start_gateway();
    platform.wait_logged(0, "peers: peer is live");
    platform.wait_logged(1, "peers: peer is live");
    platform.set_way_fault(1, StoreFault::WatchesSilent);
    std::thread::sleep(Duration::from_millis(100));
    platform.set_way_fault(1, StoreFault::None);
    platform.register(&leaving, "draining");
    platform.wait_logged(1, "others_ahead");
    wait_until("it gets none", || platform.send(1, "/stream/check", "id-1", "").status == 503);
}

// An operator asks for a storage host to be emptied, and the answer comes half a minute later: the store had been silent for a
// moment, and the watches of the storage hosts' processes were never answered.
#[test]
fn deaf_watches_do_not_keep_a_storage_host_from_being_emptied() {
    let mut platform = Platform::new(BINARY);
    platform.watch_ms = 300_000;
    let _storage = platform.start_storage("store-1");
    deafen(&platform);
    platform.store.put("retirements", "store-1", json!({ "overS": 5 }));
    wait_until("the host is empty", || {
        platform.store.status("retirements", "store-1").is_some_and(|it| it["state"] == "completed")
    });
}

/// Has no watch answered that waits now, and all that are asked later.
fn deafen(platform: &Platform) {
    platform.store.set_fault(StoreFault::WatchesSilent);
    std::thread::sleep(Duration::from_millis(1_500));
    platform.store.set_fault(StoreFault::None);
}

// A gateway starts from a list that is older than a target's leaving. It would send requests to that target for as long as
// it runs.
#[test]
fn what_has_changed_since_an_old_list_is_found() {
    let mut platform = Platform::new(BINARY);
    let leaving = platform.start_target("t-1", FAST);
    platform.store.keep_for_stale_lists();
    platform.register(&leaving, "draining");
    platform.start_target("t-2", FAST);
    platform.start_gateway();
    platform.wait_logged(0, "targets: changed target=t-2 ");
    assert_eq!(platform.send(0, "/stream/check", "id-1", "").status, 200);
    assert!(leaving.runs().is_empty());
}

// The pages of an old list are of different ages. Changes between the oldest and the first one would be missed.
#[test]
fn what_has_changed_between_the_pages_of_an_old_list_is_found() {
    let mut platform = Platform::new(BINARY);
    platform.start_target("t-1", FAST);
    let leaving = platform.start_target("t-2", FAST);
    platform.store.keep_for_stale_lists();
    platform.register(&leaving, "draining");
    platform.store.keep_for_stale_lists();
    platform.start_gateway();
    platform.wait_logged(0, "state=leaving");
    assert_eq!(platform.send(0, "/stream/check", "id-1", "").status, 200);
    assert!(leaving.runs().is_empty());
}

// All gateways are killed and start again. Each would write its entry, which stands already, and read it.
#[test]
fn a_gateway_that_starts_again_does_not_register_again() {
    let mut platform = Platform::new(BINARY);
    platform.start_target("t-1", FAST);
    platform.start_gateway();
    wait_until("it is registered", || !platform.store.names("doors").is_empty());
    let creates = |platform: &Platform| platform.store.calls()["POST doors"];
    let before = creates(&platform);
    platform.gateway(0).kill();
    platform.restart_gateway(0);
    platform.wait_ready(0);
    platform.wait_logged(0, "peers: cells computed");
    assert_eq!(creates(&platform), before);
}
