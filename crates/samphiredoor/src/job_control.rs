//! Cancels and deletes batch jobs, on any gateway.

use std::rc::Rc;

use hyper::{Response, StatusCode};
use samphiredoor_core::{
    Name,
    hints::Hint,
    ledger::{CancelStep, Cancellation, JobId, chunk_key, header_key, results_key},
    store::{Kind, ObjectKey, StoreAnswer, StoreOp},
    verdict::{MayHaveRunReason, Verdict},
};
use samphiredoor_net::Body;
use samphiredoor_schema::objects::{JobHeader, JobState};
use serde_json::json;

use crate::{
    answers::{json_response, not_found, verdict_response},
    door::Door,
    job_reads::{chunk_results, header_json, read_header, unreadable},
    jobs::store_unavailable,
};

/// Cancels a job. The answer holds its progress, or reports that it had finished before.
pub async fn cancel(door: &Rc<Door>, job: &str) -> Response<Body> {
    let job: JobId = job.into();
    let mut cancellation = Cancellation::new(job.clone());
    let mut step = cancellation.start();
    loop {
        match step {
            CancelStep::Store(op) => step = cancellation.handle_answer(door.store.call(op).await),
            CancelStep::Cancelled { header } => {
                log::info!("jobs: {job} cancelled");
                door.jobs.cancel_hint(job.clone());
                let owner: Name = header.owner.process.as_str().into();
                door.peers.send_hint(owner, Hint::Cancelled(job.clone()));
                return json_response(StatusCode::OK, &header_json(&job, &header));
            }
            CancelStep::Finished { header } => {
                let mut value = header_json(&job, &header);
                value["error"] = json!("the job had finished before");
                return json_response(StatusCode::CONFLICT, &value);
            }
            CancelStep::Absent => return not_found("no such job"),
            CancelStep::Unreadable => return unreadable(),
            CancelStep::NotCancelled => return store_unavailable(),
            CancelStep::MayBeCancelled => {
                let reason = MayHaveRunReason::StoreAnswerLost;
                return verdict_response(Verdict::MayHaveRun { reason });
            }
        }
    }
}

/// Deletes a job that has ended, with its results.
pub async fn remove(door: Rc<Door>, job: &str) -> Response<Body> {
    let job: JobId = job.into();
    let (header, version) = match read_header(&door, &job).await {
        Ok(read) => read,
        Err(answer) => return answer,
    };
    if !matches!(header.state, JobState::Cancelled | JobState::Finished) {
        let mut value = header_json(&job, &header);
        value["error"] = json!("the job has not ended; cancel it first");
        return json_response(StatusCode::CONFLICT, &value);
    }
    // The results contain the names of the large bodies, so they are read before anything is deleted.
    let bodies = match body_names(&door, &header).await {
        Ok(bodies) => bodies,
        Err(answer) => return answer,
    };
    let op = StoreOp::Delete { key: header_key(&job), version: Some(version) };
    match door.store.call(op).await {
        StoreAnswer::Deleted => {}
        StoreAnswer::Absent => return not_found("no such job"),
        _ => return store_unavailable(),
    }
    log::info!("jobs: {job} deleted");
    compio::runtime::spawn(remove_objects(door, header, bodies)).detach();
    json_response(StatusCode::OK, &json!({ "id": &*job, "deleted": true }))
}

async fn body_names(door: &Door, header: &JobHeader) -> Result<Vec<String>, Response<Body>> {
    let mut names = Vec::new();
    for chunk in 0..header.opened_chunks {
        let read = chunk_results(door, header, chunk).await?;
        let results = read.into_iter().flat_map(|it| it.results.into_values());
        names.extend(results.filter_map(|it| it.body_object));
    }
    Ok(names)
}

async fn remove_objects(door: Rc<Door>, header: JobHeader, bodies: Vec<String>) {
    let bodies = bodies.into_iter().map(|it| ObjectKey::new(Kind::Results, it));
    let chunks = (0..header.chunks)
        .flat_map(|it| [results_key(&header.upload, it), chunk_key(&header.upload, it)]);
    for key in bodies.chain(chunks) {
        door.store.call(StoreOp::Delete { key, version: None }).await;
    }
}
