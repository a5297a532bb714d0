//! Stand-ins of the platform, and the program that the tests start.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    str::FromStr,
    sync::atomic::{AtomicU8, Ordering},
};

use serde_json::json;

use crate::{env::get, raw_target::RawTarget};

pub use samphiredoor_standin::fleet::{HOST, Platform, route, whole_stream};

/// The `samphiredoor` program.
pub const BINARY: &str = env!("CARGO_BIN_EXE_samphiredoor");

/// Address for the metrics of a gateway that is about to start. Its IP address is used only once, as another test could
/// otherwise listen at the free port before the gateway does.
pub fn metrics_address() -> SocketAddr {
    static USED: AtomicU8 = AtomicU8::new(0);
    let number = USED.fetch_add(1, Ordering::Relaxed);
    let free = TcpListener::bind((Ipv4Addr::new(127, 0, 1, number), 0)).expect("a port");
    free.local_addr().expect("an address")
}

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
