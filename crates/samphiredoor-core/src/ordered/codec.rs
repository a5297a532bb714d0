//! Reading and writing the stored objects of ordered jobs.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{
    job::{ItemResult, Outcome},
    outputs::OutputPart,
};
use crate::{
    ledger::Unreadable,
    store::{Stored, Value},
};

/// Bytes of a submission in one part; an object holds a megabyte, and escapes within text take some of it.
pub const PART_BYTES: usize = 600_000;
const FORMAT: u32 = 1;

/// The process that works on a job.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct JobOwner {
    /// Name of the process.
    pub process: String,
    /// Which start of it.
    pub incarnation: u64,
}

/// What is kept of a job beside its items and results.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct JobHeader {
    /// Layout of the object.
    pub format: u32,
    /// Host that the submission named, which its items are sent under.
    pub host: String,
    /// Path of the submission; its route is looked up anew when an item runs.
    pub path: String,
    /// Number of items.
    pub items: u32,
    /// Number of parts of the submission.
    pub parts: u32,
    /// Digest of the submission.
    pub digest: String,
    /// Version of the routes under which it was accepted; a process that has only older ones cannot tell its route.
    #[serde(default)]
    pub routes_version: u64,
    /// Failures at targets after which an item is given up.
    pub attempts: u32,
    /// Wall-clock time of acceptance, in milliseconds since 1970.
    pub accepted_unix_ms: u64,
    /// When all results are due.
    pub due_unix_ms: u64,
    /// From when on items may be given up.
    pub give_up_unix_ms: u64,
    /// Who works on it; a hint.
    pub owner: JobOwner,
    /// Whether all items are listed, so that nobody needs to take the job.
    pub finished: bool,
    /// Last owner that lost the job without handing it over; as long as it lives it may still append.
    #[serde(default)]
    pub former: Option<JobOwner>,
}

impl JobHeader {
    /// Layout that this version writes.
    pub const FORMAT: u32 = FORMAT;

    /// Text of the header.
    pub fn value(&self) -> Value {
        to_value(self)
    }
}

fn to_value<T: Serialize>(content: &T) -> Value {
    // Plain structs of text and numbers: writing them as JSON cannot fail.
    serde_json::to_vec(content).unwrap_or_default().into()
}

fn read<'a, T: Deserialize<'a>>(value: &'a [u8]) -> Result<T, Unreadable> {
    #[derive(Deserialize)]
    struct Format {
        format: u32,
    }
    let Format { format } = serde_json::from_slice(value).map_err(|_| Unreadable::Corrupt)?;
    match format.cmp(&FORMAT) {
        std::cmp::Ordering::Equal => serde_json::from_slice(value).map_err(|_| Unreadable::Corrupt),
        std::cmp::Ordering::Less => Err(Unreadable::Older),
        std::cmp::Ordering::Greater => Err(Unreadable::Newer),
    }
}

/// Reads a job's header.
///
/// # Errors
///
/// Why it cannot be read.
pub fn read_header(stored: &Stored) -> Result<JobHeader, Unreadable> {
    read(&stored.value)
}

#[derive(Serialize, Deserialize)]
struct Part {
    format: u32,
    text: String,
}

/// Cuts the text of a submission into parts that fit into objects.
pub fn split_into_parts(text: &str) -> Vec<Value> {
    let mut parts = Vec::new();
    let mut rest = text;
    while !rest.is_empty() {
        let (part, after) = rest.split_at(rest.floor_char_boundary(PART_BYTES));
        parts.push(to_value(&Part { format: FORMAT, text: part.to_owned() }));
        rest = after;
    }
    parts
}

/// Reads the text of one part.
///
/// # Errors
///
/// Why it cannot be read.
pub fn read_part(stored: &Stored) -> Result<String, Unreadable> {
    read::<Part>(&stored.value).map(|it| it.text)
}

#[derive(Serialize, Deserialize)]
struct SegmentItem {
    item: u32,
    id: Arc<str>,
    completed: bool,
    text: Arc<str>,
}

#[derive(Serialize, Deserialize)]
struct StoredSegment {
    format: u32,
    results: Vec<SegmentItem>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    outputs: Vec<OutputPart>,
}

/// What one segment adds to a job.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Segment {
    /// Results, in the order of their positions.
    pub results: Vec<ItemResult>,
    /// What items have put out that still run.
    pub outputs: Vec<OutputPart>,
}

/// Text of a segment.
pub(super) fn segment_value(results: &[ItemResult], outputs: &[OutputPart]) -> Value {
    let results = results.iter().map(|it| SegmentItem {
        item: it.item,
        id: Arc::clone(&it.id),
        completed: it.outcome == Outcome::Completed,
        text: Arc::clone(&it.text),
    });
    let (results, outputs) = (results.collect(), outputs.to_vec());
    to_value(&StoredSegment { format: FORMAT, results, outputs })
}

/// Reads a segment.
///
/// # Errors
///
/// Why it cannot be read.
pub fn read_segment(stored: &Stored) -> Result<Segment, Unreadable> {
    let segment: StoredSegment = read(&stored.value)?;
    let results = segment.results.into_iter().map(|it| ItemResult {
        item: it.item,
        id: it.id,
        outcome: if it.completed { Outcome::Completed } else { Outcome::Failed },
        text: it.text,
    });
    Ok(Segment { results: results.collect(), outputs: segment.outputs })
}
