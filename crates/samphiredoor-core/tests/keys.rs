//! At most once: several doors with one store, under lost answers, late writes, outages, crashes and resends.

use std::collections::{BTreeMap, BTreeSet};

use proptest::{
    prelude::*,
    test_runner::{Config, TestRng, TestRunner},
};
use samphiredoor_core::{
    Name,
    dispatch::RequestId,
    keys::{
        CLOCK_MARGIN_MS, KeptAnswer, KeyOutcome, KeyedRequest, Keys, KeysAction, KeysConfig,
        KeysInput, holder_name, key_id,
    },
    ledger::CallId,
    store::{Kind, ObjectKey, StoreAnswer, StoreOp, Stored, Value, Version},
    time::Now,
    verdict::{MayHaveRunReason, Refusal, Verdict},
};

const DOORS: usize = 3;
const REMEMBER_MS: u64 = 3_600_000;
const CASES: u32 = 400;

#[derive(Debug, Clone)]
enum Step {
    Send { door: usize, key: u8, other: bool },
    Answer { which: usize, how: How },
    LandLate { which: usize },
    Finish { which: usize, end: End },
    Gone { which: usize },
    Crash { door: usize },
    Lapse { door: usize, of: usize },
    Wait { ms: u64 },
}

/// What becomes of a store call.
#[derive(Debug, Clone, Copy)]
enum How {
    Answered,
    AnswerLost,
    Late,
    Lost,
    Unavailable,
}

#[derive(Debug, Clone, Copy)]
enum End {
    Answered,
    LargeAnswer,
    NotRun,
    MayHaveRun,
}

