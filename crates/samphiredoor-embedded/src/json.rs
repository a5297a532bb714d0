//! Answers in JSON.

use hyper::{Response, StatusCode};
use samphiredoor_net::{Body, answers};
use serde::Serialize;

/// Answer with a JSON body.
pub fn answer<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    answers::json(status, serde_json::to_vec(value).unwrap_or_default())
}

/// Status object, as the object API's convention has it.
pub fn status(status: StatusCode, reason: &str, message: &str) -> Response<Body> {
    let value = serde_json::json!({
        "kind": "Status",
        "code": status.as_u16(),
        "reason": reason,
        "message": message,
    });
    answer(status, &value)
}
