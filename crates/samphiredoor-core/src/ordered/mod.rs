//! Jobs whose results come in one order that never moves.
//!
//! A job is a small header, immutable parts that hold its submission, and a log of its results. The log is a row of
//! immutable segments, numbered without gaps, each created by conditional create. Whoever wants to append segment `n`
//! must have read all before it, and only one create of `n` can succeed; so however many processes believe that they
//! own the job, no item stands twice and no position ever changes. Ownership only keeps the work from being done twice.
//!
//! The log also keeps what items have put out that are not done (`outputs`): an item goes on after its last event wherever
//! it runs next. That, too, is no part of what must hold.
//!
//! The names of all objects begin with the job's name. A job is ended by its caller with an object of its own, so that
//! every process can watch the few ends there are.

mod codec;
mod items;
mod log;
mod outputs;

use std::sync::Arc;

pub use codec::{
    JobHeader, JobOwner, PART_BYTES, Segment, cut_parts, read_header, read_part, read_segment,
};
pub use items::{ItemEnd, ItemStep, Items};
pub use log::{ItemResult, LogStep, Outcome, ResultLog};
pub use outputs::{OutputPart, PartialOutput};

use crate::{
    Name,
    store::{Kind, ObjectKey},
};

/// Name of a job, as its caller gave it.
pub type JobName = Name;

/// One item as it was submitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Name of the item, unique within its job.
    pub id: Arc<str>,
    /// Path and query of its request.
    pub path: String,
    /// Headers of its request.
    pub headers: Vec<(String, String)>,
    /// Body, still in the text form in which it came.
    pub encoded_body: String,
}

/// Key of a job's header.
pub fn header_key(job: &str) -> ObjectKey {
    ObjectKey::new(Kind::OrderedJob, job)
}

/// Key of one part of a submission. The digest keeps apart two submissions under one name, of which one is accepted.
pub fn part_key(job: &str, digest: &str, part: u32) -> ObjectKey {
    ObjectKey::new(Kind::JobPart, format!("{job}-{digest}-{part}"))
}

/// Key of one segment of a job's results.
pub fn segment_key(job: &str, segment: u32) -> ObjectKey {
    ObjectKey::new(Kind::JobSegment, format!("{job}-{segment:05}"))
}

/// Key of the object that ends a job.
pub fn end_key(job: &str) -> ObjectKey {
    ObjectKey::new(Kind::JobEnd, job)
}
