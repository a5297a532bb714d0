//! Reading and writing the ledger's stored objects.
//!
//! An object that cannot be read (corrupt, above the store's limit, or of a layout this version does not know) is
//! refused with its fault and never overwritten, so that a later version or an operator can still read it. Bodies are
//! kept as the text they came in: they are opaque to the ledger, and text takes a fraction of a parsed value's memory.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use samphiredoor_schema::objects::{ItemOutcome, ItemResult, JobHeader, JobState};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::store::{Labels, Value};

/// Layout of the stored objects that this version writes.
pub const FORMAT: u32 = 1;
/// Largest object that is read.
pub const MAX_OBJECT_BYTES: usize = 1_000_000;
/// Label of the owner where a job is free to be taken.
pub const FREE_OWNER: &str = "free";

/// Why a stored object cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Unreadable {
    /// It is not what its kind should be.
    Corrupt,
    /// It is larger than any object that is written.
    Oversized,
    /// Its layout is older than this version knows.
    Older,
    /// Its layout is newer than this version knows.
    Newer,
}

impl Unreadable {
    /// All faults, for counters that stand at zero.
    pub const ALL: [Unreadable; 4] =
        [Unreadable::Corrupt, Unreadable::Oversized, Unreadable::Older, Unreadable::Newer];

    /// Label of the fault in logs and counters.
    pub fn label(self) -> &'static str {
        match self {
            Unreadable::Corrupt => "corrupt",
            Unreadable::Oversized => "oversized",
            Unreadable::Older => "older_format",
            Unreadable::Newer => "newer_format",
        }
    }
}

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

#[derive(Deserialize)]
struct Format {
    #[serde(default = "first_format")]
    format: u32,
}

fn first_format() -> u32 {
    1
}

fn read<'a, T: Deserialize<'a>>(value: &'a [u8]) -> Result<T, Unreadable> {
    if value.len() > MAX_OBJECT_BYTES {
        return Err(Unreadable::Oversized);
    }
    let Format { format } = serde_json::from_slice(value).map_err(|_| Unreadable::Corrupt)?;
    match format {
        FORMAT => serde_json::from_slice(value).map_err(|_| Unreadable::Corrupt),
        older if older < FORMAT => Err(Unreadable::Older),
        _ => Err(Unreadable::Newer),
    }
}

/// Reads a job's header.
///
/// # Errors
///
/// Why it cannot be read.
pub fn read_header(value: &[u8]) -> Result<JobHeader, Unreadable> {
    let header: JobHeader = read(value)?;
    let sane = header.done_chunks <= header.chunks && header.chunks <= header.items;
    if sane { Ok(header) } else { Err(Unreadable::Corrupt) }
}

/// One chunk's results, for a caller.
#[derive(Debug)]
#[derive(Deserialize)]
pub struct ReadResults {
    /// Items of the chunk.
    #[serde(default)]
    pub items: u32,
    /// Results by item.
    #[serde(default)]
    pub results: BTreeMap<u32, ItemResult>,
}

/// Reads one chunk's results.
///
/// # Errors
///
/// Why they cannot be read.
pub fn read_results(value: &[u8]) -> Result<ReadResults, Unreadable> {
    read(value)
}

/// Text of a header.
pub(super) fn header_value(header: &JobHeader) -> Value {
    serde_json::to_vec(header).unwrap_or_default().into()
}

/// Labels by which headers are found.
pub(super) fn header_labels(header: &JobHeader) -> Labels {
    let owner = match header.owner.process.as_str() {
        "" => FREE_OWNER,
        process => process,
    };
    let state = state_label(header.state);
    let pairs = [("owner", owner), ("state", state), ("workspace", header.workspace.as_str())];
    pairs.into_iter().map(|(key, value)| (key.to_owned(), value.to_owned())).collect()
}

/// Label of a job's state.
pub(super) fn state_label(state: JobState) -> &'static str {
    match state {
        JobState::Running => "running",
        JobState::Cancelling => "cancelling",
        JobState::Cancelled => "cancelled",
        JobState::Finished => "finished",
    }
}

/// One item of a chunk as its owner keeps it.
#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct StoredItem {
    pub(super) custom_id: String,
    pub(super) url: String,
    pub(super) body: Box<RawValue>,
}

/// Reads the items of a chunk.
pub(super) fn read_items(value: &[u8]) -> Result<Vec<StoredItem>, Unreadable> {
    #[derive(Deserialize)]
    struct Items {
        items: Vec<StoredItem>,
    }
    let chunk: Items = read(value)?;
    Ok(chunk.items)
}

/// A result as text, with what the ledger needs to know of it.
#[derive(Debug, Clone)]
pub(super) struct Recorded {
    pub(super) outcome: ItemOutcome,
    text: Box<RawValue>,
}

impl Recorded {
    /// Text of a result.
    pub(super) fn new(result: &ItemResult) -> Option<Recorded> {
        let text = serde_json::value::to_raw_value(result).ok()?;
        Some(Recorded { outcome: result.outcome, text })
    }

    /// Bytes that it takes in a results object.
    pub(super) fn len_bytes(&self) -> usize {
        self.text.get().len() + RESULT_KEY_BYTES
    }
}

const RESULT_KEY_BYTES: usize = 16;

/// A chunk's results as they stand.
#[derive(Debug)]
pub(super) struct StoredResults {
    pub(super) epoch: u64,
    pub(super) items: u32,
    pub(super) intents: BTreeSet<u32>,
    pub(super) results: BTreeMap<u32, Recorded>,
}

/// Reads a chunk's results for their owner.
pub(super) fn read_stored_results(value: &[u8]) -> Result<StoredResults, Unreadable> {
    #[derive(Deserialize)]
    struct Results {
        epoch: u64,
        #[serde(default)]
        items: u32,
        #[serde(default)]
        intents: BTreeSet<u32>,
        #[serde(default)]
        results: BTreeMap<u32, Box<RawValue>>,
    }
    #[derive(Deserialize)]
    struct Outcome {
        outcome: ItemOutcome,
    }
    let read: Results = read(value)?;
    let mut results = BTreeMap::new();
    for (index, text) in read.results {
        let Outcome { outcome } =
            serde_json::from_str(text.get()).map_err(|_| Unreadable::Corrupt)?;
        results.insert(index, Recorded { outcome, text });
    }
    Ok(StoredResults { epoch: read.epoch, items: read.items, intents: read.intents, results })
}

/// Text of a results object.
pub(super) fn results_value<'a>(
    epoch: u64,
    writer: &str,
    items: u32,
    intents: &BTreeSet<u32>,
    results: impl Iterator<Item = (&'a u32, &'a Recorded)>,
) -> Value {
    #[derive(Serialize)]
    struct Results<'a> {
        format: u32,
        epoch: u64,
        writer: &'a str,
        items: u32,
        intents: &'a BTreeSet<u32>,
        results: BTreeMap<u32, &'a RawValue>,
    }
    let results = results.map(|(index, it)| (*index, &*it.text)).collect();
    let content = Results { format: FORMAT, epoch, writer, items, intents, results };
    serde_json::to_vec(&content).unwrap_or_default().into()
}
