//! Metrics of the quarantine of requests that crash targets.

use prometheus_client::{metrics::counter::Counter, registry::Registry};
use samphiredoor_net::metrics::counter;

/// Metrics of the quarantine.
pub struct QuarantineMetrics {
    quarantined: Counter,
}

impl QuarantineMetrics {
    /// Registers the metrics at zero.
    pub fn new(registry: &mut Registry) -> QuarantineMetrics {
        QuarantineMetrics {
            quarantined: counter(registry, "requests_blamed", "Requests blamed for deaths"),
        }
    }

    /// Counts a request that is quarantined: refused from now on, because targets died while they ran it.
    pub fn count_quarantined(&self) {
        self.quarantined.inc();
    }
}
