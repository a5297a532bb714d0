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
    ordered::{Item, Items, JobHeader, JobName, ResultLog, header_key, part_key, split_into_parts},
    routes::BatchTimes,
    store::{Labels, StoreAnswer, StoreOp, Version},
    verdict::{MayHaveRunReason, Refusal},
};
use samphiredoor_net::{Body, pool::within};

use super::{
    JobEnv, STORE_PAUSE, STORE_TRIES,
    directory::Directory,
    forward::forward,
    job_task::{JobTask, OwnedJob},
};
use crate::front::{json_message, refusal_response};

/// Jobs that one process works on at once; beyond it submissions are refused, as their items would not run in time.
const MAX_OPEN_JOBS: usize = 400;
/// How long the store alone is waited for. It answers in a few milliseconds, and a slow one within some 300 ms; another
/// gateway that it answers accepts the submission well within the callers' objective of 400 ms then.
const STORE_PATIENCE: Duration = Duration::from_millis(200);
/// When to come back after a refusal.
const RETRY_AFTER_MS: u64 = 300;
/// Longest digest that names the parts; 64 bits tell two submissions under one name apart.
const DIGEST_CHARS: usize = 16;

/// A submission as it was read.
pub struct SubmittedJob {
    /// Name of the job.
    pub job: JobName,
    /// Host that the caller named.
    pub host: String,
    /// Path that the caller named.
    pub path: String,
    /// Times of its route.
    pub rule: BatchTimes,
    /// Failures at targets that its route allows for an item.
    pub attempts: u32,
    /// Version of the routes by which it was read.
    pub routes_version: u64,
    /// Whole body.
    pub body: Bytes,
}

/// What became of an acceptance.
enum Accepted {
    /// The header stands, in this version, and is ours.
    New(Version),
    /// The job was accepted before.
    Before(JobHeader),
    /// Nothing of the job stands that this attempt could have accepted.
    No,
    /// The header may stand.
    Perhaps,
}

/// Which gateways may accept a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Forwarding {
    /// Another one, if the store does not answer this process.
    Allowed,
    /// Only this one: the submission was passed on to it.
    Forbidden,
}

/// How a submission ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmissionEnd {
    /// The job stands.
    Accepted,
    /// Another job has its name.
    Conflict,
    /// No gateway has accepted it, and none will.
    Refused,
    /// It may have been accepted.
    Perhaps,
}

