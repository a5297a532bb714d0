//! Invariants after every event, in any order of events. For a longer run set `SAMPHIREDOOR_CASES=20000`.

use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, TestRng},
};
use samphiredoor_core::{
    dispatch::{
        Action, AttemptEnd, Class, Input, RequestId,
        slot_allocator::{LEASE_TTL_MS, allocator_of},
    },
    verdict::{Refusal, Verdict},
};

use crate::{
    property,
    world::{CONCURRENCY_LIMIT, LOAN_LIMIT, OWN_NAME, World, live},
};

const TARGETS: [&str; 3] = ["engine-0", "engine-1", "engine-2"];
const GATEWAYS: [&str; 3] = ["gateway-0", "gateway-1", "gateway-2"];

#[derive(Debug, Clone)]
enum Step {
    Online,
    Item { job: u8, repeatable: bool },
    End { which: usize, end: AttemptEnd },
    Cancel { which: usize },
    Advance { ms: u64 },
    Report { target: usize, running: u32, steps: u64 },
    Reclaim { target: usize, reclaimed: bool },
    LiveGateways { live: u8 },
    Grant { target: usize, allocator: usize, slots: u32, epoch: u64 },
}

fn end() -> impl Strategy<Value = AttemptEnd> {
    prop_oneof![
        4 => Just(AttemptEnd::Completed),
        1 => Just(AttemptEnd::Failed),
        1 => Just(AttemptEnd::Aborted),
        1 => Just(AttemptEnd::NotSent),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let target = 0..TARGETS.len();
    prop_oneof![
        8 => Just(Step::Online),
        8 => (0..3_u8, any::<bool>()).prop_map(|(job, repeatable)| Step::Item { job, repeatable }),
        8 => (any::<usize>(), end()).prop_map(|(which, end)| Step::End { which, end }),
        1 => any::<usize>().prop_map(|which| Step::Cancel { which }),
        6 => (1..3_000_u64).prop_map(|ms| Step::Advance { ms }),
        2 => (target.clone(), 0..12_u32, 1..50_u64)
            .prop_map(|(target, running, steps)| Step::Report { target, running, steps }),
        2 => (target.clone(), any::<bool>())
            .prop_map(|(target, reclaimed)| Step::Reclaim { target, reclaimed }),
        1 => (0..8_u8).prop_map(|live| Step::LiveGateways { live }),
        2 => (target, 0..GATEWAYS.len(), 0..8_u32, 0..10_u64).prop_map(
            |(target, allocator, slots, epoch)| Step::Grant { target, allocator, slots, epoch }
        ),
    ]
}

/// Lease that this gateway should hold.
#[derive(Debug, Clone, Copy, Default)]
struct ExpectedLease {
    allocator: usize,
    slots: u32,
    epoch: u64,
    until_ms: u64,
}

struct Model {
    world: World,
    gateways: Vec<usize>,
    leases: [Option<ExpectedLease>; TARGETS.len()],
    total_steps: u64,
}

impl Model {
    fn new() -> Model {
        Model {
            world: World::new(&TARGETS),
            gateways: Vec::new(),
            leases: Default::default(),
            total_steps: 0,
        }
    }

    fn step(&mut self, step: &Step) {
        let actions = match *step {
            Step::Online => self.world.online().1,
            Step::Item { job, repeatable } => {
                let change = |it: &mut samphiredoor_core::dispatch::RequestSpec| {
                    it.job = format!("job-{job}").into();
                    it.repeatable = repeatable;
                };
                self.world.submit(Class::Batch, change).1
            }
            Step::End { which, end } => self.end(which, end),
            Step::Cancel { which } => {
                let tracked: Vec<RequestId> = self.world.tracked.keys().copied().collect();
                if tracked.is_empty() {
                    return;
                }
                self.world.handle(Input::Cancelled { request: tracked[which % tracked.len()] })
            }
            Step::Advance { ms } => {
                for _ in 0..ms.div_ceil(100) {
                    let actions = self.world.advance(100);
                    self.check(&actions);
                }
                return;
            }
            Step::Report { target, running, steps } => {
                let target: samphiredoor_core::Name = TARGETS[target].into();
                self.total_steps += steps;
                let (steps, tokens) = (self.total_steps, self.total_steps * u64::from(running));
                let work = Input::ProgressReport { target: target.clone(), steps, tokens };
                self.world.handle(work);
                self.world.handle(Input::LoadReport { target, running, waiting: 0 })
            }
            Step::Reclaim { target, reclaimed } => self.world.reclaim(TARGETS[target], reclaimed),
            Step::LiveGateways { live } => self.change_live_gateways(live),
            Step::Grant { target, allocator, slots, epoch } => {
                self.receive_grant(target, allocator, slots, epoch)
            }
        };
        self.check(&actions);
    }

    fn end(&mut self, which: usize, end: AttemptEnd) -> Vec<Action> {
        let running = self.world.tracked.iter().filter(|(_, it)| it.running.is_some());
        let running: Vec<(RequestId, bool)> =
            running.map(|(request, it)| (*request, it.preempted)).collect();
        if running.is_empty() {
            return Vec::new();
        }
        let (request, preempted) = running[which % running.len()];
        let class = self.world.tracked[&request].class;
        match (end, class, preempted) {
            (AttemptEnd::Aborted, Class::Batch, true) => {
                self.world.end(request, AttemptEnd::Preempted)
            }
            // A retry of an online request would require the model to track the tried targets.
            (AttemptEnd::NotSent | AttemptEnd::Aborted, Class::Online, _) => {
                self.world.end(request, AttemptEnd::Completed)
            }
            _ => self.world.end(request, end),
        }
    }

    fn change_live_gateways(&mut self, gateways: u8) -> Vec<Action> {
        self.gateways = (0..GATEWAYS.len()).filter(|it| gateways >> it & 1 == 1).collect();
        let names: Vec<&str> = self.gateways.iter().map(|it| GATEWAYS[*it]).collect();
        let before = self.allocators();
        let actions = self
            .world
            .handle(Input::LiveGateways { own_name: OWN_NAME.into(), live: live(&names) });
        for (target, (before, after)) in before.into_iter().zip(self.allocators()).enumerate() {
            if before.as_deref() == Some(OWN_NAME) || after.as_deref() == Some(OWN_NAME) {
                self.leases[target] = None;
            }
        }
        actions
    }

    fn allocators(&self) -> Vec<Option<samphiredoor_core::Name>> {
        let names: Vec<&str> = self.gateways.iter().map(|it| GATEWAYS[*it]).collect();
        let gateways = live(&names);
        TARGETS.iter().map(|it| allocator_of(it, "brisbane", &gateways).cloned()).collect()
    }

    fn receive_grant(
        &mut self,
        target: usize,
        allocator: usize,
        slots: u32,
        epoch: u64,
    ) -> Vec<Action> {
        let is_allocator = self.allocators()[target].as_deref() == Some(GATEWAYS[allocator]);
        let lease = self.leases[target].unwrap_or_default();
        let is_newer = lease.allocator != allocator || epoch > lease.epoch;
        if is_allocator && is_newer && allocator != 0 {
            let until_ms = self.world.now_ms + LEASE_TTL_MS;
            self.leases[target] = Some(ExpectedLease { allocator, slots, epoch, until_ms });
        }
        self.world.handle(Input::SlotGrant {
            target: TARGETS[target].into(),
            allocator: GATEWAYS[allocator].into(),
            slots,
            epoch,
        })
    }

    fn check(&self, actions: &[Action]) {
        let allocators = self.allocators();
        for (index, target) in TARGETS.iter().enumerate() {
            let items = self.world.running_items(target);
            assert!(items.len() <= LOAN_LIMIT as usize, "above the owner's limit");
            let all = items.len() + self.world.online_at(target);
            assert!(all <= CONCURRENCY_LIMIT as usize, "above the target's limit");
            let preemptible = items.iter().filter(|it| self.world.tracked[it].repeatable).count();
            if self.world.manifest.targets[*target].reclaimed {
                assert_eq!(preemptible, 0, "items run on after a reclaim");
            }
            let is_leaseholder = allocators[index].as_ref().is_some_and(|it| &**it != OWN_NAME);
            if is_leaseholder {
                let lease = self.leases[index].filter(|it| self.world.now_ms < it.until_ms);
                let slots = lease.map_or(0, |it| it.slots) as usize;
                assert!(preemptible <= slots, "{preemptible} items above a lease of {slots}");
            }
        }
        for action in actions {
            self.check_action(action);
        }
    }

    fn check_action(&self, action: &Action) {
        if let Action::Refuse { verdict: Verdict::NotRun { reason, .. }, .. } = action
            && matches!(reason, Refusal::Overloaded)
        {
            for target in TARGETS {
                let items = self.world.running_items(target);
                let preemptible =
                    items.iter().filter(|it| self.world.tracked[it].repeatable).count();
                assert_eq!(preemptible, 0, "refused while an item could be preempted");
            }
        }
    }
}

#[test]
fn batch_capacity_stays_within_its_bounds_under_any_order_of_events() {
    let mut runner = property::runner(400, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let steps = proptest::collection::vec(step(), 1..80);
    let ran = runner.run(&steps, |steps| {
        let mut model = Model::new();
        for step in &steps {
            model.step(step);
        }
        Ok(())
    });
    if let Err(err) = ran {
        panic!("{err}");
    }
}
