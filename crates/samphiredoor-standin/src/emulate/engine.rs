//! A target with continuous batching.
//!
//! It works in steps. In each step every request that has been read puts out one token, and a part of the prompts that
//! have not been read is read, in order of arrival. A step takes the longer the more requests run and the more is read.
//! Requests beyond the slots wait in order of arrival; there are no priorities.

use std::collections::VecDeque;

use super::scenario::Targets;

/// A request at a target.
#[derive(Debug, Clone)]
pub struct Sequence {
    /// Which attempt of which request.
    pub attempt: u64,
    /// Shared beginning of its prompt; 0 for none.
    pub prefix: u64,
    /// Tokens of that beginning.
    pub shared_tokens: u32,
    /// Tokens to read beside it: the rest of the prompt, and what was put out before.
    pub own_tokens: u32,
    /// Tokens that it has put out, those of attempts before among them.
    pub generated: u32,
    /// Tokens after which it ends.
    pub output_tokens: u32,
    prefill_left: u32,
}

impl Sequence {
    /// A request that has just arrived.
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

/// What a step did for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// It put out the first token of this attempt.
    FirstToken,
    /// It put out its last token.
    Finished,
}

/// State of a target's process.
#[derive(Debug)]
pub struct Engine {
    config: Targets,
    running: Vec<Sequence>,
    queue: VecDeque<Sequence>,
    /// Beginnings that are kept, the latest used last.
    cached_prefixes: Vec<u64>,
    /// Requests that have put out a token in this attempt.
    started: Vec<u64>,
    /// Whether a step is under way.
    pub stepping: bool,
}

impl Engine {
    /// An engine that has just started.
    pub fn new(config: Targets) -> Engine {
        Engine {
            config,
            running: Vec::new(),
            queue: VecDeque::new(),
            cached_prefixes: Vec::new(),
            started: Vec::new(),
            stepping: false,
        }
    }

    /// Takes a request; `false` if it is refused.
    pub fn offer(&mut self, sequence: Sequence) -> bool {
        let capacity = self.config.slots + self.config.queue;
        let takes = self.running.len() + self.queue.len() < capacity as usize;
        if takes {
            self.queue.push_back(sequence);
        }
        takes
    }

    /// Drops a request, and tells what it has put out.
    pub fn drop_attempt(&mut self, attempt: u64) -> Option<u32> {
        let generated = self.generated(attempt);
        self.running.retain(|it| it.attempt != attempt);
        self.queue.retain(|it| it.attempt != attempt);
        self.started.retain(|it| *it != attempt);
        generated
    }

    /// Tokens that a request has put out.
    pub fn generated(&self, attempt: u64) -> Option<u32> {
        let mut all = self.running.iter().chain(&self.queue);
        all.find(|it| it.attempt == attempt).map(|it| it.generated)
    }

    /// Requests that run, and that wait.
    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.queue.len() as u32)
    }

    /// All requests here.
    pub fn attempts(&self) -> impl Iterator<Item = u64> {
        self.running.iter().chain(&self.queue).map(|it| it.attempt)
    }

    /// Begins a step, and tells how long it takes; `None` if there is nothing to do.
    pub fn begin_step(&mut self) -> Option<u64> {
        self.admit();
        self.stepping = !self.running.is_empty();
        if !self.stepping {
            return None;
        }
        let prefilled_tokens = self.prefill();
        let Targets { step_ms, step_per_request_ms, prompt_tokens_per_ms, .. } = self.config;
        let running = self.running.len() as f64;
        let prefill_ms = f64::from(prefilled_tokens) / prompt_tokens_per_ms;
        let whole_ms = step_ms + step_per_request_ms * running + prefill_ms;
        Some((whole_ms * 1_000.0).ceil() as u64)
    }

    /// Ends a step, and tells which requests began or ended in it.
    pub fn end_step(&mut self) -> Vec<(u64, Progress)> {
        self.stepping = false;
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
        let mut left = self.config.chunk_tokens;
        for sequence in &mut self.running {
            let part = sequence.prefill_left.min(left);
            sequence.prefill_left -= part;
            left -= part;
        }
        self.config.chunk_tokens - left
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
