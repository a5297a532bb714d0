//! Lifecycle of a request: arrival at a gateway, waiting for a slot, attempts at targets, retries, and its end.

use samphiredoor_core::{
    Name,
    dispatch::{Class, RequestId},
    placement::{Action, AttemptEnd, CallerTerms, Input, ReportedLoad, RequestSpec},
};
use smallvec::SmallVec;

use super::{Event, SERVICE, START_US, Simulation, targets::number_of};
use crate::emulate::{
    mechanism::Mechanism,
    outcome::End,
    scenario::ItemOrder,
    traffic::{Request, micros},
};

/// An online request may wait for a slot for this fraction (one in `QUEUE_DIVISOR`) of its latency objective.
const QUEUE_DIVISOR: u64 = 5;
/// Most sends of a request to targets; a retry by its caller starts the count again.
const MAX_SENDS: u32 = 8;
/// Minimum time before the deadline for another send.
const MIN_SEND_US: u64 = 30_000;
/// Backoff before an item that did not run is tried again.
const NOT_RUN_BACKOFF_MS: u64 = 60;
/// A caller waits after a refusal for at most this fraction (one in `RETRY_AFTER_DIVISOR`) of its remaining time;
/// otherwise it gives up.
const RETRY_AFTER_DIVISOR: u64 = 3;
/// Most attempts of a request. An attempt's ID is the request's index times this, plus the number of the attempt.
const MAX_ATTEMPTS: u64 = 1 << 24;

/// ID of an attempt of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt(pub u64);

impl Attempt {
    fn new(request: usize, number: u64) -> Attempt {
        Attempt(request as u64 * MAX_ATTEMPTS + number % MAX_ATTEMPTS)
    }

    /// Index of the request.
    pub fn request(self) -> usize {
        (self.0 / MAX_ATTEMPTS) as usize
    }
}

/// Where a request currently is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Not at a gateway: before its arrival, or waiting for a retry, a reconnect or the takeover of an item.
    WithCaller,
    /// At its gateway, not waiting for a slot and not sent.
    AtGateway,
    /// Waiting for a slot in the gateway's placement.
    Queued,
    /// Sent to the target with this index.
    Sent(usize),
    /// Ended and counted in the outcome.
    Finished,
}

/// State of a request during the simulation.
#[derive(Debug)]
pub struct RequestState {
    pub gateway: usize,
    pub stage: Stage,
    /// Incremented when slot requests that are already scheduled for the request become invalid.
    pub generation: u32,
    pub attempt: Attempt,
    /// Generated tokens that its gateway has; a further attempt continues after them.
    pub generated: u32,
    /// Generated tokens that are saved and survive the death of its gateway.
    pub saved: u32,
    /// Duration of an item's earlier runs that its current gateway has seen.
    prior_run_us: u64,
    sent_us: u64,
    attempts: u64,
    sends: u32,
    retries: u32,
    tried_targets: SmallVec<[Name; 2]>,
    first_token_us: Option<u64>,
}

impl RequestState {
    pub fn new(request: &Request) -> RequestState {
        RequestState {
            gateway: request.gateway,
            stage: Stage::WithCaller,
            generation: 0,
            attempt: Attempt(0),
            generated: 0,
            saved: 0,
            prior_run_us: 0,
            sent_us: 0,
            attempts: 0,
            sends: 0,
            retries: 0,
            tried_targets: SmallVec::new(),
            first_token_us: None,
        }
    }

    /// Adds the duration of a run that was interrupted and will be continued.
    pub fn record_partial_run(&mut self, now_us: u64) {
        self.prior_run_us += now_us - self.sent_us;
    }
}

