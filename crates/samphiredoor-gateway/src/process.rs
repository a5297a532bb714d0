//! The whole gateway: its parts, its listeners, and its planned stop.

use std::{
    cell::Cell,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use anyhow::Context;
use compio::{net::UdpSocket, runtime::JoinHandle};
use futures_util::future::{Either, select};
use hyper::{Request, Response, StatusCode, body::Incoming};
use samphiredoor_core::{placement::Placement, store::Kind};
use samphiredoor_net::{Body, ServeLimits, Server, clock::Clock, serve::StopHandle};

use crate::{
    config::{CommonConfig, GatewayConfig},
    discovery::{RoutesTask, TargetsTask},
    fleet::Fleet,
    front::{self, Front, json_message},
    jobs::{self, JobEnv, Jobs, LivenessGaps},
    metrics::Metrics,
    mirror::Mirrors,
    peers::{
        self, CellStatuses, JobOwners, LocalGateway, Roster, StatusSender, SummarySender,
        WatchRelay, routes_relay::RoutesRelay,
    },
    placement::{PlacementHandle, PlacementTask},
    platform_api::{Dialect, Platform},
    routes::Routes,
    seen_versions::SeenVersion,
    store_health::StoreHealth,
    target_client::TargetClient,
    watch::Watcher,
};

/// Connections of callers held at once; with two sockets a request this stays below common descriptor limits.
const MAX_CALLER_CONNECTIONS: usize = 1_500;
/// Time within which listeners of other processes and of the balancer answer slow clients.
const SIDE_HEADER_TIMEOUT: Duration = Duration::from_secs(30);
/// How often the operators' bounds on callers are taken over by the listener.
const LIMITS_PAUSE: Duration = Duration::from_secs(1);
/// Within which time a gateway that starts has to be known to the others.
const GATEWAYS_WITHIN: Duration = Duration::from_secs(5);
pub(crate) const SIGHUP: i32 = 1;
const SIGTERM: i32 = 15;

/// Runs a gateway until it is told to stop. `reload` reads the settings again.
///
/// # Errors
///
/// What keeps it from starting.
pub fn run(
    config: GatewayConfig,
    platform: impl FnOnce(&CommonConfig) -> Platform,
    reload: impl Fn() -> anyhow::Result<GatewayConfig> + 'static,
) -> anyhow::Result<()> {
    let runtime = compio::runtime::Runtime::new().context("the runtime cannot start")?;
    let platform = platform(&config.common);
    runtime.block_on(serve(config, platform, reload))
}

/// All parts of a gateway.
struct Parts {
    front: Rc<Front>,
    jobs: Jobs,
    metrics: Rc<Metrics>,
    routes: Routes,
    watch_relay: WatchRelay,
    targets_known: Rc<Cell<Option<usize>>>,
    stopping: Rc<Cell<bool>>,
}

async fn serve(
    config: GatewayConfig,
    platform: Platform,
    reload: impl Fn() -> anyhow::Result<GatewayConfig> + 'static,
) -> anyhow::Result<()> {
    let limits = ServeLimits { max_connections: MAX_CALLER_CONNECTIONS, ..ServeLimits::default() };
    let mut callers = bind("callers", config.callers, limits).await?;
    let readiness = bind("readiness", config.readiness, side_limits()).await?;
    let peer_calls = bind("peers", config.peers, side_limits()).await?;
    // Ports may be left to the system; others have to know which they are.
    let peers = peer_calls.local_addr()?;
    let socket = UdpSocket::bind(peers)
        .await
        .with_context(|| format!("peers.address: {peers} takes no datagrams"))?;
    let stop_callers = callers.stop_handle();
    let parts = start(&config, &platform, peers, Rc::new(socket));
    log::info!(
        name = &*config.common.name, callers:% = callers.local_addr()?,
        readiness:% = readiness.local_addr()?, peers:% = peers;
        "gateway: started"
    );
    serve_side(&config, &parts, Rc::clone(&platform.dialect), readiness, peer_calls).await?;
    compio::runtime::spawn(follow_limits(parts.routes.clone(), callers.limits())).detach();
    let front = Rc::clone(&parts.front);
    let serving = compio::runtime::spawn(
        callers.run(move |request| front::answer(Rc::clone(&front), request)),
    );
    compio::runtime::spawn(reload_on_signal(config.clone(), reload)).detach();
    wait_for_stop().await;
    stop(&config, &parts, stop_callers, serving).await;
    Ok(())
}

pub(crate) async fn bind(
    key: &str,
    address: SocketAddr,
    limits: ServeLimits,
) -> anyhow::Result<Server> {
    let bound = Server::bind(address, limits).await;
    bound.with_context(|| format!("{key}.address: {address} cannot be listened on"))
}

pub(crate) fn side_limits() -> ServeLimits {
    ServeLimits { header_read_timeout: SIDE_HEADER_TIMEOUT, ..ServeLimits::default() }
}

fn start(
    config: &GatewayConfig,
    platform: &Platform,
    peers: SocketAddr,
    socket: Rc<UdpSocket>,
) -> Parts {
    let common = &config.common;
    let clock = Clock::new();
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let own = LocalGateway {
        name: common.name.clone(),
        incarnation: since.as_micros() as u64,
        location: common.location.clone(),
        address: peers,
    };
    let metrics = Metrics::new();
    let (routes, health) = (Routes::default(), StoreHealth::default());
    let roster = Roster::new(own.clone());
    let stopping = Rc::new(Cell::new(false));
    let (told, tell) = flume::unbounded();
    let seed = rand::random();
    let placement = Placement::new(own.name.clone(), own.location.clone(), seed);
    let metrics_of_task = Rc::clone(&metrics);
    let placement =
        PlacementHandle::start(PlacementTask { clock, placement, metrics: metrics_of_task, told });
    let client = TargetClient::new(platform.dialect.headers().request_id.clone());
    let targets_known = Rc::new(Cell::new(None));
    let mirrors = Mirrors::new(&common.mirrors);
    let watch_relay = WatchRelay::new(roster.clone());
    let follow = |kind, within, seen_version: &SeenVersion| {
        let fleet = Fleet::new(roster.clone(), within, seen_version.clone());
        Watcher::new(Rc::clone(&platform.store), kind, common.watch)
            .with_metrics(Rc::clone(&metrics))
            .with_mirrors(mirrors.clone())
            .with_health(health.clone())
            .with_fleet(fleet)
            .with_watch_relay(watch_relay.clone(), within)
    };
    let seen_versions = roster.seen_versions();

    let routes_task = Rc::new(RoutesTask {
        platform: platform.clone(),
        routes: routes.clone(),
        health: health.clone(),
        metrics: Rc::clone(&metrics),
    });
    let follow_routes = follow(Kind::Routes, common.routes_within, &seen_versions.routes)
        .with_stale_start()
        .with_rest_after_changes(common.routes_within);
    let (relayed, relay) = flume::unbounded();
    compio::runtime::spawn(Rc::clone(&routes_task).run_relay(relay)).detach();
    compio::runtime::spawn(routes_task.run(follow_routes)).detach();
    let asking = peers::routes_relay::run(
        roster.clone(),
        routes.clone(),
        Rc::clone(&platform.store),
        relayed,
    );
    compio::runtime::spawn(asking).detach();
    let targets_task = TargetsTask {
        platform: platform.clone(),
        placement: placement.clone(),
        roster: roster.clone(),
        client: client.clone(),
        known: Rc::clone(&targets_known),
        metrics: Rc::clone(&metrics),
    };
    let follow_targets = follow(Kind::Targets, common.targets_within, &seen_versions.targets)
        .with_stale_start()
        .with_gate(health.clone())
        .with_rest_after_changes(common.targets_within);
    compio::runtime::spawn(targets_task.run(follow_targets)).detach();

    let follow_gateways = follow(Kind::Door, GATEWAYS_WITHIN, &seen_versions.gateways)
        .with_stale_start()
        .with_gate(health.clone());
    let registration = peers::registration::run(
        roster.clone(),
        placement.clone(),
        Rc::clone(&platform.store),
        follow_gateways,
    );
    compio::runtime::spawn(registration).detach();
    let (owners, cell_statuses) = (JobOwners::default(), CellStatuses::default());
    let listener = peers::Listener {
        socket: Rc::clone(&socket),
        roster: roster.clone(),
        cell_statuses: cell_statuses.clone(),
        placement: placement.clone(),
        owners: owners.clone(),
        health: health.clone(),
        metrics: Rc::clone(&metrics),
    };
    compio::runtime::spawn(listener.run()).detach();
    let summary_sender = SummarySender {
        socket: Rc::clone(&socket),
        roster: roster.clone(),
        cell_statuses: cell_statuses.clone(),
    };
    compio::runtime::spawn(summary_sender.run()).detach();
    let (announcements, announced) = flume::unbounded();
    let status_sender = StatusSender {
        local: own.clone(),
        socket,
        roster: roster.clone(),
        cell_statuses,
        routes: routes.clone(),
        health: health.clone(),
        stopping: Rc::clone(&stopping),
    };
    compio::runtime::spawn(status_sender.run(tell, announced)).detach();

    let liveness_gaps = LivenessGaps::new(clock, roster.clone(), health.clone());
    let env = JobEnv {
        name: own.name.clone(),
        incarnation: own.incarnation,
        platform: platform.clone(),
        routes: routes.clone(),
        placement: placement.clone(),
        targets: client.clone(),
        roster,
        owners,
        health,
        liveness_gaps,
        announcements,
        metrics: Rc::clone(&metrics),
        clock,
        retention: config.keep_jobs,
        stopping: Rc::clone(&stopping),
    };
    let jobs = jobs::start(env);
    let front = Front {
        dialect: Rc::clone(&platform.dialect),
        routes: routes.clone(),
        placement,
        targets: client,
        jobs: jobs.clone(),
        metrics: Rc::clone(&metrics),
        clock,
        open: Rc::default(),
    };
    Parts { front: Rc::new(front), jobs, metrics, routes, watch_relay, targets_known, stopping }
}

async fn serve_side(
    config: &GatewayConfig,
    parts: &Parts,
    dialect: Rc<dyn Dialect>,
    readiness: Server,
    peer_calls: Server,
) -> anyhow::Result<()> {
    let ready = Ready {
        dialect,
        routes: parts.routes.clone(),
        targets_known: Rc::clone(&parts.targets_known),
        stopping: Rc::clone(&parts.stopping),
    };
    let ready = Rc::new(ready);
    let answer_readiness = move |request: Request<Incoming>| {
        let ready = Rc::clone(&ready);
        async move { ready.answer(&request) }
    };
    compio::runtime::spawn(readiness.run(answer_readiness)).detach();
    let (front, watch_relay) = (Rc::clone(&parts.front), parts.watch_relay.clone());
    let relay = RoutesRelay::new(parts.routes.clone());
    let answer_peers = move |request: Request<Incoming>| {
        let (front, relay, watch_relay) = (Rc::clone(&front), relay.clone(), watch_relay.clone());
        async move {
            let jobs = &front.jobs;
            match request.uri().path() {
                peers::routes_relay::PATH => relay.answer(),
                path if path.starts_with(peers::watch_relay::PATH_PREFIX) => {
                    watch_relay.answer(request.uri()).await
                }
                path if path.starts_with(jobs::forward::PATH_PREFIX) => {
                    front::answer_forwarded(Rc::clone(&front), request).await
                }
                _ => jobs.handle_peer(request.method(), request.uri()).await,
            }
        }
    };
    compio::runtime::spawn(peer_calls.run(answer_peers)).detach();
    if let Some(address) = config.common.metrics {
        let server = bind("metrics", address, side_limits()).await?;
        let metrics = Rc::clone(&parts.metrics);
        let answer_metrics = move |_: Request<Incoming>| {
            let text = metrics.text();
            async move { Response::new(Body::full(text)) }
        };
        compio::runtime::spawn(server.run(answer_metrics)).detach();
    }
    Ok(())
}

/// What the balancer is told.
struct Ready {
    dialect: Rc<dyn Dialect>,
    routes: Routes,
    targets_known: Rc<Cell<Option<usize>>>,
    stopping: Rc<Cell<bool>>,
}

impl Ready {
    fn answer(&self, request: &Request<Incoming>) -> Response<Body> {
        if !self.dialect.is_readiness_check(request.method(), request.uri().path()) {
            return json_message(StatusCode::NOT_FOUND, "only readiness is asked for here");
        }
        match self.problem() {
            None => json_message(StatusCode::OK, "ready"),
            Some(problem) => json_message(StatusCode::SERVICE_UNAVAILABLE, problem),
        }
    }

    fn problem(&self) -> Option<&'static str> {
        if self.stopping.get() {
            Some("stopping")
        } else if self.routes.current().is_none() {
            Some("no routes yet")
        } else if self.targets_known.get().is_none() {
            Some("no targets yet")
        } else {
            None
        }
    }
}

