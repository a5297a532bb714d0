//! Compares rules that reject batch jobs, by the batch rate: one service in simulated time, with the real placement.

pub mod command;
mod fleet;
mod load;
mod plot;

use std::ops::AddAssign;

use fleet::{Fleet, JobFate};
use load::{Load, WARMUP_MS};

/// Decides which jobs are accepted.
#[derive(Debug, Clone, PartialEq)]
pub enum Rule {
    /// All of them.
    AcceptAll,
    /// Those of which the gateway predicts that they can be done by their due time.
    Predicted,
    /// Those that arrive while at most this many items wait.
    QueueLength(usize),
    /// Those that arrive while the oldest item has waited for at most this time.
    OldestDelay {
        /// Longest wait.
        max_ms: u64,
    },
    /// Those of an earlier run, by the index of the job.
    Given(Vec<bool>),
}

impl Rule {
    fn accepts(&self, fleet: &mut Fleet<'_>, job: usize) -> bool {
        match self {
            Rule::AcceptAll => true,
            Rule::Predicted => fleet.predicts_in_time(job),
            Rule::QueueLength(items) => fleet.waiting_items() <= *items,
            Rule::OldestDelay { max_ms } => fleet.oldest_wait_ms() <= *max_ms,
            Rule::Given(accepted) => accepted[job],
        }
    }
}

/// Items of the jobs of a run after its warm-up, and jobs that were rejected.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Totals {
    /// Items completed by their due time.
    pub in_time: u32,
    /// Items completed later.
    pub late: u32,
    /// Items of accepted jobs that were never completed.
    pub never: u32,
    /// Items of rejected jobs.
    pub rejected: u32,
    /// Jobs.
    pub jobs: u32,
    /// Rejected jobs.
    pub rejected_jobs: u32,
    /// Rejected jobs that would have been in time without making items of other jobs late.
    pub fitting_jobs: u32,
}

impl AddAssign for Totals {
    fn add_assign(&mut self, other: Totals) {
        self.in_time += other.in_time;
        self.late += other.late;
        self.never += other.never;
        self.rejected += other.rejected;
        self.jobs += other.jobs;
        self.rejected_jobs += other.rejected_jobs;
        self.fitting_jobs += other.fitting_jobs;
    }
}

/// Runs a multiple of the usual batch rate with a rule. With `oracle`, each rejected job is included in a run of its own that
/// accepts the same other jobs.
pub fn run(rate: f64, seed: u64, rule: &Rule, oracle: bool) -> Totals {
    let load = Load::new(rate, seed);
    let fates = Fleet::new(&load, rule).run();
    let counted = load.jobs.iter().zip(&fates).filter(|(job, _)| job.arrives_ms >= WARMUP_MS);
    let mut totals = Totals::default();
    for (job, fate) in counted {
        totals.jobs += 1;
        totals.in_time += fate.in_time;
        totals.late += fate.late;
        totals.never += fate.never;
        if !fate.is_accepted {
            totals.rejected_jobs += 1;
            totals.rejected += job.item_ms.len() as u32;
        }
    }
    if oracle {
        let rejected = fates.iter().enumerate().filter(|(_, it)| !it.is_accepted);
        totals.fitting_jobs =
            rejected.filter(|(index, _)| would_fit(&load, &fates, *index)).count() as u32;
    }
    totals
}

/// Whether all items of a rejected job are in time if it is accepted as well, and as many items of the other jobs as without.
fn would_fit(load: &Load, fates: &[JobFate], job: usize) -> bool {
    let mut accepted: Vec<bool> = fates.iter().map(|it| it.is_accepted).collect();
    accepted[job] = true;
    let rule = Rule::Given(accepted);
    let included = Fleet::new(load, &rule).run();
    let in_time = |fates: &[JobFate]| fates.iter().map(|it| it.in_time).sum::<u32>();
    let items = load.jobs[job].item_ms.len() as u32;
    included[job].in_time == items && in_time(&included) >= in_time(fates) + items
}
