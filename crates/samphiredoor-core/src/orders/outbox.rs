//! Numbers store calls and collects actions.

use super::messages::OrdersAction;
use crate::{ledger::CallId, store::StoreOp};

/// Actions of one turn.
pub(super) struct Outbox<'a> {
    pub(super) next_call: &'a mut u64,
    pub(super) out: &'a mut Vec<OrdersAction>,
}

impl Outbox<'_> {
    /// Numbers a store call, and asks for it.
    pub(super) fn store(&mut self, op: StoreOp) -> CallId {
        let call = CallId(*self.next_call);
        *self.next_call += 1;
        self.out.push(OrdersAction::Store { call, op });
        call
    }
}
