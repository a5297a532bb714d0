//! Which processes there are, which of them this one keeps links to, and whose leases have lapsed.
//!
//! Members are learnt from lease objects once at the start, and from then on by gossip: each change of a member rides
//! in a bounded number of heartbeats, and a digest in every heartbeat shows two doors that what they know differs, so
//! that one asks the other. A process links to a fixed number of others, whatever the size of the fleet. It hears the
//! renewals of a lease in heartbeats and reads a lease object only when its holder has fallen silent.
//!
//! All of this is a hint. A member reported dead may live: it contradicts the report, and nothing was lost but speed.

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

/// Members in one page of an answer to a member that asks for all.
pub const MEMBERS_PAGE_LEN: usize = 200;

const LAPSE_MARGIN_MS: u64 = 500;
const READ_RETRY_MS: u64 = 1_000;
// A member is suspected after this many heartbeats without an answer.
const MISSED_BEATS: u64 = 3;
// Links that only spread news beat this much more slowly than those that watch a neighbour.
// While there is gossip, all beat alike.
const FAR_BEAT_FACTOR: u64 = 16;
// Above this many members all heartbeats take twice as long, so that control traffic keeps its bound.
const SLOW_ABOVE_MEMBERS: usize = 100;
const PROBE_BEATS: u64 = 4;
const GOSSIPED_OF_PAGE: usize = 8;
const LIST_MIN_MS: u64 = 60_000;
const LIST_PER_MEMBER_MS: u64 = 2_000;
// A dead member is forgotten after this many lengths of the lease.
const FORGET_LEASES: u64 = 10;

#[derive(Debug)]
struct Link {
    opened: bool,
    heard_ms: u64,
    // When the last heartbeat was sent; `None` before the first.
    beat_ms: Option<u64>,
    // Heartbeats in a row whose digest differed from the own one.
    differing: u32,
}

#[derive(Debug)]
struct Silent {
    since_ms: u64,
    next_read_ms: u64,
}

/// State of membership in one process.
#[derive(Debug)]
pub struct Membership {
    config: MembershipConfig,
    roster: Roster,
    gossip: Gossip,
    leases: LeaseTable,
    links: BTreeMap<Name, Link>,
    connecting: BTreeSet<Name>,
    watched: BTreeSet<Name>,
    wanted: BTreeSet<Name>,
    silent: BTreeMap<Name, Silent>,
    renewals: u64,
    revision: u64,
    listed_ms: Option<u64>,
    list_failed: bool,
    next_list_ms: u64,
    next_probe_ms: u64,
    next_seed: usize,
    probed: Option<Name>,
}

impl Membership {
    /// Membership that knows only the process itself.
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
            watched: BTreeSet::new(),
            wanted: BTreeSet::new(),
            silent: BTreeMap::new(),
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

