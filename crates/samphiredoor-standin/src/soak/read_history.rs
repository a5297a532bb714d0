//! Results of a job that callers have read, by position. Once a position was read, each later read at any gateway
//! returns the same bytes there: reads of a job are monotonic over all gateways and callers.

use std::{fmt, time::Instant};

/// Read of a job's results that was sent to a gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SentRead {
    /// Name of the job.
    pub job: String,
    /// Gateway that was asked.
    pub gateway: usize,
    /// Position of the first result that was asked for.
    pub after: usize,
    /// Number of results that callers had read when it was sent.
    pub known: usize,
    /// Time at which it was sent.
    pub sent_at: Instant,
}

impl SentRead {
    /// Whether a page of `count` results ends before a position that had been read when this read was sent. Pages are
    /// cut at sizes and segments, so that only the next page tells whether the result is still there.
    pub fn is_short(&self, count: usize) -> bool {
        self.after + count < self.known
    }
}

/// First read of a result.
#[derive(Debug, Clone)]
struct FirstRead {
    /// Id of its item.
    id: String,
    bytes: String,
    gateway: usize,
    at: Instant,
}

impl fmt::Display for FirstRead {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let age_ms = self.at.elapsed().as_millis();
        write!(formatter, "read at gateway {} {age_ms} ms before as {}", self.gateway, self.bytes)
    }
}

/// Results of a job that were read so far.
#[derive(Debug, Clone, Default)]
pub struct ReadHistory(Vec<FirstRead>);

impl ReadHistory {
    /// Number of results that were read.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the result of an item was read.
    pub fn has_item(&self, id: &str) -> bool {
        self.0.iter().any(|it| it.id == id)
    }

    /// Records the result at the next position.
    pub fn push(&mut self, id: &str, bytes: &str, gateway: usize) {
        let (id, bytes) = (id.to_owned(), bytes.to_owned());
        self.0.push(FirstRead { id, bytes, gateway, at: Instant::now() });
    }

    /// Compares a result with the first read of its position; the error describes the difference. `None` if the position
    /// was not read before.
    pub fn compare(
        &self,
        read: &SentRead,
        position: usize,
        bytes: &str,
    ) -> Option<Result<(), String>> {
        let first = self.0.get(position)?;
        let is_same = first.bytes == bytes;
        Some(is_same.then_some(()).ok_or_else(|| {
            format!("position {position}: {first}, now at gateway {} as {bytes}", read.gateway)
        }))
    }

    /// Describes a result that had been read when the read was sent, if its page of `count` results is empty instead of
    /// starting with it.
    pub fn missing(&self, read: &SentRead, count: usize) -> Option<String> {
        let first = self.0.get(read.after).filter(|_| count == 0 && read.is_short(count))?;
        let (gateway, position) = (read.gateway, read.after);
        Some(format!("position {position}: {first}, now nothing at gateway {gateway}"))
    }
}
