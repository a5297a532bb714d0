//! What an engine did, for measuring: what online sequences felt, what batch sequences got, and what was thrown away.
//!
//! The engine itself knows no classes; the record tells them apart by the request's id, which begins with `job-` for
//! an item of a job.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Width of a class of step times, in microseconds.
pub const STEP_CLASS_US: u64 = 100;

/// Whether a request id is that of an item of a job.
pub fn is_batch_id(id: &str) -> bool {
    id.starts_with("job-")
}

/// Counts since start or since they were last set to zero.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
pub struct EngineRecord {
    /// Tokens of online sequences by the time of their step, in classes of [`STEP_CLASS_US`].
    pub online_steps: BTreeMap<u64, u64>,
    /// Tokens of batch sequences.
    pub batch_tokens: u64,
    /// Tokens of batch sequences that were aborted; not lost if the sequence is resumed.
    pub batch_tokens_aborted: u64,
    /// Tokens of batch answers that reached their last token, with those of earlier attempts that they resumed.
    pub batch_tokens_completed: u64,
    /// Batch sequences that reached their last token.
    pub batch_completed: u64,
    /// Batch sequences that were aborted.
    pub batch_aborted: u64,
    /// Tokens of online sequences.
    pub online_tokens: u64,
    /// Online sequences that reached their last token.
    pub online_completed: u64,
    /// Steps.
    pub steps: u64,
    /// Sum of the steps' times as they should be, in microseconds.
    pub steps_us: u64,
    /// Largest lag of a step's end behind its time, in microseconds.
    pub worst_late_us: u64,
    /// Sum of the lags, in microseconds.
    pub late_us: u64,
}

impl EngineRecord {
    /// Counts a step and its tokens.
    pub fn step(&mut self, step_ms: f64, online: u64, batch: u64) {
        let step_us = (step_ms * 1_000.0) as u64;
        self.steps += 1;
        self.steps_us += step_us;
        self.batch_tokens += batch;
        self.online_tokens += online;
        if online > 0 {
            *self.online_steps.entry(step_us / STEP_CLASS_US).or_default() += online;
        }
    }

    /// Counts how late a step ended.
    pub fn late(&mut self, late_us: u64) {
        self.worst_late_us = self.worst_late_us.max(late_us);
        self.late_us += late_us;
    }
}
