//! What speaks against one suspect: the crashes of targets under which it was lost.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use super::{RunTime, Trials, chance::Exposure};

/// Crashes count for a suspect that was on several targets at once only if they are this far apart. The loss of a rack is
/// one crash, which gateways notice within less.
const SEPARATE_MS: u64 = 250;
/// Most losses that are remembered of one suspect.
const MAX_LOSSES: usize = 24;
/// Time over which runs without a crash are added up.
const SURVIVED_INTERVAL_MS: u64 = 1_000;
/// Most such intervals that are remembered of one suspect.
const MAX_SURVIVED_INTERVALS: usize = 60;

/// Number of a crash, in the order of first reports.
pub(super) type CrashId = u64;

/// Loss of a suspect with a target.
#[derive(Debug, Clone, Copy)]
pub(super) struct Loss {
    pub crash: CrashId,
    /// When it was last sent to the target.
    pub sent_at_ms: u64,
    pub at_ms: u64,
    /// Longest time for which it had run on the target.
    pub ran_ms: u32,
}

/// What speaks against a suspect.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    /// In the order of their times, which is not that of their reports.
    losses: SmallVec<[Loss; 4]>,
    /// Time in milliseconds for which it ran without a crash, over all targets, by the number of the interval.
    survived_ms: BTreeMap<u64, f64>,
    /// Crashes that count for it, in order.
    pub crashes: SmallVec<[CrashId; 4]>,
    pub last_at_ms: u64,
    /// Position of a part in the prompt. Deeper parts are shared by fewer requests.
    pub depth: usize,
    /// Whether it is the first part of a prompt, with further parts that other requests may share.
    pub is_common: bool,
    /// When it was first told as suspected.
    pub suspected_at_ms: Option<u64>,
    /// Its trials as its quarantine began, if it is quarantined.
    pub quarantine: Option<Trials>,
    /// Whether it was reported or quarantined since it was last told.
    pub is_reported: bool,
}

impl Evidence {
    /// Counts a crash under which it was lost, unless it is one loss of several targets.
    pub fn count(&mut self, loss: Loss) {
        if let Some(known) = self.losses.iter_mut().find(|it| it.crash == loss.crash) {
            known.ran_ms = known.ran_ms.max(loss.ran_ms);
            return;
        }
        self.is_reported = true;
        if self.losses.len() == MAX_LOSSES {
            self.losses.remove(0);
        }
        let index = self.losses.partition_point(|it| it.at_ms <= loss.at_ms);
        self.losses.insert(index, loss);
        self.last_at_ms = self.last_at_ms.max(loss.at_ms);
        self.crashes = separate_crashes(&self.losses);
    }

    /// Whether it is quarantined.
    pub fn is_quarantined(&self) -> bool {
        self.quarantine.is_some()
    }

    /// Losses that count for it, in order of time.
    pub fn counted_losses(&self) -> impl Iterator<Item = &Loss> + Clone {
        self.losses.iter().filter(|it| self.crashes.contains(&it.crash))
    }

    /// Whether it was lost in a crash, counted or not.
    pub fn was_lost_in(&self, crash: CrashId) -> bool {
        self.losses.iter().any(|it| it.crash == crash)
    }

    /// Adds the time of the last seconds for which it ran without a crash.
    pub fn survived(&mut self, now_ms: u64, run_time: RunTime) {
        let period_ms = u64::from(run_time.period_ms.max(1));
        let began_ms = now_ms.saturating_sub(period_ms);
        for interval in began_ms / SURVIVED_INTERVAL_MS..=now_ms / SURVIVED_INTERVAL_MS {
            let from_ms = began_ms.max(interval * SURVIVED_INTERVAL_MS);
            let until_ms = now_ms.min((interval + 1) * SURVIVED_INTERVAL_MS);
            let share = until_ms.saturating_sub(from_ms) as f64 / period_ms as f64;
            *self.survived_ms.entry(interval).or_default() += share * f64::from(run_time.total_ms);
        }
        while self.survived_ms.len() > MAX_SURVIVED_INTERVALS {
            self.survived_ms.pop_first();
        }
    }

    /// When it ran on targets that crashed, also in crashes that do not count, and on those that did not.
    pub fn exposure(&self) -> Exposure {
        let mut exposure = Exposure::default();
        self.losses.iter().for_each(|it| exposure.add(it.at_ms, it.ran_ms));
        for (interval, ms) in &self.survived_ms {
            let began_ms = interval * SURVIVED_INTERVAL_MS;
            let targets = ms / SURVIVED_INTERVAL_MS as f64;
            exposure.add_survived(began_ms, began_ms + SURVIVED_INTERVAL_MS, targets);
        }
        exposure
    }

    /// Longest time for which it had run before a loss that counts.
    pub fn longest_run_ms(&self) -> u32 {
        self.counted_losses().map(|it| it.ran_ms).max().unwrap_or(0)
    }

    /// Its loss in the crash with this number, from 1.
    pub fn nth_loss(&self, number: u32) -> Option<&Loss> {
        let crash = self.crashes.get(number as usize - 1)?;
        self.counted_losses().find(|it| it.crash == *crash)
    }
}

/// The crashes that count, of losses in order of time: a request that was sent before a crash to another target that
/// crashes at the same time has not crashed that one too.
fn separate_crashes(losses: &[Loss]) -> SmallVec<[CrashId; 4]> {
    let mut last_at_ms = None;
    let mut crashes = SmallVec::new();
    for loss in losses {
        let is_separate =
            last_at_ms.is_none_or(|it| loss.sent_at_ms > it || loss.at_ms >= it + SEPARATE_MS);
        if is_separate {
            last_at_ms = Some(loss.at_ms);
            crashes.push(loss.crash);
        }
    }
    crashes
}
