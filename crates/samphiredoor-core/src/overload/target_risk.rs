//! Which targets fail requests, as all gateways of a cell see it.
//!
//! Each gateway keeps a doubt about each target: it grows by one with each failed attempt, and shrinks with each whole
//! answer and with time. Gateways send each other their doubts, and the sum decides. A target that fails four of ten
//! requests stays doubted, because doubt grows faster there than answers reduce it; one that loses one answer in twenty
//! is trusted most of the time.
//!
//! An error answer of a target is no failure here: it may be the fault of the request, and a request that makes every
//! target answer with an error would make all of them failing. It does not rebuild trust either, if it comes much sooner
//! than whole answers do.
//!
//! A new or restarted target has not shown yet that it works. It is trusted less until it has given some whole answers,
//! and one that comes and goes has to give more of them. All of this only orders targets and never excludes one, so when
//! all are new or failing, the order is the same as without it.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use smallvec::SmallVec;

use super::{FailingTarget, MAX_ENTRIES, NEWS_TIMEOUT_MS};
use crate::{Name, names::name_hash, requests::AttemptEnd};

/// Time in which a doubt halves without attempts.
const HALF_DOUBT_MS: f32 = 5_000.0;
/// Part of a doubt that remains after a whole answer.
const DOUBT_AFTER_ANSWER: f32 = 0.7;
/// Largest doubt of one gateway, so that one with a broken network does not outvote the others for long.
const MAX_DOUBT: f32 = 4.0;
/// Doubt from which a target has failed recently: a single failure counts until two answers or five seconds later.
const RECENT_DOUBT: f32 = 0.5;
/// Doubt from which a target is failing. A target that loses one answer in twenty rarely gets there.
const FAILING_DOUBT: f32 = 3.0;
/// Doubt below which a failing target is trusted again.
const TRUSTED_DOUBT: f32 = 0.5;
/// Doubt below which nothing is kept.
const NO_DOUBT: f32 = 0.05;
/// First interval between probes of a failing target; it doubles with each failed probe.
const FIRST_PROBE_MS: u64 = 500;
/// Longest interval between probes of a failing target.
const MAX_PROBE_MS: u64 = 8_000;
/// Whole answers after which a new target is trusted like any other.
const NEW_ANSWERS: u32 = 4;
/// Most whole answers that a target that comes and goes has to give.
const MAX_NEW_ANSWERS: u32 = 32;
/// Time after which a new target is trusted even without answers, as there may be no traffic for it.
const NEW_MS: u64 = 30_000;
/// Time for which a target that is gone is remembered, to recognize targets that come and go.
const GONE_MS: u64 = 60_000;
/// Most targets that are gone and remembered.
const MAX_GONE: usize = 1_024;

/// A doubt that halves with time.
#[derive(Debug, Clone, Copy, Default)]
struct Doubt {
    amount: f32,
    at_ms: u64,
}

impl Doubt {
    fn now(&self, now_ms: u64) -> f32 {
        if self.amount == 0.0 {
            return 0.0;
        }
        self.amount * (-(now_ms.saturating_sub(self.at_ms) as f32) / HALF_DOUBT_MS).exp2()
    }

    fn set(&mut self, now_ms: u64, amount: f32) {
        *self = Doubt { amount: amount.min(MAX_DOUBT), at_ms: now_ms };
    }
}

/// Doubt of another gateway.
#[derive(Debug, Clone, Copy)]
struct PeerDoubt {
    peer: u64,
    doubt: Doubt,
    received_ms: u64,
}

/// A target that appeared after this gateway started.
#[derive(Debug, Clone, Copy)]
struct Newcomer {
    since_ms: u64,
    missing_answers: u32,
    wanted_answers: u32,
}

#[derive(Debug, Default)]
struct Risk {
    name: Option<Name>,
    started_unix_ms: u64,
    /// Answers wanted of this target when it last appeared; 0 if it has been listed from the start.
    wanted_answers: u32,
    own: Doubt,
    failed_ms: u64,
    peers: SmallVec<[PeerDoubt; 2]>,
    newcomer: Option<Newcomer>,
    /// Whether it was last announced as failing.
    is_failing: bool,
    failed_probes: u32,
    next_probe_ms: u64,
}

impl Risk {
    fn doubt(&self, now_ms: u64) -> f32 {
        let live = self.peers.iter().filter(|it| now_ms < it.received_ms + NEWS_TIMEOUT_MS);
        self.own.now(now_ms) + live.map(|it| it.doubt.now(now_ms)).sum::<f32>()
    }

