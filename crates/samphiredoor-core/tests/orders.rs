//! Orders to targets under process pauses, lost answers and takeovers.
//!
//! The model consists of one store, one target and a few processes. An order that was sent takes effect once, at any
//! time within the longest time of an order, or never. A process may be paused for any time.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use proptest::{prelude::*, test_runner::RngSeed};
use samphiredoor_core::{
    Name,
    ledger::CallId,
    orders::{DesiredState, Order, OrderEnd, Orders, OrdersAction, OrdersConfig, OrdersInput},
    store::{StoreAnswer, StoreOp, Stored, Version},
    time::Now,
};

const LEASE_MS: u64 = 3_000;
const MARGIN_MS: u64 = 200;
const ORDER_MS: u64 = 3_000;
const STEP_MS: u64 = 100;

#[derive(Debug, Clone)]
enum Step {
    /// All processes that are not paused handle their inputs; write answers may be lost or store calls refused.
    Round { lose_answer: bool, refuse: bool },
    /// An order in transit takes effect or is dropped; its answer may be lost.
    Deliver { which: usize, drop: bool, lose_answer: bool },
    /// The connection of an order breaks: its sender gets an unknown outcome, but the order is still in transit.
    Disconnect { which: usize },
    /// The target reports that it did nothing.
    NotDone { which: usize },
    /// A process is paused.
    Pause { process: usize },
    /// A paused process continues.
    Resume { process: usize },
    /// One process is assigned the target, with a desired state.
    Assign { process: usize, weights: u8 },
    /// Time passes without any process running.
    Wait { steps: u64 },
}

struct Process {
    orders: Orders,
    paused: bool,
    answers: VecDeque<(CallId, StoreAnswer)>,
    ends: VecDeque<OrdersInput>,
}

struct InTransit {
    process: usize,
    number: u64,
    fence: u64,
    order: Order,
    until_ms: u64,
    disconnected: bool,
}

struct World {
    now_ms: u64,
    /// Whether the lease is long enough only at the moment of its renewal.
    lease_is_short: bool,
    checks_fencing: bool,
    objects: BTreeMap<Name, Stored>,
    version: u64,
    processes: Vec<Process>,
    in_transit: Vec<InTransit>,
    held: BTreeSet<Name>,
    highest_fence: u64,
    sent: u64,
    effects: Vec<(u64, Order)>,
}

fn target() -> Name {
    "engine-0".into()
}

fn weights(bits: u8) -> BTreeSet<Name> {
    let all = ["base", "menus", "rounds"];
    let chosen = all.iter().enumerate().filter(|(index, _)| bits & (1 << index) != 0);
    chosen.map(|(_, it)| Name::from(*it)).collect()
}

