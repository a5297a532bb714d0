//! Batch items that wait for a slot, and which of them starts next.
//!
//! Items start in order of due time as long as the first one can still finish in time. Under overload that order alone
//! would make every item late, because each would start only when it is already too late. Therefore items that can
//! still finish in time start before those that cannot: first those with earlier runs, then new ones, each by due time.
//! A late item still starts after every few others, so none waits for as long as the overload lasts.

use std::collections::{BTreeMap, HashMap};

use super::RequestSpec;
use crate::{
    dispatch::RequestId,
    overload::item_runs::{MAX_WEIGHT, ObservedRuns},
};

/// Consecutive starts of items that can finish in time after which the first item starts even if it cannot.
const MAX_IN_TIME_STREAK: u32 = 9;
/// Time that an item needs to finish, in percent of its remaining run time, as it may be preempted meanwhile.
const TIME_TO_FINISH_PERCENT: u64 = 150;
/// The mean run time is a moving average in which the newest run has a weight of one over this.
const MEAN_RUN_DIVISOR: u64 = 8;

/// Queue order: due time, then arrival.
type Rank = (u64, u64);

/// Waiting items of one service.
#[derive(Debug, Default)]
pub struct ItemQueue {
    /// Items that an earlier run has partly done.
    started: BTreeMap<Rank, RequestSpec>,
    unstarted: BTreeMap<Rank, RequestSpec>,
    ranks: HashMap<RequestId, Rank>,
    arrivals: u64,
    /// Consecutive starts of items that could finish in time.
    in_time_streak: u32,
    /// Moving average of the run time of a whole item; 0 before the first has finished.
    mean_run_ms: u64,
    /// Number of runs in the mean, as far as it matters.
    runs: u32,
}

impl ItemQueue {
    /// Adds an item behind those that are due at the same time.
    pub fn push(&mut self, spec: RequestSpec) {
        let rank = (spec.deadline_ms, self.arrivals);
        self.arrivals += 1;
        self.ranks.insert(spec.request, rank);
        let queue = if spec.prior_run_ms > 0 { &mut self.started } else { &mut self.unstarted };
        queue.insert(rank, spec);
    }

    /// Removes an item, if it waits here.
    pub fn remove(&mut self, request: RequestId) -> Option<RequestSpec> {
        let rank = self.ranks.remove(&request)?;
        self.started.remove(&rank).or_else(|| self.unstarted.remove(&rank))
    }

    /// Adds the total run time of a finished item to the mean.
    pub fn record_run(&mut self, run_ms: u64) {
        self.runs = (self.runs + 1).min(MAX_WEIGHT);
        self.mean_run_ms = match self.mean_run_ms {
            0 => run_ms,
            mean => (mean * (MEAN_RUN_DIVISOR - 1) + run_ms) / MEAN_RUN_DIVISOR,
        };
    }

    /// The item to start next, of those that may start.
    pub fn next(
        &self,
        now_ms: u64,
        may_start: impl Fn(&RequestSpec) -> bool,
    ) -> Option<&RequestSpec> {
        let first = self.first(&may_start)?;
        if self.in_time_streak >= MAX_IN_TIME_STREAK || self.is_in_time(now_ms, first) {
            return Some(first);
        }
        self.first_in_time(now_ms, &may_start).or(Some(first))
    }

    /// The item to resume next while no further item may start.
    pub fn next_started(&self, may_start: impl Fn(&RequestSpec) -> bool) -> Option<&RequestSpec> {
        self.started.values().find(|it| may_start(it))
    }

    /// Takes an item that [`ItemQueue::next`] or [`ItemQueue::next_started`] returned.
    pub fn take(&mut self, now_ms: u64, request: RequestId) -> Option<RequestSpec> {
        let spec = self.remove(request)?;
        self.in_time_streak =
            if self.is_in_time(now_ms, &spec) { self.in_time_streak.saturating_add(1) } else { 0 };
        Some(spec)
    }

    /// The waiting items, in no particular order.
    pub fn waiting(&self) -> impl Iterator<Item = &RequestSpec> {
        self.started.values().chain(self.unstarted.values())
    }

    /// Run time of a whole item, as observed here.
    pub fn observed_runs(&self) -> ObservedRuns {
        ObservedRuns { mean_ms: self.mean_run_ms, weight: self.runs }
    }

    /// Number of waiting items.
    pub fn len(&self) -> usize {
        self.ranks.len()
    }

    /// Number of waiting items that an earlier run has partly done.
    pub fn started_len(&self) -> usize {
        self.started.len()
    }

    /// Whether no item waits.
    pub fn is_empty(&self) -> bool {
        self.ranks.is_empty()
    }

    /// First item that can finish in time; started ones come first.
    fn first_in_time(
        &self,
        now_ms: u64,
        may_start: impl Fn(&RequestSpec) -> bool,
    ) -> Option<&RequestSpec> {
        let not_overdue = (now_ms, 0)..;
        let all = self.started.range(not_overdue.clone()).chain(self.unstarted.range(not_overdue));
        all.map(|(_, spec)| spec).find(|it| may_start(it) && self.is_in_time(now_ms, it))
    }

    /// Item with the earliest due time.
    fn first(&self, may_start: impl Fn(&RequestSpec) -> bool) -> Option<&RequestSpec> {
        let started = self.started.iter().find(|(_, it)| may_start(it));
        let unstarted = self.unstarted.iter().find(|(_, it)| may_start(it));
        let firsts = [started, unstarted];
        firsts.into_iter().flatten().min_by_key(|(rank, _)| **rank).map(|(_, spec)| spec)
    }

    fn is_in_time(&self, now_ms: u64, spec: &RequestSpec) -> bool {
        let left_ms = self.mean_run_ms.saturating_sub(spec.prior_run_ms);
        now_ms + left_ms * TIME_TO_FINISH_PERCENT / 100 <= spec.deadline_ms
    }
}
