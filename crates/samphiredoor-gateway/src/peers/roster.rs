//! Table of the other gateways (peers): their addresses and cells, and which of them are live.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use rand::seq::{IndexedRandom, SliceRandom};
use samphiredoor_core::{
    Name,
    dispatch::Location,
    placement::{CellId, Cells, Distance, TargetEntry, name_hash},
    rate_limit::Coordinators,
    rendezvous,
    renewal::FleetPosition,
};

use super::{LocalGateway, status::Status, summary::Member};
use crate::seen_versions::SeenVersions;

/// Time without a status after which a gateway counts as dead. Statuses are sent at least twice a second and some are
/// lost; jobs of a gateway that is declared dead too early run twice.
pub(super) const DEAD_AFTER: Duration = Duration::from_millis(2_500);
/// Time without a status after which the next gateway of a cell takes over sending the cell's summaries or watching the
/// store for it. Statuses are sent at least twice a second.
const FAILOVER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Gateways of a cell that send its summaries, so that the loss of one does not interrupt them.
const SUMMARY_SENDERS: usize = 2;
/// Time without a report on a gateway of another cell after which it counts as dead. All summary senders of its cell
/// may fail at once, and their successors start only after the failover timeout.
const DEAD_AFTER_OTHER_CELL: Duration = DEAD_AFTER.saturating_add(FAILOVER_TIMEOUT);
/// Time after the first list of gateways from which this process may send summaries. By then it has received statuses
/// of the other gateways of its cell.
const SUMMARIES_START_AFTER: Duration = Duration::from_millis(1_000);
/// Time after the first list of gateways from which a gateway of another cell that was never seen counts as dead. Its
/// cell may have started at the same time, and starts to send summaries later.
const NEVER_SEEN_DEAD_AFTER_OTHER_CELL: Duration =
    DEAD_AFTER_OTHER_CELL.saturating_add(SUMMARIES_START_AFTER).saturating_add(FAILOVER_TIMEOUT);
/// Time by which this process treats itself as isolated before its peers can declare it dead. The last datagrams of the
/// two directions arrive at different moments.
const ISOLATION_MARGIN: Duration = Duration::from_millis(1_000);
/// Time after the first list of gateways in which those that were not seen yet may coordinate rate limits: after a
/// start of all, their first statuses and summaries are still to come.
const COORDINATORS_UNSEEN: Duration = DEAD_AFTER;
/// Number of gateways that a process assumes before it knows them. It has the smallest budget for rate limits then.
const UNKNOWN_GATEWAYS: u32 = u32::MAX;
/// Time without a status after which a gateway no longer counts among the expected ones.
const FORGET_AFTER: Duration = Duration::from_secs(30);

#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    location: Location,
    /// When its newest known status was received, by this process or, for another cell, by a gateway of that cell.
    last_seen: Option<Instant>,
    /// Time without a status after which it counts as dead.
    dead_after: Duration,
    incarnation: u64,
    store_reached: bool,
    stopping: bool,
    routes_version: u64,
}

impl Peer {
    fn is_live(&self) -> bool {
        self.last_seen.is_some_and(|it| it.elapsed() < self.dead_after)
    }

    /// Whether its last status is so recent that it cannot have declared this process dead yet.
    fn is_live_with_margin(&self) -> bool {
        self.last_seen.is_some_and(|it| it.elapsed() + ISOLATION_MARGIN < self.dead_after)
    }

    /// Whether its last status is recent enough for it to send summaries or watch the store for its cell.
    fn was_seen_recently(&self) -> bool {
        self.last_seen.is_some_and(|it| it.elapsed() < FAILOVER_TIMEOUT)
    }

    /// Whether it works on its jobs, or is about to hand them over. Taking a job over from a process that is stopping
    /// would lose the partial output of its items: with twenty items half done, the work of ten whole items.
    fn is_working(&self) -> bool {
        self.is_live() && self.store_reached
    }

    /// Whether it can take over jobs of other gateways.
    fn accepts_jobs(&self) -> bool {
        self.is_working() && !self.stopping
    }
}

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

