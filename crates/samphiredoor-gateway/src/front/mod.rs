//! HTTP handlers for callers: each reads a request, finds its route, and passes it to the code for that kind of route.

mod access;
mod answers;
mod attempt;
mod forwarded_stream;
mod hop_by_hop;
mod online;
mod resumption;
mod silence;

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::Bytes;
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    header::{self, HeaderValue},
};
use samphiredoor_core::{
    Name,
    ordered::{JobName, job_name},
    overload::buffer_budget::Holder,
    routes::{BatchTimes, CallerLimits, Route, RouteKind, RouteTable},
    verdict::Refusal,
};
use samphiredoor_net::{
    Body,
    activity::BodyArrival,
    body::UnreadBody,
    clock::Clock,
    permits::{Permit, Permits},
    pool::within,
};

pub use answers::{json_message, refusal_response};

use crate::{
    buffers::{Buffers, UnreadReason},
    jobs::{Forwarding, Jobs, SubmittedJob, forward},
    metrics::Metrics,
    peers::{CrashReports, RunLimits, StreamOrigins},
    placement::PlacementHandle,
    platform_api::{Dialect, JobCall},
    routes::Routes,
    shutdown::Shutdown,
    target_client::{self, TargetClient},
    target_probes::TargetProbes,
};
use access::{authorize, limit_response};
use answers::unavailable;
use online::OnlineRequest;

/// Time limit for reading a whole request body. The operators' limits bound only the waits for a request and its head.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// `Retry-After` of a gateway that has no routes yet: it retries the store more often than this.
const NOT_READY_RETRY_MS: u64 = 300;

/// Answer to a request whose body was not read for lack of memory, and its `Retry-After`: slow callers are disconnected
/// after some seconds, and release what is buffered for them.
const NO_MEMORY: &str =
    "the request has not run: the gateway's memory for request bodies is used up";
const NO_MEMORY_RETRY_MS: u64 = 1_000;

/// Fields above which a head counts as large. Its fields take many times the memory of their text, here and at targets.
const LARGE_HEAD_FIELDS: usize = 48;
/// Most requests with large heads that are handled at the same time: few callers send such heads, and a crowd that does must
/// not take the memory or the slots of all others.
pub const MAX_LARGE_HEADS: usize = 4;
const TOO_MANY_LARGE_HEADS: &str =
    "the request has not run: too many requests with this many header fields are handled";

/// State that all request handlers share.
pub struct Front {
    /// Header names and body formats of the platform.
    pub dialect: Rc<dyn Dialect>,
    /// Active routes.
    pub routes: Routes,
    /// Chooses targets for requests.
    pub placement: PlacementHandle,
    /// Connections to targets.
    pub targets: TargetClient,
    /// Probes of silent targets.
    pub target_probes: TargetProbes,
    /// Batch jobs.
    pub jobs: Jobs,
    /// Rate limits of workspaces.
    pub run_limits: RunLimits,
    /// Requests that crash targets.
    pub crash_reports: CrashReports,
    /// Software versions that began streams.
    pub stream_origins: StreamOrigins,
    /// Metrics of the process.
    pub metrics: Rc<Metrics>,
    /// Clock of the process.
    pub clock: Clock,
    /// Graceful shutdown of the process.
    pub shutdown: Shutdown,
    /// Number of online requests in progress.
    pub open_requests: Rc<Cell<usize>>,
    /// Permits for requests with large heads.
    pub large_heads: Permits,
    /// Budget for what is held for callers.
    pub buffers: Buffers,
    /// Whether streams are read ahead of slow callers.
    pub reads_ahead: bool,
}

/// Answers one request of a caller, and echoes its request id.
pub async fn answer(front: Rc<Front>, request: Request<Incoming>) -> Response<Body> {
    let id = request.headers().get(&front.dialect.headers().request_id).cloned();
    let mut response = route_request(&front, request).await;
    if let Some(id) = id {
        response.headers_mut().insert(front.dialect.headers().request_id.clone(), id);
    }
    response
}

