//! Queue of a service's batch items: fair among workspaces by weight and among the jobs of a workspace, with priority
//! for jobs that are due soon.
//!
//! Each workspace and each job has a virtual time, the slot time that it has used. The one with the lowest goes next. An
//! estimate from the job's earlier attempts is charged at the start of an attempt and replaced by the actual time at its
//! end. So items count by the time that they take, and a job whose items fail repeatedly is charged for each attempt. A
//! workspace or job that was idle starts at the lowest virtual time of the others and gets no credit for the idle time.
//!
//! A job that is due soon goes before the other jobs of its workspace, the earliest due time first. It does not get
//! ahead of other workspaces, because each workspace sets its own due times. Within a job the oldest item goes first, so
//! that a preempted item is resumed before others start and few answers are left unfinished.

use std::collections::{BTreeMap, BTreeSet};

use super::messages::{RequestId, RequestSpec};
use crate::Name;

/// A job gets priority this long before it is due.
pub(super) const DUE_SOON_MS: u64 = 600_000;

const MAX_WAITING_PER_JOB: usize = 512;
const MAX_WAITING: usize = 8_192;
/// Estimated slot time of an item until an attempt of its job has ended.
const INITIAL_ESTIMATE_MS: f64 = 1_000.0;
/// Weight of a new attempt in the moving average of a job's slot time.
const ESTIMATE_WEIGHT: f64 = 0.2;

/// Items of one job.
#[derive(Debug, Default)]
struct JobQueue {
    waiting: BTreeSet<RequestId>,
    running: u32,
    virtual_time_ms: f64,
    estimate_ms: Option<f64>,
    due_unix_ms: Option<u64>,
}

impl JobQueue {
    /// Due time of a job that is due soon; `u64::MAX` for all others, so that they come after those.
    fn priority_due_ms(&self, unix_ms: u64) -> u64 {
        self.due_unix_ms.filter(|it| *it <= unix_ms + DUE_SOON_MS).unwrap_or(u64::MAX)
    }
}

/// Jobs of one workspace.
#[derive(Debug, Default)]
struct WorkspaceQueue {
    jobs: BTreeMap<Name, JobQueue>,
    virtual_time_ms: f64,
    waiting: usize,
}

/// Batch items of one service that wait for a slot, bounded per job and in total.
#[derive(Debug, Default)]
pub(super) struct BatchQueue {
    workspaces: BTreeMap<Name, WorkspaceQueue>,
    waiting: usize,
}

impl BatchQueue {
    pub(super) fn len(&self) -> usize {
        self.waiting
    }

    /// Adds a new item. Returns `false` if the bounds do not allow it.
    pub(super) fn push(&mut self, spec: &RequestSpec) -> bool {
        if self.waiting >= MAX_WAITING || self.waiting_of(spec) >= MAX_WAITING_PER_JOB {
            return false;
        }
        self.requeue(spec);
        true
    }

    /// Adds an item that has been admitted before, regardless of the bounds.
    pub(super) fn requeue(&mut self, spec: &RequestSpec) {
        let min_time_ms = self.min_virtual_time_ms();
        let workspace = self.workspaces.entry(Name::clone(&spec.workspace)).or_default();
        if workspace.jobs.is_empty() {
            workspace.virtual_time_ms = min_time_ms;
        }
        let min_job_time_ms = workspace.jobs.values().map(|it| it.virtual_time_ms).reduce(f64::min);
        let job = workspace.jobs.entry(Name::clone(&spec.job)).or_insert_with(|| JobQueue {
            virtual_time_ms: min_job_time_ms.unwrap_or(0.0),
            ..JobQueue::default()
        });
        job.due_unix_ms = spec.due_unix_ms;
        job.waiting.insert(spec.request);
        workspace.waiting += 1;
        self.waiting += 1;
    }

    /// The item that is to run next.
    pub(super) fn next(&self, unix_ms: u64) -> Option<RequestId> {
        let non_empty = self.workspaces.values().filter(|it| it.waiting > 0);
        let workspace = non_empty.min_by(|a, b| a.virtual_time_ms.total_cmp(&b.virtual_time_ms))?;
        let non_empty = workspace.jobs.values().filter(|it| !it.waiting.is_empty());
        let job = non_empty.min_by(|a, b| {
            let by_due = a.priority_due_ms(unix_ms).cmp(&b.priority_due_ms(unix_ms));
            by_due.then(a.virtual_time_ms.total_cmp(&b.virtual_time_ms))
        })?;
        job.waiting.first().copied()
    }

    /// Removes a waiting item that is about to run, and returns the estimated slot time that it is charged.
    pub(super) fn start(&mut self, spec: &RequestSpec, weight: u32) -> f64 {
        let Some(workspace) = self.workspaces.get_mut(&spec.workspace) else { return 0.0 };
        let Some(job) = workspace.jobs.get_mut(&spec.job) else { return 0.0 };
        let estimate_ms = job.estimate_ms.unwrap_or(INITIAL_ESTIMATE_MS);
        job.running += 1;
        job.virtual_time_ms += estimate_ms;
        workspace.virtual_time_ms += estimate_ms / f64::from(weight.max(1));
        self.remove(spec);
        estimate_ms
    }

    /// Replaces the estimate that was charged at the start of an attempt by the time that it took.
    pub(super) fn attempt_ended(
        &mut self,
        spec: &RequestSpec,
        charged_ms: f64,
        took_ms: u64,
        weight: u32,
    ) {
        let Some(workspace) = self.workspaces.get_mut(&spec.workspace) else { return };
        let Some(job) = workspace.jobs.get_mut(&spec.job) else { return };
        let took_ms = took_ms as f64;
        job.virtual_time_ms += took_ms - charged_ms;
        workspace.virtual_time_ms += (took_ms - charged_ms) / f64::from(weight.max(1));
        let estimate_ms = job.estimate_ms.unwrap_or(took_ms);
        job.estimate_ms = Some(estimate_ms + ESTIMATE_WEIGHT * (took_ms - estimate_ms));
        job.running = job.running.saturating_sub(1);
        self.remove_if_empty(spec);
    }

    /// Removes a waiting item.
    pub(super) fn remove(&mut self, spec: &RequestSpec) {
        let Some(workspace) = self.workspaces.get_mut(&spec.workspace) else { return };
        let Some(job) = workspace.jobs.get_mut(&spec.job) else { return };
        let removed = usize::from(job.waiting.remove(&spec.request));
        workspace.waiting -= removed;
        self.waiting -= removed;
        self.remove_if_empty(spec);
    }

    fn waiting_of(&self, spec: &RequestSpec) -> usize {
        let workspace = self.workspaces.get(&spec.workspace);
        workspace.and_then(|it| it.jobs.get(&spec.job)).map_or(0, |it| it.waiting.len())
    }

    fn min_virtual_time_ms(&self) -> f64 {
        self.workspaces.values().map(|it| it.virtual_time_ms).reduce(f64::min).unwrap_or(0.0)
    }

    /// Removes the item's job, and then its workspace, if nothing of it waits or runs, so that the state is bounded by
    /// the work in progress.
    fn remove_if_empty(&mut self, spec: &RequestSpec) {
        let Some(workspace) = self.workspaces.get_mut(&spec.workspace) else { return };
        if let Some(job) = workspace.jobs.get(&spec.job)
            && job.running == 0
            && job.waiting.is_empty()
        {
            workspace.jobs.remove(&spec.job);
        }
        if workspace.jobs.is_empty() {
            self.workspaces.remove(&spec.workspace);
        }
    }
}
