//! Who runs what, where and when: routing, limits, queues, retries and refusal behind one border.
//!
//! The dispatcher gets every request that wants a target, online or batch, and answers each with exactly one final
//! action: it was dispatched and ended, or it was refused. One task owns it; events go in by [`Dispatcher::handle`],
//! actions come out in order.
//!
//! No event looks at all requests or all targets: requests are found by their identity, each service has its own short
//! queue, and this process uses a bounded subset of a service's targets. Only a new manifest is read whole.

mod admission;
mod attempt;
mod attempts;
mod counters;
mod decayed;
mod envelope;
mod fairness;
mod health;
mod lending;
mod limits;
mod load;
mod loan;
mod messages;
mod pace;
mod policy;
mod queue;
mod refusal;
mod retry;
mod routing;
pub mod slot_allocator;
mod step_model;
mod targets;
mod trial;

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
use fairness::FairQueue;
use pace::Pace;
use queue::{OnlineQueue, Tag};
use refusal::ReturnTimes;
use retry::RetryBudget;
use slot_allocator::LiveGateway;
use targets::{TargetId, Targets};

/// Where a request stands.
#[derive(Debug, Clone, Copy)]
enum Stage {
    /// Online, between two places.
    Arrived,
    /// Online, in the queue of its service.
    Queued(Tag),
    /// Batch, waiting for lent capacity.
    Waiting,
    /// At a target.
    Running(Running),
}

/// An attempt in hand.
#[derive(Debug, Clone, Copy)]
struct Running {
    target: TargetId,
    started_ms: u64,
    recalled: bool,
    /// Slot time that the item was charged when it started.
    charged_ms: f64,
}

#[derive(Debug)]
struct Request {
    ask: RequestSpec,
    stage: Stage,
    tried: SmallVec<[Name; 2]>,
    doubt: Option<MayHaveRunReason>,
}

impl Request {
    fn new(ask: RequestSpec, stage: Stage) -> Request {
        Request { ask, stage, tried: SmallVec::new(), doubt: None }
    }
}

/// What is kept for each service.
#[derive(Debug)]
struct ServiceState {
    queue: OnlineQueue,
    batch: FairQueue,
    pace: Pace,
    retries: RetryBudget,
    returns: ReturnTimes,
    online: u32,
}

impl ServiceState {
    fn new(policy: &Policy) -> ServiceState {
        ServiceState {
            queue: OnlineQueue::default(),
            batch: FairQueue::default(),
            pace: Pace::default(),
            retries: RetryBudget::new(policy.retry_percent),
            returns: ReturnTimes::default(),
            online: 0,
        }
    }

    fn drain_per_ms(&self, now_ms: u64) -> f64 {
        self.pace.drain_per_ms(now_ms, self.online)
    }
}

/// State of all dispatching in one process.
#[derive(Debug)]
pub struct Dispatcher {
    policy: Policy,
    manifest: Arc<Manifest>,
    targets: Targets,
    services: BTreeMap<Name, ServiceState>,
    requests: BTreeMap<RequestId, Request>,
    workspaces: BTreeMap<Name, u32>,
    counters: Counters,
    own_name: Name,
    doors: Vec<LiveGateway>,
    // Wall-clock time of the event in hand.
    unix_ms: u64,
    rng: SmallRng,
}

