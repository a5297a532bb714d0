//! The task that owns the dispatcher, and the handles by which requests speak to it.

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
// Word that a target leaves is told again more often than this while it holds.
const TOLD_LEAVING_MS: u64 = 30_000;

/// What the dispatcher decided for a request.
#[derive(Debug, Clone)]
pub enum Placement {
    /// Send it there.
    Go {
        /// Where it listens.
        address: SocketAddr,
    },
    /// Cut the attempt in hand.
    Abort,
    /// It ends without an answer.
    Refused(Verdict),
}

/// A target that this process uses.
#[derive(Debug, Clone)]
pub struct TargetInUse {
    /// Name.
    pub name: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether a request of this process runs there.
    pub busy: bool,
}

enum Message {
    Ask(RequestSpec, flume::Sender<Placement>),
    Input(Input),
    TargetsInUse(flume::Sender<Vec<TargetInUse>>),
    TargetViews(flume::Sender<Vec<TargetView>>),
}

/// Handle to the dispatcher's task.
#[derive(Clone)]
pub struct Dispatch {
    messages: flume::Sender<Message>,
    next_request: Rc<Cell<u64>>,
}

impl Dispatch {
    /// Starts the task; what it has to tell other doors goes to `news`.
    pub fn start(
        clock: Clock,
        location: Location,
        seed: u64,
        metrics: Rc<Metrics>,
        news: flume::Sender<(Name, Hint)>,
    ) -> Dispatch {
        let (messages, inbox) = flume::unbounded();
        let dispatcher = Dispatcher::new(location, seed);
        let task = Task {
            clock,
            dispatcher,
            waiting: HashMap::new(),
            recalled: HashMap::new(),
            news,
            metrics,
            ticks: 0,
        };
        compio::runtime::spawn(task.run(inbox)).detach();
        Dispatch { messages, next_request: Rc::new(Cell::new(1)) }
    }

    /// Puts a manifest in force.
    pub fn apply(&self, manifest: Arc<Manifest>) {
        self.input(Input::Manifest(manifest));
    }

    /// Gives the target no new work for a while.
    pub fn leaving(&self, target: Name) {
        self.input(Input::ReportedLeaving { target, for_ms: TOLD_LEAVING_MS });
    }

    /// New identity for a request.
    pub fn next_request(&self) -> RequestId {
        let id = self.next_request.get();
        self.next_request.set(id + 1);
        RequestId(id)
    }

    /// Asks for a target.
    pub fn ask(&self, ask: RequestSpec) -> Ticket {
        let (sender, placements) = flume::unbounded();
        let ticket = Ticket {
            request: ask.request,
            placements,
            messages: self.messages.clone(),
            open: true,
            at_target: false,
        };
        let _ = self.messages.send(Message::Ask(ask, sender));
        ticket
    }

    /// Targets that this process uses.
    pub async fn targets_in_use(&self) -> Vec<TargetInUse> {
        let (reply, receiver) = flume::bounded(1);
        let _ = self.messages.send(Message::TargetsInUse(reply));
        receiver.recv_async().await.unwrap_or_default()
    }

    /// Targets that this process uses, as it sees them.
    pub async fn target_views(&self) -> Vec<TargetView> {
        let (reply, receiver) = flume::bounded(1);
        let _ = self.messages.send(Message::TargetViews(reply));
        receiver.recv_async().await.unwrap_or_default()
    }

    /// Tells the dispatcher what happened.
    pub fn input(&self, input: Input) {
        let _ = self.messages.send(Message::Input(input));
    }
}

/// A request as the dispatcher knows it. Dropping it says that nobody waits any more.
pub struct Ticket {
    request: RequestId,
    placements: flume::Receiver<Placement>,
    messages: flume::Sender<Message>,
    open: bool,
    at_target: bool,
}

impl Ticket {
    /// Waits for the next decision.
    pub async fn placement(&mut self) -> Placement {
        match self.placements.recv_async().await {
            Ok(placement) => {
                match placement {
                    Placement::Go { .. } => self.at_target = true,
                    Placement::Refused(_) => self.open = false,
                    Placement::Abort => {}
                }
                placement
            }
            Err(_) => {
                self.open = false;
                let reason = Refusal::Stopping;
                Placement::Refused(Verdict::NotRun { retry_after_ms: 1_000, reason })
            }
        }
    }

    /// Says how the attempt in hand ended, once for each attempt. An end that closes the request closes the ticket;
    /// after any other a decision follows.
    pub fn ended(&mut self, end: AttemptEnd) {
        if !std::mem::take(&mut self.at_target) {
            return;
        }
        self.open &= !end.is_final();
        let input = Input::AttemptEnded { request: self.request, end };
        let _ = self.messages.send(Message::Input(input));
    }
}

impl Drop for Ticket {
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
    waiting: HashMap<RequestId, flume::Sender<Placement>>,
    recalled: HashMap<RequestId, Instant>,
    news: flume::Sender<(Name, Hint)>,
    metrics: Rc<Metrics>,
    ticks: u64,
}

impl Task {
    async fn run(mut self, inbox: flume::Receiver<Message>) {
        let mut actions = Vec::new();
        let mut inbox = TimedInbox::new(inbox, TICK);
        loop {
            let input = match inbox.next().await {
                InboxEvent::Message(Message::Ask(ask, reply)) => {
                    self.waiting.insert(ask.request, reply);
                    Input::Request(ask)
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
            self.forget_ended(&input);
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
            self.metrics.dispatcher(self.dispatcher.counters(), &gauges);
        }
        self.ticks += 1;
    }

    fn forget_ended(&mut self, input: &Input) {
        if let Input::Cancelled { request } | Input::AttemptEnded { request, .. } = input
            && let Some(recalled) = self.recalled.remove(request)
        {
            self.metrics.recalled(recalled.elapsed().as_secs_f64());
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

    fn tell(&self, door: Name, news: Hint) {
        let _ = self.news.send((door, news));
    }

    fn act(&mut self, action: Action) {
        let (request, placement) = match action {
            Action::Dispatch { request, address, .. } => (request, Placement::Go { address }),
            Action::Abort { request } => {
                self.recalled.insert(request, Instant::now());
                (request, Placement::Abort)
            }
            Action::Refuse { request, verdict } => (request, Placement::Refused(verdict)),
            Action::SlotGrant { target, grant } => {
                let SlotGrant { gateway, slots, epoch } = grant;
                let news = Hint::Recall { target, batch_slots: slots, epoch };
                return self.tell(gateway, news);
            }
            Action::Demand { allocator, load } => return self.tell(allocator, Hint::Need(load)),
        };
        let last = matches!(placement, Placement::Refused(_));
        if let Some(reply) = self.waiting.get(&request) {
            let _ = reply.send(placement);
        }
        if last {
            self.waiting.remove(&request);
        }
    }
}
