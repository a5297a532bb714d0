//! Changes of a shard that are not written yet, and what becomes of them after a read or a write of the shard.

use std::sync::Arc;

use samphiredoor_schema::objects::{KeyRecord, KeyState};

use super::{
    config::KeysConfig,
    context::{Context, Effect},
    keyed_request::{KeyId, KeyedRequest},
    record::{self, IntentId, KeyStatus, SavedAnswer, is_orphaned},
};
use crate::verdict::{MayHaveRunReason, Refusal, Verdict};

/// An intent to be written.
#[derive(Debug)]
pub(super) struct Intent {
    pub(super) arrival: KeyedRequest,
    pub(super) intent_id: IntentId,
    /// Whether the caller still waits. If not, the intent is withdrawn, should it turn out to be committed.
    pub(super) caller_waits: bool,
    /// Whether an earlier write of the intent has an unknown outcome: it may have taken effect, or may still do so.
    pub(super) may_be_stored: bool,
}

/// An outcome to be written.
#[derive(Debug)]
pub(super) struct Outcome {
    /// Record to write.
    pub(super) record: KeyRecord,
    /// The answer, for resends that arrive before the outcome is written.
    pub(super) answer: Option<SavedAnswer>,
    /// Whether the body must first be written to an object of its own.
    pub(super) needs_upload: bool,
}

/// A change of a shard that waits for its write.
#[derive(Debug)]
pub(super) enum Change {
    Intent(Intent),
    Outcome(Outcome),
}

/// Compares a change with the record that was read; returns the change if it still has to be written.
pub(super) fn reconcile(
    record: Option<&KeyRecord>,
    key: &KeyId,
    change: Change,
    ctx: &Context<'_>,
    effects: &mut Vec<Effect>,
) -> Option<Change> {
    match change {
        Change::Intent(intent) => {
            let status = KeyStatus::of(record, &intent.arrival.digest, ctx.config, ctx.now);
            match status {
                KeyStatus::Free => Some(Change::Intent(intent)),
                KeyStatus::OwnIntent if !record.is_some_and(|it| intent.intent_id.matches(it)) => {
                    Some(Change::Intent(intent))
                }
                // An earlier write, whose answer was lost, took effect.
                KeyStatus::OwnIntent => {
                    committed(Arc::clone(key), Change::Intent(intent), ctx, effects)
                }
                other => {
                    if intent.caller_waits {
                        let orphaned = record.is_some_and(|it| is_orphaned(it, ctx.now));
                        effects.push(respond(intent.arrival, other, orphaned, ctx));
                    }
                    None
                }
            }
        }
        Change::Outcome(outcome) => {
            let is_saved = record.is_some_and(|it| same_outcome(it, &outcome.record));
            let other_holder = record.is_some_and(|it| *it.holder != *ctx.config.holder);
            let other_process =
                other_holder && record.is_some_and(|it| it.state != KeyState::NotRun);
            if is_saved || other_process {
                effects.push(Effect::OutcomeSaved(Arc::clone(key)));
                return None;
            }
            Some(Change::Outcome(outcome))
        }
    }
}

fn same_outcome(a: &KeyRecord, b: &KeyRecord) -> bool {
    (a.state, &a.holder, a.intent) == (b.state, &b.holder, b.intent)
}

/// Handles a change that is committed; returns what must be written next for its key.
pub(super) fn committed(
    key: KeyId,
    change: Change,
    ctx: &Context<'_>,
    effects: &mut Vec<Effect>,
) -> Option<Change> {
    match change {
        Change::Intent(intent) if intent.caller_waits => {
            let Intent { arrival, intent_id, .. } = intent;
            effects.push(Effect::Run { arrival, intent_id });
            None
        }
        Change::Intent(intent) => Some(Change::Outcome(withdrawn(&intent, ctx.config))),
        Change::Outcome(_) => {
            effects.push(Effect::OutcomeSaved(key));
            None
        }
    }
}

/// Outcome that withdraws an intent whose request is not run.
pub(super) fn withdrawn(intent: &Intent, config: &KeysConfig) -> Outcome {
    let mut record = record::intent_record(&intent.arrival, config, intent.intent_id);
    record.state = KeyState::NotRun;
    Outcome { record, answer: None, needs_upload: false }
}

/// Response to a request that is not run, by the status of its key.
pub(super) fn respond(
    arrival: KeyedRequest,
    status: KeyStatus,
    orphaned: bool,
    ctx: &Context<'_>,
) -> Effect {
    match status {
        KeyStatus::Answered(answer) => Effect::Replay { arrival, answer },
        KeyStatus::BodyStoredApart(answer, object) => Effect::FetchBody { arrival, answer, object },
        KeyStatus::MayHaveRun(reason) => may_have_run(arrival, reason),
        // An expired lease is only a hint, so the intent is not taken over. If the holder is alive after all, this
        // request is answered "may have run" too early, and the next resend gets the holder's outcome.
        KeyStatus::OtherIntent(holder) if orphaned || ctx.expired_holders.contains(&holder) => {
            may_have_run(arrival, MayHaveRunReason::IntentWithoutOutcome)
        }
        KeyStatus::OtherIntent(_) => may_have_run(arrival, MayHaveRunReason::StillRunning),
        KeyStatus::OtherRequest => key_reused(arrival),
        KeyStatus::Free | KeyStatus::OwnIntent => {
            may_have_run(arrival, MayHaveRunReason::StoreAnswerLost)
        }
    }
}

fn may_have_run(arrival: KeyedRequest, reason: MayHaveRunReason) -> Effect {
    Effect::Refuse { arrival, verdict: Verdict::MayHaveRun { reason } }
}

/// Refuses a request whose key was used for another request.
pub(super) fn key_reused(arrival: KeyedRequest) -> Effect {
    let verdict = Verdict::NotRun { retry_after_ms: 0, reason: Refusal::KeyReused };
    Effect::Refuse { arrival, verdict }
}

/// Refuses a request that did not run.
pub(super) fn refuse(arrival: &KeyedRequest, reason: Refusal, retry_after_ms: u64) -> Effect {
    let verdict = Verdict::NotRun { retry_after_ms, reason };
    Effect::Refuse { arrival: arrival.clone(), verdict }
}
