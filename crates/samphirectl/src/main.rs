//! The operator's command line.

mod cli;
mod client;

use std::process::ExitCode;

fn main() -> ExitCode {
    let opts = cli::parse();
    match client::run(opts) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("samphirectl: {err:#}");
            ExitCode::FAILURE
        }
    }
}
