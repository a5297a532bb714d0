//! One shard: the keys that are stored in one object, and the one store call in flight for it.
//!
//! All changes that arrive while a call is in flight are combined into the next write. A write is conditional on the
//! version that was read, so it never overwrites what another gateway wrote in between: the shard is read again, and
//! each change is compared with the new records.

use std::{collections::BTreeMap, sync::Arc};

use samphiredoor_schema::objects::{KeyRecord, KeyShard, KeyState};

use super::{
    change::{
        Change, Intent, Outcome, committed, key_reused, reconcile, refuse, respond, withdrawn,
    },
    context::{Context, Effect},
    keyed_request::{KeyId, KeyedRequest},
    record::{self, IntentId, KeyStatus, SavedAnswer, is_expired, is_orphaned},
};
use crate::{
    Name,
    store::{Kind, Labels, ObjectKey, StoreAnswer, StoreOp, Stored, Value, Version},
    time::Now,
    verdict::Refusal,
};

/// Size of a shard above which new intents are refused. The rest, up to the store's limit of one megabyte, is reserved
/// for the outcomes of existing intents.
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
    Write { changes: BTreeMap<KeyId, Change>, new_content: Content, obsolete_bodies: Vec<Name> },
}

/// One shard with its cached content, unwritten changes and waiting requests.
#[derive(Debug)]
pub(super) struct Shard {
    object: ObjectKey,
    content: Option<Content>,
    pending: BTreeMap<KeyId, Change>,
    deferred: Vec<KeyedRequest>,
    in_flight: Option<InFlight>,
    not_before_ms: u64,
    /// Monotonic time of the last request for a key of the shard.
    pub(super) last_used_ms: u64,
}

impl Shard {
    /// Shard that has not been read yet.
    pub(super) fn new(number: u32) -> Shard {
        Shard {
            object: ObjectKey::new(Kind::Keys, format!("shard-{number:05}")),
            content: None,
            pending: BTreeMap::new(),
            deferred: Vec::new(),
            in_flight: None,
            not_before_ms: 0,
            last_used_ms: 0,
        }
    }

    /// Size of the cached content; 0 if there is none.
    pub(super) fn bytes(&self) -> usize {
        self.content.as_ref().map_or(0, |it| it.bytes)
    }

