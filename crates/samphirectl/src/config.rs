//! Validated configuration of one run, from the command line and the token file.

use std::{net::SocketAddr, path::PathBuf};

use anyhow::Context;

use crate::{
    cli::{Opts, Request},
    exit_codes::Failure,
};

/// Output format of rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Aligned columns.
    Table,
    /// One JSON object per line.
    Json,
}

/// Task of a run.
#[derive(Debug, Clone)]
pub enum Task {
    /// Activates declarations.
    Apply {
        /// File with the declarations.
        file: PathBuf,
        /// Only show what would change.
        dry_run: bool,
        /// Revision that must be active.
        expected_revision: Option<u64>,
    },
    /// Compares declarations with the active ones.
    Diff {
        /// File with the declarations.
        file: PathBuf,
    },
    /// Submits a job.
    Submit {
        /// File with the items.
        file: PathBuf,
        /// Idempotency key of the job.
        key: String,
        /// Workspace of the job.
        workspace: String,
        /// Show progress until the job has ended.
        follow: bool,
    },
    /// Prints the results of a job.
    Results {
        /// Id of the job.
        job: String,
    },
    /// Runs a query or command.
    Statement {
        /// Statement that was parsed without errors.
        text: String,
        /// Repeat until interrupted.
        watch: bool,
    },
}

/// Validated options.
#[derive(Debug, Clone)]
pub struct Config {
    /// Operators' address of a gateway.
    pub door: SocketAddr,
    /// Callers' address of a gateway.
    pub callers: SocketAddr,
    /// Operators' token.
    pub token: Option<String>,
    /// Output format of rows.
    pub output: Output,
    /// Task of the run.
    pub task: Task,
}

impl Config {
    /// Validates the options and reads the token file.
    ///
    /// # Errors
    ///
    /// The statement is invalid, or the token file cannot be read.
    pub fn new(opts: Opts) -> anyhow::Result<Config> {
        let token = match &opts.token_file {
            None => None,
            Some(file) => {
                let text = std::fs::read_to_string(file)
                    .with_context(|| format!("{}: cannot be read", file.display()))?;
                Some(text.trim().to_owned())
            }
        };
        Ok(Config {
            door: opts.door,
            callers: opts.callers,
            token,
            output: if opts.json { Output::Json } else { Output::Table },
            task: task(opts.request, opts.watch)?,
        })
    }
}

fn task(request: Request, watch: bool) -> anyhow::Result<Task> {
    Ok(match request {
        Request::Apply { dry_run, expected_revision, file } => {
            Task::Apply { file, dry_run, expected_revision }
        }
        Request::Diff { file } => Task::Diff { file },
        Request::Submit { key, workspace, follow, file } => {
            Task::Submit { file, key, workspace, follow }
        }
        Request::Results { job } => Task::Results { job },
        Request::Statement { words } => {
            let text = words.join(" ");
            samphiredoor_query::parse(&text)
                .map_err(|err| Failure::InvalidInput(err.to_string()))?;
            Task::Statement { text, watch }
        }
    })
}
