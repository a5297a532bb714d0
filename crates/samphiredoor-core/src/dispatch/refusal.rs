//! When a refused caller is to come back.
//!
//! Refused callers are told times that follow each other at the measured drain rate, as if they stood in a line that
//! nobody has to hold open. So they come back spread over the time in which there is room for them, not all at once.
//! Seeded jitter keeps the processes, which do not see each other's lines, from telling the same times.

use rand::{Rng, rngs::SmallRng};

const SHORTEST_MS: f64 = 50.0;
const LONGEST_MS: f64 = 10_000.0;
const UNKNOWN_MS: f64 = 1_000.0;
const JITTER: f64 = 0.5;

/// Times given to the refused callers of one service.
#[derive(Debug, Default)]
pub(super) struct ReturnTimes {
    next_ms: f64,
}

impl ReturnTimes {
    /// Time for one more caller, after `queued` requests that already wait.
    pub(super) fn next(
        &mut self,
        now_ms: u64,
        queued: usize,
        drain_per_ms: f64,
        rng: &mut SmallRng,
    ) -> u64 {
        if drain_per_ms <= 0.0 {
            return jittered(UNKNOWN_MS, rng);
        }
        let now_ms = now_ms as f64;
        let turn_ms = 1.0 / drain_per_ms;
        let after_queue_ms = now_ms + queued as f64 * turn_ms;
        let latest_ms = now_ms + LONGEST_MS;
        self.next_ms = (self.next_ms.max(after_queue_ms) + turn_ms).min(latest_ms);
        jittered(self.next_ms - now_ms, rng)
    }
}

/// `wait_ms` within its bounds, up to half longer.
pub(super) fn jittered(wait_ms: f64, rng: &mut SmallRng) -> u64 {
    let bounded_ms = wait_ms.clamp(SHORTEST_MS, LONGEST_MS);
    (bounded_ms * rng.random_range(1.0..1.0 + JITTER)) as u64
}
