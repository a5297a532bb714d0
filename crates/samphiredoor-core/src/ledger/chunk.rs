//! One open chunk of a job: its items, their runs and retries, and their results.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use samphiredoor_schema::objects::{ItemOutcome, ItemResult, JobHeader};

use super::{
    backoff::{Backoff, jittered},
    codec::{EncodedResult, StoredItem, read_items},
    commit::{FlushPolicy, ResultWriter},
    context::Context,
    messages::{ItemEnd, ItemRef, ItemWork, LedgerAction},
    names::{CallId, JobId, chunk_key, results_key},
};
use crate::store::{Kind, Labels, ObjectKey, StoreAnswer, StoreOp, Value};

/// Number of tries after which an item is recorded as failed.
pub const MAX_TRIES: u32 = 4;
/// Maximum number of intents without a result, for items that must not run twice.
///
/// When an owner dies, each of its intents without a result is recorded as `may_have_run`, even if the item was only
/// waiting for a target. The number is therefore small, although larger groups of intents would take fewer writes.
const MAX_UNRESOLVED_INTENTS: usize = 16;
/// Base of the exponential backoff after a failed try.
const RETRY_WAIT_MS: u64 = 500;
/// Base of the exponential backoff after a run that ended as not run.
const NOT_RUN_WAIT_MS: u64 = 100;
const MAX_NOT_RUN_WAIT_MS: u64 = 5_000;

/// Items of the chunk, which are read from the store before any of them is started.
#[derive(Debug)]
enum Items {
    Unloaded,
    Loading(CallId),
    /// The read failed and is retried at this time.
    Waiting {
        at_ms: u64,
    },
    Loaded(Vec<StoredItem>),
    Unreadable {
        at_ms: u64,
    },
}

#[derive(Debug, Default)]
struct Attempts {
    tries: u32,
    not_run_count: u32,
}

/// A result whose body is too large for the chunk's results object and is being written to a separate object.
#[derive(Debug)]
struct Spill {
    result: ItemResult,
    body: Value,
    name: String,
    call: Option<CallId>,
    at_ms: u64,
    backoff: Backoff,
}

/// One chunk of a job whose items are being run.
#[derive(Debug)]
pub(super) struct OpenChunk {
    number: u32,
    items: Items,
    pub(super) results: ResultWriter,
    ready: VecDeque<u32>,
    /// Items in backoff, by the time at which they become ready.
    delayed: BTreeSet<(u64, u32)>,
    running: BTreeSet<u32>,
    attempts: BTreeMap<u32, Attempts>,
    spills: BTreeMap<u32, Spill>,
    backoff: Backoff,
}

impl OpenChunk {
    pub(super) fn new(header: &JobHeader, number: u32) -> OpenChunk {
        OpenChunk {
            number,
            items: Items::Unloaded,
            results: ResultWriter::new(results_key(&header.upload, number), header.owner.epoch),
            ready: VecDeque::new(),
            delayed: BTreeSet::new(),
            running: BTreeSet::new(),
            attempts: BTreeMap::new(),
            spills: BTreeMap::new(),
            backoff: Backoff::new(),
        }
    }

    /// Number of items started and not ended.
    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    /// Whether an object of the chunk cannot be read, which blocks this chunk but no others.
    pub(super) fn is_blocked(&self) -> bool {
        matches!(self.items, Items::Unreadable { .. }) || self.results.is_unreadable()
    }

    /// Whether no item is running and all results are committed.
    pub(super) fn is_flushed(&self) -> bool {
        self.running.is_empty() && self.spills.is_empty() && self.results.is_flushed()
    }

    /// Loads the items, records results and starts at most `free_slots` items.
    pub(super) fn advance(
        &mut self,
        job: &JobId,
        header: &JobHeader,
        free_slots: &mut usize,
        ctx: &mut Context<'_>,
    ) {
        if self.results.is_loaded() && !self.results.is_complete() {
            self.load(header, ctx);
            self.record_earlier_owner_intents(ctx);
            self.requeue_due(ctx);
            self.step_spills(ctx);
            self.start_items(job, header, free_slots, ctx);
        }
        let policy = if self.is_idle() { FlushPolicy::Flush } else { FlushPolicy::Group };
        self.results.step(policy, ctx);
    }

