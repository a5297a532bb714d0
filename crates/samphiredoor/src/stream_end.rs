//! Detects whether a streamed answer is complete.
//!
//! The stream of an engine is complete only if its last event, `data: [DONE]`, has arrived. An orderly end of the
//! framing is no proof: an engine that fails, or a proxy in front of it, may end the framing correctly in the middle of
//! an answer.

use std::sync::{Arc, OnceLock};

use samphiredoor_core::verdict::Verdict;

const DONE: &[u8] = b"data: [DONE]";

/// Detects the last event of a stream, also if it is split over several pieces.
#[derive(Debug, Default)]
pub struct DoneDetector {
    /// Start of the current line, at most one byte longer than [`DONE`]; that is enough to distinguish them.
    line: Vec<u8>,
    seen: bool,
}

impl DoneDetector {
    /// Scans the next piece.
    pub fn push(&mut self, piece: &[u8]) {
        for byte in piece {
            match byte {
                b'\n' | b'\r' => self.end_line(),
                _ if self.line.len() <= DONE.len() => self.line.push(*byte),
                _ => {}
            }
        }
    }

    /// Whether the last event has arrived.
    pub fn is_seen(&self) -> bool {
        self.seen || self.line == DONE
    }

    fn end_line(&mut self) {
        self.seen |= self.line == DONE;
        self.line.clear();
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
