//! The log of a job's results, from the view of one writer.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    codec::{self, JobOwner, Segment},
    failures::{Failures, ItemFailure},
    job::{ItemResult, JobName, segment_key},
    outputs::{OUTPUT_BYTES, OutputPart, PartialOutput, PartialOutputs},
};
use crate::store::{Labels, StoreAnswer, StoreOp};

/// Maximum bytes of result texts in one segment. A stored object holds a megabyte, and JSON escapes take some of it.
const SEGMENT_BYTES: usize = 500_000;

/// What a log has to do next.
#[derive(Debug, Clone, PartialEq)]
pub enum LogStep {
    /// Make this store call and pass its answer to [`ResultLog::answered`].
    Store(StoreOp),
    /// The store is unavailable, or a segment cannot be read; step again after a backoff.
    Pause,
    /// Nothing to do until there is another result or output.
    Idle,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Next {
    /// Read the next segment, which another writer may have created.
    Read,
    /// All existing segments have been read; append.
    Append,
}

/// A job's results: those committed to the stored log, and those that this process has yet to append.
///
/// After a lost answer, or a create that found the segment taken, the segment is read before anything is appended. A
/// create that takes effect late can only write the segment number that it was sent with, and holds only items without a
/// result in any earlier segment.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ResultLog {
    job: JobName,
    /// This process, which is named in the segments that it writes.
    writer: Option<JobOwner>,
    committed: Vec<ItemResult>,
    /// Items that have a committed result.
    committed_items: BTreeSet<u32>,
    pending: Vec<ItemResult>,
    /// Number of segments read or written; the next one has this index.
    segments: u32,
    next: Next,
    /// Content of the create in flight.
    in_flight: Segment,
    other_writer_seen: bool,
    /// Outputs of running items that are yet to be appended.
    outputs: Vec<OutputPart>,
    /// Outputs of unfinished items that were read from segments.
    partial_outputs: PartialOutputs,
    failures: Failures,
}

impl ResultLog {
    /// Creates the log of a new job, which no other process can have worked on.
    pub fn new(job: JobName) -> ResultLog {
        ResultLog {
            job,
            writer: None,
            committed: Vec::new(),
            committed_items: BTreeSet::new(),
            pending: Vec::new(),
            segments: 0,
            next: Next::Append,
            in_flight: Segment::default(),
            other_writer_seen: false,
            outputs: Vec::new(),
            partial_outputs: PartialOutputs::default(),
            failures: Failures::default(),
        }
    }

    /// Creates the log of a job that may have segments in the store; they are read before anything is appended.
    pub fn unread(job: JobName) -> ResultLog {
        ResultLog { next: Next::Read, ..ResultLog::new(job) }
    }

    /// Names the process that writes in its segments.
    pub fn with_writer(self, writer: JobOwner) -> ResultLog {
        ResultLog { writer: Some(writer), ..self }
    }

    /// Committed results, in the order of their positions.
    pub fn committed(&self) -> &[ItemResult] {
        &self.committed
    }

    /// Number of results that are yet to be appended.
    pub fn pending_results(&self) -> usize {
        self.pending.len()
    }

    /// Whether the outcome of an item is known here: its result is committed or yet to be appended.
    pub fn is_decided(&self, item: u32) -> bool {
        self.has_result(item) || self.pending.iter().any(|it| it.item == item)
    }

    /// Whether an item has a committed result.
    pub fn has_result(&self, item: u32) -> bool {
        self.committed_items.contains(&item)
    }

    /// Whether all segments that existed when the log was last read have been read.
    pub fn is_caught_up(&self) -> bool {
        self.next == Next::Append
    }

    /// Makes the next step read the next segment, which another writer may have appended. Must not be called while a store
    /// call is in flight.
    pub fn request_reread(&mut self) {
        self.next = Next::Read;
    }

    /// Whether no result, output or failure waits to be appended.
    pub fn is_flushed(&self) -> bool {
        self.pending.is_empty() && self.outputs.is_empty() && self.failures.is_flushed()
    }

    /// Adds a failure of an item at a target; ignored if the item has a committed result.
    pub fn push_failure(&mut self, failure: ItemFailure) {
        if !self.committed_items.contains(&failure.item) {
            self.failures.push(failure);
        }
    }

    /// Number of failures of an item at targets, as far as the log was read and with those that are yet to be appended.
    pub fn failures(&self, item: u32) -> u32 {
        self.failures.count(item)
    }

