//! Invariants that hold after every event, for random sequences of events.
//!
//! Longer runs: `SAMPHIREDOOR_CASES=20000 cargo test -p samphiredoor-core --test placement`.

use std::collections::{HashMap, HashSet};

use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, TestRng},
};
use samphiredoor_core::{
    dispatch::{Class, RequestId},
    placement::{Action, AttemptEnd, Input, SlotUse, TargetState},
};

use crate::{
    harness::{Fixture, SLOTS, entry, location},
    property,
};

const SEED: [u8; 32] = *b"samphiredoor-placement-promises-";
const TARGETS: usize = 4;

#[derive(Debug, Clone)]
enum Step {
    Request(bool),
    End(usize, AttemptEnd),
    Cancel(usize),
    CancelDispatched(usize),
    Peer(u8, u32, u32),
    Report(usize, u32),
    Targets(u8, u8),
    Silence(usize, SlotUse),
    SilenceEnded(usize),
    Wait(u64),
}

fn end() -> impl Strategy<Value = AttemptEnd> {
    prop::sample::select(vec![
        AttemptEnd::Answered,
        AttemptEnd::Refused,
        AttemptEnd::WrongTarget,
        AttemptEnd::Unreachable,
        AttemptEnd::Lost,
        AttemptEnd::Silent,
        AttemptEnd::Gone,
        AttemptEnd::Cut,
    ])
}

fn slot_use() -> impl Strategy<Value = SlotUse> {
    prop::sample::select(vec![SlotUse::Hold, SlotUse::Report])
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => any::<bool>().prop_map(Step::Request),
        6 => (any::<usize>(), end()).prop_map(|(which, end)| Step::End(which, end)),
        1 => any::<usize>().prop_map(Step::Cancel),
        1 => any::<usize>().prop_map(Step::CancelDispatched),
        2 => (0..3_u8, 0..12_u32, 0..6_u32).prop_map(|(d, o, b)| Step::Peer(d, o, b)),
        1 => (0..TARGETS, 0..20_u32).prop_map(|(target, load)| Step::Report(target, load)),
        1 => (any::<u8>(), any::<u8>()).prop_map(|(present, ready)| Step::Targets(present, ready)),
        2 => (any::<usize>(), slot_use()).prop_map(|(which, it)| Step::Silence(which, it)),
        1 => any::<usize>().prop_map(Step::SilenceEnded),
        2 => (0..2_000_u64).prop_map(Step::Wait),
    ]
}

/// State of all requests as the actions of the placement imply it, for comparison.
#[derive(Default)]
struct Model {
    online: HashSet<RequestId>,
    waiting: Vec<RequestId>,
    running: Vec<(RequestId, String)>,
    preempted: HashSet<RequestId>,
    ready: HashSet<String>,
}

impl Model {
    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch { request, target, .. } => {
                    assert!(
                        self.waiting.contains(&request),
                        "only a waiting request is dispatched, once"
                    );
                    assert!(
                        self.ready.contains(&*target),
                        "dispatched only to targets that accept work"
                    );
                    self.waiting.retain(|it| *it != request);
                    self.running.push((request, target.to_string()));
                }
                Action::Refuse { request, retry_after_ms, .. } => {
                    assert!(
                        self.waiting.contains(&request),
                        "only a waiting request is refused, once"
                    );
                    assert!(self.online.contains(&request), "items wait and are never refused");
                    assert!((1..=1_000).contains(&retry_after_ms), "retry-after in its range");
                    self.waiting.retain(|it| *it != request);
                }
                Action::Preempt { request } => {
                    assert!(!self.online.contains(&request), "only items are preempted");
                    assert!(
                        self.running.iter().any(|(it, _)| *it == request),
                        "only a running item is preempted"
                    );
                    assert!(self.preempted.insert(request), "preempted once");
                }
            }
        }
    }

    fn check_own_loads(&self, fixture: &Fixture) {
        let loads = fixture.placement.state().loads;
        let total: u32 = loads.iter().map(|it| it.online + it.batch).sum();
        assert!(total as usize <= self.running.len(), "no request is counted twice");
        let mut items: HashMap<&str, u32> = HashMap::new();
        let is_kept = |it: &RequestId| !self.online.contains(it) && !self.preempted.contains(it);
        for (_, target) in self.running.iter().filter(|(request, _)| is_kept(request)) {
            *items.entry(target).or_default() += 1;
        }
        let most = items.values().max().copied().unwrap_or(0);
        assert!(most <= SLOTS, "items that are not preempted never exceed the slots of a target");
    }
}

