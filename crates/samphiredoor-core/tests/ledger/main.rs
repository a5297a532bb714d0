//! The ledger's promises, under anything that may happen to its processes and its store.

mod bounds;
mod promises;
mod store;
mod stories;
mod world;

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

use world::{Fate, PROCESSES, RunEnd, Step, World};

const SEED: [u8; 32] = *b"samphiredoor ledger, fixed seed.";
const KEYS: u8 = 2;

/// Cases of the property test; `LEDGER_CASES` makes the run longer.
fn cases() -> u32 {
    std::env::var("LEDGER_CASES").ok().and_then(|it| it.parse().ok()).unwrap_or(256)
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        12 => Just(Fate::Answered),
        2 => Just(Fate::AnswerLost),
        2 => Just(Fate::Refused),
        2 => Just(Fate::Late),
    ]
}

fn run_end() -> impl Strategy<Value = RunEnd> {
    prop_oneof![
        8 => Just(RunEnd::Answered(200)),
        1 => Just(RunEnd::Answered(400)),
        1 => Just(RunEnd::Answered(503)),
        2 => Just(RunEnd::NotRun),
        2 => Just(RunEnd::MayHaveRun),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let process = 0..PROCESSES;
    let key = 0..KEYS;
    prop_oneof![
        4 => (process.clone(), key.clone(), 0u8..3, any::<bool>()).prop_map(
            |(process, key, content, repeatable)| Step::Submit { process, key, content, repeatable }
        ),
        24 => (any::<usize>(), fate()).prop_map(|(which, fate)| Step::Call { which, fate }),
        3 => any::<usize>().prop_map(|which| Step::LateWrite { which }),
        12 => (any::<usize>(), run_end()).prop_map(|(which, end)| Step::RunEnds { which, end }),
        8 => (1u64..1_500).prop_map(|ms| Step::Pass { ms }),
        6 => process.clone().prop_map(|process| Step::Renew { process }),
        2 => process.clone().prop_map(|process| Step::Pause { process }),
        2 => process.clone().prop_map(|process| Step::Wake { process }),
        1 => process.clone().prop_map(|process| Step::Kill { process }),
        2 => process.clone().prop_map(|process| Step::Start { process }),
        6 => (process.clone(), process.clone())
            .prop_map(|(observer, process)| Step::Lapsed { observer, process }),
        2 => (process.clone(), key.clone())
            .prop_map(|(process, key)| Step::Offered { process, key }),
        3 => (process.clone(), key.clone())
            .prop_map(|(process, key)| Step::Cancel { process, key }),
        1 => (process.clone(), key)
            .prop_map(|(process, key)| Step::CancelHint { process, key }),
        1 => process.clone().prop_map(|process| Step::Stop { process }),
        10 => (process, 1u8..30).prop_map(|(process, rounds)| Step::GoOn { process, rounds }),
    ]
}

/// A list is completed twice, loses a box, or goes on after its cancel. Processes die, freeze, wake and take each
/// other's jobs while store calls are lost, late or refused, in any order; the cause would be a write that trusts a
/// lease, a clock or an answer where only a conditional update can tell.
#[test]
fn promises_hold_in_any_order_of_failures() {
    let config = Config { cases: cases(), failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec(step(), 1..160);
    let outcome = runner.run(&(steps, any::<bool>()), |(steps, restart)| {
        let mut world = World::new();
        for step in &steps {
            world.take(step);
        }
        world.heal(restart);
        Ok(())
    });
    if let Err(failure) = outcome {
        panic!("{failure}");
    }
}
