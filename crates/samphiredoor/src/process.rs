//! The process of a door: puts its parts together, starts their tasks and listeners, and stops them as planned.

use std::{
    cell::Cell,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::{SystemTime, UNIX_EPOCH},
};

use anyhow::Context;
use compio::{net::TcpListener, runtime::JoinHandle};
use futures_util::future::{Either, select};
use samphiredoor_core::{Name, dispatch::Place, membership::MembershipInput, news::News};
use samphiredoor_net::{ServeLimits, Server, clock::Clock, serve::StopHandle};

use crate::{
    ask, callers,
    config::DoorConfig,
    dispatch_task::Dispatch,
    door::Door,
    exit_codes::Exit,
    hosts_task,
    jobs_task::{self, Jobs},
    keys_task::{self, KeysHandle},
    lease_task, lending_task, links, load_poll,
    manifest_task::{self, ManifestHandle},
    members_task,
    metrics::Metrics,
    operators,
    orders_task::{self, OrdersHandle},
    peers::{self, Peers},
    quarantine_task::{self, QuarantineHandle},
    store_client::StoreClient,
    targets::TargetPools,
};

/// Runs a door until it is told to stop.
pub fn run(config: DoorConfig) -> anyhow::Result<Exit> {
    let runtime = compio::runtime::Runtime::new().context("the runtime cannot start")?;
    runtime.block_on(serve(config))
}

async fn serve(config: DoorConfig) -> anyhow::Result<Exit> {
    let limits = ServeLimits { max_connections: config.max_connections, ..Default::default() };
    let mut callers = Server::bind(config.callers, limits)
        .await
        .with_context(|| format!("callers.address: {} cannot be listened on", config.callers))?;
    let operators =
        Server::bind(config.operators, ServeLimits::default()).await.with_context(|| {
            format!("operators.address: {} cannot be listened on", config.operators)
        })?;
    let peer_listener = TcpListener::bind(config.peers)
        .await
        .with_context(|| format!("peers.address: {} cannot be listened on", config.peers))?;
    let peer_address = peer_listener.local_addr()?;
    log::info!("door: callers on {}", callers.local_addr()?);
    log::info!("door: operators on {}", operators.local_addr()?);
    log::info!("door: peers on {peer_address}");
    let stop_callers = callers.stop_handle();
    let (door, inboxes) = new_door(config, peer_address);
    compio::runtime::spawn(jobs_task::run(Rc::clone(&door), inboxes.jobs)).detach();
    compio::runtime::spawn(keys_task::run(Rc::clone(&door), inboxes.keys)).detach();
    compio::runtime::spawn(lease_task::run(Rc::clone(&door))).detach();
    compio::runtime::spawn(load_poll::run(Rc::clone(&door))).detach();
    compio::runtime::spawn(lending_task::run(Rc::clone(&door), inboxes.lending)).detach();
    compio::runtime::spawn(manifest_task::run(Rc::clone(&door), inboxes.manifest)).detach();
    compio::runtime::spawn(members_task::run(Rc::clone(&door), inboxes.peers)).detach();
    compio::runtime::spawn(orders_task::run(Rc::clone(&door), inboxes.orders)).detach();
    compio::runtime::spawn(quarantine_task::run(Rc::clone(&door), inboxes.quarantine)).detach();
    compio::runtime::spawn(hosts_task::run(Rc::clone(&door))).detach();
    compio::runtime::spawn(links::listen(Rc::clone(&door), peer_listener)).detach();
    let for_operators = Rc::clone(&door);
    let answer_operator = move |request| operators::answer(Rc::clone(&for_operators), request);
    compio::runtime::spawn(operators.run(answer_operator)).detach();
    let for_callers = Rc::clone(&door);
    let serving = compio::runtime::spawn(
        callers.run(move |request| callers::answer(Rc::clone(&for_callers), request)),
    );
    wait_for_signal().await;
    let stopping = pin!(stop(&door, stop_callers, serving));
    match select(stopping, pin!(wait_for_signal())).await {
        Either::Left(_) => Ok(Exit::Success),
        Either::Right(_) => {
            log::warn!("door: told to stop a second time, ending at once");
            Ok(Exit::GeneralError)
        }
    }
}

/// A planned stop, in an order that cuts no request: the balancer and the peers are told first and given time, while
/// callers are still answered; the listener closes last, and what runs then is finished.
async fn stop(door: &Door, callers: Option<StopHandle>, serving: JoinHandle<()>) {
    log::info!("door: stopping");
    door.stopping.set(true);
    door.peers.input(MembershipInput::Stopping);
    door.jobs.stopping();
    if let Some(callers) = &callers {
        callers.drain();
    }
    compio::time::sleep(door.config.unready).await;
    drop(callers);
    let all = async {
        let _ = serving.await;
        door.jobs.empty().await;
        door.keys.empty().await;
    };
    let finished = compio::time::timeout(door.config.finish, all).await.is_ok();
    log::info!("door: stopped, all requests finished: {finished}");
}

struct Inboxes {
    jobs: jobs_task::JobsInbox,
    keys: keys_task::KeysInbox,
    quarantine: quarantine_task::QuarantineInbox,
    manifest: manifest_task::ManifestInbox,
    peers: peers::PeersInbox,
    orders: orders_task::OrdersInbox,
    lending: flume::Receiver<(Name, News)>,
}

fn new_door(config: DoorConfig, peer_address: SocketAddr) -> (Rc<Door>, Inboxes) {
    let clock = Clock::new();
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let incarnation = since.as_micros() as u64;
    let (jobs, jobs_inbox) = Jobs::new();
    let (keys, keys_inbox) = KeysHandle::new();
    let (quarantine, quarantine_inbox) = QuarantineHandle::new();
    let (manifest, manifest_inbox) = ManifestHandle::new();
    let (peers, peers_inbox) = Peers::new(peer_address);
    let (orders, orders_inbox) = OrdersHandle::new();
    let (lending_news, lending_inbox) = flume::unbounded();
    let place = Place {
        region: Name::clone(&config.region),
        availability_zone: Name::clone(&config.availability_zone),
    };
    let metrics = Metrics::new();
    // By name, so that a restarted door uses the same targets as before.
    let seed = ask::hash(config.name.as_bytes());
    let door = Door {
        clock,
        incarnation,
        dispatch: Dispatch::start(clock, place, seed, Rc::clone(&metrics), lending_news),
        jobs,
        keys,
        quarantine,
        manifest,
        peers,
        store: StoreClient::new(config.store, config.store_timeout),
        targets: TargetPools::default(),
        orders,
        metrics,
        stopping: Cell::new(false),
        next_unique: Cell::new(0),
        config,
    };
    let inboxes = Inboxes {
        jobs: jobs_inbox,
        keys: keys_inbox,
        quarantine: quarantine_inbox,
        manifest: manifest_inbox,
        peers: peers_inbox,
        orders: orders_inbox,
        lending: lending_inbox,
    };
    (Rc::new(door), inboxes)
}

async fn wait_for_signal() {
    let terminate = std::pin::pin!(compio::signal::unix::signal(15));
    let interrupt = std::pin::pin!(compio::signal::ctrl_c());
    match select(terminate, interrupt).await {
        Either::Left((result, _)) | Either::Right((result, _)) => {
            if let Err(err) = result {
                log::error!("door: signals cannot be waited for: {err}");
            }
        }
    }
}
