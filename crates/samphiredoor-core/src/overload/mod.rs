//! Decisions of a gateway while there is less capacity than demand.
//!
//! Without overload control a surge makes every request late: requests wait at targets in queues that no gateway sees
//! whole, and all of them start after their latency objective has passed. The modules here decide which requests are
//! admitted, where they go, and when rejected callers should return, so that as many as possible are served in time.
//!
//! Each decision is a module of its own without I/O; the time is an argument. [`Overload`] holds their state for the
//! placement of one gateway. All information from other gateways is a hint: if it is old or missing, decisions get worse,
//! but no request is lost.

pub mod admission;
pub mod batch_admission;
pub mod buffer_budget;
mod caller_buckets;
pub mod capacity;
pub mod fair_share;
pub mod item_runs;
mod messages;
mod recent_count;
pub mod retry_schedule;
pub mod retry_turns;
pub mod slot_schedule;
pub mod target_risk;
pub mod target_speed;

use std::collections::{HashMap, HashSet};

pub use messages::{
    ExpectedReturns, FailingTarget, ItemRunTime, MAX_ENTRIES, OverloadNews, OwedItems, SpeedReport,
    WorkspaceUsage, merge_news,
};

use crate::{
    Name,
    dispatch::Class,
    names::{is_cell_name, name_hash},
    requests::AttemptEnd,
    target_entry::TargetEntry,
};
use admission::Admission;
use batch_admission::BatchAdmission;
use capacity::Capacity;
use fair_share::{CellLoad, FairShare, PeerFigures};
use item_runs::ObservedRuns;
use retry_schedule::{RetrySchedule, still_expected};
use target_risk::TargetRisks;
use target_speed::TargetSpeeds;

/// Time after which the news of a peer that sends nothing more are dropped; peers send at least every 500 ms.
const NEWS_TIMEOUT_MS: u64 = 1_600;

/// For which services overload control is active.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Activation {
    /// For all services.
    Always,
    /// For each service of which a target has reported the speed of its host.
    SpeedReported,
}

/// Settings of overload control.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverloadPolicy {
    /// For which services it is active.
    pub activation: Activation,
    /// Longest wait of an online request for a slot, in percent of its latency objective.
    pub queue_percent: u32,
    /// No request is rejected while fewer of the service's slots are taken, in percent.
    pub min_used_percent: u32,
    /// Shortest retry time of a rejected caller.
    pub min_retry_ms: u64,
    /// Longest retry time of a rejected caller, in percent of the time that it has left.
    pub max_retry_percent: u32,
    /// Whether jobs that cannot be done by their due time are rejected.
    pub reject_late_jobs: bool,
}

impl OverloadPolicy {
    /// Default settings, active as given.
    pub fn new(activation: Activation) -> OverloadPolicy {
        OverloadPolicy {
            activation,
            queue_percent: 25,
            min_used_percent: 50,
            min_retry_ms: 120,
            max_retry_percent: 33,
            reject_late_jobs: true,
        }
    }
}

#[derive(Debug)]
struct PeerNews {
    received_ms: u64,
    news: OverloadNews,
}

/// State of overload control at one gateway.
#[derive(Debug)]
pub struct Overload {
    policy: OverloadPolicy,
    peers: HashMap<Name, PeerNews>,
    /// Measured capacity of a service: how many requests it completes, and when the next slots become free.
    pub capacity: Capacity,
    /// Admission of online requests: whether one is dispatched, waits, or is rejected on arrival.
    pub admission: Admission,
    /// Retry times of rejected callers.
    pub retry_schedule: RetrySchedule,
    /// Fair shares of workspaces in the queue and among rejected requests.
    pub fair_share: FairShare,
    /// How slow each target is at the moment, and in general.
    pub target_speeds: TargetSpeeds,
    /// Whether batch jobs can be done by their due time.
    pub batch_admission: BatchAdmission,
    /// Which targets fail requests, as all gateways of a cell see it.
    pub target_risks: TargetRisks,
    /// Services of which a target has reported the speed of its host.
    reporting: HashSet<Name>,
}

impl Overload {
    /// Creates the state of a gateway that knows nothing of its peers.
    pub fn new(policy: OverloadPolicy) -> Overload {
        Overload {
            policy,
            peers: HashMap::new(),
            capacity: Capacity::default(),
            admission: Admission::default(),
            retry_schedule: RetrySchedule::default(),
            fair_share: FairShare::default(),
            target_speeds: TargetSpeeds::default(),
            target_risks: TargetRisks::default(),
            batch_admission: BatchAdmission::default(),
            reporting: HashSet::new(),
        }
    }

    /// Settings of overload control.
    pub fn policy(&self) -> OverloadPolicy {
        self.policy
    }

    /// Whether overload control is active for a service.
    pub fn is_active(&self, service: &Name) -> bool {
        match self.policy.activation {
            Activation::Always => true,
            Activation::SpeedReported => self.reporting.contains(service),
        }
    }

    /// Whether overload control is active for any service.
    pub fn is_active_anywhere(&self) -> bool {
        self.policy.activation == Activation::Always || !self.reporting.is_empty()
    }

    /// Notes that a target of the service has reported the speed of its host.
    pub fn record_speed_reported(&mut self, service: &Name) {
        if !self.reporting.contains(service) {
            self.reporting.insert(Name::clone(service));
        }
    }

