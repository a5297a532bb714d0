//! What will happen, in order of time; what happens at the same time, in the order in which it was said.

use std::collections::BTreeMap;

/// Events to come.
#[derive(Debug)]
pub struct Events<E> {
    events: BTreeMap<(u64, u64), E>,
    next_number: u64,
}

impl<E> Events<E> {
    /// No events.
    pub fn new() -> Events<E> {
        Events { events: BTreeMap::new(), next_number: 0 }
    }

    /// Adds an event.
    pub fn push(&mut self, at_us: u64, event: E) {
        self.events.insert((at_us, self.next_number), event);
        self.next_number += 1;
    }

    /// Takes the next event, with its time.
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
