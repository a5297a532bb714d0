//! The ways in which a job leaves this process: finished, cancelled by its caller, taken over by another process, or
//! handed over.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use samphiredoor_core::{
    ordered::{JobName, header_key},
    store::{Labels, StoreAnswer, StoreOp},
};

use super::{JobMessage, JobTask, Phase};
use crate::jobs::{STORE_RETRY_PAUSE, item_run::ANSWER_WAIT, orphan_scan};

/// How long a finished job stays in memory for its readers. Later reads are served from the store, with one call for
/// each segment at each gateway that is asked.
const FINISHED_JOB_RETENTION: Duration = Duration::from_secs(60);

impl JobTask {
    /// Cancels the job, and returns whether no process will run it any more. That is `false` while its handover is
    /// being written, as this process can no longer stop that.
    pub(super) fn cancel(&mut self) -> bool {
        if self.is_active() {
            self.stop_runs();
            self.close("ended");
        }
        self.ownership.header.finished
    }

    pub(super) fn lose_ownership(&mut self) {
        log::info!(job = &*self.ownership.job; "job: another process owns it");
        self.env.metrics.job_event("lost");
        // This process no longer knows whether the job is closed; its owner answers cancellations.
        self.ownership.header.finished = false;
        self.stop_runs();
        self.drop_outputs();
        self.phase = Phase::Done;
    }

    pub(super) fn stop_runs(&mut self) {
        let awaits_answer =
            |item: &&u32| self.outputs.get(item).is_some_and(|it| it.borrow().awaits_answer());
        let unanswered = self.runs.keys().filter(awaits_answer).count();
        if unanswered > 0 {
            (0..unanswered).for_each(|_| self.env.metrics.item_unanswered("stopped"));
            log::info!(
                job = &*self.ownership.job, runs = self.runs.len(), unanswered;
                "job: runs stopped before their targets had answered"
            );
        }
        self.runs.clear();
        self.retries.clear();
    }

    /// Stops the runs, except those whose targets have not answered yet. Those end with the answer: if it is a failure that nobody
    /// reads, the item would be sent again.
    pub(super) fn interrupt_runs(&mut self) {
        self.retries.clear();
        let outputs = &self.outputs;
        self.runs.retain(|item, _| {
            outputs.get(item).is_some_and(|it| it.borrow_mut().stop_once_answered())
        });
    }

    /// Marks the job as finished in its header, so that no process takes it over.
    pub(super) fn close(&mut self, how: &'static str) {
        log::info!(job = &*self.ownership.job, how, results = self.log.committed().len(); "job: closed");
        self.env.metrics.job_event(how);
        self.drop_outputs();
        self.phase = Phase::Closing;
        self.ownership.header.finished = true;
        self.write_header();
    }

    /// Stops all runs, and waits a moment for the answers of targets that have not answered yet. Partial outputs are saved, and
    /// the next owner resumes the items after their last event.
    pub(super) fn begin_handover(&mut self) {
        if self.phase == Phase::Running {
            self.interrupt_runs();
            let wait = if self.runs.is_empty() { Duration::ZERO } else { ANSWER_WAIT };
            self.phase = Phase::HandingOver(Instant::now() + wait);
        }
    }

    pub(super) fn hand_over(&mut self, now: Instant, until: Instant) {
        if self.is_complete() {
            return self.close("finished");
        }
        if now < until {
            return;
        }
        self.stop_runs();
        if self.log_call.is_some() || self.queue_outputs(now) || !self.log.is_flushed() {
            // Writes the pending results at once instead of batching them, as the handover waits for them.
            self.write_at = Some(now);
            self.phase = Phase::HandingOver(now + STORE_RETRY_PAUSE);
            return;
        }
        log::info!(job = &*self.ownership.job, outputs = self.outputs.len(); "job: handed over");
        self.env.metrics.job_event("handed_over");
        self.phase = Phase::Closing;
        self.ownership.header.owner.process.clear();
        self.write_header();
    }

    pub(super) fn write_header(&self) {
        let (key, version) = (header_key(&self.ownership.job), self.ownership.version);
        let (labels, value) = (Labels::new(), self.ownership.header.value());
        self.spawn_store_call(
            StoreOp::Update { key, version, labels, value },
            JobMessage::HeaderWritten,
        );
    }

    pub(super) fn header_written(&mut self, answer: &StoreAnswer) {
        let handed_over = self.ownership.header.owner.process.is_empty();
        match answer {
            StoreAnswer::Object(_) if handed_over => {
                self.phase = Phase::Done;
                let (env, job) = (Rc::clone(&self.env), JobName::clone(&self.ownership.job));
                compio::runtime::spawn(orphan_scan::offer(env, job)).detach();
            }
            // The write was refused or its outcome is unknown. That is harmless: a later owner checks a job that stays
            // open once more, and continues it if items are left.
            _ if handed_over => self.phase = Phase::Done,
            StoreAnswer::Conflict | StoreAnswer::Absent => self.lose_ownership(),
            StoreAnswer::Object(_) => {
                self.finish_written = true;
                self.retain();
            }
            _ => {
                log::info!(job = &*self.ownership.job; "job: could not be marked as finished");
                self.retain();
            }
        }
    }

    /// Goes on answering readers for some time.
    fn retain(&mut self) {
        self.phase = Phase::Retained(Instant::now() + FINISHED_JOB_RETENTION);
        self.items.drop_requests();
        self.memory = None;
    }
}
