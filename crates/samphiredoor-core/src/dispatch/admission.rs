//! Admission control: whether a request is dispatched, queued or refused.
//!
//! A request is refused as soon as the refusal is certain, together with the time after which the caller may retry.

use smallvec::SmallVec;

use super::{
    Action, Class, Dispatcher, Policy, Request, RequestId, RequestSpec, ServiceState, Stage,
    retry_after::jittered,
};
use crate::{
    Name,
    verdict::{Refusal, Verdict},
};

/// Smallest bound of an online queue, however slow the service is.
const MIN_QUEUE_BOUND: usize = 2;
/// Bound of an online queue until the service's rate has been measured.
const UNMEASURED_QUEUE_BOUND: usize = 16;
/// Requests at the head of a queue that are tried when capacity becomes free.
const QUEUE_LOOKAHEAD: usize = 4;
/// Retry delay when nothing is known about when capacity will be free.
const DEFAULT_RETRY_AFTER_MS: f64 = 1_000.0;

impl ServiceState {
    /// Estimated time that a new request of the workspace would wait in the queue.
    fn expected_wait_ms(&self, now_ms: u64, workspace: &Name) -> f64 {
        let completions_per_ms = self.completions_per_ms(now_ms);
        let ahead = self.online_queue.ahead_of(workspace) as f64;
        if completions_per_ms > 0.0 { ahead / completions_per_ms } else { 0.0 }
    }

    /// Number of requests that can be served within the longest allowed wait, within fixed bounds.
    fn queue_bound(&self, now_ms: u64, policy: &Policy) -> usize {
        let completions_per_ms = self.completions_per_ms(now_ms);
        let servable_in_time = match completions_per_ms > 0.0 {
            true => (completions_per_ms * policy.queue_wait_ms as f64) as usize,
            false => UNMEASURED_QUEUE_BOUND,
        };
        servable_in_time.max(MIN_QUEUE_BOUND).min(policy.max_queued)
    }
}

impl Dispatcher {
    /// Handles a new request. One whose identifier is already in use is ignored.
    pub(super) fn admit(&mut self, now_ms: u64, spec: RequestSpec, out: &mut Vec<Action>) {
        if self.requests.contains_key(&spec.request) {
            return;
        }
        let admitted = match spec.class {
            Class::Online => self.admit_online(now_ms, &spec),
            Class::Batch => self.admit_batch(now_ms, &spec),
        };
        if let Err(reason) = admitted {
            return self.refuse(now_ms, &spec, reason, out);
        }
        let (request, service) = (spec.request, Name::clone(&spec.service));
        match spec.class {
            Class::Online => {
                *self.online_by_workspace.entry(Name::clone(&spec.workspace)).or_default() += 1;
                self.requests.insert(request, Request::new(spec, Stage::Unassigned));
                self.dispatch_or_queue(now_ms, request, out);
            }
            Class::Batch => {
                self.requests.insert(request, Request::new(spec, Stage::WaitingForSlot));
                self.schedule_batch(now_ms, &service, out);
            }
        }
    }

    fn admit_online(&mut self, now_ms: u64, spec: &RequestSpec) -> Result<(), Refusal> {
        self.check_request(now_ms, spec)?;
        let in_flight = self.online_by_workspace.get(&spec.workspace).copied().unwrap_or(0);
        let declared = self.manifest.workspaces.get(&spec.workspace);
        if declared.is_some_and(|it| it.max_in_flight > 0 && in_flight >= it.max_in_flight) {
            return Err(Refusal::WorkspaceLimit);
        }
        let Some(state) = self.services.get_mut(&spec.service) else {
            return Err(Refusal::UnknownService);
        };
        state.retry_budget.request_arrived();
        if spec.deadline_ms as f64 <= now_ms as f64 + state.stats.fast_latency_ms(now_ms) {
            return Err(Refusal::DeadlineTooShort);
        }
        Ok(())
    }

    fn admit_batch(&mut self, now_ms: u64, spec: &RequestSpec) -> Result<(), Refusal> {
        self.check_request(now_ms, spec)?;
        let Some(state) = self.services.get_mut(&spec.service) else {
            return Err(Refusal::UnknownService);
        };
        match state.batch_queue.push(spec) {
            true => Ok(()),
            false => Err(Refusal::Overloaded),
        }
    }

