//! Scheduling of batch work on spare capacity.
//!
//! How many items may run where follows from each target's
//! [`BatchCapacity`](super::batch_capacity::BatchCapacity). The dispatcher gives free slots to waiting items, preempts
//! items above the number of slots while handling the event that lowered it, and exchanges slot grants and demands with
//! other gateways.

use smallvec::SmallVec;

use super::{
    Action, Dispatcher, RequestId,
    batch_capacity::Role,
    slot_allocator::{Demand, LEASE_TTL_MS, LiveGateway, SlotAllocator, allocator_of},
    targets::{Distance, Target, TargetId},
};
use crate::{Name, hints::TargetLoad};

impl Dispatcher {
    /// Dispatches waiting batch items to free slots, unless an online request of the service waits.
    pub(super) fn schedule_batch(&mut self, now_ms: u64, service: &Name, out: &mut Vec<Action>) {
        loop {
            let Some(state) = self.services.get(service) else { return };
            if !state.online_queue.is_empty() {
                return;
            }
            let Some(request) = state.batch_queue.next(self.unix_ms) else { return };
            let target = self.targets.pick_batch(now_ms, service, &mut self.rng);
            let Some(target) = target else { return };
            self.dispatch(now_ms, request, target, out);
        }
    }

    /// Preempts the newest items above the number of slots of a target: they lose the least work.
    pub(super) fn preempt_above_slots(
        &mut self,
        now_ms: u64,
        target: TargetId,
        out: &mut Vec<Action>,
    ) {
        let Some(state) = self.targets.get(target) else { return };
        let excess = state.batch().saturating_sub(state.slots(now_ms)) as usize;
        let newest: SmallVec<[RequestId; 16]> = state.newest_preemptibles(excess).collect();
        for item in newest {
            self.preempt(now_ms, item, out);
        }
    }

    /// Updates the batch capacity of all targets in use: samples the work in flight, preempts items whose slots have
    /// expired, and sends due grants and demands to other gateways.
    pub(super) fn refresh_batch_capacity(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        for service in self.service_names() {
            let waiting = self.services.get(&service).map_or(0, |it| it.batch_queue.len()) as u32;
            let has_batch_capacity_nearby = self.targets.has_batch_capacity_nearby(&service);
            let targets: SmallVec<[TargetId; 36]> =
                self.targets.of_service(&service).map(|(id, _)| id).collect();
            for id in targets {
                if let Some(target) = self.targets.get_mut(id) {
                    target.sample_batch_capacity(now_ms);
                }
                self.preempt_above_slots(now_ms, id, out);
                let is_near = |it: &Target| it.distance != Distance::OtherRegion;
                let in_reach =
                    !has_batch_capacity_nearby || self.targets.get(id).is_some_and(is_near);
                self.send_slot_updates(now_ms, id, if in_reach { waiting } else { 0 }, out);
            }
        }
    }

    /// Handles a change of the set of live gateways, which includes this one unless it is stopping.
    pub(super) fn update_live_gateways(
        &mut self,
        now_ms: u64,
        own_name: Name,
        live: Vec<LiveGateway>,
        out: &mut Vec<Action>,
    ) {
        if live == self.live_gateways && own_name == self.own_name {
            return;
        }
        self.own_name = own_name;
        self.live_gateways = live;
        self.assign_roles(now_ms);
        self.refresh_batch_capacity(now_ms, out);
    }

    /// Determines for each target whether this gateway or another one allocates its batch slots.
    pub(super) fn assign_roles(&mut self, now_ms: u64) {
        // Without another gateway there are no leases that could still be in use.
        let alone = self.live_gateways.iter().all(|it| it.name == self.own_name);
        let grants_from_ms = if alone { now_ms } else { now_ms + LEASE_TTL_MS };
        for target in self.targets.all_mut() {
            let allocator =
                allocator_of(&target.declared.name, &target.declared.region, &self.live_gateways);
            let is_allocator = allocator.is_none_or(|it| *it == self.own_name);
            if is_allocator == target.batch_capacity.is_allocator() {
                continue;
            }
            *target.batch_capacity.role_mut() = match is_allocator {
                true => Role::Allocator(SlotAllocator::new(grants_from_ms, self.unix_ms)),
                false => Role::Leaseholder(Default::default()),
            };
        }
    }

    /// Handles a slot grant. Ignored unless it comes from the gateway that allocates the target's slots.
    pub(super) fn update_slot_lease(
        &mut self,
        now_ms: u64,
        target: &Name,
        allocator: &Name,
        (slots, epoch): (u32, u64),
        out: &mut Vec<Action>,
    ) {
        let Some(id) = self.targets.find(target) else { return };
        if let Some(target) = self.targets.get_mut(id)
            && let region = &target.declared.region
            && allocator_of(&target.declared.name, region, &self.live_gateways) == Some(allocator)
            && let Role::Leaseholder(lease) = target.batch_capacity.role_mut()
        {
            lease.update(now_ms, allocator, slots, epoch);
        }
        self.preempt_above_slots(now_ms, id, out);
    }

    /// Handles the demand of another gateway at a target whose slots this gateway allocates.
    pub(super) fn update_demand(
        &mut self,
        now_ms: u64,
        gateway: &Name,
        load: &TargetLoad,
        out: &mut Vec<Action>,
    ) {
        let Some(id) = self.targets.find(&load.target) else { return };
        if let Some(target) = self.targets.get_mut(id)
            && let Role::Allocator(allocator) = target.batch_capacity.role_mut()
        {
            let demand = Demand {
                online: load.online_in_flight,
                batch: load.batch_in_flight,
                wanted: load.batch_in_flight.saturating_add(load.batch_wanted),
            };
            allocator.record_demand(now_ms, gateway, demand);
        }
        self.preempt_above_slots(now_ms, id, out);
    }

    fn send_slot_updates(
        &mut self,
        now_ms: u64,
        id: TargetId,
        waiting: u32,
        out: &mut Vec<Action>,
    ) {
        let Some(target) = self.targets.get_mut(id) else { return };
        let in_flight = target.in_flight(now_ms);
        let name = Name::clone(&target.declared.name);
        // Slots above the loan limit could not be granted anyway.
        let wanted = waiting.min(target.declared.loan_limit);
        let own_demand = in_flight.batch + wanted;
        for grant in target.batch_capacity.allocate(now_ms, &target.declared, in_flight, own_demand)
        {
            out.push(Action::SlotGrant { target: Name::clone(&name), grant });
        }
        let demand =
            Demand { online: in_flight.online, batch: in_flight.batch, wanted: own_demand };
        if target.batch_capacity.mark_demand_sent_if_due(now_ms, demand)
            && let Some(allocator) =
                allocator_of(&name, &target.declared.region, &self.live_gateways)
        {
            let load = TargetLoad {
                target: name,
                online_in_flight: in_flight.online,
                online_envelope: 0,
                batch_in_flight: in_flight.batch,
                batch_wanted: wanted,
            };
            out.push(Action::Demand { allocator: Name::clone(allocator), load });
        }
    }
}
