//! Answers of targets that do not go on after the event that they were asked with: another run must not be joined to what
//! came before.

use std::time::Duration;

use samphiredoor_standin::{
    fleet::{stream_after, whole_text},
    platform_target::{FIRST_VERSION, PlatformTarget, TargetFault, WrongResumption},
};

use super::env::{BINARY, Platform, register_raw, whole_stream};
use crate::raw_target::{RawTarget, Reply};

const FAST: Duration = Duration::from_millis(2);
/// Attempts of a request: more than the targets' faults.
const ATTEMPTS: u32 = 6;
const RESUMABLE: &str = "/stream-resumable/check";

/// Starts a gateway with two targets. The first run at each is cut after two events if `is_cut`, and the next `wrong_runs`
/// go on at a wrong event.
fn two_targets(
    is_cut: bool,
    wrong_runs: u32,
    wrong: WrongResumption,
) -> (Platform, [PlatformTarget; 2]) {
    let mut platform = Platform::new(BINARY);
    platform.put_routes(2, ATTEMPTS);
    let targets = [platform.start_target("t-1", FAST), platform.start_target("t-2", FAST)];
    platform.start_gateway();
    for target in &targets {
        target.fail_next(u32::from(is_cut), TargetFault::CutAfter(2));
        target.fail_then(wrong_runs, TargetFault::Resumes(wrong));
    }
    (platform, targets)
}

/// Whether the request was sent again with the same `Last-Event-Id`, as it is after an answer that was not asked for.
fn is_asked_again(targets: &[PlatformTarget]) -> bool {
    let runs = targets.iter().flat_map(PlatformTarget::runs);
    let mut after: Vec<u64> = runs.filter_map(|it| it.after).collect();
    after.sort_unstable();
    after.windows(2).any(|it| it[0] == it[1])
}

macro_rules! wrong_resumptions {
    ($($name:ident: $check:expr, $wrong:ident;)*) => {
        $(
            #[test]
            fn $name() {
                $check(WrongResumption::$wrong);
            }
        )*
    };
}

wrong_resumptions! {
    no_event_is_missing_in_a_stream_that_is_resumed_too_late: resumed_stream, AfterNext;
    a_stream_is_not_joined_to_a_run_from_its_beginning: resumed_stream, AtFirst;
    a_stream_is_not_joined_to_a_run_that_repeats_its_last_event: resumed_stream, AtLast;
    a_stream_that_is_always_resumed_too_late_is_not_passed_on_as_complete: cut_stream, AfterNext;
    a_stream_that_always_begins_again_is_not_passed_on_as_complete: cut_stream, AtFirst;
    no_event_is_missing_in_a_stream_that_its_caller_takes_up: taken_up_stream, AfterNext;
    a_caller_that_takes_a_stream_up_gets_no_run_from_its_beginning: taken_up_stream, AtFirst;
    a_caller_that_takes_a_stream_up_does_not_get_its_last_event_again: taken_up_stream, AtLast;
    a_caller_gets_no_stream_that_is_always_taken_up_too_late: lost_stream, AfterNext;
    a_caller_gets_no_stream_that_always_begins_again: lost_stream, AtFirst;
    no_event_is_missing_in_an_item_that_is_resumed_too_late: resumed_item, AfterNext;
    an_item_is_not_joined_to_a_run_from_its_beginning: resumed_item, AtFirst;
    an_item_is_not_joined_to_a_run_that_repeats_its_last_event: resumed_item, AtLast;
}

/// The stream goes on after its last event once a target does so.
fn resumed_stream(wrong: WrongResumption) {
    let (platform, targets) = two_targets(true, 1, wrong);
    let answer = platform.send(0, RESUMABLE, "id-1", "");
    assert_eq!((answer.status, answer.text), (200, whole_stream()));
    assert!(is_asked_again(&targets), "{:?}", targets.map(|it| it.runs()));
}

/// The stream ends with an error if no target goes on.
fn cut_stream(wrong: WrongResumption) {
    let (platform, _targets) = two_targets(true, 100, wrong);
    let answer = platform.send(0, RESUMABLE, "id-1", "");
    assert_eq!(answer.status, 0, "{}", answer.text);
}

