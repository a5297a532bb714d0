//! Choice of a target for a request.
//!
//! The nearest group with free capacity is used: the own availability zone, then the own region, then other regions, as
//! the link between regions is slow and billed by volume. Within the group a request goes to the target that is likely
//! to have the prefix of its prompt cached, as long as that target's load is within a bound of the group's mean;
//! otherwise to the less loaded of two random targets.

use rand::{Rng, rngs::SmallRng};
use smallvec::SmallVec;

use super::targets::{Target, TargetId, Targets, mix};
use crate::Name;

/// Load that prefix affinity may put on a target, as a multiple of the group's mean.
const AFFINITY_BOUND: f64 = 1.25;

/// Target that accepts the request, with its load and limit.
struct Candidate {
    id: TargetId,
    hash: u64,
    load: f64,
    limit: f64,
}

impl Candidate {
    fn new(now_ms: u64, id: TargetId, target: &Target) -> Candidate {
        Candidate {
            id,
            hash: target.hash,
            load: target.load.estimate(now_ms),
            limit: f64::from(target.limit_now(now_ms)),
        }
    }

    fn relative_load(&self) -> f64 {
        self.load / self.limit
    }
}

type Candidates = SmallVec<[Candidate; 36]>;

impl Targets {
    /// Target for an online request; `None` if all targets that it has not tried are full or unavailable.
    pub(super) fn pick_online(
        &self,
        now_ms: u64,
        service: &Name,
        prefix_hash: u64,
        tried: &[Name],
        rng: &mut SmallRng,
    ) -> Option<TargetId> {
        for group in self.groups(service)? {
            let takes =
                |it: &Target| it.accepts_online(now_ms) && !tried.contains(&it.declared.name);
            let able = self.candidates(now_ms, group, takes);
            if !able.is_empty() {
                return choose(able, prefix_hash, rng);
            }
        }
        None
    }

    /// Target for a batch item. Items go to another region only if no target of the own region accepts any: there is
    /// always more batch work, and it would saturate the link between regions.
    pub(super) fn pick_batch(
        &self,
        now_ms: u64,
        service: &Name,
        rng: &mut SmallRng,
    ) -> Option<TargetId> {
        let [zone, region, beyond] = self.groups(service)?;
        let near = [zone, region];
        let groups = if self.has_batch_capacity_nearby(service) { &near[..] } else { &[beyond] };
        groups.iter().find_map(|group| {
            let able = self.candidates(now_ms, group, |it| it.accepts_batch(now_ms));
            less_loaded_of_two(&able, rng)
        })
    }

    /// Whether a target of the service in the own region has a loan limit above 0; if so, batch items go to no other
    /// region.
    pub(super) fn has_batch_capacity_nearby(&self, service: &Name) -> bool {
        let lends = |id: &TargetId| self.get(*id).is_some_and(|it| it.declared.loan_limit > 0);
        let near = self.groups(service).into_iter().flat_map(|[zone, region, _]| [zone, region]);
        near.flatten().any(lends)
    }

    /// Target at which preempting one batch item frees capacity for an online request: of the nearest group that has
    /// one, the target that runs the most batch items.
    pub(super) fn pick_preemption(
        &self,
        now_ms: u64,
        service: &Name,
        tried: &[Name],
    ) -> Option<TargetId> {
        let groups = self.groups(service)?;
        groups.iter().find_map(|group| {
            let targets = group.iter().filter_map(|id| Some((*id, self.get(*id)?)));
            let able = targets.filter(|(_, it)| {
                it.accepts_online_after_preemption(now_ms) && !tried.contains(&it.declared.name)
            });
            able.max_by_key(|(_, it)| it.batch()).map(|(id, _)| id)
        })
    }

    fn candidates(
        &self,
        now_ms: u64,
        group: &[TargetId],
        takes: impl Fn(&Target) -> bool,
    ) -> Candidates {
        let targets = group.iter().filter_map(|id| Some((*id, self.get(*id)?)));
        let able = targets.filter(|(_, it)| takes(it));
        able.map(|(id, it)| Candidate::new(now_ms, id, it)).collect()
    }
}

fn less_loaded_of_two(able: &[Candidate], rng: &mut SmallRng) -> Option<TargetId> {
    if able.len() < 2 {
        return able.first().map(|it| it.id);
    }
    let first = rng.random_range(0..able.len());
    let second = (first + rng.random_range(1..able.len())) % able.len();
    let (first, second) = (&able[first], &able[second]);
    let chosen = if second.relative_load() < first.relative_load() { second } else { first };
    Some(chosen.id)
}

/// Chooses the target that all processes prefer for the prefix, by rendezvous hash, if its load allows that; otherwise
/// one of the others.
fn choose(mut able: Candidates, prefix_hash: u64, rng: &mut SmallRng) -> Option<TargetId> {
    if prefix_hash == 0 || able.len() < 2 {
        return less_loaded_of_two(&able, rng);
    }
    let by_hash = able.iter().enumerate().max_by_key(|(_, it)| mix(prefix_hash, it.hash));
    let (index, preferred) = by_hash?;
    let load: f64 = able.iter().map(|it| it.load).sum();
    let limit: f64 = able.iter().map(|it| it.limit).sum();
    let fair = (load + 1.0) / limit * preferred.limit;
    if preferred.load <= (fair * AFFINITY_BOUND).floor() {
        return Some(preferred.id);
    }
    able.swap_remove(index);
    less_loaded_of_two(&able, rng)
}
