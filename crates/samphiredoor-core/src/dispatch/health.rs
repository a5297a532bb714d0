//! Health of a target: ejection after failures with exponentially growing duration, slow start on recovery, and backoff
//! on pushback.

/// Fewest failures in a row for which a target is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Duration of the first ejection; each further one doubles it.
const FIRST_EJECTION_MS: u64 = 1_000;
const MAX_EJECTION_MS: u64 = 60_000;
const MAX_UNREACHABLE_MS: u64 = 10_000;
/// A success this long after the last ejection resets the ejection duration.
const RESET_EJECTIONS_AFTER_MS: u64 = 60_000;
/// Time of a slow start from nothing to the full limit.
const SLOW_START_MS: f64 = 5_000.0;
/// Share of its limit that a target gets at the beginning of a slow start.
const SLOW_START_SHARE: f64 = 0.1;
/// After being unreachable for this long, a target is assumed to have nothing cached any more.
const CACHE_LOST_AFTER_MS: f64 = 10_000.0;
const MIN_BACKOFF_MS: u64 = 100;
const MAX_BACKOFF_MS: u64 = 5_000;

/// Why a target is ejected and gets no new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Ejection {
    /// It refuses connections.
    Unreachable,
    /// It lost answers or failed repeatedly.
    Failing,
    /// It reported that it is leaving.
    Leaving,
}

impl Ejection {
    /// All reasons, so that their counters exist before the first ejection.
    pub const ALL: [Ejection; 3] = [Ejection::Unreachable, Ejection::Failing, Ejection::Leaving];

