//! Waits between tries: exponential, with jitter from a seeded generator.

use rand::{Rng, rngs::SmallRng};

/// Grows with each failure, and starts again after a success.
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

    /// Wait after one more failure.
    pub(super) fn wait_ms(&mut self, rng: &mut SmallRng) -> u64 {
        let wait_ms = self.next_ms;
        self.next_ms = (wait_ms * 2).min(Backoff::MAX_MS);
        jittered(wait_ms, rng)
    }

    pub(super) fn reset(&mut self) {
        self.next_ms = Backoff::MIN_MS;
    }
}

/// Between half and the whole of `wait_ms`, so that processes do not come back together.
pub(super) fn jittered(wait_ms: u64, rng: &mut SmallRng) -> u64 {
    rng.random_range(wait_ms / 2..=wait_ms)
}
