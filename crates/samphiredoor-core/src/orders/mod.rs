//! Orders to targets: commands to load or unload model weights, sent by one process per target at a time.
//!
//! The process that sends a target's orders is the target's leader. A late order of a previous leader must not undo what
//! a later one has ordered. One stored object per target holds the leader and a fencing number that grows with each
//! takeover. A target that checks the number refuses late orders itself. For one that does not, a leader sends orders
//! only for the length of a lease after the store last confirmed that it is the leader, and the next leader waits that
//! long, plus a margin and the longest time of an order, after its takeover. The intent of each order is stored before
//! the order is sent, so that the next leader can find out what may have been carried out. To keep takeovers rare, each
//! target is assigned to one process by hash, and only that process tries to become the leader.
//!
//! The weight store is rate-limited, so the number of simultaneous loads is limited by slots in one stored object. The
//! limit is not strict: a slot of a dead process is released by any process that needs one.

mod leader;
mod load_slots;
mod messages;
mod outbox;
mod ring;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

pub use messages::{DesiredState, Order, OrderEnd, OrdersAction, OrdersConfig, OrdersInput};
pub use ring::Ring;

use crate::{Name, time::Now};
use leader::OrderLeader;
use load_slots::LoadSlots;
use outbox::Outbox;

/// Orders that this process sends, as the leader of some targets.
#[derive(Debug)]
pub struct Orders {
    config: OrdersConfig,
    leaders: BTreeMap<Name, OrderLeader>,
    load_slots: LoadSlots,
    lease_until_ms: u64,
    next_call: u64,
}

impl Orders {
    /// Creates the state of a process that is not the leader of any target yet.
    pub fn new(config: OrdersConfig) -> Orders {
        let load_slots = LoadSlots::new(&config);
        Orders { config, leaders: BTreeMap::new(), load_slots, lease_until_ms: 0, next_call: 0 }
    }

    /// Weights that a target holds according to the orders that it has confirmed; `None` unless this process is its
    /// leader.
    pub fn held(&self, target: &str) -> Option<&BTreeSet<Name>> {
        self.leaders.get(target).and_then(OrderLeader::held)
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Now, input: OrdersInput, out: &mut Vec<OrdersAction>) {
        match input {
            OrdersInput::DesiredStates(desired) => self.set_desired(desired),
            OrdersInput::Bounds { loads_at_once, longest_order_ms } => {
                self.config.longest_order_ms = longest_order_ms;
                self.load_slots.set_limit(loads_at_once);
                for leader in self.leaders.values_mut() {
                    leader.set_longest_order(longest_order_ms);
                }
            }
            OrdersInput::Lease { valid_until_ms } => self.lease_until_ms = valid_until_ms,
            OrdersInput::LeaseExpired { process, incarnation } => {
                self.load_slots.lease_expired(&process, incarnation)
            }
            OrdersInput::Stored { call, answer } => {
                if !self.load_slots.store_answered(now, call, &answer) {
                    let mut leaders = self.leaders.values_mut();
                    leaders.any(|it| it.store_answered(now, call, &answer));
                }
            }
            OrdersInput::Ended { target, fence, end } => {
                if let Some(leader) = self.leaders.get_mut(&target) {
                    leader.order_ended(now, fence, end);
                }
            }
            OrdersInput::Tick => {}
        }
        let mut outbox = Outbox { next_call: &mut self.next_call, out };
        let leased = now.mono_ms + self.config.margin_ms < self.lease_until_ms;
        for (target, leader) in &mut self.leaders {
            leader.step(now, leased, &mut self.load_slots, &mut outbox);
            if !leader.wants_slot() {
                self.load_slots.release(target);
            }
        }
        self.leaders.retain(|_, leader| !leader.is_finished());
        self.load_slots.retain(|target| self.leaders.contains_key(target));
        self.load_slots.step(now, &mut outbox);
    }

    fn set_desired(&mut self, desired: BTreeMap<Name, DesiredState>) {
        for (target, leader) in &mut self.leaders {
            leader.set_desired(desired.get(target).cloned());
        }
        for (target, desired) in desired {
            let config = &self.config;
            let new = || OrderLeader::new(Arc::clone(&target), desired, config.clone());
            self.leaders.entry(Arc::clone(&target)).or_insert_with(new);
        }
    }
}
