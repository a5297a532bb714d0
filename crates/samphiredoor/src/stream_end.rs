//! Detects whether a streamed answer is complete.
//!
//! The stream of an engine is complete only if its last event, `data: [DONE]`, has arrived. An orderly end of the
//! framing is no proof: an engine that fails, or a proxy in front of it, may end the framing correctly in the middle of
//! an answer.

use std::sync::{Arc, OnceLock};

use samphiredoor_core::verdict::Verdict;

const DONE: &[u8] = b"data: [DONE]";
/// Most bytes of line ends after the last event: that of its line and an empty line.
const MAX_LINE_ENDS: usize = 4;
/// Largest line of an engine's stream. An event is one line of JSON with a few tokens, or with their log probabilities.
const MAX_LINE_BYTES: usize = 1024 * 1024;

/// Detects the last event of a stream, also if it is split over several pieces.
#[derive(Debug, Default)]
pub struct DoneDetector {
    /// Start of the current line, at most one byte longer than [`DONE`]; that is enough to distinguish them.
    line: Vec<u8>,
    line_bytes: usize,
    seen: bool,
    /// Bytes of line ends since the last event.
    line_ends: usize,
}

impl DoneDetector {
    /// Scans the next piece; returns how many of its bytes belong to the answer. Bytes after the last event belong to no
    /// answer.
    pub fn push(&mut self, piece: &[u8]) -> usize {
        for (index, byte) in piece.iter().enumerate() {
            let is_line_end = matches!(byte, b'\n' | b'\r');
            if self.seen && (!is_line_end || self.line_ends == MAX_LINE_ENDS) {
                return index;
            }
            match is_line_end {
                true => self.end_line(),
                false => self.push_to_line(*byte),
            }
        }
        piece.len()
    }

    /// Whether the last event has arrived.
    pub fn is_seen(&self) -> bool {
        self.seen || self.line == DONE
    }

    /// Whether the current line is larger than any event.
    pub fn is_line_too_large(&self) -> bool {
        self.line_bytes > MAX_LINE_BYTES
    }

    fn push_to_line(&mut self, byte: u8) {
        self.line_bytes += 1;
        if self.line.len() <= DONE.len() {
            self.line.push(byte);
        }
    }

    fn end_line(&mut self) {
        self.seen |= self.line == DONE;
        self.line_ends += usize::from(self.seen);
        self.line.clear();
        self.line_bytes = 0;
    }
}

/// Shared verdict on a stream, set by the code that forwards it. It is unset while the stream runs, and stays unset if
/// the caller disconnects.
#[derive(Debug, Clone, Default)]
pub struct StreamEnd(Arc<OnceLock<Verdict>>);

impl StreamEnd {
    /// Records the verdict; later calls have no effect.
    pub fn set(&self, verdict: Verdict) {
        let _ = self.0.set(verdict);
    }

    /// The verdict, once the stream has ended.
    pub fn get(&self) -> Option<Verdict> {
        self.0.get().copied()
    }
}
