//! Overload control of online requests: which target may take one, and which of the waiting ones are rejected.
//!
//! A request that has to wait at a target waits only in the own cell, whose loads are known almost at once. The loads of
//! other cells are older: if all gateways sent their overflow there on that information, every target would get a queue
//! in which all requests become late. So a target of another cell gets requests only while it has spare slots.

use std::{cell::OnceCell, collections::VecDeque};

use rand::Rng;
use smallvec::SmallVec;

use super::{
    Action, Distance, MAX_RETRY_AFTER_MS, Placement, RequestSpec, RunningRequest, is_cell_name,
    queue::Queue, target::Target,
};
use crate::{
    Name,
    dispatch::RequestId,
    overload::{
        Overload, OverloadPolicy,
        admission::{
            Inputs, RejectReason, Rejection, Standing, Verdict, decide, is_retry_in_time,
            latest_start_ms, standing, wait_until_ms,
        },
        retry_schedule::RetryInputs,
        retry_turns::RetryTurns,
    },
    verdict::Refusal,
};

/// Slots beyond the one needed that have to seem free at a target of another cell in the same region. Its load is up to
/// some hundred milliseconds old, in which gateways of other cells may send requests there too.
const SPARE_IN_REGION: u32 = 3;
/// Slots beyond the one needed that have to seem free at a target of another region, whose load is older still.
const SPARE_IN_OTHER_REGION: u32 = 5;
/// Targets that a peer uses at least, if there are as many, to count as a gateway of the own cell.
const MIN_USED_TARGETS: usize = 2;
/// Part of a retry time, as a divisor, by which it is shortened at most while no target can be tried.
const NO_TARGET_JITTER_DIVISOR: u64 = 5;
/// Most of a measured time that is attributed to the predicted wait at the target.
const MAX_WAIT_PART: u64 = 2;

/// What is known of a service's capacity at this moment.
#[derive(Debug, Clone, Copy)]
struct ServiceFigures {
    used_percent: u32,
    /// Completions per millisecond of the own cell's targets; `None` if they are not known.
    cell_per_ms: Option<f64>,
    /// The part of them that frees slots for this gateway.
    own_per_ms: Option<f64>,
    run_ms: Option<f64>,
    capacity_age_ms: Option<u64>,
    load_age_ms: Option<u64>,
}

/// One pass over the waiting requests of a service.
struct QueuePass<'a> {
    now_ms: u64,
    service: &'a Name,
    policy: OverloadPolicy,
    /// Known once needed: while there are free slots, no request is left that waits.
    figures: OnceCell<ServiceFigures>,
    /// Requests seen so far that go on waiting.
    ahead: usize,
}

impl ServiceFigures {
    fn inputs(&self, standing: Standing, ahead: usize) -> Inputs {
        Inputs {
            standing,
            ahead,
            used_percent: self.used_percent,
            completions_per_ms: self.own_per_ms,
            run_ms: self.run_ms,
            capacity_age_ms: self.capacity_age_ms,
            load_age_ms: self.load_age_ms,
        }
    }
}

impl Placement {
    /// Adds a request to the queue, from which it is dispatched or rejected at once if that is certain. It takes its turn
    /// there, so that it does not precede more urgent requests.
    pub(super) fn admit_online(
        &mut self,
        now_ms: u64,
        mut spec: RequestSpec,
        out: &mut Vec<Action>,
    ) {
        if !self.has_usable(now_ms, &spec) {
            return self.refuse_no_target(now_ms, &spec, out);
        }
        let Some(policy) = self.overload_of(&spec.service).map(Overload::policy) else { return };
        let standing = standing(policy, now_ms, &spec);
        spec.deadline_ms = wait_until_ms(policy, now_ms, &spec, standing);
        self.set_effective_key(now_ms, &mut spec);
        if standing != Standing::Returning {
            self.queues_of(&spec).online.turns.record_new(now_ms);
        }
        if let Some(displaced) = self.enqueue_fair(now_ms, spec, standing) {
            self.reject_displaced(now_ms, &displaced, out);
        }
    }

    /// Rejects a request that lost its place in a full queue.
    fn reject_displaced(&mut self, now_ms: u64, spec: &RequestSpec, out: &mut Vec<Action>) {
        let Some(policy) = self.overload_of(&spec.service).map(Overload::policy) else { return };
        let figures = self.service_figures(now_ms, &spec.service);
        let queue = &mut self.queues_of(spec).online;
        let waiting = queue.len();
        let spare_part = queue.turns.spare_part(now_ms, figures.own_per_ms);
        let inputs = figures.inputs(standing(policy, now_ms, spec), waiting);
        let reason = RejectReason::QueueFull;
        self.rejections.push((spec.request, Rejection { reason, inputs }));
        self.reject(now_ms, spec, (waiting, spare_part), &figures, out);
    }

