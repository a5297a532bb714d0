//! Arrivals of a run, drawn before it so that all rules get the same ones.

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::fleet::{GATEWAYS, SLOTS};

/// Time from the submission of a job until its results are due.
pub const DUE_MS: u64 = 18_000;
/// Time from the submission of a job until its items are given up.
pub const GIVE_UP_MS: u64 = 60_000;
/// Time of the usual batch rate before the given one, in which gateways learn the slots and the run time of items.
pub const WARMUP_MS: u64 = 15_000;
/// Time for which jobs arrive at the given rate.
const SURGE_MS: u64 = 60_000;
const ITEMS_PER_JOB: usize = 10;
const ITEM_MS: f64 = 4_500.0;
/// Part of the slots that the items of the usual batch rate take.
const USUAL_BATCH_PART: f64 = 0.25;
const ONLINE_MS: f64 = 750.0;
/// Part of the slots that online requests take on average.
const ONLINE_PART: f64 = 0.4;
const WAVE_MS: u64 = 6_000;
/// Part of each wave that is high, and the rate in it and beside it, as multiples of the mean.
const HIGH_MS: u64 = 2_400;
const HIGH_RATE: f64 = 1.91;
const LOW_RATE: f64 = 0.39;
/// Run times differ from their mean by up to this part.
const RUN_SPREAD: f64 = 0.25;

/// A job and the run times of its items.
#[derive(Debug)]
pub struct Job {
    /// When it is submitted.
    pub arrives_ms: u64,
    /// Gateway that receives it.
    pub gateway: usize,
    /// Run time of each item.
    pub item_ms: Vec<u64>,
}

/// An online request.
#[derive(Debug, Clone, Copy)]
pub struct OnlineRequest {
    /// When it arrives.
    pub arrives_ms: u64,
    /// Gateway that receives it.
    pub gateway: usize,
    /// Time that it takes at a target.
    pub run_ms: u64,
}

/// All arrivals of a run.
#[derive(Debug)]
pub struct Load {
    /// Batch jobs in order of arrival.
    pub jobs: Vec<Job>,
    /// Online requests in order of arrival; they arrive until the last item is given up.
    pub online: Vec<OnlineRequest>,
}

impl Load {
    /// Draws the arrivals with a multiple of the usual batch rate.
    pub fn new(rate: f64, seed: u64) -> Load {
        let mut rng = SmallRng::seed_from_u64(seed);
        let slots = f64::from(SLOTS);
        let usual_per_ms = slots * USUAL_BATCH_PART / ITEM_MS / ITEMS_PER_JOB as f64;
        let batch_rate = |at_ms| if at_ms < WARMUP_MS { usual_per_ms } else { usual_per_ms * rate };
        let end_ms = WARMUP_MS + SURGE_MS;
        let jobs = arrivals(&mut rng, end_ms, usual_per_ms * rate.max(1.0), batch_rate);
        let jobs = jobs.into_iter().map(|arrives_ms| Job {
            arrives_ms,
            gateway: rng.random_range(0..GATEWAYS),
            item_ms: (0..ITEMS_PER_JOB).map(|_| run_ms(&mut rng, ITEM_MS)).collect(),
        });
        let jobs = jobs.collect();
        let mean_per_ms = slots * ONLINE_PART / ONLINE_MS;
        let online_rate = |at_ms| match at_ms % WAVE_MS < HIGH_MS {
            true => mean_per_ms * HIGH_RATE,
            false => mean_per_ms * LOW_RATE,
        };
        let online = arrivals(&mut rng, end_ms + GIVE_UP_MS, mean_per_ms * HIGH_RATE, online_rate);
        let online = online.into_iter().map(|arrives_ms| OnlineRequest {
            arrives_ms,
            gateway: rng.random_range(0..GATEWAYS),
            run_ms: run_ms(&mut rng, ONLINE_MS),
        });
        Load { jobs, online: online.collect() }
    }

    /// When the last job arrives.
    pub fn last_arrival_ms(&self) -> u64 {
        self.jobs.last().map_or(0, |it| it.arrives_ms)
    }
}

/// Times of a Poisson process with a varying rate, drawn by thinning one with the highest rate.
fn arrivals(
    rng: &mut SmallRng,
    end_ms: u64,
    highest_per_ms: f64,
    rate_per_ms: impl Fn(u64) -> f64,
) -> Vec<u64> {
    let (mut at_ms, mut times) = (0.0, Vec::new());
    loop {
        at_ms -= (1.0 - rng.random::<f64>()).ln() / highest_per_ms;
        if at_ms >= end_ms as f64 {
            return times;
        }
        if rng.random::<f64>() * highest_per_ms < rate_per_ms(at_ms as u64) {
            times.push(at_ms as u64);
        }
    }
}

fn run_ms(rng: &mut SmallRng, mean_ms: f64) -> u64 {
    (mean_ms * rng.random_range(1.0 - RUN_SPREAD..1.0 + RUN_SPREAD)) as u64
}
