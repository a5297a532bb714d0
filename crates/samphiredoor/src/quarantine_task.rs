//! The task that owns the quarantine, and the handles by which attempts speak to it.
//!
//! An attempt enters before it is sent and leaves when it has ended. It waits for the answer to its entry only while
//! some request is suspected, so that the quarantine costs an ordinary request two messages and no turn.

use std::{cell::Cell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use compio::net::TcpStream;
use samphiredoor_core::{
    dispatch::RequestId,
    hints::Hint,
    quarantine::{
        AttemptOutcome, Quarantine, QuarantineAction, QuarantineConfig, QuarantineInput, Suspect,
    },
};
use samphiredoor_net::{
    clock::Clock,
    pool::within,
    timed_inbox::{InboxEvent, TimedInbox},
};

use crate::{metrics::Metrics, peers::Peers, store_client::StoreClient};

const TICK: Duration = Duration::from_millis(250);
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Pause before the second probe: a process that ends may close its connections before its listener.
const PROBE_PAUSE: Duration = Duration::from_millis(20);

enum Message {
    Enter { attempt: RequestId, fingerprint: u64, target: SocketAddr, reply: flume::Sender<bool> },
    Lost { attempt: RequestId, settled: flume::Sender<()> },
    List(flume::Sender<Vec<Suspect>>),
    Input(QuarantineInput),
}

/// Handle to the quarantine's task.
#[derive(Clone)]
pub struct QuarantineHandle {
    messages: flume::Sender<Message>,
    has_suspects: Rc<Cell<bool>>,
}

/// Inbox of the quarantine's task, before the task starts.
pub struct QuarantineInbox(flume::Receiver<Message>);

impl QuarantineHandle {
    /// Handle and inbox.
    pub fn new() -> (QuarantineHandle, QuarantineInbox) {
        let (messages, inbox) = flume::unbounded();
        (QuarantineHandle { messages, has_suspects: Rc::default() }, QuarantineInbox(inbox))
    }

    /// Says that an attempt is about to be sent, and waits until it may be; `None` if the request is blamed.
    pub async fn enter(
        &self,
        attempt: RequestId,
        fingerprint: u64,
        target: SocketAddr,
    ) -> Option<Pass> {
        let (reply, decided) = flume::bounded(1);
        let pass = Pass { attempt, messages: self.messages.clone(), open: true };
        self.send(Message::Enter { attempt, fingerprint, target, reply });
        if self.has_suspects.get() && !decided.recv_async().await.unwrap_or(true) {
            pass.close();
            return None;
        }
        Some(pass)
    }

    /// Takes what a peer told.
    pub fn told(&self, suspect: Suspect) {
        self.send(Message::Input(QuarantineInput::PeerReport(suspect)));
    }

    /// Lifts the suspicion of a request.
    pub fn lift(&self, fingerprint: u64) {
        self.send(Message::Input(QuarantineInput::Lift { fingerprint }));
    }

    /// All that are suspected, blamed or lifted.
    pub async fn list(&self) -> Vec<Suspect> {
        let (reply, answer) = flume::bounded(1);
        self.send(Message::List(reply));
        answer.recv_async().await.unwrap_or_default()
    }

    fn send(&self, message: Message) {
        let _ = self.messages.send(message);
    }
}

/// An attempt that may be sent. Dropping it says that the attempt ended in a way that says nothing about the request.
pub struct Pass {
    attempt: RequestId,
    messages: flume::Sender<Message>,
    open: bool,
}

impl Pass {
    /// The whole answer arrived.
    pub fn answered(mut self) {
        self.leave(AttemptOutcome::Answered);
    }

    /// The connection was lost after the request was sent; waits until it is known what that means.
    pub async fn lost(mut self) {
        self.open = false;
        let (settled, wait) = flume::bounded(1);
        let _ = self.messages.send(Message::Lost { attempt: self.attempt, settled });
        let _ = wait.recv_async().await;
    }

    /// The same for an attempt that is not followed by another one.
    pub fn lost_at_the_end(mut self) {
        self.leave(AttemptOutcome::ConnectionLost);
    }

    fn close(mut self) {
        self.open = false;
    }

    fn leave(&mut self, outcome: AttemptOutcome) {
        self.open = false;
        let left = QuarantineInput::Ended { attempt: self.attempt, outcome };
        let _ = self.messages.send(Message::Input(left));
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        if self.open {
            self.leave(AttemptOutcome::Other);
        }
    }
}

/// What the quarantine's task uses.
pub struct QuarantineEnv {
    /// Bounds, and the name of this process in records.
    pub config: QuarantineConfig,
    /// Clock of the process.
    pub clock: Clock,
    /// The task's own handle.
    pub handle: QuarantineHandle,
    /// Other doors, which are told of suspects.
    pub peers: Peers,
    /// The object API.
    pub store: StoreClient,
    /// Counters.
    pub metrics: Rc<Metrics>,
}

/// Runs the quarantine until the process ends.
pub async fn run(env: QuarantineEnv, inbox: QuarantineInbox) {
    let mut task = Task {
        quarantine: Quarantine::new(env.config.clone()),
        entering: HashMap::new(),
        settling: HashMap::new(),
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
    entering: HashMap<RequestId, flume::Sender<bool>>,
    settling: HashMap<RequestId, flume::Sender<()>>,
}

impl Task {
    fn input(&mut self, message: Message) -> Option<QuarantineInput> {
        match message {
            Message::Enter { attempt, fingerprint, target, reply } => {
                self.entering.insert(attempt, reply);
                Some(QuarantineInput::Admit { attempt, fingerprint, target })
            }
            Message::Lost { attempt, settled } => {
                self.settling.insert(attempt, settled);
                Some(QuarantineInput::Ended { attempt, outcome: AttemptOutcome::ConnectionLost })
            }
            Message::List(reply) => {
                let _ = reply.send(self.quarantine.suspects().collect());
                None
            }
            Message::Input(input) => {
                if let QuarantineInput::Ended { attempt, .. } = &input {
                    self.entering.remove(attempt);
                }
                Some(input)
            }
        }
    }

    fn act(&mut self, action: QuarantineAction) {
        match action {
            QuarantineAction::Dispatch { attempt } => self.entered(attempt, true),
            QuarantineAction::Refuse { attempt } => self.entered(attempt, false),
            QuarantineAction::Probe { target } => {
                let messages = self.env.handle.messages.clone();
                compio::runtime::spawn(async move {
                    let refused = is_refused(target).await;
                    let probed = QuarantineInput::Probed { target, refused };
                    let _ = messages.send(Message::Input(probed));
                })
                .detach();
            }
            QuarantineAction::LossResolved { attempt } => {
                if let Some(settled) = self.settling.remove(&attempt) {
                    let _ = settled.send(());
                }
            }
            QuarantineAction::NotifyPeers(Suspect { fingerprint, deaths, lifted }) => {
                self.env.peers.broadcast_hint(Hint::Suspect { fingerprint, deaths, lifted });
            }
            QuarantineAction::Quarantined { fingerprint } => {
                self.env.metrics.quarantine().blamed();
                log::warn!(
                    "quarantine: request {fingerprint:016x} is refused, targets died with it"
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

    fn entered(&mut self, attempt: RequestId, may_go: bool) {
        if let Some(reply) = self.entering.remove(&attempt) {
            let _ = reply.send(may_go);
        }
    }
}

/// Whether a target refuses connections. One that does not answer is cut off rather than dead.
async fn is_refused(target: SocketAddr) -> bool {
    if refuses(target).await {
        return true;
    }
    compio::time::sleep(PROBE_PAUSE).await;
    refuses(target).await
}

async fn refuses(target: SocketAddr) -> bool {
    match within(PROBE_TIMEOUT, TcpStream::connect(target)).await {
        Some(Err(err)) => err.kind() == std::io::ErrorKind::ConnectionRefused,
        Some(Ok(_)) | None => false,
    }
}
