//! Batch jobs: accepted once, each item completed once, results readable.
//!
//! A job is a header, immutable chunks of items, and one results object per chunk. Creating the header is the moment
//! of acceptance. An item is complete when, and only when, its result stands in its chunk's results object, which only
//! changes by conditional update and never loses or replaces a result. That is the safety; owners, leases and commits
//! in groups only keep the work from being done twice.

mod commit;
mod run;
mod submission;

use std::{collections::BTreeMap, sync::Arc};

use samphiredoor_schema::objects::{ItemOutcome, ItemResult, JobHeader};

pub use submission::{Acceptance, Accepting, BadLine, Submission, SubmissionStep, service_in_path};

use crate::{
    Name,
    store::{Kind, ObjectKey, StoreAnswer, StoreOp, Version},
    time::Now,
};
use run::JobRun;

/// Layout of the stored objects that this version writes.
pub const FORMAT: u32 = 1;

/// Identity of a job: the name of its header.
pub type JobId = Name;

/// Identity of a store call within one state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// One item of a job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ItemRef {
    /// Job.
    pub job: JobId,
    /// Chunk within the job.
    pub chunk: u32,
    /// Item within the chunk.
    pub index: u32,
}

/// An item that wants to be run.
#[derive(Debug, Clone, PartialEq)]
pub struct ItemWork {
    /// Which item.
    pub item: ItemRef,
    /// Service asked for.
    pub service: Name,
    /// Workspace of the job.
    pub workspace: Name,
    /// Path of the call.
    pub url: String,
    /// Body of the call.
    pub body: serde_json::Value,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Wall-clock time at which the job is due.
    pub due_unix_ms: Option<u64>,
}

/// How a run of an item ended.
#[derive(Debug, Clone, PartialEq)]
pub enum ItemEnd {
    /// A whole answer arrived.
    Answered {
        /// HTTP status.
        status: u16,
        /// Body.
        body: serde_json::Value,
    },
    /// It did not run, or was cut for online requests; not counted as a try.
    NotRun,
    /// It may have run, and left no answer.
    MayHaveRun,
}

/// What happened.
#[derive(Debug, Clone)]
pub enum LedgerInput {
    /// This process owns the job from now on.
    Owned {
        /// Which job.
        job: JobId,
        /// Header as stored.
        header: Box<JobHeader>,
        /// Version of the header.
        version: Version,
    },
    /// A store call was answered.
    Stored {
        /// Which call.
        call: CallId,
        /// Its answer.
        answer: StoreAnswer,
    },
    /// The run of an item ended.
    ItemEnded {
        /// Which item.
        item: ItemRef,
        /// How.
        end: ItemEnd,
    },
    /// The process's own lease is held until this monotonic time; 0 if it is lost.
    Lease {
        /// End of the lease.
        valid_until_ms: u64,
    },
    /// The lease of another process has lapsed.
    Lapsed {
        /// Which process.
        process: Name,
        /// Which start of it.
        incarnation: u64,
    },
    /// Time passed.
    Tick,
}

/// What to do.
#[derive(Debug, Clone, PartialEq)]
pub enum LedgerAction {
    /// Make a store call.
    Store {
        /// Which call.
        call: CallId,
        /// The call.
        op: StoreOp,
    },
    /// Run an item when a target has room, and report how it ended.
    Run(Box<ItemWork>),
    /// Stop the run of an item, if it goes on.
    Stop(ItemRef),
}

/// Progress of a job that this process owns.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    /// Items with an answer.
    pub completed: u32,
    /// Items that ended as failures.
    pub failed: u32,
    /// Items handed out and not ended.
    pub running: u32,
}

/// Jobs that this process owns.
#[derive(Debug, Default)]
pub struct Ledger {
    runs: BTreeMap<JobId, JobRun>,
    calls: BTreeMap<CallId, JobId>,
    next_call: u64,
    writer: Name,
}

impl Ledger {
    /// Ledger of the process named by `writer`, which must differ between any two starts of any process.
    pub fn new(writer: Name) -> Ledger {
        Ledger { writer, ..Ledger::default() }
    }

    /// Takes one event; appends what to do to `out`.
    pub fn handle(&mut self, now: Now, input: LedgerInput, out: &mut Vec<LedgerAction>) {
        let mut ops = Vec::new();
        match input {
            LedgerInput::Owned { job, header, version } => {
                let run = JobRun::new(Arc::clone(&job), *header, version, Arc::clone(&self.writer));
                self.runs.insert(Arc::clone(&job), run);
                self.step(now, &job, None, &mut ops, out);
            }
            LedgerInput::Stored { call, answer } => {
                let Some(job) = self.calls.remove(&call) else { return };
                self.step(now, &job, Some(Event::Stored(call, answer)), &mut ops, out);
            }
            LedgerInput::ItemEnded { item, end } => {
                let job = Arc::clone(&item.job);
                self.step(now, &job, Some(Event::Ended(item, end)), &mut ops, out);
            }
            LedgerInput::Lease { .. } | LedgerInput::Lapsed { .. } => {}
            LedgerInput::Tick => {
                let jobs: Vec<JobId> = self.runs.keys().cloned().collect();
                for job in jobs {
                    self.step(now, &job, None, &mut ops, out);
                }
            }
        }
    }

    /// Progress of a job, if this process owns it.
    pub fn progress(&self, job: &str) -> Option<Progress> {
        self.runs.get(job).map(JobRun::progress)
    }

    /// Jobs that this process works on.
    pub fn jobs(&self) -> impl Iterator<Item = &JobId> {
        self.runs.keys()
    }

    fn step(
        &mut self,
        now: Now,
        job: &JobId,
        event: Option<Event>,
        ops: &mut Vec<(CallId, StoreOp)>,
        out: &mut Vec<LedgerAction>,
    ) {
        let Some(run) = self.runs.get_mut(job) else { return };
        let mut calls = Calls { next: &mut self.next_call, ops };
        run.step(now, event, &mut calls, out);
        let ended = run.ended();
        for (call, op) in ops.drain(..) {
            self.calls.insert(call, Arc::clone(job));
            out.push(LedgerAction::Store { call, op });
        }
        if ended {
            self.runs.remove(job);
        }
    }
}

enum Event {
    Stored(CallId, StoreAnswer),
    Ended(ItemRef, ItemEnd),
}

/// Numbers store calls and collects them.
struct Calls<'a> {
    next: &'a mut u64,
    ops: &'a mut Vec<(CallId, StoreOp)>,
}

impl Calls<'_> {
    fn add(&mut self, op: StoreOp) -> CallId {
        let call = CallId(*self.next);
        *self.next += 1;
        self.ops.push((call, op));
        call
    }
}

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

/// Key of a chunk's results.
pub fn results_key(job: &str, chunk: u32) -> ObjectKey {
    ObjectKey::new(Kind::Results, format!("{job}-{chunk:05}"))
}

fn outcome_counts<'a>(results: impl Iterator<Item = &'a ItemResult>) -> (u32, u32) {
    let mut completed = 0;
    let mut failed = 0;
    for result in results {
        match result.outcome {
            ItemOutcome::Answered => completed += 1,
            ItemOutcome::Failed | ItemOutcome::MayHaveRun => failed += 1,
        }
    }
    (completed, failed)
}
