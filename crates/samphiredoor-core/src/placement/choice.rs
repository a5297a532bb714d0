//! Choice of the target for a request: by capacity, then distance, then load or affinity.
//!
//! Where overload control is active, the choice is by predicted completion instead: see [`cost`](super::cost).

use rand::Rng;
use smallvec::SmallVec;

use super::{
    Distance, Placement, RequestSpec, TargetState,
    cost::{Candidate, near_best},
    target::Target,
};
use crate::{
    Name,
    dispatch::Class,
    overload::{
        Overload,
        target_risk::{Trust, TrustChange},
        target_speed::USUAL_PERCENT,
    },
    rendezvous,
};

/// Requests that may wait at a target beyond its slots. With eight slots and streams of 0.7 s one ends every 90 ms, so
/// two waiting requests start well within a latency objective of 300 ms.
const WAITING_AT_TARGET: u32 = 2;
/// Slots of a target that batch items leave free, so that the first requests of a burst need no preemption. More are not
/// reserved: in the heaviest bursts online requests take every slot for two of six seconds, and each slot that is kept
/// free between bursts costs item throughput.
const RESERVED_FOR_ONLINE: u32 = 1;
/// Slots that batch items leave free at a target of another cell. Its known load is older, and an item whose slot that
/// cell needs is preempted later.
const RESERVED_IN_OTHER_CELL: u32 = 3;
/// Slots beyond the one needed that have to seem free at a target of another cell before an online request is sent there:
/// its known load is older, and other gateways may have sent requests meanwhile.
const SPARE_IN_OTHER_CELL: u32 = 2;
/// How many more requests than the least loaded target a target may have and still be preferred because it probably has
/// the prompt's prefix cached.
const AFFINITY_SLACK: u32 = 2;

/// Slots that are reserved at a target, and requests that may wait beyond its slots. Simulations vary these values.
#[derive(Debug, Clone, Copy)]
pub struct Margins {
    /// Requests that may wait at a target beyond its slots.
    pub waiting_at_target: u32,
    /// Slots of a target that batch items leave free.
    pub free_for_online: u32,
}

impl Default for Margins {
    fn default() -> Margins {
        Margins { waiting_at_target: WAITING_AT_TARGET, free_for_online: RESERVED_FOR_ONLINE }
    }
}

/// Capacity of a target for one more online request, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Capacity {
    /// A slot is free.
    FreeSlot,
    /// A batch item holds a slot and can be preempted.
    Preemptible,
    /// Online requests hold all slots; the request would wait at the target.
    Waiting,
}

