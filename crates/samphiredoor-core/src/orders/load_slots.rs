//! Limit of simultaneous loads from the weight store over all processes, by slots in one stored object.

use std::{collections::BTreeSet, sync::Arc};

use samphiredoor_schema::objects::LoadPace;

use super::{messages::OrdersConfig, outbox::Outbox};
use crate::{
    Name,
    ledger::CallId,
    store::{Kind, Labels, ObjectKey, StoreAnswer, StoreOp, Value, Version},
    time::Now,
};

const OBJECT_NAME: &str = "weight-store";
const RETRY_MS: u64 = 250;
/// Interval of reads while waiting for a slot; without them, slots released by others would not be seen.
const REREAD_MS: u64 = 2_000;

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    Unread,
    Reading(CallId),
    Idle,
    Writing(CallId),
}

/// This process's view of the load slots and the slots that it needs.
#[derive(Debug)]
pub(super) struct LoadSlots {
    /// Identifier of this process in the object.
    holder: String,
    limit: usize,
    state: State,
    version: Option<Version>,
    record: LoadPace,
    /// Targets that need a slot or have one.
    wanted: BTreeSet<Name>,
    /// Holders whose leases have expired; their slots are released.
    dead_holders: BTreeSet<String>,
    /// Earliest time of the next store call.
    next_ms: u64,
    /// Whether the outcome of the last write is unknown.
    write_unconfirmed: bool,
}

fn holder(process: &str, incarnation: u64) -> String {
    format!("{process}/{incarnation}")
}

fn empty() -> LoadPace {
    LoadPace { writer: String::new(), slots: Default::default() }
}

impl LoadSlots {
    pub(super) fn new(config: &OrdersConfig) -> LoadSlots {
        LoadSlots {
            holder: holder(&config.process, config.incarnation),
            limit: config.loads_at_once.max(1),
            state: State::Unread,
            version: None,
            record: empty(),
            wanted: BTreeSet::new(),
            dead_holders: BTreeSet::new(),
            next_ms: 0,
            write_unconfirmed: false,
        }
    }

    /// Requests a slot for a target; returns whether the store has confirmed it.
    pub(super) fn request(&mut self, target: &Name) -> bool {
        self.wanted.insert(Arc::clone(target));
        self.holds(target)
    }

    /// Releases the slot of a target, or stops waiting for one.
    pub(super) fn release(&mut self, target: &Name) {
        self.wanted.remove(target);
    }

    /// Releases the slots and requests of all targets for which `kept` is false.
    pub(super) fn retain(&mut self, kept: impl Fn(&Name) -> bool) {
        self.wanted.retain(kept);
    }

    pub(super) fn set_limit(&mut self, limit: usize) {
        self.limit = limit.max(1);
    }

    pub(super) fn lease_expired(&mut self, process: &str, incarnation: u64) {
        self.dead_holders.insert(holder(process, incarnation));
    }

    pub(super) fn step(&mut self, now: Now, outbox: &mut Outbox<'_>) {
        if now.mono_ms < self.next_ms {
            return;
        }
        match self.state {
            // Slots may be held though none is needed any more: by a write whose answer was lost, or since before the
            // last read.
            State::Unread
                if self.write_unconfirmed || self.holds_any() || !self.wanted.is_empty() =>
            {
                let op = StoreOp::Get { key: key() };
                self.state = State::Reading(outbox.store(op));
            }
            State::Idle => match self.next_record() {
                Some(record) => self.write(record, outbox),
                None if self.is_waiting() => {
                    self.state = State::Unread;
                    self.next_ms = now.mono_ms + REREAD_MS;
                }
                None => {}
            },
            State::Unread | State::Reading(_) | State::Writing(_) => {}
        }
    }

    pub(super) fn store_answered(&mut self, now: Now, call: CallId, answer: &StoreAnswer) -> bool {
        let own = matches!(self.state, State::Reading(it) | State::Writing(it) if it == call);
        if !own {
            return false;
        }
        let wrote = matches!(self.state, State::Writing(_));
        match answer {
            StoreAnswer::Object(stored) => {
                self.write_unconfirmed = false;
                self.version = Some(stored.version);
                self.record = serde_json::from_slice(&stored.value).unwrap_or_else(|_| empty());
                self.state = State::Idle;
            }
            StoreAnswer::Absent => {
                self.write_unconfirmed = false;
                self.version = None;
                self.record = empty();
                self.state = State::Idle;
            }
            _ => {
                self.write_unconfirmed |= wrote;
                self.state = State::Unread;
                self.next_ms = now.mono_ms + RETRY_MS;
            }
        }
        true
    }

    /// The record with released slots removed and free slots taken; `None` if nothing changes.
    fn next_record(&self) -> Option<LoadPace> {
        let mut next = self.record.clone();
        next.slots.retain(|target, holder| {
            let ours = *holder == self.holder;
            !self.dead_holders.contains(holder) && (!ours || self.wanted.contains(target.as_str()))
        });
        for target in &self.wanted {
            if next.slots.len() < self.limit && !next.slots.contains_key(&**target) {
                next.slots.insert(target.to_string(), self.holder.clone());
            }
        }
        (next.slots != self.record.slots).then_some(next)
    }

    fn write(&mut self, mut record: LoadPace, outbox: &mut Outbox<'_>) {
        record.writer.clone_from(&self.holder);
        let value: Value = serde_json::to_vec(&record).unwrap_or_default().into();
        let op = StoreOp::write(key(), self.version, Labels::new(), value);
        self.state = State::Writing(outbox.store(op));
    }

    fn holds(&self, target: &Name) -> bool {
        self.record.slots.get(&**target).is_some_and(|it| *it == self.holder)
    }

    fn holds_any(&self) -> bool {
        self.record.slots.values().any(|it| *it == self.holder)
    }

    fn is_waiting(&self) -> bool {
        self.wanted.iter().any(|it| !self.holds(it))
    }
}

fn key() -> ObjectKey {
    ObjectKey::new(Kind::Pace, OBJECT_NAME)
}
