//! Targets that send nothing for a while: when an attempt counts as silent, and what is known of the alternatives.

/// Time without data from a target after which it counts as silent. A working target sends output every 25 ms and a full one
/// starts within 300 ms.
pub const SILENCE_LIMIT_MS: u64 = 1_000;

/// Whether a request may be sent to another target once its attempt has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextRun {
    /// It may.
    Allowed,
    /// Its route allows no further attempt.
    AttemptsUsed,
    /// Its route allows a single run.
    RunsOnce,
    /// Events were forwarded, and no other target can go on after them.
    NotResumable,
    /// Too little time is left, or it was sent too often.
    Late,
}

impl NextRun {
    /// Label in logs.
    pub fn label(self) -> &'static str {
        match self {
            NextRun::Allowed => "allowed",
            NextRun::AttemptsUsed => "attempts_used",
            NextRun::RunsOnce => "runs_once",
            NextRun::NotResumable => "not_resumable",
            NextRun::Late => "late",
        }
    }
}

/// Whether a target that a request was not tried at can run it at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OtherTarget {
    /// One has a free slot and is not in backoff.
    FreeSlot,
    /// There is none.
    None,
}

impl OtherTarget {
    /// Label in logs.
    pub fn label(self) -> &'static str {
        match self {
            OtherTarget::FreeSlot => "free_slot",
            OtherTarget::None => "none",
        }
    }
}

/// How the silence of a target has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceEnd {
    /// It sent data again, or the connection failed.
    Resumed,
    /// The request went on at another target.
    Moved,
    /// The target is gone.
    Gone,
    /// The time of the request was up.
    Deadline,
}

impl SilenceEnd {
    /// All ends, so that their counters are exported before they first occur.
    pub const ALL: [SilenceEnd; 4] =
        [SilenceEnd::Resumed, SilenceEnd::Moved, SilenceEnd::Gone, SilenceEnd::Deadline];

    /// Label in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            SilenceEnd::Resumed => "resumed",
            SilenceEnd::Moved => "moved",
            SilenceEnd::Gone => "gone",
            SilenceEnd::Deadline => "deadline",
        }
    }
}
