//! Answers that end inside an event, or inside a JSON value, although their body ends in order: they have been broken off,
//! and must not look complete.

use std::time::Duration;

use samphiredoor_standin::platform_target::{PlatformTarget, Run, TargetFault};
use serde_json::json;

use super::env::{BINARY, Platform, register_raw, whole_stream};
use crate::raw_target::{RawTarget, Reply};

const FAST: Duration = Duration::from_millis(2);

/// Starts a gateway with two targets whose next answer has this fault each.
fn broken_off(fault: TargetFault) -> (Platform, [PlatformTarget; 2]) {
    let mut platform = Platform::new(BINARY);
    let targets = [platform.start_target("t-1", FAST), platform.start_target("t-2", FAST)];
    platform.start_gateway();
    targets.iter().for_each(|it| it.fail_next(1, fault));
    (platform, targets)
}

fn runs(targets: &[PlatformTarget]) -> Vec<Run> {
    targets.iter().flat_map(PlatformTarget::runs).collect()
}

macro_rules! broken_off_streams {
    ($($name:ident: $fault:expr, $check:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let (platform, targets) = broken_off($fault);
                $check(&platform, &targets);
            }
        )*
    };
}

broken_off_streams! {
    a_stream_that_its_connection_ends_inside_an_event_is_not_passed_on_as_complete:
        TargetFault::UnframedCutAfter(3), ends_with_an_error;
    a_stream_whose_chunks_end_inside_an_event_is_not_passed_on_as_complete:
        TargetFault::ChunksEndAfter(3), ends_with_an_error;
    a_resumable_stream_that_its_connection_ends_inside_an_event_is_resumed:
        TargetFault::UnframedCutAfter(3), is_resumed;
    a_resumable_stream_whose_chunks_end_inside_an_event_is_resumed:
        TargetFault::ChunksEndAfter(3), is_resumed;
    a_part_of_the_first_event_is_no_answer: TargetFault::UnframedCutAfter(0), may_have_run;
    a_part_of_the_first_event_with_chunks_is_no_answer:
        TargetFault::ChunksEndAfter(0), may_have_run;
    a_repeatable_request_is_sent_again_after_a_part_of_its_first_event:
        TargetFault::UnframedCutAfter(0), is_sent_again;
}

fn ends_with_an_error(platform: &Platform, targets: &[PlatformTarget]) {
    let answer = platform.send(0, "/stream/check", "id-1", "");
    assert_eq!(answer.status, 0, "{}", answer.text);
    assert_eq!(runs(targets).len(), 1);
}

fn is_resumed(platform: &Platform, targets: &[PlatformTarget]) {
    let answer = platform.send(0, "/stream-resumable/check", "id-1", "");
    assert_eq!((answer.status, answer.text), (200, whole_stream()));
    let mut after: Vec<_> = runs(targets).iter().map(|it| it.after).collect();
    after.sort();
    assert_eq!(after, [None, Some(3), Some(6)][..after.len()]);
}

fn may_have_run(platform: &Platform, targets: &[PlatformTarget]) {
    let answer = platform.send(0, "/stream/check", "id-1", "");
    assert_eq!(answer.status, 502, "{}", answer.text);
    assert_eq!(runs(targets).len(), 1);
}

fn is_sent_again(platform: &Platform, targets: &[PlatformTarget]) {
    let answer = platform.send(0, "/safe/ask", "id-1", "");
    assert_eq!((answer.status, answer.text), (200, whole_stream()));
    assert!(runs(targets).len() > 1);
}

/// Guards against incomplete results of items.
#[test]
fn an_item_whose_stream_ends_inside_an_event_is_resumed() {
    let (platform, targets) = broken_off(TargetFault::UnframedCutAfter(3));
    platform.submit(0, "job", &["item-0"]);
    let results = platform.all_results(0, "job", 1);
    assert_eq!(results[0]["text"], targets[0].text());
}

macro_rules! answers_without_a_length {
    ($($name:ident: $content_type:expr, $body:expr => $status:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let answer = concat!("HTTP/1.1 200 OK\r\ncontent-type: ", $content_type, "\r\n\r\n", $body);
                let target = RawTarget::start([Reply::SendAndClose(answer)]);
                let mut platform = Platform::new(BINARY);
                register_raw(&platform, &target);
                platform.start_gateway();
                let answer = platform.send(0, "/unsafe/book", "id-1", "monday");
                assert_eq!(answer.status, $status, "{}", answer.text);
                if $status == 200 {
                    assert_eq!(answer.text, $body);
                }
                assert_eq!(target.ran(), ["monday"]);
            }
        )*
    };
}

answers_without_a_length! {
    json_that_its_connection_ends_inside_a_value_is_no_answer: "application/json", r#"{"seats": [1, 2"# => 502;
    whole_json_that_its_connection_ends_is_an_answer:
        "application/json; charset=utf-8", r#"{"seats": [1, 2]}"# => 200;
    text_that_its_connection_ends_is_an_answer: "text/plain", r#"{"seats": [1, 2"# => 200;
}

macro_rules! statuses_that_end_no_request {
    ($($name:ident: $head:expr;)*) => {
        $(
            // Guards against an answer of a faulty target that callers get as one, with a status that ends no request.
            #[test]
            fn $name() {
                let answer = concat!("HTTP/1.1 ", $head, "\r\ncontent-length: 4\r\n\r\nnone");
                let target = RawTarget::start([Reply::SendAndClose(answer)]);
                let mut platform = Platform::new(BINARY);
                register_raw(&platform, &target);
                platform.start_gateway();
                let answer = platform.send(0, "/unsafe/book", "id-1", "monday");
                assert_eq!(answer.status, 502, "{}", answer.text);
                assert_eq!(target.ran(), ["monday"]);
            }
        )*
    };
}

statuses_that_end_no_request! {
    a_status_of_zeros_is_no_answer: "000 None";
    a_status_below_the_first_class_is_no_answer: "099 Low";
    an_upgrade_that_was_not_asked_for_is_no_answer: "101 Switching Protocols";
    a_status_above_the_last_class_is_no_answer: "600 High";
    the_highest_status_of_three_digits_is_no_answer: "999 Highest";
    a_status_of_four_digits_is_no_answer: "1000 Long";
}

/// Heads of event streams with a length, with chunks, without either, and after an interim head.
const HEADS: [&str; 4] = [
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 31\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n",
];
/// Distance between two parts of a head; one of them ends with each head.
const PART_STEP: usize = 9;
const WHOLE_ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 31\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: bc\n\n";

fn parts_of_heads() -> impl Iterator<Item = Reply> {
    HEADS.iter().flat_map(|head| {
        let ends = (1..=head.len()).rev().step_by(PART_STEP);
        ends.map(|it| Reply::SendAndClose(&head[..it]))
    })
}

// Guards against items that are completed with an empty text, as heads of their answers broke off.
#[test]
fn items_whose_answers_break_off_inside_their_heads_are_sent_again() {
    let broken_off = parts_of_heads().count();
    let whole = std::iter::repeat_n(Reply::SendAndClose(WHOLE_ANSWER), broken_off);
    let target = RawTarget::start(parts_of_heads().chain(whole));
    let mut platform = Platform::new(BINARY);
    register_raw(&platform, &target);
    platform.start_gateway();
    platform.submit_many(0, "job", broken_off);
    for result in platform.all_results(0, "job", broken_off) {
        assert_eq!((&result["state"], &result["text"]), (&json!("completed"), &json!("a\nbc")));
    }
}
