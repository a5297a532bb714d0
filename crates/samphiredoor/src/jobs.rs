//! Batch jobs at the callers' door: submission.

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
    answers::{bad_request, json_answer, verdict_answer},
    ask::{KEY_HEADER, WORKSPACE_HEADER, header_text},
    door::Door,
    job_reads::header_json,
    request_body::RequestBody,
};

/// Header that says whether an item may be run more than once.
const REPEATABLE_HEADER: &str = "x-repeatable";
/// Header that says when the results are due.
const DUE_HEADER: &str = "x-due-unix-ms";
const STORE_RETRY_AFTER_MS: u64 = 2_000;
const LEASE_RETRY_AFTER_MS: u64 = 1_000;
const LEASE_POLL: Duration = Duration::from_millis(20);
const LEASE_POLLS: u32 = 50;
const CHUNK_TRIES: u32 = 3;
const CHUNKS_AT_ONCE: usize = 4;

/// Takes a submission; answers when the job is durable, and not before.
pub async fn submit(door: Rc<Door>, request: Request<Incoming>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let mut accepting = match accepting(&door, &parts.headers) {
        Ok(accepting) => accepting,
        Err(answer) => return answer,
    };
    if !lease_comes(&door).await {
        let reason = Refusal::NotReady;
        return verdict_answer(Verdict::NotRun { retry_after_ms: LEASE_RETRY_AFTER_MS, reason });
    }
    let mut submission = Submission::new();
    let uploaded = upload(&door, &accepting, body, &mut submission).await;
    if let Err(answer) = uploaded {
        remove_chunks(&door, &accepting.upload, submission.chunks());
        return answer;
    }
    let manifest = door.manifest.current();
    let service = manifest.services.get(submission.service());
    accepting.repeatable &= service.is_none_or(|it| it.repeatable);
    accept(&door, &accepting, &submission).await
}

/// Waits a little for the process's lease. A process that never had one could not be found to be gone, and its jobs
/// would never be taken from it.
async fn lease_comes(door: &Door) -> bool {
    for _ in 0..LEASE_POLLS {
        if door.jobs.lease_held(door.clock.now()) {
            return true;
        }
        compio::time::sleep(LEASE_POLL).await;
    }
    false
}

fn accepting(door: &Door, headers: &HeaderMap) -> Result<AcceptanceParams, Response<Body>> {
    let Some(key) = header_text(headers, KEY_HEADER) else {
        return Err(bad_request(KEY_HEADER, "name the job, so that sending it again is safe"));
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
        Some(Err(_)) => return Err(bad_request(DUE_HEADER, "is no number of milliseconds")),
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

/// Reads the body and writes its chunks, a few at a time.
async fn upload(
    door: &Rc<Door>,
    accepting: &AcceptanceParams,
    body: Incoming,
    submission: &mut Submission,
) -> Result<(), Response<Body>> {
    let mut writes = FuturesUnordered::new();
    let mut body = RequestBody::new(body, door.config.max_body_bytes, door.config.body_timeout);
    while let Some(piece) = body.piece().await.map_err(|err| err.answer())? {
        for (number, chunk) in submission.push(&piece).map_err(|bad| bad_line(&bad))? {
            writes.push(write_chunk(door, accepting, number, chunk));
            if writes.len() >= CHUNKS_AT_ONCE {
                writes.next().await.unwrap_or(Ok(()))?;
            }
        }
    }
    for (number, chunk) in submission.finish().map_err(|bad| bad_line(&bad))? {
        writes.push(write_chunk(door, accepting, number, chunk));
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
    accepting: &AcceptanceParams,
    number: u32,
    chunk: Chunk,
) -> Result<(), Response<Body>> {
    for _ in 0..CHUNK_TRIES {
        match door.store.call(Acceptance::chunk_op(&accepting.upload, number, &chunk)).await {
            // The name is this upload's alone: whatever stands there, this call or an earlier try wrote it.
            StoreAnswer::Object(_) | StoreAnswer::Taken => return Ok(()),
            StoreAnswer::Unknown => {}
            _ => break,
        }
    }
    Err(store_refusal())
}

/// Answer where the store is of no help and nothing was done.
pub fn store_refusal() -> Response<Body> {
    let reason = Refusal::StoreUnavailable;
    verdict_answer(Verdict::NotRun { retry_after_ms: STORE_RETRY_AFTER_MS, reason })
}

async fn accept(
    door: &Rc<Door>,
    accepting: &AcceptanceParams,
    submission: &Submission,
) -> Response<Body> {
    let mut acceptance = Acceptance::new(door.clock.now(), accepting, submission);
    let mut step = acceptance.start();
    loop {
        match step {
            SubmissionStep::Store(op) => step = acceptance.handle_answer(door.store.call(op).await),
            SubmissionStep::Accepted { job, header, version, resent } => {
                let answer = json_answer(StatusCode::OK, &header_json(&job, &header));
                if resent {
                    remove_chunks(door, &accepting.upload, submission.chunks());
                } else {
                    log::info!("jobs: {job} accepted with {} items", header.items);
                    door.jobs.owned(job, header, version);
                }
                return answer;
            }
            SubmissionStep::Conflicting { .. } => {
                remove_chunks(door, &accepting.upload, submission.chunks());
                let reason = Refusal::KeyReused;
                return verdict_answer(Verdict::NotRun { retry_after_ms: 0, reason });
            }
            SubmissionStep::NotAccepted => {
                remove_chunks(door, &accepting.upload, submission.chunks());
                return store_refusal();
            }
            // The header may stand, and then needs its chunks.
            SubmissionStep::MayBeAccepted => {
                let reason = MayHaveRunReason::StoreAnswerLost;
                return verdict_answer(Verdict::MayHaveRun { reason });
            }
        }
    }
}

/// Removes the chunks of an upload that no header names. What is left after a failure is only space.
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
