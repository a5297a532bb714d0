//! What online requests need of one target, from how many were in flight over the last minutes.
//!
//! Two figures. The *level* is the number in flight that 99 in 100 online tokens would not have seen exceeded had
//! there been no batch work: batch may fill a target up to it, because a step at that level is one that online callers
//! know anyway. The *rise* is by how much the number grows within one reaction time: room that must stand free if a
//! burst is to find it before slots are recalled.
//!
//! Batch work itself makes steps longer, so that online requests stay longer and more of them are in flight. Taking
//! those numbers as they are would raise the level, let in more batch work, and so on. Therefore a number `n` seen
//! beside `b` batch sequences counts as `n / (1 + slope * b)`, which is what the same arrivals would have kept in
//! flight alone.

use std::collections::VecDeque;

use super::decayed::DecayedHistogram;

const HALF_LIFE_MS: u64 = 30_000;
const LEVEL_QUANTILE: f64 = 0.99;
const RISE_QUANTILE: f64 = 0.95;
const SAMPLE_MS: u64 = 50;
/// Time from an online request's arrival to a freed slot, for a request of another door as well.
const REACTION_MS: u64 = 200;
const LARGEST: u32 = 512;

/// Online traffic of one target.
#[derive(Debug)]
pub(super) struct Envelope {
    in_flight: DecayedHistogram,
    rises: DecayedHistogram,
    recent: VecDeque<u32>,
    next_sample_ms: u64,
    last_online_ms: u64,
    level: u32,
    rise: u32,
}

impl Envelope {
    pub(super) fn new(now_ms: u64) -> Envelope {
        Envelope {
            in_flight: DecayedHistogram::new(LARGEST, HALF_LIFE_MS),
            rises: DecayedHistogram::new(LARGEST, HALF_LIFE_MS),
            recent: VecDeque::new(),
            next_sample_ms: now_ms,
            last_online_ms: now_ms,
            level: 0,
            rise: 0,
        }
    }

    /// Takes the numbers in flight, as often as it likes.
    pub(super) fn observe(&mut self, now_ms: u64, online: u32, batch: u32, slope: f64) {
        if online > 0 {
            self.last_online_ms = now_ms;
        }
        if now_ms < self.next_sample_ms {
            return;
        }
        self.next_sample_ms = now_ms + SAMPLE_MS;
        let alone = f64::from(online) / (1.0 + slope * f64::from(batch));
        // Weighted by tokens, not by time: a caller does not feel the moments without callers.
        self.in_flight.add(now_ms, alone, alone);
        let before = self.recent.front().copied().unwrap_or(online);
        self.rises.add(now_ms, f64::from(online.saturating_sub(before)), 1.0);
        self.recent.push_back(online);
        if self.recent.len() as u64 > REACTION_MS / SAMPLE_MS {
            self.recent.pop_front();
        }
        self.level = self.in_flight.quantile(LEVEL_QUANTILE);
        self.rise = self.rises.quantile(RISE_QUANTILE);
    }

    /// Number in flight that 99 in 100 online tokens did not see exceeded.
    pub(super) fn level(&self) -> u32 {
        self.level
    }

    /// Growth within one reaction time that is exceeded once in twenty times.
    pub(super) fn rise(&self) -> u32 {
        self.rise
    }

    /// How long no online request has been in flight.
    pub(super) fn quiet_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.last_online_ms)
    }
}
