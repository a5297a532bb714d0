//! Exponential backoff with jitter from a seeded generator.

use rand::{Rng, rngs::SmallRng};

/// Delay before the next retry: doubles with each failure and is reset by a success.
#[derive(Debug, Clone)]
pub(super) struct Backoff {
    next_ms: u64,
}

impl Backoff {
    const MIN_MS: u64 = 50;
    const MAX_MS: u64 = 5_000;

    pub(super) fn new() -> Backoff {
        Backoff { next_ms: Backoff::MIN_MS }
    }

    /// Returns the delay after another failure, and doubles the next one.
    pub(super) fn wait_ms(&mut self, rng: &mut SmallRng) -> u64 {
        let wait_ms = self.next_ms;
        self.next_ms = (wait_ms * 2).min(Backoff::MAX_MS);
        jittered(wait_ms, rng)
    }

    pub(super) fn reset(&mut self) {
        self.next_ms = Backoff::MIN_MS;
    }
}

/// Returns a random delay between half of `wait_ms` and all of it, so that processes do not retry in step.
pub(super) fn jittered(wait_ms: u64, rng: &mut SmallRng) -> u64 {
    rng.random_range(wait_ms / 2..=wait_ms)
}
