//! Responses that the process itself makes, as opposed to responses of targets.

use bytes::Bytes;
use hyper::{
    Response, StatusCode,
    header::{self, HeaderValue},
};

use crate::body::Body;

/// Response with `text` as its JSON body.
pub fn json(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Body::full(text));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}
