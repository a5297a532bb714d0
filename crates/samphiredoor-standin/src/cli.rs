//! Command line of the stand-ins.

use std::net::SocketAddr;

use bpaf::Bpaf;

/// Stand-ins for the platform and the targets
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
pub enum Opts {
    /// Runs an object API
    #[bpaf(command)]
    Store {
        /// Where to listen
        #[bpaf(argument("ADDRESS"))]
        address: SocketAddr,
    },
    /// Runs an engine
    #[bpaf(command)]
    Engine {
        /// Where to listen
        #[bpaf(argument("ADDRESS"))]
        address: SocketAddr,
        /// Model it answers for
        #[bpaf(argument("NAME"), fallback("small".to_owned()), display_fallback)]
        model: String,
        /// Time of a step without sequences, in milliseconds
        #[bpaf(argument("MS"), fallback(5.0), display_fallback)]
        step_ms: f64,
        /// Added time of a step for each sequence, in milliseconds
        #[bpaf(argument("MS"), fallback(0.2), display_fallback)]
        step_per_sequence_ms: f64,
        /// Sequences that run at once
        #[bpaf(argument("COUNT"), fallback(64), display_fallback)]
        max_running: usize,
        /// Ends the process when a prompt holds this text
        #[bpaf(argument("TEXT"))]
        crash_on: Option<String>,
    },
    /// Runs a plain service
    #[bpaf(command)]
    Service {
        /// Where to listen
        #[bpaf(argument("ADDRESS"))]
        address: SocketAddr,
        /// Time to an answer, in milliseconds
        #[bpaf(argument("MS"), fallback(1), display_fallback)]
        delay_ms: u64,
    },
}

/// Parses the arguments; ends the process on `--help` and on errors.
pub fn parse() -> Opts {
    opts().run()
}
