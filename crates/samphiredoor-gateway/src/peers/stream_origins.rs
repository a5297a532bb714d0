//! The task that remembers at which software version streams were begun, and the handle by which requests use it.
//!
//! It records the streams that this process begins, sends the records to their holders, holds those of other gateways, and
//! asks the holders of a stream that a caller takes up here.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::net::UdpSocket;
use samphiredoor_core::{
    Name,
    placement::{TargetEntry, name_hash},
    software_versions::{
        Answer, Found, HOLDERS, Lookup, MAX_KEEP_MS, MIN_HISTORY_MS, OriginRecords, Record,
        RecordedVersions, StreamOrigin, VersionHistory, history_ms, holders,
    },
};
use samphiredoor_net::{clock::Clock, pool::within};

use super::{
    LocalGateway, Roster,
    datagram::Datagram,
    listener::send_to_all,
    origin_messages::{OriginAnswer, OriginQuestion, OriginRecord},
    version_record,
};
use crate::{metrics::Metrics, platform_api::ObjectStore, store_health::StoreHealth};

/// Time after which holders that have not answered are asked again. A round trip between regions takes 24 ms.
const ASK_AGAIN_MS: u64 = 40;
/// Time after which a lookup ends without further answers.
const LOOKUP_TIMEOUT_MS: u64 = 120;
/// Delay of the end of a lookup from which this process counts as paused, and the time in which it then reads the answers that
/// have arrived: an older list of targets is contradicted by them.
const PAUSED_FROM_MS: u64 = 20;
const LATE_READ_MS: u64 = 50;
/// Longest wait for the versions that earlier processes have recorded, and how often a request checks whether another one has
/// read them. The store answers within some milliseconds.
const PAST_TIMEOUT: Duration = Duration::from_millis(500);
const PAST_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Pause after an attempt to read them that failed.
const PAST_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest time after the first list of targets for which streams wait until the versions in it are recorded, and how often they
/// check. It takes two or three calls to the store.
const MAX_RECORD_WAIT_MS: u64 = 1_000;
const RECORD_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Wait while no lookup is due; any message ends it.
const FOREVER: Duration = Duration::from_secs(3_600);

enum Message {
    Begun {
        stream: u64,
        record: Record,
        within_ms: u64,
    },
    Find {
        question: OriginQuestion,
        /// What this process knows, if it is not to look for a record.
        own: Option<Answer>,
        reply: flume::Sender<Found>,
    },
    /// Service and origin of each listed target.
    Listed(Vec<(u64, StreamOrigin)>),
    Record(OriginRecord),
    Question(OriginQuestion, SocketAddr),
    Answer(OriginAnswer),
}

/// Handle to the task.
#[derive(Clone)]
pub struct StreamOrigins {
    messages: flume::Sender<Message>,
    history: Rc<RefCell<VersionHistory>>,
    clock: Clock,
    store: Rc<dyn ObjectStore>,
    health: StoreHealth,
    /// Whether a task reads what earlier processes have recorded.
    is_reading_past: Rc<Cell<bool>>,
    /// Whether the versions that were listed first are recorded.
    is_recorded: Rc<Cell<bool>>,
}

/// Configuration of the task.
pub struct StreamOriginsTask {
    /// Identity of this process.
    pub local: LocalGateway,
    /// Clock of the process.
    pub clock: Clock,
    /// Store with the versions that earlier processes have recorded.
    pub store: Rc<dyn ObjectStore>,
    /// Socket that messages are sent from.
    pub socket: Rc<UdpSocket>,
    /// Other gateways, of which holders are chosen.
    pub roster: Roster,
    /// Whether the store answers, without which changes of the targets are missed.
    pub health: StoreHealth,
    /// Metrics of the process.
    pub metrics: Rc<Metrics>,
}

