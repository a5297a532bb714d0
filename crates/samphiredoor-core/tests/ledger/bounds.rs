//! Limits on running items, results in memory, tries and store calls; handling of objects that cannot be read.

use samphiredoor_core::{
    ledger::{
        BadLine, Ledger, LedgerAction, LedgerConfig, LedgerInput, MAX_TRIES, Submission,
        Unreadable, chunk_key, results_key,
    },
    store::{Kind, ObjectKey},
    time::Now,
};
use samphiredoor_schema::objects::{ChunkResults, ItemOutcome, ItemResult, JobState};

use crate::{
    simulation::{CallOutcome, RunEnd, Simulation, Step},
    store::{ModelStore, is_results_write},
};

const MAX_RUNNING: usize = 4_096;
const MAX_RUNNING_PER_JOB: usize = 256;
const GROUP: u64 = 250;

fn with_job(items: u32, chunk_items: usize) -> Simulation {
    let mut simulation = Simulation::new();
    simulation.submit_items(0, 0, 0, (items, chunk_items), true);
    simulation
}

fn recorded(simulation: &Simulation, chunk: u32) -> Vec<ItemResult> {
    let key = results_key(&simulation.header(0).upload, chunk);
    let Some(stored) = simulation.store.get(&key) else { return Vec::new() };
    let results: ChunkResults =
        serde_json::from_slice(&stored.value).expect("results can be decoded");
    results.results.into_values().collect()
}

fn advance(simulation: &mut Simulation, rounds: u32) {
    for _ in 0..rounds {
        simulation.advance(0);
    }
}

#[test]
fn the_number_of_running_items_is_bounded() {
    let mut simulation = Simulation::new();
    for key in 0..20 {
        simulation.submit_items(0, key, key, (500, 250), true);
    }
    simulation.answer_calls(0, 20);
    let running = simulation.running_by_job();
    assert_eq!(running.len(), 20, "every job has running items");
    assert!(running.values().sum::<usize>() <= MAX_RUNNING);
    assert!(running.values().all(|it| *it <= MAX_RUNNING_PER_JOB), "{running:?}");
}

/// A process runs out of memory while the store is unavailable, because results accumulate. A job starts no more items
/// when its open chunks are done, and continues when their results have been written.
#[test]
fn no_items_are_started_while_results_cannot_be_written() {
    let mut simulation = with_job(2_000, 250);
    for _ in 0..50 {
        simulation.advance_holding(0, is_results_write);
    }
    assert_eq!(simulation.runs_started, 500);
    simulation.complete_calls(0, |_| true, CallOutcome::Refused);
    advance(&mut simulation, 100);
    assert_eq!(
        (simulation.header(0).state, simulation.header(0).completed),
        (JobState::Finished, 2_000)
    );
    assert_eq!(simulation.runs_started, 2_000, "no item was run again");
}

macro_rules! item_outcomes {
    ($($name:ident: $end:expr => $outcome:ident, $status:expr, $tries:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut simulation = with_job(3, 3);
                simulation.answer_calls(0, 5);
                simulation.apply_step(&Step::EndRun { which: 0, end: $end });
                for _ in 0..200 {
                    simulation.answer_calls(0, 1);
                    while simulation.has_running_more_than(2) {
                        simulation.apply_step(&Step::EndRun { which: 2, end: $end });
                    }
                }
                simulation.end_runs(0, RunEnd::Answered(200));
                advance(&mut simulation, 20);
                assert_eq!(simulation.header(0).state, JobState::Finished);
                let results = recorded(&simulation, 0);
                let result = results.iter().find(|it| it.custom_id == "0-0").expect("a result");
                let seen = (result.outcome, result.status, result.tries);
                assert_eq!(seen, (ItemOutcome::$outcome, $status, $tries));
            }
        )*
    };
}

item_outcomes! {
    an_item_with_a_retryable_status_fails_after_max_tries: RunEnd::Answered(503) => Failed, 503, MAX_TRIES;
    an_item_without_a_response_fails_after_max_tries: RunEnd::MayHaveRun => Failed, 0, MAX_TRIES;
    an_item_with_a_final_status_is_not_retried: RunEnd::Answered(404) => Failed, 404, 1;
}

