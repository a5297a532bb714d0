//! Writing results in groups, each result once.
//!
//! One object holds all results of a chunk. It only changes by conditional update, so whoever else writes (a former
//! owner that was paused, or a write of our own whose answer was lost), a result that stands is never replaced. After
//! a lost answer or a conflict the object is read, what already stands is dropped from the pending results, and the
//! rest is written against the version that was read.
//!
//! The first write of an owner puts its epoch into the object. From then on a former owner's write conflicts, its read
//! shows the higher epoch, and it drops the job. For items that must not run twice the object also holds intents: an
//! intent is written before the item is run, and one that an earlier owner left without a result is never run again.

use std::collections::{BTreeMap, BTreeSet};

use samphiredoor_schema::objects::{ItemOutcome, ItemResult};

use super::{
    backoff::Backoff,
    codec::{Recorded, Unreadable, read_stored_results, results_value},
    context::Context,
    names::CallId,
};
use crate::store::{ObjectKey, StoreAnswer, StoreOp, Stored, Version};

/// Results that are worth a write at once.
pub(super) const GROUP: usize = 250;
/// Bytes of results above which a further large one gets an object of its own.
const INLINE_BYTES: usize = 700_000;
/// Room kept in the object for each item that is still to come.
const RESERVED_BYTES: usize = 1_000;
const UNREADABLE_RETRY_MS: u64 = 60_000;

#[derive(Debug)]
enum State {
    /// The object was not read yet.
    Unread,
    /// Waiting for the answer to a read.
    Reading(CallId),
    /// Nothing under way.
    Idle,
    /// Waiting for the answer to a write.
    Writing(CallId),
    /// The store failed; try again at this time.
    Waiting { at_ms: u64, reread: bool },
    /// A later owner has written; nothing may be done here any more.
    Fenced,
}

/// What is written, and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Urgency {
    /// When a group is full, or the oldest result is old and the process's pace allows it.
    Group,
    /// At once: no more results are to come soon.
    Flush,
    /// At once, and even without results if a former owner could still write.
    Seal,
}

/// Results of one chunk: those that stand in the store, and those on their way.
#[derive(Debug)]
pub(super) struct Commit {
    key: ObjectKey,
    epoch: u64,
    items: u32,
    state: State,
    version: Option<Version>,
    stored_epoch: u64,
    was_read: bool,
    unreadable: Option<Unreadable>,
    standing: BTreeMap<u32, Recorded>,
    standing_bytes: usize,
    intents: BTreeSet<u32>,
    own_intents: BTreeSet<u32>,
    wanted: BTreeSet<u32>,
    withdrawn: BTreeSet<u32>,
    pending: BTreeMap<u32, Recorded>,
    pending_bytes: usize,
    since_ms: u64,
    // Version that a write was made against whose answer was lost; it may still take effect.
    doubtful: Option<Option<Version>>,
    backoff: Backoff,
}

impl Commit {
    pub(super) fn new(key: ObjectKey, epoch: u64) -> Commit {
        Commit {
            key,
            epoch,
            items: 0,
            state: State::Unread,
            version: None,
            stored_epoch: 0,
            was_read: false,
            unreadable: None,
            standing: BTreeMap::new(),
            standing_bytes: 0,
            intents: BTreeSet::new(),
            own_intents: BTreeSet::new(),
            wanted: BTreeSet::new(),
            withdrawn: BTreeSet::new(),
            pending: BTreeMap::new(),
            pending_bytes: 0,
            since_ms: 0,
            doubtful: None,
            backoff: Backoff::new(),
        }
    }

    /// Whether the standing results are known.
    pub(super) fn is_read(&self) -> bool {
        self.was_read
    }

    /// Whether a later owner has written.
    pub(super) fn is_fenced(&self) -> bool {
        matches!(self.state, State::Fenced)
    }

    /// Whether the object cannot be read, and so is left alone.
    pub(super) fn is_unreadable(&self) -> bool {
        self.unreadable.is_some()
    }

    /// Says how many items the chunk has.
    pub(super) fn set_items(&mut self, items: u32) {
        self.items = items;
    }

    /// Whether a result stands for each item.
    pub(super) fn is_complete(&self) -> bool {
        self.was_read && self.items > 0 && self.standing.len() as u32 == self.items
    }

    pub(super) fn is_decided(&self, index: u32) -> bool {
        self.standing.contains_key(&index) || self.pending.contains_key(&index)
    }

    /// Whether an intent of this owner stands, so that the item may be run.
    pub(super) fn is_intended(&self, index: u32) -> bool {
        self.stored_epoch == self.epoch
            && self.own_intents.contains(&index)
            && self.intents.contains(&index)
    }

