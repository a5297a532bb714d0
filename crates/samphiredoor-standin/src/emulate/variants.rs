//! Simulates a scenario in several variants and with many seeds, on several threads.

use std::{
    ops::Range,
    path::Path,
    str::FromStr,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use anyhow::Context;

use super::{
    bound::bound,
    mechanism::{Mechanism, Without},
    outcome::Outcome,
    scenario::Scenario,
    simulation::Simulation,
    traffic,
};

/// Range of seeds, written as `A..B`; `B` is excluded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seeds(pub Range<u64>);

impl FromStr for Seeds {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> anyhow::Result<Seeds> {
        let (from, until) = text.split_once("..").context("seeds are written as A..B")?;
        let number = |it: &str| it.parse::<u64>().with_context(|| format!("`{it}` is not a seed"));
        let seeds = number(from)?..number(until)?;
        anyhow::ensure!(!seeds.is_empty(), "`{text}` contains no seed; B is excluded");
        Ok(Seeds(seeds))
    }
}

/// A field of the scenario and the values to simulate, each in a variant of its own.
#[derive(Debug, Clone, PartialEq)]
pub struct Vary {
    key: String,
    values: Vec<toml::Value>,
}

impl FromStr for Vary {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> anyhow::Result<Vary> {
        let (key, values) =
            text.split_once('=').context("varied fields are written as KEY=V1,V2")?;
        Ok(Vary { key: key.to_owned(), values: values.split(',').map(value).collect() })
    }
}

// Text that is not a valid TOML value, such as a number or boolean, is taken as a string.
fn value(text: &str) -> toml::Value {
    let table: Result<toml::Table, _> = toml::from_str(&format!("value = {text}"));
    let value = table.ok().and_then(|mut it| it.remove("value"));
    value.unwrap_or_else(|| toml::Value::String(text.to_owned()))
}

/// A scenario with some of its mechanisms disabled.
#[derive(Debug, Clone)]
pub struct Variant {
    /// Name in tables, CSV rows and plots.
    pub label: String,
    /// Index of its scenario in [`Variants::scenarios`].
    pub scenario: usize,
    /// Mechanisms that it disables.
    pub without: Vec<Mechanism>,
}

/// All variants of an experiment; the first is the baseline for the others.
#[derive(Debug, Clone)]
pub struct Variants {
    /// Scenarios that variants refer to by index; several variants can share one.
    pub scenarios: Vec<Scenario>,
    /// Variants in the order of reports.
    pub variants: Vec<Variant>,
}

impl Variants {
    /// Builds the variants of a scenario file: unchanged, without mechanisms, and with each of the varied values.
    pub fn read(file: &Path, without: &[Without], vary: &[Vary]) -> anyhow::Result<Variants> {
        let mut scenarios = vec![Scenario::read(file, &[])?];
        let variant = |label: String, scenario, without| Variant { label, scenario, without };
        let mut variants = vec![variant("as it is".to_owned(), 0, Vec::new())];
        for without in without {
            variants.push(variant(format!("without {without}"), 0, without.0.clone()));
        }
        for Vary { key, values } in vary {
            for value in values {
                variants.push(variant(format!("{key} = {value}"), scenarios.len(), Vec::new()));
                scenarios.push(Scenario::read(file, &[(key.clone(), value.clone())])?);
            }
        }
        Ok(Variants { scenarios, variants })
    }
}

/// Result of a variant with one seed.
#[derive(Debug, Clone)]
pub struct RunResult {
    /// Index of the variant.
    pub variant: usize,
    /// Seed of the traffic and of the simulation.
    pub seed: u64,
    /// Outcome of the simulation.
    pub outcome: Outcome,
    /// Upper bound on the worth that any scheduler could have earned.
    pub bound: f64,
    /// Processor time of the simulation, without that of the bound.
    pub cpu_s: f64,
}

impl RunResult {
    /// Fraction of the bound that was earned.
    pub fn of_bound(&self) -> f64 {
        if self.bound > 0.0 { self.outcome.earned / self.bound } else { 1.0 }
    }
}

/// Simulates all variants with all seeds; returns results in order of variants, then seeds.
pub fn run_all(variants: &Variants, seeds: &Seeds, threads: usize) -> Vec<RunResult> {
    let next = AtomicU64::new(seeds.0.start);
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if !seeds.0.contains(&seed) {
                        return;
                    }
                    let all = run_seed(variants, seed);
                    results.lock().unwrap_or_else(PoisonError::into_inner).extend(all);
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.sort_by_key(|it| (it.variant, it.seed));
    results
}

fn run_seed(variants: &Variants, seed: u64) -> Vec<RunResult> {
    let mut results = Vec::new();
    for (number, scenario) in variants.scenarios.iter().enumerate() {
        let requests = traffic::generate(scenario, seed);
        let bound = bound(scenario, &requests);
        let of_scenario = variants.variants.iter().enumerate();
        for (variant, it) in of_scenario.filter(|(_, it)| it.scenario == number) {
            let started_s = thread_cpu_s();
            let outcome = Simulation::new(scenario, &it.without, &requests, seed).run();
            let cpu_s = thread_cpu_s() - started_s;
            results.push(RunResult { variant, seed, outcome, bound, cpu_s });
        }
    }
    results
}

/// Processor time of this thread; 0 where the system does not report it.
fn thread_cpu_s() -> f64 {
    let statistics = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let cpu_ns = statistics.split(' ').next().and_then(|it| it.parse::<u64>().ok());
    cpu_ns.unwrap_or(0) as f64 / 1e9
}
