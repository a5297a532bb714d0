//! Fair shares of workspaces while one of them floods a cell of 12 gateways, simulated in virtual time.
//!
//! Each gateway has a real placement with overload control. Load messages and news between gateways take 5 ms, and one in
//! a hundred is lost; some simulations delay or falsify the news. A caller that is rejected retries once at another
//! gateway.

use std::{
    collections::{HashMap, VecDeque},
    ops::Range,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use samphiredoor_core::{
    Name,
    dispatch::{Class, RequestId},
    overload::{
        Activation, OverloadNews, OverloadPolicy, WorkspaceUsage,
        fair_share::{address_key, workspace_key},
    },
    placement::{Action, AttemptEnd, CallerTerms, GatewayState, Input, Placement, RequestSpec},
};
use smallvec::SmallVec;

use crate::harness::{Fixture, SLOTS, entry, location};

/// A run of one seed has a few hundred requests of small workspaces; their sum over several varies by less than the bound.
const SEEDS: [u64; 3] = [1, 2, 3];
const STEP_MS: u64 = 5;
const GATEWAYS: usize = 12;
const TARGETS: usize = 20;
const WORKSPACES: usize = 88;
/// Mean run time of a request at its target, and the time until its first event. Run times are between a half and one and
/// a half of the mean.
const RUN_MS: u64 = 600;
const FIRST_EVENT_MS: u64 = 40;
const OBJECTIVE_MS: u64 = 300;
const DEADLINE_MS: u64 = 5_000;
const START_MS: u64 = 10_000;
/// Time for which callers that are known by their addresses get known to all gateways.
const INTRODUCTION_MS: u64 = 22_000;
const WARMUP_MS: u64 = 2_000;
/// Time with the usual traffic, and with the flood.
const PHASE_MS: u64 = 10_000;
/// Slots that all workspaces need on average without a flood, as a fraction of all.
const USUAL_LOAD: f64 = 0.8;
/// Traffic of the flooding workspace, as a multiple of its usual one.
const FLOOD_FACTOR: f64 = 8.0;
/// Most by which the flood may lower the fraction of other workspaces' requests that meet the objective.
const MAX_HARM: f64 = 0.02;
/// Interval between two messages of a gateway, and the time that one takes.
const SEND_INTERVAL_MS: u64 = 20;
const DELAY_MS: u64 = 5;
const LOST_ONE_IN: u32 = 100;

/// What is wrong with the news that gateways send.
#[derive(Debug, Clone, Copy, PartialEq)]
enum News {
    Correct,
    /// Older than usual, and each figure too large or too small by up to this factor.
    Wrong {
        late_ms: u64,
        factor: f64,
    },
    /// One gateway reports the largest possible numbers, for these workspaces.
    Absurd {
        workspaces: usize,
    },
    /// Gateways send none.
    Missing,
}

/// Additional traffic.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Flood {
    None,
    /// A workspace sends more than usual.
    Workspace(usize),
    /// Many callers with keys of their own send together this fraction of what all slots can serve.
    Callers {
        count: usize,
        part: f64,
    },
}

#[derive(Debug, Clone, Copy)]
struct Setup {
    flood: Flood,
    news: News,
    /// Whether all callers are known by their addresses only.
    by_address: bool,
}

const CALM: Setup = Setup { flood: Flood::None, news: News::Correct, by_address: false };

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    Introduction,
    Warmup,
    Calm,
    Flood,
    Over,
}

struct Caller {
    /// Number of its workspace; [`WORKSPACES`] and above are callers of a flood.
    workspace: usize,
    gateway: usize,
    arrived_ms: u64,
    deadline_ms: u64,
    /// When it came first.
    phase: Phase,
    is_retry: bool,
}

#[derive(Default)]
struct Engine {
    running: Vec<(RequestId, u64)>,
    queue: VecDeque<RequestId>,
}

/// Requests of one workspace, without retries.
#[derive(Debug, Default, Clone, Copy)]
struct Served {
    sent: u32,
    in_objective: u32,
    /// Slot time.
    run_ms: u64,
}

impl Served {
    fn part(self) -> f64 {
        f64::from(self.in_objective) / f64::from(self.sent.max(1))
    }
}

