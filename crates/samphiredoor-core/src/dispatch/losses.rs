//! Whether a target loses answers because it has too much to do.
//!
//! Lost answers alone do not say so: a target with a broken version loses the same share of them at any load, and a limit
//! that gives way to each loss would end at one attempt, for a loss in a hundred even. So losses are counted over a
//! number of attempts, only a large share counts, and when less work does not make the share smaller, load is not the
//! cause and losses are passed over for a while.

const WINDOW: u32 = 40;
const LARGE_SHARE: f64 = 0.1;
const HELPED: f64 = 0.7;
/// Decreases in vain; two of them halve the work.
const TRIES: u32 = 2;
const SETTLING: f64 = 2.0;
const PASSED_OVER_MS: u64 = 30_000;

/// What losses ask of the limit.
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
struct Trial {
    share: f64,
    limit_before: f64,
    in_vain: u32,
}

/// Losses of one target.
#[derive(Debug, Default)]
pub(super) struct Losses {
    lost: u32,
    attempts: u32,
    trial: Option<Trial>,
    deaf_until_ms: u64,
}

impl Losses {
    /// Whether it is being found out if less work helps.
    pub(super) fn on_trial(&self) -> bool {
        self.trial.is_some()
    }

    /// Takes the end of an attempt under the limit `limit`; `latency_ms` is the usual time of an attempt.
    pub(super) fn ended(&mut self, now_ms: u64, lost: bool, limit: f64, latency_ms: f64) -> Advice {
        if now_ms < self.deaf_until_ms {
            return Advice::Keep;
        }
        self.attempts += 1;
        self.lost += u32::from(lost);
        if self.attempts < WINDOW {
            return Advice::Keep;
        }
        let share = f64::from(self.lost) / f64::from(self.attempts);
        (self.attempts, self.lost) = (0, 0);
        if share <= LARGE_SHARE {
            self.trial = None;
            return Advice::Keep;
        }
        // Attempts that began under the old limit say nothing about the new one.
        self.deaf_until_ms = now_ms + (latency_ms * SETTLING) as u64;
        let mut trial = self.trial.unwrap_or(Trial { share, limit_before: limit, in_vain: 0 });
        if self.trial.is_some() {
            let helped = share <= trial.share * HELPED;
            trial.in_vain = if helped { 0 } else { trial.in_vain + 1 };
        }
        if trial.in_vain >= TRIES {
            self.trial = None;
            self.deaf_until_ms = now_ms + PASSED_OVER_MS;
            return Advice::Restore(trial.limit_before);
        }
        self.trial = Some(Trial { share, ..trial });
        Advice::Decrease
    }
}
