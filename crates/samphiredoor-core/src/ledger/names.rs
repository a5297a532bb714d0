//! Identifiers of jobs and store calls, and the keys of a job's stored objects.

use std::sync::Arc;

use crate::{
    Name,
    key_digest::key_digest,
    store::{Kind, ObjectKey},
};

/// Digits of the digest in a job's identifier.
const JOB_DIGITS: usize = 24;

/// Identifier of a job: the name of its header object.
pub type JobId = Name;

/// Identifier of a store call, unique within one state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// Derives a job's identifier. Every submission with the same workspace and key has the same one.
pub fn job_id(workspace: &str, key: &str) -> JobId {
    format!("job-{}", key_digest(workspace, key, JOB_DIGITS)).into()
}

/// Object key of a job's header.
pub fn header_key(job: &JobId) -> ObjectKey {
    ObjectKey::new(Kind::Job, Arc::clone(job))
}

/// Object key of a chunk of items.
pub fn chunk_key(upload: &str, chunk: u32) -> ObjectKey {
    ObjectKey::new(Kind::Chunk, format!("{upload}-{chunk:05}"))
}

/// Object key of a chunk's results. It contains the upload's name, so that a later job with the same identifier never
/// reads the results of a removed one.
pub fn results_key(upload: &str, chunk: u32) -> ObjectKey {
    ObjectKey::new(Kind::Results, format!("{upload}-{chunk:05}"))
}
