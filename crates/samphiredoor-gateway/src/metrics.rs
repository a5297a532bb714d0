//! Counters, gauges and histograms of a gateway.

use std::{rc::Rc, time::Duration};

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};
use samphiredoor_core::{placement::Counters, verdict::Refusal};

/// Label of a reason or an outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct ReasonLabel {
    /// As in logs.
    pub reason: &'static str,
}

/// All metrics of a gateway.
pub struct Metrics {
    registry: Registry,
    refusals: Family<ReasonLabel, Counter>,
    retries: Family<ReasonLabel, Counter>,
    ends: Family<ReasonLabel, Counter>,
    first_piece_s: Histogram,
    whole_s: Histogram,
    item_ends: Family<ReasonLabel, Counter>,
    job_events: Family<ReasonLabel, Counter>,
    foreign: Family<ReasonLabel, Counter>,
    dispatched: Gauge,
    recalled: Gauge,
    waiting_online: Gauge,
    waiting_batch: Gauge,
    targets: Gauge,
    peers: Gauge,
    routes_version: Gauge,
}

impl Metrics {
    /// Metrics with every refusal reason at zero.
    pub fn new() -> Rc<Metrics> {
        let mut registry = Registry::with_prefix("samphiredoor_gateway");
        let refusals = family(&mut registry, "refusals", "Requests refused before they ran");
        for reason in Refusal::ALL {
            let _ = Family::get_or_create(&refusals, &ReasonLabel { reason: reason.label() });
        }
        let latency = || Histogram::new(exponential_buckets(0.002, 2.0, 13));
        let (first_piece_s, whole_s) = (latency(), latency());
        registry.register("first_piece_seconds", "Time to the first piece", first_piece_s.clone());
        registry.register("whole_seconds", "Time to the whole answer", whole_s.clone());
        Rc::new(Metrics {
            refusals,
            retries: family(&mut registry, "retries", "Requests sent again, by reason"),
            ends: family(&mut registry, "ends", "Ends of requests that were sent"),
            first_piece_s,
            whole_s,
            item_ends: family(&mut registry, "item_ends", "Ends of runs of items"),
            job_events: family(&mut registry, "job_events", "What became of jobs"),
            foreign: family(&mut registry, "foreign_entries", "Stored objects that were ignored"),
            dispatched: gauge(&mut registry, "dispatched", "Requests sent to targets"),
            recalled: gauge(&mut registry, "recalled", "Items recalled for online requests"),
            waiting_online: gauge(&mut registry, "waiting_online", "Online requests in the queue"),
            waiting_batch: gauge(&mut registry, "waiting_batch", "Items in the queue"),
            targets: gauge(&mut registry, "targets", "Targets that discovery knows"),
            peers: gauge(&mut registry, "peers", "Other gateways that are heard"),
            routes_version: gauge(
                &mut registry,
                "routes_version",
                "Version of the routes in force",
            ),
            registry,
        })
    }

    /// Counts a refusal.
    pub fn refused(&self, reason: Refusal) {
        self.refusals.get_or_create(&ReasonLabel { reason: reason.label() }).inc();
    }

    /// Counts a request that is sent again.
    pub fn retried(&self, reason: &'static str) {
        self.retries.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts the end of a request that was sent.
    pub fn ended(&self, end: &'static str) {
        self.ends.get_or_create(&ReasonLabel { reason: end }).inc();
    }

    /// Takes the time to the first piece of an answer.
    pub fn first_piece(&self, elapsed: Duration) {
        self.first_piece_s.observe(elapsed.as_secs_f64());
    }

    /// Takes the time to a whole answer.
    pub fn whole(&self, elapsed: Duration) {
        self.whole_s.observe(elapsed.as_secs_f64());
    }

    /// Counts the end of a run of an item.
    pub fn item_ended(&self, end: &'static str) {
        self.item_ends.get_or_create(&ReasonLabel { reason: end }).inc();
    }

    /// Counts what became of a job.
    pub fn job(&self, event: &'static str) {
        self.job_events.get_or_create(&ReasonLabel { reason: event }).inc();
    }

    /// Counts a stored object that names nothing to use.
    pub fn foreign(&self, kind: &'static str) {
        self.foreign.get_or_create(&ReasonLabel { reason: kind }).inc();
    }

    /// Takes what the placement counts.
    pub fn placement(&self, counters: Counters, waiting_online: usize, waiting_batch: usize) {
        self.dispatched.set(counters.dispatched as i64);
        self.recalled.set(counters.recalled as i64);
        self.waiting_online.set(waiting_online as i64);
        self.waiting_batch.set(waiting_batch as i64);
    }

    /// Sets the number of known targets.
    pub fn targets(&self, targets: usize) {
        self.targets.set(targets as i64);
    }

    /// Sets the number of other gateways that are heard.
    pub fn peers(&self, peers: usize) {
        self.peers.set(peers as i64);
    }

    /// Sets the version of the routes in force.
    pub fn routes_version(&self, version: u64) {
        self.routes_version.set(version as i64);
    }

    /// Text in the exposition format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

fn family(registry: &mut Registry, name: &str, help: &str) -> Family<ReasonLabel, Counter> {
    let family = Family::default();
    registry.register(name, help, Family::clone(&family));
    family
}

fn gauge(registry: &mut Registry, name: &str, help: &str) -> Gauge {
    let gauge = Gauge::default();
    registry.register(name, help, gauge.clone());
    gauge
}
