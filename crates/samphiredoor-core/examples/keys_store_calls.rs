//! Store calls and bytes of one keyed request, by the number of shards, the rate and the number of doors.
//!
//! Drives the machines of some doors over one store in simulated time: requests come at random moments to random doors,
//! run for 50 ms, and each store call takes 5 ms. The store starts with remembered keys of former requests. One object
//! a key is worked out beside it: a create, an update, and a delete when the key is forgotten.

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use samphiredoor_core::{
    dispatch::RequestId,
    keys::{
        KeptAnswer, KeyOutcome, KeyedRequest, Keys, KeysAction, KeysConfig, KeysInput, holder_name,
        key_id,
    },
    ledger::CallId,
    store::{ObjectKey, StoreAnswer, StoreOp, Stored, Value, Version},
    time::Now,
};

const SECONDS: u64 = 30;
const STORE_MS: u64 = 5;
const RUN_MS: u64 = 50;
const ANSWER_BYTES: usize = 200;
const REMEMBERED: u64 = 10_000;
const START_UNIX_MS: u64 = 1_000_000_000;
const SEED: u64 = 7;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrival(u64),
    Call(usize, u64),
    RunEnd(usize, u64),
}

#[derive(Debug, Default)]
struct Counts {
    reads: u64,
    writes: u64,
    conflicts: u64,
    written_bytes: u64,
    read_bytes: u64,
}

struct Bench {
    doors: Vec<Keys>,
    objects: BTreeMap<ObjectKey, (u64, Value)>,
    calls: BTreeMap<(usize, u64), StoreOp>,
    due: BTreeSet<(u64, Due)>,
    counts: Counts,
    answered: u64,
    wait_ms: u64,
    arrived_ms: BTreeMap<u64, u64>,
}

impl Bench {
    fn new(doors: usize, shards: u32) -> Bench {
        let door = |number: usize| {
            let holder = holder_name(&format!("door-{number}"), 1);
            let config = KeysConfig { shards, ..KeysConfig::new(holder, 86_400_000) };
            Keys::new(config)
        };
        Bench {
            doors: (0..doors).map(door).collect(),
            objects: BTreeMap::new(),
            calls: BTreeMap::new(),
            due: BTreeSet::new(),
            counts: Counts::default(),
            answered: 0,
            wait_ms: 0,
            arrived_ms: BTreeMap::new(),
        }
    }

    fn run(&mut self, rng: &mut SmallRng, gap_ms: f64, first: u64, requests: u64, start_ms: u64) {
        let mut at_ms = start_ms as f64;
        for request in first..first + requests {
            at_ms += -gap_ms * (1.0 - rng.random::<f64>()).ln();
            self.due.insert((at_ms as u64, Due::Arrival(request)));
        }
        while let Some((at_ms, due)) = self.due.pop_first() {
            let now = Now::new(at_ms, START_UNIX_MS + at_ms);
            match due {
                Due::Arrival(request) => {
                    let door = rng.random_range(0..self.doors.len());
                    let arrival = KeyedRequest {
                        request: RequestId(request),
                        key: key_id("bench", &request.to_string()),
                        digest: "0123456789abcdef0123456789abcdef".into(),
                        deadline_unix_ms: u64::MAX,
                    };
                    self.arrived_ms.insert(request, at_ms);
                    self.input(now, door, KeysInput::Arrived(arrival));
                }
                Due::Call(door, call) => self.answer(now, door, call),
                Due::RunEnd(door, request) => {
                    let answer = KeptAnswer {
                        status: 200,
                        content_type: "application/json".into(),
                        body: Some(vec![b'x'; ANSWER_BYTES].into()),
                    };
                    let outcome = KeyOutcome::Answered(answer);
                    let request = RequestId(request);
                    self.input(now, door, KeysInput::RunEnded { request, outcome });
                }
            }
        }
    }

