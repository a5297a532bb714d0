//! A small model of continuous batching: sequences join and leave between steps, and the time of a step grows with the
//! number of running sequences.

use std::collections::BTreeMap;

use crate::{
    engine_record::{EngineRecord, is_batch_id},
    prefix_cache::PrefixCache,
};
use serde::{Deserialize, Serialize};

/// Model name, timing and capacity of an engine.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineConfig {
    /// Name of the served model.
    pub model: String,
    /// Time of a step without sequences.
    pub step_ms: f64,
    /// Added time of a step for each sequence.
    pub step_per_sequence_ms: f64,
    /// Added time of the step in which a sequence joins, for each 1,000 bytes of prompt not in the prefix cache.
    pub prefill_per_kilobyte_ms: f64,
    /// Maximum number of running sequences; further ones wait in order of arrival.
    pub max_running: usize,
    /// Capacity of the KV cache for prompts and answers of running sequences; sequences that don't fit wait.
    pub kv_bytes: usize,
    /// Capacity of the prefix cache.
    pub prefix_cache_bytes: usize,
    /// Delay of the load report.
    pub report_lag_ms: u64,
}

impl Default for EngineConfig {
    fn default() -> EngineConfig {
        EngineConfig {
            model: "small".to_owned(),
            step_ms: 5.0,
            step_per_sequence_ms: 0.2,
            prefill_per_kilobyte_ms: 1.0,
            max_running: 64,
            kv_bytes: 4_000_000,
            prefix_cache_bytes: 256_000,
            report_lag_ms: 200,
        }
    }
}

/// Load of an engine; the reported value is `report_lag_ms` old.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// Running sequences.
    pub running: u32,
    /// Waiting sequences.
    pub waiting: u32,
    /// Steps completed since start.
    pub steps: u64,
    /// Tokens generated since start.
    pub tokens: u64,
}

/// Bytes of one token in the KV cache, in the same unit as the bytes of a prompt.
const TOKEN_BYTES: usize = 4;

/// A sequence to be generated.
#[derive(Debug, Clone, Copy)]
pub struct SequenceRequest<'a> {
    /// Request id.
    pub id: &'a str,
    /// Text whose length and prefix determine the prefill time.
    pub prompt: &'a str,
    /// Index of the first token to generate; earlier tokens of a resumed answer count as input.
    pub first_index: u32,
    /// Number of tokens to generate.
    pub tokens: u32,
}

#[derive(Debug)]
struct Sequence {
    is_batch: bool,
    remaining: u32,
    generated: u32,
    prefill_bytes: usize,
    kv_bytes: usize,
    output: flume::Sender<u32>,
    next_index: u32,
}

/// Running and waiting sequences of one engine, with its prefix cache and counters.
#[derive(Debug, Default)]
pub struct ContinuousBatch {
    running: BTreeMap<u64, Sequence>,
    waiting: BTreeMap<u64, Sequence>,
    prefix_cache: PrefixCache,
    next_id: u64,
    steps: u64,
    tokens: u64,
    record: EngineRecord,
}

impl ContinuousBatch {
    /// Adds a sequence to the queue; the receiver yields the index of each token and ends after the last one. Dropping
    /// the receiver aborts the sequence.
    pub fn admit(
        &mut self,
        config: &EngineConfig,
        request: SequenceRequest,
    ) -> flume::Receiver<u32> {
        let (output, receiver) = flume::unbounded();
        let input_bytes = request.prompt.len() + request.first_index as usize * TOKEN_BYTES;
        let cached_bytes = self.prefix_cache.insert(request.prompt, config.prefix_cache_bytes);
        let sequence = Sequence {
            is_batch: is_batch_id(request.id),
            remaining: request.tokens,
            generated: 0,
            prefill_bytes: input_bytes - cached_bytes,
            kv_bytes: input_bytes + request.tokens as usize * TOKEN_BYTES,
            output,
            next_index: request.first_index,
        };
        self.waiting.insert(self.next_id, sequence);
        self.next_id += 1;
        receiver
    }

    /// Starts a step: removes aborted sequences and admits waiting ones. Returns the duration of the step, in
    /// milliseconds.
    pub fn begin_step(&mut self, config: &EngineConfig) -> f64 {
        self.drop_aborted();
        let prefill_bytes = self.admit_waiting(config);
        let sequences = self.running.len() as f64;
        let step_ms = config.step_ms
            + config.step_per_sequence_ms * sequences
            + config.prefill_per_kilobyte_ms * prefill_bytes as f64 / 1_000.0;
        let batch = self.running.values().filter(|it| it.is_batch).count() as u64;
        self.record.record_step(step_ms, self.running.len() as u64 - batch, batch);
        step_ms
    }

    fn admit_waiting(&mut self, config: &EngineConfig) -> usize {
        let mut prefill_bytes = 0;
        let mut kv_bytes: usize = self.running.values().map(|it| it.kv_bytes).sum();
        while self.running.len() < config.max_running {
            let Some(next) = self.waiting.first_entry() else { break };
            kv_bytes += next.get().kv_bytes;
            if kv_bytes > config.kv_bytes && !self.running.is_empty() {
                break;
            }
            let (id, sequence) = next.remove_entry();
            prefill_bytes += sequence.prefill_bytes;
            self.running.insert(id, sequence);
        }
        prefill_bytes
    }

    /// Ends a step: each running sequence emits one token.
    pub fn end_step(&mut self) {
        self.steps += 1;
        self.tokens += self.running.len() as u64;
        let record = &mut self.record;
        self.running.retain(|_, sequence| {
            let _ = sequence.output.send(sequence.next_index);
            sequence.next_index += 1;
            sequence.generated += 1;
            sequence.remaining = sequence.remaining.saturating_sub(1);
            if sequence.remaining == 0 {
                match sequence.is_batch {
                    true => {
                        record.batch_completed += 1;
                        record.batch_tokens_completed += u64::from(sequence.next_index);
                    }
                    false => record.online_completed += 1,
                }
            }
            sequence.remaining > 0
        });
    }

    /// Whether there is neither a running nor a waiting sequence.
    pub fn is_empty(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Current load, without the delay of the report.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            steps: self.steps,
            tokens: self.tokens,
        }
    }

    /// Counters for measurements.
    pub fn record(&mut self) -> &mut EngineRecord {
        &mut self.record
    }

    fn drop_aborted(&mut self) {
        let record = &mut self.record;
        let mut keep = |sequence: &Sequence| {
            let aborted = sequence.output.is_disconnected();
            if aborted && sequence.is_batch {
                record.batch_aborted += 1;
                record.batch_tokens_aborted += u64::from(sequence.generated);
            }
            !aborted
        };
        self.running.retain(|_, it| keep(it));
        self.waiting.retain(|_, it| keep(it));
    }
}
