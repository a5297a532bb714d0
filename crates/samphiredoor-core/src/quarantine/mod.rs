//! Requests that crash targets: whom to suspect, and whom to refuse.
//!
//! Every request in flight on a target that dies is suspected, by its fingerprint; a whole answer from any target
//! clears it. Suspects run one at a time, so that two of them never share a death. A fingerprint that was in flight at
//! two deaths is blamed and refused at once, until its time is over or an owner lifts it.
//!
//! A target counts as dead when a request on it was lost and a new connection is refused: a host that is cut off
//! refuses nothing, and no request is to blame for it. Peers are told at once, and the blamed stand in one object of
//! the store for doors that start later. All of that is bounded in number and age.

mod list;
mod suspects;

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};

pub use list::ListInput;
pub use suspects::{BLAMED_DEATHS, Suspect};

use crate::{
    Name,
    dispatch::RequestId,
    ledger::CallId,
    store::{StoreAnswer, StoreOp},
    time::Now,
};
use list::BlamedList;
use suspects::{Change, Suspects};

/// How long after a target's death its other requests may still be found lost.
const DEATH_ECHO_MS: u64 = 5_000;

/// Bounds of the quarantine.
#[derive(Debug, Clone)]
pub struct QuarantineConfig {
    /// Process and incarnation, for the store's writer token.
    pub writer: Name,
    /// Most fingerprints that are remembered.
    pub max_suspects: usize,
    /// How long a suspicion is remembered.
    pub suspect_ms: u64,
    /// How long a blamed fingerprint is refused.
    pub blamed_ms: u64,
    /// Time between two reads of the stored list.
    pub read_ms: u64,
}

impl QuarantineConfig {
    /// Usual bounds.
    pub fn new(writer: Name) -> QuarantineConfig {
        QuarantineConfig {
            writer,
            max_suspects: 1_000,
            suspect_ms: 3_600_000,
            blamed_ms: 86_400_000,
            read_ms: 60_000,
        }
    }
}

/// How an attempt left its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Left {
    /// With a whole answer.
    Answered,
    /// The connection was lost after the request was sent.
    Lost,
    /// In any other way; it says nothing about the request.
    Otherwise,
}

/// What happened.
#[derive(Debug, Clone)]
pub enum QuarantineInput {
    /// A request is about to be sent to a target.
    Enter {
        /// Which attempt; one at a time for a request.
        attempt: RequestId,
        /// Hash of the request.
        fingerprint: u64,
        /// Where the target listens.
        target: SocketAddr,
    },
    /// An attempt left its target.
    Left {
        /// Which attempt.
        attempt: RequestId,
        /// How.
        how: Left,
    },
    /// A connection was tried as [`QuarantineAction::Probe`] asked.
    Probed {
        /// Where the target listens.
        target: SocketAddr,
        /// Whether the connection was refused.
        refused: bool,
    },
    /// A peer told of a request.
    Told(Suspect),
    /// An owner lifts the suspicion.
    Lift {
        /// Hash of the request.
        fingerprint: u64,
    },
    /// A store call was answered.
    Stored {
        /// Which call.
        call: CallId,
        /// Its answer.
        answer: StoreAnswer,
    },
    /// Time passed.
    Tick,
}

/// What to do.
#[derive(Debug, Clone, PartialEq)]
pub enum QuarantineAction {
    /// The attempt may be sent.
    Go {
        /// Which attempt.
        attempt: RequestId,
    },
    /// The request is blamed; this is final.
    Refuse {
        /// Which attempt.
        attempt: RequestId,
    },
    /// Try a connection to a target, and report it.
    Probe {
        /// Where the target listens.
        target: SocketAddr,
    },
    /// It is known what the loss of an attempt means; the request may be tried elsewhere.
    Settled {
        /// Which attempt.
        attempt: RequestId,
    },
    /// Tell all peers.
    Tell(Suspect),
    /// A request is blamed from now on.
    Blamed {
        /// Hash of the request.
        fingerprint: u64,
    },
    /// Make a store call.
    Store {
        /// Which call.
        call: CallId,
        /// The call.
        op: StoreOp,
    },
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    fingerprint: u64,
    target: SocketAddr,
    entered_ms: u64,
}

/// State of the quarantine in one process.
#[derive(Debug)]
pub struct Quarantine {
    suspects: Suspects,
    list: BlamedList,
    attempts: BTreeMap<RequestId, Attempt>,
    /// The one suspect that runs.
    apart: Option<RequestId>,
    waiting: VecDeque<RequestId>,
    /// Attempts lost at targets that are being probed.
    lost: BTreeMap<SocketAddr, Vec<(RequestId, Attempt)>>,
    /// Monotonic times of the last deaths.
    died_ms: BTreeMap<SocketAddr, u64>,
}