    /// Records what a target of the service has reported about the speed of its host.
    pub fn record_speed(&mut self, now_ms: u64, target: u64, service: &Name, percent: u32) {
        self.target_speeds.record_report(now_ms, target, percent);
        if TargetSpeeds::is_valid(percent) {
            self.record_speed_reported(service);
        }
    }

    /// Latest news of peers and cells that have not timed out.
    pub fn peer_news(&self, now_ms: u64) -> impl Iterator<Item = (&Name, &OverloadNews)> {
        live_news(&self.peers, now_ms)
    }

    /// Work that peers and cells owe.
    pub fn peers_owed(&self, now_ms: u64) -> impl Iterator<Item = OwedItems> {
        self.peer_news(now_ms).flat_map(|(_, news)| news.owed.iter().copied())
    }

    /// Age of the oldest news that are used; `None` without any.
    pub fn oldest_news_ms(&self, now_ms: u64) -> Option<u64> {
        let ages = self.peers.values().map(|it| now_ms.saturating_sub(it.received_ms));
        ages.filter(|age_ms| *age_ms < NEWS_TIMEOUT_MS).max()
    }

    /// Replaces the news of a peer or cell.
    pub fn record_news(&mut self, now_ms: u64, peer: Name, news: OverloadNews) {
        self.target_speeds.record_news(now_ms, &news.speeds);
        self.target_risks.record_news(now_ms, &peer, &news.failing);
        self.peers.retain(|_, it| now_ms < it.received_ms + NEWS_TIMEOUT_MS);
        self.peers.insert(peer, PeerNews { received_ms: now_ms, news });
    }

    /// Callers of the service that other gateways of the cell have told to retry and that are still expected.
    pub fn returns_in_cell(&self, now_ms: u64, service: &Name) -> u32 {
        let key = name_hash(service);
        let peers = self.peers.iter().filter(|(name, _)| !is_cell_name(name));
        let returns = peers.flat_map(|(_, it)| {
            let age_ms = now_ms.saturating_sub(it.received_ms);
            let of_service = it.news.returns.iter().filter(move |it| it.service == key);
            of_service.map(move |it| still_expected(it, age_ms))
        });
        returns.fold(0, u32::saturating_add)
    }

    /// Run time of a whole item of the service, from the own observations and those of peers; 0 if there are none.
    pub fn item_run_ms(&self, now_ms: u64, service: u64, own: ObservedRuns) -> u64 {
        let peers = self.peer_news(now_ms).flat_map(|(_, news)| news.item_runs.iter().copied());
        item_runs::item_run_ms(own, peers.filter(|it| it.service == service))
    }

    /// What this gateway shares with its peers.
    pub fn news(&self, now_ms: u64) -> OverloadNews {
        if !self.is_active_anywhere() {
            return OverloadNews::default();
        }
        OverloadNews {
            returns: self.retry_schedule.returns(now_ms),
            speeds: self.target_speeds.news(now_ms),
            failing: self.target_risks.news(now_ms),
            usage: self.fair_share.news(now_ms),
            ..OverloadNews::default()
        }
    }

    /// Replaces the targets whose speeds and failures are kept.
    pub fn set_targets(&mut self, now_ms: u64, entries: &[TargetEntry]) {
        let keys = entries.iter().map(|it| name_hash(&it.name)).collect();
        self.target_speeds.set_targets(&keys);
        let started = entries.iter().map(|it| (&it.name, it.started_unix_ms));
        self.target_risks.set_targets(now_ms, started);
    }

    /// Records the end of an attempt for a service and class that took `run_ms`; that time is `None` if the attempt resumed
    /// an earlier run.
    pub fn record_end(
        &mut self,
        now_ms: u64,
        kind: (&Name, Class),
        (target, run_ms): (u64, Option<u64>),
        end: AttemptEnd,
    ) {
        let is_error = match (end, run_ms) {
            (AttemptEnd::Answered, Some(run_ms)) => {
                !self.target_speeds.record_run(now_ms, kind, target, run_ms)
            }
            _ => false,
        };
        // An answer that is much too short is probably an error, which is no reason for trust.
        if !is_error && self.is_active_anywhere() {
            self.target_risks.record_end(now_ms, target, end);
        }
    }

    /// Updates the fair shares of workspaces with the latest news of peers. `cell` is the load of the
    /// own cell's targets, `at_targets` returns the online requests that a peer has at targets.
    pub fn refresh_shares(
        &mut self,
        now_ms: u64,
        cell: CellLoad,
        at_targets: impl Fn(&Name) -> Option<u32>,
    ) {
        let mut live: Vec<_> = live_news(&self.peers, now_ms).collect();
        live.sort_unstable_by_key(|(name, _)| *name);
        let figures = live
            .into_iter()
            .map(|(name, news)| PeerFigures { usage: &news.usage, at_targets: at_targets(name) });
        self.fair_share.refresh(now_ms, figures, cell);
    }
}

/// News that have not timed out.
fn live_news(
    peers: &HashMap<Name, PeerNews>,
    now_ms: u64,
) -> impl Iterator<Item = (&Name, &OverloadNews)> {
    let live = peers.iter().filter(move |(_, it)| now_ms < it.received_ms + NEWS_TIMEOUT_MS);
    live.map(|(peer, it)| (peer, &it.news))
}
