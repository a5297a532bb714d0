//! Order of new requests and retries while both wait for slots.
//!
//! The answer to a retry is worth less to its caller than that to a new request, which may still meet its objective. If
//! retries came first, a surge that lasts longer than the retry times would end with all slots taken by late requests. So
//! new requests come first, and retries get a bounded part of the slots until no new request has to wait.

use super::recent_count::RecentCount;

/// Part of the slots for retries while new requests wait, so that a lasting overload does not starve them.
pub const RETRY_PART: f64 = 0.05;
/// Largest part of the completions for which retry times are scheduled. The rest is for new requests, of which there may
/// be more at the time of the retry.
const MAX_SCHEDULED_PART: f64 = 0.5;
/// Time after a new request had to wait in which slots are kept for further ones. Slots that were taken together become free
/// together, so that a surge has pauses of about a run time in which no new request waits at a gateway.
const HOLD_MS: u64 = 400;

/// Decides for one service whether a retry or a new request is served next.
#[derive(Debug, Clone, Copy, Default)]
pub struct RetryTurns {
    /// Slots that retries may take although new requests wait.
    credit: f64,
    new_waited_ms: Option<u64>,
    new_arrivals: RecentCount,
}

impl RetryTurns {
    /// Whether a retry may take a slot although new requests wait.
    pub fn has_credit(&self) -> bool {
        self.credit >= 1.0
    }

    /// Whether a retry may take a slot that no new request takes now.
    pub fn may_retry(&self, now_ms: u64) -> bool {
        !self.is_held(now_ms) || self.has_credit()
    }

    /// Whether slots are kept for new requests.
    fn is_held(&self, now_ms: u64) -> bool {
        self.new_waited_ms.is_some_and(|it| now_ms < it.saturating_add(HOLD_MS))
    }

    /// Records the arrival of a new request.
    pub fn record_new(&mut self, now_ms: u64) {
        self.new_arrivals.add(now_ms);
    }

    /// Records that a new request takes a slot while retries wait.
    pub fn record_new_served(&mut self) {
        self.credit = (self.credit + RETRY_PART / (1.0 - RETRY_PART)).min(1.0);
    }

    /// Records that a retry takes a slot, which uses up credit also if no slots are kept for new requests.
    pub fn record_retry_served(&mut self) {
        self.credit = (self.credit - 1.0).max(0.0);
    }

    /// Records that a new request has to wait, or is rejected because it would have to wait too long.
    pub fn record_new_waits(&mut self, now_ms: u64) {
        self.new_waited_ms = Some(now_ms);
    }

    /// Part of the completions that new requests leave to retries, if they go on arriving as in the last second.
    pub fn spare_part(&mut self, now_ms: u64, completions_per_ms: Option<f64>) -> f64 {
        let new_per_ms = f64::from(self.new_arrivals.total(now_ms)) / 1_000.0;
        match completions_per_ms {
            Some(per_ms) if per_ms > 0.0 => {
                (1.0 - new_per_ms / per_ms).clamp(RETRY_PART, MAX_SCHEDULED_PART)
            }
            _ => MAX_SCHEDULED_PART,
        }
    }
}
