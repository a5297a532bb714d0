//! The stored list of blamed requests: one object, read now and then, written by conditional update.

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

/// What happened to the list.
#[derive(Debug, Clone)]
pub enum ListInput {
    /// Something was blamed or lifted here.
    Changed,
    /// A store call was answered.
    Stored {
        /// Which call.
        call: CallId,
        /// Its answer.
        answer: StoreAnswer,
    },
    /// Time passed.
    Tick,
}

/// The list as this process knows it.
#[derive(Debug)]
pub(super) struct BlamedList {
    writer: Name,
    read_ms: u64,
    version: Option<Version>,
    in_flight: Option<(CallId, bool)>,
    next_call: u64,
    next_ms: u64,
    /// Whether something must be written.
    changed: bool,
    /// Whether the content was read since the last failure.
    fresh: bool,
}

impl BlamedList {
    pub(super) fn new(config: &QuarantineConfig) -> BlamedList {
        BlamedList {
            writer: Arc::clone(&config.writer),
            read_ms: config.read_ms,
            version: None,
            in_flight: None,
            next_call: 0,
            next_ms: 0,
            changed: false,
            fresh: false,
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
                self.changed = true;
                // Read first: another door may have written since.
                self.fresh = false;
                self.next_ms = self.next_ms.min(now.mono_ms);
            }
            ListInput::Stored { call, answer } => self.stored(now, call, answer, suspects),
            ListInput::Tick => {}
        }
        if self.in_flight.is_some() || now.mono_ms < self.next_ms {
            return;
        }
        let write = self.changed && self.fresh;
        let key = ObjectKey::new(Kind::Suspects, OBJECT);
        let op = if write { self.write(key, suspects) } else { StoreOp::Get { key } };
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.in_flight = Some((call, write));
        out.push(QuarantineAction::Store { call, op });
    }

    fn write(&mut self, key: ObjectKey, suspects: &Suspects) -> StoreOp {
        self.changed = false;
        let writer = format!("{}/{}", self.writer, self.next_call);
        let content = SuspectList { writer, suspects: suspects.records() };
        let value: Value = serde_json::to_vec(&content).unwrap_or_default().into();
        let labels = Labels::new();
        match self.version {
            Some(version) => StoreOp::Update { key, version, labels, value },
            None => StoreOp::Create { key, labels, value },
        }
    }

    fn stored(&mut self, now: Now, call: CallId, answer: StoreAnswer, suspects: &mut Suspects) {
        let Some((_, write)) = self.in_flight.take_if(|(own, _)| *own == call) else { return };
        self.next_ms = now.mono_ms + self.read_ms;
        match answer {
            StoreAnswer::Object(stored) => {
                self.version = Some(stored.version);
                self.fresh = true;
                if !write {
                    take(&stored.value, suspects);
                }
            }
            StoreAnswer::Absent if !write => {
                self.version = None;
                self.fresh = true;
            }
            _ => {
                // A lost write is written once more: the same entries again do no harm.
                self.changed |= write;
                self.fresh = false;
                self.next_ms = now.mono_ms + RETRY_MS;
            }
        }
        if self.changed && self.fresh {
            self.next_ms = now.mono_ms;
        }
    }
}

/// Entries that cannot be read are passed over: the list only saves other doors a loss.
fn take(value: &[u8], suspects: &mut Suspects) {
    let Ok(list) = serde_json::from_slice::<SuspectList>(value) else { return };
    for (fingerprint, record) in &list.suspects {
        if let Ok(fingerprint) = u64::from_str_radix(fingerprint, 16) {
            suspects.merge(fingerprint, record);
        }
    }
}
