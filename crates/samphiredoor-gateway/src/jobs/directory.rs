//! Directory of the jobs that have a task in this process, for sending messages to those tasks.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use samphiredoor_core::ordered::JobName;

use super::job_task::JobMessage;

/// How long a closed job is remembered, so that a stale read of the store does not make this process take it over
/// again.
const CLOSED_JOB_RETENTION: Duration = Duration::from_secs(60);

/// Shared handle to the jobs that have a task in this process.
#[derive(Clone, Default)]
pub struct Directory {
    open: Rc<RefCell<HashMap<JobName, flume::Sender<JobMessage>>>>,
    closed: Rc<RefCell<HashMap<JobName, Instant>>>,
}

impl Directory {
    /// Adds a job and returns both ends of its message channel; `None` if the job already has a task here.
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

    /// Removes a job that another process owns or may own by now.
    pub fn remove(&self, job: &JobName) {
        self.open.borrow_mut().remove(job);
    }

    /// Removes a job that is finished or cancelled, and remembers that.
    pub fn close(&self, job: &JobName) {
        self.remove(job);
        let mut closed = self.closed.borrow_mut();
        closed.retain(|_, at| at.elapsed() < CLOSED_JOB_RETENTION);
        closed.insert(JobName::clone(job), Instant::now());
    }

    /// Whether this process closed the job within the last minute.
    pub fn was_recently_closed(&self, job: &str) -> bool {
        self.closed.borrow().get(job).is_some_and(|it| it.elapsed() < CLOSED_JOB_RETENTION)
    }

    /// Sends a message to a job's task; `false` if the job has none here.
    pub fn send(&self, job: &str, message: JobMessage) -> bool {
        let open = self.open.borrow();
        open.get(job).is_some_and(|it| it.send(message).is_ok())
    }

    /// Whether a job has a task here.
    pub fn has(&self, job: &str) -> bool {
        self.open.borrow().contains_key(job)
    }

    /// Number of jobs with a task here.
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Makes all tasks hand their jobs over, for a graceful shutdown.
    pub fn hand_over_all(&self) {
        for messages in self.open.borrow().values() {
            // Fails only if the task has just ended.
            let _ = messages.send(JobMessage::HandOver);
        }
    }
}
