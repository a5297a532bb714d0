//! How the time within which a change has to take effect is divided among the waits of a watcher.
//!
//! Waits follow each other: a pause after changes, a watch through a relay that has failed, the tolerance for a relay that is
//! behind. Each is therefore limited by what those before it have left of a common budget, counted from when this process
//! last knew all changes. The rest of the time is for the store's answer and for requests that are on their way, also at hosts
//! with a tenth of a core.

use std::time::Duration;

/// Longest pause after changes, as a part of the time. Changes come in bursts, as when all targets of a service are replaced,
/// and the store charges for each call.
const PAUSE_PART: f64 = 0.4;
/// Longest wait of a watch through the relay, as a part of the time.
const RELAY_WATCH_PART: f64 = 0.4;
/// Part of the time after which the store is asked, as the relay has not answered.
const RELAY_BUDGET_PART: f64 = 0.6;
/// How long peers must be ahead before a watch counts as stalled; their reports of a change may arrive slightly before the
/// store's.
pub const BEHIND_TOLERANCE: Duration = Duration::from_millis(250);

/// Division of the time within which a change has to take effect.
#[derive(Debug, Clone, Copy)]
pub struct WatchBudget {
    within: Duration,
    pause: Duration,
}

impl WatchBudget {
    /// Budget for changes that have to take effect `within` some time, without a pause after changes.
    pub fn new(within: Duration) -> WatchBudget {
        WatchBudget { within, pause: Duration::ZERO }
    }

    /// Adds a pause after changes.
    pub fn with_pause(self) -> WatchBudget {
        WatchBudget { pause: self.within.mul_f64(PAUSE_PART), ..self }
    }

    /// Pause after changes.
    pub fn pause(self) -> Duration {
        self.pause
    }

    /// How long a watch through the relay waits for changes if this process knew all changes some time ago. The relay may take
    /// `margin` longer to answer.
    pub fn relay_wait(self, known_ago: Duration, margin: Duration) -> Duration {
        let left = self.within.mul_f64(RELAY_BUDGET_PART).saturating_sub(known_ago + margin);
        left.min(self.within.mul_f64(RELAY_WATCH_PART))
    }

    /// How long peers may be ahead of a watch through a relay that sent changes some time ago. A relay that has had changes may
    /// pause before its next watch, and sees by itself that its peers are ahead; if the whole cell asked the store meanwhile, each
    /// change would cost one answer per gateway again.
    pub fn relay_tolerance(self, changed_ago: Option<Duration>) -> Duration {
        let pause_left =
            changed_ago.map(|it| (self.pause + BEHIND_TOLERANCE * 2).saturating_sub(it));
        pause_left.unwrap_or_default().max(BEHIND_TOLERANCE)
    }
}