fn step() -> impl Strategy<Value = Step> {
    let how = prop_oneof![
        8 => Just(How::Answered),
        2 => Just(How::AnswerLost),
        2 => Just(How::Late),
        1 => Just(How::Lost),
        2 => Just(How::Unavailable),
    ];
    let end = prop_oneof![
        4 => Just(End::Answered),
        1 => Just(End::LargeAnswer),
        1 => Just(End::NotRun),
        1 => Just(End::MayHaveRun),
    ];
    prop_oneof![
        6 => (0..DOORS, 0..3u8, prop::bool::weighted(0.1))
            .prop_map(|(door, key, other)| Step::Send { door, key, other }),
        12 => (0..8usize, how).prop_map(|(which, how)| Step::Answer { which, how }),
        2 => (0..8usize).prop_map(|which| Step::LandLate { which }),
        4 => (0..8usize, end).prop_map(|(which, end)| Step::Finish { which, end }),
        1 => (0..8usize).prop_map(|which| Step::Gone { which }),
        1 => (0..DOORS).prop_map(|door| Step::Crash { door }),
        1 => (0..DOORS, 0..DOORS).prop_map(|(door, of)| Step::Lapse { door, of }),
        2 => (1..2_000u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

/// The store: one version counter, conditional writes.
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

struct Door {
    keys: Keys,
    holder: Name,
    calls: Vec<(CallId, StoreOp)>,
}

/// What callers sent, what the target ran, and what callers were told.
struct World {
    store: Store,
    doors: Vec<Door>,
    late: Vec<StoreOp>,
    now: Now,
    cache_bytes: usize,
    incarnations: u64,
    sent: BTreeMap<RequestId, (usize, KeyedRequest)>,
    open: BTreeSet<RequestId>,
    running: Vec<RequestId>,
    /// Request that ran, or may yet, by key.
    ran: BTreeMap<Name, RequestId>,
    /// Digest and answer of the request that was answered, by key.
    answers: BTreeMap<Name, (Name, KeptAnswer)>,
}

impl World {
    fn new(cache_bytes: usize) -> World {
        let now = Now::new(0, 1_000_000_000);
        let mut world = World {
            store: Store::default(),
            doors: Vec::new(),
            late: Vec::new(),
            now,
            cache_bytes,
            incarnations: 0,
            sent: BTreeMap::new(),
            open: BTreeSet::new(),
            running: Vec::new(),
            ran: BTreeMap::new(),
            answers: BTreeMap::new(),
        };
        for door in 0..DOORS {
            let started = world.start(door);
            world.doors.push(started);
        }
        world
    }

    fn start(&mut self, door: usize) -> Door {
        self.incarnations += 1;
        let holder = holder_name(&format!("door-{door}"), self.incarnations);
        let config = KeysConfig {
            shards: 2,
            cache_bytes: self.cache_bytes,
            ..KeysConfig::new(holder.clone(), REMEMBER_MS)
        };
        Door { keys: Keys::new(config), holder, calls: Vec::new() }
    }

    fn step(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Send { door, key, other } => self.send(door, key, other).map(|_| ()),
            Step::Answer { which, how } => self.answer(which, how),
            Step::LandLate { which } => {
                if !self.late.is_empty() {
                    let op = self.late.remove(which % self.late.len());
                    self.store.call(&op);
                }
                Ok(())
            }
            Step::Finish { which, end } => self.finish(which, end),
            Step::Gone { which } => match self.open.iter().nth(which).copied() {
                Some(request) => {
                    self.open.remove(&request);
                    self.running.retain(|it| *it != request);
                    let door = self.sent[&request].0;
                    self.input(door, KeysInput::Cancelled { request })
                }
                None => Ok(()),
            },
            Step::Crash { door } => {
                let started = self.start(door);
                let old = std::mem::replace(&mut self.doors[door], started);
                self.late.extend(old.calls.into_iter().map(|(_, op)| op).filter(StoreOp::is_write));
                let lost = |it: &RequestId| self.sent[it].0 == door;
                self.open.retain(|it| !lost(it));
                self.running.retain(|it| !lost(it));
                Ok(())
            }
            Step::Lapse { door, of } => {
                let holder = self.doors[of].holder.clone();
                self.input(door, KeysInput::LeaseExpired { holder })
            }
            Step::Wait { ms } => {
                self.now.mono_ms += ms;
                self.now.unix_ms += ms;
                (0..DOORS).try_for_each(|door| self.input(door, KeysInput::Tick))
            }
        }
    }

    fn send(&mut self, door: usize, key: u8, other: bool) -> Result<RequestId, TestCaseError> {
        let request = RequestId(self.sent.len() as u64);
        let digest: Name = if other { "other" } else { "usual" }.into();
        let key = key_id("tours", &key.to_string());
        let deadline_unix_ms = self.now.unix_ms + 60_000;
        let arrival = KeyedRequest { request, key, digest, deadline_unix_ms };
        self.sent.insert(request, (door, arrival.clone()));
        self.open.insert(request);
        self.input(door, KeysInput::Arrived(arrival))?;
        Ok(request)
    }

    fn answer(&mut self, which: usize, how: How) -> Result<(), TestCaseError> {
        let total: usize = self.doors.iter().map(|it| it.calls.len()).sum();
        if total == 0 {
            return Ok(());
        }
        let mut which = which % total;
        let holds = |it: &Door| match which < it.calls.len() {
            true => true,
            false => {
                which -= it.calls.len();
                false
            }
        };
        let door = self.doors.iter().position(holds).expect("counted");
        let (call, op) = self.doors[door].calls.remove(which);
        let lost = if op.is_write() { StoreAnswer::Unknown } else { StoreAnswer::Unavailable };
        let answer = match how {
            How::Answered => self.store.call(&op),
            How::AnswerLost => {
                self.store.call(&op);
                lost
            }
            How::Late => {
                self.late.push(op);
                lost
            }
            How::Lost => lost,
            How::Unavailable => StoreAnswer::Unavailable,
        };
        self.input(door, KeysInput::Stored { call, answer })
    }

    fn finish(&mut self, which: usize, end: End) -> Result<(), TestCaseError> {
        if self.running.is_empty() {
            return Ok(());
        }
        let request = self.running.remove(which % self.running.len());
        self.open.remove(&request);
        let (door, arrival) = self.sent[&request].clone();
        let answer = |bytes: usize| KeptAnswer {
            status: 200,
            content_type: "text/plain".into(),
            body: Some(vec![request.0 as u8; bytes].into()),
        };
        let outcome = match end {
            End::Answered => KeyOutcome::Answered(answer(10)),
            End::LargeAnswer => KeyOutcome::Answered(answer(40_000)),
            End::NotRun => {
                let (retry_after_ms, reason) = (0, Refusal::ConnectFailed);
                self.ran.remove(&arrival.key);
                KeyOutcome::NotRun { retry_after_ms, reason }
            }
            End::MayHaveRun => KeyOutcome::MayHaveRun(MayHaveRunReason::AnswerCut),
        };
        if let KeyOutcome::Answered(answer) = &outcome {
            let answered = (arrival.digest.clone(), answer.clone());
            self.answers.insert(arrival.key.clone(), answered);
        }
        self.input(door, KeysInput::RunEnded { request, outcome })
    }

    fn input(&mut self, door: usize, input: KeysInput) -> Result<(), TestCaseError> {
        let mut actions = Vec::new();
        self.doors[door].keys.handle(self.now, input, &mut actions);
        actions.into_iter().try_for_each(|action| self.act(door, action))
    }

    fn act(&mut self, door: usize, action: KeysAction) -> Result<(), TestCaseError> {
        match action {
            KeysAction::Store { call, op } => self.doors[door].calls.push((call, op)),
            KeysAction::Run { request } => {
                let arrival = &self.sent[&request].1;
                let earlier = self.ran.insert(arrival.key.clone(), request);
                prop_assert_eq!(earlier, None, "{:?} runs a second time", request);
                prop_assert!(self.open.contains(&request), "{:?} runs unasked", request);
                self.running.push(request);
            }
            KeysAction::Joined { .. } => {}
            KeysAction::Replay { request, answer } => {
                let arrival = &self.sent[&request].1;
                let replayed = (arrival.digest.clone(), answer);
                prop_assert_eq!(self.answers.get(&arrival.key), Some(&replayed));
                self.told(request)?;
            }
            KeysAction::Refuse { request, verdict } => {
                self.check_refusal(request, verdict)?;
                self.told(request)?;
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

    fn told(&mut self, request: RequestId) -> Result<(), TestCaseError> {
        prop_assert!(self.open.remove(&request), "{:?} was told twice", request);
        Ok(())
    }

    /// The faults are over: everything ends, every request has its final answer, and answers are replayed anywhere.
    fn settle(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..100 {
            while self.doors.iter().any(|it| !it.calls.is_empty()) {
                self.answer(0, How::Answered)?;
            }
            while !self.running.is_empty() {
                self.finish(0, End::Answered)?;
            }
            self.step(&Step::Wait { ms: 100 })?;
        }
        prop_assert!(self.open.is_empty(), "without a final answer: {:?}", self.open);
        for door in &self.doors {
            prop_assert_eq!(door.keys.unsaved_len(), 0);
        }
        Ok(())
    }

    fn replay_everywhere(&mut self) -> Result<(), TestCaseError> {
        // Late writes that were never fenced off may still land now; they must change nothing.
        for op in std::mem::take(&mut self.late) {
            self.store.call(&op);
        }
        let answered: BTreeSet<Name> = self.answers.keys().cloned().collect();
        for key in 0..3u8 {
            for door in 0..DOORS {
                let id = key_id("tours", &key.to_string());
                let runs = self.ran.get(&id).copied();
                self.send(door, key, false)?;
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

fn cases() -> u32 {
    std::env::var("SAMPHIREDOOR_CASES").ok().and_then(|it| it.parse().ok()).unwrap_or(CASES)
}

/// A booking clerk's confirmation is sent again, to any door, while doors crash and the store loses answers; two
/// farriers stand at one yard. The cause would be an intent that is taken over, or written over by a late write.
#[test]
fn a_request_runs_at_most_once_whatever_fails() {
    let config = Config { cases: cases(), failure_persistence: None, ..Config::default() };
    let algorithm = proptest::test_runner::RngAlgorithm::ChaCha;
    let rng = TestRng::deterministic_rng(algorithm);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec(step(), 1..80);
    let cache = prop_oneof![Just(0), Just(1_000_000)];
    let checked = runner.run(&(steps, cache), |(steps, cache)| check(&steps, cache));
    if let Err(err) = checked {
        panic!("{err}");
    }
}

/// A sending truly did not run, and the write that says so is still on its way when the clerk sends again to the same
/// door. The record that stands is the first sending's intent; if it were taken for the second's, the late write would
/// free the key while the second runs, and a third sending would run as well.
#[test]
fn a_late_write_does_not_free_a_key_that_runs() {
    let steps = [
        Step::Send { door: 2, key: 2, other: false },
        Step::Answer { which: 0, how: How::Answered },
        Step::Answer { which: 0, how: How::Answered },
        Step::Finish { which: 0, end: End::NotRun },
        Step::Answer { which: 0, how: How::Late },
        Step::Send { door: 2, key: 2, other: false },
        Step::Answer { which: 0, how: How::Answered },
        Step::Answer { which: 0, how: How::Answered },
        Step::LandLate { which: 0 },
        Step::Crash { door: 2 },
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

/// A clerk sends under a key that is long forgotten; it must run again, and the shard must not grow for ever. The
/// record goes with the next write of its shard, not before its time and the clocks' margin are over.
#[test]
fn a_key_is_forgotten_after_its_time_and_not_before() {
    let mut single = Single::new();
    single.run_to_answer(0);
    let first = single.world.ran.clone();
    let waited = Step::Wait { ms: REMEMBER_MS };
    single.world.step(&waited).expect("time passes");
    single.world.send(1, 0, false).expect("sent");
    single.world.settle().expect("replayed");
    assert_eq!(single.world.ran, first);
    single.world.step(&Step::Wait { ms: CLOCK_MARGIN_MS + 1 }).expect("time passes");
    single.world.ran.clear();
    single.run_to_answer(0);
    assert_eq!(single.world.ran.len(), 1);
}

/// The store is down for long while bookings go on being confirmed; a door that kept every outcome without bound would
/// run out of memory, and one that dropped them would forget what ran. New keys are refused, truly not run, instead.
#[test]
fn outcomes_wait_for_the_store_within_bounds() {
    let now = Now::new(0, 1_000_000_000);
    let holder = holder_name("door-0", 1);
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

/// A shard's object is damaged. Its keys are refused, nothing is written over it, and other shards go on.
#[test]
fn an_unreadable_shard_is_left_as_it_is() {
    let mut store = Store::default();
    let key = key_id("tours", "0");
    let config = KeysConfig { shards: 1, ..KeysConfig::new(holder_name("door-0", 1), REMEMBER_MS) };
    let shard = ObjectKey::new(Kind::Keys, "shard-00000");
    let damaged: Value = b"[1]".as_slice().into();
    store.put(&shard, &damaged);
    let mut keys = Keys::new(config);
    let (now, request) = (Now::new(0, 1_000_000_000), RequestId(0));
    let mut actions = Vec::new();
    let arrival = KeyedRequest { request, key, digest: "usual".into(), deadline_unix_ms: u64::MAX };
    keys.handle(now, KeysInput::Arrived(arrival), &mut actions);
    let Some(KeysAction::Store { call, op }) = actions.pop() else { panic!("no read") };
    let answer = store.call(&op);
    keys.handle(now, KeysInput::Stored { call, answer }, &mut actions);
    let unreadable = KeysAction::Unreadable { object: "shard-00000".into() };
    assert!(actions.contains(&unreadable), "{actions:?}");
    let refused = |it: &KeysAction| matches!(it, KeysAction::Refuse { .. });
    assert!(actions.iter().any(refused), "{actions:?}");
    assert_eq!(store.objects[&shard].1, damaged);
}

/// A clerk sends a confirmed booking again while the store is down and is told to come back, although the door has the
/// answer: the resend came while the outcome was on its way to the store, waited for that write, and was refused with
/// it.
#[test]
fn a_resend_during_the_outcomes_write_gets_the_answer() {
    let now = Now::new(0, 1_000_000_000);
    let mut keys = Keys::new(KeysConfig::new(holder_name("door-0", 1), REMEMBER_MS));
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
    let kept = KeptAnswer {
        status: 200,
        content_type: "text/plain".into(),
        body: Some(b"confirmed".as_slice().into()),
    };
    let outcome = KeyOutcome::Answered(kept.clone());
    keys.handle(now, KeysInput::RunEnded { request: RequestId(0), outcome }, &mut actions);
    let Some(KeysAction::Store { call, .. }) = actions.pop() else { panic!("no write") };
    keys.handle(now, KeysInput::Arrived(arrival(1)), &mut actions);
    let answer = StoreAnswer::Unavailable;
    keys.handle(now, KeysInput::Stored { call, answer }, &mut actions);
    let replayed = KeysAction::Replay { request: RequestId(1), answer: kept };
    assert!(actions.contains(&replayed), "{actions:?}");
}
