//! Time per event and memory per request or target of the dispatcher, at several numbers of targets and of requests in
//! flight.
//!
//! `cargo run --release -p samphiredoor-core --example dispatch_slope`

use std::{
    collections::{BTreeMap, VecDeque},
    hint::black_box,
    sync::Arc,
    time::Instant,
};

use samphiredoor_core::{
    Name,
    dispatch::{Action, AttemptEnd, Class, Dispatcher, Input, Location, RequestId, RequestSpec},
    manifest::Manifest,
    time::Now,
};
use serde_json::json;

const ROUNDS: u64 = 100_000;
const PAGE_BYTES: f64 = 4_096.0;
const PROCESS: u64 = 1;
const REGIONS: [&str; ZONES] = ["a", "a", "a", "b", "b", "c", "c"];
const ZONES: usize = 7;
const NOW: Now = Now { mono_ms: 1_000, unix_ms: 0 };

fn manifest(revision: u64, targets: usize, limit: usize) -> Arc<Manifest> {
    let target = |it: usize| {
        json!({
            "name": format!("target-{it}"),
            "service": "small",
            "address": "127.0.0.1:1",
            "region": REGIONS[it % ZONES],
            "availability_zone": format!("zone-{}", it % ZONES),
            "owner": "owner",
            "concurrency_limit": limit,
            "loan_limit": limit / 2,
        })
    };
    let declared = json!({
        "services": [{ "name": "small", "kind": "engine" }],
        "targets": (0..targets).map(target).collect::<Vec<_>>(),
    });
    let declared = serde_json::from_value(declared).expect("the declarations match the schema");
    Arc::new(Manifest::new(revision, &declared).expect("the declarations are valid"))
}

fn location(zone: usize) -> Location {
    Location {
        region: REGIONS[zone % ZONES].into(),
        availability_zone: format!("zone-{}", zone % ZONES).into(),
    }
}

fn request_spec(request: u64, class: Class) -> RequestSpec {
    RequestSpec {
        request: RequestId(request),
        class,
        service: "small".into(),
        workspace: format!("workspace-{}", request % 100).into(),
        deadline_ms: 1_000_000,
        repeatable: true,
        prefix_hash: request,
        fingerprint: 0,
        body_bytes: 100,
        job: "job".into(),
        due_unix_ms: None,
    }
}

fn resident_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|it| it.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

struct Run {
    dispatcher: Dispatcher,
    in_flight: VecDeque<u64>,
    next: u64,
    out: Vec<Action>,
}

impl Run {
    fn new(targets: usize, in_flight: usize) -> Run {
        let mut run = Run {
            dispatcher: Dispatcher::new(location(0), PROCESS),
            in_flight: VecDeque::new(),
            next: 0,
            out: Vec::new(),
        };
        let limit = 2 * in_flight.div_ceil(targets.min(36)).max(1);
        run.handle(Input::Manifest(manifest(1, targets, limit)));
        while run.in_flight.len() < in_flight {
            run.start_online();
        }
        run
    }

    fn handle(&mut self, input: Input) {
        self.out.clear();
        self.dispatcher.handle(NOW, input, &mut self.out);
        black_box(&self.out);
    }

    fn start_online(&mut self) {
        let request = self.next;
        self.next += 1;
        self.handle(Input::Request(request_spec(request, Class::Online)));
        self.in_flight.push_back(request);
    }

    fn end_oldest(&mut self) {
        if let Some(request) = self.in_flight.pop_front() {
            self.handle(Input::AttemptEnded {
                request: RequestId(request),
                end: AttemptEnd::Completed,
            });
        }
    }

    /// Mean time of `event`, in nanoseconds.
    fn mean_ns(&mut self, rounds: u64, mut event: impl FnMut(&mut Run)) -> f64 {
        let start = Instant::now();
        for _ in 0..rounds {
            event(self);
        }
        start.elapsed().as_nanos() as f64 / rounds as f64
    }
}

/// Mean growth of the resident memory per value, over `count` values that `make` creates. They are never freed, so that
/// the next measurement does not reuse their memory.
fn bytes_each<T>(count: usize, mut make: impl FnMut() -> T) -> f64 {
    let before = resident_bytes();
    let held: Vec<T> = (0..count).map(|_| make()).collect();
    let grown = resident_bytes() - before;
    std::mem::forget(held);
    grown / count as f64
}

