//! Processes, a store and a target, driven step by step.

use std::collections::{BTreeMap, VecDeque};

use samphiredoor_core::{
    Name,
    ledger::{
        Acceptance, Accepting, CallId, CancelStep, Cancellation, ItemEnd, ItemRef, JobId, Ledger,
        LedgerAction, LedgerConfig, LedgerInput, Note, Submission, SubmissionStep, Unreadable,
        job_id,
    },
    store::{ObjectKey, StoreAnswer, StoreOp},
    time::Now,
};
use samphiredoor_schema::objects::{JobHeader, JobState};

use crate::{
    promises::{Promises, stored_header},
    store::ModelStore,
};

pub const PROCESSES: usize = 3;
const LEASE_MS: u64 = 3_000;
const MARGIN_MS: u64 = 300;
const HEALING_ROUNDS: u32 = 4_000;

/// What becomes of a store call.
#[derive(Debug, Clone, Copy)]
pub enum Fate {
    /// It takes effect and is answered.
    Answered,
    /// It takes effect and its answer is lost.
    AnswerLost,
    /// It is refused without effect.
    Refused,
    /// Its answer is lost, and it may take effect later.
    Late,
}

/// How a run ends.
#[derive(Debug, Clone, Copy)]
pub enum RunEnd {
    Answered(u16),
    /// A whole answer with so many bytes.
    Large(usize),
    NotRun,
    MayHaveRun,
}

/// One thing that happens.
#[derive(Debug, Clone)]
pub enum Step {
    Submit {
        process: usize,
        key: u8,
        content: u8,
        repeatable: bool,
    },
    Call {
        which: usize,
        fate: Fate,
    },
    LateWrite {
        which: usize,
    },
    RunEnds {
        which: usize,
        end: RunEnd,
    },
    Pass {
        ms: u64,
    },
    Renew {
        process: usize,
    },
    Pause {
        process: usize,
    },
    Wake {
        process: usize,
    },
    Kill {
        process: usize,
    },
    Start {
        process: usize,
    },
    Lapsed {
        observer: usize,
        process: usize,
    },
    Offered {
        process: usize,
        key: u8,
    },
    Cancel {
        process: usize,
        key: u8,
    },
    CancelHint {
        process: usize,
        key: u8,
    },
    Stop {
        process: usize,
    },
    /// One process works undisturbed while the calls and runs of the others hang.
    GoOn {
        process: usize,
        rounds: u8,
    },
}

#[derive(Debug)]
enum Caller {
    Ledger(CallId),
    Acceptance(Box<Acceptance>, String),
    Cancellation(Cancellation, JobId),
}

#[derive(Debug)]
struct PendingCall {
    process: usize,
    incarnation: u64,
    caller: Caller,
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

pub struct World {
    now_ms: u64,
    pub store: ModelStore,
    processes: Vec<Process>,
    calls: Vec<PendingCall>,
    late: Vec<StoreOp>,
    running: Vec<Running>,
    pub promises: Promises,
    next_incarnation: u64,
    uploads: u64,
    pub ran: u64,
    pub handed_over: u32,
    /// Objects that were refused as unreadable.
    pub unreadable: Vec<(ObjectKey, Unreadable)>,
}

impl World {
    pub fn new() -> World {
        let mut world = World {
            now_ms: 1_000,
            store: ModelStore::default(),
            processes: Vec::new(),
            calls: Vec::new(),
            late: Vec::new(),
            running: Vec::new(),
            promises: Promises::default(),
            next_incarnation: 1,
            uploads: 0,
            ran: 0,
            handed_over: 0,
            unreadable: Vec::new(),
        };
        for number in 0..PROCESSES {
            let name = format!("door-{number}").into();
            world.processes.push(Process {
                name,
                incarnation: 0,
                ledger: None,
                paused: false,
                stopping: false,
                valid_until_ms: 0,
                inbox: VecDeque::new(),
            });
            world.start(number);
        }
        world
    }

