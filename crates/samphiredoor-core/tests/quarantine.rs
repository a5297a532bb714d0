//! A request that crashes each target that runs it, among harmless requests, at gateways whose reports to each other
//! are delayed.

mod property;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, TestRng, TestRunner},
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

const GATEWAYS: usize = 2;
/// Fingerprint of the crashing request.
const CRASHING: u64 = 666;
const CASES: u32 = 400;

#[derive(Debug, Clone)]
enum Step {
    /// A request with fingerprint `kind` is sent; 0 stands for the crashing request.
    Send { gateway: usize, kind: u64, target: usize },
    /// A target answers one of its requests, or dies if the crashing request is one of them.
    Work { target: usize },
    /// One report between the gateways arrives.
    Deliver { which: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..GATEWAYS, 0..5u64, 0..4usize)
            .prop_map(|(gateway, kind, target)| Step::Send { gateway, kind, target }),
        4 => (0..4usize).prop_map(|target| Step::Work { target }),
        2 => (0..8usize).prop_map(|which| Step::Deliver { which }),
    ]
}

#[derive(Debug, Clone, Copy)]
struct Sent {
    gateway: usize,
    fingerprint: u64,
    target: usize,
}

/// The simulated gateways and targets.
struct World {
    gateways: Vec<Quarantine>,
    now: Now,
    sent: BTreeMap<RequestId, Sent>,
    running: Vec<BTreeSet<RequestId>>,
    waiting: BTreeSet<RequestId>,
    /// Reports in flight, each with the gateway that receives it.
    reports: Vec<(usize, Suspect)>,
    deaths: u32,
    refused: Vec<u64>,
}

fn address(target: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + target as u16))
}

fn quarantine(gateway: usize) -> Quarantine {
    Quarantine::new(QuarantineConfig::new(format!("gateway-{gateway}/1").into()))
}

impl World {
    fn new() -> World {
        World {
            gateways: (0..GATEWAYS).map(quarantine).collect(),
            now: Now::new(10_000, 1_000_000_000),
            sent: BTreeMap::new(),
            running: vec![BTreeSet::new(); 4],
            waiting: BTreeSet::new(),
            reports: Vec::new(),
            deaths: 0,
            refused: Vec::new(),
        }
    }

    fn step(&mut self, step: &Step) -> Result<(), TestCaseError> {
        self.now.mono_ms += u64::from(matches!(step, Step::Deliver { .. }));
        match *step {
            Step::Send { gateway, kind, target } => {
                let fingerprint = if kind == 0 { CRASHING } else { kind };
                let attempt = RequestId(self.sent.len() as u64);
                self.sent.insert(attempt, Sent { gateway, fingerprint, target });
                self.waiting.insert(attempt);
                let target = address(target);
                self.input(gateway, QuarantineInput::Admit { attempt, fingerprint, target })
            }
            Step::Work { target } => self.work(target),
            Step::Deliver { which } if !self.reports.is_empty() => {
                let (gateway, report) = self.reports.remove(which % self.reports.len());
                self.input(gateway, QuarantineInput::PeerReport(report))
            }
            Step::Deliver { .. } => Ok(()),
        }
    }

    fn work(&mut self, target: usize) -> Result<(), TestCaseError> {
        let crashes = self.running[target].iter().any(|it| self.sent[it].fingerprint == CRASHING);
        if !crashes {
            let Some(attempt) = self.running[target].pop_first() else { return Ok(()) };
            let gateway = self.sent[&attempt].gateway;
            return self.input(
                gateway,
                QuarantineInput::Ended { attempt, outcome: AttemptOutcome::Answered },
            );
        }
        self.deaths += 1;
        for attempt in std::mem::take(&mut self.running[target]) {
            let gateway = self.sent[&attempt].gateway;
            self.input(
                gateway,
                QuarantineInput::Ended { attempt, outcome: AttemptOutcome::ConnectionLost },
            )?;
        }
        Ok(())
    }

