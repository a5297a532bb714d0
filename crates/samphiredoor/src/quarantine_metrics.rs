//! Counters of the quarantine.

use prometheus_client::{metrics::counter::Counter, registry::Registry};

/// Metrics of the quarantine.
pub struct QuarantineMetrics {
    blamed: Counter,
}

impl QuarantineMetrics {
    /// Registers all at zero.
    pub fn new(registry: &mut Registry) -> QuarantineMetrics {
        let blamed = Counter::default();
        registry.register("requests_blamed", "Requests blamed for deaths", blamed.clone());
        QuarantineMetrics { blamed }
    }

    /// Counts a request that is refused from now on.
    pub fn blamed(&self) {
        self.blamed.inc();
    }
}
