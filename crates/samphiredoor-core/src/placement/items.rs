//! Items that wait for room: which of them goes next.
//!
//! Items go by due time as long as the first of them can end in time. While more work arrives than the places can carry,
//! that order alone makes every item late: each begins when it is too late already. So those that can still end in time go
//! before those that cannot: first those that have begun, then the others, each by due time. The late ones get some turns
//! all the same, so that none waits for as long as the overload lasts.

use std::collections::{BTreeMap, HashMap};

use super::RequestSpec;
use crate::dispatch::RequestId;

/// Turns of items that can end in time after which the first one goes, even if it cannot.
const TURNS_BEFORE_LATE: u32 = 9;
/// Time that an item needs to end, in hundredths of what is left of its run: it may lose its place meanwhile.
const TIME_TO_END_PERCENT: u64 = 150;
/// Weight of the newest run in the mean run time, as a divisor.
const NEWEST_WEIGHT: u64 = 8;

/// Order of waiting: when the item is due, then arrival.
type Rank = (u64, u64);

/// Waiting items of one service.
#[derive(Debug, Default)]
pub struct ItemQueue {
    begun: BTreeMap<Rank, RequestSpec>,
    fresh: BTreeMap<Rank, RequestSpec>,
    ranks: HashMap<RequestId, Rank>,
    arrivals: u64,
    turns: u32,
    /// Mean run time of a whole item; 0 before the first has ended.
    run_ms: u64,
}

impl ItemQueue {
    /// Adds an item.
    pub fn push(&mut self, ask: RequestSpec) {
        let rank = (ask.deadline_ms, self.arrivals);
        self.arrivals += 1;
        self.ranks.insert(ask.request, rank);
        let queue = if ask.prior_run_ms > 0 { &mut self.begun } else { &mut self.fresh };
        queue.insert(rank, ask);
    }

    /// Removes an item, if it waits.
    pub fn remove(&mut self, request: RequestId) -> Option<RequestSpec> {
        let rank = self.ranks.remove(&request)?;
        self.begun.remove(&rank).or_else(|| self.fresh.remove(&rank))
    }

    /// Learns how long an item ran from its beginning to its end.
    pub fn learn(&mut self, run_ms: u64) {
        self.run_ms = match self.run_ms {
            0 => run_ms,
            mean => (mean * (NEWEST_WEIGHT - 1) + run_ms) / NEWEST_WEIGHT,
        };
    }

    /// The item whose turn it is.
    pub fn next(&self, now_ms: u64) -> Option<&RequestSpec> {
        let first = self.first()?;
        if self.turns >= TURNS_BEFORE_LATE || self.is_in_time(now_ms, first) {
            return Some(first);
        }
        self.first_in_time(now_ms).or(Some(first))
    }

    /// Takes an item that [`ItemQueue::next`] returned.
    pub fn take(&mut self, now_ms: u64, request: RequestId) -> Option<RequestSpec> {
        let ask = self.remove(request)?;
        self.turns = if self.is_in_time(now_ms, &ask) { self.turns.saturating_add(1) } else { 0 };
        Some(ask)
    }

    /// Number of waiting items.
    pub fn len(&self) -> usize {
        self.ranks.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.ranks.is_empty()
    }

    fn first_in_time(&self, now_ms: u64) -> Option<&RequestSpec> {
        let due_later = (now_ms, 0)..;
        let all = self.begun.range(due_later.clone()).chain(self.fresh.range(due_later));
        all.map(|(_, ask)| ask).find(|it| self.is_in_time(now_ms, it))
    }

    fn first(&self) -> Option<&RequestSpec> {
        let firsts = [self.begun.first_key_value(), self.fresh.first_key_value()];
        firsts.into_iter().flatten().min_by_key(|(rank, _)| **rank).map(|(_, ask)| ask)
    }

    fn is_in_time(&self, now_ms: u64, ask: &RequestSpec) -> bool {
        let left_ms = self.run_ms.saturating_sub(ask.prior_run_ms);
        now_ms + left_ms * TIME_TO_END_PERCENT / 100 <= ask.deadline_ms
    }
}
