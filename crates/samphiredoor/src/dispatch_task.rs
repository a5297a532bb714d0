//! Runs the dispatcher in a task of its own; requests send messages to it and receive its decisions through handles.

use std::{
    cell::Cell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use samphiredoor_core::{
    Name,
    dispatch::{
        Action, AttemptEnd, Dispatcher, Input, Location, RequestId, RequestSpec, TargetView,
        slot_allocator::SlotGrant,
    },
    hints::Hint,
    manifest::Manifest,
    verdict::{Refusal, Verdict},
};
use samphiredoor_net::{
    clock::Clock,
    timed_inbox::{InboxEvent, TimedInbox},
};

use crate::metrics::Metrics;

const TICK: Duration = Duration::from_millis(10);
const TICKS_BETWEEN_METRICS: u64 = 10;
/// How long a report that a target is leaving counts. Reports are repeated more often than this while they are true.
const REPORTED_LEAVING_MS: u64 = 30_000;

/// Decision of the dispatcher on a request.
#[derive(Debug, Clone)]
pub enum Decision {
    /// Send the request to a target.
    Dispatch {
        /// Address of the target.
        address: SocketAddr,
    },
    /// Abort the current attempt to free its slot.
    Abort,
    /// The request ends without an answer from a target.
    Refused(Verdict),
}

/// A target that this process may send requests to.
#[derive(Debug, Clone)]
pub struct TargetInUse {
    /// Name in the manifest.
    pub name: Name,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Whether a request of this process is running on it.
    pub busy: bool,
}

enum Message {
    Request(RequestSpec, flume::Sender<Decision>),
    Input(Input),
    TargetsInUse(flume::Sender<Vec<TargetInUse>>),
    TargetViews(flume::Sender<Vec<TargetView>>),
}

/// Handle to the dispatcher's task.
#[derive(Clone)]
pub struct DispatchHandle {
    messages: flume::Sender<Message>,
    next_request: Rc<Cell<u64>>,
}

impl DispatchHandle {
    /// Starts the task. It sends its messages for other gateways to `hints`, with the name of the receiver.
    pub fn start(
        clock: Clock,
        location: Location,
        seed: u64,
        metrics: Rc<Metrics>,
        hints: flume::Sender<(Name, Hint)>,
    ) -> DispatchHandle {
        let (messages, inbox) = flume::unbounded();
        let dispatcher = Dispatcher::new(location, seed);
        let task = Task {
            clock,
            dispatcher,
            waiting: HashMap::new(),
            preempted_at: HashMap::new(),
            hints,
            metrics,
            ticks: 0,
        };
        compio::runtime::spawn(task.run(inbox)).detach();
        DispatchHandle { messages, next_request: Rc::new(Cell::new(1)) }
    }

    /// Makes a manifest the active one.
    pub fn apply(&self, manifest: Arc<Manifest>) {
        self.input(Input::Manifest(manifest));
    }

    /// Reports that a target is leaving: it gets no new work until the report expires.
    pub fn mark_leaving(&self, target: Name) {
        self.input(Input::ReportedLeaving { target, for_ms: REPORTED_LEAVING_MS });
    }

    /// Allocates an id that is unique in this process.
    pub fn next_request(&self) -> RequestId {
        let id = self.next_request.get();
        self.next_request.set(id + 1);
        RequestId(id)
    }

    /// Submits a request; its decisions arrive at the returned handle.
    pub fn submit(&self, spec: RequestSpec) -> RequestHandle {
        let (sender, decisions) = flume::unbounded();
        let handle = RequestHandle {
            request: spec.request,
            decisions,
            messages: self.messages.clone(),
            open: true,
            at_target: false,
        };
        let _ = self.messages.send(Message::Request(spec, sender));
        handle
    }

    /// Targets that this process may send requests to; none if the task has ended.
    pub async fn targets_in_use(&self) -> Vec<TargetInUse> {
        let (reply, receiver) = flume::bounded(1);
        let _ = self.messages.send(Message::TargetsInUse(reply));
        receiver.recv_async().await.unwrap_or_default()
    }

    /// State of the same targets as this process sees it.
    pub async fn target_views(&self) -> Vec<TargetView> {
        let (reply, receiver) = flume::bounded(1);
        let _ = self.messages.send(Message::TargetViews(reply));
        receiver.recv_async().await.unwrap_or_default()
    }

    /// Sends an event to the dispatcher.
    pub fn input(&self, input: Input) {
        let _ = self.messages.send(Message::Input(input));
    }
}

/// A submitted request. Dropping the handle before the request has ended cancels it.
pub struct RequestHandle {
    request: RequestId,
    decisions: flume::Receiver<Decision>,
    messages: flume::Sender<Message>,
    open: bool,
    at_target: bool,
}

impl RequestHandle {
    /// Waits for the next decision; a refusal if the task has ended.
    pub async fn decision(&mut self) -> Decision {
        match self.decisions.recv_async().await {
            Ok(decision) => {
                match decision {
                    Decision::Dispatch { .. } => self.at_target = true,
                    Decision::Refused(_) => self.open = false,
                    Decision::Abort => {}
                }
                decision
            }
            Err(_) => {
                self.open = false;
                let reason = Refusal::Stopping;
                Decision::Refused(Verdict::NotRun { retry_after_ms: 1_000, reason })
            }
        }
    }

    /// Reports how the current attempt ended; further reports on the same attempt are ignored. A final end is followed
    /// by no decision, any other end by one.
    pub fn ended(&mut self, end: AttemptEnd) {
        if !std::mem::take(&mut self.at_target) {
            return;
        }
        self.open &= !end.is_final();
        let input = Input::AttemptEnded { request: self.request, end };
        let _ = self.messages.send(Message::Input(input));
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        if self.open {
            let input = Input::Cancelled { request: self.request };
            let _ = self.messages.send(Message::Input(input));
        }
    }
}

struct Task {
    clock: Clock,
    dispatcher: Dispatcher,
    waiting: HashMap<RequestId, flume::Sender<Decision>>,
    preempted_at: HashMap<RequestId, Instant>,
    hints: flume::Sender<(Name, Hint)>,
    metrics: Rc<Metrics>,
    ticks: u64,
}

impl Task {
    async fn run(mut self, inbox: flume::Receiver<Message>) {
        let mut actions = Vec::new();
        let mut inbox = TimedInbox::new(inbox, TICK);
        loop {
            let input = match inbox.next().await {
                InboxEvent::Message(Message::Request(spec, reply)) => {
                    self.waiting.insert(spec.request, reply);
                    Input::Request(spec)
                }
                InboxEvent::Message(Message::Input(input)) => input,
                InboxEvent::Message(Message::TargetViews(reply)) => {
                    let _ = reply.send(self.dispatcher.target_views(self.clock.now()));
                    continue;
                }
                InboxEvent::Message(Message::TargetsInUse(reply)) => {
                    let _ = reply.send(self.targets_in_use());
                    continue;
                }
                InboxEvent::Closed => return,
                InboxEvent::Tick => {
                    self.publish();
                    Input::Tick
                }
            };
            self.remove_finished(&input);
            self.dispatcher.handle(self.clock.now(), input, &mut actions);
            for action in actions.drain(..) {
                self.act(action);
            }
        }
    }

    fn targets_in_use(&self) -> Vec<TargetInUse> {
        let targets = self.dispatcher.targets_in_use();
        let target = |(name, address, busy)| TargetInUse { name: Name::clone(name), address, busy };
        targets.map(target).collect()
    }

    fn publish(&mut self) {
        if self.ticks.is_multiple_of(TICKS_BETWEEN_METRICS) {
            let gauges = self.dispatcher.gauges(self.clock.now());
            self.metrics.update_dispatcher(self.dispatcher.counters(), &gauges);
        }
        self.ticks += 1;
    }

    fn remove_finished(&mut self, input: &Input) {
        if let Input::Cancelled { request } | Input::AttemptEnded { request, .. } = input
            && let Some(preempted_at) = self.preempted_at.remove(request)
        {
            self.metrics.observe_preemption(preempted_at.elapsed().as_secs_f64());
        }
        match input {
            Input::Cancelled { request } => {
                self.waiting.remove(request);
            }
            Input::AttemptEnded { request, end } if end.is_final() => {
                self.waiting.remove(request);
            }
            _ => {}
        }
    }

    fn notify(&self, gateway: Name, hint: Hint) {
        let _ = self.hints.send((gateway, hint));
    }

    fn act(&mut self, action: Action) {
        let (request, decision) = match action {
            Action::Dispatch { request, address, .. } => (request, Decision::Dispatch { address }),
            Action::Abort { request } => {
                self.preempted_at.insert(request, Instant::now());
                (request, Decision::Abort)
            }
            Action::Refuse { request, verdict } => (request, Decision::Refused(verdict)),
            Action::SlotGrant { target, grant } => {
                let SlotGrant { gateway, slots, epoch } = grant;
                let hint = Hint::SlotGrant { target, batch_slots: slots, epoch };
                return self.notify(gateway, hint);
            }
            Action::Demand { allocator, load } => {
                return self.notify(allocator, Hint::Demand(load));
            }
        };
        let last = matches!(decision, Decision::Refused(_));
        if let Some(reply) = self.waiting.get(&request) {
            let _ = reply.send(decision);
        }
        if last {
            self.waiting.remove(&request);
        }
    }
}
