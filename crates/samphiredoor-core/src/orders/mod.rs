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
mod messages;
mod outbox;
mod pace;
mod ring;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

pub use messages::{Order, OrderEnd, OrdersAction, OrdersConfig, OrdersInput, Wanted};
pub use ring::Ring;

use crate::{Name, time::Now};
use giver::Giver;
use outbox::Outbox;
use pace::Pace;

/// Orders that this process gives.
#[derive(Debug)]
pub struct Orders {
    config: OrdersConfig,
    givers: BTreeMap<Name, Giver>,
    pace: Pace,
    lease_until_ms: u64,
    next_call: u64,
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
