//! Fair shares of workspaces in the queue and among rejected requests.
//!
//! Shares are max-min fair: no workspace gets less than it wants while another one gets more. They follow from one
//! number, the level: a workspace that wants less than the level gets all it wants, and every other one gets the level.
//! What a workspace wants is what it has at targets and the slots that its rejected requests would have held. What can be
//! shared are the slots of the cell's targets, less what workspaces use there of which no gateway of the cell knows. There
//! is a level only while capacity is insufficient.
//!
//! Figures of peers are old and may be wrong. Therefore they only move the level and decide whether a workspace may wait
//! at targets; the order of the queue and a free slot depend on nothing but this gateway's own requests.

use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
};

use super::{
    caller_buckets::CallerBuckets, messages::MAX_ENTRIES, messages::WorkspaceUsage,
    recent_count::RecentCount,
};

pub use super::caller_buckets::{COMMON_KEY, UNKNOWN_KEY, address_key, caller_key, workspace_key};

/// Time for which a level is used. Requests change it little in this time, and computing it takes as long as hundreds of
/// decisions.
const REFRESH_INTERVAL_MS: u64 = 25;
/// The time is longer by a millisecond for each of so many workspaces, so that the cost of levels does not grow with them.
const WORKSPACES_PER_MS: u64 = 32;
/// Run time of a request before the first one has ended.
const DEFAULT_RUN_MS: f64 = 700.0;
/// Weight of the newest run in the mean run time.
const NEWEST_RUN_WEIGHT: f64 = 0.05;
/// Callers are spread over the gateways of a cell. So figures of one gateway above this multiple of what the others have
/// are cut to it.
const MAX_FACTOR: f64 = 4.0;
/// Requests at targets up to which the figures of a gateway are never cut.
const MIN_PLAUSIBLE: f64 = 16.0;
/// Part of the rejected requests that count as demand: rejected callers retry, and one that is rejected again or that gets
/// a slot would count twice.
const LOST_PART: f64 = 0.5;
/// Slots that limited workspaces leave free, in standard deviations of the number that the others need. With one slot of
/// eight, about two deviations, a simulated flood lowered what the others got in time by up to 0.04.
const RESERVED_DEVIATIONS: f64 = 3.0;

/// Load of the targets of the cell.
#[derive(Debug, Clone, Copy)]
pub struct CellLoad {
    /// Slots of all targets.
    pub slots: u32,
    /// Online requests there.
    pub online: u32,
}

/// What another gateway of the cell reports.
#[derive(Debug, Clone, Copy)]
pub struct PeerFigures<'a> {
    /// Requests by workspace.
    pub usage: &'a [WorkspaceUsage],
    /// Its online requests at targets, if it has reported its loads.
    pub at_targets: Option<u32>,
}

/// Level up to which each demand is met when this capacity is shared fairly; `None` if all demands can be met.
pub fn water_level(demands: impl IntoIterator<Item = f64>, capacity: f64) -> Option<f64> {
    let mut unmet: Vec<f64> = demands.into_iter().collect();
    if unmet.iter().sum::<f64>() <= capacity {
        return None;
    }
    let mut left = capacity.max(0.0);
    loop {
        let level = left / unmet.len() as f64;
        let before = unmet.len();
        unmet.retain(|demand| {
            let is_met = *demand <= level;
            left -= if is_met { *demand } else { 0.0 };
            !is_met
        });
        // Rounding may meet the last demand; the level is then that demand.
        if unmet.len() == before || unmet.is_empty() {
            return Some(level);
        }
    }
}

/// Requests of one workspace at this gateway.
#[derive(Debug, Default)]
struct OwnUsage {
    running: u32,
    rejected: RecentCount,
}

/// What the other gateways of the cell report of a workspace.
#[derive(Debug, Clone, Copy, Default)]
struct PeerUsage {
    running: f64,
    rejected: f64,
}

/// Figures of one workspace over all gateways of the cell.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareFigures {
    /// Share key of the workspace.
    pub key: u64,
    /// Requests at targets.
    pub running: f64,
    /// Requests rejected in the last second.
    pub rejected: f64,
    /// Requests that it may have at targets; infinite while capacity suffices.
    pub share: f64,
}

impl ShareFigures {
    /// Whether the workspace has all of its share or more, and loses requests.
    pub fn is_limited(&self) -> bool {
        self.rejected > 0.0 && self.running + 1.0 > self.share
    }
}

/// Requests of all workspaces, and the level that follows from them.
#[derive(Debug)]
pub struct FairShare {
    own: HashMap<u64, OwnUsage>,
    peers: HashMap<u64, PeerUsage>,
    buckets: CallerBuckets,
    mean_run_ms: f64,
    /// Requests that a workspace may have at targets.
    level: f64,
    /// Requests that all callers without their own share may have at targets.
    common_level: f64,
    /// Workspaces that want more than their share.
    limited: HashSet<u64>,
    /// Part of all slots that limited workspaces leave free for the others.
    reserve_part: f64,
    is_overloaded: bool,
    refreshed_ms: Option<u64>,
}

