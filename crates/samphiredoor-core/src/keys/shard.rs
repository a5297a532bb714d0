//! One shard: the keys that one object holds, and the one store call in flight for it.
//!
//! All changes that come while a call is in flight go together into the next write. A write is conditional on the
//! version that was read, so whatever another door wrote in between is never overwritten: the shard is read again and
//! each change decided anew.

use std::{collections::BTreeMap, sync::Arc};

use samphiredoor_schema::objects::{KeyRecord, KeyShard, KeyState};

use super::{
    arrival::{KeyId, KeyedRequest},
    change::{Change, Intent, Outcome, conclude, landed, reconcile, refuse, reused, taken_back},
    context::{Context, Effect},
    record::{self, KeptAnswer, Stamp, Standing, is_expired, is_orphaned},
};
use crate::{
    Name,
    store::{Kind, Labels, ObjectKey, StoreAnswer, StoreOp, Stored, Value, Version},
    time::Now,
    verdict::Refusal,
};

/// Bytes from which a shard takes no new intents. The rest, up to the store's megabyte, is room for the outcomes of
/// those that stand.
const FULL_BYTES: usize = 700_000;
const RETRY_MS: u64 = 500;
const STORE_RETRY_AFTER_MS: u64 = 1_000;
const FULL_RETRY_AFTER_MS: u64 = 60_000;

#[derive(Debug)]
struct Content {
    version: Option<Version>,
    keys: BTreeMap<String, KeyRecord>,
    bytes: usize,
}

#[derive(Debug)]
enum InFlight {
    Read { waiting: Vec<KeyedRequest> },
    Write { changes: BTreeMap<KeyId, Change>, after: Content, dropped: Vec<Name> },
}

/// One shard as this process knows it.
#[derive(Debug)]
pub(super) struct Shard {
    object: ObjectKey,
    content: Option<Content>,
    pending: BTreeMap<KeyId, Change>,
    held: Vec<KeyedRequest>,
    in_flight: Option<InFlight>,
    not_before_ms: u64,
    /// Monotonic time of the last use.
    pub(super) last_used_ms: u64,
}

impl Shard {
    /// Shard that was never read.
    pub(super) fn new(number: u32) -> Shard {
        Shard {
            object: ObjectKey::new(Kind::Keys, format!("shard-{number:05}")),
            content: None,
            pending: BTreeMap::new(),
            held: Vec::new(),
            in_flight: None,
            not_before_ms: 0,
            last_used_ms: 0,
        }
    }

    /// Bytes of the content that is kept in memory.
    pub(super) fn bytes(&self) -> usize {
        self.content.as_ref().map_or(0, |it| it.bytes)
    }

