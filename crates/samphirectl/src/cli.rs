//! Command line.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;

/// Asks and commands the doors
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(options, version)]
pub struct Opts {
    /// Operators' address of any door
    #[bpaf(
        argument("ADDRESS"),
        env("SAMPHIREDOOR_DOOR"),
        fallback("127.0.0.1:8081".parse().expect("an address")),
        display_fallback
    )]
    pub door: SocketAddr,
    /// Callers' address of any door, for submit and results
    #[bpaf(
        argument("ADDRESS"),
        env("SAMPHIREDOOR_CALLERS"),
        fallback("127.0.0.1:8080".parse().expect("an address")),
        display_fallback
    )]
    pub callers: SocketAddr,
    /// File with the operators' token
    #[bpaf(argument("FILE"), env("SAMPHIREDOOR_TOKEN_FILE"))]
    pub token_file: Option<PathBuf>,
    /// Prints one JSON object a line instead of a table
    pub json: bool,
    /// Asks again every two seconds until ended
    pub watch: bool,
    /// What to do
    #[bpaf(external)]
    pub request: Request,
}

/// What to do.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
pub enum Request {
    /// Puts the declarations in FILE in force
    #[bpaf(command)]
    Apply {
        /// Only shows what would change
        dry_run: bool,
        /// Refuses unless this revision is the one in force
        #[bpaf(argument("REVISION"))]
        expected_revision: Option<u64>,
        /// Declarations in TOML
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Shows how the declarations in FILE differ from those in force
    #[bpaf(command)]
    Diff {
        /// Declarations in TOML
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Submits the items in FILE, one JSON object a line, as a job
    #[bpaf(command)]
    Submit {
        /// Key of the job; sending again under the same key is safe
        #[bpaf(argument("KEY"))]
        key: String,
        /// Workspace of the job
        #[bpaf(argument("NAME"), fallback("default".to_owned()), display_fallback)]
        workspace: String,
        /// Shows progress until the job has ended
        follow: bool,
        /// Items
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Prints the results of a job, one JSON object a line
    #[bpaf(command)]
    Results {
        /// Job
        #[bpaf(positional("JOB"))]
        job: String,
    },
    /// Asks or commands in words: jobs where state = running limit 10
    Statement {
        /// The statement
        #[bpaf(
            positional("STATEMENT"),
            some("a statement is missing, as: jobs where state = running")
        )]
        words: Vec<String>,
    },
}

/// Parses the arguments; ends the process on `--help` and on errors.
pub fn parse() -> Opts {
    opts().run()
}
