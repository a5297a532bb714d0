//! What goes into the dispatcher and what comes out.

use std::{net::SocketAddr, sync::Arc};

use super::{
    attempt::AttemptEnd,
    slot_allocator::{LiveGateway, SlotGrant},
};
use crate::{Name, hints::TargetLoad, manifest::Manifest, verdict::Verdict};

/// Where a process stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Location {
    /// Region.
    pub region: Name,
    /// Availability zone.
    pub availability_zone: Name,
}

/// Identity of a request within one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Whether a caller waits for the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Class {
    /// A caller waits.
    Online,
    /// An item of a job; runs on lent capacity only.
    Batch,
}

/// A request that wants a target.
#[derive(Debug, Clone)]
pub struct RequestSpec {
    /// Identity; not used again by this process.
    pub request: RequestId,
    /// Online or batch.
    pub class: Class,
    /// Service asked for.
    pub service: Name,
    /// Workspace that asks.
    pub workspace: Name,
    /// Monotonic time at which an answer is of no use any more.
    pub deadline_ms: u64,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Hash of the beginning of the prompt, for routing to a target that may have it cached.
    pub prefix_hash: u64,
    /// Hash of the whole request, to know it again if it crashes targets.
    pub fingerprint: u64,
    /// Bytes of the body.
    pub body_bytes: u32,
    /// Job that the item belongs to; empty for online requests.
    pub job: Name,
    /// Wall-clock time at which the job is due, if it says so.
    pub due_unix_ms: Option<u64>,
}

/// What happened.
#[derive(Debug, Clone)]
pub enum Input {
    /// A new revision of the declarations.
    Manifest(Arc<Manifest>),
    /// A request wants a target.
    Request(RequestSpec),
    /// The attempt in hand of a request ended; said once for each [`Action::Dispatch`].
    AttemptEnded {
        /// Which request.
        request: RequestId,
        /// How.
        end: AttemptEnd,
    },
    /// Nobody waits for the request any more.
    Cancelled {
        /// Which request.
        request: RequestId,
    },
    /// A target was reached and reported its load.
    LoadReport {
        /// Which target.
        target: Name,
        /// Sequences running.
        running: u32,
        /// Sequences waiting.
        waiting: u32,
    },
    /// A target's own report of the work it has done since its start.
    ProgressReport {
        /// Which target.
        target: Name,
        /// Steps.
        steps: u64,
        /// Tokens.
        tokens: u64,
    },
    /// The doors that are known to live, this one among them.
    LiveGateways {
        /// Name of this door.
        own_name: Name,
        /// All names, in order.
        live: Vec<LiveGateway>,
    },
    /// The lender of a target gives this door a share of its batch slots.
    SlotGrant {
        /// Which target.
        target: Name,
        /// The door that says so.
        allocator: Name,
        /// Slots from now on.
        slots: u32,
        /// Number of the change; the highest one of a lender holds.
        epoch: u64,
    },
    /// Another door tells its traffic at a target that this one lends.
    Demand {
        /// Which door.
        gateway: Name,
        /// Its traffic.
        load: TargetLoad,
    },
    /// A target refused a connection outside of any request.
    Unreachable {
        /// Which target.
        target: Name,
    },
    /// A target says, or is known, to leave: it gets no new work until it reports a load again.
    Leaving {
        /// Which target.
        target: Name,
    },
    /// The host list or a peer says that a target leaves. It gets no new work for this long, whatever it reports of
    /// itself.
    ReportedLeaving {
        /// Which target.
        target: Name,
        /// When the word is forgotten, unless it is heard again.
        for_ms: u64,
    },
    /// Time passed.
    Tick,
}

/// What to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the request to a target.
    Dispatch {
        /// Which request.
        request: RequestId,
        /// Which target.
        target: Name,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Cut the attempt in hand: its capacity is wanted back. Its end is to be reported as [`AttemptEnd::Aborted`],
    /// or as [`AttemptEnd::Preempted`] if it is to go on later.
    Abort {
        /// Which request.
        request: RequestId,
    },
    /// Tell another door which share it has of a target that this one lends.
    SlotGrant {
        /// Which target.
        target: Name,
        /// The share.
        grant: SlotGrant,
    },
    /// Tell the lender of a target what this door has and wants there.
    Demand {
        /// Which door.
        allocator: Name,
        /// The own traffic.
        load: TargetLoad,
    },
    /// The request ends without an answer; this is final.
    Refuse {
        /// Which request.
        request: RequestId,
        /// Whether it may have run.
        verdict: Verdict,
    },
}
