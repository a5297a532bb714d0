//! What overload control shares between gateways. Ages and times are relative to the time of sending.

use std::collections::BTreeMap;

/// Most entries of each list in one datagram.
pub const MAX_ENTRIES: usize = 16;

/// How long work takes at a target, as it last reported to the sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SpeedReport {
    /// Hash of the target's name, from [`crate::names::name_hash`].
    pub target: u64,
    /// Duration of work, in percent of the usual one.
    pub percent: u32,
    /// Age of the report.
    pub age_ms: u32,
}

/// A target that has failed requests of the sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailingTarget {
    /// Hash of the target's name, from [`crate::names::name_hash`].
    pub target: u64,
    /// Failed attempts that later whole answers have not outweighed yet.
    pub failures: u32,
    /// Time since the last of them.
    pub age_ms: u32,
}

/// Online requests of one workspace at the sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkspaceUsage {
    /// Share key of the workspace, see [`super::fair_share::workspace_key`].
    pub workspace: u64,
    /// Requests at targets.
    pub running: u32,
    /// Requests rejected for lack of capacity in the last second.
    pub rejected: u32,
}

/// Callers of one service that the sender has rejected and that are expected to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpectedReturns {
    /// Hash of the service's name, from [`crate::names::name_hash`].
    pub service: u64,
    /// Number of callers.
    pub callers: u32,
    /// Time until the last of them is expected.
    pub last_in_ms: u32,
}

/// Work left in the batch items of the sender that are due in the same interval.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwedItems {
    /// Hash of the service's name, from [`crate::names::name_hash`].
    pub service: u64,
    /// Time until the end of the interval; 0 for overdue items.
    pub due_in_ms: u32,
    /// Sum of the parts of the items that are left, rounded to whole items.
    pub items: u32,
}

/// How long an item of one service runs, as the sender has observed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ItemRunTime {
    /// Hash of the service's name, from [`crate::names::name_hash`].
    pub service: u64,
    /// Mean run time of a whole item.
    pub run_ms: u32,
    /// Number of runs that the mean stands for, at most [`super::item_runs::MAX_WEIGHT`].
    pub weight: u32,
}

/// What one gateway shares, or a cell about its gateways.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OverloadNews {
    /// Speeds that targets have reported, newest first.
    pub speeds: Vec<SpeedReport>,
    /// Targets that fail requests, newest failure first.
    pub failing: Vec<FailingTarget>,
    /// Workspaces with the most requests, highest use first.
    pub usage: Vec<WorkspaceUsage>,
    /// Rejected callers by service.
    pub returns: Vec<ExpectedReturns>,
    /// Unfinished batch items by service and due time, earliest first.
    pub owed: Vec<OwedItems>,
    /// Run times of items, of each service with runs; only within a cell.
    pub item_runs: Vec<ItemRunTime>,
}

impl OverloadNews {
    /// Whether there is nothing to share.
    pub fn is_empty(&self) -> bool {
        *self == OverloadNews::default()
    }
}

/// Merges the news of a cell's gateways for other cells: the newest report of each target, and sums of the rest. The use of
/// workspaces is left out, as shares are those of the requests of one cell's gateways, and so are the run times of items, as
/// the targets of a cell differ from those of others.
pub fn merge_news<'a>(all: impl IntoIterator<Item = &'a OverloadNews>) -> OverloadNews {
    let mut speeds: BTreeMap<u64, SpeedReport> = BTreeMap::new();
    let mut failing: BTreeMap<u64, FailingTarget> = BTreeMap::new();
    let mut returns: BTreeMap<u64, ExpectedReturns> = BTreeMap::new();
    let mut owed: BTreeMap<(u32, u64), OwedItems> = BTreeMap::new();
    for news in all {
        for report in &news.speeds {
            let newest = speeds.entry(report.target).or_insert(*report);
            if report.age_ms < newest.age_ms {
                *newest = *report;
            }
        }
        for target in &news.failing {
            let none = FailingTarget { failures: 0, ..*target };
            let sum = failing.entry(target.target).or_insert(none);
            sum.failures += target.failures;
            sum.age_ms = sum.age_ms.min(target.age_ms);
        }
        for service in &news.returns {
            let none = ExpectedReturns { callers: 0, last_in_ms: 0, ..*service };
            let sum = returns.entry(service.service).or_insert(none);
            sum.callers += service.callers;
            sum.last_in_ms = sum.last_in_ms.max(service.last_in_ms);
        }
        for items in &news.owed {
            let none = OwedItems { items: 0, ..*items };
            owed.entry((items.due_in_ms, items.service)).or_insert(none).items += items.items;
        }
    }
    let mut merged = OverloadNews {
        speeds: speeds.into_values().collect(),
        failing: failing.into_values().collect(),
        usage: Vec::new(),
        returns: returns.into_values().collect(),
        owed: owed.into_values().collect(),
        item_runs: Vec::new(),
    };
    merged.speeds.sort_by_key(|it| it.age_ms);
    merged.failing.sort_by_key(|it| it.age_ms);
    merged
}
