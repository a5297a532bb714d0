//! A follower among the processes that follow the same kind of objects.
//!
//! They take turns in ending their watches (`renewal`), and tell each other the newest change that they have seen.

use std::{cell::Cell, time::Duration};

use samphiredoor_core::{
    renewal::{LastAnswer, Renewal},
    store::{Stored, Version},
};

use crate::{peers::Roster, platform_api::Change, seen_versions::SeenVersion};

/// The fleet, as the follower of one kind meets it.
pub struct Fleet {
    roster: Roster,
    renewal: Renewal,
    seen_version: SeenVersion,
    last: Cell<LastAnswer>,
    /// The newest change of others that was asked for; each is asked for once.
    asked_for: Cell<Version>,
}

impl Fleet {
    /// The fleet, for changes that have to be in force `within` some time.
    pub fn new(roster: Roster, within: Duration, seen_version: SeenVersion) -> Fleet {
        Fleet {
            roster,
            renewal: Renewal::new(within),
            seen_version,
            last: Cell::new(LastAnswer::Nothing),
            asked_for: Cell::default(),
        }
    }

    /// How long the next watch waits for a change.
    pub fn wait(&self) -> Duration {
        self.renewal.wait(self.roster.fleet_position(), self.last.get())
    }

    /// Notes what a list told.
    pub fn listed(&self, all: &[Stored]) {
        self.last.set(LastAnswer::Changes);
        all.iter().for_each(|it| self.seen_version.record_own(it.version));
    }

    /// Notes what a watch told, up to a version of the store.
    pub fn watched(&self, changes: &[Change], version: Version) {
        self.last.set(match changes {
            [] => LastAnswer::Nothing,
            _ => LastAnswer::Changes,
        });
        for change in changes {
            self.seen_version.record_own(match change {
                Change::Written(stored) => stored.version,
                // The store does not tell at which version an object was deleted: at this one at the latest.
                Change::Deleted(_) => version,
            });
        }
    }

    /// Whether others have seen a change after a version that was not asked for yet.
    pub fn is_ahead_of(&self, since: Version) -> bool {
        self.seen_version.newest_of_peers() > since.max(self.asked_for.get())
    }

    /// Notes that the others' newest change is asked for.
    pub fn ask(&self) {
        self.asked_for.set(self.seen_version.newest_of_peers());
    }
}
