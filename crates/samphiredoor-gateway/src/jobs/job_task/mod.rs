//! The task that owns one job: it runs the items, appends their results to the log, and answers readers.
//!
//! Correctness rests only on the conditional creates of the log's segments. The task runs items while this process is
//! the owner as far as it can tell; if it no longer is, items are run twice but no result is recorded twice.
//!
//! `runs` handles the runs of items, `results` the log and its readers, and `ending` the ways in which a job leaves
//! this process.

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
    ordered::{Item, ItemEnd, Items, JobHeader, JobName, LogCall, LogEnd, Reader, ResultLog},
    store::{StoreAnswer, Version},
};
use samphiredoor_net::pool::within;

pub use results::page_of;

use super::{
    JobEnv, directory::Directory, item_output::SharedOutput, send_permit::SendPermit,
    stored::ReadError, submit::duration_until,
};
use crate::{
    buffers::{HeldMemory, HeldOutput},
    platform_api::ResultsPage,
};

/// Interval at which a running job checks whether this process is isolated from the store.
const STORE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum wait for a message. A wait of zero does not yield to other tasks, so that a wakeup time in the past would
/// block the whole process.
const MIN_WAIT: Duration = Duration::from_millis(1);
/// Offset of times that mean never.
const FAR_FUTURE: Duration = Duration::from_secs(3_600);

/// A job that this process owns.
pub struct JobOwnership {
    /// Job that is owned.
    pub job: JobName,
    /// Last written header, with this process as the owner.
    pub header: JobHeader,
    /// Version of that header in the store.
    pub version: Version,
    /// Number of liveness gaps before the header was written.
    pub gap_count: u64,
    /// Time before the header was written.
    pub written_after: Instant,
    /// Whether no caller can have cancelled the job yet, because no gateway has reported it as accepted.
    pub is_new: bool,
}

/// Result of reading from the store whether this process still owns a job and may run it.
pub struct OwnershipCheck {
    /// Number of liveness gaps before the store was read.
    gap_count: u64,
    /// Time before the store was read.
    sent_at: Instant,
    /// Answer to the read of the header; `None` if there was no gap since this process wrote it.
    header: Option<StoreAnswer>,
    /// Whether the caller has cancelled the job.
    cancelled: Result<bool, ReadError>,
}

/// Message to a job's task.
pub enum JobMessage {
    /// Reads results.
    Read {
        /// Number of results that the reader already has.
        after: usize,
        /// When to answer even if there is no further result.
        until: Instant,
        /// Receives the answer.
        reply: flume::Sender<ReadReply>,
    },
    /// Reads an item as it was submitted, unless its result is committed.
    Item {
        /// Id of the item.
        id: String,
        /// Receives the item, or `None`.
        reply: flume::Sender<Option<Arc<Item>>>,
    },
    /// A run of an item ended.
    RunEnded {
        /// Index of the item.
        item: u32,
        /// Outcome of the run.
        end: ItemEnd,
    },
    /// The store has answered the log's call.
    LogCallAnswered(StoreAnswer),
    /// The header was read to find out whether this process still owns the job.
    HeaderRead(StoreAnswer),
    /// An item waits for the permit to be sent.
    PermitWanted,
    /// The store was read to decide whether items may be sent.
    OwnershipChecked(OwnershipCheck),
    /// The store has answered the last write of the header.
    HeaderWritten(StoreAnswer),
    /// The caller has cancelled the job.
    Cancel {
        /// Receives whether the job runs neither here nor at a process that this one hands it over to.
        reply: Option<flume::Sender<bool>>,
    },
    /// A graceful shutdown has begun.
    HandOver,
}

/// Answer to a reader.
pub enum ReadReply {
    /// Results, or none if the wait was over.
    Page(ResultsPage),
    /// The results here may be outdated or the job has left this process; read the store.
    UseStore,
    /// The results here may be outdated, and the store does not answer this process.
    Unsure,
}

struct WaitingReader {
    read: Reader,
    until: Instant,
    reply: flume::Sender<ReadReply>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The items are run.
    Running,
    /// No items run. Pending results are written, and the job is handed over at the given time at the earliest.
    HandingOver(Instant),
    /// The job is finished, cancelled or handed over, and the header is being written.
    Closing,
    /// The job is finished or cancelled; readers are answered from memory until the given time.
    Retained(Instant),
    /// The task ends at its next step.
    Done,
}

