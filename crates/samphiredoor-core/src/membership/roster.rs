//! The known members, on a hash ring that determines which members link to each other and monitor each other.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound,
    sync::Arc,
};

use samphiredoor_schema::objects::ProcessLease;

use crate::{Name, time::Now};

/// Live successors on the ring that each process monitors.
const SUCCESSORS: usize = 2;
/// Further points on the ring, derived from the name, whose next live member each process links to.
const LONG_RANGE_POINTS: u8 = 2;

/// Reported state of a member. Among reports of the same incarnation and counter, the later variant wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MemberState {
    /// It answers, or has not been reported otherwise.
    Live,
    /// It has begun a graceful shutdown.
    Stopping,
    /// Another member got no answer from it. This is a hint: the member may be live.
    Dead,
}

/// One process of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Member {
    /// Name of the process.
    pub name: Name,
    /// Address where it listens for peers.
    pub address: Arc<str>,
    /// Incarnation of the process; grows with each start.
    pub incarnation: u64,
    /// Increases each time the member refutes a report of its death.
    pub counter: u64,
    /// State in the latest report.
    pub state: MemberState,
    /// Region that the process runs in.
    pub region: Name,
    /// Availability zone that the process runs in.
    pub availability_zone: Name,
}

impl Member {
    /// Member as described by its lease object.
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

    /// Precedence of this report: of two reports on one member, the one with the higher rank wins.
    pub fn rank(&self) -> (u64, u64, MemberState) {
        (self.incarnation, self.counter, self.state)
    }
}

#[derive(Debug)]
struct Entry {
    member: Member,
    hash: u64,
    /// When `forget_dead` first found the member dead; `None` before that.
    dead_since_ms: Option<u64>,
}

/// Members by name and by position on the hash ring.
#[derive(Debug)]
pub struct Roster {
    own: Name,
    entries: BTreeMap<Name, Entry>,
    ring: BTreeSet<(u64, Name)>,
    /// Members on the ring that are not reported dead, by availability zone.
    zones: BTreeMap<Name, BTreeSet<(u64, Name)>>,
    digest: u64,
}

impl Roster {
    /// Roster with this process as the only member.
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

    /// This process as a member.
    pub fn own(&self) -> &Member {
        &self.entries[&self.own].member
    }

    /// The member of this name, if it is known.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.entries.get(name).map(|it| &it.member)
    }

    /// All members, in order of name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|it| &it.member)
    }

    /// Number of members, including dead ones.
    #[allow(clippy::len_without_is_empty)]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Digest of the latest reports on all members; equal rosters have equal digests.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Merges a report and returns whether it changed the roster.
    ///
    /// A report that this process is dead is refuted by a higher counter, which takes precedence at every member.
    pub fn merge(&mut self, mut member: Member) -> bool {
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

    /// Up to `limit` members with names after `after`, in order of name.
    pub fn page(&self, after: &str, limit: usize) -> Vec<Member> {
        let start = (Bound::Excluded(after), Bound::Unbounded);
        let entries = self.entries.range::<str, _>(start).take(limit);
        entries.map(|(_, it)| it.member.clone()).collect()
    }

    /// The first dead member with a name after `after`.
    pub fn dead_after(&self, after: &str) -> Option<&Member> {
        let start = (Bound::Excluded(after), Bound::Unbounded);
        let mut later = self.entries.range::<str, _>(start).map(|(_, it)| &it.member);
        later.find(|it| it.state == MemberState::Dead)
    }

    /// Members that this process monitors: those after it on the ring, up to its second successor that is not dead.
    pub fn monitored(&self) -> BTreeSet<Name> {
        let own = &self.entries[&self.own];
        let mut monitored = BTreeSet::new();
        let mut live = 0;
        for name in self.ring_after(own.hash, &self.own) {
            if *name == self.own || live == SUCCESSORS {
                break;
            }
            live += usize::from(self.entries[name].member.state != MemberState::Dead);
            monitored.insert(Arc::clone(name));
        }
        monitored
    }

    /// Members that this process keeps links to: the monitored ones that are not dead, members at further points of the
    /// ring, and one of each other availability zone. Their number does not grow with the number of members.
    pub fn neighbours(&self) -> BTreeSet<Name> {
        let mut neighbours = self.monitored();
        neighbours.retain(|it| self.entries[it].member.state != MemberState::Dead);
        for point in 1..=LONG_RANGE_POINTS {
            let hash = ring_hash(&self.own, point);
            neighbours.extend(self.live_after(hash).map(Arc::clone));
        }
        let own_zone = &self.own().availability_zone;
        for (zone, ring) in &self.zones {
            if zone != own_zone {
                let hash = ring_hash(&self.own, LONG_RANGE_POINTS + 1);
                neighbours.extend(first_after(ring, hash).map(Arc::clone));
            }
        }
        neighbours.remove(&self.own);
        neighbours
    }

    /// Removes members that have been dead for longer than `keep_ms`, and returns whether there were any.
    pub(super) fn forget_dead(&mut self, now: Now, keep_ms: u64) -> bool {
        let mut old = Vec::new();
        for (name, entry) in &mut self.entries {
            if entry.member.state != MemberState::Dead {
                continue;
            }
            let dead_since_ms = *entry.dead_since_ms.get_or_insert(now.mono_ms);
            if now.mono_ms > dead_since_ms + keep_ms {
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
        self.entries.insert(name, Entry { member, hash, dead_since_ms: None });
    }

    fn remove(&mut self, name: &str) {
        let Some(entry) = self.entries.remove(name) else { return };
        self.digest ^= report_hash(&entry.member);
        let position = (entry.hash, Arc::clone(&entry.member.name));
        self.ring.remove(&position);
        if let Some(zone) = self.zones.get_mut(&entry.member.availability_zone) {
            zone.remove(&position);
            if zone.is_empty() {
                self.zones.remove(&entry.member.availability_zone);
            }
        }
    }

    fn ring_after<'a>(&'a self, hash: u64, name: &'a Name) -> impl Iterator<Item = &'a Name> {
        let position = (hash, Arc::clone(name));
        let later = self.ring.range((Bound::Excluded(position.clone()), Bound::Unbounded));
        let earlier = self.ring.range(..=position);
        later.chain(earlier).map(|(_, name)| name)
    }

    fn live_after(&self, hash: u64) -> Option<&Name> {
        let nearest = |zone| {
            let ring: &BTreeSet<(u64, Name)> = zone;
            first_position_after(ring, hash)
        };
        let first = self.zones.values().filter_map(nearest);
        first.min_by_key(|(position, _)| position.wrapping_sub(hash)).map(|(_, name)| name)
    }
}

fn first_after(ring: &BTreeSet<(u64, Name)>, hash: u64) -> Option<&Name> {
    first_position_after(ring, hash).map(|(_, name)| name)
}

fn first_position_after(ring: &BTreeSet<(u64, Name)>, hash: u64) -> Option<&(u64, Name)> {
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
