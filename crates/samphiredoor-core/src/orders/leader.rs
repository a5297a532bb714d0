//! State machine of the orders to one target, from taking over the leadership to the last weight.

use std::{collections::BTreeSet, sync::Arc};

use samphiredoor_schema::objects::{PendingOrder, TargetOrders};

use super::{
    load_slots::LoadSlots,
    messages::{DesiredState, Order, OrderEnd, OrdersAction, OrdersConfig},
    outbox::Outbox,
};
use crate::{
    Name,
    ledger::CallId,
    store::{Kind, Labels, ObjectKey, StoreAnswer, StoreOp, Stored, Value, Version},
    time::Now,
};

/// Delay before a store call is repeated, and initial backoff of an order.
const RETRY_MS: u64 = 500;
const MAX_BACKOFF_MS: u64 = 30_000;

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    /// The object must be read.
    Unread,
    Reading(CallId),
    /// The object has been read; no call or order is in progress.
    Idle,
    Writing(CallId),
    /// The intent is stored; the order may be sent.
    Intended,
    /// The order was sent and has not ended.
    Sent,
    /// The order was carried out; its outcome must be stored.
    Done,
}

/// Orders to one target, which this process leads or tries to lead.
#[derive(Debug)]
pub(super) struct OrderLeader {
    target: Name,
    desired: Option<DesiredState>,
    config: OrdersConfig,
    state: State,
    version: Option<Version>,
    record: Option<TargetOrders>,
    /// Weights that the target holds according to the record.
    held: BTreeSet<Name>,
    /// No order is sent before this time, because an earlier order may still take effect.
    not_before_ms: u64,
    call_sent_ms: u64,
    /// Until this time no order of another leader can be in transit.
    confirmed_until_ms: u64,
    retry_at_ms: u64,
    backoff_ms: u64,
    wants_slot: bool,
}

impl OrderLeader {
    pub(super) fn new(target: Name, desired: DesiredState, config: OrdersConfig) -> OrderLeader {
        OrderLeader {
            target,
            desired: Some(desired),
            config,
            state: State::Unread,
            version: None,
            record: None,
            held: BTreeSet::new(),
            not_before_ms: 0,
            call_sent_ms: 0,
            confirmed_until_ms: 0,
            retry_at_ms: 0,
            backoff_ms: RETRY_MS,
            wants_slot: false,
        }
    }

    pub(super) fn set_desired(&mut self, desired: Option<DesiredState>) {
        self.desired = desired;
        self.wants_slot &= self.desired.is_some() || self.is_busy();
    }

    pub(super) fn set_longest_order(&mut self, longest_order_ms: u64) {
        self.config.longest_order_ms = longest_order_ms;
    }

    pub(super) fn held(&self) -> Option<&BTreeSet<Name>> {
        self.is_leader().then_some(&self.held)
    }

    /// Whether this state may be dropped: no state is desired any more, and no outcome of an order has yet to be stored.
    pub(super) fn is_finished(&self) -> bool {
        self.desired.is_none() && !self.is_busy()
    }

    fn is_busy(&self) -> bool {
        matches!(self.state, State::Sent | State::Done | State::Writing(_))
    }

    /// Whether a load slot is needed or in use.
    pub(super) fn wants_slot(&self) -> bool {
        self.wants_slot
    }

    /// Takes the next step that is possible now. `leased` is whether this process holds its lease for long enough.
    pub(super) fn step(
        &mut self,
        now: Now,
        leased: bool,
        load_slots: &mut LoadSlots,
        outbox: &mut Outbox<'_>,
    ) {
        if now.mono_ms < self.retry_at_ms {
            return;
        }
        match self.state {
            State::Unread => {
                let op = StoreOp::Get { key: self.key() };
                self.call_sent_ms = now.mono_ms;
                self.state = State::Reading(outbox.store(op));
            }
            State::Idle if self.desired.is_some() && leased => {
                self.advance(now, load_slots, outbox)
            }
            State::Intended if self.desired.is_none() => self.state = State::Idle,
            State::Intended => self.send(now, leased, outbox),
            State::Done => self.write_outcome(now, outbox),
            State::Idle | State::Reading(_) | State::Writing(_) | State::Sent => {}
        }
    }

