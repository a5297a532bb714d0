//! Schedules the watches of one kind of objects among all gateways.
//!
//! Gateways stagger the ends of their watches (`samphiredoor_core::renewal`) and send each other the newest version that
//! they have seen, so that a watch that the store has dropped is detected without many calls.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

use samphiredoor_core::{
    renewal::{LastAnswer, Renewal},
    store::{Stored, Version},
};

use crate::{peers::Roster, platform_api::Change, seen_versions::SeenVersion};

/// Schedule for the watches of one kind at this gateway.
pub struct WatchSchedule {
    roster: Roster,
    renewal: Renewal,
    seen_version: SeenVersion,
    last_answer: Cell<LastAnswer>,
    /// Newest version of a peer for which the store has been queried; each version causes one query.
    queried_for: Cell<Version>,
}

impl WatchSchedule {
    /// Schedule for changes that have to take effect `within` some time.
    pub fn new(roster: Roster, within: Duration, seen_version: SeenVersion) -> WatchSchedule {
        WatchSchedule {
            roster,
            renewal: Renewal::new(within),
            seen_version,
            last_answer: Cell::new(LastAnswer::Nothing),
            queried_for: Cell::default(),
        }
    }

    /// How long the next watch waits for a change.
    pub fn next_wait(&self) -> Duration {
        self.renewal.wait(self.roster.fleet_position(), self.last_answer.get())
    }

    /// Records the versions of all objects of a list.
    pub fn record_list(&self, all: &[Stored]) {
        self.last_answer.set(LastAnswer::Changes);
        all.iter().for_each(|it| self.seen_version.record_own(it.version));
    }

    /// Records the changes that a watch returned, up to a version of the store.
    pub fn record_changes(&self, changes: &[Change], version: Version) {
        self.last_answer.set(match changes {
            [] => LastAnswer::Nothing,
            _ => LastAnswer::Changes,
        });
        for change in changes {
            self.seen_version.record_own(match change {
                Change::Written(stored) => stored.version,
                // The store does not report the version of a deletion; it is this one at the latest.
                Change::Deleted(_) => version,
            });
        }
    }

    /// Whether a peer has seen a change after a version, for which the store has not been queried yet.
    pub fn peers_ahead_of(&self, since: Version) -> bool {
        self.seen_version.newest_of_peers() > since.max(self.queried_for.get())
    }

    /// When most of the gateways that watch the store last said that they do not reach it.
    pub fn watchers_lost_store_until(&self) -> Option<Instant> {
        self.roster.watchers_lost_store_until()
    }

    /// Records that the store is queried for the newest version of the peers.
    pub fn record_query(&self) {
        self.queried_for.set(self.seen_version.newest_of_peers());
    }
}
