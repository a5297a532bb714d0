//! Submissions through another gateway, for a process that the store does not answer.
//!
//! A store that refuses one process often serves the others. The submission goes on as its caller made it, below a path
//! of its own, and the other gateway accepts it as any other. Both may accept it at once: that is as harmless as a
//! submission that its caller sends twice.

use std::time::Duration;

use bytes::Bytes;
use hyper::{Request, StatusCode, header};
use samphiredoor_net::{
    Body, Pool,
    body::read_whole,
    pool::{SendError, within},
};

use super::{
    JobEnv,
    submit::{SubmissionEnd, SubmittedJob},
};

/// Beginning of the paths below which submissions are passed on.
pub const PATH_PREFIX: &str = "/submissions";
/// Gateways that are tried until one is reached.
const TRIES: usize = 3;
/// Longest wait for a connection; a round trip between regions takes 24 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest wait for an answer; callers give an attempt up after a second or a third of their time.
const TIMEOUT: Duration = Duration::from_millis(900);
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Has another gateway accept a submission.
pub async fn forward(env: &JobEnv, submitted: &SubmittedJob) -> SubmissionEnd {
    let takers = env.roster.takeover_candidates();
    for address in takers.into_iter().take(TRIES) {
        let pool = Pool::new(address).with_connect_timeout(CONNECT_TIMEOUT);
        let end = match within(TIMEOUT, send(env, &pool, submitted)).await {
            Some(Ok(StatusCode::ACCEPTED)) => SubmissionEnd::Accepted,
            Some(Ok(status))
                if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE =>
            {
                SubmissionEnd::Refused
            }
            Some(Err(SendError::NotSent(err))) => {
                log::info!(job = &*submitted.job, peer:% = address, problem:% = err; "job: not passed on");
                continue;
            }
            Some(Ok(_) | Err(SendError::MayHaveRun(_))) | None => SubmissionEnd::Perhaps,
        };
        log::info!(job = &*submitted.job, peer:% = address, end:? = end; "job: passed on");
        return end;
    }
    SubmissionEnd::Refused
}

async fn send(
    env: &JobEnv,
    pool: &Pool,
    submitted: &SubmittedJob,
) -> Result<StatusCode, SendError> {
    let names = env.platform.dialect.headers();
    let request = Request::post(format!("{PATH_PREFIX}{}", submitted.path))
        .header(header::HOST, &submitted.host)
        .header(&names.request_id, &*submitted.job)
        .body(Body::full(Bytes::clone(&submitted.body)))
        .map_err(|err| SendError::NotSent(err.into()))?;
    let response = pool.send(request).await?;
    let status = response.status();
    match read_whole(response.into_body(), MAX_ANSWER_BYTES).await {
        Ok(_) => Ok(status),
        Err(_) => Err(SendError::MayHaveRun("the answer was cut".into())),
    }
}
