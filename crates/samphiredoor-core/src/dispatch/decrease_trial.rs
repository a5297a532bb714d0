//! Tests whether reducing the concurrency limit of a target reduces an overload signal, such as the loss rate or the
//! latency.
//!
//! Losses and high latency may be caused by too much work, or by the work itself: a broken version, longer prompts. In
//! the second case a limit that is reduced for every signal would end at one attempt, without any benefit. Therefore
//! the effect of each decrease is measured over attempts that began after it, and decreases without effect are undone.

/// Attempts over which the signal is averaged.
const WINDOW_ATTEMPTS: u32 = 20;
/// A decrease is effective if it lowers the signal to at most this part of its previous value.
const EFFECTIVE_FACTOR: f64 = 0.7;
/// Ineffective decreases after which the limit is restored; two decreases halve the work.
const MAX_INEFFECTIVE: u32 = 2;
/// Time for which signals are ignored after a decrease, as a multiple of the usual latency.
const SETTLING_LATENCIES: f64 = 2.0;
/// Time for which signals are ignored after the limit has been restored.
const PAUSE_AFTER_RESTORE_MS: u64 = 30_000;

/// Change of the limit that a signal calls for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Advice {
    /// Keep the limit.
    Keep,
    /// Reduce the limit.
    Decrease,
    /// Restore the limit from before the first decrease, because the decreases were ineffective.
    Restore(f64),
}

/// State of the decreases that are being evaluated.
#[derive(Debug, Clone, Copy)]
struct Decreases {
    /// Signal at the last decrease.
    signal: f64,
    /// Limit before the first decrease.
    limit_before: f64,
    /// Ineffective decreases in a row.
    ineffective: u32,
}

/// Evaluates the decreases for one overload signal while it is above its threshold.
#[derive(Debug, Default)]
pub(super) struct DecreaseTrial {
    decreases: Option<Decreases>,
    attempts: u32,
    sum: f64,
    ignore_until_ms: u64,
}

impl DecreaseTrial {
    /// Whether decreases are being evaluated.
    pub(super) fn is_active(&self) -> bool {
        self.decreases.is_some()
    }

    /// Records the signal of one attempt. Once per window the mean signal is compared with `threshold`. `limit` is the
    /// current limit, `latency_ms` the usual latency of an attempt.
    pub(super) fn record(
        &mut self,
        now_ms: u64,
        signal: f64,
        threshold: f64,
        limit: f64,
        latency_ms: f64,
    ) -> Advice {
        if now_ms < self.ignore_until_ms {
            return Advice::Keep;
        }
        self.attempts += 1;
        self.sum += signal;
        if self.attempts < WINDOW_ATTEMPTS {
            return Advice::Keep;
        }
        let signal = self.sum / f64::from(self.attempts);
        (self.attempts, self.sum) = (0, 0.0);
        if signal <= threshold {
            self.decreases = None;
            return Advice::Keep;
        }
        // Attempts that began under the old limit do not show the effect of the new one.
        self.ignore_until_ms = now_ms + (latency_ms * SETTLING_LATENCIES) as u64;
        self.evaluate(now_ms, signal, limit)
    }

    fn evaluate(&mut self, now_ms: u64, signal: f64, limit: f64) -> Advice {
        let ineffective = match self.decreases {
            Some(previous) if signal > previous.signal * EFFECTIVE_FACTOR => {
                previous.ineffective + 1
            }
            _ => 0,
        };
        let limit_before = self.decreases.map_or(limit, |it| it.limit_before);
        if ineffective >= MAX_INEFFECTIVE {
            self.decreases = None;
            self.ignore_until_ms = now_ms + PAUSE_AFTER_RESTORE_MS;
            return Advice::Restore(limit_before);
        }
        self.decreases = Some(Decreases { signal, limit_before, ineffective });
        Advice::Decrease
    }
}
