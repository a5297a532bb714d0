//! Revisions of the manifest under replays, races of operators, lost answers, and a store that is set back.

use std::{collections::BTreeSet, sync::Arc};

use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use samphiredoor_core::{
    manifest_revisions::{
        ActiveManifest, ChangeEnd, ChangeInput, ChangeStep, ManifestChange, PeerConfirmation,
        UpdateOutcome, decode_record, manifest_key,
    },
    store::{Labels, StoreAnswer, StoreOp, Stored, Value, Version},
};
use serde_json::json;

const DOORS: usize = 3;

/// Runner with a fixed seed; `SAMPHIREDOOR_CASES` lengthens the run.
fn runner() -> TestRunner {
    let cases = std::env::var("SAMPHIREDOOR_CASES").ok().and_then(|it| it.parse().ok());
    let config =
        Config { cases: cases.unwrap_or(512), failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// How the store treats the next call of a change.
#[derive(Debug, Clone, Copy)]
enum Answering {
    Well,
    /// Takes effect; the answer is lost.
    Loses,
    /// Refuses.
    Down,
    /// A read gives what stood before the last write.
    Stale,
}

#[derive(Debug, Clone)]
enum Step {
    Begin { door: usize, expects: bool },
    Go { change: usize, answering: Answering },
    Confirm { change: usize, by: usize },
    ConfirmFails { change: usize },
    Replay { door: usize, record: usize },
    SetBack { record: usize },
}

/// One object with a version, and all that it ever held.
#[derive(Default)]
struct Store {
    version: u64,
    current: Option<Value>,
    before: Option<(u64, Option<Value>)>,
    history: Vec<Value>,
}

impl Store {
    fn call(&mut self, op: StoreOp, answering: Answering) -> StoreAnswer {
        if matches!(answering, Answering::Down) {
            return StoreAnswer::Unavailable;
        }
        let write = op.is_write();
        let answer = match op {
            StoreOp::Get { .. } => match (answering, &self.before) {
                (Answering::Stale, Some((version, value))) => object(*version, value.as_ref()),
                _ => object(self.version, self.current.as_ref()),
            },
            StoreOp::Create { .. } if self.current.is_some() => StoreAnswer::Taken,
            StoreOp::Update { version, .. } if version.0 != self.version => StoreAnswer::Conflict,
            StoreOp::Create { value, .. } | StoreOp::Update { value, .. } => self.put(value),
            _ => StoreAnswer::Unavailable,
        };
        match answering {
            Answering::Loses if write => StoreAnswer::Unknown,
            Answering::Loses => StoreAnswer::Unavailable,
            _ => answer,
        }
    }

    fn put(&mut self, value: Value) -> StoreAnswer {
        self.before = Some((self.version, self.current.take()));
        self.version += 1;
        self.history.push(Arc::clone(&value));
        self.current = Some(value);
        object(self.version, self.current.as_ref())
    }
}

fn object(version: u64, value: Option<&Value>) -> StoreAnswer {
    match value {
        Some(value) => StoreAnswer::Object(Stored {
            name: manifest_key().name,
            version: Version(version),
            labels: Labels::new(),
            value: Arc::clone(value),
        }),
        None => StoreAnswer::Absent,
    }
}

struct Running {
    door: usize,
    writer: String,
    change: ManifestChange,
    next: Next,
    // Revision that the operator was told; it may be superseded by one on top of it.
    revision: u64,
}

enum Next {
    Call(StoreOp),
    Hold(Arc<[u8]>),
    Ended,
}

#[derive(Default)]
struct Model {
    store: Store,
    doors: [ActiveManifest; DOORS],
    highest: [u64; DOORS],
    changes: Vec<Running>,
    set_back: bool,
    told_no_effect: BTreeSet<String>,
}

impl Model {
    fn apply(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Begin { door, expects } => self.begin(door, expects),
            Step::Go { change, answering } => self.go(change, answering)?,
            Step::Confirm { change, by } => self.confirm(change, by)?,
            Step::ConfirmFails { change } => self.held(change, PeerConfirmation::Unconfirmed)?,
            Step::Replay { door, record } => {
                if let Some(record) = self.store.history.get(record).cloned() {
                    self.doors[door].update_if_newer(&record);
                }
            }
            Step::SetBack { record } => {
                if let Some(record) = self.store.history.get(record).cloned() {
                    self.set_back = true;
                    self.store.version += 1;
                    self.store.current = Some(record);
                }
            }
        }
        self.check()
    }

    fn begin(&mut self, door: usize, expects: bool) {
        let writer = format!("operator-{}", self.changes.len());
        let held = self.doors[door].revision();
        let declared = json!({ "services": [{ "name": writer.clone(), "kind": "plain" }] });
        let mut change =
            ManifestChange::new(writer.as_str().into(), declared, expects.then_some(held));
        let next = match change.step(ChangeInput::Start { held }) {
            ChangeStep::Call(op) => Next::Call(op),
            _ => Next::Ended,
        };
        self.changes.push(Running { door, writer, change, next, revision: 0 });
    }

    fn go(&mut self, number: usize, answering: Answering) -> Result<(), TestCaseError> {
        let Some(running) = self.changes.get_mut(number) else { return Ok(()) };
        let Next::Call(op) = &running.next else { return Ok(()) };
        let answer = self.store.call(op.clone(), answering);
        let step = running.change.step(ChangeInput::Stored(answer));
        self.next(number, step)
    }

    fn next(&mut self, number: usize, step: ChangeStep) -> Result<(), TestCaseError> {
        let running = &mut self.changes[number];
        running.next = match step {
            ChangeStep::Call(op) => Next::Call(op),
            ChangeStep::ApplyAndReplicate { record, .. } => {
                self.doors[running.door].update_if_newer(&record);
                Next::Hold(record)
            }
            ChangeStep::End(end) => {
                if let ChangeEnd::Conflict { .. } | ChangeEnd::Unavailable = end {
                    self.told_no_effect.insert(running.writer.clone());
                }
                if let ChangeEnd::Accepted { revision } = end {
                    running.revision = revision;
                }
                Next::Ended
            }
        };
        Ok(())
    }

    fn confirm(&mut self, number: usize, by: usize) -> Result<(), TestCaseError> {
        let Some(running) = self.changes.get_mut(number) else { return Ok(()) };
        let Next::Hold(record) = &running.next else { return Ok(()) };
        let record = Arc::clone(record);
        if by == running.door {
            return Ok(());
        }
        self.doors[by].update_if_newer(&record);
        let covered =
            [by, running.door].iter().all(|it| self.doors[*it].is_at_or_one_above(&record));
        self.held(
            number,
            if covered { PeerConfirmation::Confirmed } else { PeerConfirmation::Unconfirmed },
        )
    }

    fn held(&mut self, number: usize, confirmation: PeerConfirmation) -> Result<(), TestCaseError> {
        let Some(running) = self.changes.get_mut(number) else { return Ok(()) };
        let Next::Hold(record) = &running.next else { return Ok(()) };
        let record = Arc::clone(record);
        let step = running.change.step(ChangeInput::Replicated(confirmation));
        self.next(number, step)?;
        if self.changes[number].revision > 0 {
            let holding = self.doors.iter().filter(|it| it.is_at_or_one_above(&record)).count();
            prop_assert!(holding >= 2, "accepted, and only {holding} hold it");
        }
        Ok(())
    }

    fn check(&mut self) -> Result<(), TestCaseError> {
        for (door, highest) in self.doors.iter().zip(&mut self.highest) {
            prop_assert!(door.revision() >= *highest, "a revision went back");
            *highest = door.revision();
        }
        let mut writers = BTreeSet::new();
        let mut revisions = BTreeSet::new();
        for value in &self.store.history {
            let record = decode_record(value).map_err(TestCaseError::fail)?;
            prop_assert!(writers.insert(record.writer.clone()), "one change took effect twice");
            let told = self.told_no_effect.contains(&record.writer);
            prop_assert!(!told, "{} took effect though told not", record.writer);
            let once = revisions.insert(record.revision);
            prop_assert!(once || self.set_back, "two changes have revision {}", record.revision);
        }
        Ok(())
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let answering = prop_oneof![
        5 => Just(Answering::Well),
        2 => Just(Answering::Loses),
        1 => Just(Answering::Down),
        2 => Just(Answering::Stale),
    ];
    let step = prop_oneof![
        2 => (0..DOORS, any::<bool>()).prop_map(|(door, expects)| Step::Begin { door, expects }),
        6 => (0..6_usize, answering).prop_map(|(change, answering)| Step::Go { change, answering }),
        2 => (0..6_usize, 0..DOORS).prop_map(|(change, by)| Step::Confirm { change, by }),
        1 => (0..6_usize).prop_map(|change| Step::ConfirmFails { change }),
        1 => (0..DOORS, 0..6_usize).prop_map(|(door, record)| Step::Replay { door, record }),
        1 => (0..6_usize).prop_map(|record| Step::SetBack { record }),
    ];
    vec(step, 1..60)
}

/// An operator's change is undone, or done twice, or told as lost and done all the same. Operators race through three
/// doors, answers of the store are lost, reads are stale, old records are replayed, and the store is set back. The
/// cause would be a record taken without regard to its revision, or a lost write that is written again blindly.
#[test]
fn revisions_only_grow_and_each_change_takes_effect_as_told() {
    let holds = |steps: Vec<Step>| {
        let mut model = Model::default();
        steps.iter().try_for_each(|step| model.apply(step))
    };
    runner().run(&steps(), holds).expect("all cases hold");
}

/// An operator is told that a change may or may not stand, though a look would tell. The store took the write and lost
/// the answer, and the cause would be a door that does not know its own write again.
#[test]
fn a_lost_write_is_known_again_by_its_writer() {
    let mut change = ManifestChange::new("operator-0".into(), json!({}), None);
    let mut store = Store::default();
    let ChangeStep::Call(read) = change.step(ChangeInput::Start { held: 0 }) else { panic!() };
    let answer = store.call(read, Answering::Well);
    let ChangeStep::Call(write) = change.step(ChangeInput::Stored(answer)) else { panic!() };
    let answer = store.call(write, Answering::Loses);
    let ChangeStep::Call(read) = change.step(ChangeInput::Stored(answer)) else { panic!() };
    let answer = store.call(read, Answering::Well);
    let step = change.step(ChangeInput::Stored(answer));
    assert!(matches!(step, ChangeStep::ApplyAndReplicate { revision: 1, .. }), "{step:?}");
}

/// After the store was set back, the next change is lost on a fleet that holds higher revisions. The cause would be a
/// revision that follows on what the store holds alone.
#[test]
fn a_change_comes_above_what_the_store_and_the_fleet_hold() {
    let mut change = ManifestChange::new("operator-0".into(), json!({}), None);
    let mut store = Store::default();
    store.put(record(1, 5, "former").into());
    let ChangeStep::Call(read) = change.step(ChangeInput::Start { held: 9 }) else { panic!() };
    let answer = store.call(read, Answering::Well);
    let ChangeStep::Call(write) = change.step(ChangeInput::Stored(answer)) else { panic!() };
    let answer = store.call(write, Answering::Well);
    let step = change.step(ChangeInput::Stored(answer));
    assert!(matches!(step, ChangeStep::ApplyAndReplicate { revision: 10, .. }), "{step:?}");
}

fn record(format: u32, revision: u64, writer: &str) -> Vec<u8> {
    let record = json!({
        "format": format, "revision": revision, "writer": writer, "manifest": {},
    });
    serde_json::to_vec(&record).expect("JSON")
}

macro_rules! refused {
    ($($name:ident: $bytes:expr => $expected:pat,)*) => {
        $(
            #[test]
            fn $name() {
                let mut active = ActiveManifest::default();
                active.update_if_newer(&record(1, 5, "a"));
                let offered = active.update_if_newer($bytes.as_ref());
                assert!(matches!(offered, $expected), "{offered:?}");
                assert_eq!(active.revision(), 5);
            }
        )*
    };
}

refused! {
    an_older_revision_is_not_put_in_force: record(1, 4, "b") => UpdateOutcome::Older { revision: 4 },
    the_same_revision_with_other_content_is_told: record(1, 5, "b") => UpdateOutcome::Forked { .. },
    the_same_record_changes_nothing: record(1, 5, "a") => UpdateOutcome::AlreadyActive,
    a_record_of_a_newer_format_is_refused: record(2, 6, "b") => UpdateOutcome::Unusable(_),
    a_record_that_is_no_json_is_refused: b"{" => UpdateOutcome::Unusable(_),
    declarations_that_make_no_sense_are_refused:
        br#"{"revision":6,"writer":"b","manifest":{"services":[{"name":"A","kind":"plain"}]}}"#
        => UpdateOutcome::Unusable(_),
}
