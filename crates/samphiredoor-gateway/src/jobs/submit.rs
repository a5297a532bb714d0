//! From a submission to a durable job.
//!
//! The parts of the submission are written under names of its content, and the header beside them: when all of them stand,
//! the job is accepted. A submission that comes again finds what stands and is told the same.

use std::{
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::future::{Either, join, select};
use hyper::{Response, StatusCode};
use samphiredoor_core::{
    ordered::{Item, Items, JobHeader, JobName, ResultLog, cut_parts, header_key, part_key},
    routes::BatchRule,
    store::{Labels, StoreAnswer, StoreOp, Version},
    verdict::{Doubt, Refusal},
};
use samphiredoor_net::{Body, pool::within};

use super::{
    JobEnv, STORE_ATTEMPTS, STORE_RETRY_PAUSE,
    directory::Directory,
    job_task::{JobOwnership, JobTask},
    pass_on::pass_on,
};
use crate::front::{plain, refused};

/// Jobs that one process works on at once; beyond it submissions are refused, as their items would not run in time.
const MAX_OPEN_JOBS: usize = 400;
/// How long the store alone is waited for. It answers in a few milliseconds, and a slow one within some 300 ms; another
/// gateway that it answers accepts the submission well within the callers' objective of 400 ms then.
const FORWARD_DELAY: Duration = Duration::from_millis(200);
/// When to come back after a refusal.
const RETRY_AFTER_MS: u64 = 300;
/// Longest digest that names the parts; 64 bits tell two submissions under one name apart.
const DIGEST_CHARS: usize = 16;

/// A submission as it was read.
pub struct Submitted {
    /// Name of the job.
    pub job: JobName,
    /// Host that the caller named.
    pub host: String,
    /// Path that the caller named.
    pub path: String,
    /// Times of its route.
    pub rule: BatchRule,
    /// Failures at targets that its route allows for an item.
    pub attempts: u32,
    /// Version of the routes by which it was read.
    pub routes_version: u64,
    /// Whole body.
    pub body: Bytes,
}

/// What became of an acceptance.
enum Acceptance {
    /// The header stands, in this version, and is ours.
    New(Version),
    /// The job was accepted before.
    Earlier(JobHeader),
    /// Nothing of the job stands that this attempt could have accepted.
    NotAccepted,
    /// The header may stand.
    Unknown,
}

/// Which gateways may accept a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acceptors {
    /// Another one, if the store does not answer this process.
    Any,
    /// Only this one: the submission was passed on to it.
    ThisOne,
}

/// How a submission ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmissionOutcome {
    /// The job stands.
    Accepted,
    /// Another job has its name.
    Conflict,
    /// No gateway has accepted it, and none will.
    Refused,
    /// It may have been accepted.
    Perhaps,
}

impl SubmissionOutcome {
    /// End of a submission that two gateways tried to accept.
    fn merge(self, other: SubmissionOutcome) -> SubmissionOutcome {
        use SubmissionOutcome::{Accepted, Conflict, Perhaps, Refused};
        match (self, other) {
            (Accepted, _) | (_, Accepted) => Accepted,
            (Conflict, _) | (_, Conflict) => Conflict,
            (Refused, Refused) => Refused,
            _ => Perhaps,
        }
    }
}

