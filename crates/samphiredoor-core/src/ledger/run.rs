//! Execution of one job by its owner.
//!
//! A few chunks are open at a time, so that memory use does not grow with the size of the job. Each open chunk starts
//! its items without a result, handles the ends of their runs, and commits results in groups. When all chunks are
//! complete the header is set to its final state.
//!
//! The header's `opened_chunks` is the number of chunks that may have results; it is raised before further chunks are
//! opened. An owner that ends a cancelled job therefore fences every results object that a former owner could still
//! write.

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

/// Number of chunks by which `opened_chunks` is raised in one write of the header.
pub(super) const OPENED_CHUNKS_STEP: u32 = 32;
const MAX_OPEN_CHUNKS: usize = 2;
/// Maximum number of chunks sealed at once when a job is cancelled.
const MAX_SEALING_CHUNKS: usize = 4;
/// Number of chunks left below `opened_chunks` at which it is raised.
const CHECKPOINT_AHEAD: u32 = 4;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Working,
    Cancelling,
    HandingOver,
    Ended,
}

/// Store call for the header; at most one is in flight.
#[derive(Debug)]
enum HeaderCall {
    Idle,
    Writing {
        call: CallId,
        header: Box<JobHeader>,
    },
    Reading(CallId),
    /// The last call failed; the next one is made at this time.
    Waiting {
        at_ms: u64,
    },
}

/// Event for one job.
pub(super) enum Event {
    Stored(CallId, StoreAnswer),
    Ended(ItemRef, ItemEnd),
}

/// Share of the process's limits that a job uses, or all jobs together.
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

