//! Requests that run at most once: idempotency keys, their intents and their outcomes.
//!
//! Keys are hashed to shards, each shard is one object of the store. The intent of a request is written by conditional
//! update before the request is dispatched, its outcome after. Safety rests on that conditional update alone: an intent
//! is never taken over, whatever is believed of its holder. What makes it fast: all intents and outcomes of a shard
//! that wait while a write is in flight go into the next one, and a resend to the same process is answered from memory.
//!
//! One task owns [`Keys`]; each arriving request gets exactly one final action, and one that is told to run reports its
//! end with [`KeysInput::RunEnded`].

mod arrival;
mod change;
mod config;
mod context;
mod messages;
mod record;
mod shard;

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use samphiredoor_schema::objects::{KeptBody, KeyRecord, KeyState};

pub use arrival::{KeyId, KeyedRequest, key_id};
pub use config::{KeysConfig, SHARDS, holder_name};
pub use messages::{KeyOutcome, KeysAction, KeysInput};
pub use record::{CLOCK_MARGIN_MS, KeptAnswer};

use crate::{
    Name,
    dispatch::RequestId,
    ledger::CallId,
    store::{Kind, Labels, ObjectKey, StoreAnswer, StoreOp, Value},
    time::Now,
    verdict::{MayHaveRunReason, Refusal, Verdict},
};
use arrival::shard_of;
use change::Outcome;
use context::{Context, Effect};
use record::{Stamp, body_bytes, kept_body};
use shard::Shard;

/// Largest body that stands in the record itself.
pub const INLINE_BODY_BYTES: usize = 16 * 1024;
/// Largest body that is kept at all, in an object of its own.
pub const MAX_BODY_BYTES: usize = 400_000;
const MAX_OBJECT_BYTES: usize = 900_000;
const MAX_LAPSED: usize = 10_000;
const BUSY_RETRY_AFTER_MS: u64 = 1_000;

#[derive(Debug)]
struct Run {
    arrival: KeyedRequest,
    stamp: Stamp,
    joined: Vec<RequestId>,
}

/// What a store call is for.
#[derive(Debug)]
enum CallFor {
    Shard(u32),
    Upload { key: KeyId, object: Name },
    Fetch { arrival: KeyedRequest, answer: KeptAnswer },
    DropBody,
}

/// State of all keys in one process.
#[derive(Debug)]
pub struct Keys {
    config: KeysConfig,
    shards: BTreeMap<u32, Shard>,
    runs: BTreeMap<KeyId, Run>,
    /// Requests that still want a final action, and those that run.
    requests: BTreeMap<RequestId, KeyedRequest>,
    /// Bytes of the outcomes that wait for their write.
    unsaved: BTreeMap<KeyId, usize>,
    unsaved_bytes: usize,
    cached_bytes: usize,
    calls: BTreeMap<CallId, CallFor>,
    next_call: u64,
    lapsed: BTreeSet<Name>,
    due: BTreeSet<(u64, u32)>,
    numbers: Cell<u64>,
}

impl Keys {
    /// Machine that knows no key.
    pub fn new(config: KeysConfig) -> Keys {
        Keys {
            config,
            shards: BTreeMap::new(),
            runs: BTreeMap::new(),
            requests: BTreeMap::new(),
            unsaved: BTreeMap::new(),
            unsaved_bytes: 0,
            cached_bytes: 0,
            calls: BTreeMap::new(),
            next_call: 0,
            lapsed: BTreeSet::new(),
            due: BTreeSet::new(),
            numbers: Cell::new(0),
        }
    }

    /// Outcomes that wait for their write.
    pub fn unsaved_len(&self) -> usize {
        self.unsaved.len()
    }

    /// Requests that run, and outcomes that wait for their write.
    pub fn open_len(&self) -> usize {
        self.runs.len() + self.unsaved.len()
    }

    /// Takes one event; appends what to do to `out`.
    pub fn handle(&mut self, now: Now, input: KeysInput, out: &mut Vec<KeysAction>) {
        match input {
            KeysInput::Arrived(arrival) => self.arrived(now, arrival, out),
            KeysInput::RunEnded { request, outcome } => self.ended(now, request, outcome, out),
            KeysInput::Cancelled { request } => self.gone(now, request, out),
            KeysInput::Stored { call, answer } => self.stored(now, call, answer, out),
            KeysInput::LeaseExpired { holder } => self.lapse(holder),
            KeysInput::Tick => self.tick(now, out),
        }
    }

    fn lapse(&mut self, holder: Name) {
        if holder != self.config.holder {
            self.lapsed.insert(holder);
        }
        if self.lapsed.len() > MAX_LAPSED {
            self.lapsed.pop_first();
        }
    }

