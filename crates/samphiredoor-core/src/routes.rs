//! Which service answers a request: routes by host and path prefix, with weighted splits.
//!
//! A [`RouteTable`] is one version of the operators' routes. A process keeps the newest it has seen in a [`LatestRoutes`],
//! which takes only higher versions: an older one that arrives late, from a slow read or a peer, would take effect
//! again after callers have seen its successor.

use std::{collections::HashMap, sync::Arc};

use smallvec::SmallVec;

use crate::Name;

/// What may be done with a request that got no answer, and what its answer looks like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// One answer; may run more than once.
    Repeatable,
    /// One answer; runs at most once for each attempt of the caller.
    Once,
    /// A stream of numbered events.
    Stream {
        /// Whether another target can continue it after an event.
        resumable: bool,
    },
    /// Jobs of many items that run later.
    Batch(BatchTimes),
}

impl RouteKind {
    /// Whether a request may be sent again although an earlier send may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RouteKind::Repeatable | RouteKind::Stream { resumable: true })
    }
}

/// Times of a batch route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BatchTimes {
    /// From submission to the time when all results are due.
    pub due_ms: u64,
    /// From submission to the time from which items may be given up.
    pub give_up_ms: u64,
}

/// One service of a split.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Split {
    /// Service.
    pub service: Name,
    /// Its part of the requests, against the sum of all weights.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs.
    pub name: Name,
    /// Host that callers name.
    pub host: Name,
    /// Beginning of the path; ends with a slash.
    pub prefix: Name,
    /// What may be done with its requests.
    pub kind: RouteKind,
    /// Services that share its requests.
    pub splits: SmallVec<[Split; 2]>,
    /// Longest time that a caller is kept waiting.
    pub timeout_ms: u64,
    /// Time within which an answer begins, as callers want it.
    pub objective_ms: u64,
    /// Most targets on which one request runs.
    pub attempts: u32,
    /// Urgency; 0 is the highest.
    pub priority: u32,
}

impl Route {
    /// Service for one request; `draw` is uniform in 0..1.
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

/// Bounds on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Longest wait for a request's head or for more of its body.
    pub header_ms: u64,
    /// How long a connection may stay idle.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    /// Bounds in force until the operators' are known; those of common HTTP servers.
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
    /// Version; 0 for the empty table before the first.
    pub version: u64,
    /// Bounds on callers.
    pub limits: CallerLimits,
    // Longest prefix first, so that the first match is the right one.
    by_host: HashMap<Name, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Table of the given routes.
    pub fn new(version: u64, limits: CallerLimits, routes: Vec<Route>) -> RouteTable {
        let mut by_host: HashMap<Name, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(Name::clone(&route.host)).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|it| std::cmp::Reverse(it.prefix.len()));
        }
        RouteTable { version, limits, by_host }
    }

    /// Route of a request: the longest prefix among those of its host. A port in `host` does not count.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.by_host.get(host)?;
        routes.iter().find(|it| path.starts_with(&*it.prefix))
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }
}

/// The newest table that a process has seen.
#[derive(Debug, Clone, Default)]
pub struct LatestRoutes {
    current: Arc<RouteTable>,
}

impl LatestRoutes {
    /// Puts a table in force if its version is above the current one; says whether it did.
    pub fn update_if_newer(&mut self, table: RouteTable) -> bool {
        if table.version <= self.current.version {
            return false;
        }
        self.current = Arc::new(table);
        true
    }

    /// Table in force; `None` before the first.
    pub fn current(&self) -> Option<&Arc<RouteTable>> {
        (self.current.version > 0).then_some(&self.current)
    }
}
