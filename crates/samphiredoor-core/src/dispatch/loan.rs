//! How much batch work one target may have, and at which pace it comes.
//!
//! Engines know no priorities, so batch work is held back here. The slots follow from the owner's limit, from what
//! online requests need by measurement, and from how the target's lender divides them among the doors. A fall recalls
//! at once; a rise lets in one attempt a step.

use smallvec::SmallVec;

use super::{
    envelope::Envelope,
    slot_allocator::{Demand, Lender, Share, SlotGrant},
    step_model::StepModel,
};
use crate::manifest::{Lending as Rule, Service, ServiceKind, Target};

/// Slowdown of online tokens that is allowed at a headroom of 100%, before the prefill of joining batch work.
const ALLOWED_SLOWDOWN: f64 = 0.05;
/// Part of the allowed slowdown that the prefill of joining batch work takes.
const PREFILL_SLOWDOWN: f64 = 0.05;
/// Part of the rise that is kept free at a headroom of 100%.
const KEPT_FREE: f64 = 0.25;
/// Time of a batch prefill against an empty step, about: room for it is kept free at a headroom of 100%.
const PREFILL_TIME: f64 = 0.05;
/// Without online requests for this long, at a headroom of 100%, the whole loan is lent.
const QUIET_MS: u64 = 2_000;
/// Sequences of a report that nobody accounts for and that are taken for noise.
const REPORT_NOISE: f64 = 2.0;

/// How a door comes by slots at a target.
#[derive(Debug)]
pub(super) enum Role {
    /// It is the target's lender.
    Lender(Lender),
    /// Another door lends it a share.
    Borrower(Share),
}

/// What runs at the target.
#[derive(Debug, Clone, Copy)]
pub(super) struct InFlight {
    /// Online requests of this door.
    pub(super) online: u32,
    /// Batch attempts of this door that hold a slot.
    pub(super) batch: u32,
    /// Sequences of others, by the target's own report.
    pub(super) others: f64,
}

/// Lending at one target.
#[derive(Debug)]
pub(super) struct Loan {
    role: Role,
    kind: ServiceKind,
    rule: Rule,
    headroom: f64,
    envelope: Envelope,
    steps: StepModel,
    next_admit_ms: u64,
}

impl Loan {
    /// Loan by a door that knows of no other.
    pub(super) fn new(now_ms: u64, service: &Service) -> Loan {
        Loan {
            role: Role::Lender(Lender::new(now_ms, 0)),
            kind: service.kind,
            rule: service.lending,
            headroom: f64::from(service.headroom_percent) / 100.0,
            envelope: Envelope::new(now_ms),
            steps: StepModel::new(),
            next_admit_ms: 0,
        }
    }

    pub(super) fn declare(&mut self, service: &Service) {
        self.kind = service.kind;
        self.rule = service.lending;
        self.headroom = f64::from(service.headroom_percent) / 100.0;
    }

    pub(super) fn role_mut(&mut self) -> &mut Role {
        &mut self.role
    }

    pub(super) fn is_lender(&self) -> bool {
        matches!(self.role, Role::Lender(_))
    }

    /// A request joins: its prefill makes one step longer, and a batch prefill in the same step would come on top.
    pub(super) fn joined(&mut self, now_ms: u64, sequences: u32) {
        let step_ms = self.steps.step_ms(sequences) as u64;
        self.next_admit_ms = now_ms + step_ms.max(1);
    }

    /// Takes a report: steps and tokens since the target's start.
    pub(super) fn worked(&mut self, now_ms: u64, steps: u64, tokens: u64) {
        self.steps.report(now_ms, steps, tokens);
    }

    pub(super) fn observe(&mut self, now_ms: u64, in_flight: InFlight) {
        let batch = match &self.role {
            Role::Lender(lender) => in_flight.batch + lender.batch(),
            Role::Borrower(_) => in_flight.batch,
        };
        let online = self.online(in_flight);
        self.envelope.observe(now_ms, online, batch, self.steps.slope());
    }

    /// Batch attempts of this door that may go on here now.
    pub(super) fn slots(&self, now_ms: u64, target: &Target, in_flight: InFlight) -> u32 {
        match &self.role {
            Role::Lender(lender) if lender.lends(now_ms) => {
                self.room(now_ms, target, in_flight).saturating_sub(lender.lent())
            }
            Role::Lender(_) => 0,
            Role::Borrower(share) => {
                let free = target.concurrency_limit.saturating_sub(in_flight.online);
                share.slots_beside(now_ms, in_flight.online).min(self.limit(target)).min(free)
            }
        }
    }