    /// Label in metrics and logs.
    pub fn label(self) -> &'static str {
        match self {
            Ejection::Unreachable => "unreachable",
            Ejection::Failing => "failing",
            Ejection::Leaving => "leaving",
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Ejected {
    reason: Ejection,
    from_ms: u64,
    until_ms: u64,
}

impl Ejected {
    /// Time and share of the limit with which the target recovers. A target that was only unreachable for a moment has
    /// lost nothing: when a network failure cuts off all targets at once, a slow start of all of them would prolong the
    /// outage.
    fn recovery(&self, now_ms: u64) -> Recovery {
        let until_ms = self.until_ms.min(now_ms);
        let ejected_ms = until_ms.saturating_sub(self.from_ms) as f64;
        let share = match self.reason {
            Ejection::Unreachable => 1.0 - ejected_ms / CACHE_LOST_AFTER_MS,
            Ejection::Failing | Ejection::Leaving => SLOW_START_SHARE,
        };
        Recovery { at_ms: until_ms, share: share.max(SLOW_START_SHARE) }
    }
}

/// Recovery from an ejection, with the share of the limit at that moment.
#[derive(Debug, Clone, Copy)]
struct Recovery {
    at_ms: u64,
    share: f64,
}

/// Health of one target.
#[derive(Debug, Default)]
pub(super) struct Health {
    ejected: Option<Ejected>,
    backoff_until_ms: u64,
    reported_leaving_until_ms: u64,
    failures: u32,
    ejections: u32,
    recovery: Option<Recovery>,
}

impl Health {
    /// Health of a target that is added to a service that already has others: it gets a slow start.
    pub(super) fn slow_start(now_ms: u64) -> Health {
        let recovery = Recovery { at_ms: now_ms, share: SLOW_START_SHARE };
        Health { recovery: Some(recovery), ..Health::default() }
    }

    pub(super) fn accepts_work(&self, now_ms: u64) -> bool {
        now_ms >= self.backoff_until_ms.max(self.reported_leaving_until_ms)
            && !self.is_ejected(now_ms)
    }

    pub(super) fn is_ejected(&self, now_ms: u64) -> bool {
        self.ejected.is_some_and(|it| now_ms < it.until_ms)
    }

    /// When the target accepts work again; `None` if it does so now.
    pub(super) fn available_at_ms(&self, now_ms: u64) -> Option<u64> {
        let ejected_until_ms = self.ejected.map_or(0, |it| it.until_ms);
        let available_at_ms =
            ejected_until_ms.max(self.backoff_until_ms).max(self.reported_leaving_until_ms);
        (available_at_ms > now_ms).then_some(available_at_ms)
    }

    /// Share of its limit that the target gets: 0 while ejected, rising during the slow start after it.
    pub(super) fn share(&self, now_ms: u64) -> f64 {
        if self.is_ejected(now_ms) {
            return 0.0;
        }
        match self.ejected.map(|it| it.recovery(now_ms)).or(self.recovery) {
            Some(recovery) => {
                let elapsed = now_ms.saturating_sub(recovery.at_ms) as f64;
                (recovery.share + elapsed / SLOW_START_MS).min(1.0)
            }
            None => 1.0,
        }
    }

    /// Records a complete, successful answer.
    pub(super) fn record_success(&mut self, now_ms: u64) {
        self.failures = 0;
        let since_ms = self.ejected.map_or(0, |it| it.until_ms);
        if now_ms.saturating_sub(since_ms) > RESET_EJECTIONS_AFTER_MS {
            self.ejections = 0;
        }
    }

    /// Ejects the target because it refused a connection. Returns whether this is a new ejection.
    pub(super) fn mark_unreachable(&mut self, now_ms: u64) -> bool {
        self.eject(now_ms, Ejection::Unreachable, MAX_UNREACHABLE_MS)
    }

    /// Records a lost answer or one that reports a failure of the target. Returns whether the target is to be ejected,
    /// which takes at least `min_failures` in a row.
    ///
    /// An overloaded target loses some answers and returns others. Ejecting it would move its work to the others until
    /// they fail as well, so its concurrency limit is reduced instead.
    pub(super) fn record_failure(&mut self, min_failures: u32) -> bool {
        self.failures += 1;
        self.failures >= FAILURES_TO_EJECT.max(min_failures)
    }

    /// Ejects the target because of failures. Returns whether this is a new ejection.
    pub(super) fn eject_failing(&mut self, now_ms: u64) -> bool {
        self.eject(now_ms, Ejection::Failing, MAX_EJECTION_MS)
    }

    /// Ejects the target, without a time limit, because it reported that it is leaving. Returns whether this is a new
    /// ejection.
    pub(super) fn mark_leaving(&mut self, now_ms: u64) -> bool {
        let already = self.ejected.is_some_and(|it| it.reason == Ejection::Leaving);
        self.ejected =
            Some(Ejected { reason: Ejection::Leaving, from_ms: now_ms, until_ms: u64::MAX });
        !already
    }

    /// Others report that the target is leaving: it gets no work until `until_ms`. The worse of their reports and the
    /// target's own counts, so a load report of the target does not lift this; it expires unless it is repeated.
    pub(super) fn mark_reported_leaving(&mut self, until_ms: u64) {
        self.reported_leaving_until_ms = self.reported_leaving_until_ms.max(until_ms);
    }

    /// The target was reached and reported its load: this ends an ejection for leaving or being unreachable.
    pub(super) fn mark_reached(&mut self, now_ms: u64) {
        let Some(ejected) = self.ejected else { return };
        match ejected.reason {
            Ejection::Failing => {}
            Ejection::Unreachable | Ejection::Leaving => {
                if now_ms < ejected.until_ms {
                    self.recovery = Some(ejected.recovery(now_ms));
                    self.ejected = None;
                }
            }
        }
    }

    /// Sends no work for a time because the target pushed back; `retry_after_ms` is the time that it asked for.
    pub(super) fn back_off(&mut self, now_ms: u64, retry_after_ms: u64) {
        let backoff_ms = retry_after_ms.clamp(MIN_BACKOFF_MS, MAX_BACKOFF_MS);
        self.backoff_until_ms = self.backoff_until_ms.max(now_ms + backoff_ms);
    }

    fn eject(&mut self, now_ms: u64, reason: Ejection, max_ms: u64) -> bool {
        if let Some(ejected) = &mut self.ejected
            && now_ms < ejected.until_ms
        {
            // Failures during an ejection count as part of it; it lasts for some time after the last of them.
            ejected.until_ms = ejected.until_ms.max(now_ms + FIRST_EJECTION_MS);
            return false;
        }
        let duration_ms = FIRST_EJECTION_MS.saturating_mul(1 << self.ejections.min(16));
        self.ejections += 1;
        self.failures = 0;
        let until_ms = now_ms + duration_ms.min(max_ms);
        self.ejected = Some(Ejected { reason, from_ms: now_ms, until_ms });
        true
    }
}
