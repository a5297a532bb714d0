//! What a process has seen of one kind of objects, kept for others that watch through it.
//!
//! Each change is noted with the version from which on it has been seen, and who asks for the changes since a version gets
//! the present state of all objects that were touched since. An object that was deleted and created again is therefore told
//! as it stands, whatever the asking process knew of it.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    Name,
    store::{Stored, Version},
};

/// Changes that are remembered; who asks for older ones gets all objects.
const MAX_TOUCHED: usize = 1_024;

/// What is told to a process that watches.
#[derive(Debug, Clone, PartialEq)]
pub enum Delta {
    /// Nothing that it does not know.
    None,
    /// Objects that were touched, as they stand; `None` for those that are gone.
    Changed {
        /// The objects, by name.
        objects: BTreeMap<Name, Option<Stored>>,
        /// Version up to which that is so.
        version: Version,
    },
    /// All objects, as its version is older than what is remembered.
    Snapshot {
        /// The objects, in order of their names.
        objects: Vec<Stored>,
        /// Version at which they stood so.
        version: Version,
    },
}

/// Objects of one kind, and what was touched lately.
#[derive(Debug, Clone, Default)]
pub struct WatchCache {
    objects: BTreeMap<Name, Stored>,
    /// Version up to which everything is known; `None` before the first list.
    version: Option<Version>,
    touched: VecDeque<(Version, Name)>,
    /// Version up to which changes are no longer remembered.
    floor: Version,
}

impl WatchCache {
    /// Takes a list of all objects, as they stood at a version. An older one than what is known says nothing.
    ///
    /// What came and went since the changes before it is not known, so nobody is told those alone any more.
    pub fn listed(&mut self, all: &[Stored], version: Version) {
        if self.version.is_some_and(|known| version < known) {
            return;
        }
        self.objects = all.iter().map(|it| (Name::clone(&it.name), it.clone())).collect();
        self.touched.clear();
        self.floor = version;
        self.known_up_to(version);
    }

    /// Takes an object as it was written.
    pub fn written(&mut self, stored: Stored) {
        self.touch(stored.version, Name::clone(&stored.name));
        self.objects.insert(Name::clone(&stored.name), stored);
    }

    /// Takes that an object is gone, at a version at the latest.
    pub fn deleted(&mut self, name: Name, version: Version) {
        self.objects.remove(&name);
        self.touch(version, name);
    }

    /// Notes that all changes up to a version were taken.
    pub fn known_up_to(&mut self, version: Version) {
        self.version = self.version.max(Some(version));
    }

    /// What a process does not know that knows everything up to a version, or nothing yet.
    pub fn since(&self, since: Option<Version>) -> Delta {
        let Some(version) = self.version else { return Delta::None };
        match since {
            Some(since) if since >= version => Delta::None,
            Some(since) if since >= self.floor => self.touched_since(since, version),
            _ => Delta::Snapshot { objects: self.objects.values().cloned().collect(), version },
        }
    }

    fn touched_since(&self, since: Version, version: Version) -> Delta {
        let names = self.touched.iter().filter(|(touched, _)| *touched > since);
        let objects: BTreeMap<Name, Option<Stored>> =
            names.map(|(_, name)| (Name::clone(name), self.objects.get(name).cloned())).collect();
        if objects.is_empty() { Delta::None } else { Delta::Changed { objects, version } }
    }

    fn touch(&mut self, version: Version, name: Name) {
        self.touched.push_back((version, name));
        if self.touched.len() > MAX_TOUCHED
            && let Some((forgotten, _)) = self.touched.pop_front()
        {
            self.floor = self.floor.max(forgotten);
        }
    }
}
