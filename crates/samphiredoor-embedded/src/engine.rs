//! Continuous batching in small: sequences join and leave between steps, and a step takes longer the more there are.

use std::collections::BTreeMap;

use crate::{
    engine_record::{EngineRecord, is_batch_id},
    prefix_cache::PrefixCache,
};
use serde::{Deserialize, Serialize};

/// How an engine behaves.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineConfig {
    /// Model it answers for.
    pub model: String,
    /// Time of a step with no sequence.
    pub step_ms: f64,
    /// Added time of a step for each sequence.
    pub step_per_sequence_ms: f64,
    /// Added time of the step in which a sequence joins, for each 1,000 bytes of prompt not in the prefix cache.
    pub prefill_per_kilobyte_ms: f64,
    /// Sequences that run at once; more wait in order of arrival.
    pub max_running: usize,
    /// Bytes of prompts and answers held for the running sequences; more sequences wait.
    pub kv_bytes: usize,
    /// Bytes of prompts whose beginnings are remembered.
    pub prefix_cache_bytes: usize,
    /// Age of the load that is reported.
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

/// Load as an engine reports it, `report_lag_ms` late.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// Sequences running.
    pub running: u32,
    /// Sequences waiting.
    pub waiting: u32,
    /// Steps done since start.
    pub steps: u64,
    /// Tokens generated since start.
    pub tokens: u64,
}

/// Bytes that one token takes in the KV cache, counted as in the prompt.
const TOKEN_BYTES: usize = 4;

/// A sequence to be generated.
#[derive(Debug, Clone, Copy)]
pub struct Admission<'a> {
    /// Identity of the request.
    pub id: &'a str,
    /// Prompt.
    pub prompt: &'a str,
    /// Index of the first token to generate; the ones before it are part of the input.
    pub first_index: u32,
    /// Tokens to generate.
    pub tokens: u32,
}

#[derive(Debug)]
struct Sequence {
    batch: bool,
    remaining: u32,
    generated: u32,
    prefill_bytes: usize,
    kv_bytes: usize,
    output: flume::Sender<u32>,
    next_index: u32,
}

/// Sequences of one engine.
#[derive(Debug, Default)]
pub struct Batch {
    running: BTreeMap<u64, Sequence>,
    waiting: BTreeMap<u64, Sequence>,
    prefixes: PrefixCache,
    next_id: u64,
    steps: u64,
    tokens: u64,
    record: EngineRecord,
}

impl Batch {
    /// Adds a sequence; the receiver gets each token's index and ends after the last. Dropping the receiver aborts the
    /// sequence.
    pub fn admit(&mut self, config: &EngineConfig, admission: Admission) -> flume::Receiver<u32> {
        let (output, receiver) = flume::unbounded();
        let input_bytes = admission.prompt.len() + admission.first_index as usize * TOKEN_BYTES;
        let held = self.prefixes.hold(admission.prompt, config.prefix_cache_bytes);
        let sequence = Sequence {
            batch: is_batch_id(admission.id),
            remaining: admission.tokens,
            generated: 0,
            prefill_bytes: input_bytes - held,
            kv_bytes: input_bytes + admission.tokens as usize * TOKEN_BYTES,
            output,
            next_index: admission.first_index,
        };
        self.waiting.insert(self.next_id, sequence);
        self.next_id += 1;
        receiver
    }

    /// Lets waiting sequences join; returns how long the step that begins now takes, in milliseconds.
    pub fn begin_step(&mut self, config: &EngineConfig) -> f64 {
        self.drop_aborted();
        let joined_bytes = self.join(config);
        let sequences = self.running.len() as f64;
        let step_ms = config.step_ms
            + config.step_per_sequence_ms * sequences
            + config.prefill_per_kilobyte_ms * joined_bytes as f64 / 1_000.0;
        let batch = self.running.values().filter(|it| it.batch).count() as u64;
        self.record.step(step_ms, self.running.len() as u64 - batch, batch);
        step_ms
    }

    fn join(&mut self, config: &EngineConfig) -> usize {
        let mut joined_bytes = 0;
        let mut kv_bytes: usize = self.running.values().map(|it| it.kv_bytes).sum();
        while self.running.len() < config.max_running {
            let Some(next) = self.waiting.first_entry() else { break };
            kv_bytes += next.get().kv_bytes;
            if kv_bytes > config.kv_bytes && !self.running.is_empty() {
                break;
            }
            let (id, sequence) = next.remove_entry();
            joined_bytes += sequence.prefill_bytes;
            self.running.insert(id, sequence);
        }
        joined_bytes
    }

    /// Ends a step: each running sequence has one more token.
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
                match sequence.batch {
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

    /// Whether nothing runs or waits.
    pub fn is_empty(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Load at this moment.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            steps: self.steps,
            tokens: self.tokens,
        }
    }

    /// What was done, for measuring.
    pub fn record(&mut self) -> &mut EngineRecord {
        &mut self.record
    }

    fn drop_aborted(&mut self) {
        let record = &mut self.record;
        let mut keep = |sequence: &Sequence| {
            let aborted = sequence.output.is_disconnected();
            if aborted && sequence.batch {
                record.batch_aborted += 1;
                record.batch_tokens_aborted += u64::from(sequence.generated);
            }
            !aborted
        };
        self.running.retain(|_, it| keep(it));
        self.waiting.retain(|_, it| keep(it));
    }
}
