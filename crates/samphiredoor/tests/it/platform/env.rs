//! Stand-ins of the platform, and the program that the tests start.

use std::{net::SocketAddr, str::FromStr};

use serde_json::json;

use crate::{env::get, raw_target::RawTarget};

pub use samphiredoor_standin::fleet::{HOST, Platform, metrics_address, route, whole_stream};

/// The `samphiredoor` program.
pub const BINARY: &str = env!("CARGO_BIN_EXE_samphiredoor");

/// Registers a simulated target on a plain socket as ready.
pub fn register_raw(platform: &Platform, target: &RawTarget) {
    let entry = json!({
        "service": "reader", "addr": target.address.to_string(), "zone": "brisbane-north",
        "version": "v1", "slots": 8, "state": "ready", "born": 1,
    });
    platform.store.put("servers", "raw", entry);
}

/// Value of a gateway's metric, whose name includes its labels; `None` if it has none.
pub fn metric<T: FromStr>(metrics: SocketAddr, name: &str) -> Option<T> {
    let text = get(metrics, "/metrics").text;
    let prefix = format!("samphiredoor_gateway_{name} ");
    text.lines().find_map(|it| it.strip_prefix(&prefix)?.parse().ok())
}
