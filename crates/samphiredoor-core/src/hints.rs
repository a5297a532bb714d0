//! Hints that doors tell each other at once. Safety never rests on one: each can be lost, late or doubled.

use std::{
    collections::{HashSet, VecDeque},
    sync::Arc,
};

use crate::Name;

const SEEN_LEN: usize = 4_096;

/// A hint.
#[derive(Debug, Clone, PartialEq)]
pub enum Hint {
    /// A job's header says that it is cancelled.
    Cancelled(Name),
    /// A request may crash targets.
    Suspect {
        /// Hash of the request.
        fingerprint: u64,
        /// Targets that were lost with it.
        deaths: u32,
        /// Whether its owner has lifted the suspicion.
        lifted: bool,
    },
    /// A target refused connections or said that it leaves.
    Leaving(Name),
    /// From a target's lender to a borrower: at most so many batch requests.
    Recall {
        /// Which target.
        target: Name,
        /// Most batch requests at once.
        batch_slots: u32,
        /// Grows with each change by one lender.
        epoch: u64,
    },
    /// From a borrower to a target's lender: its own traffic there.
    Need(TargetLoad),
    /// A newer manifest is in force.
    Revision(u64),
    /// A job is free to be taken now.
    HandedOver(Name),
    /// The lease of a process has lapsed.
    Lapsed {
        /// Which process.
        process: Name,
        /// Which start of it.
        incarnation: u64,
    },
}

/// One door's own traffic at one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetLoad {
    /// Which target.
    pub target: Name,
    /// Online requests that run.
    pub online_in_flight: u32,
    /// Online requests that may run soon.
    pub online_envelope: u32,
    /// Batch requests that run.
    pub batch_in_flight: u32,
    /// Batch requests that wait.
    pub batch_wanted: u32,
}

/// Who spread a hint to all doors, and as which of its own.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Origin {
    /// Name and incarnation of the door.
    pub door: Name,
    /// Grows with each hint that the door spreads.
    pub number: u64,
}

/// Hints seen lately, so that each is passed on once. Bounded: one that was forgotten is passed on again, which costs
/// a message and does no harm.
#[derive(Debug, Default)]
pub struct SeenHints {
    set: HashSet<Origin>,
    order: VecDeque<Origin>,
}

impl SeenHints {
    /// Remembers a hint; tells whether it was new.
    pub fn insert(&mut self, origin: &Origin) -> bool {
        if !self.set.insert(origin.clone()) {
            return false;
        }
        self.order.push_back(origin.clone());
        if self.order.len() > SEEN_LEN
            && let Some(oldest) = self.order.pop_front()
        {
            self.set.remove(&oldest);
        }
        true
    }
}

/// Name by which a door spreads hints: it differs between any two starts.
pub fn origin_name(process: &str, incarnation: u64) -> Name {
    Arc::from(format!("{process}/{incarnation:x}"))
}