impl World {
    fn new(checks_fencing: bool) -> World {
        let process = |number: usize| Process {
            orders: Orders::new(OrdersConfig {
                process: format!("gateway-{number}").into(),
                incarnation: 1,
                lease_ms: LEASE_MS,
                margin_ms: MARGIN_MS,
                longest_order_ms: ORDER_MS,
                loads_at_once: 1,
            }),
            paused: false,
            answers: VecDeque::new(),
            ends: VecDeque::new(),
        };
        World {
            now_ms: 0,
            lease_is_short: false,
            checks_fencing,
            objects: BTreeMap::new(),
            version: 0,
            processes: (0..3).map(process).collect(),
            in_transit: Vec::new(),
            held: BTreeSet::new(),
            highest_fence: 0,
            sent: 0,
            effects: Vec::new(),
        }
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Round { lose_answer, refuse } => self.run_round(*lose_answer, *refuse),
            Step::Deliver { which, drop, lose_answer } => {
                self.deliver(*which, *drop, *lose_answer);
            }
            Step::Disconnect { which } => self.cut_connection(*which),
            Step::NotDone { which } => self.not_done(*which),
            Step::Pause { process } => self.processes[*process].paused = true,
            Step::Resume { process } => self.processes[*process].paused = false,
            Step::Assign { process, weights: bits } => self.set_desired(*process, *bits),
            Step::Wait { steps } => self.advance_time(steps * STEP_MS),
        }
    }

    fn advance_time(&mut self, time_ms: u64) {
        self.now_ms += time_ms;
        let now_ms = self.now_ms;
        let (expired, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.in_transit).into_iter().partition(|it| it.until_ms <= now_ms);
        self.in_transit = rest;
        expired.iter().for_each(|it| self.end(it, OrderEnd::Unknown));
    }

    fn set_desired(&mut self, leader: usize, bits: u8) {
        for number in 0..self.processes.len() {
            let mut desired = BTreeMap::new();
            if number == leader {
                let checks_fencing = self.checks_fencing;
                desired.insert(target(), DesiredState { weights: weights(bits), checks_fencing });
            }
            self.processes[number].ends.push_back(OrdersInput::DesiredStates(desired));
        }
    }

    fn run_round(&mut self, lose_answer: bool, refuse: bool) {
        self.advance_time(STEP_MS);
        for number in 0..self.processes.len() {
            if self.processes[number].paused {
                continue;
            }
            let valid_until_ms = self.now_ms + LEASE_MS;
            let mut inputs = vec![OrdersInput::Lease { valid_until_ms }];
            if self.lease_is_short {
                inputs.push(OrdersInput::Lease { valid_until_ms: self.now_ms });
            }
            let process = &mut self.processes[number];
            let answers = process.answers.drain(..);
            inputs.extend(answers.map(|(call, answer)| OrdersInput::Stored { call, answer }));
            inputs.extend(process.ends.drain(..));
            inputs.push(OrdersInput::Tick);
            for input in inputs {
                let mut actions = Vec::new();
                let now = Now::new(self.now_ms, self.now_ms);
                self.processes[number].orders.handle(now, input, &mut actions);
                actions
                    .into_iter()
                    .for_each(|it| self.handle_action(number, it, lose_answer, refuse));
            }
        }
    }

    fn handle_action(
        &mut self,
        number: usize,
        action: OrdersAction,
        lose_answer: bool,
        refuse: bool,
    ) {
        match action {
            OrdersAction::Store { call, op } => {
                let write = op.is_write();
                let answer = match refuse {
                    true => StoreAnswer::Unavailable,
                    false => self.call_store(op),
                };
                let lost = lose_answer && write && !refuse;
                let answer = if lost { StoreAnswer::Unknown } else { answer };
                self.processes[number].answers.push_back((call, answer));
            }
            OrdersAction::Send { fence, order, .. } => {
                self.sent += 1;
                self.in_transit.push(InTransit {
                    process: number,
                    number: self.sent,
                    fence,
                    order,
                    until_ms: self.now_ms + ORDER_MS,
                    disconnected: false,
                });
            }
        }
    }

    fn call_store(&mut self, op: StoreOp) -> StoreAnswer {
        let current = |objects: &BTreeMap<Name, Stored>, name: &Name| objects.get(name).cloned();
        match op {
            StoreOp::Get { key } => match current(&self.objects, &key.name) {
                Some(stored) => StoreAnswer::Object(stored),
                None => StoreAnswer::Absent,
            },
            StoreOp::Create { key, labels, value } => {
                if self.objects.contains_key(&key.name) {
                    return StoreAnswer::Taken;
                }
                self.put(key.name, labels, value)
            }
            StoreOp::Update { key, version, labels, value } => {
                match current(&self.objects, &key.name) {
                    Some(stored) if stored.version == version => self.put(key.name, labels, value),
                    _ => StoreAnswer::Conflict,
                }
            }
            _ => StoreAnswer::Unavailable,
        }
    }

    fn put(
        &mut self,
        name: Name,
        labels: BTreeMap<String, String>,
        value: Arc<[u8]>,
    ) -> StoreAnswer {
        self.version += 1;
        let version = Version(self.version);
        let stored = Stored { name: Arc::clone(&name), version, labels, value };
        self.objects.insert(name, stored.clone());
        StoreAnswer::Object(stored)
    }

    fn deliver(&mut self, which: usize, drop: bool, lose_answer: bool) {
        if self.in_transit.is_empty() {
            return;
        }
        let sent = self.in_transit.remove(which % self.in_transit.len());
        let end = if drop { OrderEnd::Unknown } else { self.take_effect(&sent) };
        self.end(&sent, if lose_answer { OrderEnd::Unknown } else { end });
    }

    fn cut_connection(&mut self, which: usize) {
        let count = self.in_transit.len().max(1);
        let Some(sent) = self.in_transit.get_mut(which % count) else { return };
        if sent.disconnected {
            return;
        }
        sent.disconnected = true;
        let end = OrderEnd::Unknown;
        let input = OrdersInput::Ended { target: target(), fence: sent.fence, end };
        self.processes[sent.process].ends.push_back(input);
    }

    fn not_done(&mut self, which: usize) {
        if !self.in_transit.is_empty() {
            let sent = self.in_transit.remove(which % self.in_transit.len());
            self.end(&sent, OrderEnd::NotDone);
        }
    }

    fn take_effect(&mut self, sent: &InTransit) -> OrderEnd {
        if self.checks_fencing && sent.fence < self.highest_fence {
            return OrderEnd::Fenced;
        }
        assert!(sent.fence >= self.highest_fence, "a late order undid one of a newer leader");
        let mut later = self.effects.iter().filter(|(number, _)| *number > sent.number);
        assert!(later.all(|(_, order)| *order == sent.order), "a late order undid a later one");
        self.effects.push((sent.number, sent.order.clone()));
        self.highest_fence = sent.fence;
        match &sent.order {
            Order::Load(weight) => self.held.insert(Arc::clone(weight)),
            Order::Unload(weight) => self.held.remove(weight),
        };
        OrderEnd::Done
    }

    fn end(&mut self, sent: &InTransit, end: OrderEnd) {
        if sent.disconnected {
            return;
        }
        let input = OrdersInput::Ended { target: target(), fence: sent.fence, end };
        self.processes[sent.process].ends.push_back(input);
    }

    fn deliver_connected(&mut self) {
        if let Some(which) = self.in_transit.iter().position(|it| !it.disconnected) {
            self.deliver(which, false, false);
        }
    }

    fn deliver_disconnected_after_another(&mut self) {
        let other = |it: &InTransit| self.effects.iter().any(|(_, order)| *order != it.order);
        if let Some(which) = self.in_transit.iter().position(|it| it.disconnected && other(it)) {
            self.deliver(which, false, false);
        }
    }

    fn run_until_sent(&mut self, orders: u64) {
        for _ in 0..100 {
            if self.sent >= orders {
                return;
            }
            self.run_round(false, false);
        }
        panic!("order {orders} was never sent");
    }

    /// Runs all processes without faults until nothing changes any more.
    fn run_until_stable(&mut self, bits: u8) {
        for process in &mut self.processes {
            process.paused = false;
        }
        self.set_desired(0, bits);
        for _ in 0..400 {
            self.run_round(false, false);
            self.deliver(0, false, false);
        }
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (prop::bool::weighted(0.2), prop::bool::weighted(0.1))
            .prop_map(|(lose_answer, refuse)| Step::Round { lose_answer, refuse }),
        3 => (0..4_usize, prop::bool::weighted(0.2), prop::bool::weighted(0.2))
            .prop_map(|(which, drop, lose_answer)| Step::Deliver { which, drop, lose_answer }),
        1 => (0..4_usize).prop_map(|which| Step::Disconnect { which }),
        1 => (0..4_usize).prop_map(|which| Step::NotDone { which }),
        1 => (0..3_usize).prop_map(|process| Step::Pause { process }),
        1 => (0..3_usize).prop_map(|process| Step::Resume { process }),
        1 => (0..3_usize, 0..8_u8).prop_map(|(process, weights)| Step::Assign { process, weights }),
        1 => (0..60_u64).prop_map(|steps| Step::Wait { steps }),
    ]
}

