//! Measured capacity of a service: how many requests it completes, and when the next slots become free.
//!
//! Only complete answers seen at this gateway are measured. A target without a measurement of its own counts as average.
//! Values are moving averages; after [`MAX_AGE_MS`] without a new one they count as unknown.

use std::collections::HashMap;

use super::slot_schedule::SlotSchedule;
use crate::Name;

/// Age after which a measurement counts as unknown.
pub const MAX_AGE_MS: u64 = 60_000;
/// Longest duration that is recorded. A stalled stream must not determine the mean of all others.
const MAX_SAMPLE_MS: u64 = 60_000;
/// Weight of the newest sample in a moving average, once there are enough samples.
const NEWEST_WEIGHT: f64 = 1.0 / 16.0;
/// Samples of a target after which its own mean counts as much as the mean of the service.
const TARGET_PRIOR_SAMPLES: f64 = 2.0;

/// Moving average of a duration.
#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    mean_ms: f64,
    samples: u32,
    updated_ms: u64,
}

impl Mean {
    fn record(&mut self, now_ms: u64, sample_ms: u64) {
        let sample_ms = sample_ms.clamp(1, MAX_SAMPLE_MS) as f64;
        self.samples = self.samples.saturating_add(1);
        let weight = NEWEST_WEIGHT.max(1.0 / f64::from(self.samples));
        self.mean_ms += (sample_ms - self.mean_ms) * weight;
        self.updated_ms = now_ms;
    }

    fn known_ms(&self, now_ms: u64) -> Option<f64> {
        (self.samples > 0 && self.age_ms(now_ms) < MAX_AGE_MS).then_some(self.mean_ms)
    }

    fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.updated_ms)
    }
}

#[derive(Debug, Default)]
struct ServiceTimes {
    run: Mean,
    first_event: Mean,
    run_at_target: HashMap<u64, Mean>,
}

/// Measured durations of each service's online requests at one gateway.
#[derive(Debug, Default)]
pub struct Capacity {
    services: HashMap<Name, ServiceTimes>,
    schedules: HashMap<u64, SlotSchedule>,
}

impl Capacity {
    /// Records the run time of a completed request, without its wait at the target.
    pub fn record_run(&mut self, now_ms: u64, service: &Name, target: u64, run_ms: u64) {
        let times = self.times_mut(service);
        times.run.record(now_ms, run_ms);
        times.run_at_target.entry(target).or_default().record(now_ms, run_ms);
        times.run_at_target.retain(|_, it| it.age_ms(now_ms) < MAX_AGE_MS);
        self.schedules.retain(|_, it| it.age_ms(now_ms) < MAX_AGE_MS);
    }

    /// Records the time from the start of a request at its target to its first event.
    pub fn record_first_event(&mut self, now_ms: u64, service: &Name, elapsed_ms: u64) {
        self.times_mut(service).first_event.record(now_ms, elapsed_ms);
    }

    /// Mean run time of the service's requests; `None` if it is unknown.
    pub fn run_ms(&self, now_ms: u64, service: &Name) -> Option<f64> {
        self.services.get(service)?.run.known_ms(now_ms)
    }

    /// Mean run time at one target, close to that of the service while few requests have completed there.
    pub fn run_at_target_ms(&self, now_ms: u64, service: &Name, target: u64) -> Option<f64> {
        let times = self.services.get(service)?;
        let service_ms = times.run.known_ms(now_ms)?;
        let at_target = times.run_at_target.get(&target);
        let known = at_target.and_then(|it| Some((it.known_ms(now_ms)?, f64::from(it.samples))));
        let Some((target_ms, samples)) = known else { return Some(service_ms) };
        let prior = TARGET_PRIOR_SAMPLES;
        Some((target_ms * samples + service_ms * prior) / (samples + prior))
    }

    /// Mean time to the first event; 0 if it is unknown.
    pub fn first_event_ms(&self, now_ms: u64, service: &Name) -> f64 {
        let times = self.services.get(service);
        times.and_then(|it| it.first_event.known_ms(now_ms)).unwrap_or(0.0)
    }

    /// Time since the last completion; `None` before the first.
    pub fn age_ms(&self, now_ms: u64, service: &Name) -> Option<u64> {
        let run = &self.services.get(service)?.run;
        (run.samples > 0).then(|| run.age_ms(now_ms))
    }

    /// Corrects the schedule of a target by the number of requests that are there now.
    pub fn update_target(
        &mut self,
        now_ms: u64,
        service: &Name,
        target: u64,
        requests: u32,
        slots: u32,
    ) {
        if let Some(run_ms) = self.run_at_target_ms(now_ms, service, target) {
            self.schedules.entry(target).or_default().update(now_ms, requests, slots, run_ms);
        }
    }

    /// Expected time until one more request can start at a target; `None` if it is unknown.
    pub fn start_in_ms(&self, now_ms: u64, target: u64) -> Option<f64> {
        self.schedules.get(&target).map(|it| it.start_in_ms(now_ms))
    }

    /// Completions per millisecond of these targets, given as hash and slots, when all slots are taken; `None` if the run
    /// time is unknown.
    pub fn completions_per_ms(
        &self,
        now_ms: u64,
        service: &Name,
        targets: impl IntoIterator<Item = (u64, u32)>,
    ) -> Option<f64> {
        self.run_ms(now_ms, service)?;
        let rates = targets.into_iter().filter_map(|(target, slots)| {
            Some(f64::from(slots) / self.run_at_target_ms(now_ms, service, target)?)
        });
        Some(rates.sum())
    }

    fn times_mut(&mut self, service: &Name) -> &mut ServiceTimes {
        if !self.services.contains_key(service) {
            self.services.insert(Name::clone(service), ServiceTimes::default());
        }
        self.services.entry(Name::clone(service)).or_default()
    }
}
