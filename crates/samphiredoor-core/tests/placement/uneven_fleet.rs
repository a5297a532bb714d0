//! A simulated fleet in virtual time whose targets differ in speed, are disturbed for some hundred milliseconds at a time,
//! and may fail requests.
//!
//! Each gateway has a real placement. Gateways of one zone are a cell: they send each other their loads and news every
//! 20 ms, and other zones get summaries every 100 ms.

use std::collections::{HashMap, VecDeque};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use samphiredoor_core::{
    Name,
    dispatch::{Class, RequestId},
    overload::{Activation, OverloadNews, OverloadPolicy, merge_news},
    placement::{
        Action, AttemptEnd, CallerTerms, GatewayState, Input, Placement, ReportedLoad, RequestSpec,
        name_hash, sum_states,
    },
};
use smallvec::SmallVec;

use crate::harness::{SLOTS, entry, location};

const STEP_MS: u64 = 5;
const WARMUP_MS: u64 = 3_000;
const ZONES: [&str; 2] = ["north", "south"];
const GATEWAYS_PER_ZONE: usize = 9;
const TARGETS_PER_ZONE: usize = 12;
const STATUS_INTERVAL_MS: u64 = 20;
const SUMMARY_INTERVAL_MS: u64 = 100;
const DELAY_MS: u64 = 5;
/// Work of an online request, in milliseconds at a target of usual speed.
const ONLINE_WORK_MS: f64 = 750.0;
/// Work until the first event.
const FIRST_EVENT_WORK_MS: f64 = 40.0;
/// Work of a whole item: that of six online requests.
const ITEM_WORK_MS: f64 = 4_500.0;
const ITEM_DUE_MS: u64 = 18_000;
const OBJECTIVE_MS: u64 = 300;
/// Online requests arrive in waves: length and period, and rates relative to the mean.
const WAVE_MS: u64 = 2_400;
const WAVE_PERIOD_MS: u64 = 6_000;
const WAVE_FACTOR: f64 = 1.91;
const CALM_FACTOR: f64 = 0.39;
const DISTURBANCE_MS: u64 = 600;
const DISTURBANCE_FACTOR: f64 = 2.5;
/// Time after which a lost answer is noticed.
const LOST_AFTER_MS: u64 = 100;

/// Arriving work, and the differences between targets.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    /// Mean fraction of all slots that online requests need at targets of usual speed.
    pub online_part: f64,
    /// The same of items.
    pub item_part: f64,
    /// Lasting factors of the targets in turn.
    pub lasting: &'static [f64],
    /// Mean fraction of the time in which a target is disturbed.
    pub disturbed_part: f64,
    /// Each how many of the targets fails requests; 0 for none.
    pub grey_one_in: usize,
    /// Fraction of the requests that such a target fails.
    pub grey_failures: f64,
    /// Fraction of the requests that may run only once.
    pub single_run_part: f64,
    /// Whether targets report the speeds of their hosts.
    pub reports: bool,
    /// Fraction of the requests that have one of a few prefixes.
    pub affinity_part: f64,
    pub lasts_ms: u64,
}

/// Measurements of a simulation.
#[derive(Debug, Default, Clone)]
pub struct Outcome {
    pub online: u32,
    pub in_objective: u32,
    pub refused: u32,
    pub single_run: u32,
    pub single_run_failed: u32,
    pub repeatable_failed: u32,
    /// Time from the arrival to the end of the answer, summed over all online requests.
    pub answered_ms: u64,
    pub answered: u32,
    pub items_done: u32,
    pub items_preempted: u32,
    /// Online requests and items that each target was sent.
    pub sent: Vec<(u32, u32)>,
}

impl Outcome {
    /// Fraction of the online requests whose first event met the objective.
    pub fn in_objective(&self) -> f64 {
        f64::from(self.in_objective) / f64::from(self.online)
    }

