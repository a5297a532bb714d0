//! Memory of overload control at one gateway, at several sizes of the fleet.
//!
//! Each gateway knows all targets, has the loads and news of the eleven others of its cell, and the summaries and news of all
//! other cells, with each list full. It has completed requests at the targets of its cell for 88 workspaces, and rejected
//! some. The memory is the growth of the process by some dozen placements of one gateway each, which differ in whether
//! overload control is on. The time is that of the predictions which operators see, computed once a second.
//!
//! `cargo run --release -p samphiredoor-core --example overload_state`

use std::time::Instant;

use samphiredoor_core::{
    Name,
    dispatch::{Class, Location, RequestId},
    overload::{
        Activation, ExpectedReturns, FailingTarget, ItemRunTime, MAX_ENTRIES, OverloadNews,
        OverloadPolicy, OwedItems, SpeedReport, WorkspaceUsage,
    },
    placement::{
        AttemptEnd, CallerTerms, GatewayLoad, GatewayState, Input, Placement, ReportedLoad,
        RequestSpec, TargetEntry, TargetState, name_hash,
    },
};
use smallvec::SmallVec;

const SIZES: [u64; 3] = [64, 300, 920];
const TARGETS_PER_GATEWAY: u64 = 5;
const CELL: u64 = 12;
const CELL_TARGETS: u64 = CELL * TARGETS_PER_GATEWAY;
const SLOTS: u32 = 8;
const WORKSPACES: u64 = 88;
const REQUESTS: u64 = 500;
const PLACEMENTS: usize = 24;
const START_MS: u64 = 10_000;
const SERVICE: &str = "reader";

fn main() {
    println!("gateways,targets,peers,cells,off_kb,on_kb,overload_kb,predictions_us");
    for gateways in SIZES {
        measure(gateways);
    }
}

fn measure(gateways: u64) {
    let (off, _) = memory_of(gateways, None);
    let policy = OverloadPolicy::new(Activation::Always);
    let (on, placement) = memory_of(gateways, Some(policy));
    let start = Instant::now();
    let predictions = placement.predictions(START_MS + REQUESTS);
    let elapsed_us = start.elapsed().as_micros();
    assert_eq!(predictions.len(), 1, "one service has predictions");
    println!(
        "{gateways},{},{},{},{off},{on},{},{elapsed_us}",
        gateways * TARGETS_PER_GATEWAY,
        CELL - 1,
        gateways.div_ceil(CELL) - 1,
        on.saturating_sub(off)
    );
}

/// Growth of the process for each placement, in KB, and a further placement.
fn memory_of(gateways: u64, policy: Option<OverloadPolicy>) -> (u64, Placement) {
    let before = resident_kb();
    let placements: Vec<Placement> = (0..PLACEMENTS).map(|_| gateway(gateways, policy)).collect();
    let grown = resident_kb() - before;
    // They are leaked, so that memory which one measurement frees is not used by the next one.
    std::mem::forget(placements);
    (grown / PLACEMENTS as u64, gateway(gateways, policy))
}

fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:")).expect("a size");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

fn target_name(number: u64) -> Name {
    format!("i-{number:010x}").into()
}

fn gateway(gateways: u64, policy: Option<OverloadPolicy>) -> Placement {
    let location = Location { region: "brisbane".into(), availability_zone: "north".into() };
    let placement = Placement::new("gateway-0".into(), location.clone(), 1);
    let mut placement = match policy {
        Some(policy) => placement.with_overload(policy),
        None => placement,
    };
    let targets = (0..gateways * TARGETS_PER_GATEWAY).map(|number| TargetEntry {
        name: target_name(number),
        service: SERVICE.into(),
        address: ([127, 0, 0, 1], 80).into(),
        location: location.clone(),
        slots: SLOTS,
        state: TargetState::Ready,
        software_version: "v1".into(),
        started_unix_ms: 1,
    });
    let cell = (0..CELL_TARGETS).map(|it| name_hash(&target_name(it))).collect();
    let mut inputs = vec![Input::Targets(targets.collect()), Input::CellTargets(cell)];
    for peer in 1..CELL {
        let news = news(peer, true);
        inputs.push(load(format!("gateway-{peer}").into(), 36));
        inputs.push(Input::PeerNews { peer: format!("gateway-{peer}").into(), news });
    }
    for cell in 1..gateways.div_ceil(CELL) {
        let name: Name = format!("cell north {cell}").into();
        inputs.push(load(Name::clone(&name), CELL_TARGETS));
        inputs.push(Input::PeerNews { peer: name, news: news(cell, false) });
    }
    let mut out = Vec::new();
    for input in inputs {
        placement.handle(START_MS, input, &mut out);
    }
    serve(&mut placement);
    placement
}

/// Loads of a peer or cell at this many targets.
fn load(peer: Name, targets: u64) -> Input {
    let load =
        |number| GatewayLoad { target: name_hash(&target_name(number)), online: 0, batch: 0 };
    Input::Peer {
        peer,
        state: GatewayState { loads: (0..targets).map(load).collect(), waiting: Vec::new() },
    }
}

/// Full lists of a sender.
fn news(sender: u64, is_gateway: bool) -> OverloadNews {
    let entries = || sender * 3..sender * 3 + MAX_ENTRIES as u64;
    let target = |number: u64| name_hash(&target_name(number % CELL_TARGETS));
    OverloadNews {
        speeds: entries()
            .map(|it| SpeedReport { target: target(it), percent: 140, age_ms: 20 })
            .collect(),
        failing: entries()
            .map(|it| FailingTarget { target: target(it), failures: 1, age_ms: 20 })
            .collect(),
        usage: entries()
            .filter(|_| is_gateway)
            .map(|it| WorkspaceUsage { workspace: it % WORKSPACES + 1, running: 2, rejected: 1 })
            .collect(),
        returns: entries()
            .map(|it| ExpectedReturns { service: it, callers: 3, last_in_ms: 200 })
            .collect(),
        owed: entries()
            .map(|it| OwedItems { service: name_hash(SERVICE), due_in_ms: it as u32, items: 10 })
            .collect(),
        item_runs: entries()
            .filter(|_| is_gateway)
            .map(|service| ItemRunTime { service, run_ms: 4_500, weight: 8 })
            .collect(),
    }
}

/// Completes requests of all workspaces at the targets of the cell, and leaves some rejected.
fn serve(placement: &mut Placement) {
    let mut out = Vec::new();
    for number in 0..REQUESTS {
        let now_ms = START_MS + number;
        let target = target_name(number % CELL_TARGETS);
        let load = ReportedLoad { running: 1, waiting: 0, slots: SLOTS, work_percent: Some(120) };
        placement.handle(now_ms, Input::LoadReport { target, load }, &mut out);
        placement.handle(now_ms, Input::Request(request(number, now_ms)), &mut out);
        if number >= 100 {
            let ended =
                Input::Ended { request: RequestId(number - 100), end: AttemptEnd::Answered };
            placement.handle(now_ms, ended, &mut out);
        }
    }
}

fn request(number: u64, now_ms: u64) -> RequestSpec {
    RequestSpec {
        request: RequestId(number),
        class: Class::Online,
        service: SERVICE.into(),
        priority: 0,
        affinity: 0,
        tried_targets: SmallVec::new(),
        deadline_ms: now_ms + 60,
        prior_run_ms: 0,
        resumes: None,
        terms: CallerTerms {
            share_key: number % WORKSPACES + 1,
            arrived_ms: now_ms,
            objective_ms: 300,
            deadline_ms: now_ms + 5_000,
            full_wait_ms: 5_000,
            is_repeatable: true,
        },
    }
}
