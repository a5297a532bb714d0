//! How likely crashes would be beneath a suspect if it had nothing to do with them.
//!
//! What crashes targets does so as it begins to run, and the time that it has run on targets in total is short. What is
//! sound meets crashes in proportion to the time for which it runs while targets crash for other reasons.

/// Probability of at least `count` events of a Poisson process of which `expected` are expected.
pub fn at_least(count: u32, expected: f64) -> f64 {
    let mut term = (-expected).exp();
    let mut fewer = 0.0;
    for number in 0..count {
        fewer += term;
        term *= expected / f64::from(number + 1);
    }
    (1.0 - fewer).max(0.0)
}