    /// Commits the results that have arrived, starts no items, and withdraws the intents of items that were not run.
    pub(super) fn flush(&mut self, ctx: &mut Context<'_>) {
        self.step_spills(ctx);
        if self.running.is_empty() && self.spills.is_empty() {
            self.results.withdraw_intents(&self.running);
        }
        self.results.step(FlushPolicy::Flush, ctx);
    }

    /// Prevents writes after the job's end: commits the results that have arrived, records items that may have run, and
    /// fences former owners. Returns whether this is complete.
    pub(super) fn seal(&mut self, header: &JobHeader, ctx: &mut Context<'_>) -> bool {
        if !self.spills.is_empty() {
            self.step_spills(ctx);
            self.results.step(FlushPolicy::Flush, ctx);
            return false;
        }
        if self.results.is_loaded() && !self.results.unresolved_intents().is_empty() {
            self.load(header, ctx);
            if !matches!(self.items, Items::Loaded(_) | Items::Unreadable { .. }) {
                return false;
            }
            for index in self.results.unresolved_intents() {
                self.record_may_have_run(index, ctx);
            }
        }
        self.results.step(FlushPolicy::Seal, ctx);
        self.results.is_loaded() && self.results.is_sealed() || self.results.is_unreadable()
    }

    /// Requests that all runs stop. Their ends are still processed.
    pub(super) fn stop_runs(&mut self, job: &JobId, epoch: u64, ctx: &mut Context<'_>) {
        for index in &self.running {
            let item = ItemRef { job: Arc::clone(job), epoch, chunk: self.number, index: *index };
            ctx.out.push(LedgerAction::Stop(item));
        }
    }

    /// Discards running and queued items, and withdraws the intents of items that were not started. Results of runs
    /// that end later are ignored.
    pub(super) fn discard_runs(&mut self) {
        self.results.withdraw_intents(&self.running);
        self.running.clear();
        self.ready.clear();
        self.delayed.clear();
    }

    /// Handles the answer to a store call. Returns whether the call was issued by this chunk.
    pub(super) fn store_answered(
        &mut self,
        call: CallId,
        answer: &StoreAnswer,
        ctx: &mut Context<'_>,
    ) -> bool {
        if matches!(self.items, Items::Loading(own) if own == call) {
            self.chunk_read(answer, ctx);
            return true;
        }
        let spill = self.spills.iter().find(|(_, it)| it.call == Some(call));
        if let Some(index) = spill.map(|(index, _)| *index) {
            self.spill_written(index, answer, ctx);
            return true;
        }
        self.results.store_answered(call, answer, ctx)
    }

    /// Handles the end of an item's run: records a result or schedules a retry.
    pub(super) fn item_ended(
        &mut self,
        index: u32,
        end: ItemEnd,
        repeatable: bool,
        ctx: &mut Context<'_>,
    ) {
        if !self.running.remove(&index) || self.results.has_result(index) {
            return;
        }
        let attempts = self.attempts.entry(index).or_default();
        match end {
            ItemEnd::NotRun { retry_after_ms } => {
                attempts.not_run_count += 1;
                let backoff_ms = NOT_RUN_WAIT_MS << attempts.not_run_count.min(6);
                let wait_ms = backoff_ms.min(MAX_NOT_RUN_WAIT_MS).max(retry_after_ms);
                self.delay(index, wait_ms, ctx);
            }
            ItemEnd::Answered { status, body } => {
                attempts.tries += 1;
                let may_retry = repeatable && attempts.tries < MAX_TRIES;
                match status {
                    200..=299 => self.record(index, ItemOutcome::Answered, status, body, ctx),
                    // A retry may succeed for these statuses; every other 4xx is final.
                    408 | 425 | 429 | 500..=599 if may_retry => self.delay_retry(index, ctx),
                    _ => self.record(index, ItemOutcome::Failed, status, body, ctx),
                }
            }
            ItemEnd::MayHaveRun => {
                attempts.tries += 1;
                match repeatable {
                    true if attempts.tries < MAX_TRIES => self.delay_retry(index, ctx),
                    true => self.fail(index, "each try was lost before its answer", ctx),
                    false => self.record_may_have_run(index, ctx),
                }
            }
            ItemEnd::Refused { reason } => self.fail(index, &reason, ctx),
        }
    }

