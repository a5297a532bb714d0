//! Tracks whether the store answers this process, and whether it answers other processes meanwhile.
//!
//! A process that alone has lost the store must stop its batch items: other processes take over its jobs, and it
//! learns neither of that nor of the end of a job. If the store answers no process, no job can be taken over, and stopping
//! the items would only discard their output. The last reports of other processes do not distinguish the two cases,
//! because processes detect an outage at different times. A store therefore counts as lost only here once it has
//! answered another process after this one lost it, and a call that this one made later than that has failed as well.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

#[derive(Default)]
struct State {
    /// When the store last answered a call of this process.
    answered_at: Cell<Option<Instant>>,
    lost_since: Cell<Option<Instant>>,
    /// When the store became reachable again; `None` before the first time.
    recovered_at: Cell<Option<Instant>>,
    /// When the store first answered another process after this one had lost it.
    peer_answered_at: Cell<Option<Instant>>,
    lost_only_here: Cell<bool>,
    /// When a call of this process last showed that the store was away.
    outage_seen_at: Cell<Option<Instant>>,
    suspicions: Cell<u64>,
    recoveries: Cell<u64>,
}

/// Handle to the store's health as this process sees it; clones share the same state.
#[derive(Clone, Default)]
pub struct StoreHealth {
    state: Rc<State>,
}

impl StoreHealth {
    /// Whether the store is unreachable now.
    pub fn is_lost(&self) -> bool {
        self.state.lost_since.get().is_some()
    }

    /// Whether the store has been unreachable for at least some time.
    pub fn is_lost_for(&self, at_least: Duration) -> bool {
        self.state.lost_since.get().is_some_and(|it| it.elapsed() >= at_least)
    }

    /// Whether the store has been reachable for at least some time.
    pub fn is_reached_for(&self, at_least: Duration) -> bool {
        let recovered_at = self.state.recovered_at.get();
        !self.is_lost() && recovered_at.is_none_or(|it| it.elapsed() >= at_least)
    }

    /// Whether the store answers other processes while this one cannot reach it.
    pub fn is_lost_only_here(&self) -> bool {
        self.state.lost_only_here.get()
    }

    /// Time since the store last answered a call; `None` before the first answer.
    pub fn time_since_answer(&self) -> Option<Duration> {
        Some(self.state.answered_at.get()?.elapsed())
    }

    /// Records that the store has answered a call.
    pub fn record_answer(&self) {
        self.state.answered_at.set(Some(Instant::now()));
    }

    /// Records that the store answered another process at some time.
    pub fn record_peer_answer(&self, at: Instant) {
        let since_loss = self.state.lost_since.get().is_some_and(|it| at > it);
        if since_loss && self.state.peer_answered_at.get().is_none() {
            self.state.peer_answered_at.set(Some(at));
        }
    }

    /// Records that a call that was sent at some time got no usable answer.
    pub fn record_failure(&self, sent: Instant) {
        if self.state.peer_answered_at.get().is_some_and(|it| sent > it) {
            self.state.lost_only_here.set(true);
        }
    }

    /// Records that the store is away for this process: it refused a call, or a call that was made after one without an answer
    /// got none either.
    pub fn record_outage(&self) {
        self.state.outage_seen_at.set(Some(Instant::now()));
    }

    /// When this process last saw that the store was away for it.
    pub fn outage_seen_at(&self) -> Option<Instant> {
        self.state.outage_seen_at.get()
    }

    /// Records that a call got no answer. Waiting watches are then issued again, as the store may have dropped them too.
    pub fn raise_suspicion(&self) {
        self.state.suspicions.set(self.state.suspicions.get() + 1);
    }

    /// Number of calls of [`StoreHealth::raise_suspicion`] so far.
    pub fn suspicions(&self) -> u64 {
        self.state.suspicions.get()
    }

    /// Number of times that the store became reachable again.
    pub fn recoveries(&self) -> u64 {
        self.state.recoveries.get()
    }

    /// Marks the store as unreachable.
    pub fn mark_lost(&self) {
        if self.state.lost_since.get().is_none() {
            log::warn!("store: lost");
            self.state.lost_since.set(Some(Instant::now()));
        }
    }

    /// Marks the store as reachable again.
    pub fn mark_recovered(&self) {
        if let Some(since) = self.state.lost_since.take() {
            let alone = self.state.lost_only_here.take();
            self.state.recovered_at.set(Some(Instant::now()));
            self.state.recoveries.set(self.state.recoveries.get() + 1);
            self.state.peer_answered_at.set(None);
            log::info!(away_ms = since.elapsed().as_millis() as u64, alone; "store: recovered");
        }
    }
}
