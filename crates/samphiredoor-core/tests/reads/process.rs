//! A process of the model: it owns a job, or owned it, and answers readers from memory.

use std::sync::Arc;

use samphiredoor_core::{
    ordered::{
        Answer, ItemResult, JobOwner, KnownResults, LogCall, LogEnd, LogStep, Outcome, Ownership,
        Reader, ResultLog,
    },
    store::{Labels, StoreAnswer, StoreOp, Stored, Value, Version},
};

/// Items of the job.
pub const ITEMS: u32 = 2;

/// A process.
#[derive(Debug, Clone, Default, Hash)]
pub struct Process {
    /// Number of restarts.
    pub incarnation: u64,
    /// Whether others may take over its jobs: it is frozen, isolated, or does not reach the store.
    pub suspect: bool,
    /// When takeovers that were sent during its last gap can no longer take effect.
    pub late_takeovers_until_ms: u64,
    /// Whether it has ever owned the job.
    pub has_owned: bool,
    /// Its task of the job.
    pub task: Option<Task>,
}

/// A call of a task's log that is under way.
#[derive(Debug, Clone, Hash)]
pub struct Call {
    /// The call as the end of the log sees it.
    pub call: LogCall,
    /// Segment that is read or created.
    pub segment: usize,
    /// Content of the segment to create; `None` for a read.
    pub value: Option<Value>,
    /// What the store has done with it; `None` before it takes effect.
    pub effect: Option<Effect>,
}

/// What the store did with a call.
#[derive(Debug, Clone, Hash)]
pub enum Effect {
    /// The segment was created or read.
    Object(Value),
    /// There is no such segment.
    Absent,
    /// The segment to create exists.
    Taken,
}

impl Effect {
    fn answer(&self) -> StoreAnswer {
        match self {
            Effect::Object(value) => StoreAnswer::Object(stored(value)),
            Effect::Absent => StoreAnswer::Absent,
            Effect::Taken => StoreAnswer::Taken,
        }
    }
}

/// A segment as the store returns it.
pub fn stored(value: &Value) -> Stored {
    Stored {
        name: "segment".into(),
        version: Version(1),
        labels: Labels::new(),
        value: Value::clone(value),
    }
}

/// A reader that waits at a process.
#[derive(Debug, Clone, Copy, Hash)]
pub struct Waiting {
    /// The reader.
    pub reader: Reader,
    /// Number of results that callers may have read anywhere before it arrived.
    pub read_before: usize,
}

/// Whether a task still appends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Items are run.
    Running,
    /// The job is finished or cancelled; readers are answered from memory.
    Closed,
}

/// The task of a job at a process.
#[derive(Debug, Clone, Hash)]
pub struct Task {
    /// The real log.
    pub log: ResultLog,
    /// What the process knows of its end.
    pub end: LogEnd,
    /// The log's call under way.
    pub call: Option<Call>,
    /// Items whose results were passed to the log, as bits.
    pub pushed: u8,
    /// Whether it appends.
    pub phase: Phase,
    /// Version of the header that it wrote.
    pub header_version: u8,
    /// Whether it was confirmed that no other process owned the job since the last gap.
    pub is_confirmed: bool,
    /// Whether its header that marks the job as finished stands.
    pub finish_written: bool,
    /// Former owners that may still append, by the header.
    pub formers: Arc<[JobOwner]>,
    /// The reader that waits here.
    pub waiting: Option<Waiting>,
}

impl Task {
    /// Task of a new job.
    pub fn of_new_job() -> Task {
        Task::new(ResultLog::new("job".into()), LogEnd::of_new_job(), Arc::default(), 0)
    }

    /// Task of a job that was taken over.
    pub fn of_taken_job(now_ms: u64, formers: Arc<[JobOwner]>, header_version: u8) -> Task {
        let end = LogEnd::unread(now_ms, !formers.is_empty());
        Task::new(ResultLog::unread("job".into()), end, formers, header_version)
    }

    fn new(log: ResultLog, end: LogEnd, formers: Arc<[JobOwner]>, header_version: u8) -> Task {
        Task {
            log,
            end,
            call: None,
            pushed: 0,
            phase: Phase::Running,
            header_version,
            is_confirmed: true,
            finish_written: false,
            formers,
            waiting: None,
        }
    }

