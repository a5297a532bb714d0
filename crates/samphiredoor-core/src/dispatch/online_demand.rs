//! Demand of online requests at one target, estimated from the numbers in flight over the last minutes.
//!
//! Two statistics are kept. The *concurrency* is the number in flight that would not have been exceeded for 99 of 100
//! online tokens without batch work. Batch work may fill a target up to it, because online callers see steps of that
//! length anyway. The *growth* is the increase of the number in flight within one reaction time: the capacity that must
//! be free for a burst to find it before batch items are preempted.
//!
//! Batch work makes steps longer, so online requests take longer and more of them are in flight. Using those numbers
//! directly would raise the concurrency, admit more batch work, and so on in a feedback loop. Therefore `n` online
//! requests beside `b` batch sequences count as `n / (1 + slope * b)`, the number that the same arrivals would have kept
//! in flight without batch work.

use std::collections::VecDeque;

use super::decayed_histogram::DecayedHistogram;

const HALF_LIFE_MS: u64 = 30_000;
const CONCURRENCY_QUANTILE: f64 = 0.99;
const GROWTH_QUANTILE: f64 = 0.95;
const SAMPLE_INTERVAL_MS: u64 = 50;
/// Time from the arrival of an online request, here or at another gateway, until a slot has been freed for it.
const REACTION_MS: u64 = 200;
const MAX_IN_FLIGHT: u32 = 512;

/// Statistics of online requests in flight at one target.
#[derive(Debug)]
pub(super) struct OnlineDemand {
    in_flight: DecayedHistogram,
    growth: DecayedHistogram,
    recent: VecDeque<u32>,
    next_sample_ms: u64,
    last_online_ms: u64,
    concurrency_p99: u32,
    growth_p95: u32,
}

impl OnlineDemand {
    pub(super) fn new(now_ms: u64) -> OnlineDemand {
        OnlineDemand {
            in_flight: DecayedHistogram::new(MAX_IN_FLIGHT, HALF_LIFE_MS),
            growth: DecayedHistogram::new(MAX_IN_FLIGHT, HALF_LIFE_MS),
            recent: VecDeque::new(),
            next_sample_ms: now_ms,
            last_online_ms: now_ms,
            concurrency_p99: 0,
            growth_p95: 0,
        }
    }

    /// Records the numbers in flight, at most once per sample interval however often it is called. `slope` is the part
    /// of an empty step by which each sequence lengthens a step.
    pub(super) fn sample(&mut self, now_ms: u64, online: u32, batch: u32, slope: f64) {
        if online > 0 {
            self.last_online_ms = now_ms;
        }
        if now_ms < self.next_sample_ms {
            return;
        }
        self.next_sample_ms = now_ms + SAMPLE_INTERVAL_MS;
        let without_batch = f64::from(online) / (1.0 + slope * f64::from(batch));
        // Weighted by tokens, not by time: moments without online requests affect no caller.
        self.in_flight.add(now_ms, without_batch, without_batch);
        let before = self.recent.front().copied().unwrap_or(online);
        self.growth.add(now_ms, f64::from(online.saturating_sub(before)), 1.0);
        self.recent.push_back(online);
        if self.recent.len() as u64 > REACTION_MS / SAMPLE_INTERVAL_MS {
            self.recent.pop_front();
        }
        self.concurrency_p99 = self.in_flight.quantile(CONCURRENCY_QUANTILE);
        self.growth_p95 = self.growth.quantile(GROWTH_QUANTILE);
    }

    /// Number in flight that was not exceeded for 99 of 100 online tokens.
    pub(super) fn concurrency_p99(&self) -> u32 {
        self.concurrency_p99
    }

    /// Growth within one reaction time that is exceeded in one of twenty samples.
    pub(super) fn growth_p95(&self) -> u32 {
        self.growth_p95
    }

    /// Time since an online request was last in flight.
    pub(super) fn idle_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.last_online_ms)
    }
}