/// Keeps the listener's bounds at what the operators say.
async fn follow_limits(routes: Routes, limits: Rc<std::cell::RefCell<ServeLimits>>) {
    loop {
        if let Some(table) = routes.current() {
            let mut limits = limits.borrow_mut();
            limits.max_header_bytes = table.limits.header_bytes;
            // The same timer covers the wait for a request and that for the rest of its head.
            let wait_ms = table.limits.idle_ms.max(table.limits.header_ms);
            limits.header_read_timeout = Duration::from_millis(wait_ms);
        }
        compio::time::sleep(LIMITS_PAUSE).await;
    }
}

/// A planned stop, in an order that cuts no request: the balancer is told first and given time, while callers are still
/// answered; the listener closes last, and what runs then is finished.
async fn stop(
    config: &GatewayConfig,
    parts: &Parts,
    callers: Option<StopHandle>,
    serving: JoinHandle<()>,
) {
    log::info!(open = parts.front.open.get(); "gateway: stopping");
    parts.stopping.set(true);
    if let Some(callers) = &callers {
        callers.drain();
    }
    let (jobs, limit) = (parts.jobs.clone(), config.unready + config.finish);
    let releasing = compio::runtime::spawn(async move { jobs.hand_over_all(limit).await });
    compio::time::sleep(config.unready).await;
    drop(callers);
    let all = async {
        // A task that panicked has nothing left to wait for.
        let _ = serving.await;
        let _ = releasing.await;
    };
    let finished = compio::time::timeout(config.finish, all).await.is_ok();
    log::info!(finished, open = parts.front.open.get(); "gateway: stopped");
    // The log's thread writes in pauses; this lets it write the last lines.
    compio::time::sleep(Duration::from_millis(120)).await;
}

