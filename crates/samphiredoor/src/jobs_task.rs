//! The task that owns the ledger of jobs, and the handles by which others speak to it.

use std::{cell::Cell, collections::HashMap, rc::Rc, time::Duration};

use samphiredoor_core::{
    Name,
    ledger::{
        ItemEnd, ItemRef, ItemWork, JobId, Ledger, LedgerAction, LedgerConfig, LedgerInput, Note,
        Progress,
    },
    store::Version,
    time::Now,
};
use samphiredoor_net::{
    clock::Clock,
    timed_inbox::{InboxEvent, TimedInbox},
};
use samphiredoor_schema::objects::{JobHeader, JobState};

use crate::{config::DoorConfig, metrics::Metrics, peers::Peers, store_client::StoreClient};

const TICK: Duration = Duration::from_millis(100);
const EMPTY_POLL: Duration = Duration::from_millis(20);
/// The margin by which hand-outs stop before the lease ends, as a part of the lease.
const LEASE_MARGIN_PART: u64 = 10;
const MAX_LEASE_MARGIN_MS: u64 = 1_000;

enum Message {
    Input(LedgerInput),
    Progress(JobId, flume::Sender<Option<Progress>>),
    Len(flume::Sender<usize>),
}

/// Handle to the ledger's task.
#[derive(Clone)]
pub struct Jobs {
    messages: flume::Sender<Message>,
    valid_until_ms: Rc<Cell<u64>>,
}

/// Inbox of the ledger's task, before the task starts.
pub struct JobsInbox(flume::Receiver<Message>);

impl Jobs {
    /// Handle and inbox.
    pub fn new() -> (Jobs, JobsInbox) {
        let (messages, inbox) = flume::unbounded();
        (Jobs { messages, valid_until_ms: Rc::default() }, JobsInbox(inbox))
    }

    /// Hands over a job that this process owns.
    pub fn owned(&self, job: JobId, header: Box<JobHeader>, version: Version) {
        self.input(LedgerInput::Owned { job, header, version });
    }

    /// Says until when this process holds its lease, by its monotonic clock; 0 if it is lost.
    pub fn lease(&self, valid_until_ms: u64) {
        self.valid_until_ms.set(valid_until_ms);
        self.input(LedgerInput::Lease { valid_until_ms });
    }

    /// Whether this process holds its lease.
    pub fn lease_held(&self, now: Now) -> bool {
        now.mono_ms < self.valid_until_ms.get()
    }

    /// Says that the lease of a process has lapsed, so that its jobs may be taken.
    pub fn lapsed(&self, process: Name, incarnation: u64) {
        self.input(LedgerInput::LeaseExpired { process, incarnation });
    }

    /// Says which processes hold their leases.
    pub fn live(&self, processes: Vec<Name>) {
        self.input(LedgerInput::Live { processes });
    }

    /// Says that a job, which this process may own, is cancelled.
    pub fn cancel_hint(&self, job: JobId) {
        self.input(LedgerInput::CancelHint { job });
    }

    /// Says that another process has handed a job over.
    pub fn offered(&self, job: JobId) {
        self.input(LedgerInput::Offered { job });
    }

    /// Begins to hand all jobs over.
    pub fn stopping(&self) {
        self.input(LedgerInput::Stopping);
    }

    /// Waits until this process works on no job.
    pub async fn empty(&self) {
        loop {
            let (sender, receiver) = flume::bounded(1);
            let _ = self.messages.send(Message::Len(sender));
            match receiver.recv_async().await {
                Ok(0) | Err(_) => return,
                Ok(_) => compio::time::sleep(EMPTY_POLL).await,
            }
        }
    }

    /// Progress of a job, if this process owns it.
    pub async fn progress(&self, job: &JobId) -> Option<Progress> {
        let (sender, receiver) = flume::bounded(1);
        let _ = self.messages.send(Message::Progress(job.clone(), sender));
        receiver.recv_async().await.ok().flatten()
    }

    fn input(&self, input: LedgerInput) {
        let _ = self.messages.send(Message::Input(input));
    }
}

/// What the ledger's task uses.
pub struct JobsEnv<R> {
    /// How the ledger works.
    pub config: LedgerConfig,
    /// Clock of the process.
    pub clock: Clock,
    /// The task's own handle.
    pub handle: Jobs,
    /// Other doors, which are offered jobs that are handed over.
    pub peers: Peers,
    /// The object API.
    pub store: StoreClient,
    /// Counters.
    pub metrics: Rc<Metrics>,
    /// Runs an item to its end, or until it is told to stop.
    pub run_item: R,
}

/// Runs the ledger until the process ends.
pub async fn run<R, F>(env: JobsEnv<R>, inbox: JobsInbox)
where
    R: Fn(ItemWork, flume::Receiver<()>) -> F,
    F: Future<Output = ItemEnd> + 'static,
{
    let ledger = Ledger::new(env.config.clone());
    Task { env, ledger, stops: HashMap::new(), actions: Vec::new() }.run(inbox).await;
}

