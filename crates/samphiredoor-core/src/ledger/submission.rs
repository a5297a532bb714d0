//! Parsing and acceptance of a submitted job.
//!
//! [`Submission`] parses JSON lines as they arrive and splits them into chunks, so that a large job is never held in
//! memory as a whole and never blocks the task for long. A submission with an invalid line is rejected as a whole
//! before acceptance, when no item has run; the caller can fix the line and send the job again under the same key.
//!
//! [`Acceptance`] writes the chunks under names unique to the upload, and then creates the header. Two processes that
//! receive the same job at the same time write different chunks; only one of them can create the header.

use std::{collections::HashSet, fmt, sync::Arc};

use samphiredoor_schema::objects::{Chunk, Item, JobHeader, JobOwner, JobState};
use serde::Deserialize;
use serde_json::value::RawValue;

use super::{
    codec::{FORMAT, header_labels, header_value, read_header},
    names::{JobId, chunk_key, header_key, job_id},
    run::OPENED_CHUNKS_STEP,
};
use crate::{
    Name,
    store::{Labels, StoreAnswer, StoreOp, Value, Version},
    time::Now,
};

/// Maximum number of items in a chunk.
pub const CHUNK_ITEMS: usize = 250;
/// Maximum total size of the lines of a chunk, in bytes.
pub const CHUNK_BYTES: usize = 400_000;
/// Maximum size of one line, in bytes.
pub const LINE_BYTES: usize = 256_000;
/// Maximum number of items in a job.
pub const JOB_ITEMS: u32 = 500_000;

/// A line of a submission that is not a valid item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadLine {
    /// Line number, from 1.
    pub line: u32,
    /// Description of the problem, where possible with a way to fix it.
    pub problem: String,
}

impl fmt::Display for BadLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.problem)
    }
}

impl std::error::Error for BadLine {}

#[derive(Deserialize)]
struct Line<'a> {
    custom_id: String,
    url: String,
    #[serde(borrow)]
    body: &'a RawValue,
}

#[derive(Deserialize)]
struct Model {
    model: Option<String>,
}

/// Incremental parser of a submission.
#[derive(Debug)]
pub struct Submission {
    partial: Vec<u8>,
    chunk: Vec<Item>,
    chunk_items: usize,
    chunk_bytes: usize,
    chunks: u32,
    items: u32,
    line: u32,
    ids: HashSet<u64>,
    service: Option<String>,
    digest: blake3::Hasher,
}

impl Default for Submission {
    fn default() -> Submission {
        Submission::new()
    }
}

impl Submission {
    /// Creates an empty submission.
    pub fn new() -> Submission {
        Submission {
            partial: Vec::new(),
            chunk: Vec::new(),
            chunk_items: CHUNK_ITEMS,
            chunk_bytes: 0,
            chunks: 0,
            items: 0,
            line: 0,
            ids: HashSet::new(),
            service: None,
            digest: blake3::Hasher::new(),
        }
    }

    /// Limits chunks to this many items, at most [`CHUNK_ITEMS`].
    pub fn with_chunk_items(mut self, chunk_items: usize) -> Submission {
        self.chunk_items = chunk_items.clamp(1, CHUNK_ITEMS);
        self
    }

