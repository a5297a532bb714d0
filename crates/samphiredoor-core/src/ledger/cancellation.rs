//! Cancellation of a job from any process.
//!
//! The cancellation is a conditional update of the job's header, so that one that races with the end of the job or with
//! another cancellation has a single outcome for all processes. The owner reads it from the header.

use samphiredoor_schema::objects::{JobHeader, JobState};

use super::{
    codec::{header_labels, header_value, read_header},
    names::{JobId, header_key},
};
use crate::store::{StoreAnswer, StoreOp};

const RETRIES: u32 = 6;

/// Next store call of a cancellation, or its outcome.
#[derive(Debug, Clone)]
pub enum CancelStep {
    /// Make this store call and pass its answer to [`Cancellation::handle_answer`].
    Store(StoreOp),
    /// The job is being cancelled or was already cancelled; `header` holds its progress.
    Cancelled {
        /// Stored header of the job.
        header: Box<JobHeader>,
    },
    /// The job finished before it was cancelled.
    Finished {
        /// Stored header of the job.
        header: Box<JobHeader>,
    },
    /// The job does not exist.
    Absent,
    /// The header cannot be read.
    Unreadable,
    /// The store failed the call; the job is not cancelled.
    NotCancelled,
    /// The store failed and the job may have been cancelled. A repeated request is safe.
    MayBeCancelled,
}

/// One request to cancel a job.
#[derive(Debug)]
pub struct Cancellation {
    job: JobId,
    retries_left: u32,
    written: bool,
}

impl Cancellation {
    /// Creates a cancellation of `job`.
    pub fn new(job: JobId) -> Cancellation {
        Cancellation { job, retries_left: RETRIES, written: false }
    }

    /// Returns the first store call.
    pub fn start(&mut self) -> CancelStep {
        CancelStep::Store(StoreOp::Get { key: header_key(&self.job) })
    }

    /// Handles the answer of the last store call and returns the next step.
    pub fn handle_answer(&mut self, answer: StoreAnswer) -> CancelStep {
        match answer {
            StoreAnswer::Object(stored) => match read_header(&stored.value) {
                Ok(header) if header.state == JobState::Running => {
                    let mut header = header;
                    header.state = JobState::Cancelling;
                    self.written = true;
                    CancelStep::Store(StoreOp::Update {
                        key: header_key(&self.job),
                        version: stored.version,
                        labels: header_labels(&header),
                        value: header_value(&header),
                    })
                }
                Ok(header) if header.state == JobState::Finished => {
                    CancelStep::Finished { header: Box::new(header) }
                }
                Ok(header) => CancelStep::Cancelled { header: Box::new(header) },
                Err(_) => CancelStep::Unreadable,
            },
            // Another process has written the header, or this write may have taken effect; the header shows which.
            StoreAnswer::Conflict | StoreAnswer::Unknown => self.retry(),
            StoreAnswer::Absent => CancelStep::Absent,
            _ if self.written => self.retry(),
            _ => CancelStep::NotCancelled,
        }
    }

    fn retry(&mut self) -> CancelStep {
        if self.retries_left == 0 {
            return CancelStep::MayBeCancelled;
        }
        self.retries_left -= 1;
        self.start()
    }
}