    fn appear(&mut self, now_ms: u64, started_unix_ms: u64) {
        self.started_unix_ms = started_unix_ms;
        self.wanted_answers = (2 * self.wanted_answers).clamp(NEW_ANSWERS, MAX_NEW_ANSWERS);
        self.newcomer = Some(Newcomer {
            since_ms: now_ms,
            missing_answers: self.wanted_answers,
            wanted_answers: self.wanted_answers,
        });
    }

    fn record_failure(&mut self, now_ms: u64) {
        self.own.set(now_ms, self.own.now(now_ms) + 1.0);
        self.failed_ms = now_ms;
        let probe_ms = (FIRST_PROBE_MS << self.failed_probes.min(4)).min(MAX_PROBE_MS);
        self.failed_probes += 1;
        self.next_probe_ms = now_ms + probe_ms;
        if let Some(newcomer) = &mut self.newcomer {
            newcomer.missing_answers = newcomer.wanted_answers;
        }
    }

    fn record_answer(&mut self, now_ms: u64) {
        self.own.set(now_ms, self.own.now(now_ms) * DOUBT_AFTER_ANSWER);
        self.failed_probes = 0;
        self.next_probe_ms = now_ms;
        if let Some(newcomer) = &mut self.newcomer {
            newcomer.missing_answers -= 1;
            if newcomer.missing_answers == 0 {
                self.newcomer = None;
            }
        }
    }

    /// Part of the wanted answers that a new target has not given yet.
    fn newness(&self, now_ms: u64) -> f32 {
        match self.newcomer {
            Some(it) if now_ms < it.since_ms + NEW_MS => {
                it.missing_answers as f32 / it.wanted_answers as f32
            }
            _ => 0.0,
        }
    }
}

/// Trust in a target.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Trust {
    /// Failed attempts at all gateways that later answers have not outweighed yet.
    pub doubt: f32,
    /// From 1 for a target that has just appeared, to 0 for one that has given enough whole answers.
    pub newness: f32,
    /// Whether its failures are so recent that a request that may run only once avoids it.
    pub has_failed: bool,
    /// Whether it fails so many requests that others avoid it too, apart from probes.
    pub is_failing: bool,
    /// Whether a request that may be repeated should find out if the target works again.
    pub is_probe_due: bool,
}

/// A target has become failing, or is trusted again.
#[derive(Debug, Clone, PartialEq)]
pub struct TrustChange {
    /// Target.
    pub target: Name,
    /// Whether it is failing now.
    pub is_failing: bool,
    /// Failed attempts at all gateways that later answers have not outweighed yet.
    pub doubt: f32,
}

/// Trust in all targets, as this gateway knows them.
#[derive(Debug, Default)]
pub struct TargetRisks {
    risks: HashMap<u64, Risk>,
    /// Targets that are new, doubted by any gateway, or announced as failing. All others are trusted.
    noted: BTreeSet<u64>,
    /// Targets of which each peer has sent a doubt.
    doubted_by: HashMap<u64, SmallVec<[u64; 4]>>,
    /// Targets that are gone: when, and how many answers were wanted of them.
    gone: BTreeMap<u64, (u64, u32)>,
    has_targets: bool,
}

impl TargetRisks {
    /// Sets the targets: name and start time of each. Those of the first list were there before this gateway and are not
    /// new.
    pub fn set_targets<'a>(
        &mut self,
        now_ms: u64,
        targets: impl IntoIterator<Item = (&'a Name, u64)>,
    ) {
        let mut former = std::mem::take(&mut self.risks);
        for (name, started_unix_ms) in targets {
            let key = name_hash(name);
            let risk = match former.remove(&key) {
                Some(known) => self.updated(now_ms, key, known, started_unix_ms),
                None => self.added(now_ms, key, name, started_unix_ms),
            };
            self.risks.insert(key, risk);
        }
        self.has_targets |= !self.risks.is_empty();
        for (key, risk) in former {
            self.noted.remove(&key);
            self.gone.insert(key, (now_ms, risk.wanted_answers));
        }
        self.gone.retain(|_, (gone_ms, _)| now_ms < *gone_ms + GONE_MS);
        while self.gone.len() > MAX_GONE {
            self.gone.pop_first();
        }
    }

    // A restarted target has lost whatever made the former process fail.
    fn updated(&mut self, now_ms: u64, key: u64, known: Risk, started_unix_ms: u64) -> Risk {
        if known.started_unix_ms == started_unix_ms {
            return known;
        }
        let Risk { name, wanted_answers, is_failing, .. } = known;
        let mut risk = Risk { name, wanted_answers, is_failing, ..Risk::default() };
        risk.appear(now_ms, started_unix_ms);
        self.noted.insert(key);
        risk
    }

