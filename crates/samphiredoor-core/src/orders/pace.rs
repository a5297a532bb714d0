//! How many loads from the weight store run at once, over all processes.

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
// A slot that nobody gives back is noticed at this pace.
const REREAD_MS: u64 = 2_000;

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    Unread,
    Reading(CallId),
    Idle,
    Writing(CallId),
}

/// Slots for loads.
#[derive(Debug)]
pub(super) struct Pace {
    holder: String,
    limit: usize,
    state: State,
    version: Option<Version>,
    record: LoadPace,
    wanted: BTreeSet<Name>,
    gone: BTreeSet<String>,
    next_ms: u64,
    in_doubt: bool,
}

fn holder(process: &str, incarnation: u64) -> String {
    format!("{process}/{incarnation}")
}

fn empty() -> LoadPace {
    LoadPace { writer: String::new(), slots: Default::default() }
}

impl Pace {
    pub(super) fn new(config: &OrdersConfig) -> Pace {
        Pace {
            holder: holder(&config.process, config.incarnation),
            limit: config.loads_at_once.max(1),
            state: State::Unread,
            version: None,
            record: empty(),
            wanted: BTreeSet::new(),
            gone: BTreeSet::new(),
            next_ms: 0,
            in_doubt: false,
        }
    }

    /// Asks for a slot for a target; true once it stands in the store.
    pub(super) fn claim(&mut self, target: &Name) -> bool {
        self.wanted.insert(Arc::clone(target));
        self.holds(target)
    }

    /// Gives the slot of a target back, or stops waiting for it.
    pub(super) fn release(&mut self, target: &Name) {
        self.wanted.remove(target);
    }

    /// Forgets the wishes of targets that are not kept.
    pub(super) fn retain(&mut self, kept: impl Fn(&Name) -> bool) {
        self.wanted.retain(kept);
    }

    pub(super) fn set_limit(&mut self, limit: usize) {
        self.limit = limit.max(1);
    }

    pub(super) fn lapsed(&mut self, process: &str, incarnation: u64) {
        self.gone.insert(holder(process, incarnation));
    }

    pub(super) fn step(&mut self, now: Now, outbox: &mut Outbox<'_>) {
        if now.mono_ms < self.next_ms {
            return;
        }
        match self.state {
            // Nothing may be wanted any more, and slots be held all the same: by a write whose answer was lost, or
            // since before the last read.
            State::Unread if self.in_doubt || self.holds_any() || !self.wanted.is_empty() => {
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

    pub(super) fn stored(&mut self, now: Now, call: CallId, answer: &StoreAnswer) -> bool {
        let own = matches!(self.state, State::Reading(it) | State::Writing(it) if it == call);
        if !own {
            return false;
        }
        let wrote = matches!(self.state, State::Writing(_));
        match answer {
            StoreAnswer::Object(stored) => {
                self.in_doubt = false;
                self.version = Some(stored.version);
                self.record = serde_json::from_slice(&stored.value).unwrap_or_else(|_| empty());
                self.state = State::Idle;
            }
            StoreAnswer::Absent => {
                self.in_doubt = false;
                self.version = None;
                self.record = empty();
                self.state = State::Idle;
            }
            _ => {
                self.in_doubt |= wrote;
                self.state = State::Unread;
                self.next_ms = now.mono_ms + RETRY_MS;
            }
        }
        true
    }

    fn next_record(&self) -> Option<LoadPace> {
        let mut next = self.record.clone();
        next.slots.retain(|target, holder| {
            let ours = *holder == self.holder;
            !self.gone.contains(holder) && (!ours || self.wanted.contains(target.as_str()))
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
        let (key, labels) = (key(), Labels::new());
        let op = match self.version {
            Some(version) => StoreOp::Update { key, version, labels, value },
            None => StoreOp::Create { key, labels, value },
        };
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
