//! What no scheduler can exceed, even one that knows all arrivals and outages beforehand.
//!
//! The fleet is taken for one store of engine time that can be divided at will. A token of an output costs a target at least
//! its part of a step that is full, and a prompt at least the time to read what it does not share. All of it has to be
//! done between a request's arrival and its aim or deadline, at targets that are up. What has begun to answer a caller is
//! not paused, so that an answer that begins in its aim ends within so many of the longest steps. Everything else that
//! costs time or room is left out: ways, queues, steps that are not full, the order within a target, work done twice.
//!
//! The most worth under these limits is bounded by prices: give engine time at each moment a price. No schedule earns more
//! than all engine time is worth at its prices, and beside it, for each request, what its worth exceeds the cheapest way
//! to buy its work. That holds for any prices, so the search for good ones need not be trusted.

use samphiredoor_core::dispatch::Class;

use super::{
    prices::{Completion, DualProblem, Work},
    scenario::{FaultKind, Scenario, Targets},
    traffic::{Request, micros},
};

/// Length of time that has one price.
const BUCKET_US: u64 = 100_000;

/// Most worth that requests can earn.
pub fn bound(scenario: &Scenario, requests: &[Request]) -> f64 {
    let supply_ms = supply_ms(scenario);
    let completions =
        requests.iter().map(|it| completions(scenario, supply_ms.len(), it)).collect();
    let total_worth: f64 = requests.iter().map(|it| it.worth).sum();
    DualProblem::new(supply_ms, completions).lowest_bound().min(total_worth)
}

/// Engine time in each bucket until the end.
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

/// Ways in which a request can end, with the least work that each takes.
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