async fn reload_on_signal(
    mut config: GatewayConfig,
    reload: impl Fn() -> anyhow::Result<GatewayConfig>,
) {
    loop {
        wait_for(SIGHUP).await;
        match reload() {
            Ok(new) => {
                let listeners = |it: &GatewayConfig| (it.callers, it.readiness, it.peers);
                let moved = listeners(&new) != listeners(&config);
                log::set_max_level(new.common.log.level);
                log::info!(listeners_change_at_next_start = moved; "gateway: settings read again");
                config = new;
            }
            Err(err) => {
                log::error!(problem:% = err; "gateway: settings kept, the new ones are wrong")
            }
        }
    }
}

/// Waits for one signal; for ever if that is not possible.
pub(crate) async fn wait_for(signal: i32) {
    if let Err(err) = compio::signal::unix::signal(signal).await {
        log::error!(signal, problem:% = err; "gateway: signal cannot be waited for");
        std::future::pending::<()>().await;
    }
}

/// Waits until the process is told to stop, by whichever of the usual signals.
pub(crate) async fn wait_for_stop() {
    let terminate = pin!(wait_for(SIGTERM));
    let interrupt = pin!(compio::signal::ctrl_c());
    if let Either::Right((Err(err), _)) = select(terminate, interrupt).await {
        log::error!(problem:% = err; "process: interrupts cannot be waited for");
    }
}
