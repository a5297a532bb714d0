//! The fingerprints that are suspected, blamed or lifted.

use std::collections::BTreeMap;

use samphiredoor_schema::objects::SuspectRecord;

use super::config::QuarantineConfig;
use crate::time::Now;

/// Deaths from which a fingerprint is refused.
pub const QUARANTINE_DEATHS: u32 = 2;

/// Number of an attempt's entry. Two events of one millisecond can be told apart by it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Entry(pub(super) u64);

/// What is known of a fingerprint, as doors tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspect {
    /// Hash of the request.
    pub fingerprint: u64,
    /// Deaths of targets at which it was in flight; 0 once it has finished.
    pub deaths: u32,
    /// Whether an owner has lifted it.
    pub lifted: bool,
}

/// What has changed of a fingerprint.
#[derive(Debug, Clone, Copy)]
pub(super) struct Change {
    /// What is known now.
    pub(super) suspect: Suspect,
    /// Whether it is refused from now on.
    pub(super) is_blamed: bool,
    /// Whether the stored list must show it.
    pub(super) is_kept: bool,
}

#[derive(Debug, Clone, Copy)]
struct Record {
    deaths: u32,
    lifted: bool,
    since_unix_ms: u64,
    /// The last attempt that had entered when this process learned of the last death.
    known_at: Entry,
}

impl Record {
    /// Entries that go first when there are too many: those that refuse nothing, then the oldest.
    fn rank(&self) -> (bool, u64) {
        (self.deaths >= QUARANTINE_DEATHS, self.since_unix_ms)
    }
}

/// All that is remembered of fingerprints.
#[derive(Debug)]
pub(super) struct Suspects {
    config: QuarantineConfig,
    entries: BTreeMap<u64, Record>,
}

impl Suspects {
    pub(super) fn new(config: QuarantineConfig) -> Suspects {
        Suspects { config, entries: BTreeMap::new() }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = Suspect> {
        self.entries.iter().map(|(fingerprint, it)| suspect(*fingerprint, it))
    }

    /// Deaths that stand against a fingerprint.
    pub(super) fn deaths(&self, fingerprint: u64) -> u32 {
        self.entries.get(&fingerprint).map_or(0, |it| it.deaths)
    }

    /// A target died with the request in flight, as `entry`; `last` is the last attempt that has entered.
    ///
    /// An attempt that began before the last death was known does not count: the same request is often in flight
    /// several times, here and at other doors, and one death would look like many.
    pub(super) fn died(
        &mut self,
        now: Now,
        fingerprint: u64,
        entry: Entry,
        last: Entry,
    ) -> Option<Change> {
        let known = self.entries.get(&fingerprint);
        if known.is_some_and(|it| it.deaths > 0 && entry <= it.known_at) {
            return None;
        }
        let deaths = self.deaths(fingerprint) + 1;
        self.set(now, fingerprint, deaths, false, last)
    }

    /// The request has finished. One that is blamed stays so: it was let through before the blame was known.
    pub(super) fn clear(&mut self, fingerprint: u64) -> Option<Change> {
        let entry = self.entries.get(&fingerprint)?;
        if entry.deaths == 0 || entry.deaths >= QUARANTINE_DEATHS {
            return None;
        }
        self.entries.remove(&fingerprint);
        let suspect = Suspect { fingerprint, deaths: 0, lifted: false };
        Some(Change { suspect, is_blamed: false, is_kept: false })
    }

    /// An owner lifts it. The entry stays, so that late news does not bring the blame back.
    pub(super) fn lift(&mut self, now: Now, fingerprint: u64) -> Option<Change> {
        self.set(now, fingerprint, 0, true, Entry::default())
    }

    /// A peer told of it.
    pub(super) fn told(&mut self, now: Now, told: Suspect, last: Entry) -> Option<Change> {
        let own = self.entries.get(&told.fingerprint).copied();
        match (told, own) {
            (Suspect { lifted: true, .. }, _) => self.lift(now, told.fingerprint),
            (Suspect { deaths: 0, .. }, _) => self.clear(told.fingerprint),
            // Told by one that has not heard of the lifting yet; deaths after it are told with their number anew.
            (_, Some(own)) if own.lifted && told.deaths >= QUARANTINE_DEATHS => None,
            (_, Some(own)) if own.deaths >= told.deaths => None,
            _ => self.set(now, told.fingerprint, told.deaths, false, last),
        }
    }

    /// Takes a record of the stored list; the later of the two stands.
    pub(super) fn merge(&mut self, fingerprint: u64, record: &SuspectRecord) {
        let own_ms = self.entries.get(&fingerprint).map_or(0, |it| it.since_unix_ms);
        if record.since_unix_ms > own_ms {
            let deaths = if record.lifted { 0 } else { record.deaths };
            let now = Now::new(0, record.since_unix_ms);
            self.set(now, fingerprint, deaths, record.lifted, Entry::default());
        }
    }

    /// Records for the stored list: the blamed and the lifted.
    pub(super) fn records(&self) -> BTreeMap<String, SuspectRecord> {
        let kept = self.entries.iter().filter(|(_, it)| is_kept(it));
        let record = |it: &Record| SuspectRecord {
            deaths: it.deaths,
            lifted: it.lifted,
            since_unix_ms: it.since_unix_ms,
        };
        kept.map(|(fingerprint, it)| (format!("{fingerprint:016x}"), record(it))).collect()
    }

    /// Forgets what is too old.
    pub(super) fn forget_old(&mut self, now: Now) {
        let config = &self.config;
        self.entries.retain(|_, it| {
            let age_ms = if is_kept(it) { config.blamed_ms } else { config.suspect_ms };
            now.unix_ms <= it.since_unix_ms.saturating_add(age_ms)
        });
    }

    fn set(
        &mut self,
        now: Now,
        fingerprint: u64,
        deaths: u32,
        lifted: bool,
        known_at: Entry,
    ) -> Option<Change> {
        let since_unix_ms = now.unix_ms;
        let entry = Record { deaths, lifted, since_unix_ms, known_at };
        let before = self.entries.insert(fingerprint, entry);
        if self.entries.len() > self.config.max_suspects {
            let least = self.entries.iter().min_by_key(|(_, it)| it.rank());
            if let Some(least) = least.map(|(it, _)| *it) {
                self.entries.remove(&least);
            }
        }
        let was_blamed = before.is_some_and(|it| it.deaths >= QUARANTINE_DEATHS);
        Some(Change {
            suspect: suspect(fingerprint, &entry),
            is_blamed: deaths >= QUARANTINE_DEATHS && !was_blamed,
            is_kept: is_kept(&entry),
        })
    }
}

fn is_kept(entry: &Record) -> bool {
    entry.lifted || entry.deaths >= QUARANTINE_DEATHS
}

fn suspect(fingerprint: u64, entry: &Record) -> Suspect {
    Suspect { fingerprint, deaths: entry.deaths, lifted: entry.lifted }
}
