//! Input events and output actions of the placement.

use std::{collections::HashSet, net::SocketAddr};

use crate::{
    Name,
    dispatch::RequestId,
    overload::OverloadNews,
    requests::{AttemptEnd, RequestSpec},
    software_versions::StreamOrigin,
    target_entry::{ReportedLoad, TargetEntry},
    verdict::Refusal,
};

/// Number of requests that one gateway has at one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatewayLoad {
    /// Hash of the target's name, from [`crate::names::name_hash`].
    pub target: u64,
    /// Online requests.
    pub online: u32,
    /// Batch items.
    pub batch: u32,
}

/// Number of items of one service that wait for a slot at one gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingItems {
    /// Hash of the service's name, from [`crate::names::name_hash`].
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
    /// Targets assigned to the own cell, by [`crate::names::name_hash`]. Until the first such event the fleet counts as one cell.
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
    /// The target has sent data to a request for which it was silent.
    SilenceEnded {
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
