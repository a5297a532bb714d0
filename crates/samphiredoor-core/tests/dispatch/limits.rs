//! Who is let in, who waits, who is refused, and what is tried again.

use std::collections::BTreeMap;

use samphiredoor_core::{
    Name,
    dispatch::{Action, AttemptEnd, Class, Input, Policy, RequestId, RetryReason},
    manifest::Target,
    verdict::{MayHaveRunReason, Refusal, Verdict},
};

use crate::harness::{Harness, refused, sent_to, target};

fn targets(count: usize, limit: u32) -> Vec<Target> {
    (0..count).map(|it| target(&format!("target-{it}"), "north", limit)).collect()
}

/// Fills all targets, after answers of 100 ms have been measured.
fn full(limit: u32) -> Harness {
    let mut harness = Harness::new(targets(1, limit));
    for _ in 0..20 {
        let (request, _) = harness.online();
        harness.now_ms += 100;
        harness.end(request, AttemptEnd::Completed);
    }
    for _ in 0..limit {
        assert!(harness.online().1.is_some());
    }
    harness
}

fn reason(verdict: Option<Verdict>) -> Option<Refusal> {
    match verdict {
        Some(Verdict::NotRun { reason, .. }) => Some(reason),
        _ => None,
    }
}

fn retry_after_ms(verdict: Option<Verdict>) -> Option<u64> {
    match verdict {
        Some(Verdict::NotRun { retry_after_ms, .. }) => Some(retry_after_ms),
        _ => None,
    }
}

/// Bookings staff send an excursion list of hundreds of items, and a driver confirms a pickup count. With the items
/// filling every place, the driver would wait until one of them ends. The cause: one limit for both.
#[test]
fn an_online_request_is_dispatched_at_once_though_items_fill_every_place() {
    let mut harness = Harness::new(targets(2, 4));
    for _ in 0..300 {
        harness.batch();
    }
    for online in 0..8 {
        let (request, actions) = harness.ask(|_| {});
        assert!(matches!(actions[0], Action::Abort { .. }), "{actions:?}");
        assert!(sent_to(&actions, request).is_some(), "online request {online} waits");
    }
    assert_eq!(harness.dispatcher.counters().preemptions, 8);
    let (_, actions) = harness.ask(|_| {});
    assert!(actions.is_empty(), "every place is taken online; it is queued");
}

#[test]
fn an_item_that_may_run_only_once_is_not_recalled() {
    let mut harness = Harness::new(targets(1, 1));
    let (item, _) = harness.ask(|it| {
        it.class = Class::Batch;
        it.repeatable = false;
    });
    let (online, actions) = harness.ask(|_| {});
    assert!(actions.is_empty());
    let actions = harness.end(item, AttemptEnd::Completed);
    assert!(sent_to(&actions, online).is_some());
}

#[test]
fn queued_online_requests_go_before_items() {
    let mut harness = full(2);
    let (queued, _) = harness.online();
    harness.batch();
    let actions = harness.end(RequestId(21), AttemptEnd::Completed);
    assert_eq!(actions.len(), 1);
    assert!(sent_to(&actions, queued).is_some());
}

#[test]
fn an_item_does_not_take_the_room_that_a_queued_online_request_is_about_to_get() {
    let mut harness = Harness::new(targets(1, 1));
    let (first, _) = harness.online();
    harness.end(first, AttemptEnd::Pushback { retry_after_ms: 500 });
    let (queued, actions) = harness.ask(|_| {});
    assert!(actions.is_empty());
    harness.now_ms += 500;
    assert_eq!(harness.batch().1, None);
    let actions = harness.handle(Input::Tick);
    assert!(sent_to(&actions, queued).is_some());
}

#[test]
fn items_are_bounded_for_each_job() {
    let mut harness = Harness::new(vec![]);
    let refusals = (0..600).filter(|_| {
        let (request, actions) = harness.ask(|it| it.class = Class::Batch);
        reason(refused(&actions, request)) == Some(Refusal::Overloaded)
    });
    assert_eq!(refusals.count(), 600 - 512);
}

