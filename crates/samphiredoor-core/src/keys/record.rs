//! What stands under one key, and what an arriving request may conclude from it.

use std::sync::Arc;

use samphiredoor_schema::objects::{KeptBody, KeyRecord, KeyState};

use super::{arrival::KeyedRequest, config::KeysConfig};
use crate::{Name, time::Now, verdict::MayHaveRunReason};

/// Longest difference between the wall clocks of two doors that expiry allows for.
pub const CLOCK_MARGIN_MS: u64 = 60_000;
/// How long after a run's deadline its outcome is waited for.
const ORPHAN_MARGIN_MS: u64 = 2_000;

/// An answer as it is kept for resends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type; empty if the answer had none.
    pub content_type: Name,
    /// Whole body; `None` if it was too large to be kept.
    pub body: Option<Arc<[u8]>>,
}

/// What a record means for an arriving request.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Standing {
    /// Nothing stands under the key, or its request did not run.
    Free,
    /// An intent of this process.
    Own,
    /// An intent of another process.
    Intended(Name),
    /// The answer.
    Answered(KeptAnswer),
    /// The answer, with its body in an object of its own.
    AnsweredApart(KeptAnswer, Name),
    /// The request may have run.
    MayHaveRun(MayHaveRunReason),
    /// The key stands for another request.
    OtherRequest,
}

impl Standing {
    /// Standing of `record` for a request with `digest`.
    pub(super) fn of(
        record: Option<&KeyRecord>,
        digest: &str,
        config: &KeysConfig,
        now: Now,
    ) -> Standing {
        let Some(record) = record.filter(|it| !is_expired(it, config, now)) else {
            return Standing::Free;
        };
        if record.digest != digest {
            return Standing::OtherRequest;
        }
        match record.state {
            KeyState::NotRun => Standing::Free,
            KeyState::Intended if *record.holder == *config.holder => Standing::Own,
            KeyState::Intended => Standing::Intended(record.holder.as_str().into()),
            KeyState::MayHaveRun => {
                let doubt = MayHaveRunReason::from_label(&record.doubt);
                Standing::MayHaveRun(doubt.unwrap_or(MayHaveRunReason::IntentWithoutOutcome))
            }
            KeyState::Answered => answered(record),
        }
    }
}

fn answered(record: &KeyRecord) -> Standing {
    let mut answer = KeptAnswer {
        status: record.status,
        content_type: record.content_type.as_str().into(),
        body: None,
    };
    match (&record.body, &record.body_object) {
        (Some(body), _) => {
            answer.body = body_bytes(body);
            Standing::Answered(answer)
        }
        (None, Some(object)) => Standing::AnsweredApart(answer, object.as_str().into()),
        (None, None) => Standing::Answered(answer),
    }
}

/// Whether an intent is so old that its holder must be gone, or cut off from the store. Only a hint: the request is not
/// run again.
pub(super) fn is_orphaned(record: &KeyRecord, now: Now) -> bool {
    now.unix_ms > record.deadline_unix_ms.saturating_add(ORPHAN_MARGIN_MS)
}

/// Whether a record is no longer remembered, by any door's clock within the margin.
///
/// A door whose clock runs ahead by more than [`CLOCK_MARGIN_MS`] would forget a key early, and a resend would run
/// again; the margin makes that need a clock that is a minute off.
pub(super) fn is_expired(record: &KeyRecord, config: &KeysConfig, now: Now) -> bool {
    let own = record.state == KeyState::Intended && *record.holder == *config.holder;
    let until = record.since_unix_ms.saturating_add(config.remember_ms + CLOCK_MARGIN_MS);
    !own && now.unix_ms > until
}

/// Which intent of this process a record is of.
///
/// A record of this process under a key may be of a former sending, with a write of its outcome still on the way. Only
/// the record of the very intent shows that it stands: its write has moved the version, and shut the late one out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Stamp {
    pub(super) since_unix_ms: u64,
    pub(super) number: u64,
}

impl Stamp {
    pub(super) fn is_of(self, record: &KeyRecord) -> bool {
        (self.since_unix_ms, self.number) == (record.since_unix_ms, record.intent)
    }
}

/// Record of an intent.
pub(super) fn intent(arrival: &KeyedRequest, config: &KeysConfig, stamp: Stamp) -> KeyRecord {
    KeyRecord {
        digest: arrival.digest.to_string(),
        state: KeyState::Intended,
        since_unix_ms: stamp.since_unix_ms,
        holder: config.holder.to_string(),
        intent: stamp.number,
        deadline_unix_ms: arrival.deadline_unix_ms,
        status: 0,
        content_type: String::new(),
        body: None,
        body_object: None,
        doubt: String::new(),
    }
}

/// Body as it stands in a record or in an object of its own.
pub(super) fn kept_body(bytes: &[u8]) -> KeptBody {
    match std::str::from_utf8(bytes) {
        Ok(text) => KeptBody { content: text.to_owned(), hexadecimal: false },
        Err(_) => {
            let content = bytes.iter().map(|it| format!("{it:02x}")).collect();
            KeptBody { content, hexadecimal: true }
        }
    }
}

/// Bytes of a kept body; `None` if it cannot be read.
pub(super) fn body_bytes(body: &KeptBody) -> Option<Arc<[u8]>> {
    if !body.hexadecimal {
        return Some(body.content.as_bytes().into());
    }
    let pairs = body.content.as_bytes().chunks(2);
    let digits = pairs.map(|it| std::str::from_utf8(it).ok());
    digits.map(|it| u8::from_str_radix(it?, 16).ok()).collect()
}
