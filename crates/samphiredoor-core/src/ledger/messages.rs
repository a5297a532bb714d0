//! What goes into the ledger and what comes out.

use std::sync::Arc;

use samphiredoor_schema::objects::{JobHeader, JobState};

use super::{
    codec::Unreadable,
    names::{CallId, JobId},
};
use crate::{
    Name,
    store::{ObjectKey, StoreAnswer, StoreOp, Version},
};

/// One item of a job, as one owner runs it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ItemRef {
    /// Job.
    pub job: JobId,
    /// Fencing number of the taking under which it runs.
    pub epoch: u64,
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
    /// Body of the call, as JSON text.
    pub body: Arc<str>,
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
    /// It did not run, or was cut for online requests and may run twice; not counted as a try.
    NotRun {
        /// When to try again.
        retry_after_ms: u64,
    },
    /// It may have run, and left no answer.
    MayHaveRun,
    /// It did not run, and never will: the request or its service is refused for good.
    Refused {
        /// Why.
        reason: String,
    },
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
    /// The run of an item ended. Each [`LedgerAction::Run`] is answered by one, also after a stop.
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
    /// The lease of another process has lapsed. A hint: it may come again and again, and be wrong.
    LeaseExpired {
        /// Which process.
        process: Name,
        /// Which start of it.
        incarnation: u64,
    },
    /// The processes whose leases are held, this one among them. A hint.
    Live {
        /// Their names.
        processes: Vec<Name>,
    },
    /// A job that this process may own is cancelled. A hint.
    CancelHint {
        /// Which job.
        job: JobId,
    },
    /// Another process has handed the job over. A hint.
    Offered {
        /// Which job.
        job: JobId,
    },
    /// A planned stop has begun: all jobs are to be handed over.
    Stopping,
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
    /// Stop the run of an item, if it goes on. A run that must not be repeated and may have begun is left to end.
    Stop(ItemRef),
    /// The job is free to be taken by another process; tell them.
    HandedOver(JobId),
    /// Something to log and count.
    Note(Note),
}

/// Something to log and count.
#[derive(Debug, Clone, PartialEq)]
pub enum Note {
    /// A job was taken from a process that no longer works on it.
    TakenOver {
        /// Which job.
        job: JobId,
        /// Fencing number of the taking.
        epoch: u64,
    },
    /// A job was dropped: another process has taken it, or it was removed.
    Dropped {
        /// Which job.
        job: JobId,
    },
    /// A job has ended.
    Closed {
        /// Which job.
        job: JobId,
        /// How.
        state: JobState,
    },
    /// The own lease is over; nothing is handed out until it is held again.
    LeaseExpired,
    /// A stored object cannot be read and is left alone.
    Unreadable {
        /// Which object.
        key: ObjectKey,
        /// Why.
        fault: Unreadable,
    },
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
