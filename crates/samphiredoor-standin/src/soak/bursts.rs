//! Bursts of crashes by chance under sound work: requests and items share parts of their prompts that nobody has answered
//! yet, so that each crash takes several of them. Once all is calm, none of them may be held for it.

use std::time::{Duration, Instant};

use base64::{Engine, engine::general_purpose::STANDARD};
use rand::{Rng, rngs::SmallRng};
use serde_json::{Value, json};

use super::{checks::ITEM_SEPARATOR, connection::Reply};

/// First part of all prompts.
const FIRST_PART: &str = "a0";
/// Time after which requests share another part. A run takes nearly as long, so that a new part has no answer at first.
const PART_PERIOD_MS: u64 = 2_500;
/// Number of earlier parts that requests still have.
const EARLIER_PARTS: u64 = 4;
/// Probability that a request has the newest part.
const NEWEST_PROBABILITY: f64 = 0.5;
/// Time after the last crash in which sound requests may still be refused.
const CALM_AFTER: Duration = Duration::from_secs(5);

/// Prompt of the request with this number that is sent at this time of the run.
pub fn prompt(elapsed_ms: u64, number: u64, rng: &mut SmallRng) -> String {
    let newest = elapsed_ms / PART_PERIOD_MS;
    let age =
        if rng.random_bool(NEWEST_PROBABILITY) { 0 } else { rng.random_range(0..=EARLIER_PARTS) };
    format!("{FIRST_PART}:100,s{}:100,d{number}:100", newest.saturating_sub(age))
}

/// Body of a job submission; the items share a part of their prompts, and the body of each is its id.
pub fn submission(job: &str, items: &[String]) -> String {
    let item = |id: &String| {
        let own = id.rsplit(ITEM_SEPARATOR).next().unwrap_or_default();
        json!({
            "id": id, "path": "/batch/item", "body": STANDARD.encode(id), "tokenCount": 10,
            "headers": {
                "X-Model": "m", "X-Prompt-Prefix": format!("{FIRST_PART}:100,{job}:100,e{own}:100"),
            },
        })
    };
    json!({ "items": items.iter().map(item).collect::<Vec<Value>>() }).to_string()
}

/// What the checks know of crashes by chance.
#[derive(Debug, Default)]
pub struct Bursts {
    last_crash: Option<Instant>,
    /// Targets that crashed by chance.
    pub crashed: u64,
    /// Sound requests that were refused as quarantined.
    pub refused: u64,
}

impl Bursts {
    /// Records that a target crashed by chance.
    pub fn record_crash(&mut self, at: Instant) {
        self.last_crash = Some(at);
        self.crashed += 1;
    }

    /// Counts the answer to a sound request that was sent at this time; returns what is wrong with it.
    pub fn problem(&mut self, sent_at: Instant, reply: &Reply) -> Option<String> {
        let last_crash = self.last_crash.filter(|_| reply.is_quarantined())?;
        self.refused += 1;
        let since = sent_at.saturating_duration_since(last_crash);
        (since > CALM_AFTER)
            .then(|| format!("quarantined {} ms after the last crash", since.as_millis()))
    }
}
