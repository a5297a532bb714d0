//! Predicted cost of sending a request to a target, by which targets are ranked where overload control is active.
//!
//! The cost is in percent of the usual run time of a request. Its base is how long the request takes at the target; what a
//! greater distance, a preemption, a wait or a lack of trust costs is added.

use smallvec::SmallVec;

use super::{Distance, choice::Capacity, target::Target};
use crate::overload::target_risk::Trust;

/// Cost of a target of another cell of the zone. Its known load is older, so a slot that seems free may be taken.
const OTHER_CELL_COST: u32 = 110;
/// Cost of a target in another zone. One of usual speed is better than one in the own cell that is 2.5 times as slow, but
/// not better than one that is 1.6 times as slow.
const OTHER_ZONE_COST: u32 = 120;
/// Cost of a target in another region: its traffic is expensive, and its known load is half a second old.
const OTHER_REGION_COST: u32 = 240;
/// Cost of a preempted item. A slot freed at a target of usual speed is better than a free one at a target that is four
/// times as slow.
const PREEMPTION_COST: u32 = 150;
/// Cost of a wait beyond the slots, in addition to the predicted wait: a slot in another region is better.
const WAITING_COST: u32 = 450;
/// Percent from which a stream exceeds the longest allowed pause between events: 39 ms at a full target of usual speed, and
/// 200 ms are allowed.
const STALLING_PERCENT: u32 = 450;
/// Cost of a stream with such pauses.
const STALLING_COST: u32 = 300;
/// Cost of a failing target for a request that may be repeated: a target in another region is better.
const FAILING_COST: u32 = 300;
/// Cost of each recent failure for a request that may be repeated.
const FAILURE_COST: f32 = 20.0;
/// Cost of each recent failure for a request that may run only once, among targets that all have failed.
const SINGLE_RUN_FAILURE_COST: f32 = 60.0;
/// Failures beyond this number do not increase the cost.
const MAX_FAILURES: f32 = 8.0;
/// Cost of a new target.
const NEW_COST: f32 = 50.0;
/// Cost of a new target for a request that may run only once.
const SINGLE_RUN_NEW_COST: f32 = 150.0;
/// Difference of costs up to which targets count as equal, so that gateways with the same information spread their
/// requests.
const EQUAL_COST: u32 = 50;
/// Difference of costs up to which targets get some of the requests: if slow targets had none while faster ones have free
/// slots, the fast ones would get more than their share by speed.
const NEAR_COST: u32 = 120;
/// Weight of a target that is near but not equal, in percent.
const NEAR_WEIGHT_PERCENT: u32 = 40;
/// Free slots beyond this number do not increase the weight, so that it fits into 32 bits.
const MAX_FREE_IN_WEIGHT: u32 = 64;
/// Factor that keeps the weights of slow targets above zero.
const WEIGHT_SCALE: u32 = 20_000;

/// A target that has capacity for a request, and its cost.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    pub(super) key: u64,
    pub(super) distance: Distance,
    /// A candidate of a higher tier is used only if there is none of a lower one.
    tier: Tier,
    pub(super) cost: u32,
    /// Requests at the target that compete with this one.
    pub(super) load: u32,
    slots: u32,
    /// How long work takes there, in percent of the usual time.
    percent: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    Probe,
    Usual,
    /// Has failed recently, and the request may run only once.
    Avoided,
}

impl Candidate {
    /// Candidate with a free slot.
    pub(super) fn new(key: u64, target: &Target, load: u32, percent: u32) -> Candidate {
        let distance = target.distance();
        let distance_cost = match distance {
            Distance::Cell => 0,
            Distance::Zone => OTHER_CELL_COST,
            Distance::Region => OTHER_ZONE_COST,
            Distance::OtherRegion => OTHER_REGION_COST,
        };
        let slots = target.entry.slots;
        Candidate {
            key,
            distance,
            tier: Tier::Usual,
            cost: percent + distance_cost,
            load,
            slots,
            percent,
        }
    }

    /// Adds what it costs to get a slot for a stream. `spare_slots` are free or held by items.
    pub(super) fn with_capacity(mut self, capacity: Capacity, spare_slots: u32) -> Candidate {
        self.cost += match capacity {
            Capacity::FreeSlot => self.percent * collision_percent(spare_slots) / 100,
            Capacity::Preemptible => PREEMPTION_COST,
            Capacity::Waiting => {
                let ahead = (self.load + 1).saturating_sub(self.slots);
                WAITING_COST + self.percent * ahead / self.slots.max(1)
            }
        };
        if self.percent >= STALLING_PERCENT {
            self.cost += STALLING_COST;
        }
        self
    }

    /// Adds the lack of trust for a request that may be repeated.
    pub(super) fn with_repeatable_trust(mut self, trust: Trust, is_probe: bool) -> Candidate {
        if is_probe {
            self.tier = Tier::Probe;
        }
        let failing = if trust.is_failing { FAILING_COST } else { 0 };
        let failures = trust.doubt.min(MAX_FAILURES);
        self.cost += failing + (FAILURE_COST * failures + NEW_COST * trust.newness) as u32;
        self
    }

    /// Adds the lack of trust for a request that may run only once.
    pub(super) fn with_single_run_trust(mut self, trust: Trust) -> Candidate {
        if trust.has_failed {
            self.tier = Tier::Avoided;
        }
        let failures = SINGLE_RUN_FAILURE_COST * trust.doubt.min(MAX_FAILURES);
        self.cost += (failures + SINGLE_RUN_NEW_COST * trust.newness) as u32;
        self
    }

    /// Measure of when the request would be complete.
    pub(super) fn completion(&self) -> u32 {
        self.completion_after(0)
    }

    /// The same with some more requests at the target.
    pub(super) fn completion_after(&self, requests: u32) -> u32 {
        self.percent.saturating_mul((self.load + 1).saturating_add(requests))
    }

    /// Weight in random draws among candidates of which the best has this cost: proportional to the speed and to the free
    /// slots.
    pub(super) fn weight(&self, best_cost: u32) -> u32 {
        let free = self.slots.saturating_sub(self.load).clamp(1, MAX_FREE_IN_WEIGHT);
        let weight = free * WEIGHT_SCALE / self.percent;
        let is_equal = self.cost <= best_cost + EQUAL_COST;
        (if is_equal { weight } else { weight * NEAR_WEIGHT_PERCENT / 100 }).max(1)
    }
}

/// Cost of the probability that another gateway has just taken the last slots, in percent of a run at the target: the
/// request would wait there, and longest at a slow target.
fn collision_percent(spare_slots: u32) -> u32 {
    match spare_slots {
        0 | 1 => 50,
        2 => 25,
        _ => 0,
    }
}

/// Where requests have to wait for slots, all targets have their share already, and the wait is longest at slow ones.
fn near_cost(best_cost: u32) -> u32 {
    if best_cost < WAITING_COST { NEAR_COST } else { EQUAL_COST }
}

/// Of the candidates, those of the lowest tier whose costs are nearly equal to the lowest one at the same distance.
pub(super) fn near_best(mut candidates: SmallVec<[Candidate; 64]>) -> SmallVec<[Candidate; 64]> {
    let best = candidates.iter().map(|it| (it.tier, it.cost, it.distance)).min();
    candidates.retain(|it| {
        best.is_some_and(|(tier, cost, distance)| {
            it.tier == tier && it.distance == distance && it.cost <= cost + near_cost(cost)
        })
    });
    candidates
}
