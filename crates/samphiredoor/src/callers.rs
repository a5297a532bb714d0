//! Routes the requests of the callers' listener by method and path.

use std::{rc::Rc, sync::Arc};

use hyper::{HeaderMap, Method, Request, Response, body::Incoming, header::HeaderValue};
use samphiredoor_core::{
    access::{Workspace, identify},
    verdict::{Refusal, Verdict},
};
use samphiredoor_net::Body;

use crate::{
    answers::{not_found, verdict_response},
    door::Door,
    job_control, job_reads, jobs, online,
    request_spec::WORKSPACE_HEADER,
};

/// Header with the API key of the caller's workspace.
const API_KEY_HEADER: &str = "x-api-key";

/// Answers one request of a caller; 404 for an unknown path.
pub async fn answer(door: Rc<Door>, mut request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match authorize(&door, request.headers()) {
        Ok(None) => {}
        Ok(Some(workspace)) => {
            if let ["v1", "batches", job, rest @ ..] = parts.as_slice()
                && let Err(answer) = check_job(&door, job, rest, &workspace).await
            {
                return answer;
            }
            // Whatever the caller claims, its requests belong to the workspace of its key.
            let name = HeaderValue::from_str(&workspace.name);
            // Names of workspaces are checked to hold only letters, digits and a few other characters.
            let name = name.unwrap_or_else(|_| HeaderValue::from_static(""));
            request.headers_mut().insert(WORKSPACE_HEADER, name);
        }
        Err(answer) => return answer,
    }
    if online::is_online(request.method(), &path) {
        return online::answer(door, request).await;
    }
    match (request.method(), parts.as_slice()) {
        (&Method::POST, ["v1", "batches"]) => jobs::submit(door, request).await,
        (&Method::GET, ["v1", "batches", job]) => job_reads::status(door, job).await,
        (&Method::DELETE, ["v1", "batches", job]) => job_control::remove(door, job).await,
        (&Method::POST, ["v1", "batches", job, "cancel"]) => job_control::cancel(&door, job).await,
        (&Method::GET, ["v1", "batches", _, "bodies", name]) => {
            job_reads::large_body(door, name).await
        }
        (&Method::GET, ["v1", "batches", job, "results"]) => {
            job_reads::results(door, job, request.uri().query().unwrap_or_default()).await
        }
        _ => not_found("no such path; see the README for the callers' paths"),
    }
}

/// Workspace of a request; `None` if no workspace has a key.
fn authorize(door: &Door, headers: &HeaderMap) -> Result<Option<Arc<Workspace>>, Response<Body>> {
    let manifest = door.manifest.current();
    let keys = headers.get_all(API_KEY_HEADER).iter().map(|it| it.as_bytes());
    identify(manifest.access.as_ref(), false, keys).map_err(|unauthorized| {
        log::info!("callers: not authorized: {}", unauthorized.label());
        let reason = Refusal::Unauthorized;
        verdict_response(Verdict::NotRun { retry_after_ms: 0, reason })
    })
}

/// Checks that a job, and the body that the rest of the path may name, belongs to the caller's workspace. A job of another
/// workspace is answered like one that does not exist.
async fn check_job(
    door: &Door,
    job: &str,
    rest: &[&str],
    workspace: &Workspace,
) -> Result<(), Response<Body>> {
    let (header, _) = job_reads::read_header(door, &job.into()).await?;
    let is_of_job = match rest {
        ["bodies", name] => job_reads::is_body_of(name, &header),
        _ => true,
    };
    match *header.workspace == *workspace.name && is_of_job {
        true => Ok(()),
        false => Err(not_found("no such job")),
    }
}
