//! Whose jobs are, as gateways tell each other.
//!
//! A hint that spares a read of the store for each job at each gateway; a wrong one costs a call to a gateway that then
//! reads the store itself.

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    rc::Rc,
};

use samphiredoor_core::{Name, ordered::JobName};

/// Jobs that are remembered; a fleet of a hundred gateways takes some ten a second, and callers read for some minutes.
const MAX_JOBS: usize = 2_000;

/// One start of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Owner {
    /// Name of the process.
    pub process: Name,
    /// Which start of it.
    pub incarnation: u64,
}

#[derive(Debug, Default)]
struct Known {
    owners: HashMap<JobName, Owner>,
    order: VecDeque<JobName>,
}

/// Handle to the owners that this process has heard of.
#[derive(Clone, Default)]
pub struct JobOwners {
    known: Rc<RefCell<Known>>,
}

impl JobOwners {
    /// Takes word of an owner.
    pub fn learn(&self, job: &JobName, owner: Owner) {
        let mut known = self.known.borrow_mut();
        if known.owners.insert(JobName::clone(job), owner).is_none() {
            known.order.push_back(JobName::clone(job));
        }
        if known.order.len() > MAX_JOBS
            && let Some(oldest) = known.order.pop_front()
        {
            known.owners.remove(&oldest);
        }
    }

    /// Last known owner of a job.
    pub fn get(&self, job: &str) -> Option<Owner> {
        self.known.borrow().owners.get(job).cloned()
    }
}