    /// Dispatches waiting requests in their order, and rejects those that will get no slot in time.
    pub(super) fn admit_waiting(
        &mut self,
        now_ms: u64,
        service: &Name,
        queue: &mut Queue,
        out: &mut Vec<Action>,
    ) {
        if queue.is_empty() {
            return;
        }
        let Some(policy) = self.overload_of(service).map(Overload::policy) else { return };
        self.renew_claims(now_ms, service);
        let mut waiting = QueuePass { now_ms, service, policy, figures: OnceCell::new(), ahead: 0 };
        let mut retries = self.ordered_retries(now_ms, service, queue);
        for spec in queue.take_new() {
            if queue.turns.has_credit() {
                self.dispatch_retries(&waiting, queue, &mut retries, RetryTurns::has_credit, out);
            }
            let standing = standing(policy, now_ms, &spec);
            if self.dispatch_if_free(&waiting, &spec, standing, out) {
                queue.fair(standing).record_served(&spec);
                if !retries.is_empty() {
                    queue.turns.record_new_served();
                }
                continue;
            }
            queue.turns.record_new_waits(now_ms);
            self.keep_or_reject(&mut waiting, spec, standing, queue, out);
        }
        let may_retry = |it: &RetryTurns| it.may_retry(now_ms);
        self.dispatch_retries(&waiting, queue, &mut retries, may_retry, out);
        for spec in retries {
            self.keep_or_reject(&mut waiting, spec, Standing::Returning, queue, out);
        }
    }

    /// Dispatches retries in their order while it is their turn and there are places.
    fn dispatch_retries(
        &mut self,
        waiting: &QueuePass<'_>,
        queue: &mut Queue,
        retries: &mut VecDeque<RequestSpec>,
        is_turn: impl Fn(&RetryTurns) -> bool,
        out: &mut Vec<Action>,
    ) {
        let mut next = 0;
        while is_turn(&queue.turns)
            && let Some(spec) = retries.get(next)
        {
            match self.dispatch_if_free(waiting, spec, Standing::Returning, out) {
                true => {
                    queue.fair(Standing::Returning).record_served(spec);
                    queue.turns.record_retry_served();
                    retries.remove(next);
                }
                // Those behind it may have a place: a protected one needs no claim, and may wait behind the slots of targets.
                false => next += 1,
            }
        }
    }

    /// Takes the waiting retries. Those that can still meet their objective come first: the others are late in any case.
    fn ordered_retries(
        &self,
        now_ms: u64,
        service: &Name,
        queue: &mut Queue,
    ) -> VecDeque<RequestSpec> {
        let first_event_ms =
            self.overload_of(service).map_or(0.0, |it| it.capacity.first_event_ms(now_ms, service));
        let is_in_time = |it: &RequestSpec| is_retry_in_time(now_ms, it, first_event_ms);
        let (in_time, late): (VecDeque<RequestSpec>, VecDeque<RequestSpec>) =
            queue.take_retries().into_iter().partition(is_in_time);
        in_time.into_iter().chain(late).collect()
    }

    /// Dispatches a request if a target can take it now; returns whether one can.
    fn dispatch_if_free(
        &mut self,
        waiting: &QueuePass<'_>,
        spec: &RequestSpec,
        standing: Standing,
        out: &mut Vec<Action>,
    ) -> bool {
        let QueuePass { now_ms, service, .. } = *waiting;
        let Some(target) = self.target_with_place(now_ms, spec, standing) else { return false };
        let is_free = self.is_within_share(now_ms, spec, target)
            && (self.is_protected(spec) || self.claim(service, target));
        if is_free {
            self.dispatch(now_ms, target, spec, out);
        }
        is_free
    }

