//! The log of a job's results, and those who read it.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use samphiredoor_core::{
    ordered::{ItemResult, LogStep, header_key},
    store::{StoreAnswer, StoreOp},
};

use super::{JobMessage, JobTask, Phase, ReadReply, Reader};
use crate::{edge::ResultsPage, jobs::STORE_RETRY_PAUSE};

/// Shortest time between two looks for segments of other processes; callers ask twice a second.
const FOREIGN_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// How late a write that was not answered may take effect.
const MAX_WRITE_DELAY: Duration = Duration::from_secs(6);
/// Longest pause before the store is asked again.
const MAX_STORE_RETRY_PAUSE: Duration = Duration::from_millis(1_200);
/// Bytes of texts in one page of results.
const PAGE_BYTES: usize = 900_000;

impl JobTask {
    pub(super) fn advance_log(&mut self, now: Instant) {
        let due = self.write_at.is_some_and(|it| it <= now);
        let reading = !self.log.is_read() && self.write_at.is_none();
        if self.log_call_in_flight || !self.is_active() || !(due || reading) {
            return;
        }
        self.write_at = None;
        if due {
            self.queue_outputs(now);
        }
        let step = self.log.step();
        self.run_log_step(step);
    }

    pub(super) fn run_log_step(&mut self, step: LogStep) {
        match step {
            LogStep::Store(op) => {
                self.log_call_in_flight = true;
                self.spawn_store_call(op, JobMessage::LogCallAnswered);
            }
            LogStep::Pause => {
                self.store_failures += 1;
                self.write_at = Some(Instant::now() + self.store_pause());
            }
            LogStep::Idle => {}
        }
    }

    /// Pause before the store is asked again. A call that is refused is paid for as well, and each job makes its own.
    pub(super) fn store_pause(&self) -> Duration {
        STORE_RETRY_PAUSE.saturating_mul(1 << self.store_failures.min(4)).min(MAX_STORE_RETRY_PAUSE)
    }

    pub(super) fn spawn_store_call(&self, op: StoreOp, message: fn(StoreAnswer) -> JobMessage) {
        let (env, messages) = (Rc::clone(&self.env), self.messages.clone());
        compio::runtime::spawn(async move {
            let answer = env.call(op).await;
            // Fails only when the job's task has ended.
            let _ = messages.send(message(answer));
        })
        .detach();
    }

    pub(super) fn log_call_answered(&mut self, answer: &StoreAnswer) {
        self.log_call_in_flight = false;
        let before = self.log.standing().len();
        let step = self.log.answered(answer);
        if let Some(since) = self.foreign_check_at
            && *answer == StoreAnswer::Absent
        {
            self.end_confirmed_at = since;
        }
        // Results that have come meanwhile wait for others again.
        match step {
            LogStep::Store(StoreOp::Create { .. }) => {
                let at = Instant::now() + self.write_delay();
                self.write_at.get_or_insert(at);
            }
            step => self.run_log_step(step),
        }
        let standing = self.log.standing().len();
        if !matches!(answer, StoreAnswer::Unavailable | StoreAnswer::Unknown) {
            self.store_failures = 0;
        }
        if standing > before {
            log::info!(job = &*self.ownership.job, standing, items = self.items.len(); "job: results stand");
        }
        if self.log.take_foreign() && self.items_started {
            self.spawn_store_call(
                StoreOp::Get { key: header_key(&self.ownership.job) },
                JobMessage::HeaderRead,
            );
        }
    }

    pub(super) fn header_answered(&mut self, answer: &StoreAnswer) {
        if self.names_this_process(answer) == Some(false) {
            self.lose_ownership();
        }
    }

    pub(super) fn answer_readers(&mut self, now: Instant) {
        if !self.log.is_read() && !self.items_started {
            return;
        }
        let readers = std::mem::take(&mut self.readers);
        for reader in readers {
            match self.reply_to(&reader, now) {
                // A reader that has gone needs no answer.
                Some(reply) => drop(reader.reply.send(reply)),
                None => self.readers.push(reader),
            }
        }
        self.check_for_foreign_segments();
    }

    pub(super) fn reply_to(&self, reader: &Reader, now: Instant) -> Option<ReadReply> {
        let standing = self.log.standing().len();
        if reader.after < standing || self.is_complete() {
            return Some(ReadReply::Page(self.page(reader.after.min(standing))));
        }
        let is_checked = !self.may_have_other_writers() || self.end_confirmed_at >= reader.arrived;
        let is_over = now >= reader.until || !self.is_active();
        match (is_over, is_checked && reader.after == standing) {
            (true, true) => Some(ReadReply::Page(self.page(reader.after))),
            (true, false) => Some(ReadReply::UseStore),
            (false, _) => None,
        }
    }

    /// Whether another process may append to the log. A former owner does until it learns that it is one, and readers
    /// that have seen its results there must find them here. A process that does not hear most others may itself be such
    /// a former owner.
    pub(super) fn may_have_other_writers(&self) -> bool {
        self.may_be_taken || self.former_owner_may_write() || !self.env.roster.hears_most()
    }

    /// Whether a former owner may still append. One that has started anew does not, but for a last write that may take
    /// effect late.
    fn former_owner_may_write(&self) -> bool {
        let Some(former) = &self.ownership.header.former else { return false };
        let is_gone = former.process == *self.env.name
            || self.env.roster.has_restarted(&former.process, former.incarnation);
        !is_gone || self.started_at.elapsed() < MAX_WRITE_DELAY
    }

    /// Looks for segments of others while somebody waits for more results.
    pub(super) fn check_for_foreign_segments(&mut self) {
        let wanted = self.readers.iter().any(|it| it.arrived > self.end_confirmed_at);
        let paused = self.foreign_check_at.is_some_and(|it| it.elapsed() < FOREIGN_CHECK_INTERVAL);
        if wanted
            && !paused
            && self.may_have_other_writers()
            && self.is_active()
            && !self.log_call_in_flight
        {
            self.foreign_check_at = Some(Instant::now());
            self.log.reread();
            let step = self.log.step();
            self.run_log_step(step);
        }
    }

    pub(super) fn is_active(&self) -> bool {
        matches!(self.phase, Phase::Running | Phase::HandingOver(_))
    }

    pub(super) fn page(&self, after: usize) -> ResultsPage {
        let results = page_of(&self.log.standing()[after..]);
        ResultsPage { total: self.items.len() as usize, next: after + results.len(), results }
    }
}

/// As many results as fit into one page, at least one if there is one.
pub fn page_of(results: &[ItemResult]) -> Vec<ItemResult> {
    let mut bytes = 0;
    let fitting = results.iter().enumerate().take_while(|(index, it)| {
        bytes += it.text.len();
        *index == 0 || bytes <= PAGE_BYTES
    });
    fitting.map(|(_, it)| it.clone()).collect()
}
