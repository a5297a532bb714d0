//! The task that owns one job: it runs the items, appends their results, and answers readers.
//!
//! Everything that must hold rests on the log's conditional creates. The task only works while it believes that the job
//! is its own; a wrong belief costs runs.
//!
//! `runs` holds what is done with the items, `results` the log and its readers, `ending` how the job leaves this process.

mod ending;
mod results;
mod runs;

use std::{
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use compio::runtime::JoinHandle;
use samphiredoor_core::{
    ordered::{Item, ItemEnd, Items, JobHeader, JobName, ResultLog},
    store::{StoreAnswer, Version},
};
use samphiredoor_net::pool::within;

pub use results::page_of;

use super::{
    JobEnv, directory::Directory, item_run::SharedOutput, send_permit::SendPermit,
    stored::ReadError, submit::duration_until,
};
use crate::edge::ResultsPage;

/// How often a working job looks whether its process still reaches the store.
const STORE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// A wait of no length does not let other tasks run: with a time that has passed the task would hold the whole process.
const MIN_WAIT: Duration = Duration::from_millis(1);
const NO_DEADLINE: Duration = Duration::from_secs(3_600);

/// A job that this process owns.
pub struct JobOwnership {
    /// Name.
    pub job: JobName,
    /// Header as it stands.
    pub header: JobHeader,
    /// Version of the header.
    pub version: Version,
    /// Gaps of this process before the header was written.
    pub gaps: u64,
    /// Whether its end need not be looked for: nobody else has heard of the job.
    pub is_new: bool,
}

/// What the store has of a job after a gap.
pub struct OwnershipCheck {
    /// Gaps of this process before it was asked.
    gaps: u64,
    /// Answer to the read of the header; `None` if it is known.
    header: Option<StoreAnswer>,
    /// Whether the job is ended.
    ended: Result<bool, ReadError>,
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
    LogCallAnswered(StoreAnswer),
    /// The header was read, to see whose the job is.
    HeaderRead(StoreAnswer),
    /// An item waits until it may be sent.
    PermitWanted,
    /// The store was asked whether items may be sent.
    OwnershipChecked(OwnershipCheck),
    /// The last write of the header was answered.
    HeaderWritten(StoreAnswer),
    /// The caller has ended the job.
    Cancel {
        /// Told whether nothing of the job is run here any more, nor by an owner to whom this process hands it.
        reply: Option<flume::Sender<bool>>,
    },
    /// A planned stop has begun.
    HandOver,
}

/// Answer to a reader.
pub enum ReadReply {
    /// Results.
    Page(ResultsPage),
    /// The reader knows more than this process: read the store.
    UseStore,
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
    Running,
    /// Nothing is run any more; results that wait are written, and the job is handed over then.
    HandingOver(Instant),
    /// All results stand, or the caller has ended it; the header is being written.
    Closing,
    /// Only readers are answered, until then.
    Retained(Instant),
    /// The task ends.
    Done,
}

/// The task of one job.
pub struct JobTask {
    env: Rc<JobEnv>,
    ownership: JobOwnership,
    items: Items,
    log: ResultLog,
    messages: flume::Sender<JobMessage>,
    runs: HashMap<u32, JoinHandle<()>>,
    outputs: HashMap<u32, SharedOutput>,
    retries: Vec<(Instant, u32)>,
    readers: Vec<Reader>,
    phase: Phase,
    log_call_in_flight: bool,
    write_at: Option<Instant>,
    /// When outputs were last given to the log.
    saved_at: Instant,
    give_up_at: Instant,
    due_at_ms: u64,
    items_started: bool,
    /// When the task began.
    started_at: Instant,
    /// Whether others may have taken the job while this process alone missed the store.
    may_be_taken: bool,
    /// Whether runs are held back until it is known whose the job is.
    suspended: bool,
    /// Calls of the log in a row that got no usable answer.
    store_failures: u32,
    /// Whether items may be sent.
    permit: Rc<SendPermit>,
    /// Whether the store is being asked for that.
    checking: bool,
    /// Earliest next time, after an answer that was of no use.
    next_check_at: Instant,
    /// Start of the last read that found no further segment.
    end_confirmed_at: Instant,
    /// Start of the last look for segments of other processes.
    foreign_check_at: Option<Instant>,
}

impl JobTask {
    /// Task of a job; `messages` is its own inbox.
    pub fn new(
        env: Rc<JobEnv>,
        ownership: JobOwnership,
        items: Items,
        log: ResultLog,
        messages: flume::Sender<JobMessage>,
    ) -> JobTask {
        let give_up_at = Instant::now() + duration_until(&env, ownership.header.give_up_unix_ms);
        let due_in = duration_until(&env, ownership.header.due_unix_ms).as_millis() as u64;
        let due_at_ms = env.clock.now().mono_ms + due_in;
        let granted = ownership.is_new.then_some(ownership.gaps);
        let (gaps, health) = (env.gaps.clone(), env.health.clone());
        let permit = Rc::new(SendPermit::new(gaps, health, messages.clone(), granted));
        JobTask {
            permit,
            started_at: Instant::now(),
            may_be_taken: false,
            suspended: false,
            store_failures: 0,
            checking: false,
            next_check_at: Instant::now(),
            end_confirmed_at: Instant::now(),
            foreign_check_at: None,
            env,
            ownership,
            items,
            log,
            messages,
            runs: HashMap::new(),
            outputs: HashMap::new(),
            retries: Vec::new(),
            readers: Vec::new(),
            phase: Phase::Running,
            log_call_in_flight: false,
            write_at: None,
            saved_at: Instant::now(),
            give_up_at,
            due_at_ms,
            items_started: false,
        }
    }

    /// Works until the job is over, lost or handed over.
    pub async fn run(mut self, inbox: flume::Receiver<JobMessage>, directory: Directory) {
        self.advance();
        while self.phase != Phase::Done {
            let left = self.next_wakeup().saturating_duration_since(Instant::now());
            match within(left.max(MIN_WAIT), inbox.recv_async()).await {
                Some(Ok(message)) => self.handle(message),
                Some(Err(_)) => break,
                None => {}
            }
            self.advance();
        }
        match self.ownership.header.finished {
            true => directory.close(&self.ownership.job),
            false => directory.remove(&self.ownership.job),
        }
        for reader in self.readers.drain(..) {
            // A reader that has gone needs no answer.
            let _ = reader.reply.send(ReadReply::UseStore);
        }
    }

    fn handle(&mut self, message: JobMessage) {
        match message {
            JobMessage::Read { after, until, reply } => {
                self.readers.push(Reader { after, arrived: Instant::now(), until, reply });
            }
            JobMessage::Item { id, reply } => {
                let found = self.items.find(&id).filter(|(item, _)| !self.log.is_decided(*item));
                let _ = reply.send(found.map(|(_, it)| Arc::clone(it)));
            }
            JobMessage::RunEnded { item, end } => self.run_ended(item, end),
            JobMessage::LogCallAnswered(answer) => self.log_call_answered(&answer),
            JobMessage::HeaderRead(answer) => self.header_answered(&answer),
            // What waits is looked at after each message.
            JobMessage::PermitWanted => {}
            JobMessage::OwnershipChecked(check) => self.ownership_checked(&check),
            JobMessage::HeaderWritten(answer) => self.header_written(&answer),
            JobMessage::Cancel { reply } => {
                let is_over = self.cancel();
                if let Some(reply) = reply {
                    // Whoever has gone needs no answer.
                    let _ = reply.send(is_over);
                }
            }
            JobMessage::HandOver => self.begin_hand_over(),
        }
    }

    /// Does what time and state ask for.
    fn advance(&mut self) {
        let now = Instant::now();
        if self.phase == Phase::Running {
            self.suspend_or_recheck();
            self.start_items();
            self.start_due_retries(now);
            self.save_outputs(now);
            if now >= self.give_up_at {
                self.give_up_remaining();
            }
        }
        self.advance_log(now);
        self.answer_readers(now);
        match self.phase {
            Phase::Running if self.is_complete() => self.close("finished"),
            Phase::HandingOver(until) => self.hand_over(now, until),
            Phase::Retained(until) if now >= until => self.phase = Phase::Done,
            _ => {}
        }
    }

    /// When there is something to do without a message. What cannot be done yet has no time: the message that makes it
    /// possible wakes the task.
    fn next_wakeup(&self) -> Instant {
        let phase = match self.phase {
            Phase::Running => Some(self.give_up_at),
            Phase::HandingOver(until) | Phase::Retained(until) => Some(until),
            Phase::Closing | Phase::Done => None,
        };
        let again = self.retries.iter().map(|(at, _)| *at).min();
        let again = again.filter(|_| self.phase == Phase::Running && !self.suspended);
        let reader = self.readers.iter().map(|it| it.until).min();
        let write_at = self.write_at.filter(|_| self.is_active() && !self.log_call_in_flight);
        let check = (self.phase == Phase::Running).then(|| Instant::now() + STORE_CHECK_INTERVAL);
        let times = [phase, again, reader, write_at, check];
        times.into_iter().flatten().min().unwrap_or_else(|| Instant::now() + NO_DEADLINE)
    }

    fn is_complete(&self) -> bool {
        self.log.standing().len() as u32 == self.items.len()
    }
}