const TAKEN_UP: [(&str, &str); 1] = [("last-event-id", "2")];

/// The caller gets the answer of a target that goes on after the caller's event.
fn taken_up_stream(wrong: WrongResumption) {
    let (platform, targets) = two_targets(false, 1, wrong);
    let answer = platform.send_with(0, RESUMABLE, "id-1", &TAKEN_UP, "");
    assert_eq!((answer.status, answer.text), (200, stream_after(FIRST_VERSION, 0, 2)));
    assert!(is_asked_again(&targets), "{:?}", targets.map(|it| it.runs()));
}

/// The caller gets an error if no target goes on.
fn lost_stream(wrong: WrongResumption) {
    let (platform, _targets) = two_targets(false, 100, wrong);
    let answer = platform.send_with(0, RESUMABLE, "id-1", &TAKEN_UP, "");
    assert_eq!(answer.status, 502, "{}", answer.text);
}

fn resumed_item(wrong: WrongResumption) {
    let (platform, targets) = two_targets(true, 1, wrong);
    platform.submit(0, "job", &["item-0"]);
    let results = platform.all_results(0, "job", 1);
    assert_eq!(results[0]["text"], whole_text(FIRST_VERSION));
    assert!(is_asked_again(&targets), "{:?}", targets.map(|it| it.runs()));
}

/// A stream of these events, which its connection ends `missing` bytes before its length.
fn stream(events: &str, missing: usize) -> Reply {
    let length = events.len() + missing;
    let answer = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: {length}\r\n\r\n{events}"
    );
    Reply::SendAndClose(answer.leak())
}

/// Starts a gateway with one target that cuts its first answer, and then answers with whole streams.
fn cut_then(first: &str, later: &[&str]) -> (Platform, RawTarget) {
    let later = later.iter().map(|it| stream(it, 0));
    let target = RawTarget::start(std::iter::once(stream(first, 1)).chain(later));
    let mut platform = Platform::new(BINARY);
    platform.put_routes(2, ATTEMPTS);
    register_raw(&platform, &target);
    platform.start_gateway();
    (platform, target)
}

macro_rules! item_texts {
    ($($name:ident: $first:expr, $later:expr => $text:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let (platform, _target) = cut_then($first, &$later);
                platform.submit(0, "job", &["item-0"]);
                assert_eq!(platform.all_results(0, "job", 1)[0]["text"], $text);
            }
        )*
    };
}

item_texts! {
    an_item_whose_events_have_no_numbers_begins_anew:
        "data: a\n\n", ["data: a\n\ndata: b\n\n"] => "a\nb";
    an_event_without_a_number_does_not_come_twice_in_an_item:
        "id: 1\ndata: a\n\ndata: b\n\n", ["id: 1\ndata: a\n\ndata: b\n\nid: 2\ndata: c\n\n"] => "a\nb\nc";
    a_run_without_numbers_is_not_joined_to_an_item:
        "id: 1\ndata: a\n\n", ["data: z\n\n", "id: 2\ndata: b\n\n"] => "a\nb";
    an_item_is_resumed_after_a_number_although_an_event_before_has_none:
        "data: a\n\nid: 1\ndata: b\n\n", ["id: 2\ndata: c\n\n"] => "a\nb\nc";
}

/// Guards against streams in which events without a number come twice.
#[test]
fn a_stream_is_not_resumed_after_an_event_without_a_number() {
    let (platform, target) =
        cut_then("id: 1\ndata: a\n\ndata: b\n\n", &["data: b\n\nid: 2\ndata: c\n\n"]);
    let answer = platform.send(0, RESUMABLE, "id-1", "");
    assert_eq!((answer.status, target.ran().len()), (0, 1), "{}", answer.text);
}

/// Guards against streams that are joined to runs whose events have no numbers.
#[test]
fn a_stream_is_not_joined_to_a_run_without_numbers() {
    let (platform, target) = cut_then("id: 1\ndata: a\n\n", &["data: z\n\n", "id: 2\ndata: b\n\n"]);
    let answer = platform.send(0, RESUMABLE, "id-1", "");
    assert_eq!((answer.status, &*answer.text), (200, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
    assert_eq!(target.ran().len(), 3);
}
