//! What goes into the orders, and what comes out.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    Name,
    ledger::CallId,
    store::{StoreAnswer, StoreOp},
};

/// What a target is to hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wanted {
    /// Weights.
    pub weights: BTreeSet<Name>,
    /// Whether the target refuses orders with old fencing numbers.
    pub checks_fencing: bool,
}

/// How long things take, and how many loads run at once.
#[derive(Debug, Clone)]
pub struct OrdersConfig {
    /// Process that gives the orders.
    pub process: Name,
    /// Start of the process.
    pub incarnation: u64,
    /// Length of any process's lease.
    pub lease_ms: u64,
    /// Margin on a lease, for clocks that run differently.
    pub margin_ms: u64,
    /// Longest time from the sending of an order until it has no effect any more.
    pub longest_order_ms: u64,
    /// Loads from the weight store at once, over all processes.
    pub loads_at_once: usize,
}

/// One order.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Order {
    /// Load a weight from the weight store.
    Load(Name),
    /// Drop a weight.
    Unload(Name),
}

impl Order {
    /// Weight that the order is about.
    pub fn weight(&self) -> &Name {
        match self {
            Order::Load(weight) | Order::Unload(weight) => weight,
        }
    }
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderEnd {
    /// The target did it.
    Done,
    /// The target did not get it, or said that it did nothing.
    NotDone,
    /// The target refused it because a higher fencing number was seen.
    Fenced,
    /// It may have been done.
    Unknown,
}

/// What happened.
#[derive(Debug, Clone)]
pub enum OrdersInput {
    /// Targets for which this process wants to be the giver, and what each is to hold; replaces the former ones.
    Wanted(BTreeMap<Name, Wanted>),
    /// Bounds that the declarations set.
    Bounds {
        /// Loads from the weight store at once, over all processes.
        loads_at_once: usize,
        /// Longest time from the sending of an order until it has no effect any more.
        longest_order_ms: u64,
    },
    /// The own lease is held until this monotonic time.
    Lease {
        /// End of the lease.
        valid_until_ms: u64,
    },
    /// The lease of another process has lapsed.
    Lapsed {
        /// Which process.
        process: Name,
        /// Which start of it.
        incarnation: u64,
    },
    /// A store call was answered.
    Stored {
        /// Which call.
        call: CallId,
        /// Its answer.
        answer: StoreAnswer,
    },
    /// An order ended.
    Ended {
        /// Which target.
        target: Name,
        /// Fencing number that it was sent with.
        fence: u64,
        /// How.
        end: OrderEnd,
    },
    /// Time passed.
    Tick,
}

/// What to do.
#[derive(Debug, Clone, PartialEq)]
pub enum OrdersAction {
    /// Make a store call.
    Store {
        /// Which call.
        call: CallId,
        /// The call.
        op: StoreOp,
    },
    /// Send an order, once, and report how it ended within the longest time of an order.
    Send {
        /// Which target.
        target: Name,
        /// Fencing number.
        fence: u64,
        /// The order.
        order: Order,
    },
}