struct Cell {
    setup: Setup,
    now_ms: u64,
    rng: SmallRng,
    gateways: Vec<(Placement, u64)>,
    engines: HashMap<Name, Engine>,
    callers: HashMap<RequestId, Caller>,
    at: HashMap<RequestId, Name>,
    retries: Vec<(u64, Caller)>,
    messages: VecDeque<(u64, usize, Input)>,
    news: VecDeque<(u64, usize, Input)>,
    next_request: u64,
    weights: Vec<f64>,
    served: HashMap<(Phase, usize), Served>,
}

/// Part of the traffic that each workspace sends: a few are large and most are small.
fn weights() -> Vec<f64> {
    let raw: Vec<f64> = (1..=WORKSPACES).map(|rank| 1.0 / rank as f64).collect();
    let sum: f64 = raw.iter().sum();
    raw.into_iter().map(|it| it / sum).collect()
}

fn key(setup: Setup, workspace: usize) -> u64 {
    match setup.by_address || workspace >= WORKSPACES {
        true => address_key([10, (workspace >> 8) as u8, workspace as u8, 1].into()),
        false => workspace_key(&format!("workspace-{workspace}")),
    }
}

impl Cell {
    fn new(seed: u64, setup: Setup) -> Cell {
        let place = || location("brisbane", "north");
        let names: Vec<Name> = (0..TARGETS).map(|it| format!("t-{it}").into()).collect();
        let entries: Vec<_> = names.iter().map(|it| entry(it, place())).collect();
        let gateways = (0..GATEWAYS).map(|number| {
            let name = format!("gateway-{number:02}").into();
            let mut placement = Placement::new(name, place(), seed + number as u64);
            placement = placement.with_overload(OverloadPolicy::new(Activation::Always));
            placement.handle(0, Input::Targets(entries.clone()), &mut Vec::new());
            (placement, 0)
        });
        Cell {
            setup,
            now_ms: START_MS,
            rng: SmallRng::seed_from_u64(seed),
            gateways: gateways.collect(),
            engines: names.into_iter().map(|it| (it, Engine::default())).collect(),
            callers: HashMap::new(),
            at: HashMap::new(),
            retries: Vec::new(),
            messages: VecDeque::new(),
            news: VecDeque::new(),
            next_request: 1,
            weights: weights(),
            served: HashMap::new(),
        }
    }

    /// Runs the simulation and returns what each workspace got in each phase.
    fn run(mut self) -> HashMap<(Phase, usize), Served> {
        while self.phase() != Phase::Over {
            self.now_ms += STEP_MS;
            self.finish();
            self.deliver();
            self.arrive();
            self.send();
        }
        self.served
    }

    fn phase(&self) -> Phase {
        let introduction_ms = if self.setup.by_address { INTRODUCTION_MS } else { 0 };
        match self.now_ms.checked_sub(START_MS + introduction_ms) {
            None => Phase::Introduction,
            Some(0..WARMUP_MS) => Phase::Warmup,
            Some(it) if it < WARMUP_MS + PHASE_MS => Phase::Calm,
            Some(it) if it < WARMUP_MS + 2 * PHASE_MS => Phase::Flood,
            Some(_) => Phase::Over,
        }
    }

    fn arrive(&mut self) {
        let phase = self.phase();
        if phase == Phase::Introduction {
            self.introduce();
            return;
        }
        let with_flood = phase == Phase::Flood;
        let per_step = SLOTS_IN_CELL * STEP_MS as f64 / RUN_MS as f64;
        for workspace in 0..WORKSPACES {
            let factor = match self.setup.flood {
                Flood::Workspace(it) if it == workspace && with_flood => FLOOD_FACTOR,
                _ => 1.0,
            };
            self.add_new(per_step * USUAL_LOAD * self.weights[workspace] * factor, |_| workspace);
        }
        if let (Flood::Callers { count, part }, true) = (self.setup.flood, with_flood) {
            self.add_new(per_step * part, |rng| WORKSPACES + rng.random_range(0..count));
        }
        let now_ms = self.now_ms;
        let due: Vec<_> = self.retries.extract_if(.., |(at_ms, _)| *at_ms <= now_ms).collect();
        for (_, caller) in due {
            self.place(Caller { arrived_ms: now_ms, ..caller });
        }
    }

