//! Simulation of processes, a store and a target, driven step by step.

mod requests;
mod steps;

use std::collections::{BTreeMap, VecDeque};

use samphiredoor_core::{
    Name,
    ledger::{
        Acceptance, CallId, Cancellation, ItemEnd, ItemRef, JobId, Ledger, LedgerAction,
        LedgerConfig, LedgerInput, Note, Unreadable, job_id,
    },
    store::{ObjectKey, StoreAnswer, StoreOp},
    time::Now,
};
use samphiredoor_schema::objects::JobHeader;

use crate::{
    invariants::{Invariants, stored_header},
    store::ModelStore,
};

pub use steps::{CallOutcome, RunEnd, Step, step};

pub const PROCESSES: usize = 3;
const LEASE_MS: u64 = 3_000;
const MARGIN_MS: u64 = 300;
const RECOVERY_ROUNDS: u32 = 4_000;

#[derive(Debug)]
enum CallOrigin {
    Ledger(CallId),
    Acceptance(Box<Acceptance>, String),
    Cancellation(Cancellation, JobId),
}

#[derive(Debug)]
struct PendingCall {
    process: usize,
    incarnation: u64,
    origin: CallOrigin,
    op: StoreOp,
}

#[derive(Debug)]
struct Running {
    process: usize,
    incarnation: u64,
    item: ItemRef,
    repeatable: bool,
}

#[derive(Debug)]
struct Process {
    name: Name,
    incarnation: u64,
    ledger: Option<Ledger>,
    paused: bool,
    stopping: bool,
    valid_until_ms: u64,
    inbox: VecDeque<LedgerInput>,
}

pub struct Simulation {
    now_ms: u64,
    pub store: ModelStore,
    processes: Vec<Process>,
    calls: Vec<PendingCall>,
    late_writes: Vec<StoreOp>,
    running: Vec<Running>,
    pub invariants: Invariants,
    next_incarnation: u64,
    uploads: u64,
    pub runs_started: u64,
    pub handed_over: u32,
    /// Objects that a ledger rejected as unreadable.
    pub unreadable: Vec<(ObjectKey, Unreadable)>,
}

impl Simulation {
    pub fn new() -> Simulation {
        let mut simulation = Simulation {
            now_ms: 1_000,
            store: ModelStore::default(),
            processes: Vec::new(),
            calls: Vec::new(),
            late_writes: Vec::new(),
            running: Vec::new(),
            invariants: Invariants::default(),
            next_incarnation: 1,
            uploads: 0,
            runs_started: 0,
            handed_over: 0,
            unreadable: Vec::new(),
        };
        for number in 0..PROCESSES {
            let name = format!("door-{number}").into();
            simulation.processes.push(Process {
                name,
                incarnation: 0,
                ledger: None,
                paused: false,
                stopping: false,
                valid_until_ms: 0,
                inbox: VecDeque::new(),
            });
            simulation.start(number);
        }
        simulation
    }

    /// Ends all failures; all accepted jobs must then end. With `restart` a single restarted process does the work,
    /// otherwise all processes continue with their state.
    pub fn recover(&mut self, restart: bool) {
        for process in 0..PROCESSES {
            if restart || self.processes[process].stopping {
                self.kill(process);
            }
            self.resume(process);
            if process == 0 || !restart {
                self.start(process);
            }
        }
        for op in std::mem::take(&mut self.late_writes) {
            self.apply(&op);
        }
        for _ in 0..RECOVERY_ROUNDS {
            if self.invariants.all_ended() {
                return;
            }
            for process in 0..PROCESSES {
                if self.processes[process].ledger.is_none() {
                    self.lease_expired(0, process);
                }
                self.advance(process);
            }
        }
        panic!("jobs did not end: {:#?}", self.invariants.open_jobs());
    }

    /// Renews the lease of a process, answers all its calls, completes all its runs and advances the clock.
    pub fn advance(&mut self, process: usize) {
        self.advance_holding(process, |_| false);
    }

    /// As [`Simulation::advance`], but leaves the calls for which `hold` is true pending. Returns whether there are any.
    pub fn advance_holding(&mut self, process: usize, hold: fn(&StoreOp) -> bool) -> bool {
        self.renew(process);
        let is_own = |it: &mut PendingCall| it.process == process && !hold(&it.op);
        let calls: Vec<PendingCall> = self.calls.extract_if(.., is_own).collect();
        for call in calls {
            self.complete_call(call, CallOutcome::Answered);
        }
        self.end_runs(process, RunEnd::Answered(200));
        self.advance_clock(100);
        self.calls.iter().any(|it| it.process == process && hold(&it.op))
    }

