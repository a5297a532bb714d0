//! Command line of `standin`.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;
use samphiredoor_standin::{
    batch_rates::command::{BatchRates, batch_rates},
    emulate::command::{Emulate, emulate},
};

/// Simulated platform parts, load generators and test tools
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(options)]
pub enum Opts {
    /// Run an object API in memory
    #[bpaf(command)]
    Store {
        /// Where to listen
        #[bpaf(argument("ADDRESS"))]
        address: SocketAddr,
    },
    /// Run a simulated inference engine
    #[bpaf(command)]
    Engine {
        /// Where to listen
        #[bpaf(argument("ADDRESS"))]
        address: SocketAddr,
        /// Name of the served model
        #[bpaf(argument("NAME"), fallback("small".to_owned()), display_fallback)]
        model: String,
        /// Time of a step without sequences, in milliseconds
        #[bpaf(argument("MS"), fallback(5.0), display_fallback)]
        step_ms: f64,
        /// Added time of a step for each sequence, in milliseconds
        #[bpaf(argument("MS"), fallback(0.2), display_fallback)]
        step_per_sequence_ms: f64,
        /// Added time of a step for each 1,000 uncached bytes of prompts that join, in milliseconds
        #[bpaf(argument("MS"), fallback(1.0), display_fallback)]
        prefill_per_kilobyte_ms: f64,
        /// Number of engines, on consecutive ports from the given one on
        #[bpaf(argument("COUNT"), fallback(1), display_fallback)]
        count: u16,
        /// Simulated network round-trip time, in milliseconds
        #[bpaf(argument("MS"), fallback(0.0), display_fallback)]
        delay_ms: f64,
        /// Maximum number of running sequences
        #[bpaf(argument("COUNT"), fallback(64), display_fallback)]
        max_running: usize,
        /// Exit when a prompt contains this text
        #[bpaf(argument("TEXT"))]
        crash_on: Option<String>,
    },
    /// Run a plain service that echoes request bodies
    #[bpaf(command)]
    Service {
        /// Where to listen
        #[bpaf(argument("ADDRESS"))]
        address: SocketAddr,
        /// Time until a request is answered, in milliseconds
        #[bpaf(argument("MS"), fallback(1), display_fallback)]
        delay_ms: u64,
    },
    /// Send the load of a scenario to gateways and append a row of figures to a file
    #[bpaf(command)]
    Load {
        /// Label of the row
        #[bpaf(argument("LABEL"))]
        label: String,
        /// CSV file to append the row to
        #[bpaf(argument("FILE"))]
        out: PathBuf,
        /// Addresses of the gateways' listeners for callers, separated by commas
        #[bpaf(argument("ADDRESSES"))]
        doors: String,
        /// Addresses of the engines, separated by commas
        #[bpaf(argument("ADDRESSES"))]
        engines: String,
        /// Don't submit batch jobs
        no_batch: bool,
        /// Scenario file
        #[bpaf(positional("SCENARIO"))]
        scenario: PathBuf,
    },
    /// Send small calls to a plain service and print their rate and latency
    #[bpaf(command)]
    Calls {
        /// Address to send the calls to
        #[bpaf(argument("ADDRESS"))]
        address: SocketAddr,
        /// Path of each call
        #[bpaf(argument("PATH"), fallback("/".to_owned()), display_fallback)]
        path: String,
        /// Concurrent calls; only without a rate
        #[bpaf(argument("COUNT"), fallback(64), display_fallback)]
        connections: usize,
        /// Calls per second; without it, each connection sends its next call after an answer
        #[bpaf(argument("RATE"))]
        rate_per_s: Option<f64>,
        /// Duration, in seconds
        #[bpaf(argument("SECONDS"), fallback(5.0), display_fallback)]
        seconds: f64,
    },
    /// Run gateways under random faults and check invariants at callers and targets
    #[bpaf(command)]
    Soak {
        /// Folder for plans, traces and logs
        #[bpaf(argument("FOLDER"))]
        folder: PathBuf,
        /// Time span of the faults, in seconds
        #[bpaf(argument("SECONDS"), fallback(20), display_fallback)]
        seconds: u64,
        /// Number of gateway processes
        #[bpaf(argument("COUNT"), fallback(3), display_fallback)]
        gateways: usize,
        /// Seed of the fault plan
        #[bpaf(argument("SEED"), fallback(1), display_fallback)]
        seed: u64,
        /// Seeds to run one after the other instead of a single one, for example `100..150`
        #[bpaf(argument("FROM..TO"))]
        seeds: Option<String>,
        /// Fault plan to run instead of the one generated from the seed
        #[bpaf(argument("FILE"))]
        plan: Option<PathBuf>,
        /// Remove faults from the plan as long as the same invariant is violated
        shrink: bool,
        /// Also measure recovery times from single faults
        drills: bool,
        /// Also bring about repeats of items: most fail, surges preempt them, gateways get too little processor time
        repeats: bool,
        /// Also let targets send answers that end inside an event although their bodies end in order
        broken_answers: bool,
        /// Also let targets of two software versions serve side by side, and callers take interrupted streams up again
        releases: bool,
        /// Also let callers send content, and a part of prompts, that crash targets
        crashes: bool,
        /// Also let targets crash by chance in bursts, under work that shares parts of prompts; spares the gateways other faults
        bursts: bool,
        /// Let targets fall silent and go on, beside changes of the configuration, kills of gateways and bursts of crashes
        silences: bool,
        /// The `samphiredoor` program
        #[bpaf(positional("PROGRAM"))]
        binary: PathBuf,
    },
    /// Print the rows of a result file as ratios to the first one
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
        /// Maximum number of batch sequences at one engine
        #[bpaf(argument("COUNT"))]
        loan_limit: f64,
        /// CSV file with the rows
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Run a scenario in simulated time with the real decision code, and compare variants of it
    #[bpaf(command)]
    Emulate(#[bpaf(external(emulate))] Emulate),
    /// Compare rules that reject batch jobs, at multiples of the usual batch rate and in simulated time
    #[bpaf(command("batch-rates"))]
    BatchRates(#[bpaf(external(batch_rates))] BatchRates),
}

/// Parses the arguments; exits on `--help` and on errors.
pub fn parse() -> Opts {
    opts().run()
}
