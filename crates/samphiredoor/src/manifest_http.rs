//! The `/manifest` endpoint of the operators' listener: reads and replaces the manifest.

use std::rc::Rc;

use hyper::{Request, Response, StatusCode, body::Incoming, header};
use samphiredoor_core::manifest::Manifest;
use samphiredoor_net::{Body, answers};

use crate::{
    answers::{bad_request, not_found},
    door::Door,
    manifest_change::{change, change_response},
    request_body::RequestBody,
    request_spec::header_text,
};

const MAX_MANIFEST_BYTES: usize = 450_000;
const OPERATOR_HEADER: &str = "x-samphiredoor-operator";

/// Responds with the active record.
pub async fn get(door: &Door) -> Response<Body> {
    match door.manifest.record_above(0).await {
        Some(record) => answers::json(StatusCode::OK, record.to_vec()),
        None => not_found("no manifest is active yet"),
    }
}

/// Replaces the manifest. With `if-match` or `expected_revision`, only if that revision is the latest.
pub async fn put(door: &Rc<Door>, request: Request<Incoming>) -> Response<Body> {
    let expected = match expected_revision(&request) {
        Ok(expected) => expected,
        Err(answer) => return answer,
    };
    let operator = header_text(request.headers(), OPERATOR_HEADER).unwrap_or("operator").to_owned();
    let body = RequestBody::new(request.into_body(), MAX_MANIFEST_BYTES, door.config.body_timeout);
    let body = match body.read_to_end(&door.buffers).await {
        Ok(body) => body,
        Err(err) => return err.answer(),
    };
    let declared = match serde_json::from_slice(&body) {
        Ok(declared) => declared,
        Err(err) => return bad_request("manifest", &err.to_string()),
    };
    if let Err(err) = Manifest::new(1, &declared) {
        return bad_request(&err.field, &err.problem);
    }
    let declared = serde_json::from_slice(&body).unwrap_or_default();
    change_response(change(door, &operator, declared, expected).await)
}

fn expected_revision(request: &Request<Incoming>) -> Result<Option<u64>, Response<Body>> {
    let query = request.uri().query().unwrap_or_default();
    let in_query = query.split('&').find_map(|it| it.strip_prefix("expected_revision="));
    let in_header = header_text(request.headers(), header::IF_MATCH.as_str());
    let Some(text) = in_header.or(in_query) else { return Ok(None) };
    match text.trim_matches('"').parse() {
        Ok(revision) => Ok(Some(revision)),
        Err(_) => Err(bad_request("if-match", "is no revision; give a number")),
    }
}
