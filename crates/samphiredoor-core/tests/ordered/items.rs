//! What follows for an item from the outcome of a run: a result, or a retry after a backoff.

use std::sync::Arc;

use samphiredoor_core::ordered::{Item, ItemEnd, ItemStep, Items, Outcome, PreemptionHold};

fn items(attempts: u32) -> Items {
    let item = Item {
        id: "item-a".into(),
        path: "/batch/item".to_owned(),
        encoded_headers: Box::default(),
        encoded_body: String::new(),
    };
    Items::new(vec![item], attempts)
}

macro_rules! outcome_tests {
    ($($name:ident: $ends:expr => $outcome:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut items = items(3);
                let (mut outcome, mut failures) = (None, 0);
                for end in $ends {
                    assert_eq!(outcome, None, "an item with a final result is not run again");
                    failures += u32::from(end == ItemEnd::Failed);
                    if let ItemStep::Record(result) = items.run_ended(0, end, failures) {
                        outcome = Some(result.outcome);
                    }
                }
                assert_eq!(outcome, $outcome);
            }
        )*
    };
}

outcome_tests! {
    a_whole_output_completes_the_item: [ItemEnd::Completed { text: Arc::from("text") }] => Some(Outcome::Completed);
    failures_below_the_limit_are_retried: [ItemEnd::Failed, ItemEnd::Failed] => None;
    as_many_failures_as_attempts_fail_the_item: [ItemEnd::Failed, ItemEnd::Failed, ItemEnd::Failed]
        => Some(Outcome::Failed);
    an_impossible_item_fails_without_a_retry: [ItemEnd::Impossible] => Some(Outcome::Failed);
    an_item_without_a_route_fails: [ItemEnd::NoRoute] => Some(Outcome::Failed);
    lost_answers_do_not_count_as_failures: vec![ItemEnd::NoAnswer; 50] => None;
    interruptions_do_not_count_as_failures: vec![ItemEnd::Interrupted; 50] => None;
    stopped_runs_do_not_count_as_failures: vec![ItemEnd::Stopped; 50] => None;
    preemptions_do_not_count_as_failures: vec![ItemEnd::Preempted; 50] => None;
}

/// Backoffs of an item whose runs all end in the same way, until `total_ms` have passed.
fn backoffs_within(total_ms: u64, end: &ItemEnd) -> Vec<u64> {
    let mut items = items(3);
    let mut backoffs = Vec::new();
    while backoffs.iter().sum::<u64>() < total_ms {
        match items.run_ended(0, end.clone(), 0) {
            ItemStep::Retry { backoff_ms } => backoffs.push(backoff_ms),
            ItemStep::Record(result) => panic!("{result:?}"),
        }
    }
    backoffs
}

#[test]
fn backoff_grows_up_to_a_limit() {
    let backoffs = backoffs_within(120_000, &ItemEnd::NoAnswer);
    assert!(backoffs.is_sorted());
    assert_eq!((backoffs[0], backoffs.last()), (100, Some(&30_000)));
}

// Guards against an item that takes its target down at each run, or whose failures are lost on their way, sent at short
// intervals for as long as its job may last.
#[test]
fn an_item_that_is_never_answered_is_sent_ten_times_a_minute_at_most() {
    for end in [ItemEnd::NoAnswer, ItemEnd::Interrupted, ItemEnd::Preempted] {
        let sent = backoffs_within(60_000, &end).len();
        assert!(sent <= 10, "{end:?}: {sent} times");
    }
}

#[test]
fn an_item_is_resumed_at_once_after_its_first_interruption_only() {
    let backoffs = backoffs_within(1_000, &ItemEnd::Interrupted);
    assert_eq!(backoffs[..3], [0, 200, 400]);
}

// Guards against an item that always fails and whose failures all cross preemptions.
#[test]
fn an_item_must_be_answered_after_a_run_without_an_answer() {
    for end in [ItemEnd::NoAnswer, ItemEnd::Interrupted, ItemEnd::Preempted] {
        let mut items = items(3);
        let mut holds = vec![items.preemption_hold(0)];
        for _ in 0..3 {
            items.run_ended(0, end.clone(), 0);
            holds.push(items.preemption_hold(0));
        }
        let (none, moment, until) =
            (PreemptionHold::None, PreemptionHold::Moment, PreemptionHold::UntilAnswered);
        assert_eq!(holds, [none, moment, until, until]);
    }
}

#[test]
fn an_item_that_a_former_owner_may_have_run_must_be_answered() {
    let mut items = items(3).with_former_owner();
    assert_eq!(items.preemption_hold(0), PreemptionHold::Moment);
    items.run_ended(0, ItemEnd::Preempted, 0);
    assert_eq!(items.preemption_hold(0), PreemptionHold::UntilAnswered);
}

#[test]
fn an_item_with_as_many_failures_as_attempts_has_its_result_before_it_is_run() {
    let items = items(3);
    assert_eq!(items.failed_result(0, 2), None);
    assert_eq!(items.failed_result(0, 3).map(|it| it.outcome), Some(Outcome::Failed));
}