fn config() -> ProptestConfig {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|it| it.parse().ok());
    ProptestConfig {
        cases: cases.unwrap_or(400),
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against an engine that serves outdated weights: its leader was paused, another one loaded new weights, and
    /// the first one's order, sent when it resumed, undid that. Whatever is paused, lost or taken over, no order takes
    /// effect after one with a higher fencing number, and in the end the target holds the desired weights.
    #[test]
    fn no_late_order_undoes_a_newer_one(
        checks_fencing: bool,
        steps in prop::collection::vec(step(), 1..120),
        desired in 0..8_u8,
    ) {
        let mut world = World::new(checks_fencing);
        for step in &steps {
            world.apply(step);
        }
        world.run_until_stable(desired);
        prop_assert_eq!(&world.held, &weights(desired));
    }
}

/// A leader is paused after the target reported that it did nothing and before the retry. It resumes after another
/// leader has loaded new weights; its order, sent without reading the record again, would undo that.
#[test]
fn a_paused_leader_reads_the_record_again_before_it_sends() {
    let mut world = World::new(false);
    world.set_desired(1, 1);
    world.run_until_sent(1);
    world.not_done(0);
    world.run_round(false, false);
    world.processes[1].paused = true;
    world.set_desired(0, 2);
    let expired = OrdersInput::LeaseExpired { process: "gateway-1".into(), incarnation: 1 };
    world.processes[0].ends.push_back(expired);
    for _ in 0..150 {
        world.run_round(false, false);
        world.deliver(0, false, false);
    }
    assert_eq!(world.held, weights(2));
    // The paused process has not been notified that the target is not assigned to it any more.
    world.processes[1].ends.clear();
    world.processes[1].paused = false;
    world.run_round(false, false);
    world.deliver(0, false, false);
    assert_eq!(world.held, weights(2));
}

