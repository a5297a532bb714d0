//! Online requests: answers are complete, requests that must not repeat run at most once, and a refusal means that the
//! request did not run.

use std::time::Duration;

use samphiredoor_standin::platform_target::TargetFault;

use super::env::{BINARY, Platform, whole_stream};

const FAST: Duration = Duration::from_millis(2);

/// Starts a platform with two targets and one gateway.
fn two_targets() -> (Platform, [samphiredoor_standin::platform_target::PlatformTarget; 2]) {
    let mut platform = Platform::new(BINARY);
    let targets = [platform.start_target("t-1", FAST), platform.start_target("t-2", FAST)];
    platform.start_gateway();
    (platform, targets)
}

#[test]
fn a_stream_is_forwarded_whole_with_its_headers() {
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

// A target disconnects in the middle of an event and another one resumes the stream. The caller must get each event once.
#[test]
fn a_resumable_stream_is_resumed_at_another_target() {
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

// A target disconnects, and the request must not run again. The caller's connection must end with an error: an answer that
// ended normally would look complete.
#[test]
fn an_interrupted_stream_that_must_not_run_again_ends_with_an_error() {
    let (platform, targets) = two_targets();
    for target in &targets {
        target.fail_next(1, TargetFault::CutAfter(3));
    }
    assert_eq!(platform.send(0, "/stream/check", "id-1", "").status, 0);
    assert_eq!(targets.iter().map(|it| it.runs().len()).sum::<usize>(), 1);
}

// A target runs a booking and its answer is lost. A retry by the gateway would book twice, and so would a retry by the
// caller after an answer that claims that the request did not run.
#[test]
fn a_lost_answer_of_a_request_that_must_run_once_is_answered_with_502() {
    let (platform, targets) = two_targets();
    for target in &targets {
        target.fail_next(1, TargetFault::AnswerLost);
    }
    assert_eq!(platform.send(0, "/unsafe/book", "id-1", "").status, 502);
    assert_eq!(targets.iter().map(|it| it.runs().len()).sum::<usize>(), 1);
}

#[test]
fn a_repeatable_request_whose_answer_is_lost_is_retried_at_another_target() {
    let (platform, targets) = two_targets();
    for target in &targets {
        target.fail_next(1, TargetFault::AnswerLost);
    }
    let answer = platform.send(0, "/safe/ask", "id-1", "");
    assert_eq!((answer.status, answer.text), (200, whole_stream()));
}

// A full target answers that it did not run the request, so even a request that must run once can go to another target.
#[test]
fn a_request_that_a_full_target_refused_is_sent_to_another() {
    let (platform, targets) = two_targets();
    targets[0].fail_next(100, TargetFault::Full);
    for number in 0..4 {
        let answer = platform.send(0, "/unsafe/book", &format!("id-{number}"), "");
        assert_eq!((answer.status, answer.text), (200, whole_stream()));
    }
    assert!(targets[0].runs().is_empty());
}

#[test]
fn a_request_that_all_targets_refuse_is_answered_with_503_and_retry_after() {
    let (platform, targets) = two_targets();
    for target in &targets {
        target.fail_next(100, TargetFault::Full);
    }
    let answer = platform.send(0, "/unsafe/book", "id-1", "");
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"));
    assert!(targets.iter().all(|it| it.runs().is_empty()));
}

// A request fails at one target and the others refuse it. Its answer must not claim that the request did not run.
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

// On a reused connection a target sends a second answer to an earlier request before the expected one. If answers were
// matched by order alone, the caller would get the answer to another request.
#[test]
fn a_second_answer_to_an_earlier_request_is_not_forwarded() {
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
fn an_answer_that_is_ended_by_closing_the_connection_is_whole() {
    let (platform, targets) = two_targets();
    for target in &targets {
        target.fail_next(1, TargetFault::Unframed);
    }
    let answer = platform.send(0, "/stream/check", "id-1", "");
    assert_eq!((answer.status, answer.text), (200, whole_stream()));
}

// The address of a former target is reused by another one. Requests for the former target must not run at the new one.
#[test]
fn a_new_target_at_a_reused_address_runs_no_requests_of_the_former_one() {
    let mut platform = Platform::new(BINARY);
    let new_target = platform.start_target("newcomer", FAST);
    platform.store.remove("servers", "newcomer");
    let entry = new_target.entry("reader", "brisbane-north", "ready");
    platform.store.put("servers", "former", entry);
    platform.start_gateway();
    assert_eq!(platform.send(0, "/unsafe/book", "id-1", "").status, 503);
    assert!(new_target.runs().is_empty());
}

// The deadline passes while a target still works. The caller must get an answer then, and the request may have run.
#[test]
fn a_request_whose_deadline_passes_is_answered_with_504() {
    let (platform, targets) = two_targets();
    for target in &targets {
        target.fail_next(1, TargetFault::Silent);
    }
    let short = [("x-deadline-ms", "300")];
    let answer = platform.send_with(0, "/unsafe/book", "id-1", &short, "");
    assert_eq!(answer.status, 504);
}
