//! Whether items of a job may be sent to targets.
//!
//! Whoever acknowledges an end without the owner writes the end first and has read the owner in the header after it. An
//! owner that has written or read the header, and reads after it that there is no end, will be found and told.

use std::{cell::Cell, time::Duration};

use super::{gaps::Gaps, job_task::JobMessage};
use crate::store_health::StoreHealth;

/// Pause of an item that is held before it asks again.
const RECHECK_PAUSE: Duration = Duration::from_millis(40);

/// SendPermit of one job, shared by its task and the runs of its items.
pub struct SendPermit {
    gaps: Gaps,
    health: StoreHealth,
    messages: flume::Sender<JobMessage>,
    /// Gaps of the process before the job was last looked for; `None` before the first time.
    granted: Cell<Option<u64>>,
    wanted: Cell<bool>,
}

impl SendPermit {
    /// SendPermit that is given as of some gaps, or has to be given first; `messages` is the inbox of the job's task.
    pub fn new(
        gaps: Gaps,
        health: StoreHealth,
        messages: flume::Sender<JobMessage>,
        granted: Option<u64>,
    ) -> SendPermit {
        let (granted, wanted) = (Cell::new(granted), Cell::default());
        SendPermit { gaps, health, messages, granted, wanted }
    }

    /// Whether items may be sent: there was no gap since it was given. A store that is lost cannot be asked, and nobody
    /// who misses it acknowledges an end.
    pub fn is_valid(&self) -> bool {
        let Some(granted) = self.granted.get() else { return false };
        granted == self.gaps.count() || self.health.is_lost()
    }

    /// Waits until items may be sent.
    pub async fn wait(&self) {
        while !self.is_valid() {
            if !self.wanted.replace(true) {
                // Fails only when the job's task has ended, and its runs with it.
                let _ = self.messages.send(JobMessage::PermitWanted);
            }
            compio::time::sleep(RECHECK_PAUSE).await;
        }
    }

    /// Whether an item waits for it.
    pub fn is_wanted(&self) -> bool {
        self.wanted.get()
    }

    /// Gives it as of some gaps.
    pub fn grant(&self, gaps: u64) {
        self.granted.set(Some(gaps));
        self.wanted.set(false);
    }
}
