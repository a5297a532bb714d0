//! Command line of the `samphiredoor` program.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;

/// Gateway between callers and targets: online and batch inference on one fleet.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(options, version)]
pub enum Opts {
    /// Runs a door with the settings in FILE
    #[bpaf(command)]
    Serve {
        /// Settings in TOML
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Runs a gateway on the users' platform with the settings in FILE
    #[bpaf(command)]
    Gateway {
        /// Settings in TOML
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Runs the process on a storage host of the users' platform with the settings in FILE
    #[bpaf(command)]
    Storage {
        /// Settings in TOML
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Checks the settings in FILE without starting
    #[bpaf(command)]
    Check {
        /// Settings in TOML
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Reads an API key from standard input and prints its digest, for the declaration of a workspace
    #[bpaf(command)]
    Digest,
    /// Runs one door with an embedded object API and two small engines; nothing is stored on disk
    #[bpaf(command)]
    Dev {
        /// Address for callers
        #[bpaf(
            argument("ADDRESS"),
            fallback("127.0.0.1:8080".parse().expect("an address")),
            display_fallback
        )]
        callers: SocketAddr,
        /// Serves one completion and a job of ten items, shows them, and ends
        demo: bool,
    },
}

/// Parses the arguments; exits the process on `--help` and on errors.
pub fn parse() -> Opts {
    opts().run()
}
