//! Items of jobs that wait for lent capacity, bounded for each job and in all, and apart from online requests.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound,
};

use super::RequestId;
use crate::Name;

const MAX_WAITING_PER_JOB: usize = 512;
const MAX_WAITING: usize = 8_192;

/// Waiting items of one service; jobs take turns.
#[derive(Debug, Default)]
pub(super) struct BatchQueue {
    jobs: BTreeMap<Name, BTreeSet<RequestId>>,
    last_job: Option<Name>,
    len: usize,
}

impl BatchQueue {
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Adds an item, if there is room for it.
    pub(super) fn push(&mut self, job: &Name, request: RequestId) -> bool {
        let of_job = self.jobs.get(job).map_or(0, BTreeSet::len);
        if of_job >= MAX_WAITING_PER_JOB || self.len >= MAX_WAITING {
            return false;
        }
        self.jobs.entry(Name::clone(job)).or_default().insert(request);
        self.len += 1;
        true
    }

    /// The item whose turn it is.
    pub(super) fn next(&self) -> Option<RequestId> {
        let after = self.last_job.as_ref().and_then(|last| {
            let behind = (Bound::Excluded(last), Bound::Unbounded);
            self.jobs.range::<Name, _>(behind).next()
        });
        let (_, items) = after.or_else(|| self.jobs.first_key_value())?;
        items.first().copied()
    }

    /// An item of the job is about to run: the next turn is another job's.
    pub(super) fn turn_of(&mut self, job: &Name) {
        self.last_job = Some(Name::clone(job));
    }

    /// Takes an item out.
    pub(super) fn remove(&mut self, job: &Name, request: RequestId) {
        let Some(items) = self.jobs.get_mut(job) else { return };
        self.len -= usize::from(items.remove(&request));
        if items.is_empty() {
            self.jobs.remove(job);
        }
    }
}
