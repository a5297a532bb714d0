//! How likely crashes would be beneath a suspect if it had nothing to do with them.
//!
//! What crashes targets does so as it begins to run, and the time that it has run on targets in total is short. What is
//! sound meets crashes in proportion to the time for which it runs: a target that crashes for another reason runs it with a
//! probability of its share of the time of all targets. The time in which it met no crash counts like that of its lost
//! runs. Crashes of the suspect itself are events under this hypothesis, as all others are; they do not raise the share.

use smallvec::SmallVec;

/// Time about a crash in which a suspect's share of the time of all targets counts. Crashes by chance come in bursts, in
/// which its share over a longer time says little.
const WINDOW_MS: u64 = 1_000;
/// Shortest run that is assumed; times of reports are no more precise than this.
const MIN_RUN_MS: u32 = 20;

/// A time in which a suspect ran.
#[derive(Debug, Clone, Copy)]
struct Period {
    began_ms: u64,
    ended_ms: u64,
    /// Mean number of targets at which it ran.
    targets: f64,
}

/// When a suspect ran.
#[derive(Debug, Default)]
pub(super) struct Exposure {
    periods: SmallVec<[Period; 8]>,
}

impl Exposure {
    /// Adds a run that was lost at this time.
    pub fn add(&mut self, lost_at_ms: u64, ran_ms: u32) {
        let began_ms = lost_at_ms.saturating_sub(ran_ms.max(MIN_RUN_MS).into());
        self.periods.push(Period { began_ms, ended_ms: lost_at_ms, targets: 1.0 });
    }

    /// Adds a time in which it ran at this many targets on average that did not crash.
    pub fn add_survived(&mut self, began_ms: u64, ended_ms: u64, targets: f64) {
        self.periods.push(Period { began_ms, ended_ms, targets });
    }

    /// Probability that at least `count` of the crashes of a service hit targets on which the suspect runs, by chance. It was
    /// lost with the first of these at `first_ms` and with the last at `last_ms`.
    pub fn chance_of(
        &self,
        count: u32,
        (first_ms, last_ms): (u64, u64),
        crashes_ms: impl Iterator<Item = u64>,
        targets: usize,
    ) -> f64 {
        let whole = (window(first_ms).0, window(last_ms).1);
        let mean = self.share(whole, targets);
        let hit = |it: u64| mean.max(self.share(window(it), targets));
        let crashes_ms = crashes_ms.filter(|it| (whole.0..=whole.1).contains(it));
        at_least(count, crashes_ms.map(hit))
    }

    /// Share of the time of all targets in which it ran.
    fn share(&self, (from_ms, until_ms): (u64, u64), targets: usize) -> f64 {
        let within = |it: &Period| {
            let ms = until_ms.min(it.ended_ms).saturating_sub(from_ms.max(it.began_ms));
            ms as f64 * it.targets
        };
        let ran_ms: f64 = self.periods.iter().map(within).sum();
        let all_ms = (until_ms - from_ms).max(1) as f64 * targets.max(1) as f64;
        (ran_ms / all_ms).min(1.0)
    }
}

/// The time about a crash.
fn window(at_ms: u64) -> (u64, u64) {
    (at_ms.saturating_sub(WINDOW_MS / 2), at_ms + WINDOW_MS / 2)
}

/// Probability that at least `count` independent events happen, of which each has its own probability.
fn at_least(count: u32, probabilities: impl Iterator<Item = f64>) -> f64 {
    let mut exactly: SmallVec<[f64; 16]> = SmallVec::from_elem(0.0, count as usize + 1);
    exactly[0] = 1.0;
    for probability in probabilities {
        // The last entry holds the probability of `count` and more.
        for number in (0..=count as usize).rev() {
            let from_fewer = if number == 0 { 0.0 } else { exactly[number - 1] * probability };
            let stays = if number == count as usize { 1.0 } else { 1.0 - probability };
            exactly[number] = exactly[number] * stays + from_fewer;
        }
    }
    exactly[count as usize]
}
