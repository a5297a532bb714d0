//! Bytes of a body that is read whole.
//!
//! A single buffer that grows moves to ever larger places, and is up to twice as large as its content. With many bodies
//! at once that is several times what was counted for them. Segments take what they hold, and the places of those that are
//! dropped are used by others.

use bytes::{Bytes, BytesMut};

/// Size of a segment; smaller than what the allocator maps by itself.
const SEGMENT_BYTES: usize = 64 * 1024;

/// Content that arrives in pieces.
#[derive(Debug)]
pub struct Segments {
    full: Vec<BytesMut>,
    last: BytesMut,
    /// Size of the last segment at which the next one begins.
    segment_bytes: usize,
    len_bytes: usize,
}

impl Segments {
    /// Empty content, of which `expected` bytes are announced.
    pub fn new(expected: usize) -> Segments {
        let segment_bytes = expected.max(SEGMENT_BYTES);
        let last = BytesMut::with_capacity(expected);
        Segments { full: Vec::new(), last, segment_bytes, len_bytes: 0 }
    }

    /// Number of bytes.
    pub fn len_bytes(&self) -> usize {
        self.len_bytes
    }

    /// Adds a piece.
    pub fn push(&mut self, mut piece: Bytes) {
        self.len_bytes += piece.len();
        while !piece.is_empty() {
            if self.last.len() == self.segment_bytes {
                self.segment_bytes = SEGMENT_BYTES;
                let next = BytesMut::with_capacity(SEGMENT_BYTES);
                self.full.push(std::mem::replace(&mut self.last, next));
            }
            let fitting = piece.len().min(self.segment_bytes - self.last.len());
            self.last.extend_from_slice(&piece.split_to(fitting));
        }
    }

    /// The whole content.
    pub fn into_bytes(self) -> Bytes {
        if self.full.is_empty() {
            return self.last.freeze();
        }
        let mut whole = BytesMut::with_capacity(self.len_bytes);
        for segment in self.full.into_iter().chain([self.last]) {
            whole.extend_from_slice(&segment);
        }
        whole.freeze()
    }
}
