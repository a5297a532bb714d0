//! What the end of a run means for its item.

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

macro_rules! ends {
    ($($name:ident: $ends:expr => $outcome:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut items = items(3);
                let mut outcome = None;
                for end in $ends {
                    assert_eq!(outcome, None, "an item that is over is not run again");
                    if let ItemStep::Record(result) = items.run_ended(0, end) {
                        outcome = Some(result.outcome);
                    }
                }
                assert_eq!(outcome, $outcome);
            }
        )*
    };
}

ends! {
    a_whole_output_completes: [ItemEnd::Completed { text: Arc::from("text") }] => Some(Outcome::Completed);
    failures_are_tried_again: [ItemEnd::Failed, ItemEnd::Failed] => None;
    as_many_failures_as_attempts_are_final: [ItemEnd::Failed, ItemEnd::Failed, ItemEnd::Failed]
        => Some(Outcome::Failed);
    an_impossible_item_is_not_tried_again: [ItemEnd::Impossible] => Some(Outcome::Failed);
    an_item_without_a_route_is_over: [ItemEnd::NoRoute] => Some(Outcome::Failed);
    lost_answers_say_nothing_of_the_item: vec![ItemEnd::NoAnswer; 50] => None;
}

#[test]
fn pauses_grow_and_are_bounded() {
    let mut items = items(3);
    let mut pauses = Vec::new();
    for _ in 0..10 {
        if let ItemStep::Retry { backoff_ms } = items.run_ended(0, ItemEnd::NoAnswer) {
            pauses.push(backoff_ms);
        }
    }
    assert!(pauses.is_sorted());
    assert_eq!((pauses[0], pauses[9]), (100, 2_000));
}
