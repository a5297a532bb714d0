//! Exit codes of the process.

use std::process::ExitCode;

/// How the process ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// All went well; a planned stop ends so, too.
    Success,
    /// Settings, addresses or files were wrong, or the process could not go on.
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
