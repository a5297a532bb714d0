//! Builds the dispatcher's description of an online request from its path, headers and body.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::{HeaderMap, Response, Uri, header};
use samphiredoor_core::{
    Name,
    dispatch::{Class, RequestId, RequestSpec},
    ledger::service_in_path,
    manifest::ServiceKind,
    quarantine,
};
use samphiredoor_net::Body;
use serde::Deserialize;

use crate::{answers::bad_request, door::Door};

/// Header with the name of the workspace.
pub const WORKSPACE_HEADER: &str = "x-workspace";
/// Header with the deadline, in milliseconds from now.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the caller's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header with the request id that targets receive.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

const DEFAULT_WORKSPACE: &str = "default";
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 60 * 60);
const HASHED_PREFIX_BYTES: usize = 256;

/// The fields of a completion request that the gateway reads.
#[derive(Debug, Default)]
#[derive(Deserialize)]
pub struct CompletionParams {
    #[serde(default)]
    /// Requested service.
    pub model: String,
    #[serde(default)]
    /// Whether the answer is to be streamed.
    pub stream: bool,
}

/// Reads the requested service, and whether to stream the answer.
///
/// # Errors
///
/// Describes the fault of the body.
pub fn read_completion_params(uri: &Uri, body: &Bytes) -> Result<CompletionParams, String> {
    if let Some(service) = service_in_path(uri.path()) {
        return Ok(CompletionParams { model: service.to_owned(), stream: false });
    }
    let params: CompletionParams = serde_json::from_slice(body).map_err(|err| err.to_string())?;
    if params.model.is_empty() {
        return Err("the name of a service is required".to_owned());
    }
    Ok(params)
}

/// Builds the dispatcher's description of the request; the deadline is by the monotonic clock of this process.
///
/// # Errors
///
/// Returns the answer to the caller if a header is invalid.
pub fn build_request_spec(
    door: &Door,
    headers: &HeaderMap,
    params: &CompletionParams,
    uri: &Uri,
    body: &Bytes,
) -> Result<(RequestSpec, Instant), Response<Body>> {
    let workspace: Name =
        header_text(headers, WORKSPACE_HEADER).unwrap_or(DEFAULT_WORKSPACE).into();
    let manifest = door.manifest.current();
    let service = manifest.services.get(params.model.as_str());
    let default = door.config.default_deadline;
    let deadline = match header_text(headers, DEADLINE_HEADER) {
        None => service.map_or(default, |it| default.min(Duration::from_millis(it.deadline_ms))),
        Some(text) => match text.parse() {
            Ok(deadline_ms) => Duration::from_millis(deadline_ms).min(MAX_DEADLINE),
            Err(_) => return Err(bad_request(DEADLINE_HEADER, "is not a number of milliseconds")),
        },
    };
    let prefix = &body[..body.len().min(HASHED_PREFIX_BYTES)];
    let spec = RequestSpec {
        request: door.dispatch.next_request(),
        class: Class::Online,
        service: params.model.as_str().into(),
        workspace,
        deadline_ms: door.clock.now().mono_ms + deadline.as_millis() as u64,
        repeatable: service.is_none_or(|it| it.repeatable),
        prefix_hash: if is_engine(door, &params.model) { hash(prefix) } else { 0 },
        fingerprint: fingerprint(uri.path(), body),
        body_bytes: body.len() as u32,
        job: Name::from(""),
        due_unix_ms: None,
    };
    Ok((spec, Instant::now() + deadline))
}

/// Whether a service is a model engine. A service that is not in the manifest counts as one.
pub fn is_engine(door: &Door, service: &str) -> bool {
    let manifest = door.manifest.current();
    manifest.services.get(service).is_none_or(|it| it.kind == ServiceKind::Engine)
}

/// Hash that has the same value in every process and incarnation.
pub fn hash(bytes: &[u8]) -> u64 {
    quarantine::fingerprint([bytes])
}

/// Hash of a request's path and body, which identifies the request in the quarantine if it crashes targets.
pub fn fingerprint(path: &str, body: &[u8]) -> u64 {
    quarantine::fingerprint([path.as_bytes(), body])
}

/// Value of a header, if it is present and visible ASCII.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|it| it.to_str().ok())
}

/// Headers of a call to a target: the caller's `content-type`, `accept` and `authorization`, and its request id or a
/// new one that is unique among all gateways.
pub fn forwarded_headers(headers: &HeaderMap, door: &Door, request: RequestId) -> HeaderMap {
    let mut forwarded = HeaderMap::new();
    for name in [header::CONTENT_TYPE, header::ACCEPT, header::AUTHORIZATION] {
        if let Some(value) = headers.get(&name) {
            forwarded.insert(name, value.clone());
        }
    }
    let id = match header_text(headers, REQUEST_ID_HEADER) {
        Some(id) => id.to_owned(),
        None => format!("{}-{:x}-{}", door.config.name, door.incarnation, request.0),
    };
    if let Ok(value) = header::HeaderValue::from_str(&id) {
        forwarded.insert(REQUEST_ID_HEADER, value);
    }
    forwarded
}
