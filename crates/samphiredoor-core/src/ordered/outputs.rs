//! Partial outputs of unfinished items, as saved in the result log.
//!
//! The output of a run is in memory only, and is lost when its process is killed; on a fully loaded fleet a hundred items
//! are half done at that time. Therefore the log's segments hold, beside results, the events received since the segment
//! before. A process that takes over the job reads the log anyway, and its runs resume after the last saved event.
//! Correctness does not depend on this: an output that is missing, or that does not continue the saved one, costs a run
//! from the beginning.
//!
//! When all targets are full and all gateways are killed at once, this saves a tenth of the work from being done again.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Maximum bytes of partial outputs in one segment, in addition to its results.
pub(super) const OUTPUT_BYTES: usize = 250_000;

/// Events of an item that follow those of an earlier part.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct OutputPart {
    /// Index of the item in the submission.
    pub item: u32,
    /// Number of the last event of the previous part; `None` for the first part.
    pub after: Option<u64>,
    /// Number of the last event of this part.
    pub last: u64,
    /// Bytes that these events add to the item's text.
    pub text: String,
}

/// Saved output of an unfinished item.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PartialOutput {
    /// Number of the last saved event.
    pub last: u64,
    /// Data of all events up to the last, separated by line feeds.
    pub text: String,
}

/// Partial outputs that were read from a log, by item.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct PartialOutputs {
    by_item: BTreeMap<u32, PartialOutput>,
}

impl PartialOutputs {
    /// Adds a part that continues the known output; a first part that reaches further replaces it, others are ignored.
    pub fn add(&mut self, part: &OutputPart) {
        let (item, last, text) = (part.item, part.last, &part.text);
        match (self.by_item.get_mut(&item), part.after) {
            (Some(known), Some(after)) if known.last == after => {
                known.text.push_str(text);
                known.last = last;
            }
            (Some(known), None) if known.last < last => {
                *known = PartialOutput { last, text: text.clone() };
            }
            (None, None) => {
                self.by_item.insert(item, PartialOutput { last, text: text.clone() });
            }
            _ => {}
        }
    }

    /// Drops the output of an item that has a committed result.
    pub fn remove(&mut self, item: u32) {
        self.by_item.remove(&item);
    }

    /// Takes all partial outputs.
    pub fn take(&mut self) -> BTreeMap<u32, PartialOutput> {
        std::mem::take(&mut self.by_item)
    }
}
