//! All that was decided before the work starts.

use std::{net::SocketAddr, path::PathBuf};

use anyhow::Context;

use crate::{
    cli::{Opts, Request},
    exit_codes::Failure,
};

/// How rows are shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Aligned columns.
    Table,
    /// One JSON object a line.
    Json,
}

/// What to do.
#[derive(Debug, Clone)]
pub enum Task {
    /// Puts declarations in force.
    Apply {
        /// Declarations.
        file: PathBuf,
        /// Only show what would change.
        dry_run: bool,
        /// Revision that must be in force.
        expected_revision: Option<u64>,
    },
    /// Compares declarations with those in force.
    Diff {
        /// Declarations.
        file: PathBuf,
    },
    /// Submits a job.
    Submit {
        /// Items.
        file: PathBuf,
        /// Key of the job.
        key: String,
        /// Workspace of the job.
        workspace: String,
        /// Show progress until the job has ended.
        follow: bool,
    },
    /// Prints results.
    Results {
        /// Job.
        job: String,
    },
    /// Asks or commands.
    Statement {
        /// Statement that was found to be readable.
        text: String,
        /// Ask again and again.
        watch: bool,
    },
}

/// Decided options.
#[derive(Debug, Clone)]
pub struct Config {
    /// Operators' address of a door.
    pub door: SocketAddr,
    /// Callers' address of a door.
    pub callers: SocketAddr,
    /// Operators' token.
    pub token: Option<String>,
    /// How rows are shown.
    pub output: Output,
    /// What to do.
    pub task: Task,
}

impl Config {
    /// Decides all options.
    ///
    /// # Errors
    ///
    /// A statement that cannot be read, or a token file that cannot.
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
            samphiredoor_query::parse(&text).map_err(|err| Failure::Wrong(err.to_string()))?;
            Task::Statement { text, watch }
        }
    })
}
