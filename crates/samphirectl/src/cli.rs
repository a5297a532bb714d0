//! Command line.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;

/// Asks and commands the doors
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Opts {
    /// Operators' address of any door
    #[bpaf(argument("ADDRESS"), fallback("127.0.0.1:8081".parse().expect("an address")), display_fallback)]
    pub door: SocketAddr,
    /// What to do
    #[bpaf(external)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// Puts the declarations in FILE in force
    #[bpaf(command)]
    Apply {
        /// Declarations in TOML
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Tells whether the door is ready
    #[bpaf(command)]
    Ready,
}

/// Parses the arguments; ends the process on `--help` and on errors.
pub fn parse() -> Opts {
    opts().run()
}
