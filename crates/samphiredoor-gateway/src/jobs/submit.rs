//! Acceptance of submissions as durable jobs.
//!
//! The submission is split into parts, which are stored under keys with a digest of its content. The header is written
//! at the same time, and the job is accepted once the header and all parts exist. A submission that is sent again finds
//! the existing objects and gets the same answer.

use std::{
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::future::{Either, join, select};
use hyper::{Response, StatusCode};
use samphiredoor_core::{
    Name,
    ordered::{Item, Items, JobHeader, JobName, ResultLog, header_key, part_key, split_into_parts},
    overload::{
        batch_admission::{JobDemand, JobVerdict},
        buffer_budget::Holder,
    },
    placement::name_hash,
    routes::BatchTimes,
    store::{Labels, StoreAnswer, StoreOp, Version},
    verdict::{MayHaveRunReason, Refusal},
};
use samphiredoor_net::{Body, pool::within};

use super::{
    JobEnv, STORE_ATTEMPTS, STORE_RETRY_PAUSE,
    directory::Directory,
    forward::forward,
    job_task::{JobOwnership, JobTask},
    stored::ReadError,
};
use crate::{
    buffers::HeldMemory,
    front::{json_message, refusal_response},
};

/// Maximum number of jobs with a task in this process. Further submissions are refused, as their items would not run in
/// time.
const MAX_OPEN_JOBS: usize = 400;
/// Time without an answer of the store after which a submission is also forwarded to another gateway. The store answers
/// in a few milliseconds, and within about 300 ms when it is slow. After this delay, a gateway that the store answers
/// still accepts the submission well within the callers' objective of 400 ms.
const FORWARD_DELAY: Duration = Duration::from_millis(200);
/// Retry time in refusals.
const RETRY_AFTER_MS: u64 = 300;
/// Hexadecimal digits of the digest in the keys of parts; 64 bits suffice to distinguish submissions with the same job
/// name.
const DIGEST_CHARS: usize = 16;

/// A submission whose body was received but not parsed.
pub struct SubmittedJob {
    /// Name of the job, from the caller's workspace and request id.
    pub job: JobName,
    /// Workspace of the caller, if any are declared.
    pub workspace: Option<Name>,
    /// `Host` header of the submission.
    pub host: String,
    /// Path of the submission, without the prefix of forwarded ones.
    pub path: String,
    /// Service that runs most of the items; `None` if its route has no service.
    pub service: Option<Name>,
    /// When the results are due and given up according to its route.
    pub rule: BatchTimes,
    /// Failed attempts at targets after which an item is given up.
    pub attempts: u32,
    /// Version of the routes that its route was found in.
    pub routes_version: u64,
    /// Most bytes that the headers of an item may take.
    pub max_header_bytes: usize,
    /// Whole request body.
    pub body: Bytes,
}

/// Outcome of an attempt to store a job.
enum Acceptance {
    /// This attempt has created the job; the header has this version.
    New(Version),
    /// Another attempt has created the job with this header.
    Earlier(Box<JobHeader>),
    /// This attempt has created no header.
    NotAccepted,
    /// This attempt may have created the header, or parts are missing.
    Unknown,
}

/// Which gateways may accept a submission, to prevent it from being forwarded twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Forwarding {
    /// Also another one, if the store does not answer this process.
    Allowed,
    /// Only this one, because the submission was forwarded to it.
    Forbidden,
}

/// Outcome of a submission at one or two gateways. Its names appear in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmissionOutcome {
    /// The job is stored.
    Accepted,
    /// A job with another content has the same name.
    Conflict,
    /// No gateway has accepted the submission, and none will.
    Refused,
    /// The submission may have been accepted.
    Perhaps,
}