impl Default for FairShare {
    fn default() -> FairShare {
        FairShare {
            own: HashMap::new(),
            peers: HashMap::new(),
            buckets: CallerBuckets::default(),
            mean_run_ms: DEFAULT_RUN_MS,
            level: f64::INFINITY,
            common_level: f64::INFINITY,
            limited: HashSet::new(),
            reserve_part: 0.0,
            is_overloaded: false,
            refreshed_ms: None,
        }
    }
}

impl FairShare {
    /// Key under which a request with this share key counts, see [`COMMON_KEY`].
    pub fn effective_key(&mut self, now_ms: u64, share_key: u64) -> u64 {
        self.buckets.key(now_ms, share_key, self.is_overloaded)
    }

    /// Counts a request that was sent to a target.
    pub fn record_started(&mut self, key: u64) {
        self.own.entry(key).or_default().running += 1;
    }

    /// Removes a request that has ended at its target.
    pub fn record_ended(&mut self, key: u64, run_ms: u64) {
        self.mean_run_ms += (run_ms as f64 - self.mean_run_ms) * NEWEST_RUN_WEIGHT;
        if let Some(usage) = self.own.get_mut(&key) {
            usage.running = usage.running.saturating_sub(1);
        }
    }

    /// Counts a request that was rejected for lack of capacity.
    pub fn record_rejected(&mut self, now_ms: u64, key: u64) {
        self.own.entry(key).or_default().rejected.add(now_ms);
    }

    /// Mean time of requests at targets.
    pub fn mean_run_ms(&self) -> u64 {
        self.mean_run_ms as u64
    }

    /// Requests of a workspace at targets, over all gateways of the cell.
    pub fn running(&self, key: u64) -> f64 {
        let own = self.own.get(&key).map_or(0, |it| it.running);
        f64::from(own) + self.peers.get(&key).map_or(0.0, |it| it.running)
    }

    /// Requests that a workspace may have at targets; infinite while capacity suffices.
    pub fn share(&self, key: u64) -> f64 {
        if key == COMMON_KEY { self.common_level } else { self.level }
    }

    /// How many requests a workspace would have above its share if this many more were at targets; 0 if none.
    pub fn excess(&self, key: u64, more: usize) -> f64 {
        (self.running(key) + more as f64 - self.share(key)).max(0.0)
    }

    /// Part of all slots that requests of limited workspaces leave free for those of others, which arrive at random.
    pub fn reserve_part(&self) -> f64 {
        self.reserve_part
    }

    /// Whether capacity is insufficient.
    pub fn has_level(&self) -> bool {
        self.level.is_finite() || self.common_level.is_finite()
    }

    /// Whether a workspace wants more than its share. This does not depend on what it has at the moment: if it did, each
    /// gateway would fill the same gap when the workspace falls below its share.
    pub fn is_limited(&self, key: u64) -> bool {
        self.limited.contains(&key)
    }

    /// Whether the level is too old.
    pub fn needs_refresh(&self, now_ms: u64) -> bool {
        let interval_ms = REFRESH_INTERVAL_MS + self.own.len() as u64 / WORKSPACES_PER_MS;
        self.refreshed_ms.is_none_or(|it| now_ms >= it + interval_ms)
    }

