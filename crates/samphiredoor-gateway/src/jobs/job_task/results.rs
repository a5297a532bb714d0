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
use crate::{jobs::STORE_PAUSE, platform_api::ResultsPage};

/// Shortest time between two looks for segments of other processes; callers ask twice a second.
const CHECK_PAUSE: Duration = Duration::from_millis(300);
/// How late a write that was not answered may take effect.
const LATE_WRITE: Duration = Duration::from_secs(6);
/// Longest pause before the store is asked again.
const LONGEST_STORE_PAUSE: Duration = Duration::from_millis(1_200);
/// Bytes of texts in one page of results.
const PAGE_BYTES: usize = 900_000;

impl JobTask {
    pub(super) fn step_log(&mut self, now: Instant) {
        let due = self.write_at.is_some_and(|it| it <= now);
        let reading = !self.log.is_caught_up() && self.write_at.is_none();
        if self.calling || !self.is_active() || !(due || reading) {
            return;
        }
        self.write_at = None;
        if due {
            self.give_outputs(now);
        }
        let step = self.log.step();
        self.make_step(step);
    }

    pub(super) fn make_step(&mut self, step: LogStep) {
        match step {
            LogStep::Store(op) => {
                self.calling = true;
                self.call(op, JobMessage::Stored);
            }
            LogStep::Pause => {
                self.failures += 1;
                self.write_at = Some(Instant::now() + self.store_pause());
            }
            LogStep::Idle => {}
        }
    }

    /// Pause before the store is asked again. A call that is refused is paid for as well, and each job makes its own.
    pub(super) fn store_pause(&self) -> Duration {
        STORE_PAUSE.saturating_mul(1 << self.failures.min(4)).min(LONGEST_STORE_PAUSE)
    }

    pub(super) fn call(&self, op: StoreOp, message: fn(StoreAnswer) -> JobMessage) {
        let (env, messages) = (Rc::clone(&self.env), self.messages.clone());
        compio::runtime::spawn(async move {
            let answer = env.call(op).await;
            // Fails only when the job's task has ended.
            let _ = messages.send(message(answer));
        })
        .detach();
    }

    pub(super) fn stored(&mut self, answer: &StoreAnswer) {
        self.calling = false;
        let before = self.log.committed().len();
        let step = self.log.answered(answer);
        if let Some(since) = self.checking_since
            && *answer == StoreAnswer::Absent
        {
            self.checked_at = since;
        }
        // Results that have come meanwhile wait for others again.
        match step {
            LogStep::Store(StoreOp::Create { .. }) => {
                let at = Instant::now() + self.gather();
                self.write_at.get_or_insert(at);
            }
            step => self.make_step(step),
        }
        let standing = self.log.committed().len();
        if !matches!(answer, StoreAnswer::Unavailable | StoreAnswer::Unknown) {
            self.failures = 0;
        }
        if standing > before {
            log::info!(job = &*self.owned.job, standing, items = self.items.len(); "job: results stand");
        }
        if self.log.take_other_writer_seen() && self.started {
            self.call(StoreOp::Get { key: header_key(&self.owned.job) }, JobMessage::Header);
        }
    }

    pub(super) fn header_read(&mut self, answer: &StoreAnswer) {
        if self.is_own(answer) == Some(false) {
            self.lost();
        }
    }

    pub(super) fn answer_readers(&mut self, now: Instant) {
        if !self.log.is_caught_up() && !self.started {
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
        self.check_for_others();
    }

    pub(super) fn reply_to(&self, reader: &Reader, now: Instant) -> Option<ReadReply> {
        let standing = self.log.committed().len();
        if reader.after < standing || self.is_complete() {
            return Some(ReadReply::Page(self.page(reader.after.min(standing))));
        }
        let is_checked = !self.may_have_others() || self.checked_at >= reader.arrived;
        let is_over = now >= reader.until || !self.is_active();
        match (is_over, is_checked && reader.after == standing) {
            (true, true) => Some(ReadReply::Page(self.page(reader.after))),
            (true, false) => Some(ReadReply::Elsewhere),
            (false, _) => None,
        }
    }

    /// Whether another process may append to the log. A former owner does until it learns that it is one, and readers
    /// that have seen its results there must find them here. A process that does not hear most others may itself be such
    /// a former owner.
    pub(super) fn may_have_others(&self) -> bool {
        self.displaced || self.has_former() || !self.env.roster.at_least_half_live()
    }

    /// Whether a former owner may still append. One that has started anew does not, but for a last write that may take
    /// effect late.
    fn has_former(&self) -> bool {
        let Some(former) = &self.owned.header.former else { return false };
        let is_gone = former.process == *self.env.name
            || self.env.roster.has_restarted(&former.process, former.incarnation);
        !is_gone || self.began.elapsed() < LATE_WRITE
    }

    /// Looks for segments of others while somebody waits for more results.
    pub(super) fn check_for_others(&mut self) {
        let wanted = self.readers.iter().any(|it| it.arrived > self.checked_at);
        let paused = self.checking_since.is_some_and(|it| it.elapsed() < CHECK_PAUSE);
        if wanted && !paused && self.may_have_others() && self.is_active() && !self.calling {
            self.checking_since = Some(Instant::now());
            self.log.request_reread();
            let step = self.log.step();
            self.make_step(step);
        }
    }

    pub(super) fn is_active(&self) -> bool {
        matches!(self.phase, Phase::Working | Phase::Releasing(_))
    }

    pub(super) fn page(&self, after: usize) -> ResultsPage {
        let results = page_of(&self.log.committed()[after..]);
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
