//! Failures that random steps seldom bring about, one by one.

use samphiredoor_core::{
    ledger::results_key,
    store::{Kind, StoreOp},
};
use samphiredoor_schema::objects::{ChunkResults, ItemOutcome, JobState};

use crate::world::{Fate, Step, World};

const ROUNDS: u32 = 200;
const FIRST_OPENED_CHUNKS: u32 = 32;

fn any(_: &StoreOp) -> bool {
    true
}

fn is_header_write(op: &StoreOp) -> bool {
    matches!(op, StoreOp::Update { key, .. } if key.kind == Kind::Job)
}

fn is_results_write(op: &StoreOp) -> bool {
    op.is_write()
        && matches!(op, StoreOp::Create { key, .. } | StoreOp::Update { key, .. }
            if key.kind == Kind::Results)
}

fn with_job(content: u8, repeatable: bool) -> World {
    let mut world = World::new();
    world.submit(0, 0, content, repeatable);
    world.release(0, any, Fate::Answered);
    world
}

fn until_held(world: &mut World, hold: fn(&StoreOp) -> bool) {
    for _ in 0..ROUNDS {
        if world.go_on_holding(0, hold) {
            return;
        }
    }
    panic!("no such call was made");
}

fn until_ended(world: &mut World, process: usize) {
    for _ in 0..ROUNDS {
        world.go_on(process);
    }
    assert!(world.promises.all_ended(), "{:?}", world.promises.open_jobs());
}

fn results(world: &World, chunk: u32) -> Option<ChunkResults> {
    let key = results_key(&world.header(0).upload, chunk);
    let stored = world.store.get(&key)?;
    Some(serde_json::from_slice(&stored.value).expect("results can be read"))
}

/// A long list stops in the middle for ever. The owner's update of the header takes effect and its answer is lost; each
/// later update conflicts with the owner's own, because nothing read what stands.
#[test]
fn a_header_write_whose_answer_is_lost_is_looked_up() {
    let mut world = with_job(0, true);
    until_held(&mut world, is_header_write);
    world.release(0, is_header_write, Fate::AnswerLost);
    until_ended(&mut world, 0);
    assert_eq!(world.header(0).completed, 36);
}

/// A cancelled list gets another box packed. The owner opens a chunk that the header does not name yet, is frozen, and
/// writes after its successor, who fenced only what the header named, has ended the job.
#[test]
fn no_chunk_is_opened_before_the_header_names_it() {
    let mut world = with_job(0, true);
    until_held(&mut world, is_header_write);
    for _ in 0..ROUNDS {
        world.go_on_holding(0, is_header_write);
    }
    assert!(results(&world, FIRST_OPENED_CHUNKS - 1).is_some());
    assert!(results(&world, FIRST_OPENED_CHUNKS).is_none());
    world.release(0, is_header_write, Fate::Answered);
    until_ended(&mut world, 0);
}

/// A farrier's booking is reported as "may have run" although nobody ran it. A process that is told to stop had asked
/// for intents; their write is late, and takes effect after the hand-over.
#[test]
fn a_late_intent_does_not_outlive_the_hand_over() {
    let mut world = with_job(1, false);
    until_held(&mut world, is_results_write);
    world.release(0, is_results_write, Fate::Late);
    world.take(&Step::Stop { process: 0 });
    world.answer_calls(0, 50);
    assert_eq!(world.handed_over, 1);
    world.take(&Step::LateWrite { which: 0 });
    until_ended(&mut world, 1);
    assert_eq!(world.header(0).completed, 5, "all items are run by the next owner");
}

/// A stopped process holds its list back until its lease ends. Its items wait for a target when the stop comes; they
/// end as not run, their intents are withdrawn, and the next owner runs them.
#[test]
fn items_that_were_not_run_are_handed_over_without_doubt() {
    let mut world = with_job(1, false);
    world.answer_calls(0, 5);
    world.take(&Step::Stop { process: 0 });
    while world.has_running(0) {
        world.take(&Step::RunEnds { which: 0, end: crate::world::RunEnd::NotRun });
    }
    world.answer_calls(0, 5);
    assert_eq!((world.handed_over, world.header(0).owner.process.as_str()), (1, ""));
    until_ended(&mut world, 1);
    assert_eq!(world.header(0).completed, 5);
}

/// A cancelled list of bookings claims that bookings may have been made that were never sent. Those in flight at the
/// cancel may have run and are recorded so; those that only had an intent are not.
#[test]
fn a_cancel_records_doubt_only_for_items_in_flight() {
    let mut world = with_job(1, false);
    until_held(&mut world, is_results_write);
    world.take(&Step::Cancel { process: 1, key: 0 });
    world.release(1, any, Fate::Answered);
    world.release(1, any, Fate::Answered);
    world.take(&Step::CancelHint { process: 0, key: 0 });
    world.answer_calls(0, 20);
    assert_eq!(world.header(0).state, JobState::Cancelled);
    let recorded = results(&world, 0).map(|it| it.results).unwrap_or_default();
    let doubts = recorded.values().filter(|it| it.outcome == ItemOutcome::MayHaveRun);
    assert_eq!(doubts.count(), 0, "nothing was handed out");
}
