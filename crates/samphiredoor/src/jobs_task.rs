//! Runs the ledger, which works on the batch jobs of this process, in a task of its own; others send messages to it
//! through handles.

use std::{cell::Cell, collections::HashMap, rc::Rc, time::Duration};

use samphiredoor_core::{
    Name,
    ledger::{
        ItemEnd, ItemRef, ItemWork, JobId, Ledger, LedgerAction, LedgerConfig, LedgerInput, Note,
        Progress, state_label,
    },
    store::Version,
    time::Now,
};
use samphiredoor_net::{
    clock::Clock,
    timed_inbox::{InboxEvent, TimedInbox},
};
use samphiredoor_schema::objects::JobHeader;

use crate::{config::DoorConfig, metrics::Metrics, peers::Peers, store_client::StoreClient};

const TICK: Duration = Duration::from_millis(100);
const IDLE_POLL: Duration = Duration::from_millis(20);
/// No item is dispatched in the last part of the lease; this part is the lease divided by this number.
const LEASE_MARGIN_DIVISOR: u64 = 10;
const MAX_LEASE_MARGIN_MS: u64 = 1_000;

enum Message {
    Input(LedgerInput),
    Progress(JobId, flume::Sender<Option<Progress>>),
    Len(flume::Sender<usize>),
}

/// Handle to the task of the ledger.
#[derive(Clone)]
pub struct JobsHandle {
    messages: flume::Sender<Message>,
    valid_until_ms: Rc<Cell<u64>>,
}

/// Inbox that the task reads once it is started.
pub struct JobsInbox(flume::Receiver<Message>);

impl JobsHandle {
    /// Creates a handle and the inbox that it sends to.
    pub fn new() -> (JobsHandle, JobsInbox) {
        let (messages, inbox) = flume::unbounded();
        (JobsHandle { messages, valid_until_ms: Rc::default() }, JobsInbox(inbox))
    }

    /// Adds a newly accepted job, which this process owns.
    pub fn add_owned_job(&self, job: JobId, header: Box<JobHeader>, version: Version) {
        self.input(LedgerInput::Owned { job, header, version });
    }

    /// Sets the time until which this process holds its lease, by its monotonic clock; 0 if the lease is lost.
    pub fn set_lease(&self, valid_until_ms: u64) {
        self.valid_until_ms.set(valid_until_ms);
        self.input(LedgerInput::Lease { valid_until_ms });
    }

    /// Whether this process holds its lease.
    pub fn lease_held(&self, now: Now) -> bool {
        now.mono_ms < self.valid_until_ms.get()
    }

    /// Reports that the lease of a process has expired, so that its jobs may be taken over.
    pub fn lease_expired(&self, process: Name, incarnation: u64) {
        self.input(LedgerInput::LeaseExpired { process, incarnation });
    }

    /// Reports which processes are live members.
    pub fn set_live_processes(&self, processes: Vec<Name>) {
        self.input(LedgerInput::Live { processes });
    }

    /// Reports that a job, which this process may own, is cancelled.
    pub fn cancel_hint(&self, job: JobId) {
        self.input(LedgerInput::CancelHint { job });
    }

    /// Reports that another process has handed over a job, which this process may take over.
    pub fn job_handed_over(&self, job: JobId) {
        self.input(LedgerInput::Offered { job });
    }

    /// Starts to hand over all jobs, for a graceful shutdown.
    pub fn begin_handover(&self) {
        self.input(LedgerInput::Stopping);
    }

    /// Waits until this process owns no job.
    pub async fn wait_until_idle(&self) {
        loop {
            let (sender, receiver) = flume::bounded(1);
            let _ = self.messages.send(Message::Len(sender));
            match receiver.recv_async().await {
                Ok(0) | Err(_) => return,
                Ok(_) => compio::time::sleep(IDLE_POLL).await,
            }
        }
    }

    /// Numbers of completed and failed items of a job, if this process owns it.
    pub async fn progress(&self, job: &JobId) -> Option<Progress> {
        let (sender, receiver) = flume::bounded(1);
        let _ = self.messages.send(Message::Progress(job.clone(), sender));
        receiver.recv_async().await.ok().flatten()
    }

    fn input(&self, input: LedgerInput) {
        let _ = self.messages.send(Message::Input(input));
    }
}

/// Configuration and handles that the task uses.
pub struct JobsEnv<R> {
    /// Limits and intervals of the ledger.
    pub config: LedgerConfig,
    /// Clock of the process.
    pub clock: Clock,
    /// Handle to this task, which receives the store's answers and the ends of items.
    pub handle: JobsHandle,
    /// Peers, which jobs are handed over to.
    pub peers: Peers,
    /// Client of the object store.
    pub store: StoreClient,
    /// Metrics of the process.
    pub metrics: Rc<Metrics>,
    /// Runs an item until it ends or a message arrives at the receiver, which stops it.
    pub run_item: R,
}

/// Handles messages until the process ends.
pub async fn run<R, F>(env: JobsEnv<R>, inbox: JobsInbox)
where
    R: Fn(ItemWork, flume::Receiver<()>) -> F,
    F: Future<Output = ItemEnd> + 'static,
{
    let ledger = Ledger::new(env.config.clone());
    Task { env, ledger, stop_senders: HashMap::new(), actions: Vec::new() }.run(inbox).await;
}

/// Configuration of this process's ledger; `writer` is its name in stored records.
pub fn ledger_config(config: &DoorConfig, incarnation: u64, writer: Name) -> LedgerConfig {
    let lease_ms = config.lease.as_millis() as u64;
    let renew_ms = config.renew.as_millis() as u64;
    LedgerConfig {
        lease_margin_ms: (lease_ms / LEASE_MARGIN_DIVISOR).min(MAX_LEASE_MARGIN_MS),
        orphan_scan_ms: renew_ms,
        free_scan_ms: renew_ms,
        ..LedgerConfig::new(config.name(), incarnation, writer)
    }
}

struct Task<R> {
    env: JobsEnv<R>,
    ledger: Ledger,
    /// Senders that stop running items.
    stop_senders: HashMap<ItemRef, flume::Sender<()>>,
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
            self.stop_senders.remove(item);
            self.env.metrics.count_item_end(end_label(end));
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
                if let Some(stop) = self.stop_senders.remove(&item) {
                    let _ = stop.send(());
                }
            }
            LedgerAction::HandedOver(job) => {
                self.env.metrics.count_job_event("handed_over");
                log::info!("jobs: {job} handed over");
                self.env.peers.offer_job(job);
            }
            LedgerAction::Note(note) => self.note(&note),
        }
    }

    fn run_item(&mut self, work: ItemWork) {
        let (stop, stopped) = flume::bounded(1);
        self.stop_senders.insert(work.item.clone(), stop);
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
                metrics.count_job_event("taken");
                log::info!("jobs: {job} taken over with epoch {epoch}");
            }
            Note::Dropped { job } => {
                metrics.count_job_event("dropped");
                log::info!("jobs: {job} dropped, another process owns it");
            }
            Note::Closed { job, state } => {
                metrics.count_job_event(state_label(*state));
                log::info!("jobs: {job} is {}", state_label(*state));
            }
            Note::LeaseExpired => {
                metrics.count_job_event("lease_over");
                log::warn!("jobs: the lease has expired; no items are run until it is renewed");
            }
            Note::Unreadable { key, fault } => {
                metrics.count_unreadable(*fault);
                log::error!("jobs: {}/{} is unreadable: {fault}", key.kind.path(), key.name);
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
