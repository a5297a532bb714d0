//! Request to a target, kept in memory so that it can be sent again.

use bytes::Bytes;
use hyper::{HeaderMap, Method, Request, Uri};

use crate::body::Body;

/// Request with its complete body.
#[derive(Debug, Clone)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl Call {
    /// HTTP request for one attempt of the call.
    pub fn request(&self) -> Request<Body> {
        let mut request = Request::new(Body::full(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        request
    }
}
