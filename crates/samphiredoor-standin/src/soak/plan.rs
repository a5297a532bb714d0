//! Fault plans: generated from a seed, written and read as one JSON line per fault, and shrunk by removing faults.

use std::{fmt::Write as _, path::Path};

use anyhow::Context;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use serde::{Deserialize, Serialize};

use crate::{link::LinkFault, platform_store::StoreFault, platform_target::TargetFault};

/// Time before the first fault, in which clients submit their first jobs.
const FIRST_FAULT_MS: u64 = 500;
/// Time between the starts of two faults of a series; shorter than most faults last, so that they overlap.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 20..500;
/// Time between two series, long enough for checks that apply only while no fault is active.
const SERIES_PAUSE_MS: std::ops::Range<u64> = 4_000..6_000;
const SHORT_MS: std::ops::Range<u64> = 100..2_500;
/// Durations after which other gateways have taken over the jobs of an unresponsive gateway.
const LONG_MS: std::ops::Range<u64> = 4_000..8_000;
/// Probability that the duration of a fault is from [`LONG_MS`].
const LONG_PROBABILITY: f64 = 0.25;
/// Probability that a series ends after a fault.
const SERIES_END_PROBABILITY: f64 = 0.1;

/// Time between two faults of targets that [`Plan::with_broken_answers`] adds.
const BROKEN_ANSWERS_INTERVAL_MS: std::ops::Range<u64> = 100..400;
/// Duration of each of them.
const BROKEN_ANSWERS_MS: std::ops::Range<u64> = 200..1_500;
/// Events of an answer before it breaks off; 0 is inside the first one.
const EVENTS_BEFORE_BREAK: std::ops::Range<u64> = 0..6;

/// Time between two faults that [`Plan::with_interrupted_streams`] adds.
const INTERRUPTIONS_INTERVAL_MS: std::ops::Range<u64> = 100..500;
/// Duration of each of them; a gateway that is killed starts again within that time.
const INTERRUPTION_MS: std::ops::Range<u64> = 200..800;
/// Probability that such a fault is the kill of a gateway, after which callers take their streams up at others.
const KILL_PROBABILITY: f64 = 0.4;

/// Number of pulses in a series of [`Plan::with_bursts`], and the time from one to the next.
const PULSES: std::ops::RangeInclusive<u64> = 3..=5;
const PULSE_INTERVAL_MS: std::ops::Range<u64> = 200..600;
/// Probability that a target crashes in a pulse, and the time from the start of the pulse to its crash.
const PULSE_CRASH_PROBABILITY: f64 = 0.3;
const PULSE_SPREAD_MS: std::ops::Range<u64> = 0..80;
/// Time after which a target that has crashed by chance starts again.
const DOWN_MS: std::ops::Range<u64> = 100..300;
/// Time between two series: longer than that in which sound requests may still be refused.
const CALM_MS: std::ops::Range<u64> = 7_000..9_000;
/// Time between two changes of limits beside a series, and their values. Runs take nearly a second.
const LIMITS_INTERVAL_MS: std::ops::Range<u64> = 50..400;
const LIMITS_MS: [u64; 4] = [1_500, 3_000, 8_000, 20_000];

/// Fault of a link, as written in plans.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlannedLinkFault {
    /// Delays all data.
    Slow,
    /// Drops all data.
    Silent,
    /// Drops data from the client to the server.
    SilentThere,
    /// Drops data from the server to the client.
    SilentBack,
    /// Closes open connections.
    Cut,
}

impl PlannedLinkFault {
    /// State of the link for the duration of the fault.
    pub fn fault(self) -> LinkFault {
        match self {
            PlannedLinkFault::Slow => LinkFault::Slow,
            PlannedLinkFault::Silent => LinkFault::Silent,
            PlannedLinkFault::SilentThere => LinkFault::SilentThere,
            PlannedLinkFault::SilentBack => LinkFault::SilentBack,
            PlannedLinkFault::Cut => LinkFault::None,
        }
    }
}

/// Kind of a fault, with the numbers of the gateways and targets that it affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// SIGSTOP, then SIGCONT.
    PauseGateway(usize),
    /// SIGKILL, then a restart.
    KillGateway(usize),
    /// SIGTERM, then a restart once the process has ended.
    StopGateway(usize),
    /// SIGSTOP, then SIGCONT.
    PauseStorage,
    /// SIGKILL, then a restart.
    KillStorage,
    /// Fault of the link between a gateway and the store.
    GatewayLink(usize, PlannedLinkFault),
    /// Fault of the link between all gateways and a target.
    TargetLink(usize, PlannedLinkFault),
    /// Fault of the store for all of its clients.
    Store(StoreFault),
    /// Fault of the store for one gateway.
    StoreTowards(usize, StoreFault),
    /// The store discards its event history, so that watches have to list again.
    ForgetHistory,
    /// A target answers the given number of requests with a fault.
    Target(usize, TargetFault, u32),
    /// A target drains and ends, and a new one replaces it.
    ReplaceTarget(usize),
    /// The configuration is written again, with a higher version.
    ChangeRoutes,
    /// The same with this idle limit of connections and this timeout of routes, in milliseconds.
    ChangeLimits(u64, u64),
    /// A target crashes, and a new one replaces it.
    CrashTarget(usize),
    /// A target sends and reads nothing.
    SilenceTarget(usize),
    /// A route belongs to another service.
    MoveRoute,
    /// A route is missing.
    RemoveRoute,
}

