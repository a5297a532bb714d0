//! Cache of job owners, filled from the statuses and summaries of other gateways.
//!
//! It saves each gateway a read of the store for each job. A stale entry costs a call to a gateway that then reads the
//! store itself.

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    rc::Rc,
};

use samphiredoor_core::{Name, ordered::JobName};

/// Most jobs in the cache. A fleet of a hundred gateways accepts about ten jobs a second, and callers read results for
/// some minutes.
const MAX_JOBS: usize = 2_000;

/// The process incarnation that owns a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Owner {
    /// Name of the process.
    pub process: Name,
    /// Incarnation of the process; a restart has a higher one.
    pub incarnation: u64,
}

#[derive(Debug, Default)]
struct Cache {
    owners: HashMap<JobName, Owner>,
    /// Jobs in order of insertion, oldest first, for eviction.
    order: VecDeque<JobName>,
}

/// Handle to the cache; clones share it.
#[derive(Clone, Default)]
pub struct JobOwners {
    cache: Rc<RefCell<Cache>>,
}

impl JobOwners {
    /// Stores the owner of a job, and evicts the oldest job when the cache is full.
    pub fn record(&self, job: &JobName, owner: Owner) {
        let mut cache = self.cache.borrow_mut();
        if cache.owners.insert(JobName::clone(job), owner).is_none() {
            cache.order.push_back(JobName::clone(job));
        }
        if cache.order.len() > MAX_JOBS
            && let Some(oldest) = cache.order.pop_front()
        {
            cache.owners.remove(&oldest);
        }
    }

    /// Last reported owner of a job.
    pub fn get(&self, job: &str) -> Option<Owner> {
        self.cache.borrow().owners.get(job).cloned()
    }
}
