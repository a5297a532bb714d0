//! Adaptive concurrency limit of a target: at most the declared limit, reduced when the target is overloaded.
//!
//! Additive increase, multiplicative decrease. The overload signals are a latency far above the best that the target has
//! shown, a high rate of lost answers, deadlines that pass at the target, and pushback. Engines batch requests, so their
//! latency grows by a small factor between an empty and a full batch while throughput still increases; the latency
//! tolerance is above that factor.

use super::decrease_trial::{Advice, DecreaseTrial};

/// Latency above this multiple of the baseline counts as overload.
const LATENCY_TOLERANCE: f64 = 4.0;
/// A share of lost answers above this counts as overload.
const MAX_LOSS_RATE: f64 = 0.1;
/// Weight of a new sample in the moving average of the latency.
const RECENT_WEIGHT: f64 = 0.1;
/// Time in which the baseline latency doubles unless lower latencies are measured.
const BASELINE_DOUBLING_MS: f64 = 600_000.0;
const DECREASE_FACTOR: f64 = 0.7;
/// Shortest time between two decreases because of pushback.
const MIN_DECREASE_INTERVAL_MS: f64 = 100.0;

/// Concurrency limit of one target.
#[derive(Debug)]
pub(super) struct Limit {
    /// Limit in the manifest.
    declared: u32,
    current: f64,
    /// Best latency, slowly drifting upwards.
    baseline_ms: f64,
    /// Moving average of the latency.
    recent_ms: f64,
    sampled_at_ms: u64,
    decreased_at_ms: Option<u64>,
    loss_trial: DecreaseTrial,
    latency_trial: DecreaseTrial,
}

impl Limit {
    pub(super) fn new(declared: u32) -> Limit {
        Limit {
            declared,
            current: f64::from(declared),
            baseline_ms: 0.0,
            recent_ms: 0.0,
            sampled_at_ms: 0,
            decreased_at_ms: None,
            loss_trial: DecreaseTrial::default(),
            latency_trial: DecreaseTrial::default(),
        }
    }

    /// Applies a new declared limit. If the owner has raised it, it is used in full at once.
    pub(super) fn update_declared(&mut self, declared: u32) {
        if declared > self.declared {
            self.current = f64::from(declared);
        }
        self.declared = declared;
        self.current = self.current.min(f64::from(declared));
    }

    /// Attempts allowed at once. At least one, so that a recovery of the target is detected.
    pub(super) fn current(&self) -> u32 {
        (self.current as u32).max(1)
    }

    /// Records the latency of a successful attempt; `in_flight` is the number of attempts that were running, including
    /// this one.
    pub(super) fn record_success(&mut self, now_ms: u64, latency_ms: u64, in_flight: u32) {
        // The clock's resolution is a millisecond, so shorter latencies carry no information.
        let latency_ms = (latency_ms as f64).max(1.0);
        if self.recent_ms == 0.0 {
            self.recent_ms = latency_ms;
            self.baseline_ms = latency_ms;
        }
        self.recent_ms += (latency_ms - self.recent_ms) * RECENT_WEIGHT;
        let elapsed_ms = now_ms.saturating_sub(self.sampled_at_ms) as f64;
        self.sampled_at_ms = now_ms;
        let drifted_ms = self.baseline_ms * (elapsed_ms / BASELINE_DOUBLING_MS).exp2();
        self.baseline_ms = drifted_ms.min(self.recent_ms);
        self.record_loss_rate(now_ms, 0.0);
        self.record_latency(now_ms, latency_ms);
        let is_used = f64::from(in_flight) * 2.0 >= self.current;
        if is_used && !self.loss_trial.is_active() && !self.latency_trial.is_active() {
            let raised = self.current + 1.0 / self.current;
            self.current = raised.min(f64::from(self.declared));
        }
    }

    /// Records that a deadline passed after an attempt had run for `elapsed_ms`. This counts against the target only if
    /// that time was long, because a request may have been sent with little time left.
    pub(super) fn timed_out(&mut self, now_ms: u64, elapsed_ms: u64) {
        if elapsed_ms as f64 > self.baseline_ms * LATENCY_TOLERANCE {
            self.record_latency(now_ms, elapsed_ms as f64);
        }
    }

    /// Records that the target lost an answer.
    pub(super) fn answer_lost(&mut self, now_ms: u64) {
        self.record_loss_rate(now_ms, 1.0);
    }

    /// Reduces the limit because the target pushed back.
    pub(super) fn refused(&mut self, now_ms: u64) {
        // All attempts that arrive during one overload are pushed back; together they count once.
        let interval_ms = self.recent_ms.max(MIN_DECREASE_INTERVAL_MS) as u64;
        if self.decreased_at_ms.is_none_or(|at| now_ms >= at.saturating_add(interval_ms)) {
            self.decreased_at_ms = Some(now_ms);
            self.decrease();
        }
    }

    fn record_loss_rate(&mut self, now_ms: u64, share: f64) {
        let usual_ms = self.recent_ms;
        let advice = self.loss_trial.record(now_ms, share, MAX_LOSS_RATE, self.current, usual_ms);
        self.apply(advice);
    }

    fn record_latency(&mut self, now_ms: u64, latency_ms: f64) {
        let slow_ms = self.baseline_ms * LATENCY_TOLERANCE;
        let usual_ms = self.recent_ms;
        let advice = self.latency_trial.record(now_ms, latency_ms, slow_ms, self.current, usual_ms);
        if let Advice::Restore(_) = advice {
            // Answers take longer now, independently of the load.
            self.baseline_ms = self.recent_ms;
        }
        self.apply(advice);
    }

    fn apply(&mut self, advice: Advice) {
        match advice {
            Advice::Keep => {}
            Advice::Decrease => self.decrease(),
            Advice::Restore(limit) => self.current = limit.min(f64::from(self.declared)),
        }
    }

    fn decrease(&mut self) {
        self.current = (self.current * DECREASE_FACTOR).max(1.0);
    }
}