/// A job that this process owns and executes.
#[derive(Debug)]
pub(super) struct JobRun {
    job: JobId,
    header: JobHeader,
    version: Version,
    phase: Phase,
    /// The stored header may have changed; it is read before further items are started.
    header_stale: bool,
    header_call: HeaderCall,
    backoff: Backoff,
    open: BTreeMap<u32, OpenChunk>,
    next_chunk: u32,
    done_chunks: u32,
    /// Numbers of completed and failed items in finished chunks after the first unfinished one.
    done_out_of_order: BTreeMap<u32, (u32, u32)>,
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
            header_stale: false,
            header_call: HeaderCall::Idle,
            backoff: Backoff::new(),
            open: BTreeMap::new(),
            next_chunk: header.done_chunks,
            done_chunks: header.done_chunks,
            done_out_of_order: BTreeMap::new(),
            completed: header.completed,
            failed: header.failed,
            header,
        }
    }

    pub(super) fn has_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    pub(super) fn epoch(&self) -> u64 {
        self.header.owner.epoch
    }

    /// The job's running items and pending bytes, which count towards the limits of the process.
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
            let (completed, failed) = chunk.results.counts();
            progress.completed += completed;
            progress.failed += failed;
        }
        progress
    }

    /// Marks the header as possibly changed; it is read before further items are started.
    pub(super) fn request_header_read(&mut self) {
        self.header_stale = true;
    }

    /// Stops all runs because the lease has expired. Work continues after the header has been read again.
    pub(super) fn pause(&mut self, ctx: &mut Context<'_>) {
        self.stop_runs(ctx);
        self.header_stale = true;
    }

    /// Starts to hand the job over. A job that is being cancelled is finished here instead.
    pub(super) fn hand_over(&mut self, ctx: &mut Context<'_>) {
        if self.phase == Phase::Working {
            self.phase = Phase::HandingOver;
            self.stop_runs(ctx);
        }
    }

    /// Stops work on the job without writing, because another process owns it or it was removed.
    pub(super) fn drop_job(&mut self, ctx: &mut Context<'_>) {
        self.stop_runs(ctx);
        self.phase = Phase::Ended;
        ctx.note_dropped(&self.job);
    }

    pub(super) fn step(&mut self, event: Option<Event>, ctx: &mut Context<'_>) {
        match event {
            Some(Event::Stored(call, answer)) => self.store_answered(call, &answer, ctx),
            Some(Event::Ended(item, end)) => {
                let repeatable = self.header.repeatable;
                if let Some(chunk) = self.open.get_mut(&item.chunk) {
                    chunk.item_ended(item.index, end, repeatable, ctx);
                }
            }
            None => {}
        }
        if self.open.values().any(|it| it.results.is_fenced()) {
            self.drop_job(ctx);
        }
        if self.header_stale && (ctx.lease_held || self.phase != Phase::Working) {
            self.read_header(ctx);
        }
        match self.phase {
            Phase::Working => self.advance(ctx),
            Phase::Cancelling => self.cancel(ctx),
            Phase::HandingOver => self.flush(ctx),
            Phase::Ended => {}
        }
    }

    fn advance(&mut self, ctx: &mut Context<'_>) {
        self.open_chunks(MAX_OPEN_CHUNKS, self.header.chunks);
        let free_job_slots = if self.header_stale { 0 } else { ctx.free_job_slots };
        let mut free_slots = free_job_slots.saturating_sub(self.running()).min(ctx.free_slots);
        let mut complete = Vec::new();
        for (number, chunk) in &mut self.open {
            chunk.advance(&self.job, &self.header, &mut free_slots, ctx);
            if chunk.results.is_complete() {
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
            let opened = opened.saturating_add(OPENED_CHUNKS_STEP).min(self.header.chunks);
            self.write_header(ctx, |header| header.opened_chunks = opened);
        }
    }

    fn cancel(&mut self, ctx: &mut Context<'_>) {
        // The first owner opened exactly the chunks before `next_chunk`; a later owner fences all those that a former
        // one may have opened.
        let last = match self.epoch() {
            1 => self.next_chunk,
            _ => self.header.opened_chunks,
        };
        self.open_chunks(MAX_SEALING_CHUNKS, last);
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

    fn flush(&mut self, ctx: &mut Context<'_>) {
        for chunk in self.open.values_mut() {
            chunk.flush(ctx);
        }
        if self.open.values().all(OpenChunk::is_flushed) {
            self.write_header(ctx, |header| header.owner.process.clear());
        }
    }

    fn open_chunks(&mut self, max_open: usize, last: u32) {
        let last = last.min(self.header.opened_chunks);
        let mut active = self.open.values().filter(|it| !it.is_blocked()).count();
        while active < max_open && self.next_chunk < last {
            let number = self.next_chunk;
            self.next_chunk += 1;
            self.open.insert(number, OpenChunk::new(&self.header, number));
            active += 1;
        }
    }

    fn chunk_done(&mut self, number: u32) {
        let Some(chunk) = self.open.remove(&number) else { return };
        self.done_out_of_order.insert(number, chunk.results.counts());
        if self.phase != Phase::Working {
            return;
        }
        while let Some((completed, failed)) = self.done_out_of_order.remove(&self.done_chunks) {
            self.completed += completed;
            self.failed += failed;
            self.done_chunks += 1;
        }
    }

    fn counts(&self) -> (u32, u32) {
        let out_of_order = self.done_out_of_order.values();
        out_of_order.fold((self.completed, self.failed), |sum, it| (sum.0 + it.0, sum.1 + it.1))
    }

    fn stop_runs(&mut self, ctx: &mut Context<'_>) {
        let epoch = self.epoch();
        for chunk in self.open.values_mut() {
            chunk.stop_runs(&self.job, epoch, ctx);
        }
    }

    fn start_cancelling(&mut self, ctx: &mut Context<'_>) {
        self.stop_runs(ctx);
        for chunk in self.open.values_mut() {
            chunk.discard_runs();
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
            _ if self.header_stale => return,
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

    fn store_answered(&mut self, call: CallId, answer: &StoreAnswer, ctx: &mut Context<'_>) {
        match &self.header_call {
            HeaderCall::Writing { call: own, .. } if *own == call => {
                return self.header_written(answer, ctx);
            }
            HeaderCall::Reading(own) if *own == call => return self.header_read(answer, ctx),
            _ => {}
        }
        for chunk in self.open.values_mut() {
            if chunk.store_answered(call, answer, ctx) {
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
                self.apply_header_state(ctx);
            }
            // The write may have taken effect, or another writer was first (a cancellation, a later owner); only a read
            // shows which.
            StoreAnswer::Unknown | StoreAnswer::Conflict | StoreAnswer::Absent => {
                self.header_stale = true;
            }
            _ => self.back_off(ctx),
        }
    }

    fn header_read(&mut self, answer: &StoreAnswer, ctx: &mut Context<'_>) {
        self.header_call = HeaderCall::Idle;
        let stored = match answer {
            StoreAnswer::Object(stored) => stored,
            StoreAnswer::Absent => return self.drop_job(ctx),
            _ => return self.back_off(ctx),
        };
        match read_header(&stored.value) {
            Ok(header) if !self.is_still_owner(&header) => self.drop_job(ctx),
            Ok(header) => {
                self.backoff.reset();
                self.header_stale = false;
                self.version = stored.version;
                self.header = header;
                self.apply_header_state(ctx);
            }
            Err(fault) => {
                ctx.note_unreadable(header_key(&self.job), fault);
                let at_ms = ctx.unreadable_retry_ms();
                self.header_call = HeaderCall::Waiting { at_ms };
            }
        }
    }

    /// Whether no other process has taken the job over, and the header is not that of a new job under the name of a
    /// removed one.
    fn is_still_owner(&self, header: &JobHeader) -> bool {
        header.owner.epoch == self.epoch() && header.upload == self.header.upload
    }

    /// Acts on the state of the stored header.
    fn apply_header_state(&mut self, ctx: &mut Context<'_>) {
        match self.header.state {
            JobState::Cancelled | JobState::Finished => {
                self.phase = Phase::Ended;
                let (job, state) = (Arc::clone(&self.job), self.header.state);
                ctx.out.push(LedgerAction::Note(Note::Closed { job, state }));
            }
            JobState::Cancelling if self.phase != Phase::Cancelling => self.start_cancelling(ctx),
            JobState::Running if self.header.owner.process.is_empty() => {
                self.phase = Phase::Ended;
                ctx.out.push(LedgerAction::HandedOver(Arc::clone(&self.job)));
            }
            JobState::Running | JobState::Cancelling => {}
        }
    }

    fn back_off(&mut self, ctx: &mut Context<'_>) {
        let at_ms = ctx.now_ms() + self.backoff.wait_ms(ctx.rng);
        self.header_call = HeaderCall::Waiting { at_ms };
    }
}
