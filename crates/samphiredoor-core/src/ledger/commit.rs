//! Group commit of a chunk's results, each result exactly once.
//!
//! One object holds all results of a chunk. It changes only by conditional update, so that a committed result is never
//! replaced, even if a former owner resumes after a pause or a write of this owner takes effect after its answer was
//! lost. After a lost answer or a conflict the object is read, the results that it already holds are removed from the
//! pending ones, and the rest is written against the version that was read.
//!
//! An owner's first write stores its epoch, the fencing token, in the object. From then on the writes of former owners
//! conflict; their next read returns the higher epoch, and they drop the job. For items that must not run twice the
//! object also holds intents: an intent is written before the item is started, and an item with an intent of an earlier
//! owner but without a result is never started again.

use std::collections::{BTreeMap, BTreeSet};

use samphiredoor_schema::objects::{ItemOutcome, ItemResult};

use super::{
    backoff::Backoff,
    codec::{EncodedResult, Unreadable, read_stored_results, results_value},
    context::Context,
    names::CallId,
};
use crate::store::{Labels, ObjectKey, StoreAnswer, StoreOp, Stored, Version};

/// Number of pending results that are written without waiting for more.
pub(super) const GROUP_RESULTS: usize = 250;
/// Bytes of results in the object above which a further large one is stored as a separate object.
const MAX_INLINE_BYTES: usize = 700_000;
/// Bytes of the object reserved for each item without a result.
const RESERVED_BYTES_PER_ITEM: usize = 1_000;

#[derive(Debug)]
enum State {
    /// The object has not been read yet.
    Unread,
    /// Waiting for the answer to a read.
    Reading(CallId),
    /// No call in flight.
    Idle,
    /// Waiting for the answer to a write.
    Writing(CallId),
    /// Retry at `at_ms`, after a failure or a conflict; with `reread` the object is read first.
    Waiting { at_ms: u64, reread: bool },
    /// A later owner has written the object, or the job was removed; no more calls are made.
    Fenced,
}

/// Conditions for a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FlushPolicy {
    /// Write when a group is full, or when the oldest pending result has reached `linger_ms` and the process's rate
    /// limit allows a write.
    Group,
    /// Write without delay, because no more results are expected soon.
    Flush,
    /// Write without delay, and even without pending results if a former owner could still write.
    Seal,
}

/// Results and intents of one chunk: those committed to the store and those to be written.
#[derive(Debug)]
pub(super) struct ResultWriter {
    key: ObjectKey,
    epoch: u64,
    items: u32,
    state: State,
    version: Option<Version>,
    stored_epoch: u64,
    loaded: bool,
    unreadable: Option<Unreadable>,
    committed: BTreeMap<u32, EncodedResult>,
    committed_bytes: usize,
    /// Intents of all owners in the stored object.
    intents: BTreeSet<u32>,
    /// Intents that this owner has sent, whether or not they are stored.
    own_intents: BTreeSet<u32>,
    unwritten_intents: BTreeSet<u32>,
    withdrawn_intents: BTreeSet<u32>,
    pending: BTreeMap<u32, EncodedResult>,
    pending_bytes: usize,
    pending_since_ms: u64,
    /// Version that a write with unknown outcome was based on (`None` for a create); the write may still take effect.
    unknown_write: Option<Option<Version>>,
    backoff: Backoff,
}

impl ResultWriter {
    pub(super) fn new(key: ObjectKey, epoch: u64) -> ResultWriter {
        ResultWriter {
            key,
            epoch,
            items: 0,
            state: State::Unread,
            version: None,
            stored_epoch: 0,
            loaded: false,
            unreadable: None,
            committed: BTreeMap::new(),
            committed_bytes: 0,
            intents: BTreeSet::new(),
            own_intents: BTreeSet::new(),
            unwritten_intents: BTreeSet::new(),
            withdrawn_intents: BTreeSet::new(),
            pending: BTreeMap::new(),
            pending_bytes: 0,
            pending_since_ms: 0,
            unknown_write: None,
            backoff: Backoff::new(),
        }
    }