impl StreamOrigins {
    /// Spawns the task on the runtime of the calling thread.
    pub fn start(task: StreamOriginsTask) -> StreamOrigins {
        let (messages, inbox) = flume::unbounded();
        let history = Rc::<RefCell<VersionHistory>>::default();
        let handle = StreamOrigins {
            messages,
            history: Rc::clone(&history),
            clock: task.clock,
            store: Rc::clone(&task.store),
            health: task.health.clone(),
            is_reading_past: Rc::default(),
            is_recorded: Rc::default(),
        };
        let running = Running {
            own_key: name_hash(&task.local.name),
            task,
            history,
            records: OriginRecords::default(),
            lookups: HashMap::new(),
            targets: BTreeMap::new(),
            is_listed: false,
        };
        compio::runtime::spawn(running.run(inbox)).detach();
        handle
    }

    /// Records that this process begins a stream, or goes on with it: `first_attempt` is the id of the caller's attempt that
    /// brings or brought its first event, `timeout_ms` that of the route, within which the caller may take it up.
    pub fn begun(
        &self,
        first_attempt: &str,
        service: &str,
        origin: &StreamOrigin,
        timeout_ms: u64,
    ) {
        let until_ms = self.clock.now().mono_ms + timeout_ms.min(MAX_KEEP_MS);
        let origin = Some(origin.clone());
        let record = Record { service: name_hash(service), origin, until_ms, is_unsent: true };
        let (stream, within_ms) = (name_hash(first_attempt), history_ms(timeout_ms));
        self.send(Message::Begun { stream, record, within_ms });
    }

    /// Finds out at which version a stream was begun. `timeout_ms` is that of its route.
    pub async fn find(&self, first_attempt: &str, service: &str, timeout_ms: u64) -> Found {
        // Without them, the other gateways may still have a record of the stream.
        let _ = self.learn_past(history_ms(timeout_ms)).await;
        self.ask(first_attempt, service, timeout_ms, None).await
    }

    /// `own` is what this process knows, if it is not to look for a record.
    async fn ask(
        &self,
        attempt: &str,
        service: &str,
        timeout_ms: u64,
        own: Option<Answer>,
    ) -> Found {
        let (reply, found) = flume::bounded(1);
        let question = OriginQuestion {
            stream: name_hash(attempt),
            service: name_hash(service),
            within_ms: u32::try_from(history_ms(timeout_ms)).unwrap_or(u32::MAX),
        };
        self.send(Message::Find { question, own, reply });
        // The task runs until the process ends, and answers each lookup.
        found.recv_async().await.unwrap_or(Found::Unknown)
    }

    /// Finds out at which version a stream was begun whose first attempt is not named: at the only one that targets of the
    /// service have had, as far as is known, for as long as streams of a route with this timeout may have lasted. Unknown too if
    /// this process has started since, and does not find out what was before. Other gateways are asked, as this one may have
    /// missed the latest changes; `attempt` tells which.
    pub async fn find_unnamed(&self, attempt: &str, service: &str, timeout_ms: u64) -> Found {
        let within_ms = history_ms(timeout_ms);
        if !self.learn_past(within_ms).await {
            return Found::Unknown;
        }
        let now_ms = self.clock.now().mono_ms;
        let only = self.history.borrow().only_known(now_ms, name_hash(service), within_ms).cloned();
        match only {
            Some(version) => {
                let own = Some(Answer::NoRecord(Some(version)));
                self.ask(attempt, service, timeout_ms, own).await
            }
            None => Found::Unknown,
        }
    }

    /// Makes sure that the versions of the last `within_ms` are known also if this process has started since; `false` if what
    /// earlier processes have recorded cannot be read. One request reads it for all.
    async fn learn_past(&self, within_ms: u64) -> bool {
        let until = Instant::now() + PAST_TIMEOUT;
        while self.history.borrow().lacks_past(self.clock.now().mono_ms, within_ms) {
            if self.health.is_lost() || Instant::now() >= until {
                return false;
            }
            if !self.is_reading_past.replace(true) {
                compio::runtime::spawn(self.clone().read_past()).detach();
            }
            compio::time::sleep(PAST_CHECK_INTERVAL).await;
        }
        true
    }

