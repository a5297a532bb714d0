//! Failures of items at targets, as saved in the result log.
//!
//! An item fails for good after a number of failures, whichever owner of its job saw them. A count in the owner's memory
//! would start anew with each takeover, and an item that always fails would be sent without a bound while owners come
//! and go. Therefore each failure is appended to the log, and the item is not sent again before that is acknowledged.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Failures that one segment holds at most; each takes about a hundred bytes.
const SEGMENT_FAILURES: usize = 1_000;

/// A run of an item that failed at its target.
///
/// Two of them are equal only if they are the same, so that a segment read back shows which of them it holds.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ItemFailure {
    /// Index of the item in the submission.
    pub item: u32,
    /// Process that ran the item.
    pub process: String,
    /// Incarnation of that process.
    pub incarnation: u64,
    /// Random number that distinguishes it from other failures of the item at this process. A count would not: a process
    /// that takes a job over again does not know of its own writes that are yet to take effect.
    pub number: u32,
}

/// The failures of a job's items, as known to one writer of its log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct Failures {
    /// Number of failures in the log, by item.
    committed: BTreeMap<u32, u32>,
    /// Failures that are yet to be appended.
    pending: Vec<ItemFailure>,
}

impl Failures {
    /// Adds a failure to append.
    pub fn push(&mut self, failure: ItemFailure) {
        self.pending.push(failure);
    }

    /// Number of failures of an item, in the log or not.
    pub fn count(&self, item: u32) -> u32 {
        let pending = self.pending.iter().filter(|it| it.item == item).count();
        self.committed.get(&item).copied().unwrap_or_default() + pending as u32
    }

    /// Whether a failure of an item is yet to be appended.
    pub fn is_pending(&self, item: u32) -> bool {
        self.pending.iter().any(|it| it.item == item)
    }

    /// Whether no failure is yet to be appended.
    pub fn is_flushed(&self) -> bool {
        self.pending.is_empty()
    }

    /// Failures for the next segment.
    pub fn next_segment(&self) -> Vec<ItemFailure> {
        self.pending.iter().take(SEGMENT_FAILURES).cloned().collect()
    }

    /// Adds those of a stored segment.
    pub fn commit(&mut self, stored: &[ItemFailure]) {
        for failure in stored {
            *self.committed.entry(failure.item).or_default() += 1;
        }
        self.pending.retain(|it| !stored.contains(it));
    }

    /// Drops what is yet to be appended for an item that has a committed result.
    pub fn remove_pending(&mut self, item: u32) {
        self.pending.retain(|it| it.item != item);
    }
}
