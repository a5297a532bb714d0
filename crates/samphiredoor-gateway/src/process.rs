//! Starts the parts of a gateway and its listeners, and performs its graceful shutdown.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use anyhow::Context;
use compio::{net::UdpSocket, runtime::JoinHandle};
use hyper::{Request, Response, body::Incoming};
use samphiredoor_core::{Name, placement::Placement, store::Kind};
use samphiredoor_net::{
    Body, ServeLimits, Server, clock::Clock, permits::Permits, serve::StopHandle,
    socket::SocketTimeouts,
};

use crate::{
    buffers::{Buffers, SOCKET_BUFFER_BYTES},
    client_limits::ClientLimits,
    config::{ActiveOverload, CommonConfig, GatewayConfig},
    discovery::{RoutesTask, TargetsTask},
    front::{self, Front, MAX_LARGE_HEADS},
    idle_limit::IdleLimit,
    jobs::{self, JobEnv, Jobs, LivenessGaps},
    metrics::Metrics,
    mirror::Mirrors,
    peers::{
        self, CellStatuses, CrashReports, CrashReportsTask, JobOwners, LocalGateway,
        QuarantineRecorder, Roster, RunLimits, RunLimitsTask, StatusSender, StreamOrigins,
        StreamOriginsTask, SummarySender, VersionRecorder, WatchRelay, routes_relay::RoutesRelay,
    },
    placement::{PlacementHandle, PlacementTask},
    platform_api::{Dialect, Platform},
    readiness::{KnownTargets, Readiness},
    routes::Routes,
    seen_versions::SeenVersion,
    shutdown::{Shutdown, ShutdownTimes},
    signals::{SIGHUP, keep_from_ending, wait_for, wait_for_stop},
    store_health::StoreHealth,
    target_client::TargetClient,
    target_probes::TargetProbes,
    watch::Watcher,
    watch_schedule::WatchSchedule,
};

/// Time limit for idle connections and for request heads on the internal listeners: those for peers, health checks, metrics
/// and mirrors.
const INTERNAL_TIMEOUT: Duration = Duration::from_secs(30);
/// Most connections of the readiness and metrics listeners, which answer at once.
const PROBE_CONNECTIONS: usize = 128;
/// Limit of the kernel's buffers of each of these connections, in each direction.
const PROBE_SOCKET_BUFFER_BYTES: usize = 16 * 1024;
/// Most connections of the listeners for peers and mirrors: some from each of the largest number of gateways.
const PEER_CONNECTIONS: usize = 1_024;
/// How often the limits on callers are copied from the active routes to the listener.
const LIMITS_UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// Time within which a gateway that starts has to be known to its peers.
const GATEWAYS_WITHIN: Duration = Duration::from_secs(5);

/// Runs a gateway until it gets a signal to stop. `reload` reads the settings file again.
///
/// # Errors
///
/// The runtime does not start, or a listener cannot be bound.
pub fn run(
    config: GatewayConfig,
    platform: impl FnOnce(&CommonConfig) -> Platform,
    reload: impl Fn() -> anyhow::Result<GatewayConfig> + 'static,
) -> anyhow::Result<()> {
    let runtime = compio::runtime::Runtime::new().context("the runtime cannot start")?;
    let platform = platform(&config.common);
    runtime.block_on(serve(config, platform, reload))
}

/// The parts of a gateway that its listeners and its shutdown use.
struct Parts {
    front: Rc<Front>,
    jobs: Jobs,
    metrics: Rc<Metrics>,
    routes: Routes,
    watch_relay: WatchRelay,
    known_targets: Rc<RefCell<KnownTargets>>,
    shutdown: Shutdown,
}

async fn serve(
    config: GatewayConfig,
    platform: Platform,
    reload: impl Fn() -> anyhow::Result<GatewayConfig> + 'static,
) -> anyhow::Result<()> {
    let features = &config.overload.deployment_features;
    let overload = config.overload.active(platform.dialect.requests_overload_control(features));
    let limits = caller_limits(overload, config.client_limits);
    let mut callers = bind("callers", config.callers, limits).await?;
    let readiness = bind("readiness", config.readiness, probe_limits()).await?;
    let peer_calls = bind("peers", config.peers, internal_limits()).await?;
    // The system may have chosen the port, and peers need the actual one.
    let peers = peer_calls.local_addr()?;
    let socket = UdpSocket::bind(peers)
        .await
        .with_context(|| format!("peers.address: cannot bind {peers} for UDP"))?;
    let stop_callers = callers.stop_handle();
    let parts = start(&config, overload, &platform, peers, Rc::new(socket));
    let callers = callers.with_close_counters(parts.metrics.caller_closes());
    keep_from_ending(SIGHUP);
    log::info!(
        name = &*config.common.name, callers:% = callers.local_addr()?,
        readiness:% = readiness.local_addr()?, peers:% = peers;
        "gateway: started"
    );
    serve_internal(&config, &parts, Rc::clone(&platform.dialect), readiness, peer_calls).await?;
    compio::runtime::spawn(update_limits(parts.routes.clone(), callers.limits())).detach();
    let front = Rc::clone(&parts.front);
    let serving = compio::runtime::spawn(
        callers.run(move |request| front::answer(Rc::clone(&front), request)),
    );
    compio::runtime::spawn(reload_on_signal(config.clone(), reload)).detach();
    wait_for_stop().await;
    stop(&config, &parts, stop_callers, serving).await;
    Ok(())
}

