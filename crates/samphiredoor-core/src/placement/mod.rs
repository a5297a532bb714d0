//! Load balancing and admission: which target gets a request, when it waits in a queue, and when it is refused.
//!
//! Targets admit requests in order of arrival and have no priorities, so a request that is sent to a full target waits
//! behind whatever is there. Placement therefore depends on where slots are free. Each gateway counts its own requests
//! exactly and sends the counts to its peers whenever they change. The load that a target reports in the headers of its
//! answers reveals requests that no gateway accounts for. Outdated loads cost a short wait at a target, never a wrong
//! answer.
//!
//! In a large fleet these peers are the gateways of one cell: gateways of one availability zone that share some of its
//! targets and prefer them. Of other cells a gateway has only summaries that are a little older.
//!
//! An online request goes to the nearest target with a free slot, then to one where a batch item holds a slot; the
//! gateway of that item then preempts it. Batch items start only where some slots stay free for online requests.

mod admission;
mod cells;
mod choice;
mod cost;
mod fair_queue;
mod fairness;
mod health;
mod items;
mod jobs;
mod messages;
mod predictions;
mod queue;
mod resumption;
mod shares;
mod silence;
mod target;

use std::collections::{BTreeMap, HashMap, HashSet};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use smallvec::SmallVec;

pub use cells::{CellId, Cells, sum_states, summary_interval_ms};
pub use choice::Margins;
pub use fairness::ShareReport;
pub use messages::{Action, GatewayLoad, GatewayState, Input, WaitingItems};
pub use predictions::ServicePrediction;
pub use silence::{SilenceReport, SilentAttempt, SlotUse};
pub use target::{Distance, Load};

use crate::{
    Name,
    dispatch::{Class, Location, RequestId},
    overload::{Overload, OverloadNews, OverloadPolicy, admission::Rejection},
    verdict::Refusal,
};
pub use crate::{
    names::{is_cell_name, name_hash},
    requests::{AttemptEnd, CallerTerms, RequestSpec, Resumption},
    target_entry::{ReportedLoad, TargetEntry, TargetState},
};
use choice::slots_for_items;
use items::ItemQueue;
use queue::Queue;
use shares::Demand;
use target::Target;

/// Time without a message from a peer after which its requests count as ended; peers send at least every 500 ms.
const PEER_TIMEOUT_MS: u64 = 1_600;
/// Shortest retry-after of a refusal; a caller that retries sooner meets the same full targets.
const MIN_RETRY_AFTER_MS: u64 = 120;
/// Longest retry-after of a refusal, so that targets in backoff are tried again within it.
const MAX_RETRY_AFTER_MS: u64 = 1_000;

#[derive(Debug)]
struct RunningRequest {
    class: Class,
    service: Name,
    target: u64,
    /// Start of the target's process.
    target_started_unix_ms: u64,
    /// Whether the target has been silent since it last sent data.
    is_silent: bool,
    preempted: bool,
    started_ms: u64,
    /// Predicted wait at the target; 0 without overload control.
    expected_wait_ms: u64,
    /// When its first event arrived, if that is known.
    first_event_ms: Option<u64>,
    /// Total time of earlier runs of the item.
    prior_run_ms: u64,
    /// When the item is due.
    due_ms: u64,
    /// Key under which it counts in the fair shares of workspaces, if it does.
    share_key: Option<u64>,
}

#[derive(Debug)]
struct Peer {
    received_ms: u64,
    /// Targets at which the peer has requests.
    targets: Vec<u64>,
    /// Its online requests at targets.
    online: u32,
    waiting: Vec<WaitingItems>,
}

/// Requests of one service that wait for capacity.
#[derive(Debug, Default)]
struct ServiceQueues {
    online: Queue,
    batch: ItemQueue,
}

/// Totals since the process started.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counters {
    /// Requests sent to a target.
    pub dispatched: u64,
    /// Items preempted for online requests.
    pub preempted: u64,
}