    /// Each caller sends a request to each gateway twice, half of the introduction apart.
    fn introduce(&mut self) {
        let pairs = (WORKSPACES * GATEWAYS) as u64;
        let at = |ms: u64| (ms % (INTRODUCTION_MS / 2)) * pairs / (INTRODUCTION_MS / 2);
        let since_ms = self.now_ms - START_MS;
        let (first, last) = (at(since_ms - STEP_MS), at(since_ms));
        for pair in first..last {
            let (workspace, gateway) = (pair as usize / GATEWAYS, pair as usize % GATEWAYS);
            self.place_new(workspace, gateway, Phase::Introduction);
        }
    }

    fn add_new(&mut self, mean: f64, workspace: impl Fn(&mut SmallRng) -> usize) {
        let count = mean.floor() as usize + usize::from(self.rng.random_bool(mean.fract()));
        for _ in 0..count {
            let workspace = workspace(&mut self.rng);
            let gateway = self.rng.random_range(0..GATEWAYS);
            let phase = self.phase();
            self.served.entry((phase, workspace)).or_default().sent += 1;
            self.place_new(workspace, gateway, phase);
        }
    }

    fn place_new(&mut self, workspace: usize, gateway: usize, phase: Phase) {
        let (arrived_ms, deadline_ms) = (self.now_ms, self.now_ms + DEADLINE_MS);
        self.place(Caller { workspace, gateway, arrived_ms, deadline_ms, phase, is_retry: false });
    }

    fn place(&mut self, caller: Caller) {
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let spec = RequestSpec {
            request,
            class: Class::Online,
            service: "reader".into(),
            priority: 0,
            affinity: 0,
            tried_targets: SmallVec::new(),
            deadline_ms: self.now_ms + OBJECTIVE_MS / 5,
            prior_run_ms: 0,
            resumes: None,
            terms: CallerTerms {
                share_key: key(self.setup, caller.workspace),
                arrived_ms: self.now_ms,
                objective_ms: OBJECTIVE_MS,
                deadline_ms: caller.deadline_ms,
                full_wait_ms: DEADLINE_MS,
                is_repeatable: true,
            },
        };
        let gateway = caller.gateway;
        self.callers.insert(request, caller);
        self.input(gateway, Input::Request(spec));
    }

    fn input(&mut self, gateway: usize, input: Input) {
        let mut out = Vec::new();
        self.gateways[gateway].0.handle(self.now_ms, input, &mut out);
        for action in out {
            match action {
                Action::Dispatch { request, target, .. } => {
                    self.engines.get_mut(&target).unwrap().queue.push_back(request);
                    self.at.insert(request, Name::clone(&target));
                    self.start(&target);
                }
                Action::Refuse { request, retry_after_ms, .. } => {
                    let caller = self.callers.remove(&request).unwrap();
                    if !caller.is_retry {
                        let gateway = self.rng.random_range(0..GATEWAYS);
                        let retry = Caller { gateway, is_retry: true, ..caller };
                        self.retries.push((self.now_ms + retry_after_ms, retry));
                    }
                }
                Action::Preempt { .. } => unreachable!("there are no items"),
            }
        }
    }

    /// Starts what waits at a target, as far as it has free slots.
    fn start(&mut self, target: &Name) {
        let phase = self.phase();
        let engine = self.engines.get_mut(target).unwrap();
        while engine.running.len() < SLOTS as usize
            && let Some(request) = engine.queue.pop_front()
        {
            let run_ms = self.rng.random_range(RUN_MS / 2..=RUN_MS * 3 / 2);
            engine.running.push((request, self.now_ms + run_ms));
            let caller = &self.callers[&request];
            let served = self.served.entry((phase, caller.workspace)).or_default();
            served.run_ms += run_ms;
            let served = self.served.entry((caller.phase, caller.workspace)).or_default();
            let first_event_ms = self.now_ms + FIRST_EVENT_MS;
            let in_time = first_event_ms <= caller.arrived_ms + OBJECTIVE_MS;
            served.in_objective += u32::from(in_time && !caller.is_retry);
        }
    }

    fn finish(&mut self) {
        for number in 0..TARGETS {
            let target = Name::from(format!("t-{number}"));
            let now_ms = self.now_ms;
            let engine = self.engines.get_mut(&target).unwrap();
            let ended = engine.running.extract_if(.., |(_, until_ms)| *until_ms <= now_ms);
            let ended: Vec<_> = ended.collect();
            self.start(&target);
            for (request, _) in ended {
                let gateway = self.callers.remove(&request).unwrap().gateway;
                self.input(gateway, Input::Ended { request, end: AttemptEnd::Answered });
            }
        }
    }

