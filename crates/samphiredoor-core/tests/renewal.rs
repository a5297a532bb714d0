//! Staggering of a fleet's watches: one ends in each turn, and their number does not grow with the fleet.

use std::time::Duration;

use proptest::{prelude::*, test_runner::RngSeed};
use samphiredoor_core::renewal::{FleetPosition, LastAnswer, Renewal};

const WITHIN: Duration = Duration::from_millis(2_500);

/// Times at which watches of a fleet end up to `until`, sorted, when all processes received the same change at zero.
fn ends(renewal: Renewal, processes: usize, longest: Duration, until: Duration) -> Vec<Duration> {
    let mut ends = Vec::new();
    for position in 0..processes {
        let fleet = FleetPosition { position, processes };
        let mut end = renewal.wait(fleet, LastAnswer::Changes).min(longest);
        while end < until {
            ends.push(end);
            end += renewal.wait(fleet, LastAnswer::Nothing).min(longest);
        }
    }
    ends.sort();
    ends
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(19), ..ProptestConfig::default() })]

    // All processes of a fleet send their watches at the same moment, just as the store stops responding. One of the
    // watches ends in each turn, whatever the number of processes and the longest wait of a watch.
    #[test]
    fn one_watch_ends_in_each_turn(processes in 1usize..1_000, longest_s in 5u64..300) {
        let renewal = Renewal::new(WITHIN);
        let until = Duration::from_secs(40);
        let ends = ends(renewal, processes, Duration::from_secs(longest_s), until);
        let starts = std::iter::once(&Duration::ZERO).chain(&ends);
        for (before, after) in starts.zip(ends.iter().chain([&until])) {
            prop_assert!(*after - *before <= renewal.turn(), "{before:?} to {after:?}");
        }
    }

    // The number of calls does not depend on the number of processes, as long as watches may wait long enough.
    #[test]
    fn calls_do_not_grow_with_the_fleet(processes in 1usize..1_000) {
        let renewal = Renewal::new(WITHIN);
        let until = Duration::from_secs(40);
        let ends = ends(renewal, processes, Duration::from_secs(3_600), until);
        let turns = until.as_millis() / renewal.turn().as_millis();
        prop_assert!(ends.len() as u128 <= turns + 1);
    }
}
