//! Batch jobs: each job is accepted once and each of its items gets exactly one stored result.
//!
//! A job consists of a header, immutable chunks of items, and one results object per chunk. Creating the header accepts
//! the job. An item is complete if and only if its result is committed to its chunk's results object, which changes
//! only by conditional update and never loses or replaces a result. Correctness rests on these conditional updates
//! alone; owners, leases and group commits only avoid duplicate work.

mod backoff;
mod cancellation;
mod chunk;
mod codec;
mod commit;
mod config;
mod context;
mod messages;
mod names;
mod run;
mod submission;
mod takeover;

use std::{collections::BTreeMap, sync::Arc};

use rand::{SeedableRng, rngs::SmallRng};
use samphiredoor_schema::objects::JobHeader;

pub use cancellation::{CancelStep, Cancellation};
pub use chunk::MAX_TRIES;
pub use codec::{
    FORMAT, FREE_OWNER, ReadResults, Unreadable, read_header, read_results, state_label,
};
pub use config::LedgerConfig;
pub use messages::{ItemEnd, ItemRef, ItemWork, LedgerAction, LedgerInput, Note, Progress};
pub use names::{CallId, JobId, chunk_key, header_key, job_id, results_key};
pub use submission::{
    Acceptance, AcceptanceParams, BadLine, CHUNK_ITEMS, Submission, SubmissionStep, service_in_path,
};

use crate::{
    store::{StoreAnswer, Version},
    time::Now,
};
use context::{Context, LingerLimiter};
use run::{Event, JobRun, Load};
pub use takeover::orphan_scanners;
use takeover::{Finding, Takeover};

/// Part of the ledger that issued a store call and handles its answer.
#[derive(Debug)]
enum CallOrigin {
    Job(JobId),
    Takeover,
}

/// State shared by all jobs and the takeover of orphaned jobs.
#[derive(Debug)]
struct Shared {
    config: LedgerConfig,
    calls: BTreeMap<CallId, CallOrigin>,
    next_call: u64,
    rng: SmallRng,
    linger_limiter: LingerLimiter,
    lease_held: bool,
    stopping: bool,
    load: Load,
}

/// State machine of the jobs that this process owns, and of its scans for jobs without a live owner.
#[derive(Debug)]
pub struct Ledger {
    shared: Shared,
    runs: BTreeMap<JobId, JobRun>,
    takeover: Takeover,
    valid_until_ms: u64,
    /// Job that the last tick started with; rotated, so that no job always comes first.
    first_job: Option<JobId>,
}

impl Ledger {
    /// Creates a ledger without jobs. It starts no items and takes over no jobs before its first
    /// [`LedgerInput::Lease`].
    pub fn new(config: LedgerConfig) -> Ledger {
        let shared = Shared {
            calls: BTreeMap::new(),
            next_call: 0,
            rng: SmallRng::seed_from_u64(config.seed),
            linger_limiter: LingerLimiter::new(config.linger_write_interval_ms),
            lease_held: false,
            stopping: false,
            load: Load::default(),
            config,
        };
        Ledger {
            runs: BTreeMap::new(),
            takeover: Takeover::new(Arc::clone(&shared.config.process), shared.config.incarnation),
            valid_until_ms: 0,
            first_job: None,
            shared,
        }
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Now, input: LedgerInput, out: &mut Vec<LedgerAction>) {
        if let LedgerInput::Lease { valid_until_ms } = input {
            self.valid_until_ms = valid_until_ms;
        }
        self.check_lease(now, out);
        match input {
            LedgerInput::Owned { job, header, version } => {
                self.add_owned(now, job, *header, version, out);
            }
            LedgerInput::Stored { call, answer } => self.store_answered(now, call, answer, out),
            LedgerInput::ItemEnded { item, end } => {
                let job = Arc::clone(&item.job);
                if self.runs.get(&job).is_some_and(|it| it.epoch() == item.epoch) {
                    self.step(now, &job, Some(Event::Ended(item, end)), out);
                }
            }
            LedgerInput::Lease { .. } | LedgerInput::Tick => self.tick(now, out),
            LedgerInput::LeaseExpired { process, incarnation } => {
                self.with_takeover(now, out, |it, _, ctx| {
                    it.lease_expired(process, incarnation, ctx)
                });
            }
            LedgerInput::Live { processes } => self.takeover.set_live(processes),
            LedgerInput::CancelHint { job } => self.request_header_read(now, &job, out),
            LedgerInput::Offered { job } => {
                if !self.runs.contains_key(&job) {
                    self.with_takeover(now, out, |it, _, ctx| it.job_offered(job, ctx));
                }
            }
            LedgerInput::Stopping => self.hand_over_all(now, out),
        }
    }

    /// Returns the progress of a job, or `None` if this process does not own it.
    pub fn progress(&self, job: &str) -> Option<Progress> {
        self.runs.get(job).map(JobRun::progress)
    }

    /// Jobs that this process owns and has not finished.
    pub fn jobs(&self) -> impl Iterator<Item = &JobId> {
        self.runs.keys()
    }

    /// Detects by the local clock that this process's lease has expired, also after the process was paused.
    fn check_lease(&mut self, now: Now, out: &mut Vec<LedgerAction>) {
        let held = now.mono_ms + self.shared.config.lease_margin_ms < self.valid_until_ms;
        let was_held = std::mem::replace(&mut self.shared.lease_held, held);
        if was_held && !held {
            out.push(LedgerAction::Note(Note::LeaseExpired));
            for job in self.job_ids() {
                self.with_run(now, &job, out, JobRun::pause);
            }
        }
    }

