//! Exit codes of the process.

use std::process::ExitCode;

/// Outcome of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Success, including a graceful shutdown after a signal.
    Success,
    /// A setting, address or file was invalid, a second signal cut the shutdown short, or the process failed.
    GeneralError,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        match exit {
            Exit::Success => ExitCode::SUCCESS,
            Exit::GeneralError => ExitCode::FAILURE,
        }
    }
}
