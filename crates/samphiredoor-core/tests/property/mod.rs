//! Runner of property tests whose random cases are the same in each run.

use proptest::test_runner::{Config, TestRng, TestRunner};

/// Runner of this many cases, or of as many as the environment variable `SAMPHIREDOOR_CASES` says.
pub fn runner(cases: u32, rng: TestRng) -> TestRunner {
    let from_env = std::env::var("SAMPHIREDOOR_CASES").ok().and_then(|it| it.parse().ok());
    let cases = from_env.unwrap_or(cases);
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, rng)
}
