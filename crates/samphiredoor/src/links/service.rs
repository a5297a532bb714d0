//! What a door answers to its peers.

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

const MAX_NEWS: u32 = 1_000;

/// What the far side of a link has done so far; shared by the link and the capabilities that it gave out.
pub(super) struct FarSide {
    pub(super) entered: RefCell<Option<(Member, door::Client)>>,
    pub(super) refused: Cell<bool>,
    pub(super) heard: Cell<Instant>,
}

impl FarSide {
    pub(super) fn new() -> Rc<FarSide> {
        Rc::new(FarSide {
            entered: RefCell::new(None),
            refused: Cell::new(false),
            heard: Cell::new(Instant::now()),
        })
    }
}

/// Digest of the token; digests are compared in constant time.
pub(super) fn token_digest(token: &[u8]) -> blake3::Hash {
    blake3::hash(token)
}

/// The first capability on a connection: it gives a door to whoever shows the token.
pub(super) struct GateService {
    pub(super) door: Rc<Door>,
    pub(super) far: Rc<FarSide>,
}

impl gate::Server for GateService {
    async fn enter(
        self: Rc<Self>,
        params: gate::EnterParams,
        mut results: gate::EnterResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        if token_digest(params.get_token()?) != token_digest(&self.door.config.peer_token) {
            self.far.refused.set(true);
            self.door.metrics.peer_refused(PeerRefusal::WrongToken);
            log::warn!("peers: refused a process with a wrong token");
            return Err(Error::failed("wrong token".to_owned()));
        }
        let peer = codec::read_member(params.get_self()?)?;
        if peer.name == self.door.config.name {
            self.far.refused.set(true);
            return Err(Error::failed("a door of this name is here".to_owned()));
        }
        let service = DoorService::new(&self.door, &self.far, &peer.name);
        *self.far.entered.borrow_mut() = Some((peer, params.get_door()?));
        let mut results = results.get();
        codec::write_member(&self.door.own_member(), results.reborrow().init_self());
        results.set_door(capnp_rpc::new_client(service));
        Ok(())
    }
}

/// What a peer may call once it was let in.
pub(super) struct DoorService {
    door: Rc<Door>,
    far: Rc<FarSide>,
    peer: RefCell<Name>,
}

impl DoorService {
    pub(super) fn new(door: &Rc<Door>, far: &Rc<FarSide>, peer: &Name) -> DoorService {
        let peer = RefCell::new(Name::clone(peer));
        DoorService { door: Rc::clone(door), far: Rc::clone(far), peer }
    }

    /// Names the peer, where this service was given out before the peer had said its name.
    pub(super) fn set_peer(&self, peer: &Name) {
        *self.peer.borrow_mut() = Name::clone(peer);
    }

    fn from(&self) -> Name {
        self.far.heard.set(Instant::now());
        Name::clone(&self.peer.borrow())
    }

    fn checked<T>(&self, read: Result<T, Error>) -> Result<T, Error> {
        read.inspect_err(|err| {
            self.door.metrics.peer_refused(PeerRefusal::Unreadable);
            log::warn!("peers: refused a message of {}: {err}", self.peer.borrow());
        })
    }
}

fn gone<T>(_: T) -> Error {
    Error::disconnected("the door is stopping".to_owned())
}

impl door::Server for DoorService {
    async fn heartbeat(
        self: Rc<Self>,
        params: door::HeartbeatParams,
        mut results: door::HeartbeatResults,
    ) -> Result<(), Error> {
        let from = self.from();
        let heartbeat = self.checked(params.get()?.get_beat().and_then(codec::read_heartbeat))?;
        let (reply, answer) = flume::bounded(1);
        self.door.peers.send(PeerMessage::Heartbeat { from, heartbeat, reply });
        let heartbeat = answer.recv_async().await.map_err(gone)?;
        codec::write_heartbeat(&heartbeat, results.get().init_beat());
        Ok(())
    }

    async fn manifest(
        self: Rc<Self>,
        params: door::ManifestParams,
        mut results: door::ManifestResults,
    ) -> Result<(), Error> {
        self.from();
        let above = params.get()?.get_above_revision();
        if let Some(record) = self.door.manifest.above(above).await {
            results.get().set_content(&record);
        }
        Ok(())
    }

    async fn tell(
        self: Rc<Self>,
        params: door::TellParams,
        _: door::TellResults,
    ) -> Result<(), Error> {
        let from = self.from();
        let list = params.get()?.get_news()?;
        let mut told = Vec::new();
        for news in list.iter().take(MAX_NEWS as usize) {
            match self.checked(codec::read_news(news))? {
                Some(news) => told.push(news),
                None => {
                    self.door.metrics.peer_refused(PeerRefusal::UnknownNews);
                    log::warn!("peers: {from} told news of a kind that this version does not know");
                }
            }
        }
        self.door.peers.send(PeerMessage::News { from, told });
        Ok(())
    }

    async fn members(
        self: Rc<Self>,
        params: door::MembersParams,
        mut results: door::MembersResults,
    ) -> Result<(), Error> {
        self.from();
        let after = params.get()?.get_after()?;
        let after: Name = after.to_str().map_err(|err| Error::failed(err.to_string()))?.into();
        let (reply, answer) = flume::bounded(1);
        self.door.peers.send(PeerMessage::PageAsked { after, reply });
        let page = answer.recv_async().await.map_err(gone)?;
        codec::write_members(&page, results.get().init_members(page.len() as u32));
        Ok(())
    }

    async fn hold(
        self: Rc<Self>,
        params: door::HoldParams,
        mut results: door::HoldResults,
    ) -> Result<(), Error> {
        self.from();
        let record: Arc<[u8]> = params.get()?.get_content()?.into();
        let held = self.door.manifest.offer(record, Source::Peer).await;
        results.get().set_held(held);
        Ok(())
    }
}