    /// Handles the answer to a store call. Returns whether the call was made by this state machine.
    pub(super) fn store_answered(&mut self, now: Now, call: CallId, answer: &StoreAnswer) -> bool {
        match self.state {
            State::Reading(own) if own == call => self.read_answered(now, answer),
            State::Writing(own) if own == call => self.write_answered(now, answer),
            _ => return false,
        }
        true
    }

    /// Handles the outcome of an order. Ignored if it was sent under another fencing number.
    pub(super) fn order_ended(&mut self, now: Now, fence: u64, end: OrderEnd) {
        let current = self.record.as_ref().is_some_and(|it| it.epoch == fence);
        if self.state != State::Sent || !current {
            return;
        }
        match end {
            OrderEnd::Done => {
                self.backoff_ms = RETRY_MS;
                self.state = State::Done;
            }
            // Another process has taken over; its record has to be read.
            OrderEnd::Fenced => self.state = State::Unread,
            OrderEnd::NotDone => {
                self.state = State::Intended;
                self.retry_at_ms = now.mono_ms + self.backoff_ms;
                self.backoff_ms = (self.backoff_ms * 2).min(MAX_BACKOFF_MS);
            }
            OrderEnd::Unknown => {
                self.state = State::Intended;
                self.retry_at_ms = now.mono_ms + RETRY_MS;
                // The order may still take effect late. Repeating the same order is harmless, but a different one must
                // wait: the late order has the same fencing number and would undo it.
                self.not_before_ms = now.mono_ms + self.config.longest_order_ms;
            }
        }
    }

    /// Takes over the leadership if needed, then starts the pending or next order.
    fn advance(&mut self, now: Now, load_slots: &mut LoadSlots, outbox: &mut Outbox<'_>) {
        let pending = self.record.as_ref().is_some_and(|it| it.pending.is_some());
        if !pending && self.next_order().is_none() {
            return;
        }
        if !self.is_leader() {
            return self.take_leadership(now, outbox);
        }
        if now.mono_ms < self.not_before_ms {
            return;
        }
        if pending {
            // An intent of this or a previous leader: the order may have been carried out, so it is sent again. This
            // must happen within the same event: by the next one a short lease may be about to expire, and the sequence
            // would start again forever.
            self.state = State::Intended;
            return self.send(now, true, outbox);
        }
        let Some(order) = self.next_order() else { return };
        self.wants_slot = matches!(order, Order::Load(_));
        if self.wants_slot && !load_slots.request(&self.target) {
            return;
        }
        self.write_intent(now, &order, outbox);
    }

    fn next_order(&self) -> Option<Order> {
        let desired = &self.desired.as_ref()?.weights;
        let extra = self.held.difference(desired).next();
        if let Some(weight) = extra {
            return Some(Order::Unload(Arc::clone(weight)));
        }
        desired.difference(&self.held).next().map(|it| Order::Load(Arc::clone(it)))
    }

    /// Stores this process as the leader, with the next fencing number.
    fn take_leadership(&mut self, now: Now, outbox: &mut Outbox<'_>) {
        let previous = self.record.clone();
        let record = TargetOrders {
            epoch: previous.as_ref().map_or(1, |it| it.epoch + 1),
            process: self.config.process.to_string(),
            incarnation: self.config.incarnation,
            writer: String::new(),
            pending: previous.as_ref().and_then(|it| it.pending.clone()),
            held: previous.map(|it| it.held).unwrap_or_default(),
        };
        self.write(now, record, outbox);
    }

    fn write_intent(&mut self, now: Now, order: &Order, outbox: &mut Outbox<'_>) {
        let Some(mut record) = self.record.clone() else { return };
        let load = matches!(order, Order::Load(_));
        record.pending = Some(PendingOrder { load, weight: order.weight().to_string() });
        self.write(now, record, outbox);
    }

