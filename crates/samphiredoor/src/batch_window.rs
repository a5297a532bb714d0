//! Bounds the items of a job that ask for a slot at once.
//!
//! The ledger hands out whole chunks. What is above the window waits here, as data, and asks when another item of the
//! job has ended; so the dispatcher holds a bounded number of asks for each job, however large the job is.

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
};

use samphiredoor_core::ledger::{ItemRef, ItemWork, JobId};

/// Items of one job that run or ask for a slot.
const WINDOW: usize = 128;

#[derive(Default)]
struct JobWindow {
    asking: usize,
    held_back: VecDeque<Box<ItemWork>>,
}

/// Windows of all jobs.
#[derive(Default)]
pub struct BatchWindow {
    jobs: RefCell<HashMap<JobId, JobWindow>>,
}

impl BatchWindow {
    /// Takes an item; gives it back if it may ask now.
    pub fn enter(&self, work: Box<ItemWork>) -> Option<Box<ItemWork>> {
        let mut jobs = self.jobs.borrow_mut();
        let window = jobs.entry(JobId::clone(&work.item.job)).or_default();
        if window.asking >= WINDOW {
            window.held_back.push_back(work);
            return None;
        }
        window.asking += 1;
        Some(work)
    }

    /// Ends an item; returns the one that may ask in its place.
    pub fn leave(&self, job: &JobId) -> Option<Box<ItemWork>> {
        let mut jobs = self.jobs.borrow_mut();
        let window = jobs.get_mut(job)?;
        if let Some(next) = window.held_back.pop_front() {
            return Some(next);
        }
        window.asking -= 1;
        if window.asking == 0 {
            jobs.remove(job);
        }
        None
    }

    /// Takes out an item that was held back and is not to run; tells whether it was here.
    pub fn remove(&self, item: &ItemRef) -> bool {
        let mut jobs = self.jobs.borrow_mut();
        let Some(window) = jobs.get_mut(&item.job) else { return false };
        let before = window.held_back.len();
        window.held_back.retain(|it| it.item != *item);
        window.held_back.len() < before
    }
}
