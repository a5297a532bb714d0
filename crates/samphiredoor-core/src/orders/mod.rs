//! Orders to targets: which weights each is to hold, given by one process at a time.
//!
//! A late order of a former giver must not undo what a later one ordered. One object a target holds the giver and a
//! fencing number that grows with each taking. Safety: a target that checks the number refuses late orders itself; for
//! one that does not, a giver sends only for a lease's length after it last saw in the store that it is the giver, and the
//! next one waits that long, a margin, and the longest order after its taking. The intent of each order is written
//! before it is sent, so that the next giver knows what may have happened. Speed: by rendezvous hash one process at a time
//! wants to be the giver, so that takings are rare.
//!
//! Loads are paced: the weight store is rate-limited, and one object holds the loads that run at once. The pace is no
//! promise; a slot of a process that is gone is dropped by whoever needs one.

mod giver;
mod pace;
mod ring;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

pub use ring::Ring;

use crate::{
    Name,
    ledger::CallId,
    store::{StoreAnswer, StoreOp},
    time::Now,
};
use giver::Giver;
use pace::Pace;

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

/// Orders that this process gives.
#[derive(Debug)]
pub struct Orders {
    config: OrdersConfig,
    givers: BTreeMap<Name, Giver>,
    pace: Pace,
    lease_until_ms: u64,
    next_call: u64,
}

/// Numbers store calls and collects actions.
struct Outbox<'a> {
    next_call: &'a mut u64,
    out: &'a mut Vec<OrdersAction>,
}

impl Outbox<'_> {
    fn store(&mut self, op: StoreOp) -> CallId {
        let call = CallId(*self.next_call);
        *self.next_call += 1;
        self.out.push(OrdersAction::Store { call, op });
        call
    }
}

impl Orders {
    /// Process that gives no orders yet.
    pub fn new(config: OrdersConfig) -> Orders {
        let pace = Pace::new(&config);
        Orders { config, givers: BTreeMap::new(), pace, lease_until_ms: 0, next_call: 0 }
    }

    /// Weights that a target holds, as far as this process, as its giver, knows.
    pub fn held(&self, target: &str) -> Option<&BTreeSet<Name>> {
        self.givers.get(target).and_then(Giver::held)
    }

    /// Takes one event; appends what to do to `out`.
    pub fn handle(&mut self, now: Now, input: OrdersInput, out: &mut Vec<OrdersAction>) {
        match input {
            OrdersInput::Wanted(wanted) => self.givers_for(wanted),
            OrdersInput::Bounds { loads_at_once, longest_order_ms } => {
                self.config.longest_order_ms = longest_order_ms;
                self.pace.set_limit(loads_at_once);
                for giver in self.givers.values_mut() {
                    giver.set_longest_order(longest_order_ms);
                }
            }
            OrdersInput::Lease { valid_until_ms } => self.lease_until_ms = valid_until_ms,
            OrdersInput::Lapsed { process, incarnation } => self.pace.lapsed(&process, incarnation),
            OrdersInput::Stored { call, answer } => {
                if !self.pace.stored(now, call, &answer) {
                    let mut givers = self.givers.values_mut();
                    givers.any(|it| it.stored(now, call, &answer));
                }
            }
            OrdersInput::Ended { target, fence, end } => {
                if let Some(giver) = self.givers.get_mut(&target) {
                    giver.ended(now, fence, end);
                }
            }
            OrdersInput::Tick => {}
        }
        let mut outbox = Outbox { next_call: &mut self.next_call, out };
        let leased = now.mono_ms + self.config.margin_ms < self.lease_until_ms;
        for (target, giver) in &mut self.givers {
            giver.step(now, leased, &mut self.pace, &mut outbox);
            if !giver.wants_slot() {
                self.pace.release(target);
            }
        }
        self.givers.retain(|_, giver| !giver.is_over());
        self.pace.retain(|target| self.givers.contains_key(target));
        self.pace.step(now, &mut outbox);
    }

    fn givers_for(&mut self, wanted: BTreeMap<Name, Wanted>) {
        for (target, giver) in &mut self.givers {
            giver.set_wanted(wanted.get(target).cloned());
        }
        for (target, wanted) in wanted {
            let config = &self.config;
            let new = || Giver::new(Arc::clone(&target), wanted, config.clone());
            self.givers.entry(Arc::clone(&target)).or_insert_with(new);
        }
    }
}
