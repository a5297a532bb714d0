//! Judges the events of a run by their numbers: whether they belong to the run that was asked for.
//!
//! A target that is asked to go on after event n sends n + 1 first, and the numbers of a run increase, though not
//! necessarily by one. Another event shows an answer that was not asked for, such as a late one of an earlier run, and must
//! not be joined to what came before. All runs of a request have the same id, so only the numbers tell them apart. Nothing can
//! go on after data without a number, as its place is unknown.

use crate::events::Event;

/// What may come next in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventSequence {
    /// Any event: the numbers of the run mean nothing.
    Unchecked,
    /// The first event of a run from the beginning.
    First,
    /// The event after the one with this number, as the first of a run that goes on there.
    Next(u64),
    /// Any event after the one with this number.
    Later(u64),
}

impl EventSequence {
    /// Sequence of a run that is asked to go on after an event, or to begin.
    pub fn asked_with(after: Option<u64>) -> EventSequence {
        after.map_or(EventSequence::First, EventSequence::Next)
    }

    /// Judges the next event; returns whether it belongs to the run.
    #[must_use]
    pub fn accept(&mut self, event: &Event) -> bool {
        let Some(id) = event.id else {
            // Its place after the last event is unknown.
            return !(event.has_data() && matches!(self, EventSequence::Next(_)));
        };
        let (is_expected, next) = match *self {
            EventSequence::Unchecked => return true,
            EventSequence::First => (true, EventSequence::Later(id)),
            EventSequence::Next(last) => {
                (last.checked_add(1) == Some(id), EventSequence::Later(id))
            }
            EventSequence::Later(last) => (id > last, EventSequence::Later(id)),
        };
        if is_expected {
            *self = next;
        }
        is_expected
    }
}

/// Event after which another run can go on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LastEvent {
    number: Option<u64>,
    /// Whether data without a number has come after it.
    is_passed: bool,
}

impl LastEvent {
    /// Last event with this number, after which nothing has come.
    pub fn with_number(number: Option<u64>) -> LastEvent {
        LastEvent { number, is_passed: false }
    }

    /// Notes the next event.
    pub fn note(&mut self, event: &Event) {
        match event.id {
            Some(id) => *self = LastEvent::with_number(Some(id)),
            None => self.is_passed |= event.has_data(),
        }
    }

    /// Number of the last event that has one.
    pub fn number(&self) -> Option<u64> {
        self.number
    }

    /// Whether data without a number came last, so that no other run can go on.
    pub fn is_passed(&self) -> bool {
        self.is_passed
    }

    /// Number after which another run can go on; `None` if it can't, or there was no event.
    pub fn resumable(&self) -> Option<u64> {
        self.number.filter(|_| !self.is_passed)
    }
}
