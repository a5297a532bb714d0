//! JSON encoding and decoding of the stored objects of ordered jobs.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{
    failures::ItemFailure,
    job::{ItemResult, Outcome},
    outputs::OutputPart,
};
use crate::{
    ledger::Unreadable,
    store::{Stored, Value},
};

/// Maximum bytes of a submission in one part. A stored object holds a megabyte, and JSON escapes take some of it.
pub const PART_BYTES: usize = 600_000;
/// Version of the layout of all stored objects of a job.
const FORMAT: u32 = 1;

/// Process that runs a job's items.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct JobOwner {
    /// Name of the process.
    pub process: String,
    /// Number that distinguishes restarts of the process.
    pub incarnation: u64,
}

/// Stored header of a job: everything beside its items and results.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct JobHeader {
    /// Version of the object's layout.
    pub format: u32,
    /// Host of the submission, under which its items are sent.
    pub host: String,
    /// Path of the submission; its route is looked up again for each run of an item.
    pub path: String,
    /// Workspace of the submission, under which its items are sent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<String>,
    /// Number of items.
    pub items: u32,
    /// Number of parts of the submission.
    pub parts: u32,
    /// Digest of the submission.
    pub digest: String,
    /// Version of the routes under which the job was accepted; a process with only older ones cannot determine its route.
    #[serde(default)]
    pub routes_version: u64,
    /// Number of failures at targets after which an item fails permanently.
    pub attempts: u32,
    /// Wall-clock time of acceptance, in milliseconds since 1970.
    pub accepted_unix_ms: u64,
    /// Wall-clock time at which all results are due.
    pub due_unix_ms: u64,
    /// Wall-clock time from which unfinished items may be given up.
    pub give_up_unix_ms: u64,
    /// Process that runs its items; only a hint, the log stays correct with several.
    pub owner: JobOwner,
    /// Whether no work is left: all results are in the log, or the job was cancelled or never accepted. No process takes
    /// it over then.
    pub finished: bool,
    /// Last owner that lost the job without handing it over; it may append results as long as it runs.
    #[serde(default)]
    pub former: Option<JobOwner>,
    /// Owners that lost the job before `former`; any of them may append results as long as it runs.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub earlier_formers: Vec<JobOwner>,
}

impl JobHeader {
    /// Layout version that this build writes.
    pub const FORMAT: u32 = FORMAT;

    /// Header after a takeover by another process. An owner that has not handed the job over becomes a former one.
    pub fn taken_over_by(&self, owner: JobOwner) -> JobHeader {
        let mut formers: Vec<JobOwner> = self.formers().cloned().collect();
        let handed_over = self.owner.process.is_empty();
        if !handed_over && !formers.contains(&self.owner) {
            formers.push(self.owner.clone());
        }
        JobHeader { owner, former: formers.pop(), earlier_formers: formers, ..self.clone() }
    }

    /// Owners that lost the job without handing it over.
    pub fn formers(&self) -> impl Iterator<Item = &JobOwner> {
        self.earlier_formers.iter().chain(&self.former)
    }

    /// Encodes the header as a stored value.
    pub fn value(&self) -> Value {
        to_value(self)
    }
}

fn to_value<T: Serialize>(content: &T) -> Value {
    // Structs of plain strings and numbers; serialising them to JSON cannot fail.
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

/// Decodes a job's header.
///
/// # Errors
///
/// Fails if the value is corrupt or of another layout version.
pub fn read_header(stored: &Stored) -> Result<JobHeader, Unreadable> {
    read(&stored.value)
}

#[derive(Serialize, Deserialize)]
struct Part {
    format: u32,
    text: String,
}

/// Splits the text of a submission into encoded parts that fit into stored objects.
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

/// Decodes the text of one part.
///
/// # Errors
///
/// Fails if the value is corrupt or of another layout version.
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
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    failures: Vec<ItemFailure>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    writer: Option<JobOwner>,
}

/// Content of one segment of a job's log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Segment {
    /// Results, in the order of their positions.
    pub results: Vec<ItemResult>,
    /// Partial outputs of items that were still running.
    pub outputs: Vec<OutputPart>,
    /// Failures of items at targets since the segment before of the same writer.
    pub failures: Vec<ItemFailure>,
    /// Process that wrote it; `None` in segments of builds that did not name it.
    pub writer: Option<JobOwner>,
}

/// Encodes a segment as a stored value.
pub(super) fn segment_value(segment: &Segment) -> Value {
    let results = segment.results.iter().map(|it| SegmentItem {
        item: it.item,
        id: Arc::clone(&it.id),
        completed: it.outcome == Outcome::Completed,
        text: Arc::clone(&it.text),
    });
    to_value(&StoredSegment {
        format: FORMAT,
        results: results.collect(),
        outputs: segment.outputs.clone(),
        failures: segment.failures.clone(),
        writer: segment.writer.clone(),
    })
}

/// Decodes a segment.
///
/// # Errors
///
/// Fails if the value is corrupt or of another layout version.
pub fn read_segment(stored: &Stored) -> Result<Segment, Unreadable> {
    let segment: StoredSegment = read(&stored.value)?;
    let results = segment.results.into_iter().map(|it| ItemResult {
        item: it.item,
        id: it.id,
        outcome: if it.completed { Outcome::Completed } else { Outcome::Failed },
        text: it.text,
    });
    Ok(Segment {
        results: results.collect(),
        outputs: segment.outputs,
        failures: segment.failures,
        writer: segment.writer,
    })
}
