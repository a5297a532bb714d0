//! Answers of the gateway itself, as opposed to those of targets.

use hyper::{
    Response, StatusCode,
    header::{self, HeaderValue},
};
use samphiredoor_core::verdict::{MayHaveRunReason, Refusal};
use samphiredoor_net::{Body, answers};
use serde_json::json;

/// Answer with a short text.
pub fn json_message(status: StatusCode, message: &str) -> Response<Body> {
    let text = json!({ "error": message }).to_string();
    answers::json(status, text)
}

/// Answer that promises that the request has not run, with the time to come back, in milliseconds.
pub fn refusal_response(reason: Refusal, retry_after_ms: u64) -> Response<Body> {
    let mut response = json_message(StatusCode::SERVICE_UNAVAILABLE, reason.label());
    let seconds = format!("{}.{:03}", retry_after_ms / 1_000, retry_after_ms % 1_000);
    if let Ok(seconds) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

/// Answer to a request that may have run.
pub fn in_doubt(reason: MayHaveRunReason) -> Response<Body> {
    let status = match reason {
        MayHaveRunReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    json_message(status, reason.label())
}
