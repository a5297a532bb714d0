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

use super::codec::JobOwner;
use crate::Name;

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
    /// Software version that wrote the item's text; `None` in parts of builds that did not know it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Name>,
}

/// Saved output of an unfinished item.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PartialOutput {
    /// Number of the last saved event.
    pub last: u64,
    /// Data of all events up to the last, separated by line feeds.
    pub text: String,
    /// Software version that wrote it, if that is known.
    pub version: Option<Name>,
    /// Process that saved the last part, if that is known.
    pub writer: Option<JobOwner>,
}

/// Partial outputs that were read from a log, by item.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct PartialOutputs {
    by_item: BTreeMap<u32, PartialOutput>,
    /// Number of parts that were ignored.
    ignored: u32,
}

impl PartialOutputs {
    /// Adds a part that continues the known output. A first part that reaches further replaces it, or one of another version:
    /// the item was begun anew. Others are ignored.
    pub fn add(&mut self, part: &OutputPart, writer: Option<&JobOwner>) {
        let first = || PartialOutput {
            last: part.last,
            text: part.text.clone(),
            version: part.version.clone(),
            writer: writer.cloned(),
        };
        match (self.by_item.get_mut(&part.item), part.after) {
            (Some(known), Some(after)) if known.last == after && known.version == part.version => {
                known.text.push_str(&part.text);
                known.last = part.last;
                known.writer = writer.cloned();
            }
            (Some(known), None) if known.last < part.last || known.version != part.version => {
                *known = first();
            }
            (None, None) => _ = self.by_item.insert(part.item, first()),
            _ => self.ignored += 1,
        }
    }

    /// Number of parts that continue no output.
    pub fn ignored(&self) -> u32 {
        self.ignored
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
