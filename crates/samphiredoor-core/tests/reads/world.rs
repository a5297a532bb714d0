//! The log in the store, the processes, and all that can happen to them.
//!
//! A reader at one gateway has always just read the whole log from the store when another one arrives at a process; what
//! is read in a process's memory is a prefix of it. So the number of results that callers may have read is the length of
//! the stored log. Time passes in steps of the time that a write may be late, and by a millisecond before each
//! arrival of a reader, so that a call sent before it has an earlier time.
//!
//! A process that is frozen takes no step, and one whose store is silent gets no answers; both are orders of steps.

use std::sync::Arc;

use samphiredoor_core::{
    ordered::{Answer, ItemResult, JobHeader, JobOwner, LATE_WRITE_MS, Reader, read_segment},
    store::{StoreAnswer, Value},
};

use super::{
    actions::{Action, Bounds, FinishWrite, Rules},
    explorer::Model,
    process::{Call, Effect, ITEMS, Phase, Process, Task, Waiting, stored},
};

/// Processes.
const PROCESSES: usize = 3;

/// Time in a step, after which a write without an answer has no effect any more.
const TICK_MS: u64 = LATE_WRITE_MS;

/// A create of a segment that may still take effect.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct LateCreate {
    until_ms: u64,
    segment: usize,
    value: Value,
}

/// A takeover that may still take effect.
#[derive(Debug, Clone, Hash)]
struct LateTakeover {
    until_ms: u64,
    /// Version of the header that it replaces.
    version: u8,
    header: Arc<JobHeader>,
}

/// A gateway without a task of the job, which reads its results from the store.
#[derive(Debug, Clone, Default, Hash)]
struct StoreReader {
    segments: usize,
    results: usize,
    /// Number of results that callers may have read before the read under way.
    read_before: Option<usize>,
}

/// State of the model.
#[derive(Debug, Clone, Hash)]
pub struct World {
    rules: Rules,
    left: Bounds,
    now_ms: u64,
    segments: Vec<Value>,
    results: Vec<ItemResult>,
    header: Arc<JobHeader>,
    header_version: u8,
    cancelled: bool,
    late_creates: Vec<LateCreate>,
    late_takeover: Option<LateTakeover>,
    store_reader: StoreReader,
    processes: [Process; PROCESSES],
}

impl World {
    /// A new job, owned by process 0.
    pub fn new(rules: Rules, bounds: Bounds) -> World {
        let mut processes: [Process; PROCESSES] = Default::default();
        processes[0].task = Some(Task::of_new_job());
        processes[0].has_owned = true;
        World {
            rules,
            left: bounds,
            now_ms: 0,
            segments: Vec::new(),
            results: Vec::new(),
            header: Arc::new(header_of_new_job()),
            header_version: 0,
            cancelled: false,
            late_creates: Vec::new(),
            late_takeover: None,
            store_reader: StoreReader::default(),
            processes,
        }
    }

    fn task(&mut self, process: usize) -> &mut Task {
        self.processes[process].task.as_mut().expect("the action needs a task")
    }

    /// A process as the header names it.
    fn owner(&self, process: usize) -> JobOwner {
        JobOwner { process: process.to_string(), incarnation: self.processes[process].incarnation }
    }

    /// Whether a process looks like others that have a smaller number, so that its steps lead to no other states.
    fn is_duplicate(&self, process: usize) -> bool {
        let is_new = |it: &Process| !it.has_owned && it.incarnation == 0 && !it.suspect;
        let before = &self.processes[..process];
        is_new(&self.processes[process]) && before.iter().any(is_new)
    }

    fn may_take_over(&self, process: usize) -> bool {
        let taker = &self.processes[process];
        let owner = &self.header.owner;
        let is_orphaned = number_of(owner).is_none_or(|it| {
            let process_of_owner = &self.processes[it];
            let has_ended = process_of_owner.incarnation != owner.incarnation;
            it == process || has_ended || process_of_owner.suspect
        });
        is_orphaned && !self.header.finished && taker.task.is_none() && !taker.suspect
    }