    /// Reads what earlier processes have recorded. A task of its own, as the request that needs it may end before.
    async fn read_past(self) {
        match within(PAST_TIMEOUT, version_record::read(&*self.store)).await.flatten() {
            Some((past, _)) => {
                log::info!(versions = past.iter().count(); "versions: read what was recorded");
                self.history.borrow_mut().add_past(self.clock.now(), &past);
            }
            None => compio::time::sleep(PAST_RETRY_PAUSE).await,
        }
        self.is_reading_past.set(false);
    }

    /// Waits until the versions at which streams begin are recorded. A record that is not there when all gateways have ended
    /// would mean that no stream was ever begun. The wait is short, as streams are served without a store too.
    pub async fn wait_until_recorded(&self) {
        let is_young = || {
            let listed_for_ms = self.history.borrow().listed_for_ms(self.clock.now().mono_ms);
            listed_for_ms.is_none_or(|it| it < MAX_RECORD_WAIT_MS)
        };
        while !self.is_recorded.get() && !self.health.is_lost() && is_young() {
            compio::time::sleep(RECORD_CHECK_INTERVAL).await;
        }
    }

    /// Notes that the versions that were listed first are recorded, or need no record.
    pub(super) fn mark_recorded(&self) {
        self.is_recorded.set(true);
    }

    /// Versions to be recorded for later processes; `None` before the first list of targets.
    pub(super) fn versions_to_record(&self) -> Option<RecordedVersions> {
        let history = self.history.borrow();
        history.has_list().then(|| history.to_record(self.clock.now()))
    }

    /// Wall-clock time.
    pub(super) fn unix_ms(&self) -> u64 {
        self.clock.now().unix_ms
    }

    /// Takes over the list of all targets.
    pub fn set_targets(&self, targets: &[TargetEntry]) {
        let listed = targets.iter().map(|it| (name_hash(&it.service), it.stream_origin()));
        self.send(Message::Listed(listed.collect()));
    }

    /// Passes on the record of another gateway.
    pub(super) fn recorded(&self, record: OriginRecord) {
        self.send(Message::Record(record));
    }

    /// Passes on the question of another gateway.
    pub(super) fn asked(&self, question: OriginQuestion, from: SocketAddr) {
        self.send(Message::Question(question, from));
    }

    /// Passes on the answer of a holder.
    pub(super) fn answered(&self, answer: OriginAnswer) {
        self.send(Message::Answer(answer));
    }

    // The task runs until the process ends, so the channel is never closed.
    fn send(&self, message: Message) {
        let _ = self.messages.send(message);
    }
}

/// A lookup that waits for answers.
struct WaitingLookup {
    lookup: Lookup,
    question: OriginQuestion,
    replies: Vec<flume::Sender<Found>>,
    ask_again_ms: Option<u64>,
    ends_ms: u64,
    /// Whether its end was put off after a pause of this process.
    reads_late: bool,
}

struct Running {
    task: StreamOriginsTask,
    own_key: u64,
    history: Rc<RefCell<VersionHistory>>,
    records: OriginRecords,
    lookups: HashMap<u64, WaitingLookup>,
    /// Start time and version of each listed target.
    targets: BTreeMap<u64, StreamOrigin>,
    is_listed: bool,
}

impl Running {
    async fn run(mut self, inbox: flume::Receiver<Message>) {
        loop {
            match within(self.time_to_tick(), inbox.recv_async()).await {
                Some(Ok(message)) => self.handle(message).await,
                Some(Err(_)) => return,
                None => {}
            }
            self.tick().await;
        }
    }

    fn now_ms(&self) -> u64 {
        self.task.clock.now().mono_ms
    }

    async fn handle(&mut self, message: Message) {
        match message {
            Message::Begun { stream, record, within_ms } => {
                self.begun(stream, record, within_ms).await;
            }
            Message::Find { question, own, reply } => self.find(question, own, reply).await,
            Message::Listed(targets) => self.set_targets(targets).await,
            Message::Record(record) => self.hold(record),
            Message::Question(question, from) => {
                let answer = self.own_answer(question);
                let answer = OriginAnswer { stream: question.stream, holder: self.own_key, answer };
                let bytes = Datagram::OriginAnswer(answer).encode();
                send_to_all(&self.task.socket, bytes, vec![from]).await;
            }
            Message::Answer(OriginAnswer { stream, holder, answer }) => {
                let Some(waiting) = self.lookups.get_mut(&stream) else { return };
                if let Some(found) = waiting.lookup.answered(holder, answer) {
                    self.end_lookup(stream, found);
                }
            }
        }
    }