impl SubmissionOutcome {
    /// Combined outcome of a submission that two gateways tried to accept.
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

/// Accepts a submission, starts the task of its job, and returns the answer to the caller.
pub async fn submit(
    env: &Rc<JobEnv>,
    directory: &Directory,
    submitted: SubmittedJob,
    acceptors: Forwarding,
) -> Response<Body> {
    if directory.has(&submitted.job) {
        return accepted();
    }
    let Some(memory) = env.client_memory.try_hold(Holder::Job, submitted.body.len()) else {
        return refuse(env, &submitted.job, Refusal::Overloaded);
    };
    let parsed = env.platform.dialect.submission(&submitted.body, submitted.max_header_bytes);
    let items = match parsed {
        Ok(items) => items,
        Err(problem) => {
            log::info!(job = &*submitted.job, problem; "job: submission cannot be parsed");
            return json_message(StatusCode::BAD_REQUEST, &problem);
        }
    };
    if env.shutdown.has_begun() || directory.len() >= MAX_OPEN_JOBS {
        let reason = if env.shutdown.has_begun() { Refusal::Stopping } else { Refusal::Overloaded };
        return refuse(env, &submitted.job, reason);
    }
    if acceptors == Forwarding::Allowed
        && let Some(retry_after_ms) = retry_time_if_too_late(env, &submitted, items.len()).await
    {
        env.metrics.refused(Refusal::JobTooLate);
        return refusal_response(Refusal::JobTooLate, retry_after_ms);
    }
    let submitted = Rc::new(submitted);
    let end = match acceptors {
        Forwarding::Forbidden => accept_locally(env, directory, &submitted, items, memory).await,
        Forwarding::Allowed => accept_or_forward(env, directory, &submitted, items, memory).await,
    };
    match end {
        SubmissionOutcome::Accepted => accepted(),
        SubmissionOutcome::Conflict => {
            json_message(StatusCode::CONFLICT, "another job has this id")
        }
        SubmissionOutcome::Refused => refuse(env, &submitted.job, Refusal::StoreUnavailable),
        SubmissionOutcome::Perhaps => {
            log::warn!(job = &*submitted.job; "job: unknown whether it was accepted");
            json_message(StatusCode::GATEWAY_TIMEOUT, MayHaveRunReason::StoreAnswerLost.label())
        }
    }
}

/// Retry time of a job that cannot be done in time; `None` if it is admitted. A job that was accepted before is admitted
/// whatever the load is, so the store is asked for it before a rejection.
async fn retry_time_if_too_late(
    env: &JobEnv,
    submitted: &SubmittedJob,
    items: usize,
) -> Option<u64> {
    let job = JobDemand {
        service: submitted.service.clone()?,
        workspace: submitted.workspace.as_ref().map_or(0, |it| name_hash(it)),
        items: items as u32,
        due_in_ms: submitted.rule.due_ms,
    };
    let verdict = env.placement.admit_job(job).await;
    let JobVerdict::Reject { retry_after_ms, inputs } = verdict else { return None };
    let found = env.current_header(&submitted.job).await;
    if !matches!(found, Err(ReadError::NotFound)) {
        return None;
    }
    log::info!(
        job = &*submitted.job, items, due_in_ms = submitted.rule.due_ms, retry_after_ms,
        owed_items = inputs.owed_items, free_slots:% = inputs.slots, item_ms = inputs.item_ms,
        age_ms = inputs.age_ms;
        "job: rejected, it could not be done in time"
    );
    Some(retry_after_ms)
}

/// Accepts a submission here, and forwards it to another gateway if the store does not answer this one in time.
async fn accept_or_forward(
    env: &Rc<JobEnv>,
    directory: &Directory,
    submitted: &Rc<SubmittedJob>,
    items: Vec<Item>,
    memory: HeldMemory,
) -> SubmissionOutcome {
    if env.health.is_lost() {
        match forward(env, submitted).await {
            SubmissionOutcome::Refused => {}
            end => return end,
        }
    }
    let mut here = pin!(accept_locally(env, directory, submitted, items, memory));
    if let Some(end) = within(FORWARD_DELAY, &mut here).await {
        return end;
    }
    let elsewhere = pin!(forward(env, submitted));
    match select(here, elsewhere).await {
        Either::Left((SubmissionOutcome::Accepted, _))
        | Either::Right((SubmissionOutcome::Accepted, _)) => SubmissionOutcome::Accepted,
        Either::Left((end, elsewhere)) => end.merge(elsewhere.await),
        Either::Right((end, here)) => end.merge(here.await),
    }
}

/// Accepts a submission here. Runs in a task of its own, so that it completes even if the caller disconnects: the job
/// may be stored by then, and needs an owner.
async fn accept_locally(
    env: &Rc<JobEnv>,
    directory: &Directory,
    submitted: &Rc<SubmittedJob>,
    items: Vec<Item>,
    memory: HeldMemory,
) -> SubmissionOutcome {
    let (sender, ended) = flume::bounded(1);
    let (env, directory) = (Rc::clone(env), directory.clone());
    let submitted = Rc::clone(submitted);
    compio::runtime::spawn(async move {
        let (began, gap_count) = (Instant::now(), env.liveness_gaps.count());
        let header = new_header(&env, &submitted, items.len());
        let end = match accept(&env, &submitted, &header).await {
            Acceptance::New(version) => {
                let job = JobName::clone(&submitted.job);
                let elapsed_ms = began.elapsed().as_millis() as u64;
                log::info!(job = &*job, items = items.len(), elapsed_ms; "job: accepted");
                // After this delay the submission is forwarded. The caller may have got its answer from the other
                // gateway and cancelled the job there.
                let is_new = began.elapsed() < FORWARD_DELAY;
                let written_after = began;
                let owned = JobOwnership { job, header, version, gap_count, written_after, is_new };
                let log = ResultLog::new(JobName::clone(&owned.job));
                let items = Items::new(items, owned.header.attempts);
                if JobTask::start(&env, &directory, owned, items, log, memory) {
                    env.metrics.job_event("accepted");
                }
                SubmissionOutcome::Accepted
            }
            Acceptance::Earlier(found) if found.digest == header.digest => {
                SubmissionOutcome::Accepted
            }
            Acceptance::Earlier(_) => SubmissionOutcome::Conflict,
            Acceptance::NotAccepted => SubmissionOutcome::Refused,
            Acceptance::Unknown => SubmissionOutcome::Perhaps,
        };
        // Fails if the caller was answered by another gateway or has disconnected.
        let _ = sender.send(end);
    })
    .detach();
    ended.recv_async().await.unwrap_or(SubmissionOutcome::Perhaps)
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
        workspace: submitted.workspace.as_ref().map(|it| it.to_string()),
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
        earlier_formers: Vec::new(),
    }
}

