//! Changes of routes and targets, also around outages of the store.

use std::time::Duration;

use samphiredoor_standin::platform_store::StoreFault;
use serde_json::json;

use super::env::{BINARY, Platform, route};
use crate::env::{get, wait_until};

const FAST: Duration = Duration::from_millis(2);
/// Objects in a page of a list.
const PAGE_OBJECTS: usize = 500;

// A gateway without routes cannot tell whether a route exists for a request, so it must answer 503 and not 404.
#[test]
fn a_gateway_without_routes_answers_with_503() {
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

// An older configuration is written after a newer one. It must not become active.
#[test]
fn an_older_configuration_never_replaces_a_newer_one() {
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

// A configuration is written during an outage, and the store then drops its history. Gateways must list the routes again.
#[test]
fn a_configuration_is_activated_although_the_history_is_gone() {
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
fn a_leaving_target_gets_no_new_requests() {
    let mut platform = Platform::new(BINARY);
    let leaving = platform.start_target("t-1", FAST);
    platform.start_gateway();
    assert_eq!(platform.send(0, "/stream/check", "id-1", "").status, 200);
    platform.register(&leaving, "draining");
    wait_until("it gets no requests", || {
        platform.send(0, "/stream/check", "id-2", "").status == 503
    });
    let runs = leaving.runs().len();
    platform.start_target("t-2", FAST);
    wait_until("another serves", || platform.send(0, "/stream/check", "id-3", "").status == 200);
    assert_eq!(leaving.runs().len(), runs);
}

// Some entries among those of targets are invalid: missing fields, wrong types, an unknown state. They must be ignored, and
// valid entries used.
#[test]
fn invalid_entries_of_targets_are_ignored() {
    let mut platform = Platform::new(BINARY);
    let invalid = [
        json!("text"),
        json!({ "service": "reader" }),
        json!({ "service": 7, "addr": "127.0.0.1:1", "zone": "z", "slots": 8, "state": "ready" }),
        json!({ "service": "reader", "addr": "nowhere", "zone": "z", "slots": 8, "state": "ready" }),
        json!({ "service": "reader", "addr": "127.0.0.1:1", "zone": "z", "slots": 8, "state": "asleep" }),
    ];
    for (number, entry) in invalid.into_iter().enumerate() {
        platform.store.put("servers", &format!("foreign-{number}"), entry);
    }
    platform.start_target("t-1", FAST);
    platform.start_gateway();
    for number in 0..5 {
        assert_eq!(platform.send(0, "/unsafe/book", &format!("id-{number}"), "").status, 200);
    }
}

// Guards against processes that end, or stop following the list, because of entries with numbers that they add up.
#[test]
fn entries_with_huge_numbers_are_ignored() {
    let mut platform = Platform::new(BINARY);
    platform.start_gateway();
    for number in 0..3 {
        let entry = json!({
            "service": "reader", "addr": "127.0.0.1:1", "zone": "brisbane-north", "slots": u32::MAX,
            "state": "ready", "born": u64::MAX, "seq": u64::MAX, "coldLeftMs": u64::MAX,
        });
        platform.store.put("servers", &format!("foreign-{number}"), entry);
    }
    platform.start_target("t-1", FAST);
    platform.wait_logged(0, "target=t-1");
    for number in 0..10 {
        assert_eq!(platform.send(0, "/unsafe/book", &format!("id-{number}"), "").status, 200);
    }
    assert_eq!(platform.submit_many(0, "job", 5).status, 202);
    platform.all_results(0, "job", 5);
}

// Guards against lists of which only the first page is read, as its last name has characters that a path has not.
#[test]
fn targets_after_an_odd_name_at_the_end_of_a_page_are_found() {
    let mut platform = Platform::new(BINARY);
    for number in 1..PAGE_OBJECTS {
        platform.store.put("servers", &format!("a-{number}"), json!("foreign"));
    }
    platform.store.put("servers", "b c&d#e?f%\r\n", json!("foreign"));
    platform.start_target("t-1", FAST);
    platform.start_gateway();
    let mut sent = 0;
    wait_until("the target is used", || {
        sent += 1;
        platform.send(0, "/unsafe/book", &format!("id-{sent}"), "").status == 200
    });
}

// Entries of targets expire during an outage of the store, and the targets register again about two seconds after it.
// Removing all entries at once would leave no target to use.
#[test]
fn targets_whose_entries_expired_in_an_outage_still_serve() {
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

// All gateways are killed during an outage of the store. Without routes and targets they would refuse every caller until
// the outage ends, so they must start from the copy of a storage host.
#[test]
fn gateways_that_all_restart_in_an_outage_of_the_store_serve() {
    let mut platform = Platform::new(BINARY);
    platform.start_target("t-1", FAST);
    let _storage = platform.start_storage("store-1");
    platform.start_gateway();
    platform.start_gateway();
    // The storage host's process copies the store's objects every three seconds.
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

// A configuration is written while the store does not answer gateways, and a gateway starts from the copy of a storage host,
// which has the older configuration. The older one may be active only until the store answers.
#[test]
fn routes_of_the_store_replace_those_of_a_mirror() {
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

// The store has an outage without closing connections, and never answers a watch that waited meanwhile. A configuration that
// is written after the outage must not have to wait for the end of the watch, which took half a minute.
#[test]
fn a_watch_that_stalled_in_an_outage_is_sent_again() {
    let mut platform = Platform::new(BINARY);
    platform.watch_ms = 300_000;
    platform.start_target("t-1", FAST);
    platform.start_gateway();
    platform.store.set_fault(StoreFault::Silent);
    // Long enough for a scan for jobs, every two seconds, to get no answer.
    std::thread::sleep(Duration::from_millis(4_000));
    platform.store.set_fault(StoreFault::None);
    platform.put_routes(2, 3);
    platform.wait_logged(0, "version=2");
}

// The store has an outage of less than a second, in which it drops the watches that are sent, and no other call fails. A watch
// without an answer looks like one without changes, so gateways kept waiting for up to 25 s and served callers by routes that
// had been replaced more than ten seconds before. In one case the watch of the routes failed with waited_ms=16001 while the
// watch of the targets was answered twice.
#[test]
fn stalled_watches_do_not_delay_new_routes() {
    let mut platform = Platform::new(BINARY);
    platform.watch_ms = 300_000;
    platform.start_target("t-1", FAST);
    platform.start_gateway();
    stall_watches(&platform);
    platform.put_routes(2, 3);
    platform.wait_logged(0, "version=2");
}

// A target announces after such an outage that it leaves. With a stalled watch, it gets new requests until it has stopped.
#[test]
fn stalled_watches_do_not_keep_a_target_from_leaving() {
    let mut platform = Platform::new(BINARY);
    platform.watch_ms = 300_000;
    let leaving = platform.start_target("t-1", FAST);
    platform.start_gateway();
    assert_eq!(platform.send(0, "/stream/check", "id-1", "").status, 200);
    stall_watches(&platform);
    platform.register(&leaving, "draining");
    wait_until("it gets no requests", || {
        platform.send(0, "/stream/check", "id-2", "").status == 503
    });
}

// The watch of one of two gateways has stalled, and that gateway would send requests to a leaving target until the watch ends.
// The status messages of the other one show that there is a change that it has not seen. The staggered renewal of watches is
// set far too long here to help.
#[test]
fn a_stalled_watch_is_sent_again_when_a_peer_is_ahead() {
    let mut platform = Platform::new(BINARY);
    platform.watch_ms = 300_000;
    platform.within_ms = 600_000;
    let leaving = platform.start_target("t-1", FAST);
    platform.start_gateway();
    platform.start_gateway();
    platform.wait_logged(0, "peers: peer is live");
    platform.wait_logged(1, "peers: peer is live");
    platform.set_store_path_fault(1, StoreFault::WatchesSilent);
    let silenced = || platform.store.silenced_watches().contains_key("servers");
    wait_until("the watch of targets is dropped", silenced);
    platform.set_store_path_fault(1, StoreFault::None);
    platform.register(&leaving, "draining");
    platform.wait_logged(1, "others_ahead");
    wait_until("it gets no requests", || {
        platform.send(1, "/stream/check", "id-1", "").status == 503
    });
}

// An operator requests that a storage host is emptied, after a short outage in which the watches of the storage hosts' processes
// were dropped. The confirmation took half a minute.
#[test]
fn stalled_watches_do_not_delay_emptying_a_storage_host() {
    let mut platform = Platform::new(BINARY);
    platform.watch_ms = 300_000;
    let _storage = platform.start_storage("store-1");
    stall_watches(&platform);
    platform.store.put("retirements", "store-1", json!({ "overS": 5 }));
    wait_until("the storage host is confirmed as empty", || {
        platform.store.status("retirements", "store-1").is_some_and(|it| it["state"] == "completed")
    });
}

/// Has the store drop all watches that wait now; watches that are sent after this are answered.
fn stall_watches(platform: &Platform) {
    platform.store.set_fault(StoreFault::WatchesSilent);
    std::thread::sleep(Duration::from_millis(1_500));
    platform.store.set_fault(StoreFault::None);
}

// A gateway starts from a stale list, in which a leaving target is still ready. If it missed the change, it would send
// requests to that target for as long as it runs.
#[test]
fn changes_after_a_stale_list_are_found() {
    let mut platform = Platform::new(BINARY);
    let leaving = platform.start_target("t-1", FAST);
    platform.store.snapshot_for_stale_lists();
    platform.register(&leaving, "draining");
    platform.start_target("t-2", FAST);
    platform.start_gateway();
    platform.wait_logged(0, "targets: changed target=t-2 ");
    assert_eq!(platform.send(0, "/stream/check", "id-1", "").status, 200);
    assert!(leaving.runs().is_empty());
}

// The pages of a stale list are of different ages. A watch from the version of the first page would miss changes since the
// oldest page.
#[test]
fn changes_between_the_pages_of_a_stale_list_are_found() {
    let mut platform = Platform::new(BINARY);
    platform.start_target("t-1", FAST);
    let leaving = platform.start_target("t-2", FAST);
    platform.store.snapshot_for_stale_lists();
    platform.register(&leaving, "draining");
    platform.store.snapshot_for_stale_lists();
    platform.start_gateway();
    platform.wait_logged(0, "state=leaving");
    assert_eq!(platform.send(0, "/stream/check", "id-1", "").status, 200);
    assert!(leaving.runs().is_empty());
}

// All gateways are killed and restart. Their entries still exist, so writing and reading each of them again would only load
// the store.
#[test]
fn a_gateway_that_restarts_does_not_register_again() {
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