    /// Intents of this owner that are written or wanted, and have no result.
    pub(super) fn open_intents(&self) -> usize {
        let own = self.own_intents.union(&self.wanted);
        own.filter(|it| !self.is_decided(**it)).count()
    }

    /// Intents of earlier owners that have no result: the items may have been run.
    pub(super) fn foreign_intents(&self) -> Vec<u32> {
        let foreign = self.intents.difference(&self.own_intents);
        foreign.copied().filter(|it| !self.is_decided(*it)).collect()
    }

    /// All intents without a result.
    pub(super) fn unanswered_intents(&self) -> Vec<u32> {
        let standing = self.intents.difference(&self.withdrawn).copied();
        standing.filter(|it| !self.is_decided(*it)).collect()
    }

    /// Items completed and failed, as they stand.
    pub(super) fn counts(&self) -> (u32, u32) {
        outcome_counts(self.standing.values().map(|it| it.outcome))
    }

    /// Bytes of results that are not written yet.
    pub(super) fn pending_bytes(&self) -> usize {
        self.pending_bytes
    }

    /// Asks for an intent to be written; tells whether it was not asked for before.
    pub(super) fn intend(&mut self, index: u32) -> bool {
        !self.own_intents.contains(&index) && self.wanted.insert(index)
    }

    /// Takes back the intents of items that this owner has not run and will not run: all but those that are `running`.
    pub(super) fn withdraw_intents(&mut self, running: &BTreeSet<u32>) {
        self.wanted.clear();
        let unrun = self.own_intents.difference(running).copied();
        let unrun: Vec<u32> = unrun.filter(|it| !self.is_decided(*it)).collect();
        self.withdrawn.extend(unrun);
    }

    /// Forgets results and intents that are not written.
    pub(super) fn drop_pending(&mut self) {
        self.pending.clear();
        self.pending_bytes = 0;
        self.wanted.clear();
    }

    /// Whether a result of this size still fits in the chunk's object, beside those to come.
    pub(super) fn has_room(&self, result: &Recorded) -> bool {
        let decided = self.standing.len() + self.pending.len() + 1;
        let reserved = (self.items as usize).saturating_sub(decided) * RESERVED_BYTES;
        let used = self.standing_bytes + self.pending_bytes + reserved;
        used + result.len_bytes() <= INLINE_BYTES.max(used + RESERVED_BYTES)
    }

    /// Takes a result; the first one for an item counts.
    pub(super) fn add(&mut self, now_ms: u64, index: u32, result: &ItemResult) {
        if self.is_decided(index) {
            return;
        }
        let Some(recorded) = Recorded::new(result) else { return };
        if self.pending.is_empty() {
            self.since_ms = now_ms;
        }
        self.pending_bytes += recorded.len_bytes();
        self.pending.insert(index, recorded);
    }

    /// Whether nothing is on its way or in doubt.
    pub(super) fn is_settled(&self) -> bool {
        self.is_unreadable()
            || (matches!(self.state, State::Idle)
                && self.pending.is_empty()
                && self.wanted.is_empty()
                && self.withdrawn.is_disjoint(&self.intents)
                && self.doubtful.is_none())
    }

    /// Whether no write of anybody but this owner, and none of its own on its way, can still take effect.
    ///
    /// The first owner has no former owner, so an object that it never wrote needs no fence.
    pub(super) fn is_sealed(&self) -> bool {
        let no_former_owner = self.epoch == 1 && self.version.is_none();
        self.is_unreadable()
            || (self.is_settled() && (no_former_owner || self.stored_epoch == self.epoch))
    }

    /// Reads or writes if it is time.
    pub(super) fn step(&mut self, urgency: Urgency, ctx: &mut Context<'_>) {
        match self.state {
            State::Unread => self.read(ctx),
            State::Waiting { at_ms, reread } if ctx.now_ms() >= at_ms => match reread {
                true => self.read(ctx),
                false => {
                    self.state = State::Idle;
                    self.write_if_due(urgency, ctx);
                }
            },
            State::Idle => self.write_if_due(urgency, ctx),
            State::Reading(_) | State::Writing(_) | State::Waiting { .. } | State::Fenced => {}
        }
    }

