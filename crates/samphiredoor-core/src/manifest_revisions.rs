//! Which revision of the manifest is in force, and how it is changed.
//!
//! The safety: a change is one conditional update of one object, and [`ActiveManifest`] takes only revisions above the one
//! it holds, whoever offers them: the store, a watch, a peer or an operator. Stale reads and replayed events thereby
//! change nothing. The speed: watchers and peers say that there is a newer revision.
//!
//! A change counts as accepted when it stands in the store and a second process holds it, so that it outlives the door
//! that accepted it even when the store is lost right after.

use std::sync::Arc;

use samphiredoor_schema::objects::ManifestRecord;

use crate::{
    Name,
    manifest::Manifest,
    store::{Kind, Labels, ObjectKey, StoreAnswer, StoreOp, Stored, Version},
};

/// Layout of the manifest's record that this version writes, and the highest that it reads.
pub const MANIFEST_FORMAT: u32 = 1;

const WRITE_TRIES: u32 = 3;

/// Key of the one manifest object.
pub fn manifest_key() -> ObjectKey {
    ObjectKey::new(Kind::Manifest, "current")
}

/// What became of a record that was offered.
#[derive(Debug, Clone, PartialEq)]
pub enum UpdateOutcome {
    /// It is in force from now on.
    Applied(Arc<Manifest>),
    /// It was in force already.
    AlreadyActive,
    /// A higher revision is in force.
    Older {
        /// Revision offered.
        revision: u64,
    },
    /// The revision in force has another content; the store must have been set back between the two writes.
    Forked {
        /// Revision of both.
        revision: u64,
    },
    /// It cannot be used, for this reason.
    Unusable(String),
}

#[derive(Debug)]
struct Held {
    revision: u64,
    writer: String,
    previous_writer: String,
    record: Arc<[u8]>,
}

/// The revision in force in one process.
#[derive(Debug, Default)]
pub struct ActiveManifest {
    held: Option<Held>,
}

impl ActiveManifest {
    /// Revision in force; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.held.as_ref().map_or(0, |it| it.revision)
    }

    /// Record of the revision in force, to be handed on.
    pub fn record(&self) -> Option<&Arc<[u8]>> {
        self.held.as_ref().map(|it| &it.record)
    }

    /// Whether what is in force is this record, or the change that came right on top of it.
    ///
    /// A higher revision alone does not say so: after the store was set back, a change can be given a revision that the
    /// fleet has left behind, and would be told as accepted though it is in force nowhere.
    pub fn is_at_or_one_above(&self, bytes: &[u8]) -> bool {
        let (Some(held), Ok(record)) = (&self.held, decode_record(bytes)) else { return false };
        match held.revision.checked_sub(record.revision) {
            Some(0) => held.writer == record.writer,
            Some(1) => held.previous_writer == record.writer,
            _ => false,
        }
    }

    /// Takes a record if its revision is above the one in force.
    pub fn update_if_newer(&mut self, bytes: &[u8]) -> UpdateOutcome {
        let record = match decode_record(bytes) {
            Ok(record) => record,
            Err(problem) => return UpdateOutcome::Unusable(problem),
        };
        let revision = record.revision;
        if let Some(held) = &self.held
            && revision <= held.revision
        {
            return match revision == held.revision {
                true if record.writer == held.writer => UpdateOutcome::AlreadyActive,
                true => UpdateOutcome::Forked { revision },
                false => UpdateOutcome::Older { revision },
            };
        }
        let manifest = match read_manifest(&record) {
            Ok(manifest) => Arc::new(manifest),
            Err(problem) => return UpdateOutcome::Unusable(problem),
        };
        let (writer, previous_writer) = (record.writer, record.previous_writer);
        self.held = Some(Held { revision, writer, previous_writer, record: bytes.into() });
        UpdateOutcome::Applied(manifest)
    }
}

/// Reads a manifest's record of a format that this version knows.
///
/// # Errors
///
/// What is wrong with it.
pub fn decode_record(bytes: &[u8]) -> Result<ManifestRecord, String> {
    let record: ManifestRecord = serde_json::from_slice(bytes).map_err(|err| err.to_string())?;
    if record.format > MANIFEST_FORMAT {
        return Err(format!("format {} is newer than {MANIFEST_FORMAT}", record.format));
    }
    if record.revision == 0 {
        return Err("revision 0 cannot be in force".to_owned());
    }
    Ok(record)
}

