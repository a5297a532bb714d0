//! Invariants of the ledger under failures of its processes and its store.

mod bounds;
mod invariants;
mod scenarios;
mod simulation;
mod store;

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

use simulation::{CallOutcome, PROCESSES, RunEnd, Simulation, Step};

const SEED: [u8; 32] = *b"samphiredoor ledger, fixed seed.";
const KEYS: u8 = 2;

/// Number of cases of the property test, 256 by default; the environment variable `LEDGER_CASES` overrides it.
fn cases() -> u32 {
    std::env::var("LEDGER_CASES").ok().and_then(|it| it.parse().ok()).unwrap_or(256)
}

fn call_outcome() -> impl Strategy<Value = CallOutcome> {
    prop_oneof![
        12 => Just(CallOutcome::Answered),
        2 => Just(CallOutcome::AnswerLost),
        2 => Just(CallOutcome::Refused),
        2 => Just(CallOutcome::Late),
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
        24 => (any::<usize>(), call_outcome()).prop_map(|(which, outcome)| Step::CompleteCall { which, outcome }),
        3 => any::<usize>().prop_map(|which| Step::LateWrite { which }),
        12 => (any::<usize>(), run_end()).prop_map(|(which, end)| Step::EndRun { which, end }),
        8 => (1u64..1_500).prop_map(|ms| Step::AdvanceClock { ms }),
        6 => process.clone().prop_map(|process| Step::Renew { process }),
        2 => process.clone().prop_map(|process| Step::Pause { process }),
        2 => process.clone().prop_map(|process| Step::Resume { process }),
        1 => process.clone().prop_map(|process| Step::Kill { process }),
        2 => process.clone().prop_map(|process| Step::Start { process }),
        6 => (process.clone(), process.clone())
            .prop_map(|(observer, process)| Step::LeaseExpired { observer, process }),
        2 => (process.clone(), key.clone())
            .prop_map(|(process, key)| Step::Offered { process, key }),
        3 => (process.clone(), key.clone())
            .prop_map(|(process, key)| Step::Cancel { process, key }),
        1 => (process.clone(), key)
            .prop_map(|(process, key)| Step::CancelHint { process, key }),
        1 => process.clone().prop_map(|process| Step::Stop { process }),
        10 => (process, 1u8..30).prop_map(|(process, rounds)| Step::RunUndisturbed { process, rounds }),
    ]
}

/// A job is completed twice, loses a result, or continues after its cancellation. Processes die, pause, resume and take
/// over each other's jobs while store calls are refused, take effect late or lose their answers, in any order. The
/// cause would be a write that relies on a lease, a clock or an answer where only a conditional update is safe.
#[test]
fn invariants_hold_in_any_order_of_failures() {
    let config = Config { cases: cases(), failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec(step(), 1..160);
    let outcome = runner.run(&(steps, any::<bool>()), |(steps, restart)| {
        let mut simulation = Simulation::new();
        for step in &steps {
            simulation.apply_step(step);
        }
        simulation.recover(restart);
        Ok(())
    });
    if let Err(failure) = outcome {
        panic!("{failure}");
    }
}
