//! Whether a streamed answer is whole.
//!
//! An engine's stream is whole only when its last event, `data: [DONE]`, has been seen. A clean end of the framing
//! proves nothing: an engine that fails, or a proxy in front of it, may end the framing in order in mid-answer.

use std::sync::{Arc, OnceLock};

use samphiredoor_core::verdict::Verdict;

const DONE: &[u8] = b"data: [DONE]";

/// Looks for the last event in the pieces of a stream, wherever they are cut.
#[derive(Debug, Default)]
pub struct DoneDetector {
    /// Beginning of the line in hand, no longer than the mark and one more.
    line: Vec<u8>,
    seen: bool,
}

impl DoneDetector {
    /// Reads the next piece.
    pub fn push(&mut self, piece: &[u8]) {
        for byte in piece {
            match byte {
                b'\n' | b'\r' => self.end_line(),
                _ if self.line.len() <= DONE.len() => self.line.push(*byte),
                _ => {}
            }
        }
    }

    /// Whether the last event was seen.
    pub fn is_seen(&self) -> bool {
        self.seen || self.line == DONE
    }

    fn end_line(&mut self) {
        self.seen |= self.line == DONE;
        self.line.clear();
    }
}

/// How a stream ended, told by the one who passes it on; unset while it runs and if its caller went away.
#[derive(Debug, Clone, Default)]
pub struct StreamEnd(Arc<OnceLock<Verdict>>);

impl StreamEnd {
    /// Says how the stream ended.
    pub fn set(&self, verdict: Verdict) {
        let _ = self.0.set(verdict);
    }

    /// How the stream ended.
    pub fn get(&self) -> Option<Verdict> {
        self.0.get().copied()
    }
}