    fn add_owned(
        &mut self,
        now: Now,
        job: JobId,
        header: JobHeader,
        version: Version,
        out: &mut Vec<LedgerAction>,
    ) {
        let epoch = header.owner.epoch;
        let known = self.runs.get(&job).is_some_and(|it| it.epoch() >= epoch);
        if !known && !self.takeover.is_taking_over(&job) {
            self.start_job(now, job, header, version, out);
        }
    }

    fn start_job(
        &mut self,
        now: Now,
        job: JobId,
        header: JobHeader,
        version: Version,
        out: &mut Vec<LedgerAction>,
    ) {
        self.with_run(now, &job, out, JobRun::drop_job);
        self.runs.insert(Arc::clone(&job), JobRun::new(Arc::clone(&job), header, version));
        if self.shared.stopping {
            self.with_run(now, &job, out, JobRun::hand_over);
        }
        self.step(now, &job, None, out);
    }

    fn hand_over_all(&mut self, now: Now, out: &mut Vec<LedgerAction>) {
        self.shared.stopping = true;
        for job in self.job_ids() {
            self.with_run(now, &job, out, JobRun::hand_over);
        }
    }

    fn request_header_read(&mut self, now: Now, job: &JobId, out: &mut Vec<LedgerAction>) {
        if let Some(run) = self.runs.get_mut(job) {
            run.request_header_read();
            self.step(now, job, None, out);
        }
    }

    fn tick(&mut self, now: Now, out: &mut Vec<LedgerAction>) {
        let mut jobs = self.job_ids();
        let first_job = self.first_job.as_ref();
        let start = jobs.iter().position(|it| Some(it) > first_job).unwrap_or(0);
        jobs.rotate_left(start);
        self.first_job = jobs.first().cloned();
        for job in jobs {
            self.step(now, &job, None, out);
        }
        self.with_takeover(now, out, Takeover::step);
    }

    fn store_answered(
        &mut self,
        now: Now,
        call: CallId,
        answer: StoreAnswer,
        out: &mut Vec<LedgerAction>,
    ) {
        match self.shared.calls.remove(&call) {
            Some(CallOrigin::Job(job)) => {
                self.step(now, &job, Some(Event::Stored(call, answer)), out);
            }
            Some(CallOrigin::Takeover) => {
                let finding = self.with_takeover(now, out, |it, runs, ctx| {
                    it.store_answered(call, answer, runs, ctx)
                });
                for finding in finding {
                    self.handle_finding(now, finding, out);
                }
            }
            None => {}
        }
    }

    fn handle_finding(&mut self, now: Now, finding: Finding, out: &mut Vec<LedgerAction>) {
        match finding {
            Finding::TakenOver { job, header, version } => {
                let epoch = header.owner.epoch;
                out.push(LedgerAction::Note(Note::TakenOver { job: Arc::clone(&job), epoch }));
                self.start_job(now, job, *header, version, out);
            }
            Finding::Cancelled { job } => self.request_header_read(now, &job, out),
        }
    }

    fn job_ids(&self) -> Vec<JobId> {
        self.runs.keys().cloned().collect()
    }

    fn step(&mut self, now: Now, job: &JobId, event: Option<Event>, out: &mut Vec<LedgerAction>) {
        self.with_run(now, job, out, |run, ctx| run.step(event, ctx));
    }

    fn with_run(
        &mut self,
        now: Now,
        job: &JobId,
        out: &mut Vec<LedgerAction>,
        act: impl FnOnce(&mut JobRun, &mut Context<'_>),
    ) {
        let jobs = self.runs.len();
        let Some(run) = self.runs.get_mut(job) else { return };
        let before = run.load();
        let mut ctx = self.shared.context(now, jobs, out);
        act(run, &mut ctx);
        let calls = ctx.new_calls;
        let after = if run.has_ended() { Load::default() } else { run.load() };
        self.shared.load.change(before, after);
        self.shared.track_calls(&calls, || CallOrigin::Job(Arc::clone(job)));
        if run.has_ended() {
            self.runs.remove(job);
        }
    }

    fn with_takeover<T>(
        &mut self,
        now: Now,
        out: &mut Vec<LedgerAction>,
        act: impl FnOnce(&mut Takeover, &BTreeMap<JobId, JobRun>, &mut Context<'_>) -> T,
    ) -> T {
        let mut ctx = self.shared.context(now, 1, out);
        let result = act(&mut self.takeover, &self.runs, &mut ctx);
        let calls = ctx.new_calls;
        self.shared.track_calls(&calls, || CallOrigin::Takeover);
        result
    }
}

impl Shared {
    fn context<'a>(
        &'a mut self,
        now: Now,
        jobs: usize,
        out: &'a mut Vec<LedgerAction>,
    ) -> Context<'a> {
        let store_keeps_up = self.load.pending_bytes < self.config.max_pending_bytes;
        let fair_share = (self.config.max_running / jobs).max(1);
        Context {
            now,
            config: &self.config,
            rng: &mut self.rng,
            lease_held: self.lease_held,
            may_run: self.lease_held && !self.stopping && store_keeps_up,
            free_slots: self.config.max_running.saturating_sub(self.load.running),
            free_job_slots: fair_share.min(self.config.max_running_per_job),
            linger_limiter: &mut self.linger_limiter,
            next_call: &mut self.next_call,
            new_calls: Vec::new(),
            out,
        }
    }

    fn track_calls(&mut self, calls: &[CallId], origin: impl Fn() -> CallOrigin) {
        for call in calls {
            self.calls.insert(*call, origin());
        }
    }
}
