//! What a job is made of, and the names of its objects.

use std::sync::Arc;

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

/// How an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// With its whole output.
    Completed,
    /// Without; it will not be run again.
    Failed,
}

/// Result of one item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemResult {
    /// Item by its place in the submission.
    pub item: u32,
    /// Name of the item.
    pub id: Arc<str>,
    /// How it ended.
    pub outcome: Outcome,
    /// Data of all its events in order, separated by line feeds.
    pub text: Arc<str>,
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
pub fn cancellation_key(job: &str) -> ObjectKey {
    ObjectKey::new(Kind::JobEnd, job)
}