    /// Computes the level again. `peers` are the figures of the other gateways of the cell, `cell` is the load of
    /// the cell's targets.
    pub fn refresh<'a>(
        &mut self,
        now_ms: u64,
        peers: impl Iterator<Item = PeerFigures<'a>>,
        cell: CellLoad,
    ) {
        self.refreshed_ms = Some(now_ms);
        self.own.retain(|_, it| it.running > 0 || it.rejected.total(now_ms) > 0);
        let own = self.own.iter_mut().map(|(key, it)| WorkspaceUsage {
            workspace: *key,
            running: it.running,
            rejected: it.rejected.total(now_ms),
        });
        let own: Vec<_> = own.collect();
        self.peers = plausible_sums(&own, &peers.collect::<Vec<_>>());
        self.set_levels(now_ms, cell);
    }

    fn set_levels(&mut self, now_ms: u64, cell: CellLoad) {
        let figures = self.figures(now_ms);
        let at_targets: f64 = figures.iter().map(|it| it.running).sum();
        let slots = f64::from(cell.slots.max(1));
        let capacity = at_targets * slots / f64::from(cell.online.max(1));
        let demand =
            |it: &ShareFigures| it.running + it.rejected * LOST_PART * self.mean_run_ms / 1_000.0;
        let (common, others): (Vec<_>, Vec<_>) =
            figures.iter().partition(|it| it.key == COMMON_KEY);
        let level = water_level(others.iter().copied().map(demand), capacity);
        let level = level.filter(|_| capacity > 0.0).unwrap_or(f64::INFINITY);
        let met: f64 = others.iter().map(|it| demand(it).min(level)).sum();
        let left = (capacity - met).max(0.0);
        let is_met = common.iter().all(|it| demand(it) <= left) && level.is_infinite();
        self.common_level = if is_met || capacity <= 0.0 { f64::INFINITY } else { left };
        self.level = level;
        let wanted: f64 = figures.iter().map(demand).sum();
        self.is_overloaded = wanted > capacity;
        let (limited, others): (Vec<_>, Vec<_>) =
            figures.iter().partition(|it| demand(it) > self.share(it.key));
        let of_others: f64 = others.into_iter().map(demand).sum();
        // Without others there is nobody to leave anything to.
        let limited = limited.into_iter().filter(|_| of_others > 0.0);
        self.limited = limited.map(|it| it.key).collect();
        // Scaled to the cell, as some gateways may not have reported anything.
        let of_others = of_others / capacity.max(1.0) * slots;
        self.reserve_part = RESERVED_DEVIATIONS * of_others.sqrt() / slots;
    }

    /// Figures of all workspaces with requests at targets or rejected ones, by key.
    fn figures(&mut self, now_ms: u64) -> Vec<ShareFigures> {
        let mut keys: Vec<u64> = self.own.keys().chain(self.peers.keys()).copied().collect();
        // In a fixed order, so that rounding is the same in each run.
        keys.sort_unstable();
        keys.dedup();
        let figures = keys.into_iter().map(|key| {
            let own_rejected = self.own.get_mut(&key).map_or(0, |it| it.rejected.total(now_ms));
            let rejected =
                f64::from(own_rejected) + self.peers.get(&key).map_or(0.0, |it| it.rejected);
            ShareFigures { key, running: self.running(key), rejected, share: self.share(key) }
        });
        figures.collect()
    }

    /// Figures of all workspaces, highest use first.
    pub fn report(&mut self, now_ms: u64) -> Vec<ShareFigures> {
        let mut figures = self.figures(now_ms);
        let used = |it: &ShareFigures| it.running + it.rejected;
        figures
            .sort_by(|one, other| used(other).total_cmp(&used(one)).then(one.key.cmp(&other.key)));
        figures
    }

    /// What peers are told: the workspaces with the highest use here.
    pub fn news(&self, now_ms: u64) -> Vec<WorkspaceUsage> {
        let usage = self.own.iter().map(|(key, it)| {
            let mut rejected = it.rejected;
            WorkspaceUsage {
                workspace: *key,
                running: it.running,
                rejected: rejected.total(now_ms),
            }
        });
        let mut usage: Vec<_> = usage.filter(|it| it.running + it.rejected > 0).collect();
        usage.sort_by_key(|it| (Reverse(it.running + it.rejected), it.workspace));
        usage.truncate(MAX_ENTRIES);
        usage
    }
}

/// Sums of the peers' figures by workspace, as far as they are plausible, so that a wrong report does not decide alone.
///
/// The running requests of a peer are bounded by the loads that it reports of its targets. What it reports as rejected is
/// bounded, for each workspace, by what the others report.
fn plausible_sums(own: &[WorkspaceUsage], peers: &[PeerFigures<'_>]) -> HashMap<u64, PeerUsage> {
    let all = || peers.iter().flat_map(|it| it.usage).chain(own);
    let mut rejected: HashMap<u64, f64> = HashMap::new();
    for usage in all() {
        *rejected.entry(usage.workspace).or_default() += f64::from(usage.rejected);
    }
    let max_running = plausible_running(own, peers);
    let mut sums: HashMap<u64, PeerUsage> = HashMap::new();
    for peer in peers {
        let max_running = peer.at_targets.map_or(max_running, |it| f64::from(it).min(max_running));
        let running: f64 = peer.usage.iter().map(|it| f64::from(it.running)).sum();
        let scale = (max_running / running.max(1.0)).min(1.0);
        for usage in peer.usage {
            let reported = f64::from(usage.rejected);
            let by_others = rejected.get(&usage.workspace).map_or(0.0, |it| it - reported);
            let mean_of_others = by_others / peers.len() as f64;
            let total = sums.entry(usage.workspace).or_default();
            total.running += f64::from(usage.running) * scale;
            total.rejected += reported.min(mean_of_others * MAX_FACTOR);
        }
    }
    sums
}

/// Most requests at targets that a peer can plausibly have.
fn plausible_running(own: &[WorkspaceUsage], peers: &[PeerFigures<'_>]) -> f64 {
    let sum = |it: &[WorkspaceUsage]| it.iter().map(|it| f64::from(it.running)).sum::<f64>();
    let mut sums: Vec<f64> = peers.iter().map(|it| sum(it.usage)).chain([sum(own)]).collect();
    let middle = (sums.len() - 1) / 2;
    let (_, median, _) = sums.select_nth_unstable_by(middle, f64::total_cmp);
    (*median * MAX_FACTOR).max(MIN_PLAUSIBLE)
}
