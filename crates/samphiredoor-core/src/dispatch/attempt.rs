//! How one attempt at a target can end.

use crate::verdict::Doubt;

/// End of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The whole answer arrived.
    Done,
    /// No byte of the request reached the target.
    NotSent,
    /// The request was sent; its answer is lost or cut.
    Lost(Doubt),
    /// Cut by ourselves, so that the capacity is free again.
    Aborted,
    /// Cut by ourselves as well, but the request waits for a slot again: a decision follows. For batch requests only.
    Yielded,
}
