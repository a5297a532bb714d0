//! Randomized soak test: real processes on loopback, faults injected from outside, and invariants that are checked from
//! the answers that callers get and the requests that targets run.
//!
//! The fault plan of a seed is generated before its run and written to a file beside the trace. The timing inside the
//! processes is not part of the plan, so that several runs may be needed to reproduce a violation.

mod bursts;
mod chains;
mod checks;
mod clients;
mod connection;
mod crashes;
mod drills;
mod final_checks;
mod injector;
mod invariant;
mod isolation;
mod plan;
mod read_history;
mod repeats;
mod report;
mod silences;
mod starvation;
mod trace;
mod versions;

use std::{
    fs,
    path::{Path, PathBuf},
    thread,
    time::{Duration, Instant},
};

use anyhow::Context;

pub use checks::Checks;
pub use connection::{Connection, Reply, Request};
pub use invariant::{Invariant, Violation};
pub use plan::{Disturbed, Fault, Plan, PlannedLinkFault, Sizes, Step};
pub use read_history::SentRead;
pub use silences::{Ending, MOVED_PATH, REMOVED_PATH, RunEnd};
pub use versions::TakeUp;

use clients::Client;
use final_checks::FinalChecks;
use injector::Injector;
use report::Recovery;
use trace::RunState;

use crate::platform_target::FIRST_VERSION;

const SIGHUP: i32 = 1;
const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;
const TARGETS: usize = 3;
/// Software versions of targets; only the first one without [`Options::releases`].
const VERSIONS: [&str; 2] = [FIRST_VERSION, "v2"];
/// Targets where two versions serve: two of one of them at least.
const TARGETS_OF_TWO_VERSIONS: usize = 4;
/// Targets where some requests crash them: enough that they are not all down at once.
const TARGETS_THAT_CRASH: usize = 8;
/// Targets where some crash by chance or fall silent: a third of them can be down at once.
const TARGETS_OF_BURSTS: usize = 12;
/// Clients that send requests that crash targets.
const CRASHING_CLIENTS: usize = 4;
const ONLINE_CLIENTS: usize = 24;
const BATCH_CLIENTS: usize = 4;
/// Clients whose requests come together, as many as the targets have slots.
const SURGE_CLIENTS: usize = 24;
/// Clients that only send streams that may be resumed, with two software versions, bursts of crashes or silences: these, kills
/// and breaks have to interrupt many.
const STREAM_CLIENTS: usize = 16;
const TICK_INTERVAL: Duration = Duration::from_millis(10);
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the last fault for which clients continue.
const CLIENT_TIME_AFTER_FAULTS: Duration = Duration::from_secs(4);
/// The same with bursts of crashes. The check that all gateways serve precedes it, so that together they are longer than the
/// time in which sound requests may still be refused.
const CLIENT_TIME_AFTER_BURSTS: Duration = Duration::from_secs(5);
/// Runs without a given fault that have to pass before the fault counts as necessary for the violation.
const SHRINK_RUNS: usize = 2;

/// Settings of soak runs.
#[derive(Debug, Clone)]
pub struct Options {
    /// The `samphiredoor` program.
    pub binary: PathBuf,
    /// Folder for plans, traces and logs.
    pub folder: PathBuf,
    /// Time span of the faults, in seconds.
    pub seconds: u64,
    /// Number of gateway processes.
    pub gateways: usize,
    /// Whether recovery times from single faults are measured after the plan.
    pub drills: bool,
    /// What the load is to bring about beside the faults.
    pub pressure: Pressure,
    /// Whether targets also send answers that end inside an event although their bodies end in order.
    pub broken_answers: bool,
    /// Whether targets of two software versions serve side by side, streams are interrupted, and callers take them up again.
    pub releases: bool,
    /// Whether callers send content, and a part of prompts, that crash targets, which start again.
    pub crashes: bool,
    /// Whether targets crash by chance in bursts, under work that shares parts of prompts, and gateways have no other faults.
    pub bursts: bool,
    /// Whether the plan is of silences of targets, beside changes of the configuration, kills of gateways and bursts of crashes.
    pub silences: bool,
}

