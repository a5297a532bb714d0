//! Goodput of the dispatcher under overload, after it, and through the loss of an availability zone.
//!
//! Discrete events around one dispatcher: ten targets in two zones, each with room for eight requests of about 100 ms,
//! and callers that want an answer within a second and come back when they get none. `breaking` targets are declared
//! with twice the room that they have, and drop connections above it. `rude` callers come back after 100 ms whatever
//! they are told. All is seeded: the same figures in each run.
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
const ROOM: u32 = 8;
const SERVICE_MS: f64 = 100.0;
const DEADLINE_MS: u64 = 1_000;
const MAX_TRIES: u32 = 8;
const CAPACITY_PER_S: f64 = TARGETS as f64 * ROOM as f64 / SERVICE_MS * 1_000.0;
const CHANGE_S: usize = 10;
const END_S: usize = 30;
const LAST_S: usize = 60;

#[derive(Debug, Clone, Copy)]
struct Variant {
    name: &'static str,
    policy: Policy,
    breaking: bool,
    rude: bool,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Trouble {
    /// Load at this multiple of capacity.
    Load(f64),
    /// Half of the targets break every request, at 0.8 of the whole capacity.
    ZoneLost,
    /// All targets break half of the requests, at 0.8 of the whole capacity.
    HalfBroken,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Return { tries: u32 },
    End { request: u64, attempt: u32, broken: bool },
    Timeout { request: u64 },
    Tick,
}

struct Call {
    tries: u32,
    attempt: u32,
    target: Option<Name>,
}

struct World {
    variant: Variant,
    trouble: Trouble,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    dispatcher: Dispatcher,
    calls: BTreeMap<u64, Call>,
    next_call: u64,
    at_target: BTreeMap<Name, u32>,
    rng: SmallRng,
    good: Vec<u32>,
    attempts: Vec<u32>,
}

fn manifest(breaking: bool) -> Manifest {
    let target = |it: usize| {
        json!({
            "name": format!("target-{it}"),
            "service": "small",
            "address": "127.0.0.1:1",
            "region": "region",
            "availability_zone": if it.is_multiple_of(2) { "a" } else { "b" },
            "owner": "owner",
            "concurrency_limit": if breaking { 2 * ROOM } else { ROOM },
        })
    };
    let declared = json!({
        "services": [{ "name": "small", "kind": "engine" }],
        "targets": (0..TARGETS).map(target).collect::<Vec<_>>(),
    });
    let declared = serde_json::from_value(declared).expect("the declarations have their shape");
    Manifest::new(1, &declared).expect("the declarations make sense")
}

impl World {
    fn new(variant: Variant, trouble: Trouble) -> World {
        let location = Location { region: "region".into(), availability_zone: "a".into() };
        let mut world = World {
            variant,
            trouble,
            now_ms: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            dispatcher: Dispatcher::new(location, SEED).with_policy(variant.policy),
            calls: BTreeMap::new(),
            next_call: 0,
            at_target: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(SEED),
            good: vec![0; LAST_S],
            attempts: vec![0; LAST_S],
        };
        world.input(Input::Manifest(Arc::new(manifest(variant.breaking))));
        world.after(0.0, Event::Arrive);
        world.after(0.0, Event::Tick);
        world
    }

