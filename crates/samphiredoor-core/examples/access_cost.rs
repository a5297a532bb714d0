//! Cost of access control on the path of a request: the key lookup, and the rate limit at a gateway that coordinates it.
//!
//! `cargo run --release -p samphiredoor-core --example access_cost`

use std::time::Instant;

use samphiredoor_core::{
    access::{KeyDigest, Workspace, Workspaces, identify},
    rate_limit::{
        Coordinators, RateCoordinator, RateLimit, RunRequester, RunTicket, Step, Tolerance,
    },
};

const WORKSPACES: usize = 10_000;
const KEYS_EACH: usize = 3;
const GATEWAYS: u64 = 64;
const CALLS: usize = 200_000;
const TOLERANCE: Tolerance = Tolerance { window_ms: 5_000, fraction: 0.1, runs: 20.0 };

fn key(workspace: usize, number: usize) -> String {
    format!("key-{workspace}-{number}-7f3a91c2")
}

fn main() {
    let workspaces = (0..WORKSPACES).map(|it| {
        let name = format!("workspace-{it}").into();
        let keys = (0..KEYS_EACH).map(|number| KeyDigest::new(key(it, number).as_bytes()));
        (Workspace { name, priority: None, rate_limit: None }, keys.collect())
    });
    let table = Workspaces::new(workspaces).expect("valid workspaces");
    let keys: Vec<String> = (0..WORKSPACES).map(|it| key(it, it % KEYS_EACH)).collect();
    let started = Instant::now();
    let found = (0..CALLS)
        .filter(|it| identify(Some(&table), false, [keys[it % WORKSPACES].as_bytes()]).is_ok());
    let found = found.count();
    println!("identify: {} ns a request, {found} found", nanos(started));

    let mut requester = RunRequester::new(1, 1, TOLERANCE);
    let mut coordinator = RateCoordinator::new(TOLERANCE);
    let limit = RateLimit { rate_per_s: 1e9, burst: 1e9 };
    let mut steps = Vec::new();
    let mut granted = 0;
    let started = Instant::now();
    for call in 0..CALLS {
        let workspace = (call % 80) as u64;
        let coordinators = Coordinators::new(workspace, 0..GATEWAYS);
        let ticket = RunTicket(call as u64);
        requester.request(0, ticket, (workspace, limit, 1), coordinators, &mut steps);
        for step in std::mem::take(&mut steps) {
            let Step::Report { to, report } = step else { continue };
            let grant = coordinator.report(0, &report).expect("an answer");
            to.iter().for_each(|it| requester.answered(0, *it, grant, &mut steps));
        }
        granted += steps.drain(..).filter(|it| matches!(it, Step::Grant { .. })).count();
    }
    println!("rate limit: {} ns a request, {granted} granted", nanos(started));
}

fn nanos(started: Instant) -> u128 {
    started.elapsed().as_nanos() / CALLS as u128
}
