//! Numbering of store calls and collection of actions.

use super::messages::OrdersAction;
use crate::{ledger::CallId, store::StoreOp};

/// Actions that result from one event.
pub(super) struct Outbox<'a> {
    pub(super) next_call: &'a mut u64,
    pub(super) out: &'a mut Vec<OrdersAction>,
}

impl Outbox<'_> {
    /// Adds a store call and returns its number.
    pub(super) fn store(&mut self, op: StoreOp) -> CallId {
        let call = CallId(*self.next_call);
        *self.next_call += 1;
        self.out.push(OrdersAction::Store { call, op });
        call
    }
}
