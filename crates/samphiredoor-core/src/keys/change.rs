//! Changes of a shard, and what each of them comes to when the shard was read or written.

use std::sync::Arc;

use samphiredoor_schema::objects::{KeyRecord, KeyState};

use super::{
    arrival::{KeyId, KeyedRequest},
    config::KeysConfig,
    context::{Context, Effect},
    record::{self, KeptAnswer, Stamp, Standing, is_orphaned},
};
use crate::verdict::{MayHaveRunReason, Refusal, Verdict};

/// An intent that is to be written.
#[derive(Debug)]
pub(super) struct Intent {
    pub(super) arrival: KeyedRequest,
    pub(super) stamp: Stamp,
    /// Whether the request still waits; if not, the intent is taken back once it is known to stand.
    pub(super) wanted: bool,
    /// Whether an earlier write of it may have taken effect, or may yet.
    pub(super) doubtful: bool,
}

/// An outcome that is to be written.
#[derive(Debug)]
pub(super) struct Outcome {
    /// Record to write.
    pub(super) record: KeyRecord,
    /// The answer, for resends that come before the write.
    pub(super) answer: Option<KeptAnswer>,
    /// Whether the body must be written to an object of its own first.
    pub(super) upload: bool,
}

/// A change of a shard that waits for its write.
#[derive(Debug)]
pub(super) enum Change {
    Intent(Intent),
    Outcome(Outcome),
}

/// Decides a change anew after a read; `None` if it is settled.
pub(super) fn reconcile(
    record: Option<&KeyRecord>,
    key: &KeyId,
    change: Change,
    cx: &Context<'_>,
    effects: &mut Vec<Effect>,
) -> Option<Change> {
    match change {
        Change::Intent(intent) => {
            let standing = Standing::of(record, &intent.arrival.digest, cx.config, cx.now);
            match standing {
                Standing::Free => Some(Change::Intent(intent)),
                Standing::Own if !record.is_some_and(|it| intent.stamp.is_of(it)) => {
                    Some(Change::Intent(intent))
                }
                // The write whose answer was lost took effect.
                Standing::Own => landed(Arc::clone(key), Change::Intent(intent), cx, effects),
                other => {
                    if intent.wanted {
                        let orphaned = record.is_some_and(|it| is_orphaned(it, cx.now));
                        effects.push(conclude(intent.arrival, other, orphaned, cx));
                    }
                    None
                }
            }
        }
        Change::Outcome(outcome) => {
            let stands = record.is_some_and(|it| same_outcome(it, &outcome.record));
            let foreign = record.is_some_and(|it| *it.holder != *cx.config.holder);
            let other_process = foreign && record.is_some_and(|it| it.state != KeyState::NotRun);
            if stands || other_process {
                effects.push(Effect::Saved(Arc::clone(key)));
                return None;
            }
            Some(Change::Outcome(outcome))
        }
    }
}

fn same_outcome(a: &KeyRecord, b: &KeyRecord) -> bool {
    (a.state, &a.holder, a.intent) == (b.state, &b.holder, b.intent)
}

/// A change stands in the store; returns what must be written next for its key.
pub(super) fn landed(
    key: KeyId,
    change: Change,
    cx: &Context<'_>,
    effects: &mut Vec<Effect>,
) -> Option<Change> {
    match change {
        Change::Intent(intent) if intent.wanted => {
            let Intent { arrival, stamp, .. } = intent;
            effects.push(Effect::Run { arrival, stamp });
            None
        }
        Change::Intent(intent) => Some(Change::Outcome(taken_back(&intent, cx.config))),
        Change::Outcome(_) => {
            effects.push(Effect::Saved(key));
            None
        }
    }
}

/// Outcome of an intent that led to no run.
pub(super) fn taken_back(intent: &Intent, config: &KeysConfig) -> Outcome {
    let mut record = record::intent(&intent.arrival, config, intent.stamp);
    record.state = KeyState::NotRun;
    Outcome { record, answer: None, upload: false }
}

/// What a standing other than free means for a request.
pub(super) fn conclude(
    arrival: KeyedRequest,
    standing: Standing,
    orphaned: bool,
    cx: &Context<'_>,
) -> Effect {
    match standing {
        Standing::Answered(answer) => Effect::Replay { arrival, answer },
        Standing::AnsweredApart(answer, object) => Effect::Fetch { arrival, answer, object },
        Standing::MayHaveRun(reason) => doubt(arrival, reason),
        // A lapsed lease is only a hint, so the intent is not taken over: a wrong guess tells "may have run" early,
        // and the holder's outcome is replayed to the next resend.
        Standing::Intended(holder) if orphaned || cx.lapsed.contains(&holder) => {
            doubt(arrival, MayHaveRunReason::IntentWithoutOutcome)
        }
        Standing::Intended(_) => doubt(arrival, MayHaveRunReason::StillRunning),
        Standing::OtherRequest => reused(arrival),
        Standing::Free | Standing::Own => doubt(arrival, MayHaveRunReason::StoreAnswerLost),
    }
}

fn doubt(arrival: KeyedRequest, reason: MayHaveRunReason) -> Effect {
    Effect::Refuse { arrival, verdict: Verdict::MayHaveRun { reason } }
}

/// The key stands for another request.
pub(super) fn reused(arrival: KeyedRequest) -> Effect {
    let verdict = Verdict::NotRun { retry_after_ms: 0, reason: Refusal::KeyReused };
    Effect::Refuse { arrival, verdict }
}

/// The request is not run.
pub(super) fn refuse(arrival: &KeyedRequest, reason: Refusal, retry_after_ms: u64) -> Effect {
    let verdict = Verdict::NotRun { retry_after_ms, reason };
    Effect::Refuse { arrival: arrival.clone(), verdict }
}
