//! Output of a run: its counters, or the violated invariant with all log lines that name the request.

use std::{fmt, path::Path, time::Duration};

use hdrhistogram::Histogram;

use super::{
    bursts::Bursts,
    checks::Counts,
    crashes::Crashes,
    invariant::Violation,
    plan::{Fault, Plan},
    silences::Silences,
    versions::TakeUps,
};

/// Maximum number of log lines that are printed for a violation.
const MAX_LOG_LINES: usize = 40;

/// Upper bound of the histogram; all timeouts are shorter.
const MAX_MS: u64 = 120_000;

/// Recovery times over all runs of a command.
#[derive(Debug, Default)]
pub struct Recovery {
    /// From the last fault until a gateway served a request.
    pub served_ms: Times,
    /// From the acknowledgement of a configuration until all gateways served its new route.
    pub config_active_ms: Times,
    /// From the recovery of the store until a new job was accepted.
    pub job_accepted_ms: Times,
    /// From the kill of a job's owner until the job's next item started.
    pub next_item_ms: Times,
}

impl Recovery {
    /// Prints the distributions that have at least one value.
    pub fn print(&self) {
        for (label, times) in [
            ("gateway serves after the last fault", &self.served_ms),
            ("configuration in force at all gateways", &self.config_active_ms),
            ("job accepted after the store's return", &self.job_accepted_ms),
            ("items run after the kill of their owner", &self.next_item_ms),
        ] {
            if !times.0.is_empty() {
                println!("{label}: {times}");
            }
        }
    }
}

/// Histogram of times in milliseconds.
#[derive(Debug)]
pub struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Times {
        Times(Histogram::new_with_max(MAX_MS, 3).expect("the bounds are allowed"))
    }
}

impl Times {
    /// Adds a time; longer ones than [`MAX_MS`] count as this.
    pub fn push(&mut self, time: Duration) {
        self.0.saturating_record(time.as_millis() as u64);
    }
}

impl fmt::Display for Times {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = |quantile| self.0.value_at_quantile(quantile);
        let (p50, p99, most) = (at(0.5), at(0.99), self.0.max());
        write!(formatter, "n={} p50_ms={p50} p99_ms={p99} most_ms={most}", self.0.len())
    }
}

/// Prints the counters of a run without a violation.
pub fn print_passed(seed: u64, faults: usize, counts: Counts, take_ups: TakeUps) {
    let Counts { served, refused, doubtful, results, ended, runs, .. } = counts;
    let Counts { reads, short_pages, stale_reads, .. } = counts;
    let Counts { excused_repeats, most_repeats, late_deadlines, .. } = counts;
    println!(
        "seed {seed}: kept, faults={faults} served={served} refused={refused} doubtful={doubtful} \
         results={results} reads={reads} short_pages={short_pages} stale_reads={stale_reads} \
         ended={ended} runs={runs} excused_repeats={excused_repeats} most_repeats={most_repeats:?} \
         late_deadlines={late_deadlines} taken_up={} went_on={} in_touch={}/{}",
        take_ups.sent, take_ups.went_on, take_ups.went_on_in_touch, take_ups.sent_in_touch
    );
}

/// Prints a violation, log lines about its request, and the folder with the plan to replay.
pub fn print_violation(seed: u64, violation: &Violation, lines: &[String], folder: &Path) {
    println!("seed {seed}: BROKEN: {}", violation.invariant);
    println!("  id={} {}", violation.id, violation.observed);
    for line in lines.iter().take(MAX_LOG_LINES) {
        println!("  {line}");
    }
    if let Some(more @ 1..) = lines.len().checked_sub(MAX_LOG_LINES) {
        println!("  and {more} more lines");
    }
    println!("  trace, plan and logs: {}", folder.display());
}

/// Prints how many targets were crashed by requests, and how many sound ones were refused for them.
pub fn print_crashes(crashes: &Crashes) {
    println!(
        "  crashed={} of_gateways_that_had_to_know={} refused_sound={}",
        crashes.crashed,
        crashes.late(),
        crashes.all_refused_sound
    );
}

/// Prints how many targets crashed by chance, and how many sound requests were refused for it.
pub fn print_bursts(bursts: &Bursts) {
    println!("  crashed_by_chance={} refused_sound={}", bursts.crashed, bursts.refused);
}

/// Prints how many silences and other faults were played, and how many answers ended early for a reason.
pub fn print_silences(plan: &Plan, silences: &Silences) {
    let count =
        |is_counted: fn(&Fault) -> bool| plan.0.iter().filter(|it| is_counted(&it.fault)).count();
    println!(
        "  silent_targets={} silent_answers={} changes={} kills={} crashes={} {:?}",
        count(|it| matches!(it, Fault::SilenceTarget(_))),
        count(|it| matches!(it, Fault::Target(..))),
        count(|it| matches!(it, Fault::ChangeLimits(..) | Fault::MoveRoute | Fault::RemoveRoute)),
        count(|it| matches!(it, Fault::KillGateway(_))),
        count(|it| matches!(it, Fault::CrashTarget(_))),
        silences.excused
    );
}
