//! Dispatcher: chooses which target runs each request and when. Covers routing, concurrency limits, queues, retries,
//! load shedding and the capacity that batch work may use.
//!
//! The dispatcher receives every request that needs a target, online or batch. Unless it is cancelled, each request ends
//! in exactly one of two ways: with the end of an attempt at a target, or by a refusal. A single task owns the
//! dispatcher and passes events to [`Dispatcher::handle`], which appends actions in the order in which they are to be
//! carried out.
//!
//! No event scans all requests or all targets: requests are found by identity, each service has its own short queue,
//! and this process uses a bounded subset of a service's targets. Only a new manifest is processed in full.

mod admission;
mod attempt;
mod attempts;
mod batch_capacity;
mod batch_queue;
mod batch_scheduling;
mod counters;
mod decayed_histogram;
mod decrease_trial;
mod health;
mod limits;
mod load;
mod messages;
mod online_demand;
mod online_queue;
mod policy;
mod retry;
mod retry_after;
mod routing;
mod service_stats;
pub mod slot_allocator;
mod step_model;
mod targets;

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use rand::{SeedableRng, rngs::SmallRng};
use smallvec::SmallVec;

pub use attempt::AttemptEnd;
pub use counters::{Counters, Gauges, TargetView};
pub use health::Ejection;
pub use messages::{Action, Class, Input, Location, RequestId, RequestSpec};
pub use policy::Policy;
pub use retry::RetryReason;

use crate::{
    Name,
    manifest::Manifest,
    time::Now,
    verdict::{MayHaveRunReason, Refusal},
};
use batch_queue::BatchQueue;
use online_queue::{OnlineQueue, Tag};
use retry::RetryBudget;
use retry_after::RetryAfterSchedule;
use service_stats::ServiceStats;
use slot_allocator::LiveGateway;
use targets::{TargetId, Targets};

/// Lifecycle stage of a request.
#[derive(Debug, Clone, Copy)]
enum Stage {
    /// Neither queued nor running: newly arrived, or between two attempts.
    Unassigned,
    /// Online, in the queue of its service.
    Queued(Tag),
    /// Batch, waiting for a batch slot.
    WaitingForSlot,
    /// An attempt is running at a target.
    Running(RunningAttempt),
}

/// An attempt that is running at a target.
#[derive(Debug, Clone, Copy)]
struct RunningAttempt {
    target: TargetId,
    started_ms: u64,
    preempted: bool,
    /// Estimated slot time that a batch item was charged at its start; 0 for online requests.
    charged_ms: f64,
}

#[derive(Debug)]
struct Request {
    spec: RequestSpec,
    stage: Stage,
    tried_targets: SmallVec<[Name; 2]>,
    /// Set when the answer of an earlier attempt was lost, so the request may have run.
    may_have_run: Option<MayHaveRunReason>,
}

impl Request {
    fn new(spec: RequestSpec, stage: Stage) -> Request {
        Request { spec, stage, tried_targets: SmallVec::new(), may_have_run: None }
    }
}

/// Queues and measurements of one service.
#[derive(Debug)]
struct ServiceState {
    online_queue: OnlineQueue,
    batch_queue: BatchQueue,
    stats: ServiceStats,
    retry_budget: RetryBudget,
    retry_after: RetryAfterSchedule,
    /// Online requests that are running.
    online_running: u32,
}

impl ServiceState {
    fn new(policy: &Policy) -> ServiceState {
        ServiceState {
            online_queue: OnlineQueue::default(),
            batch_queue: BatchQueue::default(),
            stats: ServiceStats::default(),
            retry_budget: RetryBudget::new(policy.retry_percent),
            retry_after: RetryAfterSchedule::default(),
            online_running: 0,
        }
    }

    fn completions_per_ms(&self, now_ms: u64) -> f64 {
        self.stats.completions_per_ms(now_ms, self.online_running)
    }
}

/// Dispatching state of one process; see the module documentation.
#[derive(Debug)]
pub struct Dispatcher {
    policy: Policy,
    manifest: Arc<Manifest>,
    targets: Targets,
    services: BTreeMap<Name, ServiceState>,
    requests: BTreeMap<RequestId, Request>,
    /// Online requests queued or running, by workspace.
    online_by_workspace: BTreeMap<Name, u32>,
    counters: Counters,
    own_name: Name,
    live_gateways: Vec<LiveGateway>,
    /// Wall-clock time of the event that is being handled.
    unix_ms: u64,
    rng: SmallRng,
}

