//! State that the parts of the ledger share while they handle one event.

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

const MAX_BURST_WRITES: u64 = 8;
/// Delay before an unreadable object is read again.
const UNREADABLE_RETRY_MS: u64 = 60_000;

/// Token bucket that limits the writes of incomplete groups of results.
///
/// A burst of small jobs may make up to [`MAX_BURST_WRITES`] such writes at once. Under sustained load there is one
/// write per `linger_write_interval_ms`, so that the write rate of a process does not grow with its number of jobs.
#[derive(Debug)]
pub(super) struct LingerLimiter {
    linger_write_interval_ms: u64,
    /// Tokens times linger_write_interval_ms, so that the refill is exact.
    credit_ms: u64,
    at_ms: u64,
}

impl LingerLimiter {
    pub(super) fn new(linger_write_interval_ms: u64) -> LingerLimiter {
        LingerLimiter {
            linger_write_interval_ms,
            credit_ms: MAX_BURST_WRITES * linger_write_interval_ms,
            at_ms: 0,
        }
    }

    fn try_take(&mut self, now_ms: u64) -> bool {
        let gained = now_ms.saturating_sub(self.at_ms);
        self.at_ms = now_ms;
        self.credit_ms =
            (self.credit_ms + gained).min(MAX_BURST_WRITES * self.linger_write_interval_ms);
        if self.credit_ms < self.linger_write_interval_ms {
            return false;
        }
        self.credit_ms -= self.linger_write_interval_ms;
        true
    }
}

/// Shared state of the ledger during one event, and the actions that result from it.
pub(super) struct Context<'a> {
    pub(super) now: Now,
    pub(super) config: &'a LedgerConfig,
    pub(super) rng: &'a mut SmallRng,
    /// Whether this process's lease is held for at least the margin.
    pub(super) lease_held: bool,
    /// Whether items may be started: the lease is held, no graceful shutdown has begun, and the bytes of pending
    /// results are below their limit.
    pub(super) may_run: bool,
    /// Number of further items that the process may start.
    pub(super) free_slots: usize,
    /// Maximum number of items of one job running at once.
    pub(super) free_job_slots: usize,
    pub(super) linger_limiter: &'a mut LingerLimiter,
    pub(super) next_call: &'a mut u64,
    pub(super) new_calls: Vec<CallId>,
    pub(super) out: &'a mut Vec<LedgerAction>,
}

impl Context<'_> {
    pub(super) fn now_ms(&self) -> u64 {
        self.now.mono_ms
    }

    /// Time at which an object that is unreadable now is read again.
    pub(super) fn unreadable_retry_ms(&self) -> u64 {
        self.now_ms() + UNREADABLE_RETRY_MS
    }

    /// Issues a store call and returns its identifier.
    pub(super) fn call(&mut self, op: StoreOp) -> CallId {
        let call = CallId(*self.next_call);
        *self.next_call += 1;
        self.new_calls.push(call);
        self.out.push(LedgerAction::Store { call, op });
        call
    }

    /// Whether results that have been pending since `since_ms` may be written as an incomplete group; uses a token if
    /// so.
    pub(super) fn may_write_partial_group(&mut self, since_ms: u64) -> bool {
        let old = self.now_ms().saturating_sub(since_ms) >= self.config.linger_ms;
        old && self.linger_limiter.try_take(self.now.mono_ms)
    }

    pub(super) fn note_unreadable(&mut self, key: ObjectKey, fault: Unreadable) {
        self.out.push(LedgerAction::Note(Note::Unreadable { key, fault }));
    }

    pub(super) fn note_dropped(&mut self, job: &JobId) {
        self.out.push(LedgerAction::Note(Note::Dropped { job: job.clone() }));
    }
}
