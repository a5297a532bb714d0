//! Idempotency keys: a request that carries one runs at most once, and resends get the saved answer.
//!
//! Keys are hashed to shards; each shard is one object of the store. The intent to run a request is written by a
//! conditional update before the request is dispatched, its outcome afterwards. Safety depends on the conditional
//! update alone: an intent is never taken over, even if its holder seems to be dead. Two things make it fast: all
//! intents and outcomes of a shard that arrive while a write is in flight are combined into the next one, and a resend
//! to the same process is answered from memory.
//!
//! [`Keys`] is a state machine without I/O that one task owns. Each arriving request gets exactly one final action; a
//! request that is to run ([`KeysAction::Run`]) reports its end with [`KeysInput::RunEnded`].

mod bodies;
mod change;
mod config;
mod context;
mod keyed_request;
mod messages;
mod record;
mod shard;

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use samphiredoor_schema::objects::KeyState;

pub use bodies::{INLINE_BODY_BYTES, MAX_BODY_BYTES};
pub use config::{KeysConfig, SHARDS, holder_name};
pub use keyed_request::{KeyId, KeyedRequest, key_id};
pub use messages::{KeyOutcome, KeysAction, KeysInput};
pub use record::{CLOCK_MARGIN_MS, SavedAnswer};

use crate::{
    Name,
    dispatch::RequestId,
    ledger::CallId,
    store::{Kind, ObjectKey, StoreAnswer, StoreOp},
    time::Now,
    verdict::{MayHaveRunReason, Refusal, Verdict},
};
use bodies::save_answer;
use change::Outcome;
use context::{Context, Effect};
use keyed_request::shard_of;
use record::IntentId;
use shard::Shard;

const MAX_EXPIRED_HOLDERS: usize = 10_000;
const BUSY_RETRY_AFTER_MS: u64 = 1_000;

/// A request that runs, and the requests that wait for its outcome.
#[derive(Debug)]
struct Run {
    arrival: KeyedRequest,
    intent_id: IntentId,
    joined: Vec<RequestId>,
}

/// Purpose of a store call in flight.
#[derive(Debug)]
enum CallPurpose {
    Shard(u32),
    UploadBody { key: KeyId, object: Name },
    FetchBody { arrival: KeyedRequest, answer: SavedAnswer },
    DeleteBody,
}

/// State machine of the idempotency keys in one process.
#[derive(Debug)]
pub struct Keys {
    config: KeysConfig,
    shards: BTreeMap<u32, Shard>,
    runs: BTreeMap<KeyId, Run>,
    /// Requests that have no final action yet, including those that run.
    requests: BTreeMap<RequestId, KeyedRequest>,
    /// Size of the answer of each outcome that is not written yet.
    unsaved: BTreeMap<KeyId, usize>,
    unsaved_bytes: usize,
    cached_bytes: usize,
    calls: BTreeMap<CallId, CallPurpose>,
    next_call: u64,
    /// Other incarnations whose leases have expired.
    expired_holders: BTreeSet<Name>,
    /// Shards that wait for a retry, by monotonic time.
    due: BTreeSet<(u64, u32)>,
    /// Number of the last write or intent.
    counter: Cell<u64>,
}

