//! Scenario files of the load generator, and the arrivals and jobs that are generated from them.

use std::{path::Path, time::Duration};

use anyhow::Context;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::Deserialize;

/// Load of one run.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Seed of the random number generators.
    pub seed: u64,
    /// Service that all requests name.
    pub service: String,
    /// Duration of the load before the measurement starts.
    pub warmup_s: f64,
    /// Duration of the measurement.
    pub measure_s: f64,
    /// Online requests.
    pub online: OnlineLoad,
    /// Batch jobs.
    pub batch: BatchLoad,
}

/// Online requests: open-loop Poisson arrivals with bursts.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OnlineLoad {
    /// Arrival rate at all gateways together, outside of bursts.
    pub rate_per_s: f64,
    /// Factor of the rate during a burst.
    #[serde(default = "one")]
    pub burst_factor: f64,
    /// Mean time between bursts; 0 for none.
    #[serde(default)]
    pub burst_every_s: f64,
    /// Duration of a burst.
    #[serde(default)]
    pub burst_s: f64,
    /// Minimum and maximum bytes of the random text of a prompt.
    pub prompt_bytes: [usize; 2],
    /// Bytes of the shared prefix of a prompt.
    #[serde(default)]
    pub shared_prefix_bytes: usize,
    /// Number of different prefixes.
    #[serde(default = "one_prefix")]
    pub prefixes: u64,
    /// Minimum and maximum tokens of an answer.
    pub tokens: [u32; 2],
}

/// Jobs that are submitted at the start of the run.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BatchLoad {
    /// Jobs submitted to each gateway.
    pub jobs_per_door: u32,
    /// Items of each job.
    pub items_per_job: u32,
    /// Minimum and maximum bytes of the random text of a prompt.
    pub prompt_bytes: [usize; 2],
    /// Minimum and maximum tokens of an answer.
    pub tokens: [u32; 2],
}

/// Online request with its time of arrival.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Time at which it is due, from the start of the run.
    pub at: Duration,
    /// Index of the gateway that it is sent to.
    pub gateway: usize,
    /// Shared prefix and random text.
    pub prompt: String,
    /// Number of requested tokens.
    pub tokens: u32,
}

fn one() -> f64 {
    1.0
}

fn one_prefix() -> u64 {
    1
}

impl Scenario {
    /// Reads a scenario from a TOML file.
    pub fn read(file: &Path) -> anyhow::Result<Scenario> {
        let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
        toml::from_str(&text).with_context(|| file.display().to_string())
    }

    /// Generates all arrivals of a run in order of time; the same ones for each run.
    pub fn arrivals(&self, gateways: usize) -> Vec<Arrival> {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let bursts = self.burst_starts_s(&mut rng);
        let end_s = self.warmup_s + self.measure_s;
        let peak_rate_per_s = self.online.rate_per_s * self.online.burst_factor.max(1.0);
        let mut arrivals = Vec::new();
        let mut at_s = 0.0;
        loop {
            at_s += random_exponential(&mut rng, 1.0 / peak_rate_per_s);
            if at_s >= end_s {
                return arrivals;
            }
            // Thinning: arrivals are drawn at the peak rate and kept with a probability of current rate / peak rate.
            let in_burst = bursts.iter().any(|it| (*it..*it + self.online.burst_s).contains(&at_s));
            let factor = if in_burst { self.online.burst_factor } else { 1.0 };
            let is_kept = rng.random::<f64>() < factor * self.online.rate_per_s / peak_rate_per_s;
            let arrival = self.random_arrival(at_s, gateways, &mut rng);
            if is_kept {
                arrivals.push(arrival);
            }
        }
    }

    /// Generates the body of a job, as JSON lines.
    pub fn job_body(&self, number: u32) -> String {
        let mut rng = SmallRng::seed_from_u64(self.seed ^ u64::from(number + 1).rotate_left(32));
        let mut lines = String::new();
        for index in 0..self.batch.items_per_job {
            let prompt = random_text(&mut rng, self.batch.prompt_bytes);
            let tokens = random_between(&mut rng, self.batch.tokens);
            let body = serde_json::json!({
                "model": self.service, "prompt": prompt, "max_tokens": tokens,
            });
            let item = serde_json::json!({
                "custom_id": format!("item-{index}"), "url": "/v1/completions", "body": body,
            });
            lines.push_str(&item.to_string());
            lines.push('\n');
        }
        lines
    }

    fn burst_starts_s(&self, rng: &mut SmallRng) -> Vec<f64> {
        let mut starts = Vec::new();
        if self.online.burst_every_s <= 0.0 {
            return starts;
        }
        let mut at_s = random_exponential(rng, self.online.burst_every_s);
        while at_s < self.warmup_s + self.measure_s {
            starts.push(at_s);
            at_s += random_exponential(rng, self.online.burst_every_s);
        }
        starts
    }

    fn random_arrival(&self, at_s: f64, gateways: usize, rng: &mut SmallRng) -> Arrival {
        let prefix = rng.random_range(0..self.online.prefixes);
        let mut prompt = format!("prefix {prefix} ").repeat(self.online.shared_prefix_bytes / 8);
        prompt.truncate(self.online.shared_prefix_bytes);
        prompt.push_str(&random_text(rng, self.online.prompt_bytes));
        Arrival {
            at: Duration::from_secs_f64(at_s),
            gateway: rng.random_range(0..gateways),
            prompt,
            tokens: random_between(rng, self.online.tokens),
        }
    }
}

fn random_exponential(rng: &mut SmallRng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

fn random_between(rng: &mut SmallRng, [least, most]: [u32; 2]) -> u32 {
    rng.random_range(least..=most)
}

fn random_text(rng: &mut SmallRng, [least, most]: [usize; 2]) -> String {
    let bytes = rng.random_range(least..=most);
    (0..bytes).map(|_| char::from(rng.random_range(b'a'..=b'z'))).collect()
}
