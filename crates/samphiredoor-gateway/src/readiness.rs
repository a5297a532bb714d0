//! Readiness checks of the load balancer.

use std::{cell::RefCell, collections::HashSet, rc::Rc};

use hyper::{Request, Response, StatusCode, body::Incoming};
use samphiredoor_core::{Name, routes::RouteTable};
use samphiredoor_net::Body;

use crate::{front::json_message, platform_api::Dialect, routes::Routes, shutdown::Shutdown};

/// How much of the list of targets is known.
#[derive(Debug, Default)]
pub enum KnownTargets {
    /// Nothing yet.
    #[default]
    None,
    /// The first part of the list, with targets of these services.
    FirstPart(HashSet<Name>),
    /// All targets.
    All,
}

impl KnownTargets {
    /// Whether requests can be served by these routes. With a part of the list, that needs a target of each service: the
    /// requests for any other service would be refused, though it may have targets.
    fn suffice_for(&self, table: &RouteTable) -> bool {
        match self {
            KnownTargets::None => false,
            KnownTargets::FirstPart(services) => table.services().all(|it| services.contains(it)),
            KnownTargets::All => true,
        }
    }
}

/// State behind the readiness checks of the load balancer.
pub struct Readiness {
    /// Recognises the checks.
    pub dialect: Rc<dyn Dialect>,
    /// Active routes.
    pub routes: Routes,
    /// What is known of the targets.
    pub known_targets: Rc<RefCell<KnownTargets>>,
    /// Graceful shutdown of the process.
    pub shutdown: Shutdown,
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
        if self.shutdown.has_begun() {
            return Some("stopping");
        }
        let Some(table) = self.routes.current() else { return Some("no routes yet") };
        (!self.known_targets.borrow().suffice_for(&table)).then_some("no targets yet")
    }
}
