//! Targets that the host list or a peer reports to be leaving.

use samphiredoor_core::dispatch::{AttemptEnd, Input};

use crate::harness::{Harness, target};

const LEAVING_MS: u64 = 30_000;

fn with_reported_leaving() -> Harness {
    let mut harness =
        Harness::new(vec![target("target-0", "north", 64), target("target-1", "north", 64)]);
    let target = "target-0".into();
    harness.handle(Input::ReportedLeaving { target, for_ms: LEAVING_MS });
    harness
}

/// Guards against requests that are cut off when a host is removed: the host list reports that the host is leaving, but
/// the engine on it has no information about that and keeps reporting its load. The load report must not override the
/// host list.
#[test]
fn a_target_on_a_leaving_host_gets_no_new_work_whatever_it_reports() {
    let mut harness = with_reported_leaving();
    for _ in 0..32 {
        harness.report("target-0", 0);
        let (_, sent) = harness.online();
        assert_eq!(sent.as_deref(), Some("target-1"));
    }
}

#[test]
fn a_target_gets_work_again_when_the_report_has_expired() {
    let mut harness = with_reported_leaving();
    harness.now_ms += LEAVING_MS;
    let sent: Vec<_> = (0..64).filter_map(|_| harness.online().1).collect();
    assert!(sent.iter().any(|it| **it == *"target-0"));
}

#[test]
fn running_work_on_a_leaving_target_is_not_aborted() {
    let mut harness = Harness::new(vec![target("target-0", "north", 64)]);
    let (request, sent) = harness.online();
    assert_eq!(sent.as_deref(), Some("target-0"));
    let target = "target-0".into();
    assert!(harness.handle(Input::ReportedLeaving { target, for_ms: LEAVING_MS }).is_empty());
    assert!(harness.end(request, AttemptEnd::Completed).is_empty());
}
