//! Whether a request is let in, queued or refused.
//!
//! A refusal is given at the moment at which it is certain, with the time to come back.

use smallvec::SmallVec;

use super::{
    Action, Class, Dispatcher, Policy, Request, RequestId, RequestSpec, ServiceState, Stage,
    refusal::jittered,
};
use crate::{
    Name,
    verdict::{Refusal, Verdict},
};

const MIN_QUEUED: usize = 2;
const UNMEASURED_QUEUED: usize = 16;
const LOOK_AHEAD: usize = 4;
const LATER_MS: f64 = 1_000.0;

impl ServiceState {
    /// About how long a new request of the workspace waits in the queue.
    fn expected_wait_ms(&self, now_ms: u64, workspace: &Name) -> f64 {
        let drain_per_ms = self.drain_per_ms(now_ms);
        let ahead = self.queue.ahead_of(workspace) as f64;
        if drain_per_ms > 0.0 { ahead / drain_per_ms } else { 0.0 }
    }

    /// Most requests that can be served within the wait that is allowed.
    fn queue_bound(&self, now_ms: u64, policy: &Policy) -> usize {
        let drain_per_ms = self.drain_per_ms(now_ms);
        let served_in_time = match drain_per_ms > 0.0 {
            true => (drain_per_ms * policy.queue_wait_ms as f64) as usize,
            false => UNMEASURED_QUEUED,
        };
        served_in_time.max(MIN_QUEUED).min(policy.max_queued)
    }
}

impl Dispatcher {
    pub(super) fn ask(&mut self, now_ms: u64, ask: RequestSpec, out: &mut Vec<Action>) {
        if self.requests.contains_key(&ask.request) {
            return;
        }
        let admitted = match ask.class {
            Class::Online => self.admit_online(now_ms, &ask),
            Class::Batch => self.admit_batch(now_ms, &ask),
        };
        if let Err(reason) = admitted {
            return self.refuse(now_ms, &ask, reason, out);
        }
        let (request, service) = (ask.request, Name::clone(&ask.service));
        match ask.class {
            Class::Online => {
                *self.workspaces.entry(Name::clone(&ask.workspace)).or_default() += 1;
                self.requests.insert(request, Request::new(ask, Stage::Arrived));
                self.place_or_queue(now_ms, request, out);
            }
            Class::Batch => {
                self.requests.insert(request, Request::new(ask, Stage::Waiting));
                self.lend(now_ms, &service, out);
            }
        }
    }

    fn admit_online(&mut self, now_ms: u64, ask: &RequestSpec) -> Result<(), Refusal> {
        self.check_known(now_ms, ask)?;
        let in_hand = self.workspaces.get(&ask.workspace).copied().unwrap_or(0);
        let declared = self.manifest.workspaces.get(&ask.workspace);
        if declared.is_some_and(|it| it.max_in_flight > 0 && in_hand >= it.max_in_flight) {
            return Err(Refusal::WorkspaceLimit);
        }
        let Some(state) = self.services.get_mut(&ask.service) else {
            return Err(Refusal::UnknownService);
        };
        state.retries.request_arrived();
        if ask.deadline_ms as f64 <= now_ms as f64 + state.pace.quick_ms(now_ms) {
            return Err(Refusal::DeadlineTooShort);
        }
        Ok(())
    }

    fn admit_batch(&mut self, now_ms: u64, ask: &RequestSpec) -> Result<(), Refusal> {
        self.check_known(now_ms, ask)?;
        let Some(state) = self.services.get_mut(&ask.service) else {
            return Err(Refusal::UnknownService);
        };
        match state.batch.push(ask) {
            true => Ok(()),
            false => Err(Refusal::Overloaded),
        }
    }

    fn check_known(&self, now_ms: u64, ask: &RequestSpec) -> Result<(), Refusal> {
        if self.manifest.revision == 0 {
            return Err(Refusal::NotReady);
        }
        if !self.manifest.services.contains_key(&ask.service) {
            return Err(Refusal::UnknownService);
        }
        if ask.deadline_ms <= now_ms {
            return Err(Refusal::DeadlineTooShort);
        }
        Ok(())
    }

    /// Gives an online request a target or a place in the queue, or gives it up.
    pub(super) fn place_or_queue(
        &mut self,
        now_ms: u64,
        request: RequestId,
        out: &mut Vec<Action>,
    ) {
        let Some(service) = self.requests.get(&request).map(|it| Name::clone(&it.ask.service))
        else {
            return;
        };
        let nobody_waits = self.services.get(&service).is_some_and(|it| it.queue.is_empty());
        if nobody_waits && self.place(now_ms, request, out) {
            return;
        }
        if let Err(reason) = self.enqueue(now_ms, request, out) {
            self.give_up(now_ms, request, reason, out);
        }
    }

