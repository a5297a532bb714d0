//! The members task as others speak to it: its handle, and the messages between it and the links.
//!
//! The members task owns what is known of members and decides which links there are. The two talk by messages:
//! [`PeerMessage`] towards the members task, [`LinkCommand`] towards a link.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use samphiredoor_core::{
    Name,
    hints::{Hint, Origin},
    manifest_revisions::PeerConfirmation,
    membership::{Heartbeat, Member, MemberState, MembershipInput, rendezvous_select},
};

/// Longest wait for a peer's answer to one call.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

const COMMANDS_LEN: usize = 256;

/// Identity of a link within one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkId(pub u64);

/// News with the door that spread it, if it is meant for all.
#[derive(Debug, Clone)]
pub struct Told {
    /// Who spread it, and as which of its own; `None` for news meant for the receiver alone.
    pub origin: Option<Origin>,
    /// What is told.
    pub news: Hint,
}

/// What the members task wants of a link.
#[derive(Debug, Clone)]
pub enum LinkCommand {
    /// Send a heartbeat and report the answer.
    Heartbeat(Heartbeat),
    /// Tell news.
    Tell(Told),
    /// Ask for all members and report them.
    PullMembers,
    /// Ask for a manifest above a revision and offer it.
    PullManifest {
        /// Revision in force here.
        above: u64,
    },
    /// Have the peer hold a manifest's record; the answer is whether it does.
    Hold {
        /// The record.
        record: Arc<[u8]>,
        /// Where the answer goes.
        reply: flume::Sender<bool>,
    },
}

/// A link that stands.
#[derive(Debug)]
pub struct LinkUp {
    /// Identity.
    pub link: LinkId,
    /// The far side, as it says of itself.
    pub peer: Member,
    /// Whether this process opened it.
    pub opened: bool,
    /// Where commands go; the link closes when this is dropped.
    pub commands: flume::Sender<LinkCommand>,
}

/// What the members task is told.
pub enum PeerMessage {
    /// A link stands.
    Up(LinkUp),
    /// A link has ended.
    Down {
        /// Which.
        link: LinkId,
        /// Its far side.
        peer: Name,
    },
    /// A peer sent a heartbeat and waits for the answer.
    Heartbeat {
        /// Which peer.
        from: Name,
        /// What it said.
        heartbeat: Heartbeat,
        /// Where the answer goes.
        reply: flume::Sender<Heartbeat>,
    },
    /// A peer asks for a page of members.
    PageAsked {
        /// Name after which the page starts.
        after: Name,
        /// Where the page goes.
        reply: flume::Sender<Vec<Member>>,
    },
    /// A peer told news.
    News {
        /// Which peer.
        from: Name,
        /// What it told.
        told: Vec<Told>,
    },
    /// Spread news to all doors.
    TellAll(Hint),
    /// Tell one door.
    Tell {
        /// Which.
        to: Name,
        /// What.
        news: Hint,
    },
    /// Have another door hold a manifest's record.
    Hold {
        /// The record.
        record: Arc<[u8]>,
        /// Where the answer goes.
        reply: flume::Sender<PeerConfirmation>,
    },
    /// A pull of a manifest has ended.
    PullEnded,
    /// Something for the membership itself.
    Input(MembershipInput),
}

/// Handle to the members task.
#[derive(Clone)]
pub struct Peers {
    messages: flume::Sender<PeerMessage>,
    live: Rc<RefCell<Arc<[Member]>>>,
    address: SocketAddr,
}

/// Inbox of the members task, before the task starts.
pub struct PeersInbox(pub flume::Receiver<PeerMessage>);

impl Peers {
    /// Handle and inbox of a door that listens for peers on `address`.
    pub fn new(address: SocketAddr) -> (Peers, PeersInbox) {
        let (messages, inbox) = flume::unbounded();
        let live = Rc::new(RefCell::new(Arc::from([])));
        (Peers { messages, live, address }, PeersInbox(inbox))
    }

    /// Where this door listens for peers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Members that are not reported dead, this process among them, in order of their names; a hint.
    pub fn live(&self) -> Arc<[Member]> {
        Arc::clone(&self.live.borrow())
    }

    /// Replaces what [`Peers::live`] gives; for the members task.
    pub fn set_live(&self, live: Arc<[Member]>) {
        *self.live.borrow_mut() = live;
    }

    /// Spreads news to all doors; it may be lost.
    pub fn tell_all(&self, news: Hint) {
        self.send(PeerMessage::TellAll(news));
    }

    /// Offers a job that was handed over to the door that should take it; it may be lost.
    pub fn offer(&self, job: Name) {
        let live = self.live();
        let working = live.iter().filter(|it| it.state == MemberState::Live).map(|it| &it.name);
        for taker in rendezvous_select(&job, working, 1) {
            self.tell(taker, Hint::HandedOver(Name::clone(&job)));
        }
    }

    /// Tells one door; it may be lost.
    pub fn tell(&self, to: Name, news: Hint) {
        self.send(PeerMessage::Tell { to, news });
    }

    /// Has another door hold a manifest's record, and tells whether one does.
    pub async fn hold(&self, record: Arc<[u8]>) -> PeerConfirmation {
        let (reply, answer) = flume::bounded(1);
        self.send(PeerMessage::Hold { record, reply });
        answer.recv_async().await.unwrap_or(PeerConfirmation::Unconfirmed)
    }

    /// Tells the membership what happened.
    pub fn input(&self, input: MembershipInput) {
        self.send(PeerMessage::Input(input));
    }

    /// Sends a message to the members task.
    pub fn send(&self, message: PeerMessage) {
        let _ = self.messages.send(message);
    }
}

/// Channel for the commands of one link.
pub fn command_channel() -> (flume::Sender<LinkCommand>, flume::Receiver<LinkCommand>) {
    flume::bounded(COMMANDS_LEN)
}
