//! Table of all known targets, with those whose entries may only have expired while the store was away.
//!
//! Entries of running targets expire while the store is away, and these register again about two seconds after its return;
//! removing all at once would leave no target to use. A removal while the store was there is meant, and a target that has left
//! soon ends: holding that back would cut what is still sent to it. If only calls that were under way stayed silent, the store
//! may have been away for a moment, so removals are held back only where they would take most of a service's targets.

use std::{
    collections::{BTreeMap, HashSet},
    time::{Duration, Instant},
};

use samphiredoor_core::{Name, placement::TargetEntry};

use crate::watch::Interruption;

/// How long an entry that may have expired is kept. Running targets register again about two seconds after an outage.
const EXPIRY_GRACE: Duration = Duration::from_millis(2_200);
/// Targets of a list beyond which they are logged as one line: a line for each would displace all others of that second.
const MAX_LOGGED_TARGETS: usize = 100;

/// Time after an interruption in which removed entries may have expired.
#[derive(Debug)]
struct Grace {
    until: Instant,
    interruption: Interruption,
    /// Targets of each service at its start.
    targets_before: BTreeMap<Name, usize>,
    /// Targets of each service that were removed since.
    removed: BTreeMap<Name, usize>,
}

impl Grace {
    /// Counts the removal of a target of a service; returns whether it is held back.
    fn holds_back(&mut self, service: &Name) -> bool {
        let removed = self.removed.entry(Name::clone(service)).or_default();
        *removed += 1;
        match self.interruption {
            Interruption::StoreAway { .. } => true,
            Interruption::CallsSilent => {
                *removed * 2 > self.targets_before.get(service).copied().unwrap_or(0)
            }
        }
    }
}

/// All known targets.
#[derive(Debug, Default)]
pub struct TargetTable {
    entries: BTreeMap<Name, TargetEntry>,
    /// Entries that are missing in the store, and when they are removed.
    expiring: BTreeMap<Name, Instant>,
    grace: Option<Grace>,
}

impl TargetTable {
    /// Starts the time in which missing entries may have expired. A silence in the grace period of an outage changes nothing, nor
    /// do further signs of the same outage.
    pub fn start_grace(&mut self, interruption: Interruption, now: Instant) {
        let until = match interruption {
            Interruption::StoreAway { until } => until + EXPIRY_GRACE,
            Interruption::CallsSilent => now + EXPIRY_GRACE,
        };
        let runs = self.grace.as_mut().filter(|it| now < it.until);
        if let Some(Grace {
            until: runs_until, interruption: Interruption::StoreAway { .. }, ..
        }) = runs
        {
            if interruption != Interruption::CallsSilent {
                *runs_until = until.max(*runs_until);
            }
            return;
        }
        if until <= now {
            return;
        }
        let mut targets_before = BTreeMap::new();
        for entry in self.entries.values() {
            *targets_before.entry(Name::clone(&entry.service)).or_default() += 1;
        }
        self.grace = Some(Grace { until, interruption, targets_before, removed: BTreeMap::new() });
    }

    /// Entries by name.
    pub fn entries(&self) -> &BTreeMap<Name, TargetEntry> {
        &self.entries
    }

    /// Services with at least one target.
    pub fn services(&self) -> HashSet<Name> {
        self.entries.values().map(|it| Name::clone(&it.service)).collect()
    }

    /// Adds or replaces an entry.
    pub fn insert(&mut self, entry: TargetEntry) {
        if self.update(&entry) {
            let state = format!("{:?}", entry.state).to_lowercase();
            log::info!(target = &*entry.name, address:% = entry.address, state; "targets: changed");
        }
    }

    /// Adds or replaces an entry; returns whether it is new or its state has changed.
    fn update(&mut self, entry: &TargetEntry) -> bool {
        self.expiring.remove(&entry.name);
        let before = self.entries.insert(Name::clone(&entry.name), entry.clone());
        before.is_none_or(|it| it.state != entry.state)
    }

    /// Removes an entry, at the end of the grace period if it may have expired.
    pub fn remove(&mut self, name: &Name, now: Instant) {
        let Some(entry) = self.entries.get(name).filter(|_| !self.expiring.contains_key(name))
        else {
            return;
        };
        let Some(grace) = self.grace.as_mut().filter(|it| now < it.until) else {
            return self.remove_now(name);
        };
        if !grace.holds_back(&entry.service) {
            return self.remove_now(name);
        }
        let left_ms = (grace.until - now).as_millis() as u64;
        let cause = grace.interruption.label();
        log::info!(target = &**name, cause, left_ms; "targets: removal held back");
        self.expiring.insert(Name::clone(name), grace.until);
    }

    fn remove_now(&mut self, name: &Name) {
        self.expiring.remove(name);
        if self.entries.remove(name).is_some() {
            log::info!(target = &**name; "targets: removed");
        }
    }

    /// Replaces all entries by those of a list.
    pub fn replace(&mut self, entries: BTreeMap<Name, TargetEntry>, now: Instant) {
        let missing: Vec<Name> =
            self.entries.keys().filter(|it| !entries.contains_key(*it)).cloned().collect();
        for name in &missing {
            self.remove(name, now);
        }
        if entries.len() <= MAX_LOGGED_TARGETS {
            entries.into_values().for_each(|it| self.insert(it));
            return;
        }
        let listed = entries.len();
        let changed = entries.into_values().filter(|it| self.update(it)).count();
        log::info!(listed, changed, removed = missing.len(); "targets: list applied");
    }

    /// When the next entry is removed that is held back; `None` if there is none.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.expiring.values().min().copied()
    }

    /// Removes the entries whose grace period is over.
    pub fn remove_expired(&mut self, now: Instant) {
        let expired = self.expiring.iter().filter(|(_, until)| **until <= now);
        let expired: Vec<Name> = expired.map(|(it, _)| Name::clone(it)).collect();
        for name in &expired {
            self.remove_now(name);
        }
    }
}
