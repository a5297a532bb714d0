//! Whether items of a job may be sent to targets.
//!
//! Whoever acknowledges an end without the owner writes the end first and has read the owner in the header after it. An
//! owner that has written or read the header, and reads after it that there is no end, will be found and told.

use std::{cell::Cell, time::Duration};

use super::{job_task::JobMessage, liveness_gaps::LivenessGaps};
use crate::store_health::StoreHealth;

/// Pause of an item that is held before it asks again.
const HELD_PAUSE: Duration = Duration::from_millis(40);

/// Clearance of one job, shared by its task and the runs of its items.
pub struct Clearance {
    gaps: LivenessGaps,
    health: StoreHealth,
    messages: flume::Sender<JobMessage>,
    /// Gaps of the process before the job was last looked for; `None` before the first time.
    given: Cell<Option<u64>>,
    awaited: Cell<bool>,
}

impl Clearance {
    /// Clearance that is given as of some gaps, or has to be given first; `messages` is the inbox of the job's task.
    pub fn new(
        gaps: LivenessGaps,
        health: StoreHealth,
        messages: flume::Sender<JobMessage>,
        given: Option<u64>,
    ) -> Clearance {
        let (given, awaited) = (Cell::new(given), Cell::default());
        Clearance { gaps, health, messages, given, awaited }
    }

    /// Whether items may be sent: there was no gap since it was given. A store that is lost cannot be asked, and nobody
    /// who misses it acknowledges an end.
    pub fn holds(&self) -> bool {
        let Some(given) = self.given.get() else { return false };
        given == self.gaps.count() || self.health.is_lost()
    }

    /// Waits until items may be sent.
    pub async fn wait(&self) {
        while !self.holds() {
            if !self.awaited.replace(true) {
                // Fails only when the job's task has ended, and its runs with it.
                let _ = self.messages.send(JobMessage::Held);
            }
            compio::time::sleep(HELD_PAUSE).await;
        }
    }

    /// Whether an item waits for it.
    pub fn is_awaited(&self) -> bool {
        self.awaited.get()
    }

    /// Gives it as of some gaps.
    pub fn give(&self, gaps: u64) {
        self.given.set(Some(gaps));
        self.awaited.set(false);
    }
}
