//! The orders to one target, from taking them over to the last weight.

use std::{collections::BTreeSet, sync::Arc};

use samphiredoor_schema::objects::{PendingOrder, TargetOrders};

use super::{
    messages::{Order, OrderEnd, OrdersAction, OrdersConfig, Wanted},
    outbox::Outbox,
    pace::Pace,
};
use crate::{
    Name,
    ledger::CallId,
    store::{Kind, Labels, ObjectKey, StoreAnswer, StoreOp, Stored, Value, Version},
    time::Now,
};

const RETRY_MS: u64 = 500;
const RETRY_MAX_MS: u64 = 30_000;

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    /// The object must be read.
    Unread,
    Reading(CallId),
    /// The object is read; nothing is under way.
    Idle,
    Writing(CallId),
    /// The intent stands; the order may be sent.
    Intended,
    /// The order was sent and has not ended.
    Sent,
    /// The order ended as done; that is to be written.
    Done,
}

/// Giver of the orders to one target.
#[derive(Debug)]
pub(super) struct Giver {
    target: Name,
    wanted: Option<Wanted>,
    config: OrdersConfig,
    state: State,
    version: Option<Version>,
    record: Option<TargetOrders>,
    held: BTreeSet<Name>,
    // No order is sent before this time: an order of a former giver may still take effect.
    not_before_ms: u64,
    call_sent_ms: u64,
    // Until then no other giver's first order can be on its way.
    fresh_until_ms: u64,
    retry_at_ms: u64,
    backoff_ms: u64,
    wants_slot: bool,
}

impl Giver {
    pub(super) fn new(target: Name, wanted: Wanted, config: OrdersConfig) -> Giver {
        Giver {
            target,
            wanted: Some(wanted),
            config,
            state: State::Unread,
            version: None,
            record: None,
            held: BTreeSet::new(),
            not_before_ms: 0,
            call_sent_ms: 0,
            fresh_until_ms: 0,
            retry_at_ms: 0,
            backoff_ms: RETRY_MS,
            wants_slot: false,
        }
    }

    pub(super) fn set_wanted(&mut self, wanted: Option<Wanted>) {
        self.wanted = wanted;
        self.wants_slot &= self.wanted.is_some() || self.is_busy();
    }

    pub(super) fn set_longest_order(&mut self, longest_order_ms: u64) {
        self.config.longest_order_ms = longest_order_ms;
    }

    pub(super) fn held(&self) -> Option<&BTreeSet<Name>> {
        self.is_ours().then_some(&self.held)
    }

    /// Whether the giver may be forgotten: nothing is wanted, and no order waits for its end to be written.
    pub(super) fn is_over(&self) -> bool {
        self.wanted.is_none() && !self.is_busy()
    }

    fn is_busy(&self) -> bool {
        matches!(self.state, State::Sent | State::Done | State::Writing(_))
    }

    /// Whether a slot for a load is wanted or used.
    pub(super) fn wants_slot(&self) -> bool {
        self.wants_slot
    }

