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
    pub beginning: u64,
    /// Tokens of that beginning.
    pub shared_tokens: u32,
    /// Tokens to read beside it: the rest of the prompt, and what was put out before.
    pub own_tokens: u32,
    /// Tokens that it has put out, those of attempts before among them.
    pub made: u32,
    /// Tokens after which it ends.
    pub output_tokens: u32,
    unread: u32,
}

impl Sequence {
    /// A request that has just arrived.
    pub fn new(
        attempt: u64,
        (beginning, shared_tokens): (u64, u32),
        own_tokens: u32,
        (made, output_tokens): (u32, u32),
    ) -> Sequence {
        let unread = 0;
        Sequence { attempt, beginning, shared_tokens, own_tokens, made, output_tokens, unread }
    }
}

/// What a step did for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// It put out the first token of this attempt.
    Begun,
    /// It put out its last token.
    Ended,
}

/// State of a target's process.
#[derive(Debug)]
pub struct Engine {
    config: Targets,
    running: Vec<Sequence>,
    queue: VecDeque<Sequence>,
    /// Beginnings that are kept, the latest used last.
    kept: Vec<u64>,
    /// Requests that have put out a token in this attempt.
    begun: Vec<u64>,
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
            kept: Vec::new(),
            begun: Vec::new(),
            stepping: false,
        }
    }

    /// Takes a request; `false` if it is refused.
    pub fn offer(&mut self, sequence: Sequence) -> bool {
        let room = self.config.slots + self.config.queue;
        let takes = self.running.len() + self.queue.len() < room as usize;
        if takes {
            self.queue.push_back(sequence);
        }
        takes
    }

    /// Drops a request, and tells what it has put out.
    pub fn drop_attempt(&mut self, attempt: u64) -> Option<u32> {
        let made = self.made(attempt);
        self.running.retain(|it| it.attempt != attempt);
        self.queue.retain(|it| it.attempt != attempt);
        self.begun.retain(|it| *it != attempt);
        made
    }

    /// Tokens that a request has put out.
    pub fn made(&self, attempt: u64) -> Option<u32> {
        let mut all = self.running.iter().chain(&self.queue);
        all.find(|it| it.attempt == attempt).map(|it| it.made)
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
        let read = self.read_prompts();
        let Targets { step_ms, step_per_request_ms, prompt_tokens_per_ms, .. } = self.config;
        let running = self.running.len() as f64;
        let reading_ms = f64::from(read) / prompt_tokens_per_ms;
        let whole_ms = step_ms + step_per_request_ms * running + reading_ms;
        Some((whole_ms * 1_000.0).ceil() as u64)
    }

    /// Ends a step, and tells which requests began or ended in it.
    pub fn end_step(&mut self) -> Vec<(u64, Progress)> {
        self.stepping = false;
        let mut progress = Vec::new();
        let mut read = Vec::new();
        for sequence in self.running.iter_mut().filter(|it| it.unread == 0) {
            sequence.made += 1;
            if !self.begun.contains(&sequence.attempt) {
                self.begun.push(sequence.attempt);
                read.push(sequence.beginning);
                progress.push((sequence.attempt, Progress::Begun));
            }
            if sequence.made >= sequence.output_tokens {
                progress.push((sequence.attempt, Progress::Ended));
            }
        }
        self.running.retain(|it| it.made < it.output_tokens);
        let running = &self.running;
        self.begun.retain(|it| running.iter().any(|running| running.attempt == *it));
        for beginning in read {
            self.keep(beginning);
        }
        progress
    }

    fn admit(&mut self) {
        while self.running.len() < self.config.slots as usize {
            let Some(mut sequence) = self.queue.pop_front() else { return };
            let is_kept = sequence.beginning == 0 || self.kept.contains(&sequence.beginning);
            sequence.unread = sequence.own_tokens;
            sequence.unread += if is_kept { 0 } else { sequence.shared_tokens };
            self.running.push(sequence);
        }
    }

    fn read_prompts(&mut self) -> u32 {
        let mut left = self.config.chunk_tokens;
        for sequence in &mut self.running {
            let part = sequence.unread.min(left);
            sequence.unread -= part;
            left -= part;
        }
        self.config.chunk_tokens - left
    }

    fn keep(&mut self, beginning: u64) {
        if beginning == 0 {
            return;
        }
        self.kept.retain(|it| *it != beginning);
        self.kept.push(beginning);
        let more = self.kept.len().saturating_sub(self.config.kept_beginnings);
        self.kept.drain(..more);
    }
}
