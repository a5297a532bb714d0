//! Partial outputs of unfinished items, as saved in the result log.
//!
//! The output of a run is in memory only, and is lost when its process is killed; on a fully loaded fleet a hundred items
//! are half done at that time. Therefore the log's segments hold, beside results, the events received since the segment
//! before. A process that takes over the job reads the log anyway, and its runs resume after the last saved event.
//! An output that is missing costs a run from the beginning.
//!
//! Several owners may append to the log, and one of them may begin an item anew. Their events have the same numbers, so a
//! number does not tell which text a part continues: each part names the part that stands before it.
//!
//! When all targets are full and all gateways are killed at once, this saves a tenth of the work from being done again.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::codec::JobOwner;
use crate::Name;

/// Maximum bytes of partial outputs in one segment, in addition to its results.
pub(super) const OUTPUT_BYTES: usize = 250_000;

/// Identifies a part among those of all writers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartId(#[serde(with = "hex")] u64);

impl PartId {
    /// Id made of a random number.
    pub fn new(random: u64) -> PartId {
        PartId(random)
    }
}

/// Hash of a service's name, from [`crate::names::name_hash`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceHash(#[serde(with = "hex")] pub u64);

/// Version and service that produced the text of an item.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct TextOrigin {
    /// Software version; `None` in parts of builds that did not know it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Name>,
    /// Service; `None` in parts of builds that did not save it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceHash>,
}

/// Events of an item that follow those of an earlier part.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct OutputPart {
    /// Index of the item in the submission.
    pub item: u32,
    /// Id of this part; `None` in parts of builds that joined them by the numbers of their events.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub id: Option<PartId>,
    /// Part that this one continues; `None` for the first part of a text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub follows: Option<PartId>,
    /// Number of the last event of the previous part; `None` for the first part.
    pub after: Option<u64>,
    /// Number of the last event of this part.
    pub last: u64,
    /// Bytes that these events add to the item's text.
    pub text: String,
    /// Whether the item's text is empty up to here although its events had data: the next data follows a line feed.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub has_empty_data: bool,
    /// What produced the text.
    #[serde(flatten)]
    pub origin: TextOrigin,
}

/// Saved output of an unfinished item.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PartialOutput {
    /// Last saved part, which the next one has to name.
    pub part: PartId,
    /// Number of the last saved event.
    pub last: u64,
    /// Data of all events up to the last, separated by line feeds.
    pub text: String,
    /// Whether these events had data, which may be empty.
    pub has_data: bool,
    /// What produced the text.
    pub origin: TextOrigin,
    /// Process that saved the last part, if that is known.
    pub writer: Option<JobOwner>,
}

/// A part that was read from a log.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct SavedPart {
    id: PartId,
    part: OutputPart,
    writer: Option<JobOwner>,
}

impl SavedPart {
    /// Whether a part goes on with the text that ends with this one.
    fn is_continued_by(&self, next: &OutputPart) -> bool {
        next.follows == Some(self.id)
            && next.after == Some(self.part.last)
            && next.origin == self.part.origin
    }
}

/// Parts of one item, in the order of the log. Each begins a text or continues a part before it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct ItemParts(Vec<SavedPart>);

impl ItemParts {
    fn fits(&self, part: &OutputPart) -> bool {
        match part.follows {
            None => part.after.is_none(),
            Some(_) => self.0.iter().any(|it| it.is_continued_by(part)),
        }
    }

    /// The longest text. If an item was begun anew at another version or service, texts of another origin are not considered.
    fn longest_text(self) -> Option<PartialOutput> {
        let latest_first = self.0.iter().rfind(|it| it.part.follows.is_none())?;
        let origin = latest_first.part.origin.clone();
        let of_origin = self.0.iter().filter(|it| it.part.origin == origin);
        let last = of_origin.rev().max_by_key(|it| it.part.last)?;
        let text = self.text_up_to(last);
        let output = PartialOutput {
            part: last.id,
            last: last.part.last,
            has_data: last.part.has_empty_data || !text.is_empty(),
            text,
            origin,
            writer: last.writer.clone(),
        };
        Some(output)
    }

    fn text_up_to(&self, last: &SavedPart) -> String {
        let before = |it: &&SavedPart| {
            let id = it.part.follows?;
            self.0.iter().find(|it| it.id == id)
        };
        let parts: Vec<&SavedPart> = std::iter::successors(Some(last), before).collect();
        parts.iter().rev().map(|it| &*it.part.text).collect()
    }
}

/// Partial outputs that were read from a log, by item.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct PartialOutputs {
    by_item: BTreeMap<u32, ItemParts>,
    /// Number of parts that were ignored.
    ignored: u32,
}

impl PartialOutputs {
    /// Adds a part that begins a text or continues a known part. Others are ignored.
    pub fn add(&mut self, part: &OutputPart, writer: Option<&JobOwner>) {
        let known = self.by_item.entry(part.item).or_default();
        match part.id.filter(|_| known.fits(part)) {
            Some(id) => {
                known.0.push(SavedPart { id, part: part.clone(), writer: writer.cloned() });
            }
            None => self.ignored += 1,
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
        let parts = std::mem::take(&mut self.by_item).into_iter();
        parts.filter_map(|(item, parts)| Some((item, parts.longest_text()?))).collect()
    }
}

/// 64-bit numbers as hexadecimal text: not every reader of JSON keeps numbers above 2^53 exactly.
mod hex {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub fn serialize<S: Serializer>(number: &u64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{number:016x}"))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
        u64::from_str_radix(&text, 16).map_err(D::Error::custom)
    }
}
