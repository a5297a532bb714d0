//! Group membership: the processes of the fleet, the peers that this process links to, and expired leases.
//!
//! A process lists the lease objects at its start and rarely after that. Changes of members spread by gossip: each is
//! sent in a bounded number of heartbeats. Every heartbeat carries a digest of the sender's roster, so that two
//! processes detect that their rosters differ and one pulls the other's members. A process links to a bounded number of
//! peers, whatever the size of the fleet. Heartbeats carry the renewals of the sender's lease, and the lease object is
//! read only when its holder does not answer.
//!
//! Membership is a hint. A live member that is reported dead refutes the report, and a false report costs only speed.

mod gossip;
mod messages;
mod rendezvous;
mod roster;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use samphiredoor_schema::objects::ProcessLease;

pub use messages::{Heartbeat, MembershipAction, MembershipConfig, MembershipInput};
pub use rendezvous::rendezvous_select;
pub use roster::{Member, MemberState, Roster};

use crate::{Name, lease::LeaseTable, time::Now};
use gossip::Gossip;

/// Members in one page of the answer to a peer that pulls all members.
pub const MEMBERS_PAGE_LEN: usize = 200;

// How long an observer waits beyond the length of a lease before it declares the lease expired.
const EXPIRY_MARGIN_MS: u64 = 500;
const READ_RETRY_MS: u64 = 1_000;
// A monitored member is reported dead after this many heartbeat intervals without an answer.
const MISSED_HEARTBEATS: u64 = 3;
// Factor of the heartbeat interval on links that only spread gossip, compared with links that monitor a member.
// While there is gossip to send, all links use the same interval.
const GOSSIP_LINK_INTERVAL_FACTOR: u64 = 16;
// Above this many members the heartbeat interval doubles, which bounds the control traffic.
const SLOW_HEARTBEAT_ABOVE_MEMBERS: usize = 100;
// Heartbeat intervals between two attempts to connect to a seed or to a dead member.
const PROBE_HEARTBEATS: u64 = 4;
// The changes of a page are gossiped only up to this number; a longer page holds what other members have already.
const MAX_GOSSIPED_PER_PAGE: usize = 8;
// Interval between two lists of the leases: `LIST_PER_MEMBER_MS` for each member, but at least `LIST_MIN_MS`.
const LIST_MIN_MS: u64 = 60_000;
const LIST_PER_MEMBER_MS: u64 = 2_000;
// A dead member is removed from the roster after this many lengths of the lease.
const FORGET_LEASES: u64 = 10;

#[derive(Debug)]
struct Link {
    // Whether this process opened it, not the peer.
    opened: bool,
    last_received_ms: u64,
    // When the last heartbeat was sent; `None` before the first.
    last_sent_ms: Option<u64>,
    // Consecutive heartbeats whose digest differed from that of the own roster.
    digest_mismatches: u32,
}

// A monitored member without a link or without answers.
#[derive(Debug)]
struct Unresponsive {
    // When the last heartbeat was received, or when the missing link was noticed.
    since_ms: u64,
    // When its lease object is to be read next.
    next_read_ms: u64,
}

/// Membership as seen by one process.
#[derive(Debug)]
pub struct Membership {
    config: MembershipConfig,
    roster: Roster,
    gossip: Gossip,
    leases: LeaseTable,
    links: BTreeMap<Name, Link>,
    connecting: BTreeSet<Name>,
    monitored: BTreeSet<Name>,
    neighbours: BTreeSet<Name>,
    unresponsive: BTreeMap<Name, Unresponsive>,
    // Renewals of the own lease.
    renewals: u64,
    // Revision of the active manifest.
    revision: u64,
    listed_ms: Option<u64>,
    list_failed: bool,
    next_list_ms: u64,
    next_probe_ms: u64,
    next_seed: usize,
    // The dead member that was probed last.
    probed: Option<Name>,
}

