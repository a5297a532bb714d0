//! The active revision of the manifest, and changes to it.
//!
//! A change is one conditional update of one object. [`ActiveManifest`] applies only revisions above the active one,
//! whether they come from the store, a watch, a peer or an operator, so stale reads and replayed events change nothing.
//! Watches and peers announce new revisions early; correctness does not depend on them.
//!
//! A change is accepted when it is stored and a second process has applied it, if there is one. So it survives the loss
//! of the process that accepted it, even if the store is lost right after.

use std::sync::Arc;

use samphiredoor_schema::objects::ManifestRecord;

use crate::{
    Name,
    manifest::Manifest,
    store::{Kind, Labels, ObjectKey, StoreAnswer, StoreOp, Stored, Version},
};

/// Format of the manifest record that this version writes, and the highest that it reads.
pub const MANIFEST_FORMAT: u32 = 1;

const MAX_WRITE_TRIES: u32 = 3;

/// Key of the manifest, which is one object in the store.
pub fn manifest_key() -> ObjectKey {
    ObjectKey::new(Kind::Manifest, "current")
}

/// Result of [`ActiveManifest::update_if_newer`].
#[derive(Debug, Clone, PartialEq)]
pub enum UpdateOutcome {
    /// The record was applied and is now active.
    Applied(Arc<Manifest>),
    /// The record was active already.
    AlreadyActive,
    /// A higher revision is active.
    Older {
        /// Revision of the record.
        revision: u64,
    },
    /// The active manifest has the same revision but another writer. The store must have been restored to an earlier
    /// state between the two writes.
    Forked {
        /// Revision of both.
        revision: u64,
    },
    /// The record is not valid, for this reason.
    Unusable(String),
}

#[derive(Debug)]
struct ActiveRecord {
    revision: u64,
    writer: String,
    previous_writer: String,
    record: Arc<[u8]>,
}

/// The active revision in one process.
#[derive(Debug, Default)]
pub struct ActiveManifest {
    active: Option<ActiveRecord>,
}

impl ActiveManifest {
    /// Active revision; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.active.as_ref().map_or(0, |it| it.revision)
    }

    /// Record of the active revision, to be forwarded to peers.
    pub fn record(&self) -> Option<&Arc<[u8]>> {
        self.active.as_ref().map(|it| &it.record)
    }

    /// Whether the active revision is this record, or the change that directly followed it.
    ///
    /// A higher revision alone is not enough: after the store was restored to an earlier state, a change can get a
    /// revision that the fleet has already passed, and would be reported as accepted though it is active nowhere.
    pub fn is_at_or_one_above(&self, bytes: &[u8]) -> bool {
        let (Some(active), Ok(record)) = (&self.active, decode_record(bytes)) else { return false };
        match active.revision.checked_sub(record.revision) {
            Some(0) => active.writer == record.writer,
            Some(1) => active.previous_writer == record.writer,
            _ => false,
        }
    }

    /// Applies a record if its revision is above the active one.
    pub fn update_if_newer(&mut self, bytes: &[u8]) -> UpdateOutcome {
        let record = match decode_record(bytes) {
            Ok(record) => record,
            Err(problem) => return UpdateOutcome::Unusable(problem),
        };
        let revision = record.revision;
        if let Some(active) = &self.active
            && revision <= active.revision
        {
            return match revision == active.revision {
                true if record.writer == active.writer => UpdateOutcome::AlreadyActive,
                true => UpdateOutcome::Forked { revision },
                false => UpdateOutcome::Older { revision },
            };
        }
        let manifest = match decode_manifest(&record) {
            Ok(manifest) => Arc::new(manifest),
            Err(problem) => return UpdateOutcome::Unusable(problem),
        };
        let (writer, previous_writer) = (record.writer, record.previous_writer);
        self.active =
            Some(ActiveRecord { revision, writer, previous_writer, record: bytes.into() });
        UpdateOutcome::Applied(manifest)
    }
}

/// Decodes a manifest record.
///
/// # Errors
///
/// The record is not valid JSON, has a newer format, or has revision 0.
pub fn decode_record(bytes: &[u8]) -> Result<ManifestRecord, String> {
    let record: ManifestRecord = serde_json::from_slice(bytes).map_err(|err| err.to_string())?;
    if record.format > MANIFEST_FORMAT {
        return Err(format!("format {} is newer than {MANIFEST_FORMAT}", record.format));
    }
    if record.revision == 0 {
        return Err("revision 0 is not valid; revisions start at 1".to_owned());
    }
    Ok(record)
}

