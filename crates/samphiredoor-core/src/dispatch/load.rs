//! How busy a target is: what this process has there, and what others have there by the target's own report.
//!
//! The own part is known exactly. A report is late and counts everything, so the own part, smoothed over the usual lag,
//! is taken off it; the rest is the work of others and is believed less the older it is. A report that stands still
//! while the own work moves is frozen, and one that is lower than the own work is wrong: neither is believed.

const REPORT_LAG_MS: f64 = 300.0;
const REPORT_HALF_LIFE_MS: f64 = 2_000.0;
const UNCHANGED_GRACE_MS: u64 = 2_000;
const UNCHANGED_HALF_LIFE_MS: f64 = 4_000.0;
const FROZEN_REPORTS: u32 = 3;
const FROZEN_OWN_EVENTS: u32 = 8;
const WRONG_REPORTS: u32 = 3;
const WRONG_MARGIN: f64 = 2.0;

#[derive(Debug)]
struct Report {
    total: u32,
    others: f64,
    received_ms: u64,
    changed_ms: u64,
    same: u32,
    below_own: u32,
    own_events: u32,
}

impl Report {
    fn is_frozen(&self) -> bool {
        self.same >= FROZEN_REPORTS && self.own_events >= FROZEN_OWN_EVENTS
    }

    fn is_wrong(&self) -> bool {
        self.below_own >= WRONG_REPORTS
    }

    fn weight(&self, now_ms: u64) -> f64 {
        if self.is_frozen() || self.is_wrong() {
            return 0.0;
        }
        let age = now_ms.saturating_sub(self.received_ms) as f64;
        let unchanged =
            now_ms.saturating_sub(self.changed_ms).saturating_sub(UNCHANGED_GRACE_MS) as f64;
        0.5_f64.powf(age / REPORT_HALF_LIFE_MS + unchanged / UNCHANGED_HALF_LIFE_MS)
    }
}

/// Load of one target.
#[derive(Debug, Default)]
pub(super) struct Load {
    own: u32,
    smoothed: f64,
    smoothed_at_ms: u64,
    report: Option<Report>,
}

impl Load {
    /// Attempts of this process that run there.
    pub(super) fn own(&self) -> u32 {
        self.own
    }

    pub(super) fn started(&mut self, now_ms: u64) {
        self.smooth(now_ms);
        self.own += 1;
        self.own_event();
    }

    pub(super) fn ended(&mut self, now_ms: u64) {
        self.smooth(now_ms);
        self.own = self.own.saturating_sub(1);
        self.own_event();
    }

    /// Takes a report; tells whether it has just been found to be frozen or wrong.
    pub(super) fn report(&mut self, now_ms: u64, total: u32) -> bool {
        self.smooth(now_ms);
        let others = (f64::from(total) - self.smoothed).max(0.0);
        let below_own = f64::from(total) + WRONG_MARGIN < self.smoothed;
        let Some(report) = &mut self.report else {
            let (received_ms, changed_ms) = (now_ms, now_ms);
            let below_own = u32::from(below_own);
            let report = Report {
                total,
                others,
                received_ms,
                changed_ms,
                same: 0,
                below_own,
                own_events: 0,
            };
            self.report = Some(report);
            return false;
        };
        let was_bad = report.is_frozen() || report.is_wrong();
        if report.total == total {
            report.same += 1;
        } else {
            report.same = 0;
            report.own_events = 0;
            report.changed_ms = now_ms;
        }
        report.total = total;
        report.others = others;
        report.received_ms = now_ms;
        report.below_own = if below_own { report.below_own + 1 } else { 0 };
        !was_bad && (report.is_frozen() || report.is_wrong())
    }

    /// Work of others there, as far as the report is believed.
    pub(super) fn others(&self, now_ms: u64) -> f64 {
        self.report.as_ref().map_or(0.0, |it| it.others * it.weight(now_ms))
    }

    /// All work there.
    pub(super) fn estimate(&self, now_ms: u64) -> f64 {
        f64::from(self.own) + self.others(now_ms)
    }

    /// Forgets the report, as another machine has taken the place.
    pub(super) fn forget_report(&mut self) {
        self.report = None;
    }

    fn own_event(&mut self) {
        if let Some(report) = &mut self.report {
            report.own_events = report.own_events.saturating_add(1);
        }
    }

    fn smooth(&mut self, now_ms: u64) {
        let elapsed = now_ms.saturating_sub(self.smoothed_at_ms) as f64;
        let kept = (-elapsed / REPORT_LAG_MS).exp();
        self.smoothed = self.smoothed * kept + f64::from(self.own) * (1.0 - kept);
        self.smoothed_at_ms = now_ms;
    }
}
