//! Where requests go: distance, load, prefix, ejection and slow start.

use std::{collections::BTreeMap, sync::Arc};

use samphiredoor_core::{
    Name,
    dispatch::{AttemptEnd, Dispatcher, Ejection, Input, RequestId},
    manifest::Target,
    time::Now,
    verdict::MayHaveRunReason,
};

use crate::harness::{Harness, location, manifest, sent_to, target};

fn zones() -> Vec<Target> {
    vec![
        target("near-0", "north", 2),
        target("near-1", "north", 2),
        target("zone-0", "south", 2),
        target("far-0", "port", 2),
    ]
}

fn targets(count: usize, limit: u32) -> Vec<Target> {
    (0..count).map(|it| target(&format!("target-{it}"), "north", limit)).collect()
}

/// Sends `count` requests that stay open; counts them by target.
fn spread(harness: &mut Harness, count: usize) -> BTreeMap<Name, usize> {
    let mut counts = BTreeMap::new();
    for _ in 0..count {
        if let (_, Some(target)) = harness.online() {
            *counts.entry(target).or_default() += 1;
        }
    }
    counts
}

fn of(counts: &BTreeMap<Name, usize>, target: &str) -> usize {
    counts.get(target).copied().unwrap_or(0)
}

#[test]
fn farther_targets_are_used_only_when_nearer_ones_are_full() {
    let mut harness = Harness::new(zones());
    let order: Vec<Option<Name>> = (0..9).map(|_| harness.online().1).collect();
    let zone_of = |it: &Option<Name>| it.as_ref().map(|it| it[..4].to_owned());
    let zones: Vec<_> = order.iter().map(zone_of).collect();
    let expected = ["near", "near", "near", "near", "zone", "zone", "far-", "far-"];
    let expected: Vec<_> = expected.iter().map(|it| Some((*it).to_owned())).chain([None]).collect();
    assert_eq!(zones, expected);
    assert_eq!(harness.dispatcher.counters().bytes_to_other_regions, 200);
}

/// A kitchen's availability zone loses power while tour desks ask. Each request that was sent there is refused a
/// connection, and the desk would get an error for each until the declarations change. The cause: a lost zone looks like
/// many targets that refuse connections at once.
#[test]
fn a_lost_zone_is_left_after_one_refused_connection_for_each_target() {
    let mut harness = Harness::new(zones());
    let mut refused_connections = 0;
    for _ in 0..20 {
        let (request, mut at) = harness.online();
        while let Some(target) = at.take() {
            if target.starts_with("near") {
                refused_connections += 1;
                let actions = harness.end(request, AttemptEnd::NotSent);
                at = sent_to(&actions, request);
                assert!(at.is_some(), "another target is tried at once");
            } else {
                assert!(target.starts_with("zone"), "the other region is not used");
                harness.end(request, AttemptEnd::Completed);
            }
        }
    }
    assert_eq!(refused_connections, 2);
    assert_eq!(harness.dispatcher.counters().ejections[Ejection::Unreachable as usize], 2);
}

fn fail(harness: &mut Harness, bad: &str) {
    while harness.gauges().ejected == 0 {
        let (request, target) = harness.online();
        let fails = target.is_some_and(|it| &*it == bad);
        harness.end(request, if fails { AttemptEnd::Failed } else { AttemptEnd::Completed });
    }
}

#[test]
fn an_ejected_target_returns_slowly_and_stays_away_longer_the_second_time() {
    let mut harness = Harness::new(targets(2, 40));
    fail(&mut harness, "target-0");
    assert_eq!(of(&spread(&mut harness, 4), "target-0"), 0);
    harness.now_ms += 1_000;
    assert_eq!(of(&spread(&mut harness, 36 + 4), "target-0"), 4, "a tenth of its limit");
    harness.now_ms += 2_500;
    assert_eq!(of(&spread(&mut harness, 22), "target-0"), 20, "six tenths of its limit");
    harness.handle(Input::Unreachable { target: "target-0".into() });
    harness.now_ms += 1_999;
    assert_eq!(harness.gauges().ejected, 1);
    harness.now_ms += 1;
    assert_eq!(harness.gauges().ejected, 0);
}

