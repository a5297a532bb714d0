//! Counters of an engine for measurements: step times that online sequences experienced, batch throughput, and aborted
//! work.
//!
//! The engine itself does not distinguish online from batch sequences. These counters do, by the request id: that of a
//! job's item starts with `job-`.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Width of a histogram bucket of step times, in microseconds.
pub const STEP_BUCKET_US: u64 = 100;

/// Whether a request id belongs to an item of a job.
pub fn is_batch_id(id: &str) -> bool {
    id.starts_with("job-")
}

/// Counters since the start of the engine or the last reset.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
pub struct EngineRecord {
    /// Histogram: tokens of online sequences by the time of their step, in buckets of [`STEP_BUCKET_US`].
    pub online_steps: BTreeMap<u64, u64>,
    /// Generated tokens of batch sequences.
    pub batch_tokens: u64,
    /// Generated tokens of aborted batch sequences; not lost if the sequence is resumed.
    pub batch_tokens_aborted: u64,
    /// Tokens of completed batch answers, including the tokens of earlier attempts that they resumed.
    pub batch_tokens_completed: u64,
    /// Completed batch sequences.
    pub batch_completed: u64,
    /// Aborted batch sequences.
    pub batch_aborted: u64,
    /// Generated tokens of online sequences.
    pub online_tokens: u64,
    /// Completed online sequences.
    pub online_completed: u64,
    /// Steps started.
    pub steps: u64,
    /// Sum of the nominal step times, in microseconds.
    pub steps_us: u64,
    /// Maximum delay of a step's end behind its nominal end, in microseconds.
    pub worst_late_us: u64,
    /// Sum of these delays, in microseconds.
    pub late_us: u64,
}

impl EngineRecord {
    /// Counts a step and its tokens: one for each online and each batch sequence.
    pub fn record_step(&mut self, step_ms: f64, online: u64, batch: u64) {
        let step_us = (step_ms * 1_000.0) as u64;
        self.steps += 1;
        self.steps_us += step_us;
        self.batch_tokens += batch;
        self.online_tokens += online;
        if online > 0 {
            *self.online_steps.entry(step_us / STEP_BUCKET_US).or_default() += online;
        }
    }

    /// Counts the delay of a step's end.
    pub fn record_delay(&mut self, delay_us: u64) {
        self.worst_late_us = self.worst_late_us.max(delay_us);
        self.late_us += delay_us;
    }
}
