//! Detection of requests that crash targets: which requests are suspected, and which are refused.
//!
//! When a target dies, the fingerprint of each request in flight on it becomes a suspect; a whole answer from any
//! target clears it. A gateway sends each target one suspect at a time, so that a death is never counted against two of
//! them. A fingerprint that was in flight at two deaths is quarantined: its requests are refused at once until the
//! quarantine expires or an owner lifts it.
//!
//! A target counts as dead when the connection of a request was lost and a new connection is refused. A host that is
//! isolated refuses no connection, so its requests are not suspected. Each change is sent to the peers at once; the
//! quarantined fingerprints are also stored in one object of the store, for gateways that start later. The number and
//! the age of the entries are bounded.

mod config;
mod fingerprint;
mod list;
mod messages;
mod suspects;

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};

pub use config::QuarantineConfig;
pub use fingerprint::fingerprint;
pub use list::ListInput;
pub use messages::{AttemptOutcome, QuarantineAction, QuarantineInput};
pub use suspects::{QUARANTINE_DEATHS, Suspect};

use crate::{dispatch::RequestId, time::Now};
use list::QuarantineList;
use suspects::{AttemptSeq, Change, Suspects};

/// How long after a target's death the loss of other requests on it may still be reported.
const LATE_LOSS_MS: u64 = 5_000;

/// The last known death of a target.
#[derive(Debug, Clone, Copy)]
struct Death {
    at_ms: u64,
    /// The last attempt that had been registered by then.
    last_seq: AttemptSeq,
}

/// A registered attempt to run a request at a target.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    fingerprint: u64,
    target: SocketAddr,
    seq: AttemptSeq,
}

/// State machine of the quarantine in one process.
#[derive(Debug)]
pub struct Quarantine {
    suspects: Suspects,
    list: QuarantineList,
    attempts: BTreeMap<RequestId, Attempt>,
    /// The one attempt of a suspected request that runs on each target.
    running_suspects: BTreeMap<SocketAddr, RequestId>,
    /// Attempts of suspected requests that wait until their target has no other one.
    waiting: BTreeMap<SocketAddr, VecDeque<RequestId>>,
    /// Lost attempts at targets that are being probed.
    lost_attempts: BTreeMap<SocketAddr, Vec<(RequestId, Attempt)>>,
    /// Deaths of the last [`LATE_LOSS_MS`].
    deaths: BTreeMap<SocketAddr, Death>,
    /// Number of the last registered attempt.
    last_seq: AttemptSeq,
}

impl Quarantine {
    /// Starts without suspects; the first [`QuarantineInput::Tick`] reads the stored list.
    pub fn new(config: QuarantineConfig) -> Quarantine {
        Quarantine {
            list: QuarantineList::new(&config),
            suspects: Suspects::new(config),
            attempts: BTreeMap::new(),
            running_suspects: BTreeMap::new(),
            waiting: BTreeMap::new(),
            lost_attempts: BTreeMap::new(),
            deaths: BTreeMap::new(),
            last_seq: AttemptSeq::default(),
        }
    }

    /// Whether any fingerprint is remembered. Then an attempt must wait for its [`QuarantineAction::Dispatch`].
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// All remembered fingerprints: suspected, quarantined and lifted ones.
    pub fn suspects(&self) -> impl Iterator<Item = Suspect> {
        self.suspects.iter()
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Now, input: QuarantineInput, out: &mut Vec<QuarantineAction>) {
        match input {
            QuarantineInput::Admit { attempt, fingerprint, target } => {
                self.last_seq = AttemptSeq(self.last_seq.0 + 1);
                let seq = self.last_seq;
                self.attempts.insert(attempt, Attempt { fingerprint, target, seq });
                self.admit(attempt, out);
            }
            QuarantineInput::Ended { attempt, outcome } => {
                self.attempt_ended(now, attempt, outcome, out)
            }
            QuarantineInput::Probed { target, refused } => self.probed(now, target, refused, out),
            QuarantineInput::PeerReport(report) => {
                let change = self.suspects.apply_report(now, report, self.last_seq);
                self.publish_change(now, change, false, out);
            }
            QuarantineInput::Lift { fingerprint } => {
                let change = self.suspects.lift(now, fingerprint);
                self.publish_change(now, change, true, out);
            }
            QuarantineInput::Stored { call, answer } => {
                let stored = ListInput::Stored { call, answer };
                self.list.handle(now, stored, &mut self.suspects, out);
                self.refuse_quarantined_waiting(out);
            }
            QuarantineInput::Tick => {
                self.suspects.remove_expired(now);
                self.deaths.retain(|_, it| it.at_ms + LATE_LOSS_MS > now.mono_ms);
                self.list.handle(now, ListInput::Tick, &mut self.suspects, out);
            }
        }
    }

