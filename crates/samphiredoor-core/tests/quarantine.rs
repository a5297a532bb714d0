//! A request that crashes each target that runs it, among innocent ones, at doors that tell each other late.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use samphiredoor_core::{
    dispatch::RequestId,
    ledger::CallId,
    quarantine::{
        AttemptOutcome, Quarantine, QuarantineAction, QuarantineConfig, QuarantineInput, Suspect,
    },
    store::{StoreAnswer, StoreOp, Stored, Value, Version},
    time::Now,
};

const DOORS: usize = 2;
const POISON: u64 = 666;
const CASES: u32 = 400;

#[derive(Debug, Clone)]
enum Step {
    /// A request is sent, by a fingerprint; 0 is the poison.
    Send { door: usize, kind: u64, target: usize },
    /// A target answers one of its requests; if it holds the poison, it dies instead.
    Work { target: usize },
    /// One message between the doors arrives.
    Deliver { which: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..DOORS, 0..5u64, 0..4usize)
            .prop_map(|(door, kind, target)| Step::Send { door, kind, target }),
        4 => (0..4usize).prop_map(|target| Step::Work { target }),
        2 => (0..8usize).prop_map(|which| Step::Deliver { which }),
    ]
}

#[derive(Debug, Clone, Copy)]
struct Sent {
    door: usize,
    fingerprint: u64,
    target: usize,
}

struct World {
    doors: Vec<Quarantine>,
    now: Now,
    sent: BTreeMap<RequestId, Sent>,
    running: Vec<BTreeSet<RequestId>>,
    waiting: BTreeSet<RequestId>,
    news: Vec<(usize, Suspect)>,
    deaths: u32,
    refused: Vec<u64>,
}

fn address(target: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + target as u16))
}

fn quarantine(door: usize) -> Quarantine {
    Quarantine::new(QuarantineConfig::new(format!("door-{door}/1").into()))
}

impl World {
    fn new() -> World {
        World {
            doors: (0..DOORS).map(quarantine).collect(),
            now: Now::new(10_000, 1_000_000_000),
            sent: BTreeMap::new(),
            running: vec![BTreeSet::new(); 4],
            waiting: BTreeSet::new(),
            news: Vec::new(),
            deaths: 0,
            refused: Vec::new(),
        }
    }

    fn step(&mut self, step: &Step) -> Result<(), TestCaseError> {
        self.now.mono_ms += u64::from(matches!(step, Step::Deliver { .. }));
        match *step {
            Step::Send { door, kind, target } => {
                let fingerprint = if kind == 0 { POISON } else { kind };
                let attempt = RequestId(self.sent.len() as u64);
                self.sent.insert(attempt, Sent { door, fingerprint, target });
                self.waiting.insert(attempt);
                let target = address(target);
                self.input(door, QuarantineInput::Admit { attempt, fingerprint, target })
            }
            Step::Work { target } => self.work(target),
            Step::Deliver { which } if !self.news.is_empty() => {
                let (door, told) = self.news.remove(which % self.news.len());
                self.input(door, QuarantineInput::PeerReport(told))
            }
            Step::Deliver { .. } => Ok(()),
        }
    }

    fn work(&mut self, target: usize) -> Result<(), TestCaseError> {
        let poisoned = self.running[target].iter().any(|it| self.sent[it].fingerprint == POISON);
        if !poisoned {
            let Some(attempt) = self.running[target].pop_first() else { return Ok(()) };
            let door = self.sent[&attempt].door;
            return self.input(
                door,
                QuarantineInput::Ended { attempt, outcome: AttemptOutcome::Answered },
            );
        }
        self.deaths += 1;
        for attempt in std::mem::take(&mut self.running[target]) {
            let door = self.sent[&attempt].door;
            self.input(
                door,
                QuarantineInput::Ended { attempt, outcome: AttemptOutcome::ConnectionLost },
            )?;
        }
        Ok(())
    }

    fn input(&mut self, door: usize, input: QuarantineInput) -> Result<(), TestCaseError> {
        let mut actions = Vec::new();
        self.doors[door].handle(self.now, input, &mut actions);
        for action in actions {
            match action {
                QuarantineAction::Dispatch { attempt } => {
                    prop_assert!(self.waiting.remove(&attempt), "sent twice");
                    self.running[self.sent[&attempt].target].insert(attempt);
                }
                QuarantineAction::Refuse { attempt } => {
                    prop_assert!(self.waiting.remove(&attempt), "refused after it was sent");
                    self.refused.push(self.sent[&attempt].fingerprint);
                }
                QuarantineAction::Probe { target } => {
                    let probed = QuarantineInput::Probed { target, refused: true };
                    self.input(door, probed)?;
                }
                QuarantineAction::NotifyPeers(told) => {
                    self.news.extend((0..DOORS).filter(|it| *it != door).map(|it| (it, told)));
                }
                QuarantineAction::LossResolved { .. }
                | QuarantineAction::Quarantined { .. }
                | QuarantineAction::Store { .. } => {}
            }
        }
        Ok(())
    }