    /// Rejects a request that will get no slot in time; otherwise it goes on waiting.
    fn keep_or_reject(
        &mut self,
        waiting: &mut QueuePass<'_>,
        spec: RequestSpec,
        standing: Standing,
        queue: &mut Queue,
        out: &mut Vec<Action>,
    ) {
        let QueuePass { now_ms, service, policy, .. } = *waiting;
        let figures = waiting.figures.get_or_init(|| self.service_figures(now_ms, service));
        let inputs = figures.inputs(standing, waiting.ahead);
        if let Verdict::Reject(reason) = decide(policy, now_ms, &spec, &inputs) {
            self.rejections.push((spec.request, Rejection { reason, inputs }));
            let spare_part = queue.turns.spare_part(now_ms, figures.own_per_ms);
            return self.reject(now_ms, &spec, (waiting.ahead, spare_part), figures, out);
        }
        // Enough slots are free somewhere, so the request goes where it would without overload control.
        if now_ms >= spec.deadline_ms
            && let Some(target) = self.best_online(now_ms, &spec)
        {
            return self.dispatch(now_ms, target, &spec, out);
        }
        waiting.ahead += 1;
        queue.fair(standing).push(spec);
    }

    /// Renews the claims to free places of the own cell's targets, if that is due. While workspaces are limited, only their
    /// requests need claims, and reserved slots are no places for them: if they counted, every gateway would seem to have
    /// enough claims, and all would send a request to the one target that has a slot more.
    fn renew_claims(&mut self, now_ms: u64, service: &Name) {
        if !self.overload_of(service).is_some_and(|it| it.admission.is_due(now_ms, service)) {
            return;
        }
        let (mut places, mut targets) = (0, 0);
        let mut at_targets: SmallVec<[(u64, u32, u32); 16]> = SmallVec::new();
        for (key, target) in self.ready(service).filter(|(_, it)| it.in_own_cell) {
            let (ahead, slots) = (self.requests_ahead(now_ms, target), target.entry.slots);
            at_targets.push((key, ahead, slots));
            places += slots.saturating_sub(ahead.saturating_add(self.reserved_for_others(target)));
            targets += 1;
        }
        let gateways = self.gateways_at_targets(targets);
        if let Some(overload) = &mut self.overload {
            for (key, requests, slots) in at_targets {
                overload.capacity.update_target(now_ms, service, key, requests, slots);
            }
            overload.admission.renew(now_ms, service, places, gateways, &mut self.rng);
        }
    }

    /// Number of gateways that use this many targets of the own cell. A gateway of another cell with a single request
    /// there does not count.
    fn gateways_at_targets(&self, targets: usize) -> u32 {
        let peers = self.peers.iter().filter(|(name, it)| {
            !is_cell_name(name) && it.targets.len() >= targets.min(MIN_USED_TARGETS)
        });
        1 + peers.count() as u32
    }

    /// Whether a waiting request may be sent to a target. In the own cell it uses a claim.
    fn claim(&mut self, service: &Name, target: u64) -> bool {
        let in_own_cell = self.targets.get(&target).is_some_and(|it| it.in_own_cell);
        let Some(overload) = self.overload.as_mut().filter(|_| in_own_cell) else { return true };
        let may_claim = overload.admission.may_claim(service);
        if may_claim {
            overload.admission.use_claim(service);
        }
        may_claim
    }

    /// The target that can take the request now, at once or after a wait there that is short enough; `None` if none can.
    fn target_with_place(
        &mut self,
        now_ms: u64,
        spec: &RequestSpec,
        standing: Standing,
    ) -> Option<u64> {
        let best = self.best_online(now_ms, spec);
        let has_cell_target = self.cell_targets_of(now_ms, spec).next().is_some();
        match best {
            Some(target) if !has_cell_target || self.has_room(now_ms, target) => Some(target),
            _ => self.best_wait(now_ms, spec, standing),
        }
    }