    pub fn take(&mut self, step: &Step) {
        match step.clone() {
            Step::Submit { process, key, content, repeatable } => {
                self.submit(process, key, content, repeatable);
            }
            Step::Call { which, fate } => {
                if !self.calls.is_empty() {
                    let call = self.calls.remove(which % self.calls.len());
                    self.call(call, fate);
                }
            }
            Step::LateWrite { which } => {
                if !self.late.is_empty() {
                    let op = self.late.remove(which % self.late.len());
                    self.apply(&op);
                }
            }
            Step::RunEnds { which, end } => {
                if !self.running.is_empty() {
                    let run = self.running.remove(which % self.running.len());
                    self.run_ends(run, end);
                }
            }
            Step::Pass { ms } => self.pass(ms),
            Step::Renew { process } => self.renew(process),
            Step::Pause { process } => {
                let process = &mut self.processes[process];
                process.paused = process.ledger.is_some();
            }
            Step::Wake { process } => self.wake(process),
            Step::Kill { process } => self.kill(process),
            Step::Start { process } => self.start(process),
            Step::Lapsed { observer, process } => self.lapsed(observer, process),
            Step::Offered { process, key } => {
                self.input(process, LedgerInput::Offered { job: job(key) });
            }
            Step::Cancel { process, key } => self.cancel(process, key),
            Step::CancelHint { process, key } => {
                self.input(process, LedgerInput::CancelHint { job: job(key) });
            }
            Step::Stop { process } => {
                self.processes[process].stopping = true;
                self.input(process, LedgerInput::Stopping);
            }
            Step::GoOn { process, rounds } => (0..rounds).for_each(|_| self.go_on(process)),
        }
    }

    /// Everything is well again: all accepted jobs must end. With `restart` one fresh process is left to do it, else
    /// all go on with what they know.
    pub fn heal(&mut self, restart: bool) {
        for process in 0..PROCESSES {
            if restart || self.processes[process].stopping {
                self.kill(process);
            }
            self.wake(process);
            if process == 0 || !restart {
                self.start(process);
            }
        }
        for op in std::mem::take(&mut self.late) {
            self.apply(&op);
        }
        for _ in 0..HEALING_ROUNDS {
            if self.promises.all_ended() {
                return;
            }
            for process in 0..PROCESSES {
                if self.processes[process].ledger.is_none() {
                    self.lapsed(0, process);
                }
                self.go_on(process);
            }
        }
        panic!("jobs never ended: {:#?}", self.promises.open_jobs());
    }

    /// The process renews its lease, all its calls are answered, all its runs end well, and some time passes.
    pub fn go_on(&mut self, process: usize) {
        self.go_on_holding(process, |_| false);
    }

    /// As [`World::go_on`], but some calls hang; tells whether any does.
    pub fn go_on_holding(&mut self, process: usize, hold: fn(&StoreOp) -> bool) -> bool {
        self.renew(process);
        let is_own = |it: &mut PendingCall| it.process == process && !hold(&it.op);
        let calls: Vec<PendingCall> = self.calls.extract_if(.., is_own).collect();
        for call in calls {
            self.call(call, Fate::Answered);
        }
        self.end_runs(process, RunEnd::Answered(200));
        self.pass(100);
        self.calls.iter().any(|it| it.process == process && hold(&it.op))
    }

    /// Ends some calls of a process.
    pub fn release(&mut self, process: usize, which: fn(&StoreOp) -> bool, fate: Fate) {
        let is_own = |it: &mut PendingCall| it.process == process && which(&it.op);
        let calls: Vec<PendingCall> = self.calls.extract_if(.., is_own).collect();
        for call in calls {
            self.call(call, fate);
        }
    }

    /// Answers calls, and lets runs hang.
    pub fn answer_calls(&mut self, process: usize, rounds: u32) {
        for _ in 0..rounds {
            self.renew(process);
            self.release(process, |_| true, Fate::Answered);
            self.pass(100);
        }
    }

    /// Ends all runs of a process.
    pub fn end_runs(&mut self, process: usize, end: RunEnd) {
        let is_own = |it: &mut Running| it.process == process;
        let running: Vec<Running> = self.running.extract_if(.., is_own).collect();
        for run in running {
            self.run_ends(run, end);
        }
    }

