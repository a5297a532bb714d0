//! How an engine's step grows with the sequences in it, learnt from its own load reports.
//!
//! Between two reports the engine did some steps and some tokens: their ratio is the mean number of sequences, and the
//! time over the steps is the mean step. Time without work makes a step look longer than it was, never shorter, so for
//! each number of sequences the estimate follows low samples quickly and high ones slowly. What the lending needs is
//! the slope against the empty step: by which part of it one more sequence makes every step longer.

const MAX_SEQUENCES: usize = 256;
const MIN_POINTS: u32 = 2;
const MIN_SPREAD: f64 = 3.0;
const DOWN: f64 = 0.5;
const UP: f64 = 0.05;

/// Slope that is assumed until the reports tell better.
const ASSUMED_SLOPE: f64 = 0.05;
const LEAST_SLOPE: f64 = 0.002;
const GREATEST_SLOPE: f64 = 0.5;
const ASSUMED_STEP_MS: f64 = 10.0;

#[derive(Debug, Clone, Copy)]
struct Totals {
    at_ms: u64,
    steps: u64,
    tokens: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Point {
    step_ms: f64,
    samples: u32,
}

/// Time of a step by its number of sequences.
#[derive(Debug, Clone)]
pub(super) struct StepModel {
    last: Option<Totals>,
    points: Vec<Point>,
    slope: f64,
    empty_step_ms: f64,
}

impl StepModel {
    pub(super) fn new() -> StepModel {
        StepModel {
            last: None,
            points: Vec::new(),
            slope: ASSUMED_SLOPE,
            empty_step_ms: ASSUMED_STEP_MS,
        }
    }

    /// Takes a report: steps and tokens since the engine's start.
    pub(super) fn report(&mut self, now_ms: u64, steps: u64, tokens: u64) {
        let totals = Totals { at_ms: now_ms, steps, tokens };
        let Some(last) = self.last.replace(totals) else { return };
        // An engine that was started anew counts from zero.
        if steps <= last.steps || tokens < last.tokens {
            return;
        }
        let steps = (steps - last.steps) as f64;
        let sequences = (tokens - last.tokens) as f64 / steps;
        let step_ms = now_ms.saturating_sub(last.at_ms) as f64 / steps;
        self.learn(sequences, step_ms);
    }

    /// By which part of an empty step one more sequence makes the step longer.
    pub(super) fn slope(&self) -> f64 {
        self.slope
    }

    /// Expected time of a step, in milliseconds.
    pub(super) fn step_ms(&self, sequences: u32) -> f64 {
        self.empty_step_ms * (1.0 + self.slope * f64::from(sequences))
    }

    fn learn(&mut self, sequences: f64, step_ms: f64) {
        let index = sequences.round() as usize;
        if index == 0 || index > MAX_SEQUENCES {
            return;
        }
        if self.points.len() <= index {
            self.points.resize(index + 1, Point::default());
        }
        let point = &mut self.points[index];
        let share = match point.samples {
            0 => 1.0,
            _ if step_ms < point.step_ms => DOWN,
            _ => UP,
        };
        point.step_ms += share * (step_ms - point.step_ms);
        point.samples = point.samples.saturating_add(1);
        self.fit();
    }

    /// Least squares through the points that have enough samples.
    fn fit(&mut self) {
        let known = self.points.iter().enumerate().filter(|(_, it)| it.samples >= MIN_POINTS);
        let (mut count, mut sum_x, mut sum_y, mut sum_xx, mut sum_xy) = (0.0, 0.0, 0.0, 0.0, 0.0);
        for (index, point) in known {
            let x = index as f64;
            count += 1.0;
            sum_x += x;
            sum_y += point.step_ms;
            sum_xx += x * x;
            sum_xy += x * point.step_ms;
        }
        let spread = count * sum_xx - sum_x * sum_x;
        if count < 2.0 || spread < MIN_SPREAD * MIN_SPREAD * count {
            return;
        }
        let per_sequence_ms = (count * sum_xy - sum_x * sum_y) / spread;
        let empty_step_ms = (sum_y - per_sequence_ms * sum_x) / count;
        if empty_step_ms <= 0.0 {
            return;
        }
        self.empty_step_ms = empty_step_ms;
        self.slope = (per_sequence_ms / empty_step_ms).clamp(LEAST_SLOPE, GREATEST_SLOPE);
    }
}
