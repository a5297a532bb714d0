//! Attempts at targets: their start, their end, what is learned from it, and whether another one follows.

use super::{
    Action, AttemptEnd, Class, Dispatcher, Ejection, Request, RequestId, RequestSpec, RetryReason,
    Running, Stage,
    targets::{Distance, TargetId},
};
use crate::{
    Name,
    manifest::Manifest,
    verdict::{MayHaveRunReason, Refusal},
};

impl Dispatcher {
    /// Starts an attempt.
    pub(super) fn dispatch(
        &mut self,
        now_ms: u64,
        request: RequestId,
        target: TargetId,
        out: &mut Vec<Action>,
    ) {
        let charged_ms = self.take_turn(request);
        let Some(running) = self.requests.get_mut(&request) else { return };
        let Some(chosen) = self.targets.get(target) else { return };
        let name = Name::clone(&chosen.declared.name);
        let address = chosen.declared.address;
        if chosen.distance == Distance::OtherRegion {
            self.counters.bytes_to_other_regions += u64::from(running.ask.body_bytes);
        }
        let attempt = Running { target, started_ms: now_ms, recalled: false, charged_ms };
        running.stage = Stage::Running(attempt);
        running.tried.push(Name::clone(&name));
        let (class, recallable) = (running.ask.class, running.ask.repeatable);
        if class == Class::Online
            && let Some(state) = self.services.get_mut(&running.ask.service)
        {
            state.online += 1;
        }
        self.targets.started(now_ms, target, request, class, recallable);
        out.push(Action::Dispatch { request, target: name, address });
        if class == Class::Online {
            self.recall_above_slots(now_ms, target, out);
        }
    }

    /// Target for an online request.
    pub(super) fn pick_for(&mut self, now_ms: u64, request: RequestId) -> Option<TargetId> {
        let wanting = self.requests.get(&request)?;
        let ask = &wanting.ask;
        let (service, tried) = (&ask.service, &wanting.tried);
        self.targets.pick_online(now_ms, service, ask.prefix_hash, tried, &mut self.rng)
    }

    /// Makes room for an online request by recalling an item of a job. The room counts as free at once: the item's
    /// connection is closed in the same turn, so that the online request does not wait for batch work to end.
    pub(super) fn recall_for(
        &mut self,
        now_ms: u64,
        request: RequestId,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(wanting) = self.requests.get(&request) else { return false };
        let Some(target) = self.targets.pick_recall(now_ms, &wanting.ask.service, &wanting.tried)
        else {
            return false;
        };
        let item = self.targets.get(target).and_then(|it| it.newest_recallable());
        item.is_some_and(|item| self.recall(now_ms, item, out))
    }

    /// Recalls an item of a job. Tells whether it was running.
    pub(super) fn recall(&mut self, now_ms: u64, item: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(running) = self.requests.get_mut(&item) else { return false };
        let Stage::Running(attempt) = &mut running.stage else { return false };
        attempt.recalled = true;
        self.targets.recalled(now_ms, attempt.target, item);
        self.counters.preemptions += 1;
        out.push(Action::Abort { request: item });
        true
    }

    /// Takes the end of the attempt in hand. Unknown requests, and requests without an attempt, are passed over.
    pub(super) fn ended(
        &mut self,
        now_ms: u64,
        request: RequestId,
        end: AttemptEnd,
        out: &mut Vec<Action>,
    ) {
        let Some(ended) = self.requests.get(&request) else { return };
        let Stage::Running(attempt) = ended.stage else { return };
        let service = Name::clone(&ended.ask.service);
        let class = ended.ask.class;
        self.leave_target(now_ms, request);
        self.learn(now_ms, attempt, class, end);
        match end {
            AttemptEnd::Completed
            | AttemptEnd::Failed
            | AttemptEnd::AnswerTruncated(_)
            | AttemptEnd::Aborted => {
                self.close(now_ms, request);
            }
            AttemptEnd::Preempted => self.wait_again(now_ms, request, out),
            AttemptEnd::NotSent => {
                let (retry, reason) = (RetryReason::ConnectFailed, Refusal::ConnectFailed);
                self.retry_or_give_up(now_ms, request, retry, reason, out);
            }
            AttemptEnd::Pushback { .. } => {
                let (retry, reason) = (RetryReason::Pushback, Refusal::Overloaded);
                self.retry_or_give_up(now_ms, request, retry, reason, out);
            }
            AttemptEnd::AnswerLost(doubt) => self.lost(now_ms, request, doubt, out),
        }
        self.settle(now_ms, &service, out);
    }

