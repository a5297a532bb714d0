//! The life of a request: from its caller to a gateway, to targets, and back.

use samphiredoor_core::{
    Name,
    dispatch::{Class, RequestId},
    placement::{Action, AttemptEnd, Input, ReportedLoad, RequestSpec},
};
use smallvec::SmallVec;

use super::{Event, SERVICE, START_US, World, targets::number_of};
use crate::emulate::{
    mechanism::Mechanism,
    outcome::End,
    scenario::ItemOrder,
    traffic::{Request, micros},
};

/// Part of the aim for which an online request may wait for a place: one in so many.
const QUEUE_PART: u64 = 5;
/// Targets to which one request of a caller is sent at most.
const MOST_SENDS: u32 = 8;
/// Least time that must be left for another send.
const SHORTEST_SEND_US: u64 = 30_000;
/// Time until an item that did not run is tried again.
const NOT_RUN_PAUSE_MS: u64 = 60;
/// Part of the time left for which a caller waits after a refusal: one in so many.
const RETRY_AFTER_PART: u64 = 3;
/// Attempts that a request may have; their numbers stand below it in an attempt's.
const MOST_ATTEMPTS: u64 = 1 << 24;

/// One attempt of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt(pub u64);

impl Attempt {
    fn new(request: usize, number: u64) -> Attempt {
        Attempt(request as u64 * MOST_ATTEMPTS + number % MOST_ATTEMPTS)
    }

    /// Which request.
    pub fn request(self) -> usize {
        (self.0 / MOST_ATTEMPTS) as usize
    }
}

/// Where a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// With its caller.
    Away,
    /// At its gateway, between two attempts.
    Between,
    /// It waits for a place.
    Asked,
    /// Sent to a target.
    Sent(usize),
    /// Over.
    Over,
}

/// State of a request.
#[derive(Debug)]
pub struct Run {
    pub gateway: usize,
    pub stage: Stage,
    /// Grows whenever what was planned for the request does not hold any more.
    pub turn: u32,
    pub attempt: Attempt,
    /// Tokens that its gateway has.
    pub made: u32,
    /// Tokens that are kept for when its gateway dies.
    pub kept: u32,
    /// How long earlier runs of an item took, as far as its gateway knows.
    ran_us: u64,
    sent_us: u64,
    attempts: u64,
    sends: u32,
    retries: u32,
    tried: SmallVec<[Name; 2]>,
    begun_us: Option<u64>,
}

impl Run {
    pub fn new(request: &Request) -> Run {
        Run {
            gateway: request.gateway,
            stage: Stage::Away,
            turn: 0,
            attempt: Attempt(0),
            made: 0,
            kept: 0,
            ran_us: 0,
            sent_us: 0,
            attempts: 0,
            sends: 0,
            retries: 0,
            tried: SmallVec::new(),
            begun_us: None,
        }
    }

    /// Notes the time of a run that was cut and goes on later.
    pub fn was_cut(&mut self, now_us: u64) {
        self.ran_us += now_us - self.sent_us;
    }
}