/// Accepts a submission, and starts to work on it.
pub async fn submit(
    env: &Rc<JobEnv>,
    directory: &Directory,
    submitted: Submitted,
    acceptors: Acceptors,
) -> Response<Body> {
    if directory.has(&submitted.job) {
        return accepted();
    }
    let items = match env.platform.dialect.submission(&submitted.body) {
        Ok(items) => items,
        Err(problem) => {
            log::info!(job = &*submitted.job, problem; "job: submission cannot be read");
            return plain(StatusCode::BAD_REQUEST, &problem);
        }
    };
    if env.stopping.get() || directory.len() >= MAX_OPEN_JOBS {
        let reason = if env.stopping.get() { Refusal::Stopping } else { Refusal::Overloaded };
        return refuse(env, &submitted.job, reason);
    }
    let submitted = Rc::new(submitted);
    let end = match acceptors {
        Acceptors::ThisOne => accept_locally(env, directory, &submitted, items).await,
        Acceptors::Any => accept_or_forward(env, directory, &submitted, items).await,
    };
    match end {
        SubmissionOutcome::Accepted => accepted(),
        SubmissionOutcome::Conflict => plain(StatusCode::CONFLICT, "another job has this id"),
        SubmissionOutcome::Refused => refuse(env, &submitted.job, Refusal::StoreUnavailable),
        SubmissionOutcome::Perhaps => {
            log::warn!(job = &*submitted.job; "job: acceptance in doubt");
            plain(StatusCode::GATEWAY_TIMEOUT, Doubt::StoreAnswerLost.label())
        }
    }
}

/// Accepts a submission here, or at another gateway if the store does not answer this one in time.
async fn accept_or_forward(
    env: &Rc<JobEnv>,
    directory: &Directory,
    submitted: &Rc<Submitted>,
    items: Vec<Item>,
) -> SubmissionOutcome {
    if env.health.is_lost() {
        match pass_on(env, submitted).await {
            SubmissionOutcome::Refused => {}
            end => return end,
        }
    }
    let mut here = pin!(accept_locally(env, directory, submitted, items));
    if let Some(end) = within(FORWARD_DELAY, &mut here).await {
        return end;
    }
    let elsewhere = pin!(pass_on(env, submitted));
    match select(here, elsewhere).await {
        Either::Left((SubmissionOutcome::Accepted, _))
        | Either::Right((SubmissionOutcome::Accepted, _)) => SubmissionOutcome::Accepted,
        Either::Left((end, elsewhere)) => end.merge(elsewhere.await),
        Either::Right((end, here)) => end.merge(here.await),
    }
}

/// Accepts a submission here. Goes on when its caller no longer waits: the job may stand by then, and somebody has to
/// work on it.
async fn accept_locally(
    env: &Rc<JobEnv>,
    directory: &Directory,
    submitted: &Rc<Submitted>,
    items: Vec<Item>,
) -> SubmissionOutcome {
    let (sender, ended) = flume::bounded(1);
    let (env, directory) = (Rc::clone(env), directory.clone());
    let submitted = Rc::clone(submitted);
    compio::runtime::spawn(async move {
        let (began, gaps) = (Instant::now(), env.gaps.count());
        let header = new_header(&env, &submitted, items.len());
        let end = match accept(&env, &submitted, &header).await {
            Acceptance::New(version) => {
                let job = JobName::clone(&submitted.job);
                let elapsed_ms = began.elapsed().as_millis() as u64;
                log::info!(job = &*job, items = items.len(), elapsed_ms; "job: accepted");
                // After that time another gateway may have told the caller, who may have ended the job there.
                let is_new = began.elapsed() < FORWARD_DELAY;
                start(&env, &directory, JobOwnership { job, header, version, gaps, is_new }, items);
                SubmissionOutcome::Accepted
            }
            Acceptance::Earlier(found) if found.digest == header.digest => {
                SubmissionOutcome::Accepted
            }
            Acceptance::Earlier(_) => SubmissionOutcome::Conflict,
            Acceptance::NotAccepted => SubmissionOutcome::Refused,
            Acceptance::Unknown => SubmissionOutcome::Perhaps,
        };
        // The caller may have been told by another gateway.
        let _ = sender.send(end);
    })
    .detach();
    ended.recv_async().await.unwrap_or(SubmissionOutcome::Perhaps)
}

fn accepted() -> Response<Body> {
    plain(StatusCode::ACCEPTED, "accepted")
}

fn refuse(env: &JobEnv, job: &str, reason: Refusal) -> Response<Body> {
    log::info!(job, reason:% = reason; "job: refused");
    env.metrics.refused(reason);
    refused(reason, RETRY_AFTER_MS)
}