    /// Whether the stored results have been read.
    pub(super) fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Whether a later owner has written the object, or the job was removed.
    pub(super) fn is_fenced(&self) -> bool {
        matches!(self.state, State::Fenced)
    }

    /// Whether the object cannot be read, and is therefore not written.
    pub(super) fn is_unreadable(&self) -> bool {
        self.unreadable.is_some()
    }

    /// Sets the number of items in the chunk.
    pub(super) fn set_items(&mut self, items: u32) {
        self.items = items;
    }

    /// Whether every item has a committed result.
    pub(super) fn is_complete(&self) -> bool {
        self.loaded && self.items > 0 && self.committed.len() as u32 == self.items
    }

    /// Whether the item has a committed or pending result.
    pub(super) fn has_result(&self, index: u32) -> bool {
        self.committed.contains_key(&index) || self.pending.contains_key(&index)
    }

    /// Whether an intent of this owner is stored, so that the item may be started.
    pub(super) fn has_own_intent(&self, index: u32) -> bool {
        self.stored_epoch == self.epoch
            && self.own_intents.contains(&index)
            && self.intents.contains(&index)
    }

    /// Number of this owner's intents, stored or yet to be written, without a result.
    pub(super) fn unresolved_own_intents(&self) -> usize {
        let own = self.own_intents.union(&self.unwritten_intents);
        own.filter(|it| !self.has_result(**it)).count()
    }

    /// Items with an intent of an earlier owner and without a result: they may have run.
    pub(super) fn earlier_owner_intents(&self) -> Vec<u32> {
        let earlier = self.intents.difference(&self.own_intents);
        earlier.copied().filter(|it| !self.has_result(*it)).collect()
    }

    /// Items with a stored intent of any owner, not withdrawn, and without a result.
    pub(super) fn unresolved_intents(&self) -> Vec<u32> {
        let stored = self.intents.difference(&self.withdrawn_intents).copied();
        stored.filter(|it| !self.has_result(*it)).collect()
    }

    /// Numbers of completed and failed items among the committed results.
    pub(super) fn counts(&self) -> (u32, u32) {
        outcome_counts(self.committed.values().map(|it| it.outcome))
    }

    /// Bytes of pending results.
    pub(super) fn pending_bytes(&self) -> usize {
        self.pending_bytes
    }

    /// Requests that an intent be written. Returns false if it was requested before.
    pub(super) fn request_intent(&mut self, index: u32) -> bool {
        !self.own_intents.contains(&index) && self.unwritten_intents.insert(index)
    }

    /// Withdraws the intents of items that this owner has not started and will not start: all except the `running`
    /// ones.
    pub(super) fn withdraw_intents(&mut self, running: &BTreeSet<u32>) {
        self.unwritten_intents.clear();
        let not_started = self.own_intents.difference(running).copied();
        let not_started: Vec<u32> = not_started.filter(|it| !self.has_result(*it)).collect();
        self.withdrawn_intents.extend(not_started);
    }

    /// Discards results and intents that have not been written.
    pub(super) fn discard_pending(&mut self) {
        self.pending.clear();
        self.pending_bytes = 0;
        self.unwritten_intents.clear();
    }

    /// Whether a result of this size fits in the chunk's object together with the space reserved for missing results.
    /// One of at most [`RESERVED_BYTES_PER_ITEM`] always fits.
    pub(super) fn fits_inline(&self, result: &EncodedResult) -> bool {
        let with_result = self.committed.len() + self.pending.len() + 1;
        let reserved = (self.items as usize).saturating_sub(with_result) * RESERVED_BYTES_PER_ITEM;
        let used = self.committed_bytes + self.pending_bytes + reserved;
        used + result.len_bytes() <= MAX_INLINE_BYTES.max(used + RESERVED_BYTES_PER_ITEM)
    }

    /// Adds a pending result, unless the item already has one.
    pub(super) fn add_result(&mut self, now_ms: u64, index: u32, result: &ItemResult) {
        if self.has_result(index) {
            return;
        }
        let Some(encoded) = EncodedResult::new(result) else { return };
        if self.pending.is_empty() {
            self.pending_since_ms = now_ms;
        }
        self.pending_bytes += encoded.len_bytes();
        self.pending.insert(index, encoded);
    }

