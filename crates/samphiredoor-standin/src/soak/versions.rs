//! Streams of targets of several software versions, checked from the events that callers received.
//!
//! The data of an event names the version that wrote it. A stream, and the text of an item, must be by one version, also
//! if a caller takes the stream up with another request.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::connection::Reply;
use crate::fleet::{stream_after, whole_text};

/// Streams that have to be taken up before the share that goes on is judged.
const MIN_JUDGED: u64 = 12;

/// A stream that a caller takes up again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TakeUp {
    /// Id of the attempt that brought the first event.
    pub first: String,
    /// Number of the last event that was received.
    pub after: u64,
}

/// What became of streams that callers took up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TakeUps {
    /// Streams that were taken up.
    pub sent: u64,
    /// Those that went on.
    pub went_on: u64,
    /// Streams that were taken up at gateways in touch.
    pub sent_in_touch: u64,
    /// Those of them that went on.
    pub went_on_in_touch: u64,
}

/// Versions of all targets, and the streams that callers have begun and taken up.
#[derive(Debug)]
pub struct Versions {
    versions: Vec<&'static str>,
    /// Size to which the data of the events in answers to requests is padded.
    event_bytes: usize,
    /// Version of the first event of each stream, by the id of the attempt that brought it.
    begun: HashMap<String, &'static str>,
    taken_up: HashMap<String, TakeUp>,
    /// When the first stream began.
    first_begun_at: Option<Instant>,
    counts: TakeUps,
}

impl Default for Versions {
    fn default() -> Versions {
        Versions {
            versions: vec!["v1"],
            event_bytes: 0,
            begun: HashMap::new(),
            taken_up: HashMap::new(),
            first_begun_at: None,
            counts: TakeUps::default(),
        }
    }
}

impl Versions {
    /// Sets the versions of targets.
    pub fn set_versions(&mut self, versions: &[&'static str]) {
        self.versions = versions.to_vec();
    }

    /// Sets the size to which the data of the events in answers to requests is padded.
    pub fn set_event_bytes(&mut self, bytes: usize) {
        self.event_bytes = bytes;
    }

    /// Records that a request is about to take up a stream.
    pub fn record_take_up(&mut self, id: &str, take_up: TakeUp) {
        self.taken_up.insert(id.to_owned(), take_up);
    }

    /// Whether the first stream began this long before a moment; until then gateways may not know each other.
    pub fn has_run_for(&self, at: Instant, time: Duration) -> bool {
        self.first_begun_at.is_some_and(|it| at.saturating_duration_since(it) >= time)
    }

    /// What became of streams that were taken up.
    pub fn counts(&self) -> TakeUps {
        self.counts
    }

    /// What a request takes up, if it does.
    pub fn take_up(&self, id: &str) -> Option<&TakeUp> {
        self.taken_up.get(id)
    }

    /// Whether a request takes up a stream.
    pub fn is_take_up(&self, id: &str) -> bool {
        self.taken_up.contains_key(id)
    }

    /// Counts a stream that was taken up.
    pub fn count_take_up(&mut self, is_in_touch: bool, went_on: bool) {
        self.counts.sent += 1;
        self.counts.went_on += u64::from(went_on);
        self.counts.sent_in_touch += u64::from(is_in_touch);
        self.counts.went_on_in_touch += u64::from(is_in_touch && went_on);
    }

    /// Whether the body of a success is that of one version, from the event on that the request asked for; notes the version
    /// of a stream that begins.
    pub fn check_body(&mut self, id: &str, reply: &Reply) -> bool {
        let take_up = self.taken_up.get(id);
        let after = take_up.map_or(0, |it| it.after);
        let fits = |version: &&&'static str| {
            let whole = stream_after(version, self.event_bytes, after);
            match reply.is_complete {
                true => reply.body == whole.as_bytes(),
                false => whole.as_bytes().starts_with(&reply.body),
            }
        };
        let began_at = take_up.and_then(|it| self.begun.get(&it.first)).copied();
        // Until the first data arrived, the body fits each version.
        let fitting: Vec<&'static str> = self.versions.iter().filter(fits).copied().collect();
        if let (None, [version]) = (take_up, &fitting[..]) {
            self.begun.insert(id.to_owned(), version);
            self.first_begun_at.get_or_insert_with(Instant::now);
        }
        match began_at {
            Some(version) => fitting.contains(&version),
            None => !fitting.is_empty(),
        }
    }

    /// Whether the text of an item is that of one version.
    pub fn is_text_of_one(&self, text: &str) -> bool {
        self.versions.iter().any(|it| whole_text(it) == text)
    }

    /// What is wrong with the share of streams that went on: under half of the share of requests that were served.
    pub fn take_up_problem(&self, served: u64, not_served: u64) -> Option<String> {
        let TakeUps { sent_in_touch: sent, went_on_in_touch: went_on, .. } = self.counts;
        let served_share = served as f64 / (served + not_served).max(1) as f64;
        let share = went_on as f64 / sent.max(1) as f64;
        let is_too_low = sent >= MIN_JUDGED && share < served_share / 2.0;
        is_too_low.then(|| {
            format!("{went_on} of {sent} went on, {served_share:.2} of new requests were served")
        })
    }
}
