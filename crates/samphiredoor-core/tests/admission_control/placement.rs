//! Admission in the placement of one gateway.

use samphiredoor_core::{
    dispatch::{Class, Location, RequestId},
    overload::{OverloadNews, OwedItems, admission::RejectReason},
    placement::{
        Action, AttemptEnd, GatewayLoad, GatewayState, Input, Placement, RequestSpec,
        ServicePrediction, TargetEntry, TargetState, name_hash,
    },
    verdict::Refusal,
};

use crate::{FULL_WAIT_MS, policy, service, spec};

const SLOTS: u32 = 8;
const START_MS: u64 = 100_000;

fn location(zone: &str) -> Location {
    Location { region: "brisbane".into(), availability_zone: zone.into() }
}

fn target(name: &str, zone: &str) -> TargetEntry {
    TargetEntry {
        name: name.into(),
        service: service(),
        address: ([127, 0, 0, 1], 80).into(),
        location: location(zone),
        slots: SLOTS,
        state: TargetState::Ready,
        software_version: "v1".into(),
        started_unix_ms: 1,
    }
}

struct Fixture {
    placement: Placement,
    now_ms: u64,
    requests: u64,
}

impl Fixture {
    /// A gateway whose cell has the first target.
    fn new(targets: Vec<TargetEntry>) -> Fixture {
        let placement = Placement::new("gateway-m".into(), location("north"), 1);
        let mut fixture =
            Fixture { placement: placement.with_overload(policy()), now_ms: START_MS, requests: 0 };
        let own = [name_hash(&targets[0].name)].into_iter().collect();
        fixture.input(Input::Targets(targets));
        fixture.input(Input::CellTargets(own));
        fixture
    }

    fn input(&mut self, input: Input) -> Vec<Action> {
        let mut out = Vec::new();
        self.placement.handle(self.now_ms, input, &mut out);
        out
    }

    fn request(&mut self, wait_ms: u64) -> (RequestId, Vec<Action>) {
        self.requests += 1;
        let spec = spec(self.requests, self.now_ms, wait_ms);
        (spec.request, self.input(Input::Request(spec)))
    }

    /// Fills all slots of the first target, after a request has completed there.
    fn fill(&mut self) -> Vec<RequestId> {
        let (request, _) = self.request(FULL_WAIT_MS);
        self.now_ms += 40;
        self.input(Input::FirstEvent { request });
        self.now_ms += 560;
        self.input(Input::Ended { request, end: AttemptEnd::Answered });
        (0..SLOTS).map(|_| self.request(FULL_WAIT_MS).0).collect()
    }

    /// What operators see of the only service.
    fn prediction(&self) -> ServicePrediction {
        let [prediction] = &self.placement.predictions(self.now_ms)[..] else {
            panic!("one service has predictions")
        };
        prediction.clone()
    }

    /// Runs an item to its end.
    fn run_item(&mut self, run_ms: u64) {
        self.requests += 1;
        let deadline_ms = self.now_ms + 60_000;
        let spec = spec(self.requests, self.now_ms, FULL_WAIT_MS);
        let spec = RequestSpec { class: Class::Batch, deadline_ms, ..spec };
        let request = spec.request;
        self.input(Input::Request(spec));
        self.now_ms += run_ms;
        self.input(Input::Ended { request, end: AttemptEnd::Answered });
    }

    /// Delivers the load of a peer at a target.
    fn peer(&mut self, name: &str, target: &str, online: u32) {
        let load = GatewayLoad { target: name_hash(target), online, batch: 0 };
        let state = GatewayState { loads: vec![load], waiting: Vec::new() };
        self.input(Input::Peer { peer: name.into(), state });
    }
}

fn refusal(actions: &[Action], request: RequestId) -> Option<u64> {
    actions.iter().find_map(|it| match it {
        Action::Refuse { request: it, reason: Refusal::Overloaded, retry_after_ms } => {
            (*it == request).then_some(*retry_after_ms)
        }
        _ => None,
    })
}

fn dispatched(actions: &[Action]) -> Vec<RequestId> {
    let request = |it: &Action| match it {
        Action::Dispatch { request, .. } => Some(*request),
        _ => None,
    };
    actions.iter().filter_map(request).collect()
}

// A rejection is certain for the second request that waits, and its caller needs the time to retry.
#[test]
fn a_request_beyond_the_queue_is_rejected_on_arrival_with_its_inputs() {
    let mut fixture = Fixture::new(vec![target("t-0", "north")]);
    fixture.fill();
    let (first, actions) = fixture.request(FULL_WAIT_MS);
    assert_eq!(refusal(&actions, first), None);
    let (second, actions) = fixture.request(FULL_WAIT_MS);
    let retry_after_ms = refusal(&actions, second).expect("rejected on arrival");
    assert!((120..=1_650).contains(&retry_after_ms), "{retry_after_ms}");
    let rejections = fixture.placement.take_rejections();
    assert_eq!(rejections.len(), 1);
    assert_eq!(rejections[0].0, second);
    assert_eq!(rejections[0].1.reason, RejectReason::QueueFull);
    assert_eq!(rejections[0].1.inputs.used_percent, 100);
    assert_eq!(rejections[0].1.inputs.capacity_age_ms, Some(0));
    assert!(fixture.placement.take_rejections().is_empty());
}