    /// Takes one event; appends what to do to `out`.
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
                self.beat_heard(now, &from, heartbeat, out)
            }
            MembershipInput::Members(members) => self.learn_page(now, members, out),
            MembershipInput::Leases(leases) => self.leases_listed(now, leases, out),
            MembershipInput::ListFailed => {
                self.list_failed = true;
                self.next_list_ms = now.mono_ms + READ_RETRY_MS;
            }
            MembershipInput::Lease { process, lease } => self.lease_read(now, process, *lease, out),
            MembershipInput::LeaseDeleted { process } => self.lease_gone(now, &process),
            MembershipInput::LeaseReadFailed { process } => {
                if let Some(silent) = self.silent.get_mut(&process) {
                    silent.next_read_ms = now.mono_ms + READ_RETRY_MS;
                }
            }
            MembershipInput::LeaseRenewed(renewals) => self.renewals = renewals,
            MembershipInput::OwnRevision(revision) => self.revision = self.revision.max(revision),
            MembershipInput::Stopping => {
                let mut own = self.roster.own().clone();
                own.state = MemberState::Stopping;
                self.learn(now, own, out);
            }
            MembershipInput::Tick => self.tick(now, out),
        }
    }

    /// All members that are not reported dead, this process among them.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.roster.iter().filter(|it| it.state != MemberState::Dead)
    }

    /// All members known, this process and dead ones among them.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// One page of the members known, those after `after` in order of their names.
    pub fn page(&self, after: &str) -> Vec<Member> {
        self.roster.page(after, MEMBERS_PAGE_LEN)
    }

    /// Members that links stand to.
    pub fn linked(&self) -> impl Iterator<Item = &Name> {
        self.links.keys()
    }

    /// Heartbeat as this process would send it now; its gossip counts as sent.
    pub fn next_heartbeat(&mut self) -> Heartbeat {
        Heartbeat {
            incarnation: self.roster.own().incarnation,
            renewals: self.renewals,
            revision: self.revision,
            members_digest: self.roster.digest(),
            changes: self.gossip.next(&self.roster),
        }
    }

    /// Time between two heartbeats to a neighbour, at the present number of members.
    pub fn beat_ms(&self) -> u64 {
        let factor = if self.roster.len() > SLOW_ABOVE_MEMBERS { 2 } else { 1 };
        self.config.heartbeat_ms * factor
    }

    fn learn(&mut self, now: Now, member: Member, out: &mut Vec<MembershipAction>) {
        let name = Arc::clone(&member.name);
        if self.take_report(member, out) {
            self.gossip.add(&name, self.roster.len());
            self.choose_links(now, out);
            out.push(MembershipAction::LiveMembersChanged);
        }
    }

    // Many at once are what a process learns at its start; the others know them, so they are not told again.
    fn learn_page(&mut self, now: Now, page: Vec<Member>, out: &mut Vec<MembershipAction>) {
        let mut changed = Vec::new();
        for member in page {
            let name = Arc::clone(&member.name);
            if self.take_report(member, out) {
                changed.push(name);
            }
        }
        if changed.is_empty() {
            return;
        }
        let own = Arc::clone(&self.config.own.name);
        let few = changed.len() <= GOSSIPED_OF_PAGE;
        for name in changed.iter().filter(|it| few || **it == own) {
            self.gossip.add(name, self.roster.len());
        }
        self.choose_links(now, out);
        out.push(MembershipAction::LiveMembersChanged);
    }

    // Tells whether the report changed anything.
    fn take_report(&mut self, member: Member, out: &mut Vec<MembershipAction>) -> bool {
        let name = Arc::clone(&member.name);
        let before = self.roster.get(&name).map(|it| it.incarnation);
        let incarnation = member.incarnation;
        if !self.roster.learn(member) {
            return false;
        }
        let superseded = before.filter(|it| *it < incarnation);
        if let Some(incarnation) = superseded
            && self.watched.contains(&name)
        {
            // A later start has replaced the lease, so the earlier one can hold it no more.
            out.push(MembershipAction::LeaseExpired { process: name, incarnation });
        }
        true
    }

    fn choose_links(&mut self, now: Now, out: &mut Vec<MembershipAction>) {
        self.watched = self.roster.watched();
        self.wanted = self.roster.neighbours();
        self.silent.retain(|name, _| self.watched.contains(name));
        for name in &self.watched {
            if !self.links.contains_key(name) {
                let since = Silent { since_ms: now.mono_ms, next_read_ms: now.mono_ms };
                self.silent.entry(Arc::clone(name)).or_insert(since);
            }
        }
        for (name, link) in &self.links {
            if link.opened && !self.wanted.contains(name) {
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
            heard_ms: now.mono_ms,
            beat_ms: None,
            differing: 0,
        };
        self.links.insert(Arc::clone(&name), link);
        self.silent.remove(&name);
        // A member thought dead is not taken back on its own word alone: it hears of the report and contradicts it.
        if known.is_some_and(|it| it > peer.rank()) {
            self.gossip.add(&name, self.roster.len());
        }
        self.learn(now, peer, out);
        if known.is_none() {
            out.push(MembershipAction::PullMembers { from: name });
        }
    }

    fn beat_heard(
        &mut self,
        now: Now,
        from: &Name,
        heartbeat: Heartbeat,
        out: &mut Vec<MembershipAction>,
    ) {
        for member in heartbeat.changes {
            self.learn(now, member, out);
        }
        self.leases.heard(now, from, heartbeat.incarnation, heartbeat.renewals);
        let digest = self.roster.digest();
        if heartbeat.revision > self.revision {
            let revision = heartbeat.revision;
            out.push(MembershipAction::PeerRevision { from: Arc::clone(from), revision });
        }
        let Some(link) = self.links.get_mut(from) else { return };
        link.heard_ms = now.mono_ms;
        self.silent.remove(from);
        link.differing = if digest == heartbeat.members_digest { 0 } else { link.differing + 1 };
        // Gossip on its way makes digests differ for a while; what lasts longer was lost.
        if link.differing > 2 {
            link.differing = 0;
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
        self.learn_page(now, page, out);
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
        self.learn(now, member, out);
        let Some(silent) = self.silent.get_mut(&process) else { return };
        match self.leases.over_at(&process, LAPSE_MARGIN_MS) {
            Some(over_ms) if now.mono_ms >= over_ms => {
                silent.next_read_ms = now.mono_ms + lease_ms / 2;
                out.push(MembershipAction::LeaseExpired { process, incarnation });
            }
            Some(over_ms) => silent.next_read_ms = over_ms,
            None => {}
        }
    }

    fn lease_gone(&mut self, now: Now, process: &Name) {
        self.leases.forget(process);
        if let Some(silent) = self.silent.get_mut(process) {
            silent.next_read_ms = now.mono_ms + self.config.lease_ms;
        }
    }

    fn tick(&mut self, now: Now, out: &mut Vec<MembershipAction>) {
        self.list_leases(now, out);
        self.beat_links(now, out);
        self.suspect(now, out);
        self.read_silent(now, out);
        self.connect(now, out);
    }

    // First when the own lease stands: of two processes that start at once, the one whose lease was written later then
    // finds the other's, and neither stays unknown until the next list.
    //
    // From then on rarely, and by the more members the more rarely, so that all processes together list a bounded number a second.
    fn list_leases(&mut self, now: Now, out: &mut Vec<MembershipAction>) {
        // The members known at the last list may have been few, so the pause follows their present number.
        let listed_long_ago =
            self.listed_ms.is_none_or(|it| now.mono_ms >= it + self.list_pause_ms());
        let due = now.mono_ms >= self.next_list_ms;
        if due && (listed_long_ago || self.list_failed) && self.renewals > 0 {
            self.list_failed = false;
            self.listed_ms = Some(now.mono_ms);
            out.push(MembershipAction::ListLeases);
        }
    }

    fn list_pause_ms(&self) -> u64 {
        LIST_MIN_MS.max(LIST_PER_MEMBER_MS * self.roster.len() as u64)
    }

    fn beat_links(&mut self, now: Now, out: &mut Vec<MembershipAction>) {
        let near_ms = self.beat_ms();
        let far_ms = if self.gossip.is_empty() { near_ms * FAR_BEAT_FACTOR } else { near_ms };
        let mut to = Vec::new();
        for (name, link) in &mut self.links {
            // Whoever opened a link beats on it, and whoever watches the far side does.
            let watched = self.watched.contains(name);
            if !link.opened && !watched {
                continue;
            }
            let pause_ms = if watched { near_ms } else { far_ms };
            if link.beat_ms.is_none_or(|it| now.mono_ms >= it + pause_ms) {
                link.beat_ms = Some(now.mono_ms);
                to.push(Arc::clone(name));
            }
        }
        for to in to {
            let heartbeat = self.next_heartbeat();
            out.push(MembershipAction::SendHeartbeat { to, heartbeat });
        }
    }

    fn suspect(&mut self, now: Now, out: &mut Vec<MembershipAction>) {
        let patience_ms = self.beat_ms() * MISSED_BEATS;
        for name in &self.watched {
            let quiet = |it: &Link| now.mono_ms > it.heard_ms + patience_ms;
            let Some(link) = self.links.get(name) else {
                let since = Silent { since_ms: now.mono_ms, next_read_ms: now.mono_ms };
                self.silent.entry(Arc::clone(name)).or_insert(since);
                continue;
            };
            if quiet(link) && !self.silent.contains_key(name) {
                let since = Silent { since_ms: link.heard_ms, next_read_ms: now.mono_ms };
                self.silent.insert(Arc::clone(name), since);
                out.push(MembershipAction::Close { peer: Arc::clone(name), accepted: true });
            }
        }
        self.close_quiet_far(now, patience_ms, out);
        let over = |it: &Silent| now.mono_ms > it.since_ms + patience_ms;
        let suspected = self.silent.iter().filter(|(_, it)| over(it));
        let names: Vec<Name> = suspected.map(|(name, _)| Arc::clone(name)).collect();
        for name in names {
            let Some(member) = self.roster.get(&name) else { continue };
            if member.state != MemberState::Dead {
                let dead = Member { state: MemberState::Dead, ..member.clone() };
                self.learn(now, dead, out);
            }
        }
    }

    // Others watch these members; here only the half-open link has to go.
    fn close_quiet_far(&self, now: Now, patience_ms: u64, out: &mut Vec<MembershipAction>) {
        for (name, link) in &self.links {
            let quiet = now.mono_ms > link.heard_ms + patience_ms * FAR_BEAT_FACTOR;
            if link.opened && quiet && !self.watched.contains(name) {
                out.push(MembershipAction::Close { peer: Arc::clone(name), accepted: true });
            }
        }
    }

    fn read_silent(&mut self, now: Now, out: &mut Vec<MembershipAction>) {
        for (name, silent) in &mut self.silent {
            if now.mono_ms >= silent.next_read_ms {
                silent.next_read_ms = now.mono_ms + self.config.lease_ms;
                out.push(MembershipAction::ReadLease { process: Arc::clone(name) });
            }
        }
    }

    fn connect(&mut self, now: Now, out: &mut Vec<MembershipAction>) {
        for name in &self.wanted {
            if self.links.contains_key(name) || !self.connecting.insert(Arc::clone(name)) {
                continue;
            }
            let Some(member) = self.roster.get(name) else { continue };
            let (peer, address) = (Arc::clone(name), Arc::clone(&member.address));
            out.push(MembershipAction::Connect { peer, address });
        }
        if now.mono_ms >= self.next_probe_ms {
            self.next_probe_ms = now.mono_ms + self.beat_ms() * PROBE_BEATS;
            self.probe(out);
            self.forget_dead(now, out);
        }
    }

    // After a cut both sides hold each other for dead; only a try shows that the link is back.
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
        let keep_ms = FORGET_LEASES * self.config.lease_ms + LAPSE_MARGIN_MS;
        if self.roster.forget_dead(now, keep_ms) {
            self.choose_links(now, out);
            out.push(MembershipAction::LiveMembersChanged);
        }
    }
}
