//! What is known of one other gateway, and whether it is live by that.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use samphiredoor_core::dispatch::Location;

/// Time without a status after which a gateway counts as dead. Statuses are sent at least twice a second and some are
/// lost; jobs of a gateway that is declared dead too early run twice.
pub const DEAD_AFTER: Duration = Duration::from_millis(2_500);
/// Time without a status after which the next gateway of a cell takes over sending the cell's summaries or watching the
/// store for it. Statuses are sent at least twice a second.
pub const FAILOVER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time without a report on a gateway of another cell after which it counts as dead. All summary senders of its cell
/// may fail at once, and their successors start only after the failover timeout.
pub const DEAD_AFTER_OTHER_CELL: Duration = DEAD_AFTER.saturating_add(FAILOVER_TIMEOUT);
/// Time by which this process treats itself as isolated before its peers can declare it dead. The last datagrams of the
/// two directions arrive at different moments.
const ISOLATION_MARGIN: Duration = Duration::from_millis(1_000);
/// Time without a status after which a gateway no longer counts among the expected ones.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// Registered address and location of a gateway, and its latest known status.
#[derive(Debug, Clone)]
pub struct Peer {
    pub address: SocketAddr,
    pub location: Location,
    /// When its newest known status was received, by this process or, for another cell, by a gateway of that cell.
    pub last_seen: Option<Instant>,
    /// When this process last saw a query or an answer in its entry in the store.
    pub last_presence: Option<Instant>,
    /// Last answer to a query that it wrote, and when.
    pub answered: Option<(usize, Instant)>,
    /// Whether it did not answer a query either, and was not seen since.
    pub is_gone: bool,
    /// Time without a status after which it counts as dead.
    pub dead_after: Duration,
    pub incarnation: u64,
    /// Since when its statuses say that it does not reach the store; `None` while it does.
    pub store_lost_since: Option<Instant>,
    /// When its statuses last said so.
    pub store_lost_at: Option<Instant>,
    pub stopping: bool,
    pub routes_version: u64,
}

impl Peer {
    /// Gateway that was registered and not seen yet.
    pub fn new(address: SocketAddr, location: Location) -> Peer {
        Peer {
            address,
            location,
            last_seen: None,
            last_presence: None,
            answered: None,
            is_gone: false,
            dead_after: DEAD_AFTER,
            incarnation: 0,
            store_lost_since: None,
            store_lost_at: None,
            stopping: false,
            routes_version: 0,
        }
    }

    /// Sets whether it reaches the store, by its newest status.
    pub fn set_store_reached(&mut self, reached: bool) {
        if reached {
            self.store_lost_since = None;
            return;
        }
        let now = Instant::now();
        self.store_lost_since = self.store_lost_since.or(Some(now));
        self.store_lost_at = Some(now);
    }

    pub fn is_live(&self) -> bool {
        self.is_live_at(Instant::now())
    }

    pub fn is_live_at(&self, now: Instant) -> bool {
        self.last_seen.is_some_and(|it| now.saturating_duration_since(it) < self.dead_after)
    }

    /// Whether there was a sign of it recently enough to count among the expected gateways. The time of one without any sign
    /// counts from the start of this process.
    pub fn is_expected_at(&self, now: Instant, started: Instant) -> bool {
        let last_sign = self.last_seen.max(self.last_presence).unwrap_or(started);
        !self.is_gone && now.saturating_duration_since(last_sign) < FORGET_AFTER
    }

    /// Whether its last status is so recent that it cannot have declared this process dead yet.
    pub fn is_live_with_margin(&self) -> bool {
        self.last_seen.is_some_and(|it| it.elapsed() + ISOLATION_MARGIN < self.dead_after)
    }

    /// Whether its last status is recent enough for it to send summaries or watch the store for its cell.
    pub fn was_seen_recently(&self) -> bool {
        self.last_seen.is_some_and(|it| it.elapsed() < FAILOVER_TIMEOUT)
    }

    /// Whether it works on its jobs, or is about to hand them over. Taking a job over from a process that is stopping
    /// would lose the partial output of its items: with twenty items half done, the work of ten whole items.
    pub fn is_working(&self) -> bool {
        self.is_live() && self.store_lost_since.is_none()
    }

    /// Whether it can take over jobs of other gateways.
    pub fn accepts_jobs(&self) -> bool {
        self.is_working() && !self.stopping
    }
}
