//! Runs one stand-in until the process is ended.

use std::{net::SocketAddr, time::Duration};

use anyhow::Context;
use hyper::{Request, Response, body::Incoming};
use samphiredoor_embedded::{
    engine::EngineConfig, engine_http::Engine, objects_http::ObjectApi, service_http::PlainService,
};
use samphiredoor_net::{Body, ServeLimits, Server};

use crate::cli::Opts;

/// Runs what was asked for.
pub fn run(opts: Opts) -> anyhow::Result<()> {
    compio::runtime::Runtime::new()?.block_on(async {
        match opts {
            Opts::Store { address } => {
                let api = ObjectApi::new();
                serve("store", address, move |request| api.clone().handle(request)).await
            }
            Opts::Engine {
                address,
                model,
                step_ms,
                step_per_sequence_ms,
                max_running,
                crash_on,
            } => {
                let config = EngineConfig {
                    model,
                    step_ms,
                    step_per_sequence_ms,
                    max_running,
                    ..EngineConfig::default()
                };
                let engine = Engine::new(config).with_crash_on(crash_on);
                compio::runtime::spawn(engine.clone().run_steps()).detach();
                serve("engine", address, move |request| engine.clone().handle(request)).await
            }
            Opts::Service { address, delay_ms } => {
                let service = PlainService::new(Duration::from_millis(delay_ms));
                serve("service", address, move |request| service.clone().handle(request)).await
            }
        }
    })
}

async fn serve<H, F>(name: &str, address: SocketAddr, handler: H) -> anyhow::Result<()>
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let server = Server::bind(address, ServeLimits::default())
        .await
        .with_context(|| format!("{address} cannot be listened on"))?;
    log::info!("{name}: on {}", server.local_addr()?);
    server.run(handler).await;
    Ok(())
}
