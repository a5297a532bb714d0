//! Which target gets a request, now or a little later, and what is refused at once.
//!
//! Engines admit requests in order of arrival and know no priorities, so a request that is sent to a full target waits
//! behind whatever is there. What matters is to know where places are free. Each door counts its own requests exactly
//! and tells all of them to the other doors of its neighbourhood whenever they change; a target's own word, in the
//! headers of its answers, shows what no door accounts for. Stale knowledge costs a short wait at a target, never a
//! wrong answer.
//!
//! In a large fleet the neighbourhood is a cell: doors of one zone that share some of its targets and prefer them. Of other
//! cells a door knows sums that are a little older.
//!
//! Online requests go to the nearest free place, then to a place that an item of a job holds, whose door then recalls
//! the item. Items of jobs start only where some places stay free for online requests.

mod cells;
mod health;
mod items;
mod messages;
mod queue;
mod shares;
mod target;

use std::collections::{BTreeMap, HashMap, HashSet};

use rand::{Rng, SeedableRng, rngs::SmallRng};

pub use cells::{CellId, Cells, sum_states, summary_interval_ms};
pub use messages::{
    Action, AttemptEnd, GatewayLoad, GatewayState, Input, ReportedLoad, RequestSpec, TargetEntry,
    TargetState, WaitingItems,
};
pub use target::{Distance, Load};

use crate::{
    Name,
    dispatch::{Class, Location, RequestId},
    verdict::Refusal,
};
use items::ItemQueue;
use queue::Queue;
use shares::Demand;
use target::Target;

/// Requests that may wait at a target beyond its places. With eight places and streams of 0.7 s one ends each 90 ms, so
/// two waiting requests begin well within an objective of 300 ms.
const WAITING_AT_TARGET: u32 = 2;
/// Places of a target that items of jobs leave free, so that the first requests of a burst need no recall. In the heaviest
/// bursts online requests take every place for two of six seconds, so each place that is kept free between them costs
/// items.
const FREE_FOR_ONLINE: u32 = 1;
/// Places of another cell's target that items of jobs leave free. What is known of it is older, and an item that its cell
/// needs the place of leaves it later.
const FREE_FOR_OTHER_CELL: u32 = 3;
/// Places of another cell's target that have to seem free before an online request is sent there: what is known of it is
/// older, and others may have sent theirs meanwhile.
const FREE_AT_OTHER_CELL: u32 = 2;
/// How much more loaded than the least loaded target one may be that probably has the prompt's beginning cached.
const AFFINITY_SLACK: u32 = 2;
/// Silence of a door after which its requests count as ended; doors speak at least each 500 ms.
const PEER_SILENT_MS: u64 = 1_600;
/// Shortest time to come back after a refusal; below it a caller meets the same full targets.
const MIN_RETRY_AFTER_MS: u64 = 120;
/// Longest time to come back after a refusal; paused targets are tried again within it.
const MAX_RETRY_AFTER_MS: u64 = 1_000;

/// Key by which doors name a target or a service to each other.
pub fn name_hash(name: &str) -> u64 {
    rapidhash::v3::rapidhash_v3(name.as_bytes())
}

#[derive(Debug)]
struct Running {
    class: Class,
    service: Name,
    target: u64,
    recalled: bool,
    began_ms: u64,
    /// How long earlier runs of the item took.
    ran_ms: u64,
}

#[derive(Debug)]
struct Peer {
    heard_ms: u64,
    targets: Vec<u64>,
    waiting: Vec<WaitingItems>,
}

/// Requests of one service that wait for room.
#[derive(Debug, Default)]
struct ServiceQueues {
    online: Queue,
    batch: ItemQueue,
}

/// How well a target would take an online request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Room {
    /// A place is free.
    Free,
    /// An item of a job holds a place that can be taken back.
    Recallable,
    /// The request would wait for another online one.
    Waiting,
}

/// What placing keeps back at a target, and gives beyond its places. Tools that compare variants set it.
#[derive(Debug, Clone, Copy)]
pub struct Margins {
    /// Requests that may wait at a target beyond its places.
    pub waiting_at_target: u32,
    /// Places of a target that items of jobs leave free.
    pub free_for_online: u32,
}

