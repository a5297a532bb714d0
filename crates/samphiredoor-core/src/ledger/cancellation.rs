//! Cancelling a job from any process.
//!
//! A conditional update of the header decides, so that a cancel that races with the job's end, or with a second
//! operator, has one outcome that everybody sees. The owner learns of it from the header.

use samphiredoor_schema::objects::{JobHeader, JobState};

use super::{
    codec::{header_labels, header_value, read_header},
    names::{JobId, header_key},
};
use crate::store::{StoreAnswer, StoreOp};

const TRIES: u32 = 6;

/// What a cancel needs next, or what came of it.
#[derive(Debug, Clone)]
pub enum CancelStep {
    /// Make this store call and report its answer.
    Store(StoreOp),
    /// The job is being cancelled, or was before; `header` says how far it came.
    Cancelled {
        /// Header as it stands.
        header: Box<JobHeader>,
    },
    /// The job had finished before.
    Finished {
        /// Header as it stands.
        header: Box<JobHeader>,
    },
    /// There is no such job.
    Absent,
    /// The header cannot be read.
    Unreadable,
    /// The store was of no help; the job is not cancelled.
    NotCancelled,
    /// The store was of no help, and it is not known whether the job is cancelled. Asking again is safe.
    MayBeCancelled,
}

/// One cancel of one job.
#[derive(Debug)]
pub struct Cancellation {
    job: JobId,
    tries_left: u32,
    written: bool,
}

impl Cancellation {
    /// Cancel of `job`.
    pub fn new(job: JobId) -> Cancellation {
        Cancellation { job, tries_left: TRIES, written: false }
    }

    /// First call.
    pub fn start(&mut self) -> CancelStep {
        CancelStep::Store(StoreOp::Get { key: header_key(&self.job) })
    }

    /// Takes an answer; says what comes next.
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
            // Somebody else has written, or our write may stand: the header tells.
            StoreAnswer::Conflict | StoreAnswer::Unknown => self.retry(),
            StoreAnswer::Absent => CancelStep::Absent,
            _ if self.written => self.retry(),
            _ => CancelStep::NotCancelled,
        }
    }

    fn retry(&mut self) -> CancelStep {
        if self.tries_left == 0 {
            return CancelStep::MayBeCancelled;
        }
        self.tries_left -= 1;
        self.start()
    }
}
