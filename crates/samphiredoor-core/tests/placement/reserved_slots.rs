//! Requests of limited workspaces beside the slots that they leave to others, at one gateway of a cell of twelve.

use samphiredoor_core::{
    Name,
    dispatch::{Class, RequestId},
    overload::{
        Activation, OverloadNews, OverloadPolicy, WorkspaceUsage, fair_share::workspace_key,
    },
    placement::{
        Action, CallerTerms, GatewayLoad, GatewayState, Input, Placement, RequestSpec, name_hash,
    },
};
use smallvec::SmallVec;

use crate::harness::{SLOTS, entry, location};

const PEERS: usize = 11;
const TARGETS: usize = 20;
const NOW_MS: u64 = 10_000;
/// Time after which shares follow from the latest news.
const REFRESHED_MS: u64 = NOW_MS + 100;
/// Time until the gateways of a cell know what the others have sent.
const LOADS_KNOWN_MS: u64 = 25;
const OBJECTIVE_MS: u64 = 300;
const DEADLINE_MS: u64 = 5_000;
/// Gateways of which each receives one request, as a multiple of those in a cell.
const CELLS: u64 = 50;
/// Most requests that the gateways of a cell may send on average to the one slot that limited workspaces may take.
const MAX_SENT: f64 = 2.0;
/// Least of them: unused slots would harm the limited workspace for nothing.
const MIN_SENT: f64 = 0.5;

fn target(number: usize) -> Name {
    format!("t-{number}").into()
}

/// Requests of a peer. Together all peers have as many at each target as it has slots, but for one slot that limited
/// workspaces leave to others, and at the first target one more that they may take.
fn loads(peer: usize) -> Vec<GatewayLoad> {
    let is_used = |number: &usize| {
        let free = if *number == 0 { 2 } else { 1 };
        (number + peer) % PEERS < SLOTS as usize - free
    };
    let used = (0..TARGETS).filter(is_used);
    used.map(|it| GatewayLoad { target: name_hash(&target(it)), online: 1, batch: 0 }).collect()
}

/// Requests of a peer by workspace: the flood wants more than half of the slots, and the others together less than that.
fn usage(loads: &[GatewayLoad]) -> Vec<WorkspaceUsage> {
    let of_flood = 7;
    let of_others = loads.len() as u32 - of_flood;
    let usage = |workspace, running, rejected| WorkspaceUsage {
        workspace: workspace_key(workspace),
        running,
        rejected,
    };
    vec![usage("flood", of_flood, 40), usage("small", of_others, 0)]
}

/// A gateway without own requests that knows the loads and news of its peers.
fn gateway(seed: u64) -> Placement {
    let place = || location("brisbane", "north");
    let mut placement = Placement::new("gateway-m".into(), place(), seed)
        .with_overload(OverloadPolicy::new(Activation::Always));
    let entries = (0..TARGETS).map(|it| entry(&target(it), place())).collect();
    let mut input = |input| placement.handle(NOW_MS, input, &mut Vec::new());
    input(Input::Targets(entries));
    for number in 0..PEERS {
        let peer = Name::from(format!("gateway-{number:02}"));
        let loads = loads(number);
        let news = OverloadNews { usage: usage(&loads), ..OverloadNews::default() };
        let state = GatewayState { loads, waiting: Vec::new() };
        input(Input::Peer { peer: Name::clone(&peer), state });
        input(Input::PeerNews { peer, news });
    }
    placement
}

/// Whether a new request is sent to a target before the loads of other gateways are known.
fn is_sent(placement: &mut Placement, workspace: &str) -> bool {
    let spec = RequestSpec {
        request: RequestId(1),
        class: Class::Online,
        service: "reader".into(),
        priority: 0,
        affinity: 0,
        tried_targets: SmallVec::new(),
        deadline_ms: REFRESHED_MS + OBJECTIVE_MS / 5,
        prior_run_ms: 0,
        resumes: None,
        terms: CallerTerms {
            share_key: workspace_key(workspace),
            arrived_ms: REFRESHED_MS,
            objective_ms: OBJECTIVE_MS,
            deadline_ms: REFRESHED_MS + DEADLINE_MS,
            full_wait_ms: DEADLINE_MS,
            is_repeatable: true,
        },
    };
    let mut out = Vec::new();
    placement.handle(REFRESHED_MS, Input::Request(spec), &mut out);
    for ms in 1..LOADS_KNOWN_MS {
        placement.handle(REFRESHED_MS + ms, Input::Tick, &mut out);
    }
    out.iter().any(|it| matches!(it, Action::Dispatch { .. }))
}

/// Requests of a workspace that the gateways of a cell send on average before they know of each other's, if each receives
/// one.
fn sent_by_cell(workspace: &str) -> f64 {
    let gateways = 0..CELLS * (PEERS as u64 + 1);
    let sent = gateways.filter(|seed| is_sent(&mut gateway(*seed), workspace)).count();
    sent as f64 / CELLS as f64
}

// All gateways sent a request of the flood to the one target that had a slot for it, and the requests of other workspaces
// that came next waited behind them until they were late.
#[test]
fn a_slot_that_limited_workspaces_may_take_attracts_requests_of_few_gateways() {
    let sent = sent_by_cell("flood");
    assert!((MIN_SENT..=MAX_SENT).contains(&sent), "requests for one slot: {sent}");
}

// The bound for limited workspaces must not hold back others: slots are left free for them.
#[test]
fn requests_of_other_workspaces_take_the_slots_that_are_left_to_them() {
    assert_eq!(sent_by_cell("small"), PEERS as f64 + 1.0);
}
