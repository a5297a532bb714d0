//! Requests that crash targets: whom to suspect, and whom to refuse.
//!
//! Every request in flight on a target that dies is suspected, by its fingerprint; a whole answer from any target
//! clears it. A target gets one suspect of this door at a time, so that two of them never share a death. A fingerprint that was in flight at
//! two deaths is blamed and refused at once, until its time is over or an owner lifts it.
//!
//! A target counts as dead when a request on it was lost and a new connection is refused: a host that is cut off
//! refuses nothing, and no request is to blame for it. Peers are told at once, and the blamed stand in one object of
//! the store for doors that start later. All of that is bounded in number and age.

mod config;
mod list;
mod messages;
mod suspects;

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};

pub use config::QuarantineConfig;
pub use list::ListInput;
pub use messages::{AttemptOutcome, QuarantineAction, QuarantineInput};
pub use suspects::{QUARANTINE_DEATHS, Suspect};

use crate::{dispatch::RequestId, time::Now};
use list::BlamedList;
use suspects::{Change, Entry, Suspects};

/// How long after a target's death its other requests may still be found lost.
const DEATH_ECHO_MS: u64 = 5_000;

#[derive(Debug, Clone, Copy)]
struct Death {
    at_ms: u64,
    /// The last attempt that had entered by then.
    last_entry: Entry,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    fingerprint: u64,
    target: SocketAddr,
    entry: Entry,
}

/// State of the quarantine in one process.
#[derive(Debug)]
pub struct Quarantine {
    suspects: Suspects,
    list: BlamedList,
    attempts: BTreeMap<RequestId, Attempt>,
    /// The one suspect that runs on a target.
    apart: BTreeMap<SocketAddr, RequestId>,
    /// Suspects that wait for their target.
    waiting: BTreeMap<SocketAddr, VecDeque<RequestId>>,
    /// Attempts lost at targets that are being probed.
    lost: BTreeMap<SocketAddr, Vec<(RequestId, Attempt)>>,
    /// The last deaths.
    deaths: BTreeMap<SocketAddr, Death>,
    last_entry: Entry,
}

impl Quarantine {
    /// Quarantine that suspects nobody; it reads the stored list first.
    pub fn new(config: QuarantineConfig) -> Quarantine {
        Quarantine {
            list: BlamedList::new(&config),
            suspects: Suspects::new(config),
            attempts: BTreeMap::new(),
            apart: BTreeMap::new(),
            waiting: BTreeMap::new(),
            lost: BTreeMap::new(),
            deaths: BTreeMap::new(),
            last_entry: Entry::default(),
        }
    }

    /// Whether any request is suspected, so that an attempt must wait for its [`QuarantineAction::Dispatch`].
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// All that is remembered.
    pub fn suspects(&self) -> impl Iterator<Item = Suspect> {
        self.suspects.iter()
    }

    /// Takes one event; appends what to do to `out`.
    pub fn handle(&mut self, now: Now, input: QuarantineInput, out: &mut Vec<QuarantineAction>) {
        match input {
            QuarantineInput::Admit { attempt, fingerprint, target } => {
                self.last_entry = Entry(self.last_entry.0 + 1);
                let entry = self.last_entry;
                self.attempts.insert(attempt, Attempt { fingerprint, target, entry });
                self.enter(attempt, out);
            }
            QuarantineInput::Ended { attempt, outcome } => self.left(now, attempt, outcome, out),
            QuarantineInput::Probed { target, refused } => self.probed(now, target, refused, out),
            QuarantineInput::PeerReport(told) => {
                let change = self.suspects.told(now, told, self.last_entry);
                self.changed(now, change, false, out);
            }
            QuarantineInput::Lift { fingerprint } => {
                let change = self.suspects.lift(now, fingerprint);
                self.changed(now, change, true, out);
            }
            QuarantineInput::Stored { call, answer } => {
                let stored = ListInput::Stored { call, answer };
                self.list.handle(now, stored, &mut self.suspects, out);
                self.refuse_blamed_waiting(out);
            }
            QuarantineInput::Tick => {
                self.suspects.forget_old(now);
                self.deaths.retain(|_, it| it.at_ms + DEATH_ECHO_MS > now.mono_ms);
                self.list.handle(now, ListInput::Tick, &mut self.suspects, out);
            }
        }
    }

