//! What is known about whether a request has run.
//!
//! Every border (target, store, peer, caller) speaks of a failed request with one [`Verdict`]. `NotRun` is a promise:
//! it is only given where no byte of the request can have reached a target.

use std::fmt;

/// Whether a request may have run, and why it has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request did not run; it can be sent again.
    NotRun {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
        /// Why.
        reason: Refusal,
    },
    /// The request may have run; only an idempotent one can be sent again.
    MayHaveRun {
        /// Why.
        reason: MayHaveRunReason,
    },
    /// The request ran and its whole answer was delivered.
    Done,
}

/// Why a request was refused before it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Refusal {
    /// The request itself is malformed.
    BadRequest,
    /// No such service is declared.
    UnknownService,
    /// No target of the service can take work.
    NoTarget,
    /// All targets are at their limits and the queue is full.
    Overloaded,
    /// The workspace is at its own limit.
    WorkspaceLimit,
    /// The deadline would pass first.
    DeadlineTooShort,
    /// Connections to the targets were refused.
    ConnectFailed,
    /// The store is not reachable, and the request needs it.
    StoreUnavailable,
    /// The request is suspected of crashing targets.
    Quarantined,
    /// The same key came with other content.
    KeyReused,
    /// There is no room to remember another key.
    KeysFull,
    /// The process is stopping.
    Stopping,
    /// The process has no manifest yet.
    NotReady,
}

impl Refusal {
    /// All reasons, for counters that stand at zero.
    pub const ALL: [Refusal; 13] = [
        Refusal::BadRequest,
        Refusal::UnknownService,
        Refusal::NoTarget,
        Refusal::Overloaded,
        Refusal::WorkspaceLimit,
        Refusal::DeadlineTooShort,
        Refusal::ConnectFailed,
        Refusal::StoreUnavailable,
        Refusal::Quarantined,
        Refusal::KeyReused,
        Refusal::KeysFull,
        Refusal::Stopping,
        Refusal::NotReady,
    ];

    /// Label of the reason in answers, counters and logs.
    pub fn label(self) -> &'static str {
        match self {
            Refusal::BadRequest => "bad_request",
            Refusal::UnknownService => "unknown_service",
            Refusal::NoTarget => "no_target",
            Refusal::Overloaded => "overloaded",
            Refusal::WorkspaceLimit => "workspace_limit",
            Refusal::DeadlineTooShort => "deadline_too_short",
            Refusal::ConnectFailed => "connect_failed",
            Refusal::StoreUnavailable => "store_unavailable",
            Refusal::Quarantined => "quarantined",
            Refusal::KeyReused => "key_reused",
            Refusal::KeysFull => "keys_full",
            Refusal::Stopping => "stopping",
            Refusal::NotReady => "not_ready",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

/// Why it is not known whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MayHaveRunReason {
    /// The connection failed after the request was sent.
    ConnectionLost,
    /// The answer was cut before its framing ended.
    AnswerCut,
    /// The deadline passed while the request ran.
    DeadlinePassed,
    /// A record says that an earlier process meant to run it and left no outcome.
    IntentWithoutOutcome,
    /// A write to the store was not answered.
    StoreAnswerLost,
    /// The same request, under the same key, is running now.
    StillRunning,
    /// The request ran; its answer was too large to be kept.
    AnswerNotKept,
    /// Targets died while the request ran on them.
    TargetsDied,
}

impl MayHaveRunReason {
    /// All reasons, for counters that stand at zero.
    pub const ALL: [MayHaveRunReason; 8] = [
        MayHaveRunReason::ConnectionLost,
        MayHaveRunReason::AnswerCut,
        MayHaveRunReason::DeadlinePassed,
        MayHaveRunReason::IntentWithoutOutcome,
        MayHaveRunReason::StoreAnswerLost,
        MayHaveRunReason::StillRunning,
        MayHaveRunReason::AnswerNotKept,
        MayHaveRunReason::TargetsDied,
    ];

    /// Label of the reason in answers, counters and logs.
    pub fn label(self) -> &'static str {
        match self {
            MayHaveRunReason::ConnectionLost => "connection_lost",
            MayHaveRunReason::AnswerCut => "answer_cut",
            MayHaveRunReason::DeadlinePassed => "deadline_passed",
            MayHaveRunReason::IntentWithoutOutcome => "intent_without_outcome",
            MayHaveRunReason::StoreAnswerLost => "store_answer_lost",
            MayHaveRunReason::StillRunning => "still_running",
            MayHaveRunReason::AnswerNotKept => "answer_not_kept",
            MayHaveRunReason::TargetsDied => "targets_died",
        }
    }
}

impl MayHaveRunReason {
    /// Whether a connection was lost, as by a target's death.
    pub fn is_loss(self) -> bool {
        matches!(self, MayHaveRunReason::ConnectionLost | MayHaveRunReason::AnswerCut)
    }

    /// Reason by its label.
    pub fn from_label(label: &str) -> Option<MayHaveRunReason> {
        MayHaveRunReason::ALL.into_iter().find(|it| it.label() == label)
    }
}

impl fmt::Display for MayHaveRunReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}
