//! The members known, in an order by hash that decides who links to whom.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound,
    sync::Arc,
};

use samphiredoor_schema::objects::ProcessLease;

use crate::{Name, time::Now};

const SUCCESSORS: usize = 2;
const FAR_POINTS: u8 = 2;

/// What is reported of a member; a later state wins over an earlier one of the same start and counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MemberState {
    /// It works.
    Live,
    /// A planned stop has begun.
    Stopping,
    /// It is silent; a hint.
    Dead,
}

/// One process of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Member {
    /// Name of the process.
    pub name: Name,
    /// Where it listens for peers.
    pub address: Arc<str>,
    /// Start of the process.
    pub incarnation: u64,
    /// Grows when the member contradicts a report of its death.
    pub counter: u64,
    /// What is reported.
    pub state: MemberState,
    /// Region.
    pub region: Name,
    /// Availability zone.
    pub availability_zone: Name,
}

impl Member {
    /// Member as its lease object tells of it.
    pub fn new(process: &Name, lease: &ProcessLease) -> Member {
        Member {
            name: Arc::clone(process),
            address: lease.peer_address.as_str().into(),
            incarnation: lease.incarnation,
            counter: 0,
            state: if lease.stopping { MemberState::Stopping } else { MemberState::Live },
            region: lease.region.as_str().into(),
            availability_zone: lease.availability_zone.as_str().into(),
        }
    }

    /// Of two reports of one member, the one with the higher rank holds.
    pub fn rank(&self) -> (u64, u64, MemberState) {
        (self.incarnation, self.counter, self.state)
    }
}

#[derive(Debug)]
struct Entry {
    member: Member,
    hash: u64,
    since_ms: Option<u64>,
}

/// Members by name, and by hash on a ring.
#[derive(Debug)]
pub struct Roster {
    own: Name,
    entries: BTreeMap<Name, Entry>,
    ring: BTreeSet<(u64, Name)>,
    // Members on the ring that are not reported dead, by availability zone.
    zones: BTreeMap<Name, BTreeSet<(u64, Name)>>,
    digest: u64,
}

impl Roster {
    /// Roster of one member, the process itself.
    pub fn new(own: Member) -> Roster {
        let mut roster = Roster {
            own: Arc::clone(&own.name),
            entries: BTreeMap::new(),
            ring: BTreeSet::new(),
            zones: BTreeMap::new(),
            digest: 0,
        };
        roster.put(own);
        roster
    }

    /// The process itself.
    pub fn own(&self) -> &Member {
        &self.entries[&self.own].member
    }