    fn arrived(&mut self, now: Now, arrival: KeyedRequest, out: &mut Vec<KeysAction>) {
        let request = arrival.request;
        // Outcomes are never dropped while the store is down; new keys are refused instead.
        let open = self.open_len();
        let full =
            open >= self.config.max_open || self.unsaved_bytes >= self.config.max_unsaved_bytes;
        if full && !self.runs.contains_key(&arrival.key) && !self.unsaved.contains_key(&arrival.key)
        {
            let reason = Refusal::Overloaded;
            let verdict = Verdict::NotRun { retry_after_ms: BUSY_RETRY_AFTER_MS, reason };
            out.push(KeysAction::Refuse { request, verdict });
            return;
        }
        self.requests.insert(request, arrival.clone());
        let number = shard_of(&arrival.key, self.config.shards);
        self.offer(now, number, arrival, false, out);
        self.advance(now, number, out);
    }

    fn offer(
        &mut self,
        now: Now,
        number: u32,
        arrival: KeyedRequest,
        fresh: bool,
        out: &mut Vec<KeysAction>,
    ) {
        if let Some(run) = self.runs.get_mut(&arrival.key) {
            let request = arrival.request;
            if run.arrival.digest == arrival.digest {
                run.joined.push(request);
                out.push(KeysAction::Joined { request });
            } else {
                let reason = Refusal::KeyReused;
                self.finish(request, Verdict::NotRun { retry_after_ms: 0, reason }, out);
            }
            return;
        }
        let mut effects = Vec::new();
        self.with_shard(now, number, |shard, cx| shard.offer(arrival, fresh, cx, &mut effects));
        self.apply(number, effects, out);
    }

    fn ended(
        &mut self,
        now: Now,
        request: RequestId,
        outcome: KeyOutcome,
        out: &mut Vec<KeysAction>,
    ) {
        let Some(arrival) = self.requests.remove(&request) else { return };
        let leads = self.runs.get(&arrival.key).is_some_and(|it| it.arrival.request == request);
        let Some(run) = self.runs.remove(&arrival.key).filter(|_| leads) else { return };
        for joined in &run.joined {
            self.tell_joined(*joined, &outcome, out);
        }
        let number = shard_of(&arrival.key, self.config.shards);
        let saved = self.outcome_of(&run, outcome);
        let bytes = saved.answer.as_ref().and_then(|it| it.body.as_ref()).map_or(0, |it| it.len());
        self.unsaved_bytes += bytes;
        self.unsaved.insert(Arc::clone(&arrival.key), bytes);
        let upload = saved.upload;
        let key = Arc::clone(&arrival.key);
        self.with_shard(now, number, |shard, _| shard.ended(Arc::clone(&key), saved));
        if upload {
            self.upload(number, key, out);
        }
        self.advance(now, number, out);
    }

    fn tell_joined(&mut self, request: RequestId, outcome: &KeyOutcome, out: &mut Vec<KeysAction>) {
        match outcome {
            KeyOutcome::Answered(answer) => {
                self.replay(request, answer.clone(), out);
            }
            KeyOutcome::NotRun { retry_after_ms, reason } => {
                let (retry_after_ms, reason) = (*retry_after_ms, *reason);
                self.finish(request, Verdict::NotRun { retry_after_ms, reason }, out);
            }
            KeyOutcome::MayHaveRun(reason) => {
                self.finish(request, Verdict::MayHaveRun { reason: *reason }, out);
            }
        }
    }

    fn outcome_of(&self, run: &Run, outcome: KeyOutcome) -> Outcome {
        let mut record = record::intent(&run.arrival, &self.config, run.stamp);
        let mut upload = false;
        let answer = match outcome {
            KeyOutcome::NotRun { .. } => {
                record.state = KeyState::NotRun;
                None
            }
            KeyOutcome::MayHaveRun(doubt) => {
                record.state = KeyState::MayHaveRun;
                record.doubt = doubt.label().to_owned();
                None
            }
            KeyOutcome::Answered(answer) => {
                upload = keep_answer(&mut record, &answer);
                Some(answer)
            }
        };
        Outcome { record, answer, upload }
    }

    fn gone(&mut self, now: Now, request: RequestId, out: &mut Vec<KeysAction>) {
        let Some(arrival) = self.requests.get(&request).cloned() else { return };
        let number = shard_of(&arrival.key, self.config.shards);
        match self.runs.get_mut(&arrival.key) {
            Some(run) if run.arrival.request == request => {
                let outcome = KeyOutcome::MayHaveRun(MayHaveRunReason::ConnectionLost);
                return self.ended(now, request, outcome, out);
            }
            Some(run) => run.joined.retain(|it| *it != request),
            None => self.with_shard(now, number, |shard, _| shard.gone(&arrival)),
        }
        self.requests.remove(&request);
        self.advance(now, number, out);
    }

