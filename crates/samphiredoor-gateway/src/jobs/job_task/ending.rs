//! How a job ends here: finished, ended by its caller, lost to another process, or handed over.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use samphiredoor_core::{
    ordered::{JobName, header_key},
    store::{Labels, StoreAnswer, StoreOp},
};

use super::{JobMessage, JobTask, Phase};
use crate::jobs::{STORE_PAUSE, sweep};

/// How long a finished job is kept in memory for those who read it; later reads come from the store, a call for each
/// segment at each gateway that is asked.
const LINGER: Duration = Duration::from_secs(60);

impl JobTask {
    /// Ends the job; says whether that holds for everybody. A job that is being handed over is not this process's to end.
    pub(super) fn ended(&mut self) -> bool {
        if self.is_active() {
            self.stop_runs();
            self.close("ended");
        }
        self.owned.header.finished
    }

    pub(super) fn lost(&mut self) {
        log::info!(job = &*self.owned.job; "job: another process owns it");
        self.env.metrics.job_event("lost");
        self.stop_runs();
        self.phase = Phase::Over;
    }

    pub(super) fn stop_runs(&mut self) {
        self.runs.clear();
        self.again.clear();
    }

    /// Marks the job as one that nobody needs to take.
    pub(super) fn close(&mut self, how: &'static str) {
        log::info!(job = &*self.owned.job, how, results = self.log.committed().len(); "job: closed");
        self.env.metrics.job_event(how);
        self.phase = Phase::Closing;
        self.owned.header.finished = true;
        self.write_header();
    }

    /// Cuts all runs: what they have put out goes to the next owner, where they go on after their last event.
    pub(super) fn release(&mut self) {
        if self.phase == Phase::Working {
            self.stop_runs();
            self.phase = Phase::Releasing(Instant::now());
        }
    }

    pub(super) fn hand_over(&mut self, now: Instant, until: Instant) {
        if self.is_complete() {
            return self.close("finished");
        }
        if now < until {
            return;
        }
        if self.calling || self.give_outputs(now) || !self.log.is_flushed() {
            // Results wait for others to share a write; now everything waits for them.
            self.write_at = Some(now);
            self.phase = Phase::Releasing(now + STORE_PAUSE);
            return;
        }
        log::info!(job = &*self.owned.job, outputs = self.outputs.len(); "job: handed over");
        self.env.metrics.job_event("handed_over");
        self.phase = Phase::Closing;
        self.owned.header.owner.process.clear();
        self.write_header();
    }

    pub(super) fn write_header(&self) {
        let (key, version) = (header_key(&self.owned.job), self.owned.version);
        let (labels, value) = (Labels::new(), self.owned.header.value());
        self.call(StoreOp::Update { key, version, labels, value }, JobMessage::HeaderWritten);
    }

    pub(super) fn header_written(&mut self, answer: &StoreAnswer) {
        let handed_over = self.owned.header.owner.process.is_empty();
        match answer {
            StoreAnswer::Object(_) if handed_over => {
                self.phase = Phase::Over;
                let (env, job) = (Rc::clone(&self.env), JobName::clone(&self.owned.job));
                compio::runtime::spawn(sweep::offer(env, job)).detach();
            }
            // In doubt or refused: a job that stays marked as open is only looked at once more by a later owner.
            _ if handed_over => self.phase = Phase::Over,
            StoreAnswer::Unavailable | StoreAnswer::Unknown => {
                log::info!(job = &*self.owned.job; "job: not marked as finished");
                self.phase = Phase::Lingering(Instant::now() + LINGER);
            }
            _ => self.phase = Phase::Lingering(Instant::now() + LINGER),
        }
    }
}