    /// A member by its name.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.entries.get(name).map(|it| &it.member)
    }

    /// All members in order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|it| &it.member)
    }

    /// Number of members, dead ones among them.
    #[allow(clippy::len_without_is_empty)]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Digest of all reports; equal where the rosters are equal.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Takes a report; tells whether it changed anything.
    ///
    /// A report of the process's own death is contradicted: it takes a higher counter, which wins everywhere.
    pub fn learn(&mut self, mut member: Member) -> bool {
        let known = self.get(&member.name);
        if known.is_some_and(|it| it.rank() >= member.rank()) {
            return false;
        }
        if member.name == self.own {
            let own = self.own();
            if member.incarnation != own.incarnation {
                return false;
            }
            let state = match member.state {
                MemberState::Dead => own.state,
                reported => reported.max(own.state),
            };
            let counter = member.counter + u64::from(member.state == MemberState::Dead);
            member = Member { state, counter, ..own.clone() };
        }
        self.put(member);
        true
    }

    /// Up to `limit` members after the name `after`.
    pub fn page(&self, after: &str, limit: usize) -> Vec<Member> {
        let start = (Bound::Excluded(after), Bound::Unbounded);
        let entries = self.entries.range::<str, _>(start).take(limit);
        entries.map(|(_, it)| it.member.clone()).collect()
    }

    /// The next dead member after the name `after`.
    pub fn dead_after(&self, after: &str) -> Option<&Member> {
        let start = (Bound::Excluded(after), Bound::Unbounded);
        let mut later = self.entries.range::<str, _>(start).map(|(_, it)| &it.member);
        later.find(|it| it.state == MemberState::Dead)
    }

    /// Members whose silence this process notices: those on the ring up to its second successor that is not dead.
    pub fn watched(&self) -> BTreeSet<Name> {
        let own = &self.entries[&self.own];
        let mut watched = BTreeSet::new();
        let mut alive = 0;
        for name in self.ring_after(own.hash, &self.own) {
            if *name == self.own || alive == SUCCESSORS {
                break;
            }
            alive += usize::from(self.entries[name].member.state != MemberState::Dead);
            watched.insert(Arc::clone(name));
        }
        watched
    }

    /// Members that this process keeps links to: the watched ones that are not dead, members far away on the ring, and
    /// one of each other availability zone. Their number does not grow with the fleet.
    pub fn neighbours(&self) -> BTreeSet<Name> {
        let mut neighbours = self.watched();
        neighbours.retain(|it| self.entries[it].member.state != MemberState::Dead);
        for point in 1..=FAR_POINTS {
            let hash = ring_hash(&self.own, point);
            neighbours.extend(self.live_after(hash).map(Arc::clone));
        }
        let own_zone = &self.own().availability_zone;
        for (zone, ring) in &self.zones {
            if zone != own_zone {
                let hash = ring_hash(&self.own, FAR_POINTS + 1);
                neighbours.extend(first_after(ring, hash).map(Arc::clone));
            }
        }
        neighbours.remove(&self.own);
        neighbours
    }

    /// Drops members that have been dead for longer than `keep_ms`; tells whether there were any.
    pub(super) fn forget_dead(&mut self, now: Now, keep_ms: u64) -> bool {
        let mut old = Vec::new();
        for (name, entry) in &mut self.entries {
            if entry.member.state != MemberState::Dead {
                continue;
            }
            let since_ms = *entry.since_ms.get_or_insert(now.mono_ms);
            if now.mono_ms > since_ms + keep_ms {
                old.push(Arc::clone(name));
            }
        }
        for name in &old {
            self.remove(name);
        }
        !old.is_empty()
    }

    fn put(&mut self, member: Member) {
        self.remove(&member.name.clone());
        let name = Arc::clone(&member.name);
        let hash = ring_hash(&name, 0);
        self.digest ^= report_hash(&member);
        self.ring.insert((hash, Arc::clone(&name)));
        if member.state != MemberState::Dead {
            let zone = self.zones.entry(Arc::clone(&member.availability_zone)).or_default();
            zone.insert((hash, Arc::clone(&name)));
        }
        self.entries.insert(name, Entry { member, hash, since_ms: None });
    }

    fn remove(&mut self, name: &str) {
        let Some(entry) = self.entries.remove(name) else { return };
        self.digest ^= report_hash(&entry.member);
        let place = (entry.hash, Arc::clone(&entry.member.name));
        self.ring.remove(&place);
        if let Some(zone) = self.zones.get_mut(&entry.member.availability_zone) {
            zone.remove(&place);
            if zone.is_empty() {
                self.zones.remove(&entry.member.availability_zone);
            }
        }
    }

    fn ring_after<'a>(&'a self, hash: u64, name: &'a Name) -> impl Iterator<Item = &'a Name> {
        let place = (hash, Arc::clone(name));
        let later = self.ring.range((Bound::Excluded(place.clone()), Bound::Unbounded));
        let earlier = self.ring.range(..=place);
        later.chain(earlier).map(|(_, name)| name)
    }

    fn live_after(&self, hash: u64) -> Option<&Name> {
        let nearest = |zone| {
            let ring: &BTreeSet<(u64, Name)> = zone;
            first_place_after(ring, hash)
        };
        let first = self.zones.values().filter_map(nearest);
        first.min_by_key(|(place, _)| place.wrapping_sub(hash)).map(|(_, name)| name)
    }
}

fn first_after(ring: &BTreeSet<(u64, Name)>, hash: u64) -> Option<&Name> {
    first_place_after(ring, hash).map(|(_, name)| name)
}

fn first_place_after(ring: &BTreeSet<(u64, Name)>, hash: u64) -> Option<&(u64, Name)> {
    let start: (u64, Name) = (hash, Arc::from(""));
    ring.range(start..).next().or_else(|| ring.first())
}

fn ring_hash(name: &str, point: u8) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(name.as_bytes());
    hasher.update(&[0, point]);
    low_bits(&hasher)
}

fn report_hash(member: &Member) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(member.name.as_bytes());
    hasher.update(&member.incarnation.to_le_bytes());
    hasher.update(&member.counter.to_le_bytes());
    hasher.update(&[member.state as u8]);
    low_bits(&hasher)
}

pub(super) fn low_bits(hasher: &blake3::Hasher) -> u64 {
    let digest = hasher.finalize();
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
