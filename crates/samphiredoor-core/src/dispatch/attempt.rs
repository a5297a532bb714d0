//! How one attempt at a target can end.

use crate::verdict::MayHaveRunReason;

/// End of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The whole answer arrived.
    Completed,
    /// The whole answer arrived, and says that the target failed; the caller gets it as it is.
    Failed,
    /// No byte of the request reached the target.
    NotSent,
    /// The target refused the request without running it, because it has too much to do.
    Pushback {
        /// When it asked to be called again, in milliseconds; 0 if it did not say.
        retry_after_ms: u64,
    },
    /// The request was sent; its answer is lost, and nothing of it reached the caller.
    AnswerLost(MayHaveRunReason),
    /// The answer was cut after a part of it had reached the caller, who has been told so.
    AnswerTruncated(MayHaveRunReason),
    /// Cut by ourselves, so that the capacity is free again.
    Aborted,
    /// Cut by ourselves as well, but the request waits for a slot again: a decision follows. For batch requests only.
    Preempted,
}

impl AttemptEnd {
    /// Whether the request ends with this attempt, without any further action of the dispatcher.
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

    /// Whether it speaks against the target.
    pub fn is_failure(self) -> bool {
        match self {
            AttemptEnd::AnswerLost(doubt) | AttemptEnd::AnswerTruncated(doubt) => {
                doubt != MayHaveRunReason::DeadlinePassed
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
