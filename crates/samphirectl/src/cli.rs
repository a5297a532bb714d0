//! Command-line options; their doc comments are the help texts.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;

/// Queries and controls the gateways
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(options, version)]
pub struct Opts {
    /// Operators' address of any gateway
    #[bpaf(
        argument("ADDRESS"),
        env("SAMPHIREDOOR_DOOR"),
        fallback("127.0.0.1:8081".parse().expect("an address")),
        display_fallback
    )]
    pub door: SocketAddr,
    /// Callers' address of any gateway, used by submit and results
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
    /// Prints one JSON object per line instead of a table
    pub json: bool,
    /// Repeats the statement every two seconds until interrupted
    pub watch: bool,
    /// Command or statement
    #[bpaf(external)]
    pub request: Request,
}

/// Available commands
#[derive(Debug, Clone)]
#[derive(Bpaf)]
pub enum Request {
    /// Activates the declarations in FILE
    #[bpaf(command)]
    Apply {
        /// Only shows what would change
        dry_run: bool,
        /// Fails unless this is the active revision
        #[bpaf(argument("REVISION"))]
        expected_revision: Option<u64>,
        /// Declarations in TOML
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Shows how the declarations in FILE differ from the active ones
    #[bpaf(command)]
    Diff {
        /// Declarations in TOML
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Submits the items in FILE, one JSON object per line, as a job
    #[bpaf(command)]
    Submit {
        /// Idempotency key of the job; submitting again with the same key is safe
        #[bpaf(argument("KEY"))]
        key: String,
        /// Workspace of the job
        #[bpaf(argument("NAME"), fallback("default".to_owned()), display_fallback)]
        workspace: String,
        /// Shows progress until the job has ended
        follow: bool,
        /// Items as JSON lines
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Prints the results of a job, one JSON object per line
    #[bpaf(command)]
    Results {
        /// Id of the job
        #[bpaf(positional("JOB"))]
        job: String,
    },
    /// Runs a query or a command of the query language
    Statement {
        /// Query or command, such as: jobs where state = running limit 10
        #[bpaf(
            positional("STATEMENT"),
            some("missing statement, for example: jobs where state = running")
        )]
        words: Vec<String>,
    },
}

/// Parses the arguments; exits on `--help` and on errors.
pub fn parse() -> Opts {
    opts().run()
}
