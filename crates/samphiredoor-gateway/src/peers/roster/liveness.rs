//! Which gateways are live, and whether this process is isolated from them.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use samphiredoor_core::Name;

use super::{
    super::presence::Presence,
    Roster, SUMMARIES_START_AFTER,
    peer::{DEAD_AFTER, DEAD_AFTER_OTHER_CELL, FAILOVER_TIMEOUT, Peer},
};

/// Time after the first list of gateways from which a gateway of another cell that was never seen counts as dead. Its
/// cell may have started at the same time, and starts to send summaries later.
const NEVER_SEEN_DEAD_AFTER_OTHER_CELL: Duration =
    DEAD_AFTER_OTHER_CELL.saturating_add(SUMMARIES_START_AFTER).saturating_add(FAILOVER_TIMEOUT);

/// Whether one incarnation of another gateway works on its jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// It is live and reaches the store. A gateway that is stopping counts too, as it hands its jobs over itself.
    Alive,
    /// It is live, and its statuses say since this time that it does not reach the store.
    StoreLost(Instant),
    /// It timed out or has restarted.
    Dead,
    /// This process has not been running long enough to decide, or a restarted gateway has not sent a status yet.
    Unknown,
}

impl Roster {
    /// Whether one incarnation of a gateway works on its jobs.
    pub fn liveness(&self, name: &str, incarnation: u64) -> Liveness {
        let is_near = self.cells().len() < 2 || self.is_in_own_cell(name);
        let never_seen_dead_after =
            if is_near { DEAD_AFTER } else { NEVER_SEEN_DEAD_AFTER_OTHER_CELL };
        let peers = self.peers.borrow();
        match peers.get(name).filter(|it| it.is_live()) {
            Some(peer) if peer.incarnation == incarnation => {
                peer.store_lost_since.map_or(Liveness::Alive, Liveness::StoreLost)
            }
            // It has restarted, and the last status came from its previous incarnation.
            Some(peer) if peer.incarnation < incarnation => Liveness::Unknown,
            Some(_) => Liveness::Dead,
            _ if self.listed.get().is_none_or(|it| it.elapsed() < never_seen_dead_after) => {
                Liveness::Unknown
            }
            _ => Liveness::Dead,
        }
    }

    /// Whether a later incarnation of a gateway has been seen.
    pub fn has_restarted(&self, name: &str, incarnation: u64) -> bool {
        let peers = self.peers.borrow();
        peers.get(name).is_some_and(|it| it.last_seen.is_some() && it.incarnation > incarnation)
    }

    /// Addresses and incarnations of the live gateways.
    pub fn live_incarnations(&self) -> Vec<(SocketAddr, u64)> {
        let peers = self.peers.borrow();
        let live = peers.values().filter(|it| it.is_live());
        live.map(|it| (it.address, it.incarnation)).collect()
    }

    /// Whether this incarnation of a gateway or a later one has been seen.
    pub fn has_been_seen(&self, name: &str, incarnation: u64) -> bool {
        let peers = self.peers.borrow();
        peers.get(name).is_some_and(|it| it.last_seen.is_some() && it.incarnation >= incarnation)
    }

    /// Whether at least half of the expected gateways are live. A process for which fewer are live may be isolated itself:
    /// it would take over the jobs of all others, and they would take them back. Gateways that are gone are not expected.
    /// `false` before the first list of gateways.
    pub fn at_least_half_live(&self) -> bool {
        self.listed.get().is_some() && self.live_count() * 2 >= self.expected_count()
    }

    /// Whether this process has lost, or is about to lose, contact with more than half of the expected gateways;
    /// `true` before the first list of gateways.
    pub fn is_isolated(&self) -> bool {
        let live = self.peers.borrow().values().filter(|it| it.is_live_with_margin()).count();
        self.listed.get().is_none() || live * 2 < self.expected_count()
    }

    /// Number of gateways that this process hears, itself among them.
    pub fn group_size(&self) -> usize {
        self.live_count() + 1
    }

    /// Whether the statuses of a gateway arrive.
    pub fn is_heard(&self, name: &str) -> bool {
        self.peers.borrow().get(name).is_some_and(Peer::is_live)
    }

    /// Whether the first list of gateways was applied at least some time ago.
    pub fn is_listed_for(&self, at_least: Duration) -> bool {
        self.listed.get().is_some_and(|it| it.elapsed() >= at_least)
    }

    /// Whether the first list of gateways is so long ago that each live one has been heard, unless it is cut off.
    pub fn has_heard_live_gateways(&self) -> bool {
        self.is_listed_for(NEVER_SEEN_DEAD_AFTER_OTHER_CELL)
    }

    /// Whether no gateway before this one in order of name is live, reaches the store and is not stopping.
    pub fn is_first_working(&self) -> bool {
        let peers = self.peers.borrow();
        let mut before = peers.iter().take_while(|(name, _)| **name < self.local.name);
        !before.any(|(_, it)| it.accepts_jobs())
    }

    /// Marks gateways that are not live and match as gone until there is a sign of them.
    pub fn mark_gone(&self, matches: impl Fn(&Name) -> bool) {
        let mut peers = self.peers.borrow_mut();
        let silent = peers.iter_mut().filter(|(_, it)| !it.is_live() && !it.is_gone);
        for (name, peer) in silent.filter(|(name, _)| matches(name)) {
            log::info!(peer = &**name; "peers: peer is gone");
            peer.is_gone = true;
        }
    }

    /// Records that a gateway has written its entry, and the query or answer that the entry holds.
    pub fn record_written(&self, name: &str, presence: Option<Presence>) {
        let mut peers = self.peers.borrow_mut();
        let Some(peer) = peers.get_mut(name) else { return };
        peer.is_gone = false;
        let Some(Presence { is_query, group_size }) = presence else { return };
        let now = Instant::now();
        peer.last_presence = Some(now);
        if !is_query {
            peer.answered = Some((group_size, now));
        }
    }

    /// Whether a gateway that this process hears has answered the last query of another one, whose group is of this size.
    pub fn has_answered_since(&self, asking: &str, group_size: usize) -> bool {
        let peers = self.peers.borrow();
        let Some(asked_at) = peers.get(asking).and_then(|it| it.last_presence) else {
            return false;
        };
        let has_answered =
            |it: &Peer| it.answered.is_some_and(|(size, at)| size >= group_size && at >= asked_at);
        peers.iter().any(|(name, it)| **name != *asking && it.is_live() && has_answered(it))
    }

    /// Number of peers that are registered and neither gone nor forgotten, live or not.
    fn expected_count(&self) -> usize {
        let now = Instant::now();
        let peers = self.peers.borrow();
        peers.values().filter(|it| it.is_expected_at(now, self.started)).count()
    }

    /// Number of live gateways, without this one.
    pub fn live_count(&self) -> usize {
        let peers = self.peers.borrow();
        peers.values().filter(|it| it.is_live()).count()
    }

    /// Addresses of all live gateways, without this one.
    pub fn live_addresses(&self) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        peers.values().filter(|it| it.is_live()).map(|it| it.address).collect()
    }

    /// Number of live gateways in this process's region, including this one.
    pub fn live_in_region(&self) -> usize {
        let peers = self.peers.borrow();
        let near = |it: &&Peer| it.is_live() && it.location.region == self.local.location.region;
        1 + peers.values().filter(near).count()
    }
}
