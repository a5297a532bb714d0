//! Readiness checks of the load balancer.

use std::{cell::Cell, rc::Rc};

use hyper::{Request, Response, StatusCode, body::Incoming};
use samphiredoor_net::Body;

use crate::{front::json_message, platform_api::Dialect, routes::Routes};

/// State behind the readiness checks of the load balancer.
pub struct Readiness {
    /// Recognises the checks.
    pub dialect: Rc<dyn Dialect>,
    /// Active routes.
    pub routes: Routes,
    /// Number of targets; `None` before the first list.
    pub targets_known: Rc<Cell<Option<usize>>>,
    /// Whether a graceful shutdown has begun.
    pub stopping: Rc<Cell<bool>>,
}

impl Readiness {
    /// Answers a check.
    pub fn answer(&self, request: &Request<Incoming>) -> Response<Body> {
        if !self.dialect.is_readiness_check(request.method(), request.uri().path()) {
            return json_message(StatusCode::NOT_FOUND, "only readiness is asked for here");
        }
        match self.problem() {
            None => json_message(StatusCode::OK, "ready"),
            Some(problem) => json_message(StatusCode::SERVICE_UNAVAILABLE, problem),
        }
    }

    /// Why the gateway is not ready; `None` if it is.
    fn problem(&self) -> Option<&'static str> {
        if self.stopping.get() {
            Some("stopping")
        } else if self.routes.current().is_none() {
            Some("no routes yet")
        } else if self.targets_known.get().is_none() {
            Some("no targets yet")
        } else {
            None
        }
    }
}
