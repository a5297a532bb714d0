//! The task that finds out which requests, and which parts of prompts, crash targets, and the handle by which requests and
//! items use it.
//!
//! It owns both roles of this process: it reports lost requests to the coordinators of their services and holds what these
//! tell, and it is the coordinator of the services that rendezvous hashing assigns to this process.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::net::UdpSocket;
use samphiredoor_core::{
    crash_reports::{
        AnsweredKeys, Content, CrashCoordinator, CrashReport, CrashVerdict, KnownSuspects,
        QUARANTINE_MS, RecordedQuarantines, RunId, RunTime, RunTimes, Suspect, SuspectKind,
        repeat_interval_ms,
    },
    placement::name_hash,
};
use samphiredoor_net::{clock::Clock, pool::within, probe::refuses_connections};

use super::{
    LocalGateway, Roster,
    crash_messages::{CrashNews, Suspects, TrialAnswer, TrialQuestion},
    datagram::Datagram,
    listener::send_to_all,
    sent_run::{SentRun, Trial},
    trials::TrialRequests,
};
use crate::metrics::Metrics;

/// Interval at which gateways that may not know what is quarantined are told: those that have started or returned, and
/// all others of what was judged within this time, as datagrams may be lost.
const TELL_AGAIN: Duration = Duration::from_millis(500);

/// Time for which own reports are sent again to coordinators that have not got them.
const REPORT_AGAIN: Duration = Duration::from_secs(60);
/// Most reports that are kept for that.
const MAX_KEPT_REPORTS: usize = 256;
/// Most suspects whose run times are told at once. Each costs two datagrams.
const MAX_RUN_TIMES: usize = 8;
/// Most time for which a run without output counts as having run: a target that has a slot writes the first output sooner.
const MAX_RUN_WITHOUT_OUTPUT_MS: u32 = 250;
/// Time for which a gateway whose trial was denied asks for no other one, if it is told of no later time.
const DENIED_PAUSE_MS: u64 = 200;

