//! Which waiting item is next: fair among workspaces by weight, among the jobs of a workspace, and early for jobs that
//! are due soon.
//!
//! Each workspace and each job has a clock of the slot time that it has had. The one that is furthest behind goes next.
//! Time is charged when it is known, at the end of an attempt, and foreseen from the job's earlier attempts at its
//! start, so that long and short items count for what they take, and a job whose items fail again and again pays for
//! each try. One that comes back after a pause starts level with the others and cannot claim the time it was away.
//!
//! A job that is due soon goes before the other jobs of its workspace, the earliest first. It does not take from other
//! workspaces: due times are the workspace's own word.

use std::collections::{BTreeMap, VecDeque};

use super::Ask;
use crate::{Name, time::Now};

/// A job rises this long before it is due.
pub(super) const DUE_SOON_MS: u64 = 600_000;

const FIRST_GUESS_MS: f64 = 1_000.0;
const GUESS_SHARE: f64 = 0.2;

#[derive(Debug, Default)]
struct JobLine {
    waiting: VecDeque<Ask>,
    running: u32,
    clock_ms: f64,
    guess_ms: Option<f64>,
    due_unix_ms: Option<u64>,
}

impl JobLine {
    fn due_soon(&self, now: Now) -> Option<u64> {
        self.due_unix_ms.filter(|it| *it <= now.unix_ms + DUE_SOON_MS)
    }
}

#[derive(Debug, Default)]
struct WorkspaceLine {
    jobs: BTreeMap<Name, JobLine>,
    clock_ms: f64,
    waiting: usize,
}

/// The item that is next, and the slot time that its job was charged in advance.
#[derive(Debug)]
pub(super) struct Next {
    pub(super) ask: Ask,
    pub(super) charged_ms: f64,
}

/// Items of one service that wait for a slot.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    workspaces: BTreeMap<Name, WorkspaceLine>,
    waiting: usize,
}

impl FairQueue {
    pub(super) fn len(&self) -> usize {
        self.waiting
    }

    /// Whether nothing waits and nothing runs.
    pub(super) fn is_idle(&self) -> bool {
        self.workspaces.is_empty()
    }

    pub(super) fn push(&mut self, ask: Ask) {
        self.line(&ask).push_back(ask);
    }

    /// Adds an item that has run before: it goes before the others of its job, so that few answers stand half done.
    pub(super) fn push_first(&mut self, ask: Ask) {
        self.line(&ask).push_front(ask);
    }

    /// Line of an ask's job, with one more item counted.
    fn line(&mut self, ask: &Ask) -> &mut VecDeque<Ask> {
        let floor_ms = self.least_clock_ms();
        let workspace = self.workspaces.entry(Name::clone(&ask.workspace)).or_default();
        if workspace.jobs.is_empty() {
            workspace.clock_ms = workspace.clock_ms.max(floor_ms);
        }
        let jobs_floor_ms = workspace.jobs.values().map(|it| it.clock_ms).reduce(f64::min);
        let job = workspace.jobs.entry(Name::clone(&ask.job)).or_insert_with(|| JobLine {
            clock_ms: jobs_floor_ms.unwrap_or(0.0),
            ..JobLine::default()
        });
        job.due_unix_ms = ask.due_unix_ms;
        workspace.waiting += 1;
        self.waiting += 1;
        &mut job.waiting
    }

    /// Takes the next item; `weight` tells a workspace's share.
    pub(super) fn pop(&mut self, now: Now, weight: impl Fn(&str) -> u32) -> Option<Next> {
        let with_items = self.workspaces.iter_mut().filter(|(_, it)| it.waiting > 0);
        let (name, workspace) = with_items.min_by(|a, b| a.1.clock_ms.total_cmp(&b.1.clock_ms))?;
        let with_items = workspace.jobs.values_mut().filter(|it| !it.waiting.is_empty());
        let job = with_items.min_by(|a, b| {
            let due = |it: &JobLine| it.due_soon(now).unwrap_or(u64::MAX);
            due(a).cmp(&due(b)).then(a.clock_ms.total_cmp(&b.clock_ms))
        })?;
        let ask = job.waiting.pop_front()?;
        let guess_ms = job.guess_ms.unwrap_or(FIRST_GUESS_MS);
        job.running += 1;
        job.clock_ms += guess_ms;
        workspace.clock_ms += guess_ms / f64::from(weight(name).max(1));
        workspace.waiting -= 1;
        self.waiting -= 1;
        Some(Next { ask, charged_ms: guess_ms })
    }

    /// Charges what an attempt took in place of what was charged at its start.
    pub(super) fn ended(&mut self, ask: &Ask, charged_ms: f64, took_ms: u64, weight: u32) {
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

    /// Takes out an item that nobody waits for; tells whether it was here.
    pub(super) fn remove(&mut self, ask: &Ask) -> bool {
        let Some(workspace) = self.workspaces.get_mut(&ask.workspace) else { return false };
        let Some(job) = workspace.jobs.get_mut(&ask.job) else { return false };
        let before = job.waiting.len();
        job.waiting.retain(|it| it.request != ask.request);
        let removed = before - job.waiting.len();
        workspace.waiting -= removed;
        self.waiting -= removed;
        self.forget_if_empty(ask);
        removed > 0
    }

    fn least_clock_ms(&self) -> f64 {
        let active = self.workspaces.values().filter(|it| !it.jobs.is_empty());
        active.map(|it| it.clock_ms).reduce(f64::min).unwrap_or(0.0)
    }

    /// Lines end with their last item, so that the state stays bounded by the work in hand.
    fn forget_if_empty(&mut self, ask: &Ask) {
        let Some(workspace) = self.workspaces.get_mut(&ask.workspace) else { return };
        workspace
            .jobs
            .retain(|name, it| *name != ask.job || it.running > 0 || !it.waiting.is_empty());
        if workspace.jobs.is_empty() {
            self.workspaces.remove(&ask.workspace);
        }
    }
}
