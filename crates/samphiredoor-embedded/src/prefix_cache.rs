//! Prefix cache of an engine: whole blocks of prompts, evicted in least-recently-used order.

use std::{
    collections::{BTreeMap, HashMap},
    hash::{DefaultHasher, Hash, Hasher},
};

/// Bytes of a block; only whole blocks are cached.
pub const BLOCK_BYTES: usize = 256;

/// Cached blocks of prompts, each identified by the hash of the prompt up to the end of the block.
#[derive(Debug, Default)]
pub struct PrefixCache {
    last_use: HashMap<u64, u64>,
    by_age: BTreeMap<u64, u64>,
    uses: u64,
}

impl PrefixCache {
    /// Caches the blocks of `prompt`; returns the length of its prefix that was already cached, in bytes.
    pub fn insert(&mut self, prompt: &str, max_bytes: usize) -> usize {
        let mut hasher = DefaultHasher::new();
        let mut cached_bytes = 0;
        let mut missed = false;
        for block in prompt.as_bytes().chunks_exact(BLOCK_BYTES) {
            block.hash(&mut hasher);
            missed |= !self.touch(hasher.finish());
            if !missed {
                cached_bytes += BLOCK_BYTES;
            }
        }
        while self.by_age.len() * BLOCK_BYTES > max_bytes {
            let Some((_, oldest)) = self.by_age.pop_first() else { break };
            self.last_use.remove(&oldest);
        }
        cached_bytes
    }

    /// Number of cached blocks.
    pub fn len(&self) -> usize {
        self.by_age.len()
    }

    /// Whether no block is cached.
    pub fn is_empty(&self) -> bool {
        self.by_age.is_empty()
    }

    fn touch(&mut self, block: u64) -> bool {
        self.uses += 1;
        let earlier = self.last_use.insert(block, self.uses);
        if let Some(earlier) = earlier {
            self.by_age.remove(&earlier);
        }
        self.by_age.insert(self.uses, block);
        earlier.is_some()
    }
}
