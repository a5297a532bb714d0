//! Inputs and actions of [`Keys`](super::Keys).

use super::{keyed_request::KeyedRequest, record::SavedAnswer};
use crate::{
    Name,
    dispatch::RequestId,
    ledger::CallId,
    store::{StoreAnswer, StoreOp},
    verdict::{MayHaveRunReason, Refusal, Verdict},
};

/// Outcome of a run that is saved under the key.
#[derive(Debug, Clone, PartialEq)]
pub enum KeyOutcome {
    /// The whole answer arrived; resends get the same answer.
    Answered(SavedAnswer),
    /// The request did not run; a resend with the same key runs it.
    NotRun {
        /// After how many milliseconds the caller should retry.
        retry_after_ms: u64,
        /// Reason of the refusal.
        reason: Refusal,
    },
    /// The request may have run; it never runs again under this key.
    MayHaveRun(MayHaveRunReason),
}

/// An event that [`Keys`](super::Keys) handles.
#[derive(Debug, Clone)]
pub enum KeysInput {
    /// A request with an idempotency key arrived.
    Arrived(KeyedRequest),
    /// The run of a request ended, after [`KeysAction::Run`].
    RunEnded {
        /// Id of the request.
        request: RequestId,
        /// Outcome to be saved.
        outcome: KeyOutcome,
    },
    /// No caller waits for the request any more. If it was running, it counts as one that may have run.
    Cancelled {
        /// Id of the request.
        request: RequestId,
    },
    /// A store call was answered.
    Stored {
        /// Id of the call.
        call: CallId,
        /// Answer of the store.
        answer: StoreAnswer,
    },
    /// The lease of a process has expired, so its intents have probably no outcome. Only a hint: its intents are
    /// never taken over.
    LeaseExpired {
        /// Name of the incarnation, as made by [`holder_name`](super::holder_name).
        holder: Name,
    },
    /// Time has passed; due retries are made.
    Tick,
}

/// What the task that owns [`Keys`](super::Keys) must do.
#[derive(Debug, Clone, PartialEq)]
pub enum KeysAction {
    /// Send a call to the store and report its answer with [`KeysInput::Stored`].
    Store {
        /// Id of the call.
        call: CallId,
        /// Operation to perform.
        op: StoreOp,
    },
    /// The intent is committed: run the request and report its end with [`KeysInput::RunEnded`].
    Run {
        /// Id of the request.
        request: RequestId,
    },
    /// The same request already runs in this process; this one gets the same outcome.
    Joined {
        /// Id of the request.
        request: RequestId,
    },
    /// The request was answered before: send the saved answer.
    Replay {
        /// Id of the request.
        request: RequestId,
        /// Saved answer.
        answer: SavedAnswer,
    },
    /// The request gets no answer; this is final.
    Refuse {
        /// Id of the request.
        request: RequestId,
        /// Whether the request may have run, and why it gets no answer.
        verdict: Verdict,
    },
    /// A stored shard cannot be parsed; requests for its keys are refused until it can.
    Unreadable {
        /// Name of the object.
        object: Name,
    },
}
