//! Which other gateways there are, and which of them are heard.

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
    renewal::FleetPosition,
};

use super::{LocalGateway, status::Status, summary::Member};
use crate::seen_versions::SeenVersions;

/// Silence after which a gateway counts as gone. Statuses come at least twice a second and some are lost; jobs of a
/// gateway that was taken for gone too early are run twice.
pub(super) const GONE: Duration = Duration::from_millis(2_500);
/// Silence after which the next gateway of a cell speaks for it. Statuses come at least twice a second.
const SPEAKER_SILENT: Duration = Duration::from_millis(1_200);
/// Gateways of a cell that speak for it: where one is lost, the others are still heard.
const SPEAKERS: usize = 2;
/// Silence after which a gateway of another cell counts as gone. All that speak for its cell may be lost at once, and the
/// next ones begin later by the time in which that is noticed.
const GONE_ELSEWHERE: Duration = GONE.saturating_add(SPEAKER_SILENT);
/// Time after the first list of gateways from which this one speaks for its cell; by then it has heard the others.
const SPEAKS_AFTER: Duration = Duration::from_millis(1_000);
/// Time after the first list of gateways from which one of another cell that was never heard counts as gone. Its cell may
/// have started as lately, and begins to speak later.
const UNHEARD_ELSEWHERE: Duration =
    GONE_ELSEWHERE.saturating_add(SPEAKS_AFTER).saturating_add(SPEAKER_SILENT);
/// Time by which this process takes itself for cut off before others take it for gone: each last heard the other at a
/// moment of its own.
const CUT_OFF_MARGIN: Duration = Duration::from_millis(1_000);
/// How long a gateway is remembered that is not heard, in the count of those that there should be.
const FORGOTTEN: Duration = Duration::from_secs(30);

#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    location: Location,
    heard: Option<Instant>,
    /// Silence after which it counts as gone.
    gone_after: Duration,
    incarnation: u64,
    store_reached: bool,
    stopping: bool,
    routes_version: u64,
}

impl Peer {
    fn is_heard(&self) -> bool {
        self.heard.is_some_and(|it| it.elapsed() < self.gone_after)
    }

    /// Whether it was heard at a moment from which it cannot have taken this process for gone yet.
    fn is_heard_with_margin(&self) -> bool {
        self.heard.is_some_and(|it| it.elapsed() + CUT_OFF_MARGIN < self.gone_after)
    }

    /// Whether it was heard so lately that it may do something for its cell.
    fn was_just_heard(&self) -> bool {
        self.heard.is_some_and(|it| it.elapsed() < SPEAKER_SILENT)
    }

    /// Whether it works on its jobs, or is about to hand them over. A job that is taken from a process that stops loses
    /// what its items have put out: with twenty items half done, as much work as ten whole ones.
    fn has_jobs(&self) -> bool {
        self.is_heard() && self.store_reached
    }

    /// Whether it may take jobs of others.
    fn takes_jobs(&self) -> bool {
        self.has_jobs() && !self.stopping
    }
}

/// A gateway that has the newest routes in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoutesHolder {
    /// Version of the routes.
    pub version: u64,
    /// Where it listens.
    pub address: SocketAddr,
    /// How far it is.
    pub distance: Distance,
}

/// Handle to what is known of other gateways.
#[derive(Clone)]
pub struct Roster {
    local: Rc<LocalGateway>,
    started: Instant,
    /// When all gateways were first listed.
    listed: Rc<Cell<Option<Instant>>>,
    peers: Rc<RefCell<BTreeMap<Name, Peer>>>,
    /// Names of the peers by their keys.
    names: Rc<RefCell<BTreeMap<u64, Name>>>,
    targets: Rc<RefCell<BTreeMap<u64, Location>>>,
    /// Worked out anew after a change of peers or targets.
    cells: Rc<RefCell<Option<Rc<Cells>>>>,
    seen_versions: SeenVersions,
}

/// Whether another gateway works on its jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// It is heard, and reaches the store; one that stops hands its jobs over itself.
    Alive,
    /// It is gone, has started anew, or does not reach the store.
    Dead,
    /// This process cannot tell yet.
    Unknown,
}

impl Roster {
    /// Roster without peers.
    pub fn new(local: LocalGateway) -> Roster {
        Roster {
            local: Rc::new(local),
            started: Instant::now(),
            listed: Rc::default(),
            peers: Rc::default(),
            names: Rc::default(),
            targets: Rc::default(),
            cells: Rc::default(),
            seen_versions: SeenVersions::default(),
        }
    }

