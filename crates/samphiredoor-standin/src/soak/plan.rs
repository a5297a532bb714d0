//! A seeded plan of faults, one line each, that can be written, read again and shortened.

use std::{fmt::Write as _, path::Path};

use anyhow::Context;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use serde::{Deserialize, Serialize};

use crate::{link::LinkFault, platform_store::StoreFault, platform_target::TargetFault};

/// Time before the first fault, in which clients make their first jobs.
const FIRST_MS: u64 = 500;
/// Time between two faults of a series; shorter than most faults last, so that they overlap.
const GAP_MS: std::ops::Range<u64> = 20..500;
/// Calm between two series, long enough for checks that hold while no fault is on.
const CALM_MS: std::ops::Range<u64> = 4_000..6_000;
const SHORT_MS: std::ops::Range<u64> = 100..2_500;
/// Lengths after which a gateway that is silent has lost its jobs to others.
const LONG_MS: std::ops::Range<u64> = 4_000..8_000;
/// Chance that a fault is a long one.
const IS_LONG: f64 = 0.25;
/// Chance that a series ends after a fault.
const SERIES_ENDS: f64 = 0.1;

/// How a link misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkTrouble {
    /// Each piece is late.
    Slow,
    /// Nothing passes.
    Silent,
    /// Nothing passes towards the far side.
    SilentThere,
    /// Nothing passes back.
    SilentBack,
    /// Open connections end.
    Cut,
}

impl LinkTrouble {
    /// Fault of the link while it lasts.
    pub fn fault(self) -> LinkFault {
        match self {
            LinkTrouble::Slow => LinkFault::Slow,
            LinkTrouble::Silent => LinkFault::Silent,
            LinkTrouble::SilentThere => LinkFault::SilentThere,
            LinkTrouble::SilentBack => LinkFault::SilentBack,
            LinkTrouble::Cut => LinkFault::None,
        }
    }
}

/// What happens, and to whom; gateways and targets by their numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// SIGSTOP, then SIGCONT.
    PauseGateway(usize),
    /// SIGKILL, then a new start.
    KillGateway(usize),
    /// SIGTERM, and a new start once the process has ended.
    StopGateway(usize),
    /// SIGSTOP, then SIGCONT.
    PauseStorage,
    /// SIGKILL, then a new start.
    KillStorage,
    /// Link between a gateway and the store.
    GatewayLink(usize, LinkTrouble),
    /// Link between all gateways and a target.
    TargetLink(usize, LinkTrouble),
    /// The store misbehaves towards all.
    Store(StoreFault),
    /// The store misbehaves towards one gateway.
    StoreTowards(usize, StoreFault),
    /// The store forgets its history.
    ForgetHistory,
    /// A target answers so many requests with a fault.
    Target(usize, TargetFault, u32),
    /// A target drains and ends, and a new one takes its place.
    ReplaceTarget(usize),
    /// The configuration is written anew under a higher version.
    ChangeRoutes,
}

/// One fault of a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Step {
    /// When it begins.
    pub at_ms: u64,
    /// How long it lasts, where that means something.
    pub for_ms: u64,
    /// What happens.
    pub fault: Fault,
}

/// How many of each there are.
#[derive(Debug, Clone, Copy)]
pub struct Sizes {
    /// Gateway processes.
    pub gateways: usize,
    /// Targets.
    pub targets: usize,
}

/// Faults in the order of their beginnings.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Plan(pub Vec<Step>);

impl Plan {
    /// Plan of a seed; every fault begins and ends within the time.
    pub fn of_seed(seed: u64, seconds: u64, sizes: Sizes) -> Plan {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut at_ms, mut steps) = (FIRST_MS, Vec::new());
        let end_ms = seconds * 1_000;
        while at_ms + SHORT_MS.start < end_ms {
            let lengths = if rng.random_bool(IS_LONG) { LONG_MS } else { SHORT_MS };
            let for_ms = rng.random_range(lengths).min(end_ms - at_ms);
            let fault = any_fault(&mut rng, sizes);
            steps.push(Step { at_ms, for_ms, fault });
            let series_ends = rng.random_bool(SERIES_ENDS);
            at_ms += rng.random_range(if series_ends { CALM_MS } else { GAP_MS });
        }
        Plan(steps)
    }

    /// Reads a plan.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or a line is no fault.
    pub fn read(file: &Path) -> anyhow::Result<Plan> {
        let text = std::fs::read_to_string(file)
            .with_context(|| format!("{} cannot be read", file.display()))?;
        let steps = text.lines().map(serde_json::from_str).collect::<Result<_, _>>();
        Ok(Plan(steps.with_context(|| format!("{} is no plan", file.display()))?))
    }

    /// Writes the plan, one fault a line.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn write(&self, file: &Path) -> anyhow::Result<()> {
        let mut text = String::new();
        for step in &self.0 {
            writeln!(text, "{}", serde_json::to_string(step)?)?;
        }
        std::fs::write(file, text).with_context(|| format!("{} cannot be written", file.display()))
    }

    /// The plan without one of its faults.
    pub fn without(&self, number: usize) -> Plan {
        let mut steps = self.0.clone();
        steps.remove(number);
        Plan(steps)
    }
}

fn any_fault(rng: &mut SmallRng, sizes: Sizes) -> Fault {
    let gateway = rng.random_range(0..sizes.gateways);
    let target = rng.random_range(0..sizes.targets);
    match rng.random_range(0..24) {
        0..=2 => Fault::PauseGateway(gateway),
        3..=5 => Fault::KillGateway(gateway),
        6 => Fault::StopGateway(gateway),
        7 => Fault::PauseStorage,
        8 => Fault::KillStorage,
        9..=11 => Fault::GatewayLink(gateway, any_link_trouble(rng)),
        12 | 13 => Fault::TargetLink(target, any_link_trouble(rng)),
        14 | 15 => Fault::Store(any_store_fault(rng)),
        16 => Fault::StoreTowards(gateway, any_store_fault(rng)),
        17 => Fault::ForgetHistory,
        18..=21 => Fault::Target(target, any_target_fault(rng), rng.random_range(1..20)),
        22 => Fault::ReplaceTarget(target),
        _ => Fault::ChangeRoutes,
    }
}

fn any_link_trouble(rng: &mut SmallRng) -> LinkTrouble {
    use LinkTrouble::{Cut, Silent, SilentBack, SilentThere, Slow};
    *[Slow, Silent, SilentThere, SilentBack, Cut].choose(rng).expect("a fault")
}

fn any_store_fault(rng: &mut SmallRng) -> StoreFault {
    use StoreFault::{Busy, PartsRefused, Silent, WatchesSilent, WritesLate, WritesUnanswered};
    let faults = [Silent, WatchesSilent, Busy, WritesUnanswered, WritesLate, PartsRefused];
    *faults.choose(rng).expect("a fault")
}

fn any_target_fault(rng: &mut SmallRng) -> TargetFault {
    use TargetFault::{AnswerLost, CutAfter, Fails, Full, Silent, Stray, Unframed};
    let faults = [CutAfter(2), CutAfter(4), AnswerLost, Full, Fails, Silent, Stray, Unframed];
    *faults.choose(rng).expect("a fault")
}