impl SubmissionEnd {
    /// End of a submission that two gateways tried to accept.
    fn or(self, other: SubmissionEnd) -> SubmissionEnd {
        use SubmissionEnd::{Accepted, Conflict, Perhaps, Refused};
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
    submitted: SubmittedJob,
    acceptors: Forwarding,
) -> Response<Body> {
    if directory.has(&submitted.job) {
        return accepted();
    }
    let items = match env.platform.dialect.submission(&submitted.body) {
        Ok(items) => items,
        Err(problem) => {
            log::info!(job = &*submitted.job, problem; "job: submission cannot be read");
            return json_message(StatusCode::BAD_REQUEST, &problem);
        }
    };
    if env.stopping.get() || directory.len() >= MAX_OPEN_JOBS {
        let reason = if env.stopping.get() { Refusal::Stopping } else { Refusal::Overloaded };
        return refuse(env, &submitted.job, reason);
    }
    let submitted = Rc::new(submitted);
    let end = match acceptors {
        Forwarding::Forbidden => accept_here(env, directory, &submitted, items).await,
        Forwarding::Allowed => accept_anywhere(env, directory, &submitted, items).await,
    };
    match end {
        SubmissionEnd::Accepted => accepted(),
        SubmissionEnd::Conflict => json_message(StatusCode::CONFLICT, "another job has this id"),
        SubmissionEnd::Refused => refuse(env, &submitted.job, Refusal::StoreUnavailable),
        SubmissionEnd::Perhaps => {
            log::warn!(job = &*submitted.job; "job: acceptance in doubt");
            json_message(StatusCode::GATEWAY_TIMEOUT, MayHaveRunReason::StoreAnswerLost.label())
        }
    }
}

/// Accepts a submission here, or at another gateway if the store does not answer this one in time.
async fn accept_anywhere(
    env: &Rc<JobEnv>,
    directory: &Directory,
    submitted: &Rc<SubmittedJob>,
    items: Vec<Item>,
) -> SubmissionEnd {
    if env.health.is_lost() {
        match forward(env, submitted).await {
            SubmissionEnd::Refused => {}
            end => return end,
        }
    }
    let mut here = pin!(accept_here(env, directory, submitted, items));
    if let Some(end) = within(STORE_PATIENCE, &mut here).await {
        return end;
    }
    let elsewhere = pin!(forward(env, submitted));
    match select(here, elsewhere).await {
        Either::Left((SubmissionEnd::Accepted, _))
        | Either::Right((SubmissionEnd::Accepted, _)) => SubmissionEnd::Accepted,
        Either::Left((end, elsewhere)) => end.or(elsewhere.await),
        Either::Right((end, here)) => end.or(here.await),
    }
}

/// Accepts a submission here. Goes on when its caller no longer waits: the job may stand by then, and somebody has to
/// work on it.
async fn accept_here(
    env: &Rc<JobEnv>,
    directory: &Directory,
    submitted: &Rc<SubmittedJob>,
    items: Vec<Item>,
) -> SubmissionEnd {
    let (sender, ended) = flume::bounded(1);
    let (env, directory) = (Rc::clone(env), directory.clone());
    let submitted = Rc::clone(submitted);
    compio::runtime::spawn(async move {
        let (began, gaps) = (Instant::now(), env.liveness_gaps.count());
        let header = new_header(&env, &submitted, items.len());
        let end = match accept(&env, &submitted, &header).await {
            Accepted::New(version) => {
                let job = JobName::clone(&submitted.job);
                let elapsed_ms = began.elapsed().as_millis() as u64;
                log::info!(job = &*job, items = items.len(), elapsed_ms; "job: accepted");
                // After that time another gateway may have told the caller, who may have ended the job there.
                let is_new = began.elapsed() < STORE_PATIENCE;
                start(&env, &directory, OwnedJob { job, header, version, gaps, is_new }, items);
                SubmissionEnd::Accepted
            }
            Accepted::Before(found) if found.digest == header.digest => SubmissionEnd::Accepted,
            Accepted::Before(_) => SubmissionEnd::Conflict,
            Accepted::No => SubmissionEnd::Refused,
            Accepted::Perhaps => SubmissionEnd::Perhaps,
        };
        // The caller may have been told by another gateway.
        let _ = sender.send(end);
    })
    .detach();
    ended.recv_async().await.unwrap_or(SubmissionEnd::Perhaps)
}

fn accepted() -> Response<Body> {
    json_message(StatusCode::ACCEPTED, "accepted")
}

fn refuse(env: &JobEnv, job: &str, reason: Refusal) -> Response<Body> {
    log::info!(job, reason:% = reason; "job: refused");
    env.metrics.refused(reason);
    refusal_response(reason, RETRY_AFTER_MS)
}

fn new_header(env: &JobEnv, submitted: &SubmittedJob, items: usize) -> JobHeader {
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
async fn accept(env: &JobEnv, submitted: &SubmittedJob, header: &JobHeader) -> Accepted {
    let parts = create_parts(env, submitted, header);
    match join(create_header(env, &submitted.job, header), parts).await {
        (Accepted::No, _) => Accepted::No,
        (_, false) => Accepted::Perhaps,
        (accepted, true) => accepted,
    }
}

/// Writes the parts; says whether all of them stand.
async fn create_parts(env: &JobEnv, submitted: &SubmittedJob, header: &JobHeader) -> bool {
    // Read as JSON before, so it is text.
    let text = String::from_utf8_lossy(&submitted.body);
    for (part, value) in split_into_parts(&text).into_iter().enumerate() {
        let key = part_key(&submitted.job, &header.digest, part as u32);
        let create = StoreOp::Create { key, labels: Labels::new(), value };
        if !env.create_known(create).await {
            return false;
        }
    }
    true
}

async fn create_header(env: &JobEnv, job: &JobName, header: &JobHeader) -> Accepted {
    let mut doubtful = false;
    for _ in 0..STORE_TRIES {
        let (key, value) = (header_key(job), header.value());
        match env.call(StoreOp::Create { key, labels: Labels::new(), value }).await {
            StoreAnswer::Object(stored) => return Accepted::New(stored.version),
            StoreAnswer::Taken | StoreAnswer::Unknown => {
                doubtful = true;
                if let Some(accepted) = found(env, job, header).await {
                    return accepted;
                }
            }
            _ => {}
        }
        compio::time::sleep(STORE_PAUSE).await;
    }
    if doubtful { Accepted::Perhaps } else { Accepted::No }
}

/// Reads the header that stands, if it can be read: an earlier call of this process whose answer was lost may have
/// written it.
async fn found(env: &JobEnv, job: &JobName, header: &JobHeader) -> Option<Accepted> {
    let (found, version) = env.current_header(job).await.ok()?;
    Some(if found == *header { Accepted::New(version) } else { Accepted::Before(found) })
}

fn start(env: &Rc<JobEnv>, directory: &Directory, owned: OwnedJob, items: Vec<Item>) {
    let Some((messages, inbox)) = directory.open(&owned.job) else { return };
    env.metrics.job_event("accepted");
    env.tell_owned(&owned.job, owned.header.items);
    let log = ResultLog::new(JobName::clone(&owned.job));
    let items = Items::new(items, owned.header.attempts);
    let task = JobTask::new(Rc::clone(env), owned, items, log, messages);
    let directory = directory.clone();
    compio::runtime::spawn(task.run(inbox, directory)).detach();
}

/// Time from now to a wall-clock time.
pub fn until(env: &JobEnv, unix_ms: u64) -> Duration {
    Duration::from_millis(unix_ms.saturating_sub(env.clock.now().unix_ms))
}