async fn route_request(front: &Rc<Front>, request: Request<Incoming>) -> Response<Body> {
    let Some(table) = front.routes.current() else {
        front.metrics.refused(Refusal::NotReady);
        let refusal = refusal_response(Refusal::NotReady, NOT_READY_RETRY_MS);
        return answer_head(request, CallerLimits::default().body_bytes, refusal);
    };
    match front.dialect.job_call(request.method(), request.uri()) {
        Some(Ok(call)) => return answer_job_call(front, &table, call, &request).await,
        Some(Err(problem)) => return json_message(StatusCode::BAD_REQUEST, problem),
        None => {}
    }
    let host = request_host(&request).unwrap_or_default().to_owned();
    let Some(route) = table.find(&host, request.uri().path()).cloned() else {
        log::info!(host, path = request.uri().path(), routes_version = table.version; "front: no matching route");
        let answer = json_message(StatusCode::NOT_FOUND, "no route serves this host and path");
        return answer_head(request, table.limits.body_bytes, answer);
    };
    let workspace = match authorize(front, &table, route.is_public, request.headers()) {
        Ok(workspace) => workspace,
        Err(answer) => return answer_head(request, table.limits.body_bytes, *answer),
    };
    let large_head = match large_head(front, request.headers()) {
        Ok(large_head) => large_head,
        Err(answer) => return answer_head(request, table.limits.body_bytes, *answer),
    };
    let (mut parts, body) = request.into_parts();
    let arriving = parts.extensions.get::<BodyArrival>().map(BodyArrival::begin);
    let body = match read_body(front, &table, body).await {
        Ok(body) => body,
        Err(answer) => return *answer,
    };
    drop(arriving);
    match route.kind {
        RouteKind::Batch(rule) => {
            let path = parts.uri.path().to_owned();
            let Some(id) = request_id(front, &parts.headers) else { return missing_id() };
            let workspace = workspace.map(|it| Name::clone(&it.name));
            let job = (job_name(workspace.as_deref(), id), workspace);
            let submitted = submission(&table, (&route, rule), job, (host, path), body);
            front.jobs.submit(submitted, Forwarding::Allowed).await
        }
        RouteKind::Repeatable | RouteKind::Once | RouteKind::Stream { .. } => {
            let name = workspace.as_ref().map(|it| &*it.name);
            target_client::set_workspace(&mut parts.headers, front.dialect.headers(), name);
            let request = OnlineRequest::new(Rc::clone(front), (route, table.version), parts, body);
            let mut request = request.with_large_head(large_head);
            if !front.shutdown.takes_request(request.deadline()) {
                return request.refuse_stopping();
            }
            if let Some(workspace) = workspace {
                request = match request.with_workspace(&workspace, table.version).await {
                    Ok(request) => request,
                    Err(over) => return limit_response(over.retry_after_ms),
                };
            }
            request.answer().await
        }
    }
}

/// Permit for a request with a large head; `None` if its head is not large.
fn large_head(front: &Front, headers: &HeaderMap) -> Result<Option<Permit>, Box<Response<Body>>> {
    if headers.len() <= LARGE_HEAD_FIELDS {
        return Ok(None);
    }
    let permit = front.large_heads.try_acquire();
    permit.map(Some).ok_or_else(|| {
        front.metrics.refused(Refusal::Overloaded);
        log::info!(fields = headers.len(); "front: too many requests with large heads");
        Box::new(unavailable(TOO_MANY_LARGE_HEADS, NO_MEMORY_RETRY_MS))
    })
}

/// Answers a call for a job of the caller's workspace. A job of another workspace has another name, and is not found.
async fn answer_job_call(
    front: &Rc<Front>,
    table: &RouteTable,
    call: JobCall,
    request: &Request<Incoming>,
) -> Response<Body> {
    let host = request_host(request).unwrap_or_default();
    let is_public = table.has_public_batch_route(host);
    let workspace = match authorize(front, table, is_public, request.headers()) {
        Ok(workspace) => workspace,
        Err(answer) => return *answer,
    };
    let call = call.in_workspace(workspace.as_ref().map(|it| &*it.name));
    let wait = requested_wait(&*front.dialect, request.headers());
    front.jobs.handle(call, wait).await
}