fn decode_manifest(record: &ManifestRecord) -> Result<Manifest, String> {
    let declared =
        serde_json::from_value(record.manifest.clone()).map_err(|err| err.to_string())?;
    Manifest::new(record.revision, &declared).map_err(|err| err.to_string())
}

/// Whether another process has confirmed that it applied a revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerConfirmation {
    /// At least one other process has.
    Confirmed,
    /// No other process is live.
    NoPeers,
    /// Other processes are live, and none of them has.
    Unconfirmed,
}

/// Events that a change handles.
#[derive(Debug, Clone)]
pub enum ChangeInput {
    /// The change begins.
    Start {
        /// Active revision in this process.
        held: u64,
    },
    /// Answer of the store to the last call.
    Stored(StoreAnswer),
    /// Result of replicating the record to peers.
    Replicated(PeerConfirmation),
}

/// Next step of a change.
#[derive(Debug, Clone, PartialEq)]
pub enum ChangeStep {
    /// Make a store call.
    Call(StoreOp),
    /// Apply the record in this process, and have peers apply it.
    ApplyAndReplicate {
        /// The record as stored.
        record: Arc<[u8]>,
        /// Revision of the record.
        revision: u64,
    },
    /// The change has ended.
    End(ChangeEnd),
}

/// Outcome of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeEnd {
    /// The change is stored, and a peer has applied it or there is none.
    Accepted {
        /// Revision of the change.
        revision: u64,
    },
    /// Another change came first; this one had no effect.
    Conflict {
        /// Latest revision.
        revision: u64,
        /// Writer of that revision.
        winner: Name,
    },
    /// The store was not reachable; this change had no effect.
    Unavailable,
    /// The store did not answer the write; the change may have taken effect.
    MayBeWritten {
        /// Revision of the change if it took effect.
        revision: u64,
    },
    /// The change is stored, but no other process confirmed that it applied it.
    WrittenUnconfirmed {
        /// Revision of the change.
        revision: u64,
    },
    /// The record is larger than the store accepts; this change had no effect.
    TooLarge,
    /// The stored manifest cannot be decoded, so it is not replaced.
    Unreadable(String),
}

#[derive(Debug)]
struct Write {
    revision: u64,
    op: StoreOp,
    record: Arc<[u8]>,
    tries: u32,
    unknown_outcome: bool,
}

#[derive(Debug)]
enum State {
    Reading,
    Writing(Write),
    ReadingAgain(Write),
    Replicating { revision: u64 },
    Ended,
}

/// One operator's change of the manifest, from the first read to its acceptance.
#[derive(Debug)]
pub struct ManifestChange {
    writer: Name,
    expected: Option<u64>,
    declared: serde_json::Value,
    /// Active revision in this process when the change began.
    active_revision: u64,
    state: State,
}

impl ManifestChange {
    /// Change to the declarations `declared`. `writer` is a token that identifies this change and that no other change
    /// has. With an expected revision, the change has no effect unless that revision is the latest one.
    pub fn new(writer: Name, declared: serde_json::Value, expected: Option<u64>) -> ManifestChange {
        ManifestChange { writer, expected, declared, active_revision: 0, state: State::Reading }
    }

