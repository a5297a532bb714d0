//! What holds after every event, whatever the order. A longer run: `SAMPHIREDOOR_CASES=20000`.

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use samphiredoor_core::{
    dispatch::{
        Action, AttemptEnd, Class, Input, RequestId,
        slot_allocator::{SHARE_TTL_MS, lender_of},
    },
    verdict::{Refusal, Verdict},
};

use crate::world::{CONCURRENCY_LIMIT, LOAN_LIMIT, OWN_NAME, World, live};

const TARGETS: [&str; 3] = ["engine-0", "engine-1", "engine-2"];
const DOORS: [&str; 3] = ["door-0", "door-1", "door-2"];

#[derive(Debug, Clone)]
enum Step {
    Online,
    Item { job: u8, repeatable: bool },
    End { which: usize, end: AttemptEnd },
    Gone { which: usize },
    Pass { ms: u64 },
    Report { target: usize, running: u32, steps: u64 },
    Reclaim { target: usize, reclaimed: bool },
    Doors { live: u8 },
    Share { target: usize, lender: usize, slots: u32, epoch: u64 },
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
        1 => any::<usize>().prop_map(|which| Step::Gone { which }),
        6 => (1..3_000_u64).prop_map(|ms| Step::Pass { ms }),
        2 => (target.clone(), 0..12_u32, 1..50_u64)
            .prop_map(|(target, running, steps)| Step::Report { target, running, steps }),
        2 => (target.clone(), any::<bool>())
            .prop_map(|(target, reclaimed)| Step::Reclaim { target, reclaimed }),
        1 => (0..8_u8).prop_map(|live| Step::Doors { live }),
        2 => (target, 0..DOORS.len(), 0..8_u32, 0..10_u64).prop_map(
            |(target, lender, slots, epoch)| Step::Share { target, lender, slots, epoch }
        ),
    ]
}

/// A share as its borrower should know it.
#[derive(Debug, Clone, Copy, Default)]
struct Held {
    lender: usize,
    slots: u32,
    epoch: u64,
    until_ms: u64,
}

struct Model {
    world: World,
    doors: Vec<usize>,
    shares: [Option<Held>; TARGETS.len()],
    work: u64,
}

