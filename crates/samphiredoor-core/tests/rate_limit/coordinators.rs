//! Tests of the choice of coordinators by what one gateway knows of the others.

use proptest::{prelude::*, test_runner::RngSeed};
use samphiredoor_core::{
    rate_limit::{Coordinators, OtherGateway},
    rendezvous,
};

const WORKSPACE: u64 = 17;
const OWN: u64 = 5;

fn live(key: u64) -> OtherGateway {
    OtherGateway { key, is_live: true, is_expected: true, is_stopping: false }
}

fn dead(key: u64) -> OtherGateway {
    OtherGateway { is_live: false, ..live(key) }
}

fn stopping(key: u64) -> OtherGateway {
    OtherGateway { is_stopping: true, ..live(key) }
}

/// A gateway that has not been seen for so long that it is no longer expected.
fn forgotten(key: u64) -> OtherGateway {
    OtherGateway { is_expected: false, ..dead(key) }
}

/// Creates a test for each set of other gateways, with the candidates and the number of gateways that share the limit.
macro_rules! coordinators_tests {
    ($($name:ident: $others:expr => $candidates:expr, $gateways:expr;)*) => { $(
        #[test]
        fn $name() {
            let coordinators = Coordinators::among(WORKSPACE, OWN, $others.into_iter());
            let candidates: &[u64] = &$candidates;
            let chosen = rendezvous::choose(WORKSPACE, candidates.iter().copied(), 2);
            assert_eq!(coordinators, Coordinators { chosen, gateways: $gateways });
        }
    )* };
}

coordinators_tests! {
    a_gateway_without_others_coordinates_alone: [] => [OWN], 1;
    two_of_the_live_gateways_coordinate: [live(1), live(2), live(3)] => [1, 2, 3, OWN], 4;
    a_dead_gateway_does_not_coordinate: [live(1), dead(2)] => [1, OWN], 2;
    a_stopping_gateway_counts_as_live_but_does_not_coordinate: [stopping(1), dead(2), dead(3)] => [OWN], 1;
    exactly_half_of_the_gateways_are_enough: [live(1), dead(2), dead(3)] => [1, OWN], 2;
    less_than_half_of_the_gateways_are_not_enough: [dead(1), dead(2)] => [], 3;
    forgotten_gateways_are_not_expected: [forgotten(1), forgotten(2), forgotten(3)] => [OWN], 1;
}

fn other() -> impl Strategy<Value = OtherGateway> {
    (0..1_000_u64, any::<bool>(), any::<bool>(), any::<bool>()).prop_map(
        |(key, is_live, is_expected, is_stopping)| OtherGateway {
            key,
            is_live,
            is_expected,
            is_stopping,
        },
    )
}

/// The same choice with one walk for each question.
fn coordinators_by_separate_walks(others: &[OtherGateway]) -> Coordinators {
    let live = 1 + others.iter().filter(|it| it.is_live).count();
    let expected = 1 + others.iter().filter(|it| it.is_expected).count();
    if live * 2 < expected {
        return Coordinators { gateways: expected as u32, ..Coordinators::default() };
    }
    let candidates = others.iter().filter(|it| it.is_live && !it.is_stopping).map(|it| it.key);
    Coordinators::new(WORKSPACE, candidates.chain([OWN]))
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a limit whose gateways choose different coordinators, so that callers get several times their rate.
    #[test]
    fn one_walk_chooses_as_separate_walks_do(others in prop::collection::vec(other(), 0..40)) {
        let coordinators = Coordinators::among(WORKSPACE, OWN, others.iter().copied());
        prop_assert_eq!(coordinators, coordinators_by_separate_walks(&others));
    }
}
