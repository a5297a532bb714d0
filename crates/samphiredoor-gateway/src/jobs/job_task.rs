//! The task that owns one job: it runs the items, appends their results, and answers readers.
//!
//! Everything that must hold rests on the log's conditional creates. The task only works while it believes that the job
//! is its own; a wrong belief costs runs.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use compio::runtime::JoinHandle;
use samphiredoor_core::{
    ordered::{
        Item, ItemEnd, ItemResult, ItemStep, Items, JobHeader, JobName, LogStep, PartialOutput,
        ResultLog, header_key, progress_key, progress_value, read_header,
    },
    store::{Labels, StoreAnswer, StoreOp, Version},
};
use samphiredoor_net::pool::within;

use super::{
    JobEnv, STORE_PAUSE,
    directory::Directory,
    item_run::{self, Output, SharedOutput},
    submit::until,
};
use crate::edge::ResultsPage;

/// Time that a result waits for others before it is written: items of a job end over some seconds and are due later, and
/// a write costs as much as a hundredth of an item.
const GATHER: Duration = Duration::from_millis(1_500);
/// The same shortly before the results are due.
const GATHER_WHEN_DUE: Duration = Duration::from_millis(150);
/// How long before the results are due that is; callers read twice a second.
const DUE_SOON_MS: u64 = 2_500;
/// How long a finished job is kept in memory for those who read it; later reads come from the store, a call for each
/// segment at each gateway that is asked.
const LINGER: Duration = Duration::from_secs(60);
/// Shortest time between two looks for segments of other processes; callers ask twice a second.
const CHECK_PAUSE: Duration = Duration::from_millis(300);
/// Longest pause before the store is asked again.
const LONGEST_STORE_PAUSE: Duration = Duration::from_millis(1_200);
/// Bytes of texts in one page of results.
const PAGE_BYTES: usize = 900_000;
/// How often a working job looks whether its process still reaches the store.
const LOOK_PAUSE: Duration = Duration::from_millis(500);
/// A wait of no length does not let other tasks run: with a time that has passed the task would hold the whole process.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);
const FOREVER: Duration = Duration::from_secs(3_600);

/// A job that this process owns.
pub struct OwnedJob {
    /// Name.
    pub job: JobName,
    /// Header as it stands.
    pub header: JobHeader,
    /// Version of the header.
    pub version: Version,
}

/// What a job's task is told.
pub enum JobMessage {
    /// Read results.
    Read {
        /// Number of results that the reader has.
        after: usize,
        /// Until when to wait for one more.
        until: Instant,
        /// Where the answer goes.
        reply: flume::Sender<ReadReply>,
    },
    /// Read an item as it was submitted, unless its result stands.
    Item {
        /// Name of the item.
        id: String,
        /// Where the answer goes.
        reply: flume::Sender<Option<Arc<Item>>>,
    },
    /// A run of an item ended.
    RunEnded {
        /// Which item.
        item: u32,
        /// How.
        end: ItemEnd,
    },
    /// The log's call was answered.
    Stored(StoreAnswer),
    /// The header was read, to see whose the job is.
    Header(StoreAnswer),
    /// The write of the outputs that are handed over was answered.
    ProgressWritten(StoreAnswer),
    /// The last write of the header was answered.
    HeaderWritten(StoreAnswer),
    /// The caller has ended the job.
    Ended {
        /// Told whether nothing of the job is run here any more, nor by an owner to whom this process hands it.
        reply: Option<flume::Sender<bool>>,
    },
    /// A planned stop has begun.
    Release,
}

/// Answer to a reader.
pub enum ReadReply {
    /// Results.
    Page(ResultsPage),
    /// The reader knows more than this process: read the store.
    Elsewhere,
}

struct Reader {
    after: usize,
    arrived: Instant,
    until: Instant,
    reply: flume::Sender<ReadReply>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Items run.
    Working,
    /// Nothing is run any more; results that wait are written, and the job is handed over then.
    Releasing(Instant),
    /// All results stand, or the caller has ended it; the header is being written.
    Closing,
    /// Only readers are answered, until then.
    Lingering(Instant),
    /// The task ends.
    Over,
}

