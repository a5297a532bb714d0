//! Splits bytes that arrive in pieces at a separator.
//!
//! Each byte is searched once. If the whole buffer were searched after each piece, a part that does not end would cost the
//! square of its length, and nothing else would run meanwhile.

/// Bytes that have arrived and are not used yet.
#[derive(Debug)]
pub struct Splitter {
    separator: &'static [u8],
    buffer: Vec<u8>,
    /// Start of the next part.
    start: usize,
    /// Bytes that have been searched for the separator.
    searched: usize,
}

impl Splitter {
    /// Splitter at a separator of at least one byte, without bytes.
    pub fn new(separator: &'static [u8]) -> Splitter {
        Splitter { separator, buffer: Vec::new(), start: 0, searched: 0 }
    }

    /// Adds the next bytes.
    pub fn push(&mut self, data: &[u8]) {
        self.buffer.drain(..self.start);
        self.searched -= self.start;
        self.start = 0;
        self.buffer.extend_from_slice(data);
    }

    /// The next complete part, without its separator.
    pub fn next_part(&mut self) -> Option<&[u8]> {
        let length = self.separator.len();
        // A separator may begin with the last bytes that were searched.
        let from = self.searched.saturating_sub(length - 1).max(self.start);
        let found = self.buffer[from..].windows(length).position(|it| it == self.separator);
        let Some(found) = found else {
            self.searched = self.buffer.len();
            return None;
        };
        let (start, end) = (self.start, from + found);
        self.start = end + length;
        self.searched = self.start;
        Some(&self.buffer[start..end])
    }

    /// Bytes of the part that has not ended.
    pub fn unfinished_bytes(&self) -> usize {
        self.buffer.len() - self.start
    }
}