    /// Whether no more results are expected soon.
    fn is_idle(&self) -> bool {
        self.running.is_empty()
            && self.ready.is_empty()
            && self.delayed.is_empty()
            && self.spills.is_empty()
    }

    fn load(&mut self, header: &JobHeader, ctx: &mut Context<'_>) {
        match self.items {
            Items::Unloaded => {}
            Items::Waiting { at_ms } | Items::Unreadable { at_ms } if ctx.now_ms() >= at_ms => {}
            _ => return,
        }
        let key = chunk_key(&header.upload, self.number);
        self.items = Items::Loading(ctx.call(StoreOp::Get { key }));
    }

    fn chunk_read(&mut self, answer: &StoreAnswer, ctx: &mut Context<'_>) {
        let StoreAnswer::Object(stored) = answer else {
            let at_ms = ctx.now_ms() + self.backoff.wait_ms(ctx.rng);
            self.items = Items::Waiting { at_ms };
            return;
        };
        match read_items(&stored.value) {
            Ok(items) => {
                self.results.set_items(items.len() as u32);
                self.ready = (0..items.len() as u32).collect();
                let results = &self.results;
                self.ready.retain(|it| !results.has_result(*it));
                self.items = Items::Loaded(items);
            }
            Err(fault) => {
                let key = ObjectKey::new(Kind::Chunk, Arc::clone(&stored.name));
                ctx.note_unreadable(key, fault);
                self.items = Items::Unreadable { at_ms: ctx.unreadable_retry_ms() };
            }
        }
    }

    fn record_earlier_owner_intents(&mut self, ctx: &mut Context<'_>) {
        if !matches!(self.items, Items::Loaded(_)) {
            return;
        }
        for index in self.results.earlier_owner_intents() {
            self.record_may_have_run(index, ctx);
        }
    }

    fn requeue_due(&mut self, ctx: &mut Context<'_>) {
        while let Some((at_ms, index)) = self.delayed.first().copied() {
            if at_ms > ctx.now_ms() {
                return;
            }
            self.delayed.pop_first();
            self.ready.push_back(index);
        }
    }

    fn start_items(
        &mut self,
        job: &JobId,
        header: &JobHeader,
        free_slots: &mut usize,
        ctx: &mut Context<'_>,
    ) {
        let Items::Loaded(items) = &self.items else { return };
        if !ctx.may_run {
            return;
        }
        let mut unresolved =
            if header.repeatable { 0 } else { self.results.unresolved_own_intents() };
        for _ in 0..self.ready.len() {
            if *free_slots == 0 {
                return;
            }
            let Some(index) = self.ready.pop_front() else { return };
            if self.results.has_result(index) {
                continue;
            }
            // After a crash between a run and the commit of its result the item would run again; the intent, which is
            // stored before the run, prevents this.
            if !header.repeatable && !self.results.has_own_intent(index) {
                if unresolved < MAX_UNRESOLVED_INTENTS && self.results.request_intent(index) {
                    unresolved += 1;
                }
                self.ready.push_back(index);
                continue;
            }
            let Some(item) = items.get(index as usize) else { continue };
            *free_slots -= 1;
            self.running.insert(index);
            let epoch = header.owner.epoch;
            let work = ItemWork {
                item: ItemRef { job: Arc::clone(job), epoch, chunk: self.number, index },
                service: header.service.as_str().into(),
                workspace: header.workspace.as_str().into(),
                url: item.url.clone(),
                body: item.body.get().into(),
                repeatable: header.repeatable,
                due_unix_ms: header.due_unix_ms,
            };
            ctx.out.push(LedgerAction::Run(Box::new(work)));
        }
    }

