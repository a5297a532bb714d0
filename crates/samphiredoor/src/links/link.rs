//! One connection between two gateways: opened or accepted, authenticated with the peer token by the RPC `enter`, and
//! served until either side closes it.

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
    counted::CountedStream,
    service::{DoorService, GateService, RemoteSide},
};
use crate::{
    door::Door,
    manifest_task::Source,
    metrics::PeerRefusal,
    peers::{CALL_TIMEOUT, LinkCommand, LinkId, LinkUp, PeerMessage, command_channel},
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a failed accept, between two checks whether a peer has authenticated, and for sending a refusal.
const ACCEPT_DELAY: Duration = Duration::from_millis(20);
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(250);
const MAX_ACCEPTED_LINKS: usize = 512;
const MAX_CONCURRENT_CALLS: usize = 64;
/// An accepted link that has received nothing for this many heartbeat intervals is considered half-open. Links that do
/// not monitor a neighbour send a heartbeat only every 16th interval, or every 32nd in a large fleet.
const TIMEOUT_INTERVALS: u32 = 128;
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
const BUFFER_BYTES: usize = 8 * 1024;
const WORD_BYTES: usize = 8;
const MAX_NESTING: i32 = 16;

/// Accepts links from peers until the process ends.
pub async fn listen(door: Rc<Door>, listener: TcpListener) {
    let open_links = Rc::new(Cell::new(0_usize));
    loop {
        match listener.accept().await {
            Ok(_) if open_links.get() >= MAX_ACCEPTED_LINKS => {
                door.metrics.count_peer_refusal(PeerRefusal::TooManyLinks);
                log::warn!("peers: closed a link above the limit of {MAX_ACCEPTED_LINKS}");
            }
            Ok((stream, from)) => {
                open_links.set(open_links.get() + 1);
                let (door, open_links) = (Rc::clone(&door), Rc::clone(&open_links));
                compio::runtime::spawn(async move {
                    if let Err(err) = accept(&door, stream).await {
                        log::debug!("peers: link from {from} ended: {err:#}");
                    }
                    open_links.set(open_links.get() - 1);
                })
                .detach();
            }
            Err(err) => {
                log::warn!("peers: accept failed: {err}");
                compio::time::sleep(ACCEPT_DELAY).await;
            }
        }
    }
}

/// Opens a link to a member, or to whichever gateway listens on a seed's address, and serves it until it ends.
pub async fn connect(door: Rc<Door>, peer: Option<Name>, address: String) {
    let served = open(&door, peer.as_ref(), &address).await;
    if let Err(err) = served {
        log::debug!("peers: link to {address} failed: {err:#}");
        if let Some(peer) = peer {
            door.peers.input(MembershipInput::ConnectFailed { peer });
        }
    }
}

fn vat_network(
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
    let (reader, writer) = (CountedStream::new(reader, received), CountedStream::new(writer, sent));
    Ok(Box::new(VatNetwork::new(reader, writer, side, options)))
}

async fn accept(door: &Rc<Door>, stream: TcpStream) -> anyhow::Result<()> {
    let remote = RemoteSide::new();
    let service = GateService { door: Rc::clone(door), remote: Rc::clone(&remote) };
    let gate: gate::Client = capnp_rpc::new_client(service);
    let network = vat_network(door, stream, Side::Server)?;
    let mut system = pin!(RpcSystem::new(network, Some(gate.client)).fuse());
    let mut entered = pin!(wait_for_enter(&remote).fuse());
    let (peer, client) = select! {
        ended = system => {
            door.metrics.count_peer_refusal(PeerRefusal::Unauthenticated);
            return Ok(ended?);
        }
        entered = entered => match entered {
            Some(entered) => entered,
            None => {
                // Leaves the RPC system time to send the refusal.
                let _ = within(ACCEPT_DELAY, &mut system).await;
                door.metrics.count_peer_refusal(PeerRefusal::Unauthenticated);
                bail!("the peer did not authenticate");
            }
        },
    };
    serve(door, &remote, system, peer, client, false).await
}

async fn wait_for_enter(remote: &RemoteSide) -> Option<(Member, door::Client)> {
    let deadline = Instant::now() + CALL_TIMEOUT;
    while Instant::now() < deadline && !remote.refused.get() {
        if let Some(entered) = remote.entered.borrow_mut().take() {
            return Some(entered);
        }
        compio::time::sleep(ACCEPT_DELAY).await;
    }
    None
}

async fn open(door: &Rc<Door>, expected: Option<&Name>, address: &str) -> anyhow::Result<()> {
    let address: SocketAddr = address.parse().context("not an IP address with a port")?;
    let stream = within(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .context("the connection attempt timed out")??;
    let remote = RemoteSide::new();
    let mut rpc = RpcSystem::new(vat_network(door, stream, Side::Client)?, None);
    let gate: gate::Client = rpc.bootstrap(VatId::Server);
    let own = Rc::new(DoorService::new(door, &remote, &Name::from("")));
    let mut system = pin!(rpc.fuse());
    let entering = within(CALL_TIMEOUT, enter(door, &gate, &own));
    let (peer, client) = match futures_util::future::select(&mut system, pin!(entering)).await {
        Either::Left((ended, _)) => return Ok(ended?),
        Either::Right((entered, _)) => {
            entered.context("the peer did not answer `enter` in time")??
        }
    };
    if expected.is_some_and(|it| *it != peer.name) {
        bail!("{} listens on this address instead", peer.name);
    }
    own.set_peer(&peer.name);
    serve(door, &remote, system, peer, client, true).await
}

/// Authenticates to the peer; returns the peer as a member and the capability to call it.
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

type RpcEnd = Result<(), capnp::Error>;

async fn serve(
    door: &Rc<Door>,
    remote: &RemoteSide,
    system: impl Future<Output = RpcEnd> + Unpin,
    peer: Member,
    client: door::Client,
    opened: bool,
) -> anyhow::Result<()> {
    let link = LinkId(door.next_number());
    let name = Name::clone(&peer.name);
    let (commands, inbox) = command_channel();
    door.peers.send(PeerMessage::LinkUp(LinkUp { link, peer, opened, commands }));
    let executing = pin!(execute_commands(Rc::clone(door), Name::clone(&name), client, inbox));
    // On an opened link this process sends the heartbeats, and the membership notices missing answers.
    let timing_out = pin!(async {
        match opened {
            true => std::future::pending().await,
            false => wait_for_timeout(door, remote).await,
        }
    });
    let until = pin!(futures_util::future::select(executing, timing_out));
    let ended = match futures_util::future::select(system, until).await {
        Either::Left((ended, _)) => ended,
        Either::Right(_) => Ok(()),
    };
    door.peers.send(PeerMessage::LinkDown { link, peer: name });
    Ok(ended?)
}

/// Ends when nothing has been received from the peer for the timeout.
async fn wait_for_timeout(door: &Door, remote: &RemoteSide) {
    let timeout = door.config.heartbeat * TIMEOUT_INTERVALS;
    remote.last_received.set(Instant::now());
    while remote.last_received.get().elapsed() < timeout {
        compio::time::sleep(TIMEOUT_CHECK_INTERVAL).await;
    }
}

/// Makes a call for each command; ends when the members task drops the sender of the commands.
async fn execute_commands(
    door: Rc<Door>,
    peer: Name,
    client: door::Client,
    commands: flume::Receiver<LinkCommand>,
) {
    let calls = Rc::new(Cell::new(0_usize));
    while let Ok(command) = commands.recv_async().await {
        if calls.get() >= MAX_CONCURRENT_CALLS {
            door.metrics.count_peer_refusal(PeerRefusal::SlowPeer);
            continue;
        }
        calls.set(calls.get() + 1);
        let (door, peer) = (Rc::clone(&door), Name::clone(&peer));
        let (client, calls) = (client.clone(), Rc::clone(&calls));
        compio::runtime::spawn(async move {
            match within(CALL_TIMEOUT, call(&door, &peer, &client, command)).await {
                Some(Ok(())) => {}
                Some(Err(err)) => log::debug!("peers: a call to {peer} failed: {err}"),
                None => log::debug!("peers: a call to {peer} timed out"),
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
        LinkCommand::SendHint(message) => {
            let mut request = client.tell_request();
            codec::write_hint(&message, request.get().init_news(1).get(0));
            request.send().promise.await?;
        }
        LinkCommand::PullMembers => pull_members(door, client).await?,
        LinkCommand::PullManifest { above } => {
            let pulled = pull_manifest(door, client, above).await;
            door.peers.send(PeerMessage::ManifestPullEnded);
            pulled?;
        }
        LinkCommand::ReplicateManifest { record, reply } => {
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
