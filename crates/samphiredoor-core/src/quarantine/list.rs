//! The stored list of quarantined and lifted fingerprints: one object, read periodically and written by conditional
//! update.

use std::sync::Arc;

use samphiredoor_schema::objects::SuspectList;

use super::{config::QuarantineConfig, messages::QuarantineAction, suspects::Suspects};
use crate::{
    Name,
    ledger::CallId,
    store::{Kind, Labels, ObjectKey, StoreAnswer, StoreOp, Value, Version},
    time::Now,
};

const OBJECT: &str = "blamed";
const RETRY_MS: u64 = 1_000;

/// An event that the stored list handles.
#[derive(Debug, Clone)]
pub enum ListInput {
    /// A fingerprint was quarantined or lifted by this gateway.
    Changed,
    /// A store call was answered.
    Stored {
        /// Id of the call.
        call: CallId,
        /// Answer of the store.
        answer: StoreAnswer,
    },
    /// Time has passed; the list is read when it is due.
    Tick,
}

/// Reads and writes the stored list.
#[derive(Debug)]
pub(super) struct QuarantineList {
    writer: Name,
    read_ms: u64,
    version: Option<Version>,
    /// The call in flight, and whether it is a write.
    in_flight: Option<(CallId, bool)>,
    next_call: u64,
    next_call_ms: u64,
    /// Whether there are changes to write.
    needs_write: bool,
    /// Set by a successful call, unset by a new change and by a failed call. The list is only written while it is set.
    is_current: bool,
}

impl QuarantineList {
    pub(super) fn new(config: &QuarantineConfig) -> QuarantineList {
        QuarantineList {
            writer: Arc::clone(&config.writer),
            read_ms: config.read_ms,
            version: None,
            in_flight: None,
            next_call: 0,
            next_call_ms: 0,
            needs_write: false,
            is_current: false,
        }
    }

    pub(super) fn handle(
        &mut self,
        now: Now,
        input: ListInput,
        suspects: &mut Suspects,
        out: &mut Vec<QuarantineAction>,
    ) {
        match input {
            ListInput::Changed => {
                self.needs_write = true;
                // Read before writing: another gateway may have written the list since.
                self.is_current = false;
                self.next_call_ms = self.next_call_ms.min(now.mono_ms);
            }
            ListInput::Stored { call, answer } => self.stored(now, call, answer, suspects),
            ListInput::Tick => {}
        }
        if self.in_flight.is_some() || now.mono_ms < self.next_call_ms {
            return;
        }
        let write = self.needs_write && self.is_current;
        let key = ObjectKey::new(Kind::Suspects, OBJECT);
        let op = if write { self.write(key, suspects) } else { StoreOp::Get { key } };
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.in_flight = Some((call, write));
        out.push(QuarantineAction::Store { call, op });
    }

    fn write(&mut self, key: ObjectKey, suspects: &Suspects) -> StoreOp {
        self.needs_write = false;
        let writer = format!("{}/{}", self.writer, self.next_call);
        let content = SuspectList { writer, suspects: suspects.records() };
        let value: Value = serde_json::to_vec(&content).unwrap_or_default().into();
        StoreOp::write(key, self.version, Labels::new(), value)
    }

    fn stored(&mut self, now: Now, call: CallId, answer: StoreAnswer, suspects: &mut Suspects) {
        let Some((_, write)) = self.in_flight.take_if(|(own, _)| *own == call) else { return };
        self.next_call_ms = now.mono_ms + self.read_ms;
        match answer {
            StoreAnswer::Object(stored) => {
                self.version = Some(stored.version);
                self.is_current = true;
                if !write {
                    merge_stored(&stored.value, suspects);
                }
            }
            StoreAnswer::Absent if !write => {
                self.version = None;
                self.is_current = true;
            }
            _ => {
                // A write that failed or whose outcome is unknown is repeated: writing the same entries twice is
                // harmless.
                self.needs_write |= write;
                self.is_current = false;
                self.next_call_ms = now.mono_ms + RETRY_MS;
            }
        }
        if self.needs_write && self.is_current {
            self.next_call_ms = now.mono_ms;
        }
    }
}

/// Merges the stored list into the entries. Unreadable ones are ignored: the list only spares other gateways the loss
/// of a target.
fn merge_stored(value: &[u8], suspects: &mut Suspects) {
    let Ok(list) = serde_json::from_slice::<SuspectList>(value) else { return };
    for (fingerprint, record) in &list.suspects {
        if let Ok(fingerprint) = u64::from_str_radix(fingerprint, 16) {
            suspects.merge(fingerprint, record);
        }
    }
}
