//! Result table of an experiment: figures of each variant as ratios to the run without batch load.

use std::{collections::BTreeMap, path::Path};

use anyhow::Context;

/// Upper bound of the batch throughput of any scheduler, computed from the engine's step time and the run without
/// batch.
#[derive(Debug, Clone, Copy)]
pub struct Bound {
    /// Time of a step with no sequence, in milliseconds.
    pub step_ms: f64,
    /// Added time of a step for each sequence, in milliseconds.
    pub step_per_sequence_ms: f64,
    /// Number of engines.
    pub engines: f64,
    /// Maximum number of batch sequences at one engine.
    pub loan_limit: f64,
}

/// Allowed ratio of the 99th percentile of online step times to that without batch load.
const ALLOWED_SLOWDOWN: f64 = 1.05;

impl Bound {
    /// Batch tokens per second that fit beside `online_tokens_per_s` if every step took exactly the allowed slowdown
    /// times the 99th percentile of the run without batch.
    ///
    /// A higher throughput needs longer steps, which would slow down more than one token in a hundred. So no scheduler
    /// can exceed this and stay within the allowed slowdown, even with full knowledge of future arrivals.
    pub fn batch_tokens_per_s(&self, baseline_step_p99_ms: f64, online_tokens_per_s: f64) -> f64 {
        let step_ms = ALLOWED_SLOWDOWN * baseline_step_p99_ms;
        let sequences = ((step_ms - self.step_ms) / self.step_per_sequence_ms).max(0.0);
        let bound_tokens_per_s = self.engines * sequences * 1_000.0 / step_ms - online_tokens_per_s;
        bound_tokens_per_s.clamp(0.0, self.engines * self.loan_limit * 1_000.0 / step_ms)
    }
}

/// Prints the rows of `file` as a Markdown table; the first row is the run without batch.
pub fn print(file: &Path, bound: Bound) -> anyhow::Result<()> {
    let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
    let mut lines = text.lines();
    let names: Vec<&str> = lines.next().context("the file has no heading")?.split(',').collect();
    let rows: Vec<BTreeMap<&str, &str>> =
        lines.map(|line| names.iter().copied().zip(line.split(',')).collect()).collect();
    let baseline = rows.first().context("the file has no rows")?;
    let figure = |row: &BTreeMap<&str, &str>, name: &str| -> f64 {
        row.get(name).and_then(|it| it.parse().ok()).unwrap_or(0.0)
    };
    let ratio = |row: &BTreeMap<&str, &str>, name| figure(row, name) / figure(baseline, name);
    let bound_tokens_per_s = bound.batch_tokens_per_s(
        figure(baseline, "online_step_p99_ms"),
        figure(baseline, "online_tokens_per_s"),
    );
    println!("All-knowing bound: {bound_tokens_per_s:.0} batch tokens/s beside the online load.");
    println!();
    println!(
        "| variant | TTFT p50 | TTFT p99 | gap p50 | gap p99 | step p99 | whole p99 | worst second TTFT p99 \
         | worst second gap p99 | batch tokens/s | of the bound | lost | errors | load |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for row in &rows {
        let batch = figure(row, "batch_tokens_per_s");
        println!(
            "| {} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} | {batch:.0} | {:.2} | {:.1}% | {} | {} |",
            row["label"],
            ratio(row, "ttft_p50_ms"),
            ratio(row, "ttft_p99_ms"),
            ratio(row, "gap_p50_ms"),
            ratio(row, "gap_p99_ms"),
            ratio(row, "online_step_p99_ms"),
            ratio(row, "whole_p99_ms"),
            ratio(row, "worst_second_ttft_p99_ms"),
            ratio(row, "worst_second_gap_p99_ms"),
            batch / bound_tokens_per_s.max(1.0),
            figure(row, "batch_lost_percent"),
            figure(row, "errors"),
            figure(row, "load_average"),
        );
    }
    Ok(())
}
