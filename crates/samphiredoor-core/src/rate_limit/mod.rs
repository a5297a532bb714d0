//! Rate limits of workspaces over all gateways.
//!
//! A limit allows a rate and a burst, so that in any window of `w` seconds at most `rate * w + burst` requests of a
//! workspace run, whatever gateways they arrive at. Rendezvous hashing gives each workspace two coordinators among the
//! gateways. Before a gateway sends a request to a target, it asks both at once for a run, and each has a token bucket
//! for the workspace ([`RateCoordinator`]). A grant of either is enough, as both buckets are charged for all runs. A refusal
//! is decided by the first coordinator; the second one takes its place if the first one is silent, or has restarted and
//! does not know what ran before ([`RunRequester`]).
//!
//! Messages carry totals instead of increments: how many runs a gateway has used and wants, and how many it has been
//! granted. A message that is lost, repeated or overtaken therefore does no harm, and a run that was granted but not
//! used is returned by the next total.
//!
//! A gateway that reaches no coordinator but itself has a small budget of its own. Its runs are charged when it reaches
//! one again.

mod bucket;
mod coordinator;
mod requester;

use std::fmt;

pub use bucket::TokenBucket;
pub use coordinator::RateCoordinator;
pub use requester::{Coordinators, OtherGateway, RunRequester, RunTicket, Step};

/// Largest rate and burst of a limit; the platform serves far less.
const MAX_VALUE: f64 = 1e9;
/// Longest retry-after of a refusal over the limit. A caller that is told to come back later gives up instead.
pub const MAX_RETRY_AFTER_MS: u64 = 2_000;

/// Limit on the runs of one workspace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Runs per second.
    pub rate_per_s: f64,
    /// Runs beyond the rate that may come at once.
    pub burst: f64,
}

/// A rate or burst that is negative, too large or no number.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InvalidRateLimit {
    /// The invalid value.
    pub value: f64,
}

impl fmt::Display for InvalidRateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a rate limit of {} is not between 0 and {MAX_VALUE}", self.value)
    }
}

impl std::error::Error for InvalidRateLimit {}

impl RateLimit {
    /// Creates a limit; `None` for a rate of 0, which means that there is no limit. At least one run may come at once.
    ///
    /// # Errors
    ///
    /// A value is negative, too large or no number.
    pub fn new(rate_per_s: f64, burst: f64) -> Result<Option<RateLimit>, InvalidRateLimit> {
        let is_valid = |value: &f64| (0.0..=MAX_VALUE).contains(value);
        if let Some(value) = [rate_per_s, burst].into_iter().find(|it| !is_valid(it)) {
            return Err(InvalidRateLimit { value });
        }
        Ok((rate_per_s > 0.0).then_some(RateLimit { rate_per_s, burst: burst.max(1.0) }))
    }

    /// Time in which the rate allows one run.
    pub fn interval_ms(&self) -> f64 {
        1_000.0 / self.rate_per_s
    }
}

/// How far a limit may be exceeded while gateways cannot coordinate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// Length of the windows in which runs are counted.
    pub window_ms: u64,
    /// Excess as a part of the runs that the limit allows in a window.
    pub fraction: f64,
    /// Excess in runs, in addition.
    pub runs: f64,
}

impl Tolerance {
    /// Runs that the limit allows in a window.
    fn window_runs(&self, limit: RateLimit) -> f64 {
        limit.rate_per_s * self.window_ms as f64 / 1_000.0 + limit.burst
    }

    /// Runs beyond the limit that are tolerated in a window.
    fn excess_runs(&self, limit: RateLimit) -> f64 {
        self.window_runs(limit) * self.fraction + self.runs
    }
}

/// Runs of one workspace at one gateway, as it reports them to the coordinators.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunReport {
    /// Hash of the workspace's name.
    pub workspace: u64,
    /// Hash of the gateway's name.
    pub gateway: u64,
    /// Incarnation of the gateway; a restart has a higher one, and counts from 0 again.
    pub incarnation: u64,
    /// Grows with each report that says something new on this workspace.
    pub sequence: u32,
    /// Runs since the gateway started, without those that were returned.
    pub used: u32,
    /// Runs that it has used, and those that requests wait for.
    pub wanted: u32,
    /// Limit of the workspace.
    pub limit: RateLimit,
    /// Version of the routes that the limit belongs to.
    pub limit_version: u64,
}

/// Answer of a coordinator to a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunGrant {
    /// Hash of the workspace's name.
    pub workspace: u64,
    /// Sequence number of the report.
    pub sequence: u32,
    /// Runs that the gateway may have used in total.
    pub granted: u32,
    /// Time after which a run that was wanted and not granted may be granted.
    pub retry_after_ms: u32,
    /// Whether the coordinator may not know all runs of the last window.
    pub is_new: bool,
}
