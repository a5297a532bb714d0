//! The jobs that this process works on, and how to speak to their tasks.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use samphiredoor_core::ordered::JobName;

use super::job_task::JobMessage;

/// How long a job that was closed here is remembered, so that an older state of the store does not bring it back.
const CLOSED_JOB_RETENTION: Duration = Duration::from_secs(60);

/// Handle to the jobs that this process works on.
#[derive(Clone, Default)]
pub struct Directory {
    open: Rc<RefCell<HashMap<JobName, flume::Sender<JobMessage>>>>,
    closed: Rc<RefCell<HashMap<JobName, Instant>>>,
}

impl Directory {
    /// Adds a job; `None` if it is here already.
    pub fn open(
        &self,
        job: &JobName,
    ) -> Option<(flume::Sender<JobMessage>, flume::Receiver<JobMessage>)> {
        let mut open = self.open.borrow_mut();
        if open.contains_key(job) {
            return None;
        }
        let (messages, inbox) = flume::unbounded();
        open.insert(JobName::clone(job), messages.clone());
        self.closed.borrow_mut().remove(job);
        Some((messages, inbox))
    }

    /// Removes a job whose task has ended because another process has or may have it.
    pub fn remove(&self, job: &JobName) {
        self.open.borrow_mut().remove(job);
    }

    /// Removes a job that is over for everybody.
    pub fn close(&self, job: &JobName) {
        self.remove(job);
        let mut closed = self.closed.borrow_mut();
        closed.retain(|_, at| at.elapsed() < CLOSED_JOB_RETENTION);
        closed.insert(JobName::clone(job), Instant::now());
    }

    /// Whether a job that is over was closed here lately.
    pub fn was_recently_closed(&self, job: &str) -> bool {
        self.closed.borrow().get(job).is_some_and(|it| it.elapsed() < CLOSED_JOB_RETENTION)
    }

    /// Speaks to a job's task; `false` if the job is not here.
    pub fn send(&self, job: &str, message: JobMessage) -> bool {
        let open = self.open.borrow();
        open.get(job).is_some_and(|it| it.send(message).is_ok())
    }

    /// Whether a job is here.
    pub fn has(&self, job: &str) -> bool {
        self.open.borrow().contains_key(job)
    }

    /// Number of jobs that are here.
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Has all jobs handed over.
    pub fn hand_over_all(&self) {
        for messages in self.open.borrow().values() {
            // A task that has just ended needs no message.
            let _ = messages.send(JobMessage::HandOver);
        }
    }
}