    /// Mean time from the arrival of an online request to the end of its answer.
    pub fn mean_run_ms(&self) -> f64 {
        self.answered_ms as f64 / f64::from(self.answered.max(1))
    }

    /// Fraction of the requests that may run only once and failed.
    pub fn single_run_failures(&self) -> f64 {
        f64::from(self.single_run_failed) / f64::from(self.single_run.max(1))
    }
}

struct Request {
    gateway: usize,
    spec: RequestSpec,
    arrived_ms: u64,
    left_work_ms: f64,
    runs: u32,
    first_event_at_work_ms: Option<f64>,
    counted: bool,
}

struct Engine {
    name: Name,
    lasting: f64,
    disturbed_until_ms: u64,
    is_grey: bool,
    /// Running requests, and when the answer of each is lost.
    running: Vec<(RequestId, Option<u64>)>,
    queue: VecDeque<RequestId>,
}

impl Engine {
    fn factor(&self, now_ms: u64) -> f64 {
        let disturbance = if now_ms < self.disturbed_until_ms { DISTURBANCE_FACTOR } else { 1.0 };
        self.lasting * disturbance
    }
}

struct Message {
    due_ms: u64,
    to: usize,
    sender: Name,
    state: GatewayState,
    news: OverloadNews,
}

pub struct UnevenFleet {
    setup: Setup,
    now_ms: u64,
    rng: SmallRng,
    placements: Vec<Placement>,
    names: Vec<Name>,
    states: Vec<(GatewayState, OverloadNews)>,
    engines: Vec<Engine>,
    by_name: HashMap<Name, usize>,
    at_target: HashMap<RequestId, usize>,
    requests: HashMap<RequestId, Request>,
    messages: VecDeque<Message>,
    next_request: u64,
    outcome: Outcome,
}

impl UnevenFleet {
    pub fn new(seed: u64, setup: Setup, activation: Option<Activation>) -> UnevenFleet {
        let targets = ZONES.len() * TARGETS_PER_ZONE;
        let engine = |it: usize| Engine {
            name: format!("t-{it:02}").into(),
            lasting: setup.lasting[it % setup.lasting.len()],
            disturbed_until_ms: 0,
            is_grey: setup.grey_one_in > 0 && it.is_multiple_of(setup.grey_one_in),
            running: Vec::new(),
            queue: VecDeque::new(),
        };
        let engines: Vec<Engine> = (0..targets).map(engine).collect();
        let by_name =
            engines.iter().enumerate().map(|(at, it)| (Name::clone(&it.name), at)).collect();
        let mut fleet = UnevenFleet {
            setup,
            now_ms: 12_000,
            rng: SmallRng::seed_from_u64(seed),
            placements: Vec::new(),
            names: Vec::new(),
            states: Vec::new(),
            engines,
            by_name,
            at_target: HashMap::new(),
            requests: HashMap::new(),
            messages: VecDeque::new(),
            next_request: 1,
            outcome: Outcome::default(),
        };
        for gateway in 0..ZONES.len() * GATEWAYS_PER_ZONE {
            fleet.add_gateway(seed, gateway, activation);
        }
        fleet
    }

    fn add_gateway(&mut self, seed: u64, gateway: usize, activation: Option<Activation>) {
        let name = Name::from(format!("gateway-{gateway:02}"));
        let zone = gateway / GATEWAYS_PER_ZONE;
        let own = location("brisbane", ZONES[zone]);
        let mut placement = Placement::new(Name::clone(&name), own, seed + gateway as u64);
        if let Some(activation) = activation {
            placement = placement.with_overload(OverloadPolicy::new(activation));
        }
        let zone_of = |target: usize| ZONES[target / TARGETS_PER_ZONE];
        let entries = self.engines.iter().enumerate();
        let entries = entries.map(|(at, it)| entry(&it.name, location("brisbane", zone_of(at))));
        let mut out = Vec::new();
        placement.handle(self.now_ms, Input::Targets(entries.collect()), &mut out);
        let own_targets = &self.engines[zone * TARGETS_PER_ZONE..(zone + 1) * TARGETS_PER_ZONE];
        let own_targets = own_targets.iter().map(|it| name_hash(&it.name)).collect();
        placement.handle(self.now_ms, Input::CellTargets(own_targets), &mut out);
        self.placements.push(placement);
        self.names.push(name);
        self.states.push(Default::default());
    }

