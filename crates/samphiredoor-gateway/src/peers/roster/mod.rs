//! Table of the other gateways (peers), kept up to date by their registrations, statuses and summaries, and the roles
//! that this process has among them.
//!
//! `peer` is one row of the table, `liveness` tells which gateways are live, `cells` which belong together, and `choices`
//! which one this process turns to for a task.

mod cells;
mod choices;
mod liveness;
mod peer;

use std::{
    cell::{Cell, RefCell},
    cmp::Reverse,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use samphiredoor_core::{
    Name,
    dispatch::Location,
    placement::{Cells, TargetEntry, name_hash},
    renewal::FleetPosition,
};

use self::peer::{DEAD_AFTER_OTHER_CELL, FAILOVER_TIMEOUT, Peer};
use super::{LocalGateway, status::Status, summary::Member};
use crate::seen_versions::SeenVersions;

pub use choices::RoutesHolder;
pub use liveness::Liveness;
pub use peer::DEAD_AFTER;

/// Gateways of a cell that send its summaries, so that the loss of one does not interrupt them.
const SUMMARY_SENDERS: usize = 2;
/// Time after the first list of gateways from which this process may send summaries. By then it has received statuses
/// of the other gateways of its cell.
const SUMMARIES_START_AFTER: Duration = Duration::from_millis(1_000);

/// Handle to the table of peers; clones share it.
#[derive(Clone)]
pub struct Roster {
    local: Rc<LocalGateway>,
    started: Instant,
    /// When the first complete list of gateways was applied.
    listed: Rc<Cell<Option<Instant>>>,
    /// Last gateway that reported that it has read the list of gateways, while this process has not; its watches go through
    /// that one.
    introducer: Rc<Cell<Option<SocketAddr>>>,
    peers: Rc<RefCell<BTreeMap<Name, Peer>>>,
    /// Names of the peers by [`name_hash`], which summaries identify gateways by.
    names: Rc<RefCell<BTreeMap<u64, Name>>>,
    /// Locations of the targets by [`name_hash`] of their names.
    targets: Rc<RefCell<BTreeMap<u64, Location>>>,
    /// Number of targets of each service, by [`name_hash`] of its name.
    services: Rc<RefCell<BTreeMap<u64, usize>>>,
    /// Cached assignment of gateways and targets to cells; `None` after a change of either.
    cells: Rc<RefCell<Option<Rc<Cells>>>>,
    seen_versions: SeenVersions,
}

/// Part of a gateway in the watches of its cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchRole {
    /// It watches the store.
    First,
    /// It watches through the gateway at this address.
    Through(SocketAddr),
    /// Live gateways precede it, but none of them reaches the store.
    AfterOthers,
}

impl Roster {
    /// Empty table.
    pub fn new(local: LocalGateway) -> Roster {
        Roster {
            local: Rc::new(local),
            started: Instant::now(),
            listed: Rc::default(),
            introducer: Rc::default(),
            peers: Rc::default(),
            names: Rc::default(),
            targets: Rc::default(),
            services: Rc::default(),
            cells: Rc::default(),
            seen_versions: SeenVersions::default(),
        }
    }

    /// Identity and address of this process.
    pub fn local(&self) -> &LocalGateway {
        &self.local
    }

    /// Newest store versions that this process and its peers have seen.
    pub fn seen_versions(&self) -> &SeenVersions {
        &self.seen_versions
    }

    /// Marks that the table holds all gateways that were registered when this process started to watch them.
    pub fn mark_listed(&self) {
        self.listed.set(self.listed.get().or(Some(Instant::now())));
    }

    /// Whether the first complete list of gateways was applied.
    pub fn is_listed(&self) -> bool {
        self.listed.get().is_some()
    }

    /// Records a gateway that knows the gateways, for the time in which this process does not.
    pub fn record_introducer(&self, address: SocketAddr) {
        if !self.is_listed() {
            self.introducer.set(Some(address));
        }
    }

    /// Whether there is a gateway through which this process can read the entries of the gateways.
    pub fn has_introducer(&self) -> bool {
        self.introducer.get().is_some()
    }

