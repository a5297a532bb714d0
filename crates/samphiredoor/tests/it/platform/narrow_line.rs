//! Gateways that share a narrow line to the store, as those of a region that is far from it.

use std::time::Duration;

use samphiredoor_standin::{link::SharedRate, platform_store::StoreFault};
use serde_json::json;

use super::env::{BINARY, Platform, route};
use crate::env::wait_until;

const GATEWAYS: usize = 8;
/// Each route takes some 350 bytes.
const ROUTES: usize = 3_000;
/// Less than the routes take, and more than all else that one gateway is told.
const FEW_BYTES: usize = 200_000;
/// The routes take about a second, longer than the time limit of the gateways' calls.
const LINE_BYTES_PER_S: u64 = 1_000_000;

/// Gateways tell each other what they have at least twice a second.
const TOLD_BY: Duration = Duration::from_millis(1_200);

fn put_many_routes(platform: &Platform) {
    let routes = (0..ROUTES).map(|number| {
        let mut route = route("stream", 1, false);
        route["name"] = json!(format!("r-{number}"));
        route["pathPrefix"] = json!(format!("/path-{number}/"));
        route
    });
    let config = json!({ "version": 1, "routes": routes.collect::<Vec<_>>() });
    platform.store.put("config", "main", config);
}

// Each would throw away what came of a large answer when its time is over, and ask for it again.
#[test]
fn gateways_that_start_together_all_get_the_routes() {
    let mut platform = Platform::without_routes(BINARY);
    put_many_routes(&platform);
    platform.linked = true;
    platform.line = Some(SharedRate::new(LINE_BYTES_PER_S));
    for _ in 0..GATEWAYS {
        platform.spawn_gateway();
    }
    for number in 0..GATEWAYS {
        platform.wait_ready(number);
    }
}

// All that are behind would ask the same gateway, beyond the line that they share.
#[test]
fn routes_are_taken_from_a_gateway_of_the_own_region() {
    let mut platform = Platform::new(BINARY);
    platform.peers_ip = "127.0.0.9";
    platform.start_gateway();
    (platform.region, platform.peers_ip) = ("cairns", "127.0.0.1");
    platform.start_gateway();
    let turned_away = platform.start_gateway();
    for peer in ["gateway-0", "gateway-1"] {
        platform.wait_logged(turned_away, &format!("peers: peer is live peer={peer} "));
    }
    platform.set_way_fault(turned_away, StoreFault::Busy);
    // It looks for routes only when both others have told it that they have them.
    platform.signal(turned_away, "STOP");
    platform.put_routes(2, 1);
    for holder in [0, 1] {
        platform.wait_logged(holder, "routes: in force version=2 ");
    }
    std::thread::sleep(TOLD_BY);
    platform.signal(turned_away, "CONT");
    platform.wait_logged(turned_away, "routes: in force version=2 ");
    let taken = "routes: received from another gateway version=2 peer=127.0.0.1:";
    assert_eq!(platform.times_logged(turned_away, taken), 1, "taken from its own region");
}

// A gateway that has started from what a storage host saw last would fetch the same once more as soon as the store answers.
#[test]
fn what_a_storage_host_has_told_is_not_fetched_from_the_store() {
    let mut platform = Platform::without_routes(BINARY);
    put_many_routes(&platform);
    let _storage = platform.start_storage("store-1");
    let looked = || platform.store.calls().contains_key("GET doors");
    wait_until("the storage host's process has seen all kinds", looked);
    let line = SharedRate::new(LINE_BYTES_PER_S);
    platform.linked = true;
    platform.line = Some(line.clone());
    platform.store.set_fault(StoreFault::Silent);
    platform.start_gateway();
    platform.store.set_fault(StoreFault::None);
    let asked = || platform.store.calls()["GET config"];
    let before = asked();
    wait_until("the routes are watched", || asked() >= before + 6);
    let carried = line.carried_bytes();
    assert!(carried < FEW_BYTES, "bytes that were fetched: {carried}");
}
