//! Runs the command of the command line: a server until the process is ended, or one run of a tool.

use std::{io::Write, net::SocketAddr, ops::Range, path::Path, time::Duration};

use anyhow::Context;
use hyper::{Request, Response, body::Incoming};
use samphiredoor_embedded::{
    engine::EngineConfig, engine_http::Engine, objects_http::ObjectApi, service_http::PlainService,
};
use samphiredoor_net::{Body, ServeLimits, Server};
use samphiredoor_standin::soak::{self, Plan};

use crate::{
    calls::{self, Calls},
    cli::Opts,
    load::{self, Addresses},
    measured::Row,
    scenario::Scenario,
    table::{self, Bound},
};

/// Runs a parsed command.
pub fn run(opts: Opts) -> anyhow::Result<()> {
    if let Opts::Soak {
        folder,
        seconds,
        gateways,
        seed,
        seeds,
        plan,
        shrink,
        drills,
        repeats,
        broken_answers,
        releases,
        crashes,
        bursts,
        silences,
        binary,
    } = opts
    {
        let pressure = if repeats { soak::Pressure::Repeats } else { soak::Pressure::Usual };
        let options = soak::Options {
            binary,
            folder,
            seconds,
            gateways,
            drills,
            pressure,
            broken_answers,
            releases,
            crashes,
            bursts,
            silences,
        };
        return run_soak(&options, seed, seeds.as_deref(), plan.as_deref(), shrink);
    }
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
                prefill_per_kilobyte_ms,
                max_running,
                crash_on,
                count,
                delay_ms,
            } => {
                let config = EngineConfig {
                    model,
                    step_ms,
                    step_per_sequence_ms,
                    prefill_per_kilobyte_ms,
                    max_running,
                    ..EngineConfig::default()
                };
                let delay = Duration::from_secs_f64(delay_ms / 1_000.0);
                for number in 1..count {
                    let address = SocketAddr::new(address.ip(), address.port() + number);
                    let engine = Engine::new(config.clone()).with_crash_on(crash_on.clone());
                    compio::runtime::spawn(serve_engine(address, engine, delay)).detach();
                }
                serve_engine(address, Engine::new(config).with_crash_on(crash_on), delay).await
            }
            Opts::Service { address, delay_ms } => {
                let service = PlainService::new(Duration::from_millis(delay_ms));
                serve("service", address, move |request| service.clone().handle(request)).await
            }
            Opts::Load { label, out, doors, engines, no_batch, scenario } => {
                let addresses = Addresses {
                    gateways: parse_addresses(&doors)?,
                    engines: parse_addresses(&engines)?,
                };
                let scenario = Scenario::read(&scenario)?;
                let measured = load::run(&scenario, &addresses, !no_batch).await?;
                for (reason, count) in measured.errors() {
                    println!("{label}: {count} requests ended with {reason}");
                }
                append_row(&out, &measured.row(&label))
            }
            Opts::Calls { address, path, connections, rate_per_s, seconds } => {
                let duration = Duration::from_secs_f64(seconds);
                calls::run(Calls { address, path, connections, rate_per_s, duration }).await
            }
            Opts::Soak { .. } => unreachable!("handled above, a soak uses threads and no runtime"),
            Opts::Emulate(emulate) => emulate.run(),
            Opts::BatchRates(batch_rates) => batch_rates.run(),
            Opts::Table { step_ms, step_per_sequence_ms, engines, loan_limit, file } => {
                table::print(&file, Bound { step_ms, step_per_sequence_ms, engines, loan_limit })
            }
        }
    })
}

fn run_soak(
    options: &soak::Options,
    seed: u64,
    seeds: Option<&str>,
    plan: Option<&Path>,
    shrink: bool,
) -> anyhow::Result<()> {
    soak::end_on_signals();
    match (plan, shrink) {
        (Some(file), true) => soak::shrink(options, seed, Plan::read(file)?),
        (Some(file), false) => soak::replay(options, seed, file),
        (None, true) => soak::shrink(options, seed, options.plan(seed)),
        (None, false) => soak::run_seeds(options, seeds.map_or(Ok(seed..seed + 1), parse_range)?),
    }
}

fn parse_range(text: &str) -> anyhow::Result<Range<u64>> {
    let (from, to) = text
        .split_once("..")
        .with_context(|| format!("`{text}` is not a range such as 100..150"))?;
    Ok(from.parse()?..to.parse()?)
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

async fn serve_engine(address: SocketAddr, engine: Engine, delay: Duration) -> anyhow::Result<()> {
    compio::runtime::spawn(engine.clone().run_steps()).detach();
    serve("engine", address, move |request| {
        let engine = engine.clone();
        async move {
            if !delay.is_zero() {
                compio::time::sleep(delay).await;
            }
            engine.handle(request).await
        }
    })
    .await
}

fn parse_addresses(list: &str) -> anyhow::Result<Vec<SocketAddr>> {
    list.split(',')
        .map(|it| it.parse().with_context(|| format!("`{it}` is not an address with a port")))
        .collect()
}

fn append_row(file: &Path, row: &Row) -> anyhow::Result<()> {
    let is_new = !file.exists();
    let mut file = std::fs::OpenOptions::new().create(true).append(true).open(file)?;
    if is_new {
        writeln!(file, "{}", row.heading())?;
    }
    writeln!(file, "{}", row.line())?;
    Ok(())
}
