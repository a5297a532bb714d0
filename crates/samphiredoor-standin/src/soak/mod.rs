//! A randomized soak: real processes on loopback, faults from outside, and promises judged by what callers and targets
//! see.
//!
//! The faults of a seed are planned before it is played and written beside its trace. When things happen within the
//! processes is not part of the plan, so that a seed that breaks a promise once may need some plays to break it again.

mod checks;
mod clients;
mod connection;
mod drills;
mod injector;
mod plan;
mod report;
mod settle;
mod trace;

use std::{
    fs,
    path::{Path, PathBuf},
    thread,
    time::{Duration, Instant},
};

use anyhow::Context;

pub use checks::{Breach, Checks, Promise};
pub use connection::Reply;
pub use plan::{Fault, LinkTrouble, Plan, Sizes, Step};

use clients::Client;
use injector::Injector;
use report::Recovery;
use settle::Settle;
use trace::Shared;

const SIGHUP: i32 = 1;
const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;
const TARGETS: usize = 3;
const ONLINE_CLIENTS: usize = 24;
const BATCH_CLIENTS: usize = 4;
const TICK: Duration = Duration::from_millis(10);
const CHECK_PAUSE: Duration = Duration::from_millis(500);
/// Time after the last fault in which clients go on.
const CALM: Duration = Duration::from_secs(4);
/// Plays without one of the faults that break nothing before the fault counts as needed.
const SHRINK_PLAYS: usize = 2;

/// What to play.
#[derive(Debug, Clone)]
pub struct Options {
    /// The `samphiredoor` program.
    pub binary: PathBuf,
    /// Folder for plans, traces and logs.
    pub folder: PathBuf,
    /// Time over which faults are spread.
    pub seconds: u64,
    /// Gateway processes.
    pub gateways: usize,
    /// Whether times to recover from single faults are taken, too.
    pub drills: bool,
}

impl Options {
    /// Plan of a seed.
    pub fn plan(&self, seed: u64) -> Plan {
        Plan::of_seed(seed, self.seconds, self.sizes())
    }

    fn sizes(&self) -> Sizes {
        Sizes { gateways: self.gateways, targets: TARGETS }
    }
}

/// Plays the plans of these seeds one after the other.
///
/// # Errors
///
/// Seeds broke a promise, the process was told to end, or files could not be written.
pub fn play_seeds(options: &Options, seeds: impl Iterator<Item = u64>) -> anyhow::Result<()> {
    let mut recovery = Recovery::default();
    let (mut kept, mut broken) = (0, Vec::new());
    for seed in seeds {
        match play(options, seed, &options.plan(seed), "seed", &mut recovery)? {
            None => kept += 1,
            Some(_) => broken.push(seed),
        }
    }
    println!("{kept} seeds kept every promise, broken: {broken:?}");
    recovery.print();
    anyhow::ensure!(broken.is_empty(), "promises were broken by seeds {broken:?}");
    Ok(())
}

/// Plays a plan that was written before.
///
/// # Errors
///
/// As [`play_seeds`], or the plan cannot be read.
pub fn replay(options: &Options, seed: u64, file: &Path) -> anyhow::Result<()> {
    let plan = Plan::read(file)?;
    let breach = play(options, seed, &plan, "replay", &mut Recovery::default())?;
    anyhow::ensure!(breach.is_none(), "a promise was broken");
    Ok(())
}

/// Leaves out faults one by one for as long as the same promise breaks, and writes what is left as `shrunk.jsonl`.
///
/// # Errors
///
/// As [`replay`], or the plan breaks no promise.
pub fn shrink(options: &Options, seed: u64, mut plan: Plan) -> anyhow::Result<()> {
    let broken = play(options, seed, &plan, "shrink", &mut Recovery::default())?;
    let broken = broken.context("the plan broke no promise this time")?.promise;
    for number in (0..plan.0.len()).rev() {
        let shorter = plan.without(number);
        for _ in 0..SHRINK_PLAYS {
            let breach = play(options, seed, &shorter, "shrink", &mut Recovery::default())?;
            if breach.is_some_and(|it| it.promise == broken) {
                plan = shorter;
                break;
            }
        }
    }
    let file = options.folder.join(format!("shrink-{seed}")).join("shrunk.jsonl");
    plan.write(&file)?;
    println!("{} faults left: {}", plan.0.len(), file.display());
    anyhow::bail!("a promise was broken: {broken}")
}

