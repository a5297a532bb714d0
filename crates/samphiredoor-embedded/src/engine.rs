//! Continuous batching in small: sequences join and leave between steps, and a step takes longer the more there are.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// How an engine behaves.
#[derive(Debug, Clone, Serialize, Deserialize)]
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
            report_lag_ms: 200,
        }
    }
}

/// Load as an engine reports it, `report_lag_ms` late.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
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

#[derive(Debug)]
struct Sequence {
    remaining: u32,
    prompt_bytes: usize,
    output: flume::Sender<u32>,
    next_index: u32,
}

/// Sequences of one engine.
#[derive(Debug, Default)]
pub struct Batch {
    running: BTreeMap<u64, Sequence>,
    waiting: BTreeMap<u64, Sequence>,
    next_id: u64,
    steps: u64,
    tokens: u64,
}

impl Batch {
    /// Adds a sequence of `tokens` tokens starting with token `first_index`; the receiver gets each token's index and
    /// ends after the last. Dropping the receiver aborts the sequence.
    pub fn admit(
        &mut self,
        prompt_bytes: usize,
        first_index: u32,
        tokens: u32,
    ) -> flume::Receiver<u32> {
        let (output, receiver) = flume::unbounded();
        let sequence =
            Sequence { remaining: tokens, prompt_bytes, output, next_index: first_index };
        self.waiting.insert(self.next_id, sequence);
        self.next_id += 1;
        receiver
    }

    /// Lets waiting sequences join; returns how long the step that begins now takes.
    pub fn begin_step(&mut self, config: &EngineConfig) -> f64 {
        self.drop_aborted();
        let mut joined_bytes = 0;
        while self.running.len() < config.max_running {
            let Some((id, sequence)) = self.waiting.pop_first() else { break };
            joined_bytes += sequence.prompt_bytes;
            self.running.insert(id, sequence);
        }
        let sequences = self.running.len() as f64;
        config.step_ms
            + config.step_per_sequence_ms * sequences
            + config.prefill_per_kilobyte_ms * joined_bytes as f64 / 1_000.0
    }

    /// Ends a step: each running sequence has one more token.
    pub fn end_step(&mut self) {
        self.steps += 1;
        let mut ended = Vec::new();
        for (id, sequence) in &mut self.running {
            let alive = sequence.output.send(sequence.next_index).is_ok();
            sequence.next_index += 1;
            sequence.remaining = sequence.remaining.saturating_sub(1);
            self.tokens += u64::from(alive);
            if !alive || sequence.remaining == 0 {
                ended.push(*id);
            }
        }
        for id in ended {
            self.running.remove(&id);
        }
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

    fn drop_aborted(&mut self) {
        self.running.retain(|_, it| !it.output.is_disconnected());
        self.waiting.retain(|_, it| !it.output.is_disconnected());
    }
}