    fn deliver(&mut self) {
        while self.messages.front().is_some_and(|it| it.0 <= self.now_ms) {
            let (_, to, input) = self.messages.pop_front().unwrap();
            self.input(to, input);
        }
        while self.news.front().is_some_and(|it| it.0 <= self.now_ms) {
            let (_, to, input) = self.news.pop_front().unwrap();
            self.input(to, input);
        }
        for gateway in 0..GATEWAYS {
            if self.gateways[gateway].0.waiting().0 > 0 {
                self.input(gateway, Input::Tick);
            }
        }
    }

    fn send(&mut self) {
        for gateway in 0..GATEWAYS {
            let (placement, sent_ms) = &mut self.gateways[gateway];
            if self.now_ms < *sent_ms + SEND_INTERVAL_MS {
                continue;
            }
            let Some(state) = placement.take_changed_state() else { continue };
            *sent_ms = self.now_ms;
            let news = placement.news(self.now_ms);
            let late_ms =
                if let News::Wrong { late_ms, .. } = self.setup.news { late_ms } else { 0 };
            let news = self.falsify(gateway, news);
            for to in (0..GATEWAYS).filter(|it| *it != gateway) {
                if self.rng.random_ratio(1, LOST_ONE_IN) {
                    continue;
                }
                let peer = Name::from(format!("gateway-{gateway:02}"));
                let due_ms = self.now_ms + DELAY_MS;
                let input = self.peer_input(&peer, &state);
                self.messages.push_back((due_ms, to, input));
                if self.setup.news != News::Missing {
                    let input = Input::PeerNews { peer, news: news.clone() };
                    self.news.push_back((due_ms + late_ms, to, input));
                }
            }
        }
    }

    fn peer_input(&self, peer: &Name, state: &GatewayState) -> Input {
        Input::Peer { peer: Name::clone(peer), state: state.clone() }
    }

    fn falsify(&mut self, gateway: usize, mut news: OverloadNews) -> OverloadNews {
        match self.setup.news {
            News::Wrong { factor, .. } => {
                for usage in &mut news.usage {
                    let mut wrong = |it: u32| {
                        (f64::from(it) * factor.powf(self.rng.random_range(-1.0..=1.0))) as u32
                    };
                    (usage.running, usage.rejected) = (wrong(usage.running), wrong(usage.rejected));
                }
            }
            News::Absurd { workspaces } if gateway == 0 => {
                let max = u32::from(u16::MAX);
                let usage = (0..workspaces).map(|it| WorkspaceUsage {
                    workspace: key(self.setup, it),
                    running: max,
                    rejected: max,
                });
                news.usage = usage.collect();
            }
            News::Correct | News::Absurd { .. } | News::Missing => {}
        }
        news
    }
}

/// Slots of all targets.
const SLOTS_IN_CELL: f64 = (TARGETS * SLOTS as usize) as f64;

fn total(
    served: &HashMap<(Phase, usize), Served>,
    phase: Phase,
    of: impl Fn(usize) -> bool,
) -> Served {
    let of_phase = served.iter().filter(|((it, workspace), _)| *it == phase && of(*workspace));
    of_phase.fold(Served::default(), |sum, (_, it)| Served {
        sent: sum.sent + it.sent,
        in_objective: sum.in_objective + it.in_objective,
        run_ms: sum.run_ms + it.run_ms,
    })
}

/// Sums of several simulations.
fn simulate(setup: Setup) -> HashMap<(Phase, usize), Served> {
    let mut sums: HashMap<(Phase, usize), Served> = HashMap::new();
    for (key, served) in SEEDS.into_iter().flat_map(|seed| Cell::new(seed, setup).run()) {
        let sum = sums.entry(key).or_default();
        sum.sent += served.sent;
        sum.in_objective += served.in_objective;
        sum.run_ms += served.run_ms;
    }
    sums
}

