//! Bytes of a gateway's status, without and with what overload control shares.
//!
//! The status has the loads of some targets, as hashes, which do not compress. A datagram of more than 1,400 bytes does not fit
//! into one packet on common links.
//!
//! `cargo run --release -p samphiredoor-schema --example overload_bytes`

use capnp::{message, serialize_packed};
use samphiredoor_schema::peer_capnp::{gateway_datagram, gateway_status, overload_news};

/// Numbers of entries in each list of the news; 0 leaves them out.
const ENTRIES: [u32; 4] = [0, 1, 4, 16];
/// Numbers of targets at which the sender has requests.
const LOADS: [u32; 3] = [0, 12, 36];

fn main() {
    println!("loads,entries_of_each_list,bytes");
    for loads in LOADS {
        for entries in ENTRIES {
            println!("{loads},{entries},{}", status_bytes(loads, entries));
        }
    }
}

fn status_bytes(loads: u32, entries: u32) -> usize {
    let mut message = message::Builder::new_default();
    let root = message.init_root::<gateway_datagram::Builder<'_>>();
    let mut status = root.init_status();
    status.set_name("gw-4f21c07a");
    status.set_incarnation(1_764_800_000_000_000);
    status.set_routes_version(120);
    status.set_store_reached(true);
    status.set_store_silent_ms(300);
    write_loads(status.reborrow(), loads);
    if entries > 0 {
        write_news(status.init_overload(), entries);
    }
    let mut bytes = Vec::new();
    serialize_packed::write_message(&mut bytes, &message).expect("writing to memory succeeds");
    bytes.len()
}

fn write_loads(status: gateway_status::Builder<'_>, count: u32) {
    let mut loads = status.init_loads(count);
    for index in 0..count {
        let mut it = loads.reborrow().get(index);
        it.set_target(hash(index));
        it.set_online(2);
        it.set_batch(1);
    }
}

fn write_news(mut news: overload_news::Builder<'_>, count: u32) {
    let mut speeds = news.reborrow().init_speeds(count);
    for index in 0..count {
        let mut it = speeds.reborrow().get(index);
        it.set_target(hash(index));
        it.set_percent(140);
        it.set_age_ms(300);
    }
    let mut failing = news.reborrow().init_failing(count);
    for index in 0..count {
        let mut it = failing.reborrow().get(index);
        it.set_target(hash(index));
        it.set_failures(3);
        it.set_age_ms(300);
    }
    let mut usage = news.reborrow().init_usage(count);
    for index in 0..count {
        let mut it = usage.reborrow().get(index);
        it.set_workspace(hash(index));
        it.set_running(12);
        it.set_rejected(7);
    }
    let mut returns = news.reborrow().init_returns(count);
    for index in 0..count {
        let mut it = returns.reborrow().get(index);
        it.set_service(hash(index));
        it.set_callers(20);
        it.set_last_in_ms(900);
    }
    let mut owed = news.init_owed(count);
    for index in 0..count {
        let mut it = owed.reborrow().get(index);
        it.set_service(hash(index));
        it.set_due_in_ms(18_000);
        it.set_items(60);
    }
}

/// A value that looks like the hash of a name.
fn hash(index: u32) -> u64 {
    (u64::from(index) + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
