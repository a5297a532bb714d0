//! Streams that end inside an event although the body of their answer ends in order: they have been broken off, and must
//! not look complete.

use std::time::Duration;

use samphiredoor_standin::platform_target::{PlatformTarget, Run, TargetFault};

use super::env::{BINARY, Platform, whole_stream};

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
