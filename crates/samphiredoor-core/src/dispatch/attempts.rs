//! Attempts at targets: starting and ending them, recording their outcome, and retries.

use super::{
    Action, AttemptEnd, Class, Dispatcher, Ejection, Request, RequestId, RequestSpec, RetryReason,
    RunningAttempt, Stage,
    targets::{Distance, TargetId},
};
use crate::{
    Name,
    manifest::Manifest,
    verdict::{MayHaveRunReason, Refusal},
};

impl Dispatcher {
    /// Starts an attempt at `target`. An online request may reduce the batch slots there, which preempts items.
    pub(super) fn dispatch(
        &mut self,
        now_ms: u64,
        request: RequestId,
        target: TargetId,
        out: &mut Vec<Action>,
    ) {
        let charged_ms = self.dequeue(request);
        let Some(running) = self.requests.get_mut(&request) else { return };
        let Some(chosen) = self.targets.get(target) else { return };
        let name = Name::clone(&chosen.declared.name);
        let address = chosen.declared.address;
        if chosen.distance == Distance::OtherRegion {
            self.counters.bytes_to_other_regions += u64::from(running.spec.body_bytes);
        }
        let attempt = RunningAttempt { target, started_ms: now_ms, preempted: false, charged_ms };
        running.stage = Stage::Running(attempt);
        running.tried_targets.push(Name::clone(&name));
        let (class, preemptible) = (running.spec.class, running.spec.repeatable);
        if class == Class::Online
            && let Some(state) = self.services.get_mut(&running.spec.service)
        {
            state.online_running += 1;
        }
        self.targets.attempt_started(now_ms, target, request, class, preemptible);
        out.push(Action::Dispatch { request, target: name, address });
        if class == Class::Online {
            self.preempt_above_slots(now_ms, target, out);
        }
    }

    /// Target for an online request; `None` if no target that it has not tried has free capacity.
    pub(super) fn pick_target(&mut self, now_ms: u64, request: RequestId) -> Option<TargetId> {
        let unassigned = self.requests.get(&request)?;
        let spec = &unassigned.spec;
        let (service, tried) = (&spec.service, &unassigned.tried_targets);
        self.targets.pick_online(now_ms, service, spec.prefix_hash, tried, &mut self.rng)
    }

    /// Preempts a batch item to free capacity for an online request. The capacity counts as free at once: the item's
    /// connection is closed while the same event is handled, so the online request does not wait for batch work to end.
    pub(super) fn preempt_for(
        &mut self,
        now_ms: u64,
        request: RequestId,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(unassigned) = self.requests.get(&request) else { return false };
        let Some(target) = self.targets.pick_preemption(
            now_ms,
            &unassigned.spec.service,
            &unassigned.tried_targets,
        ) else {
            return false;
        };
        let item = self.targets.get(target).and_then(|it| it.newest_preemptible());
        item.is_some_and(|item| self.preempt(now_ms, item, out))
    }

    /// Preempts a batch item. Returns whether it was running.
    pub(super) fn preempt(&mut self, now_ms: u64, item: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(running) = self.requests.get_mut(&item) else { return false };
        let Stage::Running(attempt) = &mut running.stage else { return false };
        attempt.preempted = true;
        self.targets.attempt_preempted(now_ms, attempt.target, item);
        self.counters.preemptions += 1;
        out.push(Action::Abort { request: item });
        true
    }

    /// Handles the end of a request's attempt. Ignores unknown requests and requests that are not running.
    pub(super) fn attempt_ended(
        &mut self,
        now_ms: u64,
        request: RequestId,
        end: AttemptEnd,
        out: &mut Vec<Action>,
    ) {
        let Some(ended) = self.requests.get(&request) else { return };
        let Stage::Running(attempt) = ended.stage else { return };
        let service = Name::clone(&ended.spec.service);
        let class = ended.spec.class;
        self.release_target(now_ms, request);
        self.record_outcome(now_ms, attempt, class, end);
        match end {
            AttemptEnd::Completed
            | AttemptEnd::Failed
            | AttemptEnd::AnswerTruncated(_)
            | AttemptEnd::Aborted => {
                self.remove_request(now_ms, request);
            }
            AttemptEnd::Preempted => self.requeue_preempted(now_ms, request, out),
            AttemptEnd::NotSent => {
                let (retry, reason) = (RetryReason::ConnectFailed, Refusal::ConnectFailed);
                self.retry_or_fail(now_ms, request, retry, reason, out);
            }
            AttemptEnd::Pushback { .. } => {
                let (retry, reason) = (RetryReason::Pushback, Refusal::Overloaded);
                self.retry_or_fail(now_ms, request, retry, reason, out);
            }
            AttemptEnd::AnswerLost(cause) => self.answer_lost(now_ms, request, cause, out),
        }
        self.schedule(now_ms, &service, out);
    }

