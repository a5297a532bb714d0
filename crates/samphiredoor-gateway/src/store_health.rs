//! Whether the store answers this process, and whether it answers others.
//!
//! A process that alone misses the store has to stop its items: others take its jobs, and it hears neither of that nor of
//! the jobs' ends. Where the store is silent for all, nobody can take them, and to stop them throws away what they have put
//! out. The processes notice a silence one after the other, so what the others last said of the store does not tell the two
//! apart. This does: another process was answered after this one had lost the store, and a call that this one made later
//! than that was lost again.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

#[derive(Default)]
struct State {
    heard: Cell<Option<Instant>>,
    lost_since: Cell<Option<Instant>>,
    /// When the store first answered another process after this one had lost it.
    others_heard: Cell<Option<Instant>>,
    alone: Cell<bool>,
    doubts: Cell<u64>,
    regains: Cell<u64>,
}

/// Handle to what is known of the store.
#[derive(Clone, Default)]
pub struct StoreHealth {
    state: Rc<State>,
}

impl StoreHealth {
    /// Whether the store does not answer now.
    pub fn is_lost(&self) -> bool {
        self.state.lost_since.get().is_some()
    }

    /// Whether the store has not answered for some time.
    pub fn is_lost_for(&self, at_least: Duration) -> bool {
        self.state.lost_since.get().is_some_and(|it| it.elapsed() >= at_least)
    }

    /// Whether the store answers others while it does not answer this process.
    pub fn is_lost_only_here(&self) -> bool {
        self.state.alone.get()
    }

    /// Time since the store last answered a call; `None` before the first answer.
    pub fn time_since_answer(&self) -> Option<Duration> {
        Some(self.state.heard.get()?.elapsed())
    }

    /// Notes that the store has answered a call.
    pub fn record_answer(&self) {
        self.state.heard.set(Some(Instant::now()));
    }

    /// Notes that the store has answered another process at some moment.
    pub fn record_peer_answer(&self, at: Instant) {
        let since_loss = self.state.lost_since.get().is_some_and(|it| at > it);
        if since_loss && self.state.others_heard.get().is_none() {
            self.state.others_heard.set(Some(at));
        }
    }

    /// Notes that a call got no usable answer that was made at some moment.
    pub fn record_failure(&self, asked: Instant) {
        if self.state.others_heard.get().is_some_and(|it| asked > it) {
            self.state.alone.set(true);
        }
    }

    /// Notes a reason to doubt that the store answers.
    pub fn raise_suspicion(&self) {
        self.state.doubts.set(self.state.doubts.get() + 1);
    }

    /// Number of doubts so far.
    pub fn suspicions(&self) -> u64 {
        self.state.doubts.get()
    }

    /// Number of times that the store was lost and answered again.
    pub fn recoveries(&self) -> u64 {
        self.state.regains.get()
    }

    /// Notes that the store does not answer.
    pub fn mark_lost(&self) {
        if self.state.lost_since.get().is_none() {
            log::warn!("store: lost");
            self.state.lost_since.set(Some(Instant::now()));
        }
    }

    /// Notes that the store answers again.
    pub fn mark_recovered(&self) {
        if let Some(since) = self.state.lost_since.take() {
            let alone = self.state.alone.take();
            self.state.regains.set(self.state.regains.get() + 1);
            self.state.others_heard.set(None);
            log::info!(away_ms = since.elapsed().as_millis() as u64, alone; "store: regained");
        }
    }
}