    fn send(&mut self, now: Now, leased: bool, outbox: &mut Outbox<'_>) {
        // If this process was paused since the store last confirmed its leadership, another leader may have sent an
        // order, which this one would undo. So the record is read again first.
        if !leased || now.mono_ms >= self.confirmed_until_ms {
            self.state = State::Unread;
            return;
        }
        let Some(record) = &self.record else { return };
        let Some(pending) = &record.pending else { return };
        let weight = Name::from(pending.weight.as_str());
        let order = if pending.load { Order::Load(weight) } else { Order::Unload(weight) };
        let (target, fence) = (Arc::clone(&self.target), record.epoch);
        outbox.out.push(OrdersAction::Send { target, fence, order });
        self.state = State::Sent;
    }

    fn write_outcome(&mut self, now: Now, outbox: &mut Outbox<'_>) {
        let Some(mut record) = self.record.clone() else { return };
        let Some(pending) = record.pending.take() else { return };
        record.held.retain(|it| *it != pending.weight);
        if pending.load {
            record.held.push(pending.weight);
        }
        self.write(now, record, outbox);
    }

    fn write(&mut self, now: Now, mut record: TargetOrders, outbox: &mut Outbox<'_>) {
        self.call_sent_ms = now.mono_ms;
        record.writer = format!("{}-{}", self.config.process, self.config.incarnation);
        let value: Value = serde_json::to_vec(&record).unwrap_or_default().into();
        let op = StoreOp::write(self.key(), self.version, Labels::new(), value);
        self.state = State::Writing(outbox.store(op));
    }

    fn read_answered(&mut self, now: Now, answer: &StoreAnswer) {
        match answer {
            StoreAnswer::Object(stored) => self.apply_record(now, stored),
            StoreAnswer::Absent => {
                self.version = None;
                self.record = None;
                self.state = State::Idle;
            }
            _ => self.retry_read(now),
        }
    }

    fn write_answered(&mut self, now: Now, answer: &StoreAnswer) {
        match answer {
            StoreAnswer::Object(stored) => {
                self.apply_record(now, stored);
                let pending = self.record.as_ref().is_some_and(|it| it.pending.is_some());
                if self.is_leader() && pending && now.mono_ms >= self.not_before_ms {
                    self.state = State::Intended;
                }
            }
            // Only a read shows whether this write or another one is stored.
            _ => self.retry_read(now),
        }
    }

    fn apply_record(&mut self, now: Now, stored: &Stored) {
        // A record that cannot be parsed is left unchanged: it may matter to a newer version that wrote it.
        let Ok(record) = serde_json::from_slice::<TargetOrders>(&stored.value) else {
            return self.retry_read(now);
        };
        let was_leader = self.is_leader();
        self.version = Some(stored.version);
        self.held = record.held.iter().map(|it| Name::from(it.as_str())).collect();
        // If the record existed before or was read, an order of its previous writer may still be in transit.
        let follows_other_writer = record.epoch > 1 || matches!(self.state, State::Reading(_));
        self.record = Some(record);
        self.state = State::Idle;
        let pending = self.record.as_ref().is_some_and(|it| it.pending.is_some());
        self.wants_slot &= self.is_leader() && pending;
        if self.is_leader() {
            self.confirmed_until_ms = self.call_sent_ms + self.config.lease_ms;
        }
        if self.is_leader() && !was_leader && follows_other_writer {
            self.delay_after_takeover(now);
        }
    }

    /// Delays orders until those of the previous leader can have no effect any more, unless the target refuses them.
    fn delay_after_takeover(&mut self, now: Now) {
        let wait_ms = self.config.lease_ms + self.config.margin_ms + self.config.longest_order_ms;
        if !self.checks_fencing() {
            self.not_before_ms = now.mono_ms + wait_ms;
        }
    }

    fn retry_read(&mut self, now: Now) {
        self.state = State::Unread;
        self.retry_at_ms = now.mono_ms + RETRY_MS;
    }

    fn checks_fencing(&self) -> bool {
        self.desired.as_ref().is_some_and(|it| it.checks_fencing)
    }

    fn is_leader(&self) -> bool {
        self.record.as_ref().is_some_and(|it| {
            it.process == *self.config.process && it.incarnation == self.config.incarnation
        })
    }

    fn key(&self) -> ObjectKey {
        ObjectKey::new(Kind::Orders, Arc::clone(&self.target))
    }
}