    pub fn run(&mut self) -> Outcome {
        let measured_from_ms = self.now_ms + WARMUP_MS;
        let end_ms = measured_from_ms + self.setup.lasts_ms;
        self.outcome.sent = vec![(0, 0); self.engines.len()];
        while self.now_ms < end_ms {
            if self.now_ms == measured_from_ms {
                let sent = vec![(0, 0); self.engines.len()];
                self.outcome = Outcome { sent, ..Outcome::default() };
                self.requests.values_mut().for_each(|it| it.counted = false);
            }
            self.step();
        }
        std::mem::take(&mut self.outcome)
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        for target in 0..self.engines.len() {
            self.disturb(target);
            self.work(target);
        }
        self.deliver();
        self.arrive();
        if self.now_ms.is_multiple_of(STATUS_INTERVAL_MS) {
            self.send_statuses();
        }
        if self.now_ms.is_multiple_of(SUMMARY_INTERVAL_MS) {
            self.send_summaries();
        }
    }

    fn disturb(&mut self, target: usize) {
        let part = self.setup.disturbed_part;
        let starts = part / (1.0 - part) * STEP_MS as f64 / DISTURBANCE_MS as f64;
        let engine = &mut self.engines[target];
        if self.now_ms >= engine.disturbed_until_ms && self.rng.random_bool(starts) {
            engine.disturbed_until_ms = self.now_ms + DISTURBANCE_MS;
        }
    }

    fn work(&mut self, target: usize) {
        let done = STEP_MS as f64 / self.engines[target].factor(self.now_ms);
        for (request, lost_ms) in self.engines[target].running.clone() {
            let running = self.requests.get_mut(&request).unwrap();
            running.left_work_ms -= done;
            let (left, gateway) = (running.left_work_ms, running.gateway);
            if lost_ms.is_some_and(|it| self.now_ms >= it) {
                self.lose(target, request);
            } else if running.first_event_at_work_ms.is_some_and(|it| left <= it) {
                running.first_event_at_work_ms = None;
                self.first_event(target, request);
                self.report(gateway, target);
            } else if left <= 0.0 {
                self.remove(target, request);
                let ended = self.requests.remove(&request).unwrap();
                if ended.spec.class == Class::Batch {
                    self.outcome.items_done += 1;
                } else {
                    self.outcome.answered += 1;
                    self.outcome.answered_ms += self.now_ms - ended.arrived_ms;
                }
                self.input(gateway, Input::Ended { request, end: AttemptEnd::Answered });
            }
        }
        self.admit(target);
    }

    fn first_event(&mut self, _target: usize, request: RequestId) {
        let state = &self.requests[&request];
        if state.spec.class == Class::Online && state.counted && state.runs == 1 {
            let in_objective = self.now_ms - state.arrived_ms <= OBJECTIVE_MS;
            self.outcome.in_objective += u32::from(in_objective);
        }
    }

    fn report(&mut self, gateway: usize, target: usize) {
        let engine = &self.engines[target];
        let percent = (100.0 * engine.factor(self.now_ms)).round() as u32;
        let load = ReportedLoad {
            running: engine.running.len() as u32,
            waiting: engine.queue.len() as u32,
            slots: SLOTS,
            work_percent: self.setup.reports.then_some(percent),
        };
        let target = Name::clone(&engine.name);
        self.input(gateway, Input::LoadReport { target, load });
    }