/// The responses of a chunk together exceed the store's object size limit, so that the job never ends. Those that do
/// not fit in the results object are stored in separate objects.
#[test]
fn large_results_are_stored_in_separate_objects() {
    let mut simulation = with_job(8, 8);
    simulation.answer_calls(0, 5);
    simulation.end_runs(0, RunEnd::Large(300_000));
    advance(&mut simulation, 50);
    assert_eq!(simulation.header(0).state, JobState::Finished);
    let results = recorded(&simulation, 0);
    let inline = results.iter().filter(|it| it.body.is_some()).count();
    assert!((1..=3).contains(&inline), "{inline} of {}", results.len());
    for result in results.iter().filter(|it| it.body.is_none()) {
        let name = result.body_object.as_deref().expect("a body somewhere");
        let stored = simulation
            .store
            .get(&ObjectKey::new(Kind::Results, name))
            .expect("the body object exists");
        assert!(stored.value.len() > 300_000);
    }
}

/// One chunk of a job, or its results, was corrupted or written by another version. The object is rejected and not
/// changed, the other chunks are completed, and a cancellation ends the job.
macro_rules! unreadable {
    ($($name:ident: $key:ident, $text:expr => $fault:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let mut simulation = with_job(6, 2);
                let key = $key("up1", 1);
                simulation.store.replace_value(&key, $text);
                advance(&mut simulation, 50);
                assert!(simulation.unreadable.contains(&(key.clone(), Unreadable::$fault)));
                assert_eq!(recorded(&simulation, 0).len() + recorded(&simulation, 2).len(), 4);
                assert_eq!(simulation.header(0).state, JobState::Running);
                assert_eq!(&*simulation.store.get(&key).expect("the object exists").value, $text.as_bytes());
                simulation.apply_step(&Step::Cancel { process: 1, key: 0 });
                simulation.answer_calls(1, 5);
                advance(&mut simulation, 50);
                assert_eq!(simulation.header(0).state, JobState::Cancelled);
                assert_eq!(&*simulation.store.get(&key).expect("the object exists").value, $text.as_bytes());
            }
        )*
    };
}

unreadable! {
    a_corrupt_chunk_does_not_block_other_chunks: chunk_key, "{\"items\":7}" => Corrupt;
    a_chunk_of_a_newer_format_is_not_changed: chunk_key, "{\"format\":9,\"items\":[]}" => Newer;
    corrupt_results_are_not_changed: results_key, "{\"results\":[]}" => Corrupt;
    results_of_a_newer_format_are_not_changed: results_key, "{\"format\":9}" => Newer;
    results_of_an_older_format_are_not_changed: results_key, "{\"format\":0}" => Older;
}

/// The last item of a job is never run. The last line of a submission, without a newline, did not fit in the same chunk
/// as the line before it; it started a chunk that was never written, although the header counted it.
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
    let mut simulation = with_job(10, 250);
    advance(&mut simulation, 10);
    assert_eq!(simulation.header(0).state, JobState::Finished);
    // The chunk, the header, the results, and the header's final state.
    assert_eq!(simulation.store.writes, 4);
}

#[test]
fn sustained_results_take_one_write_per_group() {
    let items = 20_000;
    let mut simulation = with_job(items, 250);
    let accepted = simulation.store.writes + 1;
    advance(&mut simulation, 400);
    assert_eq!(simulation.header(0).state, JobState::Finished);
    let writes = simulation.store.writes - accepted;
    // The header is written once per 32 chunks and at the end.
    assert!(writes <= u64::from(items) / GROUP + 4, "{writes}");
}

#[test]
fn an_idle_process_writes_nothing_and_reads_rarely() {
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
    // Two lists of jobs without an owner every ten seconds, and two of its own jobs every minute.
    assert_eq!(store.calls, minutes * 14);
}
