//! Several processes append to the log of one job as its owner, while the store loses answers and calls take effect long
//! after they timed out. Positions must never change, no item may have two results, and a partial output that is read back
//! must be a prefix of the item's output.

use std::collections::BTreeMap;

use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, TestRng},
};
use samphiredoor_core::ordered::{
    ItemResult, LogStep, Outcome, OutputPart, PartialOutput, ResultLog,
};

use super::{
    property,
    store::{CallOutcome, Store, call_outcome},
};

const SEED: [u8; 32] = *b"samphiredoor-ordered-log-writers";
const WRITERS: usize = 3;
const ITEMS: u32 = 12;
const VERSIONS: [&str; 2] = ["v1", "v2"];

#[derive(Debug, Clone)]
enum Step {
    Push(usize, u32),
    /// The item emits one more event, which is pushed to the log.
    Output(usize, u32),
    /// The item is begun anew at a version.
    BeginAnew(usize, u32, usize),
    Call(usize, CallOutcome),
    ApplyDelayed,
    Reread(usize),
    Restart(usize),
}

struct Writer {
    log: ResultLog,
    /// Last step that the log returned.
    step: LogStep,
    /// Committed results at the last check.
    seen: Vec<ItemResult>,
    /// Last event of each item that this writer runs, and the version that runs it; `None` before the log is read.
    events: Option<BTreeMap<u32, (u64, usize)>>,
}

impl Writer {
    fn new() -> Writer {
        let mut log = ResultLog::unread("job".into());
        let step = log.step();
        Writer { log, step, seen: Vec::new(), events: None }
    }

    /// Runs an item for one more event, resuming from its saved output.
    fn emit_event(&mut self, item: u32) {
        if !self.log.is_caught_up() {
            return;
        }
        let log = &mut self.log;
        let events = self.events.get_or_insert_with(|| last_saved_events(log));
        let (last, version) = events.get(&item).copied().unwrap_or_default();
        let after = Some(last).filter(|it| *it > 0);
        events.insert(item, (last + 1, version));
        let text = event(version, last + 1);
        let version = Some(VERSIONS[version].into());
        log.push_output(OutputPart { item, after, last: last + 1, text, version });
    }

    /// Begins an item anew at a version.
    fn begin_anew(&mut self, item: u32, version: usize) {
        if self.log.is_caught_up() {
            let log = &mut self.log;
            let events = self.events.get_or_insert_with(|| last_saved_events(log));
            events.insert(item, (0, version));
        }
    }

    /// Checks that earlier reads are a prefix of the committed results.
    fn check_positions(&mut self) {
        let committed = self.log.committed();
        assert!(committed.starts_with(&self.seen), "a position changed");
        self.seen = committed.to_vec();
    }
}

fn event(version: usize, number: u64) -> String {
    format!("<{}-{number}>", VERSIONS[version])
}

/// Last event of each partial output that a log has read, and its version; checks that the output is complete up to it, and
/// by one version.
fn last_saved_events(log: &mut ResultLog) -> BTreeMap<u32, (u64, usize)> {
    let last = |(item, PartialOutput { last, text, version })| {
        let version = VERSIONS.iter().position(|it| version.as_deref() == Some(it));
        let version = version.expect("a version that was written");
        let whole: String = (1..=last).map(|it| event(version, it)).collect();
        assert_eq!(text, whole, "item {item}");
        (item, (last, version))
    };
    log.take_saved_outputs().into_iter().map(last).collect()
}

fn result(writer: usize, item: u32) -> ItemResult {
    ItemResult {
        item,
        id: format!("item-{item}").into(),
        outcome: Outcome::Completed,
        text: format!("by {writer}").into(),
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..WRITERS, 0..ITEMS).prop_map(|(writer, item)| Step::Push(writer, item)),
        4 => (0..WRITERS, 0..ITEMS).prop_map(|(writer, item)| Step::Output(writer, item)),
        1 => (0..WRITERS, 0..ITEMS, 0..VERSIONS.len())
            .prop_map(|(writer, item, version)| Step::BeginAnew(writer, item, version)),
        8 => (0..WRITERS, call_outcome()).prop_map(|(writer, outcome)| Step::Call(writer, outcome)),
        2 => Just(Step::ApplyDelayed),
        1 => (0..WRITERS).prop_map(Step::Reread),
        1 => (0..WRITERS).prop_map(Step::Restart),
    ]
}

fn call(store: &mut Store, writer: &mut Writer, outcome: CallOutcome) {
    store.call(&mut writer.log, &mut writer.step, outcome);
}