fn read_manifest(record: &ManifestRecord) -> Result<Manifest, String> {
    let declared =
        serde_json::from_value(record.manifest.clone()).map_err(|err| err.to_string())?;
    Manifest::new(record.revision, &declared).map_err(|err| err.to_string())
}

/// Who besides the accepting process holds a revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerConfirmation {
    /// At least one other process.
    Confirmed,
    /// No other process lives.
    NoPeers,
    /// Others live, and none of them confirmed it.
    Unconfirmed,
}

/// What happened to a change.
#[derive(Debug, Clone)]
pub enum ChangeInput {
    /// It begins; this revision is in force here.
    Start {
        /// Revision in force.
        held: u64,
    },
    /// The store answered.
    Stored(StoreAnswer),
    /// The peers answered.
    Replicated(PeerConfirmation),
}

/// What a change does next.
#[derive(Debug, Clone, PartialEq)]
pub enum ChangeStep {
    /// Make a store call.
    Call(StoreOp),
    /// Put the record in force here, and have peers hold it.
    ApplyAndReplicate {
        /// The record as stored.
        record: Arc<[u8]>,
        /// Its revision.
        revision: u64,
    },
    /// It ended.
    End(ChangeEnd),
}

/// How a change ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeEnd {
    /// It is accepted.
    Accepted {
        /// Its revision.
        revision: u64,
    },
    /// Another change was first; this one had no effect.
    Conflict {
        /// Revision that stands.
        revision: u64,
        /// Writer of that revision.
        winner: Name,
    },
    /// The store was not reachable; this change had no effect.
    Unavailable,
    /// The store stopped answering while it was written; it may have taken effect.
    MayBeWritten {
        /// Revision that it has if it took effect.
        revision: u64,
    },
    /// It stands in the store, but no other process confirmed that it holds it.
    WrittenUnconfirmed {
        /// Its revision.
        revision: u64,
    },
    /// The store takes no value of this size; this change had no effect.
    TooLarge,
    /// The stored manifest cannot be read, so it is not replaced.
    Unreadable(String),
}

#[derive(Debug)]
struct Write {
    revision: u64,
    op: StoreOp,
    record: Arc<[u8]>,
    tries: u32,
    doubtful: bool,
}

#[derive(Debug)]
enum State {
    Reading,
    Writing(Write),
    Rereading(Write),
    Holding { revision: u64 },
    Ended,
}

/// One operator's change of the manifest, from the first read to its acceptance.
#[derive(Debug)]
pub struct ManifestChange {
    writer: Name,
    expected: Option<u64>,
    declared: serde_json::Value,
    held: u64,
    state: State,
}

impl ManifestChange {
    /// Change by `writer`, a token that no other write has, to the declarations `declared`. With an expected revision
    /// it has no effect unless that revision is the last one.
    pub fn new(writer: Name, declared: serde_json::Value, expected: Option<u64>) -> ManifestChange {
        ManifestChange { writer, expected, declared, held: 0, state: State::Reading }
    }

    /// Takes one event; gives what to do next.
    pub fn step(&mut self, input: ChangeInput) -> ChangeStep {
        let state = std::mem::replace(&mut self.state, State::Ended);
        match (state, input) {
            (_, ChangeInput::Start { held }) => {
                self.held = held;
                self.state = State::Reading;
                ChangeStep::Call(StoreOp::Get { key: manifest_key() })
            }
            (State::Reading, ChangeInput::Stored(answer)) => self.read(answer),
            (State::Writing(write), ChangeInput::Stored(answer)) => self.written(write, answer),
            (State::Rereading(write), ChangeInput::Stored(answer)) => self.reread(write, answer),
            (State::Holding { revision }, ChangeInput::Replicated(confirmation)) => {
                ChangeStep::End(match confirmation {
                    PeerConfirmation::Confirmed | PeerConfirmation::NoPeers => {
                        ChangeEnd::Accepted { revision }
                    }
                    PeerConfirmation::Unconfirmed => ChangeEnd::WrittenUnconfirmed { revision },
                })
            }
            _ => ChangeStep::End(ChangeEnd::Unavailable),
        }
    }

