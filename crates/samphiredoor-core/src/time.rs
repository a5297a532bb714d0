//! Time as the decisions see it.

/// One moment, read once per event by the task that owns the state machine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Now {
    /// Monotonic time of this process, in milliseconds; for leases, deadlines and rates.
    pub mono_ms: u64,
    /// Wall-clock time, in milliseconds since 1970; only for due times and the age of records.
    pub unix_ms: u64,
}

impl Now {
    /// Moment with both clocks at the given times.
    pub fn new(mono_ms: u64, unix_ms: u64) -> Now {
        Now { mono_ms, unix_ms }
    }
}