impl Dispatcher {
    /// Dispatcher without declarations: it refuses everything until the first [`Input::Manifest`]. The seed also
    /// decides which targets this process uses.
    pub fn new(location: Location, seed: u64) -> Dispatcher {
        Dispatcher {
            policy: Policy::default(),
            manifest: Arc::default(),
            targets: Targets::new(location, seed),
            services: BTreeMap::new(),
            requests: BTreeMap::new(),
            workspaces: BTreeMap::new(),
            counters: Counters::default(),
            own_name: Name::from(""),
            doors: Vec::new(),
            unix_ms: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets the bounds; to be called before the first event.
    pub fn with_policy(mut self, policy: Policy) -> Dispatcher {
        self.policy = policy;
        self
    }

    /// Takes one event; appends what to do to `out`.
    pub fn handle(&mut self, now: Now, input: Input, out: &mut Vec<Action>) {
        let now_ms = now.mono_ms;
        self.unix_ms = now.unix_ms;
        match input {
            Input::Manifest(manifest) => self.apply(now_ms, manifest, out),
            Input::Request(ask) => self.ask(now_ms, ask, out),
            Input::AttemptEnded { request, end } => self.ended(now_ms, request, end, out),
            Input::Cancelled { request } => self.gone(now_ms, request, out),
            Input::LoadReport { target, running, waiting } => {
                self.reported(now_ms, &target, running.saturating_add(waiting), out);
            }
            Input::ProgressReport { target, steps, tokens } => {
                self.worked(now_ms, &target, steps, tokens)
            }
            Input::LiveGateways { own_name, live } => self.doors(now_ms, own_name, live, out),
            Input::SlotGrant { target, allocator, slots, epoch } => {
                self.share(now_ms, &target, &allocator, (slots, epoch), out);
            }
            Input::Demand { gateway, load } => self.demand(now_ms, &gateway, &load, out),
            Input::Unreachable { target } => self.eject(now_ms, &target, Ejection::Unreachable),
            Input::Leaving { target } => self.eject(now_ms, &target, Ejection::Leaving),
            Input::ReportedLeaving { target, for_ms } => {
                self.targets.told_leaving(&target, now_ms + for_ms);
            }
            Input::Tick => self.tick(now_ms, out),
        }
    }

    /// Counts since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// State at this moment; looks at each target in use, so it is not for every event.
    pub fn gauges(&self, now: Now) -> Gauges {
        let mut gauges = Gauges { known: self.requests.len(), ..Gauges::default() };
        for (name, service) in &self.services {
            gauges.queued += service.queue.len();
            gauges.waiting_batch += service.batch.len();
            gauges.online += service.online as usize;
            for (_, target) in self.targets.of_service(name) {
                gauges.targets += 1;
                gauges.ejected += usize::from(target.health.is_ejected(now.mono_ms));
            }
        }
        gauges
    }

    /// Targets whose load is worth asking for: name, address, and whether this process has work there.
    pub fn targets_in_use(&self) -> impl Iterator<Item = (&Name, SocketAddr, bool)> {
        self.targets.in_use()
    }

    /// Targets in use as this process sees them; for operators, not for every event.
    pub fn target_views(&self, now: Now) -> Vec<TargetView> {
        self.targets.views(now.mono_ms).collect()
    }

    fn apply(&mut self, now_ms: u64, manifest: Arc<Manifest>, out: &mut Vec<Action>) {
        if manifest.revision < self.manifest.revision {
            return;
        }
        self.targets.apply(now_ms, &manifest);
        for name in manifest.services.keys() {
            if !self.services.contains_key(name) {
                self.services.insert(Name::clone(name), ServiceState::new(&self.policy));
            }
        }
        self.manifest = manifest;
        self.assign_roles(now_ms);
        self.review_loans(now_ms, out);
        for service in self.service_names() {
            if !self.manifest.services.contains_key(&service) {
                self.refuse_waiting(now_ms, &service, Refusal::UnknownService, out);
                self.services.remove(&service);
            }
        }
        self.settle_all(now_ms, out);
    }

    fn reported(&mut self, now_ms: u64, name: &Name, total: u32, out: &mut Vec<Action>) {
        let Some(target) = self.targets.find(name).and_then(|it| self.targets.get_mut(it)) else {
            return;
        };
        target.health.reached(now_ms);
        if target.load.report(now_ms, total) {
            self.counters.reports_distrusted += 1;
        }
        let service = Name::clone(&target.declared.service);
        if let Some(id) = self.targets.find(name) {
            self.recall_above_slots(now_ms, id, out);
        }
        self.settle(now_ms, &service, out);
    }

    fn worked(&mut self, now_ms: u64, target: &Name, steps: u64, tokens: u64) {
        if let Some(target) = self.targets.find(target).and_then(|it| self.targets.get_mut(it)) {
            target.loan.worked(now_ms, steps, tokens);
        }
    }

    fn eject(&mut self, now_ms: u64, target: &Name, reason: Ejection) {
        if self.targets.eject(now_ms, target, reason) {
            self.counters.ejected(reason);
        }
    }

    fn tick(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        self.review_loans(now_ms, out);
        for service in self.service_names() {
            self.give_up_expired(now_ms, &service, out);
        }
        self.settle_all(now_ms, out);
    }

    fn settle_all(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        for service in self.service_names() {
            self.settle(now_ms, &service, out);
        }
    }

    /// Gives room to those who wait for it: online requests first.
    fn settle(&mut self, now_ms: u64, service: &Name, out: &mut Vec<Action>) {
        self.drain_queue(now_ms, service, out);
        self.lend(now_ms, service, out);
    }

    fn service_names(&self) -> SmallVec<[Name; 8]> {
        self.services.keys().cloned().collect()
    }
}
