//! Gateways that share a narrow line to the store, as those of a region that is far from it.

use samphiredoor_standin::link::SharedRate;
use serde_json::json;

use super::env::{Platform, route};

const GATEWAYS: usize = 8;
/// Each route takes some 350 bytes.
const ROUTES: usize = 3_000;
/// The routes take about a second, longer than the time limit of the gateways' calls.
const LINE_BYTES_PER_S: u64 = 1_000_000;

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
    let mut platform = Platform::without_routes();
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