/// State of the task of one job.
pub struct JobTask {
    env: Rc<JobEnv>,
    ownership: JobOwnership,
    items: Items,
    /// Memory of the items.
    memory: Option<HeldMemory>,
    log: ResultLog,
    messages: flume::Sender<JobMessage>,
    runs: HashMap<u32, JoinHandle<()>>,
    outputs: HashMap<u32, SharedOutput>,
    /// Accounts of the results that are not stored yet.
    unstored: HashMap<u32, HeldOutput>,
    /// Account of the partial outputs that are being saved, which are copies.
    saving: Option<HeldOutput>,
    /// Items that are to be run again, and when.
    retries: Vec<(Instant, u32)>,
    readers: Vec<WaitingReader>,
    phase: Phase,
    /// Call of the log that is under way.
    log_call: Option<LogCall>,
    /// When the log takes its next step; `None` if no write or retry is pending.
    write_at: Option<Instant>,
    /// When partial outputs were last passed to the log.
    saved_at: Instant,
    give_up_at: Instant,
    due_at_ms: u64,
    /// Whether runs of all items without a result were started.
    items_started: bool,
    /// Whether runs are stopped until the store confirms that this process owns the job.
    suspended: bool,
    /// Consecutive store calls without a usable answer, for the retry backoff.
    store_failures: u32,
    /// Permit to send items, shared with their runs.
    permit: Rc<SendPermit>,
    /// Whether the store is being read to grant the permit.
    checking: bool,
    /// Earliest time of the next such read, after one without a usable answer.
    next_check_at: Instant,
    /// Number of liveness gaps before the last read or write of the header that named this process as the owner. After a
    /// further gap nothing is appended until the header is read again: other owners answer readers from memory.
    owned_at_gap_count: u64,
    /// Time before that read or write.
    owned_at: Instant,
    /// Whether the header is written that marks the job as finished, so that no process can take it over any more.
    finish_written: bool,
    /// What is known of the end of the log, for readers that wait for more results.
    log_end: LogEnd,
    /// Earliest time of the next read for segments of other processes.
    next_reread_at: Instant,
}

impl JobTask {
    /// Starts the task of a job that this process owns, and announces that; `false` if the job has a task here already.
    pub fn start(
        env: &Rc<JobEnv>,
        directory: &Directory,
        ownership: JobOwnership,
        items: Items,
        log: ResultLog,
        memory: HeldMemory,
    ) -> bool {
        let Some((messages, inbox)) = directory.open(&ownership.job) else { return false };
        env.announce_ownership(&ownership.job, ownership.header.items);
        let log = log.with_writer(env.owner());
        let task = JobTask::new(Rc::clone(env), ownership, items, log, messages);
        compio::runtime::spawn(task.with_memory(memory).run(inbox, directory.clone())).detach();
        true
    }

    /// Creates the task of a job; `messages` sends to its own inbox.
    fn new(
        env: Rc<JobEnv>,
        ownership: JobOwnership,
        items: Items,
        log: ResultLog,
        messages: flume::Sender<JobMessage>,
    ) -> JobTask {
        let give_up_at = Instant::now() + duration_until(&env, ownership.header.give_up_unix_ms);
        let due_in = duration_until(&env, ownership.header.due_unix_ms).as_millis() as u64;
        let due_at_ms = env.clock.now().mono_ms + due_in;
        let granted = ownership.is_new.then_some(ownership.gap_count);
        let (gaps, health) = (env.liveness_gaps.clone(), env.health.clone());
        let permit = Rc::new(SendPermit::new(gaps, health, messages.clone(), granted));
        let log_end = match log.is_caught_up() {
            true => LogEnd::of_new_job(),
            false => {
                let has_former = ownership.header.formers().next().is_some();
                LogEnd::unread(env.clock.now().mono_ms, has_former)
            }
        };
        JobTask {
            permit,
            suspended: false,
            store_failures: 0,
            checking: false,
            next_check_at: Instant::now(),
            owned_at_gap_count: ownership.gap_count,
            owned_at: ownership.written_after,
            finish_written: false,
            log_end,
            next_reread_at: Instant::now(),
            env,
            ownership,
            items,
            memory: None,
            log,
            messages,
            runs: HashMap::new(),
            outputs: HashMap::new(),
            unstored: HashMap::new(),
            saving: None,
            retries: Vec::new(),
            readers: Vec::new(),
            phase: Phase::Running,
            log_call: None,
            write_at: None,
            saved_at: Instant::now(),
            give_up_at,
            due_at_ms,
            items_started: false,
        }
    }