    /// Whether nothing is under way, so that the shard can be forgotten.
    pub(super) fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.held.is_empty() && self.in_flight.is_none()
    }

    /// When the shard wants to be stepped again, if it waits for time to pass.
    pub(super) fn due_ms(&self, now: Now) -> Option<u64> {
        let waits = self.in_flight.is_none() && !self.pending.is_empty();
        waits.then_some(self.not_before_ms.max(now.mono_ms + 1))
    }

    /// Outcome that waits for the store, if the key has one.
    pub(super) fn outcome(&self, key: &str) -> Option<&Outcome> {
        match self.pending.get(key) {
            Some(Change::Outcome(outcome)) => Some(outcome),
            _ => None,
        }
    }

    /// Keys whose outcomes wait for the write of their bodies.
    pub(super) fn uploads(&self) -> Vec<KeyId> {
        let waits = |it: &Change| matches!(it, Change::Outcome(outcome) if outcome.upload);
        let waiting = self.pending.iter().filter(|(_, change)| waits(change));
        waiting.map(|(key, _)| Arc::clone(key)).collect()
    }

    /// Takes the place of an outcome's body once it is written.
    pub(super) fn uploaded(&mut self, key: &str, object: &str) {
        if let Some(Change::Outcome(outcome)) = self.pending.get_mut(key) {
            outcome.record.body_object = Some(object.to_owned());
            outcome.upload = false;
        }
    }

    /// Pauses after the store was of no help.
    pub(super) fn pause(&mut self, now: Now) {
        self.not_before_ms = now.mono_ms + RETRY_MS;
    }

    /// Requests that are held and can be offered again: no call is in flight.
    pub(super) fn take_held(&mut self) -> Vec<KeyedRequest> {
        match self.in_flight {
            None => std::mem::take(&mut self.held),
            Some(_) => Vec::new(),
        }
    }

    /// Decides a request that no run of this process answers. `fresh` says that the content was read after it came.
    pub(super) fn offer(
        &mut self,
        arrival: KeyedRequest,
        fresh: bool,
        cx: &Context<'_>,
        effects: &mut Vec<Effect>,
    ) {
        self.last_used_ms = cx.now.mono_ms;
        if let Some(change) = self.pending.get(&arrival.key) {
            return match change {
                Change::Outcome(outcome) => {
                    let record = outcome.record.clone();
                    let answer = outcome.answer.clone();
                    self.offer_to_outcome(arrival, &record, answer, cx, effects);
                }
                Change::Intent(intent) if intent.arrival.digest != arrival.digest => {
                    effects.push(reused(arrival));
                }
                Change::Intent(intent) if !intent.wanted => self.want(arrival, cx, effects),
                Change::Intent(_) => self.held.push(arrival),
            };
        }
        // An outcome on its way to the store is known here, whatever becomes of the write.
        if let Some((record, answer)) = self.outcome_in_flight(&arrival.key)
            && !matches!(record.state, KeyState::NotRun)
        {
            return self.offer_to_outcome(arrival, &record, answer, cx, effects);
        }
        if self.in_flight.is_some() {
            self.held.push(arrival);
            return;
        }
        let Some(content) = &self.content else {
            self.held.push(arrival);
            return;
        };
        let record = content.keys.get(&*arrival.key);
        let standing = Standing::of(record, &arrival.digest, cx.config, cx.now);
        if matches!(standing, Standing::Intended(_)) && !fresh {
            // The outcome may have been written since.
            self.content = None;
            self.held.push(arrival);
            return;
        }
        let orphaned = record.is_some_and(|it| is_orphaned(it, cx.now));
        match standing {
            // An own intent without a run in hand never led to a dispatch: every run ends with an outcome first.
            Standing::Free | Standing::Own => self.want(arrival, cx, effects),
            other => effects.push(conclude(arrival, other, orphaned, cx)),
        }
    }

    fn outcome_in_flight(&self, key: &str) -> Option<(KeyRecord, Option<KeptAnswer>)> {
        let Some(InFlight::Write { changes, .. }) = &self.in_flight else { return None };
        match changes.get(key) {
            Some(Change::Outcome(outcome)) => {
                Some((outcome.record.clone(), outcome.answer.clone()))
            }
            _ => None,
        }
    }

    fn offer_to_outcome(
        &mut self,
        arrival: KeyedRequest,
        record: &KeyRecord,
        answer: Option<KeptAnswer>,
        cx: &Context<'_>,
        effects: &mut Vec<Effect>,
    ) {
        match (Standing::of(Some(record), &arrival.digest, cx.config, cx.now), answer) {
            (Standing::Free | Standing::Own, _) => self.want(arrival, cx, effects),
            (Standing::OtherRequest, _) => effects.push(reused(arrival)),
            (_, Some(answer)) => effects.push(Effect::Replay { arrival, answer }),
            (other, None) => effects.push(conclude(arrival, other, false, cx)),
        }
    }

    fn want(&mut self, arrival: KeyedRequest, cx: &Context<'_>, effects: &mut Vec<Effect>) {
        let doubtful = self.pending.contains_key(&arrival.key);
        if doubtful {
            // A former sending that did not run; this intent takes the place of its outcome.
            effects.push(Effect::Saved(Arc::clone(&arrival.key)));
        }
        let key = Arc::clone(&arrival.key);
        let stamp = Stamp { since_unix_ms: cx.now.unix_ms, number: cx.next_number() };
        let intent = Intent { arrival, stamp, wanted: true, doubtful };
        self.pending.insert(key, Change::Intent(intent));
    }

    /// Nobody waits for a request that was not told to run.
    pub(super) fn gone(&mut self, arrival: &KeyedRequest) {
        self.held.retain(|it| it.request != arrival.request);
        let in_flight = match &mut self.in_flight {
            Some(InFlight::Write { changes, .. }) => changes.get_mut(&arrival.key),
            Some(InFlight::Read { waiting }) => {
                waiting.retain(|it| it.request != arrival.request);
                None
            }
            None => None,
        };
        for change in in_flight.into_iter().chain(self.pending.get_mut(&arrival.key)) {
            if let Change::Intent(intent) = change
                && intent.arrival.request == arrival.request
            {
                intent.wanted = false;
            }
        }
    }

    /// Takes the outcome of a run.
    pub(super) fn ended(&mut self, key: KeyId, outcome: Outcome) {
        self.pending.insert(key, Change::Outcome(outcome));
    }

    /// Starts the next store call, if one is wanted and none is in flight.
    pub(super) fn advance(&mut self, cx: &mut Context<'_>, effects: &mut Vec<Effect>) {
        self.forget_unwanted();
        if self.in_flight.is_some() || !self.has_work(cx.now) {
            return;
        }
        match self.content.take() {
            None => {
                let waiting = std::mem::take(&mut self.held);
                self.in_flight = Some(InFlight::Read { waiting });
                effects.push(Effect::Call(StoreOp::Get { key: self.object.clone() }));
            }
            Some(content) => self.write(content, cx, effects),
        }
    }

    fn forget_unwanted(&mut self) {
        self.pending.retain(|_, change| match change {
            Change::Intent(intent) => intent.wanted || intent.doubtful,
            Change::Outcome(_) => true,
        });
    }

    fn has_work(&self, now: Now) -> bool {
        let caller_waits = |it: &Change| matches!(it, Change::Intent(intent) if intent.wanted);
        if !self.held.is_empty() || self.pending.values().any(caller_waits) {
            return true;
        }
        let writable = |it: &Change| !matches!(it, Change::Outcome(outcome) if outcome.upload);
        now.mono_ms >= self.not_before_ms && self.pending.values().any(writable)
    }

    fn write(&mut self, mut after: Content, cx: &mut Context<'_>, effects: &mut Vec<Effect>) {
        let mut changes = BTreeMap::new();
        let dropped = drop_expired(&mut after, cx);
        for (key, change) in std::mem::take(&mut self.pending) {
            if let Some(change) = self.prepare(&key, change, &mut after, cx, effects) {
                changes.insert(key, change);
            }
        }
        if changes.is_empty() {
            self.content = Some(after);
            return;
        }
        let shard = KeyShard { writer: cx.writer_token(), keys: after.keys };
        let value: Value = serde_json::to_vec(&shard).unwrap_or_default().into();
        after.keys = shard.keys;
        after.bytes = value.len();
        let (key, labels) = (self.object.clone(), Labels::new());
        let op = match after.version {
            Some(version) => StoreOp::Update { key, version, labels, value },
            None => StoreOp::Create { key, labels, value },
        };
        self.in_flight = Some(InFlight::Write { changes, after, dropped });
        effects.push(Effect::Call(op));
    }

    /// Puts one change into the content; `None` if it does not go into this write.
    fn prepare(
        &mut self,
        key: &KeyId,
        change: Change,
        after: &mut Content,
        cx: &Context<'_>,
        effects: &mut Vec<Effect>,
    ) -> Option<Change> {
        let (change, record) = match change {
            Change::Intent(intent) if !intent.wanted => {
                let outcome = taken_back(&intent, cx.config);
                let record = outcome.record.clone();
                (Change::Outcome(outcome), record)
            }
            Change::Intent(intent) if after.bytes > FULL_BYTES => {
                effects.push(refuse(&intent.arrival, Refusal::KeysFull, FULL_RETRY_AFTER_MS));
                if intent.doubtful {
                    self.pending
                        .insert(Arc::clone(key), Change::Outcome(taken_back(&intent, cx.config)));
                }
                return None;
            }
            Change::Intent(intent) => {
                let record = record::intent(&intent.arrival, cx.config, intent.stamp);
                (Change::Intent(intent), record)
            }
            Change::Outcome(outcome) if outcome.upload => {
                self.pending.insert(Arc::clone(key), Change::Outcome(outcome));
                return None;
            }
            Change::Outcome(mut outcome) => {
                let body = outcome.record.body.as_ref().map_or(0, |it| it.content.len());
                if body > 0 && after.bytes + body > FULL_BYTES {
                    outcome.record.body = None;
                    outcome.upload = true;
                    self.pending.insert(Arc::clone(key), Change::Outcome(outcome));
                    effects.push(Effect::Upload(Arc::clone(key)));
                    return None;
                }
                let record = outcome.record.clone();
                (Change::Outcome(outcome), record)
            }
        };
        after.bytes += record_bytes(&record);
        after.keys.insert(key.to_string(), record);
        Some(change)
    }

    /// Takes the answer to the call in flight; the held requests are to be offered again. Returns those whose content
    /// was read after they came.
    pub(super) fn answered(
        &mut self,
        answer: StoreAnswer,
        cx: &Context<'_>,
        effects: &mut Vec<Effect>,
    ) -> Vec<KeyedRequest> {
        match self.in_flight.take() {
            Some(InFlight::Read { waiting }) => self.read_answered(waiting, answer, cx, effects),
            Some(InFlight::Write { changes, after, dropped }) => {
                self.write_answered(changes, after, dropped, answer, cx, effects);
                Vec::new()
            }
            None => Vec::new(),
        }
    }

    fn read_answered(
        &mut self,
        waiting: Vec<KeyedRequest>,
        answer: StoreAnswer,
        cx: &Context<'_>,
        effects: &mut Vec<Effect>,
    ) -> Vec<KeyedRequest> {
        let content = match answer {
            StoreAnswer::Absent => Some(Content { version: None, keys: BTreeMap::new(), bytes: 0 }),
            StoreAnswer::Object(stored) => content_of(&stored, effects),
            _ => None,
        };
        let Some(content) = content else {
            self.give_up(waiting, cx, effects);
            return Vec::new();
        };
        for (key, change) in std::mem::take(&mut self.pending) {
            if let Some(change) = reconcile(content.keys.get(&*key), &key, change, cx, effects) {
                self.pending.insert(key, change);
            }
        }
        self.content = Some(content);
        waiting
    }

    fn write_answered(
        &mut self,
        changes: BTreeMap<KeyId, Change>,
        after: Content,
        dropped: Vec<Name>,
        answer: StoreAnswer,
        cx: &Context<'_>,
        effects: &mut Vec<Effect>,
    ) {
        let mark_doubtful = match answer {
            StoreAnswer::Object(stored) => {
                for (key, change) in changes {
                    if let Some(change) = landed(key.clone(), change, cx, effects) {
                        self.pending.entry(key).or_insert(change);
                    }
                }
                effects.extend(dropped.into_iter().map(Effect::DropBody));
                self.content = Some(Content { version: Some(stored.version), ..after });
                return;
            }
            // The write may have taken effect, or may yet: only a read tells, and a later write at the same version
            // shuts out the late one.
            StoreAnswer::Unknown => true,
            _ => false,
        };
        let retry = matches!(
            answer,
            StoreAnswer::Unknown | StoreAnswer::Conflict | StoreAnswer::Taken | StoreAnswer::Absent
        );
        for (key, mut change) in changes {
            if let Change::Intent(intent) = &mut change {
                intent.doubtful |= mark_doubtful;
            }
            self.pending.entry(key).or_insert(change);
        }
        if !retry {
            let held = std::mem::take(&mut self.held);
            self.give_up(held, cx, effects);
        }
    }

    /// The store is of no help: everyone who waits is refused at once, truly not run.
    fn give_up(&mut self, waiting: Vec<KeyedRequest>, cx: &Context<'_>, effects: &mut Vec<Effect>) {
        self.pause(cx.now);
        let refused =
            |it: &KeyedRequest| refuse(it, Refusal::StoreUnavailable, STORE_RETRY_AFTER_MS);
        effects.extend(waiting.iter().chain(&self.held).map(refused));
        self.held.clear();
        for change in self.pending.values_mut() {
            let Change::Intent(intent) = change else { continue };
            if intent.wanted {
                effects.push(refused(&intent.arrival));
            }
            // Without doubt there is nothing to take back, and the change is forgotten at the next step.
            intent.wanted = false;
        }
        self.forget_unwanted();
    }
}

fn content_of(stored: &Stored, effects: &mut Vec<Effect>) -> Option<Content> {
    match serde_json::from_slice::<KeyShard>(&stored.value) {
        Ok(shard) => {
            let bytes = stored.value.len();
            Some(Content { version: Some(stored.version), keys: shard.keys, bytes })
        }
        Err(_) => {
            effects.push(Effect::Unreadable);
            None
        }
    }
}

fn drop_expired(content: &mut Content, cx: &Context<'_>) -> Vec<Name> {
    let mut dropped = Vec::new();
    content.keys.retain(|_, record| {
        let expired = is_expired(record, cx.config, cx.now);
        if expired {
            dropped.extend(record.body_object.as_deref().map(Name::from));
        }
        !expired
    });
    dropped
}

fn record_bytes(record: &KeyRecord) -> usize {
    const FIELDS_BYTES: usize = 300;
    FIELDS_BYTES + record.body.as_ref().map_or(0, |it| it.content.len())
}