    /// Whether nothing is in progress, so that the shard can be evicted from the cache.
    pub(super) fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.deferred.is_empty() && self.in_flight.is_none()
    }

    /// Monotonic time of the next [`Shard::advance`], if changes wait for a retry.
    pub(super) fn due_ms(&self, now: Now) -> Option<u64> {
        let waits = self.in_flight.is_none() && !self.pending.is_empty();
        waits.then_some(self.not_before_ms.max(now.mono_ms + 1))
    }

    /// Unwritten outcome of a key, unless it is part of the write in flight.
    pub(super) fn pending_outcome(&self, key: &str) -> Option<&Outcome> {
        match self.pending.get(key) {
            Some(Change::Outcome(outcome)) => Some(outcome),
            _ => None,
        }
    }

    /// Keys whose outcomes wait until their bodies are uploaded.
    pub(super) fn pending_uploads(&self) -> Vec<KeyId> {
        let waits = |it: &Change| matches!(it, Change::Outcome(outcome) if outcome.needs_upload);
        let waiting = self.pending.iter().filter(|(_, change)| waits(change));
        waiting.map(|(key, _)| Arc::clone(key)).collect()
    }

    /// Records the object to which an outcome's body was uploaded, so that the outcome itself can be written.
    pub(super) fn body_uploaded(&mut self, key: &str, object: &str) {
        if let Some(Change::Outcome(outcome)) = self.pending.get_mut(key) {
            outcome.record.body_object = Some(object.to_owned());
            outcome.needs_upload = false;
        }
    }

    /// Delays retries after a failed store call.
    pub(super) fn back_off(&mut self, now: Now) {
        self.not_before_ms = now.mono_ms + RETRY_MS;
    }

    /// Takes the deferred requests, to be decided again, unless a call is in flight.
    pub(super) fn take_deferred(&mut self) -> Vec<KeyedRequest> {
        match self.in_flight {
            None => std::mem::take(&mut self.deferred),
            Some(_) => Vec::new(),
        }
    }

    /// Decides a request whose key has no run in this process. `read_since` is whether the content was read after the
    /// request arrived.
    pub(super) fn decide(
        &mut self,
        arrival: KeyedRequest,
        read_since: bool,
        ctx: &Context<'_>,
        effects: &mut Vec<Effect>,
    ) {
        self.last_used_ms = ctx.now.mono_ms;
        if let Some(change) = self.pending.get(&arrival.key) {
            return match change {
                Change::Outcome(outcome) => {
                    let record = outcome.record.clone();
                    let answer = outcome.answer.clone();
                    self.decide_from_outcome(arrival, &record, answer, ctx, effects);
                }
                Change::Intent(intent) if intent.arrival.digest != arrival.digest => {
                    effects.push(key_reused(arrival));
                }
                Change::Intent(intent) if !intent.caller_waits => {
                    self.add_intent(arrival, ctx, effects)
                }
                Change::Intent(_) => self.deferred.push(arrival),
            };
        }
        // The outcome that is being written is final, whether the write succeeds or not.
        if let Some((record, answer)) = self.outcome_in_flight(&arrival.key)
            && !matches!(record.state, KeyState::NotRun)
        {
            return self.decide_from_outcome(arrival, &record, answer, ctx, effects);
        }
        if self.in_flight.is_some() {
            self.deferred.push(arrival);
            return;
        }
        let Some(content) = &self.content else {
            self.deferred.push(arrival);
            return;
        };
        let record = content.keys.get(&*arrival.key);
        let status = KeyStatus::of(record, &arrival.digest, ctx.config, ctx.now);
        if matches!(status, KeyStatus::OtherIntent(_)) && !read_since {
            // The outcome may have been written since the content was read.
            self.content = None;
            self.deferred.push(arrival);
            return;
        }
        let orphaned = record.is_some_and(|it| is_orphaned(it, ctx.now));
        match status {
            // An intent of this process without a run was never dispatched: the end of a run always leaves an outcome.
            KeyStatus::Free | KeyStatus::OwnIntent => self.add_intent(arrival, ctx, effects),
            other => effects.push(respond(arrival, other, orphaned, ctx)),
        }
    }

    fn outcome_in_flight(&self, key: &str) -> Option<(KeyRecord, Option<SavedAnswer>)> {
        let Some(InFlight::Write { changes, .. }) = &self.in_flight else { return None };
        match changes.get(key) {
            Some(Change::Outcome(outcome)) => {
                Some((outcome.record.clone(), outcome.answer.clone()))
            }
            _ => None,
        }
    }

    fn decide_from_outcome(
        &mut self,
        arrival: KeyedRequest,
        record: &KeyRecord,
        answer: Option<SavedAnswer>,
        ctx: &Context<'_>,
        effects: &mut Vec<Effect>,
    ) {
        match (KeyStatus::of(Some(record), &arrival.digest, ctx.config, ctx.now), answer) {
            (KeyStatus::Free | KeyStatus::OwnIntent, _) => self.add_intent(arrival, ctx, effects),
            (KeyStatus::OtherRequest, _) => effects.push(key_reused(arrival)),
            (_, Some(answer)) => effects.push(Effect::Replay { arrival, answer }),
            (other, None) => effects.push(respond(arrival, other, false, ctx)),
        }
    }

    fn add_intent(&mut self, arrival: KeyedRequest, ctx: &Context<'_>, effects: &mut Vec<Effect>) {
        let may_be_stored = self.pending.contains_key(&arrival.key);
        if may_be_stored {
            // An earlier request with this key did not run; this intent replaces its pending change.
            effects.push(Effect::OutcomeSaved(Arc::clone(&arrival.key)));
        }
        let key = Arc::clone(&arrival.key);
        let intent_id = IntentId { since_unix_ms: ctx.now.unix_ms, number: ctx.next_number() };
        let intent = Intent { arrival, intent_id, caller_waits: true, may_be_stored };
        self.pending.insert(key, Change::Intent(intent));
    }

    /// Removes a request that does not run yet and for which no caller waits any more.
    pub(super) fn cancelled(&mut self, arrival: &KeyedRequest) {
        self.deferred.retain(|it| it.request != arrival.request);
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
                intent.caller_waits = false;
            }
        }
    }

    /// Adds the outcome of a run to the changes to be written.
    pub(super) fn run_ended(&mut self, key: KeyId, outcome: Outcome) {
        self.pending.insert(key, Change::Outcome(outcome));
    }

    /// Starts the next store call, if one is needed and none is in flight.
    pub(super) fn advance(&mut self, ctx: &mut Context<'_>, effects: &mut Vec<Effect>) {
        self.drop_cancelled_intents();
        if self.in_flight.is_some() || !self.has_work(ctx.now) {
            return;
        }
        match self.content.take() {
            None => {
                let waiting = std::mem::take(&mut self.deferred);
                self.in_flight = Some(InFlight::Read { waiting });
                effects.push(Effect::Call(StoreOp::Get { key: self.object.clone() }));
            }
            Some(content) => self.write(content, ctx, effects),
        }
    }

    fn drop_cancelled_intents(&mut self) {
        self.pending.retain(|_, change| match change {
            Change::Intent(intent) => intent.caller_waits || intent.may_be_stored,
            Change::Outcome(_) => true,
        });
    }

    fn has_work(&self, now: Now) -> bool {
        let caller_waits =
            |it: &Change| matches!(it, Change::Intent(intent) if intent.caller_waits);
        if !self.deferred.is_empty() || self.pending.values().any(caller_waits) {
            return true;
        }
        let writable =
            |it: &Change| !matches!(it, Change::Outcome(outcome) if outcome.needs_upload);
        now.mono_ms >= self.not_before_ms && self.pending.values().any(writable)
    }

    fn write(
        &mut self,
        mut new_content: Content,
        ctx: &mut Context<'_>,
        effects: &mut Vec<Effect>,
    ) {
        let mut changes = BTreeMap::new();
        let obsolete_bodies = remove_expired(&mut new_content, ctx);
        for (key, change) in std::mem::take(&mut self.pending) {
            if let Some(change) = self.apply_change(&key, change, &mut new_content, ctx, effects) {
                changes.insert(key, change);
            }
        }
        if changes.is_empty() {
            self.content = Some(new_content);
            return;
        }
        let shard = KeyShard { writer: ctx.writer_token(), keys: new_content.keys };
        let value: Value = serde_json::to_vec(&shard).unwrap_or_default().into();
        new_content.keys = shard.keys;
        new_content.bytes = value.len();
        let op = StoreOp::write(self.object.clone(), new_content.version, Labels::new(), value);
        self.in_flight = Some(InFlight::Write { changes, new_content, obsolete_bodies });
        effects.push(Effect::Call(op));
    }

    /// Applies one change to the content to be written; `None` if it is not part of this write.
    fn apply_change(
        &mut self,
        key: &KeyId,
        change: Change,
        new_content: &mut Content,
        ctx: &Context<'_>,
        effects: &mut Vec<Effect>,
    ) -> Option<Change> {
        let (change, record) = match change {
            Change::Intent(intent) if !intent.caller_waits => {
                let outcome = withdrawn(&intent, ctx.config);
                let record = outcome.record.clone();
                (Change::Outcome(outcome), record)
            }
            Change::Intent(intent) if new_content.bytes > FULL_BYTES => {
                effects.push(refuse(&intent.arrival, Refusal::KeysFull, FULL_RETRY_AFTER_MS));
                if intent.may_be_stored {
                    self.pending
                        .insert(Arc::clone(key), Change::Outcome(withdrawn(&intent, ctx.config)));
                }
                return None;
            }
            Change::Intent(intent) => {
                let record = record::intent_record(&intent.arrival, ctx.config, intent.intent_id);
                (Change::Intent(intent), record)
            }
            Change::Outcome(outcome) if outcome.needs_upload => {
                self.pending.insert(Arc::clone(key), Change::Outcome(outcome));
                return None;
            }
            Change::Outcome(mut outcome) => {
                let body = outcome.record.body.as_ref().map_or(0, |it| it.content.len());
                if body > 0 && new_content.bytes + body > FULL_BYTES {
                    outcome.record.body = None;
                    outcome.needs_upload = true;
                    self.pending.insert(Arc::clone(key), Change::Outcome(outcome));
                    effects.push(Effect::UploadBody(Arc::clone(key)));
                    return None;
                }
                let record = outcome.record.clone();
                (Change::Outcome(outcome), record)
            }
        };
        new_content.bytes += record_bytes(&record);
        new_content.keys.insert(key.to_string(), record);
        Some(change)
    }

    /// Handles the answer to the call in flight, after which the deferred requests must be decided again. Returns the
    /// requests that arrived before the content was read.
    pub(super) fn store_answered(
        &mut self,
        answer: StoreAnswer,
        ctx: &Context<'_>,
        effects: &mut Vec<Effect>,
    ) -> Vec<KeyedRequest> {
        match self.in_flight.take() {
            Some(InFlight::Read { waiting }) => self.read_answered(waiting, answer, ctx, effects),
            Some(InFlight::Write { changes, new_content, obsolete_bodies }) => {
                self.write_answered(changes, new_content, obsolete_bodies, answer, ctx, effects);
                Vec::new()
            }
            None => Vec::new(),
        }
    }

    fn read_answered(
        &mut self,
        waiting: Vec<KeyedRequest>,
        answer: StoreAnswer,
        ctx: &Context<'_>,
        effects: &mut Vec<Effect>,
    ) -> Vec<KeyedRequest> {
        let content = match answer {
            StoreAnswer::Absent => Some(Content { version: None, keys: BTreeMap::new(), bytes: 0 }),
            StoreAnswer::Object(stored) => parse_content(&stored, effects),
            _ => None,
        };
        let Some(content) = content else {
            self.refuse_waiting(waiting, ctx, effects);
            return Vec::new();
        };
        for (key, change) in std::mem::take(&mut self.pending) {
            if let Some(change) = reconcile(content.keys.get(&*key), &key, change, ctx, effects) {
                self.pending.insert(key, change);
            }
        }
        self.content = Some(content);
        waiting
    }

    fn write_answered(
        &mut self,
        changes: BTreeMap<KeyId, Change>,
        new_content: Content,
        obsolete_bodies: Vec<Name>,
        answer: StoreAnswer,
        ctx: &Context<'_>,
        effects: &mut Vec<Effect>,
    ) {
        let may_be_stored = match answer {
            StoreAnswer::Object(stored) => {
                for (key, change) in changes {
                    if let Some(change) = committed(key.clone(), change, ctx, effects) {
                        self.pending.entry(key).or_insert(change);
                    }
                }
                effects.extend(obsolete_bodies.into_iter().map(Effect::DeleteBody));
                self.content = Some(Content { version: Some(stored.version), ..new_content });
                return;
            }
            // The write may have taken effect, or may still do so. Only a read shows whether it has, and another write
            // at the same version makes a delayed one fail.
            StoreAnswer::Unknown => true,
            _ => false,
        };
        let retry = matches!(
            answer,
            StoreAnswer::Unknown | StoreAnswer::Conflict | StoreAnswer::Taken | StoreAnswer::Absent
        );
        for (key, mut change) in changes {
            if let Change::Intent(intent) = &mut change {
                intent.may_be_stored |= may_be_stored;
            }
            self.pending.entry(key).or_insert(change);
        }
        if !retry {
            let deferred = std::mem::take(&mut self.deferred);
            self.refuse_waiting(deferred, ctx, effects);
        }
    }

    /// Refuses all waiting requests at once as not run, because a store call failed or the shard is unreadable; other
    /// writes are retried later.
    fn refuse_waiting(
        &mut self,
        waiting: Vec<KeyedRequest>,
        ctx: &Context<'_>,
        effects: &mut Vec<Effect>,
    ) {
        self.back_off(ctx.now);
        let refused =
            |it: &KeyedRequest| refuse(it, Refusal::StoreUnavailable, STORE_RETRY_AFTER_MS);
        effects.extend(waiting.iter().chain(&self.deferred).map(refused));
        self.deferred.clear();
        for change in self.pending.values_mut() {
            let Change::Intent(intent) = change else { continue };
            if intent.caller_waits {
                effects.push(refused(&intent.arrival));
            }
            // Unless an earlier write may have stored it, there is nothing to withdraw and the intent is dropped below.
            intent.caller_waits = false;
        }
        self.drop_cancelled_intents();
    }
}

fn parse_content(stored: &Stored, effects: &mut Vec<Effect>) -> Option<Content> {
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

fn remove_expired(content: &mut Content, ctx: &Context<'_>) -> Vec<Name> {
    let mut obsolete_bodies = Vec::new();
    content.keys.retain(|_, record| {
        let expired = is_expired(record, ctx.config, ctx.now);
        if expired {
            obsolete_bodies.extend(record.body_object.as_deref().map(Name::from));
        }
        !expired
    });
    obsolete_bodies
}

fn record_bytes(record: &KeyRecord) -> usize {
    const FIELDS_BYTES: usize = 300;
    FIELDS_BYTES + record.body.as_ref().map_or(0, |it| it.content.len())
}