    fn check_request(&self, now_ms: u64, spec: &RequestSpec) -> Result<(), Refusal> {
        if self.manifest.revision == 0 {
            return Err(Refusal::NotReady);
        }
        if !self.manifest.services.contains_key(&spec.service) {
            return Err(Refusal::UnknownService);
        }
        if spec.deadline_ms <= now_ms {
            return Err(Refusal::DeadlineTooShort);
        }
        Ok(())
    }

    /// Dispatches or queues an online request, or ends it if neither is possible. It may skip the queue only while that
    /// is empty.
    pub(super) fn dispatch_or_queue(
        &mut self,
        now_ms: u64,
        request: RequestId,
        out: &mut Vec<Action>,
    ) {
        let Some(service) = self.requests.get(&request).map(|it| Name::clone(&it.spec.service))
        else {
            return;
        };
        let queue_is_empty =
            self.services.get(&service).is_some_and(|it| it.online_queue.is_empty());
        if queue_is_empty && self.try_dispatch(now_ms, request, out) {
            return;
        }
        if let Err(reason) = self.enqueue(now_ms, request, out) {
            self.fail_request(now_ms, request, reason, out);
        }
    }

    /// Dispatches an online request if a target has free capacity or gets it by preempting a batch item.
    fn try_dispatch(&mut self, now_ms: u64, request: RequestId, out: &mut Vec<Action>) -> bool {
        let mut target = self.pick_target(now_ms, request);
        if target.is_none() && self.preempt_for(now_ms, request, out) {
            target = self.pick_target(now_ms, request);
        }
        if let Some(target) = target {
            self.dispatch(now_ms, request, target, out);
        }
        target.is_some()
    }

    fn enqueue(
        &mut self,
        now_ms: u64,
        request: RequestId,
        out: &mut Vec<Action>,
    ) -> Result<(), Refusal> {
        let Some(waiting) = self.requests.get_mut(&request) else { return Ok(()) };
        let spec = &waiting.spec;
        if !self.targets.any_available_soon(now_ms, &spec.service, &waiting.tried_targets) {
            return Err(Refusal::NoTarget);
        }
        let weight = self.manifest.workspaces.get(&spec.workspace).map_or(1, |it| it.weight);
        let Some(state) = self.services.get_mut(&spec.service) else {
            return Err(Refusal::UnknownService);
        };
        let fast_latency_ms = state.stats.fast_latency_ms(now_ms);
        let wait_ms = state.expected_wait_ms(now_ms, &spec.workspace);
        if now_ms as f64 + wait_ms + fast_latency_ms >= spec.deadline_ms as f64 {
            return Err(Refusal::DeadlineTooShort);
        }
        let full = state.online_queue.len() >= state.queue_bound(now_ms, &self.policy);
        if full && !state.online_queue.goes_before_last(&spec.workspace, weight) {
            return Err(Refusal::Overloaded);
        }
        let displaced = if full { state.online_queue.last() } else { None };
        // The wait was estimated from the current completion rate; if that falls, the request is refused after twice
        // the allowed wait.
        let latest_ms = now_ms.saturating_add(self.policy.queue_wait_ms.saturating_mul(2));
        let expires_ms = latest_ms.min(spec.deadline_ms.saturating_sub(fast_latency_ms as u64));
        let tag = state.online_queue.push(request, &spec.workspace, weight, expires_ms);
        waiting.stage = Stage::Queued(tag);
        if let Some(displaced) = displaced {
            self.fail_request(now_ms, displaced, Refusal::Overloaded, out);
        }
        Ok(())
    }

    /// Dispatches queued online requests of a service while there is free capacity. Refuses all of them if no target is
    /// expected to accept work.
    pub(super) fn schedule_online(&mut self, now_ms: u64, service: &Name, out: &mut Vec<Action>) {
        loop {
            let Some(state) = self.services.get(service) else { return };
            if state.online_queue.is_empty() {
                return;
            }
            // The first request may already have tried every target with free capacity; it must not block the others.
            let first: SmallVec<[RequestId; QUEUE_LOOKAHEAD]> =
                state.online_queue.first(QUEUE_LOOKAHEAD).collect();
            if !first.into_iter().any(|request| self.try_dispatch(now_ms, request, out)) {
                break;
            }
        }
        if !self.targets.any_available_soon(now_ms, service, &[]) {
            self.refuse_all_queued(now_ms, service, Refusal::NoTarget, out);
        }
    }

