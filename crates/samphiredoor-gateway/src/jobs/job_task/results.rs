//! Steps of the log of a job's results, and answers to its readers.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use log::Level;
use samphiredoor_core::{
    ordered::{
        Answer, ItemResult, JobOwner, KnownResults, LogCall, LogStep, Ownership, Reader, header_key,
    },
    store::{StoreAnswer, StoreOp},
};

use super::{JobMessage, JobTask, Phase, ReadReply, WaitingReader};
use crate::{jobs::STORE_RETRY_PAUSE, peers::STORE_LOST_AFTER, platform_api::ResultsPage};

/// Minimum time between two reads for segments of other processes; callers poll twice a second.
const REREAD_INTERVAL: Duration = Duration::from_millis(300);
/// Longest time that a reader waits beyond its own limit for the answer to a write. Gateways that forward a read wait longer
/// than this for its answer, and the store answers in some milliseconds.
const WRITE_ANSWER_WAIT: Duration = Duration::from_millis(200);
/// Upper limit of the backoff between store calls.
const MAX_STORE_RETRY_PAUSE: Duration = Duration::from_millis(1_200);
/// Maximum total size of the output texts in one page of results, unless a single one is larger.
const PAGE_BYTES: usize = 900_000;

impl JobTask {
    /// Takes the log's next step if it is due.
    pub(super) fn advance_log(&mut self, now: Instant) {
        if self.log_step_at(now).is_none_or(|it| it > now) {
            return;
        }
        if self.write_at.take().is_some() && self.is_active() {
            self.queue_outputs(now);
        }
        let step = self.log.step();
        self.run_log_step(step);
    }

    /// When the log takes its next step, unless a message has to come first. Segments are read in each phase, and written
    /// only while this process works on the job and knows that it owns it.
    pub(super) fn log_step_at(&self, now: Instant) -> Option<Instant> {
        if self.log_call.is_some() {
            return None;
        }
        match self.log.is_caught_up() {
            true if self.write_must_wait() => None,
            true => self.write_at.filter(|_| self.is_active()),
            false => self.write_at.or(Some(now)),
        }
    }

    /// Whether a write has to wait until it is known that this process still owns the job.
    pub(super) fn write_must_wait(&self) -> bool {
        self.log.is_caught_up() && self.is_active() && self.had_gap()
    }

