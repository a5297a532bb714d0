//! Runs the state machine of the idempotency keys in a task of its own; requests send messages to it and receive its
//! decisions through handles.

use std::{cell::Cell, collections::HashMap, rc::Rc, time::Duration};

use samphiredoor_core::{
    dispatch::RequestId,
    idempotency::{
        KeyOutcome, KeyedRequest, Keys, KeysAction, KeysConfig, KeysInput, SavedAnswer, holder_name,
    },
    verdict::{Refusal, Verdict},
};
use samphiredoor_net::{
    clock::Clock,
    timed_inbox::{InboxEvent, TimedInbox},
};

use crate::{metrics::Metrics, store_client::StoreClient};

const TICK: Duration = Duration::from_millis(100);
const IDLE_POLL: Duration = Duration::from_millis(20);
const STOPPING_RETRY_AFTER_MS: u64 = 1_000;

/// Decision on a request with an idempotency key.
#[derive(Debug, Clone)]
pub enum KeyDecision {
    /// Run the request and report its outcome.
    Run,
    /// A run with the same key is in progress; another decision follows when it ends.
    Joined,
    /// Send the saved answer of an earlier run.
    Replay(SavedAnswer),
    /// The request ends without an answer from a target.
    Refused(Verdict),
}

enum Message {
    Arrived(KeyedRequest, flume::Sender<KeyDecision>),
    Input(KeysInput),
}

/// Handle to the task of the keys.
#[derive(Clone)]
pub struct KeysHandle {
    messages: flume::Sender<Message>,
    open_count: Rc<Cell<usize>>,
}

/// Inbox that the task reads once it is started.
pub struct KeysInbox(flume::Receiver<Message>);

impl KeysHandle {
    /// Creates a handle and the inbox that it sends to.
    pub fn new() -> (KeysHandle, KeysInbox) {
        let (messages, inbox) = flume::unbounded();
        (KeysHandle { messages, open_count: Rc::default() }, KeysInbox(inbox))
    }

    /// Submits a request that carries a key; its decisions arrive at the returned handle.
    pub fn submit(&self, keyed: KeyedRequest) -> KeyedRequestHandle {
        let (sender, decisions) = flume::unbounded();
        let request = keyed.request;
        let _ = self.messages.send(Message::Arrived(keyed, sender));
        KeyedRequestHandle { request, decisions, messages: self.messages.clone(), open: true }
    }

    /// Waits until no keyed request is running and all outcomes are written to the store.
    pub async fn wait_until_idle(&self) {
        while self.open_count.get() > 0 {
            compio::time::sleep(IDLE_POLL).await;
        }
    }

    /// Reports that the lease of a process has expired. This is a hint, correctness does not depend on it.
    pub fn lease_expired(&self, process: &str, incarnation: u64) {
        let holder = holder_name(process, incarnation);
        let _ = self.messages.send(Message::Input(KeysInput::LeaseExpired { holder }));
    }
}

/// A submitted request. Dropping the handle reports that no caller waits for the answer any more; if the request was
/// running, it is recorded as one that may have run.
pub struct KeyedRequestHandle {
    request: RequestId,
    decisions: flume::Receiver<KeyDecision>,
    messages: flume::Sender<Message>,
    open: bool,
}

impl KeyedRequestHandle {
    /// Waits for the next decision; a refusal if the task has ended.
    pub async fn decision(&mut self) -> KeyDecision {
        let stopping = || {
            let (retry_after_ms, reason) = (STOPPING_RETRY_AFTER_MS, Refusal::Stopping);
            KeyDecision::Refused(Verdict::NotRun { retry_after_ms, reason })
        };
        let decision = self.decisions.recv_async().await.unwrap_or_else(|_| stopping());
        self.open = matches!(decision, KeyDecision::Run | KeyDecision::Joined);
        decision
    }

    /// Reports the outcome of the run.
    pub fn ended(mut self, outcome: KeyOutcome) {
        self.open = false;
        let input = KeysInput::RunEnded { request: self.request, outcome };
        let _ = self.messages.send(Message::Input(input));
    }
}

impl Drop for KeyedRequestHandle {
    fn drop(&mut self) {
        if self.open {
            let input = KeysInput::Cancelled { request: self.request };
            let _ = self.messages.send(Message::Input(input));
        }
    }
}

/// Configuration and handles that the task uses.
pub struct KeysEnv {
    /// Limits, and the name of this process in stored records.
    pub config: KeysConfig,
    /// Clock of the process.
    pub clock: Clock,
    /// Handle to this task, which receives the store's answers.
    pub handle: KeysHandle,
    /// Client of the object store.
    pub store: StoreClient,
    /// Metrics of the process.
    pub metrics: Rc<Metrics>,
}

/// Handles messages until the process ends.
pub async fn run(env: KeysEnv, inbox: KeysInbox) {
    let keys = Keys::new(env.config.clone());
    let mut task = Task { keys, waiting: HashMap::new(), env };
    let mut actions = Vec::new();
    let mut inbox = TimedInbox::new(inbox.0, TICK);
    loop {
        let input = match inbox.next().await {
            InboxEvent::Message(Message::Arrived(keyed, reply)) => {
                task.waiting.insert(keyed.request, reply);
                KeysInput::Arrived(keyed)
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
        task.env.handle.open_count.set(task.keys.open_len());
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
            KeysAction::Run { request } => self.reply(request, KeyDecision::Run),
            KeysAction::Joined { request } => self.reply(request, KeyDecision::Joined),
            KeysAction::Replay { request, answer } => {
                self.env.metrics.keys().count_replayed();
                self.reply(request, KeyDecision::Replay(answer));
                self.waiting.remove(&request);
            }
            KeysAction::Refuse { request, verdict } => {
                self.reply(request, KeyDecision::Refused(verdict));
                self.waiting.remove(&request);
            }
            KeysAction::Unreadable { object } => {
                self.env.metrics.keys().count_unreadable();
                log::error!("keys: {object} cannot be read; its keys are refused");
            }
        }
    }

    fn reply(&self, request: RequestId, decision: KeyDecision) {
        if let Some(reply) = self.waiting.get(&request) {
            let _ = reply.send(decision);
        }
    }
}
