//! Checks which events belong to the run that was asked for.

use samphiredoor_gateway::{
    event_sequence::{EventSequence, LastEvent},
    events::EventBuffer,
};

/// Number of events of a body that are accepted before the first one that is not.
fn accepted(mut sequence: EventSequence, body: &str) -> usize {
    let mut buffer = EventBuffer::default();
    buffer.push(body.as_bytes());
    std::iter::from_fn(|| buffer.take_event()).take_while(|it| sequence.accept(it)).count()
}

fn numbered(ids: &[u64]) -> String {
    ids.iter().map(|it| format!("id: {it}\ndata: a\n\n")).collect()
}

macro_rules! numbers {
    ($($name:ident: $after:expr, $ids:expr => $accepted:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let sequence = EventSequence::asked_with($after);
                assert_eq!(accepted(sequence, &numbered(&$ids)), $accepted);
            }
        )*
    };
}

numbers! {
    a_run_goes_on_at_the_next_event: Some(3), [4, 5, 6] => 3;
    a_run_that_leaves_out_the_next_event_is_another: Some(3), [5, 6] => 0;
    a_run_from_the_beginning_does_not_go_on: Some(3), [1, 2, 3, 4] => 0;
    a_run_that_repeats_the_last_event_does_not_go_on: Some(3), [3, 4] => 0;
    nothing_goes_on_after_the_highest_number: Some(u64::MAX), [0] => 0;
    a_run_from_the_beginning_may_begin_at_any_number: None, [0, 1] => 2;
    numbers_within_a_run_may_have_gaps: None, [1, 4, 9] => 3;
    numbers_after_the_first_of_a_run_that_goes_on_may_have_gaps: Some(3), [4, 9] => 2;
    a_number_that_comes_twice_is_of_another_run: None, [1, 2, 2, 3] => 2;
    a_lower_number_is_of_another_run: None, [1, 2, 1] => 2;
}

/// Guards against whole answers that are cut since numbers without a meaning do not rise.
#[test]
fn unchecked_numbers_may_be_any() {
    assert_eq!(accepted(EventSequence::Unchecked, &numbered(&[5, 5, 1])), 3);
}

/// Guards against streams without numbers that are cut.
#[test]
fn events_without_a_number_belong_to_a_run_from_the_beginning() {
    let body = "data: a\n\nid: 1\ndata: b\n\ndata: c\n\nid: 2\n\n";
    assert_eq!(accepted(EventSequence::asked_with(None), body), 4);
}

/// Guards against runs without numbers that are joined to others.
#[test]
fn data_without_a_number_does_not_go_on() {
    let sequence = EventSequence::asked_with(Some(3));
    assert_eq!(accepted(sequence, "data: a\n\nid: 4\ndata: b\n\n"), 0);
    // The comment comes with the next event.
    assert_eq!(accepted(sequence, ": ping\n\nid: 4\ndata: b\n\ndata: c\n\n"), 2);
}

macro_rules! last_events {
    ($($name:ident: $body:expr => $resumable:expr, $is_passed:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut buffer = EventBuffer::default();
                buffer.push($body);
                let mut last = LastEvent::default();
                std::iter::from_fn(|| buffer.take_event()).for_each(|it| last.note(&it));
                assert_eq!((last.resumable(), last.is_passed()), ($resumable, $is_passed));
            }
        )*
    };
}

last_events! {
    nothing_goes_on_without_an_event: b": ping\n\n" => None, false;
    a_run_goes_on_after_the_last_number: b"data: a\n\nid: 1\n\nid: 2\ndata: b\n\n" => Some(2), false;
    a_run_goes_on_after_a_comment: b"id: 1\ndata: a\n\n: ping\n\n" => Some(1), false;
    nothing_goes_on_after_data_without_a_number: b"id: 1\n\ndata: a\n\n" => None, true;
}
