//! The process on an entry host.

mod access;
mod answers;
mod batch_window;
mod callers;
mod cli;
mod commands;
mod config;
mod dev;
mod dispatch_task;
mod exit_codes;
mod item_call;
mod jobs;
mod jobs_task;
mod lease_task;
mod load_task;
mod manifest_task;
mod metrics;
mod online;
mod operators;
mod process;
mod query_rows;
mod settings;
mod store_client;
mod targets;

use std::process::ExitCode;

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
    env_logger::Builder::new()
        .filter_level(config.log_level)
        .parse_default_env()
        .format_target(false)
        .init();
    match config.mode {
        Mode::Serve(door) => process::run(*door),
        Mode::Check => {
            println!("settings are in order");
            Ok(Exit::Success)
        }
        Mode::Dev(dev) => dev::run(dev),
    }
}