fn play(steps: Vec<Step>) {
    let mut store = Store::default();
    let mut writers: Vec<Writer> = (0..WRITERS).map(|_| Writer::new()).collect();
    for step in steps {
        match step {
            Step::Push(writer, item) => writers[writer].log.push(result(writer, item)),
            Step::Output(writer, item) => writers[writer].emit_event(item),
            Step::BeginAnew(writer, item, version) => writers[writer].begin_anew(item, version),
            Step::Call(writer, outcome) => call(&mut store, &mut writers[writer], outcome),
            Step::ApplyDelayed => {
                if let Some(op) = store.delayed.pop() {
                    store.apply(&op);
                }
            }
            Step::Reread(writer) if !matches!(writers[writer].step, LogStep::Store(_)) => {
                writers[writer].log.request_reread();
            }
            Step::Reread(_) => {}
            Step::Restart(writer) => writers[writer] = Writer::new(),
        }
        writers.iter_mut().for_each(Writer::check_positions);
    }
    for op in std::mem::take(&mut store.delayed) {
        store.apply(&op);
    }
    check_outputs(&mut store);
    check_completion(&mut store);
}

fn check_outputs(store: &mut Store) {
    let mut reader = Writer::new();
    while !reader.log.is_caught_up() {
        call(store, &mut reader, CallOutcome::Answered);
    }
    last_saved_events(&mut reader.log);
}

/// Checks that a new writer can finish the job, and that each item then has one result.
fn check_completion(store: &mut Store) {
    let mut last = Writer::new();
    for item in 0..ITEMS {
        last.log.push(result(WRITERS, item));
    }
    for _ in 0..200 {
        call(store, &mut last, CallOutcome::Answered);
    }
    let mut items: Vec<u32> = last.log.committed().iter().map(|it| it.item).collect();
    items.sort();
    assert_eq!(items, (0..ITEMS).collect::<Vec<u32>>());
}

#[test]
fn positions_never_change_with_concurrent_writers() {
    let mut runner = property::runner(600, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED));
    let steps = prop::collection::vec(step(), 1..150);
    runner
        .run(&steps, |steps| {
            play(steps);
            Ok(())
        })
        .unwrap();
}

// A process takes over a job while the former owner still appends. The next owner must read that segment before it answers
// a reader that there are no more results.
#[test]
fn a_reread_finds_a_segment_of_the_former_owner() {
    let mut store = Store::default();
    let (mut former, mut next) = (Writer::new(), Writer::new());
    call(&mut store, &mut next, CallOutcome::Answered);
    call(&mut store, &mut former, CallOutcome::Answered);
    former.log.push(result(0, 4));
    call(&mut store, &mut former, CallOutcome::Answered);
    assert!(next.log.committed().is_empty());
    next.log.request_reread();
    call(&mut store, &mut next, CallOutcome::Answered);
    assert_eq!(next.log.committed(), former.log.committed());
    assert!(next.log.take_other_writer_seen());
}

// An owner is killed while its items are half done. Their outputs so far are in the log in several parts, and the next owner
// resumes from the last committed one.
#[test]
fn partial_outputs_are_read_back_up_to_the_last_committed_part() {
    let mut store = Store::default();
    let mut owner = Writer::new();
    call(&mut store, &mut owner, CallOutcome::Answered);
    for events in [3, 2] {
        (0..events).for_each(|_| owner.emit_event(7));
        call(&mut store, &mut owner, CallOutcome::Answered);
    }
    owner.emit_event(7);
    let mut next = Writer::new();
    while !next.log.is_caught_up() {
        call(&mut store, &mut next, CallOutcome::Answered);
    }
    assert_eq!(last_saved_events(&mut next.log), BTreeMap::from([(7, (5, 0))]));
}

// An owner begins an item anew at another version, and a former one still appends what the first version writes. Guards
// against a saved text of two versions.
#[test]
fn parts_of_another_version_do_not_continue_a_text() {
    let mut store = Store::default();
    let (mut former, mut owner) = (Writer::new(), Writer::new());
    for writer in [&mut former, &mut owner] {
        call(&mut store, writer, CallOutcome::Answered);
    }
    let append = |store: &mut Store, writer: &mut Writer, events: u64| {
        (0..events).for_each(|_| writer.emit_event(7));
        (0..4).for_each(|_| call(store, writer, CallOutcome::Answered));
    };
    append(&mut store, &mut former, 2);
    owner.begin_anew(7, 1);
    append(&mut store, &mut owner, 2);
    append(&mut store, &mut former, 1);
    append(&mut store, &mut owner, 1);
    let mut next = Writer::new();
    while !next.log.is_caught_up() {
        call(&mut store, &mut next, CallOutcome::Answered);
    }
    assert_eq!(last_saved_events(&mut next.log), BTreeMap::from([(7, (3, 1))]));
}
