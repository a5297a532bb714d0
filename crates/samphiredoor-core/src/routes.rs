//! Routes by host and path prefix, with weighted splits between services.
//!
//! A [`RouteTable`] is one version of the operators' routes. A process keeps the newest version it has seen in a
//! [`LatestRoutes`], which only accepts higher versions. Otherwise an older version that arrives late, from a slow read
//! or a peer, would take effect again after callers have seen its successor.

use std::{collections::HashMap, sync::Arc};

use smallvec::SmallVec;

use crate::{Name, access::Workspaces, names::name_hash};

/// Form of a route's responses, and whether its requests can be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// One response; the request may run more than once.
    Repeatable,
    /// One response; the request runs at most once for each attempt of the caller.
    Once,
    /// A stream of numbered events.
    Stream {
        /// Whether another target can continue the stream after any event.
        resumable: bool,
    },
    /// Batch jobs, whose items run after the submission.
    Batch(BatchTimes),
}

impl RouteKind {
    /// Whether a request may be sent again although an earlier attempt may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RouteKind::Repeatable | RouteKind::Stream { resumable: true })
    }
}

/// Deadlines of the jobs of a batch route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BatchTimes {
    /// Time from the submission until all results are due.
    pub due_ms: u64,
    /// Time from the submission after which items may be abandoned.
    pub give_up_ms: u64,
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Split {
    /// Name of the service.
    pub service: Name,
    /// Share of the requests, relative to the sum of all weights of the route.
    pub weight: u32,
}

/// Maps requests by host and path prefix to services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Identifies the route in logs.
    pub name: Name,
    /// Host that callers address, without a port.
    pub host: Name,
    /// Path prefix; ends with a slash.
    pub prefix: Name,
    /// Form of the responses, and whether requests can be retried.
    pub kind: RouteKind,
    /// Services that share the requests.
    pub splits: SmallVec<[Split; 2]>,
    /// Time limit of a request.
    pub timeout_ms: u64,
    /// Service-level objective: time within which responses should begin.
    pub objective_ms: u64,
    /// Most targets that one request may run on.
    pub attempts: u32,
    /// 0 is the highest priority.
    pub priority: u32,
    /// Whether callers need no API key.
    pub is_public: bool,
}

impl Route {
    /// Service that gets the largest share of the requests.
    pub fn main_service(&self) -> Option<&Name> {
        let splits = self.splits.iter().filter(|it| it.weight > 0);
        splits.max_by_key(|it| it.weight).map(|it| &it.service)
    }

    /// The service with this hash from [`name_hash`], if requests of the route are sent to it.
    pub fn service_with_hash(&self, hash: u64) -> Option<&Name> {
        let splits = self.splits.iter().filter(|it| it.weight > 0);
        splits.map(|it| &it.service).find(|it| name_hash(it) == hash)
    }

    /// Picks the service for one request by weight; `draw` is a random number, uniform in 0..1.
    pub fn service(&self, draw: f64) -> Option<&Name> {
        let total: u32 = self.splits.iter().map(|it| it.weight).sum();
        let mut left = draw * f64::from(total);
        for split in &self.splits {
            left -= f64::from(split.weight);
            if left < 0.0 {
                return Some(&split.service);
            }
        }
        self.splits.iter().rev().find(|it| it.weight > 0).map(|it| &it.service)
    }
}

/// Limits on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Most bytes in a request's head.
    pub header_bytes: usize,
    /// Most bytes in a request's body.
    pub body_bytes: usize,
    /// Timeout for reading a request's head, and for each pause within its body.
    pub header_ms: u64,
    /// Time after which an idle connection is closed.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    /// Limits that apply until the operators' routes have been read; usual values of HTTP servers.
    fn default() -> CallerLimits {
        CallerLimits {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_ms: 10_000,
            idle_ms: 60_000,
        }
    }
}

/// One version of the operators' routes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RouteTable {
    /// Version of the operators' routes; 0 for the empty initial table.
    pub version: u64,
    /// Limits on what callers send.
    pub limits: CallerLimits,
    /// Workspaces whose keys callers need; `None` if none are declared, and callers need no key.
    pub workspaces: Option<Workspaces>,
    /// Longest prefix first, so that the first match is the most specific route.
    by_host: HashMap<Name, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Creates a table from routes in any order.
    pub fn new(version: u64, limits: CallerLimits, routes: Vec<Route>) -> RouteTable {
        let mut by_host: HashMap<Name, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(Name::clone(&route.host)).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|it| std::cmp::Reverse(it.prefix.len()));
        }
        RouteTable { version, limits, workspaces: None, by_host }
    }

    /// Sets the workspaces whose keys callers need.
    pub fn with_workspaces(self, workspaces: Workspaces) -> RouteTable {
        RouteTable { workspaces: Some(workspaces), ..self }
    }

    /// Route with the longest matching prefix among those of the host. A port in `host` is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.by_host.get(without_port(host))?;
        routes.iter().find(|it| path.starts_with(&*it.prefix))
    }

    /// Whether jobs can be submitted to the host without a key.
    pub fn has_public_batch_route(&self, host: &str) -> bool {
        let routes = self.by_host.get(without_port(host)).into_iter().flatten();
        routes.clone().any(|it| it.is_public && matches!(it.kind, RouteKind::Batch(_)))
    }

    /// Services that receive requests, once for each route that sends them some.
    pub fn services(&self) -> impl Iterator<Item = &Name> {
        let splits = self.by_host.values().flatten().flat_map(|it| &it.splits);
        splits.filter(|it| it.weight > 0).map(|it| &it.service)
    }

    /// Whether callers may take streams of a route up again.
    pub fn has_resumable_streams(&self) -> bool {
        let mut routes = self.by_host.values().flatten();
        routes.any(|it| matches!(it.kind, RouteKind::Stream { resumable: true }))
    }

    /// Number of routes, over all hosts.
    pub fn len(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }

    /// Whether the table has no routes.
    pub fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }
}

fn without_port(host: &str) -> &str {
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}

/// The newest table that a process has seen.
#[derive(Debug, Clone, Default)]
pub struct LatestRoutes {
    current: Arc<RouteTable>,
}

impl LatestRoutes {
    /// Replaces the active table if the new one has a higher version; returns whether it did.
    pub fn update_if_newer(&mut self, table: RouteTable) -> bool {
        if table.version <= self.current.version {
            return false;
        }
        self.current = Arc::new(table);
        true
    }

    /// Active table; `None` before the first one.
    pub fn current(&self) -> Option<&Arc<RouteTable>> {
        (self.current.version > 0).then_some(&self.current)
    }
}
