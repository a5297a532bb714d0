//! The task that finds out which requests, and which parts of prompts, crash targets, and the handle by which requests and
//! items use it.
//!
//! It owns both roles of this process: it reports lost requests to the coordinators of their services and holds what these
//! tell, and it is the coordinator of the services that rendezvous hashing assigns to this process.

use std::{
    cell::RefCell,
    collections::BTreeSet,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::net::UdpSocket;
use samphiredoor_core::{
    crash_reports::{
        AnsweredKeys, Content, CrashCoordinator, CrashReport, CrashVerdict, KnownSuspects, Suspect,
        SuspectKind,
    },
    placement::name_hash,
};
use samphiredoor_net::{clock::Clock, pool::within, probe::refuses_connections};

use super::{
    LocalGateway, Roster,
    crash_messages::{CrashNews, Suspects},
    datagram::Datagram,
    listener::send_to_all,
};
use crate::metrics::Metrics;

/// Interval at which gateways that may not know what is quarantined are told: those that have started or returned, and
/// all others of what was judged within this time, as datagrams may be lost.
const TELL_AGAIN: Duration = Duration::from_millis(500);

enum Message {
    News(CrashNews),
    /// News of this process, which go to all coordinators.
    Own(CrashNews),
}

/// What was lately in whole answers. Different requests are many, and must not drive out the parts that they share.
#[derive(Default)]
struct Answered {
    requests: AnsweredKeys,
    parts: AnsweredKeys,
}

impl Answered {
    fn keys(&mut self, kind: SuspectKind) -> &mut AnsweredKeys {
        match kind {
            SuspectKind::Request => &mut self.requests,
            SuspectKind::Part => &mut self.parts,
        }
    }

    fn contains(&self, suspect: Suspect) -> bool {
        match suspect.kind {
            SuspectKind::Request => self.requests.contains(suspect.hash),
            SuspectKind::Part => self.parts.contains(suspect.hash),
        }
    }
}

/// Handle to the task.
#[derive(Clone)]
pub struct CrashReports {
    messages: flume::Sender<Message>,
    known: Rc<RefCell<KnownSuspects>>,
    answered: Rc<RefCell<Answered>>,
    clock: Clock,
    metrics: Rc<Metrics>,
}

/// Configuration of the task.
pub struct CrashReportsTask {
    /// Identity of this process.
    pub local: LocalGateway,
    /// Clock of the process.
    pub clock: Clock,
    /// Socket that messages are sent from.
    pub socket: Rc<UdpSocket>,
    /// Other gateways, of which coordinators are chosen.
    pub roster: Roster,
    /// Metrics of the process.
    pub metrics: Rc<Metrics>,
}

impl CrashReports {
    /// Spawns the task on the runtime of the calling thread.
    pub fn start(task: CrashReportsTask) -> CrashReports {
        let (messages, inbox) = flume::unbounded();
        let handle = CrashReports {
            messages,
            known: Rc::default(),
            answered: Rc::default(),
            clock: task.clock,
            metrics: Rc::clone(&task.metrics),
        };
        let coordinator = CrashCoordinator::default();
        let own_key = name_hash(&task.local.name);
        let told = BTreeSet::new();
        let tell_again_at = Instant::now();
        let running =
            Running { task, own_key, coordinator, handle: handle.clone(), told, tell_again_at };
        compio::runtime::spawn(running.run(inbox)).detach();
        handle
    }

    /// Whether anything is suspected or quarantined. If not, no fingerprint has to be computed.
    pub fn has_suspects(&self) -> bool {
        !self.known.borrow().is_empty()
    }

    /// Why a request must not be sent, if it or a part of its prompt crashes targets.
    pub fn quarantined(&self, content: &Content) -> Option<Suspect> {
        let (known, now_ms) = (self.known.borrow(), self.now_ms());
        content.suspects().find(|it| known.is_quarantined(now_ms, *it))
    }

    /// Notes a whole answer to a request, which clears it and the parts of its prompt. Returns whether any was suspected.
    pub fn answered(&self, content: &Content) -> bool {
        let now_ms = self.now_ms();
        let mut answered = self.answered.borrow_mut();
        content.suspects().for_each(|it| answered.keys(it.kind).insert(now_ms, it.hash));
        let known = self.known.borrow();
        let is_suspect = |it: &Suspect| {
            let is_part = it.kind == SuspectKind::Part;
            known.is_suspected(now_ms, *it) || is_part && known.is_quarantined(now_ms, *it)
        };
        let suspects: Suspects = content.suspects().filter(is_suspect).collect();
        let is_any = !suspects.is_empty();
        if is_any {
            self.send(Message::Own(CrashNews::Answered(suspects)));
        }
        is_any
    }

    /// Reports a request whose connection was lost, if its target has crashed. A target that was only cut off does not refuse
    /// connections.
    pub fn connection_lost(&self, content: Content, target: SocketAddr, sent_at: Instant) {
        let (handle, lost_at) = (self.clone(), Instant::now());
        compio::runtime::spawn(async move {
            if !refuses_connections(target).await {
                return;
            }
            handle.metrics.target_crashed();
            let (content, was_answered) = handle.without_answered(content);
            log::info!(
                fingerprint:% = Hex(content.fingerprint), parts:% = HexList(&content.parts), target:% = target,
                was_answered;
                "crashes: target crashed under a request"
            );
            if was_answered {
                return;
            }
            let report = CrashReport {
                content,
                target: name_hash(&target.to_string()),
                sent_ago_ms: elapsed_ms(sent_at),
                lost_ago_ms: elapsed_ms(lost_at),
            };
            handle.send(Message::Own(CrashNews::Lost(report)));
        })
        .detach();
    }

    /// Takes away the parts that were in whole answers lately, and tells whether the request itself had one.
    fn without_answered(&self, mut content: Content) -> (Content, bool) {
        let answered = self.answered.borrow();
        let service = content.service;
        content.parts.retain(|it| !answered.contains(Suspect::part(service, *it)));
        let was_answered = answered.contains(Suspect::request(service, content.fingerprint));
        (content, was_answered)
    }

    fn now_ms(&self) -> u64 {
        self.clock.now().mono_ms
    }

    /// Passes on the news of another gateway.
    pub(super) fn reported(&self, news: CrashNews) {
        self.send(Message::News(news));
    }

    /// Takes over what a coordinator tells.
    pub(super) fn told(&self, verdict: CrashVerdict) {
        let (now_ms, suspect) = (self.now_ms(), verdict.suspect);
        let is_new = self.known.borrow_mut().apply(now_ms, verdict);
        if verdict.crashes > 0 && self.answered.borrow().contains(suspect) {
            self.send(Message::Own(CrashNews::Answered(Suspects::from_elem(suspect, 1))));
        }
        if is_new {
            self.metrics.quarantined();
            log::warn!(
                kind = suspect.kind.label(), fingerprint:% = Hex(suspect.hash), crashes = verdict.crashes;
                "crashes: quarantined"
            );
        }
    }

    // The task runs until the process ends, so the channel is never closed.
    fn send(&self, message: Message) {
        let _ = self.messages.send(message);
    }
}

struct Running {
    task: CrashReportsTask,
    own_key: u64,
    coordinator: CrashCoordinator,
    handle: CrashReports,
    /// Live gateways, by address and incarnation, that were told what is quarantined.
    told: BTreeSet<(SocketAddr, u64)>,
    tell_again_at: Instant,
}

impl Running {
    async fn run(mut self, inbox: flume::Receiver<Message>) {
        loop {
            match self.next_message(&inbox).await {
                Some(Ok(Message::News(news))) => self.coordinate(news).await,
                Some(Ok(Message::Own(news))) => self.report(news).await,
                Some(Err(flume::RecvError::Disconnected)) => return,
                None => {}
            }
            for verdict in self.coordinator.verdicts(self.now_ms()) {
                self.tell_all(verdict).await;
            }
            if Instant::now() >= self.tell_again_at {
                self.tell_again().await;
                self.tell_again_at = Instant::now() + TELL_AGAIN;
            }
        }
    }

    /// Tells those gateways what is quarantined which may not know it.
    async fn tell_again(&mut self) {
        let live: BTreeSet<_> = self.task.roster.live_incarnations().into_iter().collect();
        let is_new = |it: &&(SocketAddr, u64)| !self.told.contains(it);
        let new: Vec<SocketAddr> = live.iter().filter(is_new).map(|(it, _)| *it).collect();
        let all: Vec<SocketAddr> = live.iter().map(|(it, _)| *it).collect();
        self.told = live;
        let quarantined: Vec<CrashVerdict> =
            self.handle.known.borrow_mut().quarantined(self.now_ms()).collect();
        for verdict in quarantined.into_iter().filter(|it| self.is_coordinator(it.suspect.service))
        {
            let is_recent = u128::from(verdict.age_ms) < TELL_AGAIN.as_millis();
            let to = if is_recent { &all } else { &new };
            let bytes = Datagram::CrashVerdict(verdict).encode();
            send_to_all(&self.task.socket, bytes, to.clone()).await;
        }
    }

    fn is_coordinator(&self, service: u64) -> bool {
        self.task.roster.coordinators(service).chosen.contains(&self.own_key)
    }

    /// Waits for a message; `None` if reports are to be judged or others to be told first.
    async fn next_message(
        &self,
        inbox: &flume::Receiver<Message>,
    ) -> Option<Result<Message, flume::RecvError>> {
        let due_ms = self.coordinator.due_ms();
        let judged_in = due_ms.map(|it| Duration::from_millis(it.saturating_sub(self.now_ms())));
        let tells = self.handle.has_suspects();
        let told_in = tells.then(|| self.tell_again_at.saturating_duration_since(Instant::now()));
        match judged_in.into_iter().chain(told_in).min() {
            Some(left) => within(left, inbox.recv_async()).await,
            None => Some(inbox.recv_async().await),
        }
    }

    fn now_ms(&self) -> u64 {
        self.task.clock.now().mono_ms
    }

    /// Sends news to the coordinators of the service; this process may be one of them.
    async fn report(&mut self, news: CrashNews) {
        let coordinators = self.task.roster.coordinators(news.service()).chosen;
        let others = coordinators.iter().filter(|it| **it != self.own_key);
        let others = others.filter_map(|it| self.task.roster.address_of_hash(*it)).collect();
        send_to_all(&self.task.socket, Datagram::CrashReport(news.clone()).encode(), others).await;
        // A gateway that reaches too few others has no coordinators, and counts for itself.
        if coordinators.is_empty() || coordinators.contains(&self.own_key) {
            self.coordinate(news).await;
        }
    }

    /// Handles news as the coordinator of the service.
    async fn coordinate(&mut self, news: CrashNews) {
        match news {
            CrashNews::Lost(report) => self.coordinator.report(self.now_ms(), &report),
            CrashNews::Answered(suspects) => {
                for suspect in suspects {
                    if let Some(cleared) = self.coordinator.clear(suspect) {
                        self.tell_all(cleared).await;
                    }
                }
            }
        }
    }

    async fn tell_all(&self, verdict: CrashVerdict) {
        log::info!(
            kind = verdict.suspect.kind.label(), fingerprint:% = Hex(verdict.suspect.hash),
            crashes = verdict.crashes;
            "crashes: all gateways are told"
        );
        self.handle.told(verdict);
        let bytes = Datagram::CrashVerdict(verdict).encode();
        send_to_all(&self.task.socket, bytes, self.task.roster.live_addresses()).await;
    }
}

/// A fingerprint as it is written in logs.
pub struct Hex(pub u64);

impl std::fmt::Display for Hex {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Hashes as they are written in logs.
pub struct HexList<'a>(pub &'a [u64]);

impl std::fmt::Display for HexList<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (number, hash) in self.0.iter().enumerate() {
            let separator = if number > 0 { "," } else { "" };
            write!(f, "{separator}{}", Hex(*hash))?;
        }
        Ok(())
    }
}

fn elapsed_ms(since: Instant) -> u32 {
    u32::try_from(since.elapsed().as_millis()).unwrap_or(u32::MAX)
}
