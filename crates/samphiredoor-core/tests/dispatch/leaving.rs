//! Targets that others say are leaving.

use samphiredoor_core::dispatch::{AttemptEnd, Input};

use crate::harness::{Harness, target};

const FOR_MS: u64 = 30_000;

fn told() -> Harness {
    let mut harness =
        Harness::new(vec![target("target-0", "north", 64), target("target-1", "north", 64)]);
    let target = "target-0".into();
    harness.handle(Input::ReportedLeaving { target, for_ms: FOR_MS });
    harness
}

/// A caller's request is cut because its target's host is taken away. The host list says that the host leaves, the
/// engine on it knows nothing of that and goes on to report its load, and the cause would be a report that counts for
/// more than the list.
#[test]
fn a_target_on_a_leaving_host_gets_no_new_work_whatever_it_reports() {
    let mut harness = told();
    for _ in 0..32 {
        harness.report("target-0", 0);
        let (_, sent) = harness.online();
        assert_eq!(sent.as_deref(), Some("target-1"));
    }
}

#[test]
fn a_target_that_stays_after_all_gets_work_again() {
    let mut harness = told();
    harness.now_ms += FOR_MS;
    let sent: Vec<_> = (0..64).filter_map(|_| harness.online().1).collect();
    assert!(sent.iter().any(|it| **it == *"target-0"));
}

#[test]
fn work_that_runs_on_a_leaving_target_is_not_cut() {
    let mut harness = Harness::new(vec![target("target-0", "north", 64)]);
    let (request, sent) = harness.online();
    assert_eq!(sent.as_deref(), Some("target-0"));
    let target = "target-0".into();
    assert!(harness.handle(Input::ReportedLeaving { target, for_ms: FOR_MS }).is_empty());
    assert!(harness.end(request, AttemptEnd::Completed).is_empty());
}