    /// Dispatches an online request if a target has room, or gets room by recalling an item of a job.
    fn place(&mut self, now_ms: u64, request: RequestId, out: &mut Vec<Action>) -> bool {
        let mut target = self.pick_for(now_ms, request);
        if target.is_none() && self.recall_for(now_ms, request, out) {
            target = self.pick_for(now_ms, request);
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
        let ask = &waiting.ask;
        if !self.targets.any_expected(now_ms, &ask.service, &waiting.tried) {
            return Err(Refusal::NoTarget);
        }
        let weight = self.manifest.workspaces.get(&ask.workspace).map_or(1, |it| it.weight);
        let Some(state) = self.services.get_mut(&ask.service) else {
            return Err(Refusal::UnknownService);
        };
        let quick_ms = state.pace.quick_ms(now_ms);
        let wait_ms = state.expected_wait_ms(now_ms, &ask.workspace);
        if now_ms as f64 + wait_ms + quick_ms >= ask.deadline_ms as f64 {
            return Err(Refusal::DeadlineTooShort);
        }
        let full = state.queue.len() >= state.queue_bound(now_ms, &self.policy);
        if full && !state.queue.goes_before_last(&ask.workspace, weight) {
            return Err(Refusal::Overloaded);
        }
        let given_up = if full { state.queue.last() } else { None };
        // The wait was promised at the drain rate of now; if that falls, the request is given up after twice the time.
        let latest_ms = now_ms.saturating_add(self.policy.queue_wait_ms.saturating_mul(2));
        let expires_ms = latest_ms.min(ask.deadline_ms.saturating_sub(quick_ms as u64));
        let tag = state.queue.push(request, &ask.workspace, weight, expires_ms);
        waiting.stage = Stage::Queued(tag);
        if let Some(given_up) = given_up {
            self.give_up(now_ms, given_up, Refusal::Overloaded, out);
        }
        Ok(())
    }

    /// Dispatches queued requests while there is room.
    pub(super) fn drain_queue(&mut self, now_ms: u64, service: &Name, out: &mut Vec<Action>) {
        loop {
            let Some(state) = self.services.get(service) else { return };
            if state.queue.is_empty() {
                return;
            }
            // The first may have tried all targets that have room; it must not hold up those behind it.
            let first: SmallVec<[RequestId; LOOK_AHEAD]> = state.queue.first(LOOK_AHEAD).collect();
            if !first.into_iter().any(|request| self.place(now_ms, request, out)) {
                break;
            }
        }
        if !self.targets.any_expected(now_ms, service, &[]) {
            self.refuse_queued(now_ms, service, Refusal::NoTarget, out);
        }
    }

    pub(super) fn give_up_expired(&mut self, now_ms: u64, service: &Name, out: &mut Vec<Action>) {
        while let Some(request) = self.services.get(service).and_then(|it| it.queue.expired(now_ms))
        {
            let Some(queued) = self.requests.get(&request) else { return };
            let in_time = queued.ask.deadline_ms > now_ms;
            let reason = if in_time { Refusal::Overloaded } else { Refusal::DeadlineTooShort };
            self.give_up(now_ms, request, reason, out);
        }
    }

    /// Refuses everything that waits for a service.
    pub(super) fn refuse_waiting(
        &mut self,
        now_ms: u64,
        service: &Name,
        reason: Refusal,
        out: &mut Vec<Action>,
    ) {
        self.refuse_queued(now_ms, service, reason, out);
        while let Some(request) = self.services.get(service).and_then(|it| it.batch.next(0)) {
            self.give_up(now_ms, request, reason, out);
        }
    }

    fn refuse_queued(
        &mut self,
        now_ms: u64,
        service: &Name,
        reason: Refusal,
        out: &mut Vec<Action>,
    ) {
        while let Some(request) = self.services.get(service).and_then(|it| it.queue.last()) {
            self.give_up(now_ms, request, reason, out);
        }
    }

    /// Ends a request that does not run, at once. If an earlier attempt may have run, it says so.
    pub(super) fn give_up(
        &mut self,
        now_ms: u64,
        request: RequestId,
        reason: Refusal,
        out: &mut Vec<Action>,
    ) {
        let Some(closed) = self.close(now_ms, request) else { return };
        match closed.doubt {
            Some(reason) => {
                out.push(Action::Refuse { request, verdict: Verdict::MayHaveRun { reason } });
            }
            None => self.refuse(now_ms, &closed.ask, reason, out),
        }
    }

    fn refuse(&mut self, now_ms: u64, ask: &RequestSpec, reason: Refusal, out: &mut Vec<Action>) {
        let retry_after_ms = self.retry_after_ms(now_ms, ask, reason);
        let verdict = Verdict::NotRun { retry_after_ms, reason };
        out.push(Action::Refuse { request: ask.request, verdict });
    }

    fn retry_after_ms(&mut self, now_ms: u64, ask: &RequestSpec, reason: Refusal) -> u64 {
        let Some(state) = self.services.get_mut(&ask.service) else {
            return jittered(LATER_MS, &mut self.rng);
        };
        let drain_per_ms = state.drain_per_ms(now_ms);
        let wait_ms = match reason {
            Refusal::Overloaded => {
                let queued = state.queue.len();
                return state.returns.next(now_ms, queued, drain_per_ms, &mut self.rng);
            }
            // Neither takes a place in the line: the one is not held up by others, the other would not stand in it.
            Refusal::WorkspaceLimit => {
                let in_hand = self.workspaces.get(&ask.workspace).copied().unwrap_or(0);
                state.pace.mean_ms() / f64::from(in_hand.max(1))
            }
            Refusal::DeadlineTooShort if drain_per_ms > 0.0 => {
                state.queue.len() as f64 / drain_per_ms
            }
            _ => {
                let targets = self.targets.of_service(&ask.service);
                let back_ms = targets.filter_map(|(_, it)| it.health.back_ms(now_ms)).min();
                back_ms.map_or(LATER_MS, |it| it.saturating_sub(now_ms) as f64)
            }
        };
        jittered(wait_ms, &mut self.rng)
    }
}