/// The task of one job.
pub struct JobTask {
    env: Rc<JobEnv>,
    owned: OwnedJob,
    items: Items,
    log: ResultLog,
    messages: flume::Sender<JobMessage>,
    runs: HashMap<u32, JoinHandle<()>>,
    outputs: HashMap<u32, SharedOutput>,
    again: Vec<(Instant, u32)>,
    readers: Vec<Reader>,
    phase: Phase,
    calling: bool,
    write_at: Option<Instant>,
    give_up_at: Instant,
    due_at_ms: u64,
    started: bool,
    /// Whether the job had another owner, who may still append.
    taken: bool,
    /// Whether runs are held back until it is known whose the job is.
    suspended: bool,
    /// Calls of the log in a row that got no usable answer.
    failures: u32,
    /// Whether the header is being read to learn that.
    looking: bool,
    /// Start of the last read that found no further segment.
    checked_at: Instant,
    /// Start of the last look for segments of other processes.
    checking_since: Option<Instant>,
}

impl JobTask {
    /// Task of a job; `messages` is its own inbox.
    pub fn new(
        env: Rc<JobEnv>,
        owned: OwnedJob,
        items: Items,
        log: ResultLog,
        messages: flume::Sender<JobMessage>,
    ) -> JobTask {
        let give_up_at = Instant::now() + until(&env, owned.header.give_up_unix_ms);
        let due_in = until(&env, owned.header.due_unix_ms).as_millis() as u64;
        let due_at_ms = env.clock.now().mono_ms + due_in;
        JobTask {
            taken: !log.is_read(),
            suspended: false,
            failures: 0,
            looking: false,
            checked_at: Instant::now(),
            checking_since: None,
            env,
            owned,
            items,
            log,
            messages,
            runs: HashMap::new(),
            outputs: HashMap::new(),
            again: Vec::new(),
            readers: Vec::new(),
            phase: Phase::Working,
            calling: false,
            write_at: None,
            give_up_at,
            due_at_ms,
            started: false,
        }
    }

    /// Goes on with outputs that another owner handed over.
    pub fn with_progress(mut self, outputs: Vec<PartialOutput>) -> JobTask {
        let shared = |it: PartialOutput| (it.item, Rc::new(RefCell::new(Output::handed_over(it))));
        self.outputs = outputs.into_iter().map(shared).collect();
        self
    }

    /// Works until the job is over, lost or handed over.
    pub async fn run(mut self, inbox: flume::Receiver<JobMessage>, directory: Directory) {
        self.proceed();
        while self.phase != Phase::Over {
            let left = self.next_time().saturating_duration_since(Instant::now());
            match within(left.max(SHORTEST_WAIT), inbox.recv_async()).await {
                Some(Ok(message)) => self.take(message),
                Some(Err(_)) => break,
                None => {}
            }
            self.proceed();
        }
        match self.owned.header.finished {
            true => directory.close(&self.owned.job),
            false => directory.leave(&self.owned.job),
        }
        for reader in self.readers.drain(..) {
            // A reader that has gone needs no answer.
            let _ = reader.reply.send(ReadReply::Elsewhere);
        }
    }

    fn take(&mut self, message: JobMessage) {
        match message {
            JobMessage::Read { after, until, reply } => {
                self.readers.push(Reader { after, arrived: Instant::now(), until, reply });
            }
            JobMessage::Item { id, reply } => {
                let found = self.items.find(&id).filter(|(item, _)| !self.log.is_decided(*item));
                let _ = reply.send(found.map(|(_, it)| Arc::clone(it)));
            }
            JobMessage::RunEnded { item, end } => self.run_ended(item, end),
            JobMessage::Stored(answer) => self.stored(&answer),
            JobMessage::Header(answer) => self.header_read(&answer),
            JobMessage::ProgressWritten(answer) => self.progress_written(&answer),
            JobMessage::HeaderWritten(answer) => self.header_written(&answer),
            JobMessage::Ended { reply } => {
                let is_over = self.ended();
                if let Some(reply) = reply {
                    // Whoever has gone needs no answer.
                    let _ = reply.send(is_over);
                }
            }
            JobMessage::Release => self.release(),
        }
    }

    /// Does what time and state ask for.
    fn proceed(&mut self) {
        let now = Instant::now();
        if self.phase == Phase::Working {
            self.suspend_if_displaced();
            self.start_items();
            self.run_again(now);
            if now >= self.give_up_at {
                self.give_up_rest();
            }
        }
        self.step_log(now);
        self.answer_readers(now);
        match self.phase {
            Phase::Working if self.is_complete() => self.close("finished"),
            Phase::Releasing(until) => self.hand_over(now, until),
            Phase::Lingering(until) if now >= until => self.phase = Phase::Over,
            _ => {}
        }
    }