impl Placement {
    /// Ready targets of the service: of those not in backoff the ones that the request was not tried on, as long as there
    /// are any. If all are in backoff or were tried, another attempt is better than a refusal.
    fn usable<'a>(
        &'a self,
        now_ms: u64,
        spec: &'a RequestSpec,
    ) -> impl Iterator<Item = (u64, &'a Target)> + 'a {
        let penalty = move |target: &Target| {
            (target.health.in_backoff(now_ms), spec.tried_targets.contains(&target.entry.name))
        };
        let version = self.required_version(now_ms, spec);
        let ready = self.ready(&spec.service);
        let ready = ready.filter(move |(_, it)| {
            version.is_none_or(|version| it.entry.software_version == *version)
        });
        let least = ready.clone().map(|(_, it)| penalty(it)).min();
        ready.filter(move |(_, it)| Some(penalty(it)) == least)
    }

    /// Usable targets that have not refused a request as full within the last moment.
    fn open<'a>(
        &'a self,
        now_ms: u64,
        spec: &'a RequestSpec,
    ) -> impl Iterator<Item = (u64, &'a Target)> + 'a {
        self.usable(now_ms, spec).filter(move |(_, it)| !it.health.is_full(now_ms))
    }

    /// Targets of a service that accept work according to discovery.
    pub(super) fn ready<'a>(
        &'a self,
        service: &'a Name,
    ) -> impl Iterator<Item = (u64, &'a Target)> + Clone + 'a {
        let all = self.targets.iter().map(|(key, it)| (*key, it));
        all.filter(move |(_, it)| {
            it.entry.service == *service && it.entry.state == TargetState::Ready
        })
    }

    /// Whether any target of the service can be tried.
    pub(super) fn has_usable(&self, now_ms: u64, spec: &RequestSpec) -> bool {
        self.usable(now_ms, spec).next().is_some()
    }

    /// Target for an online request; `None` if none has capacity for it.
    pub(super) fn best_online(&mut self, now_ms: u64, spec: &RequestSpec) -> Option<u64> {
        self.best_online_with(now_ms, spec, Capacity::Waiting)
    }

    /// Target for an online request that has this capacity or a better one; `None` if none has.
    fn best_online_with(
        &mut self,
        now_ms: u64,
        spec: &RequestSpec,
        least: Capacity,
    ) -> Option<u64> {
        if let Some(overload) = self.overload_of(&spec.service) {
            let candidates = self.online_candidates(now_ms, spec, overload, least);
            return self.pick_by_cost(spec.affinity, candidates);
        }
        let ranked: Vec<_> = self
            .open(now_ms, spec)
            .filter_map(|(key, it)| {
                let waiting = self.margins.waiting_at_target;
                let found = online_capacity(waiting, now_ms, it)?;
                Some(((found.capacity, it.distance()), found.load, key))
            })
            .filter(|((capacity, _), ..)| *capacity <= least)
            .collect();
        let best = ranked.iter().map(|(rank, ..)| *rank).min()?;
        let group = ranked.into_iter().filter(|(rank, ..)| *rank == best);
        let group: Vec<(u32, u64)> = group.map(|(_, load, key)| (load, key)).collect();
        self.pick(spec.affinity, &group)
    }

    /// Target for an item; `None` if none has a free slot for it.
    pub(super) fn best_batch(&mut self, now_ms: u64, spec: &RequestSpec) -> Option<u64> {
        if let Some(overload) = self.overload_of(&spec.service) {
            let candidates = self.batch_candidates(now_ms, spec, overload);
            return self.pick_by_cost(spec.affinity, candidates);
        }
        let free: Vec<_> = self
            .open(now_ms, spec)
            .filter_map(|(key, it)| {
                let total = free_batch_slot(self.margins, now_ms, it)?;
                Some((it.distance(), total, key))
            })
            .collect();
        let nearest = free.iter().map(|(distance, ..)| *distance).min()?;
        let group = free.into_iter().filter(|(distance, ..)| *distance == nearest);
        let group: Vec<(u32, u64)> = group.map(|(_, total, key)| (total, key)).collect();
        self.pick(spec.affinity, &group)
    }

    /// Target with a free slot for a request, other than those that it was tried at and those in backoff. It goes on with the
    /// request's stream, if there is one.
    pub(super) fn free_other_target(&mut self, now_ms: u64, spec: &RequestSpec) -> Option<u64> {
        let key = match spec.class {
            Class::Online => self.best_online_with(now_ms, spec, Capacity::FreeSlot),
            Class::Batch => self.best_batch(now_ms, spec),
        }?;
        let target = self.targets.get(&key)?;
        let is_tried = spec.tried_targets.contains(&target.entry.name);
        let goes_on =
            spec.resumes.is_none() || self.goes_on_at(spec, &target.entry.stream_origin());
        (!is_tried && goes_on && !target.health.in_backoff(now_ms)).then_some(key)
    }

    fn online_candidates(
        &self,
        now_ms: u64,
        spec: &RequestSpec,
        overload: &Overload,
        least: Capacity,
    ) -> Candidates {
        let open = self.open(now_ms, spec);
        open.filter_map(|(key, target)| {
            let percent = overload.target_speeds.current_percent(now_ms, key);
            let waiting = waiting_by_speed(self.margins, percent);
            let OnlineCapacity { capacity, load, spare_slots } =
                online_capacity(waiting, now_ms, target).filter(|it| it.capacity <= least)?;
            let trust = overload.target_risks.trust(now_ms, key);
            let candidate = Candidate::new(key, target, load, percent);
            let candidate = candidate.with_capacity(capacity, spare_slots);
            Some(if spec.terms.is_repeatable && spec.tried_targets.is_empty() {
                let is_probe = capacity == Capacity::FreeSlot && is_probe(target, trust, spec);
                candidate.with_repeatable_trust(trust, is_probe)
            } else {
                candidate.with_single_run_trust(trust)
            })
        })
        .collect()
    }

    fn batch_candidates(&self, now_ms: u64, spec: &RequestSpec, overload: &Overload) -> Candidates {
        let open = self.open(now_ms, spec);
        open.filter_map(|(key, target)| {
            let total = free_batch_slot(self.margins, now_ms, target)?;
            let trust = overload.target_risks.trust(now_ms, key);
            let speeds = &overload.target_speeds;
            // An item runs longer than a disturbance lasts.
            let percent =
                (speeds.current_percent(now_ms, key) + speeds.lasting_percent(now_ms, key)) / 2;
            let is_probe = is_probe(target, trust, spec);
            Some(Candidate::new(key, target, total, percent).with_repeatable_trust(trust, is_probe))
        })
        .collect()
    }

    /// Picks one of the candidates with nearly the lowest cost.
    fn pick_by_cost(&mut self, affinity: u64, candidates: Candidates) -> Option<u64> {
        let near = near_best(candidates);
        let in_own_cell = near.first()?.distance == Distance::Cell;
        if affinity != 0 {
            return preferred_by_affinity(affinity, in_own_cell, &near);
        }
        let first = self.draw(&near)?;
        if !in_own_cell {
            // All gateways with the same summary would choose the least loaded target at once.
            return Some(first.key);
        }
        let second = self.draw(&near)?;
        Some(if second.load < first.load { second.key } else { first.key })
    }

    /// Draws a candidate at random, a faster one or one with more free slots with a higher probability.
    fn draw(&mut self, near: &[Candidate]) -> Option<Candidate> {
        let best_cost = near.iter().map(|it| it.cost).min()?;
        let total: u64 = near.iter().map(|it| u64::from(it.weight(best_cost))).sum();
        let mut drawn = self.rng.random_range(0..total.max(1));
        let at = near.iter().position(|it| {
            let weight = u64::from(it.weight(best_cost));
            let is_drawn = drawn < weight;
            drawn = drawn.saturating_sub(weight);
            is_drawn
        });
        at.and_then(|it| near.get(it)).copied()
    }

    /// Picks one of the least loaded targets at random, or with an affinity by rendezvous hashing, so that all gateways
    /// choose the same one. If targets of other cells are among them, loads are ignored: all gateways with the same
    /// summary would choose the least loaded target at once.
    fn pick(&mut self, affinity: u64, group: &[(u32, u64)]) -> Option<u64> {
        let least = group.iter().map(|(load, _)| *load).min()?;
        let in_own_cell = |key: &u64| self.targets.get(key).is_some_and(|it| it.in_own_cell);
        let slack = match affinity {
            _ if !group.iter().all(|(_, key)| in_own_cell(key)) => u32::MAX,
            0 => 0,
            _ => AFFINITY_SLACK,
        };
        let candidates = group.iter().filter(|(load, _)| load - least <= slack);
        if affinity != 0 {
            return candidates
                .map(|(_, key)| *key)
                .max_by_key(|key| rendezvous::weight(affinity, *key));
        }
        let candidates: Vec<u64> = candidates.map(|(_, key)| *key).collect();
        Some(candidates[self.rng.random_range(0..candidates.len())])
    }
}

