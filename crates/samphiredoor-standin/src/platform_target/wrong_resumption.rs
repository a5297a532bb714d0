//! Answers of targets that do not go on after the event that they were asked with.

use serde::{Deserialize, Serialize};

use super::TargetFault;

/// Event at which a target begins that was asked to go on after event n, instead of n + 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WrongResumption {
    /// Event 1, as without `Last-Event-Id`.
    AtFirst,
    /// Event n, as if asked with the one before.
    AtLast,
    /// Event n + 2, as if asked with the next one.
    AfterNext,
}

impl WrongResumption {
    fn first_event(self, after: u64) -> u64 {
        match self {
            WrongResumption::AtFirst => 1,
            WrongResumption::AtLast => after,
            WrongResumption::AfterNext => after + 2,
        }
    }
}

impl TargetFault {
    /// Number of the first event of an answer to a request with this `Last-Event-Id`.
    pub(super) fn first_event(self, after: Option<u64>) -> u64 {
        match (self, after) {
            (TargetFault::Resumes(wrong), Some(after)) => wrong.first_event(after),
            (_, after) => after.unwrap_or(0) + 1,
        }
    }
}
