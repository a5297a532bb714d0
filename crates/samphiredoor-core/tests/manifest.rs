//! Revisions of the manifest under replayed records, concurrent changes, lost answers of the store, stale reads, and a
//! store that is restored to an earlier state.

mod property;

use std::{collections::BTreeSet, sync::Arc};

use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{RngAlgorithm, TestRng, TestRunner},
};
use samphiredoor_core::{
    manifest_revisions::{
        ActiveManifest, ChangeEnd, ChangeInput, ChangeStep, ManifestChange, PeerConfirmation,
        UpdateOutcome, decode_record, manifest_key,
    },
    store::{Labels, StoreAnswer, StoreOp, Stored, Value, Version},
};
use serde_json::json;

const PROCESSES: usize = 3;

fn runner() -> TestRunner {
    property::runner(512, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// How the store handles the next call of a change.
#[derive(Debug, Clone, Copy)]
enum StoreBehaviour {
    Normal,
    /// The call takes effect, and its answer is lost.
    AnswerLost,
    /// The call has no effect.
    Unavailable,
    /// A read returns the value before the last write.
    Stale,
}

#[derive(Debug, Clone)]
enum Step {
    Start { process: usize, expects: bool },
    Continue { change: usize, behaviour: StoreBehaviour },
    Confirm { change: usize, by: usize },
    ConfirmFails { change: usize },
    Replay { process: usize, record: usize },
    RestoreStore { record: usize },
}

/// One object with a version, and the history of its values.
#[derive(Default)]
struct Store {
    version: u64,
    current: Option<Value>,
    before: Option<(u64, Option<Value>)>,
    history: Vec<Value>,
}

impl Store {
    fn call(&mut self, op: StoreOp, behaviour: StoreBehaviour) -> StoreAnswer {
        if matches!(behaviour, StoreBehaviour::Unavailable) {
            return StoreAnswer::Unavailable;
        }
        let write = op.is_write();
        let answer = match op {
            StoreOp::Get { .. } => match (behaviour, &self.before) {
                (StoreBehaviour::Stale, Some((version, value))) => object(*version, value.as_ref()),
                _ => object(self.version, self.current.as_ref()),
            },
            StoreOp::Create { .. } if self.current.is_some() => StoreAnswer::Taken,
            StoreOp::Update { version, .. } if version.0 != self.version => StoreAnswer::Conflict,
            StoreOp::Create { value, .. } | StoreOp::Update { value, .. } => self.put(value),
            _ => StoreAnswer::Unavailable,
        };
        match behaviour {
            StoreBehaviour::AnswerLost if write => StoreAnswer::Unknown,
            StoreBehaviour::AnswerLost => StoreAnswer::Unavailable,
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

struct RunningChange {
    process: usize,
    writer: String,
    change: ManifestChange,
    next: Next,
    // Revision that was reported as accepted, 0 before that. A later change may have replaced it already.
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
    processes: [ActiveManifest; PROCESSES],
    highest: [u64; PROCESSES],
    changes: Vec<RunningChange>,
    restored: bool,
    reported_no_effect: BTreeSet<String>,
}

impl Model {
    fn apply(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Start { process, expects } => self.start(process, expects),
            Step::Continue { change, behaviour } => self.advance(change, behaviour)?,
            Step::Confirm { change, by } => self.confirm(change, by)?,
            Step::ConfirmFails { change } => {
                self.end_replication(change, PeerConfirmation::Unconfirmed)?
            }
            Step::Replay { process, record } => {
                if let Some(record) = self.store.history.get(record).cloned() {
                    self.processes[process].update_if_newer(&record);
                }
            }
            Step::RestoreStore { record } => {
                if let Some(record) = self.store.history.get(record).cloned() {
                    self.restored = true;
                    self.store.version += 1;
                    self.store.current = Some(record);
                }
            }
        }
        self.check()
    }

    fn start(&mut self, process: usize, expects: bool) {
        let writer = format!("operator-{}", self.changes.len());
        let held = self.processes[process].revision();
        let declared = json!({ "services": [{ "name": writer.clone(), "kind": "plain" }] });
        let mut change =
            ManifestChange::new(writer.as_str().into(), declared, expects.then_some(held));
        let next = match change.step(ChangeInput::Start { held }) {
            ChangeStep::Call(op) => Next::Call(op),
            _ => Next::Ended,
        };
        self.changes.push(RunningChange { process, writer, change, next, revision: 0 });
    }

    fn advance(&mut self, number: usize, behaviour: StoreBehaviour) -> Result<(), TestCaseError> {
        let Some(running) = self.changes.get_mut(number) else { return Ok(()) };
        let Next::Call(op) = &running.next else { return Ok(()) };
        let answer = self.store.call(op.clone(), behaviour);
        let step = running.change.step(ChangeInput::Stored(answer));
        self.take_step(number, step)
    }

    fn take_step(&mut self, number: usize, step: ChangeStep) -> Result<(), TestCaseError> {
        let running = &mut self.changes[number];
        running.next = match step {
            ChangeStep::Call(op) => Next::Call(op),
            ChangeStep::ApplyAndReplicate { record, .. } => {
                self.processes[running.process].update_if_newer(&record);
                Next::Hold(record)
            }
            ChangeStep::End(end) => {
                if let ChangeEnd::Conflict { .. } | ChangeEnd::Unavailable = end {
                    self.reported_no_effect.insert(running.writer.clone());
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
        if by == running.process {
            return Ok(());
        }
        self.processes[by].update_if_newer(&record);
        let both_applied =
            [by, running.process].iter().all(|it| self.processes[*it].is_at_or_one_above(&record));
        self.end_replication(
            number,
            if both_applied { PeerConfirmation::Confirmed } else { PeerConfirmation::Unconfirmed },
        )
    }

    fn end_replication(
        &mut self,
        number: usize,
        confirmation: PeerConfirmation,
    ) -> Result<(), TestCaseError> {
        let Some(running) = self.changes.get_mut(number) else { return Ok(()) };
        let Next::Hold(record) = &running.next else { return Ok(()) };
        let record = Arc::clone(record);
        let step = running.change.step(ChangeInput::Replicated(confirmation));
        self.take_step(number, step)?;
        if self.changes[number].revision > 0 {
            let appliers =
                self.processes.iter().filter(|it| it.is_at_or_one_above(&record)).count();
            prop_assert!(appliers >= 2, "accepted, but only {appliers} processes have applied it");
        }
        Ok(())
    }

    fn check(&mut self) -> Result<(), TestCaseError> {
        for (process, highest) in self.processes.iter().zip(&mut self.highest) {
            prop_assert!(process.revision() >= *highest, "the active revision decreased");
            *highest = process.revision();
        }
        let mut writers = BTreeSet::new();
        let mut revisions = BTreeSet::new();
        for value in &self.store.history {
            let record = decode_record(value).map_err(TestCaseError::fail)?;
            prop_assert!(writers.insert(record.writer.clone()), "one change took effect twice");
            let reported = self.reported_no_effect.contains(&record.writer);
            prop_assert!(!reported, "{} took effect but was reported not to", record.writer);
            let once = revisions.insert(record.revision);
            prop_assert!(once || self.restored, "two changes have revision {}", record.revision);
        }
        Ok(())
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let behaviour = prop_oneof![
        5 => Just(StoreBehaviour::Normal),
        2 => Just(StoreBehaviour::AnswerLost),
        1 => Just(StoreBehaviour::Unavailable),
        2 => Just(StoreBehaviour::Stale),
    ];
    let step = prop_oneof![
        2 => (0..PROCESSES, any::<bool>()).prop_map(|(process, expects)| Step::Start { process, expects }),
        6 => (0..6_usize, behaviour).prop_map(|(change, behaviour)| Step::Continue { change, behaviour }),
        2 => (0..6_usize, 0..PROCESSES).prop_map(|(change, by)| Step::Confirm { change, by }),
        1 => (0..6_usize).prop_map(|change| Step::ConfirmFails { change }),
        1 => (0..PROCESSES, 0..6_usize).prop_map(|(process, record)| Step::Replay { process, record }),
        1 => (0..6_usize).prop_map(|record| Step::RestoreStore { record }),
    ];
    vec(step, 1..60)
}

/// Guards against a change that is undone, takes effect twice, or takes effect after it was reported not to. Operators
/// make concurrent changes through three processes, answers of the store are lost, reads are stale, old records are
/// replayed, and the store is restored to an earlier state. It happens if a record is applied regardless of its
/// revision, or if a write with unknown outcome is sent again without a read.
#[test]
fn revisions_only_grow_and_each_change_takes_effect_as_reported() {
    let holds = |steps: Vec<Step>| {
        let mut model = Model::default();
        steps.iter().try_for_each(|step| model.apply(step))
    };
    runner().run(&steps(), holds).expect("all cases hold");
}

/// Guards against an unknown outcome being reported to the operator although a read resolves it: the store made the
/// write and lost the answer, and the process has to recognise the record as its own.
#[test]
fn a_write_whose_answer_was_lost_is_recognised_by_its_writer() {
    let mut change = ManifestChange::new("operator-0".into(), json!({}), None);
    let mut store = Store::default();
    let ChangeStep::Call(read) = change.step(ChangeInput::Start { held: 0 }) else { panic!() };
    let answer = store.call(read, StoreBehaviour::Normal);
    let ChangeStep::Call(write) = change.step(ChangeInput::Stored(answer)) else { panic!() };
    let answer = store.call(write, StoreBehaviour::AnswerLost);
    let ChangeStep::Call(read) = change.step(ChangeInput::Stored(answer)) else { panic!() };
    let answer = store.call(read, StoreBehaviour::Normal);
    let step = change.step(ChangeInput::Stored(answer));
    assert!(matches!(step, ChangeStep::ApplyAndReplicate { revision: 1, .. }), "{step:?}");
}

/// Guards against a change that the fleet ignores because its active revision is higher: after the store was restored
/// to an earlier state, the next revision must not follow from the stored one alone.
#[test]
fn a_change_gets_a_revision_above_the_stored_and_the_active_one() {
    let mut change = ManifestChange::new("operator-0".into(), json!({}), None);
    let mut store = Store::default();
    store.put(record(1, 5, "former").into());
    let ChangeStep::Call(read) = change.step(ChangeInput::Start { held: 9 }) else { panic!() };
    let answer = store.call(read, StoreBehaviour::Normal);
    let ChangeStep::Call(write) = change.step(ChangeInput::Stored(answer)) else { panic!() };
    let answer = store.call(write, StoreBehaviour::Normal);
    let step = change.step(ChangeInput::Stored(answer));
    assert!(matches!(step, ChangeStep::ApplyAndReplicate { revision: 10, .. }), "{step:?}");
}

fn record(format: u32, revision: u64, writer: &str) -> Vec<u8> {
    let record = json!({
        "format": format, "revision": revision, "writer": writer, "manifest": {},
    });
    serde_json::to_vec(&record).expect("JSON")
}

macro_rules! not_applied {
    ($($name:ident: $bytes:expr => $expected:pat,)*) => {
        $(
            #[test]
            fn $name() {
                let mut active = ActiveManifest::default();
                active.update_if_newer(&record(1, 5, "a"));
                let outcome = active.update_if_newer($bytes.as_ref());
                assert!(matches!(outcome, $expected), "{outcome:?}");
                assert_eq!(active.revision(), 5);
            }
        )*
    };
}

not_applied! {
    an_older_revision_is_not_applied: record(1, 4, "b") => UpdateOutcome::Older { revision: 4 },
    the_same_revision_of_another_writer_is_reported: record(1, 5, "b") => UpdateOutcome::Forked { .. },
    the_same_record_changes_nothing: record(1, 5, "a") => UpdateOutcome::AlreadyActive,
    a_record_of_a_newer_format_is_refused: record(2, 6, "b") => UpdateOutcome::Unusable(_),
    a_record_that_is_not_json_is_refused: b"{" => UpdateOutcome::Unusable(_),
    invalid_declarations_are_refused:
        br#"{"revision":6,"writer":"b","manifest":{"services":[{"name":"A","kind":"plain"}]}}"#
        => UpdateOutcome::Unusable(_),
}