    /// Refuses the requests whose time in the queue has passed.
    pub(super) fn refuse_expired(&mut self, now_ms: u64, service: &Name, out: &mut Vec<Action>) {
        while let Some(request) =
            self.services.get(service).and_then(|it| it.online_queue.expired(now_ms))
        {
            let Some(queued) = self.requests.get(&request) else { return };
            let in_time = queued.spec.deadline_ms > now_ms;
            let reason = if in_time { Refusal::Overloaded } else { Refusal::DeadlineTooShort };
            self.fail_request(now_ms, request, reason, out);
        }
    }

    /// Refuses all online requests and batch items that wait for a service.
    pub(super) fn refuse_all_waiting(
        &mut self,
        now_ms: u64,
        service: &Name,
        reason: Refusal,
        out: &mut Vec<Action>,
    ) {
        self.refuse_all_queued(now_ms, service, reason, out);
        while let Some(request) = self.services.get(service).and_then(|it| it.batch_queue.next(0)) {
            self.fail_request(now_ms, request, reason, out);
        }
    }

    fn refuse_all_queued(
        &mut self,
        now_ms: u64,
        service: &Name,
        reason: Refusal,
        out: &mut Vec<Action>,
    ) {
        while let Some(request) = self.services.get(service).and_then(|it| it.online_queue.last()) {
            self.fail_request(now_ms, request, reason, out);
        }
    }

    /// Ends a request that is not running without an answer. The verdict shows whether an earlier attempt may have run.
    pub(super) fn fail_request(
        &mut self,
        now_ms: u64,
        request: RequestId,
        reason: Refusal,
        out: &mut Vec<Action>,
    ) {
        let Some(closed) = self.remove_request(now_ms, request) else { return };
        match closed.may_have_run {
            Some(reason) => {
                out.push(Action::Refuse { request, verdict: Verdict::MayHaveRun { reason } });
            }
            None => self.refuse(now_ms, &closed.spec, reason, out),
        }
    }

    fn refuse(&mut self, now_ms: u64, spec: &RequestSpec, reason: Refusal, out: &mut Vec<Action>) {
        let retry_after_ms = self.retry_after_ms(now_ms, spec, reason);
        let verdict = Verdict::NotRun { retry_after_ms, reason };
        out.push(Action::Refuse { request: spec.request, verdict });
    }

    fn retry_after_ms(&mut self, now_ms: u64, spec: &RequestSpec, reason: Refusal) -> u64 {
        let Some(state) = self.services.get_mut(&spec.service) else {
            return jittered(DEFAULT_RETRY_AFTER_MS, &mut self.rng);
        };
        let completions_per_ms = state.completions_per_ms(now_ms);
        let wait_ms = match reason {
            Refusal::Overloaded => {
                let queued = state.online_queue.len();
                return state.retry_after.next(now_ms, queued, completions_per_ms, &mut self.rng);
            }
            // Neither of these two takes a time from the retry schedule: a request above its workspace's limit does not
            // wait for other workspaces, and one with too short a deadline would not have been queued.
            Refusal::WorkspaceLimit => {
                let in_flight = self.online_by_workspace.get(&spec.workspace).copied().unwrap_or(0);
                state.stats.mean_ms() / f64::from(in_flight.max(1))
            }
            Refusal::DeadlineTooShort if completions_per_ms > 0.0 => {
                state.online_queue.len() as f64 / completions_per_ms
            }
            _ => {
                let targets = self.targets.of_service(&spec.service);
                let available_at_ms =
                    targets.filter_map(|(_, it)| it.health.available_at_ms(now_ms)).min();
                available_at_ms
                    .map_or(DEFAULT_RETRY_AFTER_MS, |it| it.saturating_sub(now_ms) as f64)
            }
        };
        jittered(wait_ms, &mut self.rng)
    }
}