/// What the load of a run is to bring about beside its faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pressure {
    /// Nothing in particular.
    Usual,
    /// Repeats of items: most of them always fail, online requests come in surges that preempt them, and gateways get too
    /// little processor time.
    Repeats,
}

impl Options {
    /// Generates the plan of a seed.
    pub fn plan(&self, seed: u64) -> Plan {
        let (seconds, sizes) = (self.seconds, self.sizes());
        let mut plan = match self.silences {
            true => Plan::of_silences(seed, seconds, sizes),
            false => Plan::of_seed(seed, seconds, sizes),
        };
        if self.broken_answers {
            plan = plan.with_broken_answers(seed, seconds, sizes);
        }
        if self.releases {
            plan = plan.with_interrupted_streams(seed, seconds, sizes);
        }
        if self.bursts {
            plan = plan.with_bursts(seed, seconds, sizes);
        }
        plan
    }

    fn sizes(&self) -> Sizes {
        let targets = match (self.bursts || self.silences, self.crashes, self.releases) {
            (true, _, _) => TARGETS_OF_BURSTS,
            (_, true, _) => TARGETS_THAT_CRASH,
            (_, _, true) => TARGETS_OF_TWO_VERSIONS,
            (false, false, false) => TARGETS,
        };
        Sizes { gateways: self.gateways, targets }
    }
}

/// Runs the plans of the given seeds one after the other.
///
/// # Errors
///
/// A seed violated an invariant, the process received a termination signal, or a file could not be written.
pub fn run_seeds(options: &Options, seeds: impl Iterator<Item = u64>) -> anyhow::Result<()> {
    let mut recovery = Recovery::default();
    let (mut passed, mut violating_seeds) = (0, Vec::new());
    for seed in seeds {
        match run_plan(options, seed, &options.plan(seed), "seed", &mut recovery)? {
            None => passed += 1,
            Some(_) => violating_seeds.push(seed),
        }
    }
    println!("{passed} seeds kept every promise, broken: {violating_seeds:?}");
    recovery.print();
    anyhow::ensure!(
        violating_seeds.is_empty(),
        "invariants were violated by seeds {violating_seeds:?}"
    );
    Ok(())
}

/// Runs the plan in a file.
///
/// # Errors
///
/// As [`run_seeds`], or the plan cannot be read.
pub fn replay(options: &Options, seed: u64, file: &Path) -> anyhow::Result<()> {
    let plan = Plan::read(file)?;
    let violation = run_plan(options, seed, &plan, "replay", &mut Recovery::default())?;
    anyhow::ensure!(violation.is_none(), "an invariant was violated");
    Ok(())
}

/// Removes faults one by one as long as the same invariant is still violated, and writes the remaining plan to
/// `shrunk.jsonl`.
///
/// # Errors
///
/// Always: the violated invariant; or as [`replay`], or the plan did not violate any invariant.
pub fn shrink(options: &Options, seed: u64, mut plan: Plan) -> anyhow::Result<()> {
    let violated = run_plan(options, seed, &plan, "shrink", &mut Recovery::default())?;
    let violated = violated.context("the plan violated no invariant this time")?.invariant;
    for index in (0..plan.0.len()).rev() {
        let shorter = plan.without(index);
        for _ in 0..SHRINK_RUNS {
            let violation = run_plan(options, seed, &shorter, "shrink", &mut Recovery::default())?;
            if violation.is_some_and(|it| it.invariant == violated) {
                plan = shorter;
                break;
            }
        }
    }
    let file = options.folder.join(format!("shrink-{seed}")).join("shrunk.jsonl");
    plan.write(&file)?;
    println!("{} faults left: {}", plan.0.len(), file.display());
    anyhow::bail!("an invariant was violated: {violated}")
}

