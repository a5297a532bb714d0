//! Retry times of rejected callers.
//!
//! Rejected callers get times that are spaced by the completions that new requests leave, like a virtual queue that holds
//! no connections. A new one comes after the requests that wait and after all callers that this gateway and the
//! others of its cell have told to retry. Peers' counts are a little old, so some callers get the same time; jitter
//! spreads them. A time is an estimate and guarantees nothing.

use std::collections::{BTreeSet, HashMap};

use rand::{Rng, rngs::SmallRng};

use super::{ExpectedReturns, MAX_ENTRIES};
use crate::{Name, names::name_hash};

/// Largest deviation from the scheduled time, in either direction, as a fraction of it.
const JITTER: f64 = 0.15;
/// Most returns that are remembered for one service. More would be beyond the longest retry time of any caller.
const MAX_REMEMBERED: usize = 4_096;
/// Interval of the schedule while the completion rate is unknown: that of one target with eight slots.
const UNKNOWN_INTERVAL_MS: f64 = 90.0;

/// What a retry time is based on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryInputs {
    /// Requests that wait at this gateway.
    pub waiting: usize,
    /// Callers that the other gateways of the cell have told to retry.
    pub peers_returns: u32,
    /// Completions per millisecond that free a slot for this gateway; `None` if they are not known.
    pub own_per_ms: Option<f64>,
    /// Completions per millisecond of the cell's targets; `None` if they are not known.
    pub cell_per_ms: Option<f64>,
    /// Part of the completions that is available to retries.
    pub spare_part: f64,
    /// Shortest retry time.
    pub min_ms: u64,
    /// Longest retry time; it takes precedence over the shortest.
    pub max_ms: u64,
}

/// Callers of each service that were told to retry.
#[derive(Debug, Default)]
pub struct RetrySchedule {
    /// For each service the times of the expected returns, and a number that makes them unique.
    services: HashMap<Name, BTreeSet<(u64, u64)>>,
    total: u64,
}

impl RetrySchedule {
    /// Retry time for one more rejected caller, in milliseconds.
    pub fn next_ms(
        &mut self,
        now_ms: u64,
        service: &Name,
        inputs: &RetryInputs,
        rng: &mut SmallRng,
    ) -> u64 {
        let returns = self.services.entry(Name::clone(service)).or_default();
        *returns = returns.split_off(&(now_ms.saturating_add(1), 0));
        let before = inputs.waiting + returns.len();
        let spare = |per_ms: Option<f64>| per_ms.map(|it| it * inputs.spare_part);
        let own_ms = (before + 1) as f64 * interval_ms(spare(inputs.own_per_ms));
        let in_cell = before as f64 + f64::from(inputs.peers_returns) + 1.0;
        let cell_ms = spare(inputs.cell_per_ms).map_or(0.0, |it| in_cell * interval_ms(Some(it)));
        // Without news of the peers, their callers are accounted for by this gateway's part of the completions.
        let delay_ms = if inputs.peers_returns > 0 { cell_ms } else { own_ms.max(cell_ms) };
        let delay_ms = bounded_ms(delay_ms, inputs.min_ms, inputs.max_ms, rng);
        if returns.len() < MAX_REMEMBERED {
            returns.insert((now_ms.saturating_add(delay_ms), self.total));
            self.total += 1;
        }
        delay_ms
    }

    /// Expected returns for the news, most callers first.
    pub fn returns(&self, now_ms: u64) -> Vec<ExpectedReturns> {
        let services = self.services.iter().filter_map(|(service, returns)| {
            let (last_ms, _) = *returns.last()?;
            let callers = returns.range((now_ms.saturating_add(1), 0)..).count() as u32;
            let last_in_ms = u32::try_from(last_ms.saturating_sub(now_ms)).unwrap_or(u32::MAX);
            let service = name_hash(service);
            (callers > 0).then_some(ExpectedReturns { service, callers, last_in_ms })
        });
        let mut returns: Vec<ExpectedReturns> = services.collect();
        returns.sort_by_key(|it| std::cmp::Reverse((it.callers, it.service)));
        returns.truncate(MAX_ENTRIES);
        returns
    }
}

/// Callers of these returns that are still expected when the news are this old, if they return at a constant rate.
pub fn still_expected(returns: &ExpectedReturns, age_ms: u64) -> u32 {
    let last_in_ms = u64::from(returns.last_in_ms);
    let left_ms = last_in_ms.saturating_sub(age_ms);
    (u64::from(returns.callers) * left_ms).div_ceil(last_in_ms.max(1)) as u32
}

fn interval_ms(completions_per_ms: Option<f64>) -> f64 {
    match completions_per_ms {
        Some(per_ms) if per_ms > 0.0 => 1.0 / per_ms,
        _ => UNKNOWN_INTERVAL_MS,
    }
}

/// The time with jitter, within its bounds. A time at a bound is spread on the inner side, so that callers at the bound do
/// not return together.
fn bounded_ms(delay_ms: f64, min_ms: u64, max_ms: u64, rng: &mut SmallRng) -> u64 {
    let factor = rng.random_range(1.0 - JITTER..1.0 + JITTER);
    let deviation = (factor - 1.0).abs();
    let (min, max) = (min_ms.min(max_ms) as f64, max_ms as f64);
    let jittered_ms = delay_ms * factor;
    let bounded_ms = if jittered_ms >= max {
        (max * (1.0 - deviation)).max(min)
    } else if jittered_ms <= min {
        (min * (1.0 + 2.0 * deviation)).min(max)
    } else {
        jittered_ms
    };
    (bounded_ms as u64).clamp(min_ms.min(max_ms), max_ms).max(1)
}
