//! Token bucket: bounds the runs in any window.

use super::RateLimit;

/// Tokens by which sums of refills may fall short of a whole token, as they are rounded.
const ROUNDING: f64 = 1e-6;

/// Token bucket of one rate limit.
///
/// It holds at most `burst` tokens and gains `rate_per_s` of them each second, so the tokens that are taken in any window
/// of `w` seconds are at most `rate_per_s * w + burst`. Runs that nobody asked for are charged and leave a debt.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    limit: RateLimit,
    tokens: f64,
    updated_ms: u64,
}

impl TokenBucket {
    /// Creates a bucket with this many tokens, at most the burst of its limit.
    pub fn new(now_ms: u64, limit: RateLimit, tokens: f64) -> TokenBucket {
        TokenBucket { limit, tokens: tokens.min(limit.burst), updated_ms: now_ms }
    }

    /// Limit of the bucket.
    pub fn limit(&self) -> RateLimit {
        self.limit
    }

    /// Replaces the limit; tokens above a lower burst are lost.
    pub fn set_limit(&mut self, now_ms: u64, limit: RateLimit) {
        self.refill(now_ms);
        self.limit = limit;
        self.tokens = self.tokens.min(limit.burst);
    }

    /// Takes up to `wanted` tokens, and returns how many it took.
    pub fn take(&mut self, now_ms: u64, wanted: u32) -> u32 {
        self.refill(now_ms);
        let taken = wanted.min((self.tokens + ROUNDING).max(0.0) as u32);
        self.tokens -= f64::from(taken);
        taken
    }

    /// Charges runs that were not asked for, up to a debt.
    pub fn charge(&mut self, now_ms: u64, runs: u32, max_debt: f64) {
        self.refill(now_ms);
        self.tokens = (self.tokens - f64::from(runs)).max(self.tokens.min(-max_debt));
    }

    /// Returns tokens that were taken and not used.
    pub fn put_back(&mut self, now_ms: u64, tokens: u32) {
        self.refill(now_ms);
        self.tokens = (self.tokens + f64::from(tokens)).min(self.limit.burst);
    }

    /// Time until the bucket holds a whole token.
    pub fn wait_ms(&mut self, now_ms: u64) -> f64 {
        self.refill(now_ms);
        (1.0 - self.tokens).max(0.0) * self.limit.interval_ms()
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_s = now_ms.saturating_sub(self.updated_ms) as f64 / 1_000.0;
        self.tokens = (self.tokens + elapsed_s * self.limit.rate_per_s).min(self.limit.burst);
        self.updated_ms = self.updated_ms.max(now_ms);
    }
}
