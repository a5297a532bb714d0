//! Orders to targets under pauses, lost answers and takeovers.
//!
//! The model is one store, one target and a few processes. An order that was sent takes effect at any time within the
//! longest order, once, or never; a process may be paused for as long as it takes.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use proptest::{prelude::*, test_runner::RngSeed};
use samphiredoor_core::{
    Name,
    ledger::CallId,
    orders::{Order, OrderEnd, Orders, OrdersAction, OrdersConfig, OrdersInput, Wanted},
    store::{StoreAnswer, StoreOp, Stored, Version},
    time::Now,
};

const LEASE_MS: u64 = 3_000;
const MARGIN_MS: u64 = 200;
const ORDER_MS: u64 = 3_000;
const STEP_MS: u64 = 100;

#[derive(Debug, Clone)]
enum Step {
    /// All that run take a turn; store answers come as told.
    Turn {
        lose_answer: bool,
        refuse: bool,
    },
    /// An order on its way takes effect, or is dropped; its answer may be lost.
    Deliver {
        which: usize,
        drop: bool,
        lose_answer: bool,
    },
    /// The connection of an order breaks: its giver is told so, the order is still on its way.
    Cut {
        which: usize,
    },
    /// The target says that it did nothing.
    NotDone {
        which: usize,
    },
    /// A process stops or goes on taking turns.
    Pause {
        process: usize,
    },
    Wake {
        process: usize,
    },
    /// The hint says which process is to be the giver, and what is wanted.
    Want {
        process: usize,
        weights: u8,
    },
    /// Time passes without a turn.
    Wait {
        steps: u64,
    },
}

struct Process {
    orders: Orders,
    paused: bool,
    answers: VecDeque<(CallId, StoreAnswer)>,
    ends: VecDeque<OrdersInput>,
}

struct OnItsWay {
    process: usize,
    number: u64,
    fence: u64,
    order: Order,
    until_ms: u64,
    cut: bool,
}

