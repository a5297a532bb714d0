//! What the parts of the ledger share while they take one event.

use rand::rngs::SmallRng;

use super::{
    codec::Unreadable,
    config::LedgerConfig,
    messages::{LedgerAction, Note},
    names::{CallId, JobId},
};
use crate::{
    store::{ObjectKey, StoreOp},
    time::Now,
};

const MAX_TOKENS: u64 = 8;

/// Pace of writes that fill no group.
///
/// A burst of small jobs commits at once; under sustained load one write in `commit_ms` is left for them, so that
/// the writes of a process do not grow with its jobs.
#[derive(Debug)]
pub(super) struct LingerPace {
    commit_ms: u64,
    // Tokens times commit_ms, so that the refill is exact.
    credit_ms: u64,
    at_ms: u64,
}

impl LingerPace {
    pub(super) fn new(commit_ms: u64) -> LingerPace {
        LingerPace { commit_ms, credit_ms: MAX_TOKENS * commit_ms, at_ms: 0 }
    }

    fn take(&mut self, now_ms: u64) -> bool {
        let gained = now_ms.saturating_sub(self.at_ms);
        self.at_ms = now_ms;
        self.credit_ms = (self.credit_ms + gained).min(MAX_TOKENS * self.commit_ms);
        if self.credit_ms < self.commit_ms {
            return false;
        }
        self.credit_ms -= self.commit_ms;
        true
    }
}

/// One event's view of the ledger.
pub(super) struct Context<'a> {
    pub(super) now: Now,
    pub(super) config: &'a LedgerConfig,
    pub(super) rng: &'a mut SmallRng,
    /// Whether the own lease is held with its margin.
    pub(super) lease_held: bool,
    /// Whether items may be handed out: the lease is held, no planned stop has begun, the store keeps up.
    pub(super) may_run: bool,
    /// Items that may still be handed out by the process.
    pub(super) room: usize,
    /// Most items of one job at once.
    pub(super) job_room: usize,
    pub(super) pace: &'a mut LingerPace,
    pub(super) next_call: &'a mut u64,
    pub(super) new_calls: Vec<CallId>,
    pub(super) out: &'a mut Vec<LedgerAction>,
}

impl Context<'_> {
    pub(super) fn now_ms(&self) -> u64 {
        self.now.mono_ms
    }

    /// Numbers a store call and makes it.
    pub(super) fn call(&mut self, op: StoreOp) -> CallId {
        let call = CallId(*self.next_call);
        *self.next_call += 1;
        self.new_calls.push(call);
        self.out.push(LedgerAction::Store { call, op });
        call
    }

    /// Whether results that wait since `since_ms` may be written although they fill no group.
    pub(super) fn lingered(&mut self, since_ms: u64) -> bool {
        let old = self.now_ms().saturating_sub(since_ms) >= self.config.linger_ms;
        old && self.pace.take(self.now.mono_ms)
    }

    pub(super) fn note_unreadable(&mut self, key: ObjectKey, fault: Unreadable) {
        self.out.push(LedgerAction::Note(Note::Unreadable { key, fault }));
    }

    pub(super) fn note_dropped(&mut self, job: &JobId) {
        self.out.push(LedgerAction::Note(Note::Dropped { job: job.clone() }));
    }
}
