//! What a run leaves to read: numbers, or the promise that broke with all that names its request.

use std::{fmt, path::Path, time::Duration};

use hdrhistogram::Histogram;

use super::checks::{Breach, Counts};

/// Lines of a log that are shown for a promise that broke.
const SHOWN_LINES: usize = 40;

/// Longest time that is told apart; all waits are shorter.
const LONGEST_MS: u64 = 120_000;

/// Times to recover, over all runs of a command.
#[derive(Debug, Default)]
pub struct Recovery {
    /// From the last fault to a request that a gateway served.
    pub served_ms: Times,
    /// From the acknowledgement of a configuration until all gateways served its new route.
    pub in_force_ms: Times,
    /// From the return of the store to a new job that was accepted.
    pub accepted_ms: Times,
    /// From the kill of a job's owner to the next of its items that began to run.
    pub items_ms: Times,
}

impl Recovery {
    /// Prints all times that were taken.
    pub fn print(&self) {
        for (what, times) in [
            ("gateway serves after the last fault", &self.served_ms),
            ("configuration in force at all gateways", &self.in_force_ms),
            ("job accepted after the store's return", &self.accepted_ms),
            ("items run after the kill of their owner", &self.items_ms),
        ] {
            if !times.0.is_empty() {
                println!("{what}: {times}");
            }
        }
    }
}

/// Distribution of times.
#[derive(Debug)]
pub struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Times {
        Times(Histogram::new_with_max(LONGEST_MS, 3).expect("the bounds are allowed"))
    }
}

impl Times {
    /// Adds a time.
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

/// Prints the numbers of a run in which every promise held.
pub fn print_kept(seed: u64, faults: usize, counts: Counts) {
    let Counts { served, refused, doubtful, results, ended, runs } = counts;
    println!(
        "seed {seed}: kept, faults={faults} served={served} refused={refused} doubtful={doubtful} \
         results={results} ended={ended} runs={runs}"
    );
}

/// Prints a promise that broke, and how to play it again.
pub fn print_broken(seed: u64, breach: &Breach, lines: &[String], folder: &Path) {
    println!("seed {seed}: BROKEN: {}", breach.promise);
    println!("  id={} {}", breach.id, breach.seen);
    for line in lines.iter().take(SHOWN_LINES) {
        println!("  {line}");
    }
    if let Some(more @ 1..) = lines.len().checked_sub(SHOWN_LINES) {
        println!("  and {more} more lines");
    }
    println!("  trace, plan and logs: {}", folder.display());
}
