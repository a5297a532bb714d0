//! Command-line client for operators: queries and controls gateways, submits jobs and reads their results.

mod cli;
mod client;
mod config;
mod declarations;
mod exit_codes;
mod run;
mod table;

use std::process::ExitCode;

use exit_codes::{Exit, Failure};

fn main() -> ExitCode {
    let config = config::Config::new(cli::parse());
    let exit = match config.and_then(run::run) {
        Ok(()) => Exit::Success,
        Err(err) => {
            eprintln!("samphirectl: {err:#}");
            err.downcast_ref::<Failure>().map_or(Exit::GeneralError, Failure::exit)
        }
    };
    exit.into()
}
