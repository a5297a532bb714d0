//! The task that owns the placement, and the handles by which requests speak to it.

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
    placement::{
        Action, AttemptEnd, GatewayState, Input, Placement, ReportedLoad, RequestSpec, TargetEntry,
    },
    verdict::Refusal,
};
use samphiredoor_net::{clock::Clock, pool::within};

use crate::metrics::Metrics;

/// Shortest time between two messages on the own loads. Requests that arrive together are told together; a place that
/// others do not know to be taken for this long is rarely chosen twice.
const TELL_PAUSE: Duration = Duration::from_millis(20);
/// Time between two ticks while something waits; queues and messages are late by no more.
const BUSY_TICK: Duration = Duration::from_millis(20);
/// Time between two ticks of an idle process; other gateways take one for gone that is silent for thrice as long.
const IDLE_TICK: Duration = Duration::from_millis(500);

/// What the placement decided for a request.
#[derive(Debug, Clone)]
pub enum Decision {
    /// Send it there.
    Dispatch {
        /// Which target.
        target: Name,
        /// Where it listens.
        address: SocketAddr,
    },
    /// It gets no target.
    Refused {
        /// Why.
        reason: Refusal,
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// Cut the attempt in hand: online requests need its room.
    Preempted,
}

enum Message {
    Ask(RequestSpec, flume::Sender<Decision>),
    Input(Input),
}

/// Handle to the placement's task.
#[derive(Clone)]
pub struct PlacementHandle {
    messages: flume::Sender<Message>,
    next_request: Rc<Cell<u64>>,
}

/// The own requests, as other gateways are told.
#[derive(Debug, Clone, Default)]
pub struct OwnLoad {
    /// Requests at targets, and items that wait.
    pub state: GatewayState,
    /// Whether others hold places that online requests of this gateway wait for.
    pub urgent: bool,
}

/// What the task needs beside its state.
pub struct PlacementTask {
    /// Clock of the process.
    pub clock: Clock,
    /// State.
    pub placement: Placement,
    /// Counters.
    pub metrics: Rc<Metrics>,
    /// Where changes of the own loads go, for other gateways.
    pub told: flume::Sender<OwnLoad>,
}

impl PlacementHandle {
    /// Starts the task.
    pub fn start(task: PlacementTask) -> PlacementHandle {
        let (messages, inbox) = flume::unbounded();
        let running =
            Running { task, waiting: HashMap::new(), told_at: Instant::now(), told: false };
        compio::runtime::spawn(running.run(inbox)).detach();
        PlacementHandle { messages, next_request: Rc::new(Cell::new(1)) }
    }

    /// New identity for a request.
    pub fn next_request(&self) -> RequestId {
        let id = self.next_request.get();
        self.next_request.set(id + 1);
        RequestId(id)
    }

    /// Asks for a target.
    pub fn request(&self, ask: RequestSpec) -> Ticket {
        let (sender, placements) = flume::unbounded();
        let ticket = Ticket {
            request: ask.request,
            placements,
            messages: self.messages.clone(),
            stage: Stage::Waiting,
        };
        self.send(Message::Ask(ask, sender));
        ticket
    }

    /// Tells all targets that are known now.
    pub fn set_targets(&self, targets: Vec<TargetEntry>) {
        self.send(Message::Input(Input::Targets(targets)));
    }

    /// Tells which targets the own cell shares.
    pub fn set_cell_targets(&self, targets: HashSet<u64>) {
        self.send(Message::Input(Input::CellTargets(targets)));
    }

    /// Tells the load that a target reported.
    pub fn report_load(&self, target: &Name, load: ReportedLoad) {
        self.send(Message::Input(Input::LoadReport { target: Name::clone(target), load }));
    }

    /// Tells the requests of another gateway, or of a cell.
    pub fn set_peer_load(&self, door: Name, state: GatewayState) {
        self.send(Message::Input(Input::Peer { peer: door, state }));
    }

