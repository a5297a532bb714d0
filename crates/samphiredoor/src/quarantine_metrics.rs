//! Counters of the quarantine.

use prometheus_client::{metrics::counter::Counter, registry::Registry};
use samphiredoor_net::metrics::counter;

/// Metrics of the quarantine.
pub struct QuarantineMetrics {
    blamed: Counter,
}

impl QuarantineMetrics {
    /// Registers all at zero.
    pub fn new(registry: &mut Registry) -> QuarantineMetrics {
        QuarantineMetrics {
            blamed: counter(registry, "requests_blamed", "Requests blamed for deaths"),
        }
    }

    /// Counts a request that is refused from now on.
    pub fn blamed(&self) {
        self.blamed.inc();
    }
}