type Candidates = SmallVec<[Candidate; 64]>;

/// Requests that may wait at a target: as many as start there in the time in which the usual number starts at a target of
/// usual speed.
fn waiting_by_speed(margins: Margins, percent: u32) -> u32 {
    margins.waiting_at_target * USUAL_PERCENT / percent
}

/// Whether the request finds out if a failing target works again. Only one request at a time does, and none that has failed
/// once already.
fn is_probe(target: &Target, trust: Trust, spec: &RequestSpec) -> bool {
    trust.is_probe_due
        && target.in_own_cell
        && target.load().total() == 0
        && spec.tried_targets.is_empty()
}

/// The same target at all gateways, unless it would complete the request later than the best one with some more requests.
fn preferred_by_affinity(affinity: u64, in_own_cell: bool, near: &[Candidate]) -> Option<u64> {
    let slack = if in_own_cell { AFFINITY_SLACK } else { u32::MAX };
    let latest = near.iter().map(|it| it.completion_after(slack)).min()?;
    let similar = near.iter().filter(|it| it.completion() <= latest).map(|it| it.key);
    similar.max_by_key(|key| rendezvous::weight(affinity, *key))
}

/// Number of requests at a target that has a free slot for an item; `None` if it has not.
fn free_batch_slot(margins: Margins, now_ms: u64, target: &Target) -> Option<u32> {
    let total = target.estimated_total(now_ms);
    let reserved = reserved_slots(margins, target);
    // A target with no more slots than are reserved still runs one item when it is idle.
    (total + reserved < target.entry.slots.max(reserved + 1)).then_some(total)
}

