//! Outcome of a request with regard to whether it has run.
//!
//! Failures at every interface (target, store, peer, caller) are reported as a [`Verdict`]. `NotRun` is a guarantee: it
//! is only returned if no byte of the request can have reached a target.

use std::fmt;

/// Whether a request may have run, and the reason if it has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request did not run; it can be sent again.
    NotRun {
        /// Time in milliseconds after which the caller should retry.
        retry_after_ms: u64,
        /// Reason of the refusal.
        reason: Refusal,
    },
    /// The request may have run; only an idempotent one can be sent again.
    MayHaveRun {
        /// Reason of the unknown outcome.
        reason: MayHaveRunReason,
    },
    /// The request ran and its complete answer was delivered.
    Done,
}

/// Reason for which a request was refused before it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Refusal {
    /// The request itself is malformed.
    BadRequest,
    /// The requested service is not declared.
    UnknownService,
    /// No target of the service accepts work.
    NoTarget,
    /// All targets are at their limits and the queue is full.
    Overloaded,
    /// The request carries no API key of a workspace.
    Unauthorized,
    /// The workspace has reached its own limit.
    WorkspaceLimit,
    /// The deadline would pass before the request could run.
    DeadlineTooShort,
    /// Connections to the targets were refused.
    ConnectFailed,
    /// The request needs the store, which is unreachable.
    StoreUnavailable,
    /// The request is suspected of crashing targets.
    Quarantined,
    /// The idempotency key was used before for a request with other content.
    KeyReused,
    /// The table of idempotency keys is full.
    KeysFull,
    /// The process is stopping.
    Stopping,
    /// The process has no manifest yet.
    NotReady,
    /// A batch job could not be done by its due time.
    JobTooLate,
    /// It is not known which software version began the stream that the request takes up.
    VersionUnknown,
    /// No target is left of the software version that began the stream.
    VersionGone,
}

impl Refusal {
    /// All reasons, so that their counters are exported before they first occur.
    pub const ALL: [Refusal; 17] = [
        Refusal::BadRequest,
        Refusal::UnknownService,
        Refusal::NoTarget,
        Refusal::Overloaded,
        Refusal::Unauthorized,
        Refusal::WorkspaceLimit,
        Refusal::DeadlineTooShort,
        Refusal::ConnectFailed,
        Refusal::StoreUnavailable,
        Refusal::Quarantined,
        Refusal::KeyReused,
        Refusal::KeysFull,
        Refusal::Stopping,
        Refusal::NotReady,
        Refusal::JobTooLate,
        Refusal::VersionUnknown,
        Refusal::VersionGone,
    ];

    /// Label of the reason in answers, counters and logs.
    pub fn label(self) -> &'static str {
        match self {
            Refusal::BadRequest => "bad_request",
            Refusal::UnknownService => "unknown_service",
            Refusal::NoTarget => "no_target",
            Refusal::Overloaded => "overloaded",
            Refusal::Unauthorized => "unauthorized",
            Refusal::WorkspaceLimit => "workspace_limit",
            Refusal::DeadlineTooShort => "deadline_too_short",
            Refusal::ConnectFailed => "connect_failed",
            Refusal::StoreUnavailable => "store_unavailable",
            Refusal::Quarantined => "quarantined",
            Refusal::KeyReused => "key_reused",
            Refusal::KeysFull => "keys_full",
            Refusal::Stopping => "stopping",
            Refusal::NotReady => "not_ready",
            Refusal::JobTooLate => "job_too_late",
            Refusal::VersionUnknown => "version_unknown",
            Refusal::VersionGone => "version_gone",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

/// Reason for which it is unknown whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MayHaveRunReason {
    /// The connection failed after the request was sent.
    ConnectionLost,
    /// The answer was cut off before the end of its framing.
    AnswerCut,
    /// The deadline passed while the request ran.
    DeadlinePassed,
    /// A stored record shows that an earlier process intended to run the request and recorded no outcome.
    IntentWithoutOutcome,
    /// A write to the store got no answer.
    StoreAnswerLost,
    /// The same request, with the same idempotency key, is still running.
    StillRunning,
    /// The request ran, but its answer was too large to be stored.
    AnswerNotKept,
    /// Targets died while the request ran on them.
    TargetsDied,
}

impl MayHaveRunReason {
    /// All reasons, so that their counters are exported before they first occur.
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
    /// Whether a connection was lost, as in the crash of a target.
    pub fn is_loss(self) -> bool {
        matches!(self, MayHaveRunReason::ConnectionLost | MayHaveRunReason::AnswerCut)
    }

    /// Parses a label.
    pub fn from_label(label: &str) -> Option<MayHaveRunReason> {
        MayHaveRunReason::ALL.into_iter().find(|it| it.label() == label)
    }
}

impl fmt::Display for MayHaveRunReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}
