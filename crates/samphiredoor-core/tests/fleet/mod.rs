//! A simulated fleet: runs membership state machines in steps, delivers their messages and stores their lease objects.

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

/// How a heartbeat is delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    Normal,
    Lost,
    Duplicated,
    Delayed,
}

pub struct Node {
    pub membership: Membership,
    pub expired_leases: BTreeSet<(Name, u64)>,
    pub up: bool,
    incarnation: u64,
    renewals: u64,
    inbox: VecDeque<(u64, MembershipInput, bool)>,
}

pub struct Fleet {
    pub nodes: Vec<Node>,
    pub leases: BTreeMap<Name, ProcessLease>,
    pub now_ms: u64,
    pub heartbeats: u64,
    pub changes: u64,
    pub reads: u64,
    pub lists: u64,
    /// Network partition between the processes with numbers below this one and the others; `None` without one.
    pub partition: Option<usize>,
    zones: usize,
    links: BTreeSet<(usize, usize)>,
    deliveries: VecDeque<Delivery>,
}

/// Name of a process; its hash determines the position on the ring.
pub fn name(number: usize) -> Name {
    Arc::from(format!("door-{number:04}"))
}

fn number(name: &str) -> usize {
    name.trim_start_matches("door-").parse().unwrap_or_default()
}

impl Fleet {
    /// Fleet without processes. Processes are spread over this number of availability zones.
    pub fn new(zones: usize) -> Fleet {
        Fleet {
            nodes: Vec::new(),
            leases: BTreeMap::new(),
            now_ms: 0,
            heartbeats: 0,
            changes: 0,
            reads: 0,
            lists: 0,
            partition: None,
            zones,
            links: BTreeSet::new(),
            deliveries: VecDeque::new(),
        }
    }

    /// Starts a process, or restarts it with a higher incarnation.
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
            expired_leases: BTreeSet::new(),
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

    /// Ends a process without a shutdown and closes its links.
    pub fn crash(&mut self, number: usize) {
        self.nodes[number].up = false;
        let links: Vec<_> =
            self.links.iter().copied().filter(|(a, b)| *a == number || *b == number).collect();
        for (a, b) in links {
            self.unlink(a, b);
        }
    }

    /// Freezes a process: its links stay open, and it neither answers nor renews its lease.
    pub fn freeze(&mut self, number: usize) {
        self.nodes[number].up = false;
    }

    /// Begins the graceful shutdown of a process.
    pub fn stop(&mut self, number: usize) {
        self.renew(number, true);
        self.handle(number, MembershipInput::Stopping);
    }

    /// Sets how the next heartbeats are delivered; all later ones are delivered at once.
    pub fn set_deliveries(&mut self, deliveries: impl IntoIterator<Item = Delivery>) {
        self.deliveries = deliveries.into_iter().collect();
    }

    /// Advances the time by `ms`.
    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.step();
        }
    }

    /// Advances the time until `done`. Returns the time that passed, or `None` if it is not done after `max_ms`.
    pub fn run_until(&mut self, max_ms: u64, done: impl Fn(&Fleet) -> bool) -> Option<u64> {
        let start_ms = self.now_ms;
        while self.now_ms < start_ms + max_ms {
            if done(self) {
                return Some(self.now_ms - start_ms);
            }
            self.step();
        }
        done(self).then(|| self.now_ms - start_ms)
    }

    /// Processes that are neither crashed nor frozen.
    pub fn up(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|it| it.up)
    }

    /// Whether the live members of each process that is up are exactly the processes that are up.
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
                self.handle(number, input);
            }
            self.handle(number, MembershipInput::Tick);
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
        self.handle(number, MembershipInput::LeaseRenewed(renewals));
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        self.partition.is_none_or(|it| (a < it) == (b < it))
    }

    fn handle(&mut self, number: usize, input: MembershipInput) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let mut actions = Vec::new();
            let now = Now::new(self.now_ms, 0);
            self.nodes[number].membership.handle(now, input, &mut actions);
            for action in actions {
                inputs.extend(self.execute(number, action));
            }
        }
    }

    fn execute(&mut self, own: usize, action: MembershipAction) -> Vec<MembershipInput> {
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
                self.nodes[own].expired_leases.insert((process, incarnation));
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
        self.heartbeats += 1;
        self.changes += heartbeat.changes.len() as u64;
        let delivery = self.deliveries.pop_front().unwrap_or(Delivery::Normal);
        if delivery == Delivery::Lost || !self.reaches(from, to) {
            return;
        }
        let delay_ms = if delivery == Delivery::Delayed { 7 * STEP_MS } else { 0 };
        let input = MembershipInput::Heartbeat { from: name(from), heartbeat };
        if !self.nodes[to].up {
            return;
        }
        let inbox = &mut self.nodes[to].inbox;
        if delivery == Delivery::Duplicated {
            inbox.push_back((self.now_ms + 3 * STEP_MS, input.clone(), false));
        }
        inbox.push_back((self.now_ms + delay_ms, input, wants_answer));
    }
}

fn link(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}
