//! Accepts batch jobs from callers.

use std::{rc::Rc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use hyper::{HeaderMap, Request, Response, StatusCode, body::Incoming};
use samphiredoor_core::{
    ledger::{Acceptance, AcceptanceParams, BadLine, Submission, SubmissionStep, chunk_key},
    store::{StoreAnswer, StoreOp},
    verdict::{MayHaveRunReason, Refusal, Verdict},
};
use samphiredoor_net::Body;
use samphiredoor_schema::objects::Chunk;

use crate::{
    answers::{bad_request, json_response, verdict_response},
    door::Door,
    job_reads::header_json,
    request_body::RequestBody,
    request_spec::{KEY_HEADER, WORKSPACE_HEADER, header_text},
};

/// Header that allows or forbids running an item more than once.
const REPEATABLE_HEADER: &str = "x-repeatable";
/// Header with the time at which the results are due.
const DUE_HEADER: &str = "x-due-unix-ms";
const STORE_RETRY_AFTER_MS: u64 = 2_000;
const LEASE_RETRY_AFTER_MS: u64 = 1_000;
const LEASE_POLL: Duration = Duration::from_millis(20);
const LEASE_POLLS: u32 = 50;
const CHUNK_WRITE_ATTEMPTS: u32 = 3;
const MAX_CONCURRENT_CHUNK_WRITES: usize = 4;

/// Accepts a submission. The answer is sent only after the job is durable in the store.
pub async fn submit(door: Rc<Door>, request: Request<Incoming>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let mut params = match parse_headers(&door, &parts.headers) {
        Ok(params) => params,
        Err(answer) => return answer,
    };
    if !wait_for_lease(&door).await {
        let reason = Refusal::NotReady;
        return verdict_response(Verdict::NotRun { retry_after_ms: LEASE_RETRY_AFTER_MS, reason });
    }
    let mut submission = Submission::new();
    let uploaded = upload(&door, &params, body, &mut submission).await;
    if let Err(answer) = uploaded {
        remove_chunks(&door, &params.upload, submission.chunks());
        return answer;
    }
    let manifest = door.manifest.current();
    let service = manifest.services.get(submission.service());
    params.repeatable &= service.is_none_or(|it| it.repeatable);
    accept(&door, &params, &submission).await
}

/// Waits up to a second for this process to hold its lease. Without a lease its death could not be detected, and its
/// jobs would never be taken over.
async fn wait_for_lease(door: &Door) -> bool {
    for _ in 0..LEASE_POLLS {
        if door.jobs.lease_held(door.clock.now()) {
            return true;
        }
        compio::time::sleep(LEASE_POLL).await;
    }
    false
}

fn parse_headers(door: &Door, headers: &HeaderMap) -> Result<AcceptanceParams, Response<Body>> {
    let Some(key) = header_text(headers, KEY_HEADER) else {
        return Err(bad_request(KEY_HEADER, "is required, so that sending the job again is safe"));
    };
    if key.is_empty() || key.len() > 256 {
        return Err(bad_request(KEY_HEADER, "use 1 to 256 bytes"));
    }
    let repeatable = match header_text(headers, REPEATABLE_HEADER) {
        None | Some("true") => true,
        Some("false") => false,
        Some(_) => return Err(bad_request(REPEATABLE_HEADER, "use `true` or `false`")),
    };
    let due_unix_ms = match header_text(headers, DUE_HEADER).map(str::parse) {
        None => None,
        Some(Ok(due_unix_ms)) => Some(due_unix_ms),
        Some(Err(_)) => return Err(bad_request(DUE_HEADER, "is not a number of milliseconds")),
    };
    Ok(AcceptanceParams {
        workspace: header_text(headers, WORKSPACE_HEADER).unwrap_or("default").into(),
        key: key.into(),
        upload: door.unique_name("up").into(),
        process: door.config.name(),
        incarnation: door.incarnation,
        due_unix_ms,
        repeatable,
    })
}

/// Reads the body and writes its chunks to the store, a few concurrently.
async fn upload(
    door: &Rc<Door>,
    params: &AcceptanceParams,
    body: Incoming,
    submission: &mut Submission,
) -> Result<(), Response<Body>> {
    let mut writes = FuturesUnordered::new();
    let mut body = RequestBody::new(body, door.config.max_body_bytes, door.config.body_timeout);
    while let Some(piece) = body.piece().await.map_err(|err| err.answer())? {
        for (number, chunk) in submission.push(&piece).map_err(|bad| bad_line(&bad))? {
            writes.push(write_chunk(door, params, number, chunk));
            if writes.len() >= MAX_CONCURRENT_CHUNK_WRITES {
                writes.next().await.unwrap_or(Ok(()))?;
            }
        }
    }
    for (number, chunk) in submission.finish().map_err(|bad| bad_line(&bad))? {
        writes.push(write_chunk(door, params, number, chunk));
    }
    while let Some(written) = writes.next().await {
        written?;
    }
    Ok(())
}

fn bad_line(bad: &BadLine) -> Response<Body> {
    bad_request(&format!("line {}", bad.line), &bad.problem)
}

async fn write_chunk(
    door: &Door,
    params: &AcceptanceParams,
    number: u32,
    chunk: Chunk,
) -> Result<(), Response<Body>> {
    for _ in 0..CHUNK_WRITE_ATTEMPTS {
        match door.store.call(Acceptance::chunk_op(&params.upload, number, &chunk)).await {
            // The object's name is unique to this upload, so an existing object was written by this call or an earlier
            // attempt.
            StoreAnswer::Object(_) | StoreAnswer::Taken => return Ok(()),
            StoreAnswer::Unknown => {}
            _ => break,
        }
    }
    Err(store_unavailable())
}

/// Answer to a request that was not run because the store is unavailable.
pub fn store_unavailable() -> Response<Body> {
    let reason = Refusal::StoreUnavailable;
    verdict_response(Verdict::NotRun { retry_after_ms: STORE_RETRY_AFTER_MS, reason })
}

async fn accept(
    door: &Rc<Door>,
    params: &AcceptanceParams,
    submission: &Submission,
) -> Response<Body> {
    let mut acceptance = Acceptance::new(door.clock.now(), params, submission);
    let mut step = acceptance.start();
    loop {
        match step {
            SubmissionStep::Store(op) => step = acceptance.handle_answer(door.store.call(op).await),
            SubmissionStep::Accepted { job, header, version, resent } => {
                let answer = json_response(StatusCode::OK, &header_json(&job, &header));
                if resent {
                    remove_chunks(door, &params.upload, submission.chunks());
                } else {
                    log::info!("jobs: {job} accepted with {} items", header.items);
                    door.jobs.add_owned_job(job, header, version);
                }
                return answer;
            }
            SubmissionStep::Conflicting { .. } => {
                remove_chunks(door, &params.upload, submission.chunks());
                let reason = Refusal::KeyReused;
                return verdict_response(Verdict::NotRun { retry_after_ms: 0, reason });
            }
            SubmissionStep::NotAccepted => {
                remove_chunks(door, &params.upload, submission.chunks());
                return store_unavailable();
            }
            // The header may be stored, and then its chunks are needed.
            SubmissionStep::MayBeAccepted => {
                let reason = MayHaveRunReason::StoreAnswerLost;
                return verdict_response(Verdict::MayHaveRun { reason });
            }
        }
    }
}

/// Deletes the chunks of an upload that no job header refers to. A failed deletion only wastes space.
fn remove_chunks(door: &Rc<Door>, upload: &str, chunks: u32) {
    let (door, upload) = (Rc::clone(door), upload.to_owned());
    compio::runtime::spawn(async move {
        for number in 0..chunks {
            let key = chunk_key(&upload, number);
            door.store.call(StoreOp::Delete { key, version: None }).await;
        }
    })
    .detach();
}