    fn lose(&mut self, target: usize, request: RequestId) {
        self.remove(target, request);
        let lost = &self.requests[&request];
        let (gateway, counted, runs) = (lost.gateway, lost.counted, lost.runs);
        let (class, repeatable) = (lost.spec.class, lost.spec.terms.is_repeatable);
        self.input(gateway, Input::Ended { request, end: AttemptEnd::Lost });
        if class == Class::Batch || (repeatable && runs < 2) {
            let name = Name::clone(&self.engines[target].name);
            let lost = self.requests.get_mut(&request).unwrap();
            if class == Class::Online {
                lost.spec.tried_targets.push(name);
                lost.left_work_ms = ONLINE_WORK_MS;
            }
            self.place(request);
            return;
        }
        self.requests.remove(&request);
        if counted {
            self.outcome.repeatable_failed += u32::from(repeatable);
            self.outcome.single_run_failed += u32::from(!repeatable);
        }
    }

    fn remove(&mut self, target: usize, request: RequestId) {
        let engine = &mut self.engines[target];
        engine.running.retain(|(it, _)| *it != request);
        engine.queue.retain(|it| *it != request);
        self.at_target.remove(&request);
    }

    fn admit(&mut self, target: usize) {
        while self.engines[target].running.len() < SLOTS as usize
            && let Some(request) = self.engines[target].queue.pop_front()
        {
            let lost =
                self.engines[target].is_grey && self.rng.random_bool(self.setup.grey_failures);
            let lost_ms = lost.then_some(self.now_ms + LOST_AFTER_MS);
            let running = self.requests.get_mut(&request).unwrap();
            running.runs += 1;
            running.first_event_at_work_ms = Some(running.left_work_ms - FIRST_EVENT_WORK_MS);
            self.engines[target].running.push((request, lost_ms));
        }
    }

    fn count_arrivals(&mut self, mean: f64) -> usize {
        mean.floor() as usize + usize::from(self.rng.random_bool(mean.fract()))
    }

    fn arrive(&mut self) {
        let slots = self.engines.len() as f64 * f64::from(SLOTS);
        let in_wave = self.now_ms % WAVE_PERIOD_MS < WAVE_MS;
        let factor = if in_wave { WAVE_FACTOR } else { CALM_FACTOR };
        let per_step = slots * STEP_MS as f64;
        let online = factor * self.setup.online_part * per_step / ONLINE_WORK_MS;
        for _ in 0..self.count_arrivals(online) {
            self.add(Class::Online);
        }
        for _ in 0..self.count_arrivals(self.setup.item_part * per_step / ITEM_WORK_MS) {
            self.add(Class::Batch);
        }
    }

    fn add(&mut self, class: Class) {
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let single_run = self.rng.random_bool(self.setup.single_run_part);
        let has_prefix = self.rng.random_bool(self.setup.affinity_part);
        let prefix = if has_prefix { self.rng.random_range(1..40) } else { 0 };
        let (work_ms, wait_ms) = match class {
            Class::Online => (ONLINE_WORK_MS, OBJECTIVE_MS / 5),
            Class::Batch => (ITEM_WORK_MS, ITEM_DUE_MS),
        };
        let spec = RequestSpec {
            request,
            class,
            service: "reader".into(),
            priority: 0,
            affinity: prefix,
            tried_targets: SmallVec::new(),
            deadline_ms: self.now_ms + wait_ms,
            prior_run_ms: 0,
            resumes: None,
            terms: CallerTerms {
                share_key: 0,
                arrived_ms: self.now_ms,
                objective_ms: OBJECTIVE_MS,
                deadline_ms: self.now_ms + 5_000,
                full_wait_ms: 5_000,
                is_repeatable: !single_run,
            },
        };
        if class == Class::Online {
            self.outcome.online += 1;
            self.outcome.single_run += u32::from(single_run);
        }
        let gateway = self.rng.random_range(0..self.placements.len());
        let state = Request {
            gateway,
            spec,
            arrived_ms: self.now_ms,
            left_work_ms: work_ms,
            runs: 0,
            first_event_at_work_ms: None,
            counted: true,
        };
        self.requests.insert(request, state);
        self.place(request);
    }