    /// Parses more bytes and returns the chunks that are now complete, with their indexes.
    ///
    /// # Errors
    ///
    /// The first line that is not a valid item.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<(u32, Chunk)>, BadLine> {
        let mut full = Vec::new();
        self.partial.extend_from_slice(bytes);
        let buffer = std::mem::take(&mut self.partial);
        let mut rest = buffer.as_slice();
        while let Some(end) = rest.iter().position(|it| *it == b'\n') {
            full.extend(self.read_line(&rest[..end])?);
            rest = &rest[end + 1..];
        }
        if rest.len() > LINE_BYTES {
            self.line += 1;
            return Err(self.bad_line(format!("is longer than {LINE_BYTES} bytes")));
        }
        self.partial = rest.to_vec();
        Ok(full)
    }

    /// Parses the last line and returns the remaining chunks.
    ///
    /// # Errors
    ///
    /// The last line is not a valid item, or the submission has no items.
    pub fn finish(&mut self) -> Result<Vec<(u32, Chunk)>, BadLine> {
        let last = std::mem::take(&mut self.partial);
        let mut chunks = Vec::from_iter(self.read_line(&last)?);
        if self.items == 0 {
            self.line = 1;
            return Err(self.bad_line(
                "the submission has no items; send one JSON object per line".to_owned(),
            ));
        }
        // The last line may have completed the previous chunk and started a new one.
        chunks.extend(self.take_chunk());
        Ok(chunks)
    }

    /// Number of chunks returned so far.
    pub fn chunks(&self) -> u32 {
        self.chunks
    }

    /// Service that the items request; empty before the first item.
    pub fn service(&self) -> &str {
        self.service.as_deref().unwrap_or_default()
    }

    /// Digest of the lines parsed so far, which distinguishes a resent job from a different one under the same key.
    pub fn digest(&self) -> String {
        self.digest.finalize().to_hex().to_string()
    }

    /// Number of items parsed so far.
    pub fn items(&self) -> u32 {
        self.items
    }

    fn read_line(&mut self, line: &[u8]) -> Result<Option<(u32, Chunk)>, BadLine> {
        let line = line.trim_ascii();
        self.line += 1;
        if line.is_empty() {
            return Ok(None);
        }
        if line.len() > LINE_BYTES {
            return Err(self.bad_line(format!("is longer than {LINE_BYTES} bytes")));
        }
        let item = self.item(line)?;
        self.digest.update(line);
        self.digest.update(b"\n");
        let completed = match self.chunk_bytes + line.len() > CHUNK_BYTES {
            true => self.take_chunk(),
            false => None,
        };
        self.chunk_bytes += line.len();
        self.chunk.push(item);
        self.items += 1;
        if self.items > JOB_ITEMS {
            return Err(self.bad_line(format!("the job has more than {JOB_ITEMS} items; split it")));
        }
        if self.chunk.len() == self.chunk_items { Ok(self.take_chunk()) } else { Ok(completed) }
    }

    fn item(&mut self, line: &[u8]) -> Result<Item, BadLine> {
        let parsed = serde_json::from_slice::<Line<'_>>(line)
            .map_err(|err| self.bad_line(format!("is not a valid item: {err}")))?;
        if parsed.custom_id.is_empty() || parsed.custom_id.len() > 256 {
            return Err(self.bad_line("custom_id: must have 1 to 256 bytes".to_owned()));
        }
        if !self.ids.insert(rapidhash::v3::rapidhash_v3(parsed.custom_id.as_bytes())) {
            return Err(self.bad_line(format!(
                "custom_id: `{}` is already used by an earlier line",
                parsed.custom_id
            )));
        }
        self.check_service(&parsed)?;
        let body = serde_json::from_str(parsed.body.get())
            .map_err(|err| self.bad_line(format!("body: {err}")))?;
        Ok(Item { custom_id: parsed.custom_id, url: parsed.url, body })
    }

    fn check_service(&mut self, line: &Line<'_>) -> Result<(), BadLine> {
        let requested = match service_in_path(&line.url) {
            Some(service) => Some(service.to_owned()),
            None => serde_json::from_str::<Model>(line.body.get()).ok().and_then(|it| it.model),
        };
        let Some(requested) = requested else {
            return Err(
                self.bad_line("body.model: is missing; it must name the service".to_owned())
            );
        };
        match &self.service {
            None => {
                self.service = Some(requested);
                Ok(())
            }
            Some(service) if *service == requested => Ok(()),
            Some(service) => Err(self.bad_line(format!(
                "requests service `{requested}`, but earlier lines request `{service}`"
            ))),
        }
    }

    fn take_chunk(&mut self) -> Option<(u32, Chunk)> {
        if self.chunk.is_empty() {
            return None;
        }
        let items = std::mem::take(&mut self.chunk);
        let number = self.chunks;
        self.chunks += 1;
        self.chunk_bytes = 0;
        let first_item = self.items - items.len() as u32;
        Some((number, Chunk { format: FORMAT, first_item, items }))
    }

    fn bad_line(&self, problem: String) -> BadLine {
        BadLine { line: self.line, problem }
    }
}

/// Returns the service named in a path `/services/NAME/...`, or `None` for any other path.
pub fn service_in_path(path: &str) -> Option<&str> {
    let rest = path.strip_prefix("/services/")?;
    rest.split('/').next().filter(|it| !it.is_empty())
}

/// Identity and properties of a job to be accepted.
#[derive(Debug, Clone)]
pub struct AcceptanceParams {
    /// Workspace of the caller.
    pub workspace: Name,
    /// Idempotency key of the job, chosen by the caller.
    pub key: Name,
    /// Prefix of the chunks' names, unique to this upload.
    pub upload: Name,
    /// Process that accepts the job and is its first owner.
    pub process: Name,
    /// Incarnation of that process.
    pub incarnation: u64,
    /// Wall-clock time at which the results are due.
    pub due_unix_ms: Option<u64>,
    /// Whether items may run more than once.
    pub repeatable: bool,
}

