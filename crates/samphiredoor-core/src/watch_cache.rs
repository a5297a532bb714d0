//! Cache of all objects of one kind, from which other processes can watch the kind.
//!
//! The cache keeps the names of the objects that changed last, each with the version of its change. A reader that asks
//! for the changes since a version receives the current state of all objects that have changed after it. It thus ends
//! up with the state of the cache whatever it held before, also of objects that were deleted and created again.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    Name,
    store::{Stored, Version},
};

/// Most changes in the log. A reader that asks for older ones receives all objects.
const MAX_CHANGES: usize = 1_024;

/// Difference between a version that a reader has and the state of the cache.
#[derive(Debug, Clone, PartialEq)]
pub enum Delta {
    /// The reader is up to date.
    None,
    /// Current state of the objects that have changed; `None` for deleted ones.
    Changed {
        /// The objects, by name.
        objects: BTreeMap<Name, Option<Stored>>,
        /// Version that the reader has once it has applied them.
        version: Version,
    },
    /// All objects, as the reader's version is older than the log of changes.
    Snapshot {
        /// The objects, in order of their names.
        objects: Vec<Stored>,
        /// Version of the store that they belong to.
        version: Version,
    },
}

/// Objects of one kind, with a log of the latest changes.
#[derive(Debug, Clone, Default)]
pub struct WatchCache {
    objects: BTreeMap<Name, Stored>,
    /// Version up to which the cache includes all changes; `None` before the first list.
    version: Option<Version>,
    /// Log of changes, oldest first.
    changes: VecDeque<(Version, Name)>,
    /// Version up to which changes may be missing from the log.
    log_start: Version,
}

impl WatchCache {
    /// Replaces all objects with a list, as of a version. A list older than the cache is ignored.
    ///
    /// The log is cleared, because objects may have been created and deleted between the last logged change and the
    /// list. No reader can be brought up to date from earlier changes alone any more.
    pub fn replace_all(&mut self, all: &[Stored], version: Version) {
        if self.version.is_some_and(|current| version < current) {
            return;
        }
        self.objects = all.iter().map(|it| (Name::clone(&it.name), it.clone())).collect();
        self.changes.clear();
        self.log_start = version;
        self.advance_to(version);
    }

    /// Adds or replaces an object that was written.
    pub fn insert(&mut self, stored: Stored) {
        self.log_change(stored.version, Name::clone(&stored.name));
        self.objects.insert(Name::clone(&stored.name), stored);
    }

    /// Removes an object that was deleted at this version or before it.
    pub fn remove(&mut self, name: Name, version: Version) {
        self.objects.remove(&name);
        self.log_change(version, name);
    }

    /// Marks that the cache includes all changes up to a version.
    pub fn advance_to(&mut self, version: Version) {
        self.version = self.version.max(Some(version));
    }

    /// Changes for a reader that has everything up to a version, or that has nothing yet.
    pub fn changes_since(&self, since: Option<Version>) -> Delta {
        let Some(version) = self.version else { return Delta::None };
        match since {
            Some(since) if since >= version => Delta::None,
            Some(since) if since >= self.log_start => self.logged_since(since, version),
            _ => Delta::Snapshot { objects: self.objects.values().cloned().collect(), version },
        }
    }

    fn logged_since(&self, since: Version, version: Version) -> Delta {
        let names = self.changes.iter().filter(|(changed, _)| *changed > since);
        let objects: BTreeMap<Name, Option<Stored>> =
            names.map(|(_, name)| (Name::clone(name), self.objects.get(name).cloned())).collect();
        if objects.is_empty() { Delta::None } else { Delta::Changed { objects, version } }
    }

    fn log_change(&mut self, version: Version, name: Name) {
        self.changes.push_back((version, name));
        if self.changes.len() > MAX_CHANGES
            && let Some((evicted, _)) = self.changes.pop_front()
        {
            self.log_start = self.log_start.max(evicted);
        }
    }
}
