//! One open chunk of a job: its items, their runs and tries, and its results.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use samphiredoor_schema::objects::{ItemOutcome, ItemResult, JobHeader};

use super::{
    backoff::{Backoff, jittered},
    codec::{Recorded, StoredItem, read_items},
    commit::{Commit, Urgency},
    context::Context,
    messages::{ItemEnd, ItemRef, ItemWork, LedgerAction},
    names::{CallId, JobId, chunk_key, results_key},
};
use crate::store::{Kind, Labels, ObjectKey, StoreAnswer, StoreOp, Value};

/// Tries after which an item is recorded as failed.
pub const MAX_TRIES: u32 = 4;
/// Intents written ahead for items that must not run twice.
///
/// Each intent without a result ends as `may_have_run` when its owner dies, also if it only waited for a target. So
/// few are written ahead, although a larger group would take fewer writes.
const INTENTS_AHEAD: usize = 16;
const TRY_WAIT_MS: u64 = 500;
const NOT_RUN_WAIT_MS: u64 = 100;
const MAX_NOT_RUN_WAIT_MS: u64 = 5_000;
const UNREADABLE_RETRY_MS: u64 = 60_000;

#[derive(Debug)]
enum Items {
    Unloaded,
    Loading(CallId),
    Waiting { at_ms: u64 },
    Loaded(Vec<StoredItem>),
    Unreadable { at_ms: u64 },
}

#[derive(Debug, Default)]
struct Attempts {
    tries: u32,
    not_runs: u32,
}

/// A body that is too large for the chunk's results, on its way to an object of its own.
#[derive(Debug)]
struct Spill {
    result: ItemResult,
    body: Value,
    name: String,
    call: Option<CallId>,
    at_ms: u64,
    backoff: Backoff,
}