/// A switch is cut off for a second, and no target can be reached. If each of them starts slowly after that, a second's
/// outage becomes one of several.
#[test]
fn targets_that_were_out_of_reach_for_a_moment_return_with_most_of_their_limit() {
    let mut harness = Harness::new(targets(2, 40));
    for target in ["target-0", "target-1"] {
        harness.handle(Input::Unreachable { target: target.into() });
    }
    assert_eq!(harness.online().1, None);
    harness.now_ms += 1_000;
    assert_eq!(spread(&mut harness, 80).values().sum::<usize>(), 72);
}

#[test]
fn a_target_that_loses_answers_again_and_again_is_ejected() {
    let mut harness = Harness::new(targets(3, 100));
    let bad = Name::from("target-0");
    let mut sent = 0;
    for _ in 0..60 {
        let (request, target) = harness.ask(|it| it.repeatable = false);
        if sent_to(&target, request).as_ref() == Some(&bad) {
            sent += 1;
            harness.end(request, AttemptEnd::AnswerLost(MayHaveRunReason::ConnectionLost));
        } else {
            harness.end(request, AttemptEnd::Completed);
        }
    }
    assert!((3..=10).contains(&sent), "{sent}");
    assert_eq!(harness.dispatcher.counters().ejections[Ejection::Failing as usize], 1);
}

/// A fault in the callers' own requests makes every target answer with an error. If each were ejected for it, nobody
/// would be served any more. The cause lies elsewhere than in the targets, so at most half of them are ejected.
#[test]
fn at_most_half_of_the_targets_are_ejected_for_failing() {
    let mut harness = Harness::new(targets(6, 100));
    for _ in 0..200 {
        let (request, target) = harness.online();
        assert!(target.is_some());
        harness.end(request, AttemptEnd::Failed);
    }
    assert_eq!(harness.gauges().ejected, 3);
}

/// Targets that break under too much work are ejected, their work breaks the next ones, and those that return are kept
/// to a tenth of their limit: goodput stays at a third of what was asked for, long after the cause has gone. The cause:
/// a target that has just returned was counted as a whole one.
#[test]
fn targets_that_have_just_returned_are_not_counted_as_whole() {
    let mut harness = Harness::new(targets(4, 40));
    let fail_all = |harness: &mut Harness, bad: &[&str]| {
        for _ in 0..160 {
            let (request, target) = harness.online();
            let fails = target.is_some_and(|it| bad.contains(&&*it));
            harness.end(request, if fails { AttemptEnd::Failed } else { AttemptEnd::Completed });
        }
    };
    fail_all(&mut harness, &["target-0", "target-1"]);
    assert_eq!(harness.gauges().ejected, 2);
    harness.now_ms += 1_000;
    fail_all(&mut harness, &["target-2", "target-3"]);
    assert_eq!(harness.gauges().ejected, 0);
    harness.now_ms += 5_000;
    fail_all(&mut harness, &["target-2", "target-3"]);
    assert_eq!(harness.gauges().ejected, 2);
}

/// A host is being replaced. Its target says so, but the list of hosts lags, and requests that are sent there would be
/// cut when it goes.
#[test]
fn a_leaving_target_gets_no_work_until_it_reports_again() {
    let mut harness = Harness::new(targets(2, 40));
    harness.handle(Input::Leaving { target: "target-0".into() });
    harness.now_ms += 600_000;
    assert_eq!(of(&spread(&mut harness, 30), "target-0"), 0);
    harness.report("target-0", 0);
    assert!(of(&spread(&mut harness, 14), "target-0") > 0);
}

#[test]
fn reports_of_others_work_move_requests_away_and_lose_weight_with_age() {
    let mut harness = Harness::new(targets(2, 40));
    harness.report("target-0", 20);
    assert_eq!(of(&spread(&mut harness, 10), "target-0"), 0);
    let mut later = Harness::new(targets(2, 40));
    later.report("target-0", 20);
    later.now_ms += 20_000;
    assert!(of(&spread(&mut later, 10), "target-0") > 2);
}

