//! How the waits of a watcher add up.

use std::time::Duration;

use samphiredoor_gateway::watch::WatchBudget;

/// Time that a relay may take beyond the wait it was asked for.
const MARGIN: Duration = Duration::from_millis(300);
/// Part of the time after which the store has to have been asked, whatever was waited for before.
const ASKED_WITHIN_PART: f64 = 0.6;

macro_rules! waits_fit {
    ($($name:ident: $within_ms:expr;)*) => {$(
        // Guards against waits that follow each other and leave no time for requests that are on their way.
        #[test]
        fn $name() {
            let within = Duration::from_millis($within_ms);
            let budget = WatchBudget::new(within).with_pause();
            for known_ago in [Duration::ZERO, budget.pause() / 2, budget.pause()] {
                let asked_after = known_ago + budget.relay_wait(known_ago, MARGIN) + MARGIN;
                assert!(asked_after <= within.mul_f64(ASKED_WITHIN_PART), "{asked_after:?}");
            }
            for changed_ago in [Duration::ZERO, budget.pause() / 2, budget.pause()] {
                let bypassed_after = changed_ago + budget.relay_tolerance(Some(changed_ago));
                assert!(bypassed_after <= within.mul_f64(ASKED_WITHIN_PART), "{bypassed_after:?}");
            }
        }
    )*};
}

waits_fit! {
    the_waits_of_a_watcher_fit_into_2500_ms: 2_500;
    the_waits_of_a_watcher_fit_into_4000_ms: 4_000;
}

// Guards against calls without end to a relay that has been behind for long.
#[test]
fn a_relay_is_given_time_to_answer_when_the_budget_is_used_up() {
    let budget = WatchBudget::new(Duration::from_millis(2_500)).with_pause();
    assert_eq!(budget.relay_wait(Duration::from_secs(9), MARGIN), Duration::ZERO);
    assert!(!budget.relay_tolerance(Some(Duration::from_secs(9))).is_zero());
}

// Guards against waiting for the pause of a relay that makes none.
#[test]
fn a_relay_without_pauses_may_not_be_behind_for_long() {
    let budget = WatchBudget::new(Duration::from_millis(5_000));
    assert!(budget.relay_tolerance(Some(Duration::ZERO)) <= Duration::from_millis(500));
}
