//! Counters and gauges of the dispatcher.

use super::{health::Ejection, retry::RetryReason};
use crate::Name;

/// Counters since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Retries, in the order of [`RetryReason::ALL`].
    pub retries: [u64; RetryReason::ALL.len()],
    /// Retries not made because the retry budget was spent.
    pub retries_over_budget: u64,
    /// Ejections of targets, in the order of [`Ejection::ALL`].
    pub ejections: [u64; Ejection::ALL.len()],
    /// Times that a target's load reports were found to be frozen or wrong.
    pub reports_distrusted: u64,
    /// Batch items preempted.
    pub preemptions: u64,
    /// Bytes of request bodies sent to targets in another region.
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

/// Gauges at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Online requests in queues.
    pub queued: usize,
    /// Batch items that wait for a slot.
    pub waiting_batch: usize,
    /// Online requests that are running.
    pub online: usize,
    /// All requests that the dispatcher holds, waiting or running.
    pub known: usize,
    /// Targets in use.
    pub targets: usize,
    /// Targets in use that are ejected and get no work.
    pub ejected: usize,
}

/// State of a target in use, as seen by this process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetView {
    /// Name of the target.
    pub name: Name,
    /// Online requests of this process running there.
    pub online: u32,
    /// Batch items of this process running there.
    pub batch: u32,
    /// Whether it gets no work because it failed, could not be reached or is leaving.
    pub is_ejected: bool,
}
