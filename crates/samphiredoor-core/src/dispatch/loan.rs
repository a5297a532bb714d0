//! The batch work at one target: how many slots there are, and which attempts hold them.

use super::{RequestId, envelope::Envelope, lender::Share, step_model::StepModel};
use crate::manifest::{self, Lending as LendingRule, Service, ServiceKind};

/// Slowdown of online tokens that is allowed at a headroom of 100%.
const ALLOWED_SLOWDOWN: f64 = 0.05;
/// Part of the allowed slowdown that the prefill of joining batch work takes.
const PREFILL_SLOWDOWN: f64 = 0.05;
/// Part of the rise that is kept free at a headroom of 100%.
const KEPT_FREE: f64 = 0.25;
/// Time of a batch prefill against an empty step, about: room for it is kept free at a headroom of 100%.
const PREFILL_TIME: f64 = 0.05;
/// Without online requests for this long, at a headroom of 100%, the whole loan is lent.
const QUIET_MS: u64 = 2_000;
/// Share of a new report in the estimate of other doors' online requests.
const REPORT_SHARE: f64 = 0.2;
/// A target that failed an attempt gets no batch for this long; doubled with each failure in a row.
const BACKOFF_MS: u64 = 500;
const MAX_BACKOFF_MS: u64 = 10_000;
/// Age of a report on arrival, as far as known.
const REPORT_AGE_MS: u64 = 250;
const OWN_SAMPLE_MS: u64 = 50;
const OWN_SAMPLES: usize = 16;

/// An attempt that holds a slot.
#[derive(Debug, Clone, Copy)]
pub(super) struct Held {
    pub(super) request: RequestId,
    pub(super) started_ms: u64,
    pub(super) recalled: bool,
}

/// How a door comes by slots at a target.
#[derive(Debug)]
pub(super) enum Role {
    /// It is the target's lender.
    Lender,
    /// Another door lends it a share.
    Borrower(Share),
}

/// State of the batch work at one target.
#[derive(Debug)]
pub(super) struct Loan {
    pub(super) target: manifest::Target,
    pub(super) role: Role,
    kind: ServiceKind,
    rule: LendingRule,
    headroom: f64,
    online: u32,
    others_online: f64,
    own: Vec<u32>,
    next_own_ms: u64,
    held: Vec<Held>,
    envelope: Envelope,
    steps: StepModel,
    next_admit_ms: u64,
    failures: u32,
    blocked_until_ms: u64,
}

impl Loan {
    pub(super) fn new(now_ms: u64, target: &manifest::Target, service: &Service) -> Loan {
        Loan {
            target: target.clone(),
            role: Role::Lender,
            kind: service.kind,
            rule: service.lending,
            headroom: f64::from(service.headroom_percent) / 100.0,
            online: 0,
            others_online: 0.0,
            own: Vec::new(),
            next_own_ms: 0,
            held: Vec::new(),
            envelope: Envelope::new(now_ms),
            steps: StepModel::new(),
            next_admit_ms: 0,
            failures: 0,
            blocked_until_ms: 0,
        }
    }

    pub(super) fn declare(&mut self, target: &manifest::Target, service: &Service) {
        self.target = target.clone();
        self.kind = service.kind;
        self.rule = service.lending;
        self.headroom = f64::from(service.headroom_percent) / 100.0;
    }

    pub(super) fn online_started(&mut self, now_ms: u64) {
        self.online += 1;
        // Its prefill makes one step longer; a batch prefill in the same step would come on top.
        self.pace(now_ms);
    }

    pub(super) fn online_ended(&mut self) {
        self.online = self.online.saturating_sub(1);
    }

    pub(super) fn batch_started(&mut self, now_ms: u64, request: RequestId) {
        self.held.push(Held { request, started_ms: now_ms, recalled: false });
        self.pace(now_ms);
    }

    /// Ends an attempt; returns when it had started.
    pub(super) fn batch_ended(&mut self, request: RequestId) -> Option<u64> {
        let index = self.held.iter().position(|it| it.request == request)?;
        Some(self.held.remove(index).started_ms)
    }

    pub(super) fn succeeded(&mut self) {
        self.failures = 0;
    }

    pub(super) fn failed(&mut self, now_ms: u64) {
        let backoff_ms = (BACKOFF_MS << self.failures.min(8)).min(MAX_BACKOFF_MS);
        self.failures = self.failures.saturating_add(1);
        self.blocked_until_ms = now_ms + backoff_ms;
    }

