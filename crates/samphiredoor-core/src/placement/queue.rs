//! Requests that wait for room, the most urgent first.

use std::collections::{BTreeMap, HashMap};

use super::RequestSpec;
use crate::dispatch::RequestId;

/// Order of waiting: urgency, then how soon the request is of no use or due, then arrival.
type Rank = (u32, u64, u64);

/// Waiting requests.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: BTreeMap<Rank, RequestSpec>,
    ranks: HashMap<RequestId, Rank>,
    arrivals: u64,
}

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, ask: RequestSpec) {
        let rank = (ask.priority, ask.deadline_ms, self.arrivals);
        self.arrivals += 1;
        self.ranks.insert(ask.request, rank);
        self.waiting.insert(rank, ask);
    }

    /// Removes a request, if it waits.
    pub fn remove(&mut self, request: RequestId) {
        if let Some(rank) = self.ranks.remove(&request) {
            self.waiting.remove(&rank);
        }
    }

    /// Takes all requests, the most urgent first.
    pub fn take_all(&mut self) -> impl Iterator<Item = RequestSpec> + use<> {
        self.ranks.clear();
        std::mem::take(&mut self.waiting).into_values()
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
