//! JSON requests and responses.

use bytes::Bytes;
use hyper::{Response, StatusCode, body::Incoming};
use samphiredoor_net::{Body, answers, body::read_whole};
use serde::{Serialize, de::DeserializeOwned};

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

/// `Status` response for a request that is malformed.
pub fn bad_request(message: &str) -> Response<Body> {
    status(StatusCode::BAD_REQUEST, "BadRequest", message)
}

/// Reads the body of a request; otherwise returns the response for a body that is too long or was cut off.
pub async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, Response<Body>> {
    let whole = read_whole(body, max_bytes).await;
    whole.map_err(|_| bad_request("the request body cannot be read"))
}

/// Parses a JSON body; otherwise returns the response for one that is invalid.
pub fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Response<Body>> {
    serde_json::from_slice(body).map_err(|err| bad_request(&err.to_string()))
}
