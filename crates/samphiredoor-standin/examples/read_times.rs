//! Measures how long reads of jobs take after their end, at all gateways: of jobs that were done, and of cancelled ones.
//!
//! `cargo build --release --bins && cargo run --release -p samphiredoor-standin --example read_times target/release/samphiredoor`

use std::{
    env,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use samphiredoor_standin::{fleet::Platform, http::wait_until};

const SEED: u64 = 39;
const GATEWAYS: usize = 3;
const JOBS: usize = 24;
const ITEMS: usize = 20;
const READS: usize = 4_000;
/// Time between two events of a target.
const EVENT_PAUSE: Duration = Duration::from_millis(10);

fn main() {
    let binary = env::args().nth(1).expect("the path of the samphiredoor program");
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut platform = Platform::new(binary);
    let _targets: Vec<_> =
        (0..4).map(|it| platform.start_target(&format!("t-{it}"), EVENT_PAUSE)).collect();
    (0..GATEWAYS).for_each(|_| _ = platform.start_gateway());
    for job in 0..JOBS {
        let name = format!("job-{job}");
        assert_eq!(platform.submit_many(job % GATEWAYS, &name, ITEMS).status, 202);
    }
    for job in 0..JOBS {
        end_job(&platform, job);
    }
    let mut micros = Histogram::<u64>::new(3).expect("a histogram");
    let mut refused = 0;
    for _ in 0..READS {
        let job = format!("job-{}", rng.random_range(0..JOBS));
        let (gateway, after) = (rng.random_range(0..GATEWAYS), rng.random_range(0..ITEMS));
        let started = Instant::now();
        let answer = platform.results(gateway, &job, after);
        micros.saturating_record(started.elapsed().as_micros() as u64);
        refused += u32::from(answer.status != 200);
    }
    let ms = |quantile| micros.value_at_quantile(quantile) as f64 / 1_000.0;
    println!(
        "{READS} reads, {refused} refused: p50 {:.1} ms, p99 {:.1} ms, most {:.1} ms",
        ms(0.5),
        ms(0.99),
        micros.max() as f64 / 1_000.0
    );
}

/// Waits until a job is done, or cancels every third one.
fn end_job(platform: &Platform, job: usize) {
    let name = format!("job-{job}");
    if job % 3 == 2 {
        wait_until("the cancellation is acknowledged", || platform.cancel(0, &name).status == 200);
    } else {
        platform.all_results(0, &name, ITEMS);
    }
}
