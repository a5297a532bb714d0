//! Whether a failed attempt is tried again: a budget of tokens that requests fill and retries spend.
//!
//! Without it each loss of a target or availability zone multiplies the traffic at the moment when there is least
//! room for it, and the overload keeps itself alive.

const RESERVE: f64 = 10.0;

/// Why a request was tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RetryReason {
    /// The connection failed before anything was sent.
    ConnectFailed,
    /// The target refused it without running it.
    Pushback,
    /// The answer was lost, and the request may run again.
    AnswerLost,
}

impl RetryReason {
    /// All reasons, for counters that stand at zero.
    pub const ALL: [RetryReason; 3] =
        [RetryReason::ConnectFailed, RetryReason::Pushback, RetryReason::AnswerLost];

    /// Label of the reason in counters and logs.
    pub fn label(self) -> &'static str {
        match self {
            RetryReason::ConnectFailed => "connect_failed",
            RetryReason::Pushback => "pushback",
            RetryReason::AnswerLost => "answer_lost",
        }
    }
}

/// Tokens for the retries of one service.
#[derive(Debug)]
pub(super) struct RetryBudget {
    tokens: f64,
    per_request: f64,
}

impl RetryBudget {
    pub(super) fn new(percent: u32) -> RetryBudget {
        RetryBudget { tokens: RESERVE, per_request: f64::from(percent) / 100.0 }
    }

    pub(super) fn request_arrived(&mut self) {
        let most = RESERVE.max(self.per_request);
        self.tokens = (self.tokens + self.per_request).min(most);
    }

    /// Takes a token if there is one.
    pub(super) fn spend(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
