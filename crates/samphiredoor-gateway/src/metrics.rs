//! Counters, gauges and histograms of a gateway.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

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
    Name,
    overload::admission::RejectReason,
    placement::{Counters, ServicePrediction},
    silence::SilenceEnd,
    store::Kind,
    verdict::Refusal,
};
use samphiredoor_net::{
    activity::Wait,
    metrics::{self, ReasonCounters, gauge},
    pool::Framing,
};

use crate::{
    buffers::Buffers,
    service_gauges::ServiceGauges,
    share_log::{LabelledShare, WorkspaceNames},
};

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct WatchLabel {
    kind: &'static str,
    end: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct KindLabel {
    kind: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct WorkspaceLabel {
    workspace: String,
}

/// Stage of an online request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Wait for a run within the rate limit of the workspace.
    Limit,
    /// Wait for a target, over all attempts.
    Queue,
    /// From the last send to the first event or the whole answer, over all attempts.
    FirstEvent,
    /// From the first event to the end of the stream.
    Rest,
}

impl Stage {
    fn label(self) -> &'static str {
        match self {
            Stage::Limit => "limit",
            Stage::Queue => "queue",
            Stage::FirstEvent => "first_event",
            Stage::Rest => "rest",
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct StageLabel {
    stage: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct StreamLabel {
    framing: &'static str,
    end: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct ResumptionLabel {
    by: &'static str,
    version: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct TargetLabel {
    target: String,
}

/// All metrics of a gateway.
pub struct Metrics {
    registry: Registry,
    refusals: ReasonCounters,
    rejections: ReasonCounters,
    caller_closes: ReasonCounters,
    retries: ReasonCounters,
    silences: ReasonCounters,
    ends: ReasonCounters,
    first_piece_s: Histogram,
    whole_s: Histogram,
    departures_s: Histogram,
    stage_s: Family<StageLabel, Histogram>,
    stream_ends: Family<StreamLabel, Counter>,
    stream_resumptions: Family<ResumptionLabel, Counter>,
    whole_answers_lost: ReasonCounters,
    stream_records_sent: Counter,
    item_ends: ReasonCounters,
    unanswered_attempts: ReasonCounters,
    job_events: ReasonCounters,
    presence_checks: ReasonCounters,
    invalid_entries: ReasonCounters,
    target_crashes: Counter,
    quarantined: Counter,
    trials: ReasonCounters,
    dispatched: Gauge,
    recalled: Gauge,
    waiting_online: Gauge,
    waiting_batch: Gauge,
    slowest_targets: Family<TargetLabel, Gauge>,
    invalid_speeds: ReasonCounters,
    targets: Gauge,
    peers: Gauge,
    routes_version: Gauge,
    watch_ends: Family<WatchLabel, Counter>,
    store_silent_ms: Family<KindLabel, Gauge>,
    workspace_running: Family<WorkspaceLabel, Gauge>,
    workspace_rejected: Family<WorkspaceLabel, Gauge>,
    workspace_share: Family<WorkspaceLabel, Gauge>,
    workspace_names: RefCell<WorkspaceNames>,
    service_gauges: ServiceGauges,
    /// When the store last answered a list or watch, for each watched kind.
    store_answered_at: RefCell<BTreeMap<&'static str, Instant>>,
    buffered_bytes: Gauge,
    buffered_item_bytes: Gauge,
    items_held: Gauge,
    buffered_highest_bytes: Gauge,
    read_ahead_pauses: Gauge,
    memory_aborts: Gauge,
    bodies_without_memory: Counter,
    buffers: RefCell<Option<Buffers>>,
}

impl Metrics {
    /// Registers all metrics; each refusal reason starts at zero, so that it is exported from the start.
    pub fn new() -> Rc<Metrics> {
        let mut registry = Registry::with_prefix("samphiredoor_gateway");
        let reasons = Refusal::ALL.map(Refusal::label);
        let help = "Requests refused before they ran";
        let refusals = ReasonCounters::new(&mut registry, "refusals", help, &reasons);
        let reasons = RejectReason::ALL.map(RejectReason::label);
        let help = "Requests rejected by overload control";
        let rejections = ReasonCounters::new(&mut registry, "overload_rejections", help, &reasons);
        let ends = SilenceEnd::ALL.map(SilenceEnd::label);
        let help = "Times that a target sent nothing for over a second, by how this ended";
        let silences = ReasonCounters::new(&mut registry, "silences", help, &ends);
        let caller_closes = ReasonCounters::new(
            &mut registry,
            "caller_connections_closed",
            "Connections of callers that were idle, or sent a request's head, for too long, or made room for others",
            &[Wait::Idle, Wait::Head, Wait::Crowded].map(Wait::label),
        );
        let mut family = |name, help| ReasonCounters::new(&mut registry, name, help, &[]);
        let retries = family("retries", "Requests sent again, by reason");
        let ends = family("ends", "Ends of requests that were sent");
        let help = "Answers of targets, other than event streams, that were not read whole";
        let whole_answers_lost = family("whole_answers_lost", help);
        let item_ends = family("item_ends", "Ends of runs of items");
        let unanswered_attempts = family(
            "unanswered_item_attempts",
            "Attempts of items that ended before their targets had answered",
        );
        let job_events = family("job_events", "What became of jobs");
        let help = "Queries which gateways are live, while few are heard, by result";
        let presence_checks = family("presence_checks", help);
        let invalid_entries = family("foreign_entries", "Stored objects that were ignored");
        let invalid_speeds = family("invalid_speeds", "Ignored speeds of targets, by source");
        let trials = family("trials", "Trials of what is quarantined, by what became of them");
        let (target_crashes, quarantined) = (Counter::default(), Counter::default());
        let help = "Requests that were lost together with their target";
        registry.register("target_crashes", help, target_crashes.clone());
        let help = "Requests that were quarantined, as they crash targets";
        registry.register("quarantined", help, quarantined.clone());
        let (first_piece_s, whole_s) = (latency(), latency());
        registry.register("first_piece_seconds", "Time to the first piece", first_piece_s.clone());
        registry.register("whole_seconds", "Time to the whole answer", whole_s.clone());
        let departures_s = latency();
        let help = "Longest time since targets left when they were taken out of use";
        registry.register("departure_seconds", help, departures_s.clone());
        let stage_s = Family::new_with_constructor(latency as fn() -> Histogram);
        let help = "Time of online requests in each stage";
        registry.register("stage_seconds", help, Family::clone(&stage_s));
        let stream_ends = Family::default();
        let help = "Ends of event streams of targets, by how the end of the body is marked";
        registry.register("stream_ends", help, Family::clone(&stream_ends));
        let stream_resumptions = Family::default();
        let help = "Streams that went on after an interruption, by the software version of the target compared to the first";
        registry.register("stream_resumptions", help, Family::clone(&stream_resumptions));
        let stream_records_sent = Counter::default();
        let help = "Records of the software versions of streams that were sent to other gateways";
        registry.register("stream_records_sent", help, stream_records_sent.clone());
        let (watch_ends, store_silent_ms) = (Family::default(), Family::default());
        let help = "Ends of watches in the store, by kind of object";
        registry.register("watch_ends", help, Family::clone(&watch_ends));
        let help = "Time since the store last answered a list or watch, by kind of object";
        registry.register("store_silent_ms", help, Family::clone(&store_silent_ms));
        let bodies_without_memory = Counter::default();
        let help = "Requests refused for lack of memory for their bodies";
        registry.register("bodies_without_memory", help, bodies_without_memory.clone());
        let slowest_targets = Family::default();
        let help = "Duration of work at the slowest targets, in percent of the usual one";
        registry.register("slowest_targets_percent", help, Family::clone(&slowest_targets));
        let mut by_workspace = |name, help| {
            let gauges = Family::<WorkspaceLabel, Gauge>::default();
            registry.register(name, help, Family::clone(&gauges));
            gauges
        };
        let help = "Online requests at targets in the cell, of the workspaces with the highest use";
        let workspace_running = by_workspace("workspace_running", help);
        let help = "Online requests rejected in the cell in the last second, by workspace";
        let workspace_rejected = by_workspace("workspace_rejected", help);
        let help =
            "Online requests that a workspace may have at targets while capacity is insufficient";
        let workspace_share = by_workspace("workspace_share", help);
        let service_gauges = ServiceGauges::new(&mut registry);
        Rc::new(Metrics {
            refusals,
            rejections,
            caller_closes,
            retries,
            silences,
            ends,
            first_piece_s,
            whole_s,
            departures_s,
            stage_s,
            stream_ends,
            stream_resumptions,
            whole_answers_lost,
            stream_records_sent,
            item_ends,
            unanswered_attempts,
            job_events,
            presence_checks,
            invalid_entries,
            target_crashes,
            quarantined,
            trials,
            slowest_targets,
            invalid_speeds,
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
            watch_ends,
            store_silent_ms,
            workspace_running,
            workspace_rejected,
            workspace_share,
            workspace_names: RefCell::default(),
            service_gauges,
            store_answered_at: RefCell::default(),
            buffered_bytes: gauge(&mut registry, "buffered_bytes", "Bytes in the buffer budget"),
            buffered_item_bytes: gauge(
                &mut registry,
                "buffered_item_bytes",
                "Bytes in the buffer budget that are outputs of items that are not stored yet",
            ),
            items_held: gauge(
                &mut registry,
                "items_held",
                "Items in the queue that wait for memory in the buffer budget",
            ),
            buffered_highest_bytes: gauge(
                &mut registry,
                "buffered_highest_bytes",
                "Most bytes in the buffer budget at once",
            ),
            read_ahead_pauses: gauge(
                &mut registry,
                "read_ahead_pauses",
                "Times that a stream stopped reading ahead of its caller",
            ),
            memory_aborts: gauge(&mut registry, "memory_aborts", "Streams aborted for memory"),
            bodies_without_memory,
            buffers: RefCell::default(),
            registry,
        })
    }

    /// Counts a refused request.
    pub fn refused(&self, reason: Refusal) {
        self.refusals.count(reason.label());
    }

    /// Counts a request that overload control rejected.
    pub fn rejected(&self, reason: RejectReason) {
        self.rejections.count(reason.label());
    }

    /// Counts a request that is sent again.
    pub fn retried(&self, reason: &'static str) {
        self.retries.count(reason);
    }

    /// Counts the end of a target's silence.
    pub fn silence_ended(&self, end: SilenceEnd) {
        self.silences.count(end.label());
    }

    /// Counts the end of a request that was sent.
    pub fn ended(&self, end: &'static str) {
        self.ends.count(end);
    }

    /// Records the time from a request to the first event of its answer.
    pub fn first_piece(&self, elapsed: Duration) {
        self.first_piece_s.observe(elapsed.as_secs_f64());
    }

    /// Records the time from a request to the end of its answer.
    pub fn answer_completed(&self, elapsed: Duration) {
        self.whole_s.observe(elapsed.as_secs_f64());
    }

    /// Records for how long targets may have left when they are taken out of use.
    pub fn departures(&self, at_most: Duration) {
        self.departures_s.observe(at_most.as_secs_f64());
    }

    /// Records the time that an online request has spent in a stage.
    pub fn stage(&self, stage: Stage, elapsed: Duration) {
        let label = StageLabel { stage: stage.label() };
        self.stage_s.get_or_create(&label).observe(elapsed.as_secs_f64());
    }

    /// Counts the end of an event stream that a target sent.
    pub fn stream_ended(&self, framing: Framing, end: &'static str) {
        self.stream_ends.get_or_create(&StreamLabel { framing: framing.label(), end }).inc();
    }

    /// Counts an answer that is no event stream and was not read whole.
    pub fn whole_answer_lost(&self, reason: &'static str) {
        self.whole_answers_lost.count(reason);
    }

    /// Counts a stream that goes on after an interruption.
    pub fn stream_resumed(&self, by: &'static str, version: &'static str) {
        self.stream_resumptions.get_or_create(&ResumptionLabel { by, version }).inc();
    }

    /// Counts records of software versions that were sent to this many gateways.
    pub fn stream_records_sent(&self, gateways: usize) {
        self.stream_records_sent.inc_by(gateways as u64);
    }

    /// Counts the end of a run of an item.
    pub fn item_ended(&self, end: &'static str) {
        self.item_ends.count(end);
    }

    /// Counts an attempt of an item that ended before its target had answered: the item may have failed there.
    pub fn item_unanswered(&self, reason: &'static str) {
        self.unanswered_attempts.count(reason);
    }

    /// Counts an event in the life of a job, such as `accepted` or `handed_over`.
    pub fn job_event(&self, event: &'static str) {
        self.job_events.count(event);
    }

    /// Counts a query which gateways are live, by its result.
    pub fn presence_check(&self, result: &'static str) {
        self.presence_checks.count(result);
    }

    /// Counts a stored object or a datagram that is invalid and was ignored.
    pub fn invalid_entry(&self, kind: &'static str) {
        self.invalid_entries.count(kind);
    }

    /// Counts a request that was lost together with its target.
    pub fn target_crashed(&self) {
        self.target_crashes.inc();
    }

    /// Counts what became of the wish to send a request as a trial.
    pub fn trial(&self, outcome: &'static str) {
        self.trials.count(outcome);
    }

    /// Counts a request that is quarantined.
    pub fn quarantined(&self) {
        self.quarantined.inc();
    }

    /// Updates the counters and queue lengths of the placement.
    pub fn placement(&self, counters: Counters, waiting_online: usize, waiting_batch: usize) {
        self.dispatched.set(counters.dispatched as i64);
        self.recalled.set(counters.preempted as i64);
        self.waiting_online.set(waiting_online as i64);
        self.waiting_batch.set(waiting_batch as i64);
    }

    /// Replaces the exported speeds with those of the slowest targets.
    pub fn slowest_targets(&self, targets: &[(Name, u32)]) {
        self.slowest_targets.clear();
        for (target, percent) in targets {
            let label = TargetLabel { target: target.to_string() };
            self.slowest_targets.get_or_create(&label).set(i64::from(*percent));
        }
    }

    /// Sets the number of speeds from a source that were invalid and ignored.
    pub fn invalid_speeds(&self, source: &'static str, total: u64) {
        self.invalid_speeds.raise_to(source, total);
    }

    /// Replaces the predictions of all services.
    pub fn predictions(&self, predictions: &[ServicePrediction]) {
        self.service_gauges.replace(predictions);
    }

    /// Names of workspaces for gauges and log lines.
    pub fn workspace_names(&self) -> &RefCell<WorkspaceNames> {
        &self.workspace_names
    }

    /// Replaces the gauges of all workspaces.
    pub fn workspace_shares(&self, shares: Vec<LabelledShare>) {
        self.workspace_running.clear();
        self.workspace_rejected.clear();
        self.workspace_share.clear();
        for LabelledShare { workspace, running, rejected, share } in shares {
            let label = WorkspaceLabel { workspace };
            self.workspace_running.get_or_create(&label).set(running.round() as i64);
            self.workspace_rejected.get_or_create(&label).set(rejected.round() as i64);
            if let Some(share) = share {
                self.workspace_share.get_or_create(&label).set(share.round() as i64);
            }
        }
    }

    /// Sets the number of waiting items that may not start for lack of memory.
    pub fn items_held(&self, items: usize) {
        self.items_held.set(items as i64);
    }

    /// Sets the number of known targets.
    pub fn targets(&self, targets: usize) {
        self.targets.set(targets as i64);
    }

    /// Sets the number of live peers.
    pub fn peers(&self, peers: usize) {
        self.peers.set(peers as i64);
    }

    /// Sets the version of the active routes.
    pub fn routes_version(&self, version: u64) {
        self.routes_version.set(version as i64);
    }

    /// Counts the end of a watch.
    pub fn watch_ended(&self, kind: Kind, end: &'static str) {
        self.watch_ends.get_or_create(&WatchLabel { kind: kind.path(), end }).inc();
    }

    /// Records that the store has answered a list or watch.
    pub fn store_answered(&self, kind: Kind) {
        self.store_answered_at.borrow_mut().insert(kind.path(), Instant::now());
    }

    /// Counters of callers' connections that a limit on a wait has closed.
    pub fn caller_closes(&self) -> ReasonCounters {
        self.caller_closes.clone()
    }

    /// Exports the use of a budget.
    pub fn set_buffers(&self, buffers: Buffers) {
        *self.buffers.borrow_mut() = Some(buffers);
    }

    /// Counts a request that was refused for lack of memory for its body.
    pub fn body_without_memory(&self) {
        self.bodies_without_memory.inc();
    }

    fn update_buffers(&self) {
        let Some(usage) = self.buffers.borrow().as_ref().map(Buffers::usage) else { return };
        self.buffered_bytes.set(usage.held_bytes as i64);
        self.buffered_item_bytes.set(usage.item_output_bytes as i64);
        self.buffered_highest_bytes.set(usage.highest_bytes as i64);
        self.read_ahead_pauses.set(usage.pauses as i64);
        self.memory_aborts.set(usage.aborted as i64);
    }

    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        self.update_buffers();
        for (kind, answered_at) in &*self.store_answered_at.borrow() {
            let silent_ms = answered_at.elapsed().as_millis() as i64;
            self.store_silent_ms.get_or_create(&KindLabel { kind }).set(silent_ms);
        }
        metrics::text(&self.registry)
    }
}

/// Histogram for times from 2 ms to 8 s.
fn latency() -> Histogram {
    Histogram::new(exponential_buckets(0.002, 2.0, 13))
}
