//! Invariants after every event, in any order of events.
//!
//! A model beside the dispatcher tracks what is declared, what runs where and which requests have ended. Longer runs:
//! `SAMPHIREDOOR_CASES=20000 cargo test -p samphiredoor-core --test dispatch`.

use std::{collections::BTreeMap, sync::Arc};

use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, TestRng},
};
use samphiredoor_core::{
    Name,
    dispatch::{Action, AttemptEnd, Class, Dispatcher, Input, RequestId},
    manifest::{Manifest, Target},
    time::Now,
    verdict::{MayHaveRunReason, Verdict},
};

use crate::{
    harness::{SEED, location, manifest, request_spec, target},
    property,
};

const TARGETS: usize = 6;
const RETRY_RESERVE: u64 = 10;

#[derive(Debug, Clone)]
enum Step {
    Online { large: bool, repeatable: bool, deadline_ms: u64, prefix_hash: u64, capped: bool },
    Batch { large: bool, repeatable: bool, job: u8 },
    End { which: usize, end: AttemptEnd },
    LateEnd { which: u64, end: AttemptEnd },
    Cancel { which: u64 },
    Load { target: usize, running: u32 },
    Unreachable { target: usize },
    Leaving { target: usize },
    Declare { present: u8, drained: u8, reclaimed: u8, limit: u32 },
    Wait { ms: u64 },
}

