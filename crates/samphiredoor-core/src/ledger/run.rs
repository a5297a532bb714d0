//! The work on one job by its owner.
//!
//! A few chunks are open at a time, so that memory does not grow with the job. Each open chunk hands out its undecided
//! items, takes their ends, and commits results in groups. When all chunks are complete the header is closed.
//!
//! The header names the chunks that may have results (`opened_chunks`); it is moved on before further ones are opened.
//! So whoever ends a cancelled job knows which results objects a former owner could still write, and fences those.

use std::{collections::BTreeMap, sync::Arc};

use samphiredoor_schema::objects::{JobHeader, JobState};

use super::{
    backoff::Backoff,
    chunk::OpenChunk,
    codec::{header_labels, header_value, read_header},
    context::Context,
    messages::{ItemEnd, ItemRef, LedgerAction, Note, Progress},
    names::{CallId, JobId, header_key},
};
use crate::store::{StoreAnswer, StoreOp, Version};

/// Chunks that may be opened before the header is written again.
pub(super) const OPENED_STEP: u32 = 32;
const OPEN_CHUNKS: usize = 2;
const SEALED_AT_ONCE: usize = 4;
const CHECKPOINT_AHEAD: u32 = 4;
const UNREADABLE_RETRY_MS: u64 = 60_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Working,
    Cancelling,
    HandingOver,
    Ended,
}

#[derive(Debug)]
enum HeaderCall {
    Idle,
    Writing { call: CallId, header: Box<JobHeader> },
    Reading(CallId),
    Waiting { at_ms: u64 },
}

/// What happened to a job.
pub(super) enum Event {
    Stored(CallId, StoreAnswer),
    Ended(ItemRef, ItemEnd),
}

/// Load of one job on the process, as last seen.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Load {
    pub(super) running: usize,
    pub(super) pending_bytes: usize,
}

impl Load {
    pub(super) fn change(&mut self, before: Load, after: Load) {
        self.running = self.running + after.running - before.running;
        self.pending_bytes = self.pending_bytes + after.pending_bytes - before.pending_bytes;
    }
}

/// One job at work.
#[derive(Debug)]
pub(super) struct JobRun {
    job: JobId,
    header: JobHeader,
    version: Version,
    phase: Phase,
    // The header may have moved on; it is read before anything else is handed out.
    recheck: bool,
    header_call: HeaderCall,
    backoff: Backoff,
    open: BTreeMap<u32, OpenChunk>,
    next_chunk: u32,
    done_chunks: u32,
    // Chunks done above the first that is not.
    done: BTreeMap<u32, (u32, u32)>,
    completed: u32,
    failed: u32,
}

impl JobRun {
    pub(super) fn new(job: JobId, header: JobHeader, version: Version) -> JobRun {
        let phase = match header.state {
            JobState::Running => Phase::Working,
            JobState::Cancelling => Phase::Cancelling,
            JobState::Cancelled | JobState::Finished => Phase::Ended,
        };
        JobRun {
            job,
            version,
            phase,
            recheck: false,
            header_call: HeaderCall::Idle,
            backoff: Backoff::new(),
            open: BTreeMap::new(),
            next_chunk: header.done_chunks,
            done_chunks: header.done_chunks,
            done: BTreeMap::new(),
            completed: header.completed,
            failed: header.failed,
            header,
        }
    }

    pub(super) fn ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    pub(super) fn epoch(&self) -> u64 {
        self.header.owner.epoch
    }

    /// What the job takes of the process's bounds.
    pub(super) fn load(&self) -> Load {
        let pending_bytes = self.open.values().map(OpenChunk::pending_bytes).sum();
        Load { running: self.running(), pending_bytes }
    }

    fn running(&self) -> usize {
        self.open.values().map(OpenChunk::running).sum()
    }

    pub(super) fn progress(&self) -> Progress {
        let (completed, failed) = self.counts();
        let mut progress = Progress { completed, failed, running: self.running() as u32 };
        for chunk in self.open.values() {
            let (completed, failed) = chunk.commit.counts();
            progress.completed += completed;
            progress.failed += failed;
        }
        progress
    }

    /// The header may have moved on: it is read again before more is handed out.
    pub(super) fn recheck(&mut self) {
        self.recheck = true;
    }

    /// Stops all runs because the lease is over; goes on after the header was read again.
    pub(super) fn pause(&mut self, ctx: &mut Context<'_>) {
        self.stop_runs(ctx);
        self.recheck = true;
    }

    /// Begins to hand the job over. A cancelled job is closed instead.
    pub(super) fn hand_over(&mut self, ctx: &mut Context<'_>) {
        if self.phase == Phase::Working {
            self.phase = Phase::HandingOver;
            self.stop_runs(ctx);
        }
    }