impl Simulation<'_> {
    pub(super) fn handle_arrival(&mut self, request: usize) {
        if self.states[request].stage != Stage::WithCaller {
            return;
        }
        if !self.gateways[self.states[request].gateway].is_up() {
            if let Some(other) = self.random_live_gateway() {
                self.states[request].gateway = other;
            }
            let again_us = self.after_ms(self.scenario.callers.reconnect_ms.max(1));
            self.events.push(again_us, Event::Arrival(request));
            return;
        }
        let state = &mut self.states[request];
        state.stage = Stage::AtGateway;
        state.sends = 0;
        state.tried_targets.clear();
        let generation = state.generation;
        self.request_slot(request, generation);
    }

    pub(super) fn request_slot(&mut self, request: usize, generation: u32) {
        let state = &mut self.states[request];
        if state.stage != Stage::AtGateway || state.generation != generation {
            return;
        }
        state.stage = Stage::Queued;
        state.attempts += 1;
        state.attempt = Attempt::new(request, state.attempts);
        let gateway = state.gateway;
        let request_spec = self.request_spec(request);
        self.input(gateway, Input::Request(request_spec));
    }

    fn request_spec(&self, request: usize) -> RequestSpec {
        let state = &self.states[request];
        let details = &self.requests[request];
        let affinity = if self.is_enabled(Mechanism::Affinity) { details.prefix } else { 0 };
        RequestSpec {
            request: RequestId(state.attempt.0),
            class: details.class,
            service: SERVICE.into(),
            priority: details.priority,
            affinity,
            tried_targets: state.tried_targets.clone(),
            deadline_ms: self.deadline_or_order(request),
            prior_run_ms: state.prior_run_us / 1_000,
            resumes: None,
            terms: CallerTerms::default(),
        }
    }

    // For items, the value only determines their order in the queue.
    fn deadline_or_order(&self, request: usize) -> u64 {
        let details = &self.requests[request];
        match (details.class, self.scenario.jobs.order) {
            (Class::Online, _) if !self.is_enabled(Mechanism::Queue) => self.now_ms(),
            (Class::Online, _) => self.now_ms() + details.objective_after_ms / QUEUE_DIVISOR,
            (Class::Batch, ItemOrder::Due) => (START_US + details.objective_us) / 1_000,
            (Class::Batch, ItemOrder::Newest) => u64::MAX - details.arrives_us,
            (Class::Batch, ItemOrder::LeastLeft) => {
                u64::from(details.output_tokens - self.states[request].generated)
            }
        }
    }

    /// Applies an action of a gateway's placement.
    pub(super) fn apply_action(&mut self, gateway: usize, action: Action) {
        match action {
            Action::Dispatch { request, target, .. } => {
                self.dispatch(gateway, Attempt(request.0), &target);
            }
            Action::Preempt { request } if self.is_enabled(Mechanism::Preemption) => {
                self.preempt(gateway, Attempt(request.0));
            }
            Action::Preempt { .. } => {}
            Action::Refuse { request, retry_after_ms, .. } => {
                self.handle_refusal(Attempt(request.0).request(), retry_after_ms);
            }
        }
    }

    fn dispatch(&mut self, gateway: usize, attempt: Attempt, target: &Name) {
        let Some(target) = number_of(target) else { return };
        let state = &mut self.states[attempt.request()];
        state.stage = Stage::Sent(target);
        state.sends += 1;
        state.sent_us = self.now_us;
        self.outcome.sends += 1;
        let at_us = self.now_us + self.latency_us(gateway, target);
        self.events.push(at_us, Event::TargetArrival { attempt, target });
    }

    /// Cancels an item's attempt and keeps its partial output.
    fn preempt(&mut self, gateway: usize, attempt: Attempt) {
        let request = attempt.request();
        let Stage::Sent(target) = self.states[request].stage else { return };
        self.record_output(request, target);
        self.states[request].record_partial_run(self.now_us);
        self.outcome.preempted += 1;
        let cancel_us = self.now_us + self.latency_us(gateway, target);
        self.events.push(cancel_us, Event::CancelAtTarget { attempt, target });
        self.events.push(self.now_us, Event::Ended { attempt, end: AttemptEnd::Cut });
    }

    fn record_output(&mut self, request: usize, target: usize) {
        let state = &mut self.states[request];
        let generated =
            self.targets[target].engine.generated(state.attempt.0).unwrap_or(state.generated);
        state.generated = generated.min(self.requests[request].output_tokens - 1);
    }

    /// Schedules a retry by the caller at a random live gateway, or ends the request as refused.
    fn handle_refusal(&mut self, request: usize, retry_after_ms: u64) {
        let left_us = self.requests[request].deadline_us.saturating_sub(self.elapsed_us());
        let retries_again = self.states[request].retries < self.scenario.callers.retries;
        if !retries_again || retry_after_ms * 1_000 > left_us / RETRY_AFTER_DIVISOR {
            self.finish(request, End::Refused);
            return;
        }
        let gateway = self.random_live_gateway();
        let state = &mut self.states[request];
        state.retries += 1;
        state.stage = Stage::WithCaller;
        state.gateway = gateway.unwrap_or(state.gateway);
        self.events.push(self.after_ms(retry_after_ms), Event::Arrival(request));
    }

    pub(super) fn handle_first_token(&mut self, attempt: Attempt, (running, waiting): (u32, u32)) {
        let request = attempt.request();
        let Some(target) = self.sent_to(attempt) else { return };
        let elapsed_us = self.elapsed_us();
        self.states[request].first_token_us.get_or_insert(elapsed_us);
        if self.is_enabled(Mechanism::ReportedLoad) {
            let load = ReportedLoad {
                running,
                waiting,
                slots: self.scenario.targets.slots,
                work_percent: None,
            };
            let target = Name::clone(&self.targets[target].name);
            self.input(self.states[request].gateway, Input::LoadReport { target, load });
        }
    }

    /// Target of an attempt that is still in progress.
    fn sent_to(&self, attempt: Attempt) -> Option<usize> {
        let state = &self.states[attempt.request()];
        match state.stage {
            Stage::Sent(target) if state.attempt == attempt => Some(target),
            _ => None,
        }
    }

    pub(super) fn handle_attempt_end(&mut self, attempt: Attempt, end: AttemptEnd) {
        let request = attempt.request();
        let Some(target) = self.sent_to(attempt) else { return };
        self.states[request].stage = Stage::AtGateway;
        self.outcome.rejected += u64::from(end == AttemptEnd::Refused);
        let gateway = self.states[request].gateway;
        self.input(
            gateway,
            Input::Ended { request: RequestId(attempt.0), end: self.reported_end(end) },
        );
        match (self.requests[request].class, end) {
            (_, AttemptEnd::Answered) => self.finish_answered(request),
            (Class::Online, AttemptEnd::Refused | AttemptEnd::Unreachable) => {
                self.try_other_target(request, target);
            }
            (Class::Online, _) => self.finish(request, End::Lost),
            (Class::Batch, AttemptEnd::Refused | AttemptEnd::Unreachable) => {
                self.request_slot_after(request, NOT_RUN_BACKOFF_MS);
            }
            (Class::Batch, _) => self.request_slot_after(request, 0),
        }
    }

    /// End of an attempt as it is reported to the placement: without the mechanism that reacts to it, an end is
    /// reported as a cut.
    fn reported_end(&self, end: AttemptEnd) -> AttemptEnd {
        match end {
            AttemptEnd::Refused if !self.is_enabled(Mechanism::FullAfterRefusal) => AttemptEnd::Cut,
            AttemptEnd::Unreachable | AttemptEnd::Lost if !self.is_enabled(Mechanism::Backoff) => {
                AttemptEnd::Cut
            }
            end => end,
        }
    }

    /// Ends an answered request: an online request is on time by its first token, an item by its last.
    fn finish_answered(&mut self, request: usize) {
        let details = &self.requests[request];
        let elapsed_us = self.elapsed_us();
        let scored_us = match details.class {
            Class::Online => self.states[request].first_token_us.unwrap_or(elapsed_us),
            Class::Batch => elapsed_us,
        };
        let end = if scored_us <= details.objective_us { End::OnTime } else { End::Late };
        self.finish(request, end);
    }

    fn try_other_target(&mut self, request: usize, target: usize) {
        let left_us = self.requests[request].deadline_us.saturating_sub(self.elapsed_us());
        if self.states[request].sends >= MAX_SENDS || left_us < MIN_SEND_US {
            self.finish(request, End::Refused);
            return;
        }
        let target = Name::clone(&self.targets[target].name);
        self.states[request].tried_targets.push(target);
        self.request_slot_after(request, 0);
    }

    pub(super) fn request_slot_after(&mut self, request: usize, backoff_ms: u64) {
        let generation = self.states[request].generation;
        self.events.push(self.after_ms(backoff_ms), Event::RequestSlot { request, generation });
    }

    pub(super) fn handle_deadline(&mut self, request: usize) {
        let RequestState { gateway, stage, attempt, .. } = self.states[request];
        let id = RequestId(attempt.0);
        match stage {
            Stage::Queued => self.input(gateway, Input::Cancelled { request: id }),
            Stage::Sent(target) => {
                let cancel_us = self.now_us + self.latency_us(gateway, target);
                self.events.push(cancel_us, Event::CancelAtTarget { attempt, target });
                self.states[request].stage = Stage::AtGateway;
                self.input(gateway, Input::Ended { request: id, end: AttemptEnd::Cut });
            }
            Stage::WithCaller | Stage::AtGateway | Stage::Finished => {}
        }
        self.finish(request, End::TimedOut);
    }

    /// Ends a request, unless it has already ended, and counts it in the outcome.
    pub(super) fn finish(&mut self, request: usize, end: End) {
        if self.states[request].stage != Stage::Finished {
            self.states[request].stage = Stage::Finished;
            self.open -= 1;
            self.outcome.count(&self.requests[request], end);
        }
    }

    /// Ends an online request whose gateway has died, and schedules the takeover of an item.
    pub(super) fn handle_gateway_death(&mut self, request: usize) {
        let RequestState { gateway, stage, attempt, .. } = self.states[request];
        if matches!(stage, Stage::WithCaller | Stage::Finished) {
            return;
        }
        if let Stage::Sent(target) = stage {
            let cancel_us = self.now_us + self.latency_us(gateway, target);
            self.events.push(cancel_us, Event::CancelAtTarget { attempt, target });
        }
        if self.requests[request].class == Class::Online {
            self.finish(request, End::Lost);
            return;
        }
        let state = &mut self.states[request];
        state.generation += 1;
        state.stage = Stage::WithCaller;
        state.generated = state.saved;
        state.prior_run_us = 0;
        let takeover_us = self.after_ms(self.scenario.jobs.takeover_ms.max(1));
        self.events.push(takeover_us, Event::Arrival(request));
    }

    pub(super) fn save_outputs(&mut self) {
        for request in 0..self.states.len() {
            if self.requests[request].class == Class::Batch {
                self.save_output(request);
            }
        }
        let interval_us = micros(self.scenario.jobs.keep_output_ms as f64 / 1_000.0);
        self.events.push(self.now_us + interval_us, Event::SaveOutputs);
    }

    fn save_output(&mut self, request: usize) {
        match self.states[request].stage {
            Stage::Sent(target) => {
                let generated = self.states[request].generated;
                self.record_output(request, target);
                self.states[request].saved = self.states[request].generated;
                self.states[request].generated = generated;
            }
            Stage::AtGateway | Stage::Queued => {
                self.states[request].saved = self.states[request].generated
            }
            Stage::WithCaller | Stage::Finished => {}
        }
    }
}
