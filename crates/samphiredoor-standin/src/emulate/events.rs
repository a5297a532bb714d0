//! Event queue in order of time. Events at the same time keep the order in which they were added, so that runs are
//! deterministic.

use std::collections::BTreeMap;

/// Scheduled events, by time and order of insertion.
#[derive(Debug)]
pub struct Events<E> {
    events: BTreeMap<(u64, u64), E>,
    next_number: u64,
}

impl<E> Events<E> {
    /// Empty queue.
    pub fn new() -> Events<E> {
        Events { events: BTreeMap::new(), next_number: 0 }
    }

    /// Schedules an event.
    pub fn push(&mut self, at_us: u64, event: E) {
        self.events.insert((at_us, self.next_number), event);
        self.next_number += 1;
    }

    /// Removes the earliest event and returns it with its time.
    pub fn pop(&mut self) -> Option<(u64, E)> {
        let ((at_us, _), event) = self.events.pop_first()?;
        Some((at_us, event))
    }
}

impl<E> Default for Events<E> {
    fn default() -> Events<E> {
        Events::new()
    }
}