impl Dispatcher {
    /// Creates a dispatcher without a manifest: it refuses everything until the first [`Input::Manifest`]. Besides
    /// seeding random choices, `seed` determines which subset of the targets this process uses.
    pub fn new(location: Location, seed: u64) -> Dispatcher {
        Dispatcher {
            policy: Policy::default(),
            manifest: Arc::default(),
            targets: Targets::new(location, seed),
            services: BTreeMap::new(),
            requests: BTreeMap::new(),
            online_by_workspace: BTreeMap::new(),
            counters: Counters::default(),
            own_name: Name::from(""),
            live_gateways: Vec::new(),
            unix_ms: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets the bounds on queues and retries. Must be called before the first event, as a service keeps the retry
    /// budget of its creation.
    pub fn with_policy(mut self, policy: Policy) -> Dispatcher {
        self.policy = policy;
        self
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Now, input: Input, out: &mut Vec<Action>) {
        let now_ms = now.mono_ms;
        self.unix_ms = now.unix_ms;
        match input {
            Input::Manifest(manifest) => self.apply_manifest(now_ms, manifest, out),
            Input::Request(spec) => self.admit(now_ms, spec, out),
            Input::AttemptEnded { request, end } => self.attempt_ended(now_ms, request, end, out),
            Input::Cancelled { request } => self.cancel(now_ms, request, out),
            Input::LoadReport { target, running, waiting } => {
                self.update_load(now_ms, &target, running.saturating_add(waiting), out);
            }
            Input::ProgressReport { target, steps, tokens } => {
                self.update_progress(now_ms, &target, steps, tokens)
            }
            Input::LiveGateways { own_name, live } => {
                self.update_live_gateways(now_ms, own_name, live, out)
            }
            Input::SlotGrant { target, allocator, slots, epoch } => {
                self.update_slot_lease(now_ms, &target, &allocator, (slots, epoch), out);
            }
            Input::Demand { gateway, load } => self.update_demand(now_ms, &gateway, &load, out),
            Input::Unreachable { target } => self.eject(now_ms, &target, Ejection::Unreachable),
            Input::Leaving { target } => self.eject(now_ms, &target, Ejection::Leaving),
            Input::ReportedLeaving { target, for_ms } => {
                self.targets.reported_leaving(&target, now_ms + for_ms);
            }
            Input::Tick => self.tick(now_ms, out),
        }
    }

    /// Counters since the start of the process.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Current gauge values. Visits every target in use, so it should not be called for every event.
    pub fn gauges(&self, now: Now) -> Gauges {
        let mut gauges = Gauges { known: self.requests.len(), ..Gauges::default() };
        for (name, service) in &self.services {
            gauges.queued += service.online_queue.len();
            gauges.waiting_batch += service.batch_queue.len();
            gauges.online += service.online_running as usize;
            for (_, target) in self.targets.of_service(name) {
                gauges.targets += 1;
                gauges.ejected += usize::from(target.health.is_ejected(now.mono_ms));
            }
        }
        gauges
    }

    /// Targets whose load should be polled: name, address, and whether this process has work running there.
    pub fn targets_in_use(&self) -> impl Iterator<Item = (&Name, SocketAddr, bool)> {
        self.targets.in_use()
    }

    /// Per-target state for operators. Visits every target in use, so it should not be called for every event.
    pub fn target_views(&self, now: Now) -> Vec<TargetView> {
        self.targets.views(now.mono_ms).collect()
    }

    /// Applies a manifest unless its revision is older than the current one. Requests that wait for a service that is
    /// no longer declared are refused.
    fn apply_manifest(&mut self, now_ms: u64, manifest: Arc<Manifest>, out: &mut Vec<Action>) {
        if manifest.revision < self.manifest.revision {
            return;
        }
        self.targets.apply_manifest(now_ms, &manifest);
        for name in manifest.services.keys() {
            if !self.services.contains_key(name) {
                self.services.insert(Name::clone(name), ServiceState::new(&self.policy));
            }
        }
        self.manifest = manifest;
        self.assign_roles(now_ms);
        self.refresh_batch_capacity(now_ms, out);
        for service in self.service_names() {
            if !self.manifest.services.contains_key(&service) {
                self.refuse_all_waiting(now_ms, &service, Refusal::UnknownService, out);
                self.services.remove(&service);
            }
        }
        self.schedule_all(now_ms, out);
    }

    fn update_load(&mut self, now_ms: u64, name: &Name, total: u32, out: &mut Vec<Action>) {
        let Some(target) = self.targets.find(name).and_then(|it| self.targets.get_mut(it)) else {
            return;
        };
        target.health.mark_reached(now_ms);
        if target.load.report(now_ms, total) {
            self.counters.reports_distrusted += 1;
        }
        let service = Name::clone(&target.declared.service);
        if let Some(id) = self.targets.find(name) {
            self.preempt_above_slots(now_ms, id, out);
        }
        self.schedule(now_ms, &service, out);
    }

    fn update_progress(&mut self, now_ms: u64, target: &Name, steps: u64, tokens: u64) {
        if let Some(target) = self.targets.find(target).and_then(|it| self.targets.get_mut(it)) {
            target.batch_capacity.update_progress(now_ms, steps, tokens);
        }
    }

    fn eject(&mut self, now_ms: u64, target: &Name, reason: Ejection) {
        if self.targets.eject(now_ms, target, reason) {
            self.counters.ejected(reason);
        }
    }

    fn tick(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        self.refresh_batch_capacity(now_ms, out);
        for service in self.service_names() {
            self.refuse_expired(now_ms, &service, out);
        }
        self.schedule_all(now_ms, out);
    }

    fn schedule_all(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        for service in self.service_names() {
            self.schedule(now_ms, &service, out);
        }
    }

    /// Dispatches waiting requests of a service to free capacity, online requests before batch items.
    fn schedule(&mut self, now_ms: u64, service: &Name, out: &mut Vec<Action>) {
        self.schedule_online(now_ms, service, out);
        self.schedule_batch(now_ms, service, out);
    }

    fn service_names(&self) -> SmallVec<[Name; 8]> {
        self.services.keys().cloned().collect()
    }
}
