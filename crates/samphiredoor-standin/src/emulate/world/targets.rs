//! Targets: engines that are reached, step, and can be down.

use samphiredoor_core::{
    Name,
    dispatch::{Class, Location},
    placement::{AttemptEnd, TargetEntry, TargetState},
};

use super::{
    Event, SERVICE, World,
    requests::{Attempt, Stage},
    zone,
};
use crate::emulate::{
    engine::{Engine, Progress, Sequence},
    scenario,
};

/// A target.
#[derive(Debug)]
pub struct Target {
    pub name: Name,
    pub location: Location,
    pub engine: Engine,
    /// Faults that keep it down.
    down: u32,
    /// Number of its start.
    pub start: u64,
}

impl Target {
    /// All targets of a fleet.
    pub fn all(config: &scenario::Targets) -> Vec<Target> {
        let target = |number| Target {
            name: name_of(number),
            location: zone(&config.zones, number, config.count),
            engine: Engine::new(config.clone()),
            down: 0,
            start: 0,
        };
        (0..config.count).map(target).collect()
    }

    /// Whether it runs.
    pub fn is_up(&self) -> bool {
        self.down == 0
    }

    /// As discovery tells it to a gateway at a place.
    pub fn entry(&self, slots: u32, location: &Location) -> TargetEntry {
        TargetEntry {
            name: Name::clone(&self.name),
            service: SERVICE.into(),
            address: ([127, 0, 0, 1], 80).into(),
            location: location.clone(),
            slots,
            state: TargetState::Ready,
            started_unix_ms: self.start,
        }
    }
}

fn name_of(number: usize) -> Name {
    format!("target-{number:03}").into()
}

/// Number of a target by its name.
pub fn number_of(name: &str) -> Option<usize> {
    name.strip_prefix("target-")?.parse().ok()
}

impl World<'_> {
    pub(super) fn at_target(&mut self, attempt: Attempt, target: usize) {
        let request = attempt.request();
        let run = &self.runs[request];
        let gateway = run.gateway;
        if !self.targets[target].is_up() {
            self.answer(gateway, target, attempt, AttemptEnd::Unreachable);
            return;
        }
        // It was cut on its way.
        if run.attempt != attempt || run.stage != Stage::Sent(target) {
            return;
        }
        let asked = &self.requests[request];
        let sequence = Sequence::new(
            attempt.0,
            (asked.beginning, asked.shared_tokens),
            asked.own_tokens + run.made,
            (run.made, asked.output_tokens),
        );
        if !self.targets[target].engine.offer(sequence) {
            self.answer(gateway, target, attempt, AttemptEnd::Refused);
            return;
        }
        self.work(target);
    }

    pub(super) fn cut_at_target(&mut self, attempt: Attempt, target: usize) {
        self.targets[target].engine.drop_attempt(attempt.0);
    }

    fn answer(&mut self, gateway: usize, target: usize, attempt: Attempt, end: AttemptEnd) {
        let at_us = self.now_us + self.way_us(gateway, target);
        self.events.push(at_us, Event::Ended { attempt, end });
    }

    fn work(&mut self, target: usize) {
        let Target { engine, start, .. } = &mut self.targets[target];
        if engine.stepping {
            return;
        }
        if let Some(step_us) = engine.begin_step() {
            let start = *start;
            self.events.push(self.now_us + step_us, Event::Step { target, start });
        }
    }

    pub(super) fn step(&mut self, target: usize, start: u64) {
        if self.targets[target].start != start || !self.targets[target].is_up() {
            return;
        }
        let load = self.targets[target].engine.load();
        for (attempt, progress) in self.targets[target].engine.end_step() {
            let attempt = Attempt(attempt);
            let gateway = self.runs[attempt.request()].gateway;
            let at_us = self.now_us + self.way_us(gateway, target);
            let event = match progress {
                Progress::Begun => Event::Begun { attempt, load },
                Progress::Ended => Event::Ended { attempt, end: AttemptEnd::Answered },
            };
            self.events.push(at_us, event);
        }
        self.work(target);
    }

    pub(super) fn stop_target(&mut self, target: usize) {
        let attempts: Vec<u64> = self.targets[target].engine.attempts().collect();
        for attempt in attempts {
            let made = self.targets[target].engine.made(attempt).unwrap_or(0);
            let attempt = Attempt(attempt);
            let request = attempt.request();
            let run = &mut self.runs[request];
            if run.attempt != attempt || run.stage != Stage::Sent(target) {
                continue;
            }
            if self.requests[request].class == Class::Batch {
                run.made = made.min(self.requests[request].output_tokens - 1);
                run.was_cut(self.now_us);
            }
            let gateway = run.gateway;
            self.answer(gateway, target, attempt, AttemptEnd::Lost);
        }
        self.targets[target].down += 1;
        self.targets[target].engine = Engine::new(self.scenario.targets.clone());
    }

    pub(super) fn start_target(&mut self, target: usize) {
        self.targets[target].down -= 1;
        self.targets[target].start += 1;
    }
}
