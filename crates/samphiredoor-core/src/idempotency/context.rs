//! Input of a shard's state transitions, and the effects they return to [`Keys`](super::Keys).

use std::{cell::Cell, collections::BTreeSet};

use super::{
    config::KeysConfig,
    keyed_request::{KeyId, KeyedRequest},
    record::{IntentId, SavedAnswer},
};
use crate::{Name, store::StoreOp, time::Now, verdict::Verdict};

/// State of the process that a shard reads while it handles an event.
pub(super) struct Context<'a> {
    /// Settings of the keys.
    pub(super) config: &'a KeysConfig,
    /// Time of the event.
    pub(super) now: Now,
    /// Holders whose leases have expired.
    pub(super) expired_holders: &'a BTreeSet<Name>,
    /// Number of the last write or intent of this process.
    pub(super) counter: &'a Cell<u64>,
}

impl Context<'_> {
    pub(super) fn next_number(&self) -> u64 {
        self.counter.set(self.counter.get() + 1);
        self.counter.get()
    }

    pub(super) fn writer_token(&self) -> String {
        format!("{}/{}", self.config.holder, self.next_number())
    }
}

/// What [`Keys`](super::Keys) must do after a shard has handled an event.
#[derive(Debug)]
pub(super) enum Effect {
    /// Send the shard's store call.
    Call(StoreOp),
    /// The intent is committed: run the request.
    Run { arrival: KeyedRequest, intent_id: IntentId },
    /// Answer with the saved answer.
    Replay { arrival: KeyedRequest, answer: SavedAnswer },
    /// Read the body from `object`, then answer with the saved answer.
    FetchBody { arrival: KeyedRequest, answer: SavedAnswer, object: Name },
    /// Refuse the request with a final verdict.
    Refuse { arrival: KeyedRequest, verdict: Verdict },
    /// The outcome needs no further write: it is committed or superseded.
    OutcomeSaved(KeyId),
    /// Write the body of an outcome to an object of its own before the outcome is written.
    UploadBody(KeyId),
    /// Delete the object of a body whose record has expired.
    DeleteBody(Name),
    /// The stored object of the shard cannot be parsed.
    Unreadable,
}
