//! Inputs and actions of the ledger.

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

/// One item of a job, as run by one owner.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ItemRef {
    /// Job that the item belongs to.
    pub job: JobId,
    /// Fencing token of the owner that runs it.
    pub epoch: u64,
    /// Index of the chunk within the job.
    pub chunk: u32,
    /// Index of the item within the chunk.
    pub index: u32,
}

/// An item to be run.
#[derive(Debug, Clone, PartialEq)]
pub struct ItemWork {
    /// Identity of the item.
    pub item: ItemRef,
    /// Service that the item requests.
    pub service: Name,
    /// Workspace of the job.
    pub workspace: Name,
    /// Path of the request.
    pub url: String,
    /// Body of the request, as JSON text.
    pub body: Arc<str>,
    /// Whether the item may run more than once.
    pub repeatable: bool,
    /// Wall-clock time at which the job is due.
    pub due_unix_ms: Option<u64>,
}

/// How a run of an item ended.
#[derive(Debug, Clone, PartialEq)]
pub enum ItemEnd {
    /// A complete response arrived.
    Answered {
        /// HTTP status.
        status: u16,
        /// Body of the response.
        body: serde_json::Value,
    },
    /// The item did not run, or is repeatable and was preempted by online requests. Does not count as a try.
    NotRun {
        /// Shortest delay before the item is started again.
        retry_after_ms: u64,
    },
    /// The item may have run, but no response arrived.
    MayHaveRun,
    /// The item did not run and is not retried: the request or its service is refused permanently.
    Refused {
        /// Reason for the refusal, recorded as the item's error.
        reason: String,
    },
}

/// Event for the ledger.
#[derive(Debug, Clone)]
pub enum LedgerInput {
    /// This process has accepted the job and is its owner.
    Owned {
        /// Identifier of the job.
        job: JobId,
        /// Header as stored at acceptance.
        header: Box<JobHeader>,
        /// Version of the header.
        version: Version,
    },
    /// A store call has completed.
    Stored {
        /// Identifier of the call.
        call: CallId,
        /// Answer of the store.
        answer: StoreAnswer,
    },
    /// The run of an item ended. Each [`LedgerAction::Run`] leads to exactly one, also after a [`LedgerAction::Stop`].
    ItemEnded {
        /// Identity of the item.
        item: ItemRef,
        /// Outcome of the run.
        end: ItemEnd,
    },
    /// This process's lease was renewed or lost.
    Lease {
        /// Monotonic time until which the lease is held; 0 if it is lost.
        valid_until_ms: u64,
    },
    /// The lease of another process has expired. A hint: it may be repeated, and may be wrong.
    LeaseExpired {
        /// Name of the process.
        process: Name,
        /// Its incarnation.
        incarnation: u64,
    },
    /// Processes that hold a valid lease, including this one. A hint.
    Live {
        /// Names of the processes.
        processes: Vec<Name>,
    },
    /// A job that this process may own was cancelled. A hint.
    CancelHint {
        /// Identifier of the job.
        job: JobId,
    },
    /// Another process has released the job for takeover. A hint.
    Offered {
        /// Identifier of the job.
        job: JobId,
    },
    /// A graceful shutdown has begun: all jobs are to be handed over.
    Stopping,
    /// Periodic event that drives timeouts, retries and scans.
    Tick,
}

/// Action that the ledger requests from its task.
#[derive(Debug, Clone, PartialEq)]
pub enum LedgerAction {
    /// Make a store call.
    Store {
        /// Identifier of the call.
        call: CallId,
        /// Operation to execute.
        op: StoreOp,
    },
    /// Run an item as soon as a target has a free slot, and report its end.
    Run(Box<ItemWork>),
    /// Stop the run of an item if it is still in progress. A run that may have started and is not repeatable is left to
    /// end.
    Stop(ItemRef),
    /// The job was released; notify the other processes that they can take it over.
    HandedOver(JobId),
    /// Log and count an event.
    Note(Note),
}

/// Event to log and count.
#[derive(Debug, Clone, PartialEq)]
pub enum Note {
    /// This process took over a job without a live owner.
    TakenOver {
        /// Identifier of the job.
        job: JobId,
        /// Fencing token of the new ownership.
        epoch: u64,
    },
    /// This process stopped work on a job because another process took it over or the job was removed.
    Dropped {
        /// Identifier of the job.
        job: JobId,
    },
    /// A job was finished or cancelled.
    Closed {
        /// Identifier of the job.
        job: JobId,
        /// Final state.
        state: JobState,
    },
    /// This process's lease has expired; no items are started until it is renewed.
    LeaseExpired,
    /// A stored object cannot be read; it is left unchanged.
    Unreadable {
        /// Key of the object.
        key: ObjectKey,
        /// Reason that it cannot be read.
        fault: Unreadable,
    },
}

/// Progress of a job that this process owns.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    /// Items with a successful response.
    pub completed: u32,
    /// Items that failed or may have run.
    pub failed: u32,
    /// Items started and not ended.
    pub running: u32,
}