/// Limits of the callers' listener.
fn caller_limits(overload: ActiveOverload, client_limits: ClientLimits) -> ServeLimits {
    let limits = ServeLimits {
        max_connections: client_limits.max_connections,
        socket_buffer_bytes: Some(client_limits.socket_buffer_bytes),
        ..ServeLimits::default()
    };
    if !overload.reads_ahead {
        return limits;
    }
    // A caller who does not read for some seconds still gets its answer, which is read ahead meanwhile.
    let unacknowledged = limits.stall_timeout;
    ServeLimits {
        socket_timeouts: SocketTimeouts { unacknowledged, ..limits.socket_timeouts },
        ..limits
    }
}

pub(crate) async fn bind(
    key: &str,
    address: SocketAddr,
    limits: ServeLimits,
) -> anyhow::Result<Server> {
    let bound = Server::bind(address, limits).await;
    bound.with_context(|| format!("{key}.address: cannot listen on {address}"))
}

/// Limits of the listeners for health checks and metrics. Anyone may connect to them.
fn probe_limits() -> ServeLimits {
    ServeLimits {
        max_connections: PROBE_CONNECTIONS,
        socket_buffer_bytes: Some(PROBE_SOCKET_BUFFER_BYTES),
        ..internal_limits()
    }
}

/// Limits of the internal listeners.
pub(crate) fn internal_limits() -> ServeLimits {
    ServeLimits {
        max_connections: PEER_CONNECTIONS,
        idle_timeout: INTERNAL_TIMEOUT,
        header_read_timeout: INTERNAL_TIMEOUT,
        ..ServeLimits::default()
    }
}

