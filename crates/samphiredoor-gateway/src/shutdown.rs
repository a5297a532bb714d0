//! State of a graceful shutdown: whether one has begun, and which requests are still taken.
//!
//! A process has to be gone at a fixed time after the signal. While the load balancer may still send it connections, it takes
//! every request. Later ones come on connections that callers have kept; they are taken only if they end in time even if they
//! last as long as they may, as a request that has been sent to a target would be cut otherwise.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

/// Time before a process is killed by which its last request has to end, so that it can log and exit.
const EXIT_TIME: Duration = Duration::from_millis(300);

/// How long the steps of a graceful shutdown take, from the signal on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownTimes {
    /// Time until the callers' listener closes. The load balancer notices by then that the readiness checks fail.
    pub unready: Duration,
    /// Time until the last request has to end.
    pub limit: Duration,
}

impl ShutdownTimes {
    /// Times for a process that is killed `grace` after the signal, and has to finish its requests within `finish` after its
    /// listener closes, if that is set.
    pub fn new(unready: Duration, finish: Option<Duration>, grace: Duration) -> ShutdownTimes {
        let unready = unready.min(grace / 2);
        let limit = grace.saturating_sub(EXIT_TIME).max(unready);
        ShutdownTimes { unready, limit: finish.map_or(limit, |it| limit.min(unready + it)) }
    }
}

#[derive(Debug, Clone, Copy)]
struct Begun {
    at: Instant,
    times: ShutdownTimes,
}

/// Handle to the state of the shutdown; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Shutdown {
    begun: Rc<Cell<Option<Begun>>>,
}

impl Shutdown {
    /// Begins the shutdown.
    pub fn begin(&self, times: ShutdownTimes) {
        self.begun.set(Some(Begun { at: Instant::now(), times }));
    }

    /// Whether the shutdown has begun.
    pub fn has_begun(&self) -> bool {
        self.begun.get().is_some()
    }

    /// Whether a request that comes now and may last until `latest_end` is taken.
    pub fn takes_request(&self, latest_end: Instant) -> bool {
        self.begun.get().is_none_or(|Begun { at, times }| {
            at.elapsed() < times.unready || latest_end <= at + times.limit
        })
    }
}
