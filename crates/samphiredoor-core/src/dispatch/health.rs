//! Whether a target gets work: ejection after failures, with growing time, and slow start on its return.

const FAILURES_TO_EJECT: u32 = 3;
const FIRST_EJECTION_MS: u64 = 1_000;
const LONGEST_EJECTION_MS: u64 = 60_000;
const LONGEST_UNREACHABLE_MS: u64 = 10_000;
const FORGIVEN_AFTER_MS: u64 = 60_000;
const SLOW_START_MS: f64 = 5_000.0;
const SLOW_START_SHARE: f64 = 0.1;
/// A target that was away for this long has nothing cached any more.
const COLD_AFTER_MS: f64 = 10_000.0;
const HOLD_MS: u64 = 100;
const LONGEST_HOLD_MS: u64 = 5_000;

/// Why a target gets no new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Ejection {
    /// It refuses connections.
    Unreachable,
    /// It lost answers or failed again and again.
    Failing,
    /// It said that it leaves.
    Leaving,
}

impl Ejection {
    /// All reasons, for counters that stand at zero.
    pub const ALL: [Ejection; 3] = [Ejection::Unreachable, Ejection::Failing, Ejection::Leaving];

    /// Label of the reason in counters and logs.
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
    /// Share of the limit with which the target returns. One that only could not be reached for a moment has lost
    /// nothing; where a switch cuts off all targets at once, a slow start of all of them would prolong the outage.
    fn returns(&self, now_ms: u64) -> Return {
        let until_ms = self.until_ms.min(now_ms);
        let away_ms = until_ms.saturating_sub(self.from_ms) as f64;
        let share = match self.reason {
            Ejection::Unreachable => 1.0 - away_ms / COLD_AFTER_MS,
            Ejection::Failing | Ejection::Leaving => SLOW_START_SHARE,
        };
        Return { at_ms: until_ms, share: share.max(SLOW_START_SHARE) }
    }
}

/// Return to work, with the share of the limit at that moment.
#[derive(Debug, Clone, Copy)]
struct Return {
    at_ms: u64,
    share: f64,
}

/// Health of one target.
#[derive(Debug, Default)]
pub(super) struct Health {
    ejected: Option<Ejected>,
    held_until_ms: u64,
    told_leaving_until_ms: u64,
    failures: u32,
    ejections: u32,
    returned: Option<Return>,
}

impl Health {
    /// Health of a target that appeared while others already served: it starts slowly.
    pub(super) fn newcomer(now_ms: u64) -> Health {
        let returned = Return { at_ms: now_ms, share: SLOW_START_SHARE };
        Health { returned: Some(returned), ..Health::default() }
    }

    pub(super) fn takes_work(&self, now_ms: u64) -> bool {
        now_ms >= self.held_until_ms.max(self.told_leaving_until_ms) && !self.is_ejected(now_ms)
    }

    pub(super) fn is_ejected(&self, now_ms: u64) -> bool {
        self.ejected.is_some_and(|it| now_ms < it.until_ms)
    }

    /// When it takes work again, if it does not now.
    pub(super) fn back_ms(&self, now_ms: u64) -> Option<u64> {
        let ejected_until_ms = self.ejected.map_or(0, |it| it.until_ms);
        let back_ms = ejected_until_ms.max(self.held_until_ms).max(self.told_leaving_until_ms);
        (back_ms > now_ms).then_some(back_ms)
    }

    /// Share of its limit that it gets: none while ejected, rising after its return.
    pub(super) fn share(&self, now_ms: u64) -> f64 {
        if self.is_ejected(now_ms) {
            return 0.0;
        }
        match self.ejected.map(|it| it.returns(now_ms)).or(self.returned) {
            Some(returned) => {
                let elapsed = now_ms.saturating_sub(returned.at_ms) as f64;
                (returned.share + elapsed / SLOW_START_MS).min(1.0)
            }
            None => 1.0,
        }
    }

    /// An answer came back whole and well.
    pub(super) fn succeeded(&mut self, now_ms: u64) {
        self.failures = 0;
        let since_ms = self.ejected.map_or(0, |it| it.until_ms);
        if now_ms.saturating_sub(since_ms) > FORGIVEN_AFTER_MS {
            self.ejections = 0;
        }
    }

    /// A connection was refused; nothing is sent there until it is tried again. Tells whether it is ejected by this.
    pub(super) fn unreachable(&mut self, now_ms: u64) -> bool {
        self.eject(now_ms, Ejection::Unreachable, LONGEST_UNREACHABLE_MS)
    }

    /// An answer was lost, or says that the target failed. Tells whether the target is to be ejected: when more have
    /// failed in a row than `beyond_chance`.
    ///
    /// A target that has too much to do loses some answers and gives others; ejecting it would put its work on the rest
    /// until they fail as well. Its limit gives way instead.
    pub(super) fn failed(&mut self, beyond_chance: u32) -> bool {
        self.failures += 1;
        self.failures >= FAILURES_TO_EJECT.max(beyond_chance)
    }

    /// Ejects after failures. Tells whether it is ejected by this.
    pub(super) fn eject_failing(&mut self, now_ms: u64) -> bool {
        self.eject(now_ms, Ejection::Failing, LONGEST_EJECTION_MS)
    }

    /// The target said that it leaves. Tells whether it is ejected by this.
    pub(super) fn leaving(&mut self, now_ms: u64) -> bool {
        let already = self.ejected.is_some_and(|it| it.reason == Ejection::Leaving);
        self.ejected =
            Some(Ejected { reason: Ejection::Leaving, from_ms: now_ms, until_ms: u64::MAX });
        !already
    }

    /// Others say that the target leaves. Of their word and the target's own the worse counts, so a report of the
    /// target does not lift this; it ends by itself when it is not heard again.
    pub(super) fn told_leaving(&mut self, until_ms: u64) {
        self.told_leaving_until_ms = self.told_leaving_until_ms.max(until_ms);
    }

    /// The target was reached and speaks for itself: it neither leaves nor refuses connections.
    pub(super) fn reached(&mut self, now_ms: u64) {
        let Some(ejected) = self.ejected else { return };
        match ejected.reason {
            Ejection::Failing => {}
            Ejection::Unreachable | Ejection::Leaving => {
                if now_ms < ejected.until_ms {
                    self.returned = Some(ejected.returns(now_ms));
                    self.ejected = None;
                }
            }
        }
    }

    /// The target asked to be spared for a moment.
    pub(super) fn hold(&mut self, now_ms: u64, retry_after_ms: u64) {
        let hold_ms = retry_after_ms.clamp(HOLD_MS, LONGEST_HOLD_MS);
        self.held_until_ms = self.held_until_ms.max(now_ms + hold_ms);
    }

    fn eject(&mut self, now_ms: u64, reason: Ejection, longest_ms: u64) -> bool {
        if let Some(ejected) = &mut self.ejected
            && now_ms < ejected.until_ms
        {
            // One spell of failures is one ejection, which lasts a while beyond the last of them.
            ejected.until_ms = ejected.until_ms.max(now_ms + FIRST_EJECTION_MS);
            return false;
        }
        let length_ms = FIRST_EJECTION_MS.saturating_mul(1 << self.ejections.min(16));
        self.ejections += 1;
        self.failures = 0;
        let until_ms = now_ms + length_ms.min(longest_ms);
        self.ejected = Some(Ejected { reason, from_ms: now_ms, until_ms });
        true
    }
}
