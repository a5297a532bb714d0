//! The task that owns the idempotency keys, and the handles by which requests speak to it.

use std::{cell::Cell, collections::HashMap, rc::Rc, time::Duration};

use samphiredoor_core::{
    dispatch::RequestId,
    keys::{
        KeptAnswer, KeyOutcome, KeyedRequest, Keys, KeysAction, KeysConfig, KeysInput, holder_name,
    },
    verdict::{Refusal, Verdict},
};
use samphiredoor_net::{
    clock::Clock,
    timed_inbox::{InboxEvent, TimedInbox},
};

use crate::{metrics::Metrics, store_client::StoreClient};

const TICK: Duration = Duration::from_millis(100);
const EMPTY_POLL: Duration = Duration::from_millis(20);
const STOPPING_RETRY_AFTER_MS: u64 = 1_000;

/// What was decided for a request under a key.
#[derive(Debug, Clone)]
pub enum KeyDecision {
    /// Run it and report its end.
    Run,
    /// It shares the run in hand; another decision follows.
    Joined,
    /// Answer as before.
    Replay(KeptAnswer),
    /// It ends without an answer.
    Refused(Verdict),
}

enum Message {
    Arrived(KeyedRequest, flume::Sender<KeyDecision>),
    Input(KeysInput),
}

/// Handle to the keys' task.
#[derive(Clone)]
pub struct KeysHandle {
    messages: flume::Sender<Message>,
    open: Rc<Cell<usize>>,
}

/// Inbox of the keys' task, before the task starts.
pub struct KeysInbox(flume::Receiver<Message>);

impl KeysHandle {
    /// Handle and inbox.
    pub fn new() -> (KeysHandle, KeysInbox) {
        let (messages, inbox) = flume::unbounded();
        (KeysHandle { messages, open: Rc::default() }, KeysInbox(inbox))
    }

    /// Hands over a request that arrived under a key.
    pub fn arrive(&self, arrival: KeyedRequest) -> KeyTicket {
        let (sender, decisions) = flume::unbounded();
        let request = arrival.request;
        let _ = self.messages.send(Message::Arrived(arrival, sender));
        KeyTicket { request, decisions, messages: self.messages.clone(), open: true }
    }

    /// Waits until no keyed request runs and all outcomes are written.
    pub async fn empty(&self) {
        while self.open.get() > 0 {
            compio::time::sleep(EMPTY_POLL).await;
        }
    }

    /// Says that the lease of a process has lapsed; a hint.
    pub fn lapsed(&self, process: &str, incarnation: u64) {
        let holder = holder_name(process, incarnation);
        let _ = self.messages.send(Message::Input(KeysInput::LeaseExpired { holder }));
    }
}

/// A request as the keys know it. Dropping it says that nobody waits any more; if it ran, it counts as one that may
/// have run.
pub struct KeyTicket {
    request: RequestId,
    decisions: flume::Receiver<KeyDecision>,
    messages: flume::Sender<Message>,
    open: bool,
}

impl KeyTicket {
    /// Waits for the next decision.
    pub async fn decision(&mut self) -> KeyDecision {
        let stopping = || {
            let (retry_after_ms, reason) = (STOPPING_RETRY_AFTER_MS, Refusal::Stopping);
            KeyDecision::Refused(Verdict::NotRun { retry_after_ms, reason })
        };
        let decision = self.decisions.recv_async().await.unwrap_or_else(|_| stopping());
        self.open = matches!(decision, KeyDecision::Run | KeyDecision::Joined);
        decision
    }

    /// Says how the run ended.
    pub fn ended(mut self, outcome: KeyOutcome) {
        self.open = false;
        let input = KeysInput::RunEnded { request: self.request, outcome };
        let _ = self.messages.send(Message::Input(input));
    }
}

impl Drop for KeyTicket {
    fn drop(&mut self) {
        if self.open {
            let input = KeysInput::Cancelled { request: self.request };
            let _ = self.messages.send(Message::Input(input));
        }
    }
}

/// What the keys' task uses.
pub struct KeysEnv {
    /// Bounds, and the name of this process in records.
    pub config: KeysConfig,
    /// Clock of the process.
    pub clock: Clock,
    /// The task's own handle.
    pub handle: KeysHandle,
    /// The object API.
    pub store: StoreClient,
    /// Counters.
    pub metrics: Rc<Metrics>,
}

/// Runs the keys until the process ends.
pub async fn run(env: KeysEnv, inbox: KeysInbox) {
    let keys = Keys::new(env.config.clone());
    let mut task = Task { keys, waiting: HashMap::new(), env };
    let mut actions = Vec::new();
    let mut inbox = TimedInbox::new(inbox.0, TICK);
    loop {
        let input = match inbox.next().await {
            InboxEvent::Message(Message::Arrived(arrival, reply)) => {
                task.waiting.insert(arrival.request, reply);
                KeysInput::Arrived(arrival)
            }
            InboxEvent::Message(Message::Input(input)) => input,
            InboxEvent::Closed => return,
            InboxEvent::Tick => KeysInput::Tick,
        };
        if let KeysInput::RunEnded { request, .. } | KeysInput::Cancelled { request } = &input {
            task.waiting.remove(request);
        }
        task.keys.handle(task.env.clock.now(), input, &mut actions);
        for action in actions.drain(..) {
            task.act(action);
        }
        task.env.handle.open.set(task.keys.open_len());
        task.env.metrics.keys().set_unsaved(task.keys.unsaved_len());
    }
}

struct Task {
    env: KeysEnv,
    keys: Keys,
    waiting: HashMap<RequestId, flume::Sender<KeyDecision>>,
}

impl Task {
    fn act(&mut self, action: KeysAction) {
        match action {
            KeysAction::Store { call, op } => {
                let messages = self.env.handle.messages.clone();
                self.env.store.spawn_call(op, move |answer| {
                    let _ = messages.send(Message::Input(KeysInput::Stored { call, answer }));
                });
            }
            KeysAction::Run { request } => self.tell(request, KeyDecision::Run),
            KeysAction::Joined { request } => self.tell(request, KeyDecision::Joined),
            KeysAction::Replay { request, answer } => {
                self.env.metrics.keys().replayed();
                self.tell(request, KeyDecision::Replay(answer));
                self.waiting.remove(&request);
            }
            KeysAction::Refuse { request, verdict } => {
                self.tell(request, KeyDecision::Refused(verdict));
                self.waiting.remove(&request);
            }
            KeysAction::Unreadable { object } => {
                self.env.metrics.keys().unreadable();
                log::error!("keys: {object} cannot be read; its keys are refused");
            }
        }
    }

    fn tell(&self, request: RequestId, decision: KeyDecision) {
        if let Some(reply) = self.waiting.get(&request) {
            let _ = reply.send(decision);
        }
    }
}
