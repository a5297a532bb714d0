//! Coordinator of rate limits: the token buckets of the workspaces that were assigned to one gateway.

use std::collections::HashMap;

use super::{MAX_RETRY_AFTER_MS, RateLimit, RunGrant, RunReport, TokenBucket, Tolerance};

/// Part of the tolerated excess that a bucket starts with when nothing is known of its workspace. The gateways that knew
/// may all have been lost in the middle of a window, so a full bucket could allow its burst twice.
const INITIAL_EXCESS_PART: f64 = 0.5;
/// Part of the tolerated excess that is the largest debt of a bucket. A coordinator that was cut off or suspended is told
/// of all runs that another one granted meanwhile; without a bound it would refuse requests for as long as that took.
const MAX_DEBT_PART: f64 = 0.5;
/// Windows without a report after which a bucket, and the totals of a gateway, are dropped. The bucket is full by then.
const IDLE_WINDOWS: u64 = 20;

/// What a coordinator has granted to one gateway.
#[derive(Debug, Clone, Copy)]
struct GatewayRuns {
    incarnation: u64,
    sequence: u32,
    granted: u32,
    reported_ms: u64,
}

/// Bucket of one workspace.
#[derive(Debug)]
struct WorkspaceRuns {
    bucket: TokenBucket,
    limit_version: u64,
    created_ms: u64,
    gateways: HashMap<u64, GatewayRuns>,
    /// Time until which refused callers were told to wait.
    promised_until_ms: f64,
}

/// Grants runs of workspaces to gateways.
#[derive(Debug)]
pub struct RateCoordinator {
    tolerance: Tolerance,
    workspaces: HashMap<u64, WorkspaceRuns>,
    swept_ms: u64,
}

impl RateCoordinator {
    /// Creates a coordinator that knows of no runs.
    pub fn new(tolerance: Tolerance) -> RateCoordinator {
        RateCoordinator { tolerance, workspaces: HashMap::new(), swept_ms: 0 }
    }

    /// Answers a report; `None` if a later one of the same gateway has been answered.
    pub fn report(&mut self, now_ms: u64, report: &RunReport) -> Option<RunGrant> {
        self.sweep(now_ms);
        let tolerance = self.tolerance;
        let runs = self.workspaces.entry(report.workspace);
        let runs = runs.or_insert_with(|| WorkspaceRuns::new(now_ms, report, tolerance));
        runs.report(now_ms, report, tolerance)
    }

    fn sweep(&mut self, now_ms: u64) {
        let idle_ms = self.tolerance.window_ms * IDLE_WINDOWS;
        if now_ms < self.swept_ms + idle_ms {
            return;
        }
        self.swept_ms = now_ms;
        self.workspaces.retain(|_, it| {
            it.gateways.retain(|_, it| now_ms < it.reported_ms + idle_ms);
            !it.gateways.is_empty()
        });
    }
}

impl WorkspaceRuns {
    fn new(now_ms: u64, report: &RunReport, tolerance: Tolerance) -> WorkspaceRuns {
        let tokens = tolerance.excess_runs(report.limit) * INITIAL_EXCESS_PART;
        WorkspaceRuns {
            bucket: TokenBucket::new(now_ms, report.limit, tokens),
            limit_version: report.limit_version,
            created_ms: now_ms,
            gateways: HashMap::new(),
            promised_until_ms: 0.0,
        }
    }

    fn report(
        &mut self,
        now_ms: u64,
        report: &RunReport,
        tolerance: Tolerance,
    ) -> Option<RunGrant> {
        self.update_limit(now_ms, report);
        let known = self.gateways.get(&report.gateway).copied();
        let known = known.filter(|it| it.incarnation >= report.incarnation);
        if known
            .is_some_and(|it| it.incarnation > report.incarnation || it.sequence > report.sequence)
        {
            return None;
        }
        // The runs before the first report came at unknown times; the initial tokens allow for them.
        let before = known.map_or(report.used, |it| it.granted);
        let granted = self.settle(now_ms, report, before, tolerance);
        let state = GatewayRuns {
            incarnation: report.incarnation,
            sequence: report.sequence,
            granted,
            reported_ms: now_ms,
        };
        self.gateways.insert(report.gateway, state);
        Some(RunGrant {
            workspace: report.workspace,
            sequence: report.sequence,
            granted,
            retry_after_ms: self.retry_after_ms(now_ms, report.wanted.saturating_sub(granted)),
            is_new: now_ms < self.created_ms + tolerance.window_ms,
        })
    }

    fn update_limit(&mut self, now_ms: u64, report: &RunReport) {
        if report.limit_version > self.limit_version {
            self.limit_version = report.limit_version;
            if report.limit != self.limit() {
                self.bucket.set_limit(now_ms, report.limit);
            }
        }
    }

    fn limit(&self) -> RateLimit {
        self.bucket.limit()
    }

    /// Charges what was used without a grant, takes back what was granted in vain, and grants what is wanted as far as
    /// there are tokens. Returns the new total of granted runs.
    fn settle(
        &mut self,
        now_ms: u64,
        report: &RunReport,
        granted: u32,
        tolerance: Tolerance,
    ) -> u32 {
        let wanted = report.wanted.max(report.used);
        if granted > wanted {
            self.bucket.put_back(now_ms, granted - wanted);
            return wanted;
        }
        let ungranted = report.used.saturating_sub(granted);
        let max_debt = tolerance.excess_runs(self.limit()) * MAX_DEBT_PART;
        self.bucket.charge(now_ms, ungranted, max_debt);
        let granted = granted + ungranted;
        granted + self.bucket.take(now_ms, wanted - granted)
    }

    /// When the first of the refused callers should come back. Each gets a time of its own, one interval of the rate
    /// after the one before, so that they do not all come back for the same token.
    fn retry_after_ms(&mut self, now_ms: u64, refused: u32) -> u32 {
        if refused == 0 {
            return 0;
        }
        let now = now_ms as f64;
        let interval_ms = self.limit().interval_ms();
        let first = (now + self.bucket.wait_ms(now_ms)).max(self.promised_until_ms + interval_ms);
        let latest = now + MAX_RETRY_AFTER_MS as f64;
        self.promised_until_ms = (first + interval_ms * f64::from(refused - 1)).min(latest);
        (first.min(latest) - now).ceil() as u32
    }
}
