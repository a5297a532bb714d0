//! Exit codes, and the failures that have one of their own.

use std::{fmt, process::ExitCode};

/// How the process ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Done.
    Success,
    /// A file could not be read, or something else went wrong here.
    GeneralError,
    /// The statement or the declarations are wrong.
    Wrong,
    /// The door refused.
    Refused,
    /// No door answered; what was asked for may have been done.
    NoAnswer,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        match exit {
            Exit::Success => ExitCode::SUCCESS,
            Exit::GeneralError => ExitCode::from(1),
            Exit::Wrong => ExitCode::from(2),
            Exit::Refused => ExitCode::from(3),
            Exit::NoAnswer => ExitCode::from(4),
        }
    }
}

/// Failure with an exit code of its own.
#[derive(Debug)]
pub enum Failure {
    /// The statement or the declarations are wrong.
    Wrong(String),
    /// The door refused.
    Refused(String),
    /// No door answered.
    NoAnswer(String),
}

impl Failure {
    /// Exit code of the failure.
    pub fn exit(&self) -> Exit {
        match self {
            Failure::Wrong(_) => Exit::Wrong,
            Failure::Refused(_) => Exit::Refused,
            Failure::NoAnswer(_) => Exit::NoAnswer,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Wrong(text) | Failure::Refused(text) | Failure::NoAnswer(text) => {
                f.write_str(text)
            }
        }
    }
}

impl std::error::Error for Failure {}