    /// Items that hang, by job.
    pub fn running_by_job(&self) -> BTreeMap<JobId, usize> {
        let mut running = BTreeMap::new();
        for run in &self.running {
            *running.entry(run.item.job.clone()).or_default() += 1;
        }
        running
    }

    /// Whether more than so many runs hang.
    pub fn has_running_more_than(&self, runs: usize) -> bool {
        self.running.len() > runs
    }

    /// Whether runs of a process hang.
    pub fn has_running(&self, process: usize) -> bool {
        self.running.iter().any(|it| it.process == process)
    }

    /// Header of the job of a key.
    pub fn header(&self, key: u8) -> JobHeader {
        stored_header(&self.store, &job(key)).expect("the job stands")
    }

    pub fn submit(&mut self, process: usize, key: u8, content: u8, repeatable: bool) {
        if self.processes[process].ledger.is_none() || self.processes[process].paused {
            return;
        }
        // One content has many chunks, so that the header has to name more of them while the job runs.
        let (items, chunk_items) = if content == 0 { (36, 1) } else { (4 + u32::from(content), 2) };
        self.submit_items(process, key, content, (items, chunk_items), repeatable);
    }

    /// Submits a job of so many items in chunks of so many.
    pub fn submit_items(
        &mut self,
        process: usize,
        key: u8,
        content: u8,
        (items, chunk_items): (u32, usize),
        repeatable: bool,
    ) {
        let mut submission = Submission::new().with_chunk_items(chunk_items);
        let line = |it| {
            format!(r#"{{"custom_id":"{content}-{it}","url":"/services/pickup/x","body":{{}}}}"#)
        };
        let lines: Vec<String> = (0..items).map(line).collect();
        let mut chunks = submission.push(lines.join("\n").as_bytes()).expect("lines are items");
        chunks.extend(submission.finish().expect("the last line is an item"));
        self.uploads += 1;
        let accepting = Accepting {
            workspace: "desk".into(),
            key: format!("key-{key}").into(),
            upload: format!("up{}", self.uploads).into(),
            process: self.processes[process].name.clone(),
            incarnation: self.processes[process].incarnation,
            due_unix_ms: None,
            repeatable,
        };
        for (number, chunk) in chunks {
            self.apply(&Acceptance::chunk_op(&accepting.upload, number, &chunk));
        }
        let mut acceptance = Acceptance::new(self.now(), &accepting, &submission);
        let step = acceptance.start();
        let digest = submission.digest();
        self.accepting(process, Box::new(acceptance), digest, step);
    }

    fn accepting(
        &mut self,
        process: usize,
        acceptance: Box<Acceptance>,
        digest: String,
        step: SubmissionStep,
    ) {
        match step {
            SubmissionStep::Store(op) => {
                self.add_call(process, Caller::Acceptance(acceptance, digest), op);
            }
            SubmissionStep::Accepted { job, header, version, resent } => {
                self.promises.accepted(&self.store, &job, &digest);
                if !resent {
                    self.input(process, LedgerInput::Owned { job, header, version });
                }
            }
            SubmissionStep::Conflicting { job } => {
                let header = stored_header(&self.store, &job).expect("what conflicts stands");
                assert_ne!(header.digest, digest, "the same content cannot conflict");
            }
            SubmissionStep::NotAccepted | SubmissionStep::MayBeAccepted => {}
        }
    }

    fn cancel(&mut self, process: usize, key: u8) {
        if self.processes[process].ledger.is_none() || self.processes[process].paused {
            return;
        }
        let mut cancellation = Cancellation::new(job(key));
        let step = cancellation.start();
        self.cancelling(process, cancellation, job(key), step);
    }

    fn cancelling(&mut self, process: usize, it: Cancellation, job: JobId, step: CancelStep) {
        match step {
            CancelStep::Store(op) => self.add_call(process, Caller::Cancellation(it, job), op),
            CancelStep::Cancelled { .. } => {
                let header = stored_header(&self.store, &job).expect("a cancelled job stands");
                let state = header.state;
                assert!(matches!(state, JobState::Cancelling | JobState::Cancelled), "{state:?}");
            }
            CancelStep::Finished { .. } => {
                let header = stored_header(&self.store, &job).expect("a finished job stands");
                assert_eq!(header.state, JobState::Finished);
            }
            _ => {}
        }
    }

    fn add_call(&mut self, process: usize, caller: Caller, op: StoreOp) {
        let incarnation = self.processes[process].incarnation;
        self.calls.push(PendingCall { process, incarnation, caller, op });
    }

    fn call(&mut self, call: PendingCall, fate: Fate) {
        let answer = match fate {
            Fate::Answered => self.apply(&call.op),
            Fate::Refused => StoreAnswer::Unavailable,
            // A read whose answer is lost had no effect.
            Fate::AnswerLost | Fate::Late if !call.op.is_write() => StoreAnswer::Unavailable,
            Fate::AnswerLost => {
                self.apply(&call.op);
                StoreAnswer::Unknown
            }
            Fate::Late => {
                self.late.push(call.op);
                StoreAnswer::Unknown
            }
        };
        let process = &self.processes[call.process];
        if process.ledger.is_none() || process.incarnation != call.incarnation {
            return;
        }
        match call.caller {
            Caller::Ledger(id) => {
                self.input(call.process, LedgerInput::Stored { call: id, answer });
            }
            Caller::Acceptance(mut acceptance, digest) => {
                let step = acceptance.answered(answer);
                self.accepting(call.process, acceptance, digest, step);
            }
            Caller::Cancellation(mut cancellation, job) => {
                let step = cancellation.answered(answer);
                self.cancelling(call.process, cancellation, job, step);
            }
        }
    }

    /// Makes a store call, and checks what it left.
    fn apply(&mut self, op: &StoreOp) -> StoreAnswer {
        let answer = self.store.apply(op);
        self.promises.check(&mut self.store);
        answer
    }

    fn run_ends(&mut self, run: Running, end: RunEnd) {
        let end = match end {
            RunEnd::Answered(status) => ItemEnd::Answered { status, body: self.ran.into() },
            RunEnd::Large(bytes) => {
                ItemEnd::Answered { status: 200, body: "x".repeat(bytes).into() }
            }
            RunEnd::MayHaveRun => ItemEnd::MayHaveRun,
            RunEnd::NotRun => {
                // A lost process says nothing any more; what it had handed out may have run.
                if self.processes[run.process].incarnation == run.incarnation
                    && self.processes[run.process].ledger.is_some()
                {
                    self.promises.not_run(&run.item, run.repeatable);
                }
                ItemEnd::NotRun { retry_after_ms: 0 }
            }
        };
        if self.processes[run.process].incarnation == run.incarnation {
            self.input(run.process, LedgerInput::ItemEnded { item: run.item, end });
        }
    }

    fn pass(&mut self, ms: u64) {
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

    fn wake(&mut self, process: usize) {
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
            sweep_ms: 500,
            free_list_ms: 500,
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

    fn lapsed(&mut self, observer: usize, process: usize) {
        let lapsed = &self.processes[process];
        let (process, incarnation) = (lapsed.name.clone(), lapsed.incarnation);
        self.input(observer, LedgerInput::Lapsed { process, incarnation });
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
            self.act(process, action);
        }
    }

    fn act(&mut self, process: usize, action: LedgerAction) {
        match action {
            LedgerAction::Store { call, op } => self.add_call(process, Caller::Ledger(call), op),
            LedgerAction::Run(work) => {
                let slot = &self.processes[process];
                let held = self.now_ms + MARGIN_MS < slot.valid_until_ms;
                assert!(held, "{} handed out an item without its lease", slot.name);
                self.ran += 1;
                self.promises.started(&work.item, work.repeatable);
                let (incarnation, repeatable) = (slot.incarnation, work.repeatable);
                self.running.push(Running { process, incarnation, item: work.item, repeatable });
            }
            LedgerAction::Note(Note::Taken { job, epoch }) => self.promises.taken(&job, epoch),
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
