//! Encoding and decoding of the ledger's stored objects.
//!
//! An object that cannot be read (corrupt, above the store's size limit, or in a format that this version does not
//! support) is rejected with the reason and never overwritten, so that a later version or an operator can still read
//! it. Bodies are kept as the original JSON text: they are opaque to the ledger, and text takes a fraction of the
//! memory of a parsed value.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use samphiredoor_schema::objects::{ItemOutcome, ItemResult, JobHeader, JobState};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::store::{Labels, Value};

/// Format version of the stored objects that this version writes.
pub const FORMAT: u32 = 1;
/// Maximum size of an object that is read.
pub const MAX_OBJECT_BYTES: usize = 1_000_000;
/// Value of the `owner` label of a job without an owner.
pub const FREE_OWNER: &str = "free";

/// Why a stored object cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Unreadable {
    /// The content does not match the object's kind.
    Corrupt,
    /// The object is larger than any that is written.
    Oversized,
    /// The format is older than this version supports.
    Older,
    /// The format is newer than this version supports.
    Newer,
}

impl Unreadable {
    /// All reasons, to initialise their counters at zero.
    pub const ALL: [Unreadable; 4] =
        [Unreadable::Corrupt, Unreadable::Oversized, Unreadable::Older, Unreadable::Newer];

    /// Label of the reason in logs and metrics.
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

/// Decodes a job's header.
///
/// # Errors
///
/// The reason that the header cannot be read; counts that contradict each other are corrupt.
pub fn read_header(value: &[u8]) -> Result<JobHeader, Unreadable> {
    let header: JobHeader = read(value)?;
    let is_consistent = header.done_chunks <= header.chunks && header.chunks <= header.items;
    if is_consistent { Ok(header) } else { Err(Unreadable::Corrupt) }
}

/// Results of one chunk, decoded to be returned to a caller.
#[derive(Debug)]
#[derive(Deserialize)]
pub struct ReadResults {
    /// Number of items in the chunk.
    #[serde(default)]
    pub items: u32,
    /// Results by the item's index within the chunk.
    #[serde(default)]
    pub results: BTreeMap<u32, ItemResult>,
}

/// Decodes the results of one chunk.
///
/// # Errors
///
/// The reason that the results cannot be read.
pub fn read_results(value: &[u8]) -> Result<ReadResults, Unreadable> {
    read(value)
}

/// Encodes a header.
pub(super) fn header_value(header: &JobHeader) -> Value {
    serde_json::to_vec(header).unwrap_or_default().into()
}

/// Labels by which headers are listed.
pub(super) fn header_labels(header: &JobHeader) -> Labels {
    let owner = match header.owner.process.as_str() {
        "" => FREE_OWNER,
        process => process,
    };
    let state = state_label(header.state);
    let pairs = [("owner", owner), ("state", state), ("workspace", header.workspace.as_str())];
    pairs.into_iter().map(|(key, value)| (key.to_owned(), value.to_owned())).collect()
}

/// Value of the `state` label of a header.
pub fn state_label(state: JobState) -> &'static str {
    match state {
        JobState::Running => "running",
        JobState::Cancelling => "cancelling",
        JobState::Cancelled => "cancelled",
        JobState::Finished => "finished",
    }
}

/// One item of a chunk, with its body kept as JSON text.
#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct StoredItem {
    pub(super) custom_id: String,
    pub(super) url: String,
    pub(super) body: Box<RawValue>,
}

/// Decodes the items of a chunk.
pub(super) fn read_items(value: &[u8]) -> Result<Vec<StoredItem>, Unreadable> {
    #[derive(Deserialize)]
    struct Items {
        items: Vec<StoredItem>,
    }
    let chunk: Items = read(value)?;
    Ok(chunk.items)
}

/// A result as JSON text, with its outcome.
#[derive(Debug, Clone)]
pub(super) struct EncodedResult {
    pub(super) outcome: ItemOutcome,
    text: Box<RawValue>,
}

impl EncodedResult {
    /// Encodes a result.
    pub(super) fn new(result: &ItemResult) -> Option<EncodedResult> {
        let text = serde_json::value::to_raw_value(result).ok()?;
        Some(EncodedResult { outcome: result.outcome, text })
    }

    /// Bytes that the result takes in a results object, including its key.
    pub(super) fn len_bytes(&self) -> usize {
        self.text.get().len() + RESULT_KEY_BYTES
    }
}

/// Upper bound for a result's key and separators in JSON.
const RESULT_KEY_BYTES: usize = 16;

/// A decoded results object, with each result kept as JSON text.
#[derive(Debug)]
pub(super) struct StoredResults {
    pub(super) epoch: u64,
    pub(super) items: u32,
    pub(super) intents: BTreeSet<u32>,
    pub(super) results: BTreeMap<u32, EncodedResult>,
}

/// Decodes a results object for the job's owner.
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
        results.insert(index, EncodedResult { outcome, text });
    }
    Ok(StoredResults { epoch: read.epoch, items: read.items, intents: read.intents, results })
}

/// Encodes a results object.
pub(super) fn results_value<'a>(
    epoch: u64,
    writer: &str,
    items: u32,
    intents: &BTreeSet<u32>,
    results: impl Iterator<Item = (&'a u32, &'a EncodedResult)>,
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
