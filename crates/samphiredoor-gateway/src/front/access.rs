//! Access of callers: the workspace of a request, and the answers to those that are not authorized or over their limit.

use std::sync::Arc;

use hyper::{HeaderMap, Response, StatusCode};
use samphiredoor_core::{
    access::{Workspace, identify},
    routes::RouteTable,
    verdict::Refusal,
};
use samphiredoor_net::Body;

use super::{
    Front,
    answers::{json_message, refusal_response},
};

/// Workspace of a request; `None` if it needs none.
///
/// # Errors
///
/// The answer to a request that needs a key and has no valid one.
pub fn authorize(
    front: &Front,
    table: &RouteTable,
    is_public: bool,
    headers: &HeaderMap,
) -> Result<Option<Arc<Workspace>>, Box<Response<Body>>> {
    let names = front.dialect.headers();
    let keys = headers.get_all(&names.api_key).iter().map(|it| it.as_bytes());
    identify(table.workspaces.as_ref(), is_public, keys).map_err(|reason| {
        let request = headers.get(&names.request_id).and_then(|it| it.to_str().ok());
        log::info!(
            request = request.unwrap_or_default(), reason = reason.label(), routes_version = table.version;
            "front: not authorized"
        );
        front.metrics.refused(Refusal::Unauthorized);
        let problem = "the request needs the API key of a workspace";
        Box::new(json_message(StatusCode::UNAUTHORIZED, problem))
    })
}

/// 429 answer to a request over the rate limit of its workspace. It has not run.
pub fn limit_response(retry_after_ms: u64) -> Response<Body> {
    let mut response = refusal_response(Refusal::WorkspaceLimit, retry_after_ms);
    *response.status_mut() = StatusCode::TOO_MANY_REQUESTS;
    response
}
