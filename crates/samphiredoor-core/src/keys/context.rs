//! What a step of a shard works with, and what follows from it.

use std::{cell::Cell, collections::BTreeSet};

use super::{
    arrival::{KeyId, KeyedRequest},
    config::KeysConfig,
    record::{KeptAnswer, Stamp},
};
use crate::{Name, store::StoreOp, time::Now, verdict::Verdict};

/// What a step of a shard may use.
pub(super) struct Context<'a> {
    /// Options.
    pub(super) config: &'a KeysConfig,
    /// The present moment.
    pub(super) now: Now,
    /// Whether a holder is believed dead.
    pub(super) lapsed: &'a BTreeSet<Name>,
    /// Number of writes and intents so far.
    pub(super) numbers: &'a Cell<u64>,
}

impl Context<'_> {
    pub(super) fn next_number(&self) -> u64 {
        self.numbers.set(self.numbers.get() + 1);
        self.numbers.get()
    }

    pub(super) fn writer_token(&self) -> String {
        format!("{}/{}", self.config.holder, self.next_number())
    }
}

/// What follows from a step of a shard.
#[derive(Debug)]
pub(super) enum Effect {
    /// Make the shard's store call.
    Call(StoreOp),
    /// The intent stands: run the request.
    Run { arrival: KeyedRequest, stamp: Stamp },
    /// Answer as before.
    Replay { arrival: KeyedRequest, answer: KeptAnswer },
    /// Answer as before, once the body is read.
    Fetch { arrival: KeyedRequest, answer: KeptAnswer, object: Name },
    /// End the request.
    Refuse { arrival: KeyedRequest, verdict: Verdict },
    /// The outcome stands in the store.
    Saved(KeyId),
    /// Write the body of an outcome to an object of its own first.
    Upload(KeyId),
    /// Nothing refers to the object of a body any more.
    DropBody(Name),
    /// The stored shard cannot be read.
    Unreadable,
}