    fn stored(&mut self, now: Now, call: CallId, answer: StoreAnswer, out: &mut Vec<KeysAction>) {
        match self.calls.remove(&call) {
            Some(CallFor::Shard(number)) => self.shard_answered(now, number, answer, out),
            Some(CallFor::Upload { key, object }) => {
                self.upload_answered(now, key, &object, answer, out);
            }
            Some(CallFor::Fetch { arrival, answer: kept }) => {
                self.fetch_answered(arrival, kept, answer, out);
            }
            Some(CallFor::DropBody) | None => {}
        }
    }

    fn shard_answered(
        &mut self,
        now: Now,
        number: u32,
        answer: StoreAnswer,
        out: &mut Vec<KeysAction>,
    ) {
        let mut effects = Vec::new();
        let read =
            self.with_shard(now, number, |shard, cx| shard.answered(answer, cx, &mut effects));
        self.apply(number, effects, out);
        for arrival in read {
            self.offer(now, number, arrival, true, out);
        }
        for arrival in self.with_shard(now, number, |shard, _| shard.take_held()) {
            self.offer(now, number, arrival, false, out);
        }
        self.advance(now, number, out);
    }

    fn advance(&mut self, now: Now, number: u32, out: &mut Vec<KeysAction>) {
        let mut effects = Vec::new();
        self.with_shard(now, number, |shard, cx| shard.advance(cx, &mut effects));
        self.apply(number, effects, out);
        let Some(shard) = self.shards.get(&number) else { return };
        if let Some(due_ms) = shard.due_ms(now) {
            self.due.insert((due_ms, number));
        }
        if self.cached_bytes > self.config.cache_bytes {
            self.forget_idle_shards();
        }
    }

    fn apply(&mut self, number: u32, effects: Vec<Effect>, out: &mut Vec<KeysAction>) {
        for effect in effects {
            match effect {
                Effect::Call(op) => self.call(CallFor::Shard(number), op, out),
                Effect::Run { arrival, stamp } => {
                    let request = arrival.request;
                    let key = Arc::clone(&arrival.key);
                    self.runs.insert(key, Run { arrival, stamp, joined: Vec::new() });
                    out.push(KeysAction::Run { request });
                }
                Effect::Replay { arrival, answer } => self.replay(arrival.request, answer, out),
                Effect::Fetch { arrival, answer, object } => {
                    let op = StoreOp::Get { key: ObjectKey::new(Kind::Keys, object) };
                    self.call(CallFor::Fetch { arrival, answer }, op, out);
                }
                Effect::Refuse { arrival, verdict } => self.finish(arrival.request, verdict, out),
                Effect::Saved(key) => self.saved(&key),
                Effect::Upload(key) => self.upload(number, key, out),
                Effect::DropBody(object) => {
                    let key = ObjectKey::new(Kind::Keys, object);
                    self.call(CallFor::DropBody, StoreOp::Delete { key, version: None }, out);
                }
                Effect::Unreadable => {
                    let object = format!("shard-{number:05}").into();
                    out.push(KeysAction::Unreadable { object });
                }
            }
        }
    }

    fn finish(&mut self, request: RequestId, verdict: Verdict, out: &mut Vec<KeysAction>) {
        // A request whose caller went away in the meantime is told nothing.
        if self.requests.remove(&request).is_some() {
            out.push(KeysAction::Refuse { request, verdict });
        }
    }

    fn replay(&mut self, request: RequestId, answer: KeptAnswer, out: &mut Vec<KeysAction>) {
        if self.requests.remove(&request).is_some() {
            out.push(KeysAction::Replay { request, answer });
        }
    }

    fn saved(&mut self, key: &str) {
        let bytes = self.unsaved.remove(key).unwrap_or_default();
        self.unsaved_bytes -= bytes;
    }

    fn upload(&mut self, number: u32, key: KeyId, out: &mut Vec<KeysAction>) {
        let outcome = self.shards.get(&number).and_then(|it| it.outcome(&key));
        let Some(outcome) = outcome.filter(|it| it.upload) else { return };
        let body = outcome.answer.as_ref().and_then(|it| it.body.as_ref());
        let value: Value = match body.map(|it| serde_json::to_vec(&kept_body(it))) {
            Some(Ok(value)) => value.into(),
            _ => return,
        };
        // No two runs share the name: a key that was forgotten and used again must not find an old body.
        let object: Name = format!("body-{key}-{:x}", outcome.record.since_unix_ms).into();
        let stored_key = ObjectKey::new(Kind::Keys, Arc::clone(&object));
        let op = StoreOp::Create { key: stored_key, labels: Labels::new(), value };
        self.call(CallFor::Upload { key, object }, op, out);
    }

