//! Goodput of the dispatcher during overload, after it, and during and after the loss of an availability zone.
//!
//! A discrete-event simulation of one dispatcher with ten targets in two zones. Each target has capacity for eight
//! concurrent requests of about 100 ms. Callers set a deadline of one second and retry requests that were not answered.
//! In the rows named `breaking`, the targets are declared with twice their capacity and drop connections above it. In
//! the rows named `rude`, callers retry after 100 ms regardless of the retry delay in the answer. The seed is fixed, so
//! each run gives the same figures.
//!
//! `cargo run --release -p samphiredoor-core --example overload`

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    sync::Arc,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use samphiredoor_core::{
    Name,
    dispatch::{
        Action, AttemptEnd, Class, Dispatcher, Input, Location, Policy, RequestId, RequestSpec,
    },
    manifest::Manifest,
    time::Now,
    verdict::{MayHaveRunReason, Verdict},
};
use serde_json::json;

const SEED: u64 = 1;
const TARGETS: usize = 10;
const TARGET_CAPACITY: u32 = 8;
const SERVICE_MS: f64 = 100.0;
const DEADLINE_MS: u64 = 1_000;
const MAX_TRIES: u32 = 8;
const CAPACITY_PER_S: f64 = TARGETS as f64 * TARGET_CAPACITY as f64 / SERVICE_MS * 1_000.0;
const SCENARIO_START_S: usize = 10;
const SCENARIO_END_S: usize = 30;
const SIMULATED_S: usize = 60;

#[derive(Debug, Clone, Copy)]
struct Variant {
    name: &'static str,
    policy: Policy,
    /// Whether targets are declared with twice their capacity.
    overdeclared: bool,
    /// Whether callers ignore the retry delay in the answer.
    ignores_retry_delay: bool,
}

/// What happens between `SCENARIO_START_S` and `SCENARIO_END_S`.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Scenario {
    /// Load at this multiple of the capacity; 0.5 before and after.
    Load(f64),
    /// Half of the targets fail every request; load at 0.8 of the capacity of all targets.
    ZoneLost,
    /// All targets fail half of the requests; load at 0.8 of the capacity of all targets.
    HalfOfRequestsFail,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Retry { tries: u32 },
    End { request: u64, attempt: u32, failed: bool },
    Timeout { request: u64 },
    Tick,
}

struct PendingRequest {
    tries: u32,
    attempt: u32,
    target: Option<Name>,
}

struct Simulation {
    variant: Variant,
    scenario: Scenario,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    dispatcher: Dispatcher,
    requests: BTreeMap<u64, PendingRequest>,
    next_request: u64,
    at_target: BTreeMap<Name, u32>,
    rng: SmallRng,
    completed: Vec<u32>,
    attempts: Vec<u32>,
}

fn manifest(overdeclared: bool) -> Manifest {
    let target = |it: usize| {
        json!({
            "name": format!("target-{it}"),
            "service": "small",
            "address": "127.0.0.1:1",
            "region": "region",
            "availability_zone": if it.is_multiple_of(2) { "a" } else { "b" },
            "owner": "owner",
            "concurrency_limit": if overdeclared { 2 * TARGET_CAPACITY } else { TARGET_CAPACITY },
        })
    };
    let declared = json!({
        "services": [{ "name": "small", "kind": "engine" }],
        "targets": (0..TARGETS).map(target).collect::<Vec<_>>(),
    });
    let declared = serde_json::from_value(declared).expect("the declarations match the schema");
    Manifest::new(1, &declared).expect("the declarations are valid")
}

impl Simulation {
    fn new(variant: Variant, scenario: Scenario) -> Simulation {
        let location = Location { region: "region".into(), availability_zone: "a".into() };
        let mut simulation = Simulation {
            variant,
            scenario,
            now_ms: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            dispatcher: Dispatcher::new(location, SEED).with_policy(variant.policy),
            requests: BTreeMap::new(),
            next_request: 0,
            at_target: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(SEED),
            completed: vec![0; SIMULATED_S],
            attempts: vec![0; SIMULATED_S],
        };
        simulation.input(Input::Manifest(Arc::new(manifest(variant.overdeclared))));
        simulation.schedule(0.0, Event::Arrive);
        simulation.schedule(0.0, Event::Tick);
        simulation
    }

    fn run(mut self) -> Simulation {
        while let Some(Reverse((at_ms, _, event))) = self.events.pop() {
            if at_ms >= SIMULATED_S as u64 * 1_000 {
                break;
            }
            self.now_ms = at_ms;
            self.step(event);
        }
        self
    }

