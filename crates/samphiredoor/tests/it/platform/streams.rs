//! Online requests: whole, once, and truly refused.

use std::time::Duration;

use samphiredoor_standin::platform_target::TargetFault;

use super::env::{BINARY, Platform, whole_stream};

const FAST: Duration = Duration::from_millis(2);

/// Platform with two replicas and one gateway.
fn two_targets() -> (Platform, [samphiredoor_standin::platform_target::PlatformTarget; 2]) {
    let mut platform = Platform::new(BINARY);
    let targets = [platform.start_target("t-1", FAST), platform.start_target("t-2", FAST)];
    platform.start_gateway();
    (platform, targets)
}

#[test]
fn a_stream_is_passed_on_whole_with_its_headers() {
    let (platform, targets) = two_targets();
    let answer = platform.send(0, "/stream/check", "id-1", "is it covered?");
    assert_eq!((answer.status, answer.text), (200, whole_stream()));
    assert_eq!(answer.headers["x-server-stamp"], "stamp-id-1");
    assert_eq!(answer.headers["x-request-id"], "id-1");
    let runs: Vec<_> = targets.iter().flat_map(|it| it.runs()).collect();
    assert_eq!(runs.len(), 1);
    assert_eq!(
        (runs[0].id.as_str(), runs[0].body.as_slice()),
        ("id-1", b"is it covered?".as_slice())
    );
}

#[test]
fn a_path_without_a_route_is_not_found() {
    let (platform, _targets) = two_targets();
    assert_eq!(platform.send(0, "/unknown/check", "id-1", "").status, 404);
}

// A replica breaks off in the middle of an event. The caller must get each event once, from whichever replica goes on.
#[test]
fn a_resumable_stream_goes_on_at_another_target() {
    let (platform, targets) = two_targets();
    for target in &targets {
        target.fail_next(1, TargetFault::CutAfter(3));
    }
    let answer = platform.send(0, "/stream-resumable/check", "id-1", "");
    assert_eq!((answer.status, answer.text), (200, whole_stream()));
    let runs: Vec<_> = targets.iter().flat_map(|it| it.runs()).collect();
    let mut after: Vec<_> = runs.iter().map(|it| it.after).collect();
    after.sort();
    assert_eq!(after, [None, Some(3), Some(6)][..after.len()]);
}

// A replica breaks off, and the request must not run again. An answer that ended in order would look whole.
#[test]
fn a_stream_that_must_not_run_again_is_cut() {
    let (platform, targets) = two_targets();
    for target in &targets {
        target.fail_next(1, TargetFault::CutAfter(3));
    }
    assert_eq!(platform.send(0, "/stream/check", "id-1", "").status, 0);
    assert_eq!(targets.iter().map(|it| it.runs().len()).sum::<usize>(), 1);
}

// A replica runs a booking and its answer is lost. To send it again would book twice; to say that it did not run would
// make the caller do so.
#[test]
fn a_lost_answer_of_a_request_that_runs_once_is_in_doubt() {
    let (platform, targets) = two_targets();
    for target in &targets {
        target.fail_next(1, TargetFault::AnswerLost);
    }
    assert_eq!(platform.send(0, "/unsafe/book", "id-1", "").status, 502);
    assert_eq!(targets.iter().map(|it| it.runs().len()).sum::<usize>(), 1);
}

#[test]
fn a_lost_answer_of_a_repeatable_request_is_tried_elsewhere() {
    let (platform, targets) = two_targets();
    for target in &targets {
        target.fail_next(1, TargetFault::AnswerLost);
    }
    let answer = platform.send(0, "/safe/ask", "id-1", "");
    assert_eq!((answer.status, answer.text), (200, whole_stream()));
}

// A replica is full and says that it did not run the request: any other may have it, also one that must run once.
#[test]
fn what_a_full_target_refused_goes_to_another() {
    let (platform, targets) = two_targets();
    targets[0].fail_next(100, TargetFault::Full);
    for number in 0..4 {
        let answer = platform.send(0, "/unsafe/book", &format!("id-{number}"), "");
        assert_eq!((answer.status, answer.text), (200, whole_stream()));
    }
    assert!(targets[0].runs().is_empty());
}

#[test]
fn a_request_that_no_target_takes_is_refused_with_a_time_to_come_back() {
    let (platform, targets) = two_targets();
    for target in &targets {
        target.fail_next(100, TargetFault::Full);
    }
    let answer = platform.send(0, "/unsafe/book", "id-1", "");
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"));
    assert!(targets.iter().all(|it| it.runs().is_empty()));
}

// Guards against a refusal as "not run" of a request that failed at one target and that the others do not take.
#[test]
fn a_request_that_ran_and_failed_is_not_refused_as_not_run() {
    let (platform, targets) = two_targets();
    for target in &targets {
        target.fail_next(1, TargetFault::Fails);
        target.fail_then(100, TargetFault::Full);
    }
    let answer = platform.send(0, "/safe/ask", "id-1", "");
    assert!(targets.iter().any(|it| !it.runs().is_empty()), "it ran");
    assert!(![408, 421, 429, 503].contains(&answer.status), "{} {}", answer.status, answer.text);
}

// On a kept connection a replica first sends a second answer to an earlier request, then the one that is due. Paired by
// order alone, the caller would get the answer of somebody else.
#[test]
fn a_stray_answer_is_not_taken_for_the_own_one() {
    let (platform, targets) = two_targets();
    for number in 0..4 {
        platform.send(0, "/safe/ask", &format!("warm-{number}"), "");
    }
    for target in &targets {
        target.fail_next(1, TargetFault::Stray);
    }
    let answer = platform.send(0, "/unsafe/book", "id-1", "");
    assert_eq!(answer.status, 502, "{}", answer.text);
    assert!(!answer.text.contains("stray"));
}

#[test]
fn an_answer_that_ends_in_order_with_its_connection_is_whole() {
    let (platform, targets) = two_targets();
    for target in &targets {
        target.fail_next(1, TargetFault::Unframed);
    }
    let answer = platform.send(0, "/stream/check", "id-1", "");
    assert_eq!((answer.status, answer.text), (200, whole_stream()));
}

// The address of a replica that is gone is used again by another one. Its work must not reach the newcomer.
#[test]
fn a_target_at_a_reused_address_gets_nothing() {
    let mut platform = Platform::new(BINARY);
    let newcomer = platform.start_target("newcomer", FAST);
    platform.store.remove("servers", "newcomer");
    let entry = newcomer.entry("reader", "brisbane-north", "ready");
    platform.store.put("servers", "former", entry);
    platform.start_gateway();
    assert_eq!(platform.send(0, "/unsafe/book", "id-1", "").status, 503);
    assert!(newcomer.runs().is_empty());
}

// The caller's time is over while a replica works. It gets its answer then, and it is in doubt.
#[test]
fn a_request_whose_time_is_over_gets_its_answer_at_once() {
    let (platform, targets) = two_targets();
    for target in &targets {
        target.fail_next(1, TargetFault::Silent);
    }
    let short = [("x-deadline-ms", "300")];
    let answer = platform.send_with(0, "/unsafe/book", "id-1", &short, "");
    assert_eq!(answer.status, 504);
}
