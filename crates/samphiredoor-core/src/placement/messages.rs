//! Input events and output actions of the placement.

use std::{collections::HashSet, net::SocketAddr};

use smallvec::SmallVec;

use super::name_hash;
use crate::{
    Name,
    dispatch::{Class, Location, RequestId},
    overload::OverloadNews,
    software_versions::StreamOrigin,
    verdict::Refusal,
};

/// Whether a target accepts work, as reported by discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    /// Accepts work.
    Ready,
    /// Draining: finishes its requests and accepts no new ones.
    Leaving,
}

/// Entry of a target in discovery.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEntry {
    /// Unique name; a target usually gets another one when it restarts.
    pub name: Name,
    /// Service that it serves.
    pub service: Name,
    /// Address on which it accepts connections.
    pub address: SocketAddr,
    /// Region and availability zone.
    pub location: Location,
    /// Maximum number of requests that it runs at once.
    pub slots: u32,
    /// Whether it accepts work.
    pub state: TargetState,
    /// Version of its software; empty if its entry tells none.
    pub software_version: Name,
    /// Wall-clock start time, in milliseconds since 1970; a change means a restart under the same name.
    pub started_unix_ms: u64,
}

impl TargetEntry {
    /// Origin of a stream that begins at the target.
    pub fn stream_origin(&self) -> StreamOrigin {
        StreamOrigin {
            version: Name::clone(&self.software_version),
            target: name_hash(&self.name),
            target_started_unix_ms: self.started_unix_ms,
        }
    }
}

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
    /// The request was sent, and its answer timed out.
    Silent,
    /// Cancelled by this gateway: preempted, or its caller disconnected.
    Cut,
}

/// Load that a target reports in its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that it is running.
    pub running: u32,
    /// Requests that wait at the target for a slot.
    pub waiting: u32,
    /// Maximum number of requests that it runs at once.
    pub slots: u32,
    /// How long work takes on its host at this moment, in percent of the usual time; `None` if it does not report it.
    pub work_percent: Option<u32>,
}

/// Number of requests that one gateway has at one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatewayLoad {
    /// Hash of the target's name, from [`super::name_hash`].
    pub target: u64,
    /// Online requests.
    pub online: u32,
    /// Batch items.
    pub batch: u32,
}

/// Number of items of one service that wait for a slot at one gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingItems {
    /// Hash of the service's name, from [`super::name_hash`].
    pub service: u64,
    /// Number of waiting items.
    pub items: u32,
}

/// Requests of one gateway, as sent to its peers, or of all gateways of a cell.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GatewayState {
    /// Requests at targets; targets without any are omitted.
    pub loads: Vec<GatewayLoad>,
    /// Waiting items; services without any are omitted.
    pub waiting: Vec<WaitingItems>,
}

/// Event that the placement processes.
#[derive(Debug, Clone)]
pub enum Input {
    /// All targets that discovery lists now.
    Targets(Vec<TargetEntry>),
    /// Targets assigned to the own cell, by [`super::name_hash`]. Until the first such event the fleet counts as one cell.
    CellTargets(HashSet<u64>),
    /// A request needs a target.
    Request(RequestSpec),
    /// The attempt in progress ended; sent once for each [`Action::Dispatch`].
    Ended {
        /// Request of the attempt.
        request: RequestId,
        /// Outcome of the attempt.
        end: AttemptEnd,
    },
    /// The first event of the attempt in progress arrived; only needed for overload control.
    FirstEvent {
        /// Request of the attempt.
        request: RequestId,
    },
    /// The caller no longer waits for a decision on a request, which may have been dispatched meanwhile.
    Cancelled {
        /// Request to remove from its queue, or whose slot to free.
        request: RequestId,
    },
    /// A target reported its load.
    LoadReport {
        /// Target that reported.
        target: Name,
        /// Reported load.
        load: ReportedLoad,
    },
    /// A peer sent its requests, or a cell sent the summary of its gateways' requests.
    Peer {
        /// Name of the peer or cell.
        peer: Name,
        /// Its requests; they replace those that it sent before.
        state: GatewayState,
    },
    /// A peer or a cell sent what overload control shares.
    PeerNews {
        /// Name of the peer or cell.
        peer: Name,
        /// Its news; they replace those that it sent before.
        news: OverloadNews,
    },
    /// Time has passed; peers that have timed out expire.
    Tick,
}

/// What the caller of the placement has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the request to a target.
    Dispatch {
        /// Request to send.
        request: RequestId,
        /// Target that gets it.
        target: Name,
        /// Address of the target.
        address: SocketAddr,
        /// Origin of a stream that begins with this attempt.
        origin: StreamOrigin,
        /// Whether the request goes on with its stream; `false` if it begins one, or begins it anew.
        goes_on: bool,
    },
    /// Cancel the attempt in progress, because online requests need its slot.
    Preempt {
        /// Item whose attempt is preempted.
        request: RequestId,
    },
    /// Refuse the request; it has been removed from its queue, so this is final.
    Refuse {
        /// Refused request.
        request: RequestId,
        /// Reason of the refusal.
        reason: Refusal,
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
}
