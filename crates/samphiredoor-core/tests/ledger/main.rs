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

use simulation::{Simulation, step};

const SEED: [u8; 32] = *b"samphiredoor ledger, fixed seed.";

/// Number of cases of the property test, 256 by default; the environment variable `LEDGER_CASES` overrides it.
fn cases() -> u32 {
    std::env::var("LEDGER_CASES").ok().and_then(|it| it.parse().ok()).unwrap_or(256)
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
