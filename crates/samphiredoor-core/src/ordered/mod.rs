//! Batch jobs whose results have a stable order: a result never changes its position.
//!
//! A job is a small header, immutable parts that hold its submission, and a log of its results. The log is a sequence of
//! immutable segments, numbered without gaps, each written by conditional create. A writer appends segment `n` only after
//! it has read all segments before it, and only one create of `n` can succeed. So no item gets two results and no position
//! ever changes, even if several processes act as the job's owner. Ownership only avoids duplicate work.
//!
//! The log also holds partial outputs of items that are still running (`outputs`), so that an item resumes after its last
//! event wherever it runs next. Like ownership, this only saves work; correctness does not depend on it. And it holds the
//! failures of items at targets (`failures`), which bound how often an item is sent by all owners together.
//!
//! `reader` decides what a process that holds the results in memory answers to a reader, and `log_end` whether it knows
//! that there are no more.
//!
//! The names of all objects begin with the job's name. A caller cancels a job by creating a separate object, so that every
//! process can watch these few objects alone.

mod codec;
mod failures;
mod items;
mod job;
mod log;
mod log_end;
mod outputs;
mod reader;

pub use codec::{
    JobHeader, JobOwner, PART_BYTES, Segment, read_header, read_part, read_segment,
    split_into_parts,
};
pub use failures::ItemFailure;
pub use items::{ItemEnd, ItemStep, Items, PreemptionHold};
pub use job::{
    Item, ItemResult, JobName, Outcome, cancellation_key, header_key, job_name, part_key,
    segment_key,
};
pub use log::{LogStep, ResultLog};
pub use log_end::{LATE_WRITE_MS, LogCall, LogEnd};
pub use outputs::{OutputPart, PartId, PartialOutput, ServiceHash, TextOrigin};
pub use reader::{Answer, KnownResults, Ownership, Reader};
