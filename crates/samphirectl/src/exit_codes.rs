//! Exit codes, and the failures that have their own exit codes.

use std::{fmt, process::ExitCode};

/// Exit status of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The task is done.
    Success,
    /// A file could not be read, or another local error occurred.
    GeneralError,
    /// The statement or the declarations are invalid.
    InvalidInput,
    /// The gateway refused the request.
    Refused,
    /// No gateway responded; the request may have been carried out.
    NoAnswer,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        match exit {
            Exit::Success => ExitCode::SUCCESS,
            Exit::GeneralError => ExitCode::from(1),
            Exit::InvalidInput => ExitCode::from(2),
            Exit::Refused => ExitCode::from(3),
            Exit::NoAnswer => ExitCode::from(4),
        }
    }
}

/// Failure with its own exit code, and its message.
#[derive(Debug)]
pub enum Failure {
    /// The statement or the declarations are invalid.
    InvalidInput(String),
    /// The gateway refused the request.
    Refused(String),
    /// No gateway responded.
    NoAnswer(String),
}

impl Failure {
    /// Exit code of the failure.
    pub fn exit(&self) -> Exit {
        match self {
            Failure::InvalidInput(_) => Exit::InvalidInput,
            Failure::Refused(_) => Exit::Refused,
            Failure::NoAnswer(_) => Exit::NoAnswer,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::InvalidInput(text) | Failure::Refused(text) | Failure::NoAnswer(text) => {
                f.write_str(text)
            }
        }
    }
}

impl std::error::Error for Failure {}