fn main() {
    measure_memory();
    println!(
        "{:>7} {:>9} {:>12} {:>8} {:>8} {:>14}",
        "targets", "in flight", "ask+end ns", "load ns", "tick ns", "with items ns"
    );
    for targets in [10, 100, 1_000] {
        for in_flight in [100, 1_000, 10_000] {
            measure(targets, in_flight);
        }
    }
    measure_subsets();
    println!("{:>7} {:>14}", "targets", "manifest us");
    for targets in [10, 100, 1_000, 4_500] {
        measure_manifest(targets);
    }
}

// Runs first: memory that was freed before would be reused and not counted.
fn measure_memory() {
    const TARGETS: usize = 4_500;
    let manifest_bytes = bytes_each(20, || manifest(1, TARGETS, 8));
    println!("bytes of a declared target: {:.0}", manifest_bytes / TARGETS as f64);
    let shared = manifest(1, TARGETS, 8);
    let dispatcher_bytes = bytes_each(200, || {
        let mut dispatcher = Dispatcher::new(location(0), PROCESS);
        dispatcher.handle(NOW, Input::Manifest(Arc::clone(&shared)), &mut Vec::new());
        dispatcher
    });
    println!("bytes of a dispatcher without requests: {dispatcher_bytes:.0}");
    const REQUESTS: u64 = 100_000;
    let mut run = Run::new(100, 0);
    run.handle(Input::Manifest(manifest(2, 100, 10_000)));
    let online_bytes = bytes_each(1, || (0..REQUESTS).for_each(|_| run.start_online()));
    println!("bytes of a request in flight: {:.0}", online_bytes / REQUESTS as f64);
    let mut run = Run::new(100, 0);
    run.handle(Input::Manifest(manifest(2, 0, 1)));
    const ITEMS: u64 = 8_000;
    let batch_bytes = bytes_each(1, || {
        for item in 0..ITEMS {
            let mut spec = request_spec(item, Class::Batch);
            spec.job = format!("job-{}", item / 500).into();
            run.handle(Input::Request(spec));
        }
    });
    println!("bytes of an item that waits: {:.0}", batch_bytes / ITEMS as f64);
}

fn measure(targets: usize, in_flight: usize) {
    let mut run = Run::new(targets, in_flight);
    let request_ns = run.mean_ns(ROUNDS, |it| {
        it.start_online();
        it.end_oldest();
    });
    let name = run.dispatcher.targets_in_use().next().map(|it| Name::clone(it.0));
    let target = name.expect("a target is in use");
    let load_ns = run.mean_ns(ROUNDS, |it| {
        let target = Name::clone(&target);
        it.handle(Input::LoadReport { target, running: 1, waiting: 0 });
    });
    let tick_ns = run.mean_ns(ROUNDS, |it| it.handle(Input::Tick));
    // Queued batch items must not slow down the events of online requests, so no event may scan all of them.
    for request in 0..400 {
        run.handle(Input::Request(request_spec(1_000_000_000 + request, Class::Batch)));
    }
    let batch_ns = run.mean_ns(ROUNDS, |it| {
        it.start_online();
        it.end_oldest();
    });
    println!(
        "{targets:>7} {in_flight:>9} {request_ns:>12.0} {load_ns:>8.0} {tick_ns:>8.0} {batch_ns:>14.0}"
    );
}

/// Prints the distribution of how many of 920 processes use each of the 1,125 targets of a service.
fn measure_subsets() {
    const PROCESSES: usize = 920;
    let shared = manifest(1, 1_125, 8);
    let mut users = BTreeMap::<Name, usize>::new();
    for process in 0..PROCESSES {
        let mut dispatcher = Dispatcher::new(location(process), process as u64);
        dispatcher.handle(NOW, Input::Manifest(Arc::clone(&shared)), &mut Vec::new());
        for (name, ..) in dispatcher.targets_in_use() {
            *users.entry(Name::clone(name)).or_default() += 1;
        }
    }
    let mut counts: Vec<usize> = users.into_values().collect();
    counts.sort_unstable();
    let at = |share: f64| counts[(share * (counts.len() - 1) as f64) as usize];
    let mean = counts.iter().sum::<usize>() as f64 / counts.len() as f64;
    println!(
        "processes that use a target: mean {mean:.1}, least {}, 5% {}, 95% {}, most {}; unused {}",
        at(0.0),
        at(0.05),
        at(0.95),
        at(1.0),
        1_125 - counts.len(),
    );
}

fn measure_manifest(targets: usize) {
    let mut run = Run::new(targets, 0);
    let next: Vec<_> = (2..12).map(|it| manifest(it, targets, 8)).collect();
    let start = Instant::now();
    for manifest in &next {
        run.handle(Input::Manifest(Arc::clone(manifest)));
    }
    let apply_us = start.elapsed().as_micros() as f64 / next.len() as f64;
    println!("{targets:>7} {apply_us:>14.0}");
}
