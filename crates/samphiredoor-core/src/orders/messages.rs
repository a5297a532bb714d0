//! Inputs and actions of the orders.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    Name,
    ledger::CallId,
    store::{StoreAnswer, StoreOp},
};

/// Desired state of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredState {
    /// Weights that the target is to hold.
    pub weights: BTreeSet<Name>,
    /// Whether the target refuses orders with old fencing numbers.
    pub checks_fencing: bool,
}

/// Timing bounds, the limit of simultaneous loads, and the identity of this process.
#[derive(Debug, Clone)]
pub struct OrdersConfig {
    /// Name of this process.
    pub process: Name,
    /// Incarnation of this process.
    pub incarnation: u64,
    /// Lease duration, the same for all processes.
    pub lease_ms: u64,
    /// Safety margin on a lease, for clocks that run at different rates.
    pub margin_ms: u64,
    /// Longest time after an order was sent at which it can still take effect.
    pub longest_order_ms: u64,
    /// Limit of simultaneous loads from the weight store, over all processes.
    pub loads_at_once: usize,
}

/// Command to a target.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Order {
    /// Load a weight from the weight store.
    Load(Name),
    /// Drop a weight.
    Unload(Name),
}

impl Order {
    /// Weight that the order loads or unloads.
    pub fn weight(&self) -> &Name {
        match self {
            Order::Load(weight) | Order::Unload(weight) => weight,
        }
    }
}

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderEnd {
    /// The target carried out the order.
    Done,
    /// The target did not receive the order, or reported that it did nothing.
    NotDone,
    /// The target refused the order because it has seen a higher fencing number.
    Fenced,
    /// The order may have been carried out, or may still be.
    Unknown,
}

/// Event that the orders handle.
#[derive(Debug, Clone)]
pub enum OrdersInput {
    /// Targets that this process is to lead, with their desired state; replaces the previous ones.
    DesiredStates(BTreeMap<Name, DesiredState>),
    /// Bounds from the manifest.
    Bounds {
        /// Limit of simultaneous loads from the weight store, over all processes.
        loads_at_once: usize,
        /// Longest time after an order was sent at which it can still take effect.
        longest_order_ms: u64,
    },
    /// The lease of this process was renewed.
    Lease {
        /// End of the lease on the monotonic clock.
        valid_until_ms: u64,
    },
    /// The lease of another process has expired.
    LeaseExpired {
        /// Name of that process.
        process: Name,
        /// Incarnation of that process.
        incarnation: u64,
    },
    /// A store call was answered.
    Stored {
        /// Number of the call in [`OrdersAction::Store`].
        call: CallId,
        /// Answer of the store.
        answer: StoreAnswer,
    },
    /// An order ended.
    Ended {
        /// Target that the order was sent to.
        target: Name,
        /// Fencing number that it was sent with.
        fence: u64,
        /// Outcome of the order.
        end: OrderEnd,
    },
    /// Periodic timer, for retries and waits.
    Tick,
}

/// Action that the caller must carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum OrdersAction {
    /// Make a store call.
    Store {
        /// Number to report the answer with.
        call: CallId,
        /// Operation on the store.
        op: StoreOp,
    },
    /// Send an order, once, and report its outcome within the longest time of an order.
    Send {
        /// Target to send the order to.
        target: Name,
        /// Fencing number to send with it.
        fence: u64,
        /// Order to send.
        order: Order,
    },
}