    fn input(&mut self, gateway: usize, input: QuarantineInput) -> Result<(), TestCaseError> {
        let mut actions = Vec::new();
        self.gateways[gateway].handle(self.now, input, &mut actions);
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
                    self.input(gateway, probed)?;
                }
                QuarantineAction::NotifyPeers(report) => {
                    self.reports
                        .extend((0..GATEWAYS).filter(|it| *it != gateway).map(|it| (it, report)));
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
            while !self.reports.is_empty() {
                self.step(&Step::Deliver { which: 0 })?;
            }
        }
        prop_assert!(self.waiting.is_empty(), "never admitted or refused: {:?}", self.waiting);
        Ok(())
    }
}

fn runner() -> TestRunner {
    property::runner(CASES, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// A request crashes each target that runs it, and its caller keeps resending it to both gateways. Once two targets
/// have died one after the other and the gateways have received the reports of it, no other target dies.
#[test]
fn after_two_known_deaths_no_target_dies() {
    let steps = prop::collection::vec(step(), 1..60);
    let checked = runner().run(&steps, |steps| {
        let mut world = World::new();
        for step in &steps {
            world.step(step)?;
        }
        world.finish_all()?;
        let before = world.deaths;
        for target in 0..8 {
            world.step(&Step::Send { gateway: target % GATEWAYS, kind: 0, target: target % 4 })?;
            world.finish_all()?;
        }
        let after = world.deaths - before;
        prop_assert!(after <= 2, "{after} more targets died");
        prop_assert!(world.refused.contains(&CRASHING));
        Ok(())
    });
    if let Err(err) = checked {
        panic!("{err}");
    }
}

/// Harmless requests are in flight on the targets that die. Each of them finishes when it is retried at the same
/// gateway, and none is quarantined.
#[test]
fn harmless_requests_beside_the_crashing_one_finish_and_are_not_quarantined() {
    let neighbours = prop::collection::vec((1..5u64, 0..4usize), 0..12);
    let checked = runner().run(&neighbours, |neighbours| {
        let mut world = World::new();
        for round in 0..4 {
            for (kind, target) in &neighbours {
                let target = (target + round) % 4;
                world.step(&Step::Send { gateway: 0, kind: *kind, target })?;
            }
            world.step(&Step::Send { gateway: 0, kind: 0, target: round })?;
            world.work(round)?;
            world.finish_all()?;
            for (kind, target) in &neighbours {
                world.step(&Step::Send { gateway: 0, kind: *kind, target: *target })?;
                world.finish_all()?;
            }
        }
        prop_assert!(world.refused.iter().all(|it| *it == CRASHING), "{:?}", world.refused);
        prop_assert_eq!(world.deaths, 2);
        let remembered: Vec<u64> = world.gateways[0].suspects().map(|it| it.fingerprint).collect();
        prop_assert_eq!(remembered, vec![CRASHING]);
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

/// A connection is lost, but the target is alive: the request is retried elsewhere and not suspected.
#[test]
fn a_lost_connection_to_a_live_target_raises_no_suspicion() {
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

/// A crashing and a harmless request have both lost their target, and both are retried at the next. If they ran there
/// together, the second death would count against the harmless one as well, and quarantine it.
#[test]
fn a_target_gets_one_suspect_at_a_time() {
    let (mut quarantine, mut now) = (quarantine(0), Now::new(0, 1_000_000_000));
    kill(&mut quarantine, &mut now, 1, 7);
    kill(&mut quarantine, &mut now, 2, 8);
    let admit = |number: u64, fingerprint: u64, target: usize| QuarantineInput::Admit {
        attempt: RequestId(number),
        fingerprint,
        target: address(target),
    };
    let dispatch = |number: u64| QuarantineAction::Dispatch { attempt: RequestId(number) };
    let mut out = Vec::new();
    quarantine.handle(now, admit(3, 7, 1), &mut out);
    quarantine.handle(now, admit(4, 8, 1), &mut out);
    quarantine.handle(now, admit(5, 8, 2), &mut out);
    quarantine.handle(now, admit(6, 9, 1), &mut out);
    assert_eq!(out, [dispatch(3), dispatch(5), dispatch(6)]);
    out.clear();
    let ended = QuarantineInput::Ended { attempt: RequestId(3), outcome: AttemptOutcome::Other };
    quarantine.handle(now, ended, &mut out);
    assert_eq!(out, [dispatch(4)]);
}

/// An owner has repaired the target and lifts the quarantine; a peer's delayed report must not restore it.
#[test]
fn an_owner_lifts_the_quarantine() {
    let (mut quarantine, mut now) = (quarantine(0), Now::new(0, 1_000_000_000));
    kill(&mut quarantine, &mut now, 1, 7);
    kill(&mut quarantine, &mut now, 2, 7);
    assert!(is_refused(&mut quarantine, now, 7));
    quarantine.handle(now, QuarantineInput::Lift { fingerprint: 7 }, &mut Vec::new());
    assert!(!is_refused(&mut quarantine, now, 7));
    let outdated = Suspect { fingerprint: 7, deaths: 2, lifted: false };
    quarantine.handle(now, QuarantineInput::PeerReport(outdated), &mut Vec::new());
    assert!(!is_refused(&mut quarantine, now, 7));
}

/// The entries must neither grow without bound nor stay forever; quarantined ones are evicted last.
#[test]
fn suspects_are_bounded_in_number_and_age() {
    let mut now = Now::new(0, 1_000_000_000);
    let config =
        QuarantineConfig { max_suspects: 3, ..QuarantineConfig::new("gateway-0/1".into()) };
    let quarantine_ms = config.quarantine_ms;
    let mut quarantine = Quarantine::new(config);
    kill(&mut quarantine, &mut now, 1, 7);
    kill(&mut quarantine, &mut now, 2, 7);
    for fingerprint in 10..20 {
        kill(&mut quarantine, &mut now, fingerprint, fingerprint);
    }
    assert_eq!(quarantine.suspects().count(), 3);
    assert!(is_refused(&mut quarantine, now, 7));
    now.unix_ms += quarantine_ms + 1;
    quarantine.handle(now, QuarantineInput::Tick, &mut Vec::new());
    assert!(!quarantine.has_suspects());
}

/// A gateway was restarted, or isolated from its peers; it must not send a quarantined request to the targets.
#[test]
fn the_quarantine_reaches_other_gateways_through_the_store() {
    let mut now = Now::new(0, 1_000_000_000);
    let mut gateways = [quarantine(0), quarantine(1)];
    let mut stored: Option<(u64, Value)> = None;
    let mut settle = |gateway: &mut Quarantine, now: Now| {
        let mut out = Vec::new();
        gateway.handle(now, QuarantineInput::Tick, &mut out);
        while let Some(action) = out.pop() {
            let QuarantineAction::Store { call, op } = action else { continue };
            let answer = call_store(&mut stored, &op);
            gateway.handle(now, QuarantineInput::Stored { call, answer }, &mut out);
            if out.is_empty() {
                gateway.handle(now, QuarantineInput::Tick, &mut out);
            }
        }
    };
    settle(&mut gateways[0], now);
    kill(&mut gateways[0], &mut now, 1, 7);
    kill(&mut gateways[0], &mut now, 2, 7);
    // `kill` left the call that the deaths caused unanswered; the list is read again only after its answer.
    let lost = QuarantineInput::Stored { call: CallId(1), answer: StoreAnswer::Unavailable };
    gateways[0].handle(now, lost, &mut Vec::new());
    now.mono_ms += 100_000;
    settle(&mut gateways[0], now);
    settle(&mut gateways[1], now);
    assert!(is_refused(&mut gateways[1], now, 7));
    assert!(!is_refused(&mut gateways[1], now, 8));
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
