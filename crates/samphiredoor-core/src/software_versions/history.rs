//! Which software versions the targets of each service have had.

use std::collections::BTreeMap;

use super::MAX_KEEP_MS;
use crate::Name;

/// Shortest time within which a stream that goes on now may have begun.
pub const MIN_HISTORY_MS: u64 = 20_000;
/// Time for which a version is remembered after its last target has gone.
const MAX_HISTORY_MS: u64 = history_ms(MAX_KEEP_MS);

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
            versions.retain(|_, it| it.is_listed || now_ms < it.last_ms + MAX_HISTORY_MS);
        }
        self.services.retain(|_, it| !it.is_empty());
    }

    /// Notes whether every change of the targets is seen from now on. It is not while the store is lost, or before the first
    /// list.
    pub fn set_current(&mut self, now_ms: u64, is_current: bool) {
        self.known_since_ms = if is_current { self.known_since_ms.or(Some(now_ms)) } else { None };
    }

    /// The only version that targets of a service have had for `within_ms`; `None` if there were several, others may have
    /// been missed, or versions are not remembered for so long.
    pub fn sole(&self, now_ms: u64, service: u64, within_ms: u64) -> Option<&Name> {
        let known_ms = now_ms.saturating_sub(self.known_since_ms?);
        let is_remembered = within_ms <= known_ms.min(MAX_HISTORY_MS);
        self.only_known(now_ms, service, within_ms).filter(|_| is_remembered)
    }

    /// The only version that targets of a service have had for `within_ms` as far as is known, also if others may have been
    /// missed.
    pub fn only_known(&self, now_ms: u64, service: u64, within_ms: u64) -> Option<&Name> {
        let versions = self.services.get(&service)?;
        let is_recent = |it: &Listed| it.is_listed || now_ms - it.last_ms.min(now_ms) < within_ms;
        let mut recent = versions.iter().filter(|(_, it)| is_recent(it));
        let (version, _) = recent.next()?;
        recent.next().is_none().then_some(version)
    }
}
