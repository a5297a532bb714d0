//! Newest store versions that this process and its peers have seen.
//!
//! A watch that the store has dropped never completes, and its process cannot distinguish it from one without changes.
//! The status messages of peers reveal it: a change that a peer has seen is in the store, so a process that has not
//! seen it has to query the store.

use std::{cell::Cell, rc::Rc};

use samphiredoor_core::store::Version;

/// Versions of the newest changes that a process has seen, as sent in its status messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SeenChanges {
    /// Newest change of the routes.
    pub routes: Version,
    /// Newest change of a target's entry.
    pub targets: Version,
    /// Newest change of a gateway's entry.
    pub gateways: Version,
}

/// Newest changes of one kind of objects; clones share the same state.
#[derive(Debug, Clone, Default)]
pub struct SeenVersion {
    own: Rc<Cell<Version>>,
    newest_of_peers: Rc<Cell<Version>>,
}

impl SeenVersion {
    /// Records a change that this process has seen.
    pub fn record_own(&self, version: Version) {
        self.own.set(self.own.get().max(version));
    }

    /// Records a change that a peer reports to have seen.
    pub fn record_peers(&self, version: Version) {
        self.newest_of_peers.set(self.newest_of_peers.get().max(version));
    }

    /// Newest version that this process has seen.
    pub fn own(&self) -> Version {
        self.own.get()
    }

    /// Newest version that any peer has seen.
    pub fn newest_of_peers(&self) -> Version {
        self.newest_of_peers.get()
    }
}

/// Newest changes of all kinds that every gateway watches.
#[derive(Debug, Clone, Default)]
pub struct SeenVersions {
    /// Configuration objects with the routes.
    pub routes: SeenVersion,
    /// Entries of targets.
    pub targets: SeenVersion,
    /// Entries of gateways.
    pub gateways: SeenVersion,
}

impl SeenVersions {
    /// Versions that this process has seen, to be sent to peers.
    pub fn own(&self) -> SeenChanges {
        SeenChanges {
            routes: self.routes.own(),
            targets: self.targets.own(),
            gateways: self.gateways.own(),
        }
    }

    /// Records the versions that a peer reports to have seen.
    pub fn record_peers(&self, seen: &SeenChanges) {
        self.routes.record_peers(seen.routes);
        self.targets.record_peers(seen.targets);
        self.gateways.record_peers(seen.gateways);
    }
}
