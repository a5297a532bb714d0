//! Answers that a process makes itself, as opposed to those of targets.

use bytes::Bytes;
use hyper::{
    Response, StatusCode,
    header::{self, HeaderValue},
};

use crate::body::Body;

/// Answer with a JSON text.
pub fn json(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Body::full(text));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}
