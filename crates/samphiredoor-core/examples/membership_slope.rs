//! Cost of membership per process at several sizes of the fleet: messages, reads of the store, CPU time and links, and
//! the time until a crash is known to all processes and until the lease of the crashed process has expired.
//!
//! `cargo run --release -p samphiredoor-core --example membership_slope`

#[allow(dead_code)]
#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::time::Instant;

use fleet::{Fleet, HEARTBEAT_MS, LEASE_MS, name};
use samphiredoor_core::membership::MemberState;

const SIZES: [usize; 3] = [9, 92, 920];
const MEASURED_MS: u64 = 60_000;

fn main() {
    println!(
        "doors,beats_per_s,changes_per_s,reads_per_s,lists_per_s,links,cpu_percent,known_ms,lapse_ms"
    );
    for processes in SIZES {
        measure(processes);
    }
}

fn measure(processes: usize) {
    let mut fleet = Fleet::new(if processes > 100 { 7 } else { 3 });
    for number in 0..processes {
        fleet.start(number);
    }
    fleet.run(30_000);
    assert!(fleet.converged(), "the fleet has not converged before the measurement");
    let (heartbeats, changes, reads, lists) =
        (fleet.heartbeats, fleet.changes, fleet.reads, fleet.lists);
    let start = Instant::now();
    fleet.run(MEASURED_MS);
    let cpu_s = start.elapsed().as_secs_f64();
    let seconds = MEASURED_MS as f64 / 1_000.0;
    let per_process = |count: u64| count as f64 / processes as f64 / seconds;
    let links: usize = fleet.nodes.iter().map(|it| it.membership.linked().count()).sum();
    // Heartbeats are counted when they are sent; each answer counts as one, too.
    let heartbeats = per_process(fleet.heartbeats - heartbeats);
    let changes = per_process(fleet.changes - changes);
    let reads = (fleet.reads - reads) as f64 / seconds;
    let lists = (fleet.lists - lists) as f64 / seconds;
    let cpu = 100.0 * cpu_s / processes as f64 / seconds;
    let links = links as f64 / processes as f64;
    let crashed = processes / 2;
    fleet.crash(crashed);
    let known = fleet.run_until(20 * HEARTBEAT_MS * 10, |it| {
        it.up().all(|it| {
            let known = it.membership.roster().get(&name(crashed));
            known.is_none_or(|it| it.state == MemberState::Dead)
        })
    });
    let expired =
        fleet.run_until(4 * LEASE_MS, |it| it.up().any(|it| !it.expired_leases.is_empty()));
    let known_ms = known.unwrap_or_default();
    let expired_ms = known_ms + expired.unwrap_or_default();
    println!(
        "{processes},{heartbeats:.2},{changes:.2},{reads:.2},{lists:.2},{links:.1},{cpu:.4},{known_ms},{expired_ms}"
    );
}
