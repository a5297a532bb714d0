//! What the dispatcher counts for operators.

use super::{health::Ejection, retry::RetryReason};
use crate::Name;

/// Counts since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Retries, in the order of [`RetryReason::ALL`].
    pub retries: [u64; RetryReason::ALL.len()],
    /// Retries that the budget did not allow.
    pub retries_over_budget: u64,
    /// Ejections of targets, in the order of [`Ejection::ALL`].
    pub ejections: [u64; Ejection::ALL.len()],
    /// Load reports found to be frozen or wrong.
    pub reports_distrusted: u64,
    /// Items of jobs recalled to make room for an online request.
    pub preemptions: u64,
    /// Bytes of bodies sent to another region.
    pub bytes_to_other_regions: u64,
}

impl Counters {
    pub(super) fn retried(&mut self, reason: RetryReason) {
        self.retries[reason as usize] += 1;
    }

    pub(super) fn ejected(&mut self, reason: Ejection) {
        self.ejections[reason as usize] += 1;
    }
}

/// State at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Online requests in queues.
    pub queued: usize,
    /// Items of jobs that wait for lent capacity.
    pub waiting_batch: usize,
    /// Online requests that run.
    pub online: usize,
    /// Requests of all kinds that the dispatcher knows.
    pub known: usize,
    /// Targets in use.
    pub targets: usize,
    /// Targets in use that get no work, as they are ejected.
    pub ejected: usize,
}

/// A target that this process uses, as it sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetView {
    /// Name.
    pub name: Name,
    /// Online requests of this process.
    pub online: u32,
    /// Items of jobs of this process.
    pub batch: u32,
    /// Whether it gets no work, as it failed, could not be reached or leaves.
    pub is_ejected: bool,
}