/// Runs a plan in a folder named after `name` and the seed; returns the violation, if any.
fn run_plan(
    options: &Options,
    seed: u64,
    plan: &Plan,
    name: &str,
    recovery: &mut Recovery,
) -> anyhow::Result<Option<Violation>> {
    let folder = options.folder.join(format!("{name}-{seed}"));
    fs::create_dir_all(&folder)
        .with_context(|| format!("{} cannot be created", folder.display()))?;
    plan.write(&folder.join("plan.jsonl"))?;
    let shared = RunState::new(&folder.join("trace.jsonl"))?;
    let versions = if options.releases { &VERSIONS[..] } else { &VERSIONS[..1] };
    let mut injector = Injector::start(&shared, options, seed, versions);
    if options.pressure == Pressure::Repeats {
        injector.begin_starvation(seed);
    }
    execute_plan(&shared, &mut injector, plan, seed, options, recovery);
    shared.flush();
    anyhow::ensure!(!trace::is_interrupted(), "ended by a signal");
    let violation = shared.checks().violation().cloned();
    injector.platform.write_logs(&folder)?;
    match &violation {
        None => {
            let mut checks = shared.checks();
            let (counts, take_ups) = (checks.counts(), checks.versions().counts());
            report::print_passed(seed, plan.0.len(), counts, take_ups);
            if options.crashes {
                report::print_crashes(checks.crashes());
            }
            if options.bursts {
                report::print_bursts(checks.bursts());
            }
            if options.silences {
                report::print_silences(plan, checks.silences());
            }
        }
        Some(violation) => {
            let lines = injector.platform.log_lines_with(&violation.id);
            report::print_violation(seed, violation, &lines, &folder);
        }
    }
    Ok(violation)
}

/// Injects the faults of a plan while clients send requests, and checks all invariants.
fn execute_plan(
    shared: &RunState,
    injector: &mut Injector<'_>,
    plan: &Plan,
    seed: u64,
    options: &Options,
    recovery: &mut Recovery,
) {
    let gateways = injector.sizes.gateways;
    let final_checks = thread::scope(|scope| {
        let client = |number: usize, name: String| {
            Client::new(shared, seed.wrapping_add(number as u64), name, gateways)
                .with_pressure(options.pressure)
                .with_take_ups(options.releases)
                .with_prompts(options.crashes)
                .with_bursts(options.bursts)
                .with_silences(options.silences)
        };
        // Stops the clients also when this thread panics, because the scope waits for all of them.
        let _stop = StopOnDrop(shared);
        for number in 0..ONLINE_CLIENTS {
            let client = client(number, format!("c{number}"));
            scope.spawn(move || client.send_requests());
        }
        for number in 0..BATCH_CLIENTS {
            let client = client(ONLINE_CLIENTS + number, format!("b{number}"));
            scope.spawn(move || client.send_jobs());
        }
        for gateway in 0..gateways {
            let client = client(ONLINE_CLIENTS + BATCH_CLIENTS + gateway, format!("r{gateway}"));
            scope.spawn(move || client.read_again(gateway));
        }
        let surge_clients = match options.pressure {
            Pressure::Usual => 0,
            Pressure::Repeats => SURGE_CLIENTS,
        };
        for number in 0..surge_clients {
            let offset = ONLINE_CLIENTS + BATCH_CLIENTS + gateways;
            let client = client(offset + number, format!("s{number}"));
            scope.spawn(move || client.send_surges());
        }
        let has_streams = options.releases || options.bursts || options.silences;
        let stream_clients = if has_streams { STREAM_CLIENTS } else { 0 };
        for number in 0..stream_clients {
            let offset = ONLINE_CLIENTS + BATCH_CLIENTS + gateways + surge_clients;
            let client = client(offset + number, format!("v{number}")).with_streams_only();
            scope.spawn(move || client.send_requests());
        }
        let crashing_clients = if options.crashes { CRASHING_CLIENTS } else { 0 };
        for number in 0..crashing_clients {
            let offset = ONLINE_CLIENTS + BATCH_CLIENTS + gateways + surge_clients + stream_clients;
            let client = client(offset + number, format!("x{number}"));
            scope.spawn(move || client.send_crashing());
        }
        inject_faults(shared, injector, plan);
        injector.end_starvation();
        let final_checks = FinalChecks::new(shared, gateways);
        final_checks.check_gateways_serve(injector, &mut recovery.served_ms);
        let client_time =
            if options.bursts { CLIENT_TIME_AFTER_BURSTS } else { CLIENT_TIME_AFTER_FAULTS };
        wait_and_check(shared, injector, Instant::now() + client_time);
        final_checks
    });
    if options.drills && !shared.is_over() {
        drills::measure(&final_checks, injector, recovery);
        isolation::check(&final_checks, injector, seed);
    }
    if options.bursts || options.silences {
        final_checks.check_items_finish();
    }
    final_checks.check_jobs(seed);
    check_runs(shared, injector);
    shared.checks().check_take_ups();
    final_checks.check_new_configuration(injector, &mut recovery.config_active_ms);
}