    /// Whether nothing is left to write and no write has an unknown outcome.
    pub(super) fn is_flushed(&self) -> bool {
        self.is_unreadable()
            || (matches!(self.state, State::Idle)
                && self.pending.is_empty()
                && self.unwritten_intents.is_empty()
                && self.withdrawn_intents.is_disjoint(&self.intents)
                && self.unknown_write.is_none())
    }

    /// Whether neither a write of another owner nor one in flight from this owner can still take effect.
    ///
    /// The first owner has no predecessor, so an object that it never wrote needs no fencing write.
    pub(super) fn is_sealed(&self) -> bool {
        let needs_no_fence = self.epoch == 1 && self.version.is_none();
        self.is_unreadable()
            || (self.is_flushed() && (needs_no_fence || self.stored_epoch == self.epoch))
    }

    /// Issues the next read or write if it is due.
    pub(super) fn step(&mut self, policy: FlushPolicy, ctx: &mut Context<'_>) {
        match self.state {
            State::Unread => self.read(ctx),
            State::Waiting { at_ms, reread } if ctx.now_ms() >= at_ms => match reread {
                true => self.read(ctx),
                false => {
                    self.state = State::Idle;
                    self.write_if_due(policy, ctx);
                }
            },
            State::Idle => self.write_if_due(policy, ctx),
            State::Reading(_) | State::Writing(_) | State::Waiting { .. } | State::Fenced => {}
        }
    }

    /// Handles the answer to a store call. Returns whether the call was issued by this writer.
    pub(super) fn store_answered(
        &mut self,
        call: CallId,
        answer: &StoreAnswer,
        ctx: &mut Context<'_>,
    ) -> bool {
        match self.state {
            State::Reading(own) if own == call => self.read_answered(answer, ctx),
            State::Writing(own) if own == call => self.write_answered(answer, ctx),
            _ => return false,
        }
        true
    }

    fn read(&mut self, ctx: &mut Context<'_>) {
        let call = ctx.call(StoreOp::Get { key: self.key.clone() });
        self.state = State::Reading(call);
    }

    fn write_if_due(&mut self, policy: FlushPolicy, ctx: &mut Context<'_>) {
        if self.is_due(policy, ctx) {
            self.write(ctx);
        }
    }

    fn is_due(&self, policy: FlushPolicy, ctx: &mut Context<'_>) -> bool {
        let intents_change = !self.unwritten_intents.is_empty()
            || !self.withdrawn_intents.is_disjoint(&self.intents);
        if intents_change || self.pending.len() >= GROUP_RESULTS {
            return true;
        }
        match policy {
            FlushPolicy::Seal => !self.is_sealed(),
            FlushPolicy::Flush => !self.pending.is_empty() || self.unknown_write.is_some(),
            FlushPolicy::Group if self.pending.is_empty() => false,
            FlushPolicy::Group => ctx.may_write_partial_group(self.pending_since_ms),
        }
    }

    fn write(&mut self, ctx: &mut Context<'_>) {
        let mut intents = self.intents.clone();
        intents.extend(&self.unwritten_intents);
        intents.retain(|it| !self.withdrawn_intents.contains(it));
        self.own_intents.append(&mut self.unwritten_intents);
        let results = self.committed.iter().chain(&self.pending);
        let value = results_value(self.epoch, &ctx.config.writer, self.items, &intents, results);
        let op = StoreOp::write(self.key.clone(), self.version, Labels::new(), value);
        self.state = State::Writing(ctx.call(op));
    }

    fn read_answered(&mut self, answer: &StoreAnswer, ctx: &mut Context<'_>) {
        match answer {
            StoreAnswer::Object(stored) => self.apply_stored(stored, ctx),
            // Results are deleted only when their job is removed.
            StoreAnswer::Absent if self.version.is_some() => self.state = State::Fenced,
            StoreAnswer::Absent => {
                self.loaded = true;
                self.state = State::Idle;
                self.backoff.reset();
                self.requeue_lost_intents();
            }
            _ => self.back_off(true, ctx),
        }
    }

