//! Batch capacity of one target: the number of batch slots and the rate at which batch work may start.
//!
//! Engines do not support priorities, so batch work is limited here. The number of slots follows from the owner's loan
//! limit, the measured needs of online requests, and how the target's slot allocator divides the slots among the
//! gateways. When the number falls, the excess items are preempted at once; when it rises, one attempt starts per step.

use smallvec::SmallVec;

use super::{
    online_demand::OnlineDemand,
    slot_allocator::{Demand, SlotAllocator, SlotGrant, SlotLease},
    step_model::StepModel,
};
use crate::manifest::{Lending as Rule, Service, ServiceKind, Target};

/// Slowdown of online tokens allowed at a headroom of 100%, including the prefill of starting batch work.
const ALLOWED_SLOWDOWN: f64 = 0.05;
/// Part of the allowed slowdown that is taken up by the prefill of starting batch work.
const PREFILL_SLOWDOWN: f64 = 0.05;
/// Part of the expected growth of online requests that is reserved at a headroom of 100%.
const RESERVED_GROWTH_SHARE: f64 = 0.25;
/// Approximate time of a batch prefill relative to an empty step; capacity for it is reserved at a headroom of 100%.
const PREFILL_STEP_SHARE: f64 = 0.05;
/// Time without online requests after which batch work may use the whole loan limit, at a headroom of 100%.
const IDLE_MS: u64 = 2_000;
/// Reported sequences that no gateway accounts for are treated as noise up to this number.
const REPORT_NOISE: f64 = 2.0;

/// How this gateway gets batch slots at a target.
#[derive(Debug)]
pub(super) enum Role {
    /// This gateway allocates the target's slots.
    Allocator(SlotAllocator),
    /// Another gateway allocates the slots and grants this one a lease on some of them.
    Leaseholder(SlotLease),
}

/// Work in flight at the target.
#[derive(Debug, Clone, Copy)]
pub(super) struct InFlight {
    /// Online requests of this gateway.
    pub(super) online: u32,
    /// Batch attempts of this gateway that occupy a slot.
    pub(super) batch: u32,
    /// Sequences of others, according to the target's load reports.
    pub(super) others: f64,
}

/// Batch capacity of one target, as seen by this gateway.
#[derive(Debug)]
pub(super) struct BatchCapacity {
    role: Role,
    kind: ServiceKind,
    rule: Rule,
    headroom: f64,
    online_demand: OnlineDemand,
    step_model: StepModel,
    /// Earliest start of the next batch attempt.
    next_admit_ms: u64,
}

impl BatchCapacity {
    /// Capacity of a new target. Until roles are assigned, this gateway allocates its slots.
    pub(super) fn new(now_ms: u64, service: &Service) -> BatchCapacity {
        BatchCapacity {
            role: Role::Allocator(SlotAllocator::new(now_ms, 0)),
            kind: service.kind,
            rule: service.lending,
            headroom: f64::from(service.headroom_percent) / 100.0,
            online_demand: OnlineDemand::new(now_ms),
            step_model: StepModel::new(),
            next_admit_ms: 0,
        }
    }

    /// Applies the declaration of the target's service.
    pub(super) fn update_service(&mut self, service: &Service) {
        self.kind = service.kind;
        self.rule = service.lending;
        self.headroom = f64::from(service.headroom_percent) / 100.0;
    }

    pub(super) fn role_mut(&mut self) -> &mut Role {
        &mut self.role
    }

    pub(super) fn is_allocator(&self) -> bool {
        matches!(self.role, Role::Allocator(_))
    }

    /// Delays the next batch start by one step: the prefill of the request that has started makes a step longer, and a
    /// batch prefill in the same step would add to it.
    pub(super) fn request_started(&mut self, now_ms: u64, sequences: u32) {
        let step_ms = self.step_model.step_ms(sequences) as u64;
        self.next_admit_ms = now_ms + step_ms.max(1);
    }

    /// Handles a progress report: steps and tokens since the target's start.
    pub(super) fn update_progress(&mut self, now_ms: u64, steps: u64, tokens: u64) {
        self.step_model.report(now_ms, steps, tokens);
    }

    /// Samples the online requests in flight.
    pub(super) fn sample(&mut self, now_ms: u64, in_flight: InFlight) {
        let batch = match &self.role {
            Role::Allocator(allocator) => in_flight.batch + allocator.batch(),
            Role::Leaseholder(_) => in_flight.batch,
        };
        let online = self.total_online(in_flight);
        self.online_demand.sample(now_ms, online, batch, self.step_model.slope());
    }

    /// Batch attempts that this gateway may have running at the target now.
    pub(super) fn slots(&self, now_ms: u64, target: &Target, in_flight: InFlight) -> u32 {
        match &self.role {
            Role::Allocator(allocator) if allocator.may_grant(now_ms) => {
                self.total_slots(now_ms, target, in_flight).saturating_sub(allocator.granted())
            }
            Role::Allocator(_) => 0,
            Role::Leaseholder(lease) => {
                let free = target.concurrency_limit.saturating_sub(in_flight.online);
                lease
                    .slots_beside(now_ms, in_flight.online)
                    .min(self.effective_loan_limit(target))
                    .min(free)
            }
        }
    }

