//! The task that enforces the rate limits of workspaces, and the handles by which requests ask it for runs.
//!
//! It owns both roles of this process: the requester, which asks the coordinators of a workspace, and the coordinator of
//! the workspaces that rendezvous hashing assigns to this process.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use compio::net::UdpSocket;
use samphiredoor_core::{
    access::Workspace,
    placement::name_hash,
    rate_limit::{
        RateCoordinator, RateLimit, RunGrant, RunReport, RunRequester, RunTicket, Step, Tolerance,
    },
};
use samphiredoor_net::{clock::Clock, pool::within};

use super::{
    LocalGateway, Roster, datagram::Datagram, listener::send_to_all, run_messages::AddressedGrant,
};

/// Wait while no request waits and no report is due; any message ends it.
const FOREVER: Duration = Duration::from_secs(3_600);

/// Shortest time between two updates of how many other gateways were heard of.
const MAJORITY_INTERVAL_MS: u64 = 50;

/// Decision on one request.
enum Admission {
    Granted,
    Refused { retry_after_ms: u64 },
}

enum Message {
    Request {
        workspace: u64,
        limit: RateLimit,
        limit_version: u64,
        reply: flume::Sender<Admission>,
    },
    Returned {
        workspace: u64,
    },
    Report {
        report: RunReport,
        from: SocketAddr,
    },
    Grant(AddressedGrant),
}

/// Handle to the task.
#[derive(Clone)]
pub struct RunLimits {
    messages: flume::Sender<Message>,
}

/// A request that exceeds the limit of its workspace, and when to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverLimit {
    /// Time after which a retry may succeed, in milliseconds.
    pub retry_after_ms: u64,
}

/// Permission for one run. It is returned when it is dropped, unless the request may have run.
pub struct RunPermit {
    limits: RunLimits,
    workspace: u64,
    may_have_run: bool,
}

impl RunPermit {
    /// Notes whether the request may have run.
    pub fn set_may_have_run(&mut self, may_have_run: bool) {
        self.may_have_run = may_have_run;
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        if !self.may_have_run {
            self.limits.send(Message::Returned { workspace: self.workspace });
        }
    }
}

/// Configuration and state of the task.
pub struct RunLimitsTask {
    /// Identity of this process.
    pub local: LocalGateway,
    /// Clock of the process.
    pub clock: Clock,
    /// Socket that messages are sent from.
    pub socket: Rc<UdpSocket>,
    /// Other gateways, of which coordinators are chosen.
    pub roster: Roster,
    /// How far limits may be exceeded while gateways cannot coordinate.
    pub tolerance: Tolerance,
}

struct Running {
    task: RunLimitsTask,
    own_key: u64,
    requester: RunRequester,
    coordinator: RateCoordinator,
    waiting: HashMap<RunTicket, (u64, flume::Sender<Admission>)>,
    next_ticket: u64,
    majority_recorded_ms: u64,
}

impl RunLimits {
    /// Spawns the task on the runtime of the calling thread.
    pub fn start(task: RunLimitsTask) -> RunLimits {
        let (messages, inbox) = flume::unbounded();
        let own_key = name_hash(&task.local.name);
        let running = Running {
            requester: RunRequester::new(own_key, task.local.incarnation, task.tolerance),
            coordinator: RateCoordinator::new(task.tolerance),
            own_key,
            task,
            waiting: HashMap::new(),
            next_ticket: 0,
            majority_recorded_ms: 0,
        };
        compio::runtime::spawn(running.run(inbox)).detach();
        RunLimits { messages }
    }

    /// Waits until a request of a workspace may run. `None` if the workspace has no limit.
    ///
    /// # Errors
    ///
    /// The request exceeds the limit.
    pub async fn request(
        &self,
        workspace: &Workspace,
        limit_version: u64,
    ) -> Result<Option<RunPermit>, OverLimit> {
        let Some(limit) = workspace.rate_limit else { return Ok(None) };
        let (reply, admission) = flume::bounded(1);
        let workspace = name_hash(&workspace.name);
        self.send(Message::Request { workspace, limit, limit_version, reply });
        match admission.recv_async().await {
            Ok(Admission::Granted) => {
                Ok(Some(RunPermit { limits: self.clone(), workspace, may_have_run: false }))
            }
            Ok(Admission::Refused { retry_after_ms }) => Err(OverLimit { retry_after_ms }),
            // Not reached: the task runs until the process ends, and answers every request.
            Err(_) => Err(OverLimit { retry_after_ms: 0 }),
        }
    }