    fn input(&mut self, now: Now, door: usize, input: KeysInput) {
        let mut actions = Vec::new();
        self.doors[door].handle(now, input, &mut actions);
        for action in actions {
            match action {
                KeysAction::Store { call, op } => {
                    self.calls.insert((door, call.0), op);
                    self.due.insert((now.mono_ms + STORE_MS, Due::Call(door, call.0)));
                }
                KeysAction::Run { request } => {
                    self.answered += 1;
                    let arrived_ms = self.arrived_ms.remove(&request.0).unwrap_or_default();
                    self.wait_ms += now.mono_ms - arrived_ms;
                    self.due.insert((now.mono_ms + RUN_MS, Due::RunEnd(door, request.0)));
                }
                other => println!("unexpected: {other:?}"),
            }
        }
    }

    fn answer(&mut self, now: Now, door: usize, call: u64) {
        let Some(op) = self.calls.remove(&(door, call)) else { return };
        let answer = match op {
            StoreOp::Get { key } => {
                self.counts.reads += 1;
                match self.objects.get(&key) {
                    Some((version, value)) => {
                        self.counts.read_bytes += value.len() as u64;
                        stored(&key, *version, value)
                    }
                    None => StoreAnswer::Absent,
                }
            }
            StoreOp::Create { key, value, .. } => self.write(key, None, value),
            StoreOp::Update { key, version, value, .. } => self.write(key, Some(version.0), value),
            _ => StoreAnswer::Unavailable,
        };
        self.input(now, door, KeysInput::Stored { call: CallId(call), answer });
    }

    fn write(&mut self, key: ObjectKey, version: Option<u64>, value: Value) -> StoreAnswer {
        self.counts.writes += 1;
        self.counts.written_bytes += value.len() as u64;
        let current = self.objects.get(&key).map(|(version, _)| *version);
        if current != version {
            self.counts.conflicts += 1;
            return StoreAnswer::Conflict;
        }
        let next = version.unwrap_or_default() + 1;
        let answer = stored(&key, next, &value);
        self.objects.insert(key, (next, value));
        answer
    }
}

fn stored(key: &ObjectKey, version: u64, value: &Value) -> StoreAnswer {
    let (name, value) = (key.name.clone(), value.clone());
    StoreAnswer::Object(Stored { name, version: Version(version), labels: BTreeMap::new(), value })
}

fn main() {
    println!(
        "keys remembered at the start: {REMEMBERED}; answers of {ANSWER_BYTES} B; seed {SEED}"
    );
    println!(
        "| rate/s | doors | shards | writes/request | reads/request | conflicts/request | KB written/request | KB read/request | wait ms |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for rate in [1, 10, 100] {
        for doors in [1, 8] {
            for shards in [16, 256, 4_096, 65_536] {
                measure(rate, doors, shards);
            }
        }
    }
    let record = 2 * (330 + ANSWER_BYTES / 2);
    println!("one object a key: 3 writes, 0 reads, about {record} B written for a request");
}

fn measure(rate: u64, doors: usize, shards: u32) {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut bench = Bench::new(doors, shards);
    // Fast, as only what stands at its end matters.
    bench.run(&mut rng, 1.0, 0, REMEMBERED, 0);
    bench.counts = Counts::default();
    (bench.answered, bench.wait_ms) = (0, 0);
    let requests = (rate * SECONDS).max(100);
    let start_ms = 10 * REMEMBERED;
    bench.run(&mut rng, 1_000.0 / rate as f64, REMEMBERED, requests, start_ms);
    let count = bench.answered.max(1) as f64;
    let Counts { reads, writes, conflicts, written_bytes, read_bytes } = bench.counts;
    println!(
        "| {rate} | {doors} | {shards} | {:.2} | {:.2} | {:.2} | {:.1} | {:.1} | {:.1} |",
        writes as f64 / count,
        reads as f64 / count,
        conflicts as f64 / count,
        written_bytes as f64 / count / 1_000.0,
        read_bytes as f64 / count / 1_000.0,
        bench.wait_ms as f64 / count,
    );
}
