//! Keyed requests run at most once: several gateways share one store, under lost answers, delayed writes, outages,
//! crashes and resends.

mod property;

use std::collections::{BTreeMap, BTreeSet};

use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, TestRng},
};
use samphiredoor_core::{
    Name,
    dispatch::RequestId,
    idempotency::{
        CLOCK_MARGIN_MS, KeyOutcome, KeyedRequest, Keys, KeysAction, KeysConfig, KeysInput,
        SavedAnswer, holder_name, key_id,
    },
    ledger::CallId,
    store::{Kind, ObjectKey, StoreAnswer, StoreOp, Stored, Value, Version},
    time::Now,
    verdict::{MayHaveRunReason, Refusal, Verdict},
};

const GATEWAYS: usize = 3;
const REMEMBER_MS: u64 = 3_600_000;
const CASES: u32 = 400;

#[derive(Debug, Clone)]
enum Step {
    Send { gateway: usize, key: u8, other: bool },
    Answer { which: usize, outcome: CallOutcome },
    ApplyDelayed { which: usize },
    Finish { which: usize, end: RunEnd },
    Cancel { which: usize },
    Crash { gateway: usize },
    ExpireLease { gateway: usize, of: usize },
    Wait { ms: u64 },
}

/// Outcome of a store call.
#[derive(Debug, Clone, Copy)]
enum CallOutcome {
    Answered,
    /// It takes effect, but its answer is lost.
    AnswerLost,
    /// Its answer is lost, and it takes effect later or never.
    Delayed,
    /// It never takes effect.
    Lost,
    Unavailable,
}

/// How a run ends.
#[derive(Debug, Clone, Copy)]
enum RunEnd {
    Answered,
    LargeAnswer,
    NotRun,
    MayHaveRun,
}

