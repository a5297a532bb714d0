//! Command line of the stand-ins.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;
use samphiredoor_standin::emulate::command::{Emulate, emulate};

/// Stand-ins for the platform and the targets
#[derive(Debug, Clone)]
#[derive(Bpaf)]
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
        /// Added time of a step for each 1,000 bytes of prompt that joins, in milliseconds
        #[bpaf(argument("MS"), fallback(1.0), display_fallback)]
        prefill_per_kilobyte_ms: f64,
        /// Engines to run, on ports from the given one on
        #[bpaf(argument("COUNT"), fallback(1), display_fallback)]
        count: u16,
        /// Time on the way to the engine and back, in milliseconds
        #[bpaf(argument("MS"), fallback(0.0), display_fallback)]
        delay_ms: f64,
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
    /// Sends the load of a scenario through doors and adds a row of figures to a file
    #[bpaf(command)]
    Load {
        /// Label of the row
        #[bpaf(argument("LABEL"))]
        label: String,
        /// File that gets the row
        #[bpaf(argument("FILE"))]
        out: PathBuf,
        /// Callers' listeners of the doors, separated by commas
        #[bpaf(argument("ADDRESSES"))]
        doors: String,
        /// Engines, separated by commas
        #[bpaf(argument("ADDRESSES"))]
        engines: String,
        /// Submit no jobs
        no_batch: bool,
        /// Scenario
        #[bpaf(positional("SCENARIO"))]
        scenario: PathBuf,
    },
    /// Makes small calls at a plain service and prints their rate and latency
    #[bpaf(command)]
    Calls {
        /// Where to send them
        #[bpaf(argument("ADDRESS"))]
        address: SocketAddr,
        /// Path of each call
        #[bpaf(argument("PATH"), fallback("/".to_owned()), display_fallback)]
        path: String,
        /// Calls under way at once, where no rate is given
        #[bpaf(argument("COUNT"), fallback(64), display_fallback)]
        connections: usize,
        /// Calls a second; without it, as many as can be
        #[bpaf(argument("RATE"))]
        rate_per_s: Option<f64>,
        /// How long, in seconds
        #[bpaf(argument("SECONDS"), fallback(5.0), display_fallback)]
        seconds: f64,
    },
    /// Runs gateways under random faults and checks what callers and targets see
    #[bpaf(command)]
    Soak {
        /// Folder for plans, traces and logs
        #[bpaf(argument("FOLDER"))]
        folder: PathBuf,
        /// Time over which faults are spread
        #[bpaf(argument("SECONDS"), fallback(20), display_fallback)]
        seconds: u64,
        /// Gateway processes
        #[bpaf(argument("COUNT"), fallback(3), display_fallback)]
        gateways: usize,
        /// Seed to play
        #[bpaf(argument("SEED"), fallback(1), display_fallback)]
        seed: u64,
        /// Seeds to play one after the other, as `100..150`, instead of one
        #[bpaf(argument("FROM..TO"))]
        seeds: Option<String>,
        /// Plan to play instead of the seed's own
        #[bpaf(argument("FILE"))]
        plan: Option<PathBuf>,
        /// Leave out faults for as long as the same promise breaks
        shrink: bool,
        /// Take times to recover from single faults, too
        drills: bool,
        /// The `samphiredoor` program
        #[bpaf(positional("PROGRAM"))]
        binary: PathBuf,
    },
    /// Prints the rows of a file as ratios to the first
    #[bpaf(command)]
    Table {
        /// Time of a step without sequences, in milliseconds
        #[bpaf(argument("MS"))]
        step_ms: f64,
        /// Added time of a step for each sequence, in milliseconds
        #[bpaf(argument("MS"))]
        step_per_sequence_ms: f64,
        /// Number of engines
        #[bpaf(argument("COUNT"))]
        engines: f64,
        /// Most batch sequences at one engine
        #[bpaf(argument("COUNT"))]
        loan_limit: f64,
        /// File with the rows
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Plays a scenario in simulated time, with the real decisions, and compares variants of it
    #[bpaf(command)]
    Emulate(#[bpaf(external(emulate))] Emulate),
}

/// Parses the arguments; ends the process on `--help` and on errors.
pub fn parse() -> Opts {
    opts().run()
}
