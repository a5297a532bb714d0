//! One connection between two doors: opened or accepted, entered with the token, and served until either side ends.

use std::{
    cell::Cell,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::{Context, bail};
use capnp::message::ReaderOptions;
use capnp_rpc::{
    RpcSystem,
    rpc_twoparty_capnp::Side,
    twoparty::{VatId, VatNetwork},
};
use compio::{
    io::compat::AsyncStream,
    net::{TcpListener, TcpStream},
};
use futures_util::{AsyncReadExt, FutureExt, future::Either, select};
use samphiredoor_core::{
    Name,
    membership::{Member, MembershipInput},
};
use samphiredoor_net::pool::within;
use samphiredoor_schema::peer_capnp::{door, gate};

use super::{
    codec,
    counted::Counted,
    service::{DoorService, FarSide, GateService},
};
use crate::{
    door::Door,
    manifest_task::Source,
    metrics::PeerRefusal,
    peers::{CALL_TIMEOUT, LinkCommand, LinkId, LinkUp, PeerMessage, command_channel},
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
const WATCHDOG_PAUSE: Duration = Duration::from_millis(250);
const MAX_LINKS: usize = 512;
const MAX_CALLS: usize = 64;
// A link on which nothing was heard for this many heartbeats is half-open; far links beat every 16th, or every 32nd in
// a large fleet.
const SILENT_BEATS: u32 = 128;
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
const BUFFER_BYTES: usize = 8 * 1024;
const WORD_BYTES: usize = 8;
const MAX_NESTING: i32 = 16;

/// Takes links of peers until the process ends.
pub async fn listen(door: Rc<Door>, listener: TcpListener) {
    let open = Rc::new(Cell::new(0_usize));
    loop {
        match listener.accept().await {
            Ok(_) if open.get() >= MAX_LINKS => {
                door.metrics.peer_refused(PeerRefusal::TooManyLinks);
                log::warn!("peers: closed a link above the limit of {MAX_LINKS}");
            }
            Ok((stream, from)) => {
                open.set(open.get() + 1);
                let (door, open) = (Rc::clone(&door), Rc::clone(&open));
                compio::runtime::spawn(async move {
                    if let Err(err) = accept(&door, stream).await {
                        log::debug!("peers: link from {from} ended: {err:#}");
                    }
                    open.set(open.get() - 1);
                })
                .detach();
            }
            Err(err) => {
                log::warn!("peers: accept failed: {err}");
                compio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Opens a link to a member, or to whoever listens on a seed's address, and serves it until it ends.
pub async fn connect(door: Rc<Door>, peer: Option<Name>, address: String) {
    let opened = open(&door, peer.as_ref(), &address).await;
    if let Err(err) = opened {
        log::debug!("peers: no link to {address}: {err:#}");
        if let Some(peer) = peer {
            door.peers.input(MembershipInput::ConnectFailed { peer });
        }
    }
}

fn network(
    door: &Door,
    stream: TcpStream,
    side: Side,
) -> anyhow::Result<Box<VatNetwork<impl futures_util::AsyncRead + Unpin + 'static>>> {
    stream.set_nodelay(true)?;
    let stream = AsyncStream::with_limits(BUFFER_BYTES, MAX_MESSAGE_BYTES, stream);
    let (reader, writer) = Box::pin(stream).split();
    let (received, sent) = door.metrics.peer_bytes();
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_BYTES / WORD_BYTES));
    options.nesting_limit(MAX_NESTING);
    let (reader, writer) = (Counted::new(reader, received), Counted::new(writer, sent));
    Ok(Box::new(VatNetwork::new(reader, writer, side, options)))
}

async fn accept(door: &Rc<Door>, stream: TcpStream) -> anyhow::Result<()> {
    let far = FarSide::new();
    let service = GateService { door: Rc::clone(door), far: Rc::clone(&far) };
    let gate: gate::Client = capnp_rpc::new_client(service);
    let network = network(door, stream, Side::Server)?;
    let mut system = pin!(RpcSystem::new(network, Some(gate.client)).fuse());
    let mut entered = pin!(wait_for_entry(&far).fuse());
    let (peer, client) = select! {
        ended = system => {
            door.metrics.peer_refused(PeerRefusal::NoEntry);
            return Ok(ended?);
        }
        entered = entered => match entered {
            Some(entered) => entered,
            None => {
                // The refusal itself has still to be sent.
                let _ = within(ACCEPT_PAUSE, &mut system).await;
                door.metrics.peer_refused(PeerRefusal::NoEntry);
                bail!("the far side did not enter");
            }
        },
    };
    serve(door, &far, system, peer, client, false).await
}

async fn wait_for_entry(far: &FarSide) -> Option<(Member, door::Client)> {
    let deadline = Instant::now() + CALL_TIMEOUT;
    while Instant::now() < deadline && !far.refused.get() {
        if let Some(entered) = far.entered.borrow_mut().take() {
            return Some(entered);
        }
        compio::time::sleep(ACCEPT_PAUSE).await;
    }
    None
}

async fn open(door: &Rc<Door>, expected: Option<&Name>, address: &str) -> anyhow::Result<()> {
    let address: SocketAddr = address.parse().context("no IP address with a port")?;
    let stream = within(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .context("the connect timed out")??;
    let far = FarSide::new();
    let mut rpc = RpcSystem::new(network(door, stream, Side::Client)?, None);
    let gate: gate::Client = rpc.bootstrap(VatId::Server);
    let own = Rc::new(DoorService::new(door, &far, &Name::from("")));
    let mut system = pin!(rpc.fuse());
    let entering = within(CALL_TIMEOUT, enter(door, &gate, &own));
    let (peer, client) = match futures_util::future::select(&mut system, pin!(entering)).await {
        Either::Left((ended, _)) => return Ok(ended?),
        Either::Right((entered, _)) => entered.context("the far side did not answer")??,
    };
    if expected.is_some_and(|it| *it != peer.name) {
        bail!("{} is there instead", peer.name);
    }
    own.set_peer(&peer.name);
    serve(door, &far, system, peer, client, true).await
}

async fn enter(
    door: &Door,
    gate: &gate::Client,
    own: &Rc<DoorService>,
) -> Result<(Member, door::Client), capnp::Error> {
    let mut request = gate.enter_request();
    let mut params = request.get();
    params.set_token(&door.config.peer_token);
    codec::write_member(&door.own_member(), params.reborrow().init_self());
    params.set_door(capnp_rpc::new_client_from_rc(Rc::clone(own)));
    let answer = request.send().promise.await?;
    let answer = answer.get()?;
    Ok((codec::read_member(answer.get_self()?)?, answer.get_door()?))
}

type Ended = Result<(), capnp::Error>;

async fn serve(
    door: &Rc<Door>,
    far: &FarSide,
    system: impl Future<Output = Ended> + Unpin,
    peer: Member,
    client: door::Client,
    opened: bool,
) -> anyhow::Result<()> {
    let link = LinkId(door.next_number());
    let name = Name::clone(&peer.name);
    let (commands, inbox) = command_channel();
    door.peers.send(PeerMessage::Up(LinkUp { link, peer, opened, commands }));
    let obeying = pin!(obey(Rc::clone(door), Name::clone(&name), client, inbox));
    // Whoever opened a link beats on it and notices the other's silence by itself.
    let watching = pin!(async {
        match opened {
            true => std::future::pending().await,
            false => silence(door, far).await,
        }
    });
    let until = pin!(futures_util::future::select(obeying, watching));
    let ended = match futures_util::future::select(system, until).await {
        Either::Left((ended, _)) => ended,
        Either::Right(_) => Ok(()),
    };
    door.peers.send(PeerMessage::Down { link, peer: name });
    Ok(ended?)
}

async fn silence(door: &Door, far: &FarSide) {
    let patience = door.config.heartbeat * SILENT_BEATS;
    far.heard.set(Instant::now());
    while far.heard.get().elapsed() < patience {
        compio::time::sleep(WATCHDOG_PAUSE).await;
    }
}

// Ends when the members task has dropped its side.
async fn obey(
    door: Rc<Door>,
    peer: Name,
    client: door::Client,
    commands: flume::Receiver<LinkCommand>,
) {
    let calls = Rc::new(Cell::new(0_usize));
    while let Ok(command) = commands.recv_async().await {
        if calls.get() >= MAX_CALLS {
            door.metrics.peer_refused(PeerRefusal::SlowPeer);
            continue;
        }
        calls.set(calls.get() + 1);
        let (door, peer) = (Rc::clone(&door), Name::clone(&peer));
        let (client, calls) = (client.clone(), Rc::clone(&calls));
        compio::runtime::spawn(async move {
            match within(CALL_TIMEOUT, call(&door, &peer, &client, command)).await {
                Some(Ok(())) => {}
                Some(Err(err)) => log::debug!("peers: {peer} did not answer: {err}"),
                None => log::debug!("peers: {peer} did not answer in time"),
            }
            calls.set(calls.get() - 1);
        })
        .detach();
    }
}

async fn call(
    door: &Door,
    peer: &Name,
    client: &door::Client,
    command: LinkCommand,
) -> Result<(), capnp::Error> {
    match command {
        LinkCommand::Heartbeat(heartbeat) => {
            let mut request = client.heartbeat_request();
            codec::write_heartbeat(&heartbeat, request.get().init_beat());
            let answer = request.send().promise.await?;
            let heartbeat = codec::read_heartbeat(answer.get()?.get_beat()?)?;
            door.peers.input(MembershipInput::Heartbeat { from: Name::clone(peer), heartbeat });
        }
        LinkCommand::Tell(told) => {
            let mut request = client.tell_request();
            codec::write_news(&told, request.get().init_news(1).get(0));
            request.send().promise.await?;
        }
        LinkCommand::PullMembers => pull_members(door, client).await?,
        LinkCommand::PullManifest { above } => {
            let pulled = pull_manifest(door, client, above).await;
            door.peers.send(PeerMessage::PullEnded);
            pulled?;
        }
        LinkCommand::Hold { record, reply } => {
            let mut request = client.hold_request();
            request.get().set_content(&record);
            let answer = request.send().promise.await?;
            let _ = reply.send(answer.get()?.get_held());
        }
    }
    Ok(())
}

async fn pull_members(door: &Door, client: &door::Client) -> Result<(), capnp::Error> {
    let mut after = Name::from("");
    loop {
        let mut request = client.members_request();
        request.get().set_after(&*after);
        let answer = request.send().promise.await?;
        let members = codec::read_members(answer.get()?.get_members()?)?;
        match members.last() {
            Some(last) if last.name > after => after = Name::clone(&last.name),
            _ => return Ok(()),
        }
        door.peers.input(MembershipInput::Members(members));
    }
}

async fn pull_manifest(door: &Door, client: &door::Client, above: u64) -> Result<(), capnp::Error> {
    let mut request = client.manifest_request();
    request.get().set_above_revision(above);
    let answer = request.send().promise.await?;
    let record = answer.get()?.get_content()?;
    if !record.is_empty() {
        door.manifest.offer(record.into(), Source::Peer).await;
    }
    Ok(())
}