impl World<'_> {
    pub(super) fn arrives(&mut self, request: usize) {
        if self.runs[request].stage != Stage::Away {
            return;
        }
        if !self.gateways[self.runs[request].gateway].is_up() {
            if let Some(other) = self.live_gateway() {
                self.runs[request].gateway = other;
            }
            let again_us = self.after_ms(self.scenario.callers.reconnect_ms.max(1));
            self.events.push(again_us, Event::Arrives(request));
            return;
        }
        let run = &mut self.runs[request];
        run.stage = Stage::Between;
        run.sends = 0;
        run.tried.clear();
        let turn = run.turn;
        self.asks(request, turn);
    }

    pub(super) fn asks(&mut self, request: usize, turn: u32) {
        let run = &mut self.runs[request];
        if run.stage != Stage::Between || run.turn != turn {
            return;
        }
        run.stage = Stage::Asked;
        run.attempts += 1;
        run.attempt = Attempt::new(request, run.attempts);
        let gateway = run.gateway;
        let ask = self.ask(request);
        self.input(gateway, Input::Request(ask));
    }

    fn ask(&self, request: usize) -> RequestSpec {
        let run = &self.runs[request];
        let asked = &self.requests[request];
        let affinity = if self.has(Mechanism::Affinity) { asked.beginning } else { 0 };
        RequestSpec {
            request: RequestId(run.attempt.0),
            class: asked.class,
            service: SERVICE.into(),
            priority: asked.priority,
            affinity,
            tried_targets: run.tried.clone(),
            deadline_ms: self.until_ms(request),
            prior_run_ms: run.ran_us / 1_000,
        }
    }

    // For items it only gives their order.
    fn until_ms(&self, request: usize) -> u64 {
        let asked = &self.requests[request];
        match (asked.class, self.scenario.jobs.order) {
            (Class::Online, _) if !self.has(Mechanism::Queue) => self.now_ms(),
            (Class::Online, _) => self.now_ms() + asked.aim_after_ms / QUEUE_PART,
            (Class::Batch, ItemOrder::Due) => (START_US + asked.aim_us) / 1_000,
            (Class::Batch, ItemOrder::Newest) => u64::MAX - asked.arrives_us,
            (Class::Batch, ItemOrder::LeastLeft) => {
                u64::from(asked.output_tokens - self.runs[request].made)
            }
        }
    }

    pub(super) fn act(&mut self, gateway: usize, action: Action) {
        match action {
            Action::Dispatch { request, target, .. } => {
                self.dispatch(gateway, Attempt(request.0), &target);
            }
            Action::Preempt { request } if self.has(Mechanism::Recalls) => {
                self.recall(gateway, Attempt(request.0));
            }
            Action::Preempt { .. } => {}
            Action::Refuse { request, retry_after_ms, .. } => {
                self.refused(Attempt(request.0).request(), retry_after_ms);
            }
        }
    }

    fn dispatch(&mut self, gateway: usize, attempt: Attempt, target: &Name) {
        let Some(target) = number_of(target) else { return };
        let run = &mut self.runs[attempt.request()];
        run.stage = Stage::Sent(target);
        run.sends += 1;
        run.sent_us = self.now_us;
        self.outcome.sends += 1;
        let at_us = self.now_us + self.way_us(gateway, target);
        self.events.push(at_us, Event::AtTarget { attempt, target });
    }

    fn recall(&mut self, gateway: usize, attempt: Attempt) {
        let request = attempt.request();
        let Stage::Sent(target) = self.runs[request].stage else { return };
        self.take_output(request, target);
        self.runs[request].was_cut(self.now_us);
        self.outcome.cut += 1;
        let cut_us = self.now_us + self.way_us(gateway, target);
        self.events.push(cut_us, Event::CutAtTarget { attempt, target });
        self.events.push(self.now_us, Event::Ended { attempt, end: AttemptEnd::Cut });
    }

    fn take_output(&mut self, request: usize, target: usize) {
        let run = &mut self.runs[request];
        let made = self.targets[target].engine.made(run.attempt.0).unwrap_or(run.made);
        run.made = made.min(self.requests[request].output_tokens - 1);
    }

    fn refused(&mut self, request: usize, retry_after_ms: u64) {
        let left_us = self.requests[request].deadline_us.saturating_sub(self.since_start_us());
        let comes_back = self.runs[request].retries < self.scenario.callers.retries;
        if !comes_back || retry_after_ms * 1_000 > left_us / RETRY_AFTER_PART {
            self.over(request, End::Refused);
            return;
        }
        let gateway = self.live_gateway();
        let run = &mut self.runs[request];
        run.retries += 1;
        run.stage = Stage::Away;
        run.gateway = gateway.unwrap_or(run.gateway);
        self.events.push(self.after_ms(retry_after_ms), Event::Arrives(request));
    }

    pub(super) fn begun(&mut self, attempt: Attempt, (running, waiting): (u32, u32)) {
        let request = attempt.request();
        let Some(target) = self.sent_to(attempt) else { return };
        let since_us = self.since_start_us();
        self.runs[request].begun_us.get_or_insert(since_us);
        if self.has(Mechanism::ReportedLoad) {
            let load = ReportedLoad { running, waiting, slots: self.scenario.targets.slots };
            let target = Name::clone(&self.targets[target].name);
            self.input(self.runs[request].gateway, Input::LoadReport { target, load });
        }
    }

    fn sent_to(&self, attempt: Attempt) -> Option<usize> {
        let run = &self.runs[attempt.request()];
        match run.stage {
            Stage::Sent(target) if run.attempt == attempt => Some(target),
            _ => None,
        }
    }

    pub(super) fn ended(&mut self, attempt: Attempt, end: AttemptEnd) {
        let request = attempt.request();
        let Some(target) = self.sent_to(attempt) else { return };
        self.runs[request].stage = Stage::Between;
        self.outcome.rejected += u64::from(end == AttemptEnd::Refused);
        let gateway = self.runs[request].gateway;
        self.input(gateway, Input::Ended { request: RequestId(attempt.0), end: self.told(end) });
        match (self.requests[request].class, end) {
            (_, AttemptEnd::Answered) => self.answered(request),
            (Class::Online, AttemptEnd::Refused | AttemptEnd::Unreachable) => {
                self.try_another(request, target);
            }
            (Class::Online, _) => self.over(request, End::Lost),
            (Class::Batch, AttemptEnd::Refused | AttemptEnd::Unreachable) => {
                self.ask_later(request, NOT_RUN_PAUSE_MS);
            }
            (Class::Batch, _) => self.ask_later(request, 0),
        }
    }

    /// What the placement is told of an end.
    fn told(&self, end: AttemptEnd) -> AttemptEnd {
        match end {
            AttemptEnd::Refused if !self.has(Mechanism::FullAfterRefusal) => AttemptEnd::Cut,
            AttemptEnd::Unreachable | AttemptEnd::Lost if !self.has(Mechanism::Pauses) => {
                AttemptEnd::Cut
            }
            end => end,
        }
    }

    fn answered(&mut self, request: usize) {
        let asked = &self.requests[request];
        let since_us = self.since_start_us();
        let counts_us = match asked.class {
            Class::Online => self.runs[request].begun_us.unwrap_or(since_us),
            Class::Batch => since_us,
        };
        let end = if counts_us <= asked.aim_us { End::InAim } else { End::Late };
        self.over(request, end);
    }

    fn try_another(&mut self, request: usize, target: usize) {
        let left_us = self.requests[request].deadline_us.saturating_sub(self.since_start_us());
        if self.runs[request].sends >= MOST_SENDS || left_us < SHORTEST_SEND_US {
            self.over(request, End::Refused);
            return;
        }
        let target = Name::clone(&self.targets[target].name);
        self.runs[request].tried.push(target);
        self.ask_later(request, 0);
    }

    pub(super) fn ask_later(&mut self, request: usize, pause_ms: u64) {
        let turn = self.runs[request].turn;
        self.events.push(self.after_ms(pause_ms), Event::Asks { request, turn });
    }

    pub(super) fn deadline(&mut self, request: usize) {
        let Run { gateway, stage, attempt, .. } = self.runs[request];
        let id = RequestId(attempt.0);
        match stage {
            Stage::Asked => self.input(gateway, Input::Cancelled { request: id }),
            Stage::Sent(target) => {
                let cut_us = self.now_us + self.way_us(gateway, target);
                self.events.push(cut_us, Event::CutAtTarget { attempt, target });
                self.runs[request].stage = Stage::Between;
                self.input(gateway, Input::Ended { request: id, end: AttemptEnd::Cut });
            }
            Stage::Away | Stage::Between | Stage::Over => {}
        }
        self.over(request, End::Left);
    }

    pub(super) fn over(&mut self, request: usize, end: End) {
        if self.runs[request].stage != Stage::Over {
            self.runs[request].stage = Stage::Over;
            self.open -= 1;
            self.outcome.count(&self.requests[request], end);
        }
    }

    /// What becomes of a request whose gateway has died.
    pub(super) fn orphaned(&mut self, request: usize) {
        let Run { gateway, stage, attempt, .. } = self.runs[request];
        if matches!(stage, Stage::Away | Stage::Over) {
            return;
        }
        if let Stage::Sent(target) = stage {
            let cut_us = self.now_us + self.way_us(gateway, target);
            self.events.push(cut_us, Event::CutAtTarget { attempt, target });
        }
        if self.requests[request].class == Class::Online {
            self.over(request, End::Lost);
            return;
        }
        let run = &mut self.runs[request];
        run.turn += 1;
        run.stage = Stage::Away;
        run.made = run.kept;
        run.ran_us = 0;
        let taken_us = self.after_ms(self.scenario.jobs.takeover_ms.max(1));
        self.events.push(taken_us, Event::Arrives(request));
    }

    pub(super) fn keep_output(&mut self) {
        for request in 0..self.runs.len() {
            if self.requests[request].class == Class::Batch {
                self.keep_output_of(request);
            }
        }
        let pause_us = micros(self.scenario.jobs.keep_output_ms as f64 / 1_000.0);
        self.events.push(self.now_us + pause_us, Event::KeepOutput);
    }

    fn keep_output_of(&mut self, request: usize) {
        match self.runs[request].stage {
            Stage::Sent(target) => {
                let made = self.runs[request].made;
                self.take_output(request, target);
                self.runs[request].kept = self.runs[request].made;
                self.runs[request].made = made;
            }
            Stage::Between | Stage::Asked => self.runs[request].kept = self.runs[request].made,
            Stage::Away | Stage::Over => {}
        }
    }
}