/// Gateways whose processes or paths to the store a fault disturbs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disturbed {
    /// None: the fault affects other processes, or calls that reads of results don't need.
    None,
    /// One gateway.
    Gateway(usize),
    /// All gateways.
    All,
}

impl Fault {
    /// Gateways that this fault disturbs.
    pub fn disturbs(self) -> Disturbed {
        match self {
            Fault::PauseGateway(gateway)
            | Fault::KillGateway(gateway)
            | Fault::StopGateway(gateway)
            | Fault::GatewayLink(gateway, _)
            | Fault::StoreTowards(gateway, _) => Disturbed::Gateway(gateway),
            Fault::Store(_) => Disturbed::All,
            Fault::PauseStorage
            | Fault::KillStorage
            | Fault::TargetLink(..)
            | Fault::ForgetHistory
            | Fault::Target(..)
            | Fault::ReplaceTarget(_)
            | Fault::ChangeRoutes
            | Fault::ChangeLimits(..)
            | Fault::CrashTarget(_)
            | Fault::SilenceTarget(_)
            | Fault::MoveRoute
            | Fault::RemoveRoute => Disturbed::None,
        }
    }
}

/// One fault of a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Step {
    /// Start of the fault, from the start of the plan.
    pub at_ms: u64,
    /// Duration of the fault; no effect on faults that happen at once.
    pub for_ms: u64,
    /// Kind of fault.
    pub fault: Fault,
}

/// Numbers of processes that faults can affect.
#[derive(Debug, Clone, Copy)]
pub struct Sizes {
    /// Number of gateway processes.
    pub gateways: usize,
    /// Number of targets.
    pub targets: usize,
}

/// Faults in the order of their starts.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Plan(pub Vec<Step>);

