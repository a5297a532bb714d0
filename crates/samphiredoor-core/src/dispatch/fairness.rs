//! Which waiting item is next: fair among workspaces by weight, among the jobs of a workspace, and early for jobs that
//! are due soon.
//!
//! Each workspace and each job has a clock of the slot time that it has had. The one that is furthest behind goes next.
//! Time is charged when it is known, at the end of an attempt, and foreseen from the job's earlier attempts at its
//! start, so that long and short items count for what they take, and a job whose items fail again and again pays for
//! each try. One that comes back after a pause starts level with the others and cannot claim the time it was away.
//!
//! A job that is due soon goes before the other jobs of its workspace, the earliest first. It does not take from other
//! workspaces: due times are the workspace's own word. Within a job the oldest item goes first, so that one that lost
//! its slot goes on before others begin, and few answers stand half done.

use std::collections::{BTreeMap, BTreeSet};

use super::messages::{RequestId, RequestSpec};
use crate::Name;

/// A job rises this long before it is due.
pub(super) const DUE_SOON_MS: u64 = 600_000;

const MAX_WAITING_PER_JOB: usize = 512;
const MAX_WAITING: usize = 8_192;
const FIRST_GUESS_MS: f64 = 1_000.0;
const GUESS_SHARE: f64 = 0.2;

#[derive(Debug, Default)]
struct JobLine {
    waiting: BTreeSet<RequestId>,
    running: u32,
    clock_ms: f64,
    guess_ms: Option<f64>,
    due_unix_ms: Option<u64>,
}

impl JobLine {
    /// Due time of a job that is due soon; jobs that are not come after all that are.
    fn due(&self, unix_ms: u64) -> u64 {
        self.due_unix_ms.filter(|it| *it <= unix_ms + DUE_SOON_MS).unwrap_or(u64::MAX)
    }
}

#[derive(Debug, Default)]
struct WorkspaceLine {
    jobs: BTreeMap<Name, JobLine>,
    clock_ms: f64,
    waiting: usize,
}

/// Items of one service that wait for a slot, bounded for each job and in all.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    workspaces: BTreeMap<Name, WorkspaceLine>,
    waiting: usize,
}

impl FairQueue {
    pub(super) fn len(&self) -> usize {
        self.waiting
    }

    /// Adds an item, if there is room for it.
    pub(super) fn push(&mut self, ask: &RequestSpec) -> bool {
        if self.waiting >= MAX_WAITING || self.waiting_of(ask) >= MAX_WAITING_PER_JOB {
            return false;
        }
        self.push_again(ask);
        true
    }

    /// Adds an item that was let in before.
    pub(super) fn push_again(&mut self, ask: &RequestSpec) {
        let floor_ms = self.least_clock_ms();
        let workspace = self.workspaces.entry(Name::clone(&ask.workspace)).or_default();
        if workspace.jobs.is_empty() {
            workspace.clock_ms = floor_ms;
        }
        let jobs_floor_ms = workspace.jobs.values().map(|it| it.clock_ms).reduce(f64::min);
        let job = workspace.jobs.entry(Name::clone(&ask.job)).or_insert_with(|| JobLine {
            clock_ms: jobs_floor_ms.unwrap_or(0.0),
            ..JobLine::default()
        });
        job.due_unix_ms = ask.due_unix_ms;
        job.waiting.insert(ask.request);
        workspace.waiting += 1;
        self.waiting += 1;
    }

    /// The item that is next.
    pub(super) fn next(&self, unix_ms: u64) -> Option<RequestId> {
        let with_items = self.workspaces.values().filter(|it| it.waiting > 0);
        let workspace = with_items.min_by(|a, b| a.clock_ms.total_cmp(&b.clock_ms))?;
        let with_items = workspace.jobs.values().filter(|it| !it.waiting.is_empty());
        let job = with_items.min_by(|a, b| {
            let by_due = a.due(unix_ms).cmp(&b.due(unix_ms));
            by_due.then(a.clock_ms.total_cmp(&b.clock_ms))
        })?;
        job.waiting.first().copied()
    }

    /// Starts an item that waits; returns the slot time that is charged in advance.
    pub(super) fn start(&mut self, ask: &RequestSpec, weight: u32) -> f64 {
        let Some(workspace) = self.workspaces.get_mut(&ask.workspace) else { return 0.0 };
        let Some(job) = workspace.jobs.get_mut(&ask.job) else { return 0.0 };
        let guess_ms = job.guess_ms.unwrap_or(FIRST_GUESS_MS);
        job.running += 1;
        job.clock_ms += guess_ms;
        workspace.clock_ms += guess_ms / f64::from(weight.max(1));
        self.remove(ask);
        guess_ms
    }

    /// Charges what an attempt took in place of what was charged at its start.
    pub(super) fn ended(&mut self, ask: &RequestSpec, charged_ms: f64, took_ms: u64, weight: u32) {
        let Some(workspace) = self.workspaces.get_mut(&ask.workspace) else { return };
        let Some(job) = workspace.jobs.get_mut(&ask.job) else { return };
        let took_ms = took_ms as f64;
        job.clock_ms += took_ms - charged_ms;
        workspace.clock_ms += (took_ms - charged_ms) / f64::from(weight.max(1));
        let guess_ms = job.guess_ms.unwrap_or(took_ms);
        job.guess_ms = Some(guess_ms + GUESS_SHARE * (took_ms - guess_ms));
        job.running = job.running.saturating_sub(1);
        self.forget_if_empty(ask);
    }

    /// Takes out an item that waits.
    pub(super) fn remove(&mut self, ask: &RequestSpec) {
        let Some(workspace) = self.workspaces.get_mut(&ask.workspace) else { return };
        let Some(job) = workspace.jobs.get_mut(&ask.job) else { return };
        let removed = usize::from(job.waiting.remove(&ask.request));
        workspace.waiting -= removed;
        self.waiting -= removed;
        self.forget_if_empty(ask);
    }

    fn waiting_of(&self, ask: &RequestSpec) -> usize {
        let workspace = self.workspaces.get(&ask.workspace);
        workspace.and_then(|it| it.jobs.get(&ask.job)).map_or(0, |it| it.waiting.len())
    }

    fn least_clock_ms(&self) -> f64 {
        self.workspaces.values().map(|it| it.clock_ms).reduce(f64::min).unwrap_or(0.0)
    }

    /// Lines end with their last item, so that the state stays bounded by the work in hand.
    fn forget_if_empty(&mut self, ask: &RequestSpec) {
        let Some(workspace) = self.workspaces.get_mut(&ask.workspace) else { return };
        if let Some(job) = workspace.jobs.get(&ask.job)
            && job.running == 0
            && job.waiting.is_empty()
        {
            workspace.jobs.remove(&ask.job);
        }
        if workspace.jobs.is_empty() {
            self.workspaces.remove(&ask.workspace);
        }
    }
}