impl Quarantine {
    /// Quarantine that suspects nobody; it reads the stored list first.
    pub fn new(config: QuarantineConfig) -> Quarantine {
        Quarantine {
            list: BlamedList::new(&config),
            suspects: Suspects::new(config),
            attempts: BTreeMap::new(),
            apart: None,
            waiting: VecDeque::new(),
            lost: BTreeMap::new(),
            died_ms: BTreeMap::new(),
        }
    }

    /// Whether any request is suspected, so that an attempt must wait for its [`QuarantineAction::Go`].
    pub fn suspects_any(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// All that is remembered.
    pub fn suspects(&self) -> impl Iterator<Item = Suspect> {
        self.suspects.iter()
    }

    /// Takes one event; appends what to do to `out`.
    pub fn handle(&mut self, now: Now, input: QuarantineInput, out: &mut Vec<QuarantineAction>) {
        match input {
            QuarantineInput::Enter { attempt, fingerprint, target } => {
                let entered_ms = now.mono_ms;
                self.attempts.insert(attempt, Attempt { fingerprint, target, entered_ms });
                self.enter(attempt, out);
            }
            QuarantineInput::Left { attempt, how } => self.left(now, attempt, how, out),
            QuarantineInput::Probed { target, refused } => self.probed(now, target, refused, out),
            QuarantineInput::Told(told) => {
                let change = self.suspects.told(now, told);
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
                self.died_ms.retain(|_, died_ms| *died_ms + DEATH_ECHO_MS > now.mono_ms);
                self.list.handle(now, ListInput::Tick, &mut self.suspects, out);
            }
        }
    }

    fn enter(&mut self, attempt: RequestId, out: &mut Vec<QuarantineAction>) {
        let Some(entered) = self.attempts.get(&attempt) else { return };
        let deaths = self.suspects.deaths(entered.fingerprint);
        if deaths >= BLAMED_DEATHS {
            self.attempts.remove(&attempt);
            out.push(QuarantineAction::Refuse { attempt });
            return;
        }
        if deaths > 0 {
            // Two suspects on one target would both be blamed for its death, the innocent with the guilty.
            if self.apart.is_some() {
                self.waiting.push_back(attempt);
                return;
            }
            self.apart = Some(attempt);
        }
        out.push(QuarantineAction::Go { attempt });
    }

    fn left(&mut self, now: Now, attempt: RequestId, how: Left, out: &mut Vec<QuarantineAction>) {
        self.waiting.retain(|it| *it != attempt);
        let Some(left) = self.attempts.remove(&attempt) else { return };
        match how {
            Left::Answered => {
                let change = self.suspects.clear(left.fingerprint);
                self.changed(now, change, true, out);
                self.leave_apart(attempt, out);
            }
            Left::Lost => self.lose(now, attempt, left, out),
            Left::Otherwise => self.leave_apart(attempt, out),
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
        if self.died_ms.get(&lost.target).is_some_and(|died_ms| lost.entered_ms <= *died_ms) {
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
            self.died_ms.insert(target, now.mono_ms);
        }
        for (attempt, lost) in self.lost.remove(&target).unwrap_or_default() {
            if refused {
                self.suspect(now, attempt, lost, out);
            } else {
                out.push(QuarantineAction::Settled { attempt });
                self.leave_apart(attempt, out);
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
        let change = self.suspects.died(now, lost.fingerprint, lost.entered_ms);
        self.changed(now, change, true, out);
        out.push(QuarantineAction::Settled { attempt });
        self.leave_apart(attempt, out);
    }

    fn leave_apart(&mut self, attempt: RequestId, out: &mut Vec<QuarantineAction>) {
        if self.apart == Some(attempt) {
            self.apart = None;
        }
        while self.apart.is_none() {
            let Some(next) = self.waiting.pop_front() else { return };
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
            out.push(QuarantineAction::Tell(change.suspect));
        }
        if change.is_blamed {
            out.push(QuarantineAction::Blamed { fingerprint: change.suspect.fingerprint });
        }
        // Whoever learned it by himself writes it; peers that were told only refuse.
        if tell && change.is_kept {
            self.list.handle(now, ListInput::Changed, &mut self.suspects, out);
        }
        self.refuse_blamed_waiting(out);
    }

    fn refuse_blamed_waiting(&mut self, out: &mut Vec<QuarantineAction>) {
        let waiting = std::mem::take(&mut self.waiting);
        for attempt in waiting {
            let fingerprint = self.attempts.get(&attempt).map(|it| it.fingerprint);
            let blamed = fingerprint.is_some_and(|it| self.suspects.deaths(it) >= BLAMED_DEATHS);
            if blamed {
                self.attempts.remove(&attempt);
                out.push(QuarantineAction::Refuse { attempt });
            } else {
                self.waiting.push_back(attempt);
            }
        }
    }
}
