//! Bounds on how often the same work is sent again, and on the time that is handed on, checked from the requests that
//! targets ran.
//!
//! A run of an item beyond its bound is excused only if the gateway that sent it was itself disturbed, which is the owner
//! of its job. Excused runs are counted, as each is a repeat that nothing bounded.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use super::checks::{FAILS, IMPOSSIBLE, ITEM_SEPARATOR, ROUTE_ATTEMPTS};
use crate::platform_target::Run;

/// Runs after which an item that is always answered with 500 must not be sent again.
const MOST_FAILED_RUNS: u32 = 3 * ROUTE_ATTEMPTS;
/// Runs after which an item that is always answered with 422 must not be sent again.
const MOST_IMPOSSIBLE_RUNS: u32 = 3;
/// Time by which a target may be handed more than is left.
const DEADLINE_SLACK: Duration = Duration::from_millis(500);
/// Number of runs that may be handed more time than that, and their greatest share of all runs.
const MOST_LATE_DEADLINES: u64 = 20;
const MOST_LATE_SHARE: f64 = 0.2;

/// Number of runs after which an item must not be sent again; no limit for those that do not always fail.
pub fn most_runs(item: &str) -> u32 {
    match item.chars().next_back() {
        Some(FAILS) => MOST_FAILED_RUNS,
        Some(IMPOSSIBLE) => MOST_IMPOSSIBLE_RUNS,
        _ => u32::MAX,
    }
}

/// Name of the job of an item.
pub fn job_of(item: &str) -> &str {
    item.rsplit_once(ITEM_SEPARATOR).map_or("", |(job, _)| job)
}

/// Owners of jobs, as of the last two checks, and how many runs of each item were judged.
#[derive(Debug, Default)]
pub struct Owners {
    before: BTreeMap<String, usize>,
    now: BTreeMap<String, usize>,
    judged: HashMap<String, u32>,
}

impl Owners {
    /// Sets the owners of jobs as of this check.
    pub fn update(&mut self, owners: BTreeMap<String, usize>) {
        self.before = std::mem::replace(&mut self.now, owners);
    }

    /// Gateway that sent the runs since the last check; `None` if the job's owner has changed since, or is not known.
    pub fn sender(&self, job: &str) -> Option<usize> {
        self.now.get(job).copied().filter(|it| self.before.get(job) == Some(it))
    }

    /// Whether the run of an item with this number was not judged yet.
    pub fn is_new(&mut self, item: &str, number: u32) -> bool {
        let judged = self.judged.entry(item.to_owned()).or_default();
        let is_new = number > *judged;
        *judged = number.max(*judged);
        is_new
    }
}

/// What a caller allowed a request.
#[derive(Debug, Clone, Copy)]
pub struct Allowance {
    /// When the caller sent it.
    pub sent_at: Instant,
    /// How long the caller waits.
    pub deadline: Duration,
}

impl Allowance {
    /// Whether a target was handed more time than is left, or no limit.
    pub fn is_exceeded(&self, run: &Run) -> bool {
        let handed = run.header_values("x-deadline-ms");
        let handed = handed.first().and_then(|it| it.parse().ok()).map(Duration::from_millis);
        let ends_late = |handed: Duration| {
            handed > self.deadline + DEADLINE_SLACK
                || run.at + handed > self.sent_at + self.deadline + DEADLINE_SLACK
        };
        handed.is_none_or(ends_late)
    }
}

/// Whether too many of all runs were handed more time than was left.
pub fn are_too_many_late(late: u64, runs: u64) -> bool {
    late > MOST_LATE_DEADLINES && late as f64 > MOST_LATE_SHARE * runs as f64
}