    fn place(&mut self, request: RequestId) {
        let state = &self.requests[&request];
        let mut spec = state.spec.clone();
        let gateway = state.gateway;
        match spec.class {
            Class::Online => spec.deadline_ms = self.now_ms + OBJECTIVE_MS / 5,
            Class::Batch => spec.prior_run_ms = (ITEM_WORK_MS - state.left_work_ms) as u64,
        }
        self.input(gateway, Input::Request(spec));
    }

    fn input(&mut self, gateway: usize, input: Input) {
        let mut out = Vec::new();
        self.placements[gateway].handle(self.now_ms, input, &mut out);
        for action in out {
            self.apply(gateway, action);
        }
    }

    fn apply(&mut self, gateway: usize, action: Action) {
        match action {
            Action::Dispatch { request, target, .. } => {
                let target = self.by_name[&target];
                let sent = &mut self.outcome.sent[target];
                match self.requests[&request].spec.class {
                    Class::Online => sent.0 += 1,
                    Class::Batch => sent.1 += 1,
                }
                self.at_target.insert(request, target);
                self.engines[target].queue.push_back(request);
                self.admit(target);
            }
            Action::Preempt { request } => {
                let Some(target) = self.at_target.get(&request).copied() else { return };
                self.remove(target, request);
                self.outcome.items_preempted += 1;
                self.admit(target);
                self.input(gateway, Input::Ended { request, end: AttemptEnd::Cut });
                self.place(request);
            }
            Action::Refuse { request, .. } => {
                let refused = self.requests.remove(&request).unwrap();
                self.outcome.refused += u32::from(refused.counted);
            }
        }
    }

    fn deliver(&mut self) {
        while self.messages.front().is_some_and(|it| it.due_ms <= self.now_ms) {
            let Some(message) = self.messages.pop_front() else { return };
            let peer = Name::clone(&message.sender);
            self.input(message.to, Input::Peer { peer, state: message.state });
            if !message.news.is_empty() {
                let input = Input::PeerNews { peer: message.sender, news: message.news };
                self.input(message.to, input);
            }
        }
        for gateway in 0..self.placements.len() {
            if self.placements[gateway].waiting().0 > 0 {
                self.input(gateway, Input::Tick);
            }
        }
    }

    fn send_statuses(&mut self) {
        for from in 0..self.placements.len() {
            let state = self.placements[from].state();
            let news = self.placements[from].news(self.now_ms);
            self.states[from] = (state.clone(), news.clone());
            let zone = from / GATEWAYS_PER_ZONE;
            for to in zone * GATEWAYS_PER_ZONE..(zone + 1) * GATEWAYS_PER_ZONE {
                if to != from {
                    let sender = Name::clone(&self.names[from]);
                    self.send(to, sender, (state.clone(), news.clone()));
                }
            }
            self.placements[from].take_trust_changes(self.now_ms);
        }
    }

    fn send_summaries(&mut self) {
        for zone in 0..ZONES.len() {
            let members = &self.states[zone * GATEWAYS_PER_ZONE..(zone + 1) * GATEWAYS_PER_ZONE];
            let state = sum_states(members.iter().map(|it| &it.0), |_| false);
            let news = merge_news(members.iter().map(|it| &it.1));
            for to in (0..self.placements.len()).filter(|it| it / GATEWAYS_PER_ZONE != zone) {
                let sender = Name::from(format!("cell {zone}"));
                self.send(to, sender, (state.clone(), news.clone()));
            }
        }
    }

    fn send(&mut self, to: usize, sender: Name, (state, news): (GatewayState, OverloadNews)) {
        let due_ms = self.now_ms + DELAY_MS;
        self.messages.push_back(Message { due_ms, to, sender, state, news });
    }

    /// Lasting factor of each target.
    pub fn lasting(&self) -> Vec<f64> {
        self.engines.iter().map(|it| it.lasting).collect()
    }
}
