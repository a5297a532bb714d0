//! Prometheus metrics of this process, and their label values.

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

/// Reason why a link, or something that a peer sent or stored, was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerRefusal {
    /// The peer presented a wrong token.
    WrongToken,
    /// A connection ended, or was closed, before the peer had authenticated.
    Unauthenticated,
    /// A message cannot be read.
    Unreadable,
    /// A hint of a kind that only a newer version defines.
    UnknownHint,
    /// A link above the limit of accepted links.
    TooManyLinks,
    /// A message to a peer was dropped because earlier calls to the peer are still running.
    SlowPeer,
    /// A process's lease object cannot be read.
    UnreadableLease,
    /// An entry of the host list cannot be read.
    UnreadableHost,
}

impl PeerRefusal {
    const ALL: [PeerRefusal; 8] = [
        PeerRefusal::WrongToken,
        PeerRefusal::Unauthenticated,
        PeerRefusal::Unreadable,
        PeerRefusal::UnknownHint,
        PeerRefusal::TooManyLinks,
        PeerRefusal::SlowPeer,
        PeerRefusal::UnreadableLease,
        PeerRefusal::UnreadableHost,
    ];

    fn label(self) -> &'static str {
        match self {
            PeerRefusal::WrongToken => "wrong_token",
            PeerRefusal::Unauthenticated => "no_entry",
            PeerRefusal::Unreadable => "unreadable",
            PeerRefusal::UnknownHint => "unknown_news",
            PeerRefusal::TooManyLinks => "too_many_links",
            PeerRefusal::SlowPeer => "slow_peer",
            PeerRefusal::UnreadableLease => "unreadable_lease",
            PeerRefusal::UnreadableHost => "unreadable_host",
        }
    }
}

/// Reason why a manifest record was not made active.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ManifestRefusal {
    /// Its revision is below the active one.
    Older,
    /// Its revision is the active one, but it was written by another change.
    Forked,
    /// It cannot be read, is invalid, or has a newer format.
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
    may_have_run: ReasonCounters,
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
    /// Registers all metrics, with every reason at zero.
    pub fn new() -> Rc<Metrics> {
        let mut registry = Registry::with_prefix("samphiredoor");
        let answered = Family::<ClassLabel, Counter>::default();
        let latency_s = Family::new_with_constructor(latency_histogram as fn() -> Histogram);
        let mut counters = |name, help, reasons: &[&'static str]| {
            ReasonCounters::new(&mut registry, name, help, reasons)
        };
        let refusals = Refusal::ALL.map(Refusal::label);
        let refusals = counters("refusals", "Requests refused before they ran", &refusals);
        let reasons = MayHaveRunReason::ALL.map(MayHaveRunReason::label);
        let may_have_run = counters("doubts", "Requests that may have run", &reasons);
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
            may_have_run,
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

    /// Counts a refused link, or something refused that a peer sent or stored.
    pub fn count_peer_refusal(&self, reason: PeerRefusal) {
        self.peer_refusals.count(reason.label());
    }

    /// Counts a manifest record that was not made active.
    pub fn count_manifest_refusal(&self, reason: ManifestRefusal) {
        self.manifest_refusals.count(reason.label());
    }

    /// Counters of the bytes received from peers and sent to them.
    pub fn peer_bytes(&self) -> (Counter, Counter) {
        (self.peer_bytes_received.clone(), self.peer_bytes_sent.clone())
    }

    /// Sets the number of members that are not reported dead.
    pub fn set_members(&self, members: usize) {
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
    pub fn track_running(&self) -> RunningGuard {
        self.running.inc();
        RunningGuard(self.running.clone())
    }

    /// Counts the outcome of a request; the latency of answered ones goes into the histogram.
    pub fn count_outcome(&self, class: Class, verdict: Verdict, elapsed_s: f64) {
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
                self.may_have_run.count(reason.label());
            }
        }
    }

    /// Counts an event of a job, one of `JOB_EVENTS`.
    pub fn count_job_event(&self, event: &'static str) {
        self.job_events.count(event);
    }

    /// Counts the end of a run of an item, one of `ITEM_ENDS`.
    pub fn count_item_end(&self, end: &'static str) {
        self.item_ends.count(end);
    }

    /// Counts a stored object that cannot be read.
    pub fn count_unreadable(&self, fault: Unreadable) {
        self.unreadable.count(fault.label());
    }

    /// Observes the time from the decision to preempt an item until its slot is free.
    pub fn observe_preemption(&self, elapsed_s: f64) {
        self.dispatcher.observe_preemption(elapsed_s);
    }

    /// Updates the dispatcher's metrics from its latest counts.
    pub fn update_dispatcher(&self, counters: &Counters, gauges: &Gauges) {
        self.dispatcher.update(counters, gauges);
    }

    /// Returns all metrics in the text exposition format.
    pub fn text(&self) -> String {
        metrics::text(&self.registry)
    }
}

/// Guard that counts one online request as running until it is dropped.
pub struct RunningGuard(Gauge);

impl Drop for RunningGuard {
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