    fn second(&self) -> usize {
        (self.now_ms / 1_000) as usize
    }

    fn in_scenario(&self) -> bool {
        (SCENARIO_START_S..SCENARIO_END_S).contains(&self.second())
    }

    fn rate_per_s(&self) -> f64 {
        let load = match self.scenario {
            Scenario::Load(load) if self.in_scenario() => load,
            Scenario::Load(_) => 0.5,
            Scenario::ZoneLost | Scenario::HalfOfRequestsFail => 0.8,
        };
        CAPACITY_PER_S * load
    }

    fn schedule(&mut self, wait_ms: f64, event: Event) {
        self.sequence += 1;
        let at_ms = self.now_ms + wait_ms.round() as u64;
        self.events.push(Reverse((at_ms, self.sequence, event)));
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive => {
                self.arrive(1);
                let wait_ms = -self.rng.random_range(f64::EPSILON..1.0_f64).ln() * 1_000.0;
                let wait_ms = wait_ms / self.rate_per_s();
                // Event times are whole milliseconds; rounding up at random keeps the mean wait.
                let rounded_up = self.rng.random_bool(wait_ms.fract());
                self.schedule(wait_ms.floor() + f64::from(u8::from(rounded_up)), Event::Arrive);
            }
            Event::Retry { tries } => self.arrive(tries),
            Event::End { request, attempt, failed } => self.end(request, attempt, failed),
            Event::Timeout { request } => self.timeout(request),
            Event::Tick => {
                self.input(Input::Tick);
                self.schedule(10.0, Event::Tick);
            }
        }
    }

    fn arrive(&mut self, tries: u32) {
        let request = self.next_request;
        self.next_request += 1;
        self.requests.insert(request, PendingRequest { tries, attempt: 0, target: None });
        self.schedule(DEADLINE_MS as f64, Event::Timeout { request });
        let spec = RequestSpec {
            request: RequestId(request),
            class: Class::Online,
            service: "small".into(),
            workspace: "workspace".into(),
            deadline_ms: self.now_ms + DEADLINE_MS,
            repeatable: true,
            prefix_hash: 0,
            fingerprint: 0,
            body_bytes: 0,
            job: "".into(),
            due_unix_ms: None,
        };
        self.input(Input::Request(spec));
    }

    fn end(&mut self, request: u64, attempt: u32, failed: bool) {
        let Some(pending) = self.requests.get_mut(&request).filter(|it| it.attempt == attempt)
        else {
            return;
        };
        let Some(target) = pending.target.take() else { return };
        *self.at_target.entry(target).or_default() -= 1;
        let lost = AttemptEnd::AnswerLost(MayHaveRunReason::ConnectionLost);
        let end = if failed { lost } else { AttemptEnd::Completed };
        if !failed {
            self.requests.remove(&request);
            let second = self.second();
            self.completed[second] += 1;
        }
        self.input(Input::AttemptEnded { request: RequestId(request), end });
    }

    /// The caller's deadline has passed: the gateway closes the connection to the target.
    fn timeout(&mut self, request: u64) {
        let Some(pending) = self.requests.get_mut(&request) else { return };
        let request_id = RequestId(request);
        match pending.target.take() {
            Some(target) => {
                *self.at_target.entry(target).or_default() -= 1;
                let end = AttemptEnd::AnswerLost(MayHaveRunReason::DeadlinePassed);
                self.input(Input::AttemptEnded { request: request_id, end });
            }
            None => {
                self.input(Input::Cancelled { request: request_id });
                self.give_up(request, 100);
            }
        }
    }

    fn input(&mut self, input: Input) {
        let mut out = Vec::new();
        self.dispatcher.handle(Now::new(self.now_ms, 0), input, &mut out);
        for action in out {
            match action {
                Action::Dispatch { request, target, .. } => self.send(request.0, target),
                Action::Refuse { request, verdict } => {
                    let retry_after_ms = match verdict {
                        Verdict::NotRun { retry_after_ms, .. }
                            if !self.variant.ignores_retry_delay =>
                        {
                            retry_after_ms
                        }
                        _ => 100,
                    };
                    self.give_up(request.0, retry_after_ms);
                }
                Action::Abort { .. } | Action::SlotGrant { .. } | Action::Demand { .. } => {}
            }
        }
    }

    fn give_up(&mut self, request: u64, retry_after_ms: u64) {
        let Some(pending) = self.requests.remove(&request) else { return };
        if pending.tries < MAX_TRIES {
            self.schedule(retry_after_ms as f64, Event::Retry { tries: pending.tries + 1 });
        }
    }

    fn send(&mut self, request: u64, target: Name) {
        let lost =
            self.scenario == Scenario::ZoneLost && self.in_scenario() && is_in_zone_a(&target);
        let half_fail = self.scenario == Scenario::HalfOfRequestsFail && self.in_scenario();
        let second = self.second();
        self.attempts[second] += 1;
        let in_flight = self.at_target.entry(Name::clone(&target)).or_default();
        *in_flight += 1;
        let excess = in_flight.saturating_sub(TARGET_CAPACITY);
        let fails = lost || ((excess > 0 || half_fail) && self.rng.random_bool(0.5));
        let slowdown = f64::from((*in_flight).max(TARGET_CAPACITY)) / f64::from(TARGET_CAPACITY);
        let service_ms = SERVICE_MS * slowdown * self.rng.random_range(0.5..1.5);
        let Some(pending) = self.requests.get_mut(&request) else { return };
        pending.attempt += 1;
        pending.target = Some(target);
        let attempt = pending.attempt;
        self.schedule(service_ms, Event::End { request, attempt, failed: fails });
    }

    fn mean(per_second: &[u32], from_s: usize, to_s: usize) -> f64 {
        f64::from(per_second[from_s..to_s].iter().sum::<u32>()) / (to_s - from_s) as f64
    }
}