    /// When there is something to do without a message. What cannot be done yet has no time: the message that makes it
    /// possible wakes the task.
    fn next_time(&self) -> Instant {
        let phase = match self.phase {
            Phase::Working => Some(self.give_up_at),
            Phase::Releasing(until) | Phase::Lingering(until) => Some(until),
            Phase::Closing | Phase::Over => None,
        };
        let again = self.again.iter().map(|(at, _)| *at).min();
        let again = again.filter(|_| self.phase == Phase::Working && !self.suspended);
        let reader = self.readers.iter().map(|it| it.until).min();
        let write_at = self.write_at.filter(|_| self.is_active() && !self.calling);
        let look = (self.phase == Phase::Working).then(|| Instant::now() + LOOK_PAUSE);
        let times = [phase, again, reader, write_at, look];
        times.into_iter().flatten().min().unwrap_or_else(|| Instant::now() + FOREVER)
    }

    fn is_complete(&self) -> bool {
        self.log.standing().len() as u32 == self.items.len()
    }

    // Runs

    /// Stops the runs while this process alone does not reach the store. Others take its jobs then, and it could hear
    /// neither of that nor of the jobs' ends.
    fn suspend_if_displaced(&mut self) {
        let displaced = self.env.is_displaced();
        if displaced && !self.suspended {
            log::info!(job = &*self.owned.job; "job: runs held back, only this process misses the store");
            self.suspended = true;
            self.taken = true;
            self.stop_runs();
        } else if !displaced && self.suspended && !self.looking {
            self.looking = true;
            self.call(StoreOp::Get { key: header_key(&self.owned.job) }, JobMessage::Header);
        }
    }

    fn start_items(&mut self) {
        if self.started || self.suspended || !self.log.is_read() {
            return;
        }
        self.started = true;
        let open: Vec<u32> = (0..self.items.len()).filter(|it| !self.log.is_decided(*it)).collect();
        for item in open {
            self.start_run(item);
        }
    }

    fn start_run(&mut self, number: u32) {
        let Some(item) = self.items.get(number) else { return };
        let output = Rc::clone(self.outputs.entry(number).or_default());
        let run = item_run::ItemRun {
            output,
            env: Rc::clone(&self.env),
            job: JobName::clone(&self.owned.job),
            host: self.owned.header.host.clone(),
            route_path: self.owned.header.path.clone(),
            routes_version: self.owned.header.routes_version,
            item: Arc::clone(item),
            due_at_ms: self.due_at_ms,
            give_up_at: self.give_up_at,
        };
        let messages = self.messages.clone();
        let handle = compio::runtime::spawn(async move {
            let end = run.run().await;
            // Fails only when the job's task has ended, which needs no result any more.
            let _ = messages.send(JobMessage::RunEnded { item: number, end });
        });
        self.runs.insert(number, handle);
    }

    fn run_again(&mut self, now: Instant) {
        let (ready, later): (Vec<_>, Vec<_>) = self.again.drain(..).partition(|(at, _)| *at <= now);
        self.again = later;
        for (_, item) in ready {
            self.start_run(item);
        }
    }

    fn run_ended(&mut self, item: u32, end: ItemEnd) {
        self.runs.remove(&item);
        if self.log.is_decided(item) || matches!(self.phase, Phase::Closing | Phase::Lingering(_)) {
            return;
        }
        match self.items.ended(item, end) {
            ItemStep::Record(result) => self.record(result),
            ItemStep::Again { pause_ms } => {
                self.again.push((Instant::now() + Duration::from_millis(pause_ms), item));
            }
        }
    }

    fn record(&mut self, result: ItemResult) {
        self.outputs.remove(&result.item);
        self.log.push(result);
        let is_last = self.runs.is_empty() && self.again.is_empty();
        let pause = if is_last { Duration::ZERO } else { self.gather() };
        let at = Instant::now() + pause;
        self.write_at = Some(self.write_at.map_or(at, |it| it.min(at)));
    }

    fn gather(&self) -> Duration {
        let due_soon = self.env.clock.now().mono_ms + DUE_SOON_MS >= self.due_at_ms;
        if due_soon { GATHER_WHEN_DUE } else { GATHER }
    }

    fn give_up_rest(&mut self) {
        self.runs.clear();
        self.again.clear();
        self.give_up_at = Instant::now() + FOREVER;
        for item in 0..self.items.len() {
            if let ItemStep::Record(result) = self.items.give_up(item)
                && !self.log.is_decided(item)
            {
                log::warn!(job = &*self.owned.job, item = &*result.id; "job: item given up, its time is over");
                self.record(result);
            }
        }
    }

    // Results

