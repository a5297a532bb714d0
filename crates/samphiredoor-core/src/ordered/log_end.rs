//! Whether a process that holds a job's results in memory holds all that any caller can have read.
//!
//! Results are read at any gateway. What a process has in memory is always a prefix of the stored log, so a result in it can
//! be returned at once. That there is no further result can only be said by a process that has seen the end of the log late
//! enough: after the read arrived, or after the last moment at which a segment that it has not read could be appended.
//! Such segments come from other processes that own the job or did so before, and from a write of its own without an
//! answer. Both can take effect some time after their process has ended or given up on the answer. A process that answers
//! from memory without this check takes back results that a caller was given elsewhere.

use crate::store::{StoreAnswer, StoreOp};

/// Time after a write was given up, or its process has ended, from which it can no longer take effect.
pub const LATE_WRITE_MS: u64 = 6_000;

/// Kind of a call of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum LogCallKind {
    /// Reads the next segment.
    Read,
    /// Creates the next segment.
    Write,
}

/// A call of the log that is under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LogCall {
    kind: LogCallKind,
    sent_ms: u64,
}

impl LogCall {
    /// The call that is sent at a time.
    pub fn new(op: &StoreOp, sent_ms: u64) -> LogCall {
        let kind = match op {
            StoreOp::Create { .. } => LogCallKind::Write,
            _ => LogCallKind::Read,
        };
        LogCall { kind, sent_ms }
    }

    /// Whether it may append to the log.
    pub fn is_write(&self) -> bool {
        self.kind == LogCallKind::Write
    }
}

/// What a process knows of the end of a job's log. All times are in milliseconds of its monotonic clock.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LogEnd {
    /// When the last call was sent that found the end of the log.
    seen_at_ms: Option<u64>,
    /// Whether another process could append at the last update.
    others_append: bool,
    /// Time until which another process may have appended; `None` if there was never one.
    others_until_ms: Option<u64>,
    /// Time until which a write of this process without an answer may take effect.
    doubt_until_ms: Option<u64>,
}

impl LogEnd {
    /// End of the empty log of a new job, to which only this process appends.
    pub fn of_new_job() -> LogEnd {
        LogEnd {
            seen_at_ms: None,
            others_append: false,
            others_until_ms: None,
            doubt_until_ms: None,
        }
    }

    /// Unknown end of a log that other processes may have appended to until now. With a former owner that did not hand the
    /// job over, a last write may still take effect.
    pub fn unread(now_ms: u64, has_former_owner: bool) -> LogEnd {
        LogEnd {
            others_append: has_former_owner,
            others_until_ms: Some(now_ms),
            ..LogEnd::of_new_job()
        }
    }

    /// Notes whether another process can append now. A last write of one that could until now may take effect late.
    pub fn set_others_append(&mut self, others_append: bool, now_ms: u64) {
        if others_append || self.others_append {
            self.others_until_ms = Some(now_ms + LATE_WRITE_MS);
        }
        self.others_append = others_append;
    }

    /// Notes what the answer to a call of the log says about its end.
    pub fn answered(&mut self, call: &LogCall, answer: &StoreAnswer, now_ms: u64) {
        match (call.kind, answer) {
            // The segment exists since a moment after the call was sent, and there was none after it then.
            (LogCallKind::Write, StoreAnswer::Object(_)) => {
                self.segment_known();
                self.seen(call.sent_ms);
            }
            (LogCallKind::Write, StoreAnswer::Unknown) => self.write_unanswered(now_ms),
            (LogCallKind::Write, StoreAnswer::Taken) => self.other_writer_seen(now_ms),
            (LogCallKind::Read, StoreAnswer::Object(_)) => self.segment_known(),
            (LogCallKind::Read, StoreAnswer::Absent) => self.seen(call.sent_ms),
            _ => {}
        }
    }

    /// Notes that another process has appended. Its last write may still take effect.
    pub fn other_writer_seen(&mut self, now_ms: u64) {
        self.others_until_ms = Some(now_ms + LATE_WRITE_MS);
    }

    /// Notes that a write of this process got no answer.
    pub fn write_unanswered(&mut self, now_ms: u64) {
        self.doubt_until_ms = Some(now_ms + LATE_WRITE_MS);
    }

    /// Notes that the next segment is known. A write without an answer can only have created that one.
    pub fn segment_known(&mut self) {
        self.doubt_until_ms = None;
    }

    /// Notes that a call found the end of the log, and when it was sent.
    pub fn seen(&mut self, sent_ms: u64) {
        self.seen_at_ms = self.seen_at_ms.max(Some(sent_ms));
    }

    /// Whether the end is known to a reader that arrived at a time: no caller was given a further result before it.
    pub fn is_known_to(&self, arrived_ms: u64) -> bool {
        self.is_settled() || self.is_seen_since(arrived_ms)
    }

    /// Whether the end was seen after a reader arrived at a time, whoever appends.
    pub fn is_seen_since(&self, arrived_ms: u64) -> bool {
        self.seen_at_ms >= Some(arrived_ms)
    }

    /// When a read of the end settles it for all later readers; `None` if it is settled, or while others can append.
    pub fn settles_at_ms(&self) -> Option<u64> {
        let is_pending = !self.others_append && !self.is_settled();
        is_pending.then(|| self.unread_until_ms().unwrap_or_default())
    }

    /// Whether no segment can have been appended since the end was seen.
    pub fn is_settled(&self) -> bool {
        !self.others_append && self.unread_until_ms().is_none_or(|it| self.seen_at_ms >= Some(it))
    }

    /// Time until which a segment that this process has not read may have been appended.
    fn unread_until_ms(&self) -> Option<u64> {
        self.others_until_ms.max(self.doubt_until_ms)
    }
}
