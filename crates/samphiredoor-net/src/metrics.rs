//! What all processes' metrics are made of: counters by reason, plain counters and gauges, registered as they are made.

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

/// Counters by reason, as it stands in answers and logs.
pub struct ReasonCounters(Family<ReasonLabel, Counter>);

impl ReasonCounters {
    /// Registers counters with the given reasons at zero; others appear when they are first counted.
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

    /// Counts one more.
    pub fn count(&self, reason: &'static str) {
        self.0.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Raises a counter to what was counted elsewhere.
    pub fn raise_to(&self, reason: &'static str, to: u64) {
        raise_to(&self.0.get_or_create(&ReasonLabel { reason }), to);
    }
}

/// Raises a counter to what was counted elsewhere.
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

/// Text of all metrics in the exposition format.
pub fn text(registry: &Registry) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = encode(&mut text, registry);
    text
}
