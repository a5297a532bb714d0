//! What goes into the placement and what comes out.

use std::{collections::HashSet, net::SocketAddr};

use smallvec::SmallVec;

use crate::{
    Name,
    dispatch::{Class, Location, RequestId},
    verdict::Refusal,
};

/// What a target says of itself, or what is said of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    /// Takes work.
    Ready,
    /// Finishes what it has and takes nothing new.
    Leaving,
}

/// A target as discovery knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEntry {
    /// Identity; a target that starts anew mostly has another one.
    pub name: Name,
    /// Service that it serves.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub location: Location,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes work.
    pub state: TargetState,
    /// Wall-clock start, in milliseconds since 1970; tells a restart under the same name.
    pub started_unix_ms: u64,
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
    /// Urgency among online requests; 0 is the highest.
    pub priority: u32,
    /// Hash of the prompt's shared beginning, for routing to a target that may have it cached; 0 for none.
    pub affinity: u64,
    /// Targets on which it was tried before; others come first.
    pub tried_targets: SmallVec<[Name; 2]>,
    /// Monotonic time: until when an online request may wait for room, or when an item is due.
    pub deadline_ms: u64,
    /// How long earlier runs of an item took, after whose last event it goes on.
    pub prior_run_ms: u64,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The target answered, be it with a failure of its own.
    Answered,
    /// The target said that it did not run the request.
    Refused,
    /// Another target has the address by now.
    WrongTarget,
    /// The connection could not be made.
    Unreachable,
    /// The request was sent and its answer was lost or cut.
    Lost,
    /// The request was sent, and nothing came for too long.
    Silent,
    /// Cut on this side: recalled, or its caller has gone.
    Cut,
}

/// Load that a target tells of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait at it.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// Requests of one door at one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatewayLoad {
    /// Target, by [`super::name_hash`].
    pub target: u64,
    /// Online requests.
    pub online: u32,
    /// Items of jobs.
    pub batch: u32,
}

/// Items of one service that wait for room at one door.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingItems {
    /// Service, by [`super::name_hash`].
    pub service: u64,
    /// How many wait.
    pub items: u32,
}

/// What a door tells others of its requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GatewayState {
    /// Requests at targets; targets without any are left out.
    pub loads: Vec<GatewayLoad>,
    /// Items that wait; services without any are left out.
    pub waiting: Vec<WaitingItems>,
}

/// What happened.
#[derive(Debug, Clone)]
pub enum Input {
    /// All targets as discovery knows them now.
    Targets(Vec<TargetEntry>),
    /// Targets that the own cell shares, by [`super::name_hash`]. Before the first one the fleet counts as one cell.
    CellTargets(HashSet<u64>),
    /// A request wants a target.
    Request(RequestSpec),
    /// The attempt in hand ended; said once for each [`Action::Dispatch`].
    Ended {
        /// Which request.
        request: RequestId,
        /// How.
        end: AttemptEnd,
    },
    /// A request that waits is given up by its caller.
    Cancelled {
        /// Which request.
        request: RequestId,
    },
    /// A target told its load.
    LoadReport {
        /// Which target.
        target: Name,
        /// What it said.
        load: ReportedLoad,
    },
    /// Another door tells its requests, or a cell those of all its doors.
    Peer {
        /// Which door or cell.
        peer: Name,
        /// Its requests.
        state: GatewayState,
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
    /// Cut the attempt in hand: online requests need its room.
    Preempt {
        /// Which request.
        request: RequestId,
    },
    /// The request gets no target; this is final.
    Refuse {
        /// Which request.
        request: RequestId,
        /// Why.
        reason: Refusal,
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
}