/// How the ledger of a process works; `writer` is its name in records.
pub fn ledger_config(config: &DoorConfig, incarnation: u64, writer: Name) -> LedgerConfig {
    let lease_ms = config.lease.as_millis() as u64;
    let renew_ms = config.renew.as_millis() as u64;
    LedgerConfig {
        lease_margin_ms: (lease_ms / LEASE_MARGIN_PART).min(MAX_LEASE_MARGIN_MS),
        orphan_scan_ms: renew_ms,
        free_scan_ms: renew_ms,
        ..LedgerConfig::new(config.name(), incarnation, writer)
    }
}

struct Task<R> {
    env: JobsEnv<R>,
    ledger: Ledger,
    // Runs under way, and how to stop them.
    stops: HashMap<ItemRef, flume::Sender<()>>,
    actions: Vec<LedgerAction>,
}

impl<R, F> Task<R>
where
    R: Fn(ItemWork, flume::Receiver<()>) -> F,
    F: Future<Output = ItemEnd> + 'static,
{
    async fn run(mut self, inbox: JobsInbox) {
        let mut inbox = TimedInbox::new(inbox.0, TICK);
        loop {
            match inbox.next().await {
                InboxEvent::Message(Message::Input(input)) => self.handle(input),
                InboxEvent::Message(Message::Progress(job, reply)) => {
                    let _ = reply.send(self.ledger.progress(&job));
                }
                InboxEvent::Message(Message::Len(reply)) => {
                    let _ = reply.send(self.ledger.jobs().count());
                }
                InboxEvent::Closed => return,
                InboxEvent::Tick => self.handle(LedgerInput::Tick),
            }
        }
    }

    fn handle(&mut self, input: LedgerInput) {
        if let LedgerInput::ItemEnded { item, end } = &input {
            self.stops.remove(item);
            self.env.metrics.item_ended(end_label(end));
        }
        self.ledger.handle(self.env.clock.now(), input, &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            self.act(action);
        }
    }

    fn act(&mut self, action: LedgerAction) {
        match action {
            LedgerAction::Store { call, op } => {
                let handle = self.env.handle.clone();
                self.env.store.spawn_call(op, move |answer| {
                    handle.input(LedgerInput::Stored { call, answer });
                });
            }
            LedgerAction::Run(work) => self.run_item(*work),
            LedgerAction::Stop(item) => {
                if let Some(stop) = self.stops.remove(&item) {
                    let _ = stop.send(());
                }
            }
            LedgerAction::HandedOver(job) => {
                self.env.metrics.job_event("handed_over");
                log::info!("jobs: {job} is handed over");
                self.env.peers.offer_job(job);
            }
            LedgerAction::Note(note) => self.note(&note),
        }
    }

    fn run_item(&mut self, work: ItemWork) {
        let (stop, stopped) = flume::bounded(1);
        self.stops.insert(work.item.clone(), stop);
        let (handle, item) = (self.env.handle.clone(), work.item.clone());
        let running = (self.env.run_item)(work, stopped);
        compio::runtime::spawn(async move {
            let end = running.await;
            handle.input(LedgerInput::ItemEnded { item, end });
        })
        .detach();
    }

    fn note(&self, note: &Note) {
        let metrics = &self.env.metrics;
        match note {
            Note::TakenOver { job, epoch } => {
                metrics.job_event("taken");
                log::info!("jobs: {job} is taken with epoch {epoch}");
            }
            Note::Dropped { job } => {
                metrics.job_event("dropped");
                log::info!("jobs: {job} is dropped, another process has it");
            }
            Note::Closed { job, state } => {
                metrics.job_event(state_label(*state));
                log::info!("jobs: {job} is {}", state_label(*state));
            }
            Note::LeaseExpired => {
                metrics.job_event("lease_over");
                log::warn!("jobs: the lease is over; nothing is run until it is held again");
            }
            Note::Unreadable { key, fault } => {
                metrics.unreadable(*fault);
                log::error!("jobs: {}/{} is refused: {fault}", key.kind.path(), key.name);
            }
        }
    }
}

fn end_label(end: &ItemEnd) -> &'static str {
    match end {
        ItemEnd::Answered { status: 200..=299, .. } => "answered",
        ItemEnd::Answered { .. } => "answered_with_an_error",
        ItemEnd::NotRun { .. } => "not_run",
        ItemEnd::MayHaveRun => "may_have_run",
        ItemEnd::Refused { .. } => "refused",
    }
}

fn state_label(state: JobState) -> &'static str {
    match state {
        JobState::Running => "running",
        JobState::Cancelling => "cancelling",
        JobState::Cancelled => "cancelled",
        JobState::Finished => "finished",
    }
}
