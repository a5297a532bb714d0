//! A placement under a virtual clock, and shorthands for its input events.

use samphiredoor_core::{
    Name,
    dispatch::{Class, Location, RequestId},
    placement::{
        Action, AttemptEnd, CallerTerms, GatewayLoad, GatewayState, Input, Placement, ReportedLoad,
        RequestSpec, Resumption, SilenceReport, SilentAttempt, SlotUse, TargetEntry, TargetState,
        WaitingItems, name_hash,
    },
};
use smallvec::SmallVec;

pub const SLOTS: u32 = 8;
const SEED: u64 = 11;

/// A placement under a virtual clock.
pub struct Fixture {
    pub placement: Placement,
    pub now_ms: u64,
    next_request: u64,
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
        software_version: "v1".into(),
        started_unix_ms: 1,
    }
}

impl Fixture {
    /// Creates gateway `gateway-m` in `north`, with the given targets.
    pub fn new(entries: Vec<TargetEntry>) -> Fixture {
        let placement = Placement::new("gateway-m".into(), location("brisbane", "north"), SEED);
        let mut fixture = Fixture { placement, now_ms: 1_000, next_request: 1 };
        fixture.input(Input::Targets(entries));
        fixture
    }

    /// Creates a gateway with `count` targets in its own zone, named `t-0` and so on.
    pub fn with_targets(count: usize) -> Fixture {
        let entries = (0..count).map(|it| entry(&format!("t-{it}"), location("brisbane", "north")));
        Fixture::new(entries.collect())
    }

    pub fn input(&mut self, input: Input) -> Vec<Action> {
        let mut out = Vec::new();
        self.placement.handle(self.now_ms, input, &mut out);
        out
    }

    /// Advances the clock and sends a tick.
    pub fn wait(&mut self, ms: u64) -> Vec<Action> {
        self.now_ms += ms;
        self.input(Input::Tick)
    }

    pub fn request(&mut self, class: Class) -> (RequestId, Vec<Action>) {
        self.request_with_tried(class, &[])
    }

    /// Adds a request that was already tried on these targets.
    pub fn request_with_tried(&mut self, class: Class, tried: &[&str]) -> (RequestId, Vec<Action>) {
        let mut spec = self.new_spec(class, self.now_ms + 60);
        spec.tried_targets =
            tried.iter().map(|it| Name::from(*it)).collect::<SmallVec<[Name; 2]>>();
        (spec.request, self.input(Input::Request(spec)))
    }

    /// Adds an item with this time until it is due and this time of earlier runs.
    pub fn request_item(&mut self, due_in_ms: u64, prior_run_ms: u64) -> (RequestId, Vec<Action>) {
        let spec =
            RequestSpec { prior_run_ms, ..self.new_spec(Class::Batch, self.now_ms + due_in_ms) };
        (spec.request, self.input(Input::Request(spec)))
    }

    /// Adds a request that goes on with a stream.
    pub fn request_that_goes_on(
        &mut self,
        class: Class,
        resumes: Resumption,
    ) -> (RequestId, Vec<Action>) {
        let spec = self.new_spec(class, self.now_ms + 60);
        let spec = RequestSpec { resumes: Some(resumes), ..spec };
        (spec.request, self.input(Input::Request(spec)))
    }

    pub fn new_spec(&mut self, class: Class, deadline_ms: u64) -> RequestSpec {
        let request = RequestId(self.next_request);
        self.next_request += 1;
        RequestSpec {
            request,
            class,
            service: "reader".into(),
            priority: 0,
            affinity: 0,
            tried_targets: SmallVec::new(),
            deadline_ms,
            prior_run_ms: 0,
            resumes: None,
            terms: CallerTerms::default(),
        }
    }

    pub fn end(&mut self, request: RequestId, end: AttemptEnd) -> Vec<Action> {
        self.input(Input::Ended { request, end })
    }

    /// Reports that the target of a request is silent; returns the id under which it would go on elsewhere.
    pub fn silence(
        &mut self,
        request: RequestId,
        class: Class,
        tried: &[&str],
        slot_use: SlotUse,
    ) -> (RequestId, SilenceReport, Vec<Action>) {
        let mut next = self.new_spec(class, self.now_ms + 60);
        next.tried_targets = tried.iter().map(|it| Name::from(*it)).collect();
        self.silence_of(SilentAttempt { request, next, slot_use })
    }

    pub fn silence_of(
        &mut self,
        attempt: SilentAttempt,
    ) -> (RequestId, SilenceReport, Vec<Action>) {
        let mut out = Vec::new();
        let report = self.placement.handle_silence(self.now_ms, &attempt, &mut out);
        (attempt.next.request, report, out)
    }

    /// Delivers the loads of a peer: target, online requests, items.
    pub fn peer(&mut self, peer: &str, loads: &[(&str, u32, u32)]) -> Vec<Action> {
        let load = |&(target, online, batch): &(&str, u32, u32)| GatewayLoad {
            target: name_hash(target),
            online,
            batch,
        };
        let state = GatewayState { loads: loads.iter().map(load).collect(), waiting: Vec::new() };
        self.input(Input::Peer { peer: peer.into(), state })
    }

    /// Delivers a peer's number of waiting items.
    pub fn peer_waiting(&mut self, peer: &str, items: u32) -> Vec<Action> {
        let waiting = vec![WaitingItems { service: name_hash("reader"), items }];
        let state = GatewayState { loads: Vec::new(), waiting };
        self.input(Input::Peer { peer: peer.into(), state })
    }

    pub fn report(&mut self, target: &str, running: u32, waiting: u32) -> Vec<Action> {
        let load = ReportedLoad { running, waiting, slots: SLOTS, work_percent: None };
        self.input(Input::LoadReport { target: target.into(), load })
    }
}

/// Target that a request was dispatched to, if it was.
pub fn sent_to(request: RequestId, actions: &[Action]) -> Option<String> {
    actions.iter().find_map(|action| match action {
        Action::Dispatch { request: it, target, .. } if *it == request => Some(target.to_string()),
        _ => None,
    })
}