/// Slots of a target that items may hold beside the online requests there.
pub(super) fn slots_for_items(margins: Margins, target: &Target) -> u32 {
    let taken = reserved_slots(margins, target) + target.load().online;
    target.entry.slots.saturating_sub(taken)
}

/// Slots of a target that batch items leave free.
fn reserved_slots(margins: Margins, target: &Target) -> u32 {
    if target.in_own_cell { margins.free_for_online } else { RESERVED_IN_OTHER_CELL }
}

/// Capacity of a target for one more online request.
struct OnlineCapacity {
    capacity: Capacity,
    /// Load by which targets of equal capacity and distance are compared.
    load: u32,
    /// Slots that are free or held by items.
    spare_slots: u32,
}

fn online_capacity(waiting_at_target: u32, now_ms: u64, target: &Target) -> Option<OnlineCapacity> {
    let slots = target.entry.slots;
    let total = target.estimated_total(now_ms);
    let load = target.load();
    let spare = if target.in_own_cell { 0 } else { SPARE_IN_OTHER_CELL };
    let (capacity, compared) = if total + spare < slots {
        (Capacity::FreeSlot, total)
    } else if load.batch > 0 && load.online < slots {
        (Capacity::Preemptible, load.online)
    } else if total < slots + waiting_at_target {
        (Capacity::Waiting, total)
    } else {
        return None;
    };
    let spare_slots = (slots + load.batch).saturating_sub(total);
    Some(OnlineCapacity { capacity, load: compared, spare_slots })
}

impl Placement {
    /// The slowest targets and how long work takes there at the moment, in percent of the usual time, slowest first.
    pub fn slowest_targets(&self, now_ms: u64, count: usize) -> Vec<(Name, u32)> {
        let Some(overload) = &self.overload else { return Vec::new() };
        let slowest = overload.target_speeds.slowest(now_ms, count).into_iter();
        slowest
            .filter_map(|(key, percent)| {
                let target = self.targets.get(&key)?;
                Some((Name::clone(&target.entry.name), percent))
            })
            .collect()
    }

    /// Number of reported speeds that were ignored because their value is impossible.
    pub fn invalid_speeds(&self) -> u64 {
        self.overload.as_ref().map_or(0, |it| it.target_speeds.invalid_reports())
    }

    /// Targets that have become failing, or are trusted again, since the last call.
    pub fn take_trust_changes(&mut self, now_ms: u64) -> Vec<TrustChange> {
        let overload = self.overload.as_mut();
        overload.map(|it| it.target_risks.take_changes(now_ms)).unwrap_or_default()
    }
}
