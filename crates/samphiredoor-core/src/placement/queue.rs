//! Online requests that wait for capacity, most urgent first.

use std::collections::{BTreeMap, HashMap, VecDeque};

use super::{RequestSpec, fair_queue::FairQueue};
use crate::{
    dispatch::RequestId,
    overload::{admission::Standing, retry_turns::RetryTurns},
};

/// Queue order: priority, then deadline, then arrival.
type Rank = (u32, u64, u64);

/// Waiting online requests of one service. Those that arrive while overload control is active are in an order that is
/// fair among workspaces, and come first.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: BTreeMap<Rank, RequestSpec>,
    ranks: HashMap<RequestId, Rank>,
    arrivals: u64,
    /// Requests that go on with a stream; they precede all others.
    resumptions: VecDeque<RequestSpec>,
    fair: FairQueue,
    /// Requests of retrying callers, while overload control is active.
    retries: FairQueue,
    /// Whether a new request or a retry comes next.
    pub turns: RetryTurns,
}

impl Queue {
    /// Adds a request behind those of the same priority and deadline.
    pub fn push(&mut self, spec: RequestSpec) {
        let rank = (spec.priority, spec.deadline_ms, self.arrivals);
        self.arrivals += 1;
        self.ranks.insert(spec.request, rank);
        self.waiting.insert(rank, spec);
    }

    /// Adds a request that goes on with a stream.
    pub fn push_resumption(&mut self, spec: RequestSpec) {
        self.resumptions.push_back(spec);
    }

    /// Takes the requests that go on with a stream, in order of arrival.
    pub fn take_resumptions(&mut self) -> VecDeque<RequestSpec> {
        std::mem::take(&mut self.resumptions)
    }

    /// Requests in the order that is fair among workspaces, by `terms.share_key`.
    pub fn fair(&mut self, standing: Standing) -> &mut FairQueue {
        match standing {
            Standing::New | Standing::Attempted => &mut self.fair,
            Standing::Returning => &mut self.retries,
        }
    }

    /// Removes a request, if it waits here.
    pub fn remove(&mut self, request: RequestId) {
        if let Some(rank) = self.ranks.remove(&request) {
            self.waiting.remove(&rank);
        }
        self.resumptions.retain(|it| it.request != request);
        self.fair.remove(request);
        self.retries.remove(request);
    }

    /// Takes all requests but those of retrying callers; the most urgent request comes first.
    pub fn take_new(&mut self) -> impl Iterator<Item = RequestSpec> + use<> {
        self.ranks.clear();
        let by_deadline = std::mem::take(&mut self.waiting).into_values();
        self.fair.take_all().into_iter().chain(by_deadline)
    }

    /// Takes the requests of retrying callers, in their order.
    pub fn take_retries(&mut self) -> Vec<RequestSpec> {
        self.retries.take_all()
    }

    /// Empties the queue; the most urgent request comes first.
    pub fn take_all(&mut self) -> impl Iterator<Item = RequestSpec> + use<> {
        self.take_new().chain(self.take_retries())
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len() + self.resumptions.len() + self.fair.len() + self.retries.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
