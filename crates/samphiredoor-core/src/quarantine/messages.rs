//! Inputs and actions of [`Quarantine`](super::Quarantine).

use std::net::SocketAddr;

use super::suspects::Suspect;
use crate::{
    dispatch::RequestId,
    ledger::CallId,
    store::{StoreAnswer, StoreOp},
};

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// With a whole answer.
    Answered,
    /// The connection was lost after the request was sent.
    ConnectionLost,
    /// In any other way, which neither clears the request nor makes it a suspect.
    Other,
}

/// An event that [`Quarantine`](super::Quarantine) handles.
#[derive(Debug, Clone)]
pub enum QuarantineInput {
    /// An attempt to run a request at a target asks for admission.
    Admit {
        /// Id of the request, which has one attempt at a time.
        attempt: RequestId,
        /// Hash of the request, the same for each resend.
        fingerprint: u64,
        /// Address of the target.
        target: SocketAddr,
    },
    /// An attempt ended.
    Ended {
        /// Id of the attempt's request.
        attempt: RequestId,
        /// What its end means for the request.
        outcome: AttemptOutcome,
    },
    /// A connection was tried, as requested by [`QuarantineAction::Probe`].
    Probed {
        /// Address of the target.
        target: SocketAddr,
        /// Whether the connection was refused.
        refused: bool,
    },
    /// A peer has reported a change of a fingerprint.
    PeerReport(Suspect),
    /// An owner lifts the quarantine or the suspicion of a request.
    Lift {
        /// Hash of the request.
        fingerprint: u64,
    },
    /// A store call was answered.
    Stored {
        /// Id of the call.
        call: CallId,
        /// Answer of the store.
        answer: StoreAnswer,
    },
    /// Time has passed; expired entries are removed and the stored list is read when it is due.
    Tick,
}

/// What the task that owns the [`Quarantine`](super::Quarantine) must do.
#[derive(Debug, Clone, PartialEq)]
pub enum QuarantineAction {
    /// The attempt is admitted and may be sent.
    Dispatch {
        /// Id of the attempt's request.
        attempt: RequestId,
    },
    /// The request is quarantined and must not be sent; this is final.
    Refuse {
        /// Id of the attempt's request.
        attempt: RequestId,
    },
    /// Try to connect to a target, and report the result with [`QuarantineInput::Probed`].
    Probe {
        /// Address of the target.
        target: SocketAddr,
    },
    /// It is known whether the target of a lost attempt died; the request may be retried elsewhere.
    LossResolved {
        /// Id of the attempt's request.
        attempt: RequestId,
    },
    /// Report a change of a fingerprint to all peers.
    NotifyPeers(Suspect),
    /// A fingerprint has been quarantined, to be logged and counted.
    Quarantined {
        /// Hash of the request.
        fingerprint: u64,
    },
    /// Send a call to the store and report its answer with [`QuarantineInput::Stored`].
    Store {
        /// Id of the call.
        call: CallId,
        /// Operation to perform.
        op: StoreOp,
    },
}
