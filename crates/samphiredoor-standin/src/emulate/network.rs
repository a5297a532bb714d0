//! Latency and loss between processes. Messages between gateways may be delayed or lost; connections only have the
//! latency of the distance.

use rand::{Rng, SeedableRng, rngs::SmallRng};
use samphiredoor_core::{dispatch::Location, placement::Distance};

use super::scenario;

/// Network of a simulation, with the faults that are currently active.
#[derive(Debug)]
pub struct Network {
    config: scenario::Network,
    rng: SmallRng,
    /// Delay that an active fault adds to each message.
    pub extra_delay_ms: f64,
    /// Fraction of the messages that an active fault drops.
    pub lost_part: f64,
}

impl Network {
    /// Network without active faults.
    pub fn new(config: scenario::Network, seed: u64) -> Network {
        Network { config, rng: SmallRng::seed_from_u64(seed), extra_delay_ms: 0.0, lost_part: 0.0 }
    }

    /// One-way latency of a connection.
    pub fn latency_us(&self, from: &Location, to: &Location) -> u64 {
        (self.latency_ms(from, to) * 1_000.0) as u64
    }

    /// One-way latency of a message; `None` if it is lost.
    pub fn message_latency_us(&mut self, from: &Location, to: &Location) -> Option<u64> {
        let lost_part = self.config.lost_part.max(self.lost_part);
        if lost_part > 0.0 && self.rng.random_bool(lost_part) {
            return None;
        }
        let jitter_ms = self.rng.random::<f64>() * self.config.jitter_ms;
        let total_ms = self.latency_ms(from, to) + jitter_ms + self.extra_delay_ms;
        Some((total_ms * 1_000.0) as u64)
    }

    fn latency_ms(&self, from: &Location, to: &Location) -> f64 {
        match Distance::between(from, to) {
            Distance::Cell | Distance::Zone => self.config.zone_ms,
            Distance::Region => self.config.region_ms,
            Distance::OtherRegion => self.config.far_ms,
        }
    }
}
