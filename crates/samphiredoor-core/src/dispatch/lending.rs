//! Spare capacity lent to batch work, and taken back at once: the dispatcher's side of it.
//!
//! What may run where follows from each target's [`Loan`](super::loan::Loan). Here items that wait get the slots that
//! are free, items above the slots are recalled in the turn in which the slots fall, and the doors tell each other
//! what they have and want.

use smallvec::SmallVec;

use super::{
    Action, Dispatcher, RequestId,
    loan::Role,
    slot_allocator::{Demand, Lender, LiveGateway, SHARE_TTL_MS, lender_of},
    targets::{Distance, Target, TargetId},
};
use crate::{Name, hints::TargetLoad};

impl Dispatcher {
    /// Gives lent capacity to items of jobs, as long as no online request waits.
    pub(super) fn lend(&mut self, now_ms: u64, service: &Name, out: &mut Vec<Action>) {
        loop {
            let Some(state) = self.services.get(service) else { return };
            if !state.queue.is_empty() {
                return;
            }
            let Some(request) = state.batch.next(self.unix_ms) else { return };
            let target = self.targets.pick_batch(now_ms, service, &mut self.rng);
            let Some(target) = target else { return };
            self.dispatch(now_ms, request, target, out);
        }
    }

    /// Recalls the youngest items above the slots of a target: they have the least to lose.
    pub(super) fn recall_above_slots(
        &mut self,
        now_ms: u64,
        target: TargetId,
        out: &mut Vec<Action>,
    ) {
        let Some(lent) = self.targets.get(target) else { return };
        let over = lent.batch().saturating_sub(lent.slots(now_ms)) as usize;
        let youngest: SmallVec<[RequestId; 16]> = lent.youngest_recallable(over).collect();
        for item in youngest {
            self.recall(now_ms, item, out);
        }
    }

    /// Takes notice of the time: what is in flight, shares that are over, and what the doors are to tell each other.
    pub(super) fn review_loans(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        for service in self.service_names() {
            let waiting = self.services.get(&service).map_or(0, |it| it.batch.len()) as u32;
            let lent_nearby = self.targets.lent_nearby(&service);
            let targets: SmallVec<[TargetId; 36]> =
                self.targets.of_service(&service).map(|(id, _)| id).collect();
            for id in targets {
                if let Some(target) = self.targets.get_mut(id) {
                    target.observe_loan(now_ms);
                }
                self.recall_above_slots(now_ms, id, out);
                let is_near = |it: &Target| it.distance != Distance::OtherRegion;
                let in_reach = !lent_nearby || self.targets.get(id).is_some_and(is_near);
                self.tell_doors(now_ms, id, if in_reach { waiting } else { 0 }, out);
            }
        }
    }

    /// Takes the doors that are known to live, this one among them.
    pub(super) fn doors(
        &mut self,
        now_ms: u64,
        own_name: Name,
        live: Vec<LiveGateway>,
        out: &mut Vec<Action>,
    ) {
        if live == self.doors && own_name == self.own_name {
            return;
        }
        self.own_name = own_name;
        self.doors = live;
        self.assign_roles(now_ms);
        self.review_loans(now_ms, out);
    }

    pub(super) fn assign_roles(&mut self, now_ms: u64) {
        // Without another door there is nobody whose shares could still be in use.
        let alone = self.doors.iter().all(|it| it.name == self.own_name);
        let since_ms = if alone { now_ms } else { now_ms + SHARE_TTL_MS };
        for target in self.targets.all_mut() {
            let lender = lender_of(&target.declared.name, &target.declared.region, &self.doors);
            let is_lender = lender.is_none_or(|it| *it == self.own_name);
            if is_lender == target.loan.is_lender() {
                continue;
            }
            *target.loan.role_mut() = match is_lender {
                true => Role::Lender(Lender::new(since_ms, self.unix_ms)),
                false => Role::Borrower(Default::default()),
            };
        }
    }

    /// Takes a share from the lender of a target.
    pub(super) fn share(
        &mut self,
        now_ms: u64,
        target: &Name,
        lender: &Name,
        (slots, epoch): (u32, u64),
        out: &mut Vec<Action>,
    ) {
        let Some(id) = self.targets.find(target) else { return };
        if let Some(target) = self.targets.get_mut(id)
            && let region = &target.declared.region
            && lender_of(&target.declared.name, region, &self.doors) == Some(lender)
            && let Role::Borrower(share) = target.loan.role_mut()
        {
            share.change(now_ms, lender, slots, epoch);
        }
        self.recall_above_slots(now_ms, id, out);
    }

    /// Takes another door's traffic at a target that this one lends.
    pub(super) fn demand(
        &mut self,
        now_ms: u64,
        door: &Name,
        load: &TargetLoad,
        out: &mut Vec<Action>,
    ) {
        let Some(id) = self.targets.find(&load.target) else { return };
        if let Some(target) = self.targets.get_mut(id)
            && let Role::Lender(lender) = target.loan.role_mut()
        {
            let demand = Demand {
                online: load.online_in_flight,
                batch: load.batch_in_flight,
                wanted: load.batch_in_flight.saturating_add(load.batch_wanted),
            };
            lender.told(now_ms, door, demand);
        }
        self.recall_above_slots(now_ms, id, out);
    }

    fn tell_doors(&mut self, now_ms: u64, id: TargetId, waiting: u32, out: &mut Vec<Action>) {
        let Some(target) = self.targets.get_mut(id) else { return };
        let in_flight = target.in_flight(now_ms);
        let name = Name::clone(&target.declared.name);
        // More than a target can lend is no use to anyone.
        let wanted = waiting.min(target.declared.loan_limit);
        let own_wanted = in_flight.batch + wanted;
        for grant in target.loan.divide(now_ms, &target.declared, in_flight, own_wanted) {
            out.push(Action::SlotGrant { target: Name::clone(&name), grant });
        }
        let demand =
            Demand { online: in_flight.online, batch: in_flight.batch, wanted: own_wanted };
        if target.loan.tells(now_ms, demand)
            && let Some(lender) = lender_of(&name, &target.declared.region, &self.doors)
        {
            let load = TargetLoad {
                target: name,
                online_in_flight: in_flight.online,
                online_envelope: 0,
                batch_in_flight: in_flight.batch,
                batch_wanted: wanted,
            };
            out.push(Action::Demand { allocator: Name::clone(lender), load });
        }
    }
}