    /// Handles one event and returns the next step.
    pub fn step(&mut self, input: ChangeInput) -> ChangeStep {
        let state = std::mem::replace(&mut self.state, State::Ended);
        match (state, input) {
            (_, ChangeInput::Start { held }) => {
                self.active_revision = held;
                self.state = State::Reading;
                ChangeStep::Call(StoreOp::Get { key: manifest_key() })
            }
            (State::Reading, ChangeInput::Stored(answer)) => self.read(answer),
            (State::Writing(write), ChangeInput::Stored(answer)) => self.written(write, answer),
            (State::ReadingAgain(write), ChangeInput::Stored(answer)) => {
                self.read_again(write, answer)
            }
            (State::Replicating { revision }, ChangeInput::Replicated(confirmation)) => {
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
        let (stored, previous) = match answer {
            StoreAnswer::Object(stored) => match decode_record(&stored.value) {
                Ok(record) => (Some(stored), Some(record)),
                Err(problem) => return ChangeStep::End(ChangeEnd::Unreadable(problem)),
            },
            StoreAnswer::Absent => (None, None),
            _ => return ChangeStep::End(ChangeEnd::Unavailable),
        };
        let stored_revision = previous.as_ref().map_or(0, |it| it.revision);
        // After the store was restored to an earlier state, the fleet has a higher revision; the next one must be above
        // both.
        let last = stored_revision.max(self.active_revision);
        if self.expected.is_some_and(|it| it != last) {
            let winner = previous.map(|it| it.writer).unwrap_or_default();
            return ChangeStep::End(ChangeEnd::Conflict { revision: last, winner: winner.into() });
        }
        self.write(Write::new(self, last + 1, stored.as_ref(), previous))
    }

    fn write(&mut self, mut write: Write) -> ChangeStep {
        write.tries += 1;
        let op = write.op.clone();
        self.state = State::Writing(write);
        ChangeStep::Call(op)
    }

    fn replicate(&mut self, write: Write) -> ChangeStep {
        let revision = write.revision;
        self.state = State::Replicating { revision };
        ChangeStep::ApplyAndReplicate { record: write.record, revision }
    }

    fn written(&mut self, mut write: Write, answer: StoreAnswer) -> ChangeStep {
        match answer {
            StoreAnswer::Object(_) => self.replicate(write),
            StoreAnswer::TooLarge => ChangeStep::End(ChangeEnd::TooLarge),
            // Only a read shows whether the stored record is that of this change.
            StoreAnswer::Conflict | StoreAnswer::Taken | StoreAnswer::Unknown => {
                write.unknown_outcome |= answer == StoreAnswer::Unknown;
                self.state = State::ReadingAgain(write);
                ChangeStep::Call(StoreOp::Get { key: manifest_key() })
            }
            _ => ChangeStep::End(failed_outcome(&write)),
        }
    }

    fn read_again(&mut self, write: Write, answer: StoreAnswer) -> ChangeStep {
        let stored = match answer {
            StoreAnswer::Object(stored) => stored,
            StoreAnswer::Absent if write.tries < MAX_WRITE_TRIES => return self.write(write),
            _ => return ChangeStep::End(failed_outcome(&write)),
        };
        let Ok(record) = decode_record(&stored.value) else {
            return ChangeStep::End(failed_outcome(&write));
        };
        if record.writer == *self.writer {
            return self.replicate(write);
        }
        if record.previous_writer == *self.writer {
            let revision = write.revision;
            return self.replicate_next(revision, stored, record);
        }
        if Some(stored.version) == write.version() {
            // The write with unknown outcome has not taken effect. It is sent again with the same expected version, so
            // that at most one of the two can.
            return match write.tries < MAX_WRITE_TRIES {
                true => self.write(write),
                false => ChangeStep::End(failed_outcome(&write)),
            };
        }
        // The write with unknown outcome may have taken effect before others followed it or the store was restored.
        if write.unknown_outcome {
            return ChangeStep::End(failed_outcome(&write));
        }
        let winner = record.writer.into();
        ChangeStep::End(ChangeEnd::Conflict { revision: record.revision, winner })
    }

    // This change took effect and the next one followed it; replicating the next one secures both.
    fn replicate_next(
        &mut self,
        revision: u64,
        stored: Stored,
        record: ManifestRecord,
    ) -> ChangeStep {
        self.state = State::Replicating { revision };
        ChangeStep::ApplyAndReplicate { record: stored.value, revision: record.revision }
    }
}

impl Write {
    fn new(
        change: &ManifestChange,
        revision: u64,
        stored: Option<&Stored>,
        replaced: Option<ManifestRecord>,
    ) -> Write {
        let (previous, previous_writer) = match replaced {
            Some(replaced) => (Some(replaced.manifest), replaced.writer),
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
        let record = Arc::clone(&value);
        let version = stored.map(|it| it.version);
        let op = StoreOp::write(manifest_key(), version, Labels::new(), value);
        Write { revision, op, record, tries: 0, unknown_outcome: false }
    }

    fn version(&self) -> Option<Version> {
        match &self.op {
            StoreOp::Update { version, .. } => Some(*version),
            _ => None,
        }
    }
}

fn failed_outcome(write: &Write) -> ChangeEnd {
    match write.unknown_outcome {
        true => ChangeEnd::MayBeWritten { revision: write.revision },
        false => ChangeEnd::Unavailable,
    }
}
