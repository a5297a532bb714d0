//! Origins of streams that a gateway remembers, its own and those that others sent to it.

use std::collections::{BTreeSet, HashMap};

use super::StreamOrigin;

/// Most records of a gateway; the ones that expire first are dropped. At 50 streams a second and gateway, three copies of
/// each and deadlines of 5 s there are 1,000.
pub const MAX_RECORDS: usize = 16_384;

/// What is recorded of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Hash of the service's name.
    pub service: u64,
    /// Origin of the stream; `None` if it is uncertain.
    pub origin: Option<StreamOrigin>,
    /// Until when its caller may take it up, on the monotonic clock.
    pub until_ms: u64,
    /// Whether the stream was begun here, and its record is yet to be sent to its holders.
    pub is_unsent: bool,
}

/// Records by the hash of the id of the caller's first attempt.
#[derive(Debug, Default)]
pub struct OriginRecords {
    records: HashMap<u64, Record>,
    by_expiry: BTreeSet<(u64, u64)>,
}

impl OriginRecords {
    /// Adds a record, or replaces that of the same stream. An uncertain origin stays uncertain.
    pub fn insert(&mut self, now_ms: u64, stream: u64, mut record: Record) {
        self.remove_expired(now_ms);
        if let Some(known) = self.records.get(&stream) {
            self.by_expiry.remove(&(known.until_ms, stream));
            if known.origin.is_none() {
                record.origin = None;
            }
        }
        self.by_expiry.insert((record.until_ms, stream));
        self.records.insert(stream, record);
        while self.records.len() > MAX_RECORDS
            && let Some((_, first)) = self.by_expiry.pop_first()
        {
            self.records.remove(&first);
        }
    }

    /// Record of a stream.
    pub fn get(&self, now_ms: u64, stream: u64) -> Option<&Record> {
        self.records.get(&stream).filter(|it| now_ms < it.until_ms)
    }

    /// Takes the streams that match and were begun here but not sent to their holders, and marks them as sent.
    pub fn take_unsent(
        &mut self,
        now_ms: u64,
        matches: impl Fn(&Record) -> bool,
    ) -> Vec<(u64, Record)> {
        let records = self.records.iter_mut();
        let unsent = records.filter(|(_, it)| it.is_unsent && now_ms < it.until_ms && matches(it));
        let taken = unsent.map(|(stream, record)| {
            record.is_unsent = false;
            (*stream, record.clone())
        });
        taken.collect()
    }

    /// Makes the origins of streams uncertain whose target is listed with another start and version now.
    pub fn mark_ambiguous(&mut self, listed: &[StreamOrigin]) {
        for record in self.records.values_mut() {
            let is_ambiguous =
                |origin: &StreamOrigin| listed.iter().any(|it| origin.is_ambiguous_after(it));
            if record.origin.as_ref().is_some_and(is_ambiguous) {
                record.origin = None;
            }
        }
    }

    /// Number of records, also of expired ones that are still to be removed.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn remove_expired(&mut self, now_ms: u64) {
        while let Some((until_ms, stream)) = self.by_expiry.first().copied()
            && until_ms <= now_ms
        {
            self.by_expiry.pop_first();
            self.records.remove(&stream);
        }
    }
}
