//! Reports of an experiment: the summary table and the CSV rows.

use std::fmt::Write;

use super::{
    outcome::Outcome,
    variants::{RunResult, Variants},
};

/// The 97.5th percentile of the normal distribution.
const NORMAL_975: f64 = 1.959_964;

/// A sample mean with its 95 % confidence interval.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Mean {
    /// Mean of the samples.
    pub mean: f64,
    /// Half of the width of the interval; 0 for a single sample.
    pub half_width: f64,
}

impl Mean {
    /// Computes the mean and the interval from samples.
    pub fn of(values: &[f64]) -> Mean {
        let count = values.len() as f64;
        let mean = values.iter().sum::<f64>() / count.max(1.0);
        if values.len() < 2 {
            return Mean { mean, half_width: 0.0 };
        }
        let squares: f64 = values.iter().map(|it| (it - mean).powi(2)).sum();
        let deviation = (squares / (count - 1.0)).sqrt();
        Mean { mean, half_width: student_975(count - 1.0) * deviation / count.sqrt() }
    }
}

/// The 97.5th percentile of Student's t-distribution, by the first terms of its expansion around the normal
/// distribution.
fn student_975(degrees_of_freedom: f64) -> f64 {
    let z = NORMAL_975;
    let first = (z.powi(3) + z) / 4.0;
    let second = (5.0 * z.powi(5) + 16.0 * z.powi(3) + 3.0 * z) / 96.0;
    let third = (3.0 * z.powi(7) + 19.0 * z.powi(5) + 17.0 * z.powi(3) - 15.0 * z) / 384.0;
    z + first / degrees_of_freedom
        + second / degrees_of_freedom.powi(2)
        + third / degrees_of_freedom.powi(3)
}

/// Mean worth of a variant's runs, and of its difference from the first variant, paired by seed.
pub fn worth(results: &[RunResult], variant: usize) -> (Mean, Mean) {
    let worth = |variant: usize| -> Vec<f64> {
        let runs = results.iter().filter(|it| it.variant == variant);
        runs.map(|it| it.outcome.worth()).collect()
    };
    let (first, own) = (worth(0), worth(variant));
    let differences: Vec<f64> = own.iter().zip(&first).map(|(own, first)| own - first).collect();
    (Mean::of(&own), Mean::of(&differences))
}

/// Summary of all variants, as a Markdown table.
pub fn table(variants: &Variants, results: &[RunResult]) -> String {
    let mut text = String::from(
        "| variant | worth | against the first | of the bound | online in aim, late, refused, lost, left % | \
         items in time, late % | cut an item | rejected sends % | messages a gateway and second |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for (number, variant) in variants.variants.iter().enumerate() {
        let runs: Vec<&RunResult> = results.iter().filter(|it| it.variant == number).collect();
        let mean = |figure: &dyn Fn(&Outcome) -> f64| {
            runs.iter().map(|it| figure(&it.outcome)).sum::<f64>() / runs.len().max(1) as f64
        };
        let of_bound: Vec<f64> = runs.iter().map(|it| it.of_bound()).collect();
        let (worth, difference) = worth(results, number);
        let against = match number {
            0 => String::new(),
            _ => format!("{:+.3} ± {:.3}", difference.mean, difference.half_width),
        };
        let _ = writeln!(
            text,
            "| {} | {:.3} ± {:.3} | {against} | {:.3} | {:.1}, {:.1}, {:.1}, {:.1}, {:.1} | {:.1}, {:.1} | {:.2} | {:.1} | {:.0} |",
            variant.label,
            worth.mean,
            worth.half_width,
            Mean::of(&of_bound).mean,
            mean(&|it| it.online.percent(it.online.on_time)),
            mean(&|it| it.online.percent(it.online.late)),
            mean(&|it| it.online.percent(it.online.refused)),
            mean(&|it| it.online.percent(it.online.lost)),
            mean(&|it| it.online.percent(it.online.timed_out)),
            mean(&|it| it.items.percent(it.items.on_time)),
            mean(&|it| it.items.percent(it.items.late)),
            mean(&Outcome::preempted_per_item),
            mean(&Outcome::rejected_percent),
            mean(&|it| it.messages_per_gateway_s),
        );
    }
    text
}

/// Sentence on how much faster than real time the simulations ran, each on one core.
pub fn speed(variants: &Variants, results: &[RunResult]) -> String {
    let total_s: f64 = results
        .iter()
        .map(|it| variants.scenarios[variants.variants[it.variant].scenario].total_s())
        .sum();
    let cpu_s: f64 = results.iter().map(|it| it.cpu_s).sum();
    let (runs, factor) = (results.len(), total_s / cpu_s.max(1e-9));
    format!(
        "{runs} plays of {total_s:.0} s in all, played in {cpu_s:.2} s of a core: {factor:.0} times as fast"
    )
}

/// All runs as CSV, one row each.
pub fn csv(variants: &Variants, results: &[RunResult]) -> String {
    let mut text = String::from(
        "variant,seed,owed,earned,bound,online,online_in_aim,online_late,online_refused,online_lost,online_left,\
         items,items_in_time,items_late,items_left,cut,sends,rejected,messages_per_gateway_s,events,took_s\n",
    );
    for RunResult { variant, seed, outcome, bound, cpu_s } in results {
        let Outcome {
            online, items, total_worth, earned, preempted, sends, rejected, events, ..
        } = outcome;
        let _ = writeln!(
            text,
            "{},{seed},{total_worth:.3},{earned:.3},{bound:.3},{},{},{},{},{},{},{},{},{},{},{preempted},{sends},{rejected},{:.1},{events},{cpu_s:.3}",
            quoted(&variants.variants[*variant].label),
            online.total,
            online.on_time,
            online.late,
            online.refused,
            online.lost,
            online.timed_out,
            items.total,
            items.on_time,
            items.late,
            items.timed_out,
            outcome.messages_per_gateway_s,
        );
    }
    text
}

fn quoted(text: &str) -> String {
    format!("\"{}\"", text.replace('"', "\"\""))
}
