//! Which software versions the targets of each service have had.

use std::collections::BTreeMap;

use crate::Name;

/// Time for which a version is remembered after its last target has gone: longer than a caller waits for a stream, so that
/// one that goes on now was begun within it.
pub const HISTORY_MS: u64 = 20_000;

/// Versions of the targets of each service, by the hash of the service's name.
#[derive(Debug, Default)]
pub struct VersionHistory {
    services: BTreeMap<u64, BTreeMap<Name, Listed>>,
    /// Since when every change of the targets has been seen; `None` while some may be missed.
    known_since_ms: Option<u64>,
}

/// A version that targets of a service have or had.
#[derive(Debug, Clone, Copy)]
struct Listed {
    /// When a target of it was last listed.
    last_ms: u64,
    is_listed: bool,
}

impl VersionHistory {
    /// Replaces the listed versions by those of all targets: the hash of each service, and the target's version.
    pub fn set_listed<'a>(&mut self, now_ms: u64, targets: impl Iterator<Item = (u64, &'a Name)>) {
        for versions in self.services.values_mut() {
            for listed in versions.values_mut().filter(|it| it.is_listed) {
                *listed = Listed { last_ms: now_ms, is_listed: false };
            }
        }
        for (service, version) in targets {
            let versions = self.services.entry(service).or_default();
            let listed = Listed { last_ms: now_ms, is_listed: true };
            match versions.get_mut(version) {
                Some(known) => *known = listed,
                None => _ = versions.insert(Name::clone(version), listed),
            }
        }
        for versions in self.services.values_mut() {
            versions.retain(|_, it| it.is_listed || now_ms < it.last_ms + HISTORY_MS);
        }
        self.services.retain(|_, it| !it.is_empty());
    }

    /// Notes whether every change of the targets is seen from now on. It is not while the store is lost, or before the first
    /// list.
    pub fn set_current(&mut self, now_ms: u64, is_current: bool) {
        self.known_since_ms = if is_current { self.known_since_ms.or(Some(now_ms)) } else { None };
    }

    /// The only version that targets of a service have had for [`HISTORY_MS`]; `None` if there were several, or others may
    /// have been missed.
    pub fn sole(&self, now_ms: u64, service: u64) -> Option<&Name> {
        let known_ms = now_ms.saturating_sub(self.known_since_ms?);
        let versions = self.services.get(&service)?;
        let mut recent =
            versions.iter().filter(|(_, it)| it.is_listed || now_ms < it.last_ms + HISTORY_MS);
        let (version, _) = recent.next()?;
        (recent.next().is_none() && known_ms >= HISTORY_MS).then_some(version)
    }

    /// The only version that targets of a service have as far as is known, also if others may have been missed.
    pub fn only_known(&self, now_ms: u64, service: u64) -> Option<&Name> {
        let versions = self.services.get(&service)?;
        let mut recent =
            versions.iter().filter(|(_, it)| it.is_listed || now_ms < it.last_ms + HISTORY_MS);
        let (version, _) = recent.next()?;
        recent.next().is_none().then_some(version)
    }
}
