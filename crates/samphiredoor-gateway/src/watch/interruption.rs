//! What kept changes of the store from this process for a while.
//!
//! Entries expire while the store is away, and come back after it; so for a while after an outage a missing entry proves nothing.
//! If only this process missed changes, what is missing has been removed on purpose. The store was away if calls of this
//! process show it, or if most of the gateways that watch it say so: that it turns some of them away, or that a relay fails,
//! says nothing of the others. The time of an outage counts from these signs and not from when changes arrive, or each further
//! interruption would prolong it.

use std::time::{Duration, Instant};

use super::{MAX_BACKOFF, Watcher};
use crate::{store_health::StoreHealth, watch_schedule::WatchSchedule};

/// Time after which signs of an outage no longer matter: entries that expired in it are back, or gone.
const OUTAGE_REMEMBERED: Duration = Duration::from_secs(5);

/// What kept the changes of the store from this process for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Interruption {
    /// The store was away: it refused calls, or new ones failed as well, here or at most of those that watch it.
    StoreAway {
        /// When it was away last.
        until: Instant,
    },
    /// Calls that were under way got no answer and the next one did, or another gateway answers in place of the relay.
    CallsSilent,
}

impl Interruption {
    /// Label in logs.
    pub fn label(self) -> &'static str {
        match self {
            Interruption::StoreAway { .. } => "store_away",
            Interruption::CallsSilent => "calls_silent",
        }
    }
}

impl Watcher {
    /// What kept changes from this process until now, if anything did. Others may have seen an outage in which no call was made
    /// here, so its signs count for all changes.
    pub(super) fn interruption(&self, has_content: bool) -> Option<Interruption> {
        // Changes that only peers had seen were missed here, too.
        let missed_changes = self.is_behind && has_content;
        let is_interrupted = self.failures > 0 || missed_changes || self.relay_epoch_changed;
        if !is_interrupted && !has_content {
            return None;
        }
        let interruption = match self.store_away_until() {
            Some(until) => Interruption::StoreAway { until },
            None if is_interrupted => Interruption::CallsSilent,
            None => return None,
        };
        if is_interrupted {
            log::info!(
                kind = self.kind.path(), cause = interruption.label(), failures = self.failed_calls,
                refused = self.was_refused, behind = missed_changes, relay_changed = self.relay_epoch_changed,
                known_ms_ago = self.complete_before.elapsed().as_millis() as u64;
                "store: changes may have been missed"
            );
        }
        Some(interruption)
    }

    /// When the store was away last, as far as this process knows.
    fn store_away_until(&self) -> Option<Instant> {
        let now = Instant::now();
        if self.has_failed_repeatedly() {
            return Some(now);
        }
        let seen_here = self.health.as_ref().and_then(StoreHealth::outage_seen_at);
        // The next call finds the end of an outage.
        let here = seen_here.map(|it| now.min(it + MAX_BACKOFF));
        let until =
            here.max(self.schedule.as_ref().and_then(WatchSchedule::watchers_lost_store_until));
        until.filter(|it| it.elapsed() < OUTAGE_REMEMBERED)
    }

    /// The first failure may be due to the connection of that call alone; a second one shows that the store is away, as it was
    /// made on a new connection.
    pub(super) fn has_failed_repeatedly(&self) -> bool {
        self.failed_calls > 1 || self.was_refused
    }
}