impl Model {
    fn new() -> Model {
        Model {
            world: World::new(&TARGETS),
            doors: Vec::new(),
            shares: Default::default(),
            work: 0,
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
                self.world.ask(Class::Batch, change).1
            }
            Step::End { which, end } => self.end(which, end),
            Step::Gone { which } => {
                let known: Vec<RequestId> = self.world.known.keys().copied().collect();
                if known.is_empty() {
                    return;
                }
                self.world.handle(Input::Cancelled { request: known[which % known.len()] })
            }
            Step::Pass { ms } => {
                for _ in 0..ms.div_ceil(100) {
                    let actions = self.world.pass(100);
                    self.check(&actions);
                }
                return;
            }
            Step::Report { target, running, steps } => {
                let target: samphiredoor_core::Name = TARGETS[target].into();
                self.work += steps;
                let (steps, tokens) = (self.work, self.work * u64::from(running));
                let work = Input::ProgressReport { target: target.clone(), steps, tokens };
                self.world.handle(work);
                self.world.handle(Input::LoadReport { target, running, waiting: 0 })
            }
            Step::Reclaim { target, reclaimed } => self.world.reclaim(TARGETS[target], reclaimed),
            Step::Doors { live } => self.change_doors(live),
            Step::Share { target, lender, slots, epoch } => {
                self.share(target, lender, slots, epoch)
            }
        };
        self.check(&actions);
    }

    fn end(&mut self, which: usize, end: AttemptEnd) -> Vec<Action> {
        let running = self.world.known.iter().filter(|(_, it)| it.running.is_some());
        let running: Vec<(RequestId, bool)> =
            running.map(|(request, it)| (*request, it.recalled)).collect();
        if running.is_empty() {
            return Vec::new();
        }
        let (request, recalled) = running[which % running.len()];
        let class = self.world.known[&request].class;
        match (end, class, recalled) {
            (AttemptEnd::Aborted, Class::Batch, true) => {
                self.world.end(request, AttemptEnd::Preempted)
            }
            // A retry of an online request would make the model follow the tried targets.
            (AttemptEnd::NotSent | AttemptEnd::Aborted, Class::Online, _) => {
                self.world.end(request, AttemptEnd::Completed)
            }
            _ => self.world.end(request, end),
        }
    }

    fn change_doors(&mut self, doors: u8) -> Vec<Action> {
        self.doors = (0..DOORS.len()).filter(|it| doors >> it & 1 == 1).collect();
        let names: Vec<&str> = self.doors.iter().map(|it| DOORS[*it]).collect();
        let was = self.lenders();
        let actions = self
            .world
            .handle(Input::LiveGateways { own_name: OWN_NAME.into(), live: live(&names) });
        for (target, (was, is)) in was.into_iter().zip(self.lenders()).enumerate() {
            if was.as_deref() == Some(OWN_NAME) || is.as_deref() == Some(OWN_NAME) {
                self.shares[target] = None;
            }
        }
        actions
    }

    fn lenders(&self) -> Vec<Option<samphiredoor_core::Name>> {
        let names: Vec<&str> = self.doors.iter().map(|it| DOORS[*it]).collect();
        let doors = live(&names);
        TARGETS.iter().map(|it| lender_of(it, "brisbane", &doors).cloned()).collect()
    }

    fn share(&mut self, target: usize, lender: usize, slots: u32, epoch: u64) -> Vec<Action> {
        let is_lender = self.lenders()[target].as_deref() == Some(DOORS[lender]);
        let held = self.shares[target].unwrap_or_default();
        let newer = held.lender != lender || epoch > held.epoch;
        if is_lender && newer && lender != 0 {
            let until_ms = self.world.now_ms + SHARE_TTL_MS;
            self.shares[target] = Some(Held { lender, slots, epoch, until_ms });
        }
        self.world.handle(Input::SlotGrant {
            target: TARGETS[target].into(),
            allocator: DOORS[lender].into(),
            slots,
            epoch,
        })
    }

    fn check(&self, actions: &[Action]) {
        let lenders = self.lenders();
        for (index, target) in TARGETS.iter().enumerate() {
            let lent = self.world.lent(target);
            assert!(lent.len() <= LOAN_LIMIT as usize, "above the owner's limit");
            let all = lent.len() + self.world.online_at(target);
            assert!(all <= CONCURRENCY_LIMIT as usize, "above the target's limit");
            let recallable = lent.iter().filter(|it| self.world.known[it].repeatable).count();
            if self.world.manifest.targets[*target].reclaimed {
                assert_eq!(recallable, 0, "items stay after a reclaim");
            }
            let is_borrower = lenders[index].as_ref().is_some_and(|it| &**it != OWN_NAME);
            if is_borrower {
                let held = self.shares[index].filter(|it| self.world.now_ms < it.until_ms);
                let slots = held.map_or(0, |it| it.slots) as usize;
                assert!(recallable <= slots, "{recallable} items above a share of {slots}");
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
                let lent = self.world.lent(target);
                let recallable = lent.iter().filter(|it| self.world.known[it].repeatable).count();
                assert_eq!(recallable, 0, "refused while a slot could be recalled");
            }
        }
    }
}

#[test]
fn lending_keeps_its_bounds_under_any_order_of_events() {
    let cases = std::env::var("SAMPHIREDOOR_CASES").ok().and_then(|it| it.parse().ok());
    let config =
        Config { cases: cases.unwrap_or(400), failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let steps = proptest::collection::vec(step(), 1..80);
    let ran = TestRunner::new_with_rng(config, rng).run(&steps, |steps| {
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