    /// The header after a takeover.
    fn taken_over_by(&self, process: usize) -> JobHeader {
        let taken = self.header.taken_over_by(self.owner(process));
        let earlier_formers = match self.rules.names_all_formers {
            true => taken.earlier_formers,
            false => Vec::new(),
        };
        JobHeader { earlier_formers, finished: self.cancelled, ..taken }
    }

    fn take_over(&mut self, process: usize) {
        self.header = Arc::new(self.taken_over_by(process));
        self.header_version += 1;
        let formers = self.header.formers().cloned().collect();
        let task = Task::of_taken_job(self.now_ms, formers, self.header_version);
        let process = &mut self.processes[process];
        process.has_owned = true;
        process.task = Some(task).filter(|_| !self.header.finished);
    }

    /// Ends a task; its call goes on.
    fn end_task(&mut self, process: usize) {
        let call = self.processes[process].task.take().and_then(|it| it.call);
        self.leave_call(call);
    }

    /// Lets a call that nobody waits for take effect later.
    fn leave_call(&mut self, call: Option<Call>) {
        if let Some(Call { segment, value: Some(value), effect: None, .. }) = call {
            let until_ms = self.now_ms + LATE_WRITE_MS;
            self.late_creates.push(LateCreate { until_ms, segment, value });
            self.late_creates.sort();
        }
    }

    fn create(&mut self, segment: usize, value: Value) -> Effect {
        if segment != self.segments.len() {
            return Effect::Taken;
        }
        let read = read_segment(&stored(&value)).expect("a log writes segments that can be read");
        self.results.extend(read.results);
        self.segments.push(Value::clone(&value));
        Effect::Object(value)
    }

    fn read(&self, segment: usize) -> Effect {
        self.segments.get(segment).map_or(Effect::Absent, |it| Effect::Object(Value::clone(it)))
    }

    fn send(&mut self, process: usize) {
        let now_ms = self.now_ms;
        self.task(process).send(now_ms);
        let read = match &self.task(process).call {
            Some(Call { value: None, segment, .. }) => *segment,
            _ => return,
        };
        let effect = self.read(read);
        if let Some(call) = &mut self.task(process).call {
            call.effect = Some(effect);
        }
    }

    fn apply(&mut self, process: usize) {
        let Some(Call { segment, value: Some(value), .. }) = self.task(process).call.clone() else {
            return;
        };
        let effect = self.create(segment, value);
        if let Some(call) = &mut self.task(process).call {
            call.effect = Some(effect);
        }
    }

    fn lose_answer(&mut self, process: usize) {
        let now_ms = self.now_ms;
        let call = self.task(process).call.clone();
        self.task(process).deliver(&StoreAnswer::Unknown, now_ms);
        self.leave_call(call);
    }

    fn check_header(&mut self, process: usize) {
        match self.is_owner(process) {
            true if self.processes[process].suspect => {}
            true => {
                self.header_version += u8::from(self.rules.rewrites_after_gap);
                let version = self.header_version;
                let is_over = self.now_ms >= self.processes[process].late_takeovers_until_ms;
                let is_confirmed = is_over || !self.rules.waits_for_late_takeovers;
                let task = self.task(process);
                task.is_confirmed = is_confirmed;
                task.header_version = version;
            }
            false => self.end_task(process),
        }
    }

    fn close(&mut self, process: usize, write: FinishWrite) {
        let is_current = self.task(process).header_version == self.header_version;
        let task = self.task(process);
        task.phase = Phase::Closed;
        match (write, is_current) {
            (FinishWrite::Answered, false) => self.end_task(process),
            (FinishWrite::Answered | FinishWrite::AnswerLost, true) => {
                self.task(process).finish_written = write == FinishWrite::Answered;
                Arc::make_mut(&mut self.header).finished = true;
                self.header_version += 1;
            }
            (FinishWrite::AnswerLost | FinishWrite::Lost, _) => {}
        }
    }

    fn hand_over(&mut self, process: usize) {
        if self.task(process).header_version == self.header_version {
            self.header_version += 1;
            Arc::make_mut(&mut self.header).owner.process.clear();
        }
        self.end_task(process);
    }

