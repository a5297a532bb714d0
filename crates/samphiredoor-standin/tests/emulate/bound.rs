//! Upper bound on worth: no simulation exceeds it, and in cases computed by hand it is within 2 % of what can be
//! earned.

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use samphiredoor_core::dispatch::Class;
use samphiredoor_standin::emulate::{
    bound::bound,
    mechanism::Mechanism,
    scenario::{Fault, FaultKind, Scenario},
    simulation::Simulation,
    traffic::{self, Request},
};

const EIGHT: &str = include_str!("../../../../examples/emulate/eight_before_twelve.toml");
const CASES: u32 = 60;
/// Tolerance for rounding errors of floating-point sums.
const ROUNDING: f64 = 1e-6;

fn small_fleet() -> impl Strategy<Value = (Scenario, u64)> {
    let fleet = (1usize..4, 1usize..4, 1u32..5, 0u32..6);
    let engine = (1.0..8.0f64, 0.0..3.0f64, 5.0..80.0f64, 16u32..600);
    let online = (0.0..60.0f64, 0u32..200, 20u64..600, 1.0..3.0f64);
    let batch = (0.0..2.0f64, 1u32..200, 0.5..4.0f64, 0.0..5.0f64);
    let fault = (0.0..4.0f64, 0.1..4.0f64, any::<bool>());
    (fleet, engine, online, batch, fault, any::<u32>()).prop_map(
        |(fleet, engine, online, batch, fault, seed)| {
            let mut it = Scenario::parse(EIGHT, &[]).unwrap();
            it.duration_s = 4.0;
            it.finish_s = 2.0;
            (it.gateways.count, it.targets.count, it.targets.slots, it.targets.queue) = fleet;
            (it.targets.step_ms, it.targets.step_per_request_ms, ..) = engine;
            (.., it.targets.prompt_tokens_per_ms, it.targets.chunk_tokens) = engine;
            it.network.zone_ms = 0.0;
            it.network.region_ms = 0.0;
            it.network.far_ms = 0.0;
            let kind = &mut it.online[0];
            kind.rate_per_s = online.0;
            kind.prompt_tokens = [0, online.1];
            kind.output_tokens = [1, 40];
            (kind.aim_ms, kind.deadline_ms) = (online.2, online.2 + 400);
            kind.worth = online.3;
            let kind = &mut it.batch[0];
            kind.jobs_per_s = batch.0;
            kind.output_tokens = [1, batch.1];
            (kind.due_s, kind.give_up_s) = (batch.2, batch.2 + 1.0);
            (kind.worth, kind.worth_late) = (batch.3 + 0.1, batch.3 / 4.0);
            (kind.rush_jobs, kind.rush_at_s) = (2, 1.0);
            let what = match fault.2 {
                true => FaultKind::TargetsDown(vec![0]),
                false => FaultKind::GatewaysDown(vec![0]),
            };
            it.faults = vec![Fault { at_s: fault.0, lasts_s: fault.1, what }];
            (it, u64::from(seed))
        },
    )
}

#[test]
fn no_simulation_of_a_small_fleet_exceeds_the_bound() {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let check = |(scenario, seed): (Scenario, u64)| {
        let requests = traffic::generate(&scenario, seed);
        let upper_bound = bound(&scenario, &requests);
        for without in [&[][..], &[Mechanism::Preemption], &[Mechanism::Queue]] {
            let outcome = Simulation::new(&scenario, without, &requests, seed).run();
            prop_assert!(
                outcome.earned <= upper_bound + ROUNDING,
                "{} exceeds {upper_bound}",
                outcome.earned
            );
        }
        Ok(())
    };
    TestRunner::new_with_rng(config, rng).run(&small_fleet(), check).unwrap();
}

/// One target with four slots; a step with all slots in use takes 8 ms and generates four tokens.
fn one_target() -> Scenario {
    let mut scenario = Scenario::parse(EIGHT, &[]).unwrap();
    scenario.duration_s = 10.0;
    scenario.finish_s = 0.0;
    scenario.targets.count = 1;
    scenario.targets.slots = 4;
    scenario.targets.step_ms = 4.0;
    scenario.targets.step_per_request_ms = 1.0;
    scenario.faults.clear();
    scenario
}

/// Items of 200 tokens, each needing 400 ms of engine time, due after ten seconds.
fn items(count: usize, worth: f64) -> Vec<Request> {
    let item = Request {
        class: Class::Batch,
        arrives_us: 0,
        gateway: 0,
        objective_us: 10_000_000,
        deadline_us: 10_000_000,
        objective_after_ms: 10_000,
        priority: 0,
        prefix: 0,
        shared_tokens: 0,
        own_tokens: 0,
        output_tokens: 200,
        worth,
        worth_late: 0.0,
    };
    vec![item; count]
}

#[track_caller]
fn assert_near(bound: f64, attainable: f64) {
    assert!(bound >= attainable - ROUNDING, "{bound} is below {attainable}, which can be earned");
    assert!(bound <= 1.02 * attainable, "{bound} is far above {attainable}");
}

#[test]
fn the_bound_includes_all_items_that_fit() {
    assert_near(bound(&one_target(), &items(20, 1.0)), 20.0);
}

#[test]
fn the_bound_excludes_items_beyond_the_capacity() {
    assert_near(bound(&one_target(), &items(50, 1.0)), 25.0);
}

#[test]
fn the_bound_prefers_items_with_the_highest_worth() {
    let mut requests = items(40, 1.0);
    requests.extend(items(10, 3.0));
    assert_near(bound(&one_target(), &requests), 45.0);
}

#[test]
fn the_bound_excludes_engine_time_during_outages() {
    let mut scenario = one_target();
    let what = FaultKind::TargetsDown(vec![0]);
    scenario.faults = vec![Fault { at_s: 2.0, lasts_s: 4.0, what }];
    assert_near(bound(&scenario, &items(50, 1.0)), 15.0);
}

#[test]
fn the_bound_excludes_an_item_that_is_too_long_even_alone() {
    let mut requests = items(1, 1.0);
    requests[0].output_tokens = 2_001;
    assert_eq!(bound(&one_target(), &requests), 0.0);
}

/// Online requests of 200 tokens, whose first token is due within 50 ms.
fn online(count: usize) -> Vec<Request> {
    let mut requests = items(count, 1.0);
    for request in &mut requests {
        request.class = Class::Online;
        request.objective_us = 50_000;
    }
    requests
}

#[test]
fn an_answer_that_starts_within_its_objective_may_end_later() {
    assert_near(bound(&one_target(), &online(4)), 4.0);
}

// Steps take at most 17 ms, so an answer of 200 tokens that starts within 50 ms ends after at most 3.4 s.
#[test]
fn an_answer_that_starts_within_its_objective_is_not_paused() {
    let upper_bound = bound(&one_target(), &online(50));
    assert!(upper_bound < 9.0, "{upper_bound}");
}

#[test]
fn the_bound_counts_a_late_item_with_its_lower_worth() {
    let mut requests = items(20, 1.0);
    for request in &mut requests {
        request.objective_us = 4_000_000;
        request.worth_late = 0.5;
    }
    assert_near(bound(&one_target(), &requests), 15.0);
}

#[test]
fn the_bound_excludes_work_after_the_deadlines() {
    let mut requests = items(30, 1.0);
    requests.iter_mut().for_each(|it| it.objective_us = 4_000_000);
    requests.iter_mut().for_each(|it| it.deadline_us = 4_000_000);
    assert_near(bound(&one_target(), &requests), 10.0);
}
