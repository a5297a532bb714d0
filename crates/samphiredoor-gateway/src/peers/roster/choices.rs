//! Which of the other gateways this process turns to for a task.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::seq::{IndexedRandom, SliceRandom};
use samphiredoor_core::{
    placement::{CellId, Distance, name_hash},
    rate_limit::{Coordinators, OtherGateway},
    rendezvous,
};

use super::{
    Roster,
    peer::{DEAD_AFTER, Peer},
};

/// Time after the first list of gateways in which those that were not seen yet may coordinate rate limits: after a
/// start of all, their first statuses and summaries are still to come.
const COORDINATORS_UNSEEN: Duration = DEAD_AFTER;
/// Number of gateways that a process assumes before it knows them. It has the smallest budget for rate limits then.
const UNKNOWN_GATEWAYS: u32 = u32::MAX;

/// A live gateway that has the newest active routes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoutesHolder {
    /// Version of its routes.
    pub version: u64,
    /// Address for calls to it.
    pub address: SocketAddr,
    /// Distance from this process.
    pub distance: Distance,
}

impl Roster {
    /// Address of a random gateway of a cell: of a live one if there is any.
    pub fn random_address_in(&self, cell: CellId) -> Option<SocketAddr> {
        let (cells, peers) = (self.cells(), self.peers.borrow());
        let gateways: Vec<&Peer> =
            cells.gateways(cell).iter().filter_map(|it| peers.get(it)).collect();
        let live: Vec<&Peer> = gateways.iter().copied().filter(|it| it.is_live()).collect();
        let candidates = if live.is_empty() { &gateways } else { &live };
        candidates.choose(&mut rand::rng()).map(|it| it.address)
    }

    /// Hashes of the names of all registered gateways, live or not, and of this one.
    pub fn registered_keys(&self) -> impl Iterator<Item = u64> {
        let names = self.names.borrow();
        let others: Vec<u64> = names.keys().copied().collect();
        others.into_iter().chain([name_hash(&self.local.name)])
    }

    /// Coordinators of a workspace's rate limit; none while this process reaches less than half of the expected gateways,
    /// as the others coordinate without it then.
    pub fn coordinators(&self, workspace: u64) -> Coordinators {
        let Some(listed) = self.listed.get() else {
            return Coordinators { gateways: UNKNOWN_GATEWAYS, ..Coordinators::default() };
        };
        let now = Instant::now();
        let count_unseen = now.saturating_duration_since(listed) < COORDINATORS_UNSEEN;
        let peers = self.peers.borrow();
        let others = peers.iter().map(|(name, it)| OtherGateway {
            key: name_hash(name),
            is_live: it.is_live_at(now) || (it.last_seen.is_none() && count_unseen),
            is_expected: it.is_expected_at(now, self.started),
            is_stopping: it.stopping,
        });
        Coordinators::among(workspace, name_hash(&self.local.name), others)
    }

    /// Time since this process heard of more than half of the expected gateways, itself included.
    pub fn majority_seen_ago(&self) -> Duration {
        let now = Instant::now();
        let peers = self.peers.borrow();
        let expected = peers.values().filter(|it| it.is_expected_at(now, self.started));
        let mut ages: Vec<Duration> = expected
            .map(|it| now.saturating_duration_since(it.last_seen.unwrap_or(self.started)))
            .collect();
        let needed = ages.len().div_ceil(2);
        match needed.checked_sub(1) {
            Some(index) => *ages.select_nth_unstable(index).1,
            None => Duration::ZERO,
        }
    }

    /// Address of the gateway that reads a job from the store for the own region, unless it is this one: the one that
    /// rendezvous hashing prefers among those that are live and reach the store.
    pub fn reader_of(&self, job: &str) -> Option<SocketAddr> {
        let region = &self.local.location.region;
        let peers = self.peers.borrow();
        let readers =
            peers.iter().filter(|(_, it)| it.accepts_jobs() && it.location.region == *region);
        let own = name_hash(&self.local.name);
        let candidates = readers.map(|(name, _)| name_hash(name)).chain([own]);
        let chosen = rendezvous::choose(name_hash(job), candidates, 1).first().copied();
        drop(peers);
        chosen.filter(|it| *it != own).and_then(|it| self.address_of_hash(it))
    }

    /// The nearest live gateway that has the newest active routes, chosen at random among those at the same distance so
    /// that requests of many processes are spread over them.
    pub fn newest_routes(&self) -> Option<RoutesHolder> {
        let peers = self.peers.borrow();
        let live: Vec<&Peer> = peers.values().filter(|it| it.is_live()).collect();
        let version = live.iter().map(|it| it.routes_version).max()?;
        let holders = live.into_iter().filter(|it| it.routes_version == version).collect();
        let nearest = *self.nearest_first(holders).first()?;
        let distance = Distance::between(&self.local.location, &nearest.location);
        Some(RoutesHolder { version, address: nearest.address, distance })
    }

    /// Addresses of the gateways that can take over a job (live, reaching the store and not stopping): nearest first,
    /// and in random order at the same distance so that jobs are spread over them.
    pub fn takeover_candidates(&self) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        let candidates = peers.values().filter(|it| it.accepts_jobs()).collect();
        self.nearest_first(candidates).into_iter().map(|it| it.address).collect()
    }

    /// Sorts peers by distance, in random order at the same distance.
    fn nearest_first<'a>(&self, mut peers: Vec<&'a Peer>) -> Vec<&'a Peer> {
        peers.shuffle(&mut rand::rng());
        peers.sort_by_key(|it| Distance::between(&self.local.location, &it.location));
        peers
    }
}
