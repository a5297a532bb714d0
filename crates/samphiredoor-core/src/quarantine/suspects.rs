//! The fingerprints that are suspected, quarantined or lifted.

use std::collections::BTreeMap;

use samphiredoor_schema::objects::SuspectRecord;

use super::config::QuarantineConfig;
use crate::time::Now;

/// Number of deaths from which a fingerprint is quarantined.
pub const QUARANTINE_DEATHS: u32 = 2;

/// Sequence number of an attempt in this process. It orders attempts and deaths within one millisecond.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptSeq(pub(super) u64);

/// State of a fingerprint, as gateways report it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspect {
    /// Hash of the request.
    pub fingerprint: u64,
    /// Number of deaths of targets while it was in flight; 0 once it has got a whole answer or was lifted.
    pub deaths: u32,
    /// Whether an owner has lifted its quarantine.
    pub lifted: bool,
}

/// A change of a fingerprint's state.
#[derive(Debug, Clone, Copy)]
pub(super) struct Change {
    /// The new state.
    pub(super) suspect: Suspect,
    /// Whether this change quarantines it.
    pub(super) is_quarantined: bool,
    /// Whether it belongs in the stored list.
    pub(super) is_listed: bool,
}

#[derive(Debug, Clone, Copy)]
struct Record {
    deaths: u32,
    lifted: bool,
    since_unix_ms: u64,
    /// The last attempt that had been registered when this process learned of the last death.
    last_seq_at_death: AttemptSeq,
}

impl Record {
    /// Order of eviction when there are too many entries: first those that are not quarantined, the oldest first.
    fn eviction_rank(&self) -> (bool, u64) {
        (self.deaths >= QUARANTINE_DEATHS, self.since_unix_ms)
    }
}

/// The remembered fingerprints.
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

    /// Number of deaths counted against a fingerprint.
    pub(super) fn deaths(&self, fingerprint: u64) -> u32 {
        self.entries.get(&fingerprint).map_or(0, |it| it.deaths)
    }

    /// Counts the death of a target while attempt `seq` of the request was in flight; `last_seq` is the last registered
    /// attempt.
    ///
    /// An attempt that was registered before the last death was known does not count: the same request is often in
    /// flight several times, here and at other gateways, and one death would be counted many times.
    pub(super) fn record_death(
        &mut self,
        now: Now,
        fingerprint: u64,
        seq: AttemptSeq,
        last_seq: AttemptSeq,
    ) -> Option<Change> {
        let known = self.entries.get(&fingerprint);
        if known.is_some_and(|it| it.deaths > 0 && seq <= it.last_seq_at_death) {
            return None;
        }
        let deaths = self.deaths(fingerprint) + 1;
        self.set(now, fingerprint, deaths, false, last_seq)
    }

    /// Clears the suspicion of a request that got a whole answer. A quarantined one stays quarantined: its attempt was
    /// admitted before the quarantine was known.
    pub(super) fn clear(&mut self, fingerprint: u64) -> Option<Change> {
        let entry = self.entries.get(&fingerprint)?;
        if entry.deaths == 0 || entry.deaths >= QUARANTINE_DEATHS {
            return None;
        }
        self.entries.remove(&fingerprint);
        let suspect = Suspect { fingerprint, deaths: 0, lifted: false };
        Some(Change { suspect, is_quarantined: false, is_listed: false })
    }

    /// Lifts the quarantine for an owner. The entry is kept, so that a delayed report does not quarantine the request
    /// again.
    pub(super) fn lift(&mut self, now: Now, fingerprint: u64) -> Option<Change> {
        self.set(now, fingerprint, 0, true, AttemptSeq::default())
    }

    /// Applies a peer's report.
    pub(super) fn apply_report(
        &mut self,
        now: Now,
        report: Suspect,
        last_seq: AttemptSeq,
    ) -> Option<Change> {
        let own = self.entries.get(&report.fingerprint).copied();
        match (report, own) {
            (Suspect { lifted: true, .. }, _) => self.lift(now, report.fingerprint),
            (Suspect { deaths: 0, .. }, _) => self.clear(report.fingerprint),
            // The peer has not received the lifting yet. Deaths after the lifting are counted and reported from 1
            // again.
            (_, Some(own)) if own.lifted && report.deaths >= QUARANTINE_DEATHS => None,
            (_, Some(own)) if own.deaths >= report.deaths => None,
            _ => self.set(now, report.fingerprint, report.deaths, false, last_seq),
        }
    }

    /// Merges a record of the stored list; the later of the two is kept.
    pub(super) fn merge(&mut self, fingerprint: u64, record: &SuspectRecord) {
        let own_ms = self.entries.get(&fingerprint).map_or(0, |it| it.since_unix_ms);
        if record.since_unix_ms > own_ms {
            let deaths = if record.lifted { 0 } else { record.deaths };
            let now = Now::new(0, record.since_unix_ms);
            self.set(now, fingerprint, deaths, record.lifted, AttemptSeq::default());
        }
    }

    /// Records for the stored list: the quarantined and the lifted fingerprints.
    pub(super) fn records(&self) -> BTreeMap<String, SuspectRecord> {
        let listed = self.entries.iter().filter(|(_, it)| is_listed(it));
        let record = |it: &Record| SuspectRecord {
            deaths: it.deaths,
            lifted: it.lifted,
            since_unix_ms: it.since_unix_ms,
        };
        listed.map(|(fingerprint, it)| (format!("{fingerprint:016x}"), record(it))).collect()
    }

    /// Removes the entries whose time is over.
    pub(super) fn remove_expired(&mut self, now: Now) {
        let config = &self.config;
        self.entries.retain(|_, it| {
            let age_ms = if is_listed(it) { config.quarantine_ms } else { config.suspect_ms };
            now.unix_ms <= it.since_unix_ms.saturating_add(age_ms)
        });
    }

    fn set(
        &mut self,
        now: Now,
        fingerprint: u64,
        deaths: u32,
        lifted: bool,
        last_seq_at_death: AttemptSeq,
    ) -> Option<Change> {
        let since_unix_ms = now.unix_ms;
        let entry = Record { deaths, lifted, since_unix_ms, last_seq_at_death };
        let before = self.entries.insert(fingerprint, entry);
        if self.entries.len() > self.config.max_suspects {
            let least = self.entries.iter().min_by_key(|(_, it)| it.eviction_rank());
            if let Some(least) = least.map(|(it, _)| *it) {
                self.entries.remove(&least);
            }
        }
        let was_quarantined = before.is_some_and(|it| it.deaths >= QUARANTINE_DEATHS);
        Some(Change {
            suspect: suspect(fingerprint, &entry),
            is_quarantined: deaths >= QUARANTINE_DEATHS && !was_quarantined,
            is_listed: is_listed(&entry),
        })
    }
}

fn is_listed(entry: &Record) -> bool {
    entry.lifted || entry.deaths >= QUARANTINE_DEATHS
}

fn suspect(fingerprint: u64, entry: &Record) -> Suspect {
    Suspect { fingerprint, deaths: entry.deaths, lifted: entry.lifted }
}
