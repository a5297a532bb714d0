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
    JobEnv, clearance::Clearance, directory::Directory, item_run::SharedOutput, stored::Unread,
    submit::until,
};
use crate::platform_api::ResultsPage;

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
    /// Gaps of this process before the header was written.
    pub gaps: u64,
    /// Whether its end need not be looked for: nobody else has heard of the job.
    pub is_new: bool,
}

/// What the store has of a job after a gap.
pub struct Look {
    /// Gaps of this process before it was asked.
    gaps: u64,
    /// Answer to the read of the header; `None` if it is known.
    header: Option<StoreAnswer>,
    /// Whether the job is ended.
    ended: Result<bool, Unread>,
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
    /// An item waits until it may be sent.
    Held,
    /// The store was asked whether items may be sent.
    Looked(Look),
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
    /// When outputs were last given to the log.
    kept_at: Instant,
    give_up_at: Instant,
    due_at_ms: u64,
    started: bool,
    /// When the task began.
    began: Instant,
    /// Whether others may have taken the job while this process alone missed the store.
    displaced: bool,
    /// Whether runs are held back until it is known whose the job is.
    suspended: bool,
    /// Calls of the log in a row that got no usable answer.
    failures: u32,
    /// Whether items may be sent.
    clearance: Rc<Clearance>,
    /// Whether the store is being asked for that.
    looking: bool,
    /// Earliest next time, after an answer that was of no use.
    look_at: Instant,
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
        let given = owned.is_new.then_some(owned.gaps);
        let (gaps, health) = (env.liveness_gaps.clone(), env.health.clone());
        let clearance = Rc::new(Clearance::new(gaps, health, messages.clone(), given));
        JobTask {
            clearance,
            began: Instant::now(),
            displaced: false,
            suspended: false,
            failures: 0,
            looking: false,
            look_at: Instant::now(),
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
            kept_at: Instant::now(),
            give_up_at,
            due_at_ms,
            started: false,
        }
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
                let found = self.items.find(&id).filter(|(item, _)| !self.log.has_result(*item));
                let _ = reply.send(found.map(|(_, it)| Arc::clone(it)));
            }
            JobMessage::RunEnded { item, end } => self.run_ended(item, end),
            JobMessage::Stored(answer) => self.stored(&answer),
            JobMessage::Header(answer) => self.header_read(&answer),
            // What waits is looked at after each message.
            JobMessage::Held => {}
            JobMessage::Looked(look) => self.looked(&look),
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
            self.hold_or_look();
            self.start_items();
            self.run_again(now);
            self.keep_outputs(now);
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
        self.log.committed().len() as u32 == self.items.len()
    }
}