/// The connection of a first load order breaks, a second load order and a later unload order are answered, and then the
/// first one, still in transit, takes effect and undoes the unload.
#[test]
fn a_different_order_waits_until_an_order_with_unknown_outcome_cannot_take_effect() {
    for checks_fencing in [false, true] {
        let mut world = World::new(checks_fencing);
        world.set_desired(0, 1);
        world.run_until_sent(1);
        world.cut_connection(0);
        world.run_until_sent(2);
        world.deliver_connected();
        world.set_desired(0, 0);
        for _ in 0..30 {
            world.run_round(false, false);
            world.deliver_connected();
            world.deliver_disconnected_after_another();
        }
        world.run_until_stable(0);
        assert_eq!(world.held, weights(0));
    }
}

/// A leader sends an order and dies; another one takes over and sends a different order at once, and then the first
/// order, still in transit, takes effect and undoes that one.
#[test]
fn a_new_leader_waits_until_orders_of_the_previous_one_cannot_take_effect() {
    let mut world = World::new(false);
    world.set_desired(1, 1);
    world.run_until_sent(1);
    world.cut_connection(0);
    world.processes[1].paused = true;
    world.set_desired(0, 0);
    let expired = OrdersInput::LeaseExpired { process: "gateway-1".into(), incarnation: 1 };
    world.processes[0].ends.push_back(expired);
    for _ in 0..150 {
        world.run_round(false, false);
        world.deliver_connected();
        world.deliver_disconnected_after_another();
    }
    assert_eq!(world.held, weights(0));
}

/// The weight store is rate-limited and refuses requests if too many loads run at once. Only one slot is declared, so
/// the second load must wait until the first has ended.
#[test]
fn loads_wait_for_a_slot() {
    let mut world = World::new(true);
    let desired = DesiredState { weights: weights(1), checks_fencing: true };
    for (number, name) in ["engine-0", "engine-1"].into_iter().enumerate() {
        let desired = BTreeMap::from([(Name::from(name), desired.clone())]);
        world.processes[number].ends.push_back(OrdersInput::DesiredStates(desired));
    }
    for _ in 0..60 {
        world.run_round(false, false);
        assert!(world.in_transit.len() <= 1, "two loads ran at once");
    }
}

/// An engine never gets its weights because all load slots are held by a process that does not need them any more. That
/// process was waiting for one more slot when its last target was removed, and did not read the slots again, so it never
/// released those that it had.
#[test]
fn a_process_that_waited_for_more_slots_releases_those_it_has() {
    let mut world = World::new(true);
    let desired = |bits| DesiredState { weights: weights(bits), checks_fencing: true };
    let both = BTreeMap::from([(target(), desired(1)), (Name::from("engine-1"), desired(1))]);
    world.processes[0].ends.push_back(OrdersInput::DesiredStates(both));
    world.run_until_sent(1);
    world.processes[0].ends.push_back(OrdersInput::DesiredStates(BTreeMap::new()));
    world.run_round(false, false);
    world.deliver(0, false, false);
    (0..5).for_each(|_| world.run_round(false, false));
    world.set_desired(1, 3);
    world.run_until_sent(2);
}

/// An engine never gets its weights although its leader is live: the leader's lease is long enough only at the moment of
/// its renewal, and if the order is sent only with the next event, the sequence starts again.
#[test]
fn an_order_is_sent_as_soon_as_the_lease_allows() {
    let mut world = World::new(false);
    world.set_desired(1, 1);
    world.run_until_sent(1);
    world.processes[1].paused = true;
    world.set_desired(0, 1);
    let expired = OrdersInput::LeaseExpired { process: "gateway-1".into(), incarnation: 1 };
    world.processes[0].ends.push_back(expired);
    world.lease_is_short = true;
    (0..100).for_each(|_| world.run_round(false, false));
    assert!(world.sent >= 2, "the order was never sent");
}