fn step() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        8 => Just(CallOutcome::Answered),
        2 => Just(CallOutcome::AnswerLost),
        2 => Just(CallOutcome::Delayed),
        1 => Just(CallOutcome::Lost),
        2 => Just(CallOutcome::Unavailable),
    ];
    let end = prop_oneof![
        4 => Just(RunEnd::Answered),
        1 => Just(RunEnd::LargeAnswer),
        1 => Just(RunEnd::NotRun),
        1 => Just(RunEnd::MayHaveRun),
    ];
    prop_oneof![
        6 => (0..GATEWAYS, 0..3u8, prop::bool::weighted(0.1))
            .prop_map(|(gateway, key, other)| Step::Send { gateway, key, other }),
        12 => (0..8usize, outcome).prop_map(|(which, outcome)| Step::Answer { which, outcome }),
        2 => (0..8usize).prop_map(|which| Step::ApplyDelayed { which }),
        4 => (0..8usize, end).prop_map(|(which, end)| Step::Finish { which, end }),
        1 => (0..8usize).prop_map(|which| Step::Cancel { which }),
        1 => (0..GATEWAYS).prop_map(|gateway| Step::Crash { gateway }),
        1 => (0..GATEWAYS, 0..GATEWAYS)
            .prop_map(|(gateway, of)| Step::ExpireLease { gateway, of }),
        2 => (1..2_000u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

/// In-memory store with one version counter and conditional writes.
#[derive(Default)]
struct Store {
    objects: BTreeMap<ObjectKey, (Version, Value)>,
    version: u64,
}

impl Store {
    fn call(&mut self, op: &StoreOp) -> StoreAnswer {
        match op {
            StoreOp::Get { key } => match self.objects.get(key) {
                Some((version, value)) => stored(key, *version, value),
                None => StoreAnswer::Absent,
            },
            StoreOp::Create { key, .. } if self.objects.contains_key(key) => StoreAnswer::Taken,
            StoreOp::Create { key, value, .. } => self.put(key, value),
            StoreOp::Update { key, version, value, .. } => match self.objects.get(key) {
                None => StoreAnswer::Absent,
                Some((current, _)) if current != version => StoreAnswer::Conflict,
                Some(_) => self.put(key, value),
            },
            StoreOp::Delete { key, .. } => match self.objects.remove(key) {
                Some(_) => StoreAnswer::Deleted,
                None => StoreAnswer::Absent,
            },
            StoreOp::List { .. } => StoreAnswer::Unavailable,
        }
    }

    fn put(&mut self, key: &ObjectKey, value: &Value) -> StoreAnswer {
        self.version += 1;
        let version = Version(self.version);
        self.objects.insert(key.clone(), (version, value.clone()));
        stored(key, version, value)
    }
}

fn stored(key: &ObjectKey, version: Version, value: &Value) -> StoreAnswer {
    let (name, value) = (key.name.clone(), value.clone());
    StoreAnswer::Object(Stored { name, version, labels: BTreeMap::new(), value })
}

/// One gateway process with its store calls in flight.
struct Gateway {
    keys: Keys,
    holder: Name,
    calls: Vec<(CallId, StoreOp)>,
}

/// The simulated gateways, store, callers and target.
struct World {
    store: Store,
    gateways: Vec<Gateway>,
    /// Writes that may still take effect.
    delayed: Vec<StoreOp>,
    now: Now,
    cache_bytes: usize,
    incarnations: u64,
    /// Requests, each with the gateway that got it.
    sent: BTreeMap<RequestId, (usize, KeyedRequest)>,
    /// Requests without a final action.
    open: BTreeSet<RequestId>,
    running: Vec<RequestId>,
    /// Request that ran or may still run, by key.
    ran: BTreeMap<Name, RequestId>,
    /// Digest and answer of the answered request, by key.
    answers: BTreeMap<Name, (Name, SavedAnswer)>,
}

impl World {
    fn new(cache_bytes: usize) -> World {
        let now = Now::new(0, 1_000_000_000);
        let mut world = World {
            store: Store::default(),
            gateways: Vec::new(),
            delayed: Vec::new(),
            now,
            cache_bytes,
            incarnations: 0,
            sent: BTreeMap::new(),
            open: BTreeSet::new(),
            running: Vec::new(),
            ran: BTreeMap::new(),
            answers: BTreeMap::new(),
        };
        for gateway in 0..GATEWAYS {
            let started = world.start(gateway);
            world.gateways.push(started);
        }
        world
    }

    fn start(&mut self, gateway: usize) -> Gateway {
        self.incarnations += 1;
        let holder = holder_name(&format!("gateway-{gateway}"), self.incarnations);
        let config = KeysConfig {
            shards: 2,
            cache_bytes: self.cache_bytes,
            ..KeysConfig::new(holder.clone(), REMEMBER_MS)
        };
        Gateway { keys: Keys::new(config), holder, calls: Vec::new() }
    }

    fn step(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Send { gateway, key, other } => self.send(gateway, key, other).map(|_| ()),
            Step::Answer { which, outcome } => self.answer(which, outcome),
            Step::ApplyDelayed { which } => {
                if !self.delayed.is_empty() {
                    let op = self.delayed.remove(which % self.delayed.len());
                    self.store.call(&op);
                }
                Ok(())
            }
            Step::Finish { which, end } => self.finish(which, end),
            Step::Cancel { which } => match self.open.iter().nth(which).copied() {
                Some(request) => {
                    self.open.remove(&request);
                    self.running.retain(|it| *it != request);
                    let gateway = self.sent[&request].0;
                    self.input(gateway, KeysInput::Cancelled { request })
                }
                None => Ok(()),
            },
            Step::Crash { gateway } => {
                let started = self.start(gateway);
                let old = std::mem::replace(&mut self.gateways[gateway], started);
                self.delayed
                    .extend(old.calls.into_iter().map(|(_, op)| op).filter(StoreOp::is_write));
                let lost = |it: &RequestId| self.sent[it].0 == gateway;
                self.open.retain(|it| !lost(it));
                self.running.retain(|it| !lost(it));
                Ok(())
            }
            Step::ExpireLease { gateway, of } => {
                let holder = self.gateways[of].holder.clone();
                self.input(gateway, KeysInput::LeaseExpired { holder })
            }
            Step::Wait { ms } => {
                self.now.mono_ms += ms;
                self.now.unix_ms += ms;
                (0..GATEWAYS).try_for_each(|gateway| self.input(gateway, KeysInput::Tick))
            }
        }
    }

    fn send(&mut self, gateway: usize, key: u8, other: bool) -> Result<RequestId, TestCaseError> {
        let request = RequestId(self.sent.len() as u64);
        let digest: Name = if other { "other" } else { "usual" }.into();
        let key = key_id("tours", &key.to_string());
        let deadline_unix_ms = self.now.unix_ms + 60_000;
        let arrival = KeyedRequest { request, key, digest, deadline_unix_ms };
        self.sent.insert(request, (gateway, arrival.clone()));
        self.open.insert(request);
        self.input(gateway, KeysInput::Arrived(arrival))?;
        Ok(request)
    }

    fn answer(&mut self, which: usize, outcome: CallOutcome) -> Result<(), TestCaseError> {
        let total: usize = self.gateways.iter().map(|it| it.calls.len()).sum();
        if total == 0 {
            return Ok(());
        }
        let mut which = which % total;
        let holds = |it: &Gateway| match which < it.calls.len() {
            true => true,
            false => {
                which -= it.calls.len();
                false
            }
        };
        let gateway = self.gateways.iter().position(holds).expect("the index is below the total");
        let (call, op) = self.gateways[gateway].calls.remove(which);
        let lost = if op.is_write() { StoreAnswer::Unknown } else { StoreAnswer::Unavailable };
        let answer = match outcome {
            CallOutcome::Answered => self.store.call(&op),
            CallOutcome::AnswerLost => {
                self.store.call(&op);
                lost
            }
            CallOutcome::Delayed => {
                self.delayed.push(op);
                lost
            }
            CallOutcome::Lost => lost,
            CallOutcome::Unavailable => StoreAnswer::Unavailable,
        };
        self.input(gateway, KeysInput::Stored { call, answer })
    }

    fn finish(&mut self, which: usize, end: RunEnd) -> Result<(), TestCaseError> {
        if self.running.is_empty() {
            return Ok(());
        }
        let request = self.running.remove(which % self.running.len());
        self.open.remove(&request);
        let (gateway, arrival) = self.sent[&request].clone();
        let answer = |bytes: usize| SavedAnswer {
            status: 200,
            content_type: "text/plain".into(),
            body: Some(vec![request.0 as u8; bytes].into()),
        };
        let outcome = match end {
            RunEnd::Answered => KeyOutcome::Answered(answer(10)),
            RunEnd::LargeAnswer => KeyOutcome::Answered(answer(40_000)),
            RunEnd::NotRun => {
                let (retry_after_ms, reason) = (0, Refusal::ConnectFailed);
                self.ran.remove(&arrival.key);
                KeyOutcome::NotRun { retry_after_ms, reason }
            }
            RunEnd::MayHaveRun => KeyOutcome::MayHaveRun(MayHaveRunReason::AnswerCut),
        };
        if let KeyOutcome::Answered(answer) = &outcome {
            let answered = (arrival.digest.clone(), answer.clone());
            self.answers.insert(arrival.key.clone(), answered);
        }
        self.input(gateway, KeysInput::RunEnded { request, outcome })
    }

    fn input(&mut self, gateway: usize, input: KeysInput) -> Result<(), TestCaseError> {
        let mut actions = Vec::new();
        self.gateways[gateway].keys.handle(self.now, input, &mut actions);
        actions.into_iter().try_for_each(|action| self.act(gateway, action))
    }

    fn act(&mut self, gateway: usize, action: KeysAction) -> Result<(), TestCaseError> {
        match action {
            KeysAction::Store { call, op } => self.gateways[gateway].calls.push((call, op)),
            KeysAction::Run { request } => {
                let arrival = &self.sent[&request].1;
                let earlier = self.ran.insert(arrival.key.clone(), request);
                prop_assert_eq!(earlier, None, "{:?} runs a second time", request);
                prop_assert!(
                    self.open.contains(&request),
                    "{:?} runs, but no caller waits for it",
                    request
                );
                self.running.push(request);
            }
            KeysAction::Joined { .. } => {}
            KeysAction::Replay { request, answer } => {
                let arrival = &self.sent[&request].1;
                let replayed = (arrival.digest.clone(), answer);
                prop_assert_eq!(self.answers.get(&arrival.key), Some(&replayed));
                self.record_final_action(request)?;
            }
            KeysAction::Refuse { request, verdict } => {
                self.check_refusal(request, verdict)?;
                self.record_final_action(request)?;
            }
            KeysAction::Unreadable { object } => prop_assert!(false, "{} is unreadable", object),
        }
        Ok(())
    }

    fn check_refusal(&self, request: RequestId, verdict: Verdict) -> Result<(), TestCaseError> {
        let arrival = &self.sent[&request].1;
        if let Verdict::NotRun { reason, .. } = verdict {
            prop_assert_ne!(self.ran.get(&arrival.key), Some(&request), "not run, but it ran");
            if reason == Refusal::KeyReused {
                let other = |(_, it): &&(usize, KeyedRequest)| {
                    it.key == arrival.key && it.digest != arrival.digest
                };
                prop_assert!(self.sent.values().any(|it| other(&it)), "the key was not reused");
            }
        }
        Ok(())
    }

    fn record_final_action(&mut self, request: RequestId) -> Result<(), TestCaseError> {
        prop_assert!(self.open.remove(&request), "{:?} got two final actions", request);
        Ok(())
    }

    /// Ends all faults and runs, and checks that each request has its final action and each outcome is written.
    fn settle(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..100 {
            while self.gateways.iter().any(|it| !it.calls.is_empty()) {
                self.answer(0, CallOutcome::Answered)?;
            }
            while !self.running.is_empty() {
                self.finish(0, RunEnd::Answered)?;
            }
            self.step(&Step::Wait { ms: 100 })?;
        }
        prop_assert!(self.open.is_empty(), "without a final action: {:?}", self.open);
        for gateway in &self.gateways {
            prop_assert_eq!(gateway.keys.unsaved_len(), 0);
        }
        Ok(())
    }

    fn replay_everywhere(&mut self) -> Result<(), TestCaseError> {
        // Delayed writes may still take effect now; they must change nothing.
        for op in std::mem::take(&mut self.delayed) {
            self.store.call(&op);
        }
        let answered: BTreeSet<Name> = self.answers.keys().cloned().collect();
        for key in 0..3u8 {
            for gateway in 0..GATEWAYS {
                let id = key_id("tours", &key.to_string());
                let runs = self.ran.get(&id).copied();
                self.send(gateway, key, false)?;
                self.settle()?;
                if answered.contains(&id) {
                    prop_assert_eq!(self.ran.get(&id).copied(), runs);
                }
            }
        }
        Ok(())
    }
}

fn check(steps: &[Step], cache_bytes: usize) -> Result<(), TestCaseError> {
    let mut world = World::new(cache_bytes);
    for step in steps {
        world.step(step)?;
    }
    world.settle()?;
    world.replay_everywhere()
}

/// A keyed request is resent to any gateway while gateways crash and the store loses answers. It would run twice if an
/// intent were taken over, or overwritten by a delayed write.
#[test]
fn a_request_runs_at_most_once_whatever_fails() {
    let mut runner = property::runner(CASES, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let steps = prop::collection::vec(step(), 1..80);
    let cache = prop_oneof![Just(0), Just(1_000_000)];
    let checked = runner.run(&(steps, cache), |(steps, cache)| check(&steps, cache));
    if let Err(err) = checked {
        panic!("{err}");
    }
}

/// A request did not run, and the write of that outcome is delayed when the caller resends to the same gateway. The
/// stored record is the first request's intent. If it were taken for the second's, the delayed write would free the key
/// while the second request runs, and a third one would run as well.
#[test]
fn a_delayed_write_does_not_free_the_key_of_a_running_request() {
    let steps = [
        Step::Send { gateway: 2, key: 2, other: false },
        Step::Answer { which: 0, outcome: CallOutcome::Answered },
        Step::Answer { which: 0, outcome: CallOutcome::Answered },
        Step::Finish { which: 0, end: RunEnd::NotRun },
        Step::Answer { which: 0, outcome: CallOutcome::Delayed },
        Step::Send { gateway: 2, key: 2, other: false },
        Step::Answer { which: 0, outcome: CallOutcome::Answered },
        Step::Answer { which: 0, outcome: CallOutcome::Answered },
        Step::ApplyDelayed { which: 0 },
        Step::Crash { gateway: 2 },
    ];
    check(&steps, 1_000_000).expect("one run");
}

struct Single {
    world: World,
}

impl Single {
    fn new() -> Single {
        Single { world: World::new(1_000_000) }
    }

    fn run_to_answer(&mut self, key: u8) {
        self.world.send(0, key, false).expect("sent");
        self.world.settle().expect("answered");
    }
}

/// A request with an expired key must run again, and the shard must not grow without bound. The record is removed with
/// the next write of its shard, but not before the retention time and the margin for clock differences are over.
#[test]
fn a_key_expires_after_its_retention_time_and_not_before() {
    let mut single = Single::new();
    single.run_to_answer(0);
    let first = single.world.ran.clone();
    let waited = Step::Wait { ms: REMEMBER_MS };
    single.world.step(&waited).expect("waits");
    single.world.send(1, 0, false).expect("sent");
    single.world.settle().expect("replayed");
    assert_eq!(single.world.ran, first);
    single.world.step(&Step::Wait { ms: CLOCK_MARGIN_MS + 1 }).expect("waits");
    single.world.ran.clear();
    single.run_to_answer(0);
    assert_eq!(single.world.ran.len(), 1);
}

/// The store is down for a long time while keyed requests go on arriving. A gateway that kept all unwritten outcomes
/// would run out of memory, and one that dropped them would lose what ran. Requests with new keys are refused as not
/// run instead.
#[test]
fn unsaved_outcomes_are_bounded_while_the_store_is_down() {
    let now = Now::new(0, 1_000_000_000);
    let holder = holder_name("gateway-0", 1);
    let config = KeysConfig { max_open: 2, ..KeysConfig::new(holder, REMEMBER_MS) };
    let mut keys = Keys::new(config);
    let mut store = Store::default();
    let mut verdicts = Vec::new();
    for number in 0..3 {
        let mut calls = Vec::new();
        let request = RequestId(number);
        let key = key_id("tours", &number.to_string());
        let arrival =
            KeyedRequest { request, key, digest: "usual".into(), deadline_unix_ms: u64::MAX };
        keys.handle(now, KeysInput::Arrived(arrival), &mut calls);
        let mut ran = false;
        while let Some(action) = calls.pop() {
            match action {
                KeysAction::Store { call, op } if !ran => {
                    let answer = store.call(&op);
                    keys.handle(now, KeysInput::Stored { call, answer }, &mut calls);
                }
                KeysAction::Store { call, .. } => {
                    let answer = StoreAnswer::Unavailable;
                    keys.handle(now, KeysInput::Stored { call, answer }, &mut calls);
                }
                KeysAction::Run { request } => {
                    ran = true;
                    let outcome = KeyOutcome::MayHaveRun(MayHaveRunReason::AnswerCut);
                    keys.handle(now, KeysInput::RunEnded { request, outcome }, &mut calls);
                }
                KeysAction::Refuse { verdict, .. } => verdicts.push(verdict),
                other => panic!("unexpected: {other:?}"),
            }
        }
    }
    assert_eq!(keys.unsaved_len(), 2);
    let refused = |it: &Verdict| {
        matches!(it, Verdict::NotRun { retry_after_ms: 1.., reason: Refusal::Overloaded })
    };
    assert!(matches!(verdicts.as_slice(), [it] if refused(it)), "{verdicts:?}");
}

/// The object of a shard is damaged. Requests for its keys are refused, the object is not overwritten, and other shards
/// are not affected.
#[test]
fn an_unreadable_shard_is_not_overwritten() {
    let mut store = Store::default();
    let key = key_id("tours", "0");
    let config =
        KeysConfig { shards: 1, ..KeysConfig::new(holder_name("gateway-0", 1), REMEMBER_MS) };
    let shard = ObjectKey::new(Kind::Keys, "shard-00000");
    let damaged: Value = b"[1]".as_slice().into();
    store.put(&shard, &damaged);
    let mut keys = Keys::new(config);
    let (now, request) = (Now::new(0, 1_000_000_000), RequestId(0));
    let mut actions = Vec::new();
    let arrival = KeyedRequest { request, key, digest: "usual".into(), deadline_unix_ms: u64::MAX };
    keys.handle(now, KeysInput::Arrived(arrival), &mut actions);
    let Some(KeysAction::Store { call, op }) = actions.pop() else {
        panic!("expected a read of the shard")
    };
    let answer = store.call(&op);
    keys.handle(now, KeysInput::Stored { call, answer }, &mut actions);
    let unreadable = KeysAction::Unreadable { object: "shard-00000".into() };
    assert!(actions.contains(&unreadable), "{actions:?}");
    let refused = |it: &KeysAction| matches!(it, KeysAction::Refuse { .. });
    assert!(actions.iter().any(refused), "{actions:?}");
    assert_eq!(store.objects[&shard].1, damaged);
}

/// A resend arrived while the outcome was being written, waited for that write, and was refused when the write failed,
/// although the gateway has the answer.
#[test]
fn a_resend_while_the_outcome_is_written_gets_the_answer() {
    let now = Now::new(0, 1_000_000_000);
    let mut keys = Keys::new(KeysConfig::new(holder_name("gateway-0", 1), REMEMBER_MS));
    let mut store = Store::default();
    let mut actions = Vec::new();
    let arrival = |number| KeyedRequest {
        request: RequestId(number),
        key: key_id("tours", "0"),
        digest: "usual".into(),
        deadline_unix_ms: 1_000_060_000,
    };
    keys.handle(now, KeysInput::Arrived(arrival(0)), &mut actions);
    while let Some(KeysAction::Store { call, op }) = actions.pop() {
        let answer = store.call(&op);
        keys.handle(now, KeysInput::Stored { call, answer }, &mut actions);
    }
    let saved = SavedAnswer {
        status: 200,
        content_type: "text/plain".into(),
        body: Some(b"confirmed".as_slice().into()),
    };
    let outcome = KeyOutcome::Answered(saved.clone());
    keys.handle(now, KeysInput::RunEnded { request: RequestId(0), outcome }, &mut actions);
    let Some(KeysAction::Store { call, .. }) = actions.pop() else {
        panic!("expected a write of the outcome")
    };
    keys.handle(now, KeysInput::Arrived(arrival(1)), &mut actions);
    let answer = StoreAnswer::Unavailable;
    keys.handle(now, KeysInput::Stored { call, answer }, &mut actions);
    let replayed = KeysAction::Replay { request: RequestId(1), answer: saved };
    assert!(actions.contains(&replayed), "{actions:?}");
}
