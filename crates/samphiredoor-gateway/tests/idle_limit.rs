//! Idle limit of callers' connections beside changes of the operators' limit.

use std::time::{Duration, Instant};

use samphiredoor_gateway::idle_limit::IdleLimit;

/// Limits in force after the operators have set one of `seconds` each second.
fn limits_in_force(seconds: &[u64]) -> Vec<u64> {
    let start = Instant::now();
    let mut limit = IdleLimit::new(Duration::from_secs(seconds[0]), start);
    let updates = seconds.iter().zip(0..).map(|(operators, after)| {
        limit.update(Duration::from_secs(*operators), start + Duration::from_secs(after)).as_secs()
    });
    updates.collect()
}

/// Guards against connections that close before their callers have learnt of a lower limit.
#[test]
fn a_lower_limit_applies_after_a_delay() {
    assert_eq!(limits_in_force(&[20, 5, 5, 5, 5, 5, 5]), [22, 22, 22, 22, 22, 7, 7]);
}

#[test]
fn a_higher_limit_applies_at_once() {
    assert_eq!(limits_in_force(&[5, 20, 30]), [7, 22, 32]);
}

/// Guards against connections that close at the lower of two limits which follow each other in series.
#[test]
fn a_limit_that_changes_back_and_forth_stays_at_its_highest_value() {
    let series = [20, 5, 20, 5, 5, 20, 5, 5, 5, 20, 5];
    assert!(limits_in_force(&series).iter().all(|it| *it == 22));
}

/// Guards against a fall to the lowest of several lower limits.
#[test]
fn a_limit_falls_to_the_highest_of_those_in_the_delay() {
    assert_eq!(limits_in_force(&[20, 3, 10, 3, 10, 3, 10, 3]), [22, 22, 22, 22, 22, 12, 12, 12]);
}
