//! Benchmark of the ledger's time and memory by number of jobs and items: `cargo run --release --example ledger_slope`.
//!
//! The store and the targets are in memory and answer immediately; their time is included. `held_kb` is the process's
//! resident memory less the stored objects. It is read after all jobs are submitted and as many items as allowed are
//! running, when all bounded memory is in use.

use std::{collections::HashMap, sync::Arc, time::Instant};

use samphiredoor_core::{
    ledger::{
        Acceptance, AcceptanceParams, ItemEnd, ItemRef, Ledger, LedgerAction, LedgerConfig,
        LedgerInput, Submission, SubmissionStep,
    },
    store::{ObjectKey, StoreAnswer, StoreOp, Stored, Version},
    time::Now,
};

const BODY_BYTES: usize = 400;
const TICK_MS: u64 = 100;

#[derive(Default)]
struct MemoryStore {
    objects: HashMap<ObjectKey, Stored>,
    version: u64,
    calls: u64,
    writes: u64,
}

impl MemoryStore {
    fn apply(&mut self, op: StoreOp) -> StoreAnswer {
        self.calls += 1;
        match op {
            StoreOp::Get { key } => match self.objects.get(&key) {
                Some(stored) => StoreAnswer::Object(stored.clone()),
                None => StoreAnswer::Absent,
            },
            StoreOp::Create { key, labels, value } | StoreOp::Update { key, labels, value, .. } => {
                self.version += 1;
                self.writes += 1;
                let version = Version(self.version);
                let stored = Stored { name: Arc::clone(&key.name), version, labels, value };
                self.objects.insert(key, stored.clone());
                StoreAnswer::Object(stored)
            }
            StoreOp::Delete { .. } => StoreAnswer::Deleted,
            StoreOp::List { .. } => {
                StoreAnswer::Page { items: Vec::new(), next: None, version: Version(self.version) }
            }
        }
    }
}

struct Bench {
    store: MemoryStore,
    ledger: Ledger,
    now_ms: u64,
    actions: Vec<LedgerAction>,
    running: Vec<ItemRef>,
    events: u64,
}

impl Bench {
    fn new() -> Bench {
        let mut bench = Bench {
            store: MemoryStore::default(),
            ledger: Ledger::new(LedgerConfig::new("door-0".into(), 1, "door-0-1".into())),
            now_ms: 1_000,
            actions: Vec::new(),
            running: Vec::new(),
            events: 0,
        };
        bench.handle(LedgerInput::Lease { valid_until_ms: u64::MAX });
        bench
    }

    fn handle(&mut self, input: LedgerInput) {
        self.events += 1;
        self.ledger.handle(Now::new(self.now_ms, 0), input, &mut self.actions);
        while !self.actions.is_empty() {
            for action in std::mem::take(&mut self.actions) {
                match action {
                    LedgerAction::Store { call, op } => {
                        let answer = self.store.apply(op);
                        let input = LedgerInput::Stored { call, answer };
                        self.events += 1;
                        self.ledger.handle(Now::new(self.now_ms, 0), input, &mut self.actions);
                    }
                    LedgerAction::Run(work) => self.running.push(work.item),
                    _ => {}
                }
            }
        }
    }

    fn submit(&mut self, number: usize, items: usize) {
        let body = "x".repeat(BODY_BYTES);
        let mut submission = Submission::new();
        let params = AcceptanceParams {
            workspace: "desk".into(),
            key: format!("key-{number}").into(),
            upload: format!("up-{number}").into(),
            process: "door-0".into(),
            incarnation: 1,
            due_unix_ms: None,
            repeatable: true,
        };
        let mut chunks = Vec::new();
        for item in 0..items {
            let line = format!(
                "{{\"custom_id\":\"{item}\",\"url\":\"/services/pickup/x\",\"body\":{{\"t\":\"{body}\"}}}}\n"
            );
            chunks.extend(submission.push(line.as_bytes()).expect("an item"));
        }
        chunks.extend(submission.finish().expect("an item"));
        for (number, chunk) in chunks {
            self.store.apply(Acceptance::chunk_op(&params.upload, number, &chunk));
        }
        let mut acceptance = Acceptance::new(Now::new(self.now_ms, 0), &params, &submission);
        let mut step = acceptance.start();
        while let SubmissionStep::Store(op) = step {
            step = acceptance.handle_answer(self.store.apply(op));
        }
        if let SubmissionStep::Accepted { job, header, version, .. } = step {
            self.handle(LedgerInput::Owned { job, header, version });
        }
    }

    fn finish(&mut self) {
        while self.ledger.jobs().next().is_some() {
            for item in std::mem::take(&mut self.running) {
                let body = serde_json::json!({ "text": "y".repeat(BODY_BYTES) });
                let end = ItemEnd::Answered { status: 200, body };
                self.handle(LedgerInput::ItemEnded { item, end });
            }
            self.now_ms += TICK_MS;
            self.handle(LedgerInput::Tick);
        }
    }
}

fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|it| it.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
}

fn measure(jobs: usize, items: usize) {
    let mut bench = Bench::new();
    let started = Instant::now();
    let before_kb = resident_kb();
    for number in 0..jobs {
        bench.submit(number, items);
    }
    let accepted_us = started.elapsed().as_micros();
    let stored_kb =
        bench.store.objects.values().map(|it| it.value.len() as u64).sum::<u64>() / 1_024;
    let held_kb = resident_kb().saturating_sub(before_kb + stored_kb);
    let running_items = bench.running.len();
    let writes = bench.store.writes;
    let tick = Instant::now();
    bench.now_ms += TICK_MS;
    bench.handle(LedgerInput::Tick);
    let tick_us = tick.elapsed().as_micros();
    let started = Instant::now();
    bench.finish();
    let processed_us = started.elapsed().as_micros();
    let total = (jobs * items) as f64;
    println!(
        "{jobs:>6} {items:>8} {:>12.1} {:>12.1} {tick_us:>9} {running_items:>8} {held_kb:>9} {:>14.0}",
        accepted_us as f64 / total,
        processed_us as f64 / total,
        total / (bench.store.writes - writes) as f64,
    );
}

fn main() {
    println!(
        "{:>6} {:>8} {:>12} {:>12} {:>9} {:>8} {:>9} {:>14}",
        "jobs", "items", "us/accepted", "us/worked", "us/tick", "running", "held_kb", "items/write"
    );
    for (jobs, items) in [(10, 100), (100, 100), (1_000, 100)] {
        measure(jobs, items);
    }
    for items in [1_000, 10_000, 100_000] {
        measure(1, items);
    }
    measure(54, 5_000);
}