impl Default for Margins {
    fn default() -> Margins {
        Margins { waiting_at_target: WAITING_AT_TARGET, free_for_online: FREE_FOR_ONLINE }
    }
}

/// Counts since the start.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counters {
    /// Requests sent to a target.
    pub dispatched: u64,
    /// Items recalled for online requests.
    pub preempted: u64,
}

/// State of all placing in one process.
#[derive(Debug)]
pub struct Placement {
    own_name: Name,
    location: Location,
    targets: BTreeMap<u64, Target>,
    /// Targets of the own cell; `None` while all targets are.
    own_targets: Option<HashSet<u64>>,
    peers: HashMap<Name, Peer>,
    running: HashMap<RequestId, Running>,
    queues: BTreeMap<Name, ServiceQueues>,
    counters: Counters,
    changed: bool,
    needs_others: bool,
    margins: Margins,
    rng: SmallRng,
}

impl Placement {
    /// Placement without targets: requests wait for the first [`Input::Targets`] and are refused if it is late.
    pub fn new(own_name: Name, location: Location, seed: u64) -> Placement {
        Placement {
            own_name,
            location,
            targets: BTreeMap::new(),
            own_targets: None,
            peers: HashMap::new(),
            running: HashMap::new(),
            queues: BTreeMap::new(),
            counters: Counters::default(),
            changed: false,
            needs_others: false,
            margins: Margins::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// The same with other margins.
    pub fn with_margins(self, margins: Margins) -> Placement {
        Placement { margins, ..self }
    }

    /// Takes one event; appends what to do to `out`.
    pub fn handle(&mut self, now_ms: u64, input: Input, out: &mut Vec<Action>) {
        match input {
            Input::Targets(entries) => self.targets(entries),
            Input::CellTargets(targets) => self.own_targets(targets),
            Input::Request(ask) => self.ask(now_ms, ask, out),
            Input::Ended { request, end } => self.ended(now_ms, request, end),
            Input::Cancelled { request } => {
                for queues in self.queues.values_mut() {
                    queues.online.remove(request);
                    queues.batch.remove(request);
                }
                self.changed = true;
            }
            Input::LoadReport { target, load } => {
                if let Some(target) = self.targets.get_mut(&name_hash(&target)) {
                    target.reported(now_ms, load);
                }
            }
            Input::Peer { peer: door, state } => self.peer(now_ms, door, state),
            Input::Tick => self.forget_silent_peers(now_ms),
        }
        self.recall(out);
        self.settle(now_ms, out);
    }

    /// Own requests, if they have changed since the last call.
    pub fn take_changed_state(&mut self) -> Option<GatewayState> {
        std::mem::take(&mut self.changed).then(|| self.state())
    }

    /// Whether, since the last call, an online request was sent to a place that only another door can give back.
    pub fn take_needs_peer_preemption(&mut self) -> bool {
        std::mem::take(&mut self.needs_others)
    }

    /// Own requests, as other doors are told.
    pub fn state(&self) -> GatewayState {
        let loads = self.targets.iter().filter_map(|(key, it)| it.told(*key)).collect();
        let waiting = self.queues.iter().filter(|(_, it)| !it.batch.is_empty());
        let waiting = waiting.map(|(service, it)| WaitingItems {
            service: name_hash(service),
            items: it.batch.len() as u32,
        });
        GatewayState { loads, waiting: waiting.collect() }
    }

    /// Counts since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Requests that wait for room: online, batch.
    pub fn waiting(&self) -> (usize, usize) {
        let queues = self.queues.values();
        queues.fold((0, 0), |sum, it| (sum.0 + it.online.len(), sum.1 + it.batch.len()))
    }

    fn targets(&mut self, entries: Vec<TargetEntry>) {
        let mut gone = std::mem::take(&mut self.targets);
        for entry in entries {
            let key = name_hash(&entry.name);
            let target = match gone.remove(&key) {
                Some(mut known) => {
                    known.update(entry);
                    known
                }
                None => self.new_target(key, entry),
            };
            self.targets.insert(key, target);
        }
        self.changed = true;
    }

    fn own_targets(&mut self, own: HashSet<u64>) {
        for (key, target) in &mut self.targets {
            target.is_own = own.contains(key);
        }
        self.own_targets = Some(own);
    }

    // A target whose entry was away for a moment still runs what it had.
    fn new_target(&self, key: u64, entry: TargetEntry) -> Target {
        let is_own = self.own_targets.as_ref().is_none_or(|it| it.contains(&key));
        let mut target = Target::new(entry, &self.location, is_own);
        for (request, running) in self.running.iter().filter(|(_, it)| it.target == key) {
            target.begin(*request, running.class, running.recalled);
        }
        target
    }

    fn ask(&mut self, now_ms: u64, ask: RequestSpec, out: &mut Vec<Action>) {
        match ask.class {
            Class::Batch => {
                self.queues_of(&ask).batch.push(ask);
                self.changed = true;
            }
            Class::Online => match self.best_online(now_ms, &ask) {
                Some(key) => self.dispatch(now_ms, key, &ask, out),
                None if !self.has_usable(now_ms, &ask) => self.refuse_no_target(now_ms, &ask, out),
                None => self.queues_of(&ask).online.push(ask),
            },
        }
    }

    fn queues_of(&mut self, ask: &RequestSpec) -> &mut ServiceQueues {
        self.queues.entry(Name::clone(&ask.service)).or_default()
    }

    fn ended(&mut self, now_ms: u64, request: RequestId, end: AttemptEnd) {
        let Some(running) = self.running.remove(&request) else { return };
        if let Some(target) = self.targets.get_mut(&running.target) {
            target.end(now_ms, request, running.class, end);
        }
        if running.class == Class::Batch && end == AttemptEnd::Answered {
            let run_ms = running.ran_ms + now_ms.saturating_sub(running.began_ms);
            self.queues.entry(running.service).or_default().batch.learn(run_ms);
        }
        self.changed = true;
    }

    fn peer(&mut self, now_ms: u64, door: Name, state: GatewayState) {
        if door == self.own_name {
            return;
        }
        let GatewayState { loads, waiting } = state;
        let targets = loads.iter().map(|it| it.target).collect();
        let peer = Peer { heard_ms: now_ms, targets, waiting };
        let before = self.peers.insert(Name::clone(&door), peer);
        for key in before.into_iter().flat_map(|it| it.targets) {
            if let Some(target) = self.targets.get_mut(&key) {
                target.set_other(&door, Load::default());
            }
        }
        for load in &loads {
            if let Some(target) = self.targets.get_mut(&load.target) {
                target.set_other(&door, Load { online: load.online, batch: load.batch });
            }
        }
    }

    fn forget_silent_peers(&mut self, now_ms: u64) {
        let targets = &mut self.targets;
        self.peers.retain(|door, peer| {
            let silent = now_ms >= peer.heard_ms + PEER_SILENT_MS;
            for key in peer.targets.iter().filter(|_| silent) {
                if let Some(target) = targets.get_mut(key) {
                    target.set_other(door, Load::default());
                }
            }
            !silent
        });
    }

    fn recall(&mut self, out: &mut Vec<Action>) {
        for target in self.targets.values_mut().filter(|it| it.own().batch > 0) {
            for request in target.recall(&self.own_name) {
                self.counters.preempted += 1;
                if let Some(running) = self.running.get_mut(&request) {
                    running.recalled = true;
                }
                out.push(Action::Preempt { request });
            }
        }
    }

    /// Gives room to those who wait for it: online requests first.
    fn settle(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let mut queues = std::mem::take(&mut self.queues);
        for (service, waiting) in &mut queues {
            self.settle_online(now_ms, &mut waiting.online, out);
            if waiting.online.is_empty() && !waiting.batch.is_empty() {
                self.settle_batch(now_ms, service, &mut waiting.batch, out);
            }
        }
        self.queues = queues;
    }

    fn settle_online(&mut self, now_ms: u64, queue: &mut Queue, out: &mut Vec<Action>) {
        for ask in queue.take_all() {
            if let Some(key) = self.best_online(now_ms, &ask) {
                self.dispatch(now_ms, key, &ask, out);
            } else if now_ms >= ask.deadline_ms {
                self.refuse_full(&ask, out);
            } else {
                queue.push(ask);
            }
        }
    }

    // Items have no targets that they must avoid: where the first finds no room, none does.
    fn settle_batch(
        &mut self,
        now_ms: u64,
        service: &Name,
        queue: &mut ItemQueue,
        out: &mut Vec<Action>,
    ) {
        let more = self.own_share(now_ms, service, queue.len() as u32);
        for _ in 0..more {
            let Some(next) = queue.next(now_ms) else { return };
            let Some(key) = self.best_batch(now_ms, next) else { return };
            let request = next.request;
            let Some(ask) = queue.take(now_ms, request) else { return };
            self.dispatch(now_ms, key, &ask, out);
        }
    }

    /// How many more items of a service this door may start now.
    fn own_share(&self, now_ms: u64, service: &Name, waiting: u32) -> u32 {
        let targets = self.ready(service).filter(|(_, it)| !it.health.is_paused(now_ms));
        let key = name_hash(service);
        let of_service = self.peers.values().flat_map(|it| &it.waiting);
        let of_service = of_service.filter(|it| it.service == key).map(|it| it.items);
        let mut demand = Demand { waiting, others: of_service.sum(), ..Demand::default() };
        for (_, target) in targets {
            let (own, all) = (target.own(), target.load());
            demand.running += own.batch;
            demand.others += all.batch.saturating_sub(own.batch);
            demand.places +=
                target.entry.slots.saturating_sub(kept_free(self.margins, target) + all.online);
        }
        demand.more()
    }

    fn dispatch(&mut self, now_ms: u64, key: u64, ask: &RequestSpec, out: &mut Vec<Action>) {
        let Some(target) = self.targets.get_mut(&key) else { return };
        target.begin(ask.request, ask.class, false);
        let running = Running {
            class: ask.class,
            service: Name::clone(&ask.service),
            target: key,
            recalled: false,
            began_ms: now_ms,
            ran_ms: ask.prior_run_ms,
        };
        self.running.insert(ask.request, running);
        self.counters.dispatched += 1;
        self.changed = true;
        self.needs_others |= ask.class == Class::Online && target.lacks_places();
        let (target, address) = (Name::clone(&target.entry.name), target.entry.address);
        out.push(Action::Dispatch { request: ask.request, target, address });
    }

    /// Targets of the service that take work: of those that are not paused the ones that were not tried, as long as
    /// there are any. Where all are paused or were tried, a guess is better than a refusal.
    fn usable<'a>(
        &'a self,
        now_ms: u64,
        ask: &'a RequestSpec,
    ) -> impl Iterator<Item = (u64, &'a Target)> + 'a {
        let doubts = move |target: &Target| {
            (target.health.is_paused(now_ms), ask.tried_targets.contains(&target.entry.name))
        };
        let ready = self.ready(&ask.service);
        let least = ready.clone().map(|(_, it)| doubts(it)).min();
        ready.filter(move |(_, it)| Some(doubts(it)) == least)
    }

    /// Targets of a service that take work as far as discovery knows.
    fn ready<'a>(
        &'a self,
        service: &'a Name,
    ) -> impl Iterator<Item = (u64, &'a Target)> + Clone + 'a {
        let all = self.targets.iter().map(|(key, it)| (*key, it));
        all.filter(move |(_, it)| {
            it.entry.service == *service && it.entry.state == TargetState::Ready
        })
    }

    fn has_usable(&self, now_ms: u64, ask: &RequestSpec) -> bool {
        self.usable(now_ms, ask).next().is_some()
    }

    fn best_online(&mut self, now_ms: u64, ask: &RequestSpec) -> Option<u64> {
        let ranked: Vec<_> = self
            .usable(now_ms, ask)
            .filter(|(_, it)| !it.health.is_full(now_ms))
            .filter_map(|(key, it)| {
                let (room, load) = online_room(self.margins, now_ms, it)?;
                Some(((room, it.distance()), load, key))
            })
            .collect();
        let best = ranked.iter().map(|(rank, ..)| *rank).min()?;
        let group = ranked.into_iter().filter(|(rank, ..)| *rank == best);
        let group: Vec<(u32, u64)> = group.map(|(_, load, key)| (load, key)).collect();
        self.among(ask.affinity, &group)
    }

    fn best_batch(&mut self, now_ms: u64, ask: &RequestSpec) -> Option<u64> {
        let free: Vec<_> = self
            .usable(now_ms, ask)
            .filter(|(_, it)| !it.health.is_full(now_ms))
            .filter_map(|(key, it)| {
                let total = it.total(now_ms);
                let kept = kept_free(self.margins, it);
                let is_free = total + kept < it.entry.slots.max(kept + 1);
                is_free.then_some((it.distance(), total, key))
            })
            .collect();
        let nearest = free.iter().map(|(distance, ..)| *distance).min()?;
        let group = free.into_iter().filter(|(distance, ..)| *distance == nearest);
        let group: Vec<(u32, u64)> = group.map(|(_, total, key)| (total, key)).collect();
        self.among(ask.affinity, &group)
    }

    /// One of the least loaded; with an affinity the one among them that all doors prefer for it. Among targets of other
    /// cells any one: all that have heard of the least loaded would choose it at once.
    fn among(&mut self, affinity: u64, group: &[(u32, u64)]) -> Option<u64> {
        let least = group.iter().map(|(load, _)| *load).min()?;
        let is_own = |key: &u64| self.targets.get(key).is_some_and(|it| it.is_own);
        let slack = match affinity {
            _ if !group.iter().all(|(_, key)| is_own(key)) => u32::MAX,
            0 => 0,
            _ => AFFINITY_SLACK,
        };
        let near = group.iter().filter(|(load, _)| load - least <= slack);
        if affinity != 0 {
            return near.map(|(_, key)| *key).max_by_key(|key| preference(affinity, *key));
        }
        let near: Vec<u64> = near.map(|(_, key)| *key).collect();
        Some(near[self.rng.random_range(0..near.len())])
    }

    fn refuse_full(&mut self, ask: &RequestSpec, out: &mut Vec<Action>) {
        // Spread, so that those refused together do not come back together.
        let retry_after_ms = self.rng.random_range(MIN_RETRY_AFTER_MS..=2 * MIN_RETRY_AFTER_MS);
        let (request, reason) = (ask.request, Refusal::Overloaded);
        out.push(Action::Refuse { request, reason, retry_after_ms });
    }

    fn refuse_no_target(&mut self, now_ms: u64, ask: &RequestSpec, out: &mut Vec<Action>) {
        let paused = self.ready(&ask.service).filter(|(_, it)| it.health.is_paused(now_ms));
        let first_back = paused.map(|(_, it)| it.health.paused_until_ms()).min();
        let retry_after_ms = first_back.map_or(MAX_RETRY_AFTER_MS, |it| it.saturating_sub(now_ms));
        let retry_after_ms = retry_after_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
        let (request, reason) = (ask.request, Refusal::NoTarget);
        out.push(Action::Refuse { request, reason, retry_after_ms });
    }
}

/// Places of a target that items leave free.
fn kept_free(margins: Margins, target: &Target) -> u32 {
    if target.is_own { margins.free_for_online } else { FREE_FOR_OTHER_CELL }
}

/// Room for one more online request, and the load that decides among equals.
fn online_room(margins: Margins, now_ms: u64, target: &Target) -> Option<(Room, u32)> {
    let slots = target.entry.slots;
    let total = target.total(now_ms);
    let load = target.load();
    let kept = if target.is_own { 0 } else { FREE_AT_OTHER_CELL };
    if total + kept < slots {
        Some((Room::Free, total))
    } else if load.batch > 0 && load.online < slots {
        Some((Room::Recallable, load.online))
    } else if total < slots + margins.waiting_at_target {
        Some((Room::Waiting, total))
    } else {
        None
    }
}

fn preference(affinity: u64, key: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&affinity.to_le_bytes());
    bytes[8..].copy_from_slice(&key.to_le_bytes());
    rapidhash::v3::rapidhash_v3(&bytes)
}