#[test]
fn the_queue_holds_what_can_be_served_in_time_and_the_rest_is_refused_at_once() {
    let mut harness = full(4);
    // Four places of 100 ms each drain 40 requests a second; half a second's worth is held.
    let mut verdicts = Vec::new();
    for _ in 0..40 {
        let (request, actions) = harness.ask(|_| {});
        verdicts.push(refused(&actions, request));
    }
    let refusals: Vec<_> = verdicts.into_iter().flatten().collect();
    assert_eq!(harness.gauges().queued, 20);
    assert_eq!(refusals.len(), 20);
    let times: Vec<u64> = refusals.iter().filter_map(|it| retry_after_ms(Some(*it))).collect();
    // After 20 queued at 25 ms a turn: each turn 25 ms after the one before it, and up to half as much later again.
    let turns = (0..times.len() as u64).map(|it| 525 + 25 * it);
    for (time, turn_ms) in times.iter().zip(turns.clone()) {
        assert!((turn_ms - 1..=turn_ms * 3 / 2).contains(time), "{time} for {turn_ms}");
    }
    assert!(times.iter().zip(turns).any(|(time, turn_ms)| *time > turn_ms + 50), "no jitter");
}

#[test]
fn requests_that_have_waited_too_long_are_given_up_and_told_so() {
    let mut harness = full(4);
    let (request, _) = harness.online();
    harness.now_ms += 999;
    assert!(harness.handle(Input::Tick).is_empty());
    harness.now_ms += 1;
    let actions = harness.handle(Input::Tick);
    assert_eq!(reason(refused(&actions, request)), Some(Refusal::Overloaded));
}

#[test]
fn a_deadline_that_cannot_be_met_is_refused_at_once() {
    let in_ms = |harness: &mut Harness, ms| {
        let deadline_ms = harness.now_ms + ms;
        let (request, actions) = harness.ask(|it| it.deadline_ms = deadline_ms);
        reason(refused(&actions, request))
    };
    let mut harness = full(4);
    harness.now_ms += 100;
    harness.end(RequestId(21), AttemptEnd::Completed);
    assert_eq!(in_ms(&mut harness, 90), Some(Refusal::DeadlineTooShort), "though there is room");
    harness.online();
    assert_eq!(in_ms(&mut harness, 200), None);
    for _ in 0..8 {
        harness.online();
    }
    assert_eq!(in_ms(&mut harness, 200), Some(Refusal::DeadlineTooShort), "behind the queue");
}

/// One workspace sends thousands of requests at once. Without shares, another one's single request would stand behind
/// all of them or be refused.
#[test]
fn a_busy_workspace_does_not_crowd_out_a_quiet_one() {
    let mut harness = full(4);
    for _ in 0..40 {
        harness.online();
    }
    let (quiet, actions) = harness.ask(|it| it.workspace = "rounds".into());
    assert_eq!(actions.len(), 1, "{actions:?}");
    assert_eq!(refused(&actions, quiet), None, "a request of the busy one makes room");
    harness.end(RequestId(21), AttemptEnd::Completed);
    let actions = harness.end(RequestId(22), AttemptEnd::Completed);
    assert!(sent_to(&actions, quiet).is_some(), "it goes second");
}

#[test]
fn a_workspace_has_its_own_limit() {
    let mut harness = Harness::new(targets(1, 10));
    let mut ask = || harness.ask(|it| it.workspace = "capped".into());
    let (first, _) = ask();
    ask();
    let (third, actions) = ask();
    assert_eq!(reason(refused(&actions, third)), Some(Refusal::WorkspaceLimit));
    harness.end(first, AttemptEnd::Completed);
    let (fourth, actions) = harness.ask(|it| it.workspace = "capped".into());
    assert!(sent_to(&actions, fourth).is_some());
}