    fn step_log(&mut self, now: Instant) {
        let due = self.write_at.is_some_and(|it| it <= now);
        let reading = !self.log.is_read() && self.write_at.is_none();
        if self.calling || !self.is_active() || !(due || reading) {
            return;
        }
        self.write_at = None;
        let step = self.log.step();
        self.make_step(step);
    }

    fn make_step(&mut self, step: LogStep) {
        match step {
            LogStep::Store(op) => {
                self.calling = true;
                self.call(op, JobMessage::Stored);
            }
            LogStep::Pause => {
                self.failures += 1;
                self.write_at = Some(Instant::now() + self.store_pause());
            }
            LogStep::Idle => {}
        }
    }

    /// Pause before the store is asked again. A call that is refused is paid for as well, and each job makes its own.
    fn store_pause(&self) -> Duration {
        STORE_PAUSE.saturating_mul(1 << self.failures.min(4)).min(LONGEST_STORE_PAUSE)
    }

    fn call(&self, op: StoreOp, message: fn(StoreAnswer) -> JobMessage) {
        let (env, messages) = (Rc::clone(&self.env), self.messages.clone());
        compio::runtime::spawn(async move {
            let answer = env.call(op).await;
            // Fails only when the job's task has ended.
            let _ = messages.send(message(answer));
        })
        .detach();
    }

    fn stored(&mut self, answer: &StoreAnswer) {
        self.calling = false;
        let before = self.log.standing().len();
        let step = self.log.answered(answer);
        if let Some(since) = self.checking_since
            && *answer == StoreAnswer::Absent
        {
            self.checked_at = since;
        }
        // Results that have come meanwhile wait for others again.
        match step {
            LogStep::Store(StoreOp::Create { .. }) => {
                let at = Instant::now() + self.gather();
                self.write_at.get_or_insert(at);
            }
            step => self.make_step(step),
        }
        let standing = self.log.standing().len();
        if !matches!(answer, StoreAnswer::Unavailable | StoreAnswer::Unknown) {
            self.failures = 0;
        }
        if standing > before {
            log::info!(job = &*self.owned.job, standing, items = self.items.len(); "job: results stand");
        }
        if self.log.take_foreign() && self.started {
            self.call(StoreOp::Get { key: header_key(&self.owned.job) }, JobMessage::Header);
        }
    }

    fn header_read(&mut self, answer: &StoreAnswer) {
        self.looking = false;
        let StoreAnswer::Object(stored) = answer else { return };
        match read_header(stored) {
            Ok(header) if !self.env.owns(&header.owner) => self.lost(),
            Ok(_) if self.suspended => {
                self.suspended = false;
                self.started = false;
            }
            Ok(_) => {}
            Err(fault) => {
                log::warn!(job = &*self.owned.job, fault:% = fault; "job: header cannot be read");
            }
        }
    }

    fn answer_readers(&mut self, now: Instant) {
        if !self.log.is_read() && !self.started {
            return;
        }
        let readers = std::mem::take(&mut self.readers);
        for reader in readers {
            match self.reply_to(&reader, now) {
                // A reader that has gone needs no answer.
                Some(reply) => drop(reader.reply.send(reply)),
                None => self.readers.push(reader),
            }
        }
        self.check_for_others();
    }

    fn reply_to(&self, reader: &Reader, now: Instant) -> Option<ReadReply> {
        let standing = self.log.standing().len();
        if reader.after < standing || self.is_complete() {
            return Some(ReadReply::Page(self.page(reader.after.min(standing))));
        }
        let is_checked = !self.may_have_others() || self.checked_at >= reader.arrived;
        let is_over = now >= reader.until || !self.is_active();
        match (is_over, is_checked && reader.after == standing) {
            (true, true) => Some(ReadReply::Page(self.page(reader.after))),
            (true, false) => Some(ReadReply::Elsewhere),
            (false, _) => None,
        }
    }

    /// Whether another process may append to the log. A former owner does until it learns that it is one, and readers
    /// that have seen its results there must find them here. A process that does not hear most others may itself be such
    /// a former owner.
    fn may_have_others(&self) -> bool {
        self.taken || !self.env.roster.hears_most()
    }

    /// Looks for segments of others while somebody waits for more results.
    fn check_for_others(&mut self) {
        let wanted = self.readers.iter().any(|it| it.arrived > self.checked_at);
        let paused = self.checking_since.is_some_and(|it| it.elapsed() < CHECK_PAUSE);
        if wanted && !paused && self.may_have_others() && self.is_active() && !self.calling {
            self.checking_since = Some(Instant::now());
            self.log.reread();
            let step = self.log.step();
            self.make_step(step);
        }
    }

