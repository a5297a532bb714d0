//! Identities of jobs and calls, and the names of a job's objects.

use std::sync::Arc;

use crate::{
    Name,
    store::{Kind, ObjectKey},
};

/// Identity of a job: the name of its header.
pub type JobId = Name;

/// Identity of a store call within one state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// Name of a job: the same for every resend under the same workspace and key.
pub fn job_id(workspace: &str, key: &str) -> JobId {
    let mut hasher = blake3::Hasher::new();
    hasher.update(workspace.as_bytes());
    hasher.update(&[0]);
    hasher.update(key.as_bytes());
    let digest = hasher.finalize().to_hex();
    format!("job-{}", &digest[..24]).into()
}

/// Key of a job's header.
pub fn header_key(job: &JobId) -> ObjectKey {
    ObjectKey::new(Kind::Job, Arc::clone(job))
}

/// Key of a chunk.
pub fn chunk_key(upload: &str, chunk: u32) -> ObjectKey {
    ObjectKey::new(Kind::Chunk, format!("{upload}-{chunk:05}"))
}

/// Key of a chunk's results. Named after the upload: a removed job's results are never those of a later job.
pub fn results_key(upload: &str, chunk: u32) -> ObjectKey {
    ObjectKey::new(Kind::Results, format!("{upload}-{chunk:05}"))
}