/// Plays a plan, in a folder of that name and seed; tells the promise that broke, if one did.
fn play(
    options: &Options,
    seed: u64,
    plan: &Plan,
    name: &str,
    recovery: &mut Recovery,
) -> anyhow::Result<Option<Breach>> {
    let folder = options.folder.join(format!("{name}-{seed}"));
    fs::create_dir_all(&folder)
        .with_context(|| format!("{} cannot be created", folder.display()))?;
    plan.write(&folder.join("plan.jsonl"))?;
    let shared = Shared::new(&folder.join("trace.jsonl"))?;
    let mut injector = Injector::start(&shared, &options.binary, options.sizes());
    run(&shared, &mut injector, plan, seed, options.drills, recovery);
    shared.flush();
    anyhow::ensure!(!trace::is_interrupted(), "told to end");
    let breach = shared.checks().breach().cloned();
    match &breach {
        None => report::print_kept(seed, plan.0.len(), shared.checks().counts()),
        Some(breach) => {
            let lines = injector.platform.lines_with(&breach.id);
            injector.platform.write_logs(&folder)?;
            report::print_broken(seed, breach, &lines, &folder);
        }
    }
    Ok(breach)
}

/// Does the faults of a plan while clients go on, and checks all promises.
fn run(
    shared: &Shared,
    injector: &mut Injector<'_>,
    plan: &Plan,
    seed: u64,
    drills: bool,
    recovery: &mut Recovery,
) {
    let gateways = injector.sizes.gateways;
    let settle = thread::scope(|scope| {
        let client = |number: usize, name: String| {
            Client::new(shared, seed.wrapping_add(number as u64), name, gateways)
        };
        // Also when this thread panics: the scope waits for all clients.
        let _stop = StopOnDrop(shared);
        for number in 0..ONLINE_CLIENTS {
            let client = client(number, format!("c{number}"));
            scope.spawn(move || client.send_requests());
        }
        for number in 0..BATCH_CLIENTS {
            let client = client(ONLINE_CLIENTS + number, format!("b{number}"));
            scope.spawn(move || client.send_jobs());
        }
        inject(shared, injector, plan);
        let settle = Settle::new(shared, gateways);
        settle.served_again(&mut recovery.served_ms);
        wait(shared, injector, Instant::now() + CALM);
        settle
    });
    if drills && !shared.is_over() {
        drills::measure(&settle, injector, recovery);
    }
    settle.jobs_stand();
    let runs = injector.runs();
    shared.checks().check_runs(&runs);
    settle.configuration_is_in_force(injector, &mut recovery.in_force_ms);
}

struct StopOnDrop<'a>(&'a Shared);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.stop();
    }
}

/// Does all faults of a plan, and waits until all are over.
fn inject(shared: &Shared, injector: &mut Injector<'_>, plan: &Plan) {
    let began = Instant::now();
    let begins = plan.0.iter().map(|it| (it.at_ms, true, it));
    let ends = plan.0.iter().map(|it| (it.at_ms + it.for_ms, false, it));
    let mut events: Vec<(u64, bool, &Step)> = begins.chain(ends).collect();
    events.sort_by_key(|(at_ms, begins, _)| (*at_ms, *begins));
    for (at_ms, begins, step) in events {
        wait(shared, injector, began + Duration::from_millis(at_ms));
        if shared.is_over() {
            return;
        }
        if begins {
            injector.begin(step);
        } else {
            injector.end(step);
            // Later than planned where the start of a process took its time.
            let began = began + Duration::from_millis(step.at_ms);
            shared.checks().disturbed(began, Instant::now());
        }
    }
    while !injector.tick() && !shared.is_over() {
        thread::sleep(TICK);
    }
}

/// Waits, and checks meanwhile.
fn wait(shared: &Shared, injector: &mut Injector<'_>, until: Instant) {
    let mut check_at = Instant::now();
    while Instant::now() < until && !shared.is_over() {
        injector.tick();
        if Instant::now() >= check_at {
            let runs = injector.runs();
            shared.checks().check_runs(&runs);
            check_at = Instant::now() + CHECK_PAUSE;
        }
        thread::sleep(TICK.min(until.saturating_duration_since(Instant::now())));
    }
}

/// Has all runs of this process end soon once it is told to end, so that no process outlives it.
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
