//! Runs a gateway: its listeners, its tasks, and its graceful shutdown.

use std::{pin::pin, rc::Rc};

use anyhow::Context;
use compio::{net::TcpListener, runtime::JoinHandle};
use futures_util::future::{Either, select};
use samphiredoor_core::membership::MembershipInput;
use samphiredoor_net::{ServeLimits, Server, serve::StopHandle};

use crate::{callers, config::DoorConfig, door::Door, exit_codes::Exit, links, operators, parts};

/// Runs a gateway until SIGTERM or SIGINT and a graceful shutdown, or until a second signal.
pub fn run(config: DoorConfig) -> anyhow::Result<Exit> {
    let runtime = compio::runtime::Runtime::new().context("the runtime cannot start")?;
    runtime.block_on(serve(config))
}

async fn serve(config: DoorConfig) -> anyhow::Result<Exit> {
    let limits = ServeLimits { max_connections: config.max_connections, ..Default::default() };
    let mut callers = Server::bind(config.callers, limits)
        .await
        .with_context(|| format!("callers.address: cannot listen on {}", config.callers))?;
    let operators = Server::bind(config.operators, ServeLimits::default())
        .await
        .with_context(|| format!("operators.address: cannot listen on {}", config.operators))?;
    let peer_listener = TcpListener::bind(config.peers)
        .await
        .with_context(|| format!("peers.address: cannot listen on {}", config.peers))?;
    let peer_address = peer_listener.local_addr()?;
    log::info!("door: callers on {}", callers.local_addr()?);
    log::info!("door: operators on {}", operators.local_addr()?);
    log::info!("door: peers on {peer_address}");
    let stop_callers = callers.stop_handle();
    let door = parts::start(config, peer_address);
    compio::runtime::spawn(links::listen(Rc::clone(&door), peer_listener)).detach();
    let for_operators = Rc::clone(&door);
    let handle_operator =
        move |request| operators::handle_request(Rc::clone(&for_operators), request);
    compio::runtime::spawn(operators.run(handle_operator)).detach();
    let for_callers = Rc::clone(&door);
    let serving = compio::runtime::spawn(
        callers.run(move |request| callers::answer(Rc::clone(&for_callers), request)),
    );
    wait_for_signal().await;
    let stopping = pin!(stop(&door, stop_callers, serving));
    match select(stopping, pin!(wait_for_signal())).await {
        Either::Left(_) => Ok(Exit::Success),
        Either::Right(_) => {
            log::warn!("door: received a second stop signal, exiting at once");
            Ok(Exit::GeneralError)
        }
    }
}

/// Shuts down gracefully, in an order that cuts no request: readiness fails and the peers are notified first, and the
/// load balancer has time to react while callers are still answered. The callers' listener closes last, and requests
/// that are running then may finish.
async fn stop(door: &Door, callers: Option<StopHandle>, serving: JoinHandle<()>) {
    log::info!("door: stopping");
    door.stopping.set(true);
    door.peers.input(MembershipInput::Stopping);
    door.jobs.begin_handover();
    if let Some(callers) = &callers {
        callers.drain();
    }
    compio::time::sleep(door.config.unready).await;
    drop(callers);
    let running = async {
        let _ = serving.await;
        door.jobs.wait_until_idle().await;
        door.keys.wait_until_idle().await;
    };
    let finished = compio::time::timeout(door.config.finish, running).await.is_ok();
    log::info!("door: stopped, all requests finished: {finished}");
}

async fn wait_for_signal() {
    let terminate = pin!(compio::signal::unix::signal(15));
    let interrupt = pin!(compio::signal::ctrl_c());
    match select(terminate, interrupt).await {
        Either::Left((result, _)) | Either::Right((result, _)) => {
            if let Err(err) = result {
                log::error!("door: cannot wait for signals: {err}");
            }
        }
    }
}
