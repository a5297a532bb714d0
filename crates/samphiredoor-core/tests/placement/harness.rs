//! A placement with its targets, and short names for its events.

use samphiredoor_core::{
    Name,
    dispatch::{Class, Location, RequestId},
    placement::{
        Action, AttemptEnd, GatewayLoad, GatewayState, Input, Placement, ReportedLoad, RequestSpec,
        TargetEntry, TargetState, WaitingItems, name_hash,
    },
};
use smallvec::SmallVec;

pub const SLOTS: u32 = 8;
const SEED: u64 = 11;

/// A placement under a clock of its own.
pub struct World {
    pub placement: Placement,
    pub now_ms: u64,
    next: u64,
}

pub fn location(region: &str, zone: &str) -> Location {
    Location { region: region.into(), availability_zone: zone.into() }
}

pub fn entry(name: &str, location: Location) -> TargetEntry {
    TargetEntry {
        name: name.into(),
        service: "reader".into(),
        address: ([127, 0, 0, 1], 80).into(),
        location,
        slots: SLOTS,
        state: TargetState::Ready,
        started_unix_ms: 1,
    }
}

impl World {
    /// Door `door-m` in `north`, with the given targets.
    pub fn new(entries: Vec<TargetEntry>) -> World {
        let placement = Placement::new("door-m".into(), location("brisbane", "north"), SEED);
        let mut world = World { placement, now_ms: 1_000, next: 1 };
        world.input(Input::Targets(entries));
        world
    }

    /// Door with so many targets in its own zone, named `t-0` and so on.
    pub fn with_targets(count: usize) -> World {
        let entries = (0..count).map(|it| entry(&format!("t-{it}"), location("brisbane", "north")));
        World::new(entries.collect())
    }

    pub fn input(&mut self, input: Input) -> Vec<Action> {
        let mut out = Vec::new();
        self.placement.handle(self.now_ms, input, &mut out);
        out
    }

    pub fn wait(&mut self, ms: u64) -> Vec<Action> {
        self.now_ms += ms;
        self.input(Input::Tick)
    }

    pub fn ask(&mut self, class: Class) -> (RequestId, Vec<Action>) {
        self.ask_without(class, &[])
    }

    pub fn ask_without(&mut self, class: Class, tried: &[&str]) -> (RequestId, Vec<Action>) {
        let mut ask = self.new_ask(class, self.now_ms + 60);
        ask.tried_targets = tried.iter().map(|it| Name::from(*it)).collect::<SmallVec<[Name; 2]>>();
        (ask.request, self.input(Input::Request(ask)))
    }

    /// An item that is due in so long and has run for so long.
    pub fn ask_item(&mut self, due_in_ms: u64, ran_ms: u64) -> (RequestId, Vec<Action>) {
        let ask = RequestSpec {
            prior_run_ms: ran_ms,
            ..self.new_ask(Class::Batch, self.now_ms + due_in_ms)
        };
        (ask.request, self.input(Input::Request(ask)))
    }

    fn new_ask(&mut self, class: Class, until_ms: u64) -> RequestSpec {
        let request = RequestId(self.next);
        self.next += 1;
        RequestSpec {
            request,
            class,
            service: "reader".into(),
            priority: 0,
            affinity: 0,
            tried_targets: SmallVec::new(),
            deadline_ms: until_ms,
            prior_run_ms: 0,
        }
    }

    pub fn end(&mut self, request: RequestId, end: AttemptEnd) -> Vec<Action> {
        self.input(Input::Ended { request, end })
    }

    pub fn peer(&mut self, door: &str, loads: &[(&str, u32, u32)]) -> Vec<Action> {
        let load = |&(target, online, batch): &(&str, u32, u32)| GatewayLoad {
            target: name_hash(target),
            online,
            batch,
        };
        let state = GatewayState { loads: loads.iter().map(load).collect(), waiting: Vec::new() };
        self.input(Input::Peer { peer: door.into(), state })
    }

    /// Another door tells that so many items wait at it.
    pub fn peer_waits(&mut self, door: &str, items: u32) -> Vec<Action> {
        let waiting = vec![WaitingItems { service: name_hash("reader"), items }];
        let state = GatewayState { loads: Vec::new(), waiting };
        self.input(Input::Peer { peer: door.into(), state })
    }

    pub fn report(&mut self, target: &str, running: u32, waiting: u32) -> Vec<Action> {
        let load = ReportedLoad { running, waiting, slots: SLOTS };
        self.input(Input::LoadReport { target: target.into(), load })
    }
}

/// Target that a request was sent to, if it was.
pub fn sent_to(request: RequestId, actions: &[Action]) -> Option<String> {
    actions.iter().find_map(|action| match action {
        Action::Dispatch { request: it, target, .. } if *it == request => Some(target.to_string()),
        _ => None,
    })
}