    /// Nobody waits for the request any more.
    pub(super) fn gone(&mut self, now_ms: u64, request: RequestId, out: &mut Vec<Action>) {
        if let Some(closed) = self.close(now_ms, request) {
            self.settle(now_ms, &closed.ask.service, out);
        }
    }

    /// Forgets a request, wherever it stands, and frees what it held.
    pub(super) fn close(&mut self, now_ms: u64, request: RequestId) -> Option<Request> {
        self.leave_target(now_ms, request);
        self.leave_queue(request);
        let closed = self.requests.remove(&request)?;
        if closed.ask.class == Class::Online
            && let Some(in_hand) = self.workspaces.get_mut(&closed.ask.workspace)
        {
            *in_hand -= 1;
            if *in_hand == 0 {
                self.workspaces.remove(&closed.ask.workspace);
            }
        }
        Some(closed)
    }

    fn leave_target(&mut self, now_ms: u64, request: RequestId) {
        let Some(running) = self.requests.get_mut(&request) else { return };
        let Stage::Running(attempt) = running.stage else { return };
        running.stage = Stage::Arrived;
        if running.ask.class == Class::Batch
            && let Some(state) = self.services.get_mut(&running.ask.service)
        {
            let weight = weight(&self.manifest, &running.ask);
            let took_ms = now_ms.saturating_sub(attempt.started_ms);
            state.batch.ended(&running.ask, attempt.charged_ms, took_ms, weight);
        }
        let class = running.ask.class;
        if class == Class::Online
            && let Some(state) = self.services.get_mut(&running.ask.service)
        {
            state.online = state.online.saturating_sub(1);
        }
        self.targets.ended(now_ms, attempt.target, request, class, attempt.recalled);
    }

    /// Takes a request out of where it waits, as its turn has come; returns the slot time that an item is charged.
    fn take_turn(&mut self, request: RequestId) -> f64 {
        let Some(waiting) = self.requests.get(&request) else { return 0.0 };
        let Some(state) = self.services.get_mut(&waiting.ask.service) else { return 0.0 };
        let charged_ms = match waiting.stage {
            Stage::Queued(tag) => {
                state.queue.turn_of(tag, &waiting.ask.workspace);
                0.0
            }
            Stage::Waiting => state.batch.start(&waiting.ask, weight(&self.manifest, &waiting.ask)),
            Stage::Arrived | Stage::Running(_) => 0.0,
        };
        self.leave_queue(request);
        charged_ms
    }

    /// An item that lost its slot waits for another one. If its service was taken out of the declarations meanwhile,
    /// nobody would look at it again: its job would hang at it for ever, so it is given up.
    fn wait_again(&mut self, now_ms: u64, request: RequestId, out: &mut Vec<Action>) {
        let Some(yielded) = self.requests.get_mut(&request) else { return };
        let Some(state) = self.services.get_mut(&yielded.ask.service) else {
            return self.give_up(now_ms, request, Refusal::UnknownService, out);
        };
        yielded.stage = Stage::Waiting;
        yielded.tried.clear();
        state.batch.push_again(&yielded.ask);
    }

    fn leave_queue(&mut self, request: RequestId) {
        let Some(waiting) = self.requests.get_mut(&request) else { return };
        let Some(state) = self.services.get_mut(&waiting.ask.service) else { return };
        match waiting.stage {
            Stage::Queued(tag) => state.queue.remove(tag, &waiting.ask.workspace),
            Stage::Waiting => state.batch.remove(&waiting.ask),
            Stage::Arrived | Stage::Running(_) => return,
        }
        waiting.stage = Stage::Arrived;
    }

