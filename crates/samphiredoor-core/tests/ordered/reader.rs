//! What a reader is answered from memory.

use samphiredoor_core::{
    ordered::{
        Answer, KnownResults, LATE_WRITE_MS, LogCall, LogEnd, Ownership, Reader, segment_key,
    },
    store::{Labels, StoreAnswer, StoreOp, Stored, Version},
};

const ARRIVED_MS: u64 = 1_000;
const COMMITTED: usize = 3;
const TOTAL: usize = 5;

fn owner(end: &LogEnd) -> KnownResults<'_> {
    KnownResults {
        committed: COMMITTED,
        total: TOTAL,
        end,
        is_writing: false,
        ownership: Ownership::HeldUntil(ARRIVED_MS),
    }
}

fn reader_after(after: usize) -> Reader {
    Reader { after, arrived_ms: ARRIVED_MS }
}

fn answer(known: &KnownResults<'_>, after: usize) -> Answer {
    known.answer(&reader_after(after), true, false)
}

fn object() -> StoreAnswer {
    StoreAnswer::Object(Stored {
        name: "segment".into(),
        version: Version(1),
        labels: Labels::new(),
        value: b"{}".as_slice().into(),
    })
}

fn read_at(sent_ms: u64) -> LogCall {
    LogCall::new(&StoreOp::Get { key: segment_key("job", 0) }, sent_ms)
}

fn write_at(sent_ms: u64) -> LogCall {
    let (key, value) = (segment_key("job", 0), b"{}".as_slice().into());
    LogCall::new(&StoreOp::Create { key, labels: Labels::new(), value }, sent_ms)
}

#[test]
fn results_in_memory_are_returned_whatever_is_in_doubt() {
    let mut end = LogEnd::unread(0, true);
    end.write_unanswered(ARRIVED_MS);
    let known = KnownResults { is_writing: true, ownership: Ownership::InDoubt, ..owner(&end) };
    assert_eq!(known.answer(&reader_after(1), false, true), Answer::Page { from: 1 });
}

#[test]
fn all_results_of_a_job_are_its_end() {
    let end = LogEnd::unread(0, true);
    let known = KnownResults { committed: TOTAL, ownership: Ownership::InDoubt, ..owner(&end) };
    assert_eq!(answer(&known, TOTAL), Answer::Page { from: TOTAL });
    assert_eq!(answer(&known, TOTAL + 1), Answer::Page { from: TOTAL + 1 });
}

#[test]
fn a_position_beyond_the_last_item_needs_no_wait_and_no_store() {
    let end = LogEnd::unread(0, true);
    let known = KnownResults { ownership: Ownership::InDoubt, ..owner(&end) };
    for after in [TOTAL, TOTAL + 1] {
        let answered = known.answer(&reader_after(after), false, true);
        assert_eq!(answered, Answer::Page { from: after });
    }
}

#[test]
fn a_reader_that_has_all_waits_until_its_time_is_over() {
    let end = LogEnd::of_new_job();
    let (known, reader) = (owner(&end), reader_after(COMMITTED));
    assert_eq!(known.answer(&reader, false, false), Answer::Wait);
    assert_eq!(known.answer(&reader, true, false), Answer::Page { from: COMMITTED });
}

#[test]
fn a_reader_that_has_more_than_is_held_here_is_sent_to_the_store() {
    let end = LogEnd::of_new_job();
    assert_eq!(answer(&owner(&end), COMMITTED + 1), Answer::UseStore);
}

// Guards against an owner that answers from memory although its write may have taken effect before its answer.
#[test]
fn a_write_under_way_is_in_doubt() {
    let end = LogEnd::of_new_job();
    let known = KnownResults { is_writing: true, ..owner(&end) };
    assert_eq!(answer(&known, COMMITTED), Answer::UseStore);
}

// Guards against a process that slept, lost its job meanwhile, and answers from memory.
#[test]
fn an_owner_answers_only_readers_that_arrived_while_it_held_the_job() {
    let end = LogEnd::of_new_job();
    let with = |ownership| answer(&KnownResults { ownership, ..owner(&end) }, COMMITTED);
    assert_eq!(with(Ownership::HeldUntil(ARRIVED_MS)), Answer::Page { from: COMMITTED });
    assert_eq!(with(Ownership::HeldUntil(ARRIVED_MS - 1)), Answer::UseStore);
    assert_eq!(with(Ownership::InDoubt), Answer::UseStore);
    assert_eq!(with(Ownership::Final), Answer::Page { from: COMMITTED });
}

#[test]
fn an_end_that_was_seen_since_the_read_arrived_is_known_whoever_writes() {
    let mut end = LogEnd::unread(0, true);
    end.answered(&read_at(ARRIVED_MS), &StoreAnswer::Absent, ARRIVED_MS + 5);
    let known = KnownResults { is_writing: true, ownership: Ownership::InDoubt, ..owner(&end) };
    assert_eq!(answer(&known, COMMITTED), Answer::Page { from: COMMITTED });
}

#[test]
fn without_the_store_nothing_is_answered_that_is_in_doubt() {
    let end = LogEnd::unread(0, true);
    let (known, reader) = (owner(&end), reader_after(COMMITTED));
    assert_eq!(known.answer(&reader, true, true), Answer::Unsure);
    assert_eq!(known.answer(&reader, true, false), Answer::UseStore);
}

#[test]
fn only_a_found_end_or_an_own_segment_is_the_end() {
    let seen_after = |call: LogCall, answer: &StoreAnswer| {
        let mut end = LogEnd::unread(0, true);
        end.answered(&call, answer, ARRIVED_MS);
        end.is_seen_since(ARRIVED_MS)
    };
    assert!(seen_after(read_at(ARRIVED_MS), &StoreAnswer::Absent));
    assert!(seen_after(write_at(ARRIVED_MS), &object()));
    assert!(!seen_after(read_at(ARRIVED_MS), &object()));
    assert!(!seen_after(write_at(ARRIVED_MS), &StoreAnswer::Taken));
    for answer in [StoreAnswer::Unknown, StoreAnswer::Unavailable] {
        assert!(!seen_after(read_at(ARRIVED_MS), &answer));
        assert!(!seen_after(write_at(ARRIVED_MS), &answer));
    }
}

#[test]
fn only_a_write_without_an_answer_is_in_doubt_until_its_segment_is_known() {
    let settles_after = |call: LogCall, answer: &StoreAnswer| {
        let mut end = LogEnd::of_new_job();
        end.answered(&call, answer, ARRIVED_MS);
        end.settles_at_ms()
    };
    let in_doubt = Some(ARRIVED_MS + LATE_WRITE_MS);
    assert_eq!(settles_after(write_at(0), &StoreAnswer::Unknown), in_doubt);
    assert_eq!(settles_after(write_at(0), &StoreAnswer::Unavailable), None);
    assert_eq!(settles_after(read_at(0), &StoreAnswer::Unknown), None);

    let mut end = LogEnd::of_new_job();
    end.answered(&write_at(0), &StoreAnswer::Unknown, ARRIVED_MS);
    end.answered(&read_at(ARRIVED_MS), &object(), ARRIVED_MS);
    assert_eq!(end.settles_at_ms(), None);
}
