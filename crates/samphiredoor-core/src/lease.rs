//! Leases of processes: which process may work on what it owns, and whose work is free to be taken.
//!
//! Each process renews one object, whatever the number of its jobs. The holder counts its lease from the moment before
//! the renewing write was sent, by its own monotonic clock; observers count from the moment they first saw a renewal,
//! by theirs, and add a margin. So no clocks are compared, and a holder that was paused finds its lease over when it
//! wakes. The lease only keeps two processes from doing the same work: results are safe without it.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use samphiredoor_schema::objects::ProcessLease;

use crate::{
    Name,
    ledger::CallId,
    store::{Kind, Labels, ObjectKey, StoreAnswer, StoreOp, Value, Version},
    time::Now,
};

const RETRY_MS: u64 = 500;

/// What a process says of itself in its lease.
#[derive(Debug, Clone)]
pub struct LeaseConfig {
    /// Name of the process.
    pub process: Name,
    /// Start of the process; a later start has a higher one.
    pub incarnation: u64,
    /// Length of the lease.
    pub lease_ms: u64,
    /// Time between renewals.
    pub renew_ms: u64,
    /// Where peers reach it.
    pub peer_address: String,
    /// Region.
    pub region: Name,
    /// Availability zone.
    pub availability_zone: Name,
}

/// What happened to the own lease.
#[derive(Debug, Clone)]
pub enum LeaseInput {
    /// A store call was answered.
    Stored {
        /// Which call.
        call: CallId,
        /// Its answer.
        answer: StoreAnswer,
    },
    /// A planned stop has begun; the lease says so from the next renewal, which is due at once.
    Stopping,
    /// Time passed.
    Tick,
}

/// What to do for the own lease.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaseAction {
    /// Make a store call.
    Store {
        /// Which call.
        call: CallId,
        /// The call.
        op: StoreOp,
    },
    /// The lease is held until this monotonic time.
    Held {
        /// End of the lease.
        valid_until_ms: u64,
    },
    /// A later start of a process of this name holds the lease; this process must stop working.
    Lost,
}

#[derive(Debug)]
enum State {
    Idle,
    Reading(CallId),
    Writing { call: CallId, sent_ms: u64 },
    Lost,
}

/// The own lease of a process.
#[derive(Debug)]
pub struct OwnLease {
    config: LeaseConfig,
    state: State,
    version: Option<Version>,
    read: bool,
    renewals: u64,
    stopping: bool,
    next_ms: u64,
    // Renewal whose answer was lost, with the time it was sent.
    doubtful: Option<(u64, u64)>,
    next_call: u64,
}

impl OwnLease {
    /// Lease that was never written.
    pub fn new(config: LeaseConfig) -> OwnLease {
        OwnLease {
            config,
            state: State::Idle,
            version: None,
            read: false,
            renewals: 0,
            stopping: false,
            next_ms: 0,
            doubtful: None,
            next_call: 0,
        }
    }

    /// Number of the last renewal.
    pub fn renewals(&self) -> u64 {
        self.renewals
    }

    /// Takes one event; appends what to do to `out`.
    pub fn handle(&mut self, now: Now, input: LeaseInput, out: &mut Vec<LeaseAction>) {
        match input {
            LeaseInput::Stored { call, answer } => self.stored(now, call, answer, out),
            LeaseInput::Stopping => {
                self.stopping = true;
                self.next_ms = now.mono_ms;
            }
            LeaseInput::Tick => {}
        }
        if matches!(self.state, State::Idle) && now.mono_ms >= self.next_ms {
            match self.read {
                true => self.write(now, out),
                false => self.start_read(out),
            }
        }
    }

    fn key(&self) -> ObjectKey {
        ObjectKey::new(Kind::Process, Arc::clone(&self.config.process))
    }

    fn call(&mut self, op: StoreOp, out: &mut Vec<LeaseAction>) -> CallId {
        let call = CallId(self.next_call);
        self.next_call += 1;
        out.push(LeaseAction::Store { call, op });
        call
    }

    fn start_read(&mut self, out: &mut Vec<LeaseAction>) {
        let op = StoreOp::Get { key: self.key() };
        self.state = State::Reading(self.call(op, out));
    }

    fn write(&mut self, now: Now, out: &mut Vec<LeaseAction>) {
        self.renewals += 1;
        let content = ProcessLease {
            incarnation: self.config.incarnation,
            renewals: self.renewals,
            lease_ms: self.config.lease_ms,
            peer_address: self.config.peer_address.clone(),
            region: self.config.region.to_string(),
            availability_zone: self.config.availability_zone.to_string(),
            stopping: self.stopping,
        };
        let value: Value = serde_json::to_vec(&content).unwrap_or_default().into();
        let (key, labels) = (self.key(), Labels::new());
        let op = match self.version {
            Some(version) => StoreOp::Update { key, version, labels, value },
            None => StoreOp::Create { key, labels, value },
        };
        self.state = State::Writing { call: self.call(op, out), sent_ms: now.mono_ms };
    }

    fn stored(&mut self, now: Now, call: CallId, answer: StoreAnswer, out: &mut Vec<LeaseAction>) {
        match self.state {
            State::Reading(own) if own == call => self.read_answered(now, answer, out),
            State::Writing { call: own, sent_ms } if own == call => {
                self.write_answered(now, sent_ms, answer, out);
            }
            _ => {}
        }
    }

