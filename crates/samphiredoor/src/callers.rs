//! Routes the requests of the callers' listener by method and path.

use std::rc::Rc;

use hyper::{Method, Request, Response, body::Incoming};
use samphiredoor_net::Body;

use crate::{answers::not_found, door::Door, job_control, job_reads, jobs, online};

/// Answers one request of a caller; 404 for an unknown path.
pub async fn answer(door: Rc<Door>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    if online::is_online(request.method(), &path) {
        return online::answer(door, request).await;
    }
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
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
