//! What goes into the quarantine, and what comes out.

use std::net::SocketAddr;

use super::suspects::Suspect;
use crate::{
    dispatch::RequestId,
    ledger::CallId,
    store::{StoreAnswer, StoreOp},
};

/// How an attempt left its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// With a whole answer.
    Answered,
    /// The connection was lost after the request was sent.
    ConnectionLost,
    /// In any other way; it says nothing about the request.
    Other,
}

/// What happened.
#[derive(Debug, Clone)]
pub enum QuarantineInput {
    /// A request is about to be sent to a target.
    Admit {
        /// Which attempt; one at a time for a request.
        attempt: RequestId,
        /// Hash of the request.
        fingerprint: u64,
        /// Where the target listens.
        target: SocketAddr,
    },
    /// An attempt left its target.
    Ended {
        /// Which attempt.
        attempt: RequestId,
        /// How.
        outcome: AttemptOutcome,
    },
    /// A connection was tried as [`QuarantineAction::Probe`] asked.
    Probed {
        /// Where the target listens.
        target: SocketAddr,
        /// Whether the connection was refused.
        refused: bool,
    },
    /// A peer told of a request.
    PeerReport(Suspect),
    /// An owner lifts the suspicion.
    Lift {
        /// Hash of the request.
        fingerprint: u64,
    },
    /// A store call was answered.
    Stored {
        /// Which call.
        call: CallId,
        /// Its answer.
        answer: StoreAnswer,
    },
    /// Time passed.
    Tick,
}

/// What to do.
#[derive(Debug, Clone, PartialEq)]
pub enum QuarantineAction {
    /// The attempt may be sent.
    Dispatch {
        /// Which attempt.
        attempt: RequestId,
    },
    /// The request is blamed; this is final.
    Refuse {
        /// Which attempt.
        attempt: RequestId,
    },
    /// Try a connection to a target, and report it.
    Probe {
        /// Where the target listens.
        target: SocketAddr,
    },
    /// It is known what the loss of an attempt means; the request may be tried elsewhere.
    LossResolved {
        /// Which attempt.
        attempt: RequestId,
    },
    /// Tell all peers.
    NotifyPeers(Suspect),
    /// A request is blamed from now on.
    Quarantined {
        /// Hash of the request.
        fingerprint: u64,
    },
    /// Make a store call.
    Store {
        /// Which call.
        call: CallId,
        /// The call.
        op: StoreOp,
    },
}