    /// Completes some of the pending calls of a process with the same outcome.
    pub fn complete_calls(
        &mut self,
        process: usize,
        which: fn(&StoreOp) -> bool,
        outcome: CallOutcome,
    ) {
        let is_own = |it: &mut PendingCall| it.process == process && which(&it.op);
        let calls: Vec<PendingCall> = self.calls.extract_if(.., is_own).collect();
        for call in calls {
            self.complete_call(call, outcome);
        }
    }

    /// Answers the calls of a process and leaves its runs pending.
    pub fn answer_calls(&mut self, process: usize, rounds: u32) {
        for _ in 0..rounds {
            self.renew(process);
            self.complete_calls(process, |_| true, CallOutcome::Answered);
            self.advance_clock(100);
        }
    }

    /// Ends all runs of a process.
    pub fn end_runs(&mut self, process: usize, end: RunEnd) {
        let is_own = |it: &mut Running| it.process == process;
        let running: Vec<Running> = self.running.extract_if(.., is_own).collect();
        for run in running {
            self.end_run(run, end);
        }
    }

    /// Number of running items by job.
    pub fn running_by_job(&self) -> BTreeMap<JobId, usize> {
        let mut running = BTreeMap::new();
        for run in &self.running {
            *running.entry(run.item.job.clone()).or_default() += 1;
        }
        running
    }

    /// Whether more than this many items are running.
    pub fn has_running_more_than(&self, runs: usize) -> bool {
        self.running.len() > runs
    }

    /// Whether items of a process are running.
    pub fn has_running(&self, process: usize) -> bool {
        self.running.iter().any(|it| it.process == process)
    }

    /// Stored header of the job with this key.
    pub fn header(&self, key: u8) -> JobHeader {
        stored_header(&self.store, &job(key)).expect("the job has a header")
    }

    fn add_call(&mut self, process: usize, origin: CallOrigin, op: StoreOp) {
        let incarnation = self.processes[process].incarnation;
        self.calls.push(PendingCall { process, incarnation, origin, op });
    }

    fn complete_call(&mut self, call: PendingCall, outcome: CallOutcome) {
        let answer = match outcome {
            CallOutcome::Answered => self.apply(&call.op),
            CallOutcome::Refused => StoreAnswer::Unavailable,
            // A read has no effect, also if its answer is lost.
            CallOutcome::AnswerLost | CallOutcome::Late if !call.op.is_write() => {
                StoreAnswer::Unavailable
            }
            CallOutcome::AnswerLost => {
                self.apply(&call.op);
                StoreAnswer::Unknown
            }
            CallOutcome::Late => {
                self.late_writes.push(call.op);
                StoreAnswer::Unknown
            }
        };
        let process = &self.processes[call.process];
        if process.ledger.is_none() || process.incarnation != call.incarnation {
            return;
        }
        match call.origin {
            CallOrigin::Ledger(id) => {
                self.input(call.process, LedgerInput::Stored { call: id, answer });
            }
            CallOrigin::Acceptance(mut acceptance, digest) => {
                let step = acceptance.handle_answer(answer);
                self.handle_submission_step(call.process, acceptance, digest, step);
            }
            CallOrigin::Cancellation(mut cancellation, job) => {
                let step = cancellation.handle_answer(answer);
                self.handle_cancel_step(call.process, cancellation, job, step);
            }
        }
    }

    /// Applies a store call and checks the invariants.
    fn apply(&mut self, op: &StoreOp) -> StoreAnswer {
        let answer = self.store.apply(op);
        self.invariants.check(&mut self.store);
        answer
    }

    fn end_run(&mut self, run: Running, end: RunEnd) {
        let end = match end {
            RunEnd::Answered(status) => {
                ItemEnd::Answered { status, body: self.runs_started.into() }
            }
            RunEnd::Large(bytes) => {
                ItemEnd::Answered { status: 200, body: "x".repeat(bytes).into() }
            }
            RunEnd::MayHaveRun => ItemEnd::MayHaveRun,
            RunEnd::NotRun => {
                // A dead process reports nothing more; items that it had started may have run.
                if self.processes[run.process].incarnation == run.incarnation
                    && self.processes[run.process].ledger.is_some()
                {
                    self.invariants.run_did_not_happen(&run.item, run.repeatable);
                }
                ItemEnd::NotRun { retry_after_ms: 0 }
            }
        };
        if self.processes[run.process].incarnation == run.incarnation {
            self.input(run.process, LedgerInput::ItemEnded { item: run.item, end });
        }
    }