impl Membership {
    /// Membership with this process as the only member.
    pub fn new(config: MembershipConfig) -> Membership {
        let roster = Roster::new(config.own.clone());
        let mut gossip = Gossip::default();
        gossip.add(&config.own.name, roster.len());
        Membership {
            config,
            roster,
            gossip,
            leases: LeaseTable::default(),
            links: BTreeMap::new(),
            connecting: BTreeSet::new(),
            monitored: BTreeSet::new(),
            neighbours: BTreeSet::new(),
            unresponsive: BTreeMap::new(),
            renewals: 0,
            revision: 0,
            listed_ms: None,
            list_failed: false,
            next_list_ms: 0,
            next_probe_ms: 0,
            next_seed: 0,
            probed: None,
        }
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Now, input: MembershipInput, out: &mut Vec<MembershipAction>) {
        match input {
            MembershipInput::LinkUp { peer, opened } => self.link_up(now, peer, opened, out),
            MembershipInput::LinkDown { peer } => {
                self.links.remove(&peer);
            }
            MembershipInput::ConnectFailed { peer } => {
                self.connecting.remove(&peer);
            }
            MembershipInput::Heartbeat { from, heartbeat } => {
                self.heartbeat_received(now, &from, heartbeat, out)
            }
            MembershipInput::Members(members) => self.apply_page(now, members, out),
            MembershipInput::Leases(leases) => self.leases_listed(now, leases, out),
            MembershipInput::ListFailed => {
                self.list_failed = true;
                self.next_list_ms = now.mono_ms + READ_RETRY_MS;
            }
            MembershipInput::Lease { process, lease } => self.lease_read(now, process, *lease, out),
            MembershipInput::LeaseDeleted { process } => self.lease_deleted(now, &process),
            MembershipInput::LeaseReadFailed { process } => {
                if let Some(unresponsive) = self.unresponsive.get_mut(&process) {
                    unresponsive.next_read_ms = now.mono_ms + READ_RETRY_MS;
                }
            }
            MembershipInput::LeaseRenewed(renewals) => self.renewals = renewals,
            MembershipInput::OwnRevision(revision) => self.revision = self.revision.max(revision),
            MembershipInput::Stopping => {
                let mut own = self.roster.own().clone();
                own.state = MemberState::Stopping;
                self.apply_report(now, own, out);
            }
            MembershipInput::Tick => self.tick(now, out),
        }
    }