fn end() -> impl Strategy<Value = AttemptEnd> {
    prop_oneof![
        4 => Just(AttemptEnd::Completed),
        1 => Just(AttemptEnd::Failed),
        2 => Just(AttemptEnd::NotSent),
        2 => Just(AttemptEnd::Pushback { retry_after_ms: 200 }),
        2 => Just(AttemptEnd::AnswerLost(MayHaveRunReason::ConnectionLost)),
        1 => Just(AttemptEnd::AnswerLost(MayHaveRunReason::DeadlinePassed)),
        1 => Just(AttemptEnd::AnswerTruncated(MayHaveRunReason::AnswerCut)),
        1 => Just(AttemptEnd::Aborted),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let online = (any::<bool>(), any::<bool>(), 0..4_000_u64, 0..4_u64, any::<bool>());
    prop_oneof![
        6 => online.prop_map(|(large, repeatable, deadline_ms, prefix_hash, capped)| {
            Step::Online { large, repeatable, deadline_ms, prefix_hash, capped }
        }),
        4 => (any::<bool>(), any::<bool>(), 0..3_u8)
            .prop_map(|(large, repeatable, job)| Step::Batch { large, repeatable, job }),
        8 => (any::<usize>(), end()).prop_map(|(which, end)| Step::End { which, end }),
        1 => (0..60_u64, end()).prop_map(|(which, end)| Step::LateEnd { which, end }),
        1 => (0..60_u64).prop_map(|which| Step::Cancel { which }),
        1 => (0..TARGETS, 0..9_u32).prop_map(|(target, running)| Step::Load { target, running }),
        1 => (0..TARGETS).prop_map(|target| Step::Unreachable { target }),
        1 => (0..TARGETS).prop_map(|target| Step::Leaving { target }),
        1 => (any::<u8>(), any::<u8>(), any::<u8>(), 1..4_u32)
            .prop_map(|(present, drained, reclaimed, limit)| {
                Step::Declare { present, drained: drained & 0x11, reclaimed, limit }
            }),
        2 => (0..2_000_u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

#[derive(Debug, Default)]
struct TrackedRequest {
    class: Option<Class>,
    service: String,
    repeatable: bool,
    deadline_ms: u64,
    tried: Vec<Name>,
    running: Option<Name>,
    preempted: bool,
    may_have_run: bool,
    ended: bool,
}

struct Model {
    dispatcher: Dispatcher,
    now_ms: u64,
    declared: Manifest,
    unavailable_until: BTreeMap<Name, u64>,
    requests: BTreeMap<RequestId, TrackedRequest>,
    submitted: BTreeMap<String, u64>,
    retried: BTreeMap<String, u64>,
}

fn declare(revision: u64, present: u8, drained: u8, reclaimed: u8, limit: u32) -> Manifest {
    let zones = ["north", "south", "port"];
    let all = (0..TARGETS).filter(|it| present >> it & 1 == 1).map(|it| Target {
        service: if it % 2 == 0 { "small".into() } else { "large".into() },
        drained: drained >> it & 1 == 1,
        reclaimed: reclaimed >> it & 1 == 1,
        loan_limit: limit.div_ceil(2),
        ..target(&format!("target-{it}"), zones[it / 2], limit)
    });
    manifest(revision, all.collect())
}

impl Model {
    fn new() -> Model {
        let mut model = Model {
            dispatcher: Dispatcher::new(location(), SEED),
            now_ms: 10_000,
            declared: Manifest::default(),
            unavailable_until: BTreeMap::new(),
            requests: BTreeMap::new(),
            submitted: BTreeMap::new(),
            retried: BTreeMap::new(),
        };
        model.declare(0xff, 0, 0, 2);
        model
    }

    fn declare(&mut self, present: u8, drained: u8, reclaimed: u8, limit: u32) {
        let revision = self.declared.revision + 1;
        self.declared = declare(revision, present, drained, reclaimed, limit);
        self.unavailable_until.retain(|name, _| self.declared.targets.contains_key(name));
        self.handle(Input::Manifest(Arc::new(self.declared.clone())));
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Online { large, repeatable, deadline_ms, prefix_hash, capped } => {
                let mut spec = request_spec(self.requests.len() as u64, Class::Online);
                spec.service = if large { "large".into() } else { "small".into() };
                spec.repeatable = repeatable;
                spec.deadline_ms = self.now_ms + deadline_ms;
                spec.prefix_hash = prefix_hash;
                spec.workspace = if capped { "capped".into() } else { "tours".into() };
                *self.submitted.entry(spec.service.to_string()).or_default() += 1;
                self.submit(spec);
            }
            Step::Batch { large, repeatable, job } => {
                let mut spec = request_spec(self.requests.len() as u64, Class::Batch);
                spec.service = if large { "large".into() } else { "small".into() };
                spec.repeatable = repeatable;
                spec.job = format!("job-{job}").into();
                self.submit(spec);
            }
            Step::End { which, end } => {
                let running = self.running();
                if !running.is_empty() {
                    self.end(running[which % running.len()], end);
                }
            }
            Step::LateEnd { which, end } => {
                let request = RequestId(which);
                if self.requests.get(&request).is_none_or(|it| it.running.is_none()) {
                    self.handle(Input::AttemptEnded { request, end });
                }
            }
            Step::Cancel { which } => self.cancel(RequestId(which)),
            Step::Load { target, running } => {
                let target = Name::from(format!("target-{target}"));
                self.unavailable_until.remove(&target);
                self.handle(Input::LoadReport { target, running, waiting: 0 });
            }
            Step::Unreachable { target } => {
                let target = Name::from(format!("target-{target}"));
                self.mark_unavailable_until(&target, self.now_ms + 1_000);
                self.handle(Input::Unreachable { target });
            }
            Step::Leaving { target } => {
                let target = Name::from(format!("target-{target}"));
                self.mark_unavailable_until(&target, u64::MAX);
                self.handle(Input::Leaving { target });
            }
            Step::Declare { present, drained, reclaimed, limit } => {
                self.declare(present, drained, reclaimed, limit);
            }
            Step::Wait { ms } => {
                self.now_ms += ms;
                self.handle(Input::Tick);
            }
        }
    }

    fn mark_unavailable_until(&mut self, target: &Name, until_ms: u64) {
        if self.declared.targets.get(target).is_some_and(|it| !it.drained) {
            let until = self.unavailable_until.entry(Name::clone(target)).or_default();
            *until = (*until).max(until_ms);
        }
    }

    fn running(&self) -> Vec<RequestId> {
        self.requests.iter().filter(|(_, it)| it.running.is_some()).map(|(id, _)| *id).collect()
    }

    fn submit(&mut self, spec: samphiredoor_core::dispatch::RequestSpec) {
        let tracked = TrackedRequest {
            class: Some(spec.class),
            service: spec.service.to_string(),
            repeatable: spec.repeatable,
            deadline_ms: spec.deadline_ms,
            ..TrackedRequest::default()
        };
        self.requests.insert(spec.request, tracked);
        self.handle(Input::Request(spec));
    }

    fn end(&mut self, request: RequestId, end: AttemptEnd) {
        let tracked = self.requests.get_mut(&request).expect("a running request");
        let target = tracked.running.take().expect("a running request");
        tracked.ended |= end.is_final();
        tracked.may_have_run |= matches!(end, AttemptEnd::AnswerLost(_));
        if end == AttemptEnd::NotSent {
            self.mark_unavailable_until(&target, self.now_ms + 1_000);
        }
        self.handle(Input::AttemptEnded { request, end });
        let tracked = &self.requests[&request];
        let batch_is_final = tracked.class == Some(Class::Online) || tracked.ended;
        assert!(batch_is_final, "an item's failed attempt ends it at once");
    }

    fn cancel(&mut self, request: RequestId) {
        if let Some(tracked) = self.requests.get_mut(&request) {
            tracked.running = None;
            tracked.ended = true;
        }
        self.handle(Input::Cancelled { request });
    }

    fn handle(&mut self, input: Input) {
        let mut out = Vec::new();
        self.dispatcher.handle(Now::new(self.now_ms, 0), input, &mut out);
        for action in out {
            self.check(action);
        }
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::SlotGrant { .. } | Action::Demand { .. } => {
                panic!("a single gateway has no peer to send messages to")
            }
            Action::Dispatch { request, target, .. } => self.check_dispatch(request, &target),
            Action::Abort { request } => {
                let tracked = self.requests.get_mut(&request).expect("a submitted request");
                assert_eq!(tracked.class, Some(Class::Batch), "only batch items are preempted");
                assert!(tracked.running.is_some() && !tracked.preempted && tracked.repeatable);
                tracked.preempted = true;
            }
            Action::Refuse { request, verdict } => {
                let tracked = self.requests.get_mut(&request).expect("a submitted request");
                assert!(!tracked.ended, "two final actions");
                assert!(tracked.running.is_none(), "refused while it runs");
                let not_run = matches!(verdict, Verdict::NotRun { .. });
                assert_eq!(not_run, !tracked.may_have_run, "{verdict:?}");
                tracked.ended = true;
            }
        }
    }

    fn check_dispatch(&mut self, request: RequestId, name: &Name) {
        let declared = self.declared.targets.get(name).expect("a removed target gets no work");
        let tracked = self.requests.get_mut(&request).expect("a submitted request");
        assert!(
            !tracked.ended && tracked.running.is_none(),
            "dispatched while it runs or after its end"
        );
        assert!(!tracked.tried.contains(name), "twice to the same target");
        assert!(!tracked.may_have_run || tracked.repeatable, "ran twice though not repeatable");
        assert!(tracked.deadline_ms > self.now_ms, "dispatched past the deadline");
        assert!(!declared.drained, "a drained target gets no work");
        let unavailable_until = self.unavailable_until.get(name).copied().unwrap_or(0);
        assert!(unavailable_until <= self.now_ms, "a leaving or unreachable target gets no work");
        if !tracked.tried.is_empty() {
            *self.retried.entry(tracked.service.clone()).or_default() += 1;
        }
        tracked.tried.push(Name::clone(name));
        tracked.running = Some(Name::clone(name));
        let class = tracked.class;
        let there = |it: &&TrackedRequest| it.running.as_ref() == Some(name);
        let at_target: Vec<&TrackedRequest> = self.requests.values().filter(there).collect();
        let occupied = at_target.iter().filter(|it| !it.preempted).count();
        assert!(occupied <= declared.concurrency_limit as usize, "above the declared limit");
        if class == Some(Class::Batch) {
            assert!(!declared.reclaimed, "a reclaimed target gets no batch work");
            let items = at_target.iter().filter(|it| it.class == Some(Class::Batch)).count();
            assert!(items <= declared.loan_limit as usize, "above the loan limit");
        }
        let retried = self.retried.values().sum::<u64>();
        let budget = self.submitted.values().map(|it| RETRY_RESERVE + it / 10).sum::<u64>();
        assert!(retried <= budget, "above the retry budget");
    }

    /// Ends all requests and checks that each got a final action and that every slot is free.
    fn finish(mut self) {
        while let Some(request) = self.running().first().copied() {
            self.end(request, AttemptEnd::Completed);
        }
        self.now_ms += 10_000;
        self.handle(Input::Tick);
        while let Some(request) = self.running().first().copied() {
            self.end(request, AttemptEnd::Completed);
        }
        for (request, tracked) in &self.requests {
            let answered = tracked.ended || tracked.class == Some(Class::Batch);
            assert!(answered, "{request:?} got no final action");
        }
        for request in 0..self.requests.len() as u64 {
            self.cancel(RequestId(request));
        }
        let gauges = self.dispatcher.gauges(Now::new(self.now_ms, 0));
        assert_eq!(
            (gauges.known, gauges.online, gauges.queued, gauges.waiting_batch),
            (0, 0, 0, 0)
        );
        assert!(self.dispatcher.targets_in_use().all(|(_, _, busy)| !busy), "a slot leaked");
    }
}

#[test]
fn invariants_hold_under_any_order_of_events() {
    let mut runner = property::runner(1_000, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let steps = proptest::collection::vec(step(), 1..120);
    let ran = runner.run(&steps, |steps| {
        let mut model = Model::new();
        for step in &steps {
            model.step(step);
        }
        model.finish();
        Ok(())
    });
    if let Err(err) = ran {
        panic!("{err}");
    }
}
