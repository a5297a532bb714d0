//! Permit to send the items of a job to targets.
//!
//! A gateway that cancels a job first writes the cancellation to the store and then reads the owner from the header. An
//! owner that writes or reads the header first, and then reads that there is no cancellation, is therefore found in the
//! header and notified of any later one.

use std::{cell::Cell, time::Duration};

use super::{job_task::JobMessage, liveness_gaps::LivenessGaps};
use crate::store_health::StoreHealth;

/// Interval at which a waiting item checks the permit again.
const RECHECK_PAUSE: Duration = Duration::from_millis(40);

/// Permit of one job, shared by its task and the runs of its items. A liveness gap invalidates it.
pub struct SendPermit {
    gaps: LivenessGaps,
    health: StoreHealth,
    messages: flume::Sender<JobMessage>,
    /// Number of gaps before the last successful check of the job; `None` before the first one.
    granted: Cell<Option<u64>>,
    /// Whether an item waits for the permit.
    wanted: Cell<bool>,
}

impl SendPermit {
    /// Creates a permit that is valid as of a number of gaps, or not yet granted with `None`. `messages` leads to the
    /// job's task, which grants it.
    pub fn new(
        gaps: LivenessGaps,
        health: StoreHealth,
        messages: flume::Sender<JobMessage>,
        granted: Option<u64>,
    ) -> SendPermit {
        let (granted, wanted) = (Cell::new(granted), Cell::default());
        SendPermit { gaps, health, messages, granted, wanted }
    }

    /// Whether items may be sent: there was no gap since the permit was granted. While the store does not answer, a
    /// granted permit stays valid: the store cannot be asked, and a gateway without the store acknowledges no
    /// cancellation.
    pub fn is_valid(&self) -> bool {
        let Some(granted) = self.granted.get() else { return false };
        granted == self.gaps.count() || self.health.is_lost()
    }

    /// Waits until items may be sent.
    pub async fn wait(&self) {
        while !self.is_valid() {
            if !self.wanted.replace(true) {
                // Fails only if the job's task has ended, which also ends its runs.
                let _ = self.messages.send(JobMessage::PermitWanted);
            }
            compio::time::sleep(RECHECK_PAUSE).await;
        }
    }

    /// Whether an item waits for the permit.
    pub fn is_wanted(&self) -> bool {
        self.wanted.get()
    }

    /// Grants the permit as of a number of gaps.
    pub fn grant(&self, gap_count: u64) {
        self.granted.set(Some(gap_count));
        self.wanted.set(false);
    }
}
