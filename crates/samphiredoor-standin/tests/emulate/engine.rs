//! Engine model: duration of steps, order of requests, prefix cache, and removal of attempts.

use samphiredoor_standin::emulate::{
    engine::{Engine, Progress, Sequence},
    scenario::{Scenario, Targets},
};

const STEP_US: u64 = 4_000;
const STEP_PER_REQUEST_US: u64 = 1_000;

fn targets() -> Targets {
    let text = include_str!("../../../../examples/emulate/eight_before_twelve.toml");
    Targets {
        slots: 2,
        queue: 1,
        step_ms: 4.0,
        step_per_request_ms: 1.0,
        prompt_tokens_per_ms: 10.0,
        chunk_tokens: 100,
        kept_beginnings: 1,
        ..Scenario::parse(text, &[]).unwrap().targets
    }
}

fn request(attempt: u64, own_tokens: u32, output_tokens: u32) -> Sequence {
    Sequence::new(attempt, (0, 0), own_tokens, (0, output_tokens))
}

#[test]
fn step_duration_grows_with_the_number_of_running_requests() {
    let mut engine = Engine::new(targets());
    engine.offer(request(1, 0, 9));
    assert_eq!(engine.begin_step(), Some(STEP_US + STEP_PER_REQUEST_US));
    engine.end_step();
    engine.offer(request(2, 0, 9));
    assert_eq!(engine.begin_step(), Some(STEP_US + 2 * STEP_PER_REQUEST_US));
}

#[test]
fn a_long_prompt_is_prefilled_in_chunks_while_others_generate_tokens() {
    let mut engine = Engine::new(targets());
    engine.offer(request(1, 0, 9));
    engine.offer(request(2, 250, 9));
    let prefill_us = [10_000, 10_000, 5_000];
    for (step, prefill_us) in prefill_us.into_iter().enumerate() {
        let whole_us = STEP_US + 2 * STEP_PER_REQUEST_US + prefill_us;
        assert_eq!(engine.begin_step(), Some(whole_us));
        let starts = engine.end_step().contains(&(2, Progress::FirstToken));
        assert_eq!(starts, step == 2);
        assert_eq!(engine.generated(1), Some(step as u32 + 1));
    }
}

#[test]
fn requests_run_in_order_of_arrival_and_are_refused_when_the_queue_is_full() {
    let mut engine = Engine::new(targets());
    assert!((1..=3).all(|it| engine.offer(request(it, 0, 1))));
    assert!(!engine.offer(request(4, 0, 1)));
    engine.begin_step();
    let progress = [(1, Progress::FirstToken), (1, Progress::Finished), (2, Progress::FirstToken)];
    assert_eq!(engine.end_step()[..3], progress);
    engine.begin_step();
    assert_eq!(engine.end_step(), [(3, Progress::FirstToken), (3, Progress::Finished)]);
    assert_eq!(engine.begin_step(), None);
}

#[test]
fn a_shared_prefix_is_prefilled_again_only_after_its_eviction_from_the_cache() {
    let mut engine = Engine::new(targets());
    let mut has_prefilled = Vec::new();
    for (attempt, prefix) in [(1, 7), (2, 7), (3, 8), (4, 7)] {
        engine.offer(Sequence::new(attempt, (prefix, 50), 0, (0, 1)));
        has_prefilled.push(engine.begin_step().unwrap() > STEP_US + STEP_PER_REQUEST_US);
        engine.end_step();
    }
    assert_eq!(has_prefilled, [true, false, true, true]);
}

#[test]
fn a_removed_attempt_frees_its_slot_and_returns_its_generated_tokens() {
    let mut engine = Engine::new(targets());
    (1..=3).for_each(|it| assert!(engine.offer(request(it, 0, 9))));
    engine.begin_step();
    engine.end_step();
    assert_eq!(engine.drop_attempt(1), Some(1));
    engine.begin_step();
    assert!(engine.end_step().contains(&(3, Progress::FirstToken)));
}