/// Next store call of an acceptance, or its outcome.
#[derive(Debug, Clone)]
pub enum SubmissionStep {
    /// Make this store call and pass its answer to [`Acceptance::handle_answer`].
    Store(StoreOp),
    /// The job is accepted and durable.
    Accepted {
        /// Identifier of the job.
        job: JobId,
        /// Stored header of the job.
        header: Box<JobHeader>,
        /// Version of the header.
        version: Version,
        /// Whether the job had been accepted from another upload, by this or another process.
        resent: bool,
    },
    /// The key belongs to a job with different content.
    Conflicting {
        /// Identifier of the existing job.
        job: JobId,
    },
    /// The store failed the call; the job is not accepted.
    NotAccepted,
    /// The store failed or the header cannot be read; the job may have been accepted. Sending it again is safe.
    MayBeAccepted,
}

/// Acceptance of one job by the creation of its header.
#[derive(Debug)]
pub struct Acceptance {
    job: JobId,
    header: JobHeader,
    retries_left: u32,
    sent: bool,
}

const HEADER_RETRIES: u32 = 3;

impl Acceptance {
    /// Returns the store call that writes one chunk.
    pub fn chunk_op(upload: &str, number: u32, chunk: &Chunk) -> StoreOp {
        let value: Value = serde_json::to_vec(chunk).unwrap_or_default().into();
        StoreOp::Create { key: chunk_key(upload, number), labels: Labels::new(), value }
    }

    /// Creates the acceptance of a finished submission whose chunks have all been written.
    pub fn new(now: Now, params: &AcceptanceParams, submission: &Submission) -> Acceptance {
        let header = JobHeader {
            format: FORMAT,
            workspace: params.workspace.to_string(),
            key: params.key.to_string(),
            service: submission.service.clone().unwrap_or_default(),
            digest: submission.digest(),
            upload: params.upload.to_string(),
            items: submission.items,
            chunks: submission.chunks,
            repeatable: params.repeatable,
            due_unix_ms: params.due_unix_ms,
            accepted_unix_ms: now.unix_ms,
            state: JobState::Running,
            owner: JobOwner {
                process: params.process.to_string(),
                incarnation: params.incarnation,
                epoch: 1,
            },
            done_chunks: 0,
            opened_chunks: submission.chunks.min(OPENED_CHUNKS_STEP),
            completed: 0,
            failed: 0,
        };
        let job = job_id(&params.workspace, &params.key);
        Acceptance { job, header, retries_left: HEADER_RETRIES, sent: false }
    }

    /// Returns the first store call, which creates the header.
    pub fn start(&mut self) -> SubmissionStep {
        self.sent = true;
        let value = header_value(&self.header);
        let labels = header_labels(&self.header);
        SubmissionStep::Store(StoreOp::Create { key: header_key(&self.job), labels, value })
    }

    /// Handles the answer of the last store call and returns the next step.
    pub fn handle_answer(&mut self, answer: StoreAnswer) -> SubmissionStep {
        match answer {
            StoreAnswer::Object(stored) => match read_header(&stored.value) {
                Ok(header) => self.found(header, stored.version),
                Err(_) => SubmissionStep::MayBeAccepted,
            },
            StoreAnswer::Taken | StoreAnswer::Unknown => self.read(),
            StoreAnswer::Absent => self.retry_create(),
            _ => self.give_up(),
        }
    }

    fn found(&self, header: JobHeader, version: Version) -> SubmissionStep {
        if header.digest != self.header.digest {
            return SubmissionStep::Conflicting { job: Arc::clone(&self.job) };
        }
        let resent = header.upload != self.header.upload;
        let job = Arc::clone(&self.job);
        SubmissionStep::Accepted { job, header: Box::new(header), version, resent }
    }

    fn read(&mut self) -> SubmissionStep {
        if self.retries_left == 0 {
            return SubmissionStep::MayBeAccepted;
        }
        self.retries_left -= 1;
        SubmissionStep::Store(StoreOp::Get { key: header_key(&self.job) })
    }

    fn retry_create(&mut self) -> SubmissionStep {
        if self.retries_left == 0 {
            return SubmissionStep::MayBeAccepted;
        }
        self.retries_left -= 1;
        self.start()
    }

    fn give_up(&self) -> SubmissionStep {
        match self.retries_left == HEADER_RETRIES {
            true => SubmissionStep::NotAccepted,
            false => SubmissionStep::MayBeAccepted,
        }
    }
}