/// Handle to the table of peers; clones share it.
#[derive(Clone)]
pub struct Roster {
    local: Rc<LocalGateway>,
    started: Instant,
    /// When the first complete list of gateways was applied.
    listed: Rc<Cell<Option<Instant>>>,
    /// Gateway that knew the gateways before this process.
    introducer: Rc<Cell<Option<SocketAddr>>>,
    peers: Rc<RefCell<BTreeMap<Name, Peer>>>,
    /// Names of the peers by [`name_hash`], which summaries identify gateways by.
    names: Rc<RefCell<BTreeMap<u64, Name>>>,
    /// Locations of the targets by [`name_hash`] of their names.
    targets: Rc<RefCell<BTreeMap<u64, Location>>>,
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

/// Whether one incarnation of another gateway works on its jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// It is live and reaches the store. A gateway that is stopping counts too, as it hands its jobs over itself.
    Alive,
    /// It timed out, has restarted, or does not reach the store.
    Dead,
    /// This process has not been running long enough to decide, or a restarted gateway has not sent a status yet.
    Unknown,
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
        let peer = peers.entry(name).or_insert_with(|| Peer {
            address,
            location: location.clone(),
            last_seen: None,
            dead_after: DEAD_AFTER,
            incarnation: 0,
            store_reached: true,
            stopping: false,
            routes_version: 0,
        });
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
    pub fn set_targets<'a>(&self, targets: impl Iterator<Item = &'a TargetEntry>) {
        let locations: BTreeMap<u64, Location> =
            targets.map(|it| (name_hash(&it.name), it.location.clone())).collect();
        if *self.targets.borrow() != locations {
            self.cells.take();
            self.targets.replace(locations);
        }
    }

    /// Assignment of the known gateways and targets to cells.
    pub fn cells(&self) -> Rc<Cells> {
        let mut cells = self.cells.borrow_mut();
        let cells = cells.get_or_insert_with(|| {
            let peers = self.peers.borrow();
            let others = peers.iter().map(|(name, it)| (Name::clone(name), it.location.clone()));
            let own = (Name::clone(&self.local.name), self.local.location.clone());
            let gateways = others.chain([own]).collect();
            Rc::new(Cells::new(&gateways, &self.targets.borrow()))
        });
        Rc::clone(cells)
    }

    /// Cell that this process belongs to.
    pub fn own_cell(&self) -> Option<CellId> {
        self.cells().cell_of_gateway(&self.local.name)
    }

    /// Whether the own cell has this name.
    pub fn is_own_cell(&self, name: &str) -> bool {
        let own = self.own_cell().and_then(|it| self.cells().name(it));
        own.is_some_and(|it| *it == *name)
    }

    /// Targets assigned to the own cell, by [`name_hash`].
    pub fn own_cell_targets(&self) -> HashSet<u64> {
        let cells = self.cells();
        self.own_cell().map(|it| cells.targets(it).collect()).unwrap_or_default()
    }

    /// Whether a gateway belongs to the own cell.
    pub fn is_in_own_cell(&self, name: &str) -> bool {
        let own = self.own_cell();
        own.is_some() && self.cells().cell_of_gateway(name) == own
    }

    /// Addresses of the other gateways of the own cell.
    pub fn cell_peers(&self) -> Vec<SocketAddr> {
        self.own_cell().map(|it| self.addresses_in(it)).unwrap_or_default()
    }

    /// Addresses of the other gateways of the own cell that are at this distance.
    pub fn cell_peers_at(&self, distance: Distance) -> Vec<SocketAddr> {
        let Some(own) = self.own_cell() else { return Vec::new() };
        let (cells, peers) = (self.cells(), self.peers.borrow());
        let cell_peers = cells.gateways(own).iter().filter_map(|it| peers.get(it));
        let at = cell_peers
            .filter(|it| Distance::between(&self.local.location, &it.location) == distance);
        at.map(|it| it.address).collect()
    }

    /// Addresses of the gateways of a cell, except this one.
    pub fn addresses_in(&self, cell: CellId) -> Vec<SocketAddr> {
        let (cells, peers) = (self.cells(), self.peers.borrow());
        let gateways = cells.gateways(cell).iter().filter_map(|it| peers.get(it));
        gateways.map(|it| it.address).collect()
    }

    /// Address of a random gateway of a cell: of a live one if there is any.
    pub fn random_address_in(&self, cell: CellId) -> Option<SocketAddr> {
        let (cells, peers) = (self.cells(), self.peers.borrow());
        let gateways: Vec<&Peer> =
            cells.gateways(cell).iter().filter_map(|it| peers.get(it)).collect();
        let live: Vec<&Peer> = gateways.iter().copied().filter(|it| it.is_live()).collect();
        let candidates = if live.is_empty() { &gateways } else { &live };
        candidates.choose(&mut rand::rng()).map(|it| it.address)
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
        let reaching = self.preceding_peers(|it| is_live(it) && it.store_reached);
        match reaching.unwrap_or_default().first() {
            Some(address) => WatchRole::Through(*address),
            None if self.preceding_peers(is_live).unwrap_or_default().is_empty() => {
                WatchRole::First
            }
            None => WatchRole::AfterOthers,
        }
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
            peer.dead_after = DEAD_AFTER_OTHER_CELL;
            peer.incarnation = member.incarnation;
            peer.store_reached = member.store_reached;
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
        peer.dead_after = dead_after;
        peer.incarnation = status.incarnation;
        peer.store_reached = status.store_reached;
        peer.stopping = status.stopping;
        peer.routes_version = status.routes_version;
        self.seen_versions.record_peers(&status.seen);
        true
    }

    /// Whether one incarnation of a gateway works on its jobs.
    pub fn liveness(&self, name: &str, incarnation: u64) -> Liveness {
        let is_near = self.cells().len() < 2 || self.is_in_own_cell(name);
        let never_seen_dead_after =
            if is_near { DEAD_AFTER } else { NEVER_SEEN_DEAD_AFTER_OTHER_CELL };
        let peers = self.peers.borrow();
        match peers.get(name).filter(|it| it.is_live()) {
            Some(peer) if peer.incarnation == incarnation && peer.is_working() => Liveness::Alive,
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

    /// Whether this incarnation of a gateway or a later one has been seen.
    pub fn has_been_seen(&self, name: &str, incarnation: u64) -> bool {
        let peers = self.peers.borrow();
        peers.get(name).is_some_and(|it| it.last_seen.is_some() && it.incarnation >= incarnation)
    }

    /// Whether at least half of the expected gateways are live. A process for which fewer are live is isolated itself:
    /// it would take over the jobs of all others, and they would take them back. `false` before the first list of
    /// gateways.
    pub fn at_least_half_live(&self) -> bool {
        self.listed.get().is_some() && self.live_count() * 2 >= self.expected_count()
    }

    /// Whether this process has lost, or is about to lose, contact with more than half of the expected gateways;
    /// `true` before the first list of gateways.
    pub fn is_isolated(&self) -> bool {
        let live = self.peers.borrow().values().filter(|it| it.is_live_with_margin()).count();
        self.listed.get().is_none() || live * 2 < self.expected_count()
    }

    /// Coordinators of a workspace's rate limit; none while this process reaches less than half of the expected gateways,
    /// as the others coordinate without it then.
    pub fn coordinators(&self, workspace: u64) -> Coordinators {
        let Some(listed) = self.listed.get() else {
            return Coordinators { gateways: UNKNOWN_GATEWAYS, ..Coordinators::default() };
        };
        let count_unseen = listed.elapsed() < COORDINATORS_UNSEEN;
        let peers = self.peers.borrow();
        let is_live = |it: &&Peer| it.is_live() || (it.last_seen.is_none() && count_unseen);
        let live = 1 + peers.values().filter(is_live).count();
        let expected = 1 + self.expected_count();
        if live * 2 < expected {
            return Coordinators { gateways: expected as u32, ..Coordinators::default() };
        }
        let others = peers.iter().filter(|(_, it)| is_live(it) && !it.stopping);
        let own = name_hash(&self.local.name);
        Coordinators::new(workspace, others.map(|(name, _)| name_hash(name)).chain([own]))
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

    /// Registered address of the gateway whose name has this hash.
    pub fn address_of_hash(&self, hash: u64) -> Option<SocketAddr> {
        self.names.borrow().get(&hash).and_then(|it| self.address(it))
    }

    /// Number of peers that are registered and not forgotten, live or not.
    fn expected_count(&self) -> usize {
        let expected = |it: &&Peer| match it.last_seen {
            Some(last_seen) => last_seen.elapsed() < FORGET_AFTER,
            None => self.started.elapsed() < FORGET_AFTER,
        };
        self.peers.borrow().values().filter(expected).count()
    }

    /// Number of live gateways, without this one.
    pub fn live_count(&self) -> usize {
        let peers = self.peers.borrow();
        peers.values().filter(|it| it.is_live()).count()
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

    /// Number of live gateways in this process's region, including this one.
    pub fn live_in_region(&self) -> usize {
        let peers = self.peers.borrow();
        let near = |it: &&Peer| it.is_live() && it.location.region == self.local.location.region;
        1 + peers.values().filter(near).count()
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

/// Logs that a gateway, or a new incarnation of it, has become live.
fn log_if_newly_live(name: &str, peer: &Peer, incarnation: u64) {
    if !peer.is_live() || peer.incarnation != incarnation {
        log::info!(peer = name, incarnation; "peers: peer is live");
    }
}