    /// Targets of the own cell that the request may use.
    fn cell_targets_of<'a>(
        &'a self,
        now_ms: u64,
        spec: &'a RequestSpec,
    ) -> impl Iterator<Item = (u64, &'a Target)> + 'a {
        let ready = self.ready(&spec.service).filter(|(_, it)| it.in_own_cell);
        ready.filter(move |(_, it)| {
            !it.health.in_backoff(now_ms)
                && !it.health.is_full(now_ms)
                && !spec.tried_targets.contains(&it.entry.name)
        })
    }

    /// Whether a target has a slot that is free or can be preempted, with a margin for the age of its load.
    fn has_room(&self, now_ms: u64, target: u64) -> bool {
        let Some(target) = self.targets.get(&target) else { return false };
        let spare = match target.distance() {
            _ if target.in_own_cell => 0,
            Distance::OtherRegion => SPARE_IN_OTHER_REGION,
            Distance::Cell | Distance::Zone | Distance::Region => SPARE_IN_REGION,
        };
        let (slots, load) = (target.entry.slots, target.load());
        target.estimated_total(now_ms) + spare < slots
            || load.batch > 0 && load.online + spare < slots
    }

    /// The target of the own cell at which the request starts first, if that is early enough.
    fn best_wait(&mut self, now_ms: u64, spec: &RequestSpec, standing: Standing) -> Option<u64> {
        let mut at_targets: SmallVec<[(u64, u32, u32); 16]> = SmallVec::new();
        let waiting = match self.is_protected(spec) {
            true => self.margins.waiting_at_target,
            false => 0,
        };
        for (key, target) in self.cell_targets_of(now_ms, spec) {
            let (requests, slots) = (self.requests_ahead(now_ms, target), target.entry.slots);
            if requests < slots + waiting {
                at_targets.push((key, requests, slots));
            }
        }
        let capacity = &mut self.overload.as_mut()?.capacity;
        let first_event_ms = capacity.first_event_ms(now_ms, &spec.service);
        let latest_ms = latest_start_ms(now_ms, spec, standing, first_event_ms);
        let mut starts: SmallVec<[(u64, u64); 16]> = SmallVec::new();
        for (key, requests, slots) in at_targets {
            capacity.update_target(now_ms, &spec.service, key, requests, slots);
            starts.push((capacity.start_in_ms(now_ms, key).unwrap_or(0.0) as u64, key));
        }
        starts.retain(|(in_ms, _)| latest_ms.is_none_or(|it| now_ms.saturating_add(*in_ms) <= it));
        if starts.is_empty() {
            return None;
        }
        // The better of two: all gateways know the same loads, and would choose the best one together.
        let mut random = || starts[self.rng.random_range(0..starts.len())];
        let (_, target) = random().min(random());
        Some(target)
    }

    /// Requests at a target that an online request has to wait for; items that can be preempted do not count.
    fn requests_ahead(&self, now_ms: u64, target: &Target) -> u32 {
        let total = target.estimated_total(now_ms);
        total.saturating_sub(target.load().batch).max(target.load().online)
    }

    fn service_figures(&self, now_ms: u64, service: &Name) -> ServiceFigures {
        let (mut used, mut slots) = (0_u64, 0_u64);
        let (mut own_online, mut online) = (0_u32, 0_u32);
        for (_, target) in self.ready(service) {
            let target_slots = target.entry.slots;
            used += u64::from(target.estimated_total(now_ms).min(target_slots));
            slots += u64::from(target_slots);
            if target.in_own_cell {
                own_online += target.own().online;
                online += target.load().online;
            }
        }
        let capacity = self.overload_of(service).map(|it| &it.capacity);
        let cell_targets = self.ready(service).filter(|(_, it)| it.in_own_cell);
        let cell_targets = cell_targets.map(|(key, it)| (key, it.entry.slots));
        let cell_per_ms =
            capacity.and_then(|it| it.completions_per_ms(now_ms, service, cell_targets));
        let gateways = self.gateways_at_targets(MIN_USED_TARGETS);
        let part =
            (f64::from(own_online) / f64::from(online.max(1))).max(1.0 / f64::from(gateways));
        ServiceFigures {
            used_percent: (used * 100 / slots.max(1)) as u32,
            cell_per_ms,
            own_per_ms: cell_per_ms.map(|it| it * part),
            run_ms: capacity.and_then(|it| it.run_ms(now_ms, service)),
            capacity_age_ms: capacity.and_then(|it| it.age_ms(now_ms, service)),
            load_age_ms: self.peers.values().map(|it| now_ms.saturating_sub(it.received_ms)).min(),
        }
    }

    /// What a decision about a new request with this many ahead of it is based on.
    pub(super) fn admission_inputs(&self, now_ms: u64, service: &Name, ahead: usize) -> Inputs {
        self.service_figures(now_ms, service).inputs(Standing::New, ahead)
    }

    /// Whether a target of the own cell has a slot that is free or can be preempted for an online request.
    pub(super) fn has_slot_in_cell(&self, now_ms: u64, service: &Name) -> bool {
        let mut targets = self.ready(service).filter(|(_, it)| it.in_own_cell);
        targets.any(|(_, it)| self.requests_ahead(now_ms, it) < it.entry.slots)
    }

    /// Rejects a request, and schedules the return of its caller.
    fn reject(
        &mut self,
        now_ms: u64,
        spec: &RequestSpec,
        (waiting, spare_part): (usize, f64),
        figures: &ServiceFigures,
        out: &mut Vec<Action>,
    ) {
        self.count_rejected(now_ms, spec);
        let max_ms = self.max_retry_ms(now_ms, spec);
        let Some(overload) = &mut self.overload else { return };
        let inputs = RetryInputs {
            waiting,
            peers_returns: overload.returns_in_cell(now_ms, &spec.service),
            own_per_ms: figures.own_per_ms,
            cell_per_ms: figures.cell_per_ms,
            spare_part,
            min_ms: overload.policy().min_retry_ms,
            max_ms,
        };
        let schedule = &mut overload.retry_schedule;
        let retry_after_ms = schedule.next_ms(now_ms, &spec.service, &inputs, &mut self.rng);
        let (request, reason) = (spec.request, Refusal::Overloaded);
        out.push(Action::Refuse { request, reason, retry_after_ms });
    }

    /// Longest retry time that is useful to the caller.
    fn max_retry_ms(&self, now_ms: u64, spec: &RequestSpec) -> u64 {
        let deadline_ms = spec.terms.deadline_ms;
        match self.overload_of(&spec.service) {
            Some(overload) if deadline_ms > 0 => {
                let percent = u64::from(overload.policy().max_retry_percent);
                (deadline_ms.saturating_sub(now_ms).saturating_mul(percent) / 100).max(1)
            }
            _ => MAX_RETRY_AFTER_MS,
        }
    }

    /// The retry time, where overload control is active limited to what is useful to the caller, and with jitter.
    pub(super) fn bounded_retry_ms(
        &mut self,
        now_ms: u64,
        spec: &RequestSpec,
        retry_ms: u64,
    ) -> u64 {
        if self.overload_of(&spec.service).is_none() {
            return retry_ms;
        }
        let most_ms = retry_ms.min(self.max_retry_ms(now_ms, spec)).max(1);
        self.rng.random_range(most_ms - most_ms / NO_TARGET_JITTER_DIVISOR..=most_ms)
    }

    /// Predicted wait at a target; 0 without overload control.
    pub(super) fn expected_wait_ms(&self, now_ms: u64, key: u64, spec: &RequestSpec) -> u64 {
        let overload = self.overload_of(&spec.service);
        let Some((overload, target)) = overload.zip(self.targets.get(&key)) else { return 0 };
        if self.requests_ahead(now_ms, target) < target.entry.slots {
            return 0;
        }
        overload.capacity.start_in_ms(now_ms, key).unwrap_or(0.0) as u64
    }

    /// Records the time from a dispatch to the first event.
    pub(super) fn record_first_event(&mut self, now_ms: u64, request: RequestId) {
        let Some(running) = self.running.get_mut(&request) else { return };
        if let Some(overload) = &mut self.overload {
            let elapsed_ms = without_wait_ms(now_ms, running);
            overload.capacity.record_first_event(now_ms, &running.service, elapsed_ms);
        }
        running.first_event_ms = Some(now_ms);
    }

    /// Records the run time of a completed request.
    pub(super) fn record_run(&mut self, now_ms: u64, running: &RunningRequest) {
        if let Some(overload) = &mut self.overload {
            let capacity = &overload.capacity;
            // The first event shows when the run started, however long the request waited at the target.
            let run_ms = match running.first_event_ms {
                Some(first_ms) => {
                    let before_ms = capacity.first_event_ms(now_ms, &running.service) as u64;
                    now_ms.saturating_sub(first_ms) + before_ms
                }
                None => without_wait_ms(now_ms, running),
            };
            overload.capacity.record_run(now_ms, &running.service, running.target, run_ms);
        }
        if self.frees_claimable_place(now_ms, running.target)
            && let Some(overload) = &mut self.overload
        {
            overload.admission.add_claim(&running.service);
        }
    }

    /// Whether a request that has ended at a target has freed a place there that may be claimed.
    fn frees_claimable_place(&self, now_ms: u64, target: u64) -> bool {
        let target = self.targets.get(&target).filter(|it| it.in_own_cell);
        target.is_some_and(|it| {
            self.reserved_for_others(it) == 0 || self.free_for_limited(now_ms, it) > 0
        })
    }
}

/// Time since the dispatch without the predicted wait at the target.
fn without_wait_ms(now_ms: u64, running: &RunningRequest) -> u64 {
    let elapsed_ms = now_ms.saturating_sub(running.started_ms);
    elapsed_ms - running.expected_wait_ms.min(elapsed_ms / MAX_WAIT_PART)
}
