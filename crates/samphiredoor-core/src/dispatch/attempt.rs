//! Outcomes of an attempt at a target.

use crate::verdict::Doubt;

/// Outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The complete answer arrived.
    Done,
    /// The complete answer arrived and reports that the target failed; the caller gets it unchanged.
    Failed,
    /// No byte of the request reached the target.
    NotSent,
    /// The target refused the request without running it, because it is overloaded.
    Pushback {
        /// Delay until the next attempt that the target asked for, in milliseconds; 0 if it gave none.
        retry_after_ms: u64,
    },
    /// The request was sent, but its answer was lost before any of it reached the caller.
    Lost(Doubt),
    /// The answer was truncated after part of it had reached the caller, who has been notified.
    Cut(Doubt),
    /// The gateway aborted the attempt to free the capacity; the request ends.
    Aborted,
    /// The gateway aborted the attempt to free the capacity, and the request waits for a slot again: another action
    /// for it follows. Batch requests only.
    Yielded,
}

impl AttemptEnd {
    /// Whether the request ends with this attempt, so that the dispatcher sends no further action for it.
    pub fn closes(self) -> bool {
        match self {
            AttemptEnd::Done | AttemptEnd::Failed | AttemptEnd::Cut(_) | AttemptEnd::Aborted => {
                true
            }
            AttemptEnd::NotSent
            | AttemptEnd::Pushback { .. }
            | AttemptEnd::Lost(_)
            | AttemptEnd::Yielded => false,
        }
    }

    /// Whether the outcome counts as a failure of the target. A passed deadline does not: the request may have been
    /// sent with little time left.
    pub fn is_failure(self) -> bool {
        match self {
            AttemptEnd::Lost(doubt) | AttemptEnd::Cut(doubt) => doubt != Doubt::DeadlinePassed,
            AttemptEnd::Failed => true,
            AttemptEnd::Done
            | AttemptEnd::NotSent
            | AttemptEnd::Pushback { .. }
            | AttemptEnd::Aborted
            | AttemptEnd::Yielded => false,
        }
    }
}
