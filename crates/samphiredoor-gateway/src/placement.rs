//! The task that owns the placement of requests at targets, and the handles by which the rest of the process uses it.

use std::{
    cell::Cell,
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use samphiredoor_core::{
    Name,
    dispatch::RequestId,
    overload::{
        OverloadNews,
        admission::Rejection,
        batch_admission::{JobDemand, JobVerdict},
    },
    placement::{
        Action, AttemptEnd, GatewayState, Input, Placement, ReportedLoad, RequestSpec,
        SilenceReport, SilentAttempt, TargetEntry,
    },
    silence::{Listing, OtherTarget},
    software_versions::StreamOrigin,
    verdict::Refusal,
};
use samphiredoor_net::{clock::Clock, pool::within};

use crate::{
    buffers::Buffers,
    metrics::Metrics,
    share_log::{ShareLog, labelled, log_losses},
    target_state::TargetStateReporter,
};

/// Shortest time between two reports of the own load to peers, so that requests that arrive together share one report.
/// A slot that peers see as free for this long after it was taken is rarely chosen twice.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two ticks while online requests or a load report wait; neither is delayed by more than this.
const BUSY_TICK: Duration = Duration::from_millis(20);
/// Time between two ticks of an idle process, and between two heartbeats. Peers treat a gateway as dead that has sent
/// nothing for three times as long.
const IDLE_TICK: Duration = Duration::from_millis(500);

/// A decision of the placement about a request.
#[derive(Debug, Clone)]
pub enum Decision {
    /// Send the request to this target.
    Dispatch {
        /// Name of the target.
        target: Name,
        /// Address at which it listens.
        address: SocketAddr,
        /// Origin of a stream that begins with this attempt.
        origin: StreamOrigin,
        /// Whether the request goes on with its stream; `false` if it begins one, or begins it anew.
        goes_on: bool,
    },
    /// The request gets no target.
    Refused {
        /// Reason, as sent to the caller.
        reason: Refusal,
        /// Time after which a retry may succeed, in milliseconds.
        retry_after_ms: u64,
        /// What the decision was based on, if overload control made it.
        rejection: Option<Rejection>,
    },
    /// Preempted: abort the running attempt, as online requests need its slot.
    Preempted,
}

enum Message {
    Request(RequestSpec, flume::Sender<Decision>),
    Input(Input),
    Job(JobDemand, flume::Sender<JobVerdict>),
    Silent(SilentAttempt, flume::Sender<Decision>, flume::Sender<SilenceReport>),
}

/// Handle to the placement task.
#[derive(Clone)]
pub struct PlacementHandle {
    messages: flume::Sender<Message>,
    next_request: Rc<Cell<u64>>,
    has_overload: bool,
}

/// Load of this gateway, as reported to its peers.
#[derive(Debug, Clone, Default)]
pub struct OwnLoad {
    /// Requests at targets, and waiting items.
    pub state: GatewayState,
    /// Whether online requests of this gateway wait for slots that peers hold.
    pub urgent: bool,
    /// What overload control shares.
    pub news: OverloadNews,
}

/// Configuration and initial state of the placement task.
pub struct PlacementTask {
    /// Clock of the process.
    pub clock: Clock,
    /// Algorithm and its state.
    pub placement: Placement,
    /// Metrics of the process.
    pub metrics: Rc<Metrics>,
    /// Budget that holds new items back while it is used up; `None` without one.
    pub buffers: Option<Buffers>,
    /// Channel for load reports to peers.
    pub load_reports: flume::Sender<OwnLoad>,
}

impl PlacementHandle {
    /// Spawns the task on the runtime of the calling thread.
    pub fn start(task: PlacementTask) -> PlacementHandle {
        let (messages, inbox) = flume::unbounded();
        let has_overload = task.placement.has_overload();
        let running = Running {
            target_state: TargetStateReporter::new(Rc::clone(&task.metrics)),
            task,
            reply_channels: HashMap::new(),
            reported_at: Instant::now(),
            is_reported: false,
            share_log: ShareLog::new(),
        };
        compio::runtime::spawn(running.run(inbox)).detach();
        PlacementHandle { messages, next_request: Rc::new(Cell::new(1)), has_overload }
    }

    /// Returns an unused request id.
    pub fn next_request(&self) -> RequestId {
        let id = self.next_request.get();
        self.next_request.set(id + 1);
        RequestId(id)
    }

    /// Requests a target. Decisions arrive through the ticket.
    pub fn request(&self, spec: RequestSpec) -> Ticket {
        let (sender, decisions) = flume::unbounded();
        let ticket = Ticket {
            request: spec.request,
            decisions,
            messages: self.messages.clone(),
            stage: Stage::Waiting,
            has_overload: self.has_overload,
        };
        self.send(Message::Request(spec, sender));
        ticket
    }

    /// Decides whether a batch job is accepted.
    pub async fn admit_job(&self, job: JobDemand) -> JobVerdict {
        let (reply, verdict) = flume::bounded(1);
        self.send(Message::Job(job, reply));
        verdict.recv_async().await.unwrap_or(JobVerdict::AdmitUnknown)
    }

    /// Reports that the target of a request is silent; returns what is known of it, and the slot that is held elsewhere.
    pub async fn silent(&self, attempt: SilentAttempt) -> (SilenceReport, Option<HeldSlot>) {
        let (sender, decisions) = flume::unbounded();
        let mut ticket = Ticket {
            request: attempt.next.request,
            decisions,
            messages: self.messages.clone(),
            stage: Stage::Waiting,
            has_overload: self.has_overload,
        };
        let (reply, report) = flume::bounded(1);
        self.send(Message::Silent(attempt, sender, reply));
        // The task runs until the process ends.
        let unknown = SilenceReport { listing: Listing::Listed, other: OtherTarget::None };
        let report = report.recv_async().await.unwrap_or(unknown);
        match ticket.decisions.try_recv() {
            Ok(decision) => {
                ticket.stage = Stage::AtTarget;
                (report, Some(HeldSlot { ticket, decision }))
            }
            Err(_) => {
                ticket.stage = Stage::Ended;
                (report, None)
            }
        }
    }

    /// Reports that the silent target of a request has sent data.
    pub fn silence_ended(&self, request: RequestId) {
        self.send(Message::Input(Input::SilenceEnded { request }));
    }

    /// Replaces the list of all known targets.
    pub fn set_targets(&self, targets: Vec<TargetEntry>) {
        self.send(Message::Input(Input::Targets(targets)));
    }

    /// Sets the targets that the own cell shares, by their hashed names.
    pub fn set_cell_targets(&self, targets: HashSet<u64>) {
        self.send(Message::Input(Input::CellTargets(targets)));
    }

    /// Updates the load that a target reported in an answer.
    pub fn report_load(&self, target: &Name, load: ReportedLoad) {
        self.send(Message::Input(Input::LoadReport { target: Name::clone(target), load }));
    }

    /// Updates the load of a peer, or the total load of another cell.
    pub fn set_peer_load(&self, peer: Name, state: GatewayState) {
        self.send(Message::Input(Input::Peer { peer, state }));
    }

    /// Updates what the overload control of a peer or of another cell shares.
    pub fn set_peer_news(&self, peer: Name, news: OverloadNews) {
        if self.has_overload && !news.is_empty() {
            self.send(Message::Input(Input::PeerNews { peer, news }));
        }
    }

    // The task runs until the process ends, so the channel is never closed.
    fn send(&self, message: Message) {
        let _ = self.messages.send(message);
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Waiting,
    AtTarget,
    Ended,
}

/// A request that waits for a slot at a target or holds one. Dropping it frees the slot and records the attempt as cut,
/// or removes the request from the queue. A slot that was given meanwhile, in a decision that was not read, is freed too.
pub struct Ticket {
    request: RequestId,
    decisions: flume::Receiver<Decision>,
    messages: flume::Sender<Message>,
    stage: Stage,
    has_overload: bool,
}

impl Ticket {
    /// Waits for the next decision: first for a target or a refusal, then for a preemption.
    pub async fn next_decision(&mut self) -> Decision {
        let Ok(decision) = self.decisions.recv_async().await else {
            self.stage = Stage::Ended;
            return Decision::Refused {
                reason: Refusal::Stopping,
                retry_after_ms: 0,
                rejection: None,
            };
        };
        match decision {
            Decision::Dispatch { .. } => self.stage = Stage::AtTarget,
            Decision::Refused { .. } => self.stage = Stage::Ended,
            Decision::Preempted => {}
        }
        decision
    }

    /// Records that the first event of the attempt has arrived, which only overload control needs.
    pub fn report_first_event(&self) {
        if self.has_overload && self.stage == Stage::AtTarget {
            let input = Input::FirstEvent { request: self.request };
            let _ = self.messages.send(Message::Input(input));
        }
    }

    /// Id of the request for the placement.
    pub fn request(&self) -> RequestId {
        self.request
    }

    /// Frees the slot and records how the attempt ended. Only the first call after a dispatch counts.
    pub fn report_end(&mut self, end: AttemptEnd) {
        if std::mem::replace(&mut self.stage, Stage::Ended) == Stage::AtTarget {
            let _ = self.messages.send(Message::Input(Input::Ended { request: self.request, end }));
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        match self.stage {
            Stage::AtTarget => self.report_end(AttemptEnd::Cut),
            Stage::Waiting => {
                let input = Input::Cancelled { request: self.request };
                let _ = self.messages.send(Message::Input(input));
            }
            Stage::Ended => {}
        }
    }
}

/// A slot that is held at another target while the attempt at a silent one goes on.
pub struct HeldSlot {
    /// Holds the slot.
    pub ticket: Ticket,
    /// The target.
    pub decision: Decision,
}

/// The placement task and the state of its channels.
struct Running {
    task: PlacementTask,
    target_state: TargetStateReporter,
    /// Where to send decisions, for each request that is queued or at a target.
    reply_channels: HashMap<RequestId, flume::Sender<Decision>>,
    reported_at: Instant,
    /// Whether the last event was followed by a check for changes to report; `MIN_REPORT_INTERVAL` may delay that check.
    is_reported: bool,
    share_log: ShareLog,
}

impl Running {
    async fn run(mut self, inbox: flume::Receiver<Message>) {
        let mut actions = Vec::new();
        loop {
            let tick = if self.is_busy() { BUSY_TICK } else { IDLE_TICK };
            let input = match within(tick, inbox.recv_async()).await {
                Some(Ok(Message::Request(spec, reply))) => {
                    self.reply_channels.insert(spec.request, reply);
                    Input::Request(spec)
                }
                Some(Ok(Message::Input(input))) => input,
                Some(Ok(Message::Job(job, reply))) => {
                    let now_ms = self.task.clock.now().mono_ms;
                    // Fails if the caller has left.
                    let _ = reply.send(self.task.placement.admit_job(now_ms, &job));
                    continue;
                }
                Some(Ok(Message::Silent(attempt, decisions, reply))) => {
                    let report = self.handle_silence(&attempt, decisions, &mut actions);
                    // Fails if the target has sent data meanwhile.
                    let _ = reply.send(report);
                    continue;
                }
                Some(Err(_)) => return,
                None => Input::Tick,
            };
            self.remove_ended(&input);
            self.hold_new_items();
            let now_ms = self.task.clock.now().mono_ms;
            self.task.placement.handle(now_ms, input, &mut actions);
            let rejections = self.task.placement.take_rejections();
            for action in actions.drain(..) {
                self.send_decision(action, &rejections);
            }
            self.report_load();
            self.report_shares(now_ms);
        }
    }

    fn handle_silence(
        &mut self,
        attempt: &SilentAttempt,
        decisions: flume::Sender<Decision>,
        actions: &mut Vec<Action>,
    ) -> SilenceReport {
        let now_ms = self.task.clock.now().mono_ms;
        let report = self.task.placement.handle_silence(now_ms, attempt, actions);
        if !actions.is_empty() {
            self.reply_channels.insert(attempt.next.request, decisions);
        }
        for action in actions.drain(..) {
            self.send_decision(action, &[]);
        }
        self.report_load();
        report
    }

    /// Updates what operators see of the shares of workspaces and of the capacity of services, once a second where overload
    /// control is on.
    fn report_shares(&mut self, now_ms: u64) {
        if !self.task.placement.has_overload() || !self.share_log.is_due() {
            return;
        }
        let report = self.task.placement.share_report(now_ms);
        let names = self.task.metrics.workspace_names().borrow();
        self.task.metrics.workspace_shares(labelled(&report, &names));
        self.task.metrics.predictions(&self.task.placement.predictions(now_ms));
        log_losses(&report, &names);
    }

    fn is_busy(&self) -> bool {
        let (online, _) = self.task.placement.waiting();
        online > 0 || !self.is_reported || self.task.placement.held_items() > 0
    }

    /// Lets new items wait while buffered data leaves no memory for their outputs.
    fn hold_new_items(&mut self) {
        if let Some(buffers) = &self.task.buffers {
            self.task.placement.hold_new_items(!buffers.may_start_items());
        }
    }

    fn remove_ended(&mut self, input: &Input) {
        if let Input::Cancelled { request } | Input::Ended { request, .. } = input {
            self.reply_channels.remove(request);
        }
    }

    fn send_decision(&mut self, action: Action, rejections: &[(RequestId, Rejection)]) {
        let (request, decision) = match action {
            Action::Dispatch { request, target, address, origin, goes_on } => {
                (request, Decision::Dispatch { target, address, origin, goes_on })
            }
            Action::Preempt { request } => (request, Decision::Preempted),
            Action::Refuse { request, reason, retry_after_ms } => {
                let rejection = rejections.iter().find(|(it, _)| *it == request);
                let rejection = rejection.map(|(_, it)| *it);
                (request, Decision::Refused { reason, retry_after_ms, rejection })
            }
        };
        let is_last = matches!(decision, Decision::Refused { .. });
        if let Some(reply) = self.reply_channels.get(&request) {
            // Fails if the ticket was just dropped; its message about that is already in the queue.
            let _ = reply.send(decision);
        }
        if is_last {
            self.reply_channels.remove(&request);
        }
    }

    /// Reports the load to peers after a change, at most every `MIN_REPORT_INTERVAL`, and as a heartbeat every
    /// `IDLE_TICK`.
    fn report_load(&mut self) {
        let interval_over = self.reported_at.elapsed() >= MIN_REPORT_INTERVAL;
        if !interval_over {
            self.is_reported = false;
            return;
        }
        let changed = self.task.placement.take_changed_state();
        let heartbeat = self.reported_at.elapsed() >= IDLE_TICK;
        let state = changed.or_else(|| heartbeat.then(|| self.task.placement.state()));
        if let Some(state) = state {
            self.reported_at = Instant::now();
            let urgent = self.task.placement.take_needs_peer_preemption();
            let now_ms = self.task.clock.now().mono_ms;
            let news = self.task.placement.news(now_ms);
            self.target_state.update(now_ms, &mut self.task.placement);
            let _ = self.task.load_reports.send(OwnLoad { state, urgent, news });
            let (online, batch) = self.task.placement.waiting();
            self.task.metrics.placement(self.task.placement.counters(), online, batch);
            self.task.metrics.items_held(self.task.placement.held_items());
        }
        self.is_reported = true;
    }
}