    /// Handles the cancellation of a request, whether it waits or runs.
    pub(super) fn cancel(&mut self, now_ms: u64, request: RequestId, out: &mut Vec<Action>) {
        if let Some(closed) = self.remove_request(now_ms, request) {
            self.schedule(now_ms, &closed.spec.service, out);
        }
    }

    /// Removes a request at any stage and frees its queue position, target slot and workspace quota.
    pub(super) fn remove_request(&mut self, now_ms: u64, request: RequestId) -> Option<Request> {
        self.release_target(now_ms, request);
        self.remove_from_queue(request);
        let closed = self.requests.remove(&request)?;
        if closed.spec.class == Class::Online
            && let Some(in_flight) = self.online_by_workspace.get_mut(&closed.spec.workspace)
        {
            *in_flight -= 1;
            if *in_flight == 0 {
                self.online_by_workspace.remove(&closed.spec.workspace);
            }
        }
        Some(closed)
    }

    /// Ends the accounting of a running attempt: charges a batch item and frees the target's slot.
    fn release_target(&mut self, now_ms: u64, request: RequestId) {
        let Some(running) = self.requests.get_mut(&request) else { return };
        let Stage::Running(attempt) = running.stage else { return };
        running.stage = Stage::Unassigned;
        if running.spec.class == Class::Batch
            && let Some(state) = self.services.get_mut(&running.spec.service)
        {
            let weight = weight(&self.manifest, &running.spec);
            let took_ms = now_ms.saturating_sub(attempt.started_ms);
            state.batch_queue.attempt_ended(&running.spec, attempt.charged_ms, took_ms, weight);
        }
        let class = running.spec.class;
        if class == Class::Online
            && let Some(state) = self.services.get_mut(&running.spec.service)
        {
            state.online_running = state.online_running.saturating_sub(1);
        }
        self.targets.attempt_ended(now_ms, attempt.target, request, class, attempt.preempted);
    }

    /// Removes a request that is about to run from its queue. Returns the slot time that a batch item is charged.
    fn dequeue(&mut self, request: RequestId) -> f64 {
        let Some(waiting) = self.requests.get(&request) else { return 0.0 };
        let Some(state) = self.services.get_mut(&waiting.spec.service) else { return 0.0 };
        let charged_ms = match waiting.stage {
            Stage::Queued(tag) => {
                state.online_queue.advance_virtual_time(tag, &waiting.spec.workspace);
                0.0
            }
            Stage::WaitingForSlot => {
                state.batch_queue.start(&waiting.spec, weight(&self.manifest, &waiting.spec))
            }
            Stage::Unassigned | Stage::Running(_) => 0.0,
        };
        self.remove_from_queue(request);
        charged_ms
    }

    /// Queues a preempted item again. If its service has been removed from the manifest in the meantime, no queue of
    /// the service is left and its job would wait for it forever, so the item is refused.
    fn requeue_preempted(&mut self, now_ms: u64, request: RequestId, out: &mut Vec<Action>) {
        let Some(preempted) = self.requests.get_mut(&request) else { return };
        let Some(state) = self.services.get_mut(&preempted.spec.service) else {
            return self.fail_request(now_ms, request, Refusal::UnknownService, out);
        };
        preempted.stage = Stage::WaitingForSlot;
        preempted.tried_targets.clear();
        state.batch_queue.requeue(&preempted.spec);
    }

    fn remove_from_queue(&mut self, request: RequestId) {
        let Some(waiting) = self.requests.get_mut(&request) else { return };
        let Some(state) = self.services.get_mut(&waiting.spec.service) else { return };
        match waiting.stage {
            Stage::Queued(tag) => state.online_queue.remove(tag, &waiting.spec.workspace),
            Stage::WaitingForSlot => state.batch_queue.remove(&waiting.spec),
            Stage::Unassigned | Stage::Running(_) => return,
        }
        waiting.stage = Stage::Unassigned;
    }