    /// Ends the work at once, as somebody else has the job.
    pub(super) fn drop_job(&mut self, ctx: &mut Context<'_>) {
        self.stop_runs(ctx);
        self.phase = Phase::Ended;
        ctx.note_dropped(&self.job);
    }

    pub(super) fn step(&mut self, event: Option<Event>, ctx: &mut Context<'_>) {
        match event {
            Some(Event::Stored(call, answer)) => self.stored(call, &answer, ctx),
            Some(Event::Ended(item, end)) => {
                let repeatable = self.header.repeatable;
                if let Some(chunk) = self.open.get_mut(&item.chunk) {
                    chunk.item_ended(item.index, end, repeatable, ctx);
                }
            }
            None => {}
        }
        if self.open.values().any(|it| it.commit.is_fenced()) {
            self.drop_job(ctx);
        }
        if self.recheck && (ctx.lease_held || self.phase != Phase::Working) {
            self.read_header(ctx);
        }
        match self.phase {
            Phase::Working => self.work(ctx),
            Phase::Cancelling => self.cancel(ctx),
            Phase::HandingOver => self.settle(ctx),
            Phase::Ended => {}
        }
    }

    fn work(&mut self, ctx: &mut Context<'_>) {
        self.open_chunks(OPEN_CHUNKS, self.header.chunks);
        let job_room = if self.recheck { 0 } else { ctx.job_room };
        let mut room = job_room.saturating_sub(self.running()).min(ctx.room);
        let mut complete = Vec::new();
        for (number, chunk) in &mut self.open {
            chunk.work(&self.job, &self.header, &mut room, ctx);
            if chunk.commit.is_complete() {
                complete.push(*number);
            }
        }
        for number in &complete {
            self.chunk_done(*number);
        }
        let opened = self.header.opened_chunks;
        if self.open.is_empty() && self.next_chunk == self.header.chunks {
            self.write_header(ctx, |header| header.state = JobState::Finished);
        } else if opened < self.header.chunks && self.next_chunk + CHECKPOINT_AHEAD >= opened {
            let opened = opened.saturating_add(OPENED_STEP).min(self.header.chunks);
            self.write_header(ctx, |header| header.opened_chunks = opened);
        }
    }

    fn cancel(&mut self, ctx: &mut Context<'_>) {
        // The first owner knows which chunks it has opened; a later one fences all that a former one may have.
        let last = match self.epoch() {
            1 => self.next_chunk,
            _ => self.header.opened_chunks,
        };
        self.open_chunks(SEALED_AT_ONCE, last);
        let mut sealed = Vec::new();
        for (number, chunk) in &mut self.open {
            if chunk.seal(&self.header, ctx) {
                sealed.push(*number);
            }
        }
        for number in &sealed {
            self.chunk_done(*number);
        }
        if self.open.is_empty() && self.next_chunk >= last {
            self.write_header(ctx, |header| header.state = JobState::Cancelled);
        }
    }

    fn settle(&mut self, ctx: &mut Context<'_>) {
        for chunk in self.open.values_mut() {
            chunk.settle(ctx);
        }
        if self.open.values().all(OpenChunk::is_settled) {
            self.write_header(ctx, |header| header.owner.process.clear());
        }
    }

    fn open_chunks(&mut self, at_once: usize, last: u32) {
        let last = last.min(self.header.opened_chunks);
        let mut going = self.open.values().filter(|it| !it.is_stuck()).count();
        while going < at_once && self.next_chunk < last {
            let number = self.next_chunk;
            self.next_chunk += 1;
            self.open.insert(number, OpenChunk::new(&self.header, number));
            going += 1;
        }
    }

    fn chunk_done(&mut self, number: u32) {
        let Some(chunk) = self.open.remove(&number) else { return };
        self.done.insert(number, chunk.commit.counts());
        if self.phase != Phase::Working {
            return;
        }
        while let Some((completed, failed)) = self.done.remove(&self.done_chunks) {
            self.completed += completed;
            self.failed += failed;
            self.done_chunks += 1;
        }
    }

    fn counts(&self) -> (u32, u32) {
        let above = self.done.values();
        above.fold((self.completed, self.failed), |sum, it| (sum.0 + it.0, sum.1 + it.1))
    }

    fn stop_runs(&mut self, ctx: &mut Context<'_>) {
        let epoch = self.epoch();
        for chunk in self.open.values_mut() {
            chunk.stop(&self.job, epoch, ctx);
        }
    }

    fn begin_cancelling(&mut self, ctx: &mut Context<'_>) {
        self.stop_runs(ctx);
        for chunk in self.open.values_mut() {
            chunk.drop_runs();
        }
        self.phase = Phase::Cancelling;
    }

