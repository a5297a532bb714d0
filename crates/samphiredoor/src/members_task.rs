//! The task that owns the membership state machine and the links to peers.
//!
//! It opens and closes links, sends heartbeats, forwards hints, pulls and replicates manifests, and notifies the other
//! tasks when the set of live members changes or the lease of a process expires.

use std::{collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use samphiredoor_core::{
    Name,
    hints::{Hint, Origin, SeenHints, origin_name},
    ledger::orphan_scanners,
    manifest_revisions::PeerConfirmation,
    membership::{
        Member, MemberState, Membership, MembershipAction, MembershipConfig, MembershipInput,
    },
    store::{Kind, Labels, ObjectKey, StoreAnswer, StoreOp, Stored},
};
use samphiredoor_net::pool::within;
use samphiredoor_schema::objects::ProcessLease;

use crate::{
    door::Door,
    hints, links,
    metrics::PeerRefusal,
    peers::{
        self, CALL_TIMEOUT, HintMessage, LinkCommand, LinkId, LinkUp, PeerMessage, PeersInbox,
    },
};

const TICK: Duration = Duration::from_millis(50);
const LIST_PAGE_LEN: usize = 500;
const MAX_PENDING_HINTS: usize = 64;

struct Link {
    id: LinkId,
    opened: bool,
    commands: flume::Sender<LinkCommand>,
}

struct MembersTask {
    door: Rc<Door>,
    membership: Membership,
    links: HashMap<Name, Vec<Link>>,
    /// Hints to members without a link, sent as soon as the link that is being opened is up.
    pending_hints: HashMap<Name, Vec<Hint>>,
    seen_hints: SeenHints,
    /// Name of this process in the origins of its broadcasts.
    own_origin: Name,
    next_hint_number: u64,
    /// Highest manifest revision that has been active here.
    revision: u64,
    /// Until this time a manifest pull may be in progress, and no other is started.
    pulling_until_ms: u64,
    /// Whether lease objects have been listed; before that, a lone process cannot conclude that it has no peers.
    leases_listed: bool,
}

/// Runs the members task until the process ends.
pub async fn run(door: Rc<Door>, inbox: PeersInbox) {
    let config = MembershipConfig {
        own: door.own_member(),
        heartbeat_ms: door.config.heartbeat.as_millis() as u64,
        lease_ms: door.config.lease.as_millis() as u64,
        seeds: door.config.seeds.clone(),
    };
    let mut task = MembersTask {
        membership: Membership::new(config),
        links: HashMap::new(),
        pending_hints: HashMap::new(),
        seen_hints: SeenHints::default(),
        own_origin: origin_name(&door.config.name, door.incarnation),
        next_hint_number: 1,
        revision: 0,
        pulling_until_ms: 0,
        leases_listed: false,
        door,
    };
    task.publish_live();
    loop {
        match within(TICK, inbox.0.recv_async()).await {
            Some(Ok(message)) => task.handle_message(message),
            Some(Err(_)) => return,
            None => {}
        }
        task.input(MembershipInput::Tick);
    }
}

impl MembersTask {
    fn handle_message(&mut self, message: PeerMessage) {
        match message {
            PeerMessage::LinkUp(up) => self.link_up(up),
            PeerMessage::LinkDown { link, peer } => self.link_down(link, peer),
            PeerMessage::Heartbeat { from, heartbeat, reply } => {
                self.input(MembershipInput::Heartbeat { from, heartbeat });
                let _ = reply.send(self.membership.next_heartbeat());
            }
            PeerMessage::MembersRequest { after, reply } => {
                let _ = reply.send(self.membership.page(&after));
            }
            PeerMessage::Hints { from, hints } => {
                for message in hints {
                    self.hint_received(&from, message);
                }
            }
            PeerMessage::BroadcastHint(hint) => self.broadcast_hint(hint),
            PeerMessage::SendHint { to, hint } => self.send_hint(to, hint),
            PeerMessage::ReplicateManifest { record, reply } => {
                self.replicate_manifest(record, reply);
            }
            PeerMessage::ManifestPullEnded => self.pulling_until_ms = 0,
            PeerMessage::Input(input) => self.input(input),
        }
    }

    fn input(&mut self, input: MembershipInput) {
        match &input {
            MembershipInput::ConnectFailed { peer } => {
                self.pending_hints.remove(peer);
            }
            MembershipInput::Leases(_) => self.leases_listed = true,
            MembershipInput::OwnRevision(revision) => self.revision_active(*revision),
            _ => {}
        }
        let mut actions = Vec::new();
        self.membership.handle(self.door.clock.now(), input, &mut actions);
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: MembershipAction) {
        match action {
            MembershipAction::Connect { peer, address } => self.connect(Some(peer), &address),
            MembershipAction::ConnectSeed { address } => self.connect(None, &address),
            MembershipAction::Close { peer, accepted } => {
                // Dropping the sender of its commands ends a link, which then reports `LinkDown`.
                if let Some(links) = self.links.get_mut(&peer) {
                    for link in links.iter_mut().filter(|it| it.opened || accepted) {
                        link.commands = peers::command_channel().0;
                    }
                }
            }
            MembershipAction::SendHeartbeat { to, heartbeat } => {
                self.send_command(&to, LinkCommand::Heartbeat(heartbeat))
            }
            MembershipAction::PullMembers { from } => {
                self.send_command(&from, LinkCommand::PullMembers);
            }
            MembershipAction::ReadLease { process } => {
                compio::runtime::spawn(read_lease(Rc::clone(&self.door), process)).detach();
            }
            MembershipAction::ListLeases => {
                compio::runtime::spawn(list_leases(Rc::clone(&self.door))).detach();
            }
            MembershipAction::LeaseExpired { process, incarnation } => {
                self.lease_expired(&process, incarnation);
            }
            MembershipAction::PeerRevision { from, revision } => {
                self.pull_manifest(&from, revision);
            }
            MembershipAction::LiveMembersChanged => self.publish_live(),
        }
    }

    fn connect(&self, peer: Option<Name>, address: &str) {
        let door = Rc::clone(&self.door);
        compio::runtime::spawn(links::connect(door, peer, address.to_owned())).detach();
    }

    /// Sends a command over the newest link to a peer; drops it if there is none, or if the link's queue is full.
    fn send_command(&self, peer: &Name, command: LinkCommand) {
        let Some(link) = self.links.get(peer).and_then(|it| it.last()) else { return };
        if let Err(flume::TrySendError::Full(_)) = link.commands.try_send(command) {
            self.door.metrics.count_peer_refusal(PeerRefusal::SlowPeer);
        }
    }

    fn link_up(&mut self, up: LinkUp) {
        let name = Name::clone(&up.peer.name);
        log::debug!("peers: linked to {name}");
        let link = Link { id: up.link, opened: up.opened, commands: up.commands };
        self.links.entry(Name::clone(&name)).or_default().push(link);
        self.input(MembershipInput::LinkUp { peer: up.peer, opened: up.opened });
        for hint in self.pending_hints.remove(&name).unwrap_or_default() {
            self.send_command(&name, LinkCommand::SendHint(HintMessage { origin: None, hint }));
        }
    }

    fn link_down(&mut self, id: LinkId, peer: Name) {
        let Some(links) = self.links.get_mut(&peer) else { return };
        links.retain(|it| it.id != id);
        if links.is_empty() {
            self.links.remove(&peer);
            self.input(MembershipInput::LinkDown { peer });
        }
    }

    fn hint_received(&mut self, from: &Name, message: HintMessage) {
        if let Hint::Revision(revision) = message.hint {
            return self.pull_manifest(from, revision);
        }
        if let Some(origin) = &message.origin {
            if !self.seen_hints.insert(origin) {
                return;
            }
            self.send_to_linked(&message, Some(from));
        }
        hints::deliver(&self.door, from, message.hint);
    }

    fn broadcast_hint(&mut self, hint: Hint) {
        let origin =
            Origin { gateway: Name::clone(&self.own_origin), number: self.next_hint_number };
        self.next_hint_number += 1;
        self.seen_hints.insert(&origin);
        self.send_to_linked(&HintMessage { origin: Some(origin), hint }, None);
    }

    fn send_to_linked(&self, message: &HintMessage, except: Option<&Name>) {
        for peer in self.links.keys().filter(|it| Some(*it) != except) {
            self.send_command(peer, LinkCommand::SendHint(message.clone()));
        }
    }

    /// Sends a hint to one member, over a new link if there is none yet.
    fn send_hint(&mut self, to: Name, hint: Hint) {
        if to == self.door.config.name {
            return hints::deliver(&self.door, &to, hint);
        }
        if self.links.contains_key(&to) {
            return self
                .send_command(&to, LinkCommand::SendHint(HintMessage { origin: None, hint }));
        }
        let Some(member) = self.membership.roster().get(&to) else { return };
        let address = Arc::clone(&member.address);
        let opening = self.pending_hints.contains_key(&to);
        let pending = self.pending_hints.entry(Name::clone(&to)).or_default();
        if pending.len() < MAX_PENDING_HINTS {
            pending.push(hint);
        }
        if !opening {
            self.connect(Some(to), &address);
        }
    }

    // The hint goes to linked peers only; each notifies its own once the revision is active there.
    fn revision_active(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
        self.send_to_linked(&HintMessage { origin: None, hint: Hint::Revision(revision) }, None);
    }

    fn pull_manifest(&mut self, from: &Name, revision: u64) {
        let now_ms = self.door.clock.now().mono_ms;
        if revision > self.revision && now_ms >= self.pulling_until_ms {
            self.pulling_until_ms = now_ms + CALL_TIMEOUT.as_millis() as u64;
            self.send_command(from, LinkCommand::PullManifest { above: self.revision });
        }
    }

    /// Replies as soon as one linked peer confirms the record, or once all have declined or failed.
    fn replicate_manifest(&self, record: Arc<[u8]>, reply: flume::Sender<PeerConfirmation>) {
        if self.leases_listed && self.membership.live().count() == 1 {
            let _ = reply.send(PeerConfirmation::NoPeers);
            return;
        }
        let (confirm, answers) = flume::unbounded();
        for peer in self.links.keys() {
            let (record, reply) = (Arc::clone(&record), confirm.clone());
            self.send_command(peer, LinkCommand::ReplicateManifest { record, reply });
        }
        drop(confirm);
        compio::runtime::spawn(async move {
            let mut confirmation = PeerConfirmation::Unconfirmed;
            while let Ok(held) = answers.recv_async().await {
                if held {
                    confirmation = PeerConfirmation::Confirmed;
                    break;
                }
            }
            let _ = reply.send(confirmation);
        })
        .detach();
    }

    // Only the members that scan for the orphaned jobs of the process are notified, so that the loss of many processes
    // at once causes few messages.
    fn lease_expired(&mut self, process: &Name, incarnation: u64) {
        log::info!("peers: the lease of {process} has expired");
        for scanner in orphan_scanners(process, &self.not_stopping()) {
            let process = Name::clone(process);
            self.send_hint(scanner, Hint::LeaseExpired { process, incarnation });
        }
        self.door.jobs.lease_expired(Name::clone(process), incarnation);
        self.door.orders.lease_expired(Name::clone(process), incarnation);
        self.door.keys.lease_expired(process, incarnation);
    }

    /// Live members that are not shutting down, and so can take over jobs.
    fn not_stopping(&self) -> Vec<Name> {
        let live = self.membership.live().filter(|it| it.state == MemberState::Live);
        live.map(|it| Name::clone(&it.name)).collect()
    }

    /// Passes the live members to the other tasks and the metrics.
    fn publish_live(&self) {
        let live: Vec<Member> = self.membership.live().cloned().collect();
        self.door.jobs.set_live_processes(self.not_stopping());
        self.door.metrics.set_members(live.len());
        self.door.peers.set_live(live.into());
    }
}

async fn read_lease(door: Rc<Door>, process: Name) {
    let key = ObjectKey::new(Kind::Process, Name::clone(&process));
    let input = match door.store.call(StoreOp::Get { key }).await {
        StoreAnswer::Object(stored) => match parse_lease(&door, &stored) {
            Some(lease) => MembershipInput::Lease { process, lease: Box::new(lease) },
            None => MembershipInput::LeaseReadFailed { process },
        },
        StoreAnswer::Absent => MembershipInput::LeaseDeleted { process },
        _ => MembershipInput::LeaseReadFailed { process },
    };
    door.peers.input(input);
}

async fn list_leases(door: Rc<Door>) {
    let mut after = None;
    loop {
        let op = StoreOp::List {
            kind: Kind::Process,
            prefix: Name::from(""),
            labels: Labels::new(),
            after,
            limit: LIST_PAGE_LEN,
        };
        let StoreAnswer::Page { items, next, .. } = door.store.call(op).await else {
            return door.peers.input(MembershipInput::ListFailed);
        };
        let leases =
            items.iter().filter_map(|it| Some((Name::clone(&it.name), parse_lease(&door, it)?)));
        door.peers.input(MembershipInput::Leases(leases.collect()));
        after = next;
        if after.is_none() {
            return;
        }
    }
}

fn parse_lease(door: &Door, stored: &Stored) -> Option<ProcessLease> {
    match serde_json::from_slice(&stored.value) {
        Ok(lease) => Some(lease),
        Err(err) => {
            door.metrics.count_peer_refusal(PeerRefusal::UnreadableLease);
            log::warn!("peers: the lease of {} cannot be read: {err}", stored.name);
            None
        }
    }
}
