//! Writing results in groups, each result once.
//!
//! One object holds all results of a chunk. It only changes by conditional update, so whoever else writes (a former
//! owner that was paused, or a write of our own whose answer was lost), a result that stands is never replaced. After
//! a lost answer or a conflict the object is read, what already stands is dropped from the pending results, and the
//! rest is written against the version that was read.

use std::collections::BTreeMap;

use samphiredoor_schema::objects::{ChunkResults, ItemResult};

use super::{CallId, Calls};
use crate::{
    Name,
    store::{ObjectKey, StoreAnswer, StoreOp, Stored, Value, Version},
    time::Now,
};

const RETRY_MIN_MS: u64 = 50;
const RETRY_MAX_MS: u64 = 5_000;

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
}

/// Results of one chunk: those that stand in the store, and those on their way.
#[derive(Debug)]
pub(super) struct Commit {
    key: ObjectKey,
    epoch: u64,
    writer: Name,
    state: State,
    version: Option<Version>,
    standing: BTreeMap<String, ItemResult>,
    pending: BTreeMap<String, ItemResult>,
    since_ms: u64,
    backoff_ms: u64,
}

impl Commit {
    pub(super) fn new(key: ObjectKey, epoch: u64, writer: Name) -> Commit {
        Commit {
            key,
            epoch,
            writer,
            state: State::Unread,
            version: None,
            standing: BTreeMap::new(),
            pending: BTreeMap::new(),
            since_ms: 0,
            backoff_ms: RETRY_MIN_MS,
        }
    }

    /// Whether the standing results are known.
    pub(super) fn is_read(&self) -> bool {
        !matches!(self.state, State::Unread | State::Reading(_)) || self.version.is_some()
    }

    pub(super) fn is_decided(&self, index: u32) -> bool {
        let index = index.to_string();
        self.standing.contains_key(&index) || self.pending.contains_key(&index)
    }

    pub(super) fn standing(&self) -> &BTreeMap<String, ItemResult> {
        &self.standing
    }

    pub(super) fn pending_len(&self) -> usize {
        self.pending.len()
    }

    /// Takes a result; the first one for an item counts.
    pub(super) fn add(&mut self, now: Now, index: u32, result: ItemResult) {
        if self.is_decided(index) {
            return;
        }
        if self.pending.is_empty() {
            self.since_ms = now.mono_ms;
        }
        self.pending.insert(index.to_string(), result);
    }

    /// Reads or writes if it is time; `group` results, or results older than `linger_ms`, are worth a write.
    pub(super) fn step(&mut self, now: Now, group: usize, linger_ms: u64, calls: &mut Calls<'_>) {
        match self.state {
            State::Unread => self.read(calls),
            State::Waiting { at_ms, reread } if now.mono_ms >= at_ms => match reread {
                true => self.read(calls),
                false => {
                    self.state = State::Idle;
                    self.write_if_due(now, group, linger_ms, calls);
                }
            },
            State::Idle => self.write_if_due(now, group, linger_ms, calls),
            State::Reading(_) | State::Writing(_) | State::Waiting { .. } => {}
        }
    }

    /// Takes the answer to a call; tells whether the call was this chunk's.
    pub(super) fn stored(&mut self, now: Now, call: CallId, answer: &StoreAnswer) -> bool {
        match self.state {
            State::Reading(own) if own == call => self.read_answered(now, answer),
            State::Writing(own) if own == call => self.write_answered(now, answer),
            _ => return false,
        }
        true
    }

    fn read(&mut self, calls: &mut Calls<'_>) {
        let call = calls.add(StoreOp::Get { key: self.key.clone() });
        self.state = State::Reading(call);
    }

    fn write_if_due(&mut self, now: Now, group: usize, linger_ms: u64, calls: &mut Calls<'_>) {
        let old = now.mono_ms.saturating_sub(self.since_ms) >= linger_ms;
        if self.pending.is_empty() || !(old || self.pending.len() >= group) {
            return;
        }
        let mut results = self.standing.clone();
        results.extend(self.pending.clone());
        let content = ChunkResults {
            epoch: self.epoch,
            writer: self.writer.to_string(),
            intents: Vec::new(),
            results,
        };
        let value: Value = serde_json::to_vec(&content).unwrap_or_default().into();
        let key = self.key.clone();
        let op = match self.version {
            Some(version) => StoreOp::Update { key, version, labels: Default::default(), value },
            None => StoreOp::Create { key, labels: Default::default(), value },
        };
        self.state = State::Writing(calls.add(op));
    }

    fn read_answered(&mut self, now: Now, answer: &StoreAnswer) {
        match answer {
            StoreAnswer::Object(stored) => self.take(stored),
            StoreAnswer::Absent => {
                self.version = None;
                self.state = State::Idle;
                self.backoff_ms = RETRY_MIN_MS;
            }
            _ => self.wait(now, true),
        }
    }

    fn write_answered(&mut self, now: Now, answer: &StoreAnswer) {
        match answer {
            StoreAnswer::Object(stored) => self.take(stored),
            // The write may stand, or another writer's does: only a read can tell.
            StoreAnswer::Unknown | StoreAnswer::Conflict | StoreAnswer::Taken => {
                self.wait_for(now, 0, true);
            }
            _ => self.wait(now, false),
        }
    }

    fn take(&mut self, stored: &Stored) {
        // A corrupt object must not be overwritten: its version is not taken, so that no update can succeed.
        let Ok(content) = serde_json::from_slice::<ChunkResults>(&stored.value) else {
            self.state = State::Waiting { at_ms: u64::MAX, reread: true };
            return;
        };
        self.version = Some(stored.version);
        self.standing = content.results;
        self.pending.retain(|index, _| !self.standing.contains_key(index));
        self.state = State::Idle;
        self.backoff_ms = RETRY_MIN_MS;
    }

    fn wait(&mut self, now: Now, reread: bool) {
        self.wait_for(now, self.backoff_ms, reread);
        self.backoff_ms = (self.backoff_ms * 2).min(RETRY_MAX_MS);
    }

    fn wait_for(&mut self, now: Now, wait_ms: u64, reread: bool) {
        self.state = State::Waiting { at_ms: now.mono_ms + wait_ms, reread };
    }
}
