//! Watches through the relay of the cell: when a gateway watches through it, and when it asks the store itself.

use std::time::{Duration, Instant};

use samphiredoor_core::{
    store::{Stored, Version},
    watch_cache::Delta,
};
use samphiredoor_net::pool::within;

use super::{EventSource, RelayWatch, StoreEvent, Watcher};
use crate::{
    lists::current_version,
    peers::{
        WatchRelay, WatchRole,
        watch_relay::{RESPONSE_MARGIN, RelayedChanges},
    },
    platform_api::Change,
    store_health::StoreHealth,
};

/// Small reads that the store has to answer before a gateway asks for changes in place of those that precede it. By then one
/// of them has reported that it reaches the store, if it does.
const PROBES_BEFORE_TURN: u32 = 3;
/// Time limit of the small read before a gateway asks the store for what its relay does not have yet. A slow store answers
/// within some hundred milliseconds.
const BYPASS_PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval at which a watch that waits for the list of gateways checks for it.
const FLEET_CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl Watcher {
    /// Waits until the gateways are known; returns whether the store was not lost meanwhile.
    pub(super) async fn wait_for_fleet(&mut self) -> bool {
        let (Some(until), Some(watch_relay)) = (self.fleet_wait_until, &self.watch_relay) else {
            return true;
        };
        while !watch_relay.knows_fleet() && Instant::now() < until {
            if self.health.as_ref().is_some_and(StoreHealth::is_lost) {
                return false;
            }
            compio::time::sleep(FLEET_CHECK_INTERVAL).await;
        }
        self.fleet_wait_until = None;
        true
    }

    /// Whether the watch may go on after failures. A gateway that no other precedes finds that out by its next watch.
    pub(super) async fn may_resume(&mut self) -> bool {
        let probes_needed = match self.role() {
            WatchRole::First => return true,
            WatchRole::Through(_) => 1,
            WatchRole::AfterOthers => PROBES_BEFORE_TURN,
        };
        self.is_behind = false;
        self.answered_probes = if self.probe_store().await { self.answered_probes + 1 } else { 0 };
        self.waits_for_others = (1..probes_needed).contains(&self.answered_probes);
        self.answered_probes >= probes_needed
    }

    /// Whether the store can be asked for changes that the relay does not have yet. Where even a small read takes long, the
    /// answers of the whole cell would only delay those to its relay.
    pub(super) async fn may_bypass_relay(&self) -> bool {
        self.role() == WatchRole::First
            || within(BYPASS_PROBE_TIMEOUT, self.probe_store()).await == Some(true)
    }

    pub(super) fn role(&self) -> WatchRole {
        self.watch_relay.as_ref().map_or(WatchRole::First, WatchRelay::role)
    }

    /// Whether the store answers a small read.
    pub(super) async fn probe_store(&self) -> bool {
        let sent = Instant::now();
        let is_answered = current_version(&*self.store, self.kind).await.is_some();
        if !is_answered {
            self.record_list_failure(sent);
        }
        is_answered
    }

    /// Watches through the relay of the cell, unless the store has to be queried directly.
    pub(super) async fn watch_through_relay(&mut self, since: Version) -> RelayWatch {
        if self.is_behind {
            return RelayWatch::Unavailable;
        }
        let Some(watch_relay) = self.watch_relay.clone() else { return RelayWatch::Unavailable };
        let WatchRole::Through(address) = watch_relay.role() else {
            return RelayWatch::Unavailable;
        };
        if self.relay.replace(address) != Some(address) {
            self.relayed_changes_at = Some(Instant::now());
            log::info!(kind = self.kind.path(), peer:% = address; "store: watched through another gateway");
        }
        let sent = Instant::now();
        let wait = self.budget.relay_wait(self.complete_at.elapsed(), RESPONSE_MARGIN);
        let watch = watch_relay.watch(address, self.kind, since, wait);
        let changed_ago = self.relayed_changes_at.map(|it| it.elapsed());
        match self.until_stalled(since, watch, self.budget.relay_tolerance(changed_ago)).await {
            Ok(Some(relayed)) => RelayWatch::Event(self.apply_relayed_changes(relayed)),
            Ok(None) => {
                self.record_watch_failure(sent, "relay_silent");
                self.relay_failed = true;
                RelayWatch::Unavailable
            }
            Err(reason) => {
                self.record_stall(sent, reason);
                RelayWatch::Stalled(reason)
            }
        }
    }

    /// Converts the answer of the relay. If the relay lost the store since its last answer, entries may have expired
    /// meanwhile.
    pub(super) fn apply_relayed_changes(&mut self, relayed: RelayedChanges) -> StoreEvent {
        let before = self.relay_epoch.replace(relayed.epoch);
        self.relay_epoch_changed = before.is_some_and(|it| it != relayed.epoch);
        match relayed.delta {
            Delta::None => {
                self.note_complete(EventSource::Relay, false);
                StoreEvent::Changes(Vec::new())
            }
            Delta::Changed { objects, version } => {
                let changes = objects.into_iter().map(|(name, stored)| match stored {
                    Some(stored) => Change::Written(stored),
                    None => Change::Deleted(name),
                });
                let changes: Vec<Change> = changes.collect();
                self.relayed_changes_at = Some(Instant::now());
                self.record_changes(&changes, version);
                self.note_complete(EventSource::Relay, !changes.is_empty());
                StoreEvent::Changes(changes)
            }
            Delta::Snapshot { objects, version } => {
                self.record_list(&objects, version);
                self.since = Some(version);
                self.note_complete(EventSource::Relay, true);
                StoreEvent::Snapshot(objects)
            }
        }
    }

    /// Passes a list to the schedule and to the cache for peers.
    pub(super) fn record_list(&self, all: &[Stored], version: Version) {
        if let Some(schedule) = &self.schedule {
            schedule.record_list(all);
        }
        if let Some(watch_relay) = &self.watch_relay {
            self.record_recovery(watch_relay);
            watch_relay.record_list(self.kind, all, version);
        }
    }

    /// Passes changes to the schedule and to the cache for peers, and continues from `version`.
    pub(super) fn record_changes(&mut self, changes: &[Change], version: Version) {
        self.since = Some(version);
        self.behind_since = None;
        if let Some(schedule) = &self.schedule {
            schedule.record_changes(changes, version);
        }
        if let Some(watch_relay) = &self.watch_relay {
            self.record_recovery(watch_relay);
            watch_relay.record_changes(self.kind, changes, version);
        }
    }

    /// Lets peers that watch through this process see that it had lost the store, before they see entries as expired.
    pub(super) fn record_recovery(&self, watch_relay: &WatchRelay) {
        if self.failures > 0 || self.is_behind || self.relay_epoch_changed {
            watch_relay.record_store_outage(self.kind);
        }
    }
}