/// Answers a submission that another gateway forwards because it cannot reach the store.
pub async fn answer_forwarded(front: Rc<Front>, request: Request<Incoming>) -> Response<Body> {
    let host = request_host(&request).unwrap_or_default().to_owned();
    let path =
        request.uri().path().strip_prefix(forward::PATH_PREFIX).unwrap_or_default().to_owned();
    let table = front.routes.current();
    let found = table.as_ref().and_then(|it| Some((it, it.find(&host, &path)?)));
    let Some((table, route)) = found else {
        return json_message(StatusCode::NOT_FOUND, "no route serves this host and path");
    };
    let RouteKind::Batch(rule) = route.kind else {
        return json_message(StatusCode::NOT_FOUND, "no batch route serves this host and path");
    };
    let Some(job) = request_id(&front, request.headers()).map(JobName::from) else {
        return missing_id();
    };
    let workspace = request.headers().get(&front.dialect.headers().workspace);
    let workspace = workspace.and_then(|it| it.to_str().ok()).map(Name::from);
    match read_body(&front, table, request.into_body()).await {
        Ok(body) => {
            let submitted = submission(table, (route, rule), (job, workspace), (host, path), body);
            front.jobs.submit(submitted, Forwarding::Forbidden).await
        }
        Err(answer) => *answer,
    }
}

/// The request id of a submission names the job.
fn request_id<'a>(front: &Front, headers: &'a HeaderMap) -> Option<&'a str> {
    headers.get(&front.dialect.headers().request_id)?.to_str().ok()
}

fn missing_id() -> Response<Body> {
    json_message(StatusCode::BAD_REQUEST, "a submission needs an id")
}

fn submission(
    table: &RouteTable,
    (route, rule): (&Route, BatchTimes),
    (job, workspace): (JobName, Option<Name>),
    (host, path): (String, String),
    body: Bytes,
) -> SubmittedJob {
    let (attempts, routes_version) = (route.attempts, table.version);
    let service = route.main_service().cloned();
    let max_header_bytes = table.limits.header_bytes;
    SubmittedJob {
        job,
        workspace,
        host,
        path,
        service,
        rule,
        attempts,
        routes_version,
        max_header_bytes,
        body,
    }
}

async fn read_body(
    front: &Front,
    table: &RouteTable,
    body: Incoming,
) -> Result<Bytes, Box<Response<Body>>> {
    let max_bytes = table.limits.body_bytes;
    let is_waiting = Cell::new(false);
    let reading = front.buffers.read_whole(Holder::RequestBody, body, max_bytes, &is_waiting);
    match within(BODY_TIMEOUT, reading).await {
        Some(Ok(body)) => Ok(body),
        Some(Err(UnreadReason::TooLarge)) => Err(Box::new(json_message(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is above the limit",
        ))),
        Some(Err(UnreadReason::Cut(err))) => {
            log::info!(problem:% = err; "front: request body incomplete");
            Err(Box::new(json_message(StatusCode::BAD_REQUEST, "the body was cut")))
        }
        Some(Err(UnreadReason::NoMemory)) => Err(Box::new(no_memory(front))),
        None if is_waiting.get() => Err(Box::new(no_memory(front))),
        None => {
            Err(Box::new(json_message(StatusCode::REQUEST_TIMEOUT, "the body came too slowly")))
        }
    }
}

/// Refuses a request whose body was not read for lack of memory.
fn no_memory(front: &Front) -> Response<Body> {
    front.metrics.body_without_memory();
    log::info!(held_bytes = front.buffers.usage().held_bytes; "front: no memory for a request body");
    unavailable(NO_MEMORY, NO_MEMORY_RETRY_MS)
}

/// Answers a request by its head. The answer is sent at once, and the body is read after it. A caller that waits for permission
/// to send its body is given none.
fn answer_head(
    request: Request<Incoming>,
    max_bytes: usize,
    answer: Response<Body>,
) -> Response<Body> {
    if request.headers().contains_key(header::EXPECT) {
        return answer;
    }
    let unread = UnreadBody::new(request.into_body(), max_bytes, BODY_TIMEOUT);
    answer.map(|it| it.before_end_of(unread))
}

fn request_host<B>(request: &Request<B>) -> Option<&str> {
    let header = request.headers().get(header::HOST).and_then(|it| it.to_str().ok());
    header.or_else(|| request.uri().host())
}

/// How long a caller lets a read wait for new results; zero without the header.
fn requested_wait(dialect: &dyn Dialect, headers: &HeaderMap) -> Duration {
    let wait_ms = header_number(headers.get(&dialect.headers().wait_ms));
    Duration::from_millis(wait_ms.unwrap_or(0))
}

/// Parses a header value as a number; `None` if it is missing or not a number.
fn header_number(value: Option<&HeaderValue>) -> Option<u64> {
    value?.to_str().ok()?.trim().parse().ok()
}