    /// Holds the memory of the items until none is run any more.
    fn with_memory(self, memory: HeldMemory) -> JobTask {
        JobTask { memory: Some(memory), ..self }
    }

    /// Runs the task until the job is finished and no longer retained, handed over, or owned by another process.
    async fn run(mut self, inbox: flume::Receiver<JobMessage>, directory: Directory) {
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
            // Fails if the reader has disconnected.
            let _ = reader.reply.send(ReadReply::UseStore);
        }
    }

    fn handle(&mut self, message: JobMessage) {
        match message {
            JobMessage::Read { after, until, reply } => {
                let arrived_ms = self.env.clock.now().mono_ms;
                let read = Reader { after, arrived_ms };
                self.note_reader(&read);
                self.readers.push(WaitingReader { read, until, reply });
            }
            JobMessage::Item { id, reply } => {
                let found = self.items.find(&id).filter(|(item, _)| !self.log.has_result(*item));
                let is_dropped = matches!(self.phase, Phase::Retained(_));
                // Without a reply the store is asked, which still has the item.
                if found.is_none() || !is_dropped {
                    let _ = reply.send(found.map(|(_, it)| Arc::clone(it)));
                }
            }
            JobMessage::RunEnded { item, end } => self.run_ended(item, end),
            JobMessage::LogCallAnswered(answer) => self.log_call_answered(&answer),
            JobMessage::HeaderRead(answer) => self.header_answered(&answer),
            // Handled by `advance`, which runs after each message.
            JobMessage::PermitWanted => {}
            JobMessage::OwnershipChecked(check) => self.ownership_checked(&check),
            JobMessage::HeaderWritten(answer) => self.header_written(&answer),
            JobMessage::Cancel { reply } => {
                let is_over = self.cancel();
                if let Some(reply) = reply {
                    // Fails if the sender of the message no longer waits.
                    let _ = reply.send(is_over);
                }
            }
            JobMessage::HandOver => self.begin_handover(),
        }
    }

    /// Takes all steps that are due in the current state.
    fn advance(&mut self) {
        let now = Instant::now();
        if self.phase == Phase::Running {
            self.suspend_if_isolated();
        }
        if self.is_active() {
            self.recheck_ownership(now);
        }
        if self.phase == Phase::Running {
            self.start_items(now);
            self.start_due_retries(now);
            self.save_outputs(now);
            if now >= self.give_up_at {
                self.give_up_remaining();
            }
        }
        self.update_log_end();
        self.advance_log(now);
        self.answer_readers(now);
        self.reread_log(now);
        match self.phase {
            Phase::Running if self.is_complete() => self.close("finished"),
            Phase::HandingOver(until) => self.hand_over(now, until),
            Phase::Retained(until) if now >= until => self.phase = Phase::Done,
            _ => {}
        }
    }

    /// Time of the next step that needs no message. Steps that cannot be taken yet are left out, as the message that
    /// enables them also wakes the task.
    fn next_wakeup(&self) -> Instant {
        let phase = match self.phase {
            Phase::Running => Some(self.give_up_at),
            Phase::HandingOver(until) | Phase::Retained(until) => Some(until),
            Phase::Closing | Phase::Done => None,
        };
        let retry =
            self.next_retry_at().filter(|_| self.phase == Phase::Running && !self.suspended);
        let reader = self.readers.iter().map(|it| self.waits_until(it)).min();
        let log_step_at = self.log_step_at(Instant::now());
        let reread_at = self.reread_at();
        let check = (self.phase == Phase::Running).then(|| Instant::now() + STORE_CHECK_INTERVAL);
        let times = [phase, retry, reader, log_step_at, reread_at, check];
        times.into_iter().flatten().min().unwrap_or_else(|| Instant::now() + FAR_FUTURE)
    }

    fn is_complete(&self) -> bool {
        self.log.committed().len() as u32 == self.items.len()
    }
}
