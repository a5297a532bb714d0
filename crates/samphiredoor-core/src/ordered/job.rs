//! Items and results of a job, and the keys of its stored objects.

use std::sync::Arc;

use crate::{
    Name,
    store::{Kind, ObjectKey},
};

/// Name of a job: the id that its caller gave it, within the scope of a workspace.
pub type JobName = Name;

/// Hexadecimal digits of the digest of a workspace in the names of its jobs. At 6,000 workspaces, two have the same one
/// with a probability of 1 in 10 million.
const WORKSPACE_DIGITS: usize = 12;

/// Name of the job that a workspace calls `id`. Jobs of different workspaces have different names, so that no caller can
/// read, cancel or replace a job of another workspace. `None` is the scope of callers without a workspace.
pub fn job_name(workspace: Option<&str>, id: &str) -> JobName {
    match workspace {
        Some(workspace) => {
            let digest = blake3::hash(workspace.as_bytes()).to_hex();
            format!("{}-{id}", &digest[..WORKSPACE_DIGITS]).into()
        }
        None => id.into(),
    }
}

/// One item of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Name of the item, unique within its job.
    pub id: Arc<str>,
    /// Path and query of its request.
    pub path: String,
    /// Headers of its request, still in the encoding of the submission: many short ones take much more memory in parts.
    pub encoded_headers: Box<str>,
    /// Body, still in the text encoding of the submission.
    pub encoded_body: String,
}

impl Item {
    /// Memory of its texts.
    pub fn bytes(&self) -> usize {
        self.id.len() + self.path.len() + self.encoded_headers.len() + self.encoded_body.len()
    }
}

/// Final outcome of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The whole output is in the result.
    Completed,
    /// Failed without a whole output; the item is not run again.
    Failed,
}

/// Result of one item.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ItemResult {
    /// Index of the item in the submission.
    pub item: u32,
    /// Name of the item.
    pub id: Arc<str>,
    /// Final outcome.
    pub outcome: Outcome,
    /// Data of all its events in order, separated by line feeds.
    pub text: Arc<str>,
}

/// Key of a job's header.
pub fn header_key(job: &str) -> ObjectKey {
    ObjectKey::new(Kind::OrderedJob, job)
}

/// Key of one part of a submission. The digest separates two submissions under the same job name, of which only one is
/// accepted.
pub fn part_key(job: &str, digest: &str, part: u32) -> ObjectKey {
    ObjectKey::new(Kind::JobPart, format!("{job}-{digest}-{part}"))
}

/// Key of one segment of a job's results.
pub fn segment_key(job: &str, segment: u32) -> ObjectKey {
    ObjectKey::new(Kind::JobSegment, format!("{job}-{segment:05}"))
}

/// Key of the object by which a caller cancels a job.
pub fn cancellation_key(job: &str) -> ObjectKey {
    ObjectKey::new(Kind::JobEnd, job)
}
