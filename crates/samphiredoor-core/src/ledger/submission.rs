//! From the bytes of a submission to an accepted job.
//!
//! [`Submission`] reads JSON lines as they arrive and cuts them into chunks, so that a large list is never whole in
//! memory and never holds up the task for long. A submission with one bad line is refused whole, before acceptance:
//! the caller can mend the line and send again under the same key, and nothing was run.
//!
//! [`Acceptance`] writes the chunks under names of this upload alone, and then creates the header. Two doors that get
//! the same job at the same time write different chunks, and the create of the header lets one win.

use std::{collections::HashSet, fmt, sync::Arc};

use samphiredoor_schema::objects::{Chunk, Item, JobHeader, JobOwner, JobState};
use serde::Deserialize;
use serde_json::value::RawValue;

use super::{
    codec::{FORMAT, header_labels, header_value, read_header},
    names::{JobId, chunk_key, header_key, job_id},
    run::OPENED_STEP,
};
use crate::{
    Name,
    store::{Labels, StoreAnswer, StoreOp, Value, Version},
    time::Now,
};

/// Most items of a chunk.
pub const CHUNK_ITEMS: usize = 250;
/// Most bytes of a chunk's lines.
pub const CHUNK_BYTES: usize = 400_000;
/// Most bytes of one line.
pub const LINE_BYTES: usize = 256_000;
/// Most items of a job.
pub const JOB_ITEMS: u32 = 500_000;

/// A line that cannot be an item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadLine {
    /// Number of the line, from 1.
    pub line: u32,
    /// What is wrong, with a hint.
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

/// A submission as it is read.
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
    /// Nothing read yet.
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

    /// Cuts chunks of at most this many items.
    pub fn with_chunk_items(mut self, chunk_items: usize) -> Submission {
        self.chunk_items = chunk_items.clamp(1, CHUNK_ITEMS);
        self
    }

    /// Reads more bytes; returns the chunks that became full, with their numbers.
    ///
    /// # Errors
    ///
    /// The first line that cannot be an item.
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
            return Err(self.bad(format!("is longer than {LINE_BYTES} bytes")));
        }
        self.partial = rest.to_vec();
        Ok(full)
    }

    /// Ends the reading; returns the last chunks.
    ///
    /// # Errors
    ///
    /// The last line cannot be an item, or there is no item at all.
    pub fn finish(&mut self) -> Result<Vec<(u32, Chunk)>, BadLine> {
        let last = std::mem::take(&mut self.partial);
        let mut chunks = Vec::from_iter(self.read_line(&last)?);
        if self.items == 0 {
            self.line = 1;
            return Err(self.bad("there is no item; send one JSON object a line".to_owned()));
        }
        // The last line may have cut the chunk before it and begun one of its own.
        chunks.extend(self.cut_chunk());
        Ok(chunks)
    }

    /// Chunks cut so far.
    pub fn chunks(&self) -> u32 {
        self.chunks
    }

    /// Service of the items; empty before the first.
    pub fn service(&self) -> &str {
        self.service.as_deref().unwrap_or_default()
    }

    /// Digest of the lines read so far, to tell a resent job from another one.
    pub fn digest(&self) -> String {
        self.digest.finalize().to_hex().to_string()
    }

    /// Items read so far.
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
            return Err(self.bad(format!("is longer than {LINE_BYTES} bytes")));
        }
        let item = self.item(line)?;
        self.digest.update(line);
        self.digest.update(b"\n");
        let cut = match self.chunk_bytes + line.len() > CHUNK_BYTES {
            true => self.cut_chunk(),
            false => None,
        };
        self.chunk_bytes += line.len();
        self.chunk.push(item);
        self.items += 1;
        if self.items > JOB_ITEMS {
            return Err(self.bad(format!("is above {JOB_ITEMS} items; split the job")));
        }
        if self.chunk.len() == self.chunk_items { Ok(self.cut_chunk()) } else { Ok(cut) }
    }

    fn item(&mut self, line: &[u8]) -> Result<Item, BadLine> {
        let parsed = serde_json::from_slice::<Line<'_>>(line)
            .map_err(|err| self.bad(format!("is no item: {err}")))?;
        if parsed.custom_id.is_empty() || parsed.custom_id.len() > 256 {
            return Err(self.bad("custom_id: use 1 to 256 bytes".to_owned()));
        }
        if !self.ids.insert(rapidhash::v3::rapidhash_v3(parsed.custom_id.as_bytes())) {
            return Err(self.bad(format!("custom_id: `{}` stands twice", parsed.custom_id)));
        }
        self.check_service(&parsed)?;
        let body = serde_json::from_str(parsed.body.get())
            .map_err(|err| self.bad(format!("body: {err}")))?;
        Ok(Item { custom_id: parsed.custom_id, url: parsed.url, body })
    }

    fn check_service(&mut self, line: &Line<'_>) -> Result<(), BadLine> {
        let named = match service_in_path(&line.url) {
            Some(service) => Some(service.to_owned()),
            None => serde_json::from_str::<Model>(line.body.get()).ok().and_then(|it| it.model),
        };
        let Some(named) = named else {
            return Err(self.bad("body.model: name the service".to_owned()));
        };
        match &self.service {
            None => {
                self.service = Some(named);
                Ok(())
            }
            Some(service) if *service == named => Ok(()),
            Some(service) => {
                Err(self.bad(format!("asks for `{named}`, earlier lines for `{service}`")))
            }
        }
    }

    fn cut_chunk(&mut self) -> Option<(u32, Chunk)> {
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

    fn bad(&self, problem: String) -> BadLine {
        BadLine { line: self.line, problem }
    }
}

