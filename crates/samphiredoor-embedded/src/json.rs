//! JSON responses.

use hyper::{Response, StatusCode};
use samphiredoor_net::{Body, answers};
use serde::Serialize;

/// Response with a JSON body; the body is empty if the value cannot be serialised.
pub fn answer<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    answers::json(status, serde_json::to_vec(value).unwrap_or_default())
}

/// Response with a `Status` object, the format in which the object API reports errors.
pub fn status(status: StatusCode, reason: &str, message: &str) -> Response<Body> {
    let value = serde_json::json!({
        "kind": "Status",
        "code": status.as_u16(),
        "reason": reason,
        "message": message,
    });
    answer(status, &value)
}
