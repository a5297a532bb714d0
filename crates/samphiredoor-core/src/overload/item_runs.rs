//! How long an item of a service runs, from the observations of all gateways of a cell.
//!
//! A gateway that has run no items could otherwise not tell whether a job can be done in time, and would admit every one.
//! Values of peers are hints: a gateway with own observations bounds them by these, and the median ignores a few wrong ones.

use super::ItemRunTime;

/// Largest weight of one gateway's value: it averages over about as many runs, so more of them tell no more.
pub const MAX_WEIGHT: u32 = 8;
/// A value of a peer counts as at most this many times the own one, and at least one over this.
const MAX_FACTOR: u64 = 4;

/// Run time of a whole item as one gateway has observed it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ObservedRuns {
    /// Mean run time; 0 without a run.
    pub mean_ms: u64,
    /// Number of runs, at most [`MAX_WEIGHT`].
    pub weight: u32,
}

impl ObservedRuns {
    /// What is shared with peers; `None` without a run.
    pub fn report(self, service: u64) -> Option<ItemRunTime> {
        let run_ms = self.mean_ms.min(u64::from(u32::MAX)) as u32;
        let is_known = run_ms > 0 && self.weight > 0;
        is_known.then_some(ItemRunTime { service, run_ms, weight: self.weight })
    }
}

/// Run time of a whole item: the weighted median of the own value and those of peers for the same service. Of two values
/// with equal weights it is the shorter, which admits more. 0 if none is known.
pub fn item_run_ms(own: ObservedRuns, peers: impl Iterator<Item = ItemRunTime>) -> u64 {
    let bounds_ms = match own.mean_ms {
        0 => (1, u64::MAX),
        own_ms => ((own_ms / MAX_FACTOR).max(1), own_ms.saturating_mul(MAX_FACTOR)),
    };
    let peers = peers.filter(|it| it.run_ms > 0).map(|it| {
        let run_ms = u64::from(it.run_ms).clamp(bounds_ms.0, bounds_ms.1);
        (run_ms, it.weight.min(MAX_WEIGHT))
    });
    let own = (own.mean_ms > 0).then_some((own.mean_ms, own.weight.min(MAX_WEIGHT)));
    let mut values: Vec<(u64, u32)> = peers.chain(own).filter(|(_, weight)| *weight > 0).collect();
    values.sort_unstable();
    let total: u32 = values.iter().map(|(_, weight)| weight).sum();
    let mut below = 0;
    let median = values.iter().find(|(_, weight)| {
        below += weight;
        below * 2 >= total
    });
    median.map_or(0, |(run_ms, _)| *run_ms)
}