    fn finish_all(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..1_000 {
            for target in 0..4 {
                self.work(target)?;
            }
            while !self.news.is_empty() {
                self.step(&Step::Deliver { which: 0 })?;
            }
        }
        prop_assert!(self.waiting.is_empty(), "waits for ever: {:?}", self.waiting);
        Ok(())
    }
}

fn runner() -> TestRunner {
    let cases = std::env::var("SAMPHIREDOOR_CASES").ok().and_then(|it| it.parse().ok());
    let cases = cases.unwrap_or(CASES);
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// A broken order list kills each engine that reads it, and its sender sends it again and again, to both doors. Once
/// two targets have died one after the other and the doors have heard of it, no further one dies.
#[test]
fn after_two_known_deaths_no_target_dies_any_more() {
    let steps = prop::collection::vec(step(), 1..60);
    let checked = runner().run(&steps, |steps| {
        let mut world = World::new();
        for step in &steps {
            world.step(step)?;
        }
        world.finish_all()?;
        let before = world.deaths;
        for target in 0..8 {
            world.step(&Step::Send { door: target % DOORS, kind: 0, target: target % 4 })?;
            world.finish_all()?;
        }
        let after = world.deaths - before;
        prop_assert!(after <= 2, "{after} more targets died");
        prop_assert!(world.refused.contains(&POISON));
        Ok(())
    });
    if let Err(err) = checked {
        panic!("{err}");
    }
}

/// Orders that stood on the dying engines beside the broken one are innocent. Each finishes when it is tried again at
/// the same door, and none is refused for good.
#[test]
fn innocent_neighbours_finish_and_are_not_blamed() {
    let neighbours = prop::collection::vec((1..5u64, 0..4usize), 0..12);
    let checked = runner().run(&neighbours, |neighbours| {
        let mut world = World::new();
        for round in 0..4 {
            for (kind, target) in &neighbours {
                let target = (target + round) % 4;
                world.step(&Step::Send { door: 0, kind: *kind, target })?;
            }
            world.step(&Step::Send { door: 0, kind: 0, target: round })?;
            world.work(round)?;
            world.finish_all()?;
            for (kind, target) in &neighbours {
                world.step(&Step::Send { door: 0, kind: *kind, target: *target })?;
                world.finish_all()?;
            }
        }
        prop_assert!(world.refused.iter().all(|it| *it == POISON), "{:?}", world.refused);
        prop_assert_eq!(world.deaths, 2);
        let left: Vec<u64> = world.doors[0].suspects().map(|it| it.fingerprint).collect();
        prop_assert_eq!(left, vec![POISON]);
        Ok(())
    });
    if let Err(err) = checked {
        panic!("{err}");
    }
}

fn kill(quarantine: &mut Quarantine, now: &mut Now, attempt: u64, fingerprint: u64) {
    let mut out = Vec::new();
    let (attempt, target) = (RequestId(attempt), address(0));
    now.mono_ms += 10_000;
    quarantine.handle(*now, QuarantineInput::Admit { attempt, fingerprint, target }, &mut out);
    assert!(out.contains(&QuarantineAction::Dispatch { attempt }), "{out:?}");
    quarantine.handle(
        *now,
        QuarantineInput::Ended { attempt, outcome: AttemptOutcome::ConnectionLost },
        &mut out,
    );
    quarantine.handle(*now, QuarantineInput::Probed { target, refused: true }, &mut out);
}

fn is_refused(quarantine: &mut Quarantine, now: Now, fingerprint: u64) -> bool {
    let mut out = Vec::new();
    let (attempt, target) = (RequestId(u64::MAX), address(1));
    quarantine.handle(now, QuarantineInput::Admit { attempt, fingerprint, target }, &mut out);
    let outcome = AttemptOutcome::Other;
    quarantine.handle(now, QuarantineInput::Ended { attempt, outcome }, &mut Vec::new());
    out.contains(&QuarantineAction::Refuse { attempt })
}

/// A connection breaks, and the target goes on: its request is tried elsewhere and nobody is suspected.
#[test]
fn a_lost_connection_to_a_living_target_is_nobodys_fault() {
    let (mut quarantine, now) = (quarantine(0), Now::new(0, 1_000_000_000));
    let (attempt, target) = (RequestId(1), address(0));
    let mut out = Vec::new();
    quarantine.handle(now, QuarantineInput::Admit { attempt, fingerprint: 7, target }, &mut out);
    quarantine.handle(
        now,
        QuarantineInput::Ended { attempt, outcome: AttemptOutcome::ConnectionLost },
        &mut out,
    );
    quarantine.handle(now, QuarantineInput::Probed { target, refused: false }, &mut out);
    assert!(out.contains(&QuarantineAction::LossResolved { attempt }), "{out:?}");
    assert!(!quarantine.has_suspects());
}

/// The broken order and an innocent one have both lost their target, and both are tried again at the next. If they ran
/// there together, the innocent one would be blamed for the second death as well.
#[test]
fn a_target_gets_one_suspect_at_a_time() {
    let (mut quarantine, mut now) = (quarantine(0), Now::new(0, 1_000_000_000));
    kill(&mut quarantine, &mut now, 1, 7);
    kill(&mut quarantine, &mut now, 2, 8);
    let enter = |number: u64, fingerprint: u64, target: usize| QuarantineInput::Admit {
        attempt: RequestId(number),
        fingerprint,
        target: address(target),
    };
    let go = |number: u64| QuarantineAction::Dispatch { attempt: RequestId(number) };
    let mut out = Vec::new();
    quarantine.handle(now, enter(3, 7, 1), &mut out);
    quarantine.handle(now, enter(4, 8, 1), &mut out);
    quarantine.handle(now, enter(5, 8, 2), &mut out);
    quarantine.handle(now, enter(6, 9, 1), &mut out);
    assert_eq!(out, [go(3), go(5), go(6)]);
    out.clear();
    let left = QuarantineInput::Ended { attempt: RequestId(3), outcome: AttemptOutcome::Other };
    quarantine.handle(now, left, &mut out);
    assert_eq!(out, [go(4)]);
}

/// An owner has mended the engine and lifts the blame; late news of a peer must not bring it back.
#[test]
fn an_owner_lifts_the_blame() {
    let (mut quarantine, mut now) = (quarantine(0), Now::new(0, 1_000_000_000));
    kill(&mut quarantine, &mut now, 1, 7);
    kill(&mut quarantine, &mut now, 2, 7);
    assert!(is_refused(&mut quarantine, now, 7));
    quarantine.handle(now, QuarantineInput::Lift { fingerprint: 7 }, &mut Vec::new());
    assert!(!is_refused(&mut quarantine, now, 7));
    let late = Suspect { fingerprint: 7, deaths: 2, lifted: false };
    quarantine.handle(now, QuarantineInput::PeerReport(late), &mut Vec::new());
    assert!(!is_refused(&mut quarantine, now, 7));
}

/// Suspicions must neither fill the memory nor last for ever; the blamed are the last to go.
#[test]
fn suspects_are_bounded_in_number_and_age() {
    let mut now = Now::new(0, 1_000_000_000);
    let config = QuarantineConfig { max_suspects: 3, ..QuarantineConfig::new("door-0/1".into()) };
    let blamed_ms = config.blamed_ms;
    let mut quarantine = Quarantine::new(config);
    kill(&mut quarantine, &mut now, 1, 7);
    kill(&mut quarantine, &mut now, 2, 7);
    for fingerprint in 10..20 {
        kill(&mut quarantine, &mut now, fingerprint, fingerprint);
    }
    assert_eq!(quarantine.suspects().count(), 3);
    assert!(is_refused(&mut quarantine, now, 7));
    now.unix_ms += blamed_ms + 1;
    quarantine.handle(now, QuarantineInput::Tick, &mut Vec::new());
    assert!(!quarantine.has_suspects());
}

/// A door starts anew, or was cut off from its peers; it must not offer the targets a request that is known to kill.
#[test]
fn the_blame_reaches_other_doors_through_the_store() {
    let mut now = Now::new(0, 1_000_000_000);
    let mut doors = [quarantine(0), quarantine(1)];
    let mut stored: Option<(u64, Value)> = None;
    let mut settle = |door: &mut Quarantine, now: Now| {
        let mut out = Vec::new();
        door.handle(now, QuarantineInput::Tick, &mut out);
        while let Some(action) = out.pop() {
            let QuarantineAction::Store { call, op } = action else { continue };
            let answer = call_store(&mut stored, &op);
            door.handle(now, QuarantineInput::Stored { call, answer }, &mut out);
            if out.is_empty() {
                door.handle(now, QuarantineInput::Tick, &mut out);
            }
        }
    };
    settle(&mut doors[0], now);
    kill(&mut doors[0], &mut now, 1, 7);
    kill(&mut doors[0], &mut now, 2, 7);
    // The calls that the deaths led to were not answered; the list is asked for again only once they are.
    let lost = QuarantineInput::Stored { call: CallId(1), answer: StoreAnswer::Unavailable };
    doors[0].handle(now, lost, &mut Vec::new());
    now.mono_ms += 100_000;
    settle(&mut doors[0], now);
    settle(&mut doors[1], now);
    assert!(is_refused(&mut doors[1], now, 7));
    assert!(!is_refused(&mut doors[1], now, 8));
}

fn call_store(stored: &mut Option<(u64, Value)>, op: &StoreOp) -> StoreAnswer {
    let value = match op {
        StoreOp::Get { .. } => match stored {
            Some((_, value)) => value.clone(),
            None => return StoreAnswer::Absent,
        },
        StoreOp::Create { value, .. } | StoreOp::Update { value, .. } => {
            let version = stored.as_ref().map_or(0, |(version, _)| *version) + 1;
            *stored = Some((version, value.clone()));
            value.clone()
        }
        _ => return StoreAnswer::Unavailable,
    };
    let version = Version(stored.as_ref().map_or(0, |(version, _)| *version));
    let labels = BTreeMap::new();
    StoreAnswer::Object(Stored { name: "blamed".into(), version, labels, value })
}
