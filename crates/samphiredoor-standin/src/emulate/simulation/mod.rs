//! Discrete-event simulation of a fleet: gateways that run the real placement, models of engines, callers and the
//! network, and injected faults.

mod faults;
mod gateways;
mod peer_messages;
mod requests;
mod targets;

use std::rc::Rc;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use samphiredoor_core::{
    Name,
    dispatch::Location,
    placement::{AttemptEnd, Cells, GatewayState},
};

use super::{
    events::Events,
    mechanism::Mechanism,
    network::Network,
    outcome::{End, Outcome},
    scenario::Scenario,
    traffic::{Request, micros},
};
use gateways::Gateway;
use requests::{Attempt, RequestState};
use targets::Target;

/// Mixed into the seed, so that the simulation's random numbers are not those of the traffic.
const RUN_SEED: u64 = 0x5eed_0001;
/// The service that all targets serve.
const SERVICE: &str = "service";
/// Time of the first event. It is not 0, because the clock of a real process does not start at 0.
const START_US: u64 = 10_000_000;

/// An event of the simulation.
#[derive(Debug)]
enum Event {
    /// A caller's request or an item of a job reaches a gateway.
    Arrival(usize),
    /// A gateway requests a slot at a target from its placement.
    RequestSlot { request: usize, generation: u32 },
    /// A request reaches a target.
    TargetArrival { attempt: Attempt, target: usize },
    /// The cancellation of an attempt reaches a target.
    CancelAtTarget { attempt: Attempt, target: usize },
    /// A target ends a step.
    Step { target: usize, incarnation: u64 },
    /// A gateway receives the first token of an attempt, with the target's numbers of running and waiting requests.
    FirstToken { attempt: Attempt, load: (u32, u32) },
    /// A gateway learns that an attempt has ended.
    Ended { attempt: Attempt, end: AttemptEnd },
    /// The deadline of a request has passed.
    Deadline(usize),
    /// A gateway checks its waiting requests and sends updates.
    Tick { gateway: usize, incarnation: u64 },
    /// A state update of a gateway or a cell reaches a gateway, which forwards it to its cell if `forwards` is set.
    Message { to: usize, from: Name, state: Rc<GatewayState>, forwards: bool },
    /// Cells send each other summaries: the near ones, or those in other regions.
    Summaries { is_far: bool },
    /// A fault begins or ends.
    Fault { number: usize, begins: bool },
    /// Gateways discover which targets are up.
    Discovery,
    /// The partial output of running items is saved.
    SaveOutputs,
}

/// State of a simulated fleet.
pub struct Simulation<'a> {
    scenario: &'a Scenario,
    without: &'a [Mechanism],
    requests: &'a [Request],
    now_us: u64,
    events: Events<Event>,
    rng: SmallRng,
    network: Network,
    cells: Cells,
    gateways: Vec<Gateway>,
    targets: Vec<Target>,
    states: Vec<RequestState>,
    open: usize,
    outcome: Outcome,
}

