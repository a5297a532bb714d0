//! Batch jobs at the callers' door: submit, status, results.

use std::rc::Rc;

use http_body_util::BodyExt;
use hyper::{HeaderMap, Request, Response, StatusCode, body::Incoming, header};
use samphiredoor_core::{
    ledger::{
        Acceptance, Accepting, BadLine, JobId, Submission, SubmissionStep, header_key, results_key,
    },
    store::{StoreAnswer, StoreOp, Version},
    verdict::{Doubt, Refusal, Verdict},
};
use samphiredoor_net::Body;
use samphiredoor_schema::objects::{Chunk, ChunkResults, JobHeader, JobState};
use serde_json::{Value, json};

use crate::{
    answers::{bad_request, json_answer, not_found, verdict_answer},
    online::{KEY_HEADER, WORKSPACE_HEADER, header_text},
    process::Door,
};

const STORE_RETRY_AFTER_MS: u64 = 2_000;
const CHUNK_TRIES: u32 = 3;
const RESULT_CHUNKS_PER_PAGE: u32 = 4;

/// Takes a submission; answers when the job is durable, and not before.
pub async fn submit(door: Rc<Door>, request: Request<Incoming>) -> Response<Body> {
    let (parts, mut body) = request.into_parts();
    let accepting = match accepting(&door, &parts.headers) {
        Ok(accepting) => accepting,
        Err(answer) => return answer,
    };
    let mut submission = Submission::new();
    let mut bytes = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return bad_request("body", "was cut; nothing was accepted") };
        let Ok(data) = frame.into_data() else { continue };
        bytes += data.len();
        if bytes > door.config.max_body_bytes {
            return bad_request("body", "is larger than this door takes; split the job");
        }
        let full = match submission.push(&data) {
            Ok(full) => full,
            Err(bad) => return bad_line(&bad),
        };
        for (number, chunk) in full {
            if let Err(answer) = write_chunk(&door, &accepting, number, &chunk).await {
                return answer;
            }
        }
    }
    match submission.finish() {
        Ok(None) => {}
        Ok(Some((number, chunk))) => {
            if let Err(answer) = write_chunk(&door, &accepting, number, &chunk).await {
                return answer;
            }
        }
        Err(bad) => return bad_line(&bad),
    }
    accept(&door, &accepting, &submission).await
}

fn accepting(door: &Door, headers: &HeaderMap) -> Result<Accepting, Response<Body>> {
    let Some(key) = header_text(headers, KEY_HEADER) else {
        return Err(bad_request(KEY_HEADER, "name the job, so that sending it again is safe"));
    };
    if key.is_empty() || key.len() > 256 {
        return Err(bad_request(KEY_HEADER, "use 1 to 256 bytes"));
    }
    Ok(Accepting {
        workspace: header_text(headers, WORKSPACE_HEADER).unwrap_or("default").into(),
        key: key.into(),
        upload: door.unique_name("up").into(),
        process: door.config.name(),
        incarnation: door.incarnation,
        due_unix_ms: header_text(headers, "x-due-unix-ms").and_then(|it| it.parse().ok()),
        repeatable: true,
    })
}

fn bad_line(bad: &BadLine) -> Response<Body> {
    bad_request(&format!("line {}", bad.line), &bad.problem)
}

async fn write_chunk(
    door: &Door,
    accepting: &Accepting,
    number: u32,
    chunk: &Chunk,
) -> Result<(), Response<Body>> {
    for _ in 0..CHUNK_TRIES {
        match door.store.call(Acceptance::chunk_op(&accepting.upload, number, chunk)).await {
            // The name is this upload's alone: whatever stands there, this call or an earlier try wrote it.
            StoreAnswer::Object(_) | StoreAnswer::Taken => return Ok(()),
            StoreAnswer::Unknown => {}
            _ => break,
        }
    }
    Err(store_refusal())
}

fn store_refusal() -> Response<Body> {
    let reason = Refusal::StoreUnavailable;
    verdict_answer(Verdict::NotRun { retry_after_ms: STORE_RETRY_AFTER_MS, reason })
}