/// One workspace runs into its own limit again and again, and another caller asks with deadlines that cannot be met. If
/// each of their refusals takes a place in the line, all others are told to come back later than there is room.
#[test]
fn refusals_that_are_not_for_want_of_room_do_not_make_others_wait() {
    let mut harness = full(4);
    harness.ask(|it| it.workspace = "capped".into());
    harness.ask(|it| it.workspace = "capped".into());
    for _ in 0..100 {
        let (request, actions) = harness.ask(|it| it.workspace = "capped".into());
        assert_eq!(reason(refused(&actions, request)), Some(Refusal::WorkspaceLimit));
        let deadline_ms = harness.now_ms + 1;
        let (request, actions) = harness.ask(|it| it.deadline_ms = deadline_ms);
        assert_eq!(reason(refused(&actions, request)), Some(Refusal::DeadlineTooShort));
    }
    let verdicts: Vec<_> = (0..40)
        .filter_map(|_| {
            let (request, actions) = harness.ask(|_| {});
            refused(&actions, request)
        })
        .collect();
    let first_ms = retry_after_ms(verdicts.first().copied());
    assert!(first_ms.is_some_and(|it| it <= 525 * 3 / 2), "{first_ms:?}");
}

#[test]
fn a_target_that_pushes_back_is_spared_and_another_one_tried() {
    let mut harness = Harness::new(targets(2, 10));
    let (request, first) = harness.online();
    let actions = harness.end(request, AttemptEnd::Pushback { retry_after_ms: 500 });
    let second = sent_to(&actions, request);
    assert!(second.is_some() && second != first);
    assert_eq!(harness.dispatcher.counters().retries[RetryReason::Pushback as usize], 1);
    for _ in 0..6 {
        assert_eq!(harness.online().1, second);
    }
    harness.now_ms += 500;
    let later: Vec<_> = (0..6).map(|_| harness.online().1).collect();
    assert!(later.contains(&first), "{later:?}");
}

#[test]
fn a_lost_answer_is_tried_again_only_if_the_request_may_run_twice() {
    for repeatable in [true, false] {
        let mut harness = Harness::new(targets(2, 10));
        let (request, _) = harness.ask(|it| it.repeatable = repeatable);
        let actions =
            harness.end(request, AttemptEnd::AnswerLost(MayHaveRunReason::ConnectionLost));
        assert_eq!(sent_to(&actions, request).is_some(), repeatable);
        let verdict = match repeatable {
            true => refused(&harness.end(request, AttemptEnd::NotSent), request),
            false => refused(&actions, request),
        };
        let reason = MayHaveRunReason::ConnectionLost;
        assert_eq!(verdict, Some(Verdict::MayHaveRun { reason }), "the doubt stays");
    }
}

/// A zone is lost and every attempt fails. Without a budget each request is sent to every target in turn, and the
/// traffic multiplies when there is least room for it.
#[test]
fn retries_stay_within_a_tenth_of_the_traffic() {
    let policy = Policy::default();
    let mut harness = Harness::with_policy(targets(40, 1_000), policy);
    let mut attempts = 0;
    for _ in 0..1_000 {
        let (request, mut sent) = harness.online();
        while sent.take().is_some() {
            attempts += 1;
            let actions = harness.end(request, AttemptEnd::AnswerLost(MayHaveRunReason::AnswerCut));
            sent = sent_to(&actions, request);
        }
    }
    assert!(attempts <= 1_000 + 100 + 10, "{attempts}");
    assert!(harness.dispatcher.counters().retries_over_budget > 800);
}

/// Rounds of as many requests as the target's limit lets in; `latency_ms` tells by their number how long they take.
fn limit_after(harness: &mut Harness, rounds: usize, latency_ms: impl Fn(u64) -> u64) -> usize {
    let mut placed = 0;
    for _ in 0..rounds {
        let sent: Vec<_> = (0..40).map(|_| harness.online()).collect();
        let (running, queued): (Vec<_>, Vec<_>) = sent.into_iter().partition(|it| it.1.is_some());
        for (request, _) in queued {
            harness.handle(Input::Cancelled { request });
        }
        placed = running.len();
        harness.now_ms += latency_ms(placed as u64);
        for (request, _) in running {
            harness.end(request, AttemptEnd::Completed);
        }
    }
    placed
}

/// A target has less room than before, and each request more makes all others slower. If as much work is held there as
/// before, all of it is late.
#[test]
fn a_target_that_slows_under_load_gets_fewer_requests_and_gets_them_back() {
    let mut harness = Harness::new(targets(1, 40));
    assert_eq!(limit_after(&mut harness, 20, |_| 20), 40);
    let slow = limit_after(&mut harness, 200, |running| 20 + 20 * running);
    assert!(slow <= 12, "{slow}");
    let again = limit_after(&mut harness, 400, |_| 20);
    assert!(again > 35, "{again}");
}