    fn is_active(&self) -> bool {
        matches!(self.phase, Phase::Working | Phase::Releasing(_))
    }

    fn page(&self, after: usize) -> ResultsPage {
        let results = page_of(&self.log.standing()[after..]);
        ResultsPage { total: self.items.len() as usize, next: after + results.len(), results }
    }

    // The end

    /// Ends the job; says whether that holds for everybody. A job that is being handed over is not this process's to end.
    fn ended(&mut self) -> bool {
        if self.is_active() {
            self.stop_runs();
            self.close("ended");
        }
        self.owned.header.finished
    }

    fn lost(&mut self) {
        log::info!(job = &*self.owned.job; "job: another process owns it");
        self.env.metrics.job("lost");
        self.stop_runs();
        self.phase = Phase::Over;
    }

    fn stop_runs(&mut self) {
        self.runs.clear();
        self.again.clear();
    }

    /// Marks the job as one that nobody needs to take.
    fn close(&mut self, how: &'static str) {
        log::info!(job = &*self.owned.job, how, results = self.log.standing().len(); "job: closed");
        self.env.metrics.job(how);
        self.phase = Phase::Closing;
        self.owned.header.finished = true;
        self.write_header();
    }

    /// Cuts all runs: what they have put out goes to the next owner, where they go on after their last event.
    fn release(&mut self) {
        if self.phase == Phase::Working {
            self.stop_runs();
            self.phase = Phase::Releasing(Instant::now());
        }
    }

    fn hand_over(&mut self, now: Instant, until: Instant) {
        if self.is_complete() {
            return self.close("finished");
        }
        if now < until {
            return;
        }
        if self.calling || !self.log.is_settled() {
            self.write_at.get_or_insert(now);
            self.phase = Phase::Releasing(now + STORE_PAUSE);
            return;
        }
        let outputs = self.outputs.iter().filter_map(|(item, it)| it.borrow().partial(*item));
        let outputs: Vec<PartialOutput> = outputs.collect();
        log::info!(job = &*self.owned.job, outputs = outputs.len(); "job: handed over");
        self.env.metrics.job("handed_over");
        self.phase = Phase::Closing;
        self.owned.header.owner.process.clear();
        match outputs.is_empty() {
            true => self.write_header(),
            false => self.write_progress(outputs),
        }
    }

    fn write_progress(&mut self, outputs: Vec<PartialOutput>) {
        let name = format!("{}-{:x}", self.owned.job, self.env.incarnation);
        let (key, value) = (progress_key(&name), progress_value(outputs));
        self.owned.header.progress = Some(name);
        let create = StoreOp::Create { key, labels: Labels::new(), value };
        self.call(create, JobMessage::ProgressWritten);
    }

    fn progress_written(&mut self, answer: &StoreAnswer) {
        // Without the outputs the items run from their beginning.
        if !matches!(answer, StoreAnswer::Object(_)) {
            self.owned.header.progress = None;
        }
        self.write_header();
    }

    fn write_header(&self) {
        let (key, version) = (header_key(&self.owned.job), self.owned.version);
        let (labels, value) = (Labels::new(), self.owned.header.value());
        self.call(StoreOp::Update { key, version, labels, value }, JobMessage::HeaderWritten);
    }

    fn header_written(&mut self, answer: &StoreAnswer) {
        let handed_over = self.owned.header.owner.process.is_empty();
        match answer {
            StoreAnswer::Object(_) if handed_over => {
                self.phase = Phase::Over;
                let (env, job) = (Rc::clone(&self.env), JobName::clone(&self.owned.job));
                compio::runtime::spawn(super::sweep::offer(env, job)).detach();
            }
            // In doubt or refused: a job that stays marked as open is only looked at once more by a later owner.
            _ if handed_over => self.phase = Phase::Over,
            StoreAnswer::Unavailable | StoreAnswer::Unknown => {
                log::info!(job = &*self.owned.job; "job: not marked as finished");
                self.phase = Phase::Lingering(Instant::now() + LINGER);
            }
            _ => self.phase = Phase::Lingering(Instant::now() + LINGER),
        }
    }
}

/// As many results as fit into one page, at least one if there is one.
pub fn page_of(results: &[ItemResult]) -> Vec<ItemResult> {
    let mut bytes = 0;
    let fitting = results.iter().enumerate().take_while(|(index, it)| {
        bytes += it.text.len();
        *index == 0 || bytes <= PAGE_BYTES
    });
    fitting.map(|(_, it)| it.clone()).collect()
}
