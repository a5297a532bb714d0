//! Memory that is used for data of callers: request bodies, jobs, and answers until their callers have read them.
//!
//! Each holder of buffered data has an account. Streams may use part of the budget to read ahead of their callers; each
//! may hold at most as much as is still free of it, so the largest holder stops first. Request bodies may use more, and
//! whole answers all of it. If a whole answer does not fit, the streams that have been stalled longest are aborted, those
//! that may run again first.
//!
//! A crowd of callers who send large bodies, or bodies that never end, must not shut out others. So a part of the budget is
//! left to small bodies. If a body does not fit, the largest one that has been arriving for some time is aborted, unless
//! it is smaller: a body that arrives quickly does not wait for one that does not.
//!
//! Outputs of batch items are held until they are stored. A running item is never held back or aborted, as its work would
//! be lost; instead no further item starts above a part of the budget.
//!
//! [`PROGRESS_BYTES`] for each request body and whole answer are always allowed, so that small ones never wait. Data that
//! a stream passes on to a caller who reads is not held and never waits.

use std::{cmp::Reverse, collections::BTreeMap};

/// Bytes that a request body or whole answer may always hold.
pub const PROGRESS_BYTES: u64 = 16 * 1024;
/// Part of the limit up to which streams read ahead. The rest is left for requests: slow callers would otherwise shut out
/// new ones.
const READ_AHEAD_PERCENT: u64 = 60;
/// The same for the first [`PROGRESS_BYTES`] of each stream, which most streams have no more than.
const FIRST_READ_AHEAD_PERCENT: u64 = 70;
/// Part of the limit up to which request bodies are read. The rest is left for the answers to accepted requests.
const REQUEST_BODY_PERCENT: u64 = 85;
/// The same for bodies above [`SMALL_BODY_BYTES`] beside others.
const LARGE_BODY_PERCENT: u64 = 60;
/// Size above which a request body counts as large.
const SMALL_BODY_BYTES: u64 = 128 * 1024;
/// Part of the limit above which no further item starts. The rest is left for the answers to accepted requests, and for
/// what running items have yet to produce.
const ITEM_START_PERCENT: u64 = 85;
/// Part of the limit that jobs may hold, and those above [`SMALL_BODY_BYTES`]: a crowd of large jobs leaves room for others.
/// Jobs hold their memory for up to minutes, so most of the limit is left for requests.
const JOB_PERCENT: u64 = 40;
const LARGE_JOB_PERCENT: u64 = 25;
/// The same for requests of items that are being sent, beside the first one.
const ITEM_REQUEST_PERCENT: u64 = 15;
/// The same for answers to readers of jobs.
const JOB_ANSWER_PERCENT: u64 = 20;
/// Time without any delivery after which a stream may be aborted. Shorter stalls occur on links that lose packets.
pub const MIN_STALL_MS: u64 = 1_000;
/// Time for which a request body may arrive before it can be aborted for another one. The largest bodies take less on a
/// sound link.
pub const MIN_ARRIVAL_MS: u64 = 2_000;

/// Identifies an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(u64);

/// What holds buffered data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holder {
    /// A stream that is read ahead of its caller.
    Stream {
        /// Whether its request may run again after an abort.
        is_repeatable: bool,
    },
    /// An answer that is sent to the caller once it is complete.
    WholeAnswer,
    /// A request body.
    RequestBody,
    /// Output of a batch item that is not stored yet.
    ItemOutput,
    /// The items of a job that is run here or read from the store.
    Job,
    /// The request of a batch item while it is sent.
    ItemRequest,
    /// A page of a job's results, or the body of an item, until its reader has taken it.
    JobAnswer,
}

impl Holder {
    /// Label in logs.
    pub fn label(self) -> &'static str {
        match self {
            Holder::Stream { .. } => "stream",
            Holder::WholeAnswer => "whole_answer",
            Holder::RequestBody => "request_body",
            Holder::ItemOutput => "item_output",
            Holder::Job => "job",
            Holder::ItemRequest => "item_request",
            Holder::JobAnswer => "job_answer",
        }
    }
}

