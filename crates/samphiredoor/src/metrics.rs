//! Counters, gauges and histograms.

use std::rc::Rc;

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};
use samphiredoor_core::{
    dispatch::{Class, Counters, Gauges},
    ledger::Unreadable,
    verdict::{MayHaveRunReason, Refusal, Verdict},
};
use samphiredoor_net::metrics::{self, ReasonCounters, counter, gauge};

use crate::{
    dispatch_metrics::DispatcherMetrics, keys_metrics::KeysMetrics,
    quarantine_metrics::QuarantineMetrics,
};

const JOB_EVENTS: [&str; 6] =
    ["taken", "dropped", "finished", "cancelled", "handed_over", "lease_over"];
const ITEM_ENDS: [&str; 5] =
    ["answered", "answered_with_an_error", "not_run", "may_have_run", "refused"];

/// Label of a class.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct ClassLabel {
    /// `online` or `batch`.
    pub class: &'static str,
}

/// Why something from a peer was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerRefusal {
    /// The token was wrong.
    WrongToken,
    /// A connection ended, or was ended, before its far side had entered.
    NoEntry,
    /// A message cannot be read.
    Unreadable,
    /// News of a kind that a newer version has added.
    UnknownNews,
    /// More links than are held at once.
    TooManyLinks,
    /// A peer is slow to answer, so that a message to it was dropped.
    SlowPeer,
    /// A process's lease object cannot be read.
    UnreadableLease,
    /// An entry of the host list cannot be read.
    UnreadableHost,
}

impl PeerRefusal {
    const ALL: [PeerRefusal; 8] = [
        PeerRefusal::WrongToken,
        PeerRefusal::NoEntry,
        PeerRefusal::Unreadable,
        PeerRefusal::UnknownNews,
        PeerRefusal::TooManyLinks,
        PeerRefusal::SlowPeer,
        PeerRefusal::UnreadableLease,
        PeerRefusal::UnreadableHost,
    ];

    fn label(self) -> &'static str {
        match self {
            PeerRefusal::WrongToken => "wrong_token",
            PeerRefusal::NoEntry => "no_entry",
            PeerRefusal::Unreadable => "unreadable",
            PeerRefusal::UnknownNews => "unknown_news",
            PeerRefusal::TooManyLinks => "too_many_links",
            PeerRefusal::SlowPeer => "slow_peer",
            PeerRefusal::UnreadableLease => "unreadable_lease",
            PeerRefusal::UnreadableHost => "unreadable_host",
        }
    }
}

/// Why a manifest's record was not put in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ManifestRefusal {
    /// Its revision is below the one in force.
    Older,
    /// Its revision is the one in force, and its content another.
    Forked,
    /// It cannot be read, or a newer version wrote it.
    Unusable,
}

impl ManifestRefusal {
    const ALL: [ManifestRefusal; 3] =
        [ManifestRefusal::Older, ManifestRefusal::Forked, ManifestRefusal::Unusable];

    fn label(self) -> &'static str {
        match self {
            ManifestRefusal::Older => "older",
            ManifestRefusal::Forked => "forked",
            ManifestRefusal::Unusable => "unusable",
        }
    }
}

/// All metrics of a process.
pub struct Metrics {
    registry: Registry,
    refusals: ReasonCounters,
    doubts: ReasonCounters,
    answered: Family<ClassLabel, Counter>,
    latency_s: Family<ClassLabel, Histogram>,
    running: Gauge,
    keys: KeysMetrics,
    quarantine: QuarantineMetrics,
    job_events: ReasonCounters,
    item_ends: ReasonCounters,
    unreadable: ReasonCounters,
    dispatcher: DispatcherMetrics,
    peer_refusals: ReasonCounters,
    manifest_refusals: ReasonCounters,
    peer_bytes_received: Counter,
    peer_bytes_sent: Counter,
    members: Gauge,
}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 17))
}

