//! Admission of online requests: whether one is dispatched, waits, or is rejected on arrival.
//!
//! A request waits for a slot only as long as it can still meet its objective. Whether it will get a slot in that time
//! follows from its position in the queue and the measured completion rate (Little's law). If it will not, it is rejected
//! at once, because a caller that is rejected late has too little time to retry. A request that should not be rejected
//! again, because its caller is retrying or an earlier attempt has failed, may wait longer.

use std::collections::HashMap;

use rand::{Rng, rngs::SmallRng};

use super::OverloadPolicy;
use crate::{Name, requests::RequestSpec};

/// Longest queue of new requests while the completion rate is unknown.
const UNMEASURED_QUEUE: usize = 16;
/// Longest wait of a request with an earlier attempt, in percent of its objective. Its answer is late then, but better than
/// none.
const ATTEMPTED_WAIT_PERCENT: u64 = 200;
/// Longest wait of a retry, in percent of the time that its caller has left. Most surges end in that time. If one does not,
/// the caller is rejected early enough to retry once more.
const RETRY_WAIT_PERCENT: u64 = 50;
/// Time by which a request may start later than predicted, as other gateways may send one to the same target before their
/// loads are known.
const START_MARGIN_MS: u64 = 25;
/// Time in which the loads of the cell's gateways become known to each other: the report interval and a network delay.
const CLAIM_INTERVAL_MS: u64 = 25;
/// Free places for each gateway of the cell from which on no claims are needed.
const PLENTY: u32 = 2;

/// Whether a request may be rejected like any other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// First request of its caller.
    New,
    /// An earlier attempt of this request has failed.
    Attempted,
    /// Its caller is retrying after a rejection.
    Returning,
}

impl Standing {
    /// Label in logs.
    pub fn label(self) -> &'static str {
        match self {
            Standing::New => "new",
            Standing::Attempted => "attempted",
            Standing::Returning => "returning",
        }
    }
}

/// Why a request is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// It would not get a slot within its longest wait.
    QueueFull,
    /// It got no slot within its longest wait.
    WaitedTooLong,
    /// Its caller is retrying, and it would not get a slot within its longest wait.
    DeadlineTooShort,
}

impl RejectReason {
    /// All reasons, so that their counters are exported before they first occur.
    pub const ALL: [RejectReason; 3] =
        [RejectReason::QueueFull, RejectReason::WaitedTooLong, RejectReason::DeadlineTooShort];

    /// Label in counters and logs.
    pub fn label(self) -> &'static str {
        match self {
            RejectReason::QueueFull => "queue_full",
            RejectReason::WaitedTooLong => "waited_too_long",
            RejectReason::DeadlineTooShort => "deadline_too_short",
        }
    }
}

/// Decision about a request that no target can take now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Keep it in the queue.
    Queue,
    /// Reject it.
    Reject(RejectReason),
}

/// What a decision is based on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Inputs {
    /// Whether the request may be rejected like any other.
    pub standing: Standing,
    /// Requests that precede it in the queue.
    pub ahead: usize,
    /// Slots of the service that are taken, in percent.
    pub used_percent: u32,
    /// Completions per millisecond that free a slot for this gateway; `None` if they are not known.
    pub completions_per_ms: Option<f64>,
    /// Mean run time; `None` if it is not known.
    pub run_ms: Option<f64>,
    /// Time since the last completion; `None` before the first.
    pub capacity_age_ms: Option<u64>,
    /// Time since the last message of a peer; `None` if no peer is known.
    pub load_age_ms: Option<u64>,
}

/// A rejected request and the reason, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rejection {
    /// Why it was rejected.
    pub reason: RejectReason,
    /// What the decision was based on.
    pub inputs: Inputs,
}

/// Claims of this gateway to the places that are free at the targets of its cell.
///
/// All gateways of a cell learn of a free place at about the same time. If each sent a waiting request there, one place
/// would attract a request from every gateway, and all but the first would become late. So while places are scarce, each
/// gateway uses only its share of them, rounded randomly, once in the time in which loads become known. A place that is
/// freed by an own request may be used at once, before others know of it.
#[derive(Debug, Default)]
pub struct Admission {
    claims: HashMap<Name, Claims>,
}

#[derive(Debug, Default)]
struct Claims {
    renewed_ms: Option<u64>,
    left: u32,
    is_limited: bool,
}

impl Admission {
    /// Whether a waiting request of the service may use a free place now.
    pub fn may_claim(&self, service: &Name) -> bool {
        self.claims.get(service).is_none_or(|it| !it.is_limited || it.left > 0)
    }

    /// Records that a waiting request uses a free place.
    pub fn use_claim(&mut self, service: &Name) {
        if let Some(claims) = self.claims.get_mut(service) {
            claims.left = claims.left.saturating_sub(1);
        }
    }

    /// Records that a request of this gateway has freed a place in its cell.
    pub fn add_claim(&mut self, service: &Name) {
        if let Some(claims) = self.claims.get_mut(service) {
            claims.left = claims.left.saturating_add(1);
        }
    }

    /// Whether the claims are to be renewed.
    pub fn is_due(&self, now_ms: u64, service: &Name) -> bool {
        let renewed_ms = self.claims.get(service).and_then(|it| it.renewed_ms);
        renewed_ms.is_none_or(|it| now_ms >= it.saturating_add(CLAIM_INTERVAL_MS))
    }

