//! Several processes believe that they own one job and append to its log. The store loses answers, and calls take effect
//! long after they were given up. Positions must never move, no item may stand twice, and an output that is read back is the
//! beginning of what its item puts out.

use std::{collections::BTreeMap, sync::Arc};

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use samphiredoor_core::{
    ordered::{ItemResult, LogStep, Outcome, OutputPart, PartialOutput, ResultLog},
    store::{Labels, StoreAnswer, StoreOp, Stored, Value, Version},
};

const SEED: [u8; 32] = *b"samphiredoor-ordered-log-writers";
const WRITERS: usize = 3;
const ITEMS: u32 = 12;

#[derive(Debug, Clone, Copy)]
enum Fate {
    /// Done and answered.
    Answered,
    /// Done, and the answer is lost.
    Unanswered,
    /// Not answered, and done later.
    Late,
    /// Refused.
    Refused,
}

#[derive(Debug, Clone)]
enum Step {
    Push(usize, u32),
    /// The item puts out one more event, which is given to the log.
    Output(usize, u32),
    Call(usize, Fate),
    TakeEffect,
    Reread(usize),
    Restart(usize),
}

#[derive(Default)]
struct Store {
    objects: BTreeMap<String, Value>,
    late: Vec<StoreOp>,
}

impl Store {
    fn apply(&mut self, op: &StoreOp) -> StoreAnswer {
        match op {
            StoreOp::Get { key } => match self.objects.get(&*key.name) {
                Some(value) => StoreAnswer::Object(stored(&key.name, value)),
                None => StoreAnswer::Absent,
            },
            StoreOp::Create { key, value, .. } => {
                if self.objects.contains_key(&*key.name) {
                    return StoreAnswer::Taken;
                }
                self.objects.insert(key.name.to_string(), value.clone());
                StoreAnswer::Object(stored(&key.name, value))
            }
            other => panic!("a log never makes {other:?}"),
        }
    }
}

fn stored(name: &str, value: &Value) -> Stored {
    let (name, value) = (Arc::from(name), value.clone());
    Stored { name, version: Version(1), labels: Labels::new(), value }
}

struct Writer {
    log: ResultLog,
    /// Call in hand, as its last step gave it.
    step: LogStep,
    seen: Vec<ItemResult>,
    /// Last event of each item that this writer runs; `None` before the log is read.
    events: Option<BTreeMap<u32, u64>>,
}

impl Writer {
    fn new() -> Writer {
        let mut log = ResultLog::unread("job".into());
        let step = log.step();
        Writer { log, step, seen: Vec::new(), events: None }
    }

    /// Runs an item for one event more, from what the log has kept of it on.
    fn output(&mut self, item: u32) {
        if !self.log.is_caught_up() {
            return;
        }
        let log = &mut self.log;
        let events = self.events.get_or_insert_with(|| last_events(log));
        let after = events.get(&item).copied();
        let last = after.unwrap_or(0) + 1;
        events.insert(item, last);
        log.push_output(OutputPart { item, after, last, text: event(last) });
    }

    /// What a reader was told stays a beginning of what stands.
    fn check(&mut self) {
        let standing = self.log.committed();
        assert!(standing.starts_with(&self.seen), "a position moved");
        self.seen = standing.to_vec();
    }
}

fn event(number: u64) -> String {
    format!("<{number}>")
}

