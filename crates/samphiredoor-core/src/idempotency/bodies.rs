//! Bodies of saved answers: in the record of their key, or in an object of their own if they are large.

use std::sync::Arc;

use samphiredoor_schema::objects::{KeptBody, KeyRecord, KeyState};

use super::{
    CallPurpose, KeyId, KeyedRequest, Keys, KeysAction, SavedAnswer,
    keyed_request::shard_of,
    record::{decode_body, encode_body},
};
use crate::{
    Name,
    store::{Kind, Labels, ObjectKey, StoreAnswer, StoreOp, Value},
    time::Now,
    verdict::{MayHaveRunReason, Verdict},
};

/// Largest encoded body that is saved in the record itself.
pub const INLINE_BODY_BYTES: usize = 16 * 1024;
/// Largest body that is saved at all; above [`INLINE_BODY_BYTES`] it has an object of its own.
pub const MAX_BODY_BYTES: usize = 400_000;
const MAX_OBJECT_BYTES: usize = 900_000;

impl Keys {
    pub(super) fn upload_body(&mut self, number: u32, key: KeyId, out: &mut Vec<KeysAction>) {
        let outcome = self.shards.get(&number).and_then(|it| it.pending_outcome(&key));
        let Some(outcome) = outcome.filter(|it| it.needs_upload) else { return };
        let body = outcome.answer.as_ref().and_then(|it| it.body.as_ref());
        let value: Value = match body.map(|it| serde_json::to_vec(&encode_body(it))) {
            Some(Ok(value)) => value.into(),
            _ => return,
        };
        // Each run has a name of its own: a key that has expired and is used again must not get an old body.
        let object: Name = format!("body-{key}-{:x}", outcome.record.since_unix_ms).into();
        let stored_key = ObjectKey::new(Kind::Keys, Arc::clone(&object));
        let op = StoreOp::Create { key: stored_key, labels: Labels::new(), value };
        self.call(CallPurpose::UploadBody { key, object }, op, out);
    }

    pub(super) fn upload_answered(
        &mut self,
        now: Now,
        key: KeyId,
        object: &str,
        answer: StoreAnswer,
        out: &mut Vec<KeysAction>,
    ) {
        let number = shard_of(&key, self.config.shards);
        match answer {
            StoreAnswer::Object(_) | StoreAnswer::Taken => {
                self.with_shard(now, number, |shard, _| shard.body_uploaded(&key, object));
                self.advance(now, number, out);
            }
            StoreAnswer::Unknown => self.upload_body(number, key, out),
            _ => {
                self.with_shard(now, number, |shard, _| shard.back_off(now));
                self.advance(now, number, out);
            }
        }
    }

    pub(super) fn fetch_answered(
        &mut self,
        arrival: KeyedRequest,
        saved: SavedAnswer,
        answer: StoreAnswer,
        out: &mut Vec<KeysAction>,
    ) {
        let reason = match answer {
            StoreAnswer::Object(stored) => {
                let body = serde_json::from_slice::<KeptBody>(&stored.value).ok();
                if let Some(body) = body.as_ref().and_then(decode_body) {
                    let answer = SavedAnswer { body: Some(body), ..saved };
                    return self.replay(arrival.request, answer, out);
                }
                MayHaveRunReason::AnswerNotKept
            }
            StoreAnswer::Absent => MayHaveRunReason::AnswerNotKept,
            _ => MayHaveRunReason::StoreAnswerLost,
        };
        self.refuse(arrival.request, Verdict::MayHaveRun { reason }, out);
    }

    pub(super) fn is_uploading_body(&self, key: &str) -> bool {
        let uploads_key = |it: &CallPurpose| matches!(it, CallPurpose::UploadBody { key: of, .. } if **of == *key);
        self.calls.values().any(uploads_key)
    }
}

/// Puts an answer into a record; returns whether its body needs an object of its own.
pub(super) fn save_answer(record: &mut KeyRecord, answer: &SavedAnswer) -> bool {
    record.state = KeyState::Answered;
    record.status = answer.status;
    record.content_type = answer.content_type.to_string();
    let Some(body) = &answer.body else { return false };
    let saved = encode_body(body);
    let bytes = serde_json::to_vec(&saved).map_or(usize::MAX, |it| it.len());
    if bytes <= INLINE_BODY_BYTES {
        record.body = Some(saved);
        return false;
    }
    body.len() <= MAX_BODY_BYTES && bytes <= MAX_OBJECT_BYTES
}
