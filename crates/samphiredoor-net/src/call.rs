//! A call to a target, kept so that it can be sent again.

use bytes::Bytes;
use hyper::{HeaderMap, Method, Request, Uri};

use crate::body::Body;

/// What is sent to a target.
#[derive(Debug, Clone)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

impl Call {
    /// Request that makes the call once.
    pub fn request(&self) -> Request<Body> {
        let mut request = Request::new(Body::full(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        request
    }
}