/// Last events of the outputs that a log has kept, each of which has to be whole up to there.
fn last_events(log: &mut ResultLog) -> BTreeMap<u32, u64> {
    let last = |(item, PartialOutput { last, text })| {
        assert_eq!(text, (1..=last).map(event).collect::<String>(), "item {item}");
        (item, last)
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
    let fate = prop::sample::select(vec![
        Fate::Answered,
        Fate::Answered,
        Fate::Answered,
        Fate::Unanswered,
        Fate::Late,
        Fate::Refused,
    ]);
    prop_oneof![
        4 => (0..WRITERS, 0..ITEMS).prop_map(|(writer, item)| Step::Push(writer, item)),
        4 => (0..WRITERS, 0..ITEMS).prop_map(|(writer, item)| Step::Output(writer, item)),
        8 => (0..WRITERS, fate).prop_map(|(writer, fate)| Step::Call(writer, fate)),
        2 => Just(Step::TakeEffect),
        1 => (0..WRITERS).prop_map(Step::Reread),
        1 => (0..WRITERS).prop_map(Step::Restart),
    ]
}

fn call(store: &mut Store, writer: &mut Writer, fate: Fate) {
    if !matches!(writer.step, LogStep::Store(_)) {
        writer.step = writer.log.step();
    }
    let LogStep::Store(op) = writer.step.clone() else { return };
    let answer = match fate {
        Fate::Answered => store.apply(&op),
        Fate::Unanswered => {
            store.apply(&op);
            StoreAnswer::Unknown
        }
        Fate::Late => {
            store.late.push(op);
            StoreAnswer::Unknown
        }
        Fate::Refused => StoreAnswer::Unavailable,
    };
    writer.step = writer.log.answered(&answer);
}

fn play(steps: Vec<Step>) {
    let mut store = Store::default();
    let mut writers: Vec<Writer> = (0..WRITERS).map(|_| Writer::new()).collect();
    for step in steps {
        match step {
            Step::Push(writer, item) => writers[writer].log.push(result(writer, item)),
            Step::Output(writer, item) => writers[writer].output(item),
            Step::Call(writer, fate) => call(&mut store, &mut writers[writer], fate),
            Step::TakeEffect => {
                if let Some(op) = store.late.pop() {
                    store.apply(&op);
                }
            }
            Step::Reread(writer) if !matches!(writers[writer].step, LogStep::Store(_)) => {
                writers[writer].log.request_reread();
            }
            Step::Reread(_) => {}
            Step::Restart(writer) => writers[writer] = Writer::new(),
        }
        writers.iter_mut().for_each(Writer::check);
    }
    for op in std::mem::take(&mut store.late) {
        store.apply(&op);
    }
    check_outputs(&mut store);
    check_end(&mut store);
}

fn check_outputs(store: &mut Store) {
    let mut reader = Writer::new();
    while !reader.log.is_caught_up() {
        call(store, &mut reader, Fate::Answered);
    }
    last_events(&mut reader.log);
}

/// Whoever reads all at the end finds each item once, and can finish the job.
fn check_end(store: &mut Store) {
    let mut last = Writer::new();
    for item in 0..ITEMS {
        last.log.push(result(WRITERS, item));
    }
    for _ in 0..200 {
        call(store, &mut last, Fate::Answered);
    }
    let mut items: Vec<u32> = last.log.committed().iter().map(|it| it.item).collect();
    items.sort();
    assert_eq!(items, (0..ITEMS).collect::<Vec<u32>>());
}

#[test]
fn positions_never_move_whoever_writes() {
    let cases = std::env::var("SAMPHIREDOOR_CASES").ok().and_then(|it| it.parse().ok());
    let config =
        Config { cases: cases.unwrap_or(600), failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec(step(), 1..150);
    runner
        .run(&steps, |steps| {
            play(steps);
            Ok(())
        })
        .unwrap();
}

// A job is taken while its former owner still appends. The next owner must find that segment before it tells a reader
// that there is no more.
#[test]
fn a_reread_finds_what_a_former_owner_appended() {
    let mut store = Store::default();
    let (mut former, mut next) = (Writer::new(), Writer::new());
    call(&mut store, &mut next, Fate::Answered);
    call(&mut store, &mut former, Fate::Answered);
    former.log.push(result(0, 4));
    call(&mut store, &mut former, Fate::Answered);
    assert!(next.log.committed().is_empty());
    next.log.request_reread();
    call(&mut store, &mut next, Fate::Answered);
    assert_eq!(next.log.committed(), former.log.committed());
    assert!(next.log.take_other_writer_seen());
}

// An owner is killed while its items are half done. What they had put out stands in the log, in several parts, and the next
// owner goes on from there.
#[test]
fn outputs_are_read_back_as_far_as_they_stand() {
    let mut store = Store::default();
    let mut owner = Writer::new();
    call(&mut store, &mut owner, Fate::Answered);
    for events in [3, 2] {
        (0..events).for_each(|_| owner.output(7));
        call(&mut store, &mut owner, Fate::Answered);
    }
    owner.output(7);
    let mut next = Writer::new();
    while !next.log.is_caught_up() {
        call(&mut store, &mut next, Fate::Answered);
    }
    assert_eq!(last_events(&mut next.log), BTreeMap::from([(7, 5)]));
}
