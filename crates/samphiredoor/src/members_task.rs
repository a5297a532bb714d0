//! The task that owns the membership: it decides on links, passes news on, and notices lapsed leases.

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
    links,
    metrics::PeerRefusal,
    news,
    peers::{self, CALL_TIMEOUT, LinkCommand, LinkId, LinkUp, PeerMessage, PeersInbox, Told},
};

const TICK: Duration = Duration::from_millis(50);
const LIST_PAGE: usize = 500;
const MAX_PENDING: usize = 64;

struct Link {
    id: LinkId,
    opened: bool,
    commands: flume::Sender<LinkCommand>,
}

struct Task {
    door: Rc<Door>,
    membership: Membership,
    links: HashMap<Name, Vec<Link>>,
    // News for members that a link is being opened to.
    pending: HashMap<Name, Vec<Hint>>,
    seen: SeenHints,
    origin: Name,
    next_number: u64,
    revision: u64,
    pulling_until_ms: u64,
    listed: bool,
}

/// Runs the membership until the process ends.
pub async fn run(door: Rc<Door>, inbox: PeersInbox) {
    let config = MembershipConfig {
        own: door.own_member(),
        heartbeat_ms: door.config.heartbeat.as_millis() as u64,
        lease_ms: door.config.lease.as_millis() as u64,
        seeds: door.config.seeds.clone(),
    };
    let mut task = Task {
        membership: Membership::new(config),
        links: HashMap::new(),
        pending: HashMap::new(),
        seen: SeenHints::default(),
        origin: origin_name(&door.config.name, door.incarnation),
        next_number: 1,
        revision: 0,
        pulling_until_ms: 0,
        listed: false,
        door,
    };
    task.publish();
    loop {
        match within(TICK, inbox.0.recv_async()).await {
            Some(Ok(message)) => task.take(message),
            Some(Err(_)) => return,
            None => {}
        }
        task.input(MembershipInput::Tick);
    }
}

impl Task {
    fn take(&mut self, message: PeerMessage) {
        match message {
            PeerMessage::Up(up) => self.up(up),
            PeerMessage::Down { link, peer } => self.down(link, peer),
            PeerMessage::Heartbeat { from, heartbeat, reply } => {
                self.input(MembershipInput::Heartbeat { from, heartbeat });
                let _ = reply.send(self.membership.next_heartbeat());
            }
            PeerMessage::PageAsked { after, reply } => {
                let _ = reply.send(self.membership.page(&after));
            }
            PeerMessage::News { from, told } => {
                for told in told {
                    self.news(&from, told);
                }
            }
            PeerMessage::TellAll(news) => self.tell_all(news),
            PeerMessage::Tell { to, news } => self.tell(to, news),
            PeerMessage::Hold { record, reply } => self.hold(record, reply),
            PeerMessage::PullEnded => self.pulling_until_ms = 0,
            PeerMessage::Input(input) => self.input(input),
        }
    }

    fn input(&mut self, input: MembershipInput) {
        match &input {
            MembershipInput::ConnectFailed { peer } => {
                self.pending.remove(peer);
            }
            MembershipInput::Leases(_) => self.listed = true,
            MembershipInput::OwnRevision(revision) => self.in_force(*revision),
            _ => {}
        }
        let mut actions = Vec::new();
        self.membership.handle(self.door.clock.now(), input, &mut actions);
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: MembershipAction) {
        match action {
            MembershipAction::Connect { peer, address } => self.connect(Some(peer), &address),
            MembershipAction::ConnectSeed { address } => self.connect(None, &address),
            MembershipAction::Close { peer, accepted } => {
                // The link ends when its commands' sender is gone, and then says so.
                if let Some(links) = self.links.get_mut(&peer) {
                    for link in links.iter_mut().filter(|it| it.opened || accepted) {
                        link.commands = peers::command_channel().0;
                    }
                }
            }
            MembershipAction::SendHeartbeat { to, heartbeat } => {
                self.command(&to, LinkCommand::Heartbeat(heartbeat))
            }
            MembershipAction::PullMembers { from } => {
                self.command(&from, LinkCommand::PullMembers);
            }
            MembershipAction::ReadLease { process } => {
                compio::runtime::spawn(read_lease(Rc::clone(&self.door), process)).detach();
            }
            MembershipAction::ListLeases => {
                compio::runtime::spawn(list_leases(Rc::clone(&self.door))).detach();
            }
            MembershipAction::LeaseExpired { process, incarnation } => {
                self.lapsed(&process, incarnation);
            }
            MembershipAction::PeerRevision { from, revision } => {
                self.pull_manifest(&from, revision);
            }
            MembershipAction::LiveMembersChanged => self.publish(),
        }
    }

    fn connect(&self, peer: Option<Name>, address: &str) {
        let door = Rc::clone(&self.door);
        compio::runtime::spawn(links::connect(door, peer, address.to_owned())).detach();
    }

    fn command(&self, peer: &Name, command: LinkCommand) {
        let Some(link) = self.links.get(peer).and_then(|it| it.last()) else { return };
        if let Err(flume::TrySendError::Full(_)) = link.commands.try_send(command) {
            self.door.metrics.peer_refused(PeerRefusal::SlowPeer);
        }
    }

