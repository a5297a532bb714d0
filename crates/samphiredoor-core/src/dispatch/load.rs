//! Load estimate of a target: this process's own attempts plus the work of others from the target's load reports.
//!
//! The own part is exact. A report arrives late and counts all work, so the own part, smoothed over the usual lag, is
//! subtracted; the rest is the work of others, weighted less the older it is. A report that does not change while the
//! own work does is frozen, and one that is lower than the own work is wrong: both are ignored.

/// Usual lag of a report behind the target's state.
const REPORT_LAG_MS: f64 = 300.0;
/// Half-life of a report's weight since it was received.
const REPORT_HALF_LIFE_MS: f64 = 2_000.0;
/// Time for which a report may stay unchanged before it loses additional weight.
const UNCHANGED_GRACE_MS: u64 = 2_000;
/// Half-life of the weight of an unchanged report after the grace time.
const UNCHANGED_HALF_LIFE_MS: f64 = 4_000.0;
/// A report is frozen after this many equal repetitions, if there were enough own events meanwhile.
const FROZEN_REPORTS: u32 = 3;
/// Own starts and ends of attempts during which a report must not have changed to be considered frozen.
const FROZEN_OWN_EVENTS: u32 = 8;
/// A report is wrong after this many reports in a row below the own work.
const WRONG_REPORTS: u32 = 3;
/// Sequences by which a report must be below the smoothed own work to count as wrong.
const WRONG_MARGIN: f64 = 2.0;

/// Last report of a target and how it has changed over time.
#[derive(Debug)]
struct Report {
    total: u32,
    others: f64,
    received_ms: u64,
    changed_ms: u64,
    unchanged_count: u32,
    below_own_count: u32,
    own_events: u32,
}

impl Report {
    fn is_frozen(&self) -> bool {
        self.unchanged_count >= FROZEN_REPORTS && self.own_events >= FROZEN_OWN_EVENTS
    }

    fn is_wrong(&self) -> bool {
        self.below_own_count >= WRONG_REPORTS
    }

    fn weight(&self, now_ms: u64) -> f64 {
        if self.is_frozen() || self.is_wrong() {
            return 0.0;
        }
        let age_ms = now_ms.saturating_sub(self.received_ms) as f64;
        let unchanged_ms =
            now_ms.saturating_sub(self.changed_ms).saturating_sub(UNCHANGED_GRACE_MS) as f64;
        0.5_f64.powf(age_ms / REPORT_HALF_LIFE_MS + unchanged_ms / UNCHANGED_HALF_LIFE_MS)
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
    /// Attempts of this process running at the target.
    pub(super) fn own(&self) -> u32 {
        self.own
    }

    pub(super) fn attempt_started(&mut self, now_ms: u64) {
        self.update_smoothed(now_ms);
        self.own += 1;
        self.count_own_event();
    }

    pub(super) fn attempt_ended(&mut self, now_ms: u64) {
        self.update_smoothed(now_ms);
        self.own = self.own.saturating_sub(1);
        self.count_own_event();
    }

    /// Records a report of the total load. Returns whether the target's reports have just become frozen or wrong.
    pub(super) fn report(&mut self, now_ms: u64, total: u32) -> bool {
        self.update_smoothed(now_ms);
        let others = (f64::from(total) - self.smoothed).max(0.0);
        let is_below_own = f64::from(total) + WRONG_MARGIN < self.smoothed;
        let Some(report) = &mut self.report else {
            let (received_ms, changed_ms) = (now_ms, now_ms);
            let below_own_count = u32::from(is_below_own);
            let report = Report {
                total,
                others,
                received_ms,
                changed_ms,
                unchanged_count: 0,
                below_own_count,
                own_events: 0,
            };
            self.report = Some(report);
            return false;
        };
        let was_distrusted = report.is_frozen() || report.is_wrong();
        if report.total == total {
            report.unchanged_count += 1;
        } else {
            report.unchanged_count = 0;
            report.own_events = 0;
            report.changed_ms = now_ms;
        }
        report.total = total;
        report.others = others;
        report.received_ms = now_ms;
        report.below_own_count = if is_below_own { report.below_own_count + 1 } else { 0 };
        !was_distrusted && (report.is_frozen() || report.is_wrong())
    }

    /// Estimated work of others at the target: the reported work, scaled by the weight of the report.
    pub(super) fn others(&self, now_ms: u64) -> f64 {
        self.report.as_ref().map_or(0.0, |it| it.others * it.weight(now_ms))
    }

    /// Estimated work of all at the target.
    pub(super) fn estimate(&self, now_ms: u64) -> f64 {
        f64::from(self.own) + self.others(now_ms)
    }

    /// Discards the report, because another process serves under the target's name.
    pub(super) fn clear_report(&mut self) {
        self.report = None;
    }

    fn count_own_event(&mut self) {
        if let Some(report) = &mut self.report {
            report.own_events = report.own_events.saturating_add(1);
        }
    }

    fn update_smoothed(&mut self, now_ms: u64) {
        let elapsed = now_ms.saturating_sub(self.smoothed_at_ms) as f64;
        let decay = (-elapsed / REPORT_LAG_MS).exp();
        self.smoothed = self.smoothed * decay + f64::from(self.own) * (1.0 - decay);
        self.smoothed_at_ms = now_ms;
    }
}
