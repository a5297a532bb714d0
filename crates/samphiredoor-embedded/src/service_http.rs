//! A plain HTTP service that counts the runs of each request.
//!
//! Any request except `GET /runs` is answered with its own body after a delay; `GET /runs` returns the number of runs
//! by `x-request-id`.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use samphiredoor_net::Body;

use crate::json;

const MAX_BODY_BYTES: usize = 8_000_000;

/// HTTP handler of a plain service; clones share its state.
#[derive(Clone)]
pub struct PlainService {
    delay: Duration,
    runs: Rc<RefCell<BTreeMap<String, u32>>>,
}

impl PlainService {
    /// Service that answers each request after `delay`.
    pub fn new(delay: Duration) -> PlainService {
        PlainService { delay, runs: Rc::default() }
    }

    /// Handles one request.
    pub async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        if request.method() == Method::GET && request.uri().path() == "/runs" {
            return json::answer(StatusCode::OK, &*self.runs.borrow());
        }
        let id = request.headers().get("x-request-id").and_then(|it| it.to_str().ok());
        let id = id.unwrap_or("unnamed").to_owned();
        let body = match json::read_body(request.into_body(), MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        *self.runs.borrow_mut().entry(id).or_default() += 1;
        compio::time::sleep(self.delay).await;
        Response::new(Body::full(body))
    }
}
