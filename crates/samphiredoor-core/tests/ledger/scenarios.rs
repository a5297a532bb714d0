//! Specific sequences of failures that random steps rarely produce.

use samphiredoor_core::{
    ledger::results_key,
    store::{Kind, StoreOp},
};
use samphiredoor_schema::objects::{ChunkResults, ItemOutcome, JobState};

use crate::{
    simulation::{CallOutcome, Simulation, Step},
    store::is_results_write,
};

const ROUNDS: u32 = 200;
const FIRST_OPENED_CHUNKS: u32 = 32;

fn is_header_write(op: &StoreOp) -> bool {
    matches!(op, StoreOp::Update { key, .. } if key.kind == Kind::Job)
}

fn with_job(content: u8, repeatable: bool) -> Simulation {
    let mut simulation = Simulation::new();
    simulation.submit(0, 0, content, repeatable);
    simulation.complete_calls(0, |_| true, CallOutcome::Answered);
    simulation
}

fn advance_until_held(simulation: &mut Simulation, hold: fn(&StoreOp) -> bool) {
    for _ in 0..ROUNDS {
        if simulation.advance_holding(0, hold) {
            return;
        }
    }
    panic!("no held call was made within {ROUNDS} rounds");
}

fn advance_until_ended(simulation: &mut Simulation, process: usize) {
    for _ in 0..ROUNDS {
        simulation.advance(process);
    }
    assert!(simulation.invariants.all_ended(), "{:?}", simulation.invariants.open_jobs());
}

fn results(simulation: &Simulation, chunk: u32) -> Option<ChunkResults> {
    let key = results_key(&simulation.header(0).upload, chunk);
    let stored = simulation.store.get(&key)?;
    Some(serde_json::from_slice(&stored.value).expect("results can be read"))
}

/// A long job stalls permanently. The owner's update of the header takes effect but its answer is lost; each later
/// update conflicts with this one if the owner does not read the header again.
#[test]
fn a_header_write_with_a_lost_answer_is_followed_by_a_read() {
    let mut simulation = with_job(0, true);
    advance_until_held(&mut simulation, is_header_write);
    simulation.complete_calls(0, is_header_write, CallOutcome::AnswerLost);
    advance_until_ended(&mut simulation, 0);
    assert_eq!(simulation.header(0).completed, 36);
}

/// An item of a cancelled job is run. The owner opens a chunk that the header's `opened_chunks` does not include yet,
/// is paused, and writes after the next owner, which fences only the chunks included, has ended the job.
#[test]
fn no_chunk_is_opened_before_the_header_covers_it() {
    let mut simulation = with_job(0, true);
    advance_until_held(&mut simulation, is_header_write);
    for _ in 0..ROUNDS {
        simulation.advance_holding(0, is_header_write);
    }
    assert!(results(&simulation, FIRST_OPENED_CHUNKS - 1).is_some());
    assert!(results(&simulation, FIRST_OPENED_CHUNKS).is_none());
    simulation.complete_calls(0, is_header_write, CallOutcome::Answered);
    advance_until_ended(&mut simulation, 0);
}

/// An item is recorded as `may_have_run` although it was never started. A process that shuts down has sent a write of
/// intents, which takes effect only after the handover.
#[test]
fn a_late_intent_write_does_not_survive_the_hand_over() {
    let mut simulation = with_job(1, false);
    advance_until_held(&mut simulation, is_results_write);
    simulation.complete_calls(0, is_results_write, CallOutcome::Late);
    simulation.apply_step(&Step::Stop { process: 0 });
    simulation.answer_calls(0, 50);
    assert_eq!(simulation.handed_over, 1);
    simulation.apply_step(&Step::LateWrite { which: 0 });
    advance_until_ended(&mut simulation, 1);
    assert_eq!(simulation.header(0).completed, 5, "all items are run by the next owner");
}

/// A process that shuts down keeps its job until its lease expires. At the shutdown its items are waiting for a target;
/// they end as not run, their intents are withdrawn, and the next owner runs them.
#[test]
fn items_that_did_not_run_are_handed_over_without_intents() {
    let mut simulation = with_job(1, false);
    simulation.answer_calls(0, 5);
    simulation.apply_step(&Step::Stop { process: 0 });
    while simulation.has_running(0) {
        simulation.apply_step(&Step::EndRun { which: 0, end: crate::simulation::RunEnd::NotRun });
    }
    simulation.answer_calls(0, 5);
    assert_eq!((simulation.handed_over, simulation.header(0).owner.process.as_str()), (1, ""));
    advance_until_ended(&mut simulation, 1);
    assert_eq!(simulation.header(0).completed, 5);
}

/// Items of a cancelled job are recorded as `may_have_run` although no request was sent. Only items in flight at the
/// cancellation may have run; items that merely have an intent are not recorded.
#[test]
fn a_cancellation_records_may_have_run_only_for_items_in_flight() {
    let mut simulation = with_job(1, false);
    advance_until_held(&mut simulation, is_results_write);
    simulation.apply_step(&Step::Cancel { process: 1, key: 0 });
    simulation.complete_calls(1, |_| true, CallOutcome::Answered);
    simulation.complete_calls(1, |_| true, CallOutcome::Answered);
    simulation.apply_step(&Step::CancelHint { process: 0, key: 0 });
    simulation.answer_calls(0, 20);
    assert_eq!(simulation.header(0).state, JobState::Cancelled);
    let recorded = results(&simulation, 0).map(|it| it.results).unwrap_or_default();
    let may_have_run = recorded.values().filter(|it| it.outcome == ItemOutcome::MayHaveRun);
    assert_eq!(may_have_run.count(), 0, "no item was started");
}
