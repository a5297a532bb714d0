//! The process on an entry host.

mod access;
mod answers;
mod ask;
mod callers;
mod cli;
mod commands;
mod config;
mod dev;
mod dispatch_metrics;
mod dispatch_task;
mod exit_codes;
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
mod load_poll;
mod manifest_change;
mod manifest_http;
mod manifest_task;
mod members_task;
mod metrics;
mod news;
mod online;
mod operators;
mod orders_task;
mod passing;
mod peers;
mod process;
mod quarantine_metrics;
mod quarantine_task;
mod query_rows;
mod request_body;
mod settings;
mod store_client;
mod stream_end;
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
