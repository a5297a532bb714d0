//! Requests that need a target, and how their attempts end.

use smallvec::SmallVec;

use crate::{
    Name,
    dispatch::{Class, RequestId},
    software_versions::StreamOrigin,
};

/// A request that needs a target.
#[derive(Debug, Clone)]
pub struct RequestSpec {
    /// Unique within this process; not reused for another request.
    pub request: RequestId,
    /// Online or batch.
    pub class: Class,
    /// Requested service.
    pub service: Name,
    /// Priority among online requests; 0 is the highest.
    pub priority: u32,
    /// Hash of the prompt's shared prefix, for routing to a target that may have it cached; 0 for none.
    pub affinity: u64,
    /// Targets of earlier attempts; other targets are preferred.
    pub tried_targets: SmallVec<[Name; 2]>,
    /// Monotonic time until which an online request may wait for capacity, or at which an item is due.
    pub deadline_ms: u64,
    /// Total time of earlier runs of an item; the next run resumes after their last event.
    pub prior_run_ms: u64,
    /// What overload control uses to admit an online request.
    pub terms: CallerTerms,
    /// The stream with which the request goes on; `None` if it begins one.
    pub resumes: Option<Resumption>,
}

/// A stream with which a request goes on.
#[derive(Debug, Clone)]
pub struct Resumption {
    /// Run that began the stream.
    pub origin: StreamOrigin,
    /// Monotonic time from which an item begins anew at any version; online requests never do.
    pub until_ms: u64,
}

/// What is known of the caller of an online request, for overload control. All times are monotonic.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallerTerms {
    /// Key of the caller's fair share, from [`crate::overload::fair_share::workspace_key`] of its workspace; 0 if it has
    /// none.
    pub share_key: u64,
    /// When the request arrived.
    pub arrived_ms: u64,
    /// Time from its arrival within which its first event should reach the caller.
    pub objective_ms: u64,
    /// When the caller stops waiting.
    pub deadline_ms: u64,
    /// How long callers of the route wait in total; one that has less time left at its arrival is retrying.
    pub full_wait_ms: u64,
    /// Whether the request may run again at another target after a failed attempt.
    pub is_repeatable: bool,
}

/// Outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The target answered, possibly with an error.
    Answered,
    /// The target reported that it did not run the request.
    Refused,
    /// Another target now has the address.
    WrongTarget,
    /// The connection could not be established.
    Unreachable,
    /// The request was sent, and its answer was lost or truncated.
    Lost,
    /// The request was sent, and went on elsewhere as the target sent nothing for a while.
    Silent,
    /// The request was sent, and the target sent nothing and is known to be gone.
    Gone,
    /// Cancelled by this gateway: preempted, its time was up, or its caller disconnected.
    Cut,
}
