//! Measurements of a run, and their row in the result file.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use samphiredoor_embedded::engine_record::{EngineRecord, STEP_BUCKET_US};

/// Outcome and latencies of one online request.
#[derive(Debug, Clone, Default)]
pub struct OnlineOutcome {
    /// Time from when it was due to its first token.
    pub first_token_us: Option<u64>,
    /// Times between tokens.
    pub gaps_us: Vec<u64>,
    /// Time from when it was due to its last token.
    pub total_us: u64,
    /// Reason for which it has no complete answer.
    pub error: Option<String>,
}

impl OnlineOutcome {
    /// Request without a complete answer.
    pub fn failed(reason: &str) -> OnlineOutcome {
        OnlineOutcome { error: Some(reason.to_owned()), ..OnlineOutcome::default() }
    }
}

type Times = Histogram<u64>;

fn new_histogram() -> Times {
    // Up to two minutes, in microseconds; these constants are valid bounds.
    Histogram::new_with_bounds(1, 120_000_000, 3).expect("the bounds are valid")
}

/// Latency histograms, errors and engine counters of a run.
#[derive(Debug)]
pub struct Measurements {
    from: Duration,
    first_token: Times,
    gap: Times,
    total: Times,
    first_token_by_second: BTreeMap<u64, Times>,
    gap_by_second: BTreeMap<u64, Times>,
    errors: BTreeMap<String, u64>,
    engines: Vec<EngineRecord>,
    elapsed_s: f64,
}

impl Default for Measurements {
    fn default() -> Measurements {
        Measurements::new(Duration::ZERO)
    }
}

impl Measurements {
    /// Empty measurements; requests that are due before `from` are ignored.
    pub fn new(from: Duration) -> Measurements {
        Measurements {
            from,
            first_token: new_histogram(),
            gap: new_histogram(),
            total: new_histogram(),
            first_token_by_second: BTreeMap::new(),
            gap_by_second: BTreeMap::new(),
            errors: BTreeMap::new(),
            engines: Vec::new(),
            elapsed_s: 0.0,
        }
    }

    /// Adds an online request that was due at `at`.
    pub fn add_online(&mut self, at: Duration, end: &OnlineOutcome) {
        let Some(measured_at) = at.checked_sub(self.from) else { return };
        if let Some(error) = &end.error {
            *self.errors.entry(error.clone()).or_default() += 1;
            return;
        }
        let second = measured_at.as_secs();
        let first_token_us = end.first_token_us.unwrap_or(end.total_us);
        self.first_token.saturating_record(first_token_us);
        let by_second = self.first_token_by_second.entry(second).or_insert_with(new_histogram);
        by_second.saturating_record(first_token_us);
        self.total.saturating_record(end.total_us);
        let by_second = self.gap_by_second.entry(second).or_insert_with(new_histogram);
        for gap_us in &end.gaps_us {
            self.gap.saturating_record(*gap_us);
            by_second.saturating_record(*gap_us);
        }
    }

    /// Sets the engines' counters of a time of `elapsed_s`.
    pub fn set_engine_records(&mut self, records: Vec<EngineRecord>, elapsed_s: f64) {
        self.engines = records;
        self.elapsed_s = elapsed_s;
    }

    /// Row of the result file.
    pub fn row(&self, label: &str) -> Row {
        let sum = |field: fn(&EngineRecord) -> u64| self.engines.iter().map(field).sum::<u64>();
        let step_times = self.online_step_times();
        let steps_done = sum(|it| it.steps).max(1);
        let completed = sum(|it| it.batch_tokens_completed);
        let aborted = sum(|it| it.batch_tokens_aborted);
        let batch_tokens = sum(|it| it.batch_tokens);
        let mut row = Row { label: label.to_owned(), ..Row::default() };
        let figures = &mut row.figures;
        let mut add = |name: &str, value: f64| figures.push((name.to_owned(), value));
        add("answered", self.total.len() as f64);
        add("errors", self.errors.values().sum::<u64>() as f64);
        for (name, histogram) in
            [("ttft", &self.first_token), ("gap", &self.gap), ("whole", &self.total)]
        {
            for (quantile, at) in [("p50", 0.5), ("p99", 0.99), ("p999", 0.999)] {
                let ms = histogram.value_at_quantile(at) as f64 / 1_000.0;
                add(&format!("{name}_{quantile}_ms"), ms);
            }
        }
        add("worst_second_ttft_p99_ms", worst_second_p99_ms(&self.first_token_by_second));
        add("worst_second_gap_p99_ms", worst_second_p99_ms(&self.gap_by_second));
        for (quantile, at) in [("p50", 0.5), ("p99", 0.99)] {
            let ms = step_times.value_at_quantile(at) as f64 / 1_000.0;
            add(&format!("online_step_{quantile}_ms"), ms);
        }
        add("online_step_mean_ms", step_times.mean() / 1_000.0);
        add("online_tokens_per_s", sum(|it| it.online_tokens) as f64 / self.elapsed_s);
        add("batch_tokens_per_s", completed as f64 / self.elapsed_s);
        add("batch_generated_per_s", batch_tokens as f64 / self.elapsed_s);
        add("batch_items_per_s", sum(|it| it.batch_completed) as f64 / self.elapsed_s);
        let percent_of_batch = |it: u64| 100.0 * it as f64 / batch_tokens.max(1) as f64;
        add("batch_lost_percent", percent_of_batch(batch_tokens.saturating_sub(completed)));
        add("batch_aborted_percent", percent_of_batch(aborted));
        add("batch_aborted", sum(|it| it.batch_aborted) as f64);
        add("step_mean_ms", sum(|it| it.steps_us) as f64 / steps_done as f64 / 1_000.0);
        add("step_late_mean_us", sum(|it| it.late_us) as f64 / steps_done as f64);
        let worst_late_us = self.engines.iter().map(|it| it.worst_late_us).max();
        add("step_late_worst_us", worst_late_us.unwrap_or(0) as f64);
        add("load_average", load_average());
        row
    }

    /// Number of errors by reason.
    pub fn errors(&self) -> &BTreeMap<String, u64> {
        &self.errors
    }

    fn online_step_times(&self) -> Times {
        let mut steps = new_histogram();
        for (bucket, count) in self.engines.iter().flat_map(|it| &it.online_steps) {
            let us = bucket * STEP_BUCKET_US + STEP_BUCKET_US / 2;
            let _ = steps.record_n(us, *count);
        }
        steps
    }
}

fn worst_second_p99_ms(by_second: &BTreeMap<u64, Times>) -> f64 {
    let p99 = by_second.values().map(|it| it.value_at_quantile(0.99)).max();
    p99.unwrap_or(0) as f64 / 1_000.0
}

fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().and_then(|it| it.parse().ok()).unwrap_or(0.0)
}

/// Named figures of one run.
#[derive(Debug, Clone, Default)]
pub struct Row {
    /// Name of the variant that was run.
    pub label: String,
    /// Figures with their names, in the order of the columns.
    pub figures: Vec<(String, f64)>,
}

impl Row {
    /// Names of the columns, separated by commas.
    pub fn heading(&self) -> String {
        let names: Vec<&str> = self.figures.iter().map(|(name, _)| name.as_str()).collect();
        format!("label,{}", names.join(","))
    }

    /// Values, separated by commas.
    pub fn line(&self) -> String {
        let values: Vec<String> = self.figures.iter().map(|(_, it)| format!("{it:.3}")).collect();
        format!("{},{}", self.label, values.join(","))
    }
}