fn is_in_zone_a(target: &str) -> bool {
    target.ends_with(['0', '2', '4', '6', '8'])
}

fn main() {
    let default_policy = Policy::default();
    let unlimited_retries = default_policy.with_retry_percent(100_000);
    let unbounded_queue = default_policy.with_queue(10_000_000, usize::MAX);
    let variant =
        |name, policy| Variant { name, policy, overdeclared: false, ignores_retry_delay: false };
    let overdeclared = |name, policy| Variant { overdeclared: true, ..variant(name, policy) };
    let variants = [
        variant("all", default_policy),
        variant("no retry budget", unlimited_retries),
        variant("no queue bound", unbounded_queue),
        Variant { ignores_retry_delay: true, ..variant("all, rude callers", default_policy) },
        Variant { ignores_retry_delay: true, ..variant("no queue bound, rude", unbounded_queue) },
        overdeclared("all, breaking", default_policy),
        overdeclared("no retry budget, breaking", unlimited_retries),
        overdeclared("no queue bound, breaking", unbounded_queue),
    ];
    println!("goodput as a share of capacity ({CAPACITY_PER_S}/s)");
    println!(
        "{:<27} {:>5} {:>5} {:>5} {:>5} {:>9} {:>5} {:>9} {:>7} {:>9}",
        "variant", "0.5", "1", "2", "4", "after 4", "zone", "after", "half", "attempts"
    );
    for variant in variants {
        print_row(variant);
    }
}

/// Prints goodput under each load, in the last ten seconds after the highest one, and during and after a lost zone.
/// The last columns are goodput and attempts per answer while all targets fail half of the requests.
fn print_row(variant: Variant) {
    let during =
        |it: &Simulation| Simulation::mean(&it.completed, 15, SCENARIO_END_S) / CAPACITY_PER_S;
    let after = |it: &Simulation| Simulation::mean(&it.completed, 50, SIMULATED_S) / CAPACITY_PER_S;
    let loads = [0.5, 1.0, 2.0, 4.0].map(|it| Simulation::new(variant, Scenario::Load(it)).run());
    let [half, one, two, four] = loads.each_ref().map(during);
    let after_four = after(&loads[3]);
    let zone = Simulation::new(variant, Scenario::ZoneLost).run();
    let half_failed = Simulation::new(variant, Scenario::HalfOfRequestsFail).run();
    let attempts = Simulation::mean(&half_failed.attempts, 15, SCENARIO_END_S)
        / Simulation::mean(&half_failed.completed, 15, SCENARIO_END_S);
    println!(
        "{:<27} {half:>5.2} {one:>5.2} {two:>5.2} {four:>5.2} {after_four:>9.2} {:>5.2} {:>9.2} {:>7.2} {attempts:>9.2}",
        variant.name,
        during(&zone),
        after(&zone),
        during(&half_failed),
    );
}