fn new_header(env: &JobEnv, submitted: &Submitted, items: usize) -> JobHeader {
    let now_ms = env.clock.now().unix_ms;
    let mut digest = blake3::hash(&submitted.body).to_hex().to_string();
    digest.truncate(DIGEST_CHARS);
    let parts = submitted.body.len().div_ceil(samphiredoor_core::ordered::PART_BYTES);
    JobHeader {
        format: JobHeader::FORMAT,
        host: submitted.host.clone(),
        path: submitted.path.clone(),
        items: items as u32,
        parts: parts as u32,
        digest,
        routes_version: submitted.routes_version,
        attempts: submitted.attempts,
        accepted_unix_ms: now_ms,
        due_unix_ms: now_ms + submitted.rule.due_ms,
        give_up_unix_ms: now_ms + submitted.rule.give_up_ms,
        owner: env.owner(),
        finished: false,
        former: None,
    }
}

/// Writes parts and header at once: the job is accepted when all of them stand. A header without its parts is in doubt, as
/// the parts may come with the next sending.
async fn accept(env: &JobEnv, submitted: &Submitted, header: &JobHeader) -> Acceptance {
    let parts = create_parts(env, submitted, header);
    match join(create_header(env, &submitted.job, header), parts).await {
        (Acceptance::NotAccepted, _) => Acceptance::NotAccepted,
        (_, false) => Acceptance::Unknown,
        (accepted, true) => accepted,
    }
}

/// Writes the parts; says whether all of them stand.
async fn create_parts(env: &JobEnv, submitted: &Submitted, header: &JobHeader) -> bool {
    // Read as JSON before, so it is text.
    let text = String::from_utf8_lossy(&submitted.body);
    for (part, value) in cut_parts(&text).into_iter().enumerate() {
        let key = part_key(&submitted.job, &header.digest, part as u32);
        let create = StoreOp::Create { key, labels: Labels::new(), value };
        if !env.create_idempotent(create).await {
            return false;
        }
    }
    true
}

async fn create_header(env: &JobEnv, job: &JobName, header: &JobHeader) -> Acceptance {
    let mut doubtful = false;
    for _ in 0..STORE_ATTEMPTS {
        let (key, value) = (header_key(job), header.value());
        match env.call(StoreOp::Create { key, labels: Labels::new(), value }).await {
            StoreAnswer::Object(stored) => return Acceptance::New(stored.version),
            StoreAnswer::Taken | StoreAnswer::Unknown => {
                doubtful = true;
                if let Some(accepted) = existing_header(env, job, header).await {
                    return accepted;
                }
            }
            _ => {}
        }
        compio::time::sleep(STORE_RETRY_PAUSE).await;
    }
    if doubtful { Acceptance::Unknown } else { Acceptance::NotAccepted }
}

/// Reads the header that stands, if it can be read: an earlier call of this process whose answer was lost may have
/// written it.
async fn existing_header(env: &JobEnv, job: &JobName, header: &JobHeader) -> Option<Acceptance> {
    let (found, version) = env.current_header(job).await.ok()?;
    Some(if found == *header { Acceptance::New(version) } else { Acceptance::Earlier(found) })
}

fn start(env: &Rc<JobEnv>, directory: &Directory, owned: JobOwnership, items: Vec<Item>) {
    let Some((messages, inbox)) = directory.open(&owned.job) else { return };
    env.metrics.job("accepted");
    env.announce_ownership(&owned.job, owned.header.items);
    let log = ResultLog::new(JobName::clone(&owned.job));
    let items = Items::new(items, owned.header.attempts);
    let task = JobTask::new(Rc::clone(env), owned, items, log, messages);
    let directory = directory.clone();
    compio::runtime::spawn(task.run(inbox, directory)).detach();
}

/// Time from now to a wall-clock time.
pub fn duration_until(env: &JobEnv, unix_ms: u64) -> Duration {
    Duration::from_millis(unix_ms.saturating_sub(env.clock.now().unix_ms))
}
