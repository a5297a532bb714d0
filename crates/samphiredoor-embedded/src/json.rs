//! Answers in JSON.

use hyper::{Response, StatusCode, header};
use samphiredoor_net::Body;
use serde::Serialize;

/// Answer with a JSON body.
pub fn answer<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Body::full(body));
    *response.status_mut() = status;
    let content_type = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
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