impl Plan {
    /// Generates the plan of a seed; every fault starts and ends within `seconds`.
    pub fn of_seed(seed: u64, seconds: u64, sizes: Sizes) -> Plan {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut at_ms, mut steps) = (FIRST_FAULT_MS, Vec::new());
        let end_ms = seconds * 1_000;
        while at_ms + SHORT_MS.start < end_ms {
            let durations = if rng.random_bool(LONG_PROBABILITY) { LONG_MS } else { SHORT_MS };
            let for_ms = rng.random_range(durations).min(end_ms - at_ms);
            let fault = random_fault(&mut rng, sizes);
            steps.push(Step { at_ms, for_ms, fault });
            let series_ends = rng.random_bool(SERIES_END_PROBABILITY);
            at_ms +=
                rng.random_range(if series_ends { SERIES_PAUSE_MS } else { FAULT_INTERVAL_MS });
        }
        Plan(steps)
    }

    /// The plan with further faults of targets: answers that end inside an event although their bodies end in order. Their
    /// generator is one of its own, so that the other faults of a seed do not depend on them.
    pub fn with_broken_answers(mut self, seed: u64, seconds: u64, sizes: Sizes) -> Plan {
        let mut rng = SmallRng::seed_from_u64(!seed);
        let (mut at_ms, end_ms) = (FIRST_FAULT_MS, seconds * 1_000);
        while at_ms + BROKEN_ANSWERS_MS.start < end_ms {
            let events = rng.random_range(EVENTS_BEFORE_BREAK);
            let fault = match rng.random_bool(0.5) {
                true => TargetFault::UnframedCutAfter(events),
                false => TargetFault::ChunksEndAfter(events),
            };
            let target = rng.random_range(0..sizes.targets);
            let fault = Fault::Target(target, fault, rng.random_range(1..20));
            let for_ms = rng.random_range(BROKEN_ANSWERS_MS).min(end_ms - at_ms);
            self.0.push(Step { at_ms, for_ms, fault });
            at_ms += rng.random_range(BROKEN_ANSWERS_INTERVAL_MS);
        }
        self.0.sort_by_key(|it| it.at_ms);
        self
    }

    /// The plan with further faults that interrupt streams: targets break their answers off, and gateways are killed. Their
    /// generator is one of its own, too.
    pub fn with_interrupted_streams(mut self, seed: u64, seconds: u64, sizes: Sizes) -> Plan {
        let mut rng = SmallRng::seed_from_u64(seed.rotate_left(32));
        let (mut at_ms, end_ms) = (FIRST_FAULT_MS, seconds * 1_000);
        while at_ms + INTERRUPTION_MS.start < end_ms {
            let fault = if rng.random_bool(KILL_PROBABILITY) {
                Fault::KillGateway(rng.random_range(0..sizes.gateways))
            } else {
                let fault = TargetFault::CutAfter(rng.random_range(EVENTS_BEFORE_BREAK));
                Fault::Target(rng.random_range(0..sizes.targets), fault, rng.random_range(1..20))
            };
            let for_ms = rng.random_range(INTERRUPTION_MS).min(end_ms - at_ms);
            self.0.push(Step { at_ms, for_ms, fault });
            at_ms += rng.random_range(INTERRUPTIONS_INTERVAL_MS);
        }
        self.0.sort_by_key(|it| it.at_ms);
        self
    }

    /// The plan with bursts of crashes by chance, and changes of limits beside them. Their generator is one of its own, too. The
    /// faults of gateways and of the store are left out: the time in which all is served again counts for gateways in touch.
    pub fn with_bursts(mut self, seed: u64, seconds: u64, sizes: Sizes) -> Plan {
        self.0.retain(|it| it.fault.disturbs() == Disturbed::None);
        let mut rng = SmallRng::seed_from_u64(seed.reverse_bits());
        let (mut at_ms, end_ms) = (FIRST_FAULT_MS, seconds * 1_000);
        while at_ms < end_ms {
            let started_ms = at_ms;
            for _ in 0..rng.random_range(PULSES) {
                self.add_pulse(&mut rng, at_ms, sizes);
                at_ms += rng.random_range(PULSE_INTERVAL_MS);
            }
            self.add_changes_of_limits(&mut rng, started_ms..at_ms);
            at_ms += rng.random_range(CALM_MS);
        }
        self.0.sort_by_key(|it| it.at_ms);
        self
    }

    /// Adds crashes of some targets at nearly the same time.
    pub fn add_pulse(&mut self, rng: &mut SmallRng, pulse_ms: u64, sizes: Sizes) {
        for target in 0..sizes.targets {
            if rng.random_bool(PULSE_CRASH_PROBABILITY) {
                let at_ms = pulse_ms + rng.random_range(PULSE_SPREAD_MS);
                let for_ms = rng.random_range(DOWN_MS);
                self.0.push(Step { at_ms, for_ms, fault: Fault::CrashTarget(target) });
            }
        }
    }

    fn add_changes_of_limits(&mut self, rng: &mut SmallRng, span_ms: std::ops::Range<u64>) {
        let mut at_ms = span_ms.start;
        while at_ms < span_ms.end {
            let mut limit_ms = || *LIMITS_MS.choose(rng).expect("a limit");
            let fault = Fault::ChangeLimits(limit_ms(), limit_ms());
            self.0.push(Step { at_ms, for_ms: 0, fault });
            at_ms += rng.random_range(LIMITS_INTERVAL_MS);
        }
    }

    /// Reads a plan from a file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or a line is not a valid step.
    pub fn read(file: &Path) -> anyhow::Result<Plan> {
        let text = std::fs::read_to_string(file)
            .with_context(|| format!("{} cannot be read", file.display()))?;
        let steps = text.lines().map(serde_json::from_str).collect::<Result<_, _>>();
        Ok(Plan(steps.with_context(|| format!("{} is not a valid plan", file.display()))?))
    }

    /// Writes the plan to a file, one step per line.
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

    /// The plan without the step at an index.
    pub fn without(&self, index: usize) -> Plan {
        let mut steps = self.0.clone();
        steps.remove(index);
        Plan(steps)
    }
}

fn random_fault(rng: &mut SmallRng, sizes: Sizes) -> Fault {
    let gateway = rng.random_range(0..sizes.gateways);
    let target = rng.random_range(0..sizes.targets);
    match rng.random_range(0..24) {
        0..=2 => Fault::PauseGateway(gateway),
        3..=5 => Fault::KillGateway(gateway),
        6 => Fault::StopGateway(gateway),
        7 => Fault::PauseStorage,
        8 => Fault::KillStorage,
        9..=11 => Fault::GatewayLink(gateway, random_link_fault(rng)),
        12 | 13 => Fault::TargetLink(target, random_link_fault(rng)),
        14 | 15 => Fault::Store(random_store_fault(rng)),
        16 => Fault::StoreTowards(gateway, random_store_fault(rng)),
        17 => Fault::ForgetHistory,
        18..=21 => Fault::Target(target, random_target_fault(rng), rng.random_range(1..20)),
        22 => Fault::ReplaceTarget(target),
        _ => Fault::ChangeRoutes,
    }
}

fn random_link_fault(rng: &mut SmallRng) -> PlannedLinkFault {
    use PlannedLinkFault::{Cut, Silent, SilentBack, SilentThere, Slow};
    *[Slow, Silent, SilentThere, SilentBack, Cut].choose(rng).expect("a fault")
}

fn random_store_fault(rng: &mut SmallRng) -> StoreFault {
    use StoreFault::{Busy, PartsRefused, Silent, WatchesSilent, WritesLate, WritesUnanswered};
    let faults = [Silent, WatchesSilent, Busy, WritesUnanswered, WritesLate, PartsRefused];
    *faults.choose(rng).expect("a fault")
}

fn random_target_fault(rng: &mut SmallRng) -> TargetFault {
    use TargetFault::{AnswerLost, CutAfter, Fails, Full, Silent, Stray, Unframed};
    let faults = [CutAfter(2), CutAfter(4), AnswerLost, Full, Fails, Silent, Stray, Unframed];
    *faults.choose(rng).expect("a fault")
}
