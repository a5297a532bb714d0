//! Versions of the software of targets. Targets of several versions may serve one service side by side, and what two
//! versions write does not fit together: a stream may go on only at the version that began it.

use crate::Name;

/// The run that began a stream, as far as it decides where the stream may go on.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct StreamOrigin {
    /// Software version of its target; empty if the target's entry told none.
    pub version: Name,
    /// Hash of the target's name, from [`crate::placement::name_hash`].
    pub target: u64,
    /// Wall-clock start time of the target, in milliseconds since 1970.
    pub target_started_unix_ms: u64,
}
