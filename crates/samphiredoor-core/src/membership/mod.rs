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
mod lease_checks;
mod links;
mod messages;
mod rendezvous;
mod roster;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

pub use messages::{Heartbeat, MembershipAction, MembershipConfig, MembershipInput};
pub use rendezvous::rendezvous_select;
pub use roster::{Member, MemberState, Roster};

use crate::{Name, lease::LeaseTable, time::Now};
use gossip::Gossip;
use lease_checks::{EXPIRY_MARGIN_MS, Unresponsive};
use links::Link;

/// Members in one page of the answer to a peer that pulls all members.
pub const MEMBERS_PAGE_LEN: usize = 200;

/// A monitored member is reported dead after this many heartbeat intervals without an answer.
const MISSED_HEARTBEATS: u64 = 3;
/// Above this many members the heartbeat interval doubles, which bounds the control traffic.
const SLOW_HEARTBEAT_ABOVE_MEMBERS: usize = 100;
/// The changes of a page are gossiped only up to this number; a longer page holds what other members have already.
const MAX_GOSSIPED_PER_PAGE: usize = 8;
/// A dead member is removed from the roster after this many lengths of the lease.
const FORGET_LEASES: u64 = 10;

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
    /// Renewals of the own lease.
    renewals: u64,
    /// Revision of the active manifest.
    revision: u64,
    listed_ms: Option<u64>,
    list_failed: bool,
    next_list_ms: u64,
    next_probe_ms: u64,
    next_seed: usize,
    /// The dead member that was probed last.
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
            MembershipInput::ListFailed => self.list_failed(now),
            MembershipInput::Lease { process, lease } => self.lease_read(now, process, *lease, out),
            MembershipInput::LeaseDeleted { process } => self.lease_deleted(now, &process),
            MembershipInput::LeaseReadFailed { process } => self.lease_read_failed(now, &process),
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

    /// Merges a page of members.
    ///
    /// A page with many changes is what a process gets at its start. Its peers have these members already, so only a
    /// change of the own one is gossiped.
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

    /// Merges a report; returns whether it changed the roster.
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

    fn tick(&mut self, now: Now, out: &mut Vec<MembershipAction>) {
        self.list_leases(now, out);
        self.send_heartbeats(now, out);
        self.report_timed_out(now, out);
        self.read_unresponsive_leases(now, out);
        self.connect(now, out);
    }

    fn report_timed_out(&mut self, now: Now, out: &mut Vec<MembershipAction>) {
        let timeout_ms = self.heartbeat_interval_ms() * MISSED_HEARTBEATS;
        for name in &self.monitored {
            let timed_out = |it: &Link| now.mono_ms > it.last_received_ms + timeout_ms;
            let Some(link) = self.links.get(name) else {
                let entry = Unresponsive::new(now);
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

    fn forget_dead(&mut self, now: Now, out: &mut Vec<MembershipAction>) {
        let keep_ms = FORGET_LEASES * self.config.lease_ms + EXPIRY_MARGIN_MS;
        if self.roster.forget_dead(now, keep_ms) {
            self.choose_links(now, out);
            out.push(MembershipAction::LiveMembersChanged);
        }
    }
}
