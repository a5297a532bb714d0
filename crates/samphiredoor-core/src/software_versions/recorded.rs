//! Versions of the targets of each service, as they are stored for processes that start later.
//!
//! If all gateways end at once, only this tells the next ones that the targets they find may not have begun the streams that
//! callers take up.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::history::{MAX_CLOCK_SKEW_MS, MAX_HISTORY_MS};
use crate::{
    Name,
    store::{Kind, ObjectKey, Value},
};

/// Name of the only object of its kind.
const OBJECT_NAME: &str = "all";

/// A version that targets of a service have or had.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecordedVersion {
    /// Wall-clock time when its last target left, in milliseconds since 1970; `None` if one was listed when it was recorded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub left_unix_ms: Option<u64>,
}

/// Versions of each service, by the hash of the service's name.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecordedVersions {
    services: BTreeMap<u64, BTreeMap<String, RecordedVersion>>,
}

impl RecordedVersions {
    /// Key of the stored object.
    pub fn key() -> ObjectKey {
        ObjectKey::new(Kind::TargetVersions, OBJECT_NAME)
    }

    /// Reads a stored object; `None` if it is invalid.
    pub fn parse(value: &[u8]) -> Option<RecordedVersions> {
        serde_json::from_slice(value).ok()
    }

    /// Content of the stored object.
    pub fn value(&self) -> Value {
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// Adds or replaces a version.
    pub fn insert(&mut self, service: u64, version: &Name, recorded: RecordedVersion) {
        self.services.entry(service).or_default().insert(version.to_string(), recorded);
    }

    /// All versions with the hashes of their services.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &str, RecordedVersion)> {
        let services = self.services.iter();
        services.flat_map(|(service, all)| all.iter().map(|(name, it)| (*service, &**name, *it)))
    }

    /// Whether both have the same versions, listed or not, whenever they left.
    pub fn has_same_versions(&self, other: &RecordedVersions) -> bool {
        let states = |it: RecordedVersion| it.left_unix_ms.is_some();
        self.iter()
            .map(|(service, version, it)| (service, version, states(it)))
            .eq(other.iter().map(|(service, version, it)| (service, version, states(it))))
    }

    /// Whether all versions that another record shows as listed are listed in this one.
    pub fn lists_all_of(&self, other: &RecordedVersions) -> bool {
        let is_listed = |service: u64, version: &str| {
            let known = self.services.get(&service).and_then(|it| it.get(version));
            known.is_some_and(|it| it.left_unix_ms.is_none())
        };
        let mut listed = other.iter().filter(|(_, _, it)| it.left_unix_ms.is_none());
        listed.all(|(service, version, _)| is_listed(service, version))
    }

    /// This with the versions that another record shows as listed.
    pub fn with_listed_of(mut self, other: &RecordedVersions) -> RecordedVersions {
        for (service, version, recorded) in
            other.iter().filter(|(_, _, it)| it.left_unix_ms.is_none())
        {
            self.services.entry(service).or_default().insert(version.to_owned(), recorded);
        }
        self
    }

    /// This with the versions of an older record that streams may still be of. Those that were listed there have left by now.
    pub fn with_older(mut self, older: &RecordedVersions, unix_ms: u64) -> RecordedVersions {
        for (service, version, recorded) in older.iter() {
            let left_unix_ms = recorded.left_unix_ms.unwrap_or(unix_ms);
            if left_unix_ms.saturating_add(MAX_HISTORY_MS + MAX_CLOCK_SKEW_MS) < unix_ms {
                continue;
            }
            let versions = self.services.entry(service).or_default();
            let left = RecordedVersion { left_unix_ms: Some(left_unix_ms) };
            versions.entry(version.to_owned()).or_insert(left);
        }
        self
    }
}