impl Metrics {
    /// Metrics with every reason at zero.
    pub fn new() -> Rc<Metrics> {
        let mut registry = Registry::with_prefix("samphiredoor");
        let answered = Family::<ClassLabel, Counter>::default();
        let latency_s = Family::new_with_constructor(latency_histogram as fn() -> Histogram);
        let mut counters = |name, help, reasons: &[&'static str]| {
            ReasonCounters::new(&mut registry, name, help, reasons)
        };
        let refusals = Refusal::ALL.map(Refusal::label);
        let refusals = counters("refusals", "Requests refused before they ran", &refusals);
        let doubts = MayHaveRunReason::ALL.map(MayHaveRunReason::label);
        let doubts = counters("doubts", "Requests that may have run", &doubts);
        let job_events = counters("job_events", "What became of jobs", &JOB_EVENTS);
        let item_ends = counters("item_ends", "Ends of runs of items", &ITEM_ENDS);
        let faults = Unreadable::ALL.map(Unreadable::label);
        let unreadable = counters("unreadable", "Stored objects refused", &faults);
        let reasons = PeerRefusal::ALL.map(PeerRefusal::label);
        let peer_refusals = counters("peer_refusals", "Refused of peers", &reasons);
        let reasons = ManifestRefusal::ALL.map(ManifestRefusal::label);
        let manifest_refusals = counters("manifest_refusals", "Manifests refused", &reasons);
        registry.register("answered", "Requests answered whole", answered.clone());
        registry.register("latency_seconds", "Time to the whole answer", latency_s.clone());
        let running = gauge(&mut registry, "running", "Online requests that are being answered");
        let dispatcher = DispatcherMetrics::new(&mut registry);
        let keys = KeysMetrics::new(&mut registry);
        let quarantine = QuarantineMetrics::new(&mut registry);
        let peer_bytes_received = counter(&mut registry, "peer_bytes_received", "From peers");
        let peer_bytes_sent = counter(&mut registry, "peer_bytes_sent", "To peers");
        let members = gauge(&mut registry, "members", "Doors not reported dead");
        Rc::new(Metrics {
            registry,
            refusals,
            doubts,
            answered,
            latency_s,
            running,
            keys,
            quarantine,
            job_events,
            item_ends,
            unreadable,
            dispatcher,
            peer_refusals,
            manifest_refusals,
            peer_bytes_received,
            peer_bytes_sent,
            members,
        })
    }

    /// Counts something that was refused of a peer.
    pub fn peer_refused(&self, reason: PeerRefusal) {
        self.peer_refusals.count(reason.label());
    }

    /// Counts a manifest's record that was not put in force.
    pub fn manifest_refused(&self, reason: ManifestRefusal) {
        self.manifest_refusals.count(reason.label());
    }

    /// Counters of the bytes received from peers and sent to them.
    pub fn peer_bytes(&self) -> (Counter, Counter) {
        (self.peer_bytes_received.clone(), self.peer_bytes_sent.clone())
    }

    /// Sets the number of members that are not reported dead.
    pub fn members(&self, members: usize) {
        self.members.set(members as i64);
    }

    /// Metrics of the idempotency keys.
    pub fn keys(&self) -> &KeysMetrics {
        &self.keys
    }

    /// Metrics of the quarantine.
    pub fn quarantine(&self) -> &QuarantineMetrics {
        &self.quarantine
    }

    /// Counts an online request as running until the guard is dropped.
    pub fn running(&self) -> Running {
        self.running.inc();
        Running(self.running.clone())
    }

    /// Counts how a request ended.
    pub fn ended(&self, class: Class, verdict: Verdict, elapsed_s: f64) {
        let class = ClassLabel { class: class_label(class) };
        match verdict {
            Verdict::Done => {
                self.answered.get_or_create(&class).inc();
                self.latency_s.get_or_create(&class).observe(elapsed_s);
            }
            Verdict::NotRun { reason, .. } => {
                self.refusals.count(reason.label());
            }
            Verdict::MayHaveRun { reason } => {
                self.doubts.count(reason.label());
            }
        }
    }

    /// Counts what became of a job.
    pub fn job_event(&self, event: &'static str) {
        self.job_events.count(event);
    }

    /// Counts the end of a run of an item.
    pub fn item_ended(&self, end: &'static str) {
        self.item_ends.count(end);
    }

    /// Counts a stored object that cannot be read.
    pub fn unreadable(&self, fault: Unreadable) {
        self.unreadable.count(fault.label());
    }

    /// Counts the time from the decision to take a slot back to its being free.
    pub fn recalled(&self, elapsed_s: f64) {
        self.dispatcher.recalled(elapsed_s);
    }

    /// Takes what the dispatcher counts.
    pub fn dispatcher(&self, counters: &Counters, gauges: &Gauges) {
        self.dispatcher.set(counters, gauges);
    }

    /// Text in the exposition format.
    pub fn text(&self) -> String {
        metrics::text(&self.registry)
    }
}

/// One online request that is being answered.
pub struct Running(Gauge);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.dec();
    }
}

fn class_label(class: Class) -> &'static str {
    match class {
        Class::Online => "online",
        Class::Batch => "batch",
    }
}
