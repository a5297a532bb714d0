//! Simulated targets: arrival and cancellation of attempts, steps of the engine, and outages.

use samphiredoor_core::{
    Name,
    dispatch::{Class, Location},
    placement::{AttemptEnd, TargetEntry, TargetState},
};

use super::{
    Event, SERVICE, Simulation,
    requests::{Attempt, Stage},
    zone_of,
};
use crate::emulate::{
    engine::{Engine, Progress, Sequence},
    scenario,
};

/// A simulated target.
#[derive(Debug)]
pub struct Target {
    pub name: Name,
    pub location: Location,
    pub engine: Engine,
    /// Faults that currently keep it down.
    active_outages: u32,
    /// Number of its starts after outages. Steps that were scheduled in an earlier incarnation are ignored, and
    /// discovery reports this number as the time of its start.
    pub incarnation: u64,
}

impl Target {
    /// Creates all targets of a fleet.
    pub fn all(config: &scenario::Targets) -> Vec<Target> {
        let target = |number| Target {
            name: name_of(number),
            location: zone_of(&config.zones, number, config.count),
            engine: Engine::new(config.clone()),
            active_outages: 0,
            incarnation: 0,
        };
        (0..config.count).map(target).collect()
    }

    /// Whether the process is running.
    pub fn is_up(&self) -> bool {
        self.active_outages == 0
    }

    /// Entry of the target list that discovery gives to a gateway, with the given location.
    pub fn entry(&self, slots: u32, location: &Location) -> TargetEntry {
        TargetEntry {
            name: Name::clone(&self.name),
            service: SERVICE.into(),
            address: ([127, 0, 0, 1], 80).into(),
            location: location.clone(),
            slots,
            state: TargetState::Ready,
            software_version: "v1".into(),
            started_unix_ms: self.incarnation,
        }
    }
}

fn name_of(number: usize) -> Name {
    format!("target-{number:03}").into()
}

/// Index of the target with this name.
pub fn number_of(name: &str) -> Option<usize> {
    name.strip_prefix("target-")?.parse().ok()
}

impl Simulation<'_> {
    pub(super) fn arrive_at_target(&mut self, attempt: Attempt, target: usize) {
        let request = attempt.request();
        let state = &self.states[request];
        let gateway = state.gateway;
        if !self.targets[target].is_up() {
            self.send_end(gateway, target, attempt, AttemptEnd::Unreachable);
            return;
        }
        // It was cancelled before it arrived.
        if state.attempt != attempt || state.stage != Stage::Sent(target) {
            return;
        }
        let details = &self.requests[request];
        let sequence = Sequence::new(
            attempt.0,
            (details.prefix, details.shared_tokens),
            details.own_tokens + state.generated,
            (state.generated, details.output_tokens),
        );
        if !self.targets[target].engine.offer(sequence) {
            self.send_end(gateway, target, attempt, AttemptEnd::Refused);
            return;
        }
        self.start_step(target);
    }

    pub(super) fn cancel_at_target(&mut self, attempt: Attempt, target: usize) {
        self.targets[target].engine.drop_attempt(attempt.0);
    }

    fn send_end(&mut self, gateway: usize, target: usize, attempt: Attempt, end: AttemptEnd) {
        let at_us = self.now_us + self.latency_us(gateway, target);
        self.events.push(at_us, Event::Ended { attempt, end });
    }

    /// Begins the next step, unless one is in progress or there is nothing to do.
    fn start_step(&mut self, target: usize) {
        let Target { engine, incarnation, .. } = &mut self.targets[target];
        if engine.is_stepping {
            return;
        }
        if let Some(step_us) = engine.begin_step() {
            let incarnation = *incarnation;
            self.events.push(self.now_us + step_us, Event::Step { target, incarnation });
        }
    }

    pub(super) fn step(&mut self, target: usize, incarnation: u64) {
        if self.targets[target].incarnation != incarnation || !self.targets[target].is_up() {
            return;
        }
        let load = self.targets[target].engine.load();
        for (attempt, progress) in self.targets[target].engine.end_step() {
            let attempt = Attempt(attempt);
            let gateway = self.states[attempt.request()].gateway;
            let at_us = self.now_us + self.latency_us(gateway, target);
            let event = match progress {
                Progress::FirstToken => Event::FirstToken { attempt, load },
                Progress::Finished => Event::Ended { attempt, end: AttemptEnd::Answered },
            };
            self.events.push(at_us, event);
        }
        self.start_step(target);
    }

    /// Kills a target. Its attempts are lost, but gateways keep the output that items have generated so far.
    pub(super) fn stop_target(&mut self, target: usize) {
        let attempts: Vec<u64> = self.targets[target].engine.attempts().collect();
        for attempt in attempts {
            let generated = self.targets[target].engine.generated(attempt).unwrap_or(0);
            let attempt = Attempt(attempt);
            let request = attempt.request();
            let state = &mut self.states[request];
            if state.attempt != attempt || state.stage != Stage::Sent(target) {
                continue;
            }
            if self.requests[request].class == Class::Batch {
                state.generated = generated.min(self.requests[request].output_tokens - 1);
                state.record_partial_run(self.now_us);
            }
            let gateway = state.gateway;
            self.send_end(gateway, target, attempt, AttemptEnd::Lost);
        }
        self.targets[target].active_outages += 1;
        self.targets[target].engine = Engine::new(self.scenario.targets.clone());
    }

    pub(super) fn start_target(&mut self, target: usize) {
        self.targets[target].active_outages -= 1;
        self.targets[target].incarnation += 1;
    }
}