    /// Handles a lost answer: the request may have run, so it is retried only if it is repeatable.
    fn answer_lost(
        &mut self,
        now_ms: u64,
        request: RequestId,
        cause: MayHaveRunReason,
        out: &mut Vec<Action>,
    ) {
        let Some(lost) = self.requests.get_mut(&request) else { return };
        lost.may_have_run.get_or_insert(cause);
        if lost.spec.repeatable && cause != MayHaveRunReason::DeadlinePassed {
            let (retry, reason) = (RetryReason::AnswerLost, Refusal::NoTarget);
            self.retry_or_fail(now_ms, request, retry, reason, out);
        } else {
            self.fail_request(now_ms, request, Refusal::NoTarget, out);
        }
    }

    /// Retries on another target if class, deadline and retry budget allow. Batch items are not retried here: they
    /// return to the owner of their job, which counts their attempts.
    fn retry_or_fail(
        &mut self,
        now_ms: u64,
        request: RequestId,
        retry: RetryReason,
        reason: Refusal,
        out: &mut Vec<Action>,
    ) {
        if !self.may_retry(now_ms, request) {
            return self.fail_request(now_ms, request, reason, out);
        }
        self.counters.retried(retry);
        self.dispatch_or_queue(now_ms, request, out);
    }

    fn may_retry(&mut self, now_ms: u64, request: RequestId) -> bool {
        let Some(failed) = self.requests.get(&request) else { return false };
        let Some(state) = self.services.get_mut(&failed.spec.service) else { return false };
        if failed.spec.class == Class::Batch {
            return false;
        }
        let earliest_ms = now_ms as f64 + state.stats.fast_latency_ms(now_ms);
        let in_time = earliest_ms < failed.spec.deadline_ms as f64;
        if !in_time
            || !self.targets.any_available_soon(now_ms, &failed.spec.service, &failed.tried_targets)
        {
            return false;
        }
        let allowed = state.retry_budget.spend();
        self.counters.retries_over_budget += u64::from(!allowed);
        allowed
    }

    /// Updates the statistics of the service and the limit and health of the target from the outcome of an attempt.
    fn record_outcome(
        &mut self,
        now_ms: u64,
        attempt: RunningAttempt,
        class: Class,
        end: AttemptEnd,
    ) {
        let Some(target) = self.targets.get_mut(attempt.target) else { return };
        let latency_ms = now_ms.saturating_sub(attempt.started_ms);
        let mut min_failures = 0;
        if let Some(state) = self.services.get_mut(&target.declared.service) {
            state.stats.record_attempt(end.is_failure());
            min_failures = state.stats.failures_beyond_chance();
        }
        match end {
            AttemptEnd::Completed => {
                target.health.record_success(now_ms);
                let in_flight = target.load.own() + 1;
                target.limit.record_success(now_ms, latency_ms, in_flight);
                let service = self.services.get_mut(&target.declared.service);
                if class == Class::Online
                    && let Some(state) = service
                {
                    state.stats.record_answer(now_ms, latency_ms);
                }
            }
            AttemptEnd::NotSent => {
                if target.health.mark_unreachable(now_ms) {
                    self.counters.ejected(Ejection::Unreachable);
                }
            }
            AttemptEnd::Pushback { retry_after_ms } => {
                target.limit.refused(now_ms);
                target.health.back_off(now_ms, retry_after_ms);
            }
            AttemptEnd::AnswerLost(MayHaveRunReason::DeadlinePassed)
            | AttemptEnd::AnswerTruncated(MayHaveRunReason::DeadlinePassed) => {
                target.limit.timed_out(now_ms, latency_ms);
            }
            AttemptEnd::Failed | AttemptEnd::AnswerLost(_) | AttemptEnd::AnswerTruncated(_) => {
                if end != AttemptEnd::Failed {
                    target.limit.answer_lost(now_ms);
                }
                if target.health.record_failure(min_failures)
                    && self.targets.eject_failing(now_ms, attempt.target)
                {
                    self.counters.ejected(Ejection::Failing);
                }
            }
            AttemptEnd::Aborted | AttemptEnd::Preempted => {}
        }
    }
}

fn weight(manifest: &Manifest, spec: &RequestSpec) -> u32 {
    manifest.workspaces.get(&spec.workspace).map_or(1, |it| it.weight)
}