/// Checks that each group of workspaces gets as much with the flood as without it. `checked` are the workspaces that want
/// less than their share at all times; others are only reported.
fn check(setup: Setup, checked: Range<usize>) {
    let served = simulate(setup);
    let is_flooding = |it: usize| match setup.flood {
        Flood::Workspace(flooding) => it == flooding,
        _ => it >= WORKSPACES,
    };
    let of_flood = total(&served, Phase::Flood, is_flooding);
    let slots = of_flood.run_ms as f64 / PHASE_MS as f64 / SEEDS.len() as f64;
    println!("{setup:?}: flood {of_flood:?}, {slots:.1} slots");
    let mut worst: f64 = 0.0;
    for group in [0..1, 1..8, 8..32, 32..WORKSPACES] {
        let part =
            |phase| total(&served, phase, |it| group.contains(&it) && !is_flooding(it)).part();
        let (before, after) = (part(Phase::Calm), part(Phase::Flood));
        println!("  workspaces {group:?}: {before:.4} without the flood, {after:.4} with it");
        if checked.contains(&group.start) && !(group.len() == 1 && is_flooding(group.start)) {
            worst = worst.max(before - after);
        }
    }
    assert!(worst <= MAX_HARM, "in the objective, lowered by the flood: {worst:.3}");
}

