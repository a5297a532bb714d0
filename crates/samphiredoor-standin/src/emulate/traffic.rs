//! Generates requests from a scenario and a seed. All variants of a scenario get the same requests, whichever
//! mechanisms they disable.

use rand::{Rng, SeedableRng, rngs::SmallRng};
use samphiredoor_core::dispatch::Class;

use super::scenario::{Batch, Bursts, CountRange, Online, Scenario};

/// An online request or an item of a batch job.
#[derive(Debug, Clone)]
pub struct Request {
    /// Online request or batch item.
    pub class: Class,
    /// Time of arrival, since the start of the traffic.
    pub arrives_us: u64,
    /// Index of the gateway that it reaches first.
    pub gateway: usize,
    /// Time until which it has its full worth: for the first token of an online request, for the last token of an item.
    pub objective_us: u64,
    /// Time by which its last token has to arrive; later it has no worth.
    pub deadline_us: u64,
    /// Time from its arrival to its objective.
    pub objective_after_ms: u64,
    /// Priority level; 0 is the highest.
    pub priority: u32,
    /// ID of its prompt's shared prefix; 0 for none.
    pub prefix: u64,
    /// Tokens of that shared prefix.
    pub shared_tokens: u32,
    /// Tokens of the prompt after the shared prefix.
    pub own_tokens: u32,
    /// Tokens that it generates.
    pub output_tokens: u32,
    /// Worth if answered within the objective.
    pub worth: f64,
    /// Worth if answered after the objective.
    pub worth_late: f64,
}

/// Generates all requests of a simulation, in order of arrival.
pub fn generate(scenario: &Scenario, seed: u64) -> Vec<Request> {
    let mut generator =
        Generator { rng: SmallRng::seed_from_u64(seed), scenario, requests: Vec::new() };
    let phase = generator.rng.random::<f64>() * scenario.bursts.every_s;
    for (number, online) in scenario.online.iter().enumerate() {
        generator.online_kind(number, online, phase);
    }
    for (number, batch) in scenario.batch.iter().enumerate() {
        generator.batch_kind(scenario.online.len() + number, batch);
    }
    generator.requests.sort_by_key(|it| it.arrives_us);
    generator.requests
}

struct Generator<'a> {
    rng: SmallRng,
    scenario: &'a Scenario,
    requests: Vec<Request>,
}

impl Generator<'_> {
    // Poisson process with a varying rate, by thinning: arrivals are generated at the highest rate and accepted with a
    // probability of current rate / highest rate.
    fn online_kind(&mut self, kind: usize, online: &Online, phase_s: f64) {
        let bursts = &self.scenario.bursts;
        let highest = bursts.factor.max(1.0);
        let mut at_s = 0.0;
        while self.next_arrival(&mut at_s, online.rate_per_s * highest) {
            let is_accepted =
                self.rng.random::<f64>() * highest < burst_factor(bursts, phase_s, at_s);
            let request = self.online_request(kind, online, at_s);
            if is_accepted {
                self.requests.push(request);
            }
        }
    }

    fn online_request(&mut self, kind: usize, online: &Online, at_s: f64) -> Request {
        let arrives_us = micros(at_s);
        Request {
            class: Class::Online,
            arrives_us,
            gateway: self.rng.random_range(0..self.scenario.gateways.count),
            objective_us: arrives_us + online.aim_ms * 1_000,
            deadline_us: arrives_us + online.deadline_ms * 1_000,
            objective_after_ms: online.aim_ms,
            priority: online.priority,
            prefix: self.prefix(kind, online.shared_tokens, online.beginnings),
            shared_tokens: online.shared_tokens,
            own_tokens: self.count_in(online.prompt_tokens),
            output_tokens: self.count_in(online.output_tokens),
            worth: online.worth,
            worth_late: online.worth_late,
        }
    }

    fn batch_kind(&mut self, kind: usize, batch: &Batch) {
        let mut at_s = 0.0;
        while self.next_arrival(&mut at_s, batch.jobs_per_s) {
            self.job(kind, batch, at_s);
        }
        for _ in 0..batch.rush_jobs {
            self.job(kind, batch, batch.rush_at_s);
        }
    }

    fn job(&mut self, kind: usize, batch: &Batch, at_s: f64) {
        let arrives_us = micros(at_s);
        let gateway = self.rng.random_range(0..self.scenario.gateways.count);
        let prefix = self.prefix(kind, batch.shared_tokens, batch.beginnings);
        for _ in 0..self.count_in(batch.items) {
            let item = Request {
                class: Class::Batch,
                arrives_us,
                gateway,
                objective_us: arrives_us + micros(batch.due_s),
                deadline_us: arrives_us + micros(batch.give_up_s),
                objective_after_ms: micros(batch.due_s) / 1_000,
                priority: 0,
                prefix,
                shared_tokens: batch.shared_tokens,
                own_tokens: self.count_in(batch.prompt_tokens),
                output_tokens: self.count_in(batch.output_tokens),
                worth: batch.worth,
                worth_late: batch.worth_late,
            };
            self.requests.push(item);
        }
    }

    fn next_arrival(&mut self, at_s: &mut f64, rate_per_s: f64) -> bool {
        if rate_per_s <= 0.0 {
            return false;
        }
        *at_s -= (1.0 - self.rng.random::<f64>()).ln() / rate_per_s;
        *at_s < self.scenario.duration_s
    }

    fn prefix(&mut self, kind: usize, shared_tokens: u32, beginnings: u32) -> u64 {
        let number = u64::from(self.rng.random_range(0..beginnings));
        if shared_tokens == 0 { 0 } else { ((kind as u64 + 1) << 32) + number }
    }

    fn count_in(&mut self, [min, max]: CountRange) -> u32 {
        self.rng.random_range(min..=max)
    }
}

fn burst_factor(bursts: &Bursts, phase_s: f64, at_s: f64) -> f64 {
    let bursting = bursts.every_s > 0.0 && (at_s + phase_s) % bursts.every_s < bursts.lasts_s;
    if bursting { bursts.factor } else { 1.0 }
}

/// Converts seconds to microseconds, rounded.
pub fn micros(seconds: f64) -> u64 {
    (seconds * 1e6).round() as u64
}