    /// Takes the target's report of its load, which tells of other doors' requests.
    pub(super) fn report(&mut self, running: u32, waiting: u32) {
        let lag = (REPORT_AGE_MS / OWN_SAMPLE_MS) as usize;
        let own = self.own.len().checked_sub(lag).and_then(|it| self.own.get(it));
        let own = own.copied().unwrap_or(self.online + self.held.len() as u32);
        let others = f64::from((running + waiting).saturating_sub(own));
        self.others_online += REPORT_SHARE * (others - self.others_online);
    }

    pub(super) fn steps(&mut self, now_ms: u64, steps: u64, tokens: u64) {
        self.steps.report(now_ms, steps, tokens);
    }

    pub(super) fn observe(&mut self, now_ms: u64) {
        let batch = self.held.len() as u32;
        self.envelope.observe(now_ms, self.online_everywhere(), batch, self.steps.slope());
        if now_ms >= self.next_own_ms {
            self.next_own_ms = now_ms + OWN_SAMPLE_MS;
            if self.own.len() == OWN_SAMPLES {
                self.own.remove(0);
            }
            self.own.push(self.online + batch);
        }
    }

    /// Batch attempts that may go on here now, by the owner's limit and what online requests leave.
    pub(super) fn slots(&self, now_ms: u64) -> u32 {
        if self.target.reclaimed || self.target.drained {
            return 0;
        }
        let limit = match &self.role {
            Role::Lender => self.target.loan_limit,
            Role::Borrower(share) => share.slots(now_ms).min(self.target.loan_limit),
        };
        let online = self.online_everywhere();
        let sequences = match self.rule {
            LendingRule::Fixed => self.target.concurrency_limit,
            LendingRule::Measured => self.sequences(now_ms).min(self.target.concurrency_limit),
        };
        limit.min(sequences.saturating_sub(online))
    }

    /// Attempts that hold a slot and were not told to end.
    pub(super) fn running(&self) -> u32 {
        self.held.iter().filter(|it| !it.recalled).count() as u32
    }

    /// Attempts that hold a slot.
    pub(super) fn held(&self) -> u32 {
        self.held.len() as u32
    }

    /// Attempts that may start now. Some slots are kept free, so that the next few online requests find them free
    /// instead of recalling what has just begun.
    pub(super) fn room(&self, now_ms: u64) -> u32 {
        let paced = self.rule == LendingRule::Measured && now_ms < self.next_admit_ms;
        if paced || now_ms < self.blocked_until_ms {
            return 0;
        }
        let kept_free = match self.rule {
            LendingRule::Fixed => 0,
            LendingRule::Measured => self.kept_free(now_ms),
        };
        self.slots(now_ms).saturating_sub(kept_free + self.held())
    }

    /// Marks the youngest attempts above the slots as recalled and returns them: the youngest have the least to lose.
    pub(super) fn recall(&mut self, now_ms: u64) -> Vec<RequestId> {
        let mut over = self.running().saturating_sub(self.slots(now_ms));
        let mut recalled = Vec::new();
        for held in self.held.iter_mut().rev().filter(|it| !it.recalled) {
            if over == 0 {
                break;
            }
            held.recalled = true;
            recalled.push(held.request);
            over -= 1;
        }
        recalled
    }

    fn online_everywhere(&self) -> u32 {
        self.online + self.others_online.round() as u32
    }

    fn is_quiet(&self, now_ms: u64) -> bool {
        self.envelope.quiet_ms(now_ms) as f64 > QUIET_MS as f64 * self.headroom
    }

    fn kept_free(&self, now_ms: u64) -> u32 {
        if self.is_quiet(now_ms) {
            return 0;
        }
        let rise = f64::from(self.envelope.rise());
        if self.kind == ServiceKind::Plain {
            return (self.headroom * rise).round() as u32;
        }
        let rise = KEPT_FREE * rise;
        let prefill = PREFILL_TIME / self.steps.slope();
        (self.headroom * (rise + prefill)).round() as u32
    }

    /// Sequences, online and batch, at which online tokens are slowed down no more than allowed.
    fn sequences(&self, now_ms: u64) -> u32 {
        if self.kind == ServiceKind::Plain || self.headroom == 0.0 || self.is_quiet(now_ms) {
            return self.target.concurrency_limit;
        }
        // A step may be as long as the allowed slowdown makes a step at the level; that gives the number of sequences.
        let slope = self.steps.slope();
        let slowdown = 1.0 + ALLOWED_SLOWDOWN / self.headroom - PREFILL_SLOWDOWN;
        let step = slowdown * (1.0 + slope * f64::from(self.envelope.level()));
        ((step - 1.0) / slope).max(0.0) as u32
    }

    fn pace(&mut self, now_ms: u64) {
        let step_ms = self.steps.step_ms(self.online + self.held()) as u64;
        self.next_admit_ms = now_ms + step_ms.max(1);
    }
}