// The answer to a retry is late in any case. If it took the slot, the new request would become late as well.
#[test]
fn a_new_request_precedes_a_retry_that_goes_on_waiting() {
    let mut fixture = Fixture::new(vec![target("t-0", "north")]);
    let running = fixture.fill();
    let (retry, actions) = fixture.request(FULL_WAIT_MS - 500);
    assert_eq!(refusal(&actions, retry), None);
    let (new, actions) = fixture.request(FULL_WAIT_MS);
    assert_eq!(actions, [], "neither is rejected");
    let end = |number: usize| Input::Ended { request: running[number], end: AttemptEnd::Answered };
    fixture.now_ms += 10;
    let actions = fixture.input(end(0));
    assert_eq!(dispatched(&actions), [new]);
    // Slots are kept for further new requests for a moment.
    let actions = fixture.input(end(1));
    assert_eq!(dispatched(&actions), []);
    fixture.now_ms += 500;
    let actions = fixture.input(Input::Tick);
    assert_eq!(dispatched(&actions), [retry]);
}

// Half of the slots are free at a target that seems full because it has just refused a request.
#[test]
fn no_request_is_rejected_while_half_of_the_slots_are_free() {
    let mut fixture = Fixture::new(vec![target("t-0", "north"), target("t-1", "south")]);
    let (request, _) = fixture.request(FULL_WAIT_MS);
    fixture.input(Input::Ended { request, end: AttemptEnd::Refused });
    for _ in 0..2 * SLOTS {
        let (request, actions) = fixture.request(FULL_WAIT_MS);
        assert_eq!(refusal(&actions, request), None);
    }
}

// The load of another cell is old. All cells would send their overflow to a target that seems to have a last slot.
#[test]
fn a_target_of_another_cell_needs_spare_slots() {
    let mut fixture = Fixture::new(vec![target("t-0", "north"), target("t-1", "south")]);
    fixture.peer("gateway-z", "t-1", SLOTS - 4);
    fixture.fill();
    let (request, actions) = fixture.request(FULL_WAIT_MS);
    assert_eq!(dispatched(&actions), [request], "four slots seem free");
    let (_, actions) = fixture.request(FULL_WAIT_MS);
    assert_eq!(dispatched(&actions), [], "three slots seem free");
}

// A request that was admitted must end at some time, even if no slot ever becomes free.
#[test]
fn no_request_waits_beyond_its_time() {
    let mut fixture = Fixture::new(vec![target("t-0", "north")]);
    fixture.fill();
    let (new, _) = fixture.request(FULL_WAIT_MS);
    fixture.now_ms += 75;
    let actions = fixture.input(Input::Tick);
    assert!(refusal(&actions, new).is_some());
    assert_eq!(fixture.placement.waiting(), (0, 0));
}

// An operator sees a wait although slots are free, or none while requests are rejected for their predicted wait.
#[test]
fn the_predicted_wait_follows_the_queue_and_the_completion_rate() {
    let mut fixture = Fixture::new(vec![target("t-0", "north")]);
    let idle = fixture.prediction();
    assert_eq!((idle.wait_ms, idle.completions_per_s), (Some(0.0), None));
    fixture.fill();
    for waiting in 0..2 {
        let ServicePrediction { wait_ms, completions_per_s, .. } = fixture.prediction();
        // Eight slots and runs of 600 ms.
        assert!((completions_per_s.unwrap() - 13.3).abs() < 0.1, "{completions_per_s:?}");
        let expected_ms = 75.0 * f64::from(waiting + 1);
        assert!((wait_ms.unwrap() - expected_ms).abs() < 0.1, "{waiting}: {wait_ms:?}");
        fixture.request(FULL_WAIT_MS);
    }
}

// The work that peers owe is left out, or its time is shown although no item has been measured.
#[test]
fn the_owed_time_covers_the_items_of_peers() {
    let mut fixture = Fixture::new(vec![target("t-0", "north")]);
    assert_eq!(fixture.prediction().owed_done_ms, Some(0), "nothing is owed");
    let owed = vec![OwedItems { service: name_hash("reader"), due_in_ms: 9_000, items: 12 }];
    let news = || OverloadNews { owed: owed.clone(), ..OverloadNews::default() };
    fixture.input(Input::PeerNews { peer: "gateway-a".into(), news: news() });
    let ServicePrediction { owed_items, owed_ms, owed_done_ms, .. } = fixture.prediction();
    assert_eq!((owed_items, owed_ms, owed_done_ms), (12, None, None), "no item was measured");
    for _ in 0..3 {
        fixture.run_item(2_000);
    }
    fixture.input(Input::PeerNews { peer: "gateway-a".into(), news: news() });
    let ServicePrediction { owed_items, owed_ms, owed_done_ms, .. } = fixture.prediction();
    assert_eq!((owed_items, owed_ms), (12, Some(24_000)));
    // One slot of eight is left to online requests.
    assert_eq!(owed_done_ms, Some(24_000 / 7));
}

// Gauges of a service for which overload control is off would show what no decision is based on.
#[test]
fn there_are_no_predictions_without_overload_control() {
    let mut placement = Placement::new("gateway-m".into(), location("north"), 1);
    placement.handle(START_MS, Input::Targets(vec![target("t-0", "north")]), &mut Vec::new());
    assert_eq!(placement.predictions(START_MS), []);
}
