//! Monotonic clock and wall clock of a process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use samphiredoor_core::time::Now;

/// Source of the current time; it is read once per event.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}

impl Clock {
    /// Clock whose monotonic time is zero now.
    pub fn new() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Current monotonic time and wall-clock time.
    pub fn now(&self) -> Now {
        let mono_ms = self.start.elapsed().as_millis() as u64;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Now::new(mono_ms, unix.as_millis() as u64)
    }
}