/// Decision about more bytes for a holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The bytes may be read.
    Allowed,
    /// The holder asks again when memory has been released.
    Wait,
    /// The holder gives up all of its bytes.
    Aborted(Abort),
}

/// Inputs of the decision to abort a stream or request body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Abort {
    /// Bytes that it held.
    pub held_bytes: u64,
    /// Time since its caller last took data of a stream, or since a request body began to arrive.
    pub stalled_ms: u64,
    /// Bytes that all holders held.
    pub total_bytes: u64,
    /// Most bytes that they may hold.
    pub limit_bytes: u64,
    /// Bytes that did not fit.
    pub wanted_bytes: u64,
    /// What needed them.
    pub wanted_by: Holder,
}

/// Use of the budget.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BufferUse {
    /// Bytes that are held.
    pub held_bytes: u64,
    /// The part of them that is output of batch items.
    pub item_output_bytes: u64,
    /// The part of them that is items of jobs.
    pub job_bytes: u64,
    /// The part of them that is requests of items.
    pub item_request_bytes: u64,
    /// The part of them that is answers to readers of jobs.
    pub job_answer_bytes: u64,
    /// Most bytes that were held at once.
    pub highest_bytes: u64,
    /// Number of times that a stream stopped reading ahead.
    pub pauses: u64,
    /// Number of aborted streams.
    pub aborted: u64,
    /// Number of aborted request bodies.
    pub aborted_bodies: u64,
}

impl BufferUse {
    /// The part of the bytes that is counted for this kind of holder, if it is.
    fn part_mut(&mut self, holder: Holder) -> Option<&mut u64> {
        match holder {
            Holder::ItemOutput => Some(&mut self.item_output_bytes),
            Holder::Job => Some(&mut self.job_bytes),
            Holder::ItemRequest => Some(&mut self.item_request_bytes),
            Holder::JobAnswer => Some(&mut self.job_answer_bytes),
            Holder::Stream { .. } | Holder::WholeAnswer | Holder::RequestBody => None,
        }
    }
}

#[derive(Debug)]
struct Account {
    holder: Holder,
    held_bytes: u64,
    opened_ms: u64,
    /// When the reader last took data, or when the first data was held.
    progress_ms: u64,
    /// Whether a request body has arrived whole.
    is_complete: bool,
    is_paused: bool,
    abort: Option<Abort>,
}

/// State of this decision at one gateway.
#[derive(Debug)]
pub struct BufferBudget {
    limit_bytes: u64,
    accounts: BTreeMap<HolderId, Account>,
    next: u64,
    usage: BufferUse,
    /// Bytes of aborted streams that are not released yet.
    aborted_bytes: u64,
}

impl BufferBudget {
    /// Budget of `limit_bytes`.
    pub fn new(limit_bytes: u64) -> BufferBudget {
        BufferBudget {
            limit_bytes,
            accounts: BTreeMap::new(),
            next: 0,
            usage: BufferUse::default(),
            aborted_bytes: 0,
        }
    }

    /// Current use.
    pub fn usage(&self) -> BufferUse {
        self.usage
    }

    /// Most bytes that may be held.
    pub fn limit_bytes(&self) -> u64 {
        self.limit_bytes
    }

    /// Opens an account.
    pub fn open(&mut self, now_ms: u64, holder: Holder) -> HolderId {
        let id = HolderId(self.next);
        self.next += 1;
        let account = Account {
            holder,
            held_bytes: 0,
            opened_ms: now_ms,
            progress_ms: now_ms,
            is_complete: false,
            is_paused: false,
            abort: None,
        };
        self.accounts.insert(id, account);
        id
    }

    /// Closes an account and releases all of its bytes.
    pub fn close(&mut self, id: HolderId) {
        let Some(account) = self.accounts.remove(&id) else { return };
        self.usage.held_bytes -= account.held_bytes;
        if let Some(part) = self.usage.part_mut(account.holder) {
            *part -= account.held_bytes;
        }
        if account.abort.is_some() {
            self.aborted_bytes -= account.held_bytes;
        }
    }