    fn run(mut self) -> World {
        while let Some(Reverse((at_ms, _, event))) = self.events.pop() {
            if at_ms >= LAST_S as u64 * 1_000 {
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

    fn in_trouble(&self) -> bool {
        (CHANGE_S..END_S).contains(&self.second())
    }

    fn rate_per_s(&self) -> f64 {
        let load = match self.trouble {
            Trouble::Load(load) if self.in_trouble() => load,
            Trouble::Load(_) => 0.5,
            Trouble::ZoneLost | Trouble::HalfBroken => 0.8,
        };
        CAPACITY_PER_S * load
    }

    fn after(&mut self, wait_ms: f64, event: Event) {
        self.sequence += 1;
        let at_ms = self.now_ms + wait_ms.round() as u64;
        self.events.push(Reverse((at_ms, self.sequence, event)));
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive => {
                self.call(1);
                let wait_ms = -self.rng.random_range(f64::EPSILON..1.0_f64).ln() * 1_000.0;
                let wait_ms = wait_ms / self.rate_per_s();
                // Times are whole milliseconds: the rest of a wait is kept by chance.
                let rounded_up = self.rng.random_bool(wait_ms.fract());
                self.after(wait_ms.floor() + f64::from(u8::from(rounded_up)), Event::Arrive);
            }
            Event::Return { tries } => self.call(tries),
            Event::End { request, attempt, broken } => self.end(request, attempt, broken),
            Event::Timeout { request } => self.timeout(request),
            Event::Tick => {
                self.input(Input::Tick);
                self.after(10.0, Event::Tick);
            }
        }
    }

    fn call(&mut self, tries: u32) {
        let request = self.next_call;
        self.next_call += 1;
        self.calls.insert(request, Call { tries, attempt: 0, target: None });
        self.after(DEADLINE_MS as f64, Event::Timeout { request });
        let ask = RequestSpec {
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
        self.input(Input::Request(ask));
    }

    fn end(&mut self, request: u64, attempt: u32, broken: bool) {
        let Some(call) = self.calls.get_mut(&request).filter(|it| it.attempt == attempt) else {
            return;
        };
        let Some(target) = call.target.take() else { return };
        *self.at_target.entry(target).or_default() -= 1;
        let lost = AttemptEnd::AnswerLost(MayHaveRunReason::ConnectionLost);
        let end = if broken { lost } else { AttemptEnd::Completed };
        if !broken {
            self.calls.remove(&request);
            let second = self.second();
            self.good[second] += 1;
        }
        self.input(Input::AttemptEnded { request: RequestId(request), end });
    }

    /// The caller's deadline has passed: the door closes the connection to the target.
    fn timeout(&mut self, request: u64) {
        let Some(call) = self.calls.get_mut(&request) else { return };
        let request_id = RequestId(request);
        match call.target.take() {
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
                        Verdict::NotRun { retry_after_ms, .. } if !self.variant.rude => {
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
        let Some(call) = self.calls.remove(&request) else { return };
        if call.tries < MAX_TRIES {
            self.after(retry_after_ms as f64, Event::Return { tries: call.tries + 1 });
        }
    }

    fn send(&mut self, request: u64, target: Name) {
        let lost = self.trouble == Trouble::ZoneLost && self.in_trouble() && is_in_a(&target);
        let half_broken = self.trouble == Trouble::HalfBroken && self.in_trouble();
        let second = self.second();
        self.attempts[second] += 1;
        let beside = self.at_target.entry(Name::clone(&target)).or_default();
        *beside += 1;
        let above = beside.saturating_sub(ROOM);
        let breaks = lost || ((above > 0 || half_broken) && self.rng.random_bool(0.5));
        let slowed = f64::from((*beside).max(ROOM)) / f64::from(ROOM);
        let service_ms = SERVICE_MS * slowed * self.rng.random_range(0.5..1.5);
        let Some(call) = self.calls.get_mut(&request) else { return };
        call.attempt += 1;
        call.target = Some(target);
        let attempt = call.attempt;
        self.after(service_ms, Event::End { request, attempt, broken: breaks });
    }

    fn mean(per_second: &[u32], from_s: usize, to_s: usize) -> f64 {
        f64::from(per_second[from_s..to_s].iter().sum::<u32>()) / (to_s - from_s) as f64
    }
}

fn is_in_a(target: &str) -> bool {
    target.ends_with(['0', '2', '4', '6', '8'])
}

fn main() {
    let whole = Policy::default();
    let unlimited_retries = whole.with_retry_percent(100_000);
    let unbounded_queue = whole.with_queue(10_000_000, usize::MAX);
    let variant = |name, policy| Variant { name, policy, breaking: false, rude: false };
    let breaking = |name, policy| Variant { breaking: true, ..variant(name, policy) };
    let variants = [
        variant("all", whole),
        variant("no retry budget", unlimited_retries),
        variant("no queue bound", unbounded_queue),
        Variant { rude: true, ..variant("all, rude callers", whole) },
        Variant { rude: true, ..variant("no queue bound, rude", unbounded_queue) },
        breaking("all, breaking", whole),
        breaking("no retry budget, breaking", unlimited_retries),
        breaking("no queue bound, breaking", unbounded_queue),
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

/// Goodput under load, in the last ten seconds after the highest one, and the same for the other troubles; attempts are
/// those for each answer while all targets break half of the requests.
fn print_row(variant: Variant) {
    let during = |it: &World| World::mean(&it.good, 15, END_S) / CAPACITY_PER_S;
    let after = |it: &World| World::mean(&it.good, 50, LAST_S) / CAPACITY_PER_S;
    let loads = [0.5, 1.0, 2.0, 4.0].map(|it| World::new(variant, Trouble::Load(it)).run());
    let [half, one, two, four] = loads.each_ref().map(during);
    let after_four = after(&loads[3]);
    let zone = World::new(variant, Trouble::ZoneLost).run();
    let broken = World::new(variant, Trouble::HalfBroken).run();
    let attempts = World::mean(&broken.attempts, 15, END_S) / World::mean(&broken.good, 15, END_S);
    println!(
        "{:<27} {half:>5.2} {one:>5.2} {two:>5.2} {four:>5.2} {after_four:>9.2} {:>5.2} {:>9.2} {:>7.2} {attempts:>9.2}",
        variant.name,
        during(&zone),
        after(&zone),
        during(&broken),
    );
}