    fn advance_clock(&mut self, ms: u64) {
        self.now_ms += ms;
        for process in 0..PROCESSES {
            if !self.processes[process].paused {
                self.input(process, LedgerInput::Tick);
            }
        }
    }

    pub fn renew(&mut self, process: usize) {
        if self.processes[process].paused || self.processes[process].ledger.is_none() {
            return;
        }
        let valid_until_ms = self.now_ms + LEASE_MS;
        self.processes[process].valid_until_ms = valid_until_ms;
        self.input(process, LedgerInput::Lease { valid_until_ms });
    }

    fn resume(&mut self, process: usize) {
        self.processes[process].paused = false;
        for input in std::mem::take(&mut self.processes[process].inbox) {
            self.input(process, input);
        }
    }

    fn kill(&mut self, process: usize) {
        let process = &mut self.processes[process];
        process.ledger = None;
        process.paused = false;
        process.inbox.clear();
    }

    fn start(&mut self, process: usize) {
        if self.processes[process].ledger.is_some() {
            return;
        }
        let incarnation = self.next_incarnation;
        self.next_incarnation += 1;
        let name = self.processes[process].name.clone();
        let writer = format!("{name}-{incarnation}").into();
        let config = LedgerConfig {
            lease_margin_ms: MARGIN_MS,
            takeover_stagger_ms: 200,
            orphan_scan_ms: 500,
            free_scan_ms: 500,
            cancel_scan_ms: 500,
            own_scan_ms: 1_000,
            ..LedgerConfig::new(name, incarnation, writer)
        };
        let slot = &mut self.processes[process];
        slot.incarnation = incarnation;
        slot.stopping = false;
        slot.ledger = Some(Ledger::new(config));
        slot.valid_until_ms = 0;
        let processes = self.processes.iter().map(|it| it.name.clone()).collect();
        self.input(process, LedgerInput::Live { processes });
        self.renew(process);
    }

    fn lease_expired(&mut self, observer: usize, process: usize) {
        let expired = &self.processes[process];
        let (process, incarnation) = (expired.name.clone(), expired.incarnation);
        self.input(observer, LedgerInput::LeaseExpired { process, incarnation });
    }

    fn input(&mut self, process: usize, input: LedgerInput) {
        let now = self.now();
        let slot = &mut self.processes[process];
        let Some(ledger) = &mut slot.ledger else { return };
        if slot.paused {
            slot.inbox.push_back(input);
            return;
        }
        let mut actions = Vec::new();
        ledger.handle(now, input, &mut actions);
        for action in actions {
            self.execute(process, action);
        }
    }

    fn execute(&mut self, process: usize, action: LedgerAction) {
        match action {
            LedgerAction::Store { call, op } => {
                self.add_call(process, CallOrigin::Ledger(call), op)
            }
            LedgerAction::Run(work) => {
                let slot = &self.processes[process];
                let held = self.now_ms + MARGIN_MS < slot.valid_until_ms;
                assert!(held, "{} started an item without its lease", slot.name);
                self.runs_started += 1;
                self.invariants.run_started(&work.item, work.repeatable);
                let (incarnation, repeatable) = (slot.incarnation, work.repeatable);
                self.running.push(Running { process, incarnation, item: work.item, repeatable });
            }
            LedgerAction::Note(Note::TakenOver { job, epoch }) => {
                self.invariants.taken_over(&job, epoch)
            }
            LedgerAction::Note(Note::Unreadable { key, fault }) => {
                self.unreadable.push((key, fault));
            }
            LedgerAction::HandedOver(_) => self.handed_over += 1,
            LedgerAction::Stop(_) | LedgerAction::Note(_) => {}
        }
    }

    fn now(&self) -> Now {
        Now::new(self.now_ms, 1_700_000_000_000 + self.now_ms)
    }
}

fn job(key: u8) -> JobId {
    job_id("desk", &format!("key-{key}"))
}