/// Writes parts and header concurrently. While parts are missing beside an existing header, the outcome is unknown, as
/// they may be written when the submission is sent again.
async fn accept(env: &JobEnv, submitted: &SubmittedJob, header: &JobHeader) -> Acceptance {
    let parts = create_parts(env, submitted, header);
    match join(create_header(env, &submitted.job, header), parts).await {
        (Acceptance::NotAccepted, _) => Acceptance::NotAccepted,
        (_, false) => Acceptance::Unknown,
        (accepted, true) => accepted,
    }
}

/// Writes the parts, and returns whether all of them exist.
async fn create_parts(env: &JobEnv, submitted: &SubmittedJob, header: &JobHeader) -> bool {
    // The body was parsed as JSON before, so it is valid UTF-8.
    let text = String::from_utf8_lossy(&submitted.body);
    for (part, value) in split_into_parts(&text).into_iter().enumerate() {
        let key = part_key(&submitted.job, &header.digest, part as u32);
        let create = StoreOp::Create { key, labels: Labels::new(), value };
        if !env.create_idempotent(create).await {
            return false;
        }
    }
    true
}

async fn create_header(env: &JobEnv, job: &JobName, header: &JobHeader) -> Acceptance {
    let mut may_exist = false;
    for _ in 0..STORE_ATTEMPTS {
        let (key, value) = (header_key(job), header.value());
        match env.call(StoreOp::Create { key, labels: Labels::new(), value }).await {
            StoreAnswer::Object(stored) => return Acceptance::New(stored.version),
            StoreAnswer::Taken | StoreAnswer::Unknown => {
                may_exist = true;
                if let Some(accepted) = existing_header(env, job, header).await {
                    return accepted;
                }
            }
            _ => {}
        }
        compio::time::sleep(STORE_RETRY_PAUSE).await;
    }
    if may_exist { Acceptance::Unknown } else { Acceptance::NotAccepted }
}

/// Reads the existing header; `None` if it cannot be read. If it equals the own header, an earlier create whose answer
/// was lost has written it.
async fn existing_header(env: &JobEnv, job: &JobName, header: &JobHeader) -> Option<Acceptance> {
    let (found, version) = env.current_header(job).await.ok()?;
    Some(if found == *header {
        Acceptance::New(version)
    } else {
        Acceptance::Earlier(Box::new(found))
    })
}

/// Time from now until a wall-clock time; zero if that has passed.
pub fn duration_until(env: &JobEnv, unix_ms: u64) -> Duration {
    Duration::from_millis(unix_ms.saturating_sub(env.clock.now().unix_ms))
}