    fn write_answered(&mut self, answer: &StoreAnswer, ctx: &mut Context<'_>) {
        match answer {
            StoreAnswer::Object(stored) => self.apply_stored(stored, ctx),
            // The write may have taken effect, or may do so later; only a read shows which.
            StoreAnswer::Unknown => {
                self.unknown_write = Some(self.version);
                self.state = State::Waiting { at_ms: ctx.now_ms(), reread: true };
            }
            // Another write was first. The read returns the committed results and the current epoch.
            StoreAnswer::Conflict | StoreAnswer::Taken | StoreAnswer::Absent => {
                self.state = State::Waiting { at_ms: ctx.now_ms(), reread: true };
            }
            _ => {
                self.requeue_lost_intents();
                self.back_off(false, ctx);
            }
        }
    }

    fn apply_stored(&mut self, stored: &Stored, ctx: &mut Context<'_>) {
        let content = match read_stored_results(&stored.value) {
            Ok(content) => content,
            // The version is not recorded, so that no update of this object can succeed.
            Err(fault) => return self.mark_unreadable(fault, ctx),
        };
        self.unreadable = None;
        if content.epoch > self.epoch {
            self.state = State::Fenced;
            return;
        }
        // A write based on any other version than the stored one can no longer take effect.
        if self.unknown_write != Some(Some(stored.version)) {
            self.unknown_write = None;
        }
        if content.epoch < self.epoch {
            // A former owner wrote this object. Where both owners have an intent for an item, the stored one belongs to
            // the former owner's run.
            self.own_intents.retain(|it| !content.intents.contains(it));
            self.unwritten_intents.retain(|it| !content.intents.contains(it));
        } else {
            // A write of this owner with unknown outcome has taken effect.
            let stored = self.unwritten_intents.iter().filter(|it| content.intents.contains(it));
            self.own_intents.extend(stored.copied().collect::<Vec<_>>());
            self.unwritten_intents.retain(|it| !content.intents.contains(it));
        }
        self.version = Some(stored.version);
        self.stored_epoch = content.epoch;
        self.items = self.items.max(content.items);
        self.intents = content.intents;
        self.committed_bytes = content.results.values().map(EncodedResult::len_bytes).sum();
        self.committed = content.results;
        self.pending.retain(|index, _| !self.committed.contains_key(index));
        self.pending_bytes = self.pending.values().map(EncodedResult::len_bytes).sum();
        self.loaded = true;
        self.state = State::Idle;
        self.backoff.reset();
        self.requeue_lost_intents();
    }

    /// Queues intents that were sent but are not stored to be written again.
    fn requeue_lost_intents(&mut self) {
        let missing: Vec<u32> = self.own_intents.difference(&self.intents).copied().collect();
        for index in missing {
            self.own_intents.remove(&index);
            if !self.withdrawn_intents.contains(&index) {
                self.unwritten_intents.insert(index);
            }
        }
    }

    fn mark_unreadable(&mut self, fault: Unreadable, ctx: &mut Context<'_>) {
        if self.unreadable.replace(fault).is_none() {
            ctx.note_unreadable(self.key.clone(), fault);
        }
        self.discard_pending();
        let at_ms = ctx.unreadable_retry_ms();
        self.state = State::Waiting { at_ms, reread: true };
    }

    fn back_off(&mut self, reread: bool, ctx: &mut Context<'_>) {
        let at_ms = ctx.now_ms() + self.backoff.wait_ms(ctx.rng);
        self.state = State::Waiting { at_ms, reread };
    }
}

fn outcome_counts(outcomes: impl Iterator<Item = ItemOutcome>) -> (u32, u32) {
    let mut completed = 0;
    let mut failed = 0;
    for outcome in outcomes {
        match outcome {
            ItemOutcome::Answered => completed += 1,
            ItemOutcome::Failed | ItemOutcome::MayHaveRun => failed += 1,
        }
    }
    (completed, failed)
}
