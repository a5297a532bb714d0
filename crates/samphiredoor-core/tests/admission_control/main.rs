//! Tests of the parts of admission control: capacity, admission and retry times.

mod admission;
mod capacity;
mod placement;
#[path = "../property/mod.rs"]
mod property;
mod retry_schedule;
mod retry_turns;

use samphiredoor_core::{
    Name,
    dispatch::{Class, RequestId},
    overload::{Activation, OverloadPolicy},
    placement::{CallerTerms, RequestSpec},
};
use smallvec::SmallVec;

const OBJECTIVE_MS: u64 = 300;
const FULL_WAIT_MS: u64 = 5_000;

fn policy() -> OverloadPolicy {
    OverloadPolicy::new(Activation::Always)
}

fn service() -> Name {
    "reader".into()
}

/// An online request that arrives now, and whose caller waits for this time.
fn spec(number: u64, now_ms: u64, wait_ms: u64) -> RequestSpec {
    RequestSpec {
        request: RequestId(number),
        class: Class::Online,
        service: service(),
        priority: 0,
        affinity: 0,
        tried_targets: SmallVec::new(),
        deadline_ms: now_ms + OBJECTIVE_MS / 5,
        prior_run_ms: 0,
        resumes: None,
        terms: CallerTerms {
            share_key: 0,
            arrived_ms: now_ms,
            objective_ms: OBJECTIVE_MS,
            deadline_ms: now_ms + wait_ms,
            full_wait_ms: FULL_WAIT_MS,
            is_repeatable: true,
        },
    }
}
