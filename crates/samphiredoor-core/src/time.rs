//! Time as an input of the state machines.

/// A moment on both clocks, read once per event by the task that owns the state machine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Now {
    /// Monotonic time of this process, in milliseconds; for leases, deadlines and rates.
    pub mono_ms: u64,
    /// Wall-clock time, in milliseconds since 1970; only for due times and the ages of records.
    pub unix_ms: u64,
}

impl Now {
    /// Creates a moment from the times of both clocks.
    pub fn new(mono_ms: u64, unix_ms: u64) -> Now {
        Now { mono_ms, unix_ms }
    }
}