    /// The answer of an attempt is lost: the request may have run.
    fn lost(
        &mut self,
        now_ms: u64,
        request: RequestId,
        doubt: MayHaveRunReason,
        out: &mut Vec<Action>,
    ) {
        let Some(lost) = self.requests.get_mut(&request) else { return };
        lost.doubt.get_or_insert(doubt);
        if lost.ask.repeatable && doubt != MayHaveRunReason::DeadlinePassed {
            let (retry, reason) = (RetryReason::AnswerLost, Refusal::NoTarget);
            self.retry_or_give_up(now_ms, request, retry, reason, out);
        } else {
            self.give_up(now_ms, request, Refusal::NoTarget, out);
        }
    }

    /// Tries another target, if class, deadline and budget allow. Items of jobs go back to their job's owner, which
    /// counts their tries.
    fn retry_or_give_up(
        &mut self,
        now_ms: u64,
        request: RequestId,
        retry: RetryReason,
        reason: Refusal,
        out: &mut Vec<Action>,
    ) {
        if !self.may_retry(now_ms, request) {
            return self.give_up(now_ms, request, reason, out);
        }
        self.counters.retried(retry);
        self.place_or_queue(now_ms, request, out);
    }

    fn may_retry(&mut self, now_ms: u64, request: RequestId) -> bool {
        let Some(failed) = self.requests.get(&request) else { return false };
        let Some(state) = self.services.get_mut(&failed.ask.service) else { return false };
        if failed.ask.class == Class::Batch {
            return false;
        }
        let earliest_ms = now_ms as f64 + state.pace.quick_ms(now_ms);
        let in_time = earliest_ms < failed.ask.deadline_ms as f64;
        if !in_time || !self.targets.any_expected(now_ms, &failed.ask.service, &failed.tried) {
            return false;
        }
        let allowed = state.retries.spend();
        self.counters.retries_over_budget += u64::from(!allowed);
        allowed
    }

    /// Learns from the end of an attempt about its target and its service.
    fn learn(&mut self, now_ms: u64, attempt: Running, class: Class, end: AttemptEnd) {
        let Some(target) = self.targets.get_mut(attempt.target) else { return };
        let latency_ms = now_ms.saturating_sub(attempt.started_ms);
        let mut beyond_chance = 0;
        if let Some(state) = self.services.get_mut(&target.declared.service) {
            state.pace.attempted(end.is_failure());
            beyond_chance = state.pace.failures_beyond_chance();
        }
        match end {
            AttemptEnd::Completed => {
                target.health.succeeded(now_ms);
                let in_flight = target.load.own() + 1;
                target.limit.sample(now_ms, latency_ms, in_flight);
                let service = self.services.get_mut(&target.declared.service);
                if class == Class::Online
                    && let Some(state) = service
                {
                    state.pace.answered(now_ms, latency_ms);
                }
            }
            AttemptEnd::NotSent => {
                if target.health.unreachable(now_ms) {
                    self.counters.ejected(Ejection::Unreachable);
                }
            }
            AttemptEnd::Pushback { retry_after_ms } => {
                target.limit.pushed_back(now_ms);
                target.health.hold(now_ms, retry_after_ms);
            }
            AttemptEnd::AnswerLost(MayHaveRunReason::DeadlinePassed)
            | AttemptEnd::AnswerTruncated(MayHaveRunReason::DeadlinePassed) => {
                target.limit.timed_out(now_ms, latency_ms);
            }
            AttemptEnd::Failed | AttemptEnd::AnswerLost(_) | AttemptEnd::AnswerTruncated(_) => {
                if end != AttemptEnd::Failed {
                    target.limit.lost(now_ms);
                }
                if target.health.failed(beyond_chance)
                    && self.targets.eject_failing(now_ms, attempt.target)
                {
                    self.counters.ejected(Ejection::Failing);
                }
            }
            AttemptEnd::Aborted | AttemptEnd::Preempted => {}
        }
    }
}

fn weight(manifest: &Manifest, ask: &RequestSpec) -> u32 {
    manifest.workspaces.get(&ask.workspace).map_or(1, |it| it.weight)
}