/// A target's load report stops moving at a high figure, as its reporter hangs. It would get hardly any work for as
/// long as that lasts, while the others are full.
#[test]
fn a_report_frozen_high_is_believed_less_and_less() {
    let mut harness = Harness::new(targets(2, 40));
    for _ in 0..30 {
        harness.report("target-0", 40);
        harness.now_ms += 1_000;
    }
    let counts = spread(&mut harness, 20);
    assert!(of(&counts, "target-0") >= 8, "{counts:?}");
}

/// The same with the figure standing still while this process's own requests there come and go: that shows at once.
#[test]
fn a_report_that_stands_still_while_own_work_moves_is_distrusted() {
    let mut harness = Harness::new(targets(1, 40));
    for _ in 0..4 {
        harness.report("target-0", 17);
        for _ in 0..4 {
            let (request, _) = harness.online();
            harness.end(request, AttemptEnd::Completed);
        }
    }
    assert_eq!(harness.dispatcher.counters().reports_distrusted, 1);
}

#[test]
fn a_report_that_says_full_still_lets_one_request_through() {
    let mut harness = Harness::new(targets(1, 4));
    harness.report("target-0", 1_000);
    assert_eq!(spread(&mut harness, 3).values().sum::<usize>(), 1);
}

#[test]
fn a_prefix_stays_with_its_target_until_that_is_a_quarter_above_the_mean() {
    let mut harness = Harness::new(targets(8, 100));
    let mut counts = BTreeMap::<Name, usize>::new();
    let mut first = None;
    for sent in 1..=80 {
        let (request, actions) = harness.ask(|it| it.prefix_hash = 42);
        let target = sent_to(&actions, request).expect("there is room");
        let preferred = Name::clone(first.get_or_insert(Name::clone(&target)));
        *counts.entry(target).or_default() += 1;
        let bound = sent as f64 / 8.0 * 1.25 + 1.0;
        assert!(counts[&preferred] as f64 <= bound, "{counts:?}");
    }
    let mut one_by_one = Harness::new(targets(8, 100));
    for _ in 0..20 {
        let (request, actions) = one_by_one.ask(|it| it.prefix_hash = 42);
        assert_eq!(sent_to(&actions, request), first);
        one_by_one.end(request, AttemptEnd::Completed);
    }
}

#[test]
fn each_process_uses_a_bounded_subset_and_each_target_is_used() {
    let declared = Arc::new(manifest(1, targets(300, 4)));
    let mut used = BTreeMap::<Name, u32>::new();
    for process in 0..100 {
        let mut dispatcher = Dispatcher::new(location(), process);
        let input = Input::Manifest(Arc::clone(&declared));
        dispatcher.handle(Now::new(0, 0), input, &mut Vec::new());
        let names: Vec<Name> = dispatcher.targets_in_use().map(|it| Name::clone(it.0)).collect();
        assert_eq!(names.len(), 36);
        names.into_iter().for_each(|it| *used.entry(it).or_default() += 1);
    }
    // 12 on average.
    assert_eq!(used.len(), 300);
    assert!(used.values().all(|it| (2..=26).contains(it)), "{used:?}");
}

#[test]
fn late_and_duplicated_ends_of_unknown_requests_change_nothing() {
    let mut harness = Harness::new(targets(1, 1));
    let (request, _) = harness.online();
    harness.end(request, AttemptEnd::Completed);
    for end in [
        AttemptEnd::Completed,
        AttemptEnd::NotSent,
        AttemptEnd::AnswerLost(MayHaveRunReason::AnswerCut),
    ] {
        assert!(harness.end(request, end).is_empty());
        assert!(harness.end(RequestId(99), end).is_empty());
        assert!(harness.handle(Input::Cancelled { request }).is_empty());
    }
    assert_eq!(harness.gauges().known, 0);
    assert!(harness.online().1.is_some());
}
