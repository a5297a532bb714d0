//! The prompts whose beginnings an engine still holds: whole blocks, oldest forgotten first.

use std::{
    collections::{BTreeMap, HashMap},
    hash::{DefaultHasher, Hash, Hasher},
};

/// Bytes of a block; only whole blocks are held.
pub const BLOCK_BYTES: usize = 256;

/// Blocks of prompts, each known by the hash of everything up to its end.
#[derive(Debug, Default)]
pub struct PrefixCache {
    last_use: HashMap<u64, u64>,
    by_age: BTreeMap<u64, u64>,
    uses: u64,
}

impl PrefixCache {
    /// Holds `prompt` from now on; returns how many of its first bytes were held already.
    pub fn hold(&mut self, prompt: &str, max_bytes: usize) -> usize {
        let mut hasher = DefaultHasher::new();
        let mut held = 0;
        let mut missed = false;
        for block in prompt.as_bytes().chunks_exact(BLOCK_BYTES) {
            block.hash(&mut hasher);
            missed |= !self.touch(hasher.finish());
            if !missed {
                held += BLOCK_BYTES;
            }
        }
        while self.by_age.len() * BLOCK_BYTES > max_bytes {
            let Some((_, oldest)) = self.by_age.pop_first() else { break };
            self.last_use.remove(&oldest);
        }
        held
    }

    /// Blocks held.
    pub fn len(&self) -> usize {
        self.by_age.len()
    }

    /// Whether nothing is held.
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