    fn upload_answered(
        &mut self,
        now: Now,
        key: KeyId,
        object: &str,
        answer: StoreAnswer,
        out: &mut Vec<KeysAction>,
    ) {
        let number = shard_of(&key, self.config.shards);
        match answer {
            StoreAnswer::Object(_) | StoreAnswer::Taken => {
                self.with_shard(now, number, |shard, _| shard.uploaded(&key, object));
                self.advance(now, number, out);
            }
            StoreAnswer::Unknown => self.upload(number, key, out),
            _ => {
                self.with_shard(now, number, |shard, _| shard.pause(now));
                self.advance(now, number, out);
            }
        }
    }

    fn fetch_answered(
        &mut self,
        arrival: KeyedRequest,
        kept: KeptAnswer,
        answer: StoreAnswer,
        out: &mut Vec<KeysAction>,
    ) {
        let reason = match answer {
            StoreAnswer::Object(stored) => {
                let body = serde_json::from_slice::<KeptBody>(&stored.value).ok();
                if let Some(body) = body.as_ref().and_then(body_bytes) {
                    let answer = KeptAnswer { body: Some(body), ..kept };
                    return self.replay(arrival.request, answer, out);
                }
                MayHaveRunReason::AnswerNotKept
            }
            StoreAnswer::Absent => MayHaveRunReason::AnswerNotKept,
            _ => MayHaveRunReason::StoreAnswerLost,
        };
        self.finish(arrival.request, Verdict::MayHaveRun { reason }, out);
    }

    fn tick(&mut self, now: Now, out: &mut Vec<KeysAction>) {
        let later = self.due.split_off(&(now.mono_ms + 1, 0));
        for (_, number) in std::mem::replace(&mut self.due, later) {
            let waiting = self.shards.get(&number).map(Shard::uploads).unwrap_or_default();
            for key in waiting {
                if !self.is_uploading(&key) {
                    self.upload(number, key, out);
                }
            }
            self.advance(now, number, out);
        }
    }

    fn is_uploading(&self, key: &str) -> bool {
        let uploads = |it: &CallFor| matches!(it, CallFor::Upload { key: of, .. } if **of == *key);
        self.calls.values().any(uploads)
    }

    fn call(&mut self, purpose: CallFor, op: StoreOp, out: &mut Vec<KeysAction>) {
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.calls.insert(call, purpose);
        out.push(KeysAction::Store { call, op });
    }

    /// Steps a shard, and keeps the count of cached bytes.
    fn with_shard<T>(
        &mut self,
        now: Now,
        number: u32,
        step: impl FnOnce(&mut Shard, &mut Context<'_>) -> T,
    ) -> T {
        let shard = self.shards.entry(number).or_insert_with(|| Shard::new(number));
        let before = shard.bytes();
        let mut cx =
            Context { config: &self.config, now, lapsed: &self.lapsed, numbers: &self.numbers };
        let result = step(shard, &mut cx);
        self.cached_bytes = self.cached_bytes + shard.bytes() - before;
        result
    }

    /// Forgets the shards that were not used for longest, down to three quarters of the allowed bytes.
    fn forget_idle_shards(&mut self) {
        let idle = self.shards.iter().filter(|(_, it)| it.is_idle());
        let mut idle: Vec<(u64, u32)> =
            idle.map(|(number, it)| (it.last_used_ms, *number)).collect();
        idle.sort_unstable();
        for (_, number) in idle {
            if self.cached_bytes <= self.config.cache_bytes / 4 * 3 {
                return;
            }
            if let Some(shard) = self.shards.remove(&number) {
                self.cached_bytes -= shard.bytes();
            }
        }
    }
}

/// Puts an answer into a record; tells whether its body needs an object of its own.
fn keep_answer(record: &mut KeyRecord, answer: &KeptAnswer) -> bool {
    record.state = KeyState::Answered;
    record.status = answer.status;
    record.content_type = answer.content_type.to_string();
    let Some(body) = &answer.body else { return false };
    let kept = kept_body(body);
    let bytes = serde_json::to_vec(&kept).map_or(usize::MAX, |it| it.len());
    if bytes <= INLINE_BODY_BYTES {
        record.body = Some(kept);
        return false;
    }
    body.len() <= MAX_BODY_BYTES && bytes <= MAX_OBJECT_BYTES
}