/// One open chunk.
#[derive(Debug)]
pub(super) struct OpenChunk {
    number: u32,
    items: Items,
    pub(super) commit: Commit,
    ready: VecDeque<u32>,
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
            commit: Commit::new(results_key(&header.upload, number), header.owner.epoch),
            ready: VecDeque::new(),
            delayed: BTreeSet::new(),
            running: BTreeSet::new(),
            attempts: BTreeMap::new(),
            spills: BTreeMap::new(),
            backoff: Backoff::new(),
        }
    }

    /// Items handed out and not ended.
    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    /// Whether an object of the chunk cannot be read, so that it cannot go on; others can.
    pub(super) fn is_stuck(&self) -> bool {
        matches!(self.items, Items::Unreadable { .. }) || self.commit.is_unreadable()
    }

    /// Whether all is committed and nothing runs.
    pub(super) fn is_settled(&self) -> bool {
        self.running.is_empty() && self.spills.is_empty() && self.commit.is_settled()
    }

    /// Goes on with the work; hands out at most `room` items.
    pub(super) fn work(
        &mut self,
        job: &JobId,
        header: &JobHeader,
        room: &mut usize,
        ctx: &mut Context<'_>,
    ) {
        if self.commit.is_read() && !self.commit.is_complete() {
            self.load(header, ctx);
            self.decide_foreign_intents(ctx);
            self.wake_delayed(ctx);
            self.step_spills(ctx);
            self.hand_out(job, header, room, ctx);
        }
        let urgency = if self.is_idle() { Urgency::Flush } else { Urgency::Group };
        self.commit.step(urgency, ctx);
    }

    /// Commits what has arrived, hands out nothing, and leaves no intent of an item that was not run.
    pub(super) fn settle(&mut self, ctx: &mut Context<'_>) {
        self.step_spills(ctx);
        if self.running.is_empty() && self.spills.is_empty() {
            self.commit.withdraw_intents(&self.running);
        }
        self.commit.step(Urgency::Flush, ctx);
    }

    /// Makes sure that nothing is written after the job's end: commits what has arrived, records what may have run,
    /// and fences former owners. Tells whether that is done.
    pub(super) fn seal(&mut self, header: &JobHeader, ctx: &mut Context<'_>) -> bool {
        if !self.spills.is_empty() {
            self.step_spills(ctx);
            self.commit.step(Urgency::Flush, ctx);
            return false;
        }
        if self.commit.is_read() && !self.commit.unanswered_intents().is_empty() {
            self.load(header, ctx);
            if !matches!(self.items, Items::Loaded(_) | Items::Unreadable { .. }) {
                return false;
            }
            for index in self.commit.unanswered_intents() {
                self.record_doubt(index, ctx);
            }
        }
        self.commit.step(Urgency::Seal, ctx);
        self.commit.is_read() && self.commit.is_sealed() || self.commit.is_unreadable()
    }

    /// Stops all runs; their ends are still awaited.
    pub(super) fn stop(&mut self, job: &JobId, epoch: u64, ctx: &mut Context<'_>) {
        for index in &self.running {
            let item = ItemRef { job: Arc::clone(job), epoch, chunk: self.number, index: *index };
            ctx.out.push(LedgerAction::Stop(item));
        }
    }

    /// Forgets everything that is not on its way to the store: later results are dropped.
    pub(super) fn drop_runs(&mut self) {
        self.commit.withdraw_intents(&self.running);
        self.running.clear();
        self.ready.clear();
        self.delayed.clear();
    }

    /// Takes the answer to a call; tells whether the call was this chunk's.
    pub(super) fn stored(
        &mut self,
        call: CallId,
        answer: &StoreAnswer,
        ctx: &mut Context<'_>,
    ) -> bool {
        if matches!(self.items, Items::Loading(own) if own == call) {
            self.loaded(answer, ctx);
            return true;
        }
        let spill = self.spills.iter().find(|(_, it)| it.call == Some(call));
        if let Some(index) = spill.map(|(index, _)| *index) {
            self.spilled(index, answer, ctx);
            return true;
        }
        self.commit.stored(call, answer, ctx)
    }

    /// Takes the end of a run.
    pub(super) fn item_ended(
        &mut self,
        index: u32,
        end: ItemEnd,
        repeatable: bool,
        ctx: &mut Context<'_>,
    ) {
        if !self.running.remove(&index) || self.commit.is_decided(index) {
            return;
        }
        let attempts = self.attempts.entry(index).or_default();
        match end {
            ItemEnd::NotRun { retry_after_ms } => {
                attempts.not_runs += 1;
                let grown = NOT_RUN_WAIT_MS << attempts.not_runs.min(6);
                let wait_ms = grown.min(MAX_NOT_RUN_WAIT_MS).max(retry_after_ms);
                self.delay(index, wait_ms, ctx);
            }
            ItemEnd::Answered { status, body } => {
                attempts.tries += 1;
                let again = repeatable && attempts.tries < MAX_TRIES;
                match status {
                    200..=299 => self.record(index, ItemOutcome::Answered, status, body, ctx),
                    // The service may answer otherwise later; all else of 4xx is final.
                    408 | 425 | 429 | 500..=599 if again => self.delay_try(index, ctx),
                    _ => self.record(index, ItemOutcome::Failed, status, body, ctx),
                }
            }
            ItemEnd::MayHaveRun => {
                attempts.tries += 1;
                match repeatable {
                    true if attempts.tries < MAX_TRIES => self.delay_try(index, ctx),
                    true => self.fail(index, "each try was lost before its answer", ctx),
                    false => self.record_doubt(index, ctx),
                }
            }
            ItemEnd::Refused { reason } => self.fail(index, &reason, ctx),
        }
    }

    /// Whether no more results are to come soon.
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

    fn loaded(&mut self, answer: &StoreAnswer, ctx: &mut Context<'_>) {
        let StoreAnswer::Object(stored) = answer else {
            let at_ms = ctx.now_ms() + self.backoff.wait_ms(ctx.rng);
            self.items = Items::Waiting { at_ms };
            return;
        };
        match read_items(&stored.value) {
            Ok(items) => {
                self.commit.set_items(items.len() as u32);
                self.ready = (0..items.len() as u32).collect();
                let commit = &self.commit;
                self.ready.retain(|it| !commit.is_decided(*it));
                self.items = Items::Loaded(items);
            }
            Err(fault) => {
                let key = ObjectKey::new(Kind::Chunk, Arc::clone(&stored.name));
                ctx.note_unreadable(key, fault);
                self.items = Items::Unreadable { at_ms: ctx.now_ms() + UNREADABLE_RETRY_MS };
            }
        }
    }

    fn decide_foreign_intents(&mut self, ctx: &mut Context<'_>) {
        if !matches!(self.items, Items::Loaded(_)) {
            return;
        }
        for index in self.commit.foreign_intents() {
            self.record_doubt(index, ctx);
        }
    }

    fn wake_delayed(&mut self, ctx: &mut Context<'_>) {
        while let Some((at_ms, index)) = self.delayed.first().copied() {
            if at_ms > ctx.now_ms() {
                return;
            }
            self.delayed.pop_first();
            self.ready.push_back(index);
        }
    }

    fn hand_out(
        &mut self,
        job: &JobId,
        header: &JobHeader,
        room: &mut usize,
        ctx: &mut Context<'_>,
    ) {
        let Items::Loaded(items) = &self.items else { return };
        if !ctx.may_run {
            return;
        }
        let mut ahead = if header.repeatable { 0 } else { self.commit.open_intents() };
        for _ in 0..self.ready.len() {
            if *room == 0 {
                return;
            }
            let Some(index) = self.ready.pop_front() else { return };
            if self.commit.is_decided(index) {
                continue;
            }
            // A crash between a run and its record would run the item again; the intent that stands first prevents it.
            if !header.repeatable && !self.commit.is_intended(index) {
                if ahead < INTENTS_AHEAD && self.commit.intend(index) {
                    ahead += 1;
                }
                self.ready.push_back(index);
                continue;
            }
            let Some(item) = items.get(index as usize) else { continue };
            *room -= 1;
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

    fn delay_try(&mut self, index: u32, ctx: &mut Context<'_>) {
        let tries = self.attempts.get(&index).map_or(0, |it| it.tries);
        self.delay(index, TRY_WAIT_MS << tries.min(MAX_TRIES), ctx);
    }

    fn delay(&mut self, index: u32, wait_ms: u64, ctx: &mut Context<'_>) {
        let at_ms = ctx.now_ms() + jittered(wait_ms, ctx.rng);
        self.delayed.insert((at_ms, index));
    }

    fn fail(&mut self, index: u32, reason: &str, ctx: &mut Context<'_>) {
        let body = serde_json::json!({ "error": reason });
        self.record(index, ItemOutcome::Failed, 0, body, ctx);
    }

    fn record_doubt(&mut self, index: u32, ctx: &mut Context<'_>) {
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
        let fits = Recorded::new(&result).is_some_and(|it| self.commit.has_room(&it));
        if fits {
            self.commit.add(ctx.now_ms(), index, &result);
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

    fn spilled(&mut self, index: u32, answer: &StoreAnswer, ctx: &mut Context<'_>) {
        match answer {
            // No other write has this name: whatever stands there is this body.
            StoreAnswer::Object(_) | StoreAnswer::Taken => {
                let Some(mut spill) = self.spills.remove(&index) else { return };
                spill.result.body_object = Some(spill.name);
                self.commit.add(ctx.now_ms(), index, &spill.result);
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

    /// Bytes of results that are not written yet.
    pub(super) fn pending_bytes(&self) -> usize {
        let spilled: usize = self.spills.values().map(|it| it.body.len()).sum();
        self.commit.pending_bytes() + spilled
    }
}
