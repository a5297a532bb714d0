//! What goes into the machine of the keys, and what comes out.

use super::{arrival::KeyedRequest, record::KeptAnswer};
use crate::{
    Name,
    dispatch::RequestId,
    ledger::CallId,
    store::{StoreAnswer, StoreOp},
    verdict::{MayHaveRunReason, Refusal, Verdict},
};

/// How a run ended.
#[derive(Debug, Clone, PartialEq)]
pub enum KeyOutcome {
    /// The whole answer arrived.
    Answered(KeptAnswer),
    /// It truly did not run, and may be sent again under the same key.
    NotRun {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
        /// Why.
        reason: Refusal,
    },
    /// It may have run, and is never run again.
    MayHaveRun(MayHaveRunReason),
}

/// What happened.
#[derive(Debug, Clone)]
pub enum KeysInput {
    /// A request arrived under a key.
    Arrived(KeyedRequest),
    /// A request that was told to run ended.
    RunEnded {
        /// Which request.
        request: RequestId,
        /// How.
        outcome: KeyOutcome,
    },
    /// Nobody waits for the request any more. A run in hand counts as one that may have run.
    Cancelled {
        /// Which request.
        request: RequestId,
    },
    /// A store call was answered.
    Stored {
        /// Which call.
        call: CallId,
        /// Its answer.
        answer: StoreAnswer,
    },
    /// A process is believed dead; a hint.
    LeaseExpired {
        /// Name as in [`KeysConfig::holder`](super::config::KeysConfig::holder).
        holder: Name,
    },
    /// Time passed.
    Tick,
}

/// What to do.
#[derive(Debug, Clone, PartialEq)]
pub enum KeysAction {
    /// Make a store call.
    Store {
        /// Which call.
        call: CallId,
        /// The call.
        op: StoreOp,
    },
    /// The intent is durable: run the request and report its end.
    Run {
        /// Which request.
        request: RequestId,
    },
    /// The same request runs in this process; its outcome will be this request's too.
    Joined {
        /// Which request.
        request: RequestId,
    },
    /// The request was answered before: answer the same again.
    Replay {
        /// Which request.
        request: RequestId,
        /// The answer.
        answer: KeptAnswer,
    },
    /// The request ends without an answer; this is final.
    Refuse {
        /// Which request.
        request: RequestId,
        /// Whether it may have run.
        verdict: Verdict,
    },
    /// A stored object cannot be read; its keys are refused until it can.
    Unreadable {
        /// Which object.
        object: Name,
    },
}
