//! The task that owns the ledger of jobs, and the runs of their items.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use hyper::{HeaderMap, Method, header};
use samphiredoor_core::{
    Name,
    dispatch::{Ask, AttemptEnd, Class},
    ledger::{ItemEnd, ItemRef, ItemWork, JobId, Ledger, LedgerAction, LedgerInput, Progress},
    store::Version,
    verdict::{Doubt, Verdict},
};
use samphiredoor_net::{
    body::read_whole,
    pool::{SendError, within},
};
use samphiredoor_schema::objects::JobHeader;

use crate::{dispatch_task::Placement, online::passed_headers, process::Door, targets::Call};

const TICK: Duration = Duration::from_millis(100);
const ITEM_DEADLINE: Duration = Duration::from_secs(600);
const MAX_RESULT_BYTES: usize = 512 * 1024;

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
    let request = door.dispatch.next_request();
    let Ok(uri) = work.url.parse() else {
        let body = serde_json::json!({ "error": "url is no path" });
        return ItemEnd::Answered { status: 400, body };
    };
    let body: Bytes = work.body.to_string().into();
    let mut headers = passed_headers(&HeaderMap::new(), door, request);
    if let Ok(id) = header::HeaderValue::from_str(&item_id(&work.item)) {
        headers.insert(crate::online::REQUEST_ID_HEADER, id);
    }
    headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
    let ask = batch_ask(door, &work, request, &body);
    let call = Call { method: Method::POST, uri, headers, body };
    let mut ticket = door.dispatch.ask(ask);
    loop {
        match ticket.placement().await {
            Placement::Go { address } => {
                let exchange = exchange(door, address, &call);
                let mut exchange = std::pin::pin!(exchange);
                let ended = {
                    let placement = std::pin::pin!(ticket.placement());
                    match futures_util::future::select(exchange.as_mut(), placement).await {
                        futures_util::future::Either::Left((ended, _)) => Some(ended),
                        futures_util::future::Either::Right(_) => None,
                    }
                };
                match ended {
                    Some(Ok(end)) => {
                        ticket.ended(AttemptEnd::Done);
                        let elapsed_s = started.elapsed().as_secs_f64();
                        door.metrics.ended(Class::Batch, Verdict::Done, elapsed_s);
                        return end;
                    }
                    Some(Err(end)) => ticket.ended(end),
                    None => {
                        ticket.ended(AttemptEnd::Aborted);
                        return ItemEnd::NotRun;
                    }
                }
            }
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

fn batch_ask(
    door: &Door,
    work: &ItemWork,
    request: samphiredoor_core::dispatch::RequestId,
    body: &Bytes,
) -> Ask {
    Ask {
        request,
        class: Class::Batch,
        service: Name::clone(&work.service),
        workspace: Name::clone(&work.workspace),
        deadline_ms: door.clock.now().mono_ms + ITEM_DEADLINE.as_millis() as u64,
        repeatable: work.repeatable,
        prefix_hash: 0,
        fingerprint: 0,
        body_bytes: body.len() as u32,
        job: Name::clone(&work.item.job),
        due_unix_ms: work.due_unix_ms,
    }
}

async fn exchange(
    door: &Door,
    address: std::net::SocketAddr,
    call: &Call,
) -> Result<ItemEnd, AttemptEnd> {
    let answered = within(ITEM_DEADLINE, async {
        let response = door.targets.send(address, call).await.map_err(|err| match err {
            SendError::NotSent(_) => AttemptEnd::NotSent,
            SendError::MayHaveRun(_) => AttemptEnd::Lost(Doubt::ConnectionLost),
        })?;
        let status = response.status().as_u16();
        let body = read_whole(response.into_body(), MAX_RESULT_BYTES).await;
        let body = body.map_err(|_| AttemptEnd::Lost(Doubt::AnswerCut))?;
        let text = || serde_json::Value::String(String::from_utf8_lossy(&body).into_owned());
        let body = serde_json::from_slice(&body).unwrap_or_else(|_| text());
        Ok(ItemEnd::Answered { status, body })
    });
    answered.await.unwrap_or(Err(AttemptEnd::Lost(Doubt::DeadlinePassed)))
}

fn item_id(item: &ItemRef) -> String {
    format!("{}-{:05}-{}", item.job, item.chunk, item.index)
}
