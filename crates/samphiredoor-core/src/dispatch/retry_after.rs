//! Retry delays for refused callers.
//!
//! Successive refused callers get times that are spaced at the measured completion rate, like a virtual queue that holds
//! no connections open. They retry spread over the time in which there is capacity for them, instead of all at once.
//! Jitter keeps processes, which do not know each other's schedules, from giving out the same times.

use rand::{Rng, rngs::SmallRng};

const MIN_DELAY_MS: f64 = 50.0;
const MAX_DELAY_MS: f64 = 10_000.0;
/// Delay while the completion rate is not known.
const UNKNOWN_RATE_DELAY_MS: f64 = 1_000.0;
/// Largest jitter, as a share of the delay.
const JITTER: f64 = 0.5;

/// Retry times given to the refused callers of one service.
#[derive(Debug, Default)]
pub(super) struct RetryAfterSchedule {
    /// Time given to the last refused caller.
    last_ms: f64,
}

impl RetryAfterSchedule {
    /// Retry delay for one more caller, in milliseconds; later than the `queued` requests that already wait.
    pub(super) fn next(
        &mut self,
        now_ms: u64,
        queued: usize,
        completions_per_ms: f64,
        rng: &mut SmallRng,
    ) -> u64 {
        if completions_per_ms <= 0.0 {
            return jittered(UNKNOWN_RATE_DELAY_MS, rng);
        }
        let now_ms = now_ms as f64;
        let interval_ms = 1.0 / completions_per_ms;
        let after_queue_ms = now_ms + queued as f64 * interval_ms;
        let latest_ms = now_ms + MAX_DELAY_MS;
        self.last_ms = (self.last_ms.max(after_queue_ms) + interval_ms).min(latest_ms);
        jittered(self.last_ms - now_ms, rng)
    }
}

/// `delay_ms` within its bounds, lengthened by a random part of up to half.
pub(super) fn jittered(delay_ms: f64, rng: &mut SmallRng) -> u64 {
    let bounded_ms = delay_ms.clamp(MIN_DELAY_MS, MAX_DELAY_MS);
    (bounded_ms * rng.random_range(1.0..1.0 + JITTER)) as u64
}