    /// Version of each stream of a service that has begun within `within_ms`; `None` if it does not follow without records.
    fn sole(&self, service: u64, within_ms: u64) -> Option<Name> {
        let (now_ms, is_current) = (self.now_ms(), self.is_listed && !self.task.health.is_lost());
        let mut history = self.history.borrow_mut();
        history.set_current(now_ms, is_current);
        // A loss of the store between two calls of this function is not in the history.
        let is_seen = self.task.health.is_reached_for(Duration::from_millis(within_ms));
        history.sole(now_ms, service, within_ms).filter(|_| is_seen).cloned()
    }

    async fn begun(&mut self, stream: u64, mut record: Record, within_ms: u64) {
        record.is_unsent = self.sole(record.service, within_ms).is_some();
        let (now_ms, is_unsent) = (self.now_ms(), record.is_unsent);
        self.records.insert(now_ms, stream, record.clone());
        if !is_unsent {
            self.send_record(stream, &record).await;
        }
    }

    /// Sends a record to its holders.
    async fn send_record(&self, stream: u64, record: &Record) {
        let Some(origin) = record.origin.clone() else { return };
        let keep_ms = record.until_ms.saturating_sub(self.now_ms()) as u32;
        let message = OriginRecord { stream, origin, keep_ms };
        let addresses = self.holder_addresses(stream, HOLDERS);
        self.task.metrics.stream_records_sent(addresses.len());
        let bytes = Datagram::StreamOrigin(message).encode();
        send_to_all(&self.task.socket, bytes, addresses.into_iter().map(|(_, it)| it).collect())
            .await;
    }

    /// The first other holders of a stream, with their addresses.
    fn holder_addresses(&self, stream: u64, count: usize) -> Vec<(u64, SocketAddr)> {
        let all = holders(stream, self.task.roster.registered_keys());
        let others = all.into_iter().filter(|it| *it != self.own_key).take(count);
        let roster = &self.task.roster;
        others.filter_map(|it| Some((it, roster.address_of_hash(it)?))).collect()
    }

    /// Adds the record of another gateway.
    fn hold(&mut self, record: OriginRecord) {
        let OriginRecord { stream, origin, keep_ms } = record;
        let service = origin.service;
        let now_ms = self.now_ms();
        let until_ms = now_ms + u64::from(keep_ms).min(MAX_KEEP_MS);
        let origin = Some(origin).filter(|it| !self.is_ambiguous(it));
        self.records.insert(now_ms, stream, Record { service, origin, until_ms, is_unsent: false });
    }

    /// Whether the target of an origin is listed here with another start and version.
    fn is_ambiguous(&self, origin: &StreamOrigin) -> bool {
        self.targets.get(&origin.target).is_some_and(|it| origin.is_ambiguous_after(it))
    }

    /// What this process knows of a stream.
    fn own_answer(&self, question: OriginQuestion) -> Answer {
        let OriginQuestion { stream, service, within_ms } = question;
        match self.records.get(self.now_ms(), stream) {
            Some(Record { origin: Some(origin), .. }) if !self.is_ambiguous(origin) => {
                Answer::Recorded(origin.clone())
            }
            Some(_) => Answer::Ambiguous,
            None => {
                // A gateway of an earlier version sends no time.
                let within_ms = u64::from(within_ms).max(MIN_HISTORY_MS);
                let has_several =
                    self.history.borrow().has_several(self.now_ms(), service, within_ms);
                match has_several {
                    true => Answer::SeveralVersions,
                    false => Answer::NoRecord(self.sole(service, within_ms)),
                }
            }
        }
    }

