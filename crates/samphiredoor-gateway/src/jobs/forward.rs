//! Forwarding of submissions to another gateway when the store does not answer this one.
//!
//! A store that refuses one process often serves the others. The submission is forwarded unchanged, below a path prefix
//! of its own, and the other gateway accepts it like any other. Both gateways may accept it at the same time, which is
//! as harmless as a caller that sends a submission twice.

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
    submit::{SubmissionOutcome, SubmittedJob},
};

/// Path prefix of forwarded submissions.
pub const PATH_PREFIX: &str = "/submissions";
/// Most gateways that are tried until one can be reached.
const MAX_PEERS: usize = 3;
/// Timeout for connecting; a round trip between regions takes 24 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout for the whole exchange; callers give up an attempt after a second, or after a third of their deadline.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(900);
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Forwards a submission to the nearest gateways in turn, until one can be reached, and returns its outcome.
pub async fn forward(env: &JobEnv, submitted: &SubmittedJob) -> SubmissionOutcome {
    let candidates = env.roster.takeover_candidates();
    for address in candidates.into_iter().take(MAX_PEERS) {
        let pool = Pool::new(address).with_connect_timeout(CONNECT_TIMEOUT);
        let end = match within(RESPONSE_TIMEOUT, send(env, &pool, submitted)).await {
            Some(Ok(StatusCode::ACCEPTED)) => SubmissionOutcome::Accepted,
            Some(Ok(status))
                if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE =>
            {
                SubmissionOutcome::Refused
            }
            Some(Err(SendError::NotSent(err))) => {
                log::info!(job = &*submitted.job, peer:% = address, problem:% = err; "job: could not be forwarded");
                continue;
            }
            Some(Ok(_) | Err(SendError::MayHaveRun(_))) | None => SubmissionOutcome::Perhaps,
        };
        log::info!(job = &*submitted.job, peer:% = address, end:? = end; "job: forwarded to another gateway");
        return end;
    }
    SubmissionOutcome::Refused
}

async fn send(
    env: &JobEnv,
    pool: &Pool,
    submitted: &SubmittedJob,
) -> Result<StatusCode, SendError> {
    let names = env.platform.dialect.headers();
    let mut request = Request::post(format!("{PATH_PREFIX}{}", submitted.path))
        .header(header::HOST, &submitted.host)
        .header(&names.request_id, &*submitted.job);
    if let Some(workspace) = &submitted.workspace {
        request = request.header(&names.workspace, &**workspace);
    }
    let request = request
        .body(Body::full(Bytes::clone(&submitted.body)))
        .map_err(|err| SendError::NotSent(err.into()))?;
    let response = pool.send(request).await?;
    let status = response.status();
    match read_whole(response.into_body(), MAX_ANSWER_BYTES).await {
        Ok(_) => Ok(status),
        Err(_) => Err(SendError::MayHaveRun("the response was cut off".into())),
    }
}