    pub(super) fn run_log_step(&mut self, step: LogStep) {
        match step {
            LogStep::Store(op) => {
                self.log_call = Some(LogCall::new(&op, self.env.clock.now().mono_ms));
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
        let before = self.log.committed().len();
        let now_ms = self.env.clock.now().mono_ms;
        if let Some(call) = self.log_call.take() {
            self.log_end.answered(&call, answer, now_ms);
        }
        let step = self.log.answered(answer);
        // Results that arrived during the call are batched again instead of being written at once.
        match step {
            LogStep::Store(StoreOp::Create { .. }) => {
                let at = Instant::now() + self.write_delay();
                self.write_at.get_or_insert(at);
            }
            step => self.run_log_step(step),
        }
        self.release_stored();
        let committed = self.log.committed().len();
        if !matches!(answer, StoreAnswer::Unavailable | StoreAnswer::Unknown) {
            self.store_failures = 0;
        }
        if committed > before {
            log::info!(job = &*self.ownership.job, standing = committed, items = self.items.len(); "job: results committed");
        }
        let other_writer_seen = self.log.take_other_writer_seen();
        if other_writer_seen {
            self.log_end.other_writer_seen(now_ms);
        }
        if other_writer_seen && self.items_started {
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
    }

    /// Notes a reader that has more results than are held here: it got them from another writer.
    pub(super) fn note_reader(&mut self, read: &Reader) {
        let (committed, total) = (self.log.committed().len(), self.items.len() as usize);
        if committed < read.after && read.after <= total {
            self.log_end.other_writer_seen(read.arrived_ms);
        }
    }

    /// Logs what decided an answer: how many results are known here, and whether there may be more. Answers with results
    /// are logged in detail only, as they are many and cannot be wrong.
    fn log_reply(&self, reader: &WaitingReader, reply: &ReadReply) {
        let (source, results) = match reply {
            ReadReply::Page(page) => ("memory", page.results.len()),
            ReadReply::UseStore => ("store", 0),
            ReadReply::Unsure => ("none", 0),
        };
        let level = if results > 0 { Level::Debug } else { Level::Info };
        log::log!(
            level, job = &*self.ownership.job, after = reader.read.after, source, results,
            known = self.log.committed().len(), items = self.items.len(),
            caught_up = self.log.is_caught_up(), is_active = self.is_active(),
            ownership:? = self.known_results().ownership, end:? = self.log_end;
            "job: read at its owner"
        );
    }

    fn reply_to(&self, reader: &WaitingReader, now: Instant) -> Option<ReadReply> {
        let wait_is_over = now >= self.waits_until(reader) || !self.is_active();
        let store_is_lost = self.env.health.is_lost();
        match self.known_results().answer(&reader.read, wait_is_over, store_is_lost) {
            Answer::Page { from } => Some(ReadReply::Page(self.page(from))),
            Answer::Wait => None,
            Answer::UseStore => Some(ReadReply::UseStore),
            Answer::Unsure => Some(ReadReply::Unsure),
        }
    }

    /// Until when a reader waits. The answer to a write under way mostly comes sooner than a read of the store could be
    /// answered, which costs several calls.
    pub(super) fn waits_until(&self, reader: &WaitingReader) -> Instant {
        reader.until + if self.is_writing() { WRITE_ANSWER_WAIT } else { Duration::ZERO }
    }

    /// Whether a write of the log is under way.
    fn is_writing(&self) -> bool {
        self.log_call.is_some_and(|it| it.is_write())
    }

    /// What is known here of the job's results now.
    fn known_results(&self) -> KnownResults<'_> {
        let now_ms = self.env.clock.now().mono_ms;
        let ownership = if self.finish_written {
            Ownership::Final
        } else if self.owns_since_last_gap() {
            Ownership::HeldUntil(now_ms)
        } else {
            Ownership::InDoubt
        };
        KnownResults {
            committed: self.log.committed().len(),
            total: self.items.len() as usize,
            end: &self.log_end,
            is_writing: self.is_writing(),
            ownership,
        }
    }

    /// Whether no process can have taken the job over: none while this one is live to the others and they see that the
    /// store answers it.
    pub(super) fn owns_since_last_gap(&self) -> bool {
        let (gaps, health) = (&self.env.liveness_gaps, &self.env.health);
        gaps.is_settled()
            && !self.had_gap()
            && !self.may_be_taken_late()
            && !health.is_lost_for(STORE_LOST_AFTER)
            && self.env.roster.at_least_half_live()
    }

    /// Notes whether a former owner may still append to the log. It does so until it finds out that it lost the job, and
    /// readers that got its results from it must also get them here.
    pub(super) fn update_log_end(&mut self) {
        let has_ended = |it: &JobOwner| {
            it.process == *self.env.name
                || self.env.roster.has_restarted(&it.process, it.incarnation)
        };
        let may_append = !self.ownership.header.formers().all(has_ended);
        self.log_end.set_others_append(may_append, self.env.clock.now().mono_ms);
    }

    /// Reads on in the log if it is due.
    pub(super) fn reread_log(&mut self, now: Instant) {
        if self.reread_at().is_none_or(|it| it > now) {
            return;
        }
        self.next_reread_at = now + REREAD_INTERVAL;
        if !self.env.health.is_lost() {
            self.log.request_reread();
            let step = self.log.step();
            self.run_log_step(step);
        }
    }

    /// When to read on in the log: at once for a reader to whom others may have given more results, or when such a read
    /// settles the end of the log for all later readers. `None` if neither is needed or a call is under way.
    pub(super) fn reread_at(&self) -> Option<Instant> {
        if self.is_complete() || self.log_call.is_some() || !self.log.is_caught_up() {
            return None;
        }
        let known = self.known_results();
        if self.readers.iter().any(|it| !known.has_all_for(&it.read)) {
            return Some(self.next_reread_at);
        }
        let left_ms = self.log_end.settles_at_ms()?.saturating_sub(self.env.clock.now().mono_ms);
        match left_ms {
            0 => Some(self.next_reread_at),
            _ => Some(Instant::now() + Duration::from_millis(left_ms)),
        }
    }

    pub(super) fn is_active(&self) -> bool {
        matches!(self.phase, Phase::Running | Phase::HandingOver(_))
    }

    pub(super) fn page(&self, after: usize) -> ResultsPage {
        let results = page_of(self.log.committed().get(after..).unwrap_or_default());
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
