//! How slow each target is at the moment, and in general.
//!
//! Targets report how long work takes on their hosts. A report contains the lasting speed of the host and disturbances by
//! other work that are over after some hundred milliseconds. So a report loses weight with age, and what remains is the
//! lasting factor, a slow mean of what was reported. Reports of all gateways of the cell count.
//!
//! A target that reports nothing is judged by the run times of its whole answers, relative to the mean of its service.
//! The same measurements bound what the other targets report.

use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
};

use super::{MAX_ENTRIES, SpeedReport};
use crate::{Name, dispatch::Class};

/// Duration of work at a target of usual speed.
pub const USUAL_PERCENT: u32 = 100;
/// Largest valid report. No host is this slow, and larger values would overflow predicted times.
pub const MAX_PERCENT: u32 = 10_000;
/// Age at which a report has lost half of its weight: about half the length of a disturbance.
const HALF_WEIGHT_MS: f32 = 300.0;
/// Time in which the lasting factor moves half of the way to a report that stays the same: many disturbances long.
const LASTING_HALF_MS: f32 = 8_000.0;
/// Time without reports and answers in which half of the lasting factor is forgotten, so that a target that is avoided as a
/// slow one is tried again.
const FORGET_HALF_MS: f32 = 10_000.0;
/// Reports that count equally for the lasting factor before the slow mean takes over.
const FIRST_REPORTS: u32 = 8;
/// Shortest time between two of these first reports, so that a single disturbance does not make up all of them.
const FIRST_REPORT_INTERVAL_MS: u64 = 100;
/// Age up to which a report is sent to peers; an older one has lost nine tenths of its weight.
const MAX_SENT_AGE_MS: u64 = 1_000;
/// Measured runs from which the measured factor of a target is used.
const MIN_RUNS: u32 = 8;
/// Weight of a run in the measured factor of its target is one over this.
const RUNS_DIVISOR: f32 = 16.0;
/// Weight of a run in the mean of its service is one over this.
const MEAN_DIVISOR: f32 = 64.0;
/// A run shorter than the mean by more than this factor is not measured: it is probably an error answer, and a target that
/// fails fast must not seem to be a fast one.
const MAX_SHORTER: f32 = 8.0;
/// A single run counts at most as this many times the mean.
const MAX_LONGER: f32 = 16.0;
/// Factor by which a report may deviate from the measurement.
const MAX_DEVIATION: f32 = 4.0;

/// Latest report of a target.
#[derive(Debug, Clone, Copy)]
struct Report {
    percent: f32,
    at_ms: u64,
}

#[derive(Debug)]
struct Speed {
    /// Newest report that any gateway received.
    newest: Option<Report>,
    /// Newest report that this gateway received itself.
    own: Option<Report>,
    lasting_percent: f32,
    /// Time of the newest report or whole answer.
    heard_ms: u64,
    /// Reports that count for the lasting factor, up to [`FIRST_REPORTS`].
    reports: u32,
    measured_percent: f32,
    /// Measured runs, up to [`MIN_RUNS`].
    runs: u32,
}

impl Default for Speed {
    fn default() -> Speed {
        Speed {
            newest: None,
            own: None,
            lasting_percent: USUAL_PERCENT as f32,
            heard_ms: 0,
            // The usual factor counts like a report, as the first one may fall into a disturbance.
            reports: 1,
            measured_percent: 0.0,
            runs: 0,
        }
    }
}

impl Speed {
    fn record(&mut self, report: Report) {
        let newest_ms = self.newest.map_or(0, |it| it.at_ms);
        if report.at_ms <= newest_ms {
            return;
        }
        let passed_ms = report.at_ms - newest_ms;
        self.heard_ms = self.heard_ms.max(report.at_ms);
        let mut weight = 1.0 - remaining(passed_ms, LASTING_HALF_MS);
        if self.reports < FIRST_REPORTS && passed_ms >= FIRST_REPORT_INTERVAL_MS {
            self.reports += 1;
            weight = weight.max(1.0 / self.reports as f32);
        }
        self.lasting_percent = mix(self.lasting_percent, report.percent, weight);
        self.newest = Some(report);
    }

    fn record_run(&mut self, now_ms: u64, percent: f32) {
        self.heard_ms = self.heard_ms.max(now_ms);
        if self.runs < MIN_RUNS {
            self.runs += 1;
            self.measured_percent += (percent - self.measured_percent) / self.runs as f32;
        } else {
            self.measured_percent += (percent - self.measured_percent) / RUNS_DIVISOR;
        }
    }

    fn measured(&self) -> Option<f32> {
        (self.runs >= MIN_RUNS).then_some(self.measured_percent)
    }

    fn bounded(&self, percent: f32) -> f32 {
        let Some(measured) = self.measured() else { return percent };
        percent.clamp(measured / MAX_DEVIATION, measured * MAX_DEVIATION)
    }

    fn lasting(&self, now_ms: u64) -> f32 {
        let heard = match self.newest {
            Some(_) => self.bounded(self.lasting_percent),
            None => self.measured().unwrap_or(USUAL_PERCENT as f32),
        };
        let weight = remaining(now_ms.saturating_sub(self.heard_ms), FORGET_HALF_MS);
        mix(USUAL_PERCENT as f32, heard, weight)
    }

    fn current(&self, now_ms: u64) -> f32 {
        let lasting = self.lasting(now_ms);
        let Some(newest) = self.newest else { return lasting };
        let weight = remaining(now_ms.saturating_sub(newest.at_ms), HALF_WEIGHT_MS);
        mix(lasting, self.bounded(newest.percent), weight)
    }
}

