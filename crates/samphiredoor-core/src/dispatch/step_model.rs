//! Linear model of an engine's step time as a function of the sequences in the step, fitted to its progress reports.
//!
//! Between two reports the engine has run some steps and produced some tokens: tokens per step is the mean number of
//! sequences, and elapsed time per step is the mean step time. Idle time makes a step appear longer, never shorter, so
//! for each number of sequences the estimate follows low samples quickly and high ones slowly. The batch capacity is
//! computed from the slope relative to the empty step: the part of it by which each further sequence lengthens a step.

/// Mean numbers of sequences above this are ignored.
const MAX_SEQUENCES: usize = 256;
/// Samples that a number of sequences needs to be used in the fit.
const MIN_SAMPLES: u32 = 2;
/// Smallest root of the summed squared deviations of the numbers of sequences that allows a fit.
const MIN_SPREAD: f64 = 3.0;
/// Weight of a sample below the estimate.
const DOWNWARD_WEIGHT: f64 = 0.5;
/// Weight of a sample above the estimate.
const UPWARD_WEIGHT: f64 = 0.05;

/// Slope that is assumed until the reports allow a fit.
const ASSUMED_SLOPE: f64 = 0.05;
const MIN_SLOPE: f64 = 0.002;
const MAX_SLOPE: f64 = 0.5;
const ASSUMED_STEP_MS: f64 = 10.0;

/// Contents of a progress report.
#[derive(Debug, Clone, Copy)]
struct Totals {
    at_ms: u64,
    steps: u64,
    tokens: u64,
}

/// Estimated step time for one number of sequences.
#[derive(Debug, Clone, Copy, Default)]
struct Point {
    step_ms: f64,
    samples: u32,
}

/// Step time of one engine by number of sequences.
#[derive(Debug, Clone)]
pub(super) struct StepModel {
    previous: Option<Totals>,
    points: Vec<Point>,
    slope: f64,
    empty_step_ms: f64,
}

impl StepModel {
    pub(super) fn new() -> StepModel {
        StepModel {
            previous: None,
            points: Vec::new(),
            slope: ASSUMED_SLOPE,
            empty_step_ms: ASSUMED_STEP_MS,
        }
    }

    /// Handles a progress report: steps and tokens since the engine's start.
    pub(super) fn report(&mut self, now_ms: u64, steps: u64, tokens: u64) {
        let totals = Totals { at_ms: now_ms, steps, tokens };
        let Some(previous) = self.previous.replace(totals) else { return };
        // Lower numbers mean that the engine was restarted and counts from zero.
        if steps <= previous.steps || tokens < previous.tokens {
            return;
        }
        let steps = (steps - previous.steps) as f64;
        let sequences = (tokens - previous.tokens) as f64 / steps;
        let step_ms = now_ms.saturating_sub(previous.at_ms) as f64 / steps;
        self.add_sample(sequences, step_ms);
    }

    /// Part of an empty step by which one more sequence lengthens a step.
    pub(super) fn slope(&self) -> f64 {
        self.slope
    }

    /// Expected time of a step, in milliseconds.
    pub(super) fn step_ms(&self, sequences: u32) -> f64 {
        self.empty_step_ms * (1.0 + self.slope * f64::from(sequences))
    }

    fn add_sample(&mut self, sequences: f64, step_ms: f64) {
        let index = sequences.round() as usize;
        if index == 0 || index > MAX_SEQUENCES {
            return;
        }
        if self.points.len() <= index {
            self.points.resize(index + 1, Point::default());
        }
        let point = &mut self.points[index];
        let weight = match point.samples {
            0 => 1.0,
            _ if step_ms < point.step_ms => DOWNWARD_WEIGHT,
            _ => UPWARD_WEIGHT,
        };
        point.step_ms += weight * (step_ms - point.step_ms);
        point.samples = point.samples.saturating_add(1);
        self.fit();
    }

    /// Fits a line to the points that have enough samples, by least squares. Keeps the last fit if there are too few or
    /// they lie too close together.
    fn fit(&mut self) {
        let measured = self.points.iter().enumerate().filter(|(_, it)| it.samples >= MIN_SAMPLES);
        let (mut count, mut sum_x, mut sum_y, mut sum_xx, mut sum_xy) = (0.0, 0.0, 0.0, 0.0, 0.0);
        for (index, point) in measured {
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
        self.slope = (per_sequence_ms / empty_step_ms).clamp(MIN_SLOPE, MAX_SLOPE);
    }
}