    /// Records that a request body has arrived whole. It is not aborted any more.
    pub fn complete(&mut self, id: HolderId) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.is_complete = true;
        }
    }

    /// Whether a request body of this size fits while nothing else is held.
    pub fn fits_alone(&self, bytes: u64) -> bool {
        bytes <= PROGRESS_BYTES.max(self.part(REQUEST_BODY_PERCENT))
    }

    /// Whether items may start that hold nothing yet.
    pub fn may_start_items(&self) -> bool {
        self.free_below(ITEM_START_PERCENT) > 0
    }

    /// Inputs of the decision to abort a holder; `None` if it is not aborted.
    pub fn aborted(&self, id: HolderId) -> Option<Abort> {
        self.accounts.get(&id)?.abort
    }

    /// Decides whether a holder may read `bytes` more. Nothing is held by that alone, see [`BufferBudget::hold`].
    pub fn may_hold(&mut self, now_ms: u64, id: HolderId, bytes: u64) -> Verdict {
        let Some(account) = self.accounts.get(&id) else { return Verdict::Wait };
        if let Some(abort) = account.abort {
            return Verdict::Aborted(abort);
        }
        let (holder, held, wanted) =
            (account.holder, account.held_bytes, account.held_bytes + bytes);
        let is_small = wanted <= PROGRESS_BYTES;
        let is_allowed = match holder {
            Holder::Stream { .. } => {
                let is_first = is_small && bytes <= self.free_below(FIRST_READ_AHEAD_PERCENT);
                is_first || wanted <= self.free_below(READ_AHEAD_PERCENT)
            }
            Holder::RequestBody => {
                let is_allowed = is_small || bytes <= self.free_for_body(held, wanted);
                if !is_allowed {
                    self.abort_arriving(now_ms, id, bytes);
                }
                is_allowed
            }
            Holder::WholeAnswer => {
                let fits = bytes <= self.free_below(100);
                if !is_small && !fits {
                    self.abort_stalled(now_ms, bytes, holder);
                }
                is_small || fits
            }
            Holder::ItemOutput => true,
            Holder::ItemRequest => match self.usage.item_request_bytes {
                0 => bytes <= self.free_below(100),
                requests => requests + bytes <= self.part(ITEM_REQUEST_PERCENT),
            },
            Holder::JobAnswer => match self.usage.job_answer_bytes {
                _ if is_small => true,
                0 => bytes <= self.free_below(100),
                answers => answers + bytes <= self.part(JOB_ANSWER_PERCENT),
            },
            Holder::Job => {
                let jobs = self.usage.job_bytes;
                let percent = match wanted > SMALL_BODY_BYTES {
                    true if jobs == held => REQUEST_BODY_PERCENT,
                    true => LARGE_JOB_PERCENT,
                    false => JOB_PERCENT,
                };
                jobs + bytes <= self.part(percent)
            }
        };
        self.note_pause(id, !is_allowed);
        if is_allowed { Verdict::Allowed } else { Verdict::Wait }
    }

    /// Records bytes that a holder has read.
    pub fn hold(&mut self, now_ms: u64, id: HolderId, bytes: u64) {
        let Some(account) = self.accounts.get_mut(&id) else { return };
        if account.held_bytes == 0 {
            account.progress_ms = now_ms;
        }
        account.held_bytes += bytes;
        if account.abort.is_some() {
            self.aborted_bytes += bytes;
        }
        self.usage.held_bytes += bytes;
        if let Some(part) = self.usage.part_mut(account.holder) {
            *part += bytes;
        }
        self.usage.highest_bytes = self.usage.highest_bytes.max(self.usage.held_bytes);
    }

    /// Records bytes that the reader of a holder has taken.
    pub fn release(&mut self, now_ms: u64, id: HolderId, bytes: u64) {
        let Some(account) = self.accounts.get_mut(&id) else { return };
        let bytes = bytes.min(account.held_bytes);
        account.held_bytes -= bytes;
        account.progress_ms = now_ms;
        if account.abort.is_some() {
            self.aborted_bytes -= bytes;
        }
        if let Some(part) = self.usage.part_mut(account.holder) {
            *part -= bytes;
        }
        self.usage.held_bytes -= bytes;
    }

    fn part(&self, percent: u64) -> u64 {
        self.limit_bytes / 100 * percent
    }

    /// Bytes that are free below a part of the limit.
    fn free_below(&self, percent: u64) -> u64 {
        self.part(percent).saturating_sub(self.usage.held_bytes)
    }

    /// Bytes that are free for a request body that holds `held` of the `wanted` bytes.
    fn free_for_body(&self, held: u64, wanted: u64) -> u64 {
        let is_alone = self.usage.held_bytes == held;
        let is_large = wanted > SMALL_BODY_BYTES && !is_alone;
        self.free_below(if is_large { LARGE_BODY_PERCENT } else { REQUEST_BODY_PERCENT })
    }

    fn note_pause(&mut self, id: HolderId, is_paused: bool) {
        let Some(account) = self.accounts.get_mut(&id) else { return };
        let was_paused = std::mem::replace(&mut account.is_paused, is_paused);
        if is_paused && !was_paused && matches!(account.holder, Holder::Stream { .. }) {
            self.usage.pauses += 1;
        }
    }

    /// Aborts the largest request body that has been arriving for some time, for another body that needs `bytes` more and is
    /// not larger. One at a time: whoever waits asks again when its bytes are released.
    fn abort_arriving(&mut self, now_ms: u64, id: HolderId, bytes: u64) {
        let (total_bytes, limit_bytes) = (self.usage.held_bytes, self.limit_bytes);
        let Some(wanted) = self.accounts.get(&id).map(|it| it.held_bytes + bytes) else { return };
        if self.aborted_bytes >= bytes {
            return;
        }
        let arriving = self.accounts.iter_mut().filter(|(it, account)| {
            **it != id
                && account.holder == Holder::RequestBody
                && !account.is_complete
                && account.abort.is_none()
                && account.held_bytes >= wanted
                && now_ms >= account.opened_ms + MIN_ARRIVAL_MS
        });
        let largest = arriving.max_by_key(|(_, it)| (it.held_bytes, Reverse(it.opened_ms)));
        let Some((_, account)) = largest else { return };
        account.abort = Some(Abort {
            held_bytes: account.held_bytes,
            stalled_ms: now_ms.saturating_sub(account.opened_ms),
            total_bytes,
            limit_bytes,
            wanted_bytes: bytes,
            wanted_by: Holder::RequestBody,
        });
        self.aborted_bytes += account.held_bytes;
        self.usage.aborted_bodies += 1;
    }

    /// Aborts stalled streams until `bytes` more fit once they have released theirs, or none is left.
    fn abort_stalled(&mut self, now_ms: u64, bytes: u64, wanted_by: Holder) {
        let (total_bytes, limit_bytes) = (self.usage.held_bytes, self.limit_bytes);
        while total_bytes - self.aborted_bytes + bytes > limit_bytes {
            let Some(account) = longest_stalled(&mut self.accounts, now_ms) else { return };
            account.abort = Some(Abort {
                held_bytes: account.held_bytes,
                stalled_ms: now_ms.saturating_sub(account.progress_ms),
                total_bytes,
                limit_bytes,
                wanted_bytes: bytes,
                wanted_by,
            });
            self.aborted_bytes += account.held_bytes;
            self.usage.aborted += 1;
        }
    }
}

/// Stream that is aborted next: one that may run again before one that must not, then the one stalled longest.
fn longest_stalled(
    accounts: &mut BTreeMap<HolderId, Account>,
    now_ms: u64,
) -> Option<&mut Account> {
    let stalled = accounts.values_mut().filter_map(|it| {
        let Holder::Stream { is_repeatable } = it.holder else { return None };
        let is_stalled = it.held_bytes > 0 && now_ms >= it.progress_ms + MIN_STALL_MS;
        (is_stalled && it.abort.is_none()).then_some((!is_repeatable, it))
    });
    stalled.min_by_key(|(must_not_repeat, it)| (*must_not_repeat, it.progress_ms)).map(|(_, it)| it)
}
