//! Retry budget: a token bucket that requests fill and retries empty.
//!
//! Without it, each loss of a target or availability zone multiplies the traffic while capacity is lowest, and the
//! overload sustains itself.

/// Tokens of a full bucket; retries allowed before any request has filled it.
const RESERVE: f64 = 10.0;

/// Why a request was retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RetryReason {
    /// The connection failed before anything was sent.
    ConnectFailed,
    /// The target refused the request without running it.
    Pushback,
    /// The answer was lost, and the request may run more than once.
    AnswerLost,
}

impl RetryReason {
    /// All reasons, so that their counters exist before the first retry.
    pub const ALL: [RetryReason; 3] =
        [RetryReason::ConnectFailed, RetryReason::Pushback, RetryReason::AnswerLost];

    /// Label in metrics and logs.
    pub fn label(self) -> &'static str {
        match self {
            RetryReason::ConnectFailed => "connect_failed",
            RetryReason::Pushback => "pushback",
            RetryReason::AnswerLost => "answer_lost",
        }
    }
}

/// Retry budget of one service.
#[derive(Debug)]
pub(super) struct RetryBudget {
    tokens: f64,
    per_request: f64,
}

impl RetryBudget {
    pub(super) fn new(percent: u32) -> RetryBudget {
        RetryBudget { tokens: RESERVE, per_request: f64::from(percent) / 100.0 }
    }

    /// Adds the share of a token that a new request contributes.
    pub(super) fn request_arrived(&mut self) {
        let most = RESERVE.max(self.per_request);
        self.tokens = (self.tokens + self.per_request).min(most);
    }

    /// Takes a token for a retry; returns whether there was one.
    pub(super) fn spend(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
