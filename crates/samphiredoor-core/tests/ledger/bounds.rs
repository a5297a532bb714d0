//! What is bounded: items handed out, results in memory, tries, store calls; and objects that cannot be read.

use samphiredoor_core::{
    ledger::{
        BadLine, Ledger, LedgerAction, LedgerConfig, LedgerInput, MAX_TRIES, Submission,
        Unreadable, chunk_key, results_key,
    },
    store::{Kind, ObjectKey, StoreOp},
    time::Now,
};
use samphiredoor_schema::objects::{ChunkResults, ItemOutcome, ItemResult, JobState};

use crate::{
    store::ModelStore,
    world::{Fate, RunEnd, Step, World},
};

const MAX_RUNNING: usize = 4_096;
const MAX_RUNNING_PER_JOB: usize = 256;
const GROUP: u64 = 250;

fn any(_: &StoreOp) -> bool {
    true
}

fn is_results_write(op: &StoreOp) -> bool {
    op.is_write()
        && matches!(op, StoreOp::Create { key, .. } | StoreOp::Update { key, .. }
            if key.kind == Kind::Results)
}

fn with_job(items: u32, chunk_items: usize) -> World {
    let mut world = World::new();
    world.submit_items(0, 0, 0, (items, chunk_items), true);
    world
}

fn recorded(world: &World, chunk: u32) -> Vec<ItemResult> {
    let key = results_key(&world.header(0).upload, chunk);
    let Some(stored) = world.store.get(&key) else { return Vec::new() };
    let results: ChunkResults = serde_json::from_slice(&stored.value).expect("it can be read");
    results.results.into_values().collect()
}

fn go_on(world: &mut World, rounds: u32) {
    for _ in 0..rounds {
        world.go_on(0);
    }
}

#[test]
fn a_bounded_number_of_items_is_handed_out() {
    let mut world = World::new();
    for key in 0..20 {
        world.submit_items(0, key, key, (500, 250), true);
    }
    world.answer_calls(0, 20);
    let running = world.running_by_job();
    assert_eq!(running.len(), 20, "no job is left out");
    assert!(running.values().sum::<usize>() <= MAX_RUNNING);
    assert!(running.values().all(|it| *it <= MAX_RUNNING_PER_JOB), "{running:?}");
}

/// A door runs out of memory while the store is down, because results pile up. A job stops handing out when its open
/// chunks are done, and goes on when they are written.
#[test]
fn results_that_cannot_be_written_stop_the_hand_outs() {
    let mut world = with_job(2_000, 250);
    for _ in 0..50 {
        world.go_on_holding(0, is_results_write);
    }
    assert_eq!(world.ran, 500);
    world.release(0, any, Fate::Refused);
    go_on(&mut world, 100);
    assert_eq!((world.header(0).state, world.header(0).completed), (JobState::Finished, 2_000));
    assert_eq!(world.ran, 2_000, "no item was run again");
}

macro_rules! ends {
    ($($name:ident: $end:expr => $outcome:ident, $status:expr, $tries:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut world = with_job(3, 3);
                world.answer_calls(0, 5);
                world.take(&Step::RunEnds { which: 0, end: $end });
                for _ in 0..200 {
                    world.answer_calls(0, 1);
                    while world.has_running_more_than(2) {
                        world.take(&Step::RunEnds { which: 2, end: $end });
                    }
                }
                world.end_runs(0, RunEnd::Answered(200));
                go_on(&mut world, 20);
                assert_eq!(world.header(0).state, JobState::Finished);
                let results = recorded(&world, 0);
                let result = results.iter().find(|it| it.custom_id == "0-0").expect("a result");
                let seen = (result.outcome, result.status, result.tries);
                assert_eq!(seen, (ItemOutcome::$outcome, $status, $tries));
            }
        )*
    };
}

ends! {
    a_failing_item_is_tried_a_few_times: RunEnd::Answered(503) => Failed, 503, MAX_TRIES;
    a_lost_item_is_tried_a_few_times: RunEnd::MayHaveRun => Failed, 0, MAX_TRIES;
    a_refused_item_fails_at_once: RunEnd::Answered(404) => Failed, 404, 1;
}