    fn restart(&mut self, process: usize) {
        self.end_task(process);
        let process = &mut self.processes[process];
        process.incarnation += 1;
        process.suspect = false;
    }

    fn arrive(&mut self, process: usize, after: usize) {
        self.now_ms += 1;
        let (arrived_ms, read_before) = (self.now_ms, self.results.len());
        self.task(process).arrive(Reader { after, arrived_ms }, read_before);
    }

    fn reply(&mut self, process: usize) -> Result<(), String> {
        let (now_ms, suspect) = (self.now_ms, self.processes[process].suspect);
        let task = self.task(process);
        let Some(Waiting { reader, read_before }) = task.waiting.take() else { return Ok(()) };
        let held = task.log.committed().len();
        match task.reply(&reader, now_ms, suspect) {
            Answer::Page { from } => check_page(reader.after, read_before, from, held),
            Answer::UseStore | Answer::Unsure => Ok(()),
            Answer::Wait => Err("a reader waits although its wait is over".to_owned()),
        }
    }

    /// Reads the next segment for a reader that has all that was read before.
    fn read_next_segment(&mut self) -> Result<(), String> {
        let reader = &mut self.store_reader;
        let after = reader.results;
        match self.segments.get(reader.segments) {
            Some(value) => {
                let read = read_segment(&stored(value)).map_err(|it| it.to_string())?;
                reader.segments += 1;
                reader.results += read.results.len();
                reader.read_before = None;
                Ok(())
            }
            None => check_page(after, reader.read_before.take().unwrap_or_default(), after, after),
        }
    }

    /// Whether a header names the current start of a process.
    fn names(&self, owner: &JobOwner, process: usize) -> bool {
        number_of(owner) == Some(process)
            && owner.incarnation == self.processes[process].incarnation
    }

    fn is_owner(&self, process: usize) -> bool {
        self.names(&self.header.owner, process)
    }

    /// Whether a process has a task or is named by a header, so that its restart changes anything.
    fn is_known(&self, process: usize) -> bool {
        let mut tasks = self.processes.iter().filter_map(|it| it.task.as_ref());
        self.is_owner(process)
            || self.processes[process].task.is_some()
            || self.header.formers().any(|it| self.names(it, process))
            || tasks.any(|it| it.formers.iter().any(|it| self.names(it, process)))
    }

    /// Whether a read of the header changes what its reader does.
    fn check_matters(&self, process: usize) -> bool {
        let checked = &self.processes[process];
        let is_over = self.now_ms >= checked.late_takeovers_until_ms;
        let is_early = self.rules.waits_for_late_takeovers && !is_over;
        !(self.is_owner(process) && (checked.suspect || is_early))
    }

    /// Forgets calls that can no longer change anything.
    fn forget_late_calls(&mut self) {
        let (next, version, now_ms) = (self.segments.len(), self.header_version, self.now_ms);
        self.late_creates.retain(|it| it.segment == next && it.until_ms > now_ms);
        let is_open = |it: &LateTakeover| it.version == version && it.until_ms > now_ms;
        self.late_takeover = self.late_takeover.take().filter(is_open);
    }

    /// Lets each process know who may still append, as early as it can.
    fn note_former_owners(&mut self) {
        let incarnations: Vec<u64> = self.processes.iter().map(|it| it.incarnation).collect();
        let now_ms = self.now_ms;
        for (number, process) in self.processes.iter_mut().enumerate() {
            let Some(task) = &mut process.task else { continue };
            let appends = |it: &JobOwner| {
                let former = number_of(it).filter(|it| *it != number);
                former.is_some_and(|former| incarnations[former] == it.incarnation)
            };
            let may_append = task.formers.iter().any(appends);
            task.end.set_others_append(may_append, now_ms);
        }
    }

    /// Checks that what each process holds is a prefix of the stored log.
    fn check_prefixes(&self) -> Result<(), String> {
        let tasks = self.processes.iter().filter_map(|it| it.task.as_ref());
        match tasks.into_iter().all(|it| self.results.starts_with(it.log.committed())) {
            true => Ok(()),
            false => Err("a process holds other results than the store".to_owned()),
        }
    }