    fn read_header(&mut self, ctx: &mut Context<'_>) {
        match self.header_call {
            HeaderCall::Idle => {}
            HeaderCall::Waiting { at_ms } if ctx.now_ms() >= at_ms => {}
            _ => return,
        }
        let call = ctx.call(StoreOp::Get { key: header_key(&self.job) });
        self.header_call = HeaderCall::Reading(call);
    }

    fn write_header(&mut self, ctx: &mut Context<'_>, change: impl FnOnce(&mut JobHeader)) {
        match self.header_call {
            _ if self.recheck => return,
            HeaderCall::Idle => {}
            HeaderCall::Waiting { at_ms } if ctx.now_ms() >= at_ms => {}
            _ => return,
        }
        let mut header = Box::new(self.header.clone());
        header.done_chunks = self.done_chunks;
        header.completed = self.completed;
        header.failed = self.failed;
        change(&mut header);
        if matches!(header.state, JobState::Cancelled | JobState::Finished) {
            (header.completed, header.failed) = self.counts();
        }
        let op = StoreOp::Update {
            key: header_key(&self.job),
            version: self.version,
            labels: header_labels(&header),
            value: header_value(&header),
        };
        self.header_call = HeaderCall::Writing { call: ctx.call(op), header };
    }

    fn stored(&mut self, call: CallId, answer: &StoreAnswer, ctx: &mut Context<'_>) {
        match &self.header_call {
            HeaderCall::Writing { call: own, .. } if *own == call => {
                return self.header_written(answer, ctx);
            }
            HeaderCall::Reading(own) if *own == call => return self.header_read(answer, ctx),
            _ => {}
        }
        for chunk in self.open.values_mut() {
            if chunk.stored(call, answer, ctx) {
                return;
            }
        }
    }

    fn header_written(&mut self, answer: &StoreAnswer, ctx: &mut Context<'_>) {
        let written = std::mem::replace(&mut self.header_call, HeaderCall::Idle);
        let HeaderCall::Writing { header, .. } = written else { return };
        match answer {
            StoreAnswer::Object(stored) => {
                self.backoff.reset();
                self.version = stored.version;
                self.header = *header;
                self.take_state(ctx);
            }
            // The write may stand, or another's does (a cancel, a later owner): only a read can tell.
            StoreAnswer::Unknown | StoreAnswer::Conflict | StoreAnswer::Absent => {
                self.recheck = true;
            }
            _ => self.wait(ctx),
        }
    }

    fn header_read(&mut self, answer: &StoreAnswer, ctx: &mut Context<'_>) {
        self.header_call = HeaderCall::Idle;
        let stored = match answer {
            StoreAnswer::Object(stored) => stored,
            StoreAnswer::Absent => return self.drop_job(ctx),
            _ => return self.wait(ctx),
        };
        match read_header(&stored.value) {
            Ok(header) if !self.is_same_taking(&header) => self.drop_job(ctx),
            Ok(header) => {
                self.backoff.reset();
                self.recheck = false;
                self.version = stored.version;
                self.header = header;
                self.take_state(ctx);
            }
            Err(fault) => {
                ctx.note_unreadable(header_key(&self.job), fault);
                let at_ms = ctx.now_ms() + UNREADABLE_RETRY_MS;
                self.header_call = HeaderCall::Waiting { at_ms };
            }
        }
    }

    /// Whether nobody has taken the job since, and it is not another job under the name of a removed one.
    fn is_same_taking(&self, header: &JobHeader) -> bool {
        header.owner.epoch == self.epoch() && header.upload == self.header.upload
    }

    /// Acts on the state that the header now has in the store.
    fn take_state(&mut self, ctx: &mut Context<'_>) {
        match self.header.state {
            JobState::Cancelled | JobState::Finished => {
                self.phase = Phase::Ended;
                let (job, state) = (Arc::clone(&self.job), self.header.state);
                ctx.out.push(LedgerAction::Note(Note::Closed { job, state }));
            }
            JobState::Cancelling if self.phase != Phase::Cancelling => self.begin_cancelling(ctx),
            JobState::Running if self.header.owner.process.is_empty() => {
                self.phase = Phase::Ended;
                ctx.out.push(LedgerAction::HandedOver(Arc::clone(&self.job)));
            }
            JobState::Running | JobState::Cancelling => {}
        }
    }

    fn wait(&mut self, ctx: &mut Context<'_>) {
        let at_ms = ctx.now_ms() + self.backoff.wait_ms(ctx.rng);
        self.header_call = HeaderCall::Waiting { at_ms };
    }
}