    /// Adds a gateway, or updates its registered address and location.
    pub fn register(&self, name: Name, address: SocketAddr, location: Location) {
        if name == self.local.name {
            return;
        }
        self.cells.take();
        self.names.borrow_mut().insert(name_hash(&name), Name::clone(&name));
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(name).or_insert_with(|| Peer::new(address, location.clone()));
        peer.address = address;
        peer.location = location;
    }

    /// Removes a gateway that is no longer registered.
    pub fn remove(&self, name: &Name) {
        self.cells.take();
        self.names.borrow_mut().remove(&name_hash(name));
        self.peers.borrow_mut().remove(name);
    }

    /// Replaces the known targets, whose locations the cells depend on.
    pub fn set_targets<'a>(&self, targets: impl Iterator<Item = &'a TargetEntry> + Clone) {
        let mut services = BTreeMap::new();
        targets.clone().for_each(|it| *services.entry(name_hash(&it.service)).or_default() += 1);
        self.services.replace(services);
        let locations: BTreeMap<u64, Location> =
            targets.map(|it| (name_hash(&it.name), it.location.clone())).collect();
        if *self.targets.borrow() != locations {
            self.cells.take();
            self.targets.replace(locations);
        }
    }

    /// Services that have targets.
    pub fn services(&self) -> Vec<u64> {
        self.services.borrow().keys().copied().collect()
    }

    /// Number of known targets of a service.
    pub fn target_count(&self, service: u64) -> usize {
        self.services.borrow().get(&service).copied().unwrap_or(0)
    }

    /// Whether this process sends its cell's summaries: the first live gateways in order of name do.
    pub fn sends_summaries(&self) -> bool {
        let has_statuses =
            self.listed.get().is_some_and(|it| it.elapsed() >= SUMMARIES_START_AFTER);
        let before = self.preceding_peers(Peer::was_seen_recently);
        has_statuses && before.is_some_and(|it| it.len() < SUMMARY_SENDERS)
    }

    /// Part of this process in the watches of its cell: the first live gateway in order of name that reaches the store
    /// watches it for the others. Shortly after its start a process counts gateways that it has not seen yet as live. If the
    /// whole fleet is one cell, each gateway watches the store. A process that does not know the gateways watches through its
    /// introducer, if it has one.
    pub fn watch_role(&self) -> WatchRole {
        if let Some(introducer) = self.introducer.get().filter(|_| !self.is_listed()) {
            return WatchRole::Through(introducer);
        }
        if self.cells().len() < 2 {
            return WatchRole::First;
        }
        let has_statuses = self.listed.get().is_some_and(|it| it.elapsed() >= FAILOVER_TIMEOUT);
        let is_live =
            |it: &Peer| it.was_seen_recently() || (it.last_seen.is_none() && !has_statuses);
        let reaching = self.preceding_peers(|it| is_live(it) && it.store_lost_since.is_none());
        match reaching.unwrap_or_default().first() {
            Some(address) => WatchRole::Through(*address),
            None if self.preceding_peers(is_live).unwrap_or_default().is_empty() => {
                WatchRole::First
            }
            None => WatchRole::AfterOthers,
        }
    }

    /// When most of the gateways that watch the store last said that they do not reach it.
    pub fn watchers_lost_store_until(&self) -> Option<Instant> {
        let mut lost_at = self.watchers_lost_store_at();
        lost_at.sort_unstable_by_key(|it| Reverse(*it));
        lost_at.get(lost_at.len() / 2).copied().flatten()
    }

    /// When each gateway that watches the store last said that it does not reach it: all live gateways, or in a fleet of several
    /// cells the first live one of each. `None` for this process, which knows that by itself.
    fn watchers_lost_store_at(&self) -> Vec<Option<Instant>> {
        let (cells, peers) = (self.cells(), self.peers.borrow());
        if cells.len() < 2 {
            let live = peers.values().filter(|it| it.is_live());
            return live.map(|it| it.store_lost_at).chain([None]).collect();
        }
        let is_own = |name: &Name| *name == self.local.name;
        let is_live = |name: &Name| is_own(name) || peers.get(name).is_some_and(Peer::is_live);
        let first_live = |cell| cells.gateways(cell).iter().find(|it| is_live(it));
        let first = cells.ids().map(|it| first_live(it).and_then(|it| peers.get(it)));
        first.map(|it| it.and_then(|it| it.store_lost_at)).collect()
    }

    /// Addresses of the gateways of the own cell whose names come before this one's and which match; `None` without a
    /// cell.
    fn preceding_peers(&self, matches: impl Fn(&Peer) -> bool) -> Option<Vec<SocketAddr>> {
        let own = self.own_cell()?;
        let (cells, peers) = (self.cells(), self.peers.borrow());
        let before = cells.gateways(own).iter().filter(|it| **it < self.local.name);
        let matching = before.filter_map(|it| peers.get(it)).filter(|it| matches(it));
        Some(matching.map(|it| it.address).collect())
    }

    /// Applies the state of a gateway from a summary of its cell; returns the gateway's name if it is registered.
    pub fn apply_member(&self, member: &Member) -> Option<Name> {
        let name = self.names.borrow().get(&member.key).cloned()?;
        let mut peers = self.peers.borrow_mut();
        let peer = peers.get_mut(&name)?;
        let last_seen =
            Instant::now().checked_sub(Duration::from_millis(member.status_age_ms.into()));
        // A summary sender that was frozen still reports incarnations that have ended.
        let is_over = member.incarnation < peer.incarnation && peer.is_live();
        // A status that came from the gateway itself may be newer than the summary.
        if last_seen > peer.last_seen && !is_over {
            log_if_newly_live(&name, peer, member.incarnation);
            peer.last_seen = last_seen;
            peer.is_gone = false;
            peer.dead_after = DEAD_AFTER_OTHER_CELL;
            peer.incarnation = member.incarnation;
            peer.set_store_reached(member.store_reached);
            peer.stopping = member.stopping;
            peer.routes_version = member.routes_version;
        }
        Some(name)
    }

    /// Applies a status; returns whether its gateway is registered.
    pub fn apply_status(&self, status: &Status) -> bool {
        let dead_after =
            if self.is_in_own_cell(&status.name) { DEAD_AFTER } else { DEAD_AFTER_OTHER_CELL };
        let mut peers = self.peers.borrow_mut();
        let Some(peer) = peers.get_mut(status.name.as_str()) else { return false };
        log_if_newly_live(&status.name, peer, status.incarnation);
        peer.last_seen = Some(Instant::now());
        peer.is_gone = false;
        peer.dead_after = dead_after;
        peer.incarnation = status.incarnation;
        peer.set_store_reached(status.store_reached);
        peer.stopping = status.stopping;
        peer.routes_version = status.routes_version;
        self.seen_versions.record_peers(&status.seen);
        true
    }

    /// Registered address of the gateway whose name has this hash.
    pub fn address_of_hash(&self, hash: u64) -> Option<SocketAddr> {
        self.names.borrow().get(&hash).and_then(|it| self.address(it))
    }

    /// Position of this process among those that watch the store: all live gateways, or one of each cell in a fleet of
    /// several cells.
    pub fn fleet_position(&self) -> FleetPosition {
        let cells = self.cells();
        if let Some(own) = self.own_cell().filter(|_| cells.len() > 1) {
            let position = cells.ids().take_while(|it| *it != own).count();
            return FleetPosition { position, processes: cells.len() };
        }
        let peers = self.peers.borrow();
        let live = peers.iter().filter(|(_, it)| it.is_live());
        let (mut position, mut processes) = (0, 1);
        for (name, _) in live {
            processes += 1;
            position += usize::from(*name < self.local.name);
        }
        FleetPosition { position, processes }
    }

    /// Address of one incarnation of a gateway if it is live, also if it is stopping or does not reach the store.
    pub fn live_address(&self, name: &str, incarnation: u64) -> Option<SocketAddr> {
        let peers = self.peers.borrow();
        let peer = peers.get(name).filter(|it| it.incarnation == incarnation)?;
        peer.is_live().then_some(peer.address)
    }

    /// Registered address of a gateway, live or not.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.peers.borrow().get(name).map(|it| it.address)
    }
}

/// Logs that a gateway, or a new incarnation of it, has become live.
fn log_if_newly_live(name: &str, peer: &Peer, incarnation: u64) {
    if !peer.is_live() || peer.incarnation != incarnation {
        log::info!(peer = name, incarnation; "peers: peer is live");
    }
}