    fn add_process_actions(&self, process: usize, actions: &mut Vec<Action>) {
        let (it, left) = (&self.processes[process], &self.left);
        let is_free = it.task.is_none() && self.may_take_over(process);
        let offers = [
            (left.gaps > 0 && !it.suspect && self.is_owner(process), Action::BeginGap(process)),
            (it.suspect, Action::EndGap(process)),
            (left.restarts > 0 && self.is_known(process), Action::Restart(process)),
            (is_free, Action::TakeOver(process)),
            (
                is_free && left.late_takeovers > 0 && self.late_takeover.is_none(),
                Action::SendTakeover(process),
            ),
        ];
        add(actions, &offers);
        if let Some(task) = &it.task {
            self.add_task_actions(process, task, actions);
            self.add_call_actions(process, task, actions);
        }
    }

    fn add_task_actions(&self, process: usize, task: &Task, actions: &mut Vec<Action>) {
        let (suspect, left) = (self.processes[process].suspect, &self.left);
        let runs = task.phase == Phase::Running;
        let closes = runs && (self.cancelled || task.is_complete());
        let reads_on = runs || self.rules.reads_on_after_close;
        let is_flushed = task.log.is_flushed() && task.log.is_caught_up() && task.call.is_none();
        let offers = [
            (left.results > 0 && task.next_item().is_some(), Action::Produce(process)),
            (
                runs && !task.is_confirmed && self.check_matters(process),
                Action::CheckHeader(process),
            ),
            (left.handovers > 0 && runs && is_flushed, Action::HandOver(process)),
            (closes, Action::Close(process, FinishWrite::Answered)),
            (closes && left.lost > 0, Action::Close(process, FinishWrite::AnswerLost)),
            (closes && left.lost > 0, Action::Close(process, FinishWrite::Lost)),
            (task.wants_call() && reads_on, Action::Send(process)),
            (task.wants_reread(self.now_ms, suspect) && reads_on, Action::Reread(process)),
            (task.waiting.is_some(), Action::Reply(process)),
        ];
        add(actions, &offers);
        if left.reads > 0 && task.waiting.is_none() {
            let held = task.log.committed().len();
            actions.extend((held..=self.results.len()).map(|it| Action::Arrive(process, it)));
        }
    }

    fn add_call_actions(&self, process: usize, task: &Task, actions: &mut Vec<Action>) {
        let Some(call) = &task.call else { return };
        let (has_effect, left) = (call.effect.is_some(), &self.left);
        let is_write = call.call.is_write();
        let offers = [
            (!has_effect, Action::Apply(process)),
            (has_effect, Action::Answer(process)),
            (is_write && left.lost > 0, Action::LoseAnswer(process)),
            (left.refused > 0 && !(is_write && has_effect), Action::Refuse(process)),
        ];
        add(actions, &offers);
    }

    fn spend(&mut self, action: &Action) {
        let left = &mut self.left;
        let count = match action {
            Action::Tick => &mut left.ticks,
            Action::Produce(_) => &mut left.results,
            Action::LoseAnswer(_)
            | Action::Close(_, FinishWrite::AnswerLost | FinishWrite::Lost) => &mut left.lost,
            Action::Refuse(_) => &mut left.refused,
            Action::BeginGap(_) => &mut left.gaps,
            Action::Restart(_) => &mut left.restarts,
            Action::HandOver(_) => &mut left.handovers,
            Action::Cancel => &mut left.cancellations,
            Action::SendTakeover(_) => &mut left.late_takeovers,
            Action::Arrive(..) => &mut left.reads,
            Action::ArriveAtStoreReader => &mut left.store_reads,
            _ => return,
        };
        *count -= 1;
    }