    // The task ends only with the process.
    fn send(&self, message: Message) {
        let _ = self.messages.send(message);
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Waiting,
    AtTarget,
    Over,
}

/// A request as the placement knows it. Dropping it says that its attempt was cut, or that nobody waits any more.
pub struct Ticket {
    request: RequestId,
    placements: flume::Receiver<Decision>,
    messages: flume::Sender<Message>,
    stage: Stage,
}

impl Ticket {
    /// Waits for the decision; after [`Decision::Dispatch`] for the recall.
    pub async fn next_decision(&mut self) -> Decision {
        let Ok(placed) = self.placements.recv_async().await else {
            self.stage = Stage::Over;
            return Decision::Refused { reason: Refusal::Stopping, retry_after_ms: 0 };
        };
        match placed {
            Decision::Dispatch { .. } => self.stage = Stage::AtTarget,
            Decision::Refused { .. } => self.stage = Stage::Over,
            Decision::Preempted => {}
        }
        placed
    }

    /// Says how the attempt ended.
    pub fn report_end(&mut self, end: AttemptEnd) {
        if std::mem::replace(&mut self.stage, Stage::Over) == Stage::AtTarget {
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
            Stage::Over => {}
        }
    }
}

struct Running {
    task: PlacementTask,
    waiting: HashMap<RequestId, flume::Sender<Decision>>,
    told_at: Instant,
    told: bool,
}

impl Running {
    async fn run(mut self, inbox: flume::Receiver<Message>) {
        let mut actions = Vec::new();
        loop {
            let tick = if self.is_busy() { BUSY_TICK } else { IDLE_TICK };
            let input = match within(tick, inbox.recv_async()).await {
                Some(Ok(Message::Ask(ask, reply))) => {
                    self.waiting.insert(ask.request, reply);
                    Input::Request(ask)
                }
                Some(Ok(Message::Input(input))) => input,
                Some(Err(_)) => return,
                None => Input::Tick,
            };
            self.forget(&input);
            let now_ms = self.task.clock.now().mono_ms;
            self.task.placement.handle(now_ms, input, &mut actions);
            for action in actions.drain(..) {
                self.act(action);
            }
            self.tell();
        }
    }

    fn is_busy(&self) -> bool {
        let (online, _) = self.task.placement.waiting();
        online > 0 || !self.told
    }

    fn forget(&mut self, input: &Input) {
        if let Input::Cancelled { request } | Input::Ended { request, .. } = input {
            self.waiting.remove(request);
        }
    }

    fn act(&mut self, action: Action) {
        let (request, placed) = match action {
            Action::Dispatch { request, target, address } => {
                (request, Decision::Dispatch { target, address })
            }
            Action::Preempt { request } => (request, Decision::Preempted),
            Action::Refuse { request, reason, retry_after_ms } => {
                (request, Decision::Refused { reason, retry_after_ms })
            }
        };
        let is_last = matches!(placed, Decision::Refused { .. });
        if let Some(reply) = self.waiting.get(&request) {
            // A reply to a ticket that was just dropped finds nobody; its end is on the way here.
            let _ = reply.send(placed);
        }
        if is_last {
            self.waiting.remove(&request);
        }
    }

    fn tell(&mut self) {
        let pause_over = self.told_at.elapsed() >= TELL_PAUSE;
        if !pause_over {
            self.told = false;
            return;
        }
        let changed = self.task.placement.take_changed_state();
        let heartbeat = self.told_at.elapsed() >= IDLE_TICK;
        let state = changed.or_else(|| heartbeat.then(|| self.task.placement.state()));
        if let Some(state) = state {
            self.told_at = Instant::now();
            let urgent = self.task.placement.take_needs_peer_preemption();
            let _ = self.task.told.send(OwnLoad { state, urgent });
            let (online, batch) = self.task.placement.waiting();
            self.task.metrics.placement(self.task.placement.counters(), online, batch);
        }
        self.told = true;
    }
}
