//! For how long content ran at targets without a crash, as one gateway sees it.
//!
//! What is lost with targets says how often a suspect met a crash, and nothing of the time in which it met none. Without
//! that time, content that runs at most targets looks like the cause of any crashes in a row.

use std::collections::{BTreeMap, VecDeque};

use smallvec::SmallVec;

use super::Suspect;

/// Time for which runs that have ended are remembered. A suspect is told to all gateways within a second of its second
/// crash, and its runs before the first one do not count.
const REMEMBERED_MS: u64 = 10_000;
/// Most runs that are remembered after their end.
const MAX_ENDED: usize = 1_000;

/// Number of a run at this gateway.
pub type RunId = u64;

/// What a run may crash its target by.
pub type RunSuspects = SmallVec<[Suspect; 4]>;

/// For how long a suspect has run without a crash, over all targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RunTime {
    /// Longest run, in full.
    pub longest_ms: u32,
    /// Time at each target, added up over all of them.
    pub total_ms: u32,
    /// Time up to now to which the total belongs.
    pub period_ms: u32,
}

#[derive(Debug)]
struct Run {
    suspects: RunSuspects,
    /// Hash of the target's address.
    target: u64,
    began_ms: u64,
}

/// Runs of the last seconds.
#[derive(Debug, Default)]
pub struct RunTimes {
    live: BTreeMap<RunId, Run>,
    /// With the times of their ends, in order.
    ended: VecDeque<(u64, Run)>,
    last_id: RunId,
    /// Until when the time of a suspect was told.
    told_ms: BTreeMap<Suspect, u64>,
}

impl RunTimes {
    /// Records that the first output of a run has arrived.
    pub fn began(&mut self, now_ms: u64, suspects: RunSuspects, target: u64) -> RunId {
        self.last_id += 1;
        self.live.insert(self.last_id, Run { suspects, target, began_ms: now_ms });
        self.last_id
    }

    /// Records that a run has ended while its target went on.
    pub fn survived(&mut self, now_ms: u64, id: RunId) {
        let Some(run) = self.live.remove(&id) else { return };
        let is_old = |it: &(u64, Run)| it.0 + REMEMBERED_MS <= now_ms;
        while self.ended.len() >= MAX_ENDED || self.ended.front().is_some_and(is_old) {
            self.ended.pop_front();
        }
        self.ended.push_back((now_ms, run));
    }

    /// Records that a run has ended in a way that says nothing of its target.
    pub fn lost(&mut self, id: RunId) {
        self.live.remove(&id);
    }

    /// Time for which a suspect has run since it was last taken; `None` if it has not.
    pub fn take(&mut self, now_ms: u64, suspect: Suspect) -> Option<RunTime> {
        let told_ms = self.told_ms.insert(suspect, now_ms).unwrap_or(0);
        self.told_ms.retain(|_, it| *it + REMEMBERED_MS > now_ms);
        let since_ms = told_ms.max(now_ms.saturating_sub(REMEMBERED_MS));
        let live = self.live.values().map(|run| (now_ms, run));
        let ended = self.ended.iter().map(|(ended_ms, run)| (*ended_ms, run));
        let runs = live
            .chain(ended)
            .filter(|(ended_ms, run)| *ended_ms > since_ms && run.suspects.contains(&suspect));
        let mut longest_ms = 0;
        let mut at_targets: Vec<(u64, u64, u64)> = Vec::new();
        for (ended_ms, run) in runs {
            longest_ms = longest_ms.max(ended_ms.saturating_sub(run.began_ms));
            at_targets.push((run.target, run.began_ms.max(since_ms), ended_ms));
        }
        let total_ms = time_at_targets(at_targets);
        let run_time = RunTime {
            longest_ms: longest_ms as u32,
            total_ms: total_ms as u32,
            period_ms: (now_ms - since_ms) as u32,
        };
        (total_ms > 0).then_some(run_time)
    }
}

/// Time in which there is a run at a target, added up over all targets. Several runs at one target meet its crash together.
fn time_at_targets(mut runs: Vec<(u64, u64, u64)>) -> u64 {
    runs.sort_unstable();
    let mut total_ms = 0;
    let mut counted = (0, 0);
    for (target, began_ms, ended_ms) in runs {
        let counted_ms = if counted.0 == target { counted.1 } else { 0 };
        total_ms += ended_ms.saturating_sub(began_ms.max(counted_ms));
        counted = (target, ended_ms.max(counted_ms));
    }
    total_ms
}