/// Part that remains after a time, of what halves in `half_ms`.
fn remaining(passed_ms: u64, half_ms: f32) -> f32 {
    (-(passed_ms as f32) / half_ms).exp2()
}

/// The second value with this weight, and the first one with the rest.
fn mix(first: f32, second: f32, weight: f32) -> f32 {
    first + weight * (second - first)
}

fn to_percent(percent: f32) -> u32 {
    (percent.round() as u32).clamp(1, MAX_PERCENT)
}

/// Speeds of all targets, as this gateway knows them.
#[derive(Debug, Default)]
pub struct TargetSpeeds {
    speeds: HashMap<u64, Speed>,
    /// Mean run time of each service and class.
    mean_run_ms: HashMap<Name, [f32; 2]>,
    invalid_reports: u64,
}

impl TargetSpeeds {
    /// Whether a reported value can be used.
    pub fn is_valid(percent: u32) -> bool {
        (1..=MAX_PERCENT).contains(&percent)
    }

    /// Sets the targets whose speeds are kept, by [`crate::names::name_hash`].
    pub fn set_targets(&mut self, targets: &HashSet<u64>) {
        self.speeds.retain(|it, _| targets.contains(it));
        for target in targets {
            self.speeds.entry(*target).or_default();
        }
    }

    /// Records what a target reported to this gateway.
    pub fn record_report(&mut self, now_ms: u64, target: u64, percent: u32) {
        if !TargetSpeeds::is_valid(percent) {
            self.invalid_reports += 1;
            return;
        }
        if let Some(speed) = self.speeds.get_mut(&target) {
            let report = Report { percent: percent as f32, at_ms: now_ms };
            speed.own = Some(report);
            speed.record(report);
        }
    }

    /// Records what targets reported to another gateway.
    pub fn record_news(&mut self, now_ms: u64, news: &[SpeedReport]) {
        for report in news.iter().take(MAX_ENTRIES) {
            if !TargetSpeeds::is_valid(report.percent) {
                self.invalid_reports += 1;
                continue;
            }
            if let Some(speed) = self.speeds.get_mut(&report.target) {
                let at_ms = now_ms.saturating_sub(u64::from(report.age_ms));
                speed.record(Report { percent: report.percent as f32, at_ms });
            }
        }
    }

    /// Records the time from the dispatch of a request to the end of its whole answer. Returns whether the answer is long
    /// enough to be one.
    pub fn record_run(
        &mut self,
        now_ms: u64,
        (service, class): (&Name, Class),
        target: u64,
        run_ms: u64,
    ) -> bool {
        let run_ms = run_ms.max(1) as f32;
        if !self.mean_run_ms.contains_key(service) {
            self.mean_run_ms.insert(Name::clone(service), [0.0; 2]);
        }
        let means = self.mean_run_ms.get_mut(service);
        let Some(mean_ms) = means.map(|it| &mut it[class_index(class)]) else { return true };
        if *mean_ms == 0.0 {
            *mean_ms = run_ms;
        }
        if run_ms * MAX_SHORTER < *mean_ms {
            return false;
        }
        let ratio = (run_ms / *mean_ms).min(MAX_LONGER);
        *mean_ms += *mean_ms * (ratio - 1.0) / MEAN_DIVISOR;
        if let Some(speed) = self.speeds.get_mut(&target) {
            speed.record_run(now_ms, ratio * USUAL_PERCENT as f32);
        }
        true
    }

    /// How long work that starts now takes at a target, in percent of the usual time.
    pub fn current_percent(&self, now_ms: u64, target: u64) -> u32 {
        self.speeds.get(&target).map_or(USUAL_PERCENT, |it| to_percent(it.current(now_ms)))
    }

    /// How long work takes at a target in the long term, in percent of the usual time.
    pub fn lasting_percent(&self, now_ms: u64, target: u64) -> u32 {
        self.speeds.get(&target).map_or(USUAL_PERCENT, |it| to_percent(it.lasting(now_ms)))
    }

    /// Recent reports that this gateway received itself, newest first.
    pub fn news(&self, now_ms: u64) -> Vec<SpeedReport> {
        let own = self.speeds.iter().filter_map(|(target, speed)| {
            let report = speed.own?;
            let age_ms = now_ms.saturating_sub(report.at_ms);
            (age_ms <= MAX_SENT_AGE_MS).then_some(SpeedReport {
                target: *target,
                percent: report.percent as u32,
                age_ms: age_ms as u32,
            })
        });
        let mut news: Vec<SpeedReport> = own.collect();
        news.sort_unstable_by_key(|it| (it.age_ms, it.target));
        news.truncate(MAX_ENTRIES);
        news
    }

    /// The slowest targets and their current percent, slowest first.
    pub fn slowest(&self, now_ms: u64, count: usize) -> Vec<(u64, u32)> {
        let mut all: Vec<(u64, u32)> =
            self.speeds.iter().map(|(key, it)| (*key, to_percent(it.current(now_ms)))).collect();
        let slowest_first = |it: &(u64, u32)| (Reverse(it.1), it.0);
        if all.len() > count {
            all.select_nth_unstable_by_key(count, slowest_first);
            all.truncate(count);
        }
        all.sort_unstable_by_key(slowest_first);
        all
    }

    /// Number of reports that were ignored because their value is impossible.
    pub fn invalid_reports(&self) -> u64 {
        self.invalid_reports
    }
}

fn class_index(class: Class) -> usize {
    match class {
        Class::Online => 0,
        Class::Batch => 1,
    }
}
