//! Model of an inference engine with continuous batching and chunked prefill.
//!
//! It works in steps. In each step every running request whose prompt is prefilled generates one token, and up to
//! `chunk_tokens` of the other prompts are prefilled in order of arrival. The duration of a step grows with the number
//! of running requests and of prefilled tokens. Requests beyond the slots wait in order of arrival; there are no
//! priorities.

use std::collections::VecDeque;

use super::scenario::Targets;

/// An attempt of a request at a target.
#[derive(Debug, Clone)]
pub struct Sequence {
    /// ID of the attempt, which includes the request.
    pub attempt: u64,
    /// ID of its prompt's shared prefix; 0 for none.
    pub prefix: u64,
    /// Tokens of that shared prefix.
    pub shared_tokens: u32,
    /// Other tokens to prefill: the rest of the prompt, and the output of earlier attempts.
    pub own_tokens: u32,
    /// Tokens generated so far, including those of earlier attempts.
    pub generated: u32,
    /// Number of generated tokens at which it is finished.
    pub output_tokens: u32,
    prefill_left: u32,
}

impl Sequence {
    /// Creates the sequence of an attempt that has just arrived.
    pub fn new(
        attempt: u64,
        (prefix, shared_tokens): (u64, u32),
        own_tokens: u32,
        (generated, output_tokens): (u32, u32),
    ) -> Sequence {
        let prefill_left = 0;
        Sequence {
            attempt,
            prefix,
            shared_tokens,
            own_tokens,
            generated,
            output_tokens,
            prefill_left,
        }
    }
}

/// Progress that a request made in a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// It generated the first token of this attempt.
    FirstToken,
    /// It generated its last token.
    Finished,
}

/// State of a target's engine.
#[derive(Debug)]
pub struct Engine {
    config: Targets,
    running: Vec<Sequence>,
    queue: VecDeque<Sequence>,
    /// IDs of the cached shared prefixes, most recently used last.
    cached_prefixes: Vec<u64>,
    /// Attempts that have generated a token here.
    started: Vec<u64>,
    /// Whether a step is in progress.
    pub is_stepping: bool,
}

impl Engine {
    /// Creates an engine without requests and with an empty prefix cache.
    pub fn new(config: Targets) -> Engine {
        Engine {
            config,
            running: Vec::new(),
            queue: VecDeque::new(),
            cached_prefixes: Vec::new(),
            started: Vec::new(),
            is_stepping: false,
        }
    }

    /// Queues a request; returns `false` if slots and queue are full.
    pub fn offer(&mut self, sequence: Sequence) -> bool {
        let capacity = self.config.slots + self.config.queue;
        let is_accepted = self.running.len() + self.queue.len() < capacity as usize;
        if is_accepted {
            self.queue.push_back(sequence);
        }
        is_accepted
    }

    /// Removes an attempt and returns the number of tokens generated so far.
    pub fn drop_attempt(&mut self, attempt: u64) -> Option<u32> {
        let generated = self.generated(attempt);
        self.running.retain(|it| it.attempt != attempt);
        self.queue.retain(|it| it.attempt != attempt);
        self.started.retain(|it| *it != attempt);
        generated
    }

    /// Tokens generated so far for the request of an attempt, if it is here.
    pub fn generated(&self, attempt: u64) -> Option<u32> {
        let mut all = self.running.iter().chain(&self.queue);
        all.find(|it| it.attempt == attempt).map(|it| it.generated)
    }

    /// Numbers of running and waiting requests.
    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.queue.len() as u32)
    }

    /// IDs of all attempts here, running or waiting.
    pub fn attempts(&self) -> impl Iterator<Item = u64> {
        self.running.iter().chain(&self.queue).map(|it| it.attempt)
    }

    /// Begins a step and returns its duration in microseconds; `None` if no request is running or waiting.
    pub fn begin_step(&mut self) -> Option<u64> {
        self.admit();
        self.is_stepping = !self.running.is_empty();
        if !self.is_stepping {
            return None;
        }
        let prefilled_tokens = self.prefill();
        let Targets { step_ms, step_per_request_ms, prompt_tokens_per_ms, .. } = self.config;
        let running = self.running.len() as f64;
        let prefill_ms = f64::from(prefilled_tokens) / prompt_tokens_per_ms;
        let whole_ms = step_ms + step_per_request_ms * running + prefill_ms;
        Some((whole_ms * 1_000.0).ceil() as u64)
    }

    /// Ends a step and returns the attempts that generated their first or last token in it.
    pub fn end_step(&mut self) -> Vec<(u64, Progress)> {
        self.is_stepping = false;
        let mut progress = Vec::new();
        let mut prefilled_prefixes = Vec::new();
        for sequence in self.running.iter_mut().filter(|it| it.prefill_left == 0) {
            sequence.generated += 1;
            if !self.started.contains(&sequence.attempt) {
                self.started.push(sequence.attempt);
                prefilled_prefixes.push(sequence.prefix);
                progress.push((sequence.attempt, Progress::FirstToken));
            }
            if sequence.generated >= sequence.output_tokens {
                progress.push((sequence.attempt, Progress::Finished));
            }
        }
        self.running.retain(|it| it.generated < it.output_tokens);
        let running = &self.running;
        self.started.retain(|it| running.iter().any(|running| running.attempt == *it));
        for prefix in prefilled_prefixes {
            self.cache_prefix(prefix);
        }
        progress
    }

    fn admit(&mut self) {
        while self.running.len() < self.config.slots as usize {
            let Some(mut sequence) = self.queue.pop_front() else { return };
            let is_cached = sequence.prefix == 0 || self.cached_prefixes.contains(&sequence.prefix);
            sequence.prefill_left = sequence.own_tokens;
            sequence.prefill_left += if is_cached { 0 } else { sequence.shared_tokens };
            self.running.push(sequence);
        }
    }

    fn prefill(&mut self) -> u32 {
        let mut budget = self.config.chunk_tokens;
        for sequence in &mut self.running {
            let part = sequence.prefill_left.min(budget);
            sequence.prefill_left -= part;
            budget -= part;
        }
        self.config.chunk_tokens - budget
    }

    fn cache_prefix(&mut self, prefix: u64) {
        if prefix == 0 {
            return;
        }
        self.cached_prefixes.retain(|it| *it != prefix);
        self.cached_prefixes.push(prefix);
        let more = self.cached_prefixes.len().saturating_sub(self.config.kept_beginnings);
        self.cached_prefixes.drain(..more);
    }
}