    async fn find(
        &mut self,
        question: OriginQuestion,
        own: Option<Answer>,
        reply: flume::Sender<Found>,
    ) {
        let stream = question.stream;
        if let Some(waiting) = self.lookups.get_mut(&stream) {
            waiting.replies.push(reply);
            return;
        }
        let asked = self.holder_addresses(stream, HOLDERS + 1);
        let own = own.unwrap_or_else(|| self.own_answer(question));
        match Lookup::new(asked.iter().map(|(key, _)| *key).collect(), own) {
            Err(found) => _ = reply.send(found),
            Ok(lookup) => {
                let now_ms = self.now_ms();
                let waiting = WaitingLookup {
                    lookup,
                    question,
                    replies: vec![reply],
                    ask_again_ms: Some(now_ms + ASK_AGAIN_MS),
                    ends_ms: now_ms + LOOKUP_TIMEOUT_MS,
                    reads_late: false,
                };
                self.lookups.insert(stream, waiting);
                self.ask(question, asked.into_iter().map(|(_, it)| it).collect()).await;
            }
        }
    }

    async fn ask(&self, question: OriginQuestion, addresses: Vec<SocketAddr>) {
        let bytes = Datagram::OriginQuestion(question).encode();
        send_to_all(&self.task.socket, bytes, addresses).await;
    }

    fn end_lookup(&mut self, stream: u64, found: Found) {
        let Some(waiting) = self.lookups.remove(&stream) else { return };
        for reply in waiting.replies {
            // Fails if the caller has left.
            let _ = reply.send(found.clone());
        }
    }

    fn time_to_tick(&self) -> Duration {
        let due = self.lookups.values().map(|it| it.ask_again_ms.unwrap_or(it.ends_ms)).min();
        due.map_or(FOREVER, |it| Duration::from_millis(it.saturating_sub(self.now_ms())))
    }

    /// Asks holders again that have not answered, and ends lookups whose time is over.
    async fn tick(&mut self) {
        let now_ms = self.now_ms();
        let mut ended = Vec::new();
        let mut asked_again = Vec::new();
        for (stream, waiting) in &mut self.lookups {
            let was_paused = now_ms >= waiting.ends_ms + PAUSED_FROM_MS;
            if was_paused && !std::mem::replace(&mut waiting.reads_late, true) {
                waiting.ends_ms = now_ms + LATE_READ_MS;
            } else if now_ms >= waiting.ends_ms {
                ended.push((*stream, waiting.lookup.conclude()));
            } else if waiting.ask_again_ms.take_if(|it| now_ms >= *it).is_some() {
                asked_again.push((waiting.question, waiting.lookup.waiting().to_vec()));
            }
        }
        for (stream, found) in ended {
            self.end_lookup(stream, found);
        }
        for (question, holders) in asked_again {
            let roster = &self.task.roster;
            let addresses = holders.iter().filter_map(|it| roster.address_of_hash(*it)).collect();
            self.ask(question, addresses).await;
        }
    }

    /// Takes over the list of all targets. Records of streams that were begun while there was one version are sent once
    /// there are several.
    async fn set_targets(&mut self, listed: Vec<(u64, StreamOrigin)>) {
        let now_ms = self.now_ms();
        self.is_listed = true;
        let versions = listed.iter().map(|(service, it)| (*service, &it.version));
        self.history.borrow_mut().set_listed(now_ms, versions);
        let is_new_start =
            |it: &StreamOrigin| self.targets.get(&it.target).is_some_and(|known| known != it);
        let restarted = listed.iter().map(|(_, it)| it).filter(|it| is_new_start(it));
        let restarted: Vec<StreamOrigin> = restarted.cloned().collect();
        if !restarted.is_empty() {
            self.records.mark_ambiguous(&restarted);
        }
        let services: BTreeSet<u64> = listed.iter().map(|(service, _)| *service).collect();
        self.targets = listed.into_iter().map(|(_, it)| (it.target, it)).collect();
        let is_mixed = |it: &u64| self.sole(*it, MIN_HISTORY_MS).is_none();
        let mixed: Vec<u64> = services.into_iter().filter(is_mixed).collect();
        for (stream, record) in self.records.take_unsent(now_ms, |it| mixed.contains(&it.service)) {
            self.send_record(stream, &record).await;
        }
    }
}