    pub(super) fn step(
        &mut self,
        now: Now,
        leased: bool,
        pace: &mut Pace,
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
            State::Idle if self.wanted.is_some() && leased => self.go_on(now, pace, outbox),
            State::Intended if self.wanted.is_none() => self.state = State::Idle,
            State::Intended => self.send(now, leased, outbox),
            State::Done => self.write_done(now, outbox),
            State::Idle | State::Reading(_) | State::Writing(_) | State::Sent => {}
        }
    }

    pub(super) fn stored(&mut self, now: Now, call: CallId, answer: &StoreAnswer) -> bool {
        match self.state {
            State::Reading(own) if own == call => self.read_answered(now, answer),
            State::Writing(own) if own == call => self.write_answered(now, answer),
            _ => return false,
        }
        true
    }

    pub(super) fn ended(&mut self, now: Now, fence: u64, end: OrderEnd) {
        let current = self.record.as_ref().is_some_and(|it| it.epoch == fence);
        if self.state != State::Sent || !current {
            return;
        }
        match end {
            OrderEnd::Done => {
                self.backoff_ms = RETRY_MS;
                self.state = State::Done;
            }
            // Another process has taken over: its record tells the rest.
            OrderEnd::Fenced => self.state = State::Unread,
            OrderEnd::NotDone => {
                self.state = State::Intended;
                self.retry_at_ms = now.mono_ms + self.backoff_ms;
                self.backoff_ms = (self.backoff_ms * 2).min(RETRY_MAX_MS);
            }
            OrderEnd::Unknown => {
                self.state = State::Intended;
                self.retry_at_ms = now.mono_ms + RETRY_MS;
                // It may still take effect late. Sending the same order again does no harm, but another one must wait:
                // the late one would undo it, and has the same fencing number.
                self.not_before_ms = now.mono_ms + self.config.longest_order_ms;
            }
        }
    }

    fn go_on(&mut self, now: Now, pace: &mut Pace, outbox: &mut Outbox<'_>) {
        let pending = self.record.as_ref().is_some_and(|it| it.pending.is_some());
        if !pending && self.next_order().is_none() {
            return;
        }
        if !self.is_ours() {
            return self.take(now, outbox);
        }
        if now.mono_ms < self.not_before_ms {
            return;
        }
        if pending {
            // An intent of our own or of a former giver: it may have been carried out, so it is carried out again.
            // At once: by the next event a short lease may be about to end, and this would begin anew for ever.
            self.state = State::Intended;
            return self.send(now, true, outbox);
        }
        let Some(order) = self.next_order() else { return };
        self.wants_slot = matches!(order, Order::Load(_));
        if self.wants_slot && !pace.claim(&self.target) {
            return;
        }
        self.intend(now, &order, outbox);
    }

    fn next_order(&self) -> Option<Order> {
        let wanted = &self.wanted.as_ref()?.weights;
        let extra = self.held.difference(wanted).next();
        if let Some(weight) = extra {
            return Some(Order::Unload(Arc::clone(weight)));
        }
        wanted.difference(&self.held).next().map(|it| Order::Load(Arc::clone(it)))
    }

    fn take(&mut self, now: Now, outbox: &mut Outbox<'_>) {
        let former = self.record.clone();
        let record = TargetOrders {
            epoch: former.as_ref().map_or(1, |it| it.epoch + 1),
            process: self.config.process.to_string(),
            incarnation: self.config.incarnation,
            writer: String::new(),
            pending: former.as_ref().and_then(|it| it.pending.clone()),
            held: former.map(|it| it.held).unwrap_or_default(),
        };
        self.write(now, record, outbox);
    }

    fn intend(&mut self, now: Now, order: &Order, outbox: &mut Outbox<'_>) {
        let Some(mut record) = self.record.clone() else { return };
        let load = matches!(order, Order::Load(_));
        record.pending = Some(PendingOrder { load, weight: order.weight().to_string() });
        self.write(now, record, outbox);
    }

    fn send(&mut self, now: Now, leased: bool, outbox: &mut Outbox<'_>) {
        // A giver that was paused since it last saw itself as the giver may wake after another's first order, and its
        // own would then undo that one. It reads again instead.
        if !leased || now.mono_ms >= self.fresh_until_ms {
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

    fn write_done(&mut self, now: Now, outbox: &mut Outbox<'_>) {
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
        let (key, labels) = (self.key(), Labels::new());
        let op = match self.version {
            Some(version) => StoreOp::Update { key, version, labels, value },
            None => StoreOp::Create { key, labels, value },
        };
        self.state = State::Writing(outbox.store(op));
    }

    fn read_answered(&mut self, now: Now, answer: &StoreAnswer) {
        match answer {
            StoreAnswer::Object(stored) => self.take_read(now, stored),
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
                self.take_read(now, stored);
                let pending = self.record.as_ref().is_some_and(|it| it.pending.is_some());
                if self.is_ours() && pending && now.mono_ms >= self.not_before_ms {
                    self.state = State::Intended;
                }
            }
            // Whether the write stands, or another's does, only a read tells.
            _ => self.retry_read(now),
        }
    }

    fn take_read(&mut self, now: Now, stored: &Stored) {
        // An object that cannot be read is left alone: what it says may matter to a newer process.
        let Ok(record) = serde_json::from_slice::<TargetOrders>(&stored.value) else {
            return self.retry_read(now);
        };
        let was_ours = self.is_ours();
        self.version = Some(stored.version);
        self.held = record.held.iter().map(|it| Name::from(it.as_str())).collect();
        // Read, not written by this giver: an order of whoever wrote it may still be on its way.
        let taken_over = record.epoch > 1 || matches!(self.state, State::Reading(_));
        self.record = Some(record);
        self.state = State::Idle;
        let pending = self.record.as_ref().is_some_and(|it| it.pending.is_some());
        self.wants_slot &= self.is_ours() && pending;
        if self.is_ours() {
            self.fresh_until_ms = self.call_sent_ms + self.config.lease_ms;
        }
        if self.is_ours() && !was_ours && taken_over {
            self.wait_out_former(now);
        }
    }

    fn wait_out_former(&mut self, now: Now) {
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
        self.wanted.as_ref().is_some_and(|it| it.checks_fencing)
    }

    fn is_ours(&self) -> bool {
        self.record.as_ref().is_some_and(|it| {
            it.process == *self.config.process && it.incarnation == self.config.incarnation
        })
    }

    fn key(&self) -> ObjectKey {
        ObjectKey::new(Kind::Orders, Arc::clone(&self.target))
    }
}