    fn perform(&mut self, action: &Action) -> Result<(), String> {
        let now_ms = self.now_ms;
        match *action {
            Action::Tick => self.now_ms += TICK_MS,
            Action::Produce(process) => {
                let item = self.task(process).next_item().expect("an item is open");
                self.task(process).produce(process, item);
            }
            Action::Send(process) => self.send(process),
            Action::Apply(process) => self.apply(process),
            Action::Answer(process) => self.task(process).deliver_effect(now_ms),
            Action::LoseAnswer(process) => self.lose_answer(process),
            Action::Refuse(process) => {
                self.task(process).deliver(&StoreAnswer::Unavailable, now_ms);
            }
            Action::ApplyLate(index) => {
                let late = self.late_creates.remove(index);
                self.create(late.segment, late.value);
            }
            Action::BeginGap(process) => {
                let process = &mut self.processes[process];
                process.suspect = true;
                if let Some(task) = &mut process.task {
                    task.is_confirmed = false;
                }
            }
            Action::EndGap(process) => {
                let process = &mut self.processes[process];
                process.suspect = false;
                process.late_takeovers_until_ms = now_ms + LATE_WRITE_MS;
            }
            Action::CheckHeader(process) => self.check_header(process),
            Action::Restart(process) => self.restart(process),
            Action::TakeOver(process) => self.take_over(process),
            Action::SendTakeover(process) => {
                let (version, header) =
                    (self.header_version, Arc::new(self.taken_over_by(process)));
                let until_ms = now_ms + LATE_WRITE_MS;
                self.late_takeover = Some(LateTakeover { until_ms, version, header });
            }
            Action::ApplyTakeover => {
                let late = self.late_takeover.take().expect("a takeover is under way");
                self.header = late.header;
                self.header_version += 1;
            }
            Action::HandOver(process) => self.hand_over(process),
            Action::Cancel => self.cancelled = true,
            Action::Close(process, write) => self.close(process, write),
            Action::Reread(process) => self.task(process).log.request_reread(),
            Action::Arrive(process, after) => self.arrive(process, after),
            Action::Reply(process) => return self.reply(process),
            Action::ArriveAtStoreReader => {
                self.store_reader.read_before = Some(self.results.len());
            }
            Action::ReadSegment => return self.read_next_segment(),
        }
        Ok(())
    }
}

impl Model for World {
    type Action = Action;

    fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        for process in 0..PROCESSES {
            if !self.is_duplicate(process) {
                self.add_process_actions(process, &mut actions);
            }
        }
        let is_reading = self.store_reader.read_before.is_some();
        let offers = [
            (self.left.ticks > 0, Action::Tick),
            (self.left.cancellations > 0, Action::Cancel),
            (self.late_takeover.is_some(), Action::ApplyTakeover),
            (self.left.store_reads > 0 && !is_reading, Action::ArriveAtStoreReader),
            (is_reading, Action::ReadSegment),
        ];
        add(&mut actions, &offers);
        actions.extend((0..self.late_creates.len()).map(Action::ApplyLate));
        actions
    }

    fn take(&mut self, action: &Action) -> Result<(), String> {
        self.spend(action);
        self.perform(action)?;
        self.forget_late_calls();
        self.note_former_owners();
        self.check_prefixes()
    }
}

/// The process that a header names; `None` after a handover.
fn number_of(owner: &JobOwner) -> Option<usize> {
    owner.process.parse().ok()
}

fn header_of_new_job() -> JobHeader {
    JobHeader {
        format: JobHeader::FORMAT,
        host: String::new(),
        path: String::new(),
        workspace: None,
        items: ITEMS,
        parts: 1,
        digest: String::new(),
        routes_version: 0,
        attempts: 1,
        accepted_unix_ms: 0,
        due_unix_ms: 0,
        give_up_unix_ms: 0,
        owner: JobOwner { process: "0".to_owned(), incarnation: 0 },
        finished: false,
        former: None,
        earlier_formers: Vec::new(),
    }
}

fn add(actions: &mut Vec<Action>, offers: &[(bool, Action)]) {
    actions.extend(offers.iter().filter(|(is_possible, _)| *is_possible).map(|(_, it)| *it));
}

/// Checks a page that a reader is given against what callers may have read before it arrived.
fn check_page(after: usize, read_before: usize, from: usize, held: usize) -> Result<(), String> {
    match from >= held && read_before > after && after < ITEMS as usize {
        true => Err(format!("no result at position {after}, where {read_before} had been read")),
        false => Ok(()),
    }
}
