//! Metrics of the quarantine of requests that crash targets.

use prometheus_client::{metrics::counter::Counter, registry::Registry};
use samphiredoor_net::metrics::counter;

/// Metrics of the quarantine.
pub struct QuarantineMetrics {
    blamed: Counter,
}

impl QuarantineMetrics {
    /// Registers the metrics at zero.
    pub fn new(registry: &mut Registry) -> QuarantineMetrics {
        QuarantineMetrics {
            blamed: counter(registry, "requests_blamed", "Requests blamed for deaths"),
        }
    }

    /// Counts a request that is quarantined: refused from now on, because targets died while they ran it.
    pub fn blamed(&self) {
        self.blamed.inc();
    }
}
