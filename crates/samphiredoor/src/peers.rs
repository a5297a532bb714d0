//! Handle to the members task, and the messages between that task and the links to peers.
//!
//! The members task owns the member list and decides which links exist. It receives [`PeerMessage`]s from links and
//! from other tasks, and sends [`LinkCommand`]s to links.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use samphiredoor_core::{
    Name,
    hints::{Hint, Origin},
    manifest_revisions::PeerConfirmation,
    membership::{Heartbeat, Member, MemberState, MembershipInput, rendezvous_select},
};

/// Timeout of one call to a peer.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

const COMMAND_QUEUE_LEN: usize = 256;

/// Identifies a link within one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkId(pub u64);

/// Hint in the form that is sent over a link.
#[derive(Debug, Clone)]
pub struct HintMessage {
    /// Origin of a broadcast, by which receivers drop duplicates; `None` for a hint to the receiver alone.
    pub origin: Option<Origin>,
    /// The hint itself.
    pub hint: Hint,
}

/// Command from the members task to a link.
#[derive(Debug, Clone)]
pub enum LinkCommand {
    /// Send a heartbeat and report the peer's heartbeat that answers it.
    Heartbeat(Heartbeat),
    /// Send a hint.
    SendHint(HintMessage),
    /// Request all members that the peer has, and report them.
    PullMembers,
    /// Request the peer's manifest if its revision is higher, and offer it to the manifest task.
    PullManifest {
        /// Revision that is active here.
        above: u64,
    },
    /// Replicate a manifest record to the peer.
    ReplicateManifest {
        /// The record.
        record: Arc<[u8]>,
        /// Receives whether the peer now holds the record.
        reply: flume::Sender<bool>,
    },
}

/// An established link.
#[derive(Debug)]
pub struct LinkUp {
    /// Identifies the link.
    pub link: LinkId,
    /// The peer, as it described itself when the link was opened.
    pub peer: Member,
    /// Whether this process opened it.
    pub opened: bool,
    /// Sends commands to the link; dropping it closes the link.
    pub commands: flume::Sender<LinkCommand>,
}

/// Message to the members task.
pub enum PeerMessage {
    /// A link was established.
    LinkUp(LinkUp),
    /// A link has ended.
    LinkDown {
        /// The link.
        link: LinkId,
        /// Its peer.
        peer: Name,
    },
    /// A peer sent a heartbeat and waits for one in answer.
    Heartbeat {
        /// Name of the peer.
        from: Name,
        /// The peer's heartbeat.
        heartbeat: Heartbeat,
        /// Receives the own heartbeat.
        reply: flume::Sender<Heartbeat>,
    },
    /// A peer requests a page of members.
    MembersRequest {
        /// Name after which the page starts.
        after: Name,
        /// Receives the page.
        reply: flume::Sender<Vec<Member>>,
    },
    /// A peer sent hints.
    Hints {
        /// Name of the peer.
        from: Name,
        /// The hints, in the order sent.
        hints: Vec<HintMessage>,
    },
    /// Send a hint to all gateways.
    BroadcastHint(Hint),
    /// Send a hint to one gateway.
    SendHint {
        /// Name of the gateway; may be this one.
        to: Name,
        /// The hint.
        hint: Hint,
    },
    /// Replicate a manifest record to the linked peers.
    ReplicateManifest {
        /// The record.
        record: Arc<[u8]>,
        /// Receives the outcome.
        reply: flume::Sender<PeerConfirmation>,
    },
    /// A link's [`LinkCommand::PullManifest`] has ended, with or without a manifest.
    ManifestPullEnded,
    /// Input for the membership state machine.
    Input(MembershipInput),
}

/// Handle to the members task.
#[derive(Clone)]
pub struct Peers {
    messages: flume::Sender<PeerMessage>,
    live: Rc<RefCell<Arc<[Member]>>>,
    address: SocketAddr,
}

/// Receiver of the members task's messages; passed to the task when it starts.
pub struct PeersInbox(pub flume::Receiver<PeerMessage>);

impl Peers {
    /// Creates the handle and the inbox of a gateway that listens for peers on `address`.
    pub fn new(address: SocketAddr) -> (Peers, PeersInbox) {
        let (messages, inbox) = flume::unbounded();
        let live = Rc::new(RefCell::new(Arc::from([])));
        (Peers { messages, live, address }, PeersInbox(inbox))
    }

    /// Address on which this gateway listens for peers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Members that are not reported dead, including this process, sorted by name. May be out of date.
    pub fn live(&self) -> Arc<[Member]> {
        Arc::clone(&self.live.borrow())
    }

    /// Replaces the list that [`Peers::live`] returns; called by the members task only.
    pub fn set_live(&self, live: Arc<[Member]>) {
        *self.live.borrow_mut() = live;
    }

    /// Sends a hint to all gateways, without confirmation of delivery.
    pub fn broadcast_hint(&self, hint: Hint) {
        self.send(PeerMessage::BroadcastHint(hint));
    }

    /// Notifies the gateway that should take over a job that this one released, without confirmation of delivery.
    pub fn offer_job(&self, job: Name) {
        let live = self.live();
        let not_stopping =
            live.iter().filter(|it| it.state == MemberState::Live).map(|it| &it.name);
        for next_owner in rendezvous_select(&job, not_stopping, 1) {
            self.send_hint(next_owner, Hint::HandedOver(Name::clone(&job)));
        }
    }

    /// Sends a hint to one gateway, without confirmation of delivery.
    pub fn send_hint(&self, to: Name, hint: Hint) {
        self.send(PeerMessage::SendHint { to, hint });
    }

    /// Replicates a manifest record to the linked peers; returns whether at least one of them holds it.
    pub async fn replicate_manifest(&self, record: Arc<[u8]>) -> PeerConfirmation {
        let (reply, answer) = flume::bounded(1);
        self.send(PeerMessage::ReplicateManifest { record, reply });
        answer.recv_async().await.unwrap_or(PeerConfirmation::Unconfirmed)
    }

    /// Passes an input to the membership state machine.
    pub fn input(&self, input: MembershipInput) {
        self.send(PeerMessage::Input(input));
    }

    /// Sends a message to the members task.
    pub fn send(&self, message: PeerMessage) {
        let _ = self.messages.send(message);
    }
}

/// Creates the bounded channel for the commands of one link.
pub fn command_channel() -> (flume::Sender<LinkCommand>, flume::Receiver<LinkCommand>) {
    flume::bounded(COMMAND_QUEUE_LEN)
}