    /// All members that are not reported dead, including this process.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.roster.iter().filter(|it| it.state != MemberState::Dead)
    }

    /// All known members, including this process and dead ones.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// One page of the known members: those with names after `after`, in order of name.
    pub fn page(&self, after: &str) -> Vec<Member> {
        self.roster.page(after, MEMBERS_PAGE_LEN)
    }

    /// Members that this process has a link to, whichever side opened it.
    pub fn linked(&self) -> impl Iterator<Item = &Name> {
        self.links.keys()
    }

    /// Creates the next heartbeat. The changes in it count as sent.
    pub fn next_heartbeat(&mut self) -> Heartbeat {
        Heartbeat {
            incarnation: self.roster.own().incarnation,
            renewals: self.renewals,
            revision: self.revision,
            members_digest: self.roster.digest(),
            changes: self.gossip.next(&self.roster),
        }
    }

    /// Interval of heartbeats to a monitored member, which depends on the number of members.
    pub fn heartbeat_interval_ms(&self) -> u64 {
        let factor = if self.roster.len() > SLOW_HEARTBEAT_ABOVE_MEMBERS { 2 } else { 1 };
        self.config.heartbeat_ms * factor
    }

    fn apply_report(&mut self, now: Now, member: Member, out: &mut Vec<MembershipAction>) {
        let name = Arc::clone(&member.name);
        if self.merge_report(member, out) {
            self.gossip.add(&name, self.roster.len());
            self.choose_links(now, out);
            out.push(MembershipAction::LiveMembersChanged);
        }
    }

    // A page with many changes is what a process gets at its start. Its peers have these members already, so only a
    // change of the own one is gossiped.
    fn apply_page(&mut self, now: Now, page: Vec<Member>, out: &mut Vec<MembershipAction>) {
        let mut changed = Vec::new();
        for member in page {
            let name = Arc::clone(&member.name);
            if self.merge_report(member, out) {
                changed.push(name);
            }
        }
        if changed.is_empty() {
            return;
        }
        let own = Arc::clone(&self.config.own.name);
        let few = changed.len() <= MAX_GOSSIPED_PER_PAGE;
        for name in changed.iter().filter(|it| few || **it == own) {
            self.gossip.add(name, self.roster.len());
        }
        self.choose_links(now, out);
        out.push(MembershipAction::LiveMembersChanged);
    }

    // Returns whether the report changed the roster.
    fn merge_report(&mut self, member: Member, out: &mut Vec<MembershipAction>) -> bool {
        let name = Arc::clone(&member.name);
        let before = self.roster.get(&name).map(|it| it.incarnation);
        let incarnation = member.incarnation;
        if !self.roster.merge(member) {
            return false;
        }
        let superseded = before.filter(|it| *it < incarnation);
        if let Some(incarnation) = superseded
            && self.monitored.contains(&name)
        {
            // A later incarnation has replaced the lease, so the earlier one cannot hold it any more.
            out.push(MembershipAction::LeaseExpired { process: name, incarnation });
        }
        true
    }

    fn choose_links(&mut self, now: Now, out: &mut Vec<MembershipAction>) {
        self.monitored = self.roster.monitored();
        self.neighbours = self.roster.neighbours();
        self.unresponsive.retain(|name, _| self.monitored.contains(name));
        for name in &self.monitored {
            if !self.links.contains_key(name) {
                let entry = Unresponsive { since_ms: now.mono_ms, next_read_ms: now.mono_ms };
                self.unresponsive.entry(Arc::clone(name)).or_insert(entry);
            }
        }
        for (name, link) in &self.links {
            if link.opened && !self.neighbours.contains(name) {
                out.push(MembershipAction::Close { peer: Arc::clone(name), accepted: false });
            }
        }
    }

    fn link_up(&mut self, now: Now, peer: Member, opened: bool, out: &mut Vec<MembershipAction>) {
        let name = Arc::clone(&peer.name);
        self.connecting.remove(&name);
        if self.probed.as_ref() == Some(&name) {
            self.probed = None;
        }
        let known = self.roster.get(&name).map(Member::rank);
        let link = Link {
            opened: opened || self.links.get(&name).is_some_and(|it| it.opened),
            last_received_ms: now.mono_ms,
            last_sent_ms: None,
            digest_mismatches: 0,
        };
        self.links.insert(Arc::clone(&name), link);
        self.unresponsive.remove(&name);
        // A connection alone does not revive a member that is reported dead. It receives the report and refutes it.
        if known.is_some_and(|it| it > peer.rank()) {
            self.gossip.add(&name, self.roster.len());
        }
        self.apply_report(now, peer, out);
        if known.is_none() {
            out.push(MembershipAction::PullMembers { from: name });
        }
    }

    fn heartbeat_received(
        &mut self,
        now: Now,
        from: &Name,
        heartbeat: Heartbeat,
        out: &mut Vec<MembershipAction>,
    ) {
        for member in heartbeat.changes {
            self.apply_report(now, member, out);
        }
        self.leases.observe_renewals(now, from, heartbeat.incarnation, heartbeat.renewals);
        let digest = self.roster.digest();
        if heartbeat.revision > self.revision {
            let revision = heartbeat.revision;
            out.push(MembershipAction::PeerRevision { from: Arc::clone(from), revision });
        }
        let Some(link) = self.links.get_mut(from) else { return };
        link.last_received_ms = now.mono_ms;
        self.unresponsive.remove(from);
        link.digest_mismatches =
            if digest == heartbeat.members_digest { 0 } else { link.digest_mismatches + 1 };
        // Digests differ for a while as gossip spreads; if they differ for longer, a change was lost.
        if link.digest_mismatches > 2 {
            link.digest_mismatches = 0;
            out.push(MembershipAction::PullMembers { from: Arc::clone(from) });
        }
    }

    fn leases_listed(
        &mut self,
        now: Now,
        leases: Vec<(Name, ProcessLease)>,
        out: &mut Vec<MembershipAction>,
    ) {
        let page = leases.iter().map(|(process, lease)| Member::new(process, lease)).collect();
        for (process, lease) in leases {
            self.leases.observe(now, &process, lease);
        }
        self.apply_page(now, page, out);
    }

    fn lease_read(
        &mut self,
        now: Now,
        process: Name,
        lease: ProcessLease,
        out: &mut Vec<MembershipAction>,
    ) {
        let member = Member::new(&process, &lease);
        let incarnation = lease.incarnation;
        let lease_ms = lease.lease_ms;
        self.leases.observe(now, &process, lease);
        self.apply_report(now, member, out);
        let Some(unresponsive) = self.unresponsive.get_mut(&process) else { return };
        match self.leases.expires_at(&process, EXPIRY_MARGIN_MS) {
            Some(expires_ms) if now.mono_ms >= expires_ms => {
                unresponsive.next_read_ms = now.mono_ms + lease_ms / 2;
                out.push(MembershipAction::LeaseExpired { process, incarnation });
            }
            Some(expires_ms) => unresponsive.next_read_ms = expires_ms,
            None => {}
        }
    }

    fn lease_deleted(&mut self, now: Now, process: &Name) {
        self.leases.forget(process);
        if let Some(unresponsive) = self.unresponsive.get_mut(process) {
            unresponsive.next_read_ms = now.mono_ms + self.config.lease_ms;
        }
    }

    fn tick(&mut self, now: Now, out: &mut Vec<MembershipAction>) {
        self.list_leases(now, out);
        self.send_heartbeats(now, out);
        self.report_timed_out(now, out);
        self.read_unresponsive_leases(now, out);
        self.connect(now, out);
    }

    // The first list waits until the own lease is written. So of two processes that start at the same time, the one
    // whose lease was written later finds the other's, and neither stays unknown until the next list.
    //
    // The interval of later lists grows with the number of members, which bounds the lists per second of the fleet.
    fn list_leases(&mut self, now: Now, out: &mut Vec<MembershipAction>) {
        // Few members may have been known at the last list, so the interval follows from their present number.
        let listed_long_ago =
            self.listed_ms.is_none_or(|it| now.mono_ms >= it + self.list_interval_ms());
        let due = now.mono_ms >= self.next_list_ms;
        if due && (listed_long_ago || self.list_failed) && self.renewals > 0 {
            self.list_failed = false;
            self.listed_ms = Some(now.mono_ms);
            out.push(MembershipAction::ListLeases);
        }
    }

    fn list_interval_ms(&self) -> u64 {
        LIST_MIN_MS.max(LIST_PER_MEMBER_MS * self.roster.len() as u64)
    }

    fn send_heartbeats(&mut self, now: Now, out: &mut Vec<MembershipAction>) {
        let monitor_ms = self.heartbeat_interval_ms();
        let gossip_ms = if self.gossip.is_empty() {
            monitor_ms * GOSSIP_LINK_INTERVAL_FACTOR
        } else {
            monitor_ms
        };
        let mut to = Vec::new();
        for (name, link) in &mut self.links {
            // Both the side that opened a link and a side that monitors the other send heartbeats on it.
            let monitored = self.monitored.contains(name);
            if !link.opened && !monitored {
                continue;
            }
            let interval_ms = if monitored { monitor_ms } else { gossip_ms };
            if link.last_sent_ms.is_none_or(|it| now.mono_ms >= it + interval_ms) {
                link.last_sent_ms = Some(now.mono_ms);
                to.push(Arc::clone(name));
            }
        }
        for to in to {
            let heartbeat = self.next_heartbeat();
            out.push(MembershipAction::SendHeartbeat { to, heartbeat });
        }
    }

    fn report_timed_out(&mut self, now: Now, out: &mut Vec<MembershipAction>) {
        let timeout_ms = self.heartbeat_interval_ms() * MISSED_HEARTBEATS;
        for name in &self.monitored {
            let timed_out = |it: &Link| now.mono_ms > it.last_received_ms + timeout_ms;
            let Some(link) = self.links.get(name) else {
                let entry = Unresponsive { since_ms: now.mono_ms, next_read_ms: now.mono_ms };
                self.unresponsive.entry(Arc::clone(name)).or_insert(entry);
                continue;
            };
            if timed_out(link) && !self.unresponsive.contains_key(name) {
                let entry =
                    Unresponsive { since_ms: link.last_received_ms, next_read_ms: now.mono_ms };
                self.unresponsive.insert(Arc::clone(name), entry);
                out.push(MembershipAction::Close { peer: Arc::clone(name), accepted: true });
            }
        }
        self.close_timed_out_links(now, timeout_ms, out);
        let expired = |it: &Unresponsive| now.mono_ms > it.since_ms + timeout_ms;
        let suspected = self.unresponsive.iter().filter(|(_, it)| expired(it));
        let names: Vec<Name> = suspected.map(|(name, _)| Arc::clone(name)).collect();
        for name in names {
            let Some(member) = self.roster.get(&name) else { continue };
            if member.state != MemberState::Dead {
                let dead = Member { state: MemberState::Dead, ..member.clone() };
                self.apply_report(now, dead, out);
            }
        }
    }

    // Other processes monitor these members; here only a half-open link has to be closed.
    fn close_timed_out_links(&self, now: Now, timeout_ms: u64, out: &mut Vec<MembershipAction>) {
        for (name, link) in &self.links {
            let timed_out =
                now.mono_ms > link.last_received_ms + timeout_ms * GOSSIP_LINK_INTERVAL_FACTOR;
            if link.opened && timed_out && !self.monitored.contains(name) {
                out.push(MembershipAction::Close { peer: Arc::clone(name), accepted: true });
            }
        }
    }

    fn read_unresponsive_leases(&mut self, now: Now, out: &mut Vec<MembershipAction>) {
        for (name, unresponsive) in &mut self.unresponsive {
            if now.mono_ms >= unresponsive.next_read_ms {
                unresponsive.next_read_ms = now.mono_ms + self.config.lease_ms;
                out.push(MembershipAction::ReadLease { process: Arc::clone(name) });
            }
        }
    }

    fn connect(&mut self, now: Now, out: &mut Vec<MembershipAction>) {
        for name in &self.neighbours {
            if self.links.contains_key(name) || !self.connecting.insert(Arc::clone(name)) {
                continue;
            }
            let Some(member) = self.roster.get(name) else { continue };
            let (peer, address) = (Arc::clone(name), Arc::clone(&member.address));
            out.push(MembershipAction::Connect { peer, address });
        }
        if now.mono_ms >= self.next_probe_ms {
            self.next_probe_ms = now.mono_ms + self.heartbeat_interval_ms() * PROBE_HEARTBEATS;
            self.probe(out);
            self.forget_dead(now, out);
        }
    }

    // After a network partition each side has the other marked as dead; only a connection attempt shows its end.
    fn probe(&mut self, out: &mut Vec<MembershipAction>) {
        if self.links.is_empty() && !self.config.seeds.is_empty() {
            let address = Arc::clone(&self.config.seeds[self.next_seed % self.config.seeds.len()]);
            self.next_seed += 1;
            out.push(MembershipAction::ConnectSeed { address });
        }
        let Some(member) = self.roster.dead_after(self.probed.as_deref().unwrap_or_default())
        else {
            self.probed = None;
            return;
        };
        let peer = Arc::clone(&member.name);
        self.probed = Some(Arc::clone(&peer));
        if !self.links.contains_key(&peer) && self.connecting.insert(Arc::clone(&peer)) {
            let address = Arc::clone(&member.address);
            out.push(MembershipAction::Connect { peer, address });
        }
    }

    fn forget_dead(&mut self, now: Now, out: &mut Vec<MembershipAction>) {
        let keep_ms = FORGET_LEASES * self.config.lease_ms + EXPIRY_MARGIN_MS;
        if self.roster.forget_dead(now, keep_ms) {
            self.choose_links(now, out);
            out.push(MembershipAction::LiveMembersChanged);
        }
    }
}