fn play(steps: Vec<Step>) {
    let mut fixture = Fixture::with_targets(TARGETS);
    let mut model =
        Model { ready: (0..TARGETS).map(|it| format!("t-{it}")).collect(), ..Model::default() };
    for step in steps {
        let actions = match step {
            Step::Request(online) => {
                let class = if online { Class::Online } else { Class::Batch };
                let (request, actions) = fixture.request(class);
                model.waiting.push(request);
                if online {
                    model.online.insert(request);
                }
                actions
            }
            Step::End(which, end) if !model.running.is_empty() => {
                let (request, _) = model.running.remove(which % model.running.len());
                fixture.end(request, end)
            }
            Step::Cancel(which) if !model.waiting.is_empty() => {
                let request = model.waiting.remove(which % model.waiting.len());
                fixture.input(Input::Cancelled { request })
            }
            // The caller does not know yet that the request was dispatched.
            Step::CancelDispatched(which) if !model.running.is_empty() => {
                let (request, _) = model.running.remove(which % model.running.len());
                fixture.input(Input::Cancelled { request })
            }
            // The held slot is that of another request, which runs beside the silent one until that has ended.
            Step::Silence(which, slot_use) if !model.running.is_empty() => {
                let (request, target) = model.running[which % model.running.len()].clone();
                let class = match model.online.contains(&request) {
                    true => Class::Online,
                    false => Class::Batch,
                };
                let (next, _, actions) = fixture.silence(request, class, &[&target], slot_use);
                model.waiting.push(next);
                if class == Class::Online {
                    model.online.insert(next);
                }
                model.apply(actions);
                model.waiting.retain(|it| *it != next);
                Vec::new()
            }
            Step::SilenceEnded(which) if !model.running.is_empty() => {
                let (request, _) = model.running[which % model.running.len()].clone();
                fixture.input(Input::SilenceEnded { request })
            }
            Step::End(..)
            | Step::Cancel(_)
            | Step::CancelDispatched(_)
            | Step::Silence(..)
            | Step::SilenceEnded(_) => Vec::new(),
            Step::Peer(peer, online, batch) => fixture
                .peer(["a", "p", "z"][usize::from(peer)], &[("t-0", online, batch), ("t-9", 1, 1)]),
            Step::Report(target, load) => fixture.report(&format!("t-{target}"), load, 0),
            Step::Targets(present, ready) => {
                let present = (0..TARGETS).filter(|it| present & (1 << it) != 0);
                let entries: Vec<_> = present
                    .map(|it| {
                        let mut entry = entry(&format!("t-{it}"), location("brisbane", "north"));
                        if ready & (1 << it) == 0 {
                            entry.state = TargetState::Leaving;
                        }
                        entry
                    })
                    .collect();
                let ready = entries.iter().filter(|it| it.state == TargetState::Ready);
                model.ready = ready.map(|it| it.name.to_string()).collect();
                fixture.input(Input::Targets(entries))
            }
            Step::Wait(ms) => fixture.wait(ms),
        };
        model.apply(actions);
        model.check_own_loads(&fixture);
    }
    model.apply(fixture.wait(10_000));
    assert!(
        model.waiting.iter().all(|it| !model.online.contains(it)),
        "no online request waits forever"
    );
}

#[test]
fn invariants_hold_after_every_event() {
    let mut runner = property::runner(400, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED));
    let steps = prop::collection::vec(step(), 1..120);
    runner
        .run(&steps, |steps| {
            play(steps);
            Ok(())
        })
        .unwrap();
}
