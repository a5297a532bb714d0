//! What a watcher reports, and where it came from.

use std::time::Instant;

use samphiredoor_core::store::Stored;

use super::Interruption;
use crate::platform_api::Change;

/// What a watcher reports.
#[derive(Debug, Clone)]
pub enum StoreEvent {
    /// The first objects of the kind; a snapshot follows. Reported only if requested.
    FirstPart(Vec<Stored>),
    /// All objects of the kind; replaces everything that was reported before.
    Snapshot(Vec<Stored>),
    /// Changes since the last report, in order.
    Changes(Vec<Change>),
    /// The store gives no usable answers from now on.
    Lost,
    /// The store answers again; [`StoreEvent::Snapshot`] or [`StoreEvent::Changes`] may follow.
    Recovered(Interruption),
}

/// Where the last event of a watcher came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventSource {
    /// The store.
    Store,
    /// The watch relay of the cell.
    Relay,
    /// The mirror of a storage host.
    Mirror,
}

impl EventSource {
    /// Label in logs.
    pub fn label(self) -> &'static str {
        match self {
            EventSource::Store => "store",
            EventSource::Relay => "relay",
            EventSource::Mirror => "mirror",
        }
    }
}

/// What is known of the changes in the last event of a watcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventOrigin {
    /// Where they came from.
    pub source: EventSource,
    /// When the answer before them arrived; they were made after it.
    pub complete_at: Instant,
}