    fn delay_retry(&mut self, index: u32, ctx: &mut Context<'_>) {
        let tries = self.attempts.get(&index).map_or(0, |it| it.tries);
        self.delay(index, RETRY_WAIT_MS << tries.min(MAX_TRIES), ctx);
    }

    fn delay(&mut self, index: u32, wait_ms: u64, ctx: &mut Context<'_>) {
        let at_ms = ctx.now_ms() + jittered(wait_ms, ctx.rng);
        self.delayed.insert((at_ms, index));
    }

    fn fail(&mut self, index: u32, reason: &str, ctx: &mut Context<'_>) {
        let body = serde_json::json!({ "error": reason });
        self.record(index, ItemOutcome::Failed, 0, body, ctx);
    }

    fn record_may_have_run(&mut self, index: u32, ctx: &mut Context<'_>) {
        let body = serde_json::json!({ "error": "it may have run, and must not run twice" });
        self.record(index, ItemOutcome::MayHaveRun, 0, body, ctx);
    }

    fn record(
        &mut self,
        index: u32,
        outcome: ItemOutcome,
        status: u16,
        body: serde_json::Value,
        ctx: &mut Context<'_>,
    ) {
        let Items::Loaded(items) = &self.items else { return };
        let Some(item) = items.get(index as usize) else { return };
        let tries = self.attempts.get(&index).map_or(0, |it| it.tries);
        let custom_id = item.custom_id.clone();
        let mut result =
            ItemResult { custom_id, outcome, status, body: Some(body), body_object: None, tries };
        let is_inline = EncodedResult::new(&result).is_some_and(|it| self.results.fits_inline(&it));
        if is_inline {
            self.results.add_result(ctx.now_ms(), index, &result);
            return;
        }
        let body = result.body.take().unwrap_or_default();
        self.spill(index, result, &body, ctx);
    }

    fn spill(
        &mut self,
        index: u32,
        result: ItemResult,
        body: &serde_json::Value,
        ctx: &mut Context<'_>,
    ) {
        let results = results_key(&ctx.config.writer, self.number);
        let name = format!("body-{}-{index}-{}", results.name, *ctx.next_call);
        let body: Value = serde_json::to_vec(body).unwrap_or_default().into();
        let backoff = Backoff::new();
        let spill = Spill { result, body, name, call: None, at_ms: 0, backoff };
        self.spills.insert(index, spill);
        self.step_spills(ctx);
    }

    fn step_spills(&mut self, ctx: &mut Context<'_>) {
        for spill in self.spills.values_mut() {
            if spill.call.is_some() || ctx.now_ms() < spill.at_ms {
                continue;
            }
            let op = StoreOp::Create {
                key: ObjectKey::new(Kind::Results, spill.name.as_str()),
                labels: Labels::new(),
                value: spill.body.clone(),
            };
            spill.call = Some(ctx.call(op));
        }
    }

    fn spill_written(&mut self, index: u32, answer: &StoreAnswer, ctx: &mut Context<'_>) {
        match answer {
            // The name is unique to this write, so an existing object under it holds this body.
            StoreAnswer::Object(_) | StoreAnswer::Taken => {
                let Some(mut spill) = self.spills.remove(&index) else { return };
                spill.result.body_object = Some(spill.name);
                self.results.add_result(ctx.now_ms(), index, &spill.result);
            }
            StoreAnswer::TooLarge => {
                self.spills.remove(&index);
                self.fail(index, "the result is larger than the store holds", ctx);
            }
            _ => {
                let Some(spill) = self.spills.get_mut(&index) else { return };
                spill.call = None;
                spill.at_ms = ctx.now_ms() + spill.backoff.wait_ms(ctx.rng);
            }
        }
    }

    /// Bytes of results that have not been written to the store.
    pub(super) fn pending_bytes(&self) -> usize {
        let spilled: usize = self.spills.values().map(|it| it.body.len()).sum();
        self.results.pending_bytes() + spilled
    }
}
