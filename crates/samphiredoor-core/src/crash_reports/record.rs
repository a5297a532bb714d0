//! What is quarantined, as it is stored for processes that start later.
//!
//! If all gateways end at once, only this tells the next ones what has crashed targets, and how many trials of it there
//! were. Trials are recorded before they may be granted, so that a record is never behind.

use serde::{Deserialize, Serialize};

use super::{CrashVerdict, Suspect, SuspectKind, Trials};
use crate::store::{Kind, ObjectKey, Value};

/// Most suspects in a record, those with the most crashes.
const MAX_RECORDED: usize = 256;

/// A quarantined suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecordedSuspect {
    /// Whether it is a part of prompts; a request if not.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_part: bool,
    /// Fingerprint of the request, or hash of the part.
    pub hash: u64,
    /// Number of targets that it had crashed.
    pub crashes: u32,
    /// Number of trials that may have been granted.
    pub trials: u8,
}

impl RecordedSuspect {
    /// Record of a quarantine that allows the next trial after those that the verdict tells of.
    pub fn with_next_trial(verdict: &CrashVerdict) -> RecordedSuspect {
        RecordedSuspect {
            is_part: verdict.suspect.kind == SuspectKind::Part,
            hash: verdict.suspect.hash,
            crashes: verdict.crashes,
            trials: verdict.trials.after_grant(false).granted,
        }
    }

    /// The suspect of a service.
    pub fn suspect(&self, service: u64) -> Suspect {
        match self.is_part {
            true => Suspect::part(service, self.hash),
            false => Suspect::request(service, self.hash),
        }
    }

    /// What a process that reads the record tells others. All trials that may have been granted count.
    pub fn verdict(&self, service: u64) -> CrashVerdict {
        CrashVerdict {
            suspect: self.suspect(service),
            crashes: self.crashes,
            age_ms: 0,
            trials: Trials::of_recorded(self.trials),
        }
    }
}

/// Quarantined suspects of one service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecordedQuarantines {
    suspects: Vec<RecordedSuspect>,
}

impl RecordedQuarantines {
    /// Record of what these verdicts tell, with the next trial of each.
    pub fn of(verdicts: impl Iterator<Item = CrashVerdict>) -> RecordedQuarantines {
        let mut suspects: Vec<RecordedSuspect> =
            verdicts.map(|it| RecordedSuspect::with_next_trial(&it)).collect();
        suspects.sort_unstable_by_key(|it| (std::cmp::Reverse(it.crashes), it.is_part, it.hash));
        suspects.truncate(MAX_RECORDED);
        RecordedQuarantines { suspects }
    }

    /// Key of the object of a service.
    pub fn key(service: u64) -> ObjectKey {
        ObjectKey::new(Kind::Quarantines, format!("{service:016x}"))
    }

    /// Service of the object with this name; `None` if it is not a name of this kind.
    pub fn service(name: &str) -> Option<u64> {
        u64::from_str_radix(name, 16).ok()
    }

    /// Reads a stored object; `None` if it is invalid.
    pub fn parse(value: &[u8]) -> Option<RecordedQuarantines> {
        serde_json::from_slice(value).ok()
    }

    /// Content of the stored object.
    pub fn value(&self) -> Value {
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// The suspects.
    pub fn iter(&self) -> impl Iterator<Item = &RecordedSuspect> {
        self.suspects.iter()
    }

    /// Whether nothing is quarantined.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Whether both have the same suspects and trials, whatever crashed since.
    pub fn has_same_trials(&self, other: &RecordedQuarantines) -> bool {
        let state = |it: &RecordedSuspect| (it.is_part, it.hash, it.trials);
        let states = |all: &RecordedQuarantines| {
            let mut states: Vec<(bool, u64, u8)> = all.iter().map(state).collect();
            states.sort_unstable();
            states
        };
        states(self) == states(other)
    }
}