    /// First item without a result that was not passed to the log yet.
    pub fn next_item(&self) -> Option<u32> {
        let is_open = |it: &u32| self.pushed & (1 << it) == 0 && !self.log.has_result(*it);
        let runs = self.phase == Phase::Running && self.log.is_caught_up();
        (0..ITEMS).find(|it| runs && is_open(it))
    }

    /// Passes the result of an item to the log.
    pub fn produce(&mut self, by: usize, item: u32) {
        self.pushed |= 1 << item;
        self.log.push(ItemResult {
            item,
            id: format!("item-{item}").into(),
            outcome: Outcome::Completed,
            text: format!("by {by}").into(),
        });
    }

    /// Whether the log has a call to make.
    pub fn wants_call(&self) -> bool {
        let has_results = self.phase == Phase::Running && !self.log.is_flushed();
        self.call.is_none() && (has_results || !self.log.is_caught_up())
    }

    /// Sends the log's next call.
    pub fn send(&mut self, now_ms: u64) {
        let LogStep::Store(op) = self.log.step() else { return };
        let call = LogCall::new(&op, now_ms);
        let (key, value) = match op {
            StoreOp::Get { key } => (key, None),
            StoreOp::Create { key, value, .. } => (key, Some(value)),
            other => panic!("unexpected store call: {other:?}"),
        };
        let number = key.name.rsplit('-').next().and_then(|it| it.parse().ok());
        let segment = number.expect("the name of a segment ends with its number");
        self.call = Some(Call { call, segment, value, effect: None });
    }

    /// Passes on what the store did with the call under way.
    pub fn deliver_effect(&mut self, now_ms: u64) {
        let effect = self.call.as_ref().and_then(|it| it.effect.as_ref());
        if let Some(answer) = effect.map(Effect::answer) {
            self.deliver(&answer, now_ms);
        }
    }

    /// Passes an answer to the call under way.
    pub fn deliver(&mut self, answer: &StoreAnswer, now_ms: u64) {
        let Some(call) = self.call.take() else { return };
        self.end.answered(&call.call, answer, now_ms);
        // The next step is a step of its own in the model.
        let _ = self.log.answered(answer);
        if self.log.take_other_writer_seen() {
            self.end.other_writer_seen(now_ms);
        }
    }

    /// Whether a read for segments of others is due.
    pub fn wants_reread(&self, now_ms: u64, suspect: bool) -> bool {
        let is_idle = self.call.is_none() && self.log.is_caught_up() && !self.is_complete();
        let known = self.known(now_ms, suspect);
        let reader_waits = self.waiting.is_some_and(|it| !known.has_all_for(&it.reader));
        is_idle && (reader_waits || self.end.settles_at_ms().is_some_and(|it| it <= now_ms))
    }

    /// Whether all items have a result.
    pub fn is_complete(&self) -> bool {
        self.log.committed().len() == ITEMS as usize
    }

    /// Takes a reader that has some results. More than are held here come from another writer.
    pub fn arrive(&mut self, reader: Reader, read_before: usize) {
        if reader.after > self.log.committed().len() {
            self.end.other_writer_seen(reader.arrived_ms);
        }
        self.waiting = Some(Waiting { reader, read_before });
    }

    /// Answers a reader whose wait is over.
    pub fn reply(&self, reader: &Reader, now_ms: u64, suspect: bool) -> Answer {
        self.known(now_ms, suspect).answer(reader, true, suspect)
    }

    fn known(&self, now_ms: u64, suspect: bool) -> KnownResults<'_> {
        KnownResults {
            committed: self.log.committed().len(),
            total: ITEMS as usize,
            end: &self.end,
            is_writing: self.call.as_ref().is_some_and(|it| it.call.is_write()),
            ownership: self.ownership(now_ms, suspect),
        }
    }

    fn ownership(&self, now_ms: u64, suspect: bool) -> Ownership {
        match self.is_confirmed && !suspect {
            _ if self.finish_written => Ownership::Final,
            true => Ownership::HeldUntil(now_ms),
            false => Ownership::InDoubt,
        }
    }
}
