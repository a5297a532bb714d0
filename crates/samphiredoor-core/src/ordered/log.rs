//! The log of a job's results, as one of its writers sees it.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    codec::{self, Segment},
    job::{ItemResult, JobName, segment_key},
    outputs::{KeptOutputs, OUTPUT_BYTES, OutputPart, PartialOutput},
};
use crate::store::{Labels, StoreAnswer, StoreOp};

/// Bytes of texts in one segment; an object holds a megabyte, and escapes within texts take some of it.
const SEGMENT_BYTES: usize = 500_000;

/// What a log needs next.
#[derive(Debug, Clone, PartialEq)]
pub enum LogStep {
    /// Make this call and report its answer.
    Store(StoreOp),
    /// The store is of no help now; step again after a pause.
    Pause,
    /// Nothing to do until there is another result.
    Idle,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    /// Read the next segment, which may stand.
    Read,
    /// All segments that stood are read; append.
    Append,
}

/// A job's results: those that stand, and those that this process wants to append.
///
/// After an answer that was lost, or a create that found the segment taken, the segment is read before anything is
/// appended. A create that takes effect late can only put its segment where it was tried, with items that no earlier
/// segment holds.
#[derive(Debug)]
pub struct ResultLog {
    job: JobName,
    standing: Vec<ItemResult>,
    decided: BTreeSet<u32>,
    pending: Vec<ItemResult>,
    segments: u32,
    next: Next,
    /// What the create that is in flight holds.
    in_flight: Segment,
    foreign: bool,
    outputs: Vec<OutputPart>,
    kept: KeptOutputs,
}

impl ResultLog {
    /// Log of a job that no other process can have worked on.
    pub fn new(job: JobName) -> ResultLog {
        ResultLog {
            job,
            standing: Vec::new(),
            decided: BTreeSet::new(),
            pending: Vec::new(),
            segments: 0,
            next: Next::Append,
            in_flight: Segment::default(),
            foreign: false,
            outputs: Vec::new(),
            kept: KeptOutputs::default(),
        }
    }

    /// Log of a job that may have results.
    pub fn unread(job: JobName) -> ResultLog {
        ResultLog { next: Next::Read, ..ResultLog::new(job) }
    }

    /// Results that stand, in the order of their positions.
    pub fn committed(&self) -> &[ItemResult] {
        &self.standing
    }

    /// Whether an item's result stands.
    pub fn has_result(&self, item: u32) -> bool {
        self.decided.contains(&item)
    }

    /// Whether every segment that stood at the first read is read.
    pub fn is_caught_up(&self) -> bool {
        self.next == Next::Append
    }

    /// Reads the next segment before anything else: another writer may have appended it. To be called while no call is in
    /// flight.
    pub fn request_reread(&mut self) {
        self.next = Next::Read;
    }

    /// Whether nothing waits to be appended.
    pub fn is_flushed(&self) -> bool {
        self.pending.is_empty() && self.outputs.is_empty()
    }

    /// Adds what an item that still runs has put out since its last part.
    pub fn push_output(&mut self, part: OutputPart) {
        if !self.decided.contains(&part.item) {
            self.outputs.push(part);
        }
    }

    /// Whether outputs wait to be appended.
    pub fn has_outputs(&self) -> bool {
        !self.outputs.is_empty()
    }

    /// Takes the outputs of items without a result that were read from segments.
    pub fn take_saved_outputs(&mut self) -> BTreeMap<u32, PartialOutput> {
        self.kept.take()
    }

    /// Whether another writer was met since the last call.
    pub fn take_other_writer_seen(&mut self) -> bool {
        std::mem::take(&mut self.foreign)
    }

    /// Adds a result to append; the first one of an item counts.
    pub fn push(&mut self, result: ItemResult) {
        self.outputs.retain(|it| it.item != result.item);
        let known = self.decided.contains(&result.item);
        if !known && self.pending.iter().all(|it| it.item != result.item) {
            self.pending.push(result);
        }
    }

    /// Next call to make; one is in flight at a time.
    pub fn step(&mut self) -> LogStep {
        let key = segment_key(&self.job, self.segments);
        match self.next {
            Next::Read => LogStep::Store(StoreOp::Get { key }),
            Next::Append if self.is_flushed() => LogStep::Idle,
            Next::Append => {
                self.in_flight = self.fitting();
                let value = codec::segment_value(&self.in_flight.results, &self.in_flight.outputs);
                LogStep::Store(StoreOp::Create { key, labels: Labels::new(), value })
            }
        }
    }

    /// Takes the answer to the call of the last [`ResultLog::step`].
    pub fn answered(&mut self, answer: &StoreAnswer) -> LogStep {
        match (self.next, answer) {
            (Next::Append, StoreAnswer::Object(_)) => {
                let written = std::mem::take(&mut self.in_flight);
                self.stand(written);
            }
            (Next::Append, StoreAnswer::Taken | StoreAnswer::Unknown) => self.next = Next::Read,
            (Next::Read, StoreAnswer::Object(stored)) => match codec::read_segment(stored) {
                Ok(segment) => {
                    self.foreign |= segment != self.in_flight;
                    for part in &segment.outputs {
                        self.kept.add(part);
                    }
                    self.stand(segment);
                }
                Err(_) => return LogStep::Pause,
            },
            (Next::Read, StoreAnswer::Absent) => self.next = Next::Append,
            _ => return LogStep::Pause,
        }
        self.step()
    }

    fn stand(&mut self, segment: Segment) {
        for result in &segment.results {
            self.decided.insert(result.item);
            self.kept.remove(result.item);
        }
        self.pending.retain(|it| !self.decided.contains(&it.item));
        let stands = |it: &OutputPart| segment.outputs.contains(it);
        self.outputs.retain(|it| !self.decided.contains(&it.item) && !stands(it));
        self.in_flight = Segment::default();
        self.standing.extend(segment.results);
        self.segments += 1;
    }

    fn fitting(&self) -> Segment {
        let results = fitting(self.pending.iter().map(|it| it.text.len()), SEGMENT_BYTES);
        let outputs = fitting(self.outputs.iter().map(|it| it.text.len()), OUTPUT_BYTES);
        Segment {
            results: self.pending[..results].to_vec(),
            outputs: self.outputs[..outputs].to_vec(),
        }
    }
}

/// How many of these texts, by their bytes, fit into a limit; at least one if there is one.
fn fitting(bytes: impl ExactSizeIterator<Item = usize>, limit: usize) -> usize {
    let least = bytes.len().min(1);
    let mut sum = 0;
    let fits = bytes.take_while(|it| {
        sum += it;
        sum <= limit
    });
    fits.count().max(least)
}
