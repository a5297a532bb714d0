//! Inputs and actions of the dispatcher.

use std::{net::SocketAddr, sync::Arc};

use super::{
    attempt::AttemptEnd,
    slot_allocator::{LiveGateway, SlotGrant},
};
use crate::{Name, hints::TargetLoad, manifest::Manifest, verdict::Verdict};

/// Location of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Location {
    /// Region, as named in the manifest.
    pub region: Name,
    /// Availability zone within the region.
    pub availability_zone: Name,
}

/// Identifier of a request, unique within one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Scheduling class of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Class {
    /// A caller waits for the answer.
    Online,
    /// An item of a job; runs only in batch slots, and may be preempted for online requests.
    Batch,
}

/// A request to be dispatched to a target.
#[derive(Debug, Clone)]
pub struct RequestSpec {
    /// Identifier; never reused by this process.
    pub request: RequestId,
    /// Scheduling class.
    pub class: Class,
    /// Requested service.
    pub service: Name,
    /// Workspace that the request is accounted to.
    pub workspace: Name,
    /// Deadline on the monotonic clock; an answer after it is useless.
    pub deadline_ms: u64,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Hash of the prompt's prefix, for routing to a target that may have it cached; 0 if there is none.
    pub prefix_hash: u64,
    /// Hash of the whole request, by which a request that crashes targets is recognised.
    pub fingerprint: u64,
    /// Size of the body in bytes.
    pub body_bytes: u32,
    /// Job that the item belongs to; empty for online requests.
    pub job: Name,
    /// Wall-clock time at which the job is due, if it has one.
    pub due_unix_ms: Option<u64>,
}

/// Event that the dispatcher handles.
#[derive(Debug, Clone)]
pub enum Input {
    /// A manifest was received; ignored if its revision is older than the current one.
    Manifest(Arc<Manifest>),
    /// A new request arrived.
    Request(RequestSpec),
    /// The running attempt of a request ended. Sent once for each [`Action::Dispatch`].
    AttemptEnded {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Outcome of the attempt.
        end: AttemptEnd,
    },
    /// The request was cancelled: no caller waits for its answer any more.
    Cancelled {
        /// Cancelled request.
        request: RequestId,
    },
    /// A target was reached and reported its load.
    LoadReport {
        /// Reporting target.
        target: Name,
        /// Running sequences.
        running: u32,
        /// Sequences queued at the target.
        waiting: u32,
    },
    /// A target reported the work that it has done since its start.
    ProgressReport {
        /// Reporting target.
        target: Name,
        /// Total steps.
        steps: u64,
        /// Total tokens.
        tokens: u64,
    },
    /// The set of live gateways, including this one unless it is stopping.
    LiveGateways {
        /// Name of this gateway.
        own_name: Name,
        /// Live gateways, sorted by name.
        live: Vec<LiveGateway>,
    },
    /// The allocator of a target grants this gateway some of the target's batch slots.
    SlotGrant {
        /// Target that the slots belong to.
        target: Name,
        /// Gateway that granted the slots.
        allocator: Name,
        /// Granted slots; replaces the previous grant.
        slots: u32,
        /// Sequence number of the grant; the highest one of an allocator is active.
        epoch: u64,
    },
    /// Another gateway reports its traffic at a target whose batch slots this gateway allocates.
    Demand {
        /// Reporting gateway.
        gateway: Name,
        /// Traffic of that gateway at the target.
        load: TargetLoad,
    },
    /// A target refused a connection outside of any request.
    Unreachable {
        /// Target that refused the connection.
        target: Name,
    },
    /// A target reports, or is known, to be leaving. It gets no new work until it reports a load again.
    Leaving {
        /// Target that is leaving.
        target: Name,
    },
    /// The host list or a peer reports that a target is leaving. It gets no new work for `for_ms`, whatever it reports
    /// itself.
    ReportedLeaving {
        /// Target that is leaving.
        target: Name,
        /// Time for which the report counts, unless it is repeated.
        for_ms: u64,
    },
    /// Periodic timer: expires queued requests and refreshes the batch capacity.
    Tick,
}

/// Action that the caller of the dispatcher must carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the request to a target.
    Dispatch {
        /// Request to send.
        request: RequestId,
        /// Target that it is sent to.
        target: Name,
        /// Address of the target.
        address: SocketAddr,
    },
    /// Abort the running attempt to free its capacity. Its end must be reported as [`AttemptEnd::Aborted`], or as
    /// [`AttemptEnd::Preempted`] if the request is to run again later.
    Abort {
        /// Request whose attempt is aborted.
        request: RequestId,
    },
    /// Grant another gateway batch slots of a target whose slots this gateway allocates.
    SlotGrant {
        /// Target that the slots belong to.
        target: Name,
        /// Grant to send.
        grant: SlotGrant,
    },
    /// Report this gateway's traffic and demand at a target to the gateway that allocates its batch slots.
    Demand {
        /// Gateway that allocates the target's batch slots.
        allocator: Name,
        /// Traffic and demand of this gateway.
        load: TargetLoad,
    },
    /// End the request without an answer. Final: no action for this request follows.
    Refuse {
        /// Refused request.
        request: RequestId,
        /// Whether it may have run, and why it was refused.
        verdict: Verdict,
    },
}