    fn admit(&mut self, attempt: RequestId, out: &mut Vec<QuarantineAction>) {
        let Some(candidate) = self.attempts.get(&attempt) else { return };
        let deaths = self.suspects.deaths(candidate.fingerprint);
        if deaths >= QUARANTINE_DEATHS {
            self.attempts.remove(&attempt);
            out.push(QuarantineAction::Refuse { attempt });
            return;
        }
        if deaths > 0 {
            // If two suspects ran on one target, its death would count against both, although one may be harmless.
            if self.running_suspects.contains_key(&candidate.target) {
                self.waiting.entry(candidate.target).or_default().push_back(attempt);
                return;
            }
            self.running_suspects.insert(candidate.target, attempt);
        }
        out.push(QuarantineAction::Dispatch { attempt });
    }

    fn attempt_ended(
        &mut self,
        now: Now,
        attempt: RequestId,
        outcome: AttemptOutcome,
        out: &mut Vec<QuarantineAction>,
    ) {
        let Some(ended) = self.attempts.remove(&attempt) else {
            // The attempt was sent without waiting for its admission, and then refused. The task that waits until its
            // loss is resolved still needs an answer.
            if outcome == AttemptOutcome::ConnectionLost {
                out.push(QuarantineAction::LossResolved { attempt });
            }
            return;
        };
        if let Some(waiting) = self.waiting.get_mut(&ended.target) {
            waiting.retain(|it| *it != attempt);
        }
        match outcome {
            AttemptOutcome::Answered => {
                let change = self.suspects.clear(ended.fingerprint);
                self.publish_change(now, change, true, out);
                self.release_target(attempt, ended.target, out);
            }
            AttemptOutcome::ConnectionLost => self.attempt_lost(now, attempt, ended, out),
            AttemptOutcome::Other => self.release_target(attempt, ended.target, out),
        }
    }

    fn attempt_lost(
        &mut self,
        now: Now,
        attempt: RequestId,
        lost: Attempt,
        out: &mut Vec<QuarantineAction>,
    ) {
        // The loss of another request has already shown that the target died while this request was on it.
        if self.deaths.get(&lost.target).is_some_and(|it| lost.seq <= it.last_seq) {
            self.add_suspicion(now, attempt, lost, out);
            return;
        }
        let probing = self.lost_attempts.entry(lost.target).or_default();
        probing.push((attempt, lost));
        if probing.len() == 1 {
            out.push(QuarantineAction::Probe { target: lost.target });
        }
    }

    fn probed(
        &mut self,
        now: Now,
        target: SocketAddr,
        refused: bool,
        out: &mut Vec<QuarantineAction>,
    ) {
        if refused {
            let (at_ms, last_seq) = (now.mono_ms, self.last_seq);
            self.deaths.insert(target, Death { at_ms, last_seq });
        }
        for (attempt, lost) in self.lost_attempts.remove(&target).unwrap_or_default() {
            if refused {
                self.add_suspicion(now, attempt, lost, out);
            } else {
                out.push(QuarantineAction::LossResolved { attempt });
                self.release_target(attempt, target, out);
            }
        }
    }

    fn add_suspicion(
        &mut self,
        now: Now,
        attempt: RequestId,
        lost: Attempt,
        out: &mut Vec<QuarantineAction>,
    ) {
        let change = self.suspects.record_death(now, lost.fingerprint, lost.seq, self.last_seq);
        self.publish_change(now, change, true, out);
        out.push(QuarantineAction::LossResolved { attempt });
        self.release_target(attempt, lost.target, out);
    }

    fn release_target(
        &mut self,
        attempt: RequestId,
        target: SocketAddr,
        out: &mut Vec<QuarantineAction>,
    ) {
        if self.running_suspects.get(&target) == Some(&attempt) {
            self.running_suspects.remove(&target);
        }
        while !self.running_suspects.contains_key(&target) {
            let next = self.waiting.get_mut(&target).and_then(VecDeque::pop_front);
            let Some(next) = next else {
                self.waiting.remove(&target);
                return;
            };
            self.admit(next, out);
        }
    }

    fn publish_change(
        &mut self,
        now: Now,
        change: Option<Change>,
        is_local: bool,
        out: &mut Vec<QuarantineAction>,
    ) {
        let Some(change) = change else { return };
        if is_local {
            out.push(QuarantineAction::NotifyPeers(change.suspect));
        }
        if change.is_quarantined {
            out.push(QuarantineAction::Quarantined { fingerprint: change.suspect.fingerprint });
        }
        // Only the gateway that made the change writes it to the store; its peers just apply the report.
        if is_local && change.is_listed {
            self.list.handle(now, ListInput::Changed, &mut self.suspects, out);
        }
        self.refuse_quarantined_waiting(out);
    }

    fn refuse_quarantined_waiting(&mut self, out: &mut Vec<QuarantineAction>) {
        for waiting in self.waiting.values_mut() {
            waiting.retain(|attempt| {
                let fingerprint = self.attempts.get(attempt).map(|it| it.fingerprint);
                let deaths = fingerprint.map_or(0, |it| self.suspects.deaths(it));
                if deaths >= QUARANTINE_DEATHS {
                    self.attempts.remove(attempt);
                    out.push(QuarantineAction::Refuse { attempt: *attempt });
                }
                deaths < QUARANTINE_DEATHS
            });
        }
    }
}
