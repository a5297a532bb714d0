//! Which target a request goes to.
//!
//! The nearest group with room is used: availability zone, then region, then the link between regions, which is slow
//! and paid for by volume. Within the group a request goes where its prompt's beginning is likely to be cached, as long
//! as that target's load stays within a bound of the group's mean; else to the less loaded of two drawn at random.

use rand::{Rng, rngs::SmallRng};
use smallvec::SmallVec;

use super::targets::{Target, TargetId, Targets, mix};
use crate::Name;

/// Load that prefix affinity may put on a target, as a multiple of the group's mean.
const AFFINITY_BOUND: f64 = 1.25;

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
    /// Target for an online request; `None` if all that were not tried are full or out of service.
    pub(super) fn pick_online(
        &self,
        now_ms: u64,
        service: &Name,
        prefix_hash: u64,
        tried: &[Name],
        rng: &mut SmallRng,
    ) -> Option<TargetId> {
        for group in self.groups(service)? {
            let takes = |it: &Target| it.takes_online(now_ms) && !tried.contains(&it.declared.name);
            let able = self.candidates(now_ms, group, takes);
            if !able.is_empty() {
                return choose(able, prefix_hash, rng);
            }
        }
        None
    }

    /// Target for an item of a job. Items go to another region only if none is lent in the own one: there is always
    /// more batch work, and it would fill the link.
    pub(super) fn pick_batch(
        &self,
        now_ms: u64,
        service: &Name,
        rng: &mut SmallRng,
    ) -> Option<TargetId> {
        let [zone, region, beyond] = self.groups(service)?;
        let near = [zone, region];
        let groups = if self.lent_nearby(service) { &near[..] } else { &[beyond] };
        groups.iter().find_map(|group| {
            let able = self.candidates(now_ms, group, |it| it.takes_batch(now_ms));
            less_loaded_of_two(&able, rng)
        })
    }

    /// Whether a target of the service is lent in the own region; if so, items of jobs go to no other region.
    pub(super) fn lent_nearby(&self, service: &Name) -> bool {
        let lends = |id: &TargetId| self.get(*id).is_some_and(|it| it.declared.loan_limit > 0);
        let near = self.groups(service).into_iter().flat_map(|[zone, region, _]| [zone, region]);
        near.flatten().any(lends)
    }

    /// Target where an online request finds room if one item of a job is recalled; the one that lends most.
    pub(super) fn pick_recall(
        &self,
        now_ms: u64,
        service: &Name,
        tried: &[Name],
    ) -> Option<TargetId> {
        let groups = self.groups(service)?;
        groups.iter().find_map(|group| {
            let targets = group.iter().filter_map(|id| Some((*id, self.get(*id)?)));
            let able = targets.filter(|(_, it)| {
                it.takes_online_after_recall(now_ms) && !tried.contains(&it.declared.name)
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

/// The target that all processes prefer for a prefix, if its load allows; else one of the others.
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