/// Placement state of one gateway.
#[derive(Debug)]
pub struct Placement {
    own_name: Name,
    location: Location,
    targets: BTreeMap<u64, Target>,
    /// Targets assigned to the own cell; `None` while the whole fleet counts as one cell.
    cell_targets: Option<HashSet<u64>>,
    peers: HashMap<Name, Peer>,
    running: HashMap<RequestId, RunningRequest>,
    queues: BTreeMap<Name, ServiceQueues>,
    counters: Counters,
    /// Whether the own state has changed since it was last taken.
    state_changed: bool,
    needs_peer_preemption: bool,
    margins: Margins,
    /// `None` where overload control is off.
    overload: Option<Overload>,
    /// Requests that overload control has rejected since they were last taken.
    rejections: Vec<(RequestId, Rejection)>,
    /// Whether only items start that an earlier run has partly done.
    holds_new_items: bool,
    rng: SmallRng,
}

impl Placement {
    /// Creates a placement without targets. Until the first [`Input::Targets`], items wait and online requests are refused.
    pub fn new(own_name: Name, location: Location, seed: u64) -> Placement {
        Placement {
            own_name,
            location,
            targets: BTreeMap::new(),
            cell_targets: None,
            peers: HashMap::new(),
            running: HashMap::new(),
            queues: BTreeMap::new(),
            counters: Counters::default(),
            state_changed: false,
            needs_peer_preemption: false,
            margins: Margins::default(),
            overload: None,
            rejections: Vec::new(),
            holds_new_items: false,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Replaces the default margins.
    pub fn with_margins(self, margins: Margins) -> Placement {
        Placement { margins, ..self }
    }

    /// Switches overload control on.
    pub fn with_overload(self, policy: OverloadPolicy) -> Placement {
        Placement { overload: Some(Overload::new(policy)), ..self }
    }

    /// Overload control, if it is active for the service.
    pub fn overload_of(&self, service: &Name) -> Option<&Overload> {
        self.overload.as_ref().filter(|it| it.is_active(service))
    }

    /// What overload control shares with peers; empty where it is off.
    pub fn news(&self, now_ms: u64) -> OverloadNews {
        let Some(overload) = &self.overload else { return OverloadNews::default() };
        let (owed, item_runs) = (self.owed_items(now_ms), self.item_runs());
        OverloadNews { owed, item_runs, ..overload.news(now_ms) }
    }

    /// Processes one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now_ms: u64, input: Input, out: &mut Vec<Action>) {
        self.refresh_shares(now_ms);
        match input {
            Input::Targets(entries) => self.set_targets(now_ms, entries),
            Input::CellTargets(targets) => self.set_cell_targets(targets),
            Input::Request(spec) => self.place_request(now_ms, spec, out),
            Input::Ended { request, end } => self.attempt_ended(now_ms, request, end),
            // It changes no load, so no waiting request can be dispatched after it.
            Input::FirstEvent { request } => {
                self.end_silence(request);
                return self.record_first_event(now_ms, request);
            }
            Input::SilenceEnded { request } => self.end_silence(request),
            Input::Cancelled { request } => self.cancel(now_ms, request),
            Input::LoadReport { target, load } => {
                let key = name_hash(&target);
                if let Some(target) = self.targets.get_mut(&key) {
                    target.record_report(now_ms, load);
                    if let (Some(overload), Some(percent)) = (&mut self.overload, load.work_percent)
                    {
                        overload.record_speed(now_ms, key, &target.entry.service, percent);
                    }
                }
            }
            Input::Peer { peer: name, state } => self.update_peer(now_ms, name, state),
            Input::PeerNews { peer, news } => {
                if self.has_overload() {
                    self.observe_services(&news);
                }
                if let Some(overload) = &mut self.overload {
                    overload.record_news(now_ms, peer, news);
                }
            }
            Input::Tick => self.expire_peers(now_ms),
        }
        self.sample_free_slots(now_ms);
        self.preempt(out);
        self.dispatch_waiting(now_ms, out);
    }

    /// Whether overload control is on, so that [`Input::FirstEvent`] is needed.
    pub fn has_overload(&self) -> bool {
        self.overload.is_some()
    }

    /// Requests that overload control has rejected since the last call, and why.
    pub fn take_rejections(&mut self) -> Vec<(RequestId, Rejection)> {
        std::mem::take(&mut self.rejections)
    }

    /// Sets whether only items start that an earlier run has partly done. Takes effect with the next input.
    pub fn hold_new_items(&mut self, holds: bool) {
        // Peers leave slots to the items that wait here, so they are told that these cannot start.
        self.state_changed |= self.holds_new_items != holds;
        self.holds_new_items = holds;
    }

    /// Number of waiting items that may not start, see [`Placement::hold_new_items`].
    pub fn held_items(&self) -> usize {
        self.queues.values().map(|it| it.batch.len() - self.startable_len(&it.batch)).sum()
    }

    /// Number of waiting items that may start once there is a slot.
    fn startable_len(&self, queue: &ItemQueue) -> usize {
        if self.holds_new_items { queue.started_len() } else { queue.len() }
    }

    /// State to send to peers, if it has changed since the last call.
    pub fn take_changed_state(&mut self) -> Option<GatewayState> {
        std::mem::take(&mut self.state_changed).then(|| self.state())
    }

    /// Whether, since the last call, an online request was sent to a target where only a peer can free a slot.
    pub fn take_needs_peer_preemption(&mut self) -> bool {
        std::mem::take(&mut self.needs_peer_preemption)
    }

    /// This gateway's requests at targets and its waiting items, as sent to peers.
    pub fn state(&self) -> GatewayState {
        let loads = self.targets.iter().filter_map(|(key, it)| it.own_load(*key)).collect();
        let waiting = self.queues.iter().map(|(service, it)| WaitingItems {
            service: name_hash(service),
            items: self.startable_len(&it.batch) as u32,
        });
        GatewayState { loads, waiting: waiting.filter(|it| it.items > 0).collect() }
    }

    /// Totals since the process started.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Numbers of waiting requests: online requests, batch items.
    pub fn waiting(&self) -> (usize, usize) {
        let queues = self.queues.values();
        queues.fold((0, 0), |sum, it| (sum.0 + it.online.len(), sum.1 + it.batch.len()))
    }

    fn set_targets(&mut self, now_ms: u64, entries: Vec<TargetEntry>) {
        if let Some(overload) = &mut self.overload {
            overload.set_targets(now_ms, &entries);
        }
        let mut former = std::mem::take(&mut self.targets);
        for entry in entries {
            let key = name_hash(&entry.name);
            let target = match former.remove(&key) {
                Some(mut known) => {
                    known.update(entry);
                    known
                }
                None => self.new_target(key, entry),
            };
            self.targets.insert(key, target);
        }
        self.state_changed = true;
    }

    fn set_cell_targets(&mut self, targets: HashSet<u64>) {
        for (key, target) in &mut self.targets {
            target.in_own_cell = targets.contains(key);
        }
        self.cell_targets = Some(targets);
    }

    // A target whose entry was missing for a moment still runs its earlier requests, so they are counted again.
    fn new_target(&self, key: u64, entry: TargetEntry) -> Target {
        let in_own_cell = self.cell_targets.as_ref().is_none_or(|it| it.contains(&key));
        let mut target = Target::new(entry, &self.location, in_own_cell);
        for (request, running) in self.running.iter().filter(|(_, it)| it.target == key) {
            target.add_request(*request, running.class, running.preempted);
        }
        target
    }

    fn place_request(&mut self, now_ms: u64, spec: RequestSpec, out: &mut Vec<Action>) {
        match spec.class {
            Class::Batch => {
                self.queues_of(&spec).batch.push(spec);
                self.state_changed = true;
            }
            Class::Online if spec.resumes.is_some() => self.place_resumption(now_ms, spec, out),
            Class::Online if self.overload_of(&spec.service).is_some() => {
                self.admit_online(now_ms, spec, out)
            }
            Class::Online => match self.best_online(now_ms, &spec) {
                Some(key) => self.dispatch(now_ms, key, &spec, out),
                None if !self.has_usable(now_ms, &spec) => {
                    self.refuse_no_target(now_ms, &spec, out)
                }
                None => self.queues_of(&spec).online.push(spec),
            },
        }
    }

    fn queues_of(&mut self, spec: &RequestSpec) -> &mut ServiceQueues {
        self.queues.entry(Name::clone(&spec.service)).or_default()
    }

    /// Removes a request that its caller gave up from its queue, or frees its slot if it was dispatched meanwhile.
    fn cancel(&mut self, now_ms: u64, request: RequestId) {
        for queues in self.queues.values_mut() {
            queues.online.remove(request);
            queues.batch.remove(request);
        }
        self.attempt_ended(now_ms, request, AttemptEnd::Cut);
        self.state_changed = true;
    }

    fn attempt_ended(&mut self, now_ms: u64, request: RequestId, end: AttemptEnd) {
        let Some(running) = self.running.remove(&request) else { return };
        if let Some(target) = self.targets.get_mut(&running.target) {
            target.remove_request(now_ms, request, running.class, end);
        }
        if running.class == Class::Online && end == AttemptEnd::Answered {
            self.record_run(now_ms, &running);
        }
        if let Some(overload) = &mut self.overload {
            let run_ms = now_ms.saturating_sub(running.started_ms);
            let run_ms = (running.prior_run_ms == 0).then_some(run_ms);
            let kind = (&running.service, running.class);
            overload.record_end(now_ms, kind, (running.target, run_ms), end);
        }
        self.count_ended(running.share_key, now_ms.saturating_sub(running.started_ms));
        if running.class == Class::Batch && end == AttemptEnd::Answered {
            let run_ms = running.prior_run_ms + now_ms.saturating_sub(running.started_ms);
            self.queues.entry(running.service).or_default().batch.record_run(run_ms);
        }
        self.state_changed = true;
    }

    fn update_peer(&mut self, now_ms: u64, name: Name, state: GatewayState) {
        if name == self.own_name {
            return;
        }
        let GatewayState { loads, waiting } = state;
        let targets = loads.iter().map(|it| it.target).collect();
        let online = loads.iter().fold(0, |sum: u32, it| sum.saturating_add(it.online));
        let peer = Peer { received_ms: now_ms, targets, online, waiting };
        let before = self.peers.insert(Name::clone(&name), peer);
        for key in before.into_iter().flat_map(|it| it.targets) {
            if let Some(target) = self.targets.get_mut(&key) {
                target.set_peer_load(&name, Load::default());
            }
        }
        for load in &loads {
            if let Some(target) = self.targets.get_mut(&load.target) {
                target.set_peer_load(&name, Load { online: load.online, batch: load.batch });
            }
        }
    }

    fn expire_peers(&mut self, now_ms: u64) {
        let targets = &mut self.targets;
        self.peers.retain(|name, peer| {
            let timed_out = now_ms >= peer.received_ms + PEER_TIMEOUT_MS;
            for key in peer.targets.iter().filter(|_| timed_out) {
                if let Some(target) = targets.get_mut(key) {
                    target.set_peer_load(name, Load::default());
                }
            }
            !timed_out
        });
    }

    fn preempt(&mut self, out: &mut Vec<Action>) {
        for target in self.targets.values_mut().filter(|it| it.own().batch > 0) {
            for request in target.preempt(&self.own_name) {
                self.counters.preempted += 1;
                if let Some(running) = self.running.get_mut(&request) {
                    running.preempted = true;
                }
                out.push(Action::Preempt { request });
            }
        }
    }

    /// Dispatches or refuses waiting requests; of each service, items are dispatched only when no online request waits.
    fn dispatch_waiting(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let mut queues = std::mem::take(&mut self.queues);
        for (service, waiting) in &mut queues {
            self.dispatch_resumptions(now_ms, &mut waiting.online, out);
            match self.overload_of(service) {
                Some(_) => self.admit_waiting(now_ms, service, &mut waiting.online, out),
                None => self.dispatch_online(now_ms, &mut waiting.online, out),
            }
            if waiting.online.is_empty() && !waiting.batch.is_empty() {
                self.dispatch_batch(now_ms, service, &mut waiting.batch, out);
            }
        }
        self.queues = queues;
    }

    fn dispatch_online(&mut self, now_ms: u64, queue: &mut Queue, out: &mut Vec<Action>) {
        for spec in queue.take_all() {
            if let Some(key) = self.best_online(now_ms, &spec) {
                self.dispatch(now_ms, key, &spec, out);
            } else if now_ms >= spec.deadline_ms {
                self.refuse_full(&spec, out);
            } else {
                queue.push(spec);
            }
        }
    }

    // All items may go to the same targets but those that go on at a version: if the first one finds no free slot, none does.
    fn dispatch_batch(
        &mut self,
        now_ms: u64,
        service: &Name,
        queue: &mut ItemQueue,
        out: &mut Vec<Action>,
    ) {
        let waiting = self.startable_len(queue) as u32;
        let mut startable = self.startable_items(now_ms, service, waiting);
        let mut full_versions: SmallVec<[Name; 2]> = SmallVec::new();
        while startable > 0 {
            let may_start = |it: &RequestSpec| {
                self.required_version(now_ms, it).is_none_or(|it| !full_versions.contains(it))
            };
            let next = match self.holds_new_items {
                true => queue.next_started(may_start),
                false => queue.next(now_ms, may_start),
            };
            let Some(next) = next else { return };
            let (request, version) =
                (next.request, self.required_version(now_ms, next).map(Name::clone));
            match (self.best_batch(now_ms, next), version) {
                (Some(key), _) => {
                    let Some(spec) = queue.take(now_ms, request) else { return };
                    self.dispatch(now_ms, key, &spec, out);
                    startable -= 1;
                }
                (None, Some(version)) => full_versions.push(version),
                (None, None) => return,
            }
        }
    }

    /// How many more items of a service this gateway may start now without exceeding its share.
    fn startable_items(&self, now_ms: u64, service: &Name, waiting: u32) -> u32 {
        let targets = self.ready(service).filter(|(_, it)| !it.health.in_backoff(now_ms));
        let key = name_hash(service);
        let of_service = self.peers.values().flat_map(|it| &it.waiting);
        let of_service = of_service.filter(|it| it.service == key).map(|it| it.items);
        let mut demand = Demand { waiting, others: of_service.sum(), ..Demand::default() };
        for (_, target) in targets {
            let (own, all) = (target.own(), target.load());
            demand.running += own.batch;
            demand.others += all.batch.saturating_sub(own.batch);
            demand.slots += slots_for_items(self.margins, target);
        }
        demand.startable()
    }

    fn dispatch(&mut self, now_ms: u64, key: u64, spec: &RequestSpec, out: &mut Vec<Action>) {
        let expected_wait_ms = self.expected_wait_ms(now_ms, key, spec);
        let share_key = match spec.class {
            Class::Online => self.count_started(spec),
            Class::Batch => None,
        };
        let Some(target) = self.targets.get_mut(&key) else { return };
        target.add_request(spec.request, spec.class, false);
        let running = RunningRequest {
            class: spec.class,
            service: Name::clone(&spec.service),
            target: key,
            target_started_unix_ms: target.entry.started_unix_ms,
            is_silent: false,
            preempted: false,
            started_ms: now_ms,
            expected_wait_ms,
            first_event_ms: None,
            prior_run_ms: spec.prior_run_ms,
            due_ms: spec.deadline_ms,
            share_key,
        };
        self.running.insert(spec.request, running);
        self.counters.dispatched += 1;
        self.state_changed = true;
        self.needs_peer_preemption |= spec.class == Class::Online && target.needs_peer_preemption();
        let entry = &target.entry;
        let (target, address) = (Name::clone(&entry.name), entry.address);
        let origin = entry.stream_origin();
        let goes_on = self.goes_on_at(spec, &origin);
        let request = spec.request;
        out.push(Action::Dispatch { request, target, address, origin, goes_on });
    }

    fn refuse_full(&mut self, spec: &RequestSpec, out: &mut Vec<Action>) {
        // Jitter, so that callers refused together do not retry together.
        let retry_after_ms = self.rng.random_range(MIN_RETRY_AFTER_MS..=2 * MIN_RETRY_AFTER_MS);
        let (request, reason) = (spec.request, Refusal::Overloaded);
        out.push(Action::Refuse { request, reason, retry_after_ms });
    }

    fn refuse_no_target(&mut self, now_ms: u64, spec: &RequestSpec, out: &mut Vec<Action>) {
        let in_backoff = self.ready(&spec.service).filter(|(_, it)| it.health.in_backoff(now_ms));
        let first_end_ms = in_backoff.map(|(_, it)| it.health.backoff_until_ms()).min();
        let retry_after_ms =
            first_end_ms.map_or(MAX_RETRY_AFTER_MS, |it| it.saturating_sub(now_ms));
        let retry_after_ms = retry_after_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
        let retry_after_ms = self.bounded_retry_ms(now_ms, spec, retry_after_ms);
        let (request, reason) = (spec.request, Refusal::NoTarget);
        out.push(Action::Refuse { request, reason, retry_after_ms });
    }
}