/// Callers begin to send longer prompts, and answers take a hundred times as long as before, whatever the load. A limit
/// that goes by the best latency ever seen would end at one request at a time.
#[test]
fn answers_that_take_longer_whatever_the_load_leave_the_limit_as_it_is() {
    let mut harness = Harness::new(targets(1, 40));
    assert_eq!(limit_after(&mut harness, 20, |_| 20), 40);
    assert!(limit_after(&mut harness, 50, |_| 2_000) > 35);
}

/// Requests wait, are sent with little time left, and their deadlines pass at the target. If that lowers the target's
/// limit, the next ones wait longer, and goodput falls to half though the target is well.
#[test]
fn a_deadline_that_passes_soon_after_sending_is_not_held_against_the_target() {
    let placed_after = |elapsed_ms: u64| {
        let mut harness = full(10);
        harness.now_ms += elapsed_ms;
        for request in 21..31 {
            let end = AttemptEnd::AnswerLost(MayHaveRunReason::DeadlinePassed);
            harness.end(RequestId(request), end);
        }
        (0..10).filter(|_| harness.online().1.is_some()).count()
    };
    assert_eq!(placed_after(50), 10);
    assert_eq!(placed_after(2_000), 10, "once is no sign");
}

/// A target loses some answers and gives others, as it has more to do than it can. Ejecting it would put its work on the
/// next one, which would break as well: its limit gives way instead.
#[test]
fn a_target_that_loses_some_answers_under_load_gets_less_work_and_is_not_ejected() {
    let mut harness = Harness::new(targets(2, 20));
    let placed = rounds(&mut harness, 60, |beside, _| beside > 10 && !beside.is_multiple_of(4));
    assert_eq!(harness.dispatcher.counters().ejections, [0; 3]);
    assert!((10..30).contains(&placed), "{placed}");
}

/// A version of a model breaks one request in two, or one in thirty, at any load. A limit that gives way to each lost
/// answer ends at one request at a time, and the callers whose requests are well wait for nothing.
#[test]
fn losses_that_do_not_depend_on_the_load_leave_the_limit_as_it_is() {
    for every in [2, 30] {
        let mut harness = Harness::new(targets(2, 20));
        let placed = rounds(&mut harness, 60, |_, number| number % every == 0);
        assert!(placed >= 38, "one in {every}: {placed}");
    }
}

/// Rounds of 40 requests that end after 100 ms; `lost` tells by the number of those at the same target, and by its own
/// number, whether a request's answer is lost. Returns how many are placed at the end.
fn rounds(harness: &mut Harness, rounds: usize, lost: impl Fn(usize, usize) -> bool) -> usize {
    let mut number = 0;
    let mut placed = 0;
    for _ in 0..rounds {
        let mut at = BTreeMap::<Name, usize>::new();
        let mut ends = Vec::new();
        for _ in 0..40 {
            let (request, target) = harness.ask(|it| it.repeatable = false);
            let Some(target) = sent_to(&target, request) else {
                harness.handle(Input::Cancelled { request });
                continue;
            };
            let beside = at.entry(target).or_default();
            *beside += 1;
            number += 1;
            let is_lost = lost(*beside, number);
            let lost_end = AttemptEnd::AnswerLost(MayHaveRunReason::ConnectionLost);
            ends.push((request, if is_lost { lost_end } else { AttemptEnd::Completed }));
        }
        placed = ends.len();
        harness.now_ms += 100;
        for (request, end) in ends {
            harness.end(request, end);
        }
    }
    placed
}

#[test]
fn when_all_targets_are_lost_those_in_the_queue_are_refused_at_once() {
    let mut harness = full(1);
    let (queued, _) = harness.online();
    let actions = harness.end(RequestId(21), AttemptEnd::NotSent);
    assert_eq!(reason(refused(&actions, RequestId(21))), Some(Refusal::ConnectFailed));
    assert_eq!(reason(refused(&actions, queued)), Some(Refusal::NoTarget));
    let after = retry_after_ms(refused(&actions, queued)).unwrap_or(0);
    assert!((1_000..=1_500).contains(&after), "when the target is tried again: {after}");
}
