//! Outcomes of an attempt at a target.

use crate::verdict::MayHaveRunReason;

/// Outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The complete answer arrived.
    Completed,
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
    AnswerLost(MayHaveRunReason),
    /// The answer was truncated after part of it had reached the caller, who has been notified.
    AnswerTruncated(MayHaveRunReason),
    /// The gateway aborted the attempt to free the capacity; the request ends.
    Aborted,
    /// The gateway aborted the attempt to free the capacity, and the request waits for a slot again: another action
    /// for it follows. Batch requests only.
    Preempted,
}

impl AttemptEnd {
    /// Whether the request ends with this attempt, so that the dispatcher sends no further action for it.
    pub fn is_final(self) -> bool {
        match self {
            AttemptEnd::Completed
            | AttemptEnd::Failed
            | AttemptEnd::AnswerTruncated(_)
            | AttemptEnd::Aborted => true,
            AttemptEnd::NotSent
            | AttemptEnd::Pushback { .. }
            | AttemptEnd::AnswerLost(_)
            | AttemptEnd::Preempted => false,
        }
    }

    /// Whether the outcome counts as a failure of the target. A passed deadline does not: the request may have been
    /// sent with little time left.
    pub fn is_failure(self) -> bool {
        match self {
            AttemptEnd::AnswerLost(cause) | AttemptEnd::AnswerTruncated(cause) => {
                cause != MayHaveRunReason::DeadlinePassed
            }
            AttemptEnd::Failed => true,
            AttemptEnd::Completed
            | AttemptEnd::NotSent
            | AttemptEnd::Pushback { .. }
            | AttemptEnd::Aborted
            | AttemptEnd::Preempted => false,
        }
    }
}
