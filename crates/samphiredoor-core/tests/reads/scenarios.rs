//! Bounds under which all states are explored.

use super::{
    actions::{Action, Bounds, Rules},
    explorer::{Explored, Model, explore},
    world::World,
};

/// What gateways do.
const RULES: Rules = Rules {
    names_all_formers: true,
    reads_on_after_close: true,
    rewrites_after_gap: false,
    waits_for_late_takeovers: true,
};

/// A job that was taken over from its owner, process 0, whose create of a segment is under way.
const TAKEN_WHILE_WRITING: [Action; 4] =
    [Action::BeginGap(0), Action::Produce(0), Action::Send(0), Action::TakeOver(1)];

fn max_depth(depth: usize) -> usize {
    let deeper = std::env::var("SAMPHIREDOOR_DEPTH").ok().and_then(|it| it.parse().ok());
    deeper.unwrap_or(depth).max(depth)
}

/// The state after some steps, each of which must be possible.
fn after(rules: Rules, bounds: Bounds, steps: &[Action]) -> World {
    let mut world = World::new(rules, bounds);
    for step in steps {
        assert!(world.actions().contains(step), "{step:?} is not possible");
        world.take(step).unwrap();
    }
    world
}

fn check(rules: Rules, bounds: Bounds, depth: usize) -> Explored {
    check_from(World::new(rules, bounds), depth)
}

/// Explores all states up to a depth, or to a greater one that is set for a run by hand.
fn check_from(start: World, depth: usize) -> Explored {
    let begun = std::time::Instant::now();
    let explored = explore(start, max_depth(depth));
    let explored = explored.unwrap_or_else(|it| panic!("{it}"));
    println!("{explored:?} in {:?}", begun.elapsed());
    explored
}

/// The violation that is found with the fewest steps.
fn violation(rules: Rules, bounds: Bounds) -> String {
    let found = explore(World::new(rules, bounds), 20);
    let counterexample = found.expect_err("the model must find a violation");
    println!("{counterexample}");
    counterexample.violation
}

#[test]
fn reads_never_go_back_when_the_owners_calls_are_lost_or_refused_and_the_job_is_cancelled() {
    let bounds = Bounds {
        ticks: 1,
        results: 2,
        lost: 1,
        refused: 1,
        cancellations: 1,
        reads: 1,
        ..Bounds::default()
    };
    assert!(check(RULES, bounds, usize::MAX).is_complete);
}

#[test]
fn reads_never_go_back_at_a_gateway_that_reads_the_store() {
    let bounds =
        Bounds { results: 2, lost: 1, cancellations: 1, store_reads: 2, ..Bounds::default() };
    assert!(check(RULES, bounds, usize::MAX).is_complete);
}

#[test]
fn reads_never_go_back_when_a_job_is_taken_over_from_a_live_owner_and_cancelled() {
    let bounds = Bounds {
        ticks: 1,
        results: 1,
        lost: 1,
        gaps: 1,
        cancellations: 1,
        reads: 1,
        ..Bounds::default()
    };
    check_from(after(RULES, bounds, &TAKEN_WHILE_WRITING), 10);
}

#[test]
fn reads_never_go_back_when_an_owner_restarts() {
    let bounds = Bounds {
        ticks: 2,
        results: 1,
        gaps: 1,
        restarts: 1,
        cancellations: 1,
        reads: 1,
        ..Bounds::default()
    };
    check_from(after(RULES, bounds, &TAKEN_WHILE_WRITING), 10);
}

#[test]
fn reads_never_go_back_with_two_former_owners() {
    let bounds =
        Bounds { ticks: 1, results: 1, gaps: 2, restarts: 1, reads: 1, ..Bounds::default() };
    check_from(after(RULES, bounds, &TAKEN_WHILE_WRITING), 8);
}

#[test]
fn reads_never_go_back_after_a_handover() {
    let bounds = Bounds {
        ticks: 1,
        results: 1,
        lost: 1,
        gaps: 1,
        handovers: 1,
        reads: 1,
        ..Bounds::default()
    };
    check(RULES, bounds, 12);
}

#[test]
fn reads_never_go_back_while_the_log_is_read_after_a_handover() {
    let write = [Action::Produce(0), Action::Send(0), Action::Apply(0), Action::Answer(0)];
    let two_segments = [write, write].concat();
    let handover = [Action::HandOver(0), Action::TakeOver(1)];
    let bounds =
        Bounds { ticks: 1, results: 2, lost: 1, handovers: 1, reads: 2, ..Bounds::default() };
    let start = after(RULES, bounds, &[two_segments.as_slice(), &handover].concat());
    assert!(check_from(start, usize::MAX).is_complete);
}

#[test]
fn reads_never_go_back_after_a_late_takeover_if_owners_rewrite_their_headers() {
    let bounds = Bounds { results: 1, gaps: 1, late_takeovers: 1, reads: 1, ..Bounds::default() };
    let rules = Rules { rewrites_after_gap: true, waits_for_late_takeovers: false, ..RULES };
    assert!(check(rules, bounds, usize::MAX).is_complete);
}

// Guards against a header that names only the last of several former owners: the one before it still appends.
#[test]
fn a_former_owner_that_the_header_no_longer_names_is_found() {
    let bounds =
        Bounds { ticks: 1, results: 1, gaps: 1, restarts: 1, reads: 1, ..Bounds::default() };
    let found = violation(Rules { names_all_formers: false, ..RULES }, bounds);
    assert_eq!(found, "no result at position 0, where 1 had been read");
}

// Guards against an owner that reads its header after a gap, before a takeover that was sent earlier takes effect.
#[test]
fn reads_never_go_back_after_a_late_takeover() {
    let bounds = Bounds { results: 1, gaps: 1, late_takeovers: 1, reads: 1, ..Bounds::default() };
    assert!(check(RULES, bounds, usize::MAX).is_complete);
}

#[test]
fn reads_never_go_back_once_late_takeovers_are_over() {
    let bounds =
        Bounds { ticks: 1, results: 1, gaps: 1, late_takeovers: 1, reads: 1, ..Bounds::default() };
    assert!(check(RULES, bounds, usize::MAX).is_complete);
}

#[test]
fn a_late_takeover_is_found_where_owners_do_not_wait_for_it() {
    let bounds = Bounds { results: 1, gaps: 1, late_takeovers: 1, reads: 1, ..Bounds::default() };
    let found = violation(Rules { waits_for_late_takeovers: false, ..RULES }, bounds);
    assert_eq!(found, "no result at position 0, where 1 had been read");
}

// A task that does not read on after its job was closed answers less, and nothing wrong.
#[test]
fn reads_never_go_back_although_a_closed_job_is_not_read_on() {
    let bounds = Bounds {
        ticks: 1,
        results: 2,
        lost: 1,
        refused: 1,
        cancellations: 1,
        reads: 1,
        ..Bounds::default()
    };
    let rules = Rules { reads_on_after_close: false, ..RULES };
    assert!(check(rules, bounds, usize::MAX).is_complete);
}
