//! Metrics of the idempotency keys.

use prometheus_client::{
    metrics::{counter::Counter, gauge::Gauge},
    registry::Registry,
};
use samphiredoor_net::metrics::{counter, gauge};

/// Metrics of the idempotency keys.
pub struct KeysMetrics {
    replayed: Counter,
    unsaved: Gauge,
    unreadable: Counter,
}

impl KeysMetrics {
    /// Registers the metrics at zero.
    pub fn new(registry: &mut Registry) -> KeysMetrics {
        let replayed = counter(registry, "answers_replayed", "Answers to resent requests");
        let unsaved = gauge(registry, "outcomes_unsaved", "Outcomes that wait for the store");
        let unreadable = counter(registry, "key_shards_unreadable", "Reads of damaged shards");
        KeysMetrics { replayed, unsaved, unreadable }
    }

    /// Counts a response that was replayed to a resent request.
    pub fn count_replayed(&self) {
        self.replayed.inc();
    }

    /// Sets the number of outcomes that are not saved in the store yet.
    pub fn set_unsaved(&self, outcomes: usize) {
        self.unsaved.set(outcomes as i64);
    }

    /// Counts a read of a damaged shard.
    pub fn count_unreadable(&self) {
        self.unreadable.inc();
    }
}
