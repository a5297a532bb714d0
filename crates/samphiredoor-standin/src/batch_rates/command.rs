//! The `batch-rates` command: runs all rules at all rates, prints a table, and writes a plot.

use std::{fmt::Write, path::PathBuf, thread};

use anyhow::Context;
use bpaf::Bpaf;

use super::{Rule, Totals, plot, run};
use crate::emulate::variants::Seeds;

/// Batch rates that are compared, as multiples of the usual one.
pub const RATES: [f64; 5] = [1.0, 1.5, 2.0, 3.0, 6.0];
/// Most waiting items with which a job is accepted by the length of the queue: about what the slots that online requests leave
/// on average can start in time.
const MAX_WAITING_ITEMS: usize = 170;
/// Longest wait of the oldest item with which a job is accepted: the due time without the longest run of an item.
const MAX_OLDEST_MS: u64 = 12_000;

/// Arguments of the command.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(generate(batch_rates))]
pub struct BatchRates {
    /// Seeds to run, from A up to but excluding B
    #[bpaf(argument("A..B"), fallback(Seeds(1..4)))]
    seeds: Seeds,
    /// File to write a plot to, as SVG
    #[bpaf(argument("FILE"))]
    plot: Option<PathBuf>,
    /// Runs in parallel
    #[bpaf(argument("COUNT"), fallback(3), display_fallback)]
    threads: usize,
}

/// Sums over all seeds of one rule at one rate.
#[derive(Debug, Clone, Copy)]
pub struct Row {
    /// Label of the rule.
    pub rule: &'static str,
    /// Multiple of the usual batch rate.
    pub rate: f64,
    /// Sums over the seeds.
    pub totals: Totals,
}

/// All rules that are compared, with their labels.
pub fn rules() -> [(&'static str, Rule); 4] {
    [
        ("no rejection", Rule::AcceptAll),
        ("prediction", Rule::Predicted),
        ("queue length", Rule::QueueLength(MAX_WAITING_ITEMS)),
        ("oldest delay", Rule::OldestDelay { max_ms: MAX_OLDEST_MS }),
    ]
}

impl BatchRates {
    /// Runs all rules, prints the table, and writes the plot.
    pub fn run(&self) -> anyhow::Result<()> {
        let rows = self.rows();
        print!("{}", table(&rows));
        if let Some(file) = &self.plot {
            let svg = plot::svg(&rows)?;
            std::fs::write(file, svg).with_context(|| file.display().to_string())?;
        }
        Ok(())
    }

    fn rows(&self) -> Vec<Row> {
        let rules = rules();
        let cases = rules.iter().flat_map(|(label, rule)| RATES.map(|rate| (*label, rule, rate)));
        let cases: Vec<_> = cases.collect();
        let chunk = cases.len().div_ceil(self.threads.max(1));
        thread::scope(|scope| {
            let threads: Vec<_> = cases
                .chunks(chunk)
                .map(|cases| {
                    let seeds = self.seeds.0.clone();
                    scope.spawn(move || {
                        let row = |(rule, decides, rate): &(&'static str, &Rule, f64)| {
                            let mut totals = Totals::default();
                            for seed in seeds.clone() {
                                totals += run(*rate, seed, decides, true);
                            }
                            Row { rule, rate: *rate, totals }
                        };
                        cases.iter().map(row).collect::<Vec<Row>>()
                    })
                })
                .collect();
            threads.into_iter().flat_map(|it| it.join().unwrap_or_default()).collect()
        })
    }
}

fn table(rows: &[Row]) -> String {
    let mut text = String::from(
        "| rule | rate | in time | late | never completed | rejected items | rejected jobs | of them fitting |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for Row { rule, rate, totals: it } in rows {
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "| {rule} | {rate} | {} | {} | {} | {} | {} of {} | {} |",
            it.in_time, it.late, it.never, it.rejected, it.rejected_jobs, it.jobs, it.fitting_jobs
        );
    }
    text
}
