//! The runs of a job's items.

use std::{
    cell::RefCell,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::future::join;
use samphiredoor_core::{
    ordered::{ItemEnd, ItemResult, ItemStep, JobName, header_key, read_header},
    store::{StoreAnswer, StoreOp},
};

use super::{JobMessage, JobTask, NO_DEADLINE, OwnershipCheck, Phase};
use crate::jobs::item_run::{self, Output};

/// Time that a result waits for others before it is written: items of a job end over some seconds and are due later, and
/// a write costs as much as a hundredth of an item.
const WRITE_DELAY: Duration = Duration::from_millis(1_500);
/// The same shortly before the results are due.
const WRITE_DELAY_NEAR_DUE: Duration = Duration::from_millis(150);
/// How long before the results are due that is; callers read twice a second.
const NEAR_DUE_MS: u64 = 2_500;

/// Time between two writes of what items have put out, where no result is written meanwhile. A process that is killed loses
/// half of it for each place that its items hold; a write costs as much as a hundredth of an item, whose run takes some
/// seconds.
const OUTPUT_SAVE_INTERVAL: Duration = Duration::from_millis(3_000);

impl JobTask {
    /// Stops the runs while this process alone does not reach the store: others take its jobs then, and it could hear
    /// neither of that nor of the jobs' ends. Looks for the job where runs are held back.
    pub(super) fn suspend_or_recheck(&mut self) {
        let cut_off = self.env.is_cut_off_from_store();
        if cut_off && !self.suspended {
            log::info!(job = &*self.ownership.job; "job: runs held back, only this process misses the store");
            self.suspended = true;
            self.may_be_taken = true;
            self.stop_runs();
        } else if !cut_off && (self.suspended || self.permit.is_wanted()) && self.may_check() {
            self.check_ownership();
        }
    }

    /// Reads whether the job is ended, and whose it is unless this process has just written that.
    fn check_ownership(&mut self) {
        self.checking = true;
        let (env, messages) = (Rc::clone(&self.env), self.messages.clone());
        let (job, gaps) = (JobName::clone(&self.ownership.job), self.env.gaps.count());
        let is_known = gaps == self.ownership.gaps;
        compio::runtime::spawn(async move {
            let header = async {
                match is_known {
                    true => None,
                    false => Some(env.call(StoreOp::Get { key: header_key(&job) }).await),
                }
            };
            let (header, ended) = join(header, env.is_cancelled(&job)).await;
            // Fails only when the job's task has ended.
            let _ =
                messages.send(JobMessage::OwnershipChecked(OwnershipCheck { gaps, header, ended }));
        })
        .detach();
    }

    pub(super) fn ownership_checked(&mut self, check: &OwnershipCheck) {
        self.checking = false;
        if !self.is_active() {
            return;
        }
        match (check.header.as_ref().map(|it| self.names_this_process(it)), check.ended) {
            (Some(Some(false)), _) => self.lose_ownership(),
            (_, Ok(true)) => drop(self.cancel()),
            (None | Some(Some(true)), Ok(false)) => self.permit_items(check.gaps),
            (Some(None), _) | (_, Err(_)) => {
                self.store_failures += 1;
                self.next_check_at = Instant::now() + self.store_pause();
            }
        }
    }

    fn permit_items(&mut self, gaps: u64) {
        self.permit.grant(gaps);
        if std::mem::take(&mut self.suspended) {
            self.items_started = false;
        }
    }

    /// Whether a header that was read names this process; `None` if that cannot be told.
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

    /// Whether a look is worth its calls. When the store is lost for all, each job of each process would ask again as
    /// soon as it is refused, a thousand times a second.
    fn may_check(&self) -> bool {
        !self.checking && !self.env.health.is_lost() && Instant::now() >= self.next_check_at
    }

    pub(super) fn start_items(&mut self) {
        if self.items_started || self.suspended || !self.log.is_read() {
            return;
        }
        self.items_started = true;
        for (item, output) in self.log.take_kept() {
            self.outputs
                .entry(item)
                .or_insert_with(|| Rc::new(RefCell::new(Output::from_saved(output))));
        }
        let open: Vec<u32> = (0..self.items.len()).filter(|it| !self.log.is_decided(*it)).collect();
        for item in open {
            self.start_run(item);
        }
    }

    pub(super) fn start_run(&mut self, number: u32) {
        let Some(item) = self.items.get(number) else { return };
        let output = Rc::clone(self.outputs.entry(number).or_default());
        let run = item_run::ItemRun {
            output,
            env: Rc::clone(&self.env),
            job: JobName::clone(&self.ownership.job),
            host: self.ownership.header.host.clone(),
            route_path: self.ownership.header.path.clone(),
            routes_version: self.ownership.header.routes_version,
            item: Arc::clone(item),
            due_at_ms: self.due_at_ms,
            give_up_at: self.give_up_at,
            permit: Rc::clone(&self.permit),
        };
        let messages = self.messages.clone();
        let handle = compio::runtime::spawn(async move {
            let end = run.run().await;
            // Fails only when the job's task has ended, which needs no result any more.
            let _ = messages.send(JobMessage::RunEnded { item: number, end });
        });
        self.runs.insert(number, handle);
    }

    pub(super) fn start_due_retries(&mut self, now: Instant) {
        let (ready, later): (Vec<_>, Vec<_>) =
            self.retries.drain(..).partition(|(at, _)| *at <= now);
        self.retries = later;
        for (_, item) in ready {
            self.start_run(item);
        }
    }

    pub(super) fn run_ended(&mut self, item: u32, end: ItemEnd) {
        self.runs.remove(&item);
        if self.log.is_decided(item) || matches!(self.phase, Phase::Closing | Phase::Retained(_)) {
            return;
        }
        match self.items.ended(item, end) {
            ItemStep::Record(result) => self.record(result),
            ItemStep::Again { pause_ms } => {
                self.retries.push((Instant::now() + Duration::from_millis(pause_ms), item));
            }
        }
    }

    pub(super) fn record(&mut self, result: ItemResult) {
        self.outputs.remove(&result.item);
        self.log.push(result);
        let is_last = self.runs.is_empty() && self.retries.is_empty();
        let pause = if is_last { Duration::ZERO } else { self.write_delay() };
        let at = Instant::now() + pause;
        self.write_at = Some(self.write_at.map_or(at, |it| it.min(at)));
    }

    /// Has the log keep what items have put out, now and then.
    pub(super) fn save_outputs(&mut self, now: Instant) {
        if self.items_started
            && now >= self.saved_at + OUTPUT_SAVE_INTERVAL
            && self.queue_outputs(now)
        {
            self.write_at = Some(self.write_at.map_or(now, |it| it.min(now)));
        }
    }

    /// Gives the log what items have put out since the last time; says whether there was any. Not while the log has some:
    /// parts of one item must come in order.
    pub(super) fn queue_outputs(&mut self, now: Instant) -> bool {
        if self.log.has_outputs() {
            return false;
        }
        self.saved_at = now;
        for (item, output) in &self.outputs {
            if let Some(part) = output.borrow_mut().take_unsaved(*item) {
                self.log.push_output(part);
            }
        }
        self.log.has_outputs()
    }

    pub(super) fn write_delay(&self) -> Duration {
        let near_due = self.env.clock.now().mono_ms + NEAR_DUE_MS >= self.due_at_ms;
        if near_due { WRITE_DELAY_NEAR_DUE } else { WRITE_DELAY }
    }

    pub(super) fn give_up_remaining(&mut self) {
        self.runs.clear();
        self.retries.clear();
        self.give_up_at = Instant::now() + NO_DEADLINE;
        for item in 0..self.items.len() {
            if let ItemStep::Record(result) = self.items.give_up(item)
                && !self.log.is_decided(item)
            {
                log::warn!(job = &*self.ownership.job, item = &*result.id; "job: item given up, its time is over");
                self.record(result);
            }
        }
    }
}
