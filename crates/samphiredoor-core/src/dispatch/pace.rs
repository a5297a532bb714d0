//! How fast a service answers, measured: time of an answer, and answers a second.

const WEIGHT: f64 = 0.1;
const RATE_WINDOW_MS: f64 = 2_000.0;
const LOST_WEIGHT: f64 = 0.02;
const MOST_LOST: f64 = 0.6;
const CHANCE: f64 = 1e-6;
const STALE_HALF_LIFE_MS: f64 = 10_000.0;

/// Measured pace of one service.
#[derive(Debug, Default)]
pub(super) struct Pace {
    mean_ms: f64,
    deviation_ms: f64,
    rate_per_ms: f64,
    ended_at_ms: u64,
    measured: bool,
    lost_share: f64,
}

impl Pace {
    /// Takes an answer that took `latency_ms`.
    pub(super) fn answered(&mut self, now_ms: u64, latency_ms: u64) {
        self.rate_per_ms = self.rate_now(now_ms) + 1.0 / RATE_WINDOW_MS;
        self.ended_at_ms = now_ms;
        let latency_ms = (latency_ms as f64).max(1.0);
        if !self.measured {
            self.measured = true;
            self.mean_ms = latency_ms;
        }
        let error_ms = latency_ms - self.mean_ms;
        self.mean_ms += error_ms * WEIGHT;
        self.deviation_ms += (error_ms.abs() - self.deviation_ms) * WEIGHT;
    }

    /// Takes whether an attempt failed.
    pub(super) fn attempted(&mut self, failed: bool) {
        self.lost_share += (f64::from(u8::from(failed)) - self.lost_share) * LOST_WEIGHT;
    }

    /// Failures in a row that do not happen to a target by chance, given how often attempts fail anywhere.
    pub(super) fn failures_beyond_chance(&self) -> u32 {
        let share = self.lost_share.clamp(f64::EPSILON, MOST_LOST);
        (CHANCE.ln() / share.ln()).ceil() as u32
    }

    /// Mean time of an answer; 0 before the first.
    pub(super) fn mean_ms(&self) -> f64 {
        self.mean_ms
    }

    /// Time that even a quick answer takes. It shrinks while nothing is measured, so that a service that has become
    /// faster is not refused for ever by an old figure.
    pub(super) fn quick_ms(&self, now_ms: u64) -> f64 {
        let quick_ms = (self.mean_ms - 2.0 * self.deviation_ms).max(0.0);
        let stale_ms = now_ms.saturating_sub(self.ended_at_ms) as f64;
        quick_ms * 0.5_f64.powf(stale_ms / STALE_HALF_LIFE_MS)
    }

    /// Answers a millisecond that can be expected while `in_flight` requests run: what was counted, or what follows
    /// from the time of an answer, as the count lags behind the beginning of a burst.
    pub(super) fn drain_per_ms(&self, now_ms: u64, in_flight: u32) -> f64 {
        let expected = if self.measured { f64::from(in_flight) / self.mean_ms } else { 0.0 };
        self.rate_now(now_ms).max(expected)
    }

    fn rate_now(&self, now_ms: u64) -> f64 {
        let elapsed = now_ms.saturating_sub(self.ended_at_ms) as f64;
        self.rate_per_ms * (-elapsed / RATE_WINDOW_MS).exp()
    }
}
