//! How many attempts a target gets at once: a limit below the declared one, which gives way when the target slows.
//!
//! Additive increase, multiplicative decrease. The signs of trouble are a latency far above the best that the target has
//! shown, many lost answers, a deadline that passed there, and a refusal by the target. Engines batch, so that their
//! latency rises by a few times between an empty and a full batch while throughput still grows: the tolerance lies above
//! that.

use super::trial::{Advice, Trial};

const TOLERANCE: f64 = 4.0;
const LARGE_LOSS: f64 = 0.1;
const RECENT_WEIGHT: f64 = 0.1;
const BASELINE_DOUBLES_MS: f64 = 600_000.0;
const DECREASE: f64 = 0.7;
const MIN_DECREASE_PAUSE_MS: f64 = 100.0;

/// Concurrency limit of one target.
#[derive(Debug)]
pub(super) struct Limit {
    declared: u32,
    current: f64,
    baseline_ms: f64,
    recent_ms: f64,
    sampled_at_ms: u64,
    decreased_at_ms: Option<u64>,
    losses: Trial,
    slowness: Trial,
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
            losses: Trial::default(),
            slowness: Trial::default(),
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
        let elapsed_ms = now_ms.saturating_sub(self.sampled_at_ms) as f64;
        self.sampled_at_ms = now_ms;
        let drifted_ms = self.baseline_ms * (elapsed_ms / BASELINE_DOUBLES_MS).exp2();
        self.baseline_ms = drifted_ms.min(self.recent_ms);
        self.take_loss(now_ms, 0.0);
        self.take_latency(now_ms, latency_ms);
        let is_used = f64::from(in_flight) * 2.0 >= self.current;
        if is_used && !self.losses.runs() && !self.slowness.runs() {
            let raised = self.current + 1.0 / self.current;
            self.current = raised.min(f64::from(self.declared));
        }
    }

    /// A deadline passed after an attempt had run for `elapsed_ms`. That says something about the target only if the
    /// time was long: a request may have been sent with little time left.
    pub(super) fn timed_out(&mut self, now_ms: u64, elapsed_ms: u64) {
        if elapsed_ms as f64 > self.baseline_ms * TOLERANCE {
            self.take_latency(now_ms, elapsed_ms as f64);
        }
    }

    /// The target lost an answer.
    pub(super) fn lost(&mut self, now_ms: u64) {
        self.take_loss(now_ms, 1.0);
    }

    /// The target refused work.
    pub(super) fn pushed_back(&mut self, now_ms: u64) {
        // One full spell shows in all attempts that meet it; it is to count once.
        let pause_ms = self.recent_ms.max(MIN_DECREASE_PAUSE_MS) as u64;
        if self.decreased_at_ms.is_none_or(|at| now_ms >= at.saturating_add(pause_ms)) {
            self.decreased_at_ms = Some(now_ms);
            self.decrease();
        }
    }

    fn take_loss(&mut self, now_ms: u64, share: f64) {
        let usual_ms = self.recent_ms;
        let advice = self.losses.take(now_ms, share, LARGE_LOSS, self.current, usual_ms);
        self.follow(advice);
    }

    fn take_latency(&mut self, now_ms: u64, latency_ms: f64) {
        let slow_ms = self.baseline_ms * TOLERANCE;
        let usual_ms = self.recent_ms;
        let advice = self.slowness.take(now_ms, latency_ms, slow_ms, self.current, usual_ms);
        if let Advice::Restore(_) = advice {
            // Answers take longer now, whatever the load.
            self.baseline_ms = self.recent_ms;
        }
        self.follow(advice);
    }

    fn follow(&mut self, advice: Advice) {
        match advice {
            Advice::Keep => {}
            Advice::Decrease => self.decrease(),
            Advice::Restore(limit) => self.current = limit.min(f64::from(self.declared)),
        }
    }

    fn decrease(&mut self) {
        self.current = (self.current * DECREASE).max(1.0);
    }
}