    fn up(&mut self, up: LinkUp) {
        let name = Name::clone(&up.peer.name);
        log::debug!("peers: link to {name}");
        let link = Link { id: up.link, opened: up.opened, commands: up.commands };
        self.links.entry(Name::clone(&name)).or_default().push(link);
        self.input(MembershipInput::LinkUp { peer: up.peer, opened: up.opened });
        for news in self.pending.remove(&name).unwrap_or_default() {
            self.command(&name, LinkCommand::Tell(Told { origin: None, news }));
        }
    }

    fn down(&mut self, id: LinkId, peer: Name) {
        let Some(links) = self.links.get_mut(&peer) else { return };
        links.retain(|it| it.id != id);
        if links.is_empty() {
            self.links.remove(&peer);
            self.input(MembershipInput::LinkDown { peer });
        }
    }

    fn news(&mut self, from: &Name, told: Told) {
        if let Hint::Revision(revision) = told.news {
            return self.pull_manifest(from, revision);
        }
        if let Some(origin) = &told.origin {
            if !self.seen.insert(origin) {
                return;
            }
            self.spread(&told, Some(from));
        }
        news::deliver(&self.door, from, told.news);
    }

    fn tell_all(&mut self, news: Hint) {
        let origin = Origin { door: Name::clone(&self.origin), number: self.next_number };
        self.next_number += 1;
        self.seen.insert(&origin);
        self.spread(&Told { origin: Some(origin), news }, None);
    }

    fn spread(&self, told: &Told, except: Option<&Name>) {
        for peer in self.links.keys().filter(|it| Some(*it) != except) {
            self.command(peer, LinkCommand::Tell(told.clone()));
        }
    }

    fn tell(&mut self, to: Name, news: Hint) {
        if to == self.door.config.name {
            return news::deliver(&self.door, &to, news);
        }
        if self.links.contains_key(&to) {
            return self.command(&to, LinkCommand::Tell(Told { origin: None, news }));
        }
        let Some(member) = self.membership.roster().get(&to) else { return };
        let address = Arc::clone(&member.address);
        let opening = self.pending.contains_key(&to);
        let pending = self.pending.entry(Name::clone(&to)).or_default();
        if pending.len() < MAX_PENDING {
            pending.push(news);
        }
        if !opening {
            self.connect(Some(to), &address);
        }
    }

    // The revision itself is told to neighbours only, and each tells its own once it holds it.
    fn in_force(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
        self.spread(&Told { origin: None, news: Hint::Revision(revision) }, None);
    }

    fn pull_manifest(&mut self, from: &Name, revision: u64) {
        let now_ms = self.door.clock.now().mono_ms;
        if revision > self.revision && now_ms >= self.pulling_until_ms {
            self.pulling_until_ms = now_ms + CALL_TIMEOUT.as_millis() as u64;
            self.command(from, LinkCommand::PullManifest { above: self.revision });
        }
    }

    fn hold(&self, record: Arc<[u8]>, reply: flume::Sender<PeerConfirmation>) {
        if self.listed && self.membership.live().count() == 1 {
            let _ = reply.send(PeerConfirmation::NoPeers);
            return;
        }
        let (held, answers) = flume::unbounded();
        for peer in self.links.keys() {
            let (record, reply) = (Arc::clone(&record), held.clone());
            self.command(peer, LinkCommand::Hold { record, reply });
        }
        drop(held);
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

    // Only those who take its jobs are told, so that the loss of many at once costs little.
    fn lapsed(&mut self, process: &Name, incarnation: u64) {
        log::info!("peers: the lease of {process} has lapsed");
        for scanner in orphan_scanners(process, &self.working()) {
            let process = Name::clone(process);
            self.tell(scanner, Hint::Lapsed { process, incarnation });
        }
        self.door.jobs.lapsed(Name::clone(process), incarnation);
        self.door.orders.lapsed(Name::clone(process), incarnation);
        self.door.keys.lapsed(process, incarnation);
    }

    fn working(&self) -> Vec<Name> {
        let live = self.membership.live().filter(|it| it.state == MemberState::Live);
        live.map(|it| Name::clone(&it.name)).collect()
    }

    fn publish(&self) {
        let live: Vec<Member> = self.membership.live().cloned().collect();
        self.door.jobs.live(self.working());
        self.door.metrics.members(live.len());
        self.door.peers.set_live(live.into());
    }
}

async fn read_lease(door: Rc<Door>, process: Name) {
    let key = ObjectKey::new(Kind::Process, Name::clone(&process));
    let input = match door.store.call(StoreOp::Get { key }).await {
        StoreAnswer::Object(stored) => match lease(&door, &stored) {
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
            limit: LIST_PAGE,
        };
        let StoreAnswer::Page { items, next, .. } = door.store.call(op).await else {
            return door.peers.input(MembershipInput::ListFailed);
        };
        let leases = items.iter().filter_map(|it| Some((Name::clone(&it.name), lease(&door, it)?)));
        door.peers.input(MembershipInput::Leases(leases.collect()));
        after = next;
        if after.is_none() {
            return;
        }
    }
}

fn lease(door: &Door, stored: &Stored) -> Option<ProcessLease> {
    match serde_json::from_slice(&stored.value) {
        Ok(lease) => Some(lease),
        Err(err) => {
            door.metrics.peer_refused(PeerRefusal::UnreadableLease);
            log::warn!("peers: the lease of {} cannot be read: {err}", stored.name);
            None
        }
    }
}