async fn accept(door: &Door, accepting: &Accepting, submission: &Submission) -> Response<Body> {
    let mut acceptance = Acceptance::new(door.clock.now(), accepting, submission);
    let mut step = acceptance.start();
    loop {
        match step {
            SubmissionStep::Store(op) => step = acceptance.answered(door.store.call(op).await),
            SubmissionStep::Accepted { job, header, version, resent } => {
                let answer = json_answer(StatusCode::OK, &header_json(&job, &header));
                if !resent {
                    log::info!("jobs: {job} accepted with {} items", header.items);
                    door.jobs.owned(job, header, version);
                }
                return answer;
            }
            SubmissionStep::Conflicting { .. } => {
                let reason = Refusal::KeyReused;
                return verdict_answer(Verdict::NotRun { retry_after_ms: 0, reason });
            }
            SubmissionStep::NotAccepted => return store_refusal(),
            SubmissionStep::MayBeAccepted => {
                let reason = Doubt::StoreAnswerLost;
                return verdict_answer(Verdict::MayHaveRun { reason });
            }
        }
    }
}

/// Status of a job.
pub async fn status(door: Rc<Door>, job: &str) -> Response<Body> {
    let job: JobId = job.into();
    let (header, _) = match read_header(&door, &job).await {
        Ok(read) => read,
        Err(answer) => return answer,
    };
    let mut value = header_json(&job, &header);
    if let Some(progress) = door.jobs.progress(&job).await {
        value["request_counts"]["completed"] = json!(progress.completed);
        value["request_counts"]["failed"] = json!(progress.failed);
    }
    json_answer(StatusCode::OK, &value)
}

/// One page of results, as JSON lines; readable while the job runs.
pub async fn results(door: Rc<Door>, job: &str, query: &str) -> Response<Body> {
    let job: JobId = job.into();
    let (header, _) = match read_header(&door, &job).await {
        Ok(read) => read,
        Err(answer) => return answer,
    };
    let after = query.split('&').find_map(|it| it.strip_prefix("after_chunk="));
    let first = match after.map(str::parse::<u32>) {
        None => 0,
        Some(Ok(after)) => after.saturating_add(1),
        Some(Err(_)) => return bad_request("after_chunk", "is no number"),
    };
    let end = header.chunks.min(first.saturating_add(RESULT_CHUNKS_PER_PAGE));
    let mut lines = Vec::new();
    for chunk in first..end {
        match door.store.call(StoreOp::Get { key: results_key(&job, chunk) }).await {
            StoreAnswer::Object(stored) => match serde_json::from_slice(&stored.value) {
                Ok(results) => append_lines(&results, &mut lines),
                Err(err) => log::error!("jobs: results {job}-{chunk} cannot be read: {err}"),
            },
            StoreAnswer::Absent => {}
            _ => return store_refusal(),
        }
    }
    let mut response = Response::new(Body::full(lines));
    let content_type = header::HeaderValue::from_static("application/jsonl");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    if end < header.chunks {
        response.headers_mut().insert("x-after-chunk", header::HeaderValue::from(end - 1));
    }
    response
}

fn append_lines(results: &ChunkResults, lines: &mut Vec<u8>) {
    let mut in_order: Vec<_> = results.results.iter().collect();
    in_order.sort_by_key(|(index, _)| index.parse::<u32>().unwrap_or(u32::MAX));
    for (_, result) in in_order {
        let line = json!({
            "custom_id": result.custom_id,
            "outcome": result.outcome,
            "response": { "status_code": result.status, "body": result.body },
        });
        lines.extend(line.to_string().into_bytes());
        lines.push(b'\n');
    }
}

async fn read_header(door: &Door, job: &JobId) -> Result<(JobHeader, Version), Response<Body>> {
    match door.store.call(StoreOp::Get { key: header_key(job) }).await {
        StoreAnswer::Object(stored) => match serde_json::from_slice(&stored.value) {
            Ok(header) => Ok((header, stored.version)),
            Err(err) => {
                log::error!("jobs: header {job} cannot be read: {err}");
                Err(not_found("the job's header cannot be read"))
            }
        },
        StoreAnswer::Absent => Err(not_found("no such job")),
        _ => Err(store_refusal()),
    }
}

fn header_json(job: &JobId, header: &JobHeader) -> Value {
    let status = match header.state {
        JobState::Running => "in_progress",
        JobState::Cancelling => "cancelling",
        JobState::Cancelled => "cancelled",
        JobState::Finished => "completed",
    };
    json!({
        "id": &**job,
        "object": "batch",
        "status": status,
        "request_counts": {
            "total": header.items,
            "completed": header.completed,
            "failed": header.failed,
        },
    })
}
