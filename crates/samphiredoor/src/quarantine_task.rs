//! Runs the quarantine in a task of its own; attempts send messages to it through handles.
//!
//! An attempt is announced before it is sent, and reported again when it has ended. It waits for admission only while
//! some request is suspected, so that without a suspect the quarantine costs a request two messages and no wait.

use std::{cell::Cell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use samphiredoor_core::{
    dispatch::RequestId,
    hints::Hint,
    quarantine::{
        AttemptOutcome, Quarantine, QuarantineAction, QuarantineConfig, QuarantineInput, Suspect,
    },
};
use samphiredoor_net::{
    clock::Clock,
    probe::refuses_connections,
    timed_inbox::{InboxEvent, TimedInbox},
};

use crate::{metrics::Metrics, peers::Peers, store_client::StoreClient};

const TICK: Duration = Duration::from_millis(250);

enum Message {
    Admit { attempt: RequestId, fingerprint: u64, target: SocketAddr, reply: flume::Sender<bool> },
    Lost { attempt: RequestId, resolved: flume::Sender<()> },
    List(flume::Sender<Vec<Suspect>>),
    Input(QuarantineInput),
}

/// Handle to the task of the quarantine.
#[derive(Clone)]
pub struct QuarantineHandle {
    messages: flume::Sender<Message>,
    has_suspects: Rc<Cell<bool>>,
}

/// Inbox that the task reads once it is started.
pub struct QuarantineInbox(flume::Receiver<Message>);

impl QuarantineHandle {
    /// Creates a handle and the inbox that it sends to.
    pub fn new() -> (QuarantineHandle, QuarantineInbox) {
        let (messages, inbox) = flume::unbounded();
        (QuarantineHandle { messages, has_suspects: Rc::default() }, QuarantineInbox(inbox))
    }

    /// Announces an attempt and waits until it may be sent; `None` if the request is quarantined.
    pub async fn admit(
        &self,
        attempt: RequestId,
        fingerprint: u64,
        target: SocketAddr,
    ) -> Option<AdmittedAttempt> {
        let (reply, reply_receiver) = flume::bounded(1);
        let admitted = AdmittedAttempt { attempt, messages: self.messages.clone(), open: true };
        self.send(Message::Admit { attempt, fingerprint, target, reply });
        if self.has_suspects.get() && !reply_receiver.recv_async().await.unwrap_or(true) {
            admitted.close();
            return None;
        }
        Some(admitted)
    }

    /// Records a suspect that a peer reported.
    pub fn record_peer_report(&self, suspect: Suspect) {
        self.send(Message::Input(QuarantineInput::PeerReport(suspect)));
    }

    /// Lifts the suspicion of a request here and at all peers.
    pub fn lift(&self, fingerprint: u64) {
        self.send(Message::Input(QuarantineInput::Lift { fingerprint }));
    }

    /// All suspected, quarantined and lifted requests.
    pub async fn list(&self) -> Vec<Suspect> {
        let (reply, answer) = flume::bounded(1);
        self.send(Message::List(reply));
        answer.recv_async().await.unwrap_or_default()
    }

    fn send(&self, message: Message) {
        let _ = self.messages.send(message);
    }
}

/// An attempt that may be sent. Dropping it reports an end that neither clears the request nor raises suspicion.
pub struct AdmittedAttempt {
    attempt: RequestId,
    messages: flume::Sender<Message>,
    open: bool,
}

impl AdmittedAttempt {
    /// Reports that the complete answer arrived.
    pub fn answered(mut self) {
        self.report_end(AttemptOutcome::Answered);
    }

    /// Reports that the connection was lost after the request was sent, and waits until the quarantine has found out
    /// whether the target died.
    pub async fn connection_lost(mut self) {
        self.open = false;
        let (resolved, wait) = flume::bounded(1);
        let _ = self.messages.send(Message::Lost { attempt: self.attempt, resolved });
        let _ = wait.recv_async().await;
    }

    /// Reports a lost connection without waiting, for a request that is not sent again.
    pub fn connection_lost_without_retry(mut self) {
        self.report_end(AttemptOutcome::ConnectionLost);
    }

    fn close(mut self) {
        self.open = false;
    }

    fn report_end(&mut self, outcome: AttemptOutcome) {
        self.open = false;
        let ended = QuarantineInput::Ended { attempt: self.attempt, outcome };
        let _ = self.messages.send(Message::Input(ended));
    }
}

impl Drop for AdmittedAttempt {
    fn drop(&mut self) {
        if self.open {
            self.report_end(AttemptOutcome::Other);
        }
    }
}

/// Configuration and handles that the task uses.
pub struct QuarantineEnv {
    /// Limits, and the name of this process in stored records.
    pub config: QuarantineConfig,
    /// Clock of the process.
    pub clock: Clock,
    /// Handle to this task, which receives the results of probes and the store's answers.
    pub handle: QuarantineHandle,
    /// Peers, which suspects are reported to.
    pub peers: Peers,
    /// Client of the object store.
    pub store: StoreClient,
    /// Metrics of the process.
    pub metrics: Rc<Metrics>,
}

/// Handles messages until the process ends.
pub async fn run(env: QuarantineEnv, inbox: QuarantineInbox) {
    let mut task = Task {
        quarantine: Quarantine::new(env.config.clone()),
        awaiting_admission: HashMap::new(),
        awaiting_resolution: HashMap::new(),
        env,
    };
    let mut actions = Vec::new();
    let mut inbox = TimedInbox::new(inbox.0, TICK);
    loop {
        let input = match inbox.next().await {
            InboxEvent::Message(message) => task.input(message),
            InboxEvent::Closed => return,
            InboxEvent::Tick => Some(QuarantineInput::Tick),
        };
        let Some(input) = input else { continue };
        task.quarantine.handle(task.env.clock.now(), input, &mut actions);
        for action in actions.drain(..) {
            task.act(action);
        }
        task.env.handle.has_suspects.set(task.quarantine.has_suspects());
    }
}

struct Task {
    env: QuarantineEnv,
    quarantine: Quarantine,
    awaiting_admission: HashMap<RequestId, flume::Sender<bool>>,
    awaiting_resolution: HashMap<RequestId, flume::Sender<()>>,
}

impl Task {
    fn input(&mut self, message: Message) -> Option<QuarantineInput> {
        match message {
            Message::Admit { attempt, fingerprint, target, reply } => {
                self.awaiting_admission.insert(attempt, reply);
                Some(QuarantineInput::Admit { attempt, fingerprint, target })
            }
            Message::Lost { attempt, resolved } => {
                self.awaiting_resolution.insert(attempt, resolved);
                Some(QuarantineInput::Ended { attempt, outcome: AttemptOutcome::ConnectionLost })
            }
            Message::List(reply) => {
                let _ = reply.send(self.quarantine.suspects().collect());
                None
            }
            Message::Input(input) => {
                if let QuarantineInput::Ended { attempt, .. } = &input {
                    self.awaiting_admission.remove(attempt);
                }
                Some(input)
            }
        }
    }

    fn act(&mut self, action: QuarantineAction) {
        match action {
            QuarantineAction::Dispatch { attempt } => self.reply_admission(attempt, true),
            QuarantineAction::Refuse { attempt } => self.reply_admission(attempt, false),
            QuarantineAction::Probe { target } => {
                let messages = self.env.handle.messages.clone();
                compio::runtime::spawn(async move {
                    let refused = refuses_connections(target).await;
                    let probed = QuarantineInput::Probed { target, refused };
                    let _ = messages.send(Message::Input(probed));
                })
                .detach();
            }
            QuarantineAction::LossResolved { attempt } => {
                if let Some(resolved) = self.awaiting_resolution.remove(&attempt) {
                    let _ = resolved.send(());
                }
            }
            QuarantineAction::NotifyPeers(Suspect { fingerprint, deaths, lifted }) => {
                self.env.peers.broadcast_hint(Hint::Suspect { fingerprint, deaths, lifted });
            }
            QuarantineAction::Quarantined { fingerprint } => {
                self.env.metrics.quarantine().count_quarantined();
                log::warn!(
                    "quarantine: request {fingerprint:016x} is quarantined, targets died while running it"
                );
            }
            QuarantineAction::Store { call, op } => {
                let messages = self.env.handle.messages.clone();
                self.env.store.spawn_call(op, move |answer| {
                    let _ = messages.send(Message::Input(QuarantineInput::Stored { call, answer }));
                });
            }
        }
    }

    fn reply_admission(&mut self, attempt: RequestId, may_be_sent: bool) {
        if let Some(reply) = self.awaiting_admission.remove(&attempt) {
            let _ = reply.send(may_be_sent);
        }
    }
}
