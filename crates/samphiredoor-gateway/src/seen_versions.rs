//! Newest changes of the store that this process has seen, and that others tell.
//!
//! A watch that is deaf hears nothing, and so learns nothing of its deafness. The other processes' statuses tell it: a
//! change that one of them has seen stands in the store, and whoever has not seen it by then has to ask.

use std::{cell::Cell, rc::Rc};

use samphiredoor_core::store::Version;

/// What a process tells others of the newest changes that it has seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SeenChanges {
    /// Of the operators' routes.
    pub routes: Version,
    /// Of targets.
    pub targets: Version,
    /// Of gateways.
    pub gateways: Version,
}

/// Newest changes of one kind.
#[derive(Debug, Clone, Default)]
pub struct SeenVersion {
    own: Rc<Cell<Version>>,
    others: Rc<Cell<Version>>,
}

impl SeenVersion {
    /// Notes a change that this process has seen.
    pub fn record_own(&self, version: Version) {
        self.own.set(self.own.get().max(version));
    }

    /// Notes a change that another process says it has seen.
    pub fn record_peers(&self, version: Version) {
        self.others.set(self.others.get().max(version));
    }

    /// The newest change that this process has seen.
    pub fn own(&self) -> Version {
        self.own.get()
    }

    /// The newest change that others have seen.
    pub fn newest_of_peers(&self) -> Version {
        self.others.get()
    }
}

/// Newest changes of all kinds that every gateway follows.
#[derive(Debug, Clone, Default)]
pub struct SeenVersions {
    /// The operators' routes.
    pub routes: SeenVersion,
    /// Targets.
    pub targets: SeenVersion,
    /// Gateways.
    pub gateways: SeenVersion,
}

impl SeenVersions {
    /// What this process has seen.
    pub fn own(&self) -> SeenChanges {
        SeenChanges {
            routes: self.routes.own(),
            targets: self.targets.own(),
            gateways: self.gateways.own(),
        }
    }

    /// Notes what another process says it has seen.
    pub fn record_peers(&self, seen: &SeenChanges) {
        self.routes.record_peers(seen.routes);
        self.targets.record_peers(seen.targets);
        self.gateways.record_peers(seen.gateways);
    }
}
