//! How many attempts a target gets at once: a limit below the declared one, which gives way when the target slows.
//!
//! Additive increase, multiplicative decrease. The sign of trouble is a latency far above the best that the target has
//! shown, a refusal by the target, a deadline that passed there, or many lost answers. Engines batch, so that their latency rises by a few
//! times between an empty and a full batch while throughput still grows: the tolerance lies above that.

use super::losses::{Advice, Losses};

const TOLERANCE: f64 = 4.0;
const RECENT_WEIGHT: f64 = 0.1;
const BASELINE_DRIFT: f64 = 0.001;
const SLOW_DECREASE: f64 = 0.9;
const PUSHBACK_DECREASE: f64 = 0.7;
const MIN_DECREASE_PAUSE_MS: f64 = 100.0;

/// Concurrency limit of one target.
#[derive(Debug)]
pub(super) struct Limit {
    declared: u32,
    current: f64,
    baseline_ms: f64,
    recent_ms: f64,
    decreased_at_ms: Option<u64>,
    losses: Losses,
}

impl Limit {
    pub(super) fn new(declared: u32) -> Limit {
        let current = f64::from(declared);
        Limit {
            declared,
            current,
            baseline_ms: 0.0,
            recent_ms: 0.0,
            decreased_at_ms: None,
            losses: Losses::default(),
        }
    }

    /// Takes over a new declaration. A raised one is tried at once, as its owner asked for it.
    pub(super) fn declare(&mut self, declared: u32) {
        if declared > self.declared {
            self.current = f64::from(declared);
        }
        self.declared = declared;
        self.current = self.current.min(f64::from(declared));
    }

    /// Attempts allowed at once; at least one, so that a recovery is noticed.
    pub(super) fn current(&self) -> u32 {
        (self.current as u32).max(1)
    }

    /// Takes the latency of an attempt that ended well, with the attempts that ran beside it.
    pub(super) fn sample(&mut self, now_ms: u64, latency_ms: u64, in_flight: u32) {
        // Answers below a millisecond say nothing about the target at this clock's resolution.
        let latency_ms = (latency_ms as f64).max(1.0);
        if self.recent_ms == 0.0 {
            self.recent_ms = latency_ms;
            self.baseline_ms = latency_ms;
        }
        self.recent_ms += (latency_ms - self.recent_ms) * RECENT_WEIGHT;
        self.baseline_ms = (self.baseline_ms * (1.0 + BASELINE_DRIFT)).min(self.recent_ms);
        self.take_end(now_ms, false);
        if self.recent_ms > self.baseline_ms * TOLERANCE {
            self.decrease(now_ms, SLOW_DECREASE);
        } else if f64::from(in_flight) * 2.0 >= self.current && !self.losses.on_trial() {
            let raised = self.current + 1.0 / self.current;
            self.current = raised.min(f64::from(self.declared));
        }
    }

    /// A deadline passed after an attempt had run for `elapsed_ms`. That says something about the target only if the
    /// time was long: a request may have been sent with little time left.
    pub(super) fn timed_out(&mut self, now_ms: u64, elapsed_ms: u64) {
        if elapsed_ms as f64 > self.baseline_ms * TOLERANCE {
            self.decrease(now_ms, PUSHBACK_DECREASE);
        }
    }

    /// The target lost an answer.
    pub(super) fn lost(&mut self, now_ms: u64) {
        self.take_end(now_ms, true);
    }

    /// The target refused work.
    pub(super) fn pushed_back(&mut self, now_ms: u64) {
        self.decrease(now_ms, PUSHBACK_DECREASE);
    }

    fn take_end(&mut self, now_ms: u64, lost: bool) {
        match self.losses.ended(now_ms, lost, self.current, self.recent_ms) {
            Advice::Keep => {}
            Advice::Decrease => self.decrease(now_ms, PUSHBACK_DECREASE),
            Advice::Restore(limit) => self.current = limit.min(f64::from(self.declared)),
        }
    }

    // One slow spell shows in all attempts that run through it; it is to count once.
    fn decrease(&mut self, now_ms: u64, factor: f64) {
        let pause_ms = self.recent_ms.max(MIN_DECREASE_PAUSE_MS) as u64;
        if self.decreased_at_ms.is_some_and(|at| now_ms < at.saturating_add(pause_ms)) {
            return;
        }
        self.decreased_at_ms = Some(now_ms);
        self.current = (self.current * factor).max(1.0);
    }
}
