//! Metrics of all processes: counters with a reason label, plain counters and gauges, registered when they are created.

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

/// Counters with the label `reason`, whose values also appear in responses and logs. Clones share the counters.
#[derive(Clone)]
pub struct ReasonCounters(Family<ReasonLabel, Counter>);

impl ReasonCounters {
    /// Registers the counters. Those of `reasons` are exported from the start, others after their first increment.
    pub fn new(
        registry: &mut Registry,
        name: &str,
        help: &str,
        reasons: &[&'static str],
    ) -> ReasonCounters {
        let counters = Family::<ReasonLabel, Counter>::default();
        for reason in reasons {
            let _ = counters.get_or_create(&ReasonLabel { reason });
        }
        registry.register(name, help, counters.clone());
        ReasonCounters(counters)
    }

    /// Increments the counter of a reason.
    pub fn count(&self, reason: &'static str) {
        self.0.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Raises the counter of a reason to a total that is counted elsewhere.
    pub fn raise_to(&self, reason: &'static str, to: u64) {
        raise_to(&self.0.get_or_create(&ReasonLabel { reason }), to);
    }
}

/// Raises a counter to a total that is counted elsewhere; never lowers it.
pub fn raise_to(counter: &Counter, to: u64) {
    counter.inc_by(to.saturating_sub(counter.get()));
}

/// Registers a counter.
pub fn counter(registry: &mut Registry, name: &str, help: &str) -> Counter {
    let counter = Counter::default();
    registry.register(name, help, counter.clone());
    counter
}

/// Registers a gauge.
pub fn gauge(registry: &mut Registry, name: &str, help: &str) -> Gauge {
    let gauge = Gauge::default();
    registry.register(name, help, gauge.clone());
    gauge
}

/// All metrics in the OpenMetrics text format.
pub fn text(registry: &Registry) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = encode(&mut text, registry);
    text
}