    /// Whether a failure of an item waits to be appended. Until then no other owner knows of it.
    pub fn has_pending_failure(&self, item: u32) -> bool {
        self.failures.is_pending(item)
    }

    /// Adds the output of a running item since its last part; ignored if the item has a committed result.
    pub fn push_output(&mut self, part: OutputPart) {
        if !self.committed_items.contains(&part.item) {
            self.outputs.push(part);
        }
    }

    /// Whether outputs wait to be appended.
    pub fn has_outputs(&self) -> bool {
        !self.outputs.is_empty()
    }

    /// Takes the partial outputs, as read from segments, of items without a committed result.
    pub fn take_saved_outputs(&mut self) -> BTreeMap<u32, PartialOutput> {
        self.partial_outputs.take()
    }

    /// Number of parts of outputs, as read from segments, that continue no output.
    pub fn ignored_outputs(&self) -> u32 {
        self.partial_outputs.ignored()
    }

    /// Whether a segment that this log did not write has been read since the last call.
    pub fn take_other_writer_seen(&mut self) -> bool {
        std::mem::take(&mut self.other_writer_seen)
    }

    /// Adds a result to append; ignored if the item already has one.
    pub fn push(&mut self, result: ItemResult) {
        self.outputs.retain(|it| it.item != result.item);
        let known = self.committed_items.contains(&result.item);
        if !known && self.pending.iter().all(|it| it.item != result.item) {
            self.pending.push(result);
        }
    }

    /// Next step; at most one store call may be in flight at a time.
    pub fn step(&mut self) -> LogStep {
        let key = segment_key(&self.job, self.segments);
        match self.next {
            Next::Read => LogStep::Store(StoreOp::Get { key }),
            Next::Append if self.is_flushed() => LogStep::Idle,
            Next::Append => {
                self.in_flight = self.next_segment();
                let value = codec::segment_value(&self.in_flight);
                LogStep::Store(StoreOp::Create { key, labels: Labels::new(), value })
            }
        }
    }

    /// Processes the answer to the store call of the last [`LogStep::Store`], and returns the next step.
    pub fn answered(&mut self, answer: &StoreAnswer) -> LogStep {
        match (self.next, answer) {
            (Next::Append, StoreAnswer::Object(_)) => {
                let written = std::mem::take(&mut self.in_flight);
                self.commit(written);
            }
            (Next::Append, StoreAnswer::Taken | StoreAnswer::Unknown) => self.next = Next::Read,
            (Next::Read, StoreAnswer::Object(stored)) => match codec::read_segment(stored) {
                Ok(segment) => {
                    self.other_writer_seen |= segment != self.in_flight;
                    for part in &segment.outputs {
                        self.partial_outputs.add(part, segment.writer.as_ref());
                    }
                    self.commit(segment);
                }
                Err(_) => return LogStep::Pause,
            },
            (Next::Read, StoreAnswer::Absent) => self.next = Next::Append,
            _ => return LogStep::Pause,
        }
        self.step()
    }

    /// Adds the content of a stored segment, and removes what it makes obsolete.
    fn commit(&mut self, segment: Segment) {
        for result in &segment.results {
            self.committed_items.insert(result.item);
            self.partial_outputs.remove(result.item);
            self.failures.remove_pending(result.item);
        }
        self.failures.commit(&segment.failures);
        self.pending.retain(|it| !self.committed_items.contains(&it.item));
        let is_stored = |it: &OutputPart| segment.outputs.contains(it);
        self.outputs.retain(|it| !self.committed_items.contains(&it.item) && !is_stored(it));
        self.in_flight = Segment::default();
        self.committed.extend(segment.results);
        self.segments += 1;
    }

    /// Content of the next segment: as much of what waits as fits.
    fn next_segment(&self) -> Segment {
        let results = count_fitting(self.pending.iter().map(|it| it.text.len()), SEGMENT_BYTES);
        let outputs = count_fitting(self.outputs.iter().map(|it| it.text.len()), OUTPUT_BYTES);
        Segment {
            results: self.pending[..results].to_vec(),
            outputs: self.outputs[..outputs].to_vec(),
            failures: self.failures.next_segment(),
            writer: self.writer.clone(),
        }
    }
}

/// How many of these texts, given by their sizes in bytes, fit into a limit; at least one if there is one.
fn count_fitting(bytes: impl ExactSizeIterator<Item = usize>, limit: usize) -> usize {
    let least = bytes.len().min(1);
    let mut sum = 0;
    let fits = bytes.take_while(|it| {
        sum += it;
        sum <= limit
    });
    fits.count().max(least)
}
