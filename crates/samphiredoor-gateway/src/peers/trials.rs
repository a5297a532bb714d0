//! Questions to coordinators whether a quarantined request may be sent as a trial.
//!
//! The coordinators of a service are asked one after the other, so that one of them grants each trial as long as it lives.
//! If neither answers or knows of the quarantine, the gateway decides for itself: then the coordinators have just started,
//! or are out of reach.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use super::crash_messages::Suspects;

/// Time for an answer: a coordinator in another region is 24 ms away.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(80);

/// A question to which no coordinator has given a verdict yet.
pub(super) struct PendingTrial {
    /// The quarantined suspects of the request.
    pub suspects: Suspects,
    /// Gets whether the request may be sent.
    pub reply: flume::Sender<bool>,
    /// Hashes of the coordinators that have not been asked.
    pub left: VecDeque<u64>,
    /// Whether a coordinator was asked. If none of them knows of the quarantine, it may have ended without this process being
    /// told, and a trial that this process grants itself must not spread it again.
    pub was_asked: bool,
    /// When the one that was asked last is given up.
    pub until: Instant,
}

/// Questions that wait for answers, by id.
#[derive(Default)]
pub(super) struct PendingTrials {
    pending: BTreeMap<u64, PendingTrial>,
    last_id: u64,
}

impl PendingTrials {
    /// Adds a question that is sent now; returns its id.
    pub fn insert(&mut self, mut trial: PendingTrial) -> u64 {
        self.last_id += 1;
        trial.until = Instant::now() + ANSWER_TIMEOUT;
        self.pending.insert(self.last_id, trial);
        self.last_id
    }

    /// Takes the question that an answer belongs to, if it still waits.
    pub fn take(&mut self, id: u64) -> Option<PendingTrial> {
        self.pending.remove(&id)
    }

    /// Takes the questions whose coordinators have not answered in time.
    pub fn take_late(&mut self) -> Vec<PendingTrial> {
        let now = Instant::now();
        let late: Vec<u64> =
            self.pending.iter().filter(|(_, it)| it.until <= now).map(|(id, _)| *id).collect();
        late.into_iter().filter_map(|it| self.pending.remove(&it)).collect()
    }

    /// When the first question is given up.
    pub fn next_timeout(&self) -> Option<Instant> {
        self.pending.values().map(|it| it.until).min()
    }
}
