//! Turns of a fleet's watches.

use std::time::Duration;

use proptest::{prelude::*, test_runner::RngSeed};
use samphiredoor_core::renewal::{FleetPosition, LastAnswer, Renewal};

const WITHIN: Duration = Duration::from_millis(2_500);

/// Ends of all watches of a fleet until `until`, in order, after all were told the same change at zero.
fn ends(renewal: Renewal, processes: usize, longest: Duration, until: Duration) -> Vec<Duration> {
    let mut ends = Vec::new();
    for position in 0..processes {
        let place = FleetPosition { position, processes };
        let mut end = renewal.wait(place, LastAnswer::Changes).min(longest);
        while end < until {
            ends.push(end);
            end += renewal.wait(place, LastAnswer::Nothing).min(longest);
        }
    }
    ends.sort();
    ends
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(19), ..ProptestConfig::default() })]

    // All watches of a fleet are asked at the same moment, just as the store falls silent. Whatever the number of processes, and
    // however long a watch may wait at most, one of them ends in each turn.
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

    // Calls do not grow with the fleet, unless a watch may wait no longer.
    #[test]
    fn calls_do_not_grow_with_the_fleet(processes in 1usize..1_000) {
        let renewal = Renewal::new(WITHIN);
        let until = Duration::from_secs(40);
        let ends = ends(renewal, processes, Duration::from_secs(3_600), until);
        let turns = until.as_millis() / renewal.turn().as_millis();
        prop_assert!(ends.len() as u128 <= turns + 1);
    }
}