/// Answers of a chunk are together larger than an object of the store, and the job never ends. Those that would fill
/// the object stand in objects of their own.
#[test]
fn large_results_stand_in_objects_of_their_own() {
    let mut world = with_job(8, 8);
    world.answer_calls(0, 5);
    world.end_runs(0, RunEnd::Large(300_000));
    go_on(&mut world, 50);
    assert_eq!(world.header(0).state, JobState::Finished);
    let results = recorded(&world, 0);
    let inline = results.iter().filter(|it| it.body.is_some()).count();
    assert!((1..=3).contains(&inline), "{inline} of {}", results.len());
    for result in results.iter().filter(|it| it.body.is_none()) {
        let name = result.body_object.as_deref().expect("a body somewhere");
        let stored = world.store.get(&ObjectKey::new(Kind::Results, name)).expect("it stands");
        assert!(stored.value.len() > 300_000);
    }
}

/// One chunk of a list was damaged, or written by a later version. It is refused and left as it is, the other chunks
/// are completed, and a cancel ends the job.
macro_rules! unreadable {
    ($($name:ident: $key:ident, $text:expr => $fault:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let mut world = with_job(6, 2);
                let key = $key("up1", 1);
                world.store.damage(&key, $text);
                go_on(&mut world, 50);
                assert!(world.unreadable.contains(&(key.clone(), Unreadable::$fault)));
                assert_eq!(recorded(&world, 0).len() + recorded(&world, 2).len(), 4);
                assert_eq!(world.header(0).state, JobState::Running);
                assert_eq!(&*world.store.get(&key).expect("it stands").value, $text.as_bytes());
                world.take(&Step::Cancel { process: 1, key: 0 });
                world.answer_calls(1, 5);
                go_on(&mut world, 50);
                assert_eq!(world.header(0).state, JobState::Cancelled);
                assert_eq!(&*world.store.get(&key).expect("it stands").value, $text.as_bytes());
            }
        )*
    };
}

unreadable! {
    a_corrupt_chunk_holds_up_no_other: chunk_key, "{\"items\":7}" => Corrupt;
    a_chunk_of_a_newer_format_is_left_alone: chunk_key, "{\"format\":9,\"items\":[]}" => Newer;
    corrupt_results_are_left_alone: results_key, "{\"results\":[]}" => Corrupt;
    results_of_a_newer_format_are_left_alone: results_key, "{\"format\":9}" => Newer;
    results_of_an_older_format_are_left_alone: results_key, "{\"format\":0}" => Older;
}

/// A child's box is left unpacked: the list's last line, without a line end, did not fit beside the one before it. It
/// began a chunk that was never written, though the header counted it.
#[test]
fn the_last_line_of_a_full_chunk_is_kept() -> Result<(), BadLine> {
    let long = "x".repeat(250_000);
    let line = |it| {
        format!(r#"{{"custom_id":"{it}","url":"/services/pickup/x","body":{{"note":"{long}"}}}}"#)
    };
    let mut submission = Submission::new();
    let mut chunks = submission.push(format!("{}\n{}", line(0), line(1)).as_bytes())?;
    chunks.extend(submission.finish()?);
    let items: usize = chunks.iter().map(|(_, it)| it.items.len()).sum();
    assert_eq!((items, submission.chunks()), (2, 2));
    Ok(())
}

#[test]
fn a_small_job_takes_four_writes() {
    let mut world = with_job(10, 250);
    go_on(&mut world, 10);
    assert_eq!(world.header(0).state, JobState::Finished);
    // Chunk, header, results, header.
    assert_eq!(world.store.writes, 4);
}

#[test]
fn results_at_rate_take_a_write_a_group() {
    let items = 20_000;
    let mut world = with_job(items, 250);
    let accepted = world.store.writes + 1;
    go_on(&mut world, 400);
    assert_eq!(world.header(0).state, JobState::Finished);
    let writes = world.store.writes - accepted;
    // The header is written once in 32 chunks, and at the end.
    assert!(writes <= u64::from(items) / GROUP + 4, "{writes}");
}

#[test]
fn an_idle_process_writes_nothing_and_reads_seldom() {
    let mut store = ModelStore::default();
    let mut ledger = Ledger::new(LedgerConfig::new("door-0".into(), 1, "door-0-1".into()));
    let mut actions = Vec::new();
    let minutes = 10;
    for tick in 0..minutes * 600 {
        let now = Now::new(tick * 100, 0);
        let valid_until_ms = now.mono_ms + 30_000;
        ledger.handle(now, LedgerInput::Lease { valid_until_ms }, &mut actions);
        for action in std::mem::take(&mut actions) {
            let LedgerAction::Store { call, op } = action else { continue };
            let answer = store.apply(&op);
            ledger.handle(now, LedgerInput::Stored { call, answer }, &mut actions);
        }
    }
    assert_eq!(store.writes, 0);
    // Two lists of free jobs in ten seconds, two of its own in a minute.
    assert_eq!(store.calls, minutes * 14);
}
