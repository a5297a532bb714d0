//! The `samphiredoor` program.
//!
//! `serve` runs the gateway of this crate, called a door, which keeps its state in an object API. `gateway` and
//! `storage` run the processes of `samphiredoor_gateway` on the users' platform. `check` checks the settings of
//! `serve`, and `dev` runs such a gateway with everything that it needs in one process.

mod access;
mod answers;
mod callers;
mod cli;
mod commands;
mod config;
mod dev;
mod dispatch_metrics;
mod dispatch_task;
mod door;
mod exit_codes;
mod hints;
mod hosts_task;
mod item_call;
mod item_run;
mod job_control;
mod job_reads;
mod jobs;
mod jobs_task;
mod keyed;
mod keys_metrics;
mod keys_task;
mod lease_task;
mod lending_task;
mod links;
mod load_poll;
mod manifest_change;
mod manifest_http;
mod manifest_task;
mod members_task;
mod metrics;
mod online;
mod operators;
mod orders_task;
mod parts;
mod peers;
mod process;
mod quarantine_metrics;
mod quarantine_task;
mod query_rows;
mod request_body;
mod request_spec;
mod splitter;
mod store_client;
mod stream_end;
mod stream_forwarding;
mod targets;

use std::{path::PathBuf, process::ExitCode};

use log::LevelFilter;
use samphiredoor_gateway::{
    config::{CommonConfig, GatewayConfig},
    logging,
    platform_api::Platform,
    process as gateway_process, storage,
};

use config::{Config, Mode};
use exit_codes::Exit;

fn main() -> ExitCode {
    let opts = cli::parse();
    match Config::new(opts).and_then(run) {
        Ok(exit) => exit.into(),
        Err(err) => {
            eprintln!("samphiredoor: {err:#}");
            Exit::GeneralError.into()
        }
    }
}

fn run(config: Config) -> anyhow::Result<Exit> {
    match config.mode {
        Mode::Serve(door) => {
            log_to_stderr(config.log_level);
            process::run(*door)
        }
        Mode::Gateway(gateway, file) => run_gateway(*gateway, file),
        Mode::Storage(storage_config) => {
            logging::start(storage_config.common.log);
            storage::run(&storage_config, platform_of)?;
            Ok(Exit::Success)
        }
        Mode::Check => {
            println!("settings are in order");
            Ok(Exit::Success)
        }
        Mode::Digest => {
            println!("{}", access::digest_of_key(std::io::stdin())?);
            Ok(Exit::Success)
        }
        Mode::Dev(dev) => {
            log_to_stderr(config.log_level);
            dev::run(dev)
        }
    }
}

fn run_gateway(gateway: GatewayConfig, file: PathBuf) -> anyhow::Result<Exit> {
    logging::start(gateway.common.log);
    gateway_process::run(gateway, platform_of, move || config::gateway_config(&file))?;
    Ok(Exit::Success)
}

fn platform_of(common: &CommonConfig) -> Platform {
    samphiredoor_platform::platform(common.store, common.store_timeout, common.regions.clone())
}

fn log_to_stderr(log_level: LevelFilter) {
    env_logger::Builder::new()
        .filter_level(log_level)
        .parse_default_env()
        .format_target(false)
        .init();
}
