//! A plain loop over membership state machines: it passes their messages on, and keeps their lease objects.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use samphiredoor_core::{
    Name,
    membership::{
        Heartbeat, Member, MemberState, Membership, MembershipAction, MembershipConfig,
        MembershipInput,
    },
    time::Now,
};
use samphiredoor_schema::objects::ProcessLease;

pub const STEP_MS: u64 = 100;
pub const HEARTBEAT_MS: u64 = 500;
pub const LEASE_MS: u64 = 5_000;
const RENEW_MS: u64 = 1_500;

/// What is done to a heartbeat on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    Arrives,
    IsLost,
    IsDoubled,
    IsLate,
}

pub struct Node {
    pub membership: Membership,
    pub lapsed: BTreeSet<(Name, u64)>,
    pub up: bool,
    incarnation: u64,
    renewals: u64,
    inbox: VecDeque<(u64, MembershipInput, bool)>,
}

pub struct Fleet {
    pub nodes: Vec<Node>,
    pub leases: BTreeMap<Name, ProcessLease>,
    pub now_ms: u64,
    pub beats: u64,
    pub changes: u64,
    pub reads: u64,
    pub lists: u64,
    /// Members that one side of a cut reaches, by number; `None` without a cut.
    pub cut: Option<usize>,
    zones: usize,
    links: BTreeSet<(usize, usize)>,
    fates: VecDeque<Fate>,
}

pub fn name(number: usize) -> Name {
    Arc::from(format!("door-{number:04}"))
}

fn number(name: &str) -> usize {
    name.trim_start_matches("door-").parse().unwrap_or_default()
}

impl Fleet {
    /// Fleet without processes, over so many availability zones.
    pub fn new(zones: usize) -> Fleet {
        Fleet {
            nodes: Vec::new(),
            leases: BTreeMap::new(),
            now_ms: 0,
            beats: 0,
            changes: 0,
            reads: 0,
            lists: 0,
            cut: None,
            zones,
            links: BTreeSet::new(),
            fates: VecDeque::new(),
        }
    }

    /// Starts a process, or starts it anew.
    pub fn start(&mut self, number: usize) {
        let incarnation = self.now_ms + 1;
        let own = Member {
            name: name(number),
            address: format!("10.0.0.{number}:7").into(),
            incarnation,
            counter: 0,
            state: MemberState::Live,
            region: "brisbane".into(),
            availability_zone: format!("zone-{}", number % self.zones).into(),
        };
        let config = MembershipConfig {
            own,
            heartbeat_ms: HEARTBEAT_MS,
            lease_ms: LEASE_MS,
            seeds: Vec::new(),
        };
        let node = Node {
            membership: Membership::new(config),
            lapsed: BTreeSet::new(),
            up: true,
            incarnation,
            renewals: 0,
            inbox: VecDeque::new(),
        };
        if number == self.nodes.len() {
            self.nodes.push(node);
        } else {
            self.crash(number);
            self.nodes[number] = node;
        }
        self.renew(number, false);
    }

    /// Ends a process without a word.
    pub fn crash(&mut self, number: usize) {
        self.nodes[number].up = false;
        let links: Vec<_> =
            self.links.iter().copied().filter(|(a, b)| *a == number || *b == number).collect();
        for (a, b) in links {
            self.unlink(a, b);
        }
    }

    /// Freezes a process: its links stand, and it neither answers nor renews its lease.
    pub fn freeze(&mut self, number: usize) {
        self.nodes[number].up = false;
    }

    /// Begins a planned stop.
    pub fn stop(&mut self, number: usize) {
        self.renew(number, true);
        self.give(number, MembershipInput::Stopping);
    }

    /// What is done to the next heartbeats.
    pub fn with_fates(&mut self, fates: impl IntoIterator<Item = Fate>) {
        self.fates = fates.into_iter().collect();
    }

