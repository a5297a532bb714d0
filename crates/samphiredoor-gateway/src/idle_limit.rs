//! Idle limit of callers' connections, derived from the one that the operators set.
//!
//! Callers reuse a connection by the newest limit that they know, which may be older or newer than the one that this process
//! knows. A connection that closes sooner than its caller expects may do so just as a request arrives.

use std::time::{Duration, Instant};

/// Added to the operators' limit. Covers the time in which a raised limit arrives here, and the round trip of a request
/// that is sent at the last moment.
const GRACE: Duration = Duration::from_secs(2);
/// How long the operators' limit must have been lower before it is lowered here: callers may learn of it that much later,
/// and a limit that changes back and forth stays at its highest value.
const LOWERING_DELAY: Duration = Duration::from_secs(5);

/// Idle limit that is in force.
#[derive(Debug)]
pub struct IdleLimit {
    /// Highest limit of the operators within [`LOWERING_DELAY`].
    highest: Duration,
    /// When the operators' limit was last seen at this value or above.
    seen_at: Instant,
    /// Highest limit that was seen since then.
    highest_since: Duration,
}

impl IdleLimit {
    /// Limit before any was read.
    pub fn new(operators: Duration, now: Instant) -> IdleLimit {
        IdleLimit { highest: operators, seen_at: now, highest_since: Duration::ZERO }
    }

    /// Updates the limit with the one that the operators have set, and returns what is in force.
    pub fn update(&mut self, operators: Duration, now: Instant) -> Duration {
        self.highest_since = self.highest_since.max(operators);
        let may_lower = now.saturating_duration_since(self.seen_at) >= LOWERING_DELAY;
        if operators >= self.highest || may_lower {
            *self = IdleLimit::new(self.highest_since, now);
        }
        self.highest + GRACE
    }
}