impl<'a> Simulation<'a> {
    /// Creates a fleet that has just started, and schedules its requests and faults.
    pub fn new(
        scenario: &'a Scenario,
        without: &'a [Mechanism],
        requests: &'a [Request],
        seed: u64,
    ) -> Simulation<'a> {
        let mut rng = SmallRng::seed_from_u64(seed ^ RUN_SEED);
        let network = Network::new(scenario.network.clone(), rng.random());
        let targets = Target::all(&scenario.targets);
        let (gateways, cells) = Gateway::all(scenario, &targets);
        let mut simulation = Simulation {
            scenario,
            without,
            requests,
            now_us: START_US,
            events: Events::new(),
            rng,
            network,
            cells,
            gateways,
            targets,
            states: requests.iter().map(RequestState::new).collect(),
            open: requests.len(),
            outcome: Outcome::default(),
        };
        simulation.schedule_initial_events();
        simulation
    }

    /// Processes events until all requests have ended or the time is up.
    pub fn run(mut self) -> Outcome {
        let end_us = START_US + micros(self.scenario.total_s());
        while let Some((at_us, event)) = self.events.pop()
            && at_us <= end_us
            && self.open > 0
        {
            self.now_us = at_us;
            self.outcome.events += 1;
            self.handle(event);
        }
        for request in 0..self.requests.len() {
            self.finish(request, End::TimedOut);
        }
        let gateway_s = self.gateways.len() as f64 * (self.now_us - START_US) as f64 / 1e6;
        self.outcome.messages_per_gateway_s = self.outcome.messages as f64 / gateway_s.max(1e-9);
        self.outcome
    }

    fn schedule_initial_events(&mut self) {
        for (number, request) in self.requests.iter().enumerate() {
            self.events.push(START_US + request.arrives_us, Event::Arrival(number));
            self.events.push(START_US + request.deadline_us, Event::Deadline(number));
        }
        for (number, fault) in self.scenario.faults.iter().enumerate() {
            let begins_us = START_US + micros(fault.at_s);
            self.events.push(begins_us, Event::Fault { number, begins: true });
            let ends_us = begins_us + micros(fault.lasts_s);
            self.events.push(ends_us, Event::Fault { number, begins: false });
        }
        for gateway in 0..self.gateways.len() {
            self.start_gateway(gateway);
        }
        if self.cells.len() > 1 {
            self.events.push(START_US, Event::Summaries { is_far: false });
            self.events.push(START_US, Event::Summaries { is_far: true });
        }
        if self.saves_output() {
            self.events.push(START_US, Event::SaveOutputs);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(request) => self.handle_arrival(request),
            Event::RequestSlot { request, generation } => self.request_slot(request, generation),
            Event::TargetArrival { attempt, target } => self.arrive_at_target(attempt, target),
            Event::CancelAtTarget { attempt, target } => self.cancel_at_target(attempt, target),
            Event::Step { target, incarnation } => self.step(target, incarnation),
            Event::FirstToken { attempt, load } => self.handle_first_token(attempt, load),
            Event::Ended { attempt, end } => self.handle_attempt_end(attempt, end),
            Event::Deadline(request) => self.handle_deadline(request),
            Event::Tick { gateway, incarnation } => self.tick(gateway, incarnation),
            Event::Message { to, from, state, forwards } => {
                self.receive_message(to, from, state, forwards);
            }
            Event::Summaries { is_far } => self.send_summaries(is_far),
            Event::Fault { number, begins } => self.handle_fault(number, begins),
            Event::Discovery => self.update_targets(),
            Event::SaveOutputs => self.save_outputs(),
        }
    }

    fn is_enabled(&self, mechanism: Mechanism) -> bool {
        !self.without.contains(&mechanism)
    }

    fn saves_output(&self) -> bool {
        self.scenario.jobs.keep_output_ms > 0 && self.is_enabled(Mechanism::SavedOutput)
    }

    fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    fn after_ms(&self, ms: u64) -> u64 {
        self.now_us + ms * 1_000
    }

    /// Time since the start of the traffic, on which the times of requests are based.
    fn elapsed_us(&self) -> u64 {
        self.now_us - START_US
    }

    fn latency_us(&self, gateway: usize, target: usize) -> u64 {
        self.network.latency_us(&self.gateways[gateway].location, &self.targets[target].location)
    }

    fn random_live_gateway(&mut self) -> Option<usize> {
        let live: Vec<usize> =
            (0..self.gateways.len()).filter(|it| self.gateways[*it].is_up()).collect();
        if live.is_empty() {
            return None;
        }
        Some(live[self.rng.random_range(0..live.len())])
    }
}

/// Location of process `number` of `count`, distributed evenly over the zones.
fn zone_of(zones: &[String], number: usize, count: usize) -> Location {
    let zone = &zones[number * zones.len() / count];
    let (region, zone) = zone.split_once('/').unwrap_or((zone, zone));
    Location { region: region.into(), availability_zone: zone.into() }
}
