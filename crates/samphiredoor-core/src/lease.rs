//! Leases of processes: whether a process may work on what it owns, and whose work can be taken over.
//!
//! Each process renews one object, whatever the number of its jobs. The holder measures its lease by its own monotonic
//! clock from the moment before the renewing write was sent. Observers measure by their own clocks from the moment they
//! first saw a renewal, and add a margin. So no clocks are compared, and a holder that was paused finds its lease
//! expired when it resumes. The lease only avoids that two processes do the same work; results are correct without it.

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

/// Backoff after a store call that failed.
const RETRY_MS: u64 = 500;

/// What a process writes into its lease.
#[derive(Debug, Clone)]
pub struct LeaseConfig {
    /// Name of the process.
    pub process: Name,
    /// Incarnation of the process; a later start has a higher one.
    pub incarnation: u64,
    /// Length of the lease.
    pub lease_ms: u64,
    /// Time between renewals.
    pub renew_ms: u64,
    /// Address where it listens for peers.
    pub peer_address: String,
    /// Region that the process runs in.
    pub region: Name,
    /// Availability zone that the process runs in.
    pub availability_zone: Name,
}

/// Events that the own lease handles.
#[derive(Debug, Clone)]
pub enum LeaseInput {
    /// A store call was answered.
    Stored {
        /// Id of the call.
        call: CallId,
        /// Answer of the store.
        answer: StoreAnswer,
    },
    /// A graceful shutdown has begun. The next renewal, which is due at once, writes this to the lease.
    Stopping,
    /// Time passed; a due renewal follows.
    Tick,
}

/// Actions that the owner of the lease carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaseAction {
    /// Make a store call.
    Store {
        /// Id to report the answer with.
        call: CallId,
        /// The operation.
        op: StoreOp,
    },
    /// The lease was renewed.
    Held {
        /// Monotonic time at which the lease expires.
        valid_until_ms: u64,
    },
    /// A later incarnation of this process holds the lease; this one must stop working.
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
    /// Whether `version` is that of the stored object; if not, a read precedes the next write.
    version_known: bool,
    renewals: u64,
    stopping: bool,
    next_ms: u64,
    /// Number and send time of a renewal with unknown outcome.
    unconfirmed: Option<(u64, u64)>,
    next_call: u64,
}

impl OwnLease {
    /// Lease that has not been read or written yet.
    pub fn new(config: LeaseConfig) -> OwnLease {
        OwnLease {
            config,
            state: State::Idle,
            version: None,
            version_known: false,
            renewals: 0,
            stopping: false,
            next_ms: 0,
            unconfirmed: None,
            next_call: 0,
        }
    }

    /// Number of the last renewal.
    pub fn renewals(&self) -> u64 {
        self.renewals
    }

    /// Handles one event and appends the resulting actions to `out`.
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
            match self.version_known {
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
        let op = StoreOp::write(self.key(), self.version, Labels::new(), value);
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
                self.version_known = true;
                self.version = None;
            }
            StoreAnswer::Object(stored) => {
                self.version_known = true;
                self.version = Some(stored.version);
                // A lease that cannot be decoded is replaced: only a former process can have written it.
                if let Ok(lease) = serde_json::from_slice::<ProcessLease>(&stored.value) {
                    self.check_read(now, &lease, out);
                }
            }
            _ => self.next_ms = now.mono_ms + RETRY_MS,
        }
    }

    fn check_read(&mut self, now: Now, lease: &ProcessLease, out: &mut Vec<LeaseAction>) {
        if lease.incarnation > self.config.incarnation {
            self.state = State::Lost;
            out.push(LeaseAction::Lost);
            return;
        }
        let Some((renewals, sent_ms)) = self.unconfirmed.take() else { return };
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
            // The renewal may have been stored; only a read shows it, and the version is needed in any case.
            // The object of a lease that expired long ago may have been deleted; then it is created again.
            StoreAnswer::Unknown
            | StoreAnswer::Conflict
            | StoreAnswer::Taken
            | StoreAnswer::Absent => {
                self.unconfirmed = Some((self.renewals, sent_ms));
                self.version_known = false;
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
    /// When its latest renewal was first seen.
    since_ms: u64,
}

/// Leases of other processes, as this process observed them.
#[derive(Debug, Default)]
pub struct LeaseTable {
    leases: BTreeMap<Name, Observed>,
}

impl LeaseTable {
    /// Records the content of a lease object.
    pub fn observe(&mut self, now: Now, process: &Name, lease: ProcessLease) {
        let known = self.leases.get(process);
        let is_known = known.is_some_and(|it| {
            (it.lease.incarnation, it.lease.renewals) == (lease.incarnation, lease.renewals)
        });
        if !is_known {
            let observed = Observed { lease, since_ms: now.mono_ms };
            self.leases.insert(Arc::clone(process), observed);
        }
    }

    /// Records a renewal that the holder reported itself. It counts only if the lease object was observed before.
    pub fn observe_renewals(&mut self, now: Now, process: &str, incarnation: u64, renewals: u64) {
        let Some(known) = self.leases.get_mut(process) else { return };
        if (known.lease.incarnation, known.lease.renewals) < (incarnation, renewals) {
            known.lease.incarnation = incarnation;
            known.lease.renewals = renewals;
            known.since_ms = now.mono_ms;
        }
    }

    /// When the lease of a process expires unless it is renewed, by the observer's monotonic clock.
    pub fn expires_at(&self, process: &str, margin_ms: u64) -> Option<u64> {
        let observed = self.leases.get(process)?;
        Some(observed.since_ms + observed.lease.lease_ms + margin_ms + 1)
    }

    /// Removes a process whose lease object was deleted.
    pub fn forget(&mut self, process: &str) {
        self.leases.remove(process);
    }

    /// All observed leases.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &ProcessLease)> {
        self.leases.iter().map(|(name, it)| (name, &it.lease))
    }

    /// Removes all processes that a complete list of the lease objects did not contain.
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

    /// Processes whose lease has not been renewed for its length and `margin_ms`, with their incarnations.
    pub fn expired(&self, now: Now, margin_ms: u64) -> Vec<(Name, u64)> {
        let is_expired = |it: &Observed| now.mono_ms > it.since_ms + it.lease.lease_ms + margin_ms;
        let expired = self.leases.iter().filter(|(_, it)| is_expired(it));
        expired.map(|(name, it)| (Arc::clone(name), it.lease.incarnation)).collect()
    }
}
