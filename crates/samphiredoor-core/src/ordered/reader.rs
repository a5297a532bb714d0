//! What a process that holds a job's results in memory answers to a reader.
//!
//! A result in memory is returned at once, as what a process holds is a prefix of the stored log. That there is none after
//! it is answered only if no caller can have been given one before the read arrived: the process has seen the end of the
//! log since then, or it knows the end and no other process can have become the owner until then. Anything else is left to
//! the store, or to a later read while the store is lost. So an answer never takes back what another one gave.

use super::LogEnd;

/// A reader that waits for results.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Reader {
    /// Number of results that it already has.
    pub after: usize,
    /// When its read arrived at this process.
    pub arrived_ms: u64,
}

/// Whether another process may have become the owner of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ownership {
    /// The job is marked as finished, so that none can take it over.
    Final,
    /// None had taken it over until this time.
    HeldUntil(u64),
    /// One may have taken it over at any time.
    InDoubt,
}

/// Answer to a reader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The results from a position on, as far as they are held here; there may be none, and the position may be beyond the
    /// last item.
    Page {
        /// Position of the first result.
        from: usize,
    },
    /// Nothing yet.
    Wait,
    /// There may be more than is held here; the store knows.
    UseStore,
    /// There may be more than is held here, and the store does not answer this process.
    Unsure,
}

/// What a process knows of a job's results.
#[derive(Debug, Clone, Copy)]
pub struct KnownResults<'a> {
    /// Number of committed results that it holds.
    pub committed: usize,
    /// Number of items of the job.
    pub total: usize,
    /// End of the log.
    pub end: &'a LogEnd,
    /// Whether a write of it is under way, which may have taken effect already.
    pub is_writing: bool,
    /// Whether another process may have become the owner.
    pub ownership: Ownership,
}

impl KnownResults<'_> {
    /// Answers a reader. Its wait is over if its time is up or if the job is closed here.
    pub fn answer(&self, reader: &Reader, wait_is_over: bool, store_is_lost: bool) -> Answer {
        if reader.after < self.committed || reader.after >= self.total {
            return Answer::Page { from: reader.after };
        }
        match wait_is_over {
            false => Answer::Wait,
            true if self.has_all_for(reader) => Answer::Page { from: reader.after },
            true if store_is_lost => Answer::Unsure,
            true => Answer::UseStore,
        }
    }

    /// Whether no caller can have been given a result that is not held here before a reader arrived.
    pub fn has_all_for(&self, reader: &Reader) -> bool {
        let is_settled = self.end.is_settled() && self.is_only_writer_until(reader.arrived_ms);
        let is_end_known = is_settled || self.end.is_seen_since(reader.arrived_ms);
        reader.after >= self.total || (reader.after <= self.committed && is_end_known)
    }

    /// Whether only writes whose answers are known can have been made by owners until a time. Former owners count in
    /// [`LogEnd`].
    fn is_only_writer_until(&self, time_ms: u64) -> bool {
        let holds = match self.ownership {
            Ownership::Final => true,
            Ownership::HeldUntil(until_ms) => until_ms >= time_ms,
            Ownership::InDoubt => false,
        };
        holds && !self.is_writing
    }
}