    /// Lets time pass.
    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.step();
        }
    }

    /// Lets time pass until `done`; gives the time that passed, or `None` after `most_ms`.
    pub fn run_until(&mut self, most_ms: u64, done: impl Fn(&Fleet) -> bool) -> Option<u64> {
        let start_ms = self.now_ms;
        while self.now_ms < start_ms + most_ms {
            if done(self) {
                return Some(self.now_ms - start_ms);
            }
            self.step();
        }
        done(self).then(|| self.now_ms - start_ms)
    }

    /// Processes that are up.
    pub fn up(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|it| it.up)
    }

    /// Whether all processes that are up hold exactly those for live that are.
    pub fn converged(&self) -> bool {
        let up: BTreeSet<(Name, u64)> = self
            .up()
            .map(|it| (it.membership.roster().own().name.clone(), it.incarnation))
            .collect();
        self.up().all(|it| {
            let live = it.membership.live();
            live.map(|it| (it.name.clone(), it.incarnation)).collect::<BTreeSet<_>>() == up
        })
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        for number in 0..self.nodes.len() {
            if !self.nodes[number].up {
                continue;
            }
            if self.now_ms.is_multiple_of(RENEW_MS) {
                let own = self.nodes[number].membership.roster().own();
                let stopping = own.state == MemberState::Stopping;
                self.renew(number, stopping);
            }
            let due = |it: &(u64, MembershipInput, bool)| it.0 <= self.now_ms;
            let (now, later): (Vec<_>, Vec<_>) = self.nodes[number].inbox.drain(..).partition(due);
            self.nodes[number].inbox.extend(later);
            for (_, input, wants_answer) in now {
                if let (true, MembershipInput::Heartbeat { from, .. }) = (wants_answer, &input) {
                    let to = self::number(from);
                    let heartbeat = self.nodes[number].membership.next_heartbeat();
                    self.send(number, to, heartbeat, false);
                }
                self.give(number, input);
            }
            self.give(number, MembershipInput::Tick);
        }
    }

    fn renew(&mut self, number: usize, stopping: bool) {
        let node = &mut self.nodes[number];
        node.renewals += 1;
        let own = node.membership.roster().own();
        let lease = ProcessLease {
            incarnation: node.incarnation,
            renewals: node.renewals,
            lease_ms: LEASE_MS,
            peer_address: own.address.to_string(),
            region: own.region.to_string(),
            availability_zone: own.availability_zone.to_string(),
            stopping,
        };
        self.leases.insert(name(number), lease);
        let renewals = node.renewals;
        self.give(number, MembershipInput::LeaseRenewed(renewals));
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        self.cut.is_none_or(|it| (a < it) == (b < it))
    }

    fn give(&mut self, number: usize, input: MembershipInput) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let mut actions = Vec::new();
            let now = Now::new(self.now_ms, 0);
            self.nodes[number].membership.handle(now, input, &mut actions);
            for action in actions {
                inputs.extend(self.act(number, action));
            }
        }
    }

    fn act(&mut self, own: usize, action: MembershipAction) -> Vec<MembershipInput> {
        match action {
            MembershipAction::Connect { peer, .. } => return vec![self.connect(own, peer)],
            MembershipAction::Close { peer, .. } => self.unlink(own, number(&peer)),
            MembershipAction::SendHeartbeat { to, heartbeat } => {
                if self.links.contains(&link(own, number(&to))) {
                    self.send(own, number(&to), heartbeat, true);
                }
            }
            MembershipAction::PullMembers { from } => {
                let from = number(&from);
                if self.nodes[from].up && self.reaches(own, from) {
                    let all = self.nodes[from].membership.roster().iter().cloned().collect();
                    return vec![MembershipInput::Members(all)];
                }
            }
            MembershipAction::ReadLease { process } => {
                self.reads += 1;
                return vec![match self.leases.get(&process) {
                    Some(lease) => {
                        MembershipInput::Lease { process, lease: Box::new(lease.clone()) }
                    }
                    None => MembershipInput::LeaseDeleted { process },
                }];
            }
            MembershipAction::ListLeases => {
                self.lists += 1;
                let leases = self.leases.iter().map(|(name, lease)| (name.clone(), lease.clone()));
                return vec![MembershipInput::Leases(leases.collect())];
            }
            MembershipAction::LeaseExpired { process, incarnation } => {
                self.nodes[own].lapsed.insert((process, incarnation));
            }
            MembershipAction::ConnectSeed { .. }
            | MembershipAction::PeerRevision { .. }
            | MembershipAction::LiveMembersChanged => {}
        }
        Vec::new()
    }

    fn connect(&mut self, own: usize, peer: Name) -> MembershipInput {
        let to = number(&peer);
        if !self.nodes.get(to).is_some_and(|it| it.up) || !self.reaches(own, to) {
            return MembershipInput::ConnectFailed { peer };
        }
        self.links.insert(link(own, to));
        let caller = self.nodes[own].membership.roster().own().clone();
        let up = MembershipInput::LinkUp { peer: caller, opened: false };
        self.nodes[to].inbox.push_back((self.now_ms, up, false));
        let peer = self.nodes[to].membership.roster().own().clone();
        MembershipInput::LinkUp { peer, opened: true }
    }

    fn unlink(&mut self, a: usize, b: usize) {
        if !self.links.remove(&link(a, b)) {
            return;
        }
        for (node, peer) in [(a, b), (b, a)] {
            let down = MembershipInput::LinkDown { peer: name(peer) };
            self.nodes[node].inbox.push_back((self.now_ms, down, false));
        }
    }

    fn send(&mut self, from: usize, to: usize, heartbeat: Heartbeat, wants_answer: bool) {
        self.beats += 1;
        self.changes += heartbeat.changes.len() as u64;
        let fate = self.fates.pop_front().unwrap_or(Fate::Arrives);
        if fate == Fate::IsLost || !self.reaches(from, to) {
            return;
        }
        let delay_ms = if fate == Fate::IsLate { 7 * STEP_MS } else { 0 };
        let input = MembershipInput::Heartbeat { from: name(from), heartbeat };
        if !self.nodes[to].up {
            return;
        }
        let inbox = &mut self.nodes[to].inbox;
        if fate == Fate::IsDoubled {
            inbox.push_back((self.now_ms + 3 * STEP_MS, input.clone(), false));
        }
        inbox.push_back((self.now_ms + delay_ms, input, wants_answer));
    }
}

fn link(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}
