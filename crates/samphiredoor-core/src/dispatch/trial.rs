//! Whether less work at a target makes a sign of trouble smaller.
//!
//! Losses and slowness may come from too much work, or from the work itself: a broken version, longer prompts. A limit
//! that gives way to every sign would end at one attempt in the second case, and nobody would be better off. So each
//! decrease is judged by what it changes, over attempts that began after it.

const WINDOW: u32 = 20;
const HELPED: f64 = 0.7;
/// Decreases in vain; two of them halve the work.
const TRIES: u32 = 2;
const SETTLING: f64 = 2.0;
const PASSED_OVER_MS: u64 = 30_000;

/// What a sign of trouble asks of the limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Advice {
    /// Nothing.
    Keep,
    /// Less work.
    Decrease,
    /// The limit before the first decrease, as the decreases did not help.
    Restore(f64),
}

#[derive(Debug, Clone, Copy)]
struct Decreases {
    sign: f64,
    limit_before: f64,
    in_vain: u32,
}

/// Decreases for one sign of trouble, as long as it lasts.
#[derive(Debug, Default)]
pub(super) struct Trial {
    decreases: Option<Decreases>,
    attempts: u32,
    sum: f64,
    deaf_until_ms: u64,
}

impl Trial {
    /// Whether decreases are being judged.
    pub(super) fn runs(&self) -> bool {
        self.decreases.is_some()
    }

    /// Takes the sign that an attempt gave. Its mean over some attempts counts, if it is above `trouble`. `limit` is the
    /// limit now, `latency_ms` the usual time of an attempt.
    pub(super) fn take(
        &mut self,
        now_ms: u64,
        sign: f64,
        trouble: f64,
        limit: f64,
        latency_ms: f64,
    ) -> Advice {
        if now_ms < self.deaf_until_ms {
            return Advice::Keep;
        }
        self.attempts += 1;
        self.sum += sign;
        if self.attempts < WINDOW {
            return Advice::Keep;
        }
        let sign = self.sum / f64::from(self.attempts);
        (self.attempts, self.sum) = (0, 0.0);
        if sign <= trouble {
            self.decreases = None;
            return Advice::Keep;
        }
        // Attempts that began under the old limit say nothing about the new one.
        self.deaf_until_ms = now_ms + (latency_ms * SETTLING) as u64;
        self.judge(now_ms, sign, limit)
    }

    fn judge(&mut self, now_ms: u64, sign: f64, limit: f64) -> Advice {
        let in_vain = match self.decreases {
            Some(before) if sign > before.sign * HELPED => before.in_vain + 1,
            _ => 0,
        };
        let limit_before = self.decreases.map_or(limit, |it| it.limit_before);
        if in_vain >= TRIES {
            self.decreases = None;
            self.deaf_until_ms = now_ms + PASSED_OVER_MS;
            return Advice::Restore(limit_before);
        }
        self.decreases = Some(Decreases { sign, limit_before, in_vain });
        Advice::Decrease
    }
}
