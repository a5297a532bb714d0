//! Store calls and bytes per keyed request, by the request rate, the number of gateways and the number of shards.
//!
//! Simulates the keys of several gateways that share one store: requests arrive at random times at random gateways and
//! run for 50 ms, and each store call takes 5 ms. The store initially holds the keys of earlier requests. For
//! comparison the last line gives the writes and bytes of a design with one object per key: a create, an update, and a
//! delete when the key expires.

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use samphiredoor_core::{
    dispatch::RequestId,
    idempotency::{
        KeyOutcome, KeyedRequest, Keys, KeysAction, KeysConfig, KeysInput, SavedAnswer,
        holder_name, key_id,
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

/// Event of the simulation.
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
    gateways: Vec<Keys>,
    objects: BTreeMap<ObjectKey, (u64, Value)>,
    calls: BTreeMap<(usize, u64), StoreOp>,
    due: BTreeSet<(u64, Due)>,
    counts: Counts,
    answered: u64,
    wait_ms: u64,
    arrived_ms: BTreeMap<u64, u64>,
}

impl Bench {
    fn new(gateways: usize, shards: u32) -> Bench {
        let gateway = |number: usize| {
            let holder = holder_name(&format!("door-{number}"), 1);
            let config = KeysConfig { shards, ..KeysConfig::new(holder, 86_400_000) };
            Keys::new(config)
        };
        Bench {
            gateways: (0..gateways).map(gateway).collect(),
            objects: BTreeMap::new(),
            calls: BTreeMap::new(),
            due: BTreeSet::new(),
            counts: Counts::default(),
            answered: 0,
            wait_ms: 0,
            arrived_ms: BTreeMap::new(),
        }
    }

    /// Simulates `requests` requests from id `first` on, with exponentially distributed gaps of `gap_ms` on average.
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
                    let gateway = rng.random_range(0..self.gateways.len());
                    let arrival = KeyedRequest {
                        request: RequestId(request),
                        key: key_id("bench", &request.to_string()),
                        digest: "0123456789abcdef0123456789abcdef".into(),
                        deadline_unix_ms: u64::MAX,
                    };
                    self.arrived_ms.insert(request, at_ms);
                    self.input(now, gateway, KeysInput::Arrived(arrival));
                }
                Due::Call(gateway, call) => self.answer(now, gateway, call),
                Due::RunEnd(gateway, request) => {
                    let answer = SavedAnswer {
                        status: 200,
                        content_type: "application/json".into(),
                        body: Some(vec![b'x'; ANSWER_BYTES].into()),
                    };
                    let outcome = KeyOutcome::Answered(answer);
                    let request = RequestId(request);
                    self.input(now, gateway, KeysInput::RunEnded { request, outcome });
                }
            }
        }
    }

    fn input(&mut self, now: Now, gateway: usize, input: KeysInput) {
        let mut actions = Vec::new();
        self.gateways[gateway].handle(now, input, &mut actions);
        for action in actions {
            match action {
                KeysAction::Store { call, op } => {
                    self.calls.insert((gateway, call.0), op);
                    self.due.insert((now.mono_ms + STORE_MS, Due::Call(gateway, call.0)));
                }
                KeysAction::Run { request } => {
                    self.answered += 1;
                    let arrived_ms = self.arrived_ms.remove(&request.0).unwrap_or_default();
                    self.wait_ms += now.mono_ms - arrived_ms;
                    self.due.insert((now.mono_ms + RUN_MS, Due::RunEnd(gateway, request.0)));
                }
                other => println!("unexpected: {other:?}"),
            }
        }
    }

    fn answer(&mut self, now: Now, gateway: usize, call: u64) {
        let Some(op) = self.calls.remove(&(gateway, call)) else { return };
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
        self.input(now, gateway, KeysInput::Stored { call: CallId(call), answer });
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
        for gateways in [1, 8] {
            for shards in [16, 256, 4_096, 65_536] {
                measure(rate, gateways, shards);
            }
        }
    }
    let record = 2 * (330 + ANSWER_BYTES / 2);
    println!("one object a key: 3 writes, 0 reads, about {record} B written for a request");
}

fn measure(rate: u64, gateways: usize, shards: u32) {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut bench = Bench::new(gateways, shards);
    // A high rate, as only the keys that are stored at the end of this run matter.
    bench.run(&mut rng, 1.0, 0, REMEMBERED, 0);
    bench.counts = Counts::default();
    (bench.answered, bench.wait_ms) = (0, 0);
    let requests = (rate * SECONDS).max(100);
    let start_ms = 10 * REMEMBERED;
    bench.run(&mut rng, 1_000.0 / rate as f64, REMEMBERED, requests, start_ms);
    let count = bench.answered.max(1) as f64;
    let Counts { reads, writes, conflicts, written_bytes, read_bytes } = bench.counts;
    println!(
        "| {rate} | {gateways} | {shards} | {:.2} | {:.2} | {:.2} | {:.1} | {:.1} | {:.1} |",
        writes as f64 / count,
        reads as f64 / count,
        conflicts as f64 / count,
        written_bytes as f64 / count / 1_000.0,
        read_bytes as f64 / count / 1_000.0,
        bench.wait_ms as f64 / count,
    );
}
