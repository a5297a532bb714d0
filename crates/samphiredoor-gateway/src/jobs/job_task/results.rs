//! Steps of the log of a job's results, and answers to its readers.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use log::Level;
use samphiredoor_core::{
    ordered::{ItemResult, LogStep, header_key},
    store::{StoreAnswer, StoreOp},
};

use super::{JobMessage, JobTask, Phase, ReadReply, Reader};
use crate::{jobs::STORE_RETRY_PAUSE, platform_api::ResultsPage};

/// Minimum time between two reads for segments of other processes; callers poll twice a second.
const OTHER_WRITERS_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Time after which a write that was not answered can no longer take effect.
const LATE_WRITE_WINDOW: Duration = Duration::from_secs(6);
/// Upper limit of the backoff between store calls.
const MAX_STORE_RETRY_PAUSE: Duration = Duration::from_millis(1_200);
/// Maximum total size of the output texts in one page of results, unless a single one is larger.
const PAGE_BYTES: usize = 900_000;

impl JobTask {
    pub(super) fn advance_log(&mut self, now: Instant) {
        let due = self.write_at.is_some_and(|it| it <= now);
        let reading = !self.log.is_caught_up() && self.write_at.is_none();
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

    /// Exponential backoff before the next store call. Refused calls are charged as well, and each job makes its own.
    pub(super) fn store_pause(&self) -> Duration {
        STORE_RETRY_PAUSE.saturating_mul(1 << self.store_failures.min(4)).min(MAX_STORE_RETRY_PAUSE)
    }

    pub(super) fn spawn_store_call(&self, op: StoreOp, message: fn(StoreAnswer) -> JobMessage) {
        let (env, messages) = (Rc::clone(&self.env), self.messages.clone());
        compio::runtime::spawn(async move {
            let answer = env.call(op).await;
            // Fails only if the job's task has ended.
            let _ = messages.send(message(answer));
        })
        .detach();
    }

    pub(super) fn log_call_answered(&mut self, answer: &StoreAnswer) {
        self.log_call_in_flight = false;
        let before = self.log.committed().len();
        let step = self.log.answered(answer);
        if let Some(since) = self.other_writers_checked_at
            && *answer == StoreAnswer::Absent
        {
            self.log_end_seen_at = since;
        }
        // Results that arrived during the call are batched again instead of being written at once.
        match step {
            LogStep::Store(StoreOp::Create { .. }) => {
                let at = Instant::now() + self.write_delay();
                self.write_at.get_or_insert(at);
            }
            step => self.run_log_step(step),
        }
        let committed = self.log.committed().len();
        if !matches!(answer, StoreAnswer::Unavailable | StoreAnswer::Unknown) {
            self.store_failures = 0;
        }
        if committed > before {
            log::info!(job = &*self.ownership.job, standing = committed, items = self.items.len(); "job: results committed");
        }
        if self.log.take_other_writer_seen() && self.items_started {
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
        if !self.log.is_caught_up() && !self.items_started {
            return;
        }
        let readers = std::mem::take(&mut self.readers);
        for reader in readers {
            match self.reply_to(&reader, now) {
                Some(reply) => {
                    self.log_reply(&reader, &reply);
                    // Fails if the reader has disconnected.
                    drop(reader.reply.send(reply));
                }
                None => self.readers.push(reader),
            }
        }
        self.check_for_other_writers();
    }

    /// Logs what decided an answer: how many results are known here, and how old the last read is that found no more.
    /// Answers with results are logged in detail only, as they are many and cannot be wrong.
    fn log_reply(&self, reader: &Reader, reply: &ReadReply) {
        let (source, results) = match reply {
            ReadReply::Page(page) => ("memory", page.results.len()),
            ReadReply::UseStore => ("store", 0),
        };
        let level = if results > 0 { Level::Debug } else { Level::Info };
        log::log!(
            level, job = &*self.ownership.job, after = reader.after, source, results,
            known = self.log.committed().len(), items = self.items.len(),
            caught_up = self.log.is_caught_up(), is_active = self.is_active(),
            end_seen_ms_ago = self.log_end_seen_at.elapsed().as_millis() as u64,
            other_writers = self.may_have_other_writers();
            "job: read at its owner"
        );
    }

    pub(super) fn reply_to(&self, reader: &Reader, now: Instant) -> Option<ReadReply> {
        let committed = self.log.committed().len();
        if reader.after < committed || self.is_complete() {
            return Some(ReadReply::Page(self.page(reader.after.min(committed))));
        }
        let is_checked = !self.may_have_other_writers() || self.log_end_seen_at >= reader.arrived;
        let is_over = now >= reader.until || !self.is_active();
        match (is_over, is_checked && reader.after == committed) {
            (true, true) => Some(ReadReply::Page(self.page(reader.after))),
            (true, false) => Some(ReadReply::UseStore),
            (false, _) => None,
        }
    }

    /// Whether another process may append to the log. A former owner does so until it finds out that it lost the job,
    /// and readers that got its results from it must also get them here. A process that receives heartbeats from less
    /// than half of the fleet may itself be such a former owner.
    pub(super) fn may_have_other_writers(&self) -> bool {
        self.may_have_been_taken_over
            || self.former_owner_may_write()
            || !self.env.roster.at_least_half_live()
    }

    /// Whether a former owner may still append. After a restart it does not, except for a last write that takes effect
    /// late.
    fn former_owner_may_write(&self) -> bool {
        let Some(former) = &self.ownership.header.former else { return false };
        let has_ended = former.process == *self.env.name
            || self.env.roster.has_restarted(&former.process, former.incarnation);
        !has_ended || self.started_at.elapsed() < LATE_WRITE_WINDOW
    }

    /// Reads the log for segments of other processes while a reader waits for more results.
    pub(super) fn check_for_other_writers(&mut self) {
        let wanted = self.readers.iter().any(|it| it.arrived > self.log_end_seen_at);
        let paused = self
            .other_writers_checked_at
            .is_some_and(|it| it.elapsed() < OTHER_WRITERS_CHECK_INTERVAL);
        if wanted
            && !paused
            && self.may_have_other_writers()
            && self.is_active()
            && !self.log_call_in_flight
        {
            self.other_writers_checked_at = Some(Instant::now());
            self.log.request_reread();
            let step = self.log.step();
            self.run_log_step(step);
        }
    }

    pub(super) fn is_active(&self) -> bool {
        matches!(self.phase, Phase::Running | Phase::HandingOver(_))
    }

    pub(super) fn page(&self, after: usize) -> ResultsPage {
        let results = page_of(&self.log.committed()[after..]);
        ResultsPage { total: self.items.len() as usize, next: after + results.len(), results }
    }
}

/// The first results, as many as fit into one page, but at least one if there are any.
pub fn page_of(results: &[ItemResult]) -> Vec<ItemResult> {
    let mut bytes = 0;
    let fitting = results.iter().enumerate().take_while(|(index, it)| {
        bytes += it.text.len();
        *index == 0 || bytes <= PAGE_BYTES
    });
    fitting.map(|(_, it)| it.clone()).collect()
}