    /// Whether another attempt may start now. Some slots are kept free, so that the next few online requests find them
    /// free instead of recalling what has just begun.
    pub(super) fn may_start(&self, now_ms: u64, target: &Target, in_flight: InFlight) -> bool {
        if self.rule == Rule::Measured && now_ms < self.next_admit_ms {
            return false;
        }
        let kept_free = match self.is_lender() {
            true => self.kept_free(now_ms, self.online(in_flight)),
            false => 0,
        };
        in_flight.batch + kept_free < self.slots(now_ms, target, in_flight)
    }

    /// Divides the room among the doors that want it; returns what the others are to be told.
    pub(super) fn divide(
        &mut self,
        now_ms: u64,
        target: &Target,
        in_flight: InFlight,
        own_wanted: u32,
    ) -> SmallVec<[SlotGrant; 4]> {
        let kept_free = self.kept_free(now_ms, self.online(in_flight));
        let room = self.room(now_ms, target, in_flight).saturating_sub(kept_free);
        let mut changes = Vec::new();
        if let Role::Lender(lender) = &mut self.role {
            let room = if lender.lends(now_ms) { room } else { 0 };
            lender.divide(now_ms, room, own_wanted, &mut changes);
        }
        changes.into()
    }

    /// What the target's lender is to be told, if that is another door and there is something to tell.
    pub(super) fn tells(&mut self, now_ms: u64, demand: Demand) -> bool {
        match &mut self.role {
            Role::Lender(_) => false,
            Role::Borrower(share) => share.tells(now_ms, demand),
        }
    }

    fn limit(&self, target: &Target) -> u32 {
        if target.reclaimed || target.drained { 0 } else { target.loan_limit }
    }

    /// Batch attempts of all doors that may go on here now.
    fn room(&self, now_ms: u64, target: &Target, in_flight: InFlight) -> u32 {
        let online = self.online(in_flight);
        let sequences = match self.rule {
            Rule::Fixed => target.concurrency_limit,
            Rule::Measured => self.sequences(now_ms, target, online).min(target.concurrency_limit),
        };
        self.limit(target).min(sequences.saturating_sub(online))
    }

    /// Online requests of all doors, and sequences that no door accounts for: the owner's own.
    fn online(&self, in_flight: InFlight) -> u32 {
        let Role::Lender(lender) = &self.role else { return in_flight.online };
        let known = lender.online();
        let others_batch = lender.batch().max(lender.lent());
        let unknown = in_flight.others - f64::from(known + others_batch);
        let unknown = if unknown > REPORT_NOISE { unknown.round() as u32 } else { 0 };
        in_flight.online + known + unknown
    }

    fn is_quiet(&self, now_ms: u64, online: u32) -> bool {
        online == 0 && self.envelope.quiet_ms(now_ms) as f64 > QUIET_MS as f64 * self.headroom
    }

    fn kept_free(&self, now_ms: u64, online: u32) -> u32 {
        if self.rule == Rule::Fixed || self.is_quiet(now_ms, online) {
            return 0;
        }
        let rise = f64::from(self.envelope.rise());
        let kept_free = match self.kind {
            ServiceKind::Plain => rise,
            ServiceKind::Engine => KEPT_FREE * rise + PREFILL_TIME / self.steps.slope(),
        };
        (self.headroom * kept_free).round() as u32
    }

    /// Sequences, online and batch, at which online tokens are slowed down no more than allowed.
    fn sequences(&self, now_ms: u64, target: &Target, online: u32) -> u32 {
        if self.kind == ServiceKind::Plain || self.headroom == 0.0 || self.is_quiet(now_ms, online)
        {
            return target.concurrency_limit;
        }
        // A step may be as long as the allowed slowdown makes a step at the level; that gives the number of sequences.
        let slope = self.steps.slope();
        let slowdown = 1.0 + ALLOWED_SLOWDOWN / self.headroom - PREFILL_SLOWDOWN;
        let step = slowdown * (1.0 + slope * f64::from(self.envelope.level()));
        ((step - 1.0) / slope).max(0.0) as u32
    }
}