    /// Replaces the claims by this gateway's share of the places that are free now.
    pub fn renew(
        &mut self,
        now_ms: u64,
        service: &Name,
        places: u32,
        gateways: u32,
        rng: &mut SmallRng,
    ) {
        let gateways = gateways.max(1);
        let rest = rng.random_ratio(places % gateways, gateways);
        let left = places / gateways + u32::from(rest);
        let claims = self.claims.entry(Name::clone(service)).or_default();
        claims.renewed_ms = Some(now_ms);
        claims.left = left;
        claims.is_limited = gateways > 1 && places < gateways.saturating_mul(PLENTY);
    }
}

/// Whether the request's caller is retrying, or an earlier attempt has failed. A retrying caller waits in total as long as
/// any other, so it has less time left. A part of the shortest retry time is allowed for network delay.
pub fn standing(policy: OverloadPolicy, now_ms: u64, spec: &RequestSpec) -> Standing {
    let terms = &spec.terms;
    let left_ms = terms.deadline_ms.saturating_sub(now_ms.min(terms.arrived_ms));
    let is_short = left_ms.saturating_add(policy.min_retry_ms / 2) < terms.full_wait_ms;
    if terms.deadline_ms > 0 && is_short {
        Standing::Returning
    } else if spec.tried_targets.is_empty() {
        Standing::New
    } else {
        Standing::Attempted
    }
}

/// Time until which a request that enters the queue now may wait there.
pub fn wait_until_ms(
    policy: OverloadPolicy,
    now_ms: u64,
    spec: &RequestSpec,
    standing: Standing,
) -> u64 {
    let terms = &spec.terms;
    if terms.objective_ms == 0 {
        return spec.deadline_ms;
    }
    let wait_ms = match standing {
        Standing::New => terms.objective_ms.saturating_mul(u64::from(policy.queue_percent)) / 100,
        Standing::Attempted => terms.objective_ms.saturating_mul(ATTEMPTED_WAIT_PERCENT) / 100,
        Standing::Returning => {
            terms.deadline_ms.saturating_sub(now_ms).saturating_mul(RETRY_WAIT_PERCENT) / 100
        }
    };
    let until_ms = now_ms.saturating_add(wait_ms);
    if terms.deadline_ms == 0 { until_ms } else { until_ms.min(terms.deadline_ms) }
}

/// Whether a retry that starts now meets its objective, counted from its own arrival.
pub fn is_retry_in_time(now_ms: u64, spec: &RequestSpec, first_event_ms: f64) -> bool {
    let terms = &spec.terms;
    let first_event_ms = now_ms.saturating_add(first_event_ms as u64);
    first_event_ms <= terms.arrived_ms.saturating_add(terms.objective_ms)
}

/// Latest start of a request at a target where it has to wait: it has to meet its objective. If that is no longer possible, a
/// retry or a request with an earlier attempt has to meet its caller's deadline. `None` if there is no objective.
pub fn latest_start_ms(
    now_ms: u64,
    spec: &RequestSpec,
    standing: Standing,
    first_event_ms: f64,
) -> Option<u64> {
    let terms = &spec.terms;
    let first_event_ms = first_event_ms.ceil() as u64;
    if terms.objective_ms == 0 {
        return None;
    }
    let objective_ms = terms.arrived_ms.saturating_add(terms.objective_ms);
    let in_objective_ms = objective_ms.saturating_sub(first_event_ms + START_MARGIN_MS);
    match standing {
        Standing::Attempted | Standing::Returning
            if terms.deadline_ms > 0 && now_ms >= in_objective_ms =>
        {
            Some(terms.deadline_ms.saturating_sub(first_event_ms))
        }
        Standing::New | Standing::Attempted | Standing::Returning => Some(in_objective_ms),
    }
}

/// Decides about a request that no target can take now.
pub fn decide(policy: OverloadPolicy, now_ms: u64, spec: &RequestSpec, inputs: &Inputs) -> Verdict {
    if inputs.used_percent < policy.min_used_percent
        && now_ms < spec.deadline_ms.max(spec.terms.deadline_ms)
    {
        return Verdict::Queue;
    }
    if now_ms >= spec.deadline_ms {
        return Verdict::Reject(RejectReason::WaitedTooLong);
    }
    let is_served_in_time = match inputs.completions_per_ms {
        Some(per_ms) => is_served_by(now_ms, spec.deadline_ms, inputs.ahead, per_ms),
        None => inputs.ahead < UNMEASURED_QUEUE,
    };
    match (is_served_in_time, inputs.standing) {
        (true, _) => Verdict::Queue,
        (false, Standing::Returning) => Verdict::Reject(RejectReason::DeadlineTooShort),
        (false, Standing::New | Standing::Attempted) => Verdict::Reject(RejectReason::QueueFull),
    }
}

/// Whether a request with this many ahead of it gets a slot by a time. The first one always may wait: the time of the next
/// completion is random, and its mean is no reason to reject.
fn is_served_by(now_ms: u64, by_ms: u64, ahead: usize, completions_per_ms: f64) -> bool {
    let time_ms = by_ms.saturating_sub(now_ms) as f64;
    ahead == 0 || (ahead + 1) as f64 <= time_ms * completions_per_ms
}