/// Service named in a path `/services/NAME/...`, if it is one.
pub fn service_in_path(path: &str) -> Option<&str> {
    let rest = path.strip_prefix("/services/")?;
    rest.split('/').next().filter(|it| !it.is_empty())
}

/// Who submits, and on whose behalf.
#[derive(Debug, Clone)]
pub struct AcceptanceParams {
    /// Workspace.
    pub workspace: Name,
    /// The caller's key for the job.
    pub key: Name,
    /// Prefix of chunk names; no other upload has it.
    pub upload: Name,
    /// Process that accepts, and owns the job from then on.
    pub process: Name,
    /// Start of that process.
    pub incarnation: u64,
    /// When the results are due.
    pub due_unix_ms: Option<u64>,
    /// Whether items may be run more than once.
    pub repeatable: bool,
}

/// What the acceptance needs next.
#[derive(Debug, Clone)]
pub enum SubmissionStep {
    /// Make this store call and report its answer.
    Store(StoreOp),
    /// The job is accepted; durable from now on.
    Accepted {
        /// Which job.
        job: JobId,
        /// Its header.
        header: Box<JobHeader>,
        /// Version of the header.
        version: Version,
        /// Whether it had been accepted before, by this or another process.
        resent: bool,
    },
    /// The key stands for a job with other content.
    Conflicting {
        /// The job that stands.
        job: JobId,
    },
    /// The store was of no help; the job is not accepted.
    NotAccepted,
    /// The store was of no help, and it is not known whether the job is accepted. Sending it again is safe.
    MayBeAccepted,
}

/// Acceptance of one job: the create of its header.
#[derive(Debug)]
pub struct Acceptance {
    job: JobId,
    header: JobHeader,
    tries_left: u32,
    sent: bool,
}

const HEADER_TRIES: u32 = 3;

impl Acceptance {
    /// Store call that writes one chunk.
    pub fn chunk_op(upload: &str, number: u32, chunk: &Chunk) -> StoreOp {
        let value: Value = serde_json::to_vec(chunk).unwrap_or_default().into();
        StoreOp::Create { key: chunk_key(upload, number), labels: Labels::new(), value }
    }

    /// Acceptance of a whole submission whose chunks are written; the first step creates the header.
    pub fn new(now: Now, accepting: &AcceptanceParams, submission: &Submission) -> Acceptance {
        let header = JobHeader {
            format: FORMAT,
            workspace: accepting.workspace.to_string(),
            key: accepting.key.to_string(),
            service: submission.service.clone().unwrap_or_default(),
            digest: submission.digest(),
            upload: accepting.upload.to_string(),
            items: submission.items,
            chunks: submission.chunks,
            repeatable: accepting.repeatable,
            due_unix_ms: accepting.due_unix_ms,
            accepted_unix_ms: now.unix_ms,
            state: JobState::Running,
            owner: JobOwner {
                process: accepting.process.to_string(),
                incarnation: accepting.incarnation,
                epoch: 1,
            },
            done_chunks: 0,
            opened_chunks: submission.chunks.min(OPENED_STEP),
            completed: 0,
            failed: 0,
        };
        let job = job_id(&accepting.workspace, &accepting.key);
        Acceptance { job, header, tries_left: HEADER_TRIES, sent: false }
    }

    /// First call.
    pub fn start(&mut self) -> SubmissionStep {
        self.sent = true;
        let value = header_value(&self.header);
        let labels = header_labels(&self.header);
        SubmissionStep::Store(StoreOp::Create { key: header_key(&self.job), labels, value })
    }

    /// Takes an answer; says what comes next.
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
        if self.tries_left == 0 {
            return SubmissionStep::MayBeAccepted;
        }
        self.tries_left -= 1;
        SubmissionStep::Store(StoreOp::Get { key: header_key(&self.job) })
    }

    fn retry_create(&mut self) -> SubmissionStep {
        if self.tries_left == 0 {
            return SubmissionStep::MayBeAccepted;
        }
        self.tries_left -= 1;
        self.start()
    }

    fn give_up(&self) -> SubmissionStep {
        match self.tries_left == HEADER_TRIES {
            true => SubmissionStep::NotAccepted,
            false => SubmissionStep::MayBeAccepted,
        }
    }
}
