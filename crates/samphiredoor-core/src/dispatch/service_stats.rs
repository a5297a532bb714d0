//! Measured latency, completion rate and failure rate of a service.

/// Weight of a new sample in the moving averages of the latency.
const LATENCY_WEIGHT: f64 = 0.1;
/// Time constant of the completion rate's exponential decay.
const RATE_WINDOW_MS: f64 = 2_000.0;
/// Weight of a new attempt in the moving average of the failure rate.
const FAILURE_WEIGHT: f64 = 0.02;
/// Largest failure rate that is assumed when computing how many failures in a row are beyond chance.
const MAX_FAILURE_RATE: f64 = 0.6;
/// Probability below which a run of failures is not attributed to chance.
const CHANCE_PROBABILITY: f64 = 1e-6;
/// Half-life of the fast-answer estimate while nothing is measured.
const STALE_HALF_LIFE_MS: f64 = 10_000.0;

/// Measurements of one service.
#[derive(Debug, Default)]
pub(super) struct ServiceStats {
    mean_ms: f64,
    deviation_ms: f64,
    rate_per_ms: f64,
    last_answer_ms: u64,
    measured: bool,
    failure_rate: f64,
}

impl ServiceStats {
    /// Records an answer that took `latency_ms`.
    pub(super) fn record_answer(&mut self, now_ms: u64, latency_ms: u64) {
        self.rate_per_ms = self.current_rate_per_ms(now_ms) + 1.0 / RATE_WINDOW_MS;
        self.last_answer_ms = now_ms;
        let latency_ms = (latency_ms as f64).max(1.0);
        if !self.measured {
            self.measured = true;
            self.mean_ms = latency_ms;
        }
        let error_ms = latency_ms - self.mean_ms;
        self.mean_ms += error_ms * LATENCY_WEIGHT;
        self.deviation_ms += (error_ms.abs() - self.deviation_ms) * LATENCY_WEIGHT;
    }

    /// Records an attempt and whether it failed.
    pub(super) fn record_attempt(&mut self, failed: bool) {
        self.failure_rate += (f64::from(u8::from(failed)) - self.failure_rate) * FAILURE_WEIGHT;
    }

    /// Number of failures in a row at one target that is not attributed to chance, given the service's failure rate.
    pub(super) fn failures_beyond_chance(&self) -> u32 {
        let rate = self.failure_rate.clamp(f64::EPSILON, MAX_FAILURE_RATE);
        (CHANCE_PROBABILITY.ln() / rate.ln()).ceil() as u32
    }

    /// Mean latency of an answer; 0 before the first.
    pub(super) fn mean_ms(&self) -> f64 {
        self.mean_ms
    }

    /// Latency that even a fast answer has: two mean deviations below the mean. It decays while nothing is measured, so
    /// that requests are not refused forever because of an outdated value after the service has become faster.
    pub(super) fn fast_latency_ms(&self, now_ms: u64) -> f64 {
        let fast_latency_ms = (self.mean_ms - 2.0 * self.deviation_ms).max(0.0);
        let stale_ms = now_ms.saturating_sub(self.last_answer_ms) as f64;
        fast_latency_ms * 0.5_f64.powf(stale_ms / STALE_HALF_LIFE_MS)
    }

    /// Expected answers per millisecond while `in_flight` requests run: the counted rate, or the rate that follows from
    /// the mean latency if that is higher, because the counted rate lags behind at the start of a burst.
    pub(super) fn completions_per_ms(&self, now_ms: u64, in_flight: u32) -> f64 {
        let expected = if self.measured { f64::from(in_flight) / self.mean_ms } else { 0.0 };
        self.current_rate_per_ms(now_ms).max(expected)
    }

    fn current_rate_per_ms(&self, now_ms: u64) -> f64 {
        let elapsed = now_ms.saturating_sub(self.last_answer_ms) as f64;
        self.rate_per_ms * (-elapsed / RATE_WINDOW_MS).exp()
    }
}
