//! The stored record of a key, and what it means for an arriving request.

use std::sync::Arc;

use samphiredoor_schema::objects::{KeptBody, KeyRecord, KeyState};

use super::{config::KeysConfig, keyed_request::KeyedRequest};
use crate::{Name, time::Now, verdict::MayHaveRunReason};

/// Difference between the wall clocks of two gateways up to which no key expires too early.
pub const CLOCK_MARGIN_MS: u64 = 60_000;
/// How long after the deadline of a run its outcome may still be written.
const ORPHAN_MARGIN_MS: u64 = 2_000;

/// An answer that is saved for resends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SavedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type; empty if the answer had none.
    pub content_type: Name,
    /// Whole body; `None` if it was too large to be saved.
    pub body: Option<Arc<[u8]>>,
}

/// What a record means for an arriving request.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum KeyStatus {
    /// There is no record, it has expired, or its request did not run: the request may run.
    Free,
    /// An intent of this process without an outcome.
    OwnIntent,
    /// An intent of another process without an outcome, with the name of its holder.
    OtherIntent(Name),
    /// The saved answer.
    Answered(SavedAnswer),
    /// The saved answer, whose body is in an object of its own.
    BodyStoredApart(SavedAnswer, Name),
    /// The request may have run, and has no answer.
    MayHaveRun(MayHaveRunReason),
    /// The key was used for a request with another digest.
    OtherRequest,
}

impl KeyStatus {
    /// Status of a key with `record` for a request with `digest`.
    pub(super) fn of(
        record: Option<&KeyRecord>,
        digest: &str,
        config: &KeysConfig,
        now: Now,
    ) -> KeyStatus {
        let Some(record) = record.filter(|it| !is_expired(it, config, now)) else {
            return KeyStatus::Free;
        };
        if record.digest != digest {
            return KeyStatus::OtherRequest;
        }
        match record.state {
            KeyState::NotRun => KeyStatus::Free,
            KeyState::Intended if *record.holder == *config.holder => KeyStatus::OwnIntent,
            KeyState::Intended => KeyStatus::OtherIntent(record.holder.as_str().into()),
            KeyState::MayHaveRun => {
                let reason = MayHaveRunReason::from_label(&record.doubt);
                KeyStatus::MayHaveRun(reason.unwrap_or(MayHaveRunReason::IntentWithoutOutcome))
            }
            KeyState::Answered => answered_status(record),
        }
    }
}

fn answered_status(record: &KeyRecord) -> KeyStatus {
    let mut answer = SavedAnswer {
        status: record.status,
        content_type: record.content_type.as_str().into(),
        body: None,
    };
    match (&record.body, &record.body_object) {
        (Some(body), _) => {
            answer.body = decode_body(body);
            KeyStatus::Answered(answer)
        }
        (None, Some(object)) => KeyStatus::BodyStoredApart(answer, object.as_str().into()),
        (None, None) => KeyStatus::Answered(answer),
    }
}

/// Whether the deadline of an intent has passed by so much that its holder must be dead or isolated from the store.
/// Only a hint: the request is not run again.
pub(super) fn is_orphaned(record: &KeyRecord, now: Now) -> bool {
    now.unix_ms > record.deadline_unix_ms.saturating_add(ORPHAN_MARGIN_MS)
}

/// Whether the time for which a record is remembered is over by the clock of every gateway within the margin.
///
/// A gateway whose clock runs ahead by more than [`CLOCK_MARGIN_MS`] would treat a key as expired too early, and a
/// resend would run again. With the margin this takes a clock that is more than a minute ahead. An intent of this
/// process that has no outcome yet does not expire.
pub(super) fn is_expired(record: &KeyRecord, config: &KeysConfig, now: Now) -> bool {
    let own = record.state == KeyState::Intended && *record.holder == *config.holder;
    let until = record.since_unix_ms.saturating_add(config.remember_ms + CLOCK_MARGIN_MS);
    !own && now.unix_ms > until
}

/// Identifies one intent among those of this process.
///
/// A record of this process may belong to an earlier request with the same key, and a delayed write of that request's
/// outcome may still take effect. An intent is committed only if the record has its own id: that write changed the
/// version of the object, so the conditional update of the delayed write fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct IntentId {
    pub(super) since_unix_ms: u64,
    pub(super) number: u64,
}

impl IntentId {
    pub(super) fn matches(self, record: &KeyRecord) -> bool {
        (self.since_unix_ms, self.number) == (record.since_unix_ms, record.intent)
    }
}

/// Record of a new intent.
pub(super) fn intent_record(
    arrival: &KeyedRequest,
    config: &KeysConfig,
    intent_id: IntentId,
) -> KeyRecord {
    KeyRecord {
        digest: arrival.digest.to_string(),
        state: KeyState::Intended,
        since_unix_ms: intent_id.since_unix_ms,
        holder: config.holder.to_string(),
        intent: intent_id.number,
        deadline_unix_ms: arrival.deadline_unix_ms,
        status: 0,
        content_type: String::new(),
        body: None,
        body_object: None,
        doubt: String::new(),
    }
}

/// Encodes a body for a record or for an object of its own: as text if it is UTF-8, otherwise in hexadecimal digits.
pub(super) fn encode_body(bytes: &[u8]) -> KeptBody {
    match std::str::from_utf8(bytes) {
        Ok(text) => KeptBody { content: text.to_owned(), hexadecimal: false },
        Err(_) => {
            let content = bytes.iter().map(|it| format!("{it:02x}")).collect();
            KeptBody { content, hexadecimal: true }
        }
    }
}

/// Decodes a stored body; `None` if its hexadecimal digits are invalid.
pub(super) fn decode_body(body: &KeptBody) -> Option<Arc<[u8]>> {
    if !body.hexadecimal {
        return Some(body.content.as_bytes().into());
    }
    let pairs = body.content.as_bytes().chunks(2);
    let digits = pairs.map(|it| std::str::from_utf8(it).ok());
    digits.map(|it| u8::from_str_radix(it?, 16).ok()).collect()
}