    /// Passes on a report of another gateway.
    pub(super) fn reported(&self, report: RunReport, from: SocketAddr) {
        self.send(Message::Report { report, from });
    }

    /// Passes on the answer of a coordinator.
    pub(super) fn granted(&self, grant: AddressedGrant) {
        self.send(Message::Grant(grant));
    }

    // The task runs until the process ends, so the channel is never closed.
    fn send(&self, message: Message) {
        let _ = self.messages.send(message);
    }
}

impl Running {
    async fn run(mut self, inbox: flume::Receiver<Message>) {
        loop {
            let mut steps = Vec::new();
            match within(self.time_to_tick(), inbox.recv_async()).await {
                Some(Ok(message)) => self.handle(message, &mut steps).await,
                Some(Err(_)) => return,
                None => self.requester.tick(self.now_ms(), &mut steps),
            }
            self.apply(steps).await;
        }
    }

    fn now_ms(&self) -> u64 {
        self.task.clock.now().mono_ms
    }

    fn time_to_tick(&self) -> Duration {
        let due_ms = self.requester.next_tick_ms();
        due_ms.map_or(FOREVER, |it| Duration::from_millis(it.saturating_sub(self.now_ms())))
    }

    async fn handle(&mut self, message: Message, steps: &mut Vec<Step>) {
        let now_ms = self.now_ms();
        match message {
            Message::Request { workspace, limit, limit_version, reply } => {
                let ticket = RunTicket(self.next_ticket);
                self.next_ticket += 1;
                self.waiting.insert(ticket, (workspace, reply));
                let coordinators = self.task.roster.coordinators(workspace);
                self.record_majority(now_ms);
                let limit = (workspace, limit, limit_version);
                self.requester.request(now_ms, ticket, limit, coordinators, steps);
            }
            Message::Returned { workspace } => self.requester.returned(now_ms, workspace),
            Message::Report { report, from } => {
                if let Some(grant) = self.coordinator.report(now_ms, &report) {
                    let message = self.addressed(&report, grant);
                    let bytes = Datagram::RunGrant(message).encode();
                    send_to_all(&self.task.socket, bytes, vec![from]).await;
                }
            }
            Message::Grant(message) if message.incarnation == self.task.local.incarnation => {
                self.requester.answered(now_ms, message.coordinator, message.grant, steps);
            }
            Message::Grant(_) => {}
        }
    }

    /// Updates since when this process has heard of most others; not for each request, as it looks at all of them.
    fn record_majority(&mut self, now_ms: u64) {
        if now_ms >= self.majority_recorded_ms + MAJORITY_INTERVAL_MS {
            self.majority_recorded_ms = now_ms;
            let ago_ms = self.task.roster.majority_seen_ago().as_millis() as u64;
            self.requester.record_majority(now_ms.saturating_sub(ago_ms));
        }
    }

    fn addressed(&self, report: &RunReport, grant: RunGrant) -> AddressedGrant {
        AddressedGrant { coordinator: self.own_key, incarnation: report.incarnation, grant }
    }

    async fn apply(&mut self, steps: Vec<Step>) {
        let mut steps = VecDeque::from(steps);
        while let Some(step) = steps.pop_front() {
            match step {
                Step::Report { to, report } => {
                    let mut more = Vec::new();
                    self.report(&to, &report, &mut more).await;
                    steps.extend(more);
                }
                Step::Grant { ticket } => self.reply(ticket, Admission::Granted),
                Step::Refuse { ticket, retry_after_ms } => {
                    self.reply(ticket, Admission::Refused { retry_after_ms });
                }
            }
        }
    }

    /// Sends a report to coordinators; if this process is one of them, it answers at once.
    async fn report(&mut self, to: &[u64], report: &RunReport, steps: &mut Vec<Step>) {
        let others = to.iter().filter(|it| **it != self.own_key);
        let others = others.filter_map(|it| self.task.roster.address_of_hash(*it)).collect();
        send_to_all(&self.task.socket, Datagram::RunReport(*report).encode(), others).await;
        if to.contains(&self.own_key) {
            let now_ms = self.now_ms();
            if let Some(grant) = self.coordinator.report(now_ms, report) {
                self.requester.answered(now_ms, self.own_key, grant, steps);
            }
        }
    }

    /// Answers a waiting request; a run that is granted to a caller that has left is returned.
    fn reply(&mut self, ticket: RunTicket, admission: Admission) {
        let Some((workspace, reply)) = self.waiting.remove(&ticket) else { return };
        let is_granted = matches!(admission, Admission::Granted);
        if reply.send(admission).is_err() && is_granted {
            self.requester.returned(self.now_ms(), workspace);
        }
    }
}