    /// Whether another batch attempt may start now. Some slots stay reserved, so that the next few online requests find
    /// them free instead of preempting attempts that have just started.
    pub(super) fn may_start(&self, now_ms: u64, target: &Target, in_flight: InFlight) -> bool {
        if self.rule == Rule::Measured && now_ms < self.next_admit_ms {
            return false;
        }
        let reserved = match self.is_allocator() {
            true => self.reserved_slots(now_ms, self.total_online(in_flight)),
            false => 0,
        };
        in_flight.batch + reserved < self.slots(now_ms, target, in_flight)
    }

    /// Divides the slots among the gateways that need them. Returns the grants to send to other gateways; none if
    /// another gateway allocates the slots.
    pub(super) fn allocate(
        &mut self,
        now_ms: u64,
        target: &Target,
        in_flight: InFlight,
        own_demand: u32,
    ) -> SmallVec<[SlotGrant; 4]> {
        let reserved = self.reserved_slots(now_ms, self.total_online(in_flight));
        let slots = self.total_slots(now_ms, target, in_flight).saturating_sub(reserved);
        let mut grants = Vec::new();
        if let Role::Allocator(allocator) = &mut self.role {
            let slots = if allocator.may_grant(now_ms) { slots } else { 0 };
            allocator.allocate(now_ms, slots, own_demand, &mut grants);
        }
        grants.into()
    }

    /// Whether `demand` is to be sent to the gateway that allocates the target's slots; if so, records it as sent. Never
    /// true if this gateway allocates them.
    pub(super) fn mark_demand_sent_if_due(&mut self, now_ms: u64, demand: Demand) -> bool {
        match &mut self.role {
            Role::Allocator(_) => false,
            Role::Leaseholder(lease) => lease.mark_demand_sent_if_due(now_ms, demand),
        }
    }

    fn effective_loan_limit(&self, target: &Target) -> u32 {
        if target.reclaimed || target.drained { 0 } else { target.loan_limit }
    }

    /// Batch attempts that all gateways together may have running at the target now.
    fn total_slots(&self, now_ms: u64, target: &Target, in_flight: InFlight) -> u32 {
        let online = self.total_online(in_flight);
        let sequences = match self.rule {
            Rule::Fixed => target.concurrency_limit,
            Rule::Measured => {
                self.max_sequences(now_ms, target, online).min(target.concurrency_limit)
            }
        };
        self.effective_loan_limit(target).min(sequences.saturating_sub(online))
    }

    /// Online requests of all gateways plus the reported sequences that no gateway accounts for, which are the owner's
    /// own. A gateway that does not allocate the slots counts only its own requests.
    fn total_online(&self, in_flight: InFlight) -> u32 {
        let Role::Allocator(allocator) = &self.role else { return in_flight.online };
        let reported = allocator.online();
        let others_batch = allocator.batch().max(allocator.granted());
        let unaccounted = in_flight.others - f64::from(reported + others_batch);
        let unaccounted = if unaccounted > REPORT_NOISE { unaccounted.round() as u32 } else { 0 };
        in_flight.online + reported + unaccounted
    }

    /// Whether there has been no online request for the idle time, scaled by the headroom.
    fn is_idle(&self, now_ms: u64, online: u32) -> bool {
        online == 0 && self.online_demand.idle_ms(now_ms) as f64 > IDLE_MS as f64 * self.headroom
    }

    /// Slots kept free for the next online requests.
    fn reserved_slots(&self, now_ms: u64, online: u32) -> u32 {
        if self.rule == Rule::Fixed || self.is_idle(now_ms, online) {
            return 0;
        }
        let growth = f64::from(self.online_demand.growth_p95());
        let reserved = match self.kind {
            ServiceKind::Plain => growth,
            ServiceKind::Engine => {
                RESERVED_GROWTH_SHARE * growth + PREFILL_STEP_SHARE / self.step_model.slope()
            }
        };
        (self.headroom * reserved).round() as u32
    }

    /// Most sequences, online and batch, at which online tokens are not slowed down by more than allowed.
    fn max_sequences(&self, now_ms: u64, target: &Target, online: u32) -> u32 {
        if self.kind == ServiceKind::Plain || self.headroom == 0.0 || self.is_idle(now_ms, online) {
            return target.concurrency_limit;
        }
        // The longest allowed step is that of the 99th percentile of online concurrency, lengthened by the allowed
        // slowdown; the number of sequences follows from its length.
        let slope = self.step_model.slope();
        let slowdown = 1.0 + ALLOWED_SLOWDOWN / self.headroom - PREFILL_SLOWDOWN;
        let step = slowdown * (1.0 + slope * f64::from(self.online_demand.concurrency_p99()));
        ((step - 1.0) / slope).max(0.0) as u32
    }
}