struct World {
    now_ms: u64,
    // The lease is long enough only at the moment of its renewal.
    lease_is_short: bool,
    checks_fencing: bool,
    objects: BTreeMap<Name, Stored>,
    version: u64,
    processes: Vec<Process>,
    on_their_way: Vec<OnItsWay>,
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
                process: format!("door-{number}").into(),
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
            on_their_way: Vec::new(),
            held: BTreeSet::new(),
            highest_fence: 0,
            sent: 0,
            effects: Vec::new(),
        }
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Turn { lose_answer, refuse } => self.turn(*lose_answer, *refuse),
            Step::Deliver { which, drop, lose_answer } => {
                self.deliver(*which, *drop, *lose_answer);
            }
            Step::Cut { which } => self.cut(*which),
            Step::NotDone { which } => self.not_done(*which),
            Step::Pause { process } => self.processes[*process].paused = true,
            Step::Wake { process } => self.processes[*process].paused = false,
            Step::Want { process, weights: bits } => self.want(*process, *bits),
            Step::Wait { steps } => self.pass(steps * STEP_MS),
        }
    }

    fn pass(&mut self, time_ms: u64) {
        self.now_ms += time_ms;
        let now_ms = self.now_ms;
        let (over, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.on_their_way)
            .into_iter()
            .partition(|it| it.until_ms <= now_ms);
        self.on_their_way = rest;
        over.iter().for_each(|it| self.end(it, OrderEnd::Unknown));
    }

    fn want(&mut self, giver: usize, bits: u8) {
        for number in 0..self.processes.len() {
            let mut wanted = BTreeMap::new();
            if number == giver {
                let checks_fencing = self.checks_fencing;
                wanted.insert(target(), Wanted { weights: weights(bits), checks_fencing });
            }
            self.processes[number].ends.push_back(OrdersInput::Wanted(wanted));
        }
    }

    fn turn(&mut self, lose_answer: bool, refuse: bool) {
        self.pass(STEP_MS);
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
                actions.into_iter().for_each(|it| self.act(number, it, lose_answer, refuse));
            }
        }
    }

    fn act(&mut self, number: usize, action: OrdersAction, lose_answer: bool, refuse: bool) {
        match action {
            OrdersAction::Store { call, op } => {
                let write = op.is_write();
                let answer = match refuse {
                    true => StoreAnswer::Unavailable,
                    false => self.call(op),
                };
                let lost = lose_answer && write && !refuse;
                let answer = if lost { StoreAnswer::Unknown } else { answer };
                self.processes[number].answers.push_back((call, answer));
            }
            OrdersAction::Send { fence, order, .. } => {
                self.sent += 1;
                self.on_their_way.push(OnItsWay {
                    process: number,
                    number: self.sent,
                    fence,
                    order,
                    until_ms: self.now_ms + ORDER_MS,
                    cut: false,
                });
            }
        }
    }

    fn call(&mut self, op: StoreOp) -> StoreAnswer {
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
        if self.on_their_way.is_empty() {
            return;
        }
        let sent = self.on_their_way.remove(which % self.on_their_way.len());
        let end = if drop { OrderEnd::Unknown } else { self.take_effect(&sent) };
        self.end(&sent, if lose_answer { OrderEnd::Unknown } else { end });
    }

    fn cut(&mut self, which: usize) {
        let count = self.on_their_way.len().max(1);
        let Some(sent) = self.on_their_way.get_mut(which % count) else { return };
        if sent.cut {
            return;
        }
        sent.cut = true;
        let end = OrderEnd::Unknown;
        let input = OrdersInput::Ended { target: target(), fence: sent.fence, end };
        self.processes[sent.process].ends.push_back(input);
    }

    fn not_done(&mut self, which: usize) {
        if !self.on_their_way.is_empty() {
            let sent = self.on_their_way.remove(which % self.on_their_way.len());
            self.end(&sent, OrderEnd::NotDone);
        }
    }

    fn take_effect(&mut self, sent: &OnItsWay) -> OrderEnd {
        if self.checks_fencing && sent.fence < self.highest_fence {
            return OrderEnd::Fenced;
        }
        assert!(sent.fence >= self.highest_fence, "a late order undid a newer giver's");
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

    fn end(&mut self, sent: &OnItsWay, end: OrderEnd) {
        if sent.cut {
            return;
        }
        let input = OrdersInput::Ended { target: target(), fence: sent.fence, end };
        self.processes[sent.process].ends.push_back(input);
    }

    fn deliver_uncut(&mut self) {
        if let Some(which) = self.on_their_way.iter().position(|it| !it.cut) {
            self.deliver(which, false, false);
        }
    }

    fn deliver_cut_after_another(&mut self) {
        let other = |it: &OnItsWay| self.effects.iter().any(|(_, order)| *order != it.order);
        if let Some(which) = self.on_their_way.iter().position(|it| it.cut && other(it)) {
            self.deliver(which, false, false);
        }
    }

    fn turn_until_sent(&mut self, orders: u64) {
        for _ in 0..100 {
            if self.sent >= orders {
                return;
            }
            self.turn(false, false);
        }
        panic!("order {orders} was never sent");
    }

    /// Lets all go well until nothing changes any more.
    fn settle(&mut self, bits: u8) {
        for process in &mut self.processes {
            process.paused = false;
        }
        self.want(0, bits);
        for _ in 0..400 {
            self.turn(false, false);
            self.deliver(0, false, false);
        }
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (prop::bool::weighted(0.2), prop::bool::weighted(0.1))
            .prop_map(|(lose_answer, refuse)| Step::Turn { lose_answer, refuse }),
        3 => (0..4_usize, prop::bool::weighted(0.2), prop::bool::weighted(0.2))
            .prop_map(|(which, drop, lose_answer)| Step::Deliver { which, drop, lose_answer }),
        1 => (0..4_usize).prop_map(|which| Step::Cut { which }),
        1 => (0..4_usize).prop_map(|which| Step::NotDone { which }),
        1 => (0..3_usize).prop_map(|process| Step::Pause { process }),
        1 => (0..3_usize).prop_map(|process| Step::Wake { process }),
        1 => (0..3_usize, 0..8_u8).prop_map(|(process, weights)| Step::Want { process, weights }),
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

    /// A kitchen's engine answers with last week's menus: its giver was paused, another one loaded this week's, and the
    /// first one's order, sent on waking, undid that. Whatever is paused, lost or taken over, no order takes effect
    /// after one with a higher fencing number, and in the end the target holds what is wanted.
    #[test]
    fn no_late_order_undoes_a_newer_one(
        checks_fencing: bool,
        steps in prop::collection::vec(step(), 1..120),
        wanted in 0..8_u8,
    ) {
        let mut world = World::new(checks_fencing);
        for step in &steps {
            world.apply(step);
        }
        world.settle(wanted);
        prop_assert_eq!(&world.held, &weights(wanted));
    }
}

/// An engine answers with last week's menus. Its giver was told that the target did nothing, was paused before it tried
/// again, and woke after another giver had loaded this week's; its order, sent on waking, would undo that.
#[test]
fn a_paused_giver_reads_again_before_it_sends() {
    let mut world = World::new(false);
    world.want(1, 1);
    world.turn_until_sent(1);
    world.not_done(0);
    world.turn(false, false);
    world.processes[1].paused = true;
    world.want(0, 2);
    let lapsed = OrdersInput::Lapsed { process: "door-1".into(), incarnation: 1 };
    world.processes[0].ends.push_back(lapsed);
    for _ in 0..150 {
        world.turn(false, false);
        world.deliver(0, false, false);
    }
    assert_eq!(world.held, weights(2));
    // Nobody told the paused process that it is not to be the giver any more.
    world.processes[1].ends.clear();
    world.processes[1].paused = false;
    world.turn(false, false);
    world.deliver(0, false, false);
    assert_eq!(world.held, weights(2));
}

/// An engine drops the menus it has just been told to load. The answer to the first load was cut, the second load and a
/// later unload were answered, and then the first one, still on its way, takes effect.
#[test]
fn a_cut_order_is_waited_out_before_another_one() {
    for checks_fencing in [false, true] {
        let mut world = World::new(checks_fencing);
        world.want(0, 1);
        world.turn_until_sent(1);
        world.cut(0);
        world.turn_until_sent(2);
        world.deliver_uncut();
        world.want(0, 0);
        for _ in 0..30 {
            world.turn(false, false);
            world.deliver_uncut();
            world.deliver_cut_after_another();
        }
        world.settle(0);
        assert_eq!(world.held, weights(0));
    }
}

/// An engine answers with last week's menus. Its giver sent the order to load them and was lost; another one took over
/// and loaded this week's at once, and then the first order, still on its way, took effect.
#[test]
fn a_new_giver_waits_out_the_orders_of_the_former() {
    let mut world = World::new(false);
    world.want(1, 1);
    world.turn_until_sent(1);
    world.cut(0);
    world.processes[1].paused = true;
    world.want(0, 0);
    let lapsed = OrdersInput::Lapsed { process: "door-1".into(), incarnation: 1 };
    world.processes[0].ends.push_back(lapsed);
    for _ in 0..150 {
        world.turn(false, false);
        world.deliver_uncut();
        world.deliver_cut_after_another();
    }
    assert_eq!(world.held, weights(0));
}

/// Two kitchens deploy at once and the weight store, which is rate-limited, refuses both. Only one slot is declared:
/// the second load must wait until the first has ended.
#[test]
fn loads_wait_for_a_slot() {
    let mut world = World::new(true);
    let wanted = Wanted { weights: weights(1), checks_fencing: true };
    for (number, name) in ["engine-0", "engine-1"].into_iter().enumerate() {
        let wanted = BTreeMap::from([(Name::from(name), wanted.clone())]);
        world.processes[number].ends.push_back(OrdersInput::Wanted(wanted));
    }
    for _ in 0..60 {
        world.turn(false, false);
        assert!(world.on_their_way.len() <= 1, "two loads ran at once");
    }
}

/// An engine never gets its weights: every slot for loads is taken by a door that has long finished. It waited for one
/// more slot when its last wish was withdrawn, and did not look at the slots again, so that those it had stayed its own.
#[test]
fn slots_are_given_back_by_one_who_waited_for_more() {
    let mut world = World::new(true);
    let wanted = |bits| Wanted { weights: weights(bits), checks_fencing: true };
    let both = BTreeMap::from([(target(), wanted(1)), (Name::from("engine-1"), wanted(1))]);
    world.processes[0].ends.push_back(OrdersInput::Wanted(both));
    world.turn_until_sent(1);
    world.processes[0].ends.push_back(OrdersInput::Wanted(BTreeMap::new()));
    world.turn(false, false);
    world.deliver(0, false, false);
    (0..5).for_each(|_| world.turn(false, false));
    world.want(1, 3);
    world.turn_until_sent(2);
}

/// An engine never gets its weights although its giver is alive: the giver's lease is long enough only at the moment of
/// its renewal, and by the next event, when the order was to be sent, it began anew.
#[test]
fn an_order_is_sent_as_soon_as_the_lease_allows() {
    let mut world = World::new(false);
    world.want(1, 1);
    world.turn_until_sent(1);
    world.processes[1].paused = true;
    world.want(0, 1);
    let lapsed = OrdersInput::Lapsed { process: "door-1".into(), incarnation: 1 };
    world.processes[0].ends.push_back(lapsed);
    world.lease_is_short = true;
    (0..100).for_each(|_| world.turn(false, false));
    assert!(world.sent >= 2, "the order was never sent");
}