/// Creates the parts of a gateway and spawns their tasks.
fn start(
    config: &GatewayConfig,
    overload: ActiveOverload,
    platform: &Platform,
    peers: SocketAddr,
    socket: Rc<UdpSocket>,
) -> Parts {
    let common = &config.common;
    let clock = Clock::new();
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let local = LocalGateway {
        name: common.name.clone(),
        incarnation: since.as_micros() as u64,
        location: common.location.clone(),
        address: peers,
    };
    let metrics = Metrics::new();
    let (routes, health) = (Routes::default(), StoreHealth::default());
    let roster = Roster::new(local.clone());
    let shutdown = Shutdown::default();
    let (load_reports, loads_to_send) = flume::unbounded();
    let seed = rand::random();
    let mut placement = Placement::new(local.name.clone(), local.location.clone(), seed);
    if let Some(policy) = overload.policy {
        placement = placement.with_overload(policy);
    }
    let buffers = Buffers::new(config.client_limits.buffer_bytes, clock);
    metrics.set_buffers(buffers.clone());
    let item_buffers = overload.reads_ahead.then(|| buffers.clone());
    let placement = PlacementHandle::start(PlacementTask {
        clock,
        placement,
        metrics: Rc::clone(&metrics),
        buffers: item_buffers.clone(),
        load_reports,
    });
    let client = TargetClient::new(platform.dialect.headers())
        .with_socket_buffer_bytes(overload.reads_ahead.then_some(SOCKET_BUFFER_BYTES));
    let known_targets = Rc::default();
    let mirrors = Mirrors::new(&common.mirrors, Name::clone(&common.location.region));
    let watch_relay = WatchRelay::new(roster.clone());
    let new_watcher = |kind, within, seen_version: &SeenVersion| {
        let schedule = WatchSchedule::new(roster.clone(), within, seen_version.clone());
        Watcher::new(Rc::clone(&platform.store), kind, common.max_watch)
            .with_metrics(Rc::clone(&metrics))
            .with_mirrors(mirrors.clone())
            .with_health(health.clone())
            .with_schedule(schedule)
            .with_watch_relay(watch_relay.clone(), within)
    };
    let seen_versions = roster.seen_versions();

    let routes_task = Rc::new(RoutesTask {
        platform: platform.clone(),
        routes: routes.clone(),
        health: health.clone(),
        metrics: Rc::clone(&metrics),
    });
    let routes_watcher = new_watcher(Kind::Routes, common.routes_within, &seen_versions.routes)
        .with_stale_start()
        .with_pause_after_changes();
    let (peer_routes, routes_from_peers) = flume::unbounded();
    compio::runtime::spawn(Rc::clone(&routes_task).run_peer_routes(routes_from_peers)).detach();
    compio::runtime::spawn(routes_task.run(routes_watcher)).detach();
    let fetch_routes = peers::routes_relay::run(
        roster.clone(),
        routes.clone(),
        Rc::clone(&platform.store),
        peer_routes,
    );
    compio::runtime::spawn(fetch_routes).detach();
    let stream_origins = StreamOrigins::start(StreamOriginsTask {
        local: local.clone(),
        clock,
        store: Rc::clone(&platform.store),
        socket: Rc::clone(&socket),
        roster: roster.clone(),
        health: health.clone(),
        metrics: Rc::clone(&metrics),
    });
    let version_recorder = VersionRecorder {
        store: Rc::clone(&platform.store),
        roster: roster.clone(),
        routes: routes.clone(),
        health: health.clone(),
        stream_origins: stream_origins.clone(),
    };
    compio::runtime::spawn(version_recorder.run()).detach();
    let targets_task = TargetsTask {
        platform: platform.clone(),
        placement: placement.clone(),
        roster: roster.clone(),
        client: client.clone(),
        known: Rc::clone(&known_targets),
        stream_origins: stream_origins.clone(),
        metrics: Rc::clone(&metrics),
    };
    let targets_watcher = new_watcher(Kind::Targets, common.targets_within, &seen_versions.targets)
        .with_stale_start()
        .with_recovery_by_another(health.clone())
        .with_first_part()
        .with_wait_for_fleet()
        .with_pause_after_changes();
    compio::runtime::spawn(targets_task.run(targets_watcher)).detach();

    let gateways_watcher = new_watcher(Kind::Door, GATEWAYS_WITHIN, &seen_versions.gateways)
        .with_stale_start()
        .with_recovery_by_another(health.clone());
    let registration = peers::registration::run(
        roster.clone(),
        placement.clone(),
        Rc::clone(&platform.store),
        gateways_watcher,
    );
    compio::runtime::spawn(registration).detach();
    let run_limits = RunLimits::start(RunLimitsTask {
        local: local.clone(),
        clock,
        socket: Rc::clone(&socket),
        roster: roster.clone(),
        tolerance: config.rate_tolerance,
    });
    let crash_reports = CrashReports::start(CrashReportsTask {
        local: local.clone(),
        clock,
        socket: Rc::clone(&socket),
        roster: roster.clone(),
        metrics: Rc::clone(&metrics),
    });
    let quarantine_recorder = QuarantineRecorder::new(
        &local,
        Rc::clone(&platform.store),
        roster.clone(),
        crash_reports.clone(),
    );
    compio::runtime::spawn(quarantine_recorder.run()).detach();
    let (owners, cell_statuses) = (JobOwners::default(), CellStatuses::default());
    let listener = peers::Listener {
        socket: Rc::clone(&socket),
        roster: roster.clone(),
        cell_statuses: cell_statuses.clone(),
        placement: placement.clone(),
        owners: owners.clone(),
        run_limits: run_limits.clone(),
        crash_reports: crash_reports.clone(),
        stream_origins: stream_origins.clone(),
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
    let (announcements, announcements_to_send) = flume::unbounded();
    let status_sender = StatusSender {
        local: local.clone(),
        socket,
        roster: roster.clone(),
        cell_statuses,
        routes: routes.clone(),
        health: health.clone(),
        shutdown: shutdown.clone(),
    };
    compio::runtime::spawn(status_sender.run(loads_to_send, announcements_to_send)).detach();

    let liveness_gaps = LivenessGaps::new(clock, roster.clone(), health.clone());
    let target_probes = TargetProbes::default();
    let env = JobEnv {
        target_probes: target_probes.clone(),
        name: local.name.clone(),
        incarnation: local.incarnation,
        platform: platform.clone(),
        routes: routes.clone(),
        placement: placement.clone(),
        targets: client.clone(),
        crash_reports: crash_reports.clone(),
        roster,
        owners,
        health,
        liveness_gaps,
        announcements,
        metrics: Rc::clone(&metrics),
        buffers: item_buffers,
        client_memory: buffers.clone(),
        clock,
        retention: config.keep_jobs,
        shutdown: shutdown.clone(),
    };
    let jobs = jobs::start(env);
    let front = Front {
        target_probes,
        dialect: Rc::clone(&platform.dialect),
        routes: routes.clone(),
        placement,
        targets: client,
        jobs: jobs.clone(),
        run_limits,
        crash_reports,
        stream_origins,
        metrics: Rc::clone(&metrics),
        clock,
        shutdown: shutdown.clone(),
        open_requests: Rc::default(),
        large_heads: Permits::new(MAX_LARGE_HEADS),
        buffers,
        reads_ahead: overload.reads_ahead,
    };
    Parts { front: Rc::new(front), jobs, metrics, routes, watch_relay, known_targets, shutdown }
}

/// Serves the internal listeners: readiness checks, calls of peers, and metrics if configured.
async fn serve_internal(
    config: &GatewayConfig,
    parts: &Parts,
    dialect: Rc<dyn Dialect>,
    readiness: Server,
    peer_calls: Server,
) -> anyhow::Result<()> {
    let ready = Readiness {
        dialect: Rc::clone(&dialect),
        routes: parts.routes.clone(),
        known_targets: Rc::clone(&parts.known_targets),
        shutdown: parts.shutdown.clone(),
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
        answer_peer(Rc::clone(&front), relay.clone(), watch_relay.clone(), request)
    };
    compio::runtime::spawn(peer_calls.run(answer_peers)).detach();
    if let Some(address) = config.common.metrics {
        let server = bind("metrics", address, probe_limits()).await?;
        let metrics = Rc::clone(&parts.metrics);
        let answer_metrics = move |_: Request<Incoming>| {
            metrics.invalid_speeds("header", dialect.invalid_speeds());
            let text = metrics.text();
            async move { Response::new(Body::full(text)) }
        };
        compio::runtime::spawn(server.run(answer_metrics)).detach();
    }
    Ok(())
}

/// Answers a call of a peer.
async fn answer_peer(
    front: Rc<Front>,
    relay: RoutesRelay,
    watch_relay: WatchRelay,
    request: Request<Incoming>,
) -> Response<Body> {
    match request.uri().path() {
        peers::routes_relay::PATH => relay.answer(),
        path if path.starts_with(peers::watch_relay::PATH_PREFIX) => {
            watch_relay.answer(request.uri()).await
        }
        path if path.starts_with(jobs::forward::PATH_PREFIX) => {
            front::answer_forwarded(front, request).await
        }
        _ => front.jobs.handle_peer(request.method(), request.uri()).await,
    }
}

/// Copies the limits on callers from the active routes to the listener, for as long as the process runs.
async fn update_limits(routes: Routes, limits: Rc<RefCell<ServeLimits>>) {
    let mut idle_limit = IdleLimit::new(limits.borrow().idle_timeout, Instant::now());
    loop {
        if let Some(table) = routes.current() {
            let mut limits = limits.borrow_mut();
            limits.max_header_bytes = table.limits.header_bytes;
            limits.header_read_timeout = Duration::from_millis(table.limits.header_ms);
            let operators = Duration::from_millis(table.limits.idle_ms);
            limits.idle_timeout = idle_limit.update(operators, Instant::now());
        }
        compio::time::sleep(LIMITS_UPDATE_INTERVAL).await;
    }
}

/// Graceful shutdown, in an order that interrupts no request: readiness fails first, and callers are still served while
/// the load balancer reacts; then the listener closes, and running requests are finished. What comes later on open connections
/// is refused unless it certainly ends in time.
async fn stop(
    config: &GatewayConfig,
    parts: &Parts,
    callers: Option<StopHandle>,
    serving: JoinHandle<()>,
) {
    let ShutdownTimes { unready, limit } = config.shutdown;
    log::info!(
        open = parts.front.open_requests.get(), unready_ms = unready.as_millis() as u64,
        limit_ms = limit.as_millis() as u64;
        "gateway: stopping"
    );
    parts.shutdown.begin(config.shutdown);
    if let Some(callers) = &callers {
        callers.drain();
    }
    let jobs = parts.jobs.clone();
    let releasing = compio::runtime::spawn(async move { jobs.hand_over_all(limit).await });
    compio::time::sleep(unready).await;
    drop(callers);
    let all = async {
        // Errors mean that the task panicked; there is nothing left to wait for.
        let _ = serving.await;
        let _ = releasing.await;
    };
    let finished = compio::time::timeout(limit - unready, all).await.is_ok();
    log::info!(finished, open = parts.front.open_requests.get(); "gateway: stopped");
    // The log thread writes in batches with pauses; this leaves it time for the last lines.
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
                log::info!(listeners_change_at_next_start = moved; "gateway: settings reloaded");
                config = new;
            }
            Err(err) => {
                log::error!(problem:% = err; "gateway: new settings are invalid, keeping the current ones")
            }
        }
    }
}
