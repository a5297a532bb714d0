//! Command-line program with simulated parts of the platform, load generators, and the soak and emulation tools.

mod calls;
mod cli;
mod load;
mod measured;
mod scenario;
mod serve;
mod table;

use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::Builder::new().filter_level(log::LevelFilter::Info).format_target(false).init();
    match serve::run(cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("standin: {err:#}");
            ExitCode::FAILURE
        }
    }
}
