//! What items have put out before they are done, as the log keeps it.
//!
//! A process that is killed takes with it what its runs have put out, and on a full fleet a hundred items are half done.
//! So the log's segments carry, beside results, the events that came since the segment before. Whoever takes the job
//! reads the log anyway, and its runs go on after the last event that stands there. Nothing depends on it: an output that
//! is missing or does not fit to what stands costs a run from the beginning.
//!
//! Gain: where all targets are full and all gateways are killed at once, a tenth of the work need not be done again.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Bytes of outputs in one segment, beside its results.
pub(super) const OUTPUT_BYTES: usize = 250_000;

/// Events of an item that came after those of an earlier part.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OutputPart {
    /// Item by its place in the submission.
    pub item: u32,
    /// Number of the last event of the part before; `None` for the first part.
    pub after: Option<u64>,
    /// Number of the last event of this part.
    pub last: u64,
    /// Bytes that these events add to the item's text.
    pub text: String,
}

/// Output of an item as far as it is kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartialOutput {
    /// Number of the last event.
    pub last: u64,
    /// Data of the events so far, separated by line feeds.
    pub text: String,
}

/// Outputs that were read from a log.
#[derive(Debug, Default)]
pub(super) struct KeptOutputs {
    by_item: BTreeMap<u32, PartialOutput>,
}

impl KeptOutputs {
    /// Adds a part that goes on where the known output ends; any other is of no use.
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

    /// Forgets an item whose result stands.
    pub fn remove(&mut self, item: u32) {
        self.by_item.remove(&item);
    }

    /// Takes all outputs.
    pub fn take(&mut self) -> BTreeMap<u32, PartialOutput> {
        std::mem::take(&mut self.by_item)
    }
}