    fn read_answered(&mut self, now: Now, answer: StoreAnswer, out: &mut Vec<LeaseAction>) {
        self.state = State::Idle;
        match answer {
            StoreAnswer::Absent => {
                self.read = true;
                self.version = None;
            }
            StoreAnswer::Object(stored) => {
                self.read = true;
                self.version = Some(stored.version);
                // An unreadable lease is replaced: it can only be a former process's.
                if let Ok(lease) = serde_json::from_slice::<ProcessLease>(&stored.value) {
                    self.take_read(now, &lease, out);
                }
            }
            _ => self.next_ms = now.mono_ms + RETRY_MS,
        }
    }

    fn take_read(&mut self, now: Now, lease: &ProcessLease, out: &mut Vec<LeaseAction>) {
        if lease.incarnation > self.config.incarnation {
            self.state = State::Lost;
            out.push(LeaseAction::Lost);
            return;
        }
        let Some((renewals, sent_ms)) = self.doubtful.take() else { return };
        if lease.incarnation == self.config.incarnation && lease.renewals == renewals {
            self.held(now, sent_ms, out);
        }
    }

    fn write_answered(
        &mut self,
        now: Now,
        sent_ms: u64,
        answer: StoreAnswer,
        out: &mut Vec<LeaseAction>,
    ) {
        self.state = State::Idle;
        match answer {
            StoreAnswer::Object(stored) => {
                self.version = Some(stored.version);
                self.held(now, sent_ms, out);
            }
            // The renewal may stand; only a read can tell, and the version is needed either way.
            // A lease that lapsed long ago may have been removed; it is written anew.
            StoreAnswer::Unknown
            | StoreAnswer::Conflict
            | StoreAnswer::Taken
            | StoreAnswer::Absent => {
                self.doubtful = Some((self.renewals, sent_ms));
                self.read = false;
                self.next_ms = now.mono_ms;
            }
            _ => self.next_ms = now.mono_ms + RETRY_MS,
        }
    }

    fn held(&mut self, now: Now, sent_ms: u64, out: &mut Vec<LeaseAction>) {
        self.next_ms = (sent_ms + self.config.renew_ms).max(now.mono_ms);
        let valid_until_ms = sent_ms + self.config.lease_ms;
        out.push(LeaseAction::Held { valid_until_ms });
    }
}

#[derive(Debug)]
struct Observed {
    lease: ProcessLease,
    since_ms: u64,
}

/// Leases of other processes, as observed.
#[derive(Debug, Default)]
pub struct LeaseTable {
    leases: BTreeMap<Name, Observed>,
}

impl LeaseTable {
    /// Takes an observation of a lease.
    pub fn observe(&mut self, now: Now, process: &Name, lease: ProcessLease) {
        let known = self.leases.get(process);
        let same = known.is_some_and(|it| {
            (it.lease.incarnation, it.lease.renewals) == (lease.incarnation, lease.renewals)
        });
        if !same {
            let observed = Observed { lease, since_ms: now.mono_ms };
            self.leases.insert(Arc::clone(process), observed);
        }
    }

    /// Takes a holder's own word, heard from it, that it has renewed its lease so often.
    pub fn heard(&mut self, now: Now, process: &str, incarnation: u64, renewals: u64) {
        let Some(known) = self.leases.get_mut(process) else { return };
        if (known.lease.incarnation, known.lease.renewals) < (incarnation, renewals) {
            known.lease.incarnation = incarnation;
            known.lease.renewals = renewals;
            known.since_ms = now.mono_ms;
        }
    }

    /// When the lease of a process lapses if it is not renewed, by the observer's monotonic clock.
    pub fn over_at(&self, process: &str, margin_ms: u64) -> Option<u64> {
        let observed = self.leases.get(process)?;
        Some(observed.since_ms + observed.lease.lease_ms + margin_ms + 1)
    }

    /// Forgets a process whose lease object is gone.
    pub fn forget(&mut self, process: &str) {
        self.leases.remove(process);
    }

    /// All observed leases.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &ProcessLease)> {
        self.leases.iter().map(|(name, it)| (name, &it.lease))
    }

    /// Forgets all processes that a whole list did not name.
    pub fn retain(&mut self, named: &BTreeSet<Name>) {
        self.leases.retain(|name, _| named.contains(name));
    }

    /// Processes that hold their lease and are not stopping.
    pub fn live(&self, now: Now) -> Vec<Name> {
        let live =
            |it: &Observed| now.mono_ms <= it.since_ms + it.lease.lease_ms && !it.lease.stopping;
        let live = self.leases.iter().filter(|(_, it)| live(it));
        live.map(|(name, _)| Arc::clone(name)).collect()
    }

    /// Processes whose lease has not changed for its length and `margin_ms`, with their incarnations.
    pub fn lapsed(&self, now: Now, margin_ms: u64) -> Vec<(Name, u64)> {
        let over = |it: &Observed| now.mono_ms > it.since_ms + it.lease.lease_ms + margin_ms;
        let lapsed = self.leases.iter().filter(|(_, it)| over(it));
        lapsed.map(|(name, it)| (Arc::clone(name), it.lease.incarnation)).collect()
    }
}