    /// Takes the answer to a call; tells whether the call was this chunk's.
    pub(super) fn stored(
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

    fn write_if_due(&mut self, urgency: Urgency, ctx: &mut Context<'_>) {
        if self.is_due(urgency, ctx) {
            self.write(ctx);
        }
    }

    fn is_due(&self, urgency: Urgency, ctx: &mut Context<'_>) -> bool {
        let intents_change = !self.wanted.is_empty() || !self.withdrawn.is_disjoint(&self.intents);
        if intents_change || self.pending.len() >= GROUP {
            return true;
        }
        match urgency {
            Urgency::Seal => !self.is_sealed(),
            Urgency::Flush => !self.pending.is_empty() || self.doubtful.is_some(),
            Urgency::Group if self.pending.is_empty() => false,
            Urgency::Group => ctx.lingered(self.since_ms),
        }
    }

    fn write(&mut self, ctx: &mut Context<'_>) {
        let mut intents = self.intents.clone();
        intents.extend(&self.wanted);
        intents.retain(|it| !self.withdrawn.contains(it));
        self.own_intents.append(&mut self.wanted);
        let results = self.standing.iter().chain(&self.pending);
        let value = results_value(self.epoch, &ctx.config.writer, self.items, &intents, results);
        let key = self.key.clone();
        let labels = Default::default();
        let op = match self.version {
            Some(version) => StoreOp::Update { key, version, labels, value },
            None => StoreOp::Create { key, labels, value },
        };
        self.state = State::Writing(ctx.call(op));
    }

    fn read_answered(&mut self, answer: &StoreAnswer, ctx: &mut Context<'_>) {
        match answer {
            StoreAnswer::Object(stored) => self.take(stored, ctx),
            // Results only vanish when their job is removed.
            StoreAnswer::Absent if self.version.is_some() => self.state = State::Fenced,
            StoreAnswer::Absent => {
                self.was_read = true;
                self.state = State::Idle;
                self.backoff.reset();
                self.want_lost_intents();
            }
            _ => self.wait(true, ctx),
        }
    }

    fn write_answered(&mut self, answer: &StoreAnswer, ctx: &mut Context<'_>) {
        match answer {
            StoreAnswer::Object(stored) => self.take(stored, ctx),
            // The write may stand, or may still take effect: only a read can tell.
            StoreAnswer::Unknown => {
                self.doubtful = Some(self.version);
                self.state = State::Waiting { at_ms: ctx.now_ms(), reread: true };
            }
            // Another writer was first. The read shows whose results stand, and whether a later owner's epoch does.
            StoreAnswer::Conflict | StoreAnswer::Taken | StoreAnswer::Absent => {
                self.state = State::Waiting { at_ms: ctx.now_ms(), reread: true };
            }
            _ => {
                self.want_lost_intents();
                self.wait(false, ctx);
            }
        }
    }

    fn take(&mut self, stored: &Stored, ctx: &mut Context<'_>) {
        let content = match read_stored_results(&stored.value) {
            Ok(content) => content,
            // Its version is not taken, so that no update of ours can succeed against it.
            Err(fault) => return self.refuse(fault, ctx),
        };
        self.unreadable = None;
        if content.epoch > self.epoch {
            self.state = State::Fenced;
            return;
        }
        // A write against another version than the one that stands can take effect no more.
        if self.doubtful != Some(Some(stored.version)) {
            self.doubtful = None;
        }
        if content.epoch < self.epoch {
            // A former owner wrote these; where we meant the same item, its run and not ours has the intent.
            self.own_intents.retain(|it| !content.intents.contains(it));
            self.wanted.retain(|it| !content.intents.contains(it));
        } else {
            // A write of ours that was believed lost has taken effect.
            let standing = self.wanted.iter().filter(|it| content.intents.contains(it));
            self.own_intents.extend(standing.copied().collect::<Vec<_>>());
            self.wanted.retain(|it| !content.intents.contains(it));
        }
        self.version = Some(stored.version);
        self.stored_epoch = content.epoch;
        self.items = self.items.max(content.items);
        self.intents = content.intents;
        self.standing_bytes = content.results.values().map(Recorded::len_bytes).sum();
        self.standing = content.results;
        self.pending.retain(|index, _| !self.standing.contains_key(index));
        self.pending_bytes = self.pending.values().map(Recorded::len_bytes).sum();
        self.was_read = true;
        self.state = State::Idle;
        self.backoff.reset();
        self.want_lost_intents();
    }

    /// Intents that were sent and do not stand are to be written again.
    fn want_lost_intents(&mut self) {
        let lost: Vec<u32> = self.own_intents.difference(&self.intents).copied().collect();
        for index in lost {
            self.own_intents.remove(&index);
            if !self.withdrawn.contains(&index) {
                self.wanted.insert(index);
            }
        }
    }

    fn refuse(&mut self, fault: Unreadable, ctx: &mut Context<'_>) {
        if self.unreadable.replace(fault).is_none() {
            ctx.note_unreadable(self.key.clone(), fault);
        }
        self.drop_pending();
        let at_ms = ctx.now_ms() + UNREADABLE_RETRY_MS;
        self.state = State::Waiting { at_ms, reread: true };
    }

    fn wait(&mut self, reread: bool, ctx: &mut Context<'_>) {
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