    /// This process.
    pub fn local(&self) -> &LocalGateway {
        &self.local
    }

    /// Newest changes of the store that this process and others have seen.
    pub fn seen_versions(&self) -> &SeenVersions {
        &self.seen_versions
    }

    /// Notes that all gateways are registered here that were when this process began to follow them.
    pub fn listed(&self) {
        self.listed.set(self.listed.get().or(Some(Instant::now())));
    }

    /// Takes a gateway's registered address.
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
            heard: None,
            gone_after: GONE,
            incarnation: 0,
            store_reached: true,
            stopping: false,
            routes_version: 0,
        });
        peer.address = address;
        peer.location = location;
    }

    /// Forgets a gateway that is no longer registered.
    pub fn remove(&self, name: &Name) {
        self.cells.take();
        self.names.borrow_mut().remove(&name_hash(name));
        self.peers.borrow_mut().remove(name);
    }

    /// Takes all targets as discovery knows them now.
    pub fn set_targets<'a>(&self, targets: impl Iterator<Item = &'a TargetEntry>) {
        let locations: BTreeMap<u64, Location> =
            targets.map(|it| (name_hash(&it.name), it.location.clone())).collect();
        if *self.targets.borrow() != locations {
            self.cells.take();
            self.targets.replace(locations);
        }
    }

    /// Cells of the fleet as this process sees it.
    pub fn cells(&self) -> Rc<Cells> {
        let mut cells = self.cells.borrow_mut();
        let cells = cells.get_or_insert_with(|| {
            let peers = self.peers.borrow();
            let others = peers.iter().map(|(name, it)| (Name::clone(name), it.location.clone()));
            let own = (Name::clone(&self.local.name), self.local.location.clone());
            let doors = others.chain([own]).collect();
            Rc::new(Cells::new(&doors, &self.targets.borrow()))
        });
        Rc::clone(cells)
    }

    /// Cell of this process.
    pub fn own_cell(&self) -> Option<CellId> {
        self.cells().cell_of_gateway(&self.local.name)
    }

    /// Whether a cell of this name is that of this process.
    pub fn is_own_cell(&self, name: &str) -> bool {
        let own = self.own_cell().and_then(|it| self.cells().name(it));
        own.is_some_and(|it| *it == *name)
    }

    /// Targets that the own cell shares.
    pub fn own_cell_targets(&self) -> HashSet<u64> {
        let cells = self.cells();
        self.own_cell().map(|it| cells.targets(it).collect()).unwrap_or_default()
    }

    /// Whether another gateway is of the own cell.
    pub fn is_mate(&self, name: &str) -> bool {
        let own = self.own_cell();
        own.is_some() && self.cells().cell_of_gateway(name) == own
    }

    /// Addresses of the other gateways of the own cell.
    pub fn mates(&self) -> Vec<SocketAddr> {
        self.own_cell().map(|it| self.addresses_in(it)).unwrap_or_default()
    }

    /// Addresses of the other gateways of the own cell at a distance.
    pub fn mates_at(&self, distance: Distance) -> Vec<SocketAddr> {
        let Some(own) = self.own_cell() else { return Vec::new() };
        let (cells, peers) = (self.cells(), self.peers.borrow());
        let mates = cells.gateways(own).iter().filter_map(|it| peers.get(it));
        let at =
            mates.filter(|it| Distance::between(&self.local.location, &it.location) == distance);
        at.map(|it| it.address).collect()
    }

    /// Addresses of the other gateways of a cell.
    pub fn addresses_in(&self, cell: CellId) -> Vec<SocketAddr> {
        let (cells, peers) = (self.cells(), self.peers.borrow());
        let doors = cells.gateways(cell).iter().filter_map(|it| peers.get(it));
        doors.map(|it| it.address).collect()
    }

    /// Address of any gateway of a cell, if there is one of one that is heard.
    pub fn any_in(&self, cell: CellId) -> Option<SocketAddr> {
        let (cells, peers) = (self.cells(), self.peers.borrow());
        let doors: Vec<&Peer> =
            cells.gateways(cell).iter().filter_map(|it| peers.get(it)).collect();
        let heard: Vec<&Peer> = doors.iter().copied().filter(|it| it.is_heard()).collect();
        let among = if heard.is_empty() { &doors } else { &heard };
        among.choose(&mut rand::rng()).map(|it| it.address)
    }

    /// Whether this process speaks for its cell: the first ones do that are heard, by their names.
    pub fn speaks(&self) -> bool {
        let listens = self.listed.get().is_some_and(|it| it.elapsed() >= SPEAKS_AFTER);
        let before = self.before(Peer::was_just_heard);
        listens && before.is_some_and(|it| it.len() < SPEAKERS)
    }

    /// Address of the gateway that follows the store for the own cell, if it is another one: the first one does that is
    /// heard and reaches the store. A process that has just started takes for heard whom it has not heard yet. `None` where
    /// the whole fleet is one cell.
    pub fn watch_relay_address(&self) -> Option<SocketAddr> {
        if self.cells().len() < 2 {
            return None;
        }
        let listens = self.listed.get().is_some_and(|it| it.elapsed() >= SPEAKER_SILENT);
        let is_heard = |it: &Peer| it.was_just_heard() || (it.heard.is_none() && !listens);
        self.before(|it| is_heard(it) && it.store_reached)?.first().copied()
    }

    /// Addresses of the gateways of the own cell that stand before this one, by their names, and suit; `None` without a cell.
    fn before(&self, suits: impl Fn(&Peer) -> bool) -> Option<Vec<SocketAddr>> {
        let own = self.own_cell()?;
        let (cells, peers) = (self.cells(), self.peers.borrow());
        let before = cells.gateways(own).iter().filter(|it| **it < self.local.name);
        let suiting = before.filter_map(|it| peers.get(it)).filter(|it| suits(it));
        Some(suiting.map(|it| it.address).collect())
    }

    /// Takes what a cell says of one of its gateways; the gateway's name, if it is registered.
    pub fn heard_of(&self, member: &Member) -> Option<Name> {
        let name = self.names.borrow().get(&member.key).cloned()?;
        let mut peers = self.peers.borrow_mut();
        let peer = peers.get_mut(&name)?;
        let heard = Instant::now().checked_sub(Duration::from_millis(member.heard_ms.into()));
        // A cell whose speaker has been frozen tells of starts that are over.
        let is_over = member.incarnation < peer.incarnation && peer.is_heard();
        // What it has told itself since is newer.
        if heard > peer.heard && !is_over {
            note_heard(&name, peer, member.incarnation);
            peer.heard = heard;
            peer.gone_after = GONE_ELSEWHERE;
            peer.incarnation = member.incarnation;
            peer.store_reached = member.store_reached;
            peer.stopping = member.stopping;
            peer.routes_version = member.routes_version;
        }
        Some(name)
    }

    /// Takes a status; says whether its gateway is registered.
    pub fn heard(&self, status: &Status) -> bool {
        let gone_after = if self.is_mate(&status.name) { GONE } else { GONE_ELSEWHERE };
        let mut peers = self.peers.borrow_mut();
        let Some(peer) = peers.get_mut(status.name.as_str()) else { return false };
        note_heard(&status.name, peer, status.incarnation);
        peer.heard = Some(Instant::now());
        peer.gone_after = gone_after;
        peer.incarnation = status.incarnation;
        peer.store_reached = status.store_reached;
        peer.stopping = status.stopping;
        peer.routes_version = status.routes_version;
        self.seen_versions.record_peers(&status.seen);
        true
    }

    /// Whether a process, in one start of it, works on its jobs.
    pub fn liveness(&self, name: &str, incarnation: u64) -> Liveness {
        let is_near = self.cells().len() < 2 || self.is_mate(name);
        let unheard_for = if is_near { GONE } else { UNHEARD_ELSEWHERE };
        let peers = self.peers.borrow();
        match peers.get(name).filter(|it| it.is_heard()) {
            Some(peer) if peer.incarnation == incarnation && peer.has_jobs() => Liveness::Alive,
            // It has started anew and was not heard since; what is heard may be its former start's last word.
            Some(peer) if peer.incarnation < incarnation => Liveness::Unknown,
            Some(_) => Liveness::Dead,
            _ if self.listed.get().is_none_or(|it| it.elapsed() < unheard_for) => Liveness::Unknown,
            _ => Liveness::Dead,
        }
    }

    /// Whether a process was heard in a later start than this one.
    pub fn has_restarted(&self, name: &str, incarnation: u64) -> bool {
        let peers = self.peers.borrow();
        peers.get(name).is_some_and(|it| it.heard.is_some() && it.incarnation > incarnation)
    }

    /// Whether a process was heard in this start or a later one.
    pub fn has_been_seen(&self, name: &str, incarnation: u64) -> bool {
        let peers = self.peers.borrow();
        peers.get(name).is_some_and(|it| it.heard.is_some() && it.incarnation >= incarnation)
    }

    /// Whether this process hears at least half of the gateways that there should be. One that hears fewer is cut off
    /// itself: it would take the jobs of all others, and they would take them back. One that does not know yet which there
    /// are hears nobody.
    pub fn at_least_half_live(&self) -> bool {
        self.listed.get().is_some() && self.live_count() * 2 >= self.expected_count()
    }

    /// Whether this process is about to hear less than half of the gateways that there should be.
    pub fn is_isolated(&self) -> bool {
        let heard = self.peers.borrow().values().filter(|it| it.is_heard_with_margin()).count();
        self.listed.get().is_none() || heard * 2 < self.expected_count()
    }

    fn expected_count(&self) -> usize {
        let expected = |it: &&Peer| match it.heard {
            Some(heard) => heard.elapsed() < FORGOTTEN,
            None => self.started.elapsed() < FORGOTTEN,
        };
        self.peers.borrow().values().filter(expected).count()
    }

    /// Number of gateways that are heard.
    pub fn live_count(&self) -> usize {
        let peers = self.peers.borrow();
        peers.values().filter(|it| it.is_heard()).count()
    }

    /// Place of this process among those that follow the store: all that are heard, or, in a fleet of several cells, one of
    /// each.
    pub fn fleet_position(&self) -> FleetPosition {
        let cells = self.cells();
        if let Some(own) = self.own_cell().filter(|_| cells.len() > 1) {
            let position = cells.ids().take_while(|it| *it != own).count();
            return FleetPosition { position, processes: cells.len() };
        }
        let peers = self.peers.borrow();
        let heard = peers.iter().filter(|(_, it)| it.is_heard());
        let (mut position, mut processes) = (0, 1);
        for (name, _) in heard {
            processes += 1;
            position += usize::from(*name < self.local.name);
        }
        FleetPosition { position, processes }
    }

    /// Address of a process, in one start of it, if it is heard, whatever it can do now.
    pub fn live_address(&self, name: &str, incarnation: u64) -> Option<SocketAddr> {
        let peers = self.peers.borrow();
        let peer = peers.get(name).filter(|it| it.incarnation == incarnation)?;
        peer.is_heard().then_some(peer.address)
    }

    /// Address of a gateway.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.peers.borrow().get(name).map(|it| it.address)
    }

    /// The newest routes that a gateway which is heard has in force, and the nearest one that has them; any of those that
    /// stand at one distance, so that many who ask do not all ask the same.
    pub fn newest_routes(&self) -> Option<RoutesHolder> {
        let peers = self.peers.borrow();
        let heard: Vec<&Peer> = peers.values().filter(|it| it.is_heard()).collect();
        let version = heard.iter().map(|it| it.routes_version).max()?;
        let holders = heard.into_iter().filter(|it| it.routes_version == version).collect();
        let nearest = *self.nearest_first(holders).first()?;
        let distance = Distance::between(&self.local.location, &nearest.location);
        Some(RoutesHolder { version, address: nearest.address, distance })
    }

    /// Number of gateways of the own region that are heard, this one included.
    pub fn heard_in_region(&self) -> usize {
        let peers = self.peers.borrow();
        let near = |it: &&Peer| it.is_heard() && it.location.region == self.local.location.region;
        1 + peers.values().filter(near).count()
    }

    /// Gateways that could take a job over: heard, reaching the store and not stopping; nearest first, and those at one
    /// distance in any order, so that jobs are spread over them.
    pub fn takeover_candidates(&self) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        let takers = peers.values().filter(|it| it.takes_jobs()).collect();
        self.nearest_first(takers).into_iter().map(|it| it.address).collect()
    }

    /// Peers by their distance, those at one distance in any order.
    fn nearest_first<'a>(&self, mut peers: Vec<&'a Peer>) -> Vec<&'a Peer> {
        peers.shuffle(&mut rand::rng());
        peers.sort_by_key(|it| Distance::between(&self.local.location, &it.location));
        peers
    }
}

fn note_heard(name: &str, peer: &Peer, incarnation: u64) {
    if !peer.is_heard() || peer.incarnation != incarnation {
        log::info!(peer = name, incarnation; "peers: heard");
    }
}
