//! Which software versions the targets of each service have had.

use std::collections::BTreeMap;

use super::{
    MAX_KEEP_MS,
    recorded::{RecordedVersion, RecordedVersions},
};
use crate::{Name, time::Now};

/// Shortest time within which a stream that goes on now may have begun.
pub const MIN_HISTORY_MS: u64 = 20_000;
/// Time for which a version is remembered after its last target has gone.
pub(super) const MAX_HISTORY_MS: u64 = history_ms(MAX_KEEP_MS);
/// Most by which the wall clocks of two hosts differ, for the time when a version of an earlier process left.
pub(super) const MAX_CLOCK_SKEW_MS: u64 = 10_000;

/// Time within which a stream that goes on now may have begun, if requests of its route end after `timeout_ms`. It has gone
/// on with several requests of its caller at most.
pub const fn history_ms(timeout_ms: u64) -> u64 {
    let history_ms = timeout_ms.saturating_mul(4);
    if history_ms < MIN_HISTORY_MS { MIN_HISTORY_MS } else { history_ms }
}

/// Versions of the targets of each service, by the hash of the service's name.
#[derive(Debug, Default)]
pub struct VersionHistory {
    services: BTreeMap<u64, BTreeMap<Name, Listed>>,
    /// Since when every change of the targets has been seen; `None` while some may be missed.
    known_since_ms: Option<u64>,
    /// When targets were first listed.
    first_listed_ms: Option<u64>,
    /// Whether the versions that earlier processes have recorded are known.
    has_past: bool,
    /// Whether every change since the ones that they have recorded was seen.
    continues_past: bool,
}

/// A version that targets of a service have or had.
#[derive(Debug, Clone, Copy)]
struct Listed {
    /// When a target of it was last listed; before zero if that was before this process started.
    last_ms: i64,
    is_listed: bool,
}

impl Listed {
    /// Whether a target of it was listed within some time.
    fn is_recent(&self, now_ms: u64, within_ms: u64) -> bool {
        let within_ms = i64::try_from(within_ms).unwrap_or(i64::MAX);
        self.is_listed || now_ms as i64 - self.last_ms < within_ms
    }
}

impl VersionHistory {
    /// Replaces the listed versions by those of all targets: the hash of each service, and the target's version.
    pub fn set_listed<'a>(&mut self, now_ms: u64, targets: impl Iterator<Item = (u64, &'a Name)>) {
        self.first_listed_ms = self.first_listed_ms.or(Some(now_ms));
        let last_ms = now_ms as i64;
        for versions in self.services.values_mut() {
            for listed in versions.values_mut().filter(|it| it.is_listed) {
                *listed = Listed { last_ms, is_listed: false };
            }
        }
        for (service, version) in targets {
            let versions = self.services.entry(service).or_default();
            let listed = Listed { last_ms, is_listed: true };
            match versions.get_mut(version) {
                Some(known) => *known = listed,
                None => _ = versions.insert(Name::clone(version), listed),
            }
        }
        for versions in self.services.values_mut() {
            versions.retain(|_, it| it.is_recent(now_ms, MAX_HISTORY_MS));
        }
        self.services.retain(|_, it| !it.is_empty());
    }

    /// Notes whether every change of the targets is seen from now on. It is not while the store is lost, or before the first
    /// list.
    pub fn set_current(&mut self, now_ms: u64, is_current: bool) {
        self.known_since_ms = if is_current { self.known_since_ms.or(Some(now_ms)) } else { None };
        self.continues_past &= is_current;
    }

    /// Adds the versions that earlier processes have recorded.
    pub fn add_past(&mut self, now: Now, past: &RecordedVersions) {
        self.has_past = true;
        self.continues_past = self.known_since_ms.is_some();
        for (service, version, recorded) in past.iter() {
            let age_ms = match recorded.left_unix_ms {
                // Its last target may have left at any time since it was recorded.
                None => 0,
                Some(left) => now.unix_ms.saturating_sub(left.saturating_add(MAX_CLOCK_SKEW_MS)),
            };
            let last_ms = (now.mono_ms as i64).saturating_sub_unsigned(age_ms);
            let versions = self.services.entry(service).or_default();
            versions.entry(version.into()).or_insert(Listed { last_ms, is_listed: false });
        }
    }

    /// Whether versions of the last `within_ms` may be missing because this process has started since, and does not know what
    /// earlier ones have recorded.
    pub fn lacks_past(&self, now_ms: u64, within_ms: u64) -> bool {
        let is_young = self.first_listed_ms.is_none_or(|it| now_ms.saturating_sub(it) < within_ms);
        !self.has_past && is_young
    }

    /// Whether targets were listed.
    pub fn has_list(&self) -> bool {
        self.first_listed_ms.is_some()
    }

    /// Time since targets were first listed.
    pub fn listed_for_ms(&self, now_ms: u64) -> Option<u64> {
        self.first_listed_ms.map(|it| now_ms.saturating_sub(it))
    }

    /// Versions to be recorded for later processes.
    pub fn to_record(&self, now: Now) -> RecordedVersions {
        let mut all = RecordedVersions::default();
        for (service, versions) in &self.services {
            for (version, listed) in versions {
                let age_ms = (now.mono_ms as i64).saturating_sub(listed.last_ms).max(0) as u64;
                let left_unix_ms = (!listed.is_listed).then(|| now.unix_ms.saturating_sub(age_ms));
                all.insert(*service, version, RecordedVersion { left_unix_ms });
            }
        }
        all
    }

    /// The only version that targets of a service have had for `within_ms`; `None` if there were several, others may have
    /// been missed, or versions are not remembered for so long.
    pub fn sole(&self, now_ms: u64, service: u64, within_ms: u64) -> Option<&Name> {
        let known_ms = match self.continues_past {
            true => u64::MAX,
            false => now_ms.saturating_sub(self.known_since_ms?),
        };
        let is_remembered = within_ms <= known_ms.min(MAX_HISTORY_MS);
        self.only_known(now_ms, service, within_ms).filter(|_| is_remembered)
    }

    /// Whether targets of a service are known to have had several versions in `within_ms`.
    pub fn has_several(&self, now_ms: u64, service: u64, within_ms: u64) -> bool {
        self.recent(now_ms, service, within_ms).nth(1).is_some()
    }

    /// The only version that targets of a service have had for `within_ms` as far as is known, also if others may have been
    /// missed.
    pub fn only_known(&self, now_ms: u64, service: u64, within_ms: u64) -> Option<&Name> {
        let mut recent = self.recent(now_ms, service, within_ms);
        let version = recent.next()?;
        recent.next().is_none().then_some(version)
    }

    fn recent(&self, now_ms: u64, service: u64, within_ms: u64) -> impl Iterator<Item = &Name> {
        let versions = self.services.get(&service).into_iter().flatten();
        versions.filter(move |(_, it)| it.is_recent(now_ms, within_ms)).map(|(version, _)| version)
    }
}