struct StopOnDrop<'a>(&'a RunState);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.stop();
    }
}

/// Injects all faults of a plan, and waits until all are over.
fn inject_faults(shared: &RunState, injector: &mut Injector<'_>, plan: &Plan) {
    let started_at = Instant::now();
    let begins = plan.0.iter().map(|it| (it.at_ms, true, it));
    let ends = plan.0.iter().map(|it| (it.at_ms + it.for_ms, false, it));
    let mut events: Vec<(u64, bool, &Step)> = begins.chain(ends).collect();
    events.sort_by_key(|(at_ms, begins, _)| (*at_ms, *begins));
    for (at_ms, begins, step) in events {
        wait_and_check(shared, injector, started_at + Duration::from_millis(at_ms));
        if shared.is_over() {
            return;
        }
        if begins {
            injector.begin(step);
        } else {
            injector.end(step);
            // The fault may have ended later than planned, if a process was slow to start.
            let fault_started_at = started_at + Duration::from_millis(step.at_ms);
            let disturbed = step.fault.disturbs();
            shared.checks().add_fault_window(disturbed, fault_started_at, Instant::now());
        }
    }
    while !injector.tick() && !shared.is_over() {
        thread::sleep(TICK_INTERVAL);
    }
}

/// Waits until a point in time and checks the runs at targets meanwhile.
fn wait_and_check(shared: &RunState, injector: &mut Injector<'_>, until: Instant) {
    let mut check_at = Instant::now();
    while Instant::now() < until && !shared.is_over() {
        injector.tick();
        if Instant::now() >= check_at {
            check_runs(shared, injector);
            check_at = Instant::now() + CHECK_INTERVAL;
        }
        thread::sleep(TICK_INTERVAL.min(until.saturating_duration_since(Instant::now())));
    }
}

/// Checks all runs at targets so far. The owners are read after the runs, so that a run whose job has changed its owner
/// since the last check is recognised.
fn check_runs(shared: &RunState, injector: &Injector<'_>) {
    let runs = injector.runs();
    let jobs = shared.checks().jobs_with_failing_items();
    let owner = |job: String| {
        drills::owner(injector, &job, injector.sizes.gateways).map(|gateway| (job, gateway))
    };
    let owners = jobs.into_iter().filter_map(owner).collect();
    let mut checks = shared.checks();
    checks.update_owners(owners);
    checks.check_runs(&runs);
    checks.check_crashes(&runs);
    checks.silences().set_crashes(injector.crashes());
    for ending in checks.silences().take_endings() {
        checks.check_ending(&ending, &injector.runs_of(&ending.id));
    }
    checks.check_services(&injector.runs_of_other_service());
}

/// Ends the current run on SIGHUP, SIGINT and SIGTERM, so that no child process outlives this one.
pub fn end_on_signals() {
    for signal in [SIGHUP, SIGINT, SIGTERM] {
        thread::spawn(move || {
            let runtime = compio::runtime::Runtime::new().expect("a runtime");
            runtime
                .block_on(compio::signal::unix::signal(signal))
                .expect("signals can be waited for");
            trace::interrupt();
        });
    }
}
