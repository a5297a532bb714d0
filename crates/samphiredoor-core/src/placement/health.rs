//! Backoff for targets that fail, time out or refuse.
//!
//! Discovery removes a dead target only after several missed heartbeats, and a partitioned target stays listed. Until
//! then the outcomes of this process's own attempts decide: an unreachable target goes into backoff at once, one that
//! loses answers after several losses in a row. Each backoff is twice as long as the one before, so a recovered target
//! is found soon and a dead one costs few attempts.
//!
//! A target that is silent is avoided like one in backoff while a request waits for it, and for a fixed time after such a
//! request has gone elsewhere. Both end as soon as it sends data on any connection, as it is probably sound.

use super::AttemptEnd;

/// First backoff after a failed connect: a little more than two round trips between regions, as a brief connection reset
/// is over by then.
const UNREACHABLE_BACKOFF_MS: u64 = 250;
/// First backoff of a target that is gone, which has already cost the caller a second.
const GONE_BACKOFF_MS: u64 = 1_000;
/// How long a silent target is avoided that no request waits for any more. It need not grow: such a target goes on within
/// about this time, and one that is gone accepts no connection for the next request.
const SILENT_PAUSE_MS: u64 = 1_000;
/// Backoff of a target whose address now belongs to another target; discovery corrects the entry in this time.
const WRONG_TARGET_BACKOFF_MS: u64 = 5_000;
/// Longest exponential backoff: targets send heartbeats about once a second, and three missed ones remove the entry.
const MAX_BACKOFF_MS: u64 = 4_000;
/// Consecutive lost answers after which a target counts as failing. A target that loses one answer in twenty reaches
/// three in a row once in 8,000 requests.
const MAX_CONSECUTIVE_LOST: u32 = 3;
/// How long a target that refused a request for lack of capacity counts as full: about the time in which one of its eight
/// requests ends.
const FULL_MS: u64 = 80;

/// Backoff state of one target, from the outcomes of this process's attempts.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    consecutive_lost: u32,
    /// Backoffs since the last answer.
    backoffs: u32,
    backoff_until_ms: u64,
    full_until_ms: u64,
    /// Whether a request waits for it that it sends nothing to.
    is_silent: bool,
    silent_until_ms: u64,
}

impl Health {
    /// Updates the state with the outcome of an attempt.
    pub fn record(&mut self, now_ms: u64, end: AttemptEnd) {
        match end {
            AttemptEnd::Answered => *self = Health::default(),
            AttemptEnd::Refused => self.full_until_ms = now_ms + FULL_MS,
            AttemptEnd::WrongTarget => self.backoff_until_ms = now_ms + WRONG_TARGET_BACKOFF_MS,
            AttemptEnd::Unreachable => self.back_off(now_ms, UNREACHABLE_BACKOFF_MS),
            AttemptEnd::Silent => self.silent_until_ms = now_ms + SILENT_PAUSE_MS,
            AttemptEnd::Gone => self.back_off(now_ms, GONE_BACKOFF_MS),
            AttemptEnd::Lost => {
                self.consecutive_lost += 1;
                if self.consecutive_lost >= MAX_CONSECUTIVE_LOST {
                    self.back_off(now_ms, UNREACHABLE_BACKOFF_MS);
                }
            }
            AttemptEnd::Cut => {}
        }
    }

    /// Notes that a request waits for the target, which sends nothing to it.
    pub fn begin_silence(&mut self) {
        self.is_silent = true;
    }

    /// Notes that no request waits any more for the silent target, which has not gone on.
    pub fn leave_silence(&mut self, now_ms: u64) {
        self.is_silent = false;
        self.silent_until_ms = now_ms + SILENT_PAUSE_MS;
    }

    /// Notes that the target has sent data.
    pub fn end_silence(&mut self) {
        self.is_silent = false;
        self.silent_until_ms = 0;
    }

    /// Whether the target is in backoff, or silent.
    pub fn in_backoff(&self, now_ms: u64) -> bool {
        self.is_silent || now_ms < self.backoff_until_ms()
    }

    /// Whether the target has just refused a request for lack of capacity.
    pub fn is_full(&self, now_ms: u64) -> bool {
        now_ms < self.full_until_ms
    }

    /// Monotonic time at which the backoff ends, if the target is not silent.
    pub fn backoff_until_ms(&self) -> u64 {
        self.backoff_until_ms.max(self.silent_until_ms)
    }

    fn back_off(&mut self, now_ms: u64, first_ms: u64) {
        let backoff_ms = (first_ms << self.backoffs.min(4)).min(MAX_BACKOFF_MS);
        self.backoffs += 1;
        self.backoff_until_ms = self.backoff_until_ms.max(now_ms + backoff_ms);
    }
}
