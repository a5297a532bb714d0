//! Events that a target holds back, so that tests decide how far each of its runs gets.

use std::{thread, time::Duration};

use super::PlatformTarget;

const POLL_INTERVAL: Duration = Duration::from_millis(5);

impl PlatformTarget {
    /// Holds back all events with greater numbers, in each run, until it is set anew; `None` lets all go on.
    pub fn hold_after(&self, number: Option<u64>) {
        self.state().held_after = number;
    }

    /// Waits while an event is held back; a crash ends the wait.
    pub(super) fn wait_while_held(&self, number: u64) {
        while self.state().held_after.is_some_and(|it| number > it) && !self.has_crashed() {
            thread::sleep(POLL_INTERVAL);
        }
    }
}