    fn enter(&mut self, attempt: RequestId, out: &mut Vec<QuarantineAction>) {
        let Some(entered) = self.attempts.get(&attempt) else { return };
        let deaths = self.suspects.deaths(entered.fingerprint);
        if deaths >= QUARANTINE_DEATHS {
            self.attempts.remove(&attempt);
            out.push(QuarantineAction::Refuse { attempt });
            return;
        }
        if deaths > 0 {
            // Two suspects on one target would both be blamed for its death, the innocent with the guilty.
            if self.apart.contains_key(&entered.target) {
                self.waiting.entry(entered.target).or_default().push_back(attempt);
                return;
            }
            self.apart.insert(entered.target, attempt);
        }
        out.push(QuarantineAction::Dispatch { attempt });
    }

    fn left(
        &mut self,
        now: Now,
        attempt: RequestId,
        outcome: AttemptOutcome,
        out: &mut Vec<QuarantineAction>,
    ) {
        let Some(left) = self.attempts.remove(&attempt) else {
            // It was refused after it had been sent without waiting; whoever waits for its end must not wait for ever.
            if outcome == AttemptOutcome::ConnectionLost {
                out.push(QuarantineAction::LossResolved { attempt });
            }
            return;
        };
        if let Some(waiting) = self.waiting.get_mut(&left.target) {
            waiting.retain(|it| *it != attempt);
        }
        match outcome {
            AttemptOutcome::Answered => {
                let change = self.suspects.clear(left.fingerprint);
                self.changed(now, change, true, out);
                self.leave_apart(attempt, left.target, out);
            }
            AttemptOutcome::ConnectionLost => self.lose(now, attempt, left, out),
            AttemptOutcome::Other => self.leave_apart(attempt, left.target, out),
        }
    }

    fn lose(
        &mut self,
        now: Now,
        attempt: RequestId,
        lost: Attempt,
        out: &mut Vec<QuarantineAction>,
    ) {
        // The target died while this request was on it, and another request's loss has shown it.
        if self.deaths.get(&lost.target).is_some_and(|it| lost.entry <= it.last_entry) {
            self.suspect(now, attempt, lost, out);
            return;
        }
        let probing = self.lost.entry(lost.target).or_default();
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
            let (at_ms, last_entry) = (now.mono_ms, self.last_entry);
            self.deaths.insert(target, Death { at_ms, last_entry });
        }
        for (attempt, lost) in self.lost.remove(&target).unwrap_or_default() {
            if refused {
                self.suspect(now, attempt, lost, out);
            } else {
                out.push(QuarantineAction::LossResolved { attempt });
                self.leave_apart(attempt, target, out);
            }
        }
    }

    fn suspect(
        &mut self,
        now: Now,
        attempt: RequestId,
        lost: Attempt,
        out: &mut Vec<QuarantineAction>,
    ) {
        let change = self.suspects.died(now, lost.fingerprint, lost.entry, self.last_entry);
        self.changed(now, change, true, out);
        out.push(QuarantineAction::LossResolved { attempt });
        self.leave_apart(attempt, lost.target, out);
    }

    fn leave_apart(
        &mut self,
        attempt: RequestId,
        target: SocketAddr,
        out: &mut Vec<QuarantineAction>,
    ) {
        if self.apart.get(&target) == Some(&attempt) {
            self.apart.remove(&target);
        }
        while !self.apart.contains_key(&target) {
            let next = self.waiting.get_mut(&target).and_then(VecDeque::pop_front);
            let Some(next) = next else {
                self.waiting.remove(&target);
                return;
            };
            self.enter(next, out);
        }
    }

    fn changed(
        &mut self,
        now: Now,
        change: Option<Change>,
        tell: bool,
        out: &mut Vec<QuarantineAction>,
    ) {
        let Some(change) = change else { return };
        if tell {
            out.push(QuarantineAction::NotifyPeers(change.suspect));
        }
        if change.is_blamed {
            out.push(QuarantineAction::Quarantined { fingerprint: change.suspect.fingerprint });
        }
        // Whoever learned it by himself writes it; peers that were told only refuse.
        if tell && change.is_kept {
            self.list.handle(now, ListInput::Changed, &mut self.suspects, out);
        }
        self.refuse_blamed_waiting(out);
    }

    fn refuse_blamed_waiting(&mut self, out: &mut Vec<QuarantineAction>) {
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