pub(super) enum Message {
    News(CrashNews),
    /// News of this process, which go to all coordinators.
    Own(CrashNews),
    /// Another gateway has cleared a suspect, which this one may have judged.
    Cleared(Suspect),
    /// The store has a record of what was quarantined before this process started.
    Recorded(CrashVerdict),
    /// A coordinator suspects what this process did not know of.
    Suspected(Suspect),
    /// The gateway at this address knows less than this about a suspect.
    Correct(CrashVerdict, SocketAddr),
    /// A request of this process asks whether it may be sent as a trial.
    Ask {
        suspects: Suspects,
        reply: flume::Sender<Option<Trial>>,
    },
    /// A granted trial of these suspects is given back by this process.
    Return(Suspects),
    /// The caller or the task of a trial of this process has left in the middle of its attempt.
    Left {
        trial: Trial,
        target: SocketAddr,
        /// Time from its first event.
        ran_ms: u32,
    },
    Question(TrialQuestion, SocketAddr),
    Answer(TrialAnswer),
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

/// A run of a request whose connection was lost.
#[derive(Debug, Clone, Copy)]
pub(super) struct LostRun {
    /// Address of the target.
    pub target: SocketAddr,
    /// When the request was sent to it.
    pub sent_at: Instant,
    /// When its first event arrived, if one did.
    pub began_at: Option<Instant>,
}

impl LostRun {
    /// Time from its first output; without any, a part of the time since its sending, most of which it may have waited.
    fn ran_ms(&self) -> u32 {
        match self.began_at {
            Some(began_at) => elapsed_ms(began_at),
            None => elapsed_ms(self.sent_at).min(MAX_RUN_WITHOUT_OUTPUT_MS),
        }
    }
}

/// Handle to the task.
#[derive(Clone)]
pub struct CrashReports {
    messages: flume::Sender<Message>,
    pub(super) known: Rc<RefCell<KnownSuspects>>,
    answered: Rc<RefCell<Answered>>,
    run_times: Rc<RefCell<RunTimes>>,
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
            run_times: Rc::default(),
            clock: task.clock,
            metrics: Rc::clone(&task.metrics),
        };
        let coordinator = CrashCoordinator::default();
        let own_key = name_hash(&task.local.name);
        let told = BTreeSet::new();
        let tell_again_at = Instant::now();
        let trials = TrialRequests::new(&task, handle.clone());
        let running = Running {
            task,
            own_key,
            coordinator,
            handle: handle.clone(),
            kept: VecDeque::new(),
            reported_to: BTreeMap::new(),
            told,
            tell_again_at,
            repeat_at: tell_again_at,
            trials,
        };
        compio::runtime::spawn(running.run(inbox)).detach();
        handle
    }

    /// Whether anything is suspected or quarantined. If not, no fingerprint has to be computed.
    pub fn has_suspects(&self) -> bool {
        !self.known.borrow().is_empty()
    }

    /// Why a request must not be sent, if it or a part of its prompt is quarantined and no trial is due.
    pub fn quarantined(&self, content: &Content) -> Option<Suspect> {
        let (known, now_ms) = (self.known.borrow(), self.now_ms());
        let is_held =
            |it: &Suspect| known.is_quarantined(now_ms, *it) && !known.is_trial_due(now_ms, *it);
        content.suspects().find(is_held)
    }

    /// Decides whether a request that has a slot may be sent. Asks a coordinator if it could be a trial of what is quarantined.
    /// Returns that trial, if it is one.
    ///
    /// # Errors
    ///
    /// It must not be sent: this is quarantined, and another request is the trial of it.
    pub async fn clearance(&self, content: &Content) -> Result<Option<Trial>, Suspect> {
        if !self.has_suspects() {
            return Ok(None);
        }
        let suspects: Suspects = {
            let (known, now_ms) = (self.known.borrow(), self.now_ms());
            content.suspects().filter(|it| known.is_quarantined(now_ms, *it)).collect()
        };
        let Some(first) = suspects.first().copied() else { return Ok(None) };
        if let Some(held) = self.quarantined(content) {
            return Err(held);
        }
        let (reply, granted) = flume::bounded(1);
        self.send(Message::Ask { suspects: suspects.clone(), reply });
        let trial = granted.recv_async().await.ok().flatten();
        self.count_trial(if trial.is_some() { "granted" } else { "denied" });
        if trial.is_none() {
            let mut known = self.known.borrow_mut();
            known.defer_trial(self.now_ms(), &suspects, DENIED_PAUSE_MS);
            return Err(first);
        }
        Ok(trial)
    }

    /// Notes that a request or an item is sent to a target now, and the trial that it is.
    pub fn sent(&self, target: SocketAddr, content: Content, trial: Option<Trial>) -> SentRun {
        SentRun::new(self.clone(), content, target, trial)
    }

    /// Notes how long a trial that was not answered in full has run without a crash.
    pub(super) fn survived(&self, trial: &Suspects, ran_ms: u32) {
        if ran_ms > 0 {
            let run_time = RunTime { longest_ms: ran_ms, ..RunTime::default() };
            self.send(Message::Own(CrashNews::Survived(trial.clone(), run_time)));
        }
    }

    /// Notes the first output of a run.
    pub(super) fn run_began(&self, content: &Content, target: SocketAddr) -> RunId {
        let target = name_hash(&target.to_string());
        self.run_times.borrow_mut().began(self.now_ms(), content.suspects().collect(), target)
    }

    /// Notes that a run has ended while its target went on.
    pub(super) fn run_survived(&self, id: RunId) {
        self.run_times.borrow_mut().survived(self.now_ms(), id);
    }

    /// Notes that a run has ended in a way that says nothing of its target.
    pub(super) fn run_lost(&self, id: RunId) {
        self.run_times.borrow_mut().lost(id);
    }

    /// Counts what became of a trial.
    pub(super) fn count_trial(&self, outcome: &'static str) {
        self.metrics.trial(outcome);
    }

    /// Time until a trial of a quarantined suspect may be granted.
    pub fn next_trial_in_ms(&self, suspect: Suspect) -> u64 {
        self.known.borrow().next_trial_in_ms(self.now_ms(), suspect)
    }

    /// What is quarantined of a service, as the store is to have it.
    pub(super) fn quarantines_to_record(&self, service: u64) -> RecordedQuarantines {
        let mut known = self.known.borrow_mut();
        let quarantined = known.quarantined(self.now_ms());
        RecordedQuarantines::of(quarantined.filter(|it| it.suspect.service == service))
    }

    /// Takes over what the store has a record of, and tells all gateways what this one did not know.
    pub(super) fn recorded(&self, service: u64, record: &RecordedQuarantines) {
        let now_ms = self.now_ms();
        for recorded in record.iter() {
            let suspect = recorded.suspect(service);
            let mut known = self.known.borrow_mut();
            if !known.is_quarantined(now_ms, suspect) {
                if known.was_cleared(suspect) {
                    continue;
                }
                known.apply(now_ms, recorded.verdict(service));
                self.send(Message::Recorded(recorded.verdict(service)));
            }
            known.mark_recorded(suspect, recorded.trials);
        }
    }

    /// Notes a whole answer to a request, which clears it and the parts of its prompt. Returns whether any was suspected.
    pub fn answered(&self, content: &Content) -> bool {
        let now_ms = self.now_ms();
        let mut answered = self.answered.borrow_mut();
        content.suspects().for_each(|it| answered.keys(it.kind).insert(now_ms, it.hash));
        let known = self.known.borrow();
        let is_suspect =
            |it: &Suspect| known.is_suspected(now_ms, *it) || known.is_quarantined(now_ms, *it);
        let suspects: Suspects = content.suspects().filter(is_suspect).collect();
        let is_any = !suspects.is_empty();
        if is_any {
            self.send(Message::Own(CrashNews::Answered(suspects)));
        }
        is_any
    }

    /// Reports a request whose connection was lost, if its target has crashed, which counts for the trial that it may be. A
    /// target that was only cut off does not refuse connections.
    pub(super) fn connection_lost(&self, content: Content, run: LostRun, trial: Option<Trial>) {
        let (handle, lost_at, ran_ms) = (self.clone(), Instant::now(), run.ran_ms());
        compio::runtime::spawn(async move {
            if !refuses_connections(run.target).await {
                return;
            }
            trial.into_iter().for_each(Trial::count);
            handle.metrics.target_crashed();
            let first_part = content.parts.first().copied();
            let (content, was_answered) = handle.without_answered(content);
            log::info!(
                fingerprint:% = Hex(content.fingerprint.unwrap_or(0)), parts:% = HexList(&content.parts), target:% = run.target,
                ran_ms, has_output = run.began_at.is_some(), was_answered;
                "crashes: target crashed under a request"
            );
            if was_answered || content.suspects().next().is_none() {
                return;
            }
            let report = CrashReport {
                has_first_part: content.parts.first().copied() == first_part,
                content,
                target: name_hash(&run.target.to_string()),
                sent_ago_ms: elapsed_ms(run.sent_at),
                lost_ago_ms: elapsed_ms(lost_at),
                ran_ms,
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
        let was_answered = content.request().is_some_and(|it| answered.contains(it));
        (content, was_answered)
    }

    /// Time since the start of the process, from a number on that reports and verdicts of before the start don't reach.
    pub(super) fn now_ms(&self) -> u64 {
        self.clock.now().mono_ms + QUARANTINE_MS
    }

    /// Passes on the news of another gateway.
    pub(super) fn reported(&self, news: CrashNews) {
        self.send(Message::News(news));
    }

    /// Passes on the question of another gateway.
    pub(super) fn asked(&self, question: TrialQuestion, from: SocketAddr) {
        self.send(Message::Question(question, from));
    }

    /// Passes on the answer of a coordinator.
    pub(super) fn answered_trial(&self, answer: TrialAnswer) {
        self.send(Message::Answer(answer));
    }

    /// Takes over what another gateway tells. One that knows less is told in return: a coordinator that has started anew would
    /// grant all trials once more.
    pub(super) fn told_by(&self, verdict: CrashVerdict, from: SocketAddr) {
        let newer = self.known.borrow().newer_than(self.now_ms(), &verdict);
        self.told(verdict);
        if let Some(newer) = newer {
            self.send(Message::Correct(newer, from));
        }
    }

    /// Takes over what a coordinator tells.
    fn told(&self, verdict: CrashVerdict) {
        let (now_ms, suspect) = (self.now_ms(), verdict.suspect);
        let was_known = self.known.borrow().contains(suspect);
        let is_new = self.known.borrow_mut().apply(now_ms, verdict);
        if !was_known && verdict.crashes > 0 {
            self.send(Message::Suspected(suspect));
        }
        if verdict.crashes == 0 {
            self.send(Message::Cleared(suspect));
        }
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
    pub(super) fn send(&self, message: Message) {
        let _ = self.messages.send(message);
    }
}

struct Running {
    task: CrashReportsTask,
    own_key: u64,
    coordinator: CrashCoordinator,
    handle: CrashReports,
    /// Own reports of the last minute, with the times at which they were true.
    kept: VecDeque<(Instant, CrashReport)>,
    /// Gateways, by address and incarnation, that got the kept reports of a service.
    reported_to: BTreeMap<u64, BTreeSet<(SocketAddr, u64)>>,
    /// Live gateways, by address and incarnation, that were told what is quarantined.
    told: BTreeSet<(SocketAddr, u64)>,
    tell_again_at: Instant,
    /// When all are told again what is quarantined.
    repeat_at: Instant,
    trials: TrialRequests,
}

impl Running {
    async fn run(mut self, inbox: flume::Receiver<Message>) {
        loop {
            match self.next_message(&inbox).await {
                Some(Ok(Message::News(news))) => self.coordinate(news).await,
                Some(Ok(Message::Own(news))) => self.report(news).await,
                Some(Ok(Message::Cleared(suspect))) => _ = self.coordinator.clear(suspect),
                Some(Ok(Message::Recorded(verdict))) => self.tell_all(verdict).await,
                Some(Ok(Message::Suspected(suspect))) => self.report_run_time(suspect).await,
                Some(Ok(Message::Correct(verdict, to))) => {
                    let bytes = Datagram::CrashVerdict(verdict).encode();
                    send_to_all(&self.task.socket, bytes, vec![to]).await;
                }
                Some(Ok(Message::Ask { suspects, reply })) => {
                    self.trials.ask(suspects, reply).await
                }
                Some(Ok(Message::Return(suspects))) => self.trials.give_back(suspects).await,
                Some(Ok(Message::Left { trial, target, ran_ms })) => {
                    compio::runtime::spawn(trial.end_left(target, ran_ms)).detach();
                }
                Some(Ok(Message::Question(question, from))) => {
                    self.trials.answer(question, from).await;
                }
                Some(Ok(Message::Answer(answer))) => self.trials.answered(answer).await,
                Some(Err(flume::RecvError::Disconnected)) => return,
                None => {}
            }
            self.trials.drop_late();
            for verdict in self.coordinator.verdicts(self.now_ms()) {
                self.tell_all(verdict).await;
            }
            if Instant::now() >= self.tell_again_at {
                self.tell_again().await;
                self.report_again().await;
                self.report_run_times().await;
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
        let mut quarantined: Vec<CrashVerdict> =
            self.handle.known.borrow_mut().quarantined(self.now_ms()).collect();
        quarantined.retain(|it| self.is_responsible(it.suspect));
        let is_repeated = Instant::now() >= self.repeat_at;
        if is_repeated {
            let interval_ms = repeat_interval_ms(quarantined.len(), all.len());
            self.repeat_at = Instant::now() + Duration::from_millis(interval_ms);
        }
        for verdict in quarantined {
            let is_recent = u128::from(verdict.age_ms) < TELL_AGAIN.as_millis();
            let to = if is_recent || is_repeated { &all } else { &new };
            let bytes = Datagram::CrashVerdict(verdict).encode();
            send_to_all(&self.task.socket, bytes, to.clone()).await;
        }
    }

    /// Whether this process tells others of a quarantine: as a coordinator of its service, or as it has judged it while it
    /// knew no other gateways.
    fn is_responsible(&self, suspect: Suspect) -> bool {
        let coordinators = self.task.roster.coordinators(suspect.service).chosen;
        coordinators.contains(&self.own_key) || self.coordinator.has_quarantined(suspect)
    }

    /// Sends own reports to coordinators that have not got them, as they have started anew or others were chosen: what a
    /// coordinator has counted ends with its process. Those that were chosen before get them twice, as datagrams may be lost.
    async fn report_again(&mut self) {
        self.kept.retain(|(at, _)| at.elapsed() < REPORT_AGAIN);
        let services: BTreeSet<u64> = self.kept.iter().map(|(_, it)| it.content.service).collect();
        self.reported_to.retain(|it, _| services.contains(it));
        for service in services {
            let coordinators = self.coordinators(service);
            let known = self.reported_to.insert(service, coordinators.clone()).unwrap_or_default();
            let new: Vec<SocketAddr> =
                coordinators.difference(&known).map(|(address, _)| *address).collect();
            if !new.is_empty() {
                self.report_kept(service, new).await;
            }
        }
    }

    /// Sends the kept reports of a service, without what has been answered since.
    async fn report_kept(&mut self, service: u64, mut to: Vec<SocketAddr>) {
        let is_self = |it: &SocketAddr| *it == self.task.local.address;
        let is_own = to.iter().any(is_self);
        to.retain(|it| !is_self(it));
        let of_service = self.kept.iter().filter(|(_, it)| it.content.service == service);
        let reports: Vec<CrashReport> =
            of_service.map(|(at, it)| aged(it, elapsed_ms(*at))).collect();
        for mut report in reports {
            let first_part = report.content.parts.first().copied();
            let (content, was_answered) = self.handle.without_answered(report.content);
            if was_answered || content.suspects().next().is_none() {
                continue;
            }
            report.has_first_part &= content.parts.first().copied() == first_part;
            report.content = content;
            if is_own {
                self.count(&report);
            }
            let bytes = Datagram::CrashReport(CrashNews::Lost(report)).encode();
            send_to_all(&self.task.socket, bytes, to.clone()).await;
        }
    }

    /// Addresses and incarnations of the coordinators of a service.
    fn coordinators(&self, service: u64) -> BTreeSet<(SocketAddr, u64)> {
        let (roster, local) = (&self.task.roster, &self.task.local);
        let chosen = roster.coordinators(service).chosen;
        let addresses: Vec<SocketAddr> =
            chosen.iter().filter_map(|it| roster.address_of_hash(*it)).collect();
        let live = roster.live_incarnations().into_iter();
        let own = chosen.contains(&self.own_key).then_some((local.address, local.incarnation));
        live.filter(|(address, _)| addresses.contains(address)).chain(own).collect()
    }

    /// Waits for a message; `None` if reports are to be judged or others to be told first.
    async fn next_message(
        &self,
        inbox: &flume::Receiver<Message>,
    ) -> Option<Result<Message, flume::RecvError>> {
        let due_ms = self.coordinator.due_ms();
        let judged_in = due_ms.map(|it| Duration::from_millis(it.saturating_sub(self.now_ms())));
        let tells = self.handle.has_suspects() || !self.kept.is_empty();
        let told_in = tells.then(|| self.tell_again_at.saturating_duration_since(Instant::now()));
        let answered_in = self.trials.next_timeout();
        let answered_in = answered_in.map(|it| it.saturating_duration_since(Instant::now()));
        match judged_in.into_iter().chain(told_in).chain(answered_in).min() {
            Some(left) => within(left, inbox.recv_async()).await,
            None => Some(inbox.recv_async().await),
        }
    }

    fn now_ms(&self) -> u64 {
        self.handle.now_ms()
    }

    /// Sends news to the coordinators of the service; this process may be one of them.
    async fn report(&mut self, news: CrashNews) {
        if let CrashNews::Lost(report) = &news {
            self.keep(report.clone());
        }
        let coordinators = self.task.roster.coordinators(news.service()).chosen;
        let others = coordinators.iter().filter(|it| **it != self.own_key);
        let others = others.filter_map(|it| self.task.roster.address_of_hash(*it)).collect();
        send_to_all(&self.task.socket, Datagram::CrashReport(news.clone()).encode(), others).await;
        // A gateway that reaches too few others has no coordinators, and counts for itself.
        if coordinators.is_empty() || coordinators.contains(&self.own_key) {
            self.coordinate(news).await;
        }
    }

    /// Tells the coordinators for how long the worst suspects have run here without a crash.
    async fn report_run_times(&mut self) {
        let suspects = self.handle.known.borrow().worst(self.now_ms(), MAX_RUN_TIMES);
        for suspect in suspects {
            self.report_run_time(suspect).await;
        }
    }

    async fn report_run_time(&mut self, suspect: Suspect) {
        let run_time = self.handle.run_times.borrow_mut().take(self.now_ms(), suspect);
        if let Some(run_time) = run_time {
            let suspects = Suspects::from_elem(suspect, 1);
            self.report(CrashNews::Survived(suspects, run_time)).await;
        }
    }

    fn keep(&mut self, report: CrashReport) {
        if self.kept.len() == MAX_KEPT_REPORTS {
            self.kept.pop_front();
        }
        self.kept.push_back((Instant::now(), report));
    }

    /// Handles news as the coordinator of the service.
    async fn coordinate(&mut self, news: CrashNews) {
        match news {
            CrashNews::Lost(report) => self.count(&report),
            CrashNews::Answered(suspects) => {
                for suspect in suspects {
                    self.clear(suspect).await;
                }
            }
            CrashNews::Survived(suspects, run_time) => {
                for suspect in suspects {
                    if self.coordinator.survived(self.now_ms(), suspect, run_time).is_some() {
                        self.tell_all(CrashVerdict::cleared(suspect)).await;
                    }
                }
            }
        }
    }

    async fn clear(&mut self, suspect: Suspect) {
        // Another gateway may have judged it, which had too few others in sight to ask a coordinator.
        let was_told = self.handle.known.borrow().contains(suspect);
        let cleared = self.coordinator.clear(suspect);
        if was_told || cleared.is_some() {
            self.tell_all(CrashVerdict::cleared(suspect)).await;
        }
    }

    fn count(&mut self, report: &CrashReport) {
        let service = report.content.service;
        self.coordinator.set_targets(service, self.task.roster.target_count(service));
        self.coordinator.report(self.now_ms(), report);
    }

    async fn tell_all(&self, verdict: CrashVerdict) {
        log::info!(
            kind = verdict.suspect.kind.label(), fingerprint:% = Hex(verdict.suspect.hash),
            crashes = verdict.crashes;
            "crashes: all gateways are told"
        );
        self.handle.told(verdict);
        // Its trials may have gone on since it was judged.
        let known = self.handle.known.borrow().verdict(self.now_ms(), verdict.suspect);
        self.trials.tell_others(known.unwrap_or(verdict)).await;
    }
}

/// A report that was true some time ago.
fn aged(report: &CrashReport, age_ms: u32) -> CrashReport {
    CrashReport {
        sent_ago_ms: report.sent_ago_ms.saturating_add(age_ms),
        lost_ago_ms: report.lost_ago_ms.saturating_add(age_ms),
        ..report.clone()
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

pub(super) fn elapsed_ms(since: Instant) -> u32 {
    u32::try_from(since.elapsed().as_millis()).unwrap_or(u32::MAX)
}
