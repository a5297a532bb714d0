//! Error answers that the gateway creates itself, as opposed to answers forwarded from targets.

use hyper::{
    Response, StatusCode,
    header::{self, HeaderValue},
};
use samphiredoor_core::verdict::{MayHaveRunReason, Refusal};
use samphiredoor_net::{Body, answers};
use serde_json::json;

/// Answer with the JSON body `{"error": message}`.
pub fn json_message(status: StatusCode, message: &str) -> Response<Body> {
    let text = json!({ "error": message }).to_string();
    answers::json(status, text)
}

/// 503 answer to a request that has certainly not run, with a `Retry-After` header in seconds to three decimals.
pub fn refusal_response(reason: Refusal, retry_after_ms: u64) -> Response<Body> {
    unavailable(reason.label(), retry_after_ms)
}

/// 503 answer with a message and a `Retry-After` header.
pub fn unavailable(message: &str, retry_after_ms: u64) -> Response<Body> {
    let mut response = json_message(StatusCode::SERVICE_UNAVAILABLE, message);
    let seconds = format!("{}.{:03}", retry_after_ms / 1_000, retry_after_ms % 1_000);
    if let Ok(seconds) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

/// Answer to a request that may have run: 504 if the deadline passed, otherwise 502.
pub fn may_have_run_response(reason: MayHaveRunReason) -> Response<Body> {
    let status = match reason {
        MayHaveRunReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    json_message(status, reason.label())
}
