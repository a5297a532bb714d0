//! What was lately in whole answers to this process, and is therefore not what crashes targets.

use std::collections::HashSet;

/// Most entries of one generation.
const MAX_ENTRIES: usize = 4_096;
/// Time after which a generation is dropped, if another one follows it. Content may begin to crash targets, as with another
/// version of their software.
const GENERATION_MS: u64 = 30_000;

/// Bounded set of hashes, in two generations of which the older one is dropped as a whole. Without answers, as while no
/// target is left, nothing is dropped.
#[derive(Debug, Default)]
pub struct AnsweredKeys {
    newer: HashSet<u64>,
    older: HashSet<u64>,
    began_ms: u64,
}

impl AnsweredKeys {
    /// Adds the hash of something that was in a whole answer.
    pub fn insert(&mut self, now_ms: u64, key: u64) {
        if self.newer.len() >= MAX_ENTRIES || now_ms >= self.began_ms + GENERATION_MS {
            self.older = std::mem::take(&mut self.newer);
            self.began_ms = now_ms;
        }
        self.newer.insert(key);
    }

    /// Whether it was in a whole answer lately.
    pub fn contains(&self, key: u64) -> bool {
        self.newer.contains(&key) || self.older.contains(&key)
    }
}
