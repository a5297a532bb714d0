//! Status and results of batch jobs. Any gateway reads them from the store, also while a peer works on the job.

use std::rc::Rc;

use hyper::{Response, StatusCode, header};
use samphiredoor_core::{
    ledger::{
        JobId, ReadResults, header_key, read_header as parse_header, read_results, results_key,
    },
    store::{Kind, ObjectKey, StoreAnswer, StoreOp, Version},
};
use samphiredoor_net::{Body, answers};
use samphiredoor_schema::objects::{ItemResult, JobHeader, JobState};
use serde_json::{Value, json};

use crate::{
    answers::{bad_request, json_response, not_found},
    door::Door,
    jobs::store_unavailable,
};

/// Prefix of the names of objects that hold large result bodies.
pub const BODY_PREFIX: &str = "body-";
const RESULT_CHUNKS_PER_PAGE: u32 = 4;
/// For the status of a job that a peer works on, the results of at most this many chunks after the header's last
/// checkpoint are counted.
const MAX_COUNTED_CHUNKS: u32 = 4;

/// Status of a job. While a peer works on the job, the counts are lower bounds.
pub async fn status(door: Rc<Door>, job: &str) -> Response<Body> {
    let job: JobId = job.into();
    let (header, _) = match read_header(&door, &job).await {
        Ok(read) => read,
        Err(answer) => return answer,
    };
    let mut value = header_json(&job, &header);
    let open = matches!(header.state, JobState::Running | JobState::Cancelling);
    if open {
        let (completed, failed) = counts(&door, &job, &header).await;
        value["request_counts"]["completed"] = json!(completed);
        value["request_counts"]["failed"] = json!(failed);
    }
    json_response(StatusCode::OK, &value)
}

async fn counts(door: &Door, job: &JobId, header: &JobHeader) -> (u32, u32) {
    if let Some(progress) = door.jobs.progress(job).await {
        return (progress.completed, progress.failed);
    }
    let (mut completed, mut failed) = (header.completed, header.failed);
    let last = header.opened_chunks.min(header.done_chunks.saturating_add(MAX_COUNTED_CHUNKS));
    for chunk in header.done_chunks..last {
        let Ok(Some(read)) = chunk_results(door, header, chunk).await else { break };
        let answered = read.results.values().filter(|it| it.status < 300 && it.status >= 200);
        let answered = answered.count() as u32;
        completed += answered;
        failed += read.results.len() as u32 - answered;
    }
    (completed, failed)
}

/// One page of results as JSON lines; available while the job runs.
///
/// `x-after-chunk` is the `after_chunk` of the next page; `x-partial` means that this page does not have all its
/// results yet.
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
        Some(Err(_)) => return bad_request("after_chunk", "is not a number"),
    };
    let end = header.chunks.min(first.saturating_add(RESULT_CHUNKS_PER_PAGE));
    let mut lines = Vec::new();
    let mut partial = false;
    for chunk in first..end {
        match chunk_results(&door, &header, chunk).await {
            Ok(Some(read)) => {
                partial |= read.results.len() as u32 != read.items;
                append_lines(&job, &read, &mut lines);
            }
            Ok(None) => partial = true,
            Err(answer) => return answer,
        }
    }
    let mut response = Response::new(Body::full(lines));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/jsonl"));
    if partial && matches!(header.state, JobState::Running | JobState::Cancelling) {
        headers.insert("x-partial", header::HeaderValue::from_static("true"));
    }
    if end < header.chunks {
        headers.insert("x-after-chunk", header::HeaderValue::from(end - 1));
    }
    response
}

/// Whether an object is a large result body of the job with this header.
pub fn is_body_of(name: &str, header: &JobHeader) -> bool {
    let of_job = name.strip_prefix(BODY_PREFIX).and_then(|it| it.strip_prefix(&*header.upload));
    // Without the separator, the upload `up-1` would be taken for `up-12`.
    of_job.is_some_and(|it| it.starts_with('-'))
}

/// Body of one result that was too large to be stored with the other results of its chunk.
pub async fn large_body(door: Rc<Door>, name: &str) -> Response<Body> {
    if !name.starts_with(BODY_PREFIX) {
        return not_found("no such body");
    }
    match door.store.call(StoreOp::Get { key: ObjectKey::new(Kind::Results, name) }).await {
        StoreAnswer::Object(stored) => answers::json(StatusCode::OK, stored.value.to_vec()),
        StoreAnswer::Absent => not_found("no such body"),
        _ => store_unavailable(),
    }
}

/// Results of one chunk; `None` if there are none or they are unreadable.
pub async fn chunk_results(
    door: &Door,
    header: &JobHeader,
    chunk: u32,
) -> Result<Option<ReadResults>, Response<Body>> {
    let key = results_key(&header.upload, chunk);
    match door.store.call(StoreOp::Get { key: key.clone() }).await {
        StoreAnswer::Object(stored) => match read_results(&stored.value) {
            Ok(read) => Ok(Some(read)),
            Err(fault) => {
                door.metrics.count_unreadable(fault);
                log::error!("jobs: results {} are unreadable: {fault}", key.name);
                Ok(None)
            }
        },
        StoreAnswer::Absent => Ok(None),
        _ => Err(store_unavailable()),
    }
}

fn append_lines(job: &JobId, read: &ReadResults, lines: &mut Vec<u8>) {
    for result in read.results.values() {
        let line = json!({
            "custom_id": result.custom_id,
            "outcome": result.outcome,
            "response": {
                "status_code": result.status,
                "body": result.body,
                "body_path": body_path(job, result),
            },
        });
        lines.extend(line.to_string().into_bytes());
        lines.push(b'\n');
    }
}

fn body_path(job: &JobId, result: &ItemResult) -> Option<String> {
    let name = result.body_object.as_ref()?;
    Some(format!("/v1/batches/{job}/bodies/{name}"))
}

/// Reads the header of a job.
///
/// # Errors
///
/// Returns the answer to the caller if there is no such job, its header is unreadable, or the store is unavailable.
pub async fn read_header(door: &Door, job: &JobId) -> Result<(JobHeader, Version), Response<Body>> {
    match door.store.call(StoreOp::Get { key: header_key(job) }).await {
        StoreAnswer::Object(stored) => match parse_header(&stored.value) {
            Ok(header) => Ok((header, stored.version)),
            Err(fault) => {
                door.metrics.count_unreadable(fault);
                log::error!("jobs: header {job} is unreadable: {fault}");
                Err(unreadable())
            }
        },
        StoreAnswer::Absent => Err(not_found("no such job")),
        _ => Err(store_unavailable()),
    }
}

/// Answer for a job whose stored header is unreadable.
pub fn unreadable() -> Response<Body> {
    let value = json!({
        "error": { "type": "unreadable", "message": "the job's header cannot be read; ask the operators" }
    });
    json_response(StatusCode::INTERNAL_SERVER_ERROR, &value)
}

/// JSON object that describes a job to callers.
pub fn header_json(job: &JobId, header: &JobHeader) -> Value {
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
