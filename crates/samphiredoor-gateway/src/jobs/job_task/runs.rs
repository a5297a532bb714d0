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

use super::{FOREVER, JobMessage, JobTask, Look, Phase};
use crate::jobs::item_run::{self, Output};

/// Time that a result waits for others before it is written: items of a job end over some seconds and are due later, and
/// a write costs as much as a hundredth of an item.
const GATHER: Duration = Duration::from_millis(1_500);
/// The same shortly before the results are due.
const GATHER_WHEN_DUE: Duration = Duration::from_millis(150);
/// How long before the results are due that is; callers read twice a second.
const DUE_SOON_MS: u64 = 2_500;

/// Time between two writes of what items have put out, where no result is written meanwhile. A process that is killed loses
/// half of it for each place that its items hold; a write costs as much as a hundredth of an item, whose run takes some
/// seconds.
const KEEP_PAUSE: Duration = Duration::from_millis(3_000);

impl JobTask {
    /// Stops the runs while this process alone does not reach the store: others take its jobs then, and it could hear
    /// neither of that nor of the jobs' ends. Looks for the job where runs are held back.
    pub(super) fn hold_or_look(&mut self) {
        let displaced = self.env.is_displaced();
        if displaced && !self.suspended {
            log::info!(job = &*self.owned.job; "job: runs held back, only this process misses the store");
            self.suspended = true;
            self.displaced = true;
            self.stop_runs();
        } else if !displaced && (self.suspended || self.clearance.is_awaited()) && self.may_look() {
            self.look();
        }
    }

    /// Reads whether the job is ended, and whose it is unless this process has just written that.
    fn look(&mut self) {
        self.looking = true;
        let (env, messages) = (Rc::clone(&self.env), self.messages.clone());
        let (job, gaps) = (JobName::clone(&self.owned.job), self.env.liveness_gaps.count());
        let is_known = gaps == self.owned.gaps;
        compio::runtime::spawn(async move {
            let header = async {
                match is_known {
                    true => None,
                    false => Some(env.call(StoreOp::Get { key: header_key(&job) }).await),
                }
            };
            let (header, ended) = join(header, env.is_ended(&job)).await;
            // Fails only when the job's task has ended.
            let _ = messages.send(JobMessage::Looked(Look { gaps, header, ended }));
        })
        .detach();
    }

    pub(super) fn looked(&mut self, look: &Look) {
        self.looking = false;
        if !self.is_active() {
            return;
        }
        match (look.header.as_ref().map(|it| self.is_own(it)), look.ended) {
            (Some(Some(false)), _) => self.lost(),
            (_, Ok(true)) => drop(self.ended()),
            (None | Some(Some(true)), Ok(false)) => self.cleared(look.gaps),
            (Some(None), _) | (_, Err(_)) => {
                self.failures += 1;
                self.look_at = Instant::now() + self.store_pause();
            }
        }
    }

    fn cleared(&mut self, gaps: u64) {
        self.clearance.give(gaps);
        if std::mem::take(&mut self.suspended) {
            self.started = false;
        }
    }

    /// Whether a header that was read names this process; `None` if that cannot be told.
    pub(super) fn is_own(&self, answer: &StoreAnswer) -> Option<bool> {
        let StoreAnswer::Object(stored) = answer else { return None };
        match read_header(stored) {
            Ok(header) => Some(self.env.owns(&header.owner)),
            Err(fault) => {
                log::warn!(job = &*self.owned.job, fault:% = fault; "job: header cannot be read");
                None
            }
        }
    }

    /// Whether a look is worth its calls. When the store is lost for all, each job of each process would ask again as
    /// soon as it is refused, a thousand times a second.
    fn may_look(&self) -> bool {
        !self.looking && !self.env.health.is_lost() && Instant::now() >= self.look_at
    }

    pub(super) fn start_items(&mut self) {
        if self.started || self.suspended || !self.log.is_caught_up() {
            return;
        }
        self.started = true;
        for (item, output) in self.log.take_saved_outputs() {
            self.outputs.entry(item).or_insert_with(|| Rc::new(RefCell::new(Output::kept(output))));
        }
        let open: Vec<u32> = (0..self.items.len()).filter(|it| !self.log.has_result(*it)).collect();
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
            job: JobName::clone(&self.owned.job),
            host: self.owned.header.host.clone(),
            route_path: self.owned.header.path.clone(),
            routes_version: self.owned.header.routes_version,
            item: Arc::clone(item),
            due_at_ms: self.due_at_ms,
            give_up_at: self.give_up_at,
            clearance: Rc::clone(&self.clearance),
        };
        let messages = self.messages.clone();
        let handle = compio::runtime::spawn(async move {
            let end = run.run().await;
            // Fails only when the job's task has ended, which needs no result any more.
            let _ = messages.send(JobMessage::RunEnded { item: number, end });
        });
        self.runs.insert(number, handle);
    }

    pub(super) fn run_again(&mut self, now: Instant) {
        let (ready, later): (Vec<_>, Vec<_>) = self.again.drain(..).partition(|(at, _)| *at <= now);
        self.again = later;
        for (_, item) in ready {
            self.start_run(item);
        }
    }

    pub(super) fn run_ended(&mut self, item: u32, end: ItemEnd) {
        self.runs.remove(&item);
        if self.log.has_result(item) || matches!(self.phase, Phase::Closing | Phase::Lingering(_)) {
            return;
        }
        match self.items.run_ended(item, end) {
            ItemStep::Record(result) => self.record(result),
            ItemStep::Retry { backoff_ms } => {
                self.again.push((Instant::now() + Duration::from_millis(backoff_ms), item));
            }
        }
    }

    pub(super) fn record(&mut self, result: ItemResult) {
        self.outputs.remove(&result.item);
        self.log.push(result);
        let is_last = self.runs.is_empty() && self.again.is_empty();
        let pause = if is_last { Duration::ZERO } else { self.gather() };
        let at = Instant::now() + pause;
        self.write_at = Some(self.write_at.map_or(at, |it| it.min(at)));
    }

    /// Has the log keep what items have put out, now and then.
    pub(super) fn keep_outputs(&mut self, now: Instant) {
        if self.started && now >= self.kept_at + KEEP_PAUSE && self.give_outputs(now) {
            self.write_at = Some(self.write_at.map_or(now, |it| it.min(now)));
        }
    }

    /// Gives the log what items have put out since the last time; says whether there was any. Not while the log has some:
    /// parts of one item must come in order.
    pub(super) fn give_outputs(&mut self, now: Instant) -> bool {
        if self.log.has_outputs() {
            return false;
        }
        self.kept_at = now;
        for (item, output) in &self.outputs {
            if let Some(part) = output.borrow_mut().take_part(*item) {
                self.log.push_output(part);
            }
        }
        self.log.has_outputs()
    }

    pub(super) fn gather(&self) -> Duration {
        let due_soon = self.env.clock.now().mono_ms + DUE_SOON_MS >= self.due_at_ms;
        if due_soon { GATHER_WHEN_DUE } else { GATHER }
    }

    pub(super) fn give_up_rest(&mut self) {
        self.runs.clear();
        self.again.clear();
        self.give_up_at = Instant::now() + FOREVER;
        for item in 0..self.items.len() {
            if let ItemStep::Record(result) = self.items.give_up(item)
                && !self.log.has_result(item)
            {
                log::warn!(job = &*self.owned.job, item = &*result.id; "job: item given up, its time is over");
                self.record(result);
            }
        }
    }
}
