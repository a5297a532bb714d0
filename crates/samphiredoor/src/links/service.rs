//! RPC services that a gateway offers to its peers: authentication, and the calls of authenticated peers.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Instant,
};

use capnp::Error;
use samphiredoor_core::{Name, membership::Member};
use samphiredoor_schema::peer_capnp::{door, gate};

use super::codec;
use crate::{door::Door, manifest_task::Source, metrics::PeerRefusal, peers::PeerMessage};

const MAX_HINTS: u32 = 1_000;

/// State of the remote side of a link, shared by the link and the services that it offers.
pub(super) struct RemoteSide {
    /// The authenticated peer and the capability to call it, until the link takes them.
    pub(super) entered: RefCell<Option<(Member, door::Client)>>,
    /// Whether authentication was refused.
    pub(super) refused: Cell<bool>,
    /// Time of the peer's last call.
    pub(super) last_received: Cell<Instant>,
}

impl RemoteSide {
    pub(super) fn new() -> Rc<RemoteSide> {
        Rc::new(RemoteSide {
            entered: RefCell::new(None),
            refused: Cell::new(false),
            last_received: Cell::new(Instant::now()),
        })
    }
}

/// Digest of a token. Digests are compared instead of tokens because their comparison takes constant time.
pub(super) fn token_digest(token: &[u8]) -> blake3::Hash {
    blake3::hash(token)
}

/// Bootstrap capability of a connection: it returns a [`DoorService`] to a peer that presents the token.
pub(super) struct GateService {
    pub(super) door: Rc<Door>,
    pub(super) remote: Rc<RemoteSide>,
}

impl gate::Server for GateService {
    async fn enter(
        self: Rc<Self>,
        params: gate::EnterParams,
        mut results: gate::EnterResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        if token_digest(params.get_token()?) != token_digest(&self.door.config.peer_token) {
            self.remote.refused.set(true);
            self.door.metrics.count_peer_refusal(PeerRefusal::WrongToken);
            log::warn!("peers: refused a connection with a wrong token");
            return Err(Error::failed("wrong token".to_owned()));
        }
        let peer = codec::read_member(params.get_self()?)?;
        if peer.name == self.door.config.name {
            self.remote.refused.set(true);
            return Err(Error::failed("this gateway has the same name".to_owned()));
        }
        let service = DoorService::new(&self.door, &self.remote, &peer.name);
        *self.remote.entered.borrow_mut() = Some((peer, params.get_door()?));
        let mut results = results.get();
        codec::write_member(&self.door.own_member(), results.reborrow().init_self());
        results.set_door(capnp_rpc::new_client(service));
        Ok(())
    }
}

/// Service that an authenticated peer may call.
pub(super) struct DoorService {
    door: Rc<Door>,
    remote: Rc<RemoteSide>,
    peer: RefCell<Name>,
}

impl DoorService {
    pub(super) fn new(door: &Rc<Door>, remote: &Rc<RemoteSide>, peer: &Name) -> DoorService {
        let peer = RefCell::new(Name::clone(peer));
        DoorService { door: Rc::clone(door), remote: Rc::clone(remote), peer }
    }

    /// Sets the name of the peer, for a service that was offered before that name was received.
    pub(super) fn set_peer(&self, peer: &Name) {
        *self.peer.borrow_mut() = Name::clone(peer);
    }

    /// Records that the peer made a call; returns the peer's name.
    fn record_call(&self) -> Name {
        self.remote.last_received.set(Instant::now());
        Name::clone(&self.peer.borrow())
    }

    /// Counts and logs a message that cannot be read.
    fn checked<T>(&self, read: Result<T, Error>) -> Result<T, Error> {
        read.inspect_err(|err| {
            self.door.metrics.count_peer_refusal(PeerRefusal::Unreadable);
            log::warn!("peers: refused an unreadable message from {}: {err}", self.peer.borrow());
        })
    }
}

fn stopping<T>(_: T) -> Error {
    Error::disconnected("the gateway is stopping".to_owned())
}

impl door::Server for DoorService {
    async fn heartbeat(
        self: Rc<Self>,
        params: door::HeartbeatParams,
        mut results: door::HeartbeatResults,
    ) -> Result<(), Error> {
        let from = self.record_call();
        let heartbeat = self.checked(params.get()?.get_beat().and_then(codec::read_heartbeat))?;
        let (reply, answer) = flume::bounded(1);
        self.door.peers.send(PeerMessage::Heartbeat { from, heartbeat, reply });
        let heartbeat = answer.recv_async().await.map_err(stopping)?;
        codec::write_heartbeat(&heartbeat, results.get().init_beat());
        Ok(())
    }

    async fn manifest(
        self: Rc<Self>,
        params: door::ManifestParams,
        mut results: door::ManifestResults,
    ) -> Result<(), Error> {
        self.record_call();
        let above = params.get()?.get_above_revision();
        if let Some(record) = self.door.manifest.record_above(above).await {
            results.get().set_content(&record);
        }
        Ok(())
    }

    async fn tell(
        self: Rc<Self>,
        params: door::TellParams,
        _: door::TellResults,
    ) -> Result<(), Error> {
        let from = self.record_call();
        let list = params.get()?.get_news()?;
        let mut hints = Vec::new();
        for news in list.iter().take(MAX_HINTS as usize) {
            match self.checked(codec::read_hint(news))? {
                Some(hint) => hints.push(hint),
                None => {
                    self.door.metrics.count_peer_refusal(PeerRefusal::UnknownHint);
                    log::warn!("peers: ignored a hint of an unknown kind from {from}");
                }
            }
        }
        self.door.peers.send(PeerMessage::Hints { from, hints });
        Ok(())
    }

    async fn members(
        self: Rc<Self>,
        params: door::MembersParams,
        mut results: door::MembersResults,
    ) -> Result<(), Error> {
        self.record_call();
        let after = params.get()?.get_after()?;
        let after: Name = after.to_str().map_err(|err| Error::failed(err.to_string()))?.into();
        let (reply, answer) = flume::bounded(1);
        self.door.peers.send(PeerMessage::MembersRequest { after, reply });
        let page = answer.recv_async().await.map_err(stopping)?;
        codec::write_members(&page, results.get().init_members(page.len() as u32));
        Ok(())
    }

    async fn hold(
        self: Rc<Self>,
        params: door::HoldParams,
        mut results: door::HoldResults,
    ) -> Result<(), Error> {
        self.record_call();
        let record: Arc<[u8]> = params.get()?.get_content()?.into();
        let held = self.door.manifest.offer(record, Source::Peer).await;
        results.get().set_held(held);
        Ok(())
    }
}
