//! Which other gateways there are, and which of them are heard.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use rand::seq::SliceRandom;
use samphiredoor_core::{Name, dispatch::Place, placement::Distance, renewal::FleetPlace};

use super::status::Status;
use crate::sightings::Sightings;

/// Silence after which a gateway counts as gone. Statuses come at least twice a second and some are lost; jobs of a
/// gateway that was taken for gone too early are run twice.
const GONE: Duration = Duration::from_millis(2_500);
/// How long a gateway is remembered that is not heard, in the count of those that there should be.
const FORGOTTEN: Duration = Duration::from_secs(30);

#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    place: Place,
    heard: Option<Instant>,
    incarnation: u64,
    store_reached: bool,
    stopping: bool,
    routes_version: u64,
}

impl Peer {
    fn is_heard(&self) -> bool {
        self.heard.is_some_and(|it| it.elapsed() < GONE)
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

/// Handle to what is known of other gateways.
#[derive(Clone)]
pub struct Roster {
    started: Instant,
    /// When all gateways were first listed.
    listed: Rc<Cell<Option<Instant>>>,
    peers: Rc<RefCell<BTreeMap<Name, Peer>>>,
    sightings: Sightings,
}

/// Whether another gateway works on its jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// It is heard, and reaches the store; one that stops hands its jobs over itself.
    Works,
    /// It is gone, has started anew, or does not reach the store.
    Gone,
    /// This process cannot tell yet.
    Unknown,
}

impl Roster {
    /// Roster without peers.
    pub fn new() -> Roster {
        Roster {
            started: Instant::now(),
            listed: Rc::default(),
            peers: Rc::default(),
            sightings: Sightings::default(),
        }
    }

    /// Newest changes of the store that this process and others have seen.
    pub fn sightings(&self) -> &Sightings {
        &self.sightings
    }

    /// Notes that all gateways are registered here that were when this process began to follow them.
    pub fn listed(&self) {
        self.listed.set(self.listed.get().or(Some(Instant::now())));
    }

    /// Takes a gateway's registered address.
    pub fn register(&self, name: Name, address: SocketAddr, place: Place) {
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(name).or_insert_with(|| Peer {
            address,
            place: place.clone(),
            heard: None,
            incarnation: 0,
            store_reached: true,
            stopping: false,
            routes_version: 0,
        });
        peer.address = address;
        peer.place = place;
    }

    /// Forgets a gateway that is no longer registered.
    pub fn remove(&self, name: &Name) {
        self.peers.borrow_mut().remove(name);
    }

    /// Takes a status; says whether its gateway is registered.
    pub fn heard(&self, status: &Status) -> bool {
        let mut peers = self.peers.borrow_mut();
        let Some(peer) = peers.get_mut(status.name.as_str()) else { return false };
        if !peer.is_heard() || peer.incarnation != status.incarnation {
            log::info!(peer = status.name, incarnation = status.incarnation; "peers: heard");
        }
        peer.heard = Some(Instant::now());
        peer.incarnation = status.incarnation;
        peer.store_reached = status.store_reached;
        peer.stopping = status.stopping;
        peer.routes_version = status.routes_version;
        self.sightings.told(&status.seen);
        true
    }

    /// Whether a process, in one start of it, works on its jobs.
    pub fn liveness(&self, name: &str, incarnation: u64) -> Liveness {
        let peers = self.peers.borrow();
        match peers.get(name).filter(|it| it.is_heard()) {
            Some(peer) if peer.incarnation == incarnation && peer.has_jobs() => Liveness::Works,
            Some(_) => Liveness::Gone,
            _ if self.listed.get().is_none_or(|it| it.elapsed() < GONE) => Liveness::Unknown,
            _ => Liveness::Gone,
        }
    }

    /// Whether a process was heard in a later start than this one.
    pub fn has_restarted(&self, name: &str, incarnation: u64) -> bool {
        let peers = self.peers.borrow();
        peers.get(name).is_some_and(|it| it.heard.is_some() && it.incarnation > incarnation)
    }

    /// Whether this process hears at least half of the gateways that there should be. One that hears fewer is cut off
    /// itself: it would take the jobs of all others, and they would take them back. One that does not know yet which there
    /// are hears nobody.
    pub fn hears_most(&self) -> bool {
        self.listed.get().is_some() && self.heard_count() * 2 >= self.expected_count()
    }

    fn expected_count(&self) -> usize {
        let expected = |it: &&Peer| match it.heard {
            Some(heard) => heard.elapsed() < FORGOTTEN,
            None => self.started.elapsed() < FORGOTTEN,
        };
        self.peers.borrow().values().filter(expected).count()
    }

    /// Number of gateways that are heard.
    pub fn heard_count(&self) -> usize {
        let peers = self.peers.borrow();
        peers.values().filter(|it| it.is_heard()).count()
    }

    /// Place of a process among those that are heard, itself included, in the order of their names.
    pub fn place_of(&self, own: &Name) -> FleetPlace {
        let peers = self.peers.borrow();
        let heard = peers.iter().filter(|(_, it)| it.is_heard());
        let (mut position, mut processes) = (0, 1);
        for (name, _) in heard {
            processes += 1;
            position += usize::from(name < own);
        }
        FleetPlace { position, processes }
    }

    /// Address of a process, in one start of it, if it is heard, whatever it can do now.
    pub fn heard_address(&self, name: &str, incarnation: u64) -> Option<SocketAddr> {
        let peers = self.peers.borrow();
        let peer = peers.get(name).filter(|it| it.incarnation == incarnation)?;
        peer.is_heard().then_some(peer.address)
    }

    /// Address of a gateway.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.peers.borrow().get(name).map(|it| it.address)
    }

    /// Addresses of the gateways at a distance.
    pub fn addresses(&self, own: &Place, distance: Distance) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        let at = peers.values().filter(|it| Distance::between(own, &it.place) == distance);
        at.map(|it| it.address).collect()
    }

    /// The newest routes that a gateway which is heard has in force, and where it listens.
    pub fn newest_routes(&self) -> Option<(u64, SocketAddr)> {
        let peers = self.peers.borrow();
        let heard = peers.values().filter(|it| it.is_heard());
        heard.map(|it| (it.routes_version, it.address)).max()
    }

    /// Gateways that could take a job over: heard, reaching the store and not stopping; nearest first, and those at one
    /// distance in any order, so that jobs are spread over them.
    pub fn takers(&self, own: &Place) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        let mut takers: Vec<&Peer> = peers.values().filter(|it| it.takes_jobs()).collect();
        takers.shuffle(&mut rand::rng());
        takers.sort_by_key(|it| Distance::between(own, &it.place));
        takers.into_iter().map(|it| it.address).collect()
    }
}
