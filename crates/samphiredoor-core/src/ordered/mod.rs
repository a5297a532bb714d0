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
mod job;
mod log;
mod outputs;

pub use codec::{
    JobHeader, JobOwner, PART_BYTES, Segment, read_header, read_part, read_segment,
    split_into_parts,
};
pub use items::{ItemEnd, ItemStep, Items};
pub use job::{
    Item, ItemResult, JobName, Outcome, cancellation_key, header_key, part_key, segment_key,
};
pub use log::{LogStep, ResultLog};
pub use outputs::{OutputPart, PartialOutput};
