//! What follows for an item from the outcome of a run: a result, or a retry after a backoff.

use std::sync::Arc;

use samphiredoor_core::ordered::{Item, ItemEnd, ItemStep, Items, Outcome};

fn items(attempts: u32) -> Items {
    let item = Item {
        id: "item-a".into(),
        path: "/batch/item".to_owned(),
        headers: Vec::new(),
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
}

#[test]
fn backoff_grows_up_to_a_limit() {
    let mut items = items(3);
    let mut backoffs = Vec::new();
    for _ in 0..10 {
        if let ItemStep::Retry { backoff_ms } = items.run_ended(0, ItemEnd::NoAnswer, 0) {
            backoffs.push(backoff_ms);
        }
    }
    assert!(backoffs.is_sorted());
    assert_eq!((backoffs[0], backoffs[9]), (100, 2_000));
}
