//! Batch jobs: accepted once, each item completed once, results readable.
//!
//! A job is a header, immutable chunks of items, and one results object per chunk. Creating the header is the moment
//! of acceptance. An item is complete when, and only when, its result stands in its chunk's results object, which only
//! changes by conditional update and never loses or replaces a result. That is the safety; owners, leases and commits
//! in groups only keep the work from being done twice.

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
pub use codec::{FORMAT, FREE_OWNER, ReadResults, Unreadable, read_header, read_results};
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
use context::{Context, LingerPace};
use run::{Event, JobRun, Load};
pub use takeover::orphan_scanners;
use takeover::{Found, Takeover};

#[derive(Debug)]
enum Caller {
    Job(JobId),
    Takeover,
}

/// What all parts of the ledger share, beside their own states.
#[derive(Debug)]
struct Shared {
    config: LedgerConfig,
    calls: BTreeMap<CallId, Caller>,
    next_call: u64,
    rng: SmallRng,
    pace: LingerPace,
    lease_held: bool,
    stopping: bool,
    load: Load,
}

/// Jobs that this process owns, and the search for those that nobody works on.
#[derive(Debug)]
pub struct Ledger {
    shared: Shared,
    runs: BTreeMap<JobId, JobRun>,
    takeover: Takeover,
    valid_until_ms: u64,
    // Job that a tick begins with, so that none is always first.
    first: Option<JobId>,
}

impl Ledger {
    /// Ledger without jobs. It hands out and takes nothing before its first [`LedgerInput::Lease`].
    pub fn new(config: LedgerConfig) -> Ledger {
        let shared = Shared {
            calls: BTreeMap::new(),
            next_call: 0,
            rng: SmallRng::seed_from_u64(config.seed),
            pace: LingerPace::new(config.commit_ms),
            lease_held: false,
            stopping: false,
            load: Load::default(),
            config,
        };
        Ledger {
            runs: BTreeMap::new(),
            takeover: Takeover::new(Arc::clone(&shared.config.process), shared.config.incarnation),
            valid_until_ms: 0,
            first: None,
            shared,
        }
    }

    /// Takes one event; appends what to do to `out`.
    pub fn handle(&mut self, now: Now, input: LedgerInput, out: &mut Vec<LedgerAction>) {
        if let LedgerInput::Lease { valid_until_ms } = input {
            self.valid_until_ms = valid_until_ms;
        }
        self.check_lease(now, out);
        match input {
            LedgerInput::Owned { job, header, version } => {
                self.owned(now, job, *header, version, out);
            }
            LedgerInput::Stored { call, answer } => self.stored(now, call, answer, out),
            LedgerInput::ItemEnded { item, end } => {
                let job = Arc::clone(&item.job);
                if self.runs.get(&job).is_some_and(|it| it.epoch() == item.epoch) {
                    self.step(now, &job, Some(Event::Ended(item, end)), out);
                }
            }
            LedgerInput::Lease { .. } | LedgerInput::Tick => self.tick(now, out),
            LedgerInput::LeaseExpired { process, incarnation } => {
                self.with_takeover(now, out, |it, _, ctx| it.lapsed(process, incarnation, ctx));
            }
            LedgerInput::Live { processes } => self.takeover.live(processes),
            LedgerInput::CancelHint { job } => self.recheck(now, &job, out),
            LedgerInput::Offered { job } => {
                if !self.runs.contains_key(&job) {
                    self.with_takeover(now, out, |it, _, ctx| it.offered(job, ctx));
                }
            }
            LedgerInput::Stopping => self.stop(now, out),
        }
    }

    /// Progress of a job, if this process owns it.
    pub fn progress(&self, job: &str) -> Option<Progress> {
        self.runs.get(job).map(JobRun::progress)
    }

    /// Jobs that this process works on.
    pub fn jobs(&self) -> impl Iterator<Item = &JobId> {
        self.runs.keys()
    }

    /// Notices the end of the own lease by the own clock, also after the process was paused.
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

    fn owned(
        &mut self,
        now: Now,
        job: JobId,
        header: JobHeader,
        version: Version,
        out: &mut Vec<LedgerAction>,
    ) {
        let epoch = header.owner.epoch;
        let known = self.runs.get(&job).is_some_and(|it| it.epoch() >= epoch);
        if !known && !self.takeover.is_taking(&job) {
            self.start(now, job, header, version, out);
        }
    }

    fn start(
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

    fn stop(&mut self, now: Now, out: &mut Vec<LedgerAction>) {
        self.shared.stopping = true;
        for job in self.job_ids() {
            self.with_run(now, &job, out, JobRun::hand_over);
        }
    }

    fn recheck(&mut self, now: Now, job: &JobId, out: &mut Vec<LedgerAction>) {
        if let Some(run) = self.runs.get_mut(job) {
            run.recheck();
            self.step(now, job, None, out);
        }
    }

    fn tick(&mut self, now: Now, out: &mut Vec<LedgerAction>) {
        let mut jobs = self.job_ids();
        let first = self.first.as_ref();
        let start = jobs.iter().position(|it| Some(it) > first).unwrap_or(0);
        jobs.rotate_left(start);
        self.first = jobs.first().cloned();
        for job in jobs {
            self.step(now, &job, None, out);
        }
        self.with_takeover(now, out, Takeover::step);
    }

    fn stored(&mut self, now: Now, call: CallId, answer: StoreAnswer, out: &mut Vec<LedgerAction>) {
        match self.shared.calls.remove(&call) {
            Some(Caller::Job(job)) => {
                self.step(now, &job, Some(Event::Stored(call, answer)), out);
            }
            Some(Caller::Takeover) => {
                let found = self
                    .with_takeover(now, out, |it, runs, ctx| it.stored(call, answer, runs, ctx));
                for found in found {
                    self.found(now, found, out);
                }
            }
            None => {}
        }
    }

    fn found(&mut self, now: Now, found: Found, out: &mut Vec<LedgerAction>) {
        match found {
            Found::Taken { job, header, version } => {
                let epoch = header.owner.epoch;
                out.push(LedgerAction::Note(Note::TakenOver { job: Arc::clone(&job), epoch }));
                self.start(now, job, *header, version, out);
            }
            Found::Cancelled { job } => self.recheck(now, &job, out),
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
        let after = if run.ended() { Load::default() } else { run.load() };
        self.shared.load.change(before, after);
        self.shared.remember(&calls, || Caller::Job(Arc::clone(job)));
        if run.ended() {
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
        self.shared.remember(&calls, || Caller::Takeover);
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
        let keeps_up = self.load.pending_bytes < self.config.max_pending_bytes;
        let fair_share = (self.config.max_running / jobs).max(1);
        Context {
            now,
            config: &self.config,
            rng: &mut self.rng,
            lease_held: self.lease_held,
            may_run: self.lease_held && !self.stopping && keeps_up,
            room: self.config.max_running.saturating_sub(self.load.running),
            job_room: fair_share.min(self.config.max_running_per_job),
            pace: &mut self.pace,
            next_call: &mut self.next_call,
            new_calls: Vec::new(),
            out,
        }
    }

    fn remember(&mut self, calls: &[CallId], caller: impl Fn() -> Caller) {
        for call in calls {
            self.calls.insert(*call, caller());
        }
    }
}