impl Keys {
    /// Starts with an empty cache; shards are read when they are needed.
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
            expired_holders: BTreeSet::new(),
            due: BTreeSet::new(),
            counter: Cell::new(0),
        }
    }

    /// Number of outcomes that are not written yet.
    pub fn unsaved_len(&self) -> usize {
        self.unsaved.len()
    }

    /// Number of requests that run, and of outcomes that are not written yet.
    pub fn open_len(&self) -> usize {
        self.runs.len() + self.unsaved.len()
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Now, input: KeysInput, out: &mut Vec<KeysAction>) {
        match input {
            KeysInput::Arrived(arrival) => self.arrived(now, arrival, out),
            KeysInput::RunEnded { request, outcome } => self.run_ended(now, request, outcome, out),
            KeysInput::Cancelled { request } => self.cancelled(now, request, out),
            KeysInput::Stored { call, answer } => self.store_answered(now, call, answer, out),
            KeysInput::LeaseExpired { holder } => self.lease_expired(holder),
            KeysInput::Tick => self.tick(now, out),
        }
    }

    fn lease_expired(&mut self, holder: Name) {
        if holder != self.config.holder {
            self.expired_holders.insert(holder);
        }
        if self.expired_holders.len() > MAX_EXPIRED_HOLDERS {
            self.expired_holders.pop_first();
        }
    }

    fn arrived(&mut self, now: Now, arrival: KeyedRequest, out: &mut Vec<KeysAction>) {
        let request = arrival.request;
        // Unwritten outcomes are never dropped while the store is down; requests with new keys are refused instead.
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
        self.decide(now, number, arrival, false, out);
        self.advance(now, number, out);
    }

    fn decide(
        &mut self,
        now: Now,
        number: u32,
        arrival: KeyedRequest,
        read_since: bool,
        out: &mut Vec<KeysAction>,
    ) {
        if let Some(run) = self.runs.get_mut(&arrival.key) {
            let request = arrival.request;
            if run.arrival.digest == arrival.digest {
                run.joined.push(request);
                out.push(KeysAction::Joined { request });
            } else {
                let reason = Refusal::KeyReused;
                self.refuse(request, Verdict::NotRun { retry_after_ms: 0, reason }, out);
            }
            return;
        }
        let mut effects = Vec::new();
        self.with_shard(now, number, |shard, ctx| {
            shard.decide(arrival, read_since, ctx, &mut effects)
        });
        self.apply_effects(number, effects, out);
    }

    fn run_ended(
        &mut self,
        now: Now,
        request: RequestId,
        outcome: KeyOutcome,
        out: &mut Vec<KeysAction>,
    ) {
        let Some(arrival) = self.requests.remove(&request) else { return };
        let is_runner = self.runs.get(&arrival.key).is_some_and(|it| it.arrival.request == request);
        let Some(run) = self.runs.remove(&arrival.key).filter(|_| is_runner) else { return };
        for joined in &run.joined {
            self.answer_joined(*joined, &outcome, out);
        }
        let number = shard_of(&arrival.key, self.config.shards);
        let saved = self.outcome_to_save(&run, outcome);
        let bytes = saved.answer.as_ref().and_then(|it| it.body.as_ref()).map_or(0, |it| it.len());
        self.unsaved_bytes += bytes;
        self.unsaved.insert(Arc::clone(&arrival.key), bytes);
        let needs_upload = saved.needs_upload;
        let key = Arc::clone(&arrival.key);
        self.with_shard(now, number, |shard, _| shard.run_ended(Arc::clone(&key), saved));
        if needs_upload {
            self.upload_body(number, key, out);
        }
        self.advance(now, number, out);
    }

    fn answer_joined(
        &mut self,
        request: RequestId,
        outcome: &KeyOutcome,
        out: &mut Vec<KeysAction>,
    ) {
        match outcome {
            KeyOutcome::Answered(answer) => {
                self.replay(request, answer.clone(), out);
            }
            KeyOutcome::NotRun { retry_after_ms, reason } => {
                let (retry_after_ms, reason) = (*retry_after_ms, *reason);
                self.refuse(request, Verdict::NotRun { retry_after_ms, reason }, out);
            }
            KeyOutcome::MayHaveRun(reason) => {
                self.refuse(request, Verdict::MayHaveRun { reason: *reason }, out);
            }
        }
    }

    fn outcome_to_save(&self, run: &Run, outcome: KeyOutcome) -> Outcome {
        let mut record = record::intent_record(&run.arrival, &self.config, run.intent_id);
        let mut needs_upload = false;
        let answer = match outcome {
            KeyOutcome::NotRun { .. } => {
                record.state = KeyState::NotRun;
                None
            }
            KeyOutcome::MayHaveRun(reason) => {
                record.state = KeyState::MayHaveRun;
                record.doubt = reason.label().to_owned();
                None
            }
            KeyOutcome::Answered(answer) => {
                needs_upload = save_answer(&mut record, &answer);
                Some(answer)
            }
        };
        Outcome { record, answer, needs_upload }
    }

    fn cancelled(&mut self, now: Now, request: RequestId, out: &mut Vec<KeysAction>) {
        let Some(arrival) = self.requests.get(&request).cloned() else { return };
        let number = shard_of(&arrival.key, self.config.shards);
        match self.runs.get_mut(&arrival.key) {
            Some(run) if run.arrival.request == request => {
                let outcome = KeyOutcome::MayHaveRun(MayHaveRunReason::ConnectionLost);
                return self.run_ended(now, request, outcome, out);
            }
            Some(run) => run.joined.retain(|it| *it != request),
            None => self.with_shard(now, number, |shard, _| shard.cancelled(&arrival)),
        }
        self.requests.remove(&request);
        self.advance(now, number, out);
    }

    fn store_answered(
        &mut self,
        now: Now,
        call: CallId,
        answer: StoreAnswer,
        out: &mut Vec<KeysAction>,
    ) {
        match self.calls.remove(&call) {
            Some(CallPurpose::Shard(number)) => self.shard_answered(now, number, answer, out),
            Some(CallPurpose::UploadBody { key, object }) => {
                self.upload_answered(now, key, &object, answer, out);
            }
            Some(CallPurpose::FetchBody { arrival, answer: saved }) => {
                self.fetch_answered(arrival, saved, answer, out);
            }
            Some(CallPurpose::DeleteBody) | None => {}
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
        let read_since = self
            .with_shard(now, number, |shard, ctx| shard.store_answered(answer, ctx, &mut effects));
        self.apply_effects(number, effects, out);
        for arrival in read_since {
            self.decide(now, number, arrival, true, out);
        }
        for arrival in self.with_shard(now, number, |shard, _| shard.take_deferred()) {
            self.decide(now, number, arrival, false, out);
        }
        self.advance(now, number, out);
    }

    fn advance(&mut self, now: Now, number: u32, out: &mut Vec<KeysAction>) {
        let mut effects = Vec::new();
        self.with_shard(now, number, |shard, ctx| shard.advance(ctx, &mut effects));
        self.apply_effects(number, effects, out);
        let Some(shard) = self.shards.get(&number) else { return };
        if let Some(due_ms) = shard.due_ms(now) {
            self.due.insert((due_ms, number));
        }
        if self.cached_bytes > self.config.cache_bytes {
            self.evict_idle_shards();
        }
    }

    fn apply_effects(&mut self, number: u32, effects: Vec<Effect>, out: &mut Vec<KeysAction>) {
        for effect in effects {
            match effect {
                Effect::Call(op) => self.call(CallPurpose::Shard(number), op, out),
                Effect::Run { arrival, intent_id } => {
                    let request = arrival.request;
                    let key = Arc::clone(&arrival.key);
                    self.runs.insert(key, Run { arrival, intent_id, joined: Vec::new() });
                    out.push(KeysAction::Run { request });
                }
                Effect::Replay { arrival, answer } => self.replay(arrival.request, answer, out),
                Effect::FetchBody { arrival, answer, object } => {
                    let op = StoreOp::Get { key: ObjectKey::new(Kind::Keys, object) };
                    self.call(CallPurpose::FetchBody { arrival, answer }, op, out);
                }
                Effect::Refuse { arrival, verdict } => self.refuse(arrival.request, verdict, out),
                Effect::OutcomeSaved(key) => self.outcome_saved(&key),
                Effect::UploadBody(key) => self.upload_body(number, key, out),
                Effect::DeleteBody(object) => {
                    let key = ObjectKey::new(Kind::Keys, object);
                    self.call(CallPurpose::DeleteBody, StoreOp::Delete { key, version: None }, out);
                }
                Effect::Unreadable => {
                    let object = format!("shard-{number:05}").into();
                    out.push(KeysAction::Unreadable { object });
                }
            }
        }
    }

    fn refuse(&mut self, request: RequestId, verdict: Verdict, out: &mut Vec<KeysAction>) {
        // A request that was cancelled in the meantime gets no action.
        if self.requests.remove(&request).is_some() {
            out.push(KeysAction::Refuse { request, verdict });
        }
    }

    fn replay(&mut self, request: RequestId, answer: SavedAnswer, out: &mut Vec<KeysAction>) {
        if self.requests.remove(&request).is_some() {
            out.push(KeysAction::Replay { request, answer });
        }
    }

    fn outcome_saved(&mut self, key: &str) {
        let bytes = self.unsaved.remove(key).unwrap_or_default();
        self.unsaved_bytes -= bytes;
    }

    fn tick(&mut self, now: Now, out: &mut Vec<KeysAction>) {
        let later = self.due.split_off(&(now.mono_ms + 1, 0));
        for (_, number) in std::mem::replace(&mut self.due, later) {
            let waiting = self.shards.get(&number).map(Shard::pending_uploads).unwrap_or_default();
            for key in waiting {
                if !self.is_uploading_body(&key) {
                    self.upload_body(number, key, out);
                }
            }
            self.advance(now, number, out);
        }
    }

    fn call(&mut self, purpose: CallPurpose, op: StoreOp, out: &mut Vec<KeysAction>) {
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.calls.insert(call, purpose);
        out.push(KeysAction::Store { call, op });
    }

    /// Calls `step` with a shard, and updates the number of cached bytes.
    fn with_shard<T>(
        &mut self,
        now: Now,
        number: u32,
        step: impl FnOnce(&mut Shard, &mut Context<'_>) -> T,
    ) -> T {
        let shard = self.shards.entry(number).or_insert_with(|| Shard::new(number));
        let before = shard.bytes();
        let mut ctx = Context {
            config: &self.config,
            now,
            expired_holders: &self.expired_holders,
            counter: &self.counter,
        };
        let result = step(shard, &mut ctx);
        self.cached_bytes = self.cached_bytes + shard.bytes() - before;
        result
    }

    /// Evicts the least recently used idle shards until the cache takes three quarters of its limit.
    fn evict_idle_shards(&mut self) {
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
