//! The task that owns the ledger of jobs, and the runs of their items.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use futures_util::future::{Either, select};
use hyper::{HeaderMap, Uri, header};
use samphiredoor_core::{
    Name,
    dispatch::{Ask, AttemptEnd, Class},
    ledger::{ItemEnd, ItemRef, ItemWork, JobId, Ledger, LedgerAction, LedgerInput, Progress},
    store::Version,
    verdict::Verdict,
};
use samphiredoor_net::pool::within;
use samphiredoor_schema::objects::JobHeader;

use crate::{
    dispatch_task::{Placement, Ticket},
    item_call::{ITEM_DEADLINE, ItemCall},
    online::passed_headers,
    process::Door,
};

const TICK: Duration = Duration::from_millis(100);

enum Message {
    Input(LedgerInput),
    Progress(JobId, flume::Sender<Option<Progress>>),
}

/// Handle to the ledger's task.
#[derive(Clone)]
pub struct Jobs {
    messages: flume::Sender<Message>,
}

/// Inbox of the ledger's task, before the task starts.
pub struct JobsInbox(flume::Receiver<Message>);

impl Jobs {
    /// Handle and inbox.
    pub fn new() -> (Jobs, JobsInbox) {
        let (messages, inbox) = flume::unbounded();
        (Jobs { messages }, JobsInbox(inbox))
    }

    /// Hands over a job that this process owns.
    pub fn owned(&self, job: JobId, header: Box<JobHeader>, version: Version) {
        self.input(LedgerInput::Owned { job, header, version });
    }

    /// Says until when this process holds its lease, by its monotonic clock; 0 if it is lost.
    pub fn lease(&self, valid_until_ms: u64) {
        self.input(LedgerInput::Lease { valid_until_ms });
    }

    /// Says that the lease of a process has lapsed, so that its jobs may be taken.
    pub fn lapsed(&self, process: Name, incarnation: u64) {
        self.input(LedgerInput::Lapsed { process, incarnation });
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

/// Runs the ledger until the process ends.
pub async fn run(door: Rc<Door>, inbox: JobsInbox) {
    let writer = door.unique_name(&door.config.name);
    let mut ledger = Ledger::new(writer.into());
    let mut actions = Vec::new();
    loop {
        let input = match within(TICK, inbox.0.recv_async()).await {
            Some(Ok(Message::Input(input))) => input,
            Some(Ok(Message::Progress(job, reply))) => {
                let _ = reply.send(ledger.progress(&job));
                continue;
            }
            Some(Err(_)) => return,
            None => LedgerInput::Tick,
        };
        ledger.handle(door.clock.now(), input, &mut actions);
        for action in actions.drain(..) {
            act(&door, action);
        }
    }
}

fn act(door: &Rc<Door>, action: LedgerAction) {
    match action {
        LedgerAction::Store { call, op } => {
            let door = Rc::clone(door);
            compio::runtime::spawn(async move {
                let answer = door.store.call(op).await;
                door.jobs.input(LedgerInput::Stored { call, answer });
            })
            .detach();
        }
        LedgerAction::Run(work) => {
            if let Some(work) = door.batch_window.enter(work) {
                compio::runtime::spawn(run_items(Rc::clone(door), work)).detach();
            }
        }
        LedgerAction::Stop(item) => {
            if door.batch_window.remove(&item) {
                door.jobs.input(LedgerInput::ItemEnded { item, end: ItemEnd::NotRun });
            }
        }
    }
}

async fn run_items(door: Rc<Door>, first: Box<ItemWork>) {
    let mut next = Some(first);
    while let Some(work) = next {
        let item = work.item.clone();
        let end = run_item(&door, *work).await;
        next = door.batch_window.leave(&item.job);
        door.jobs.input(LedgerInput::ItemEnded { item, end });
    }
}

async fn run_item(door: &Rc<Door>, work: ItemWork) -> ItemEnd {
    let started = std::time::Instant::now();
    let Ok(uri) = work.url.parse::<Uri>() else {
        let body = serde_json::json!({ "error": "url is no path" });
        return ItemEnd::Answered { status: 400, body };
    };
    let mut ask = batch_ask(door, &work);
    let mut headers = passed_headers(&HeaderMap::new(), door, ask.request);
    if let Ok(id) = header::HeaderValue::from_str(&item_id(&work.item)) {
        headers.insert(crate::online::REQUEST_ID_HEADER, id);
    }
    headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
    let resumable =
        door.manifest.borrow().services.get(&work.service).is_some_and(|it| it.resumable);
    let call = ItemCall::new(work, uri, headers, resumable);
    ask.body_bytes = call.body_bytes() as u32;
    let mut ticket = door.dispatch.ask(ask);
    loop {
        match ticket.placement().await {
            Placement::Go { address } => match attempt(door, &call, address, &mut ticket).await {
                Some(Ok(end)) => {
                    ticket.ended(AttemptEnd::Done);
                    door.metrics.ended(
                        Class::Batch,
                        Verdict::Done,
                        started.elapsed().as_secs_f64(),
                    );
                    return end;
                }
                Some(Err(end)) => ticket.ended(end),
                None if call.resumes() => ticket.ended(AttemptEnd::Yielded),
                None => {
                    ticket.ended(AttemptEnd::Aborted);
                    return ItemEnd::NotRun;
                }
            },
            Placement::Abort => {}
            Placement::Refused(verdict) => {
                door.metrics.ended(Class::Batch, verdict, 0.0);
                return match verdict {
                    Verdict::MayHaveRun { .. } => ItemEnd::MayHaveRun,
                    Verdict::NotRun { .. } | Verdict::Done => ItemEnd::NotRun,
                };
            }
        }
    }
}

/// One attempt; `None` if it was cut because its slot is wanted back.
async fn attempt(
    door: &Door,
    call: &ItemCall,
    address: SocketAddr,
    ticket: &mut Ticket,
) -> Option<Result<ItemEnd, AttemptEnd>> {
    let exchange = std::pin::pin!(call.attempt(door, address));
    let placement = std::pin::pin!(ticket.placement());
    match select(exchange, placement).await {
        Either::Left((ended, _)) => Some(ended),
        Either::Right(_) => None,
    }
}

fn batch_ask(door: &Door, work: &ItemWork) -> Ask {
    Ask {
        request: door.dispatch.next_request(),
        class: Class::Batch,
        service: Name::clone(&work.service),
        workspace: Name::clone(&work.workspace),
        deadline_ms: door.clock.now().mono_ms + ITEM_DEADLINE.as_millis() as u64,
        repeatable: work.repeatable,
        prefix_hash: 0,
        fingerprint: 0,
        body_bytes: 0,
        job: Name::clone(&work.item.job),
        due_unix_ms: work.due_unix_ms,
    }
}

fn item_id(item: &ItemRef) -> String {
    format!("{}-{:05}-{}", item.job, item.chunk, item.index)
}
