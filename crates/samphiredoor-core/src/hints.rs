//! Hints that gateways send each other immediately. Correctness never depends on them: each may be lost, delayed or
//! duplicated.

use std::{
    collections::{HashSet, VecDeque},
    sync::Arc,
};

use crate::Name;

const MAX_SEEN: usize = 4_096;

/// A hint to one or all gateways.
#[derive(Debug, Clone, PartialEq)]
pub enum Hint {
    /// The header of this job is marked as cancelled.
    Cancelled(Name),
    /// A request may crash targets.
    Suspect {
        /// Hash of the request.
        fingerprint: u64,
        /// Number of targets that were lost while they ran it.
        deaths: u32,
        /// Whether its owner has lifted the suspicion.
        lifted: bool,
    },
    /// This target refused connections, or reported that it is leaving.
    Leaving(Name),
    /// From the slot allocator of a target to a leaseholder: a new limit on its batch requests.
    SlotGrant {
        /// Name of the target.
        target: Name,
        /// Most batch requests at once.
        batch_slots: u32,
        /// Grows with each change by one allocator.
        epoch: u64,
    },
    /// From a leaseholder to the slot allocator of a target: its own traffic there.
    Demand(TargetLoad),
    /// A newer manifest, with this revision, is active.
    Revision(u64),
    /// This job was released by its owner and can be taken over now.
    HandedOver(Name),
    /// The lease of a process has expired.
    LeaseExpired {
        /// Name of the process.
        process: Name,
        /// Incarnation that held the lease.
        incarnation: u64,
    },
}

/// Traffic of one gateway at one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetLoad {
    /// Name of the target.
    pub target: Name,
    /// Online requests that are running.
    pub online_in_flight: u32,
    /// Sent as 0 and ignored; the wire format has this field.
    pub online_envelope: u32,
    /// Batch requests that are running.
    pub batch_in_flight: u32,
    /// Batch requests that are waiting.
    pub batch_wanted: u32,
}

/// Identity of a hint that is broadcast to all gateways.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Origin {
    /// Name and incarnation of the gateway that sent it first.
    pub gateway: Name,
    /// Grows with each hint that this gateway broadcasts.
    pub number: u64,
}

/// Recently received hints, so that each is forwarded once. The set is bounded; a hint that was evicted is forwarded
/// again, which costs one message and does no harm.
#[derive(Debug, Default)]
pub struct SeenHints {
    set: HashSet<Origin>,
    order: VecDeque<Origin>,
}

impl SeenHints {
    /// Adds a hint; returns whether it was new.
    pub fn insert(&mut self, origin: &Origin) -> bool {
        if !self.set.insert(origin.clone()) {
            return false;
        }
        self.order.push_back(origin.clone());
        if self.order.len() > MAX_SEEN
            && let Some(oldest) = self.order.pop_front()
        {
            self.set.remove(&oldest);
        }
        true
    }
}

/// Name of a gateway in [`Origin`]; it differs between any two incarnations.
pub fn origin_name(process: &str, incarnation: u64) -> Name {
    Arc::from(format!("{process}/{incarnation:x}"))
}
