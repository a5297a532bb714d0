//! Runs of a job's items: starting, retrying and stopping them, and saving their partial output.

use std::{
    cell::RefCell,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::future::join;
use samphiredoor_core::{
    ordered::{
        ItemEnd, ItemFailure, ItemResult, ItemStep, JobName, JobOwner, Outcome, PartialOutput,
        header_key, read_header,
    },
    store::{StoreAnswer, StoreOp},
};

use super::{FAR_FUTURE, JobMessage, JobTask, OwnershipCheck, Phase};
use crate::{
    jobs::{item_output::Output, item_run},
    panic_guard::PanicGuard,
};

/// Time that a result waits for others to share a write: items of a job finish over a period of seconds and are due
/// later, and a write costs as much as a hundredth of an item.
const WRITE_DELAY: Duration = Duration::from_millis(1_500);
/// Time that a result waits for others shortly before the results are due.
const WRITE_DELAY_NEAR_DUE: Duration = Duration::from_millis(150);
/// Time that a failure of an item waits for others to share a write, if the item is to be sent again; as long as the shortest
/// backoff before that.
const FAILURE_WRITE_DELAY: Duration = Duration::from_millis(100);
/// How long before the due time the shorter delay applies; callers poll twice a second.
const NEAR_DUE_MS: u64 = 2_500;

/// Interval at which partial outputs are saved while no result is written. A killed process loses half of this time on
/// average for each slot that its items hold. A write costs as much as a hundredth of an item, whose run takes some
/// seconds.
const OUTPUT_SAVE_INTERVAL: Duration = Duration::from_millis(3_000);

impl JobTask {
    /// Stops the runs while only this process does not reach the store: other gateways take over its jobs then, and it
    /// would notice neither that nor a cancellation.
    pub(super) fn suspend_if_isolated(&mut self) {
        if self.env.is_isolated_from_store() && !self.suspended {
            log::info!(job = &*self.ownership.job; "job: runs stopped, the store answers other gateways but not this one");
            self.suspended = true;
            self.interrupt_runs();
        }
    }

    /// Reads from the store whether this process still owns the job and may run it, if something waits for that.
    pub(super) fn recheck_ownership(&mut self, now: Instant) {
        let is_isolated = self.env.is_isolated_from_store();
        if !is_isolated && self.wants_ownership_check(now) && self.may_check() {
            self.check_ownership();
        }
    }

    /// Whether items, readers or results to be written wait until it is known that this process still owns the job.
    fn wants_ownership_check(&self, now: Instant) -> bool {
        let write_waits = self.write_at.is_some_and(|it| it <= now) && self.write_must_wait();
        let is_in_doubt =
            || self.had_gap() || (self.may_be_taken_late() && self.late_takeovers_are_over());
        let reader_waits = !self.readers.is_empty() && is_in_doubt();
        self.suspended || self.permit.is_wanted() || write_waits || reader_waits
    }

    /// Whether other processes may have taken the job over since this one was last known to own it.
    pub(super) fn had_gap(&self) -> bool {
        self.env.liveness_gaps.count() != self.owned_at_gap_count
    }

    /// Whether a takeover that was sent because of an earlier gap may have taken effect since this process was last known to
    /// own the job.
    pub(super) fn may_be_taken_late(&self) -> bool {
        self.env.liveness_gaps.late_takeovers_until().is_some_and(|it| self.owned_at < it)
    }

    /// Whether no such takeover can take effect any more.
    fn late_takeovers_are_over(&self) -> bool {
        self.env.liveness_gaps.late_takeovers_until().is_none_or(|it| it <= Instant::now())
    }

    /// Reads whether the job was cancelled, and also its owner unless there was no gap since this process wrote itself
    /// as the owner.
    fn check_ownership(&mut self) {
        self.checking = true;
        let (env, messages) = (Rc::clone(&self.env), self.messages.clone());
        let (job, gap_count) =
            (JobName::clone(&self.ownership.job), self.env.liveness_gaps.count());
        let sent_at = Instant::now();
        let is_known = gap_count == self.owned_at_gap_count && !self.may_be_taken_late();
        compio::runtime::spawn(async move {
            let header = async {
                match is_known {
                    true => None,
                    false => Some(env.call(StoreOp::Get { key: header_key(&job) }).await),
                }
            };
            let (header, cancelled) = join(header, env.is_cancelled(&job)).await;
            // Fails only if the job's task has ended.
            let _ = messages.send(JobMessage::OwnershipChecked(OwnershipCheck {
                gap_count,
                sent_at,
                header,
                cancelled,
            }));
        })
        .detach();
    }

    pub(super) fn ownership_checked(&mut self, check: &OwnershipCheck) {
        self.checking = false;
        if !self.is_active() {
            return;
        }
        let names_this_process = check.header.as_ref().map(|it| self.names_this_process(it));
        if names_this_process == Some(Some(true)) {
            self.owned_at_gap_count = check.gap_count;
            self.owned_at = check.sent_at;
        }
        match (names_this_process, check.cancelled) {
            (Some(Some(false)), _) => self.lose_ownership(),
            (_, Ok(true)) => drop(self.cancel()),
            (None | Some(Some(true)), Ok(false)) => self.permit_items(check.gap_count),
            (Some(None), _) | (_, Err(_)) => {
                self.store_failures += 1;
                self.next_check_at = Instant::now() + self.store_pause();
            }
        }
    }

    fn permit_items(&mut self, gap_count: u64) {
        self.permit.grant(gap_count);
        if std::mem::take(&mut self.suspended) {
            self.items_started = false;
        }
    }

    /// Whether a header that was read names this process as the owner; `None` if it was not read.
    pub(super) fn names_this_process(&self, answer: &StoreAnswer) -> Option<bool> {
        let StoreAnswer::Object(stored) = answer else { return None };
        match read_header(stored) {
            Ok(header) => Some(self.env.owns(&header.owner)),
            Err(fault) => {
                log::warn!(job = &*self.ownership.job, fault:% = fault; "job: header cannot be read");
                None
            }
        }
    }

    /// Whether the store may be read now. Without this limit, each job of each process would read again as soon as it
    /// is refused while the store is down for all, a thousand times a second.
    fn may_check(&self) -> bool {
        !self.checking && !self.env.health.is_lost() && Instant::now() >= self.next_check_at
    }

    pub(super) fn start_items(&mut self, now: Instant) {
        if self.items_started || self.suspended || !self.log.is_caught_up() {
            return;
        }
        self.items_started = true;
        for (item, output) in self.log.take_saved_outputs() {
            if self.outputs.contains_key(&item) {
                continue;
            }
            self.log_restored(item, &output);
            let mut restored = Output::from_saved(output);
            restored.count(self.env.buffers.as_ref());
            self.outputs.insert(item, Rc::new(RefCell::new(restored)));
        }
        // Runs that were to end with their answers go on instead.
        for item in self.runs.keys() {
            self.outputs.get(item).inspect(|it| it.borrow_mut().continue_run());
        }
        let waits = |item: u32| self.retries.iter().any(|(_, it)| *it == item);
        let is_open = |item: &u32| {
            !self.log.is_decided(*item) && !self.runs.contains_key(item) && !waits(*item)
        };
        let open: Vec<u32> = (0..self.items.len()).filter(is_open).collect();
        log::info!(
            job = &*self.ownership.job, open = open.len(), standing = self.log.committed().len(),
            unwritten = self.log.pending_results(), ignored_outputs = self.log.ignored_outputs(),
            gap_count = self.owned_at_gap_count;
            "job: items started"
        );
        for item in open {
            // An earlier owner may have written the last failure and not the result.
            match self.items.failed_result(item, self.log.failures(item)) {
                Some(result) => self.record(result),
                None => self.retries.push((now, item)),
            }
        }
    }

    /// Logs a saved output with which an item goes on here, and who wrote it.
    fn log_restored(&self, item: u32, output: &PartialOutput) {
        let id = self.items.get(item).map_or("", |it| &*it.id);
        let writer = output.writer.as_ref();
        self.env.metrics.job_event("output_restored");
        log::info!(
            job = &*self.ownership.job, item = id, after = output.last,
            version = output.origin.version.as_deref().unwrap_or_default(),
            writer = writer.map_or("", |it| &*it.process),
            writer_incarnation = writer.map_or(0, |it| it.incarnation);
            "item: output restored from the log"
        );
    }

    pub(super) fn start_run(&mut self, number: u32) {
        let Some(item) = self.items.get(number) else { return };
        let output = Rc::clone(self.outputs.entry(number).or_default());
        output.borrow_mut().begin_run();
        let run = item_run::ItemRun {
            output,
            env: Rc::clone(&self.env),
            job: JobName::clone(&self.ownership.job),
            host: self.ownership.header.host.clone(),
            workspace: self.ownership.header.workspace.clone(),
            route_path: self.ownership.header.path.clone(),
            routes_version: self.ownership.header.routes_version,
            item: Arc::clone(item),
            due_at_ms: self.due_at_ms,
            give_up_at: self.give_up_at,
            permit: Rc::clone(&self.permit),
            preemption_hold: self.items.preemption_hold(number),
        };
        let messages = self.messages.clone();
        let (job, id, to_task) =
            (JobName::clone(&self.ownership.job), Arc::clone(&item.id), messages.clone());
        let handle = compio::runtime::spawn(async move {
            let _guard = PanicGuard::new(|| {
                log::error!(job = &*job, item = &*id; "job: run of an item panicked");
                let end = ItemEnd::NoAnswer;
                let _ = to_task.send(JobMessage::RunEnded { item: number, end });
            });
            let end = run.run().await;
            // Fails only if the job's task has ended and needs no result.
            let _ = messages.send(JobMessage::RunEnded { item: number, end });
        });
        self.runs.insert(number, handle);
    }

    pub(super) fn start_due_retries(&mut self, now: Instant) {
        if self.suspended {
            return;
        }
        let (ready, later): (Vec<_>, Vec<_>) = self
            .retries
            .drain(..)
            .partition(|(at, item)| *at <= now && !self.log.has_pending_failure(*item));
        self.retries = later;
        for (_, item) in ready {
            self.start_run(item);
        }
    }

    /// When the next item is run again. Those with a failure that is not in the log yet wait for the answer to its write.
    pub(super) fn next_retry_at(&self) -> Option<Instant> {
        let retries = self.retries.iter().filter(|(_, item)| !self.log.has_pending_failure(*item));
        retries.map(|(at, _)| *at).min()
    }

    pub(super) fn run_ended(&mut self, item: u32, end: ItemEnd) {
        self.runs.remove(&item);
        if matches!(self.phase, Phase::HandingOver(_)) && self.runs.is_empty() {
            self.phase = Phase::HandingOver(Instant::now());
        }
        if self.log.has_result(item) || matches!(self.phase, Phase::Closing | Phase::Retained(_)) {
            return;
        }
        let reason = retry_reason(&end);
        if end == ItemEnd::Failed {
            self.push_failure(item);
        }
        match self.items.run_ended(item, end, self.log.failures(item)) {
            ItemStep::Record(result) => self.record(result),
            ItemStep::Retry { backoff_ms } => {
                self.env.metrics.retried(reason);
                self.log_retry(item, backoff_ms);
                self.retries.push((Instant::now() + Duration::from_millis(backoff_ms), item));
            }
        }
    }

    /// Passes a failure of an item to the log. The item waits until that is written before it is sent again.
    fn push_failure(&mut self, item: u32) {
        let (owner, number) = (self.env.owner(), rand::random());
        let JobOwner { process, incarnation } = owner;
        self.log.push_failure(ItemFailure { item, process, incarnation, number });
        self.write_within(FAILURE_WRITE_DELAY);
    }

    /// Logs what is known here of an item that is run again.
    fn log_retry(&self, item: u32, backoff_ms: u64) {
        let id = self.items.get(item).map_or("", |it| &*it.id);
        log::info!(
            job = &*self.ownership.job, item = id, failed = self.log.failures(item),
            unanswered = self.items.unanswered(item), backoff_ms;
            "job: item is run again"
        );
    }

    /// Passes a result to the log. One that says that an item failed is written at once: until then, another owner would
    /// send the item again.
    pub(super) fn record(&mut self, result: ItemResult) {
        let output = self.outputs.remove(&result.item);
        let held = output.and_then(|it| it.borrow_mut().take_held());
        if let Some(held) = held.filter(|_| !result.text.is_empty()) {
            self.unstored.insert(result.item, held);
        }
        let has_failed = result.outcome == Outcome::Failed;
        self.log.push(result);
        let is_last = self.runs.is_empty() && self.retries.is_empty();
        self.write_within(if is_last || has_failed { Duration::ZERO } else { self.write_delay() });
    }

    /// Lets the log take its next step after this time at the latest.
    fn write_within(&mut self, delay: Duration) {
        let at = Instant::now() + delay;
        self.write_at = Some(self.write_at.map_or(at, |it| it.min(at)));
    }

    /// Saves partial outputs to the log periodically.
    pub(super) fn save_outputs(&mut self, now: Instant) {
        if self.items_started
            && now >= self.saved_at + OUTPUT_SAVE_INTERVAL
            && self.queue_outputs(now)
        {
            self.write_within(Duration::ZERO);
        }
    }

    /// Passes the output of items since the last call to the log, and returns whether there was any. Does nothing while
    /// outputs are pending in the log, because the parts of one item must be written in order.
    pub(super) fn queue_outputs(&mut self, now: Instant) -> bool {
        if self.log.has_outputs() {
            return false;
        }
        self.saved_at = now;
        let mut bytes = 0;
        for (item, output) in &self.outputs {
            if let Some(part) = output.borrow_mut().take_unsaved(*item) {
                bytes += part.text.len();
                self.log.push_output(part);
            }
        }
        if let Some(buffers) = self.env.buffers.as_ref().filter(|_| bytes > 0) {
            self.saving.insert(buffers.item_output()).grow_to(bytes);
        }
        self.log.has_outputs()
    }

    /// Releases the memory of outputs that are stored.
    pub(super) fn release_stored(&mut self) {
        let log = &self.log;
        self.unstored.retain(|item, _| !log.has_result(*item));
        if !log.has_outputs() {
            self.saving = None;
        }
    }

    /// Drops all outputs of a job that leaves this process.
    pub(super) fn drop_outputs(&mut self) {
        self.outputs.clear();
        self.unstored.clear();
        self.saving = None;
    }

    pub(super) fn write_delay(&self) -> Duration {
        let near_due = self.env.clock.now().mono_ms + NEAR_DUE_MS >= self.due_at_ms;
        if near_due { WRITE_DELAY_NEAR_DUE } else { WRITE_DELAY }
    }

    pub(super) fn give_up_remaining(&mut self) {
        self.runs.clear();
        self.retries.clear();
        self.give_up_at = Instant::now() + FAR_FUTURE;
        for item in 0..self.items.len() {
            if let ItemStep::Record(result) = self.items.give_up(item)
                && !self.log.has_result(item)
            {
                log::warn!(job = &*self.ownership.job, item = &*result.id; "job: item given up, its deadline has passed");
                self.record(result);
            }
        }
    }
}

/// Label in metrics of an item that is run again.
fn retry_reason(end: &ItemEnd) -> &'static str {
    match end {
        ItemEnd::Failed => "item_failed",
        ItemEnd::Preempted => "item_preempted",
        ItemEnd::Stopped => "item_stopped",
        _ => "item_unanswered",
    }
}