    fn added(&mut self, now_ms: u64, key: u64, name: &Name, started_unix_ms: u64) -> Risk {
        let mut risk = Risk { name: Some(Name::clone(name)), started_unix_ms, ..Risk::default() };
        let gone = self.gone.remove(&key);
        if self.has_targets || gone.is_some() {
            risk.wanted_answers = gone.map_or(0, |(_, wanted)| wanted.max(NEW_ANSWERS));
            risk.appear(now_ms, started_unix_ms);
            self.noted.insert(key);
        }
        risk
    }

    /// Records how an attempt of this gateway ended.
    pub fn record_end(&mut self, now_ms: u64, target: u64, end: AttemptEnd) {
        let Some(risk) = self.risks.get_mut(&target) else { return };
        match end {
            AttemptEnd::Lost | AttemptEnd::Unreachable | AttemptEnd::Gone => {
                risk.record_failure(now_ms);
                self.noted.insert(target);
            }
            AttemptEnd::Answered if self.noted.contains(&target) => risk.record_answer(now_ms),
            // These say nothing about the health of the target. A silent one is probably sound, and its doubt would last for
            // seconds after it has gone on.
            AttemptEnd::Answered
            | AttemptEnd::Silent
            | AttemptEnd::Refused
            | AttemptEnd::WrongTarget
            | AttemptEnd::Cut => {}
        }
    }

    /// Replaces the doubts of another gateway.
    pub fn record_news(&mut self, now_ms: u64, peer: &Name, failing: &[FailingTarget]) {
        let peer = name_hash(peer);
        for target in self.doubted_by.remove(&peer).unwrap_or_default() {
            if let Some(risk) = self.risks.get_mut(&target) {
                risk.peers.retain(|it| it.peer != peer);
            }
        }
        let mut doubted = SmallVec::new();
        for failing in failing.iter().take(MAX_ENTRIES).filter(|it| it.failures > 0) {
            let Some(risk) = self.risks.get_mut(&failing.target) else { continue };
            // The number includes the decay until it was sent; only the way here is added.
            let mut doubt = Doubt::default();
            doubt.set(now_ms, failing.failures as f32);
            risk.peers.retain(|it| it.peer != peer);
            risk.peers.push(PeerDoubt { peer, doubt, received_ms: now_ms });
            self.noted.insert(failing.target);
            doubted.push(failing.target);
        }
        if !doubted.is_empty() {
            self.doubted_by.insert(peer, doubted);
        }
    }

    /// Trust in a target.
    pub fn trust(&self, now_ms: u64, target: u64) -> Trust {
        if !self.noted.contains(&target) {
            return Trust::default();
        }
        let Some(risk) = self.risks.get(&target) else { return Trust::default() };
        let doubt = risk.doubt(now_ms);
        let is_failing = doubt >= FAILING_DOUBT || (risk.is_failing && doubt >= TRUSTED_DOUBT);
        Trust {
            doubt,
            newness: risk.newness(now_ms),
            has_failed: doubt >= RECENT_DOUBT,
            is_failing,
            is_probe_due: is_failing && now_ms >= risk.next_probe_ms,
        }
    }

    /// Doubts of this gateway, newest failure first.
    pub fn news(&self, now_ms: u64) -> Vec<FailingTarget> {
        let own = self.noted.iter().filter_map(|target| {
            let risk = self.risks.get(target)?;
            let failures = risk.own.now(now_ms).round() as u32;
            let age_ms = now_ms.saturating_sub(risk.failed_ms).min(u64::from(u32::MAX)) as u32;
            (failures > 0).then_some(FailingTarget { target: *target, failures, age_ms })
        });
        let mut news: Vec<FailingTarget> = own.collect();
        news.sort_unstable_by_key(|it| (it.age_ms, it.target));
        news.truncate(MAX_ENTRIES);
        news
    }

    /// Targets that have become failing, or are trusted again, since the last call.
    pub fn take_changes(&mut self, now_ms: u64) -> Vec<TrustChange> {
        let mut changes = Vec::new();
        let noted: Vec<u64> = self.noted.iter().copied().collect();
        for target in noted {
            let Trust { is_failing, doubt, newness, .. } = self.trust(now_ms, target);
            let Some(risk) = self.risks.get_mut(&target) else { continue };
            if is_failing != risk.is_failing {
                risk.is_failing = is_failing;
                changes.extend(risk.name.clone().map(|target| TrustChange {
                    target,
                    is_failing,
                    doubt,
                }));
            }
            if doubt < NO_DOUBT && newness == 0.0 && !is_failing {
                self.noted.remove(&target);
            }
        }
        changes
    }
}