macro_rules! flood_tests {
    ($($(#[$attribute:meta])* $name:ident: $setup:expr, $checked:expr;)*) => {
        $(
            $(#[$attribute])*
            #[test]
            fn $name() {
                check($setup, $checked);
            }
        )*
    };
}

/// The largest workspace sends eight times its usual traffic.
const LARGEST_FLOODS: Setup = Setup { flood: Flood::Workspace(0), ..CALM };
/// Fabricated callers send one and a half times what all slots can serve.
const CALLERS_FLOOD: Setup = Setup { flood: Flood::Callers { count: 1_000, part: 1.5 }, ..CALM };
const OLD_AND_WRONG: News = News::Wrong { late_ms: 1_000, factor: 3.0 };

flood_tests! {
    // All other workspaces wait behind the requests of the largest one.
    a_flood_from_the_largest_workspace_harms_no_other: LARGEST_FLOODS, 0..WORKSPACES;
    // As above. The largest workspace needs 25 slots and its share is 31; at times it wants more than its share.
    a_flood_from_a_medium_workspace_harms_no_other:
        Setup { flood: Flood::Workspace(3), ..CALM }, 1..WORKSPACES;
    // Workspaces are limited because of figures that are no longer or never were right.
    a_flood_harms_no_other_if_figures_are_old_and_wrong:
        Setup { news: OLD_AND_WRONG, ..LARGEST_FLOODS }, 0..WORKSPACES;
    // The figures of one gateway decide for all others that some workspaces are far above their shares.
    a_flood_harms_no_other_if_a_peer_reports_absurd_numbers:
        Setup { news: News::Absurd { workspaces: 16 }, ..LARGEST_FLOODS }, 0..WORKSPACES;
    // A gateway that hears of no other limits no workspace, or limits all. What it has of the larger ones varies too much
    // for their shares: large ones lost 0.04, medium ones 0.02.
    a_flood_harms_no_small_workspace_if_no_news_arrive:
        Setup { news: News::Missing, ..LARGEST_FLOODS }, 32..WORKSPACES;
    // Each of a thousand made-up callers gets a share, and together they take the capacity of all others.
    a_flood_from_a_thousand_addresses_harms_no_workspace: CALLERS_FLOOD, 0..WORKSPACES;
    a_flood_from_a_thousand_addresses_harms_no_known_address:
        Setup { by_address: true, ..CALLERS_FLOOD }, 0..WORKSPACES;
}

/// Gateway with overload control whose only target is full.
fn full_gateway() -> (Fixture, Vec<RequestId>) {
    let mut fixture = Fixture::with_targets(1);
    let policy = OverloadPolicy::new(Activation::Always);
    let former = std::mem::replace(
        &mut fixture.placement,
        Placement::new("g".into(), location("brisbane", "north"), 1),
    );
    fixture.placement = former.with_overload(policy);
    let at_target = (0..SLOTS).map(|_| fixture.request(Class::Online).0).collect();
    (fixture, at_target)
}

fn spec(number: u64, workspace: &str, deadline_ms: u64) -> RequestSpec {
    RequestSpec {
        request: RequestId(number),
        class: Class::Online,
        service: "reader".into(),
        priority: 0,
        affinity: 0,
        tried_targets: SmallVec::new(),
        deadline_ms: 100_000,
        prior_run_ms: 0,
        resumes: None,
        terms: CallerTerms {
            share_key: workspace_key(workspace),
            deadline_ms,
            ..CallerTerms::default()
        },
    }
}

/// Order in which waiting requests are dispatched when those at the target end one after another.
fn served_order(mut fixture: Fixture, at_target: Vec<RequestId>) -> Vec<u64> {
    let mut order = Vec::new();
    for request in at_target {
        for action in fixture.end(request, AttemptEnd::Answered) {
            if let Action::Dispatch { request, .. } = action {
                order.push(request.0);
            }
        }
    }
    order
}

// In order of arrival, a request of a small workspace waits behind all requests of a flood that came before it.
#[test]
fn waiting_requests_of_workspaces_alternate() {
    let (mut fixture, at_target) = full_gateway();
    for (number, workspace) in [(101, "a"), (102, "a"), (103, "a"), (104, "b"), (105, "b")] {
        assert!(fixture.input(Input::Request(spec(number, workspace, 9_000))).is_empty());
    }
    assert_eq!(served_order(fixture, at_target), [101, 104, 102, 105, 103]);
}

// A retrying caller has less time left; behind new callers of its workspace it is rejected a second time.
#[test]
fn of_one_workspace_the_caller_with_the_least_time_left_is_served_first() {
    let (mut fixture, at_target) = full_gateway();
    for (number, deadline_ms) in [(101, 9_000), (102, 8_000), (103, 6_000)] {
        fixture.input(Input::Request(spec(number, "a", deadline_ms)));
    }
    assert_eq!(served_order(fixture, at_target), [103, 102, 101]);
}

// A workspace that misstates its deadlines goes before all others.
#[test]
fn an_early_deadline_does_not_precede_other_workspaces() {
    let (mut fixture, at_target) = full_gateway();
    for (number, workspace, deadline_ms) in
        [(101, "a", 1), (102, "a", 1), (103, "a", 1), (104, "b", 9_000)]
    {
        fixture.input(Input::Request(spec(number, workspace, deadline_ms)));
    }
    assert_eq!(served_order(fixture, at_target), [101, 104, 102, 103]);
}

#[test]
fn a_higher_priority_precedes_fairness() {
    let (mut fixture, at_target) = full_gateway();
    fixture.input(Input::Request(RequestSpec { priority: 1, ..spec(101, "a", 1) }));
    for number in [102, 103] {
        fixture.input(Input::Request(spec(number, "b", 9_000)));
    }
    assert_eq!(served_order(fixture, at_target), [102, 103, 101]);
}

// A workspace that was idle while others were served gets all slots until it has caught up.
#[test]
fn idle_time_gives_no_credit() {
    let (mut fixture, mut at_target) = full_gateway();
    for number in 101..=108 {
        fixture.input(Input::Request(spec(number, "a", 9_000)));
    }
    for request in at_target.drain(..6) {
        fixture.end(request, AttemptEnd::Answered);
    }
    for number in 201..=204 {
        fixture.input(Input::Request(spec(number, "b", 9_000)));
    }
    let at_target = at_target.into_iter().chain((101..=104).map(RequestId)).collect();
    let order = served_order(fixture, at_target);
    let first_of_a = order.iter().position(|it| *it < 200);
    assert!(first_of_a.is_some_and(|it| it <= 2), "{order:?}");
}

// The queue is full of requests of a flood. The new request of a small workspace is rejected, because it came last.
#[test]
fn a_full_queue_rejects_the_last_request_of_the_workspace_with_most() {
    let (mut fixture, _) = full_gateway();
    let mut number = 100;
    let rejected = loop {
        number += 1;
        let actions = fixture.input(Input::Request(spec(number, "flood", 9_000)));
        if let [Action::Refuse { request, .. }] = actions[..] {
            break request;
        }
    };
    assert_eq!(rejected, RequestId(number), "its own last request");
    let actions = fixture.input(Input::Request(spec(500, "small", 9_000)));
    assert!(
        matches!(actions[..], [Action::Refuse { request, .. }] if request == RequestId(number - 1)),
        "{actions:?}"
    );
}