    fn read(&mut self, answer: StoreAnswer) -> ChangeStep {
        let (stored, before) = match answer {
            StoreAnswer::Object(stored) => match decode_record(&stored.value) {
                Ok(record) => (Some(stored), Some(record)),
                Err(problem) => return ChangeStep::End(ChangeEnd::Unreadable(problem)),
            },
            StoreAnswer::Absent => (None, None),
            _ => return ChangeStep::End(ChangeEnd::Unavailable),
        };
        let stored_revision = before.as_ref().map_or(0, |it| it.revision);
        // After the store was set back, the fleet holds a higher revision; the next must be above both.
        let last = stored_revision.max(self.held);
        if self.expected.is_some_and(|it| it != last) {
            let winner = before.map(|it| it.writer).unwrap_or_default();
            return ChangeStep::End(ChangeEnd::Conflict { revision: last, winner: winner.into() });
        }
        self.write(Write::new(self, last + 1, stored.as_ref(), before))
    }

    fn write(&mut self, mut write: Write) -> ChangeStep {
        write.tries += 1;
        let op = write.op.clone();
        self.state = State::Writing(write);
        ChangeStep::Call(op)
    }

    fn hold(&mut self, write: Write) -> ChangeStep {
        let revision = write.revision;
        self.state = State::Holding { revision };
        ChangeStep::ApplyAndReplicate { record: write.record, revision }
    }

    fn written(&mut self, mut write: Write, answer: StoreAnswer) -> ChangeStep {
        match answer {
            StoreAnswer::Object(_) => self.hold(write),
            StoreAnswer::TooLarge => ChangeStep::End(ChangeEnd::TooLarge),
            // Only a read can tell whether the write that stands is this one.
            StoreAnswer::Conflict | StoreAnswer::Taken | StoreAnswer::Unknown => {
                write.doubtful |= answer == StoreAnswer::Unknown;
                self.state = State::Rereading(write);
                ChangeStep::Call(StoreOp::Get { key: manifest_key() })
            }
            _ => ChangeStep::End(unresolved(&write)),
        }
    }

    fn reread(&mut self, write: Write, answer: StoreAnswer) -> ChangeStep {
        let stored = match answer {
            StoreAnswer::Object(stored) => stored,
            StoreAnswer::Absent if write.tries < WRITE_TRIES => return self.write(write),
            _ => return ChangeStep::End(unresolved(&write)),
        };
        let Ok(record) = decode_record(&stored.value) else {
            return ChangeStep::End(unresolved(&write));
        };
        if record.writer == *self.writer {
            return self.hold(write);
        }
        if record.previous_writer == *self.writer {
            let revision = write.revision;
            return self.superseded(revision, stored, record);
        }
        if Some(stored.version) == write.version() {
            // The lost write has not taken effect. It is sent again as it was: of the two at most one can.
            return match write.tries < WRITE_TRIES {
                true => self.write(write),
                false => ChangeStep::End(unresolved(&write)),
            };
        }
        // The lost write may have stood for a while: others came on top of it, or the store was set back.
        if write.doubtful {
            return ChangeStep::End(unresolved(&write));
        }
        let winner = record.writer.into();
        ChangeStep::End(ChangeEnd::Conflict { revision: record.revision, winner })
    }

    // This change took effect and the next one came on top of it; holding the next one outlives both.
    fn superseded(&mut self, revision: u64, stored: Stored, record: ManifestRecord) -> ChangeStep {
        self.state = State::Holding { revision };
        ChangeStep::ApplyAndReplicate { record: stored.value, revision: record.revision }
    }
}

impl Write {
    fn new(
        change: &ManifestChange,
        revision: u64,
        stored: Option<&Stored>,
        before: Option<ManifestRecord>,
    ) -> Write {
        let (previous, previous_writer) = match before {
            Some(before) => (Some(before.manifest), before.writer),
            None => (None, String::new()),
        };
        let record = ManifestRecord {
            format: MANIFEST_FORMAT,
            revision,
            writer: change.writer.to_string(),
            manifest: change.declared.clone(),
            previous,
            previous_writer,
        };
        let value: Arc<[u8]> = serde_json::to_vec(&record).unwrap_or_default().into();
        let (key, labels, record) = (manifest_key(), Labels::new(), Arc::clone(&value));
        let op = match stored {
            Some(it) => StoreOp::Update { key, version: it.version, labels, value },
            None => StoreOp::Create { key, labels, value },
        };
        Write { revision, op, record, tries: 0, doubtful: false }
    }

    fn version(&self) -> Option<Version> {
        match &self.op {
            StoreOp::Update { version, .. } => Some(*version),
            _ => None,
        }
    }
}

fn unresolved(write: &Write) -> ChangeEnd {
    match write.doubtful {
        true => ChangeEnd::MayBeWritten { revision: write.revision },
        false => ChangeEnd::Unavailable,
    }
}
