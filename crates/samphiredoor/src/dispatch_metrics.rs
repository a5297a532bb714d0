//! Metrics of routing, limits, queues and retries, as the dispatcher last reported them.

use prometheus_client::{
    metrics::{
        counter::Counter,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};
use samphiredoor_core::dispatch::{Counters, Ejection, Gauges, RetryReason};
use samphiredoor_net::metrics::{ReasonCounters, counter, gauge, raise_to};

/// Metrics of the dispatcher, as of its last report.
pub struct DispatcherMetrics {
    retries: ReasonCounters,
    retries_over_budget: Counter,
    ejections: ReasonCounters,
    reports_distrusted: Counter,
    preemptions: Counter,
    preemption_s: Histogram,
    bytes_to_other_regions: Counter,
    queued: Gauge,
    waiting_batch: Gauge,
    dispatched_online: Gauge,
    targets: Gauge,
    targets_ejected: Gauge,
}

impl DispatcherMetrics {
    /// Registers all metrics at zero.
    pub fn new(registry: &mut Registry) -> DispatcherMetrics {
        let mut counter = |name, help| counter(registry, name, help);
        let retries_over_budget =
            counter("retries_over_budget", "Retries that the budget did not allow");
        let reports_distrusted =
            counter("reports_distrusted", "Load reports found to be frozen or wrong");
        let preemptions = counter("recalls", "Items recalled to make room for online requests");
        let bytes_to_other_regions =
            counter("bytes_to_other_regions", "Bytes of bodies sent to targets of other regions");
        // Buckets from 0.1 ms to 1.6 s.
        let preemption_s = Histogram::new(exponential_buckets(0.000_1, 2.0, 15));
        let help = "Time from the decision to take a slot back to its being free at this process";
        registry.register("recall_seconds", help, preemption_s.clone());
        let mut gauge = |name, help| gauge(registry, name, help);
        let queued = gauge("queued", "Online requests in queues");
        let waiting_batch = gauge("waiting_batch", "Items that wait for lent capacity");
        let dispatched_online = gauge("dispatched_online", "Online requests at targets");
        let targets = gauge("targets", "Targets that this process uses");
        let targets_ejected = gauge("targets_ejected", "Those of them that get no work");
        let retries = ReasonCounters::new(registry, "retries", "Requests tried again", &[]);
        let help = "Targets taken out of work";
        let ejections = ReasonCounters::new(registry, "ejections", help, &[]);
        DispatcherMetrics {
            retries,
            retries_over_budget,
            ejections,
            reports_distrusted,
            preemptions,
            preemption_s,
            bytes_to_other_regions,
            queued,
            waiting_batch,
            dispatched_online,
            targets,
            targets_ejected,
        }
    }

    /// Observes the time from the decision to preempt an item until its slot is free.
    pub fn observe_preemption(&self, elapsed_s: f64) {
        self.preemption_s.observe(elapsed_s);
    }

    /// Updates the metrics from the dispatcher's latest counts.
    pub fn update(&self, counters: &Counters, gauges: &Gauges) {
        for (reason, count) in RetryReason::ALL.into_iter().zip(counters.retries) {
            self.retries.raise_to(reason.label(), count);
        }
        for (reason, count) in Ejection::ALL.into_iter().zip(counters.ejections) {
            self.ejections.raise_to(reason.label(), count);
        }
        raise_to(&self.retries_over_budget, counters.retries_over_budget);
        raise_to(&self.reports_distrusted, counters.reports_distrusted);
        raise_to(&self.preemptions, counters.preemptions);
        raise_to(&self.bytes_to_other_regions, counters.bytes_to_other_regions);
        self.queued.set(gauges.queued as i64);
        self.waiting_batch.set(gauges.waiting_batch as i64);
        self.dispatched_online.set(gauges.online as i64);
        self.targets.set(gauges.targets as i64);
        self.targets_ejected.set(gauges.ejected as i64);
    }
}
