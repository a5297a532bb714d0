//! Upper bound on the worth that any scheduler can earn, even one that knows all arrivals and outages in advance.
//!
//! The fleet is relaxed to one pool of engine time that can be divided arbitrarily. An output token costs a target at
//! least its share of a step with all slots in use, and a prompt at least the time to prefill the part after its shared
//! prefix. All of this has to be done between a request's arrival and its objective or deadline, at targets that are
//! up. An answer is not paused once it has started, so one that starts within its objective ends after at most one
//! longest step per further token. Everything else that costs time or capacity is left out: network latency, queues,
//! partly filled steps, the order within a target, repeated work.
//!
//! The maximum under these constraints is bounded by duality: engine time gets a price at each moment. No schedule
//! earns more than the price of all engine time plus, for each request, the amount by which its worth exceeds the
//! lowest price of its work. This holds for any prices, so the bound is valid even if the search for good prices
//! performs badly.

use samphiredoor_core::dispatch::Class;

use super::{
    prices::{Completion, DualProblem, Work},
    scenario::{FaultKind, Scenario, Targets},
    traffic::{Request, micros},
};

/// Length of a bucket, the unit of time that has one price.
const BUCKET_US: u64 = 100_000;

/// Upper bound on the worth that the requests can earn.
pub fn bound(scenario: &Scenario, requests: &[Request]) -> f64 {
    let supply_ms = supply_ms(scenario);
    let completions =
        requests.iter().map(|it| completions(scenario, supply_ms.len(), it)).collect();
    let total_worth: f64 = requests.iter().map(|it| it.worth).sum();
    DualProblem::new(supply_ms, completions).lowest_bound().min(total_worth)
}

/// Engine time of all targets in each bucket until the end of the simulation.
fn supply_ms(scenario: &Scenario) -> Vec<f64> {
    let end_us = micros(scenario.total_s());
    let mut supply_ms = vec![0.0; end_us.div_ceil(BUCKET_US) as usize];
    for target in 0..scenario.targets.count {
        let mut up_from_us = 0;
        for (down_us, back_us) in outages(scenario, target) {
            add_uptime_ms(&mut supply_ms, up_from_us, down_us.min(end_us));
            up_from_us = up_from_us.max(back_us);
        }
        add_uptime_ms(&mut supply_ms, up_from_us, end_us);
    }
    supply_ms
}

fn outages(scenario: &Scenario, target: usize) -> Vec<(u64, u64)> {
    let mut outages: Vec<(u64, u64)> = Vec::new();
    for fault in &scenario.faults {
        if let FaultKind::TargetsDown(them) = &fault.what
            && them.contains(&target)
        {
            let from_us = micros(fault.at_s);
            outages.push((from_us, from_us + micros(fault.lasts_s)));
        }
    }
    outages.sort_unstable();
    outages
}

fn add_uptime_ms(supply_ms: &mut [f64], from_us: u64, until_us: u64) {
    let mut at_us = from_us;
    while at_us < until_us {
        let bucket = at_us / BUCKET_US;
        let next_us = ((bucket + 1) * BUCKET_US).min(until_us);
        supply_ms[bucket as usize] += (next_us - at_us) as f64 / 1_000.0;
        at_us = next_us;
    }
}

fn longest_step_us(targets: &Targets) -> u64 {
    let prefill_ms = f64::from(targets.chunk_tokens) / targets.prompt_tokens_per_ms;
    let requests_ms = targets.step_per_request_ms * f64::from(targets.slots);
    ((targets.step_ms + requests_ms + prefill_ms) * 1_000.0).ceil() as u64
}

/// Possible completions of a request, within its objective and later, with the least work that each needs.
fn completions(scenario: &Scenario, buckets: usize, request: &Request) -> [Option<Completion>; 2] {
    let targets = &scenario.targets;
    let prefill_ms = f64::from(request.own_tokens) / targets.prompt_tokens_per_ms;
    let token_ms = targets.step_ms / f64::from(targets.slots) + targets.step_per_request_ms;
    let later_tokens_ms = f64::from(request.output_tokens - 1) * token_ms;
    let work = |until_us: u64, engine_ms: f64| Work {
        from: ((request.arrives_us / BUCKET_US) as usize).min(buckets),
        until: (until_us.div_ceil(BUCKET_US) as usize).min(buckets),
        engine_ms,
    };
    let alone_step_ms = targets.step_ms + targets.step_per_request_ms;
    let after = |steps: u32| {
        let least_ms = prefill_ms + f64::from(steps) * alone_step_ms;
        request.arrives_us + (least_ms * 1_000.0) as u64
    };
    let (first_us, last_us) = (after(1), after(request.output_tokens));
    if last_us > request.deadline_us {
        return [None, None];
    }
    let late = Completion {
        worth: request.worth_late,
        first: work(request.deadline_us, prefill_ms + token_ms),
        rest: work(request.deadline_us, later_tokens_ms),
    };
    let rest_us = u64::from(request.output_tokens - 1) * longest_step_us(targets);
    let (scored_us, rest_until_us) = match request.class {
        Class::Online => (first_us, request.deadline_us.min(request.objective_us + rest_us)),
        Class::Batch => (last_us, request.objective_us),
    };
    let on_time = (scored_us <= request.objective_us).then(|| Completion {
        worth: request.worth,
        first: work(request.objective_us, prefill_ms + token_ms),
        rest: work(rest_until_us, later_tokens_ms),
    });
    match on_time {
        Some(on_time) => [Some(on_time), Some(late)],
        None => [Some(late), None],
    }
}
