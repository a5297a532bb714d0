//! Online requests that wait during an overload, fair among workspaces.
//!
//! Start-time fair queueing, in units of one request: the next request of each workspace has a start time in virtual
//! time, and the lowest one is served first. Serving a request moves its workspace one unit behind. A workspace that
//! returns after an idle time starts at the current virtual time, so idle time gives no credit. One whose requests had no
//! target while others were served keeps a small bounded credit. Within a workspace, and at equal start times, the
//! request whose caller stops waiting first is served first: retrying callers come before new ones.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
};

use super::RequestSpec;
use crate::{dispatch::RequestId, overload::fair_share::COMMON_KEY};

/// Most requests by which a workspace may be behind the virtual time.
const MAX_CREDIT: u64 = 2;
/// Number of workspaces up to which the start times of those without waiting requests are kept.
const MIN_KEPT: usize = 64;

/// Order within a workspace: the time when the caller stops waiting, then arrival.
type Rank = (u64, u64);
/// Requests of a workspace at one priority are served in turn with those of others.
type FlowKey = (u32, u64);
/// Order of the workspaces' next requests: priority, callers without their own share last, start time, rank.
type Turn = (u32, bool, u64, Rank);

#[derive(Debug, Default)]
struct Flow {
    waiting: BTreeMap<Rank, RequestSpec>,
    /// Virtual time at which its next request starts.
    start: u64,
}

/// Waiting requests of one service by workspace.
#[derive(Debug, Default)]
pub struct FairQueue {
    flows: HashMap<FlowKey, Flow>,
    ranks: HashMap<RequestId, (FlowKey, Rank)>,
    virtual_time: u64,
    arrivals: u64,
}

impl FairQueue {
    /// Adds a request behind those of its workspace with the same deadline.
    pub fn push(&mut self, spec: RequestSpec) {
        let key = flow_key(&spec);
        let rank = (spec.terms.deadline_ms, self.arrivals);
        self.arrivals += 1;
        self.ranks.insert(spec.request, (key, rank));
        let flow = self.flows.entry(key).or_default();
        if flow.waiting.is_empty() {
            flow.start = flow.start.max(self.virtual_time);
        }
        flow.waiting.insert(rank, spec);
    }

    /// Removes a request, if it waits here.
    pub fn remove(&mut self, request: RequestId) -> Option<RequestSpec> {
        let (key, rank) = self.ranks.remove(&request)?;
        self.flows.get_mut(&key)?.waiting.remove(&rank)
    }

    /// Takes all requests, in the order in which they would be served. Those that are added again keep their turns.
    pub fn take_all(&mut self) -> Vec<RequestSpec> {
        self.ranks.clear();
        self.forget_idle();
        let min_start = self.virtual_time.saturating_sub(MAX_CREDIT);
        let mut left: HashMap<FlowKey, _> = HashMap::new();
        let mut heads = BinaryHeap::new();
        for (key, flow) in &mut self.flows {
            flow.start = flow.start.max(min_start);
            let mut waiting = std::mem::take(&mut flow.waiting).into_iter();
            if let Some((rank, spec)) = waiting.next() {
                heads.push(Reverse((turn(*key, flow.start, rank), HeadSpec(spec))));
                left.insert(*key, waiting);
            }
        }
        let mut ordered = Vec::new();
        while let Some(Reverse(((.., start, _), HeadSpec(spec)))) = heads.pop() {
            let key = flow_key(&spec);
            if let Some((rank, next)) = left.get_mut(&key).and_then(Iterator::next) {
                heads.push(Reverse((turn(key, start + 1, rank), HeadSpec(next))));
            }
            ordered.push(spec);
        }
        ordered
    }

    /// Notes that a request that was taken is served: the next turns are those of other workspaces.
    pub fn record_served(&mut self, spec: &RequestSpec) {
        if let Some(flow) = self.flows.get_mut(&flow_key(spec)) {
            self.virtual_time = self.virtual_time.max(flow.start);
            flow.start += 1;
        }
    }

    /// Decides which request is rejected when a new one arrives and the queue is full: the last one of the workspace that
    /// is furthest above its share, at the lowest priority. `excess` returns how far a workspace is above its share when
    /// this number of its requests wait. Returns the request if it was waiting, `None` if it is the new one.
    pub fn displace(
        &mut self,
        new: &RequestSpec,
        excess: impl Fn(u64, usize) -> f64,
    ) -> Option<RequestSpec> {
        let new_key = flow_key(new);
        let of_flow = |key: FlowKey, waiting: usize| (key.0, excess(key.1, waiting), waiting);
        let new_waiting = self.flows.get(&new_key).map_or(0, |it| it.waiting.len()) + 1;
        let mut worst = (new_key, of_flow(new_key, new_waiting));
        for (key, flow) in &self.flows {
            let waiting = flow.waiting.len() + usize::from(*key == new_key);
            if flow.waiting.is_empty() || *key == new_key {
                continue;
            }
            let candidate = of_flow(*key, waiting);
            if is_worse((*key, candidate), worst) {
                worst = (*key, candidate);
            }
        }
        let last = self.flows.get(&worst.0)?.waiting.last_key_value()?;
        let (rank, spec) = (*last.0, last.1.request);
        let new_is_last = worst.0 == new_key && rank.0 <= new.terms.deadline_ms;
        if new_is_last { None } else { self.remove(spec) }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.ranks.len()
    }

    /// Forgets the start times of workspaces without waiting requests that have passed.
    fn forget_idle(&mut self) {
        if self.flows.len() > MIN_KEPT {
            let virtual_time = self.virtual_time;
            self.flows.retain(|_, it| !it.waiting.is_empty() || it.start > virtual_time);
        }
    }
}

/// Whether the first workspace should lose a request rather than the second: lower priority, then further above its
/// share, then more waiting requests, then the key, so that the choice is deterministic.
fn is_worse(one: (FlowKey, (u32, f64, usize)), other: (FlowKey, (u32, f64, usize))) -> bool {
    let (one_key, (one_priority, one_excess, one_waiting)) = one;
    let (other_key, (other_priority, other_excess, other_waiting)) = other;
    let order = one_priority
        .cmp(&other_priority)
        .then(one_excess.total_cmp(&other_excess))
        .then(one_waiting.cmp(&other_waiting))
        .then(one_key.1.cmp(&other_key.1));
    order.is_gt()
}

fn flow_key(spec: &RequestSpec) -> FlowKey {
    (spec.priority, spec.terms.share_key)
}

fn turn((priority, key): FlowKey, start: u64, rank: Rank) -> Turn {
    (priority, key == COMMON_KEY, start, rank)
}

/// A request in a heap that is ordered by other fields.
struct HeadSpec(RequestSpec);

impl PartialEq for HeadSpec {
    fn eq(&self, other: &HeadSpec) -> bool {
        self.0.request == other.0.request
    }
}

impl Eq for HeadSpec {}

impl PartialOrd for HeadSpec {
    fn partial_cmp(&self, other: &HeadSpec) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for HeadSpec {
    fn cmp(&self, other: &HeadSpec) -> std::cmp::Ordering {
        self.0.request.cmp(&other.0.request)
    }
}
