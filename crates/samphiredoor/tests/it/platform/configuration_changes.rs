//! Requests in progress, and callers' open connections, while the operators change the configuration.

use std::{
    thread,
    time::{Duration, Instant},
};

use samphiredoor_standin::{
    platform_target::PlatformTarget,
    soak::{Connection, Reply, Request},
};
use serde_json::{Value, json};

use super::env::{BINARY, Platform, route, whole_stream};
use crate::env::wait_until;

const FAST: Duration = Duration::from_millis(2);
/// Pause after each event of a stream that has to last longer than a configuration takes to become active.
const SLOW: Duration = Duration::from_millis(500);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Requests that a gateway sends to one target at once: eight for its slots, and two that wait there.
const SENT_AT_ONCE: usize = 10;

/// Ways in which a later configuration changes a route.
const CHANGES: [&str; 8] = [
    "removed",
    "moved",
    "split",
    "shorter-timeout",
    "longer-timeout",
    "fewer-attempts",
    "unsafe-kind",
    "batch-kind",
];

/// Route that a later configuration changes in one way. Its requests may wait for a slot for six seconds.
fn route_before(change: &str) -> Value {
    let mut route = route("stream", 3, true);
    route["name"] = json!(change);
    route["pathPrefix"] = json!(format!("/{change}/"));
    route["sloMs"] = json!(30_000);
    route
}

/// The route after its change; `None` if it was removed.
fn route_after(change: &str) -> Option<Value> {
    let mut route = route_before(change);
    match change {
        "removed" => return None,
        "moved" => route["service"] = json!("elsewhere"),
        "split" => {
            let split = |service: &str, weight| json!({ "service": service, "weight": weight });
            route["trafficSplit"] = json!([split("elsewhere", 99), split("reader", 1)]);
        }
        "shorter-timeout" => route["timeoutMs"] = json!(100),
        "longer-timeout" => route["timeoutMs"] = json!(60_000),
        "fewer-attempts" => route["attempts"] = json!(1),
        "unsafe-kind" => route["kind"] = json!("unsafe"),
        "batch-kind" => route["kind"] = json!("batch"),
        other => panic!("no such change: {other}"),
    }
    Some(route)
}

/// Configuration with one more route that never changes, `/stays/`.
fn config(version: u64, routes: impl Iterator<Item = Value>, limits: &Value) -> Value {
    let routes: Vec<Value> = routes.chain([route_before("stays")]).collect();
    json!({ "version": version, "routes": routes, "services": [], "limits": limits })
}

fn limits(header_ms: u64, idle_ms: u64) -> Value {
    json!({
        "maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304, "headerTimeoutMs": header_ms,
        "idleTimeoutMs": idle_ms,
    })
}

fn put_before(platform: &Platform) {
    let routes = CHANGES.iter().map(|it| route_before(it));
    platform.store.put("config", "main", config(2, routes, &limits(5_000, 15_000)));
}

/// Writes the changed routes, and waits until they are active.
fn put_after(platform: &Platform) {
    let routes = CHANGES.iter().filter_map(|it| route_after(it));
    platform.store.put("config", "main", config(3, routes, &limits(5_000, 15_000)));
    platform.wait_logged(0, "routes: activated version=3");
}

/// Starts a gateway with the routes before their changes, and one target.
fn start(pause: Duration) -> (Platform, PlatformTarget) {
    let mut platform = Platform::without_routes(BINARY);
    put_before(&platform);
    let target = platform.start_target("t-1", pause);
    platform.start_gateway();
    (platform, target)
}

fn connect(platform: &Platform) -> Connection {
    let mut opened = None;
    wait_until("the caller is connected", || {
        opened = Connection::open(platform.callers(0)).ok();
        opened.is_some()
    });
    opened.expect("a connection")
}

/// Sends a request, without reading its answer.
fn send(connection: &mut Connection, path: &str, id: &str) -> std::io::Result<()> {
    let headers = [("X-Request-Id", id)];
    let request =
        Request { method: "POST", path, headers: &headers, body: "body", timeout: ANSWER_TIMEOUT };
    connection.send(&request)
}

fn is_whole_stream(reply: &Reply) -> bool {
    reply.is_complete && reply.status == 200 && reply.body == whole_stream().into_bytes()
}

// The idle limit is raised and lowered again and again, and callers reuse connections by the raised one. Connections that had
// been accepted under the lower one were closed by that.
#[test]
fn a_connection_stays_open_while_the_idle_limit_is_raised_and_lowered() {
    let (low, high) = (limits(1_000, 2_000), limits(1_000, 20_000));
    let mut platform = Platform::without_routes(BINARY);
    let put = |platform: &Platform, version, limits: &Value| {
        let config = config(version, std::iter::empty(), limits);
        platform.store.put("config", "main", config);
        platform.wait_logged(0, &format!("routes: activated version={version} "));
    };
    platform.store.put("config", "main", config(1, std::iter::empty(), &low));
    platform.start_target("t-1", FAST);
    platform.start_gateway();
    // The limit is copied to the listener once a second.
    thread::sleep(Duration::from_millis(1_500));
    let mut caller = connect(&platform);
    send(&mut caller, "/stays/1", "id-1").expect("a new connection");
    assert!(is_whole_stream(&caller.receive(ANSWER_TIMEOUT).0));
    let idle_since = Instant::now();
    let mut version = 1;
    while idle_since.elapsed() < Duration::from_secs(8) {
        version += 1;
        put(&platform, version, if version % 2 == 0 { &high } else { &low });
        thread::sleep(Duration::from_millis(1_200));
    }
    send(&mut caller, "/stays/2", "id-2").expect("an open connection");
    assert!(is_whole_stream(&caller.receive(ANSWER_TIMEOUT).0));
}

// A route changes while streams of its requests run. A request keeps the route under which it came, so that nothing that a
// caller was promised is cut.
#[test]
fn streams_that_run_while_their_routes_change_are_completed() {
    let (platform, target) = start(SLOW);
    let mut callers: Vec<Connection> = CHANGES.iter().map(|_| connect(&platform)).collect();
    for (change, caller) in CHANGES.iter().zip(&mut callers) {
        send(caller, &format!("/{change}/run"), change).expect("a new connection");
    }
    wait_until("all run", || target.running() == CHANGES.len());
    put_after(&platform);
    assert_eq!(target.finished(), 0, "the streams outlast the change");
    for (change, caller) in CHANGES.iter().zip(&mut callers) {
        let reply = caller.receive(ANSWER_TIMEOUT).0;
        assert!(is_whole_stream(&reply), "{change}: {reply:?}");
    }
}

// A route changes while its requests wait for a slot at a target.
#[test]
fn requests_that_wait_for_a_slot_while_their_routes_change_are_answered() {
    let (platform, target) = start(SLOW);
    let mut running: Vec<Connection> = (0..SENT_AT_ONCE).map(|_| connect(&platform)).collect();
    for (number, caller) in running.iter_mut().enumerate() {
        send(caller, "/stays/run", &format!("runs-{number}")).expect("a new connection");
    }
    wait_until("all places are taken", || target.running() == SENT_AT_ONCE);
    let mut callers: Vec<Connection> = CHANGES.iter().map(|_| connect(&platform)).collect();
    for (change, caller) in CHANGES.iter().zip(&mut callers) {
        send(caller, &format!("/{change}/run"), change).expect("a new connection");
    }
    put_after(&platform);
    assert_eq!((target.runs().len(), target.finished()), (SENT_AT_ONCE, 0), "the requests wait");
    for (change, caller) in CHANGES.iter().zip(&mut callers) {
        let reply = caller.receive(ANSWER_TIMEOUT).0;
        assert!(is_whole_stream(&reply), "{change}: {reply:?}");
    }
}

// A route changes while the bodies of its requests arrive.
#[test]
fn requests_whose_bodies_arrive_while_their_routes_change_are_answered() {
    let (platform, _target) = start(FAST);
    let mut callers: Vec<Connection> = CHANGES.iter().map(|_| connect(&platform)).collect();
    for (change, caller) in CHANGES.iter().zip(&mut callers) {
        // The first request shows that the gateway reads this connection.
        send(caller, &format!("/{change}/first"), &format!("{change}-first")).expect("a request");
        assert!(is_whole_stream(&caller.receive(ANSWER_TIMEOUT).0));
        let headers = [("X-Request-Id", *change), ("Content-Length", "8")];
        caller.send_head("POST", &format!("/{change}/run"), &headers).expect("an open connection");
        caller.send_part("half").expect("an open connection");
    }
    // The heads are read at once; this leaves time for it on a busy machine.
    thread::sleep(Duration::from_millis(500));
    put_after(&platform);
    for (change, caller) in CHANGES.iter().zip(&mut callers) {
        caller.send_part("half").expect("an open connection");
        let reply = caller.receive(ANSWER_TIMEOUT).0;
        assert!(is_whole_stream(&reply), "{change}: {reply:?}");
    }
}

// The answer to a request is known from its head, as its route is gone or no configuration is known yet. A connection that
// closes while the body arrives fails the caller's write, and many callers read no answer after that.
#[test]
fn a_request_with_a_long_body_that_is_refused_by_its_head_gets_its_answer() {
    let (platform, _target) = start(FAST);
    put_after(&platform);
    let mut caller = connect(&platform);
    let reply = send_long_body(&mut caller, "/removed/run");
    assert!(reply.is_complete && reply.status == 404, "{reply:?}");
    send(&mut caller, "/stays/run", "id-2").expect("an open connection");
    assert!(is_whole_stream(&caller.receive(ANSWER_TIMEOUT).0));
}

#[test]
fn a_request_with_a_long_body_at_a_gateway_without_routes_gets_its_refusal() {
    let mut platform = Platform::without_routes(BINARY);
    platform.spawn_gateway();
    let reply = send_long_body(&mut connect(&platform), "/stays/run");
    assert!(reply.is_complete && reply.status == 503, "{reply:?}");
}

#[test]
fn a_request_with_a_long_body_and_without_a_key_gets_its_answer() {
    let mut platform = Platform::without_routes(BINARY);
    platform.put_workspaces(1, &json!([{ "name": "w", "apiKeys": ["key"] }]));
    platform.start_target("t-1", FAST);
    platform.start_gateway();
    let reply = send_long_body(&mut connect(&platform), "/safe/run");
    assert!(reply.is_complete && reply.status == 401, "{reply:?}");
}

// The answer is known from the head, and a caller whose body takes long must not wait for it. Its connection stays usable.
#[test]
fn a_request_that_is_refused_by_its_head_gets_its_answer_before_the_rest_of_its_body() {
    let (platform, _target) = start(FAST);
    put_after(&platform);
    let mut caller = connect(&platform);
    let headers = [("X-Request-Id", "id-1"), ("Content-Length", "8")];
    caller.send_head("POST", "/removed/run", &headers).expect("a new connection");
    caller.send_part("half").expect("an open connection");
    let reply = caller.receive(Duration::from_secs(5)).0;
    assert!(reply.is_complete && reply.status == 404, "{reply:?}");
    caller.send_part("half").expect("an open connection");
    send(&mut caller, "/stays/run", "id-2").expect("an open connection");
    assert!(is_whole_stream(&caller.receive(ANSWER_TIMEOUT).0));
}

/// Sends a request whose body takes some time, and reads its answer.
fn send_long_body(caller: &mut Connection, path: &str) -> Reply {
    let part = "x".repeat(64 * 1024);
    let length = (part.len() * 16).to_string();
    let headers = [("X-Request-Id", "id-1"), ("Content-Length", length.as_str())];
    caller.send_head("POST", path, &headers).expect("a new connection");
    for number in 0..16 {
        caller.send_part(&part).unwrap_or_else(|err| panic!("part {number}: {err}"));
        thread::sleep(Duration::from_millis(20));
    }
    caller.receive(ANSWER_TIMEOUT).0
}

/// Starts a job of three items on a batch route whose service has no targets, and writes a configuration with `changed` instead
/// of that route once the items wait. The last configuration is followed by a target of the service `reader`.
fn change_route_of_waiting_items(changed: Option<Value>) -> (Platform, PlatformTarget) {
    let mut batch = route("batch", 3, false);
    batch["service"] = json!("elsewhere");
    batch["maxWaitS"] = json!(36_000);
    batch["batchSloMs"] = json!(36_000_000);
    let mut platform = Platform::without_routes(BINARY);
    let limits = limits(5_000, 15_000);
    platform.store.put("config", "main", config(1, [batch].into_iter(), &limits));
    let target = platform.start_target("t-1", FAST);
    platform.start_gateway();
    assert_eq!(platform.submit(0, "job-1", &["a", "b", "c"]).status, 202);
    // The items are queued right after the answer; this leaves time for it on a busy machine.
    thread::sleep(Duration::from_millis(500));
    assert!(platform.available_results(0, "job-1").is_empty());
    platform.store.put("config", "main", config(2, changed.into_iter(), &limits));
    (platform, target)
}

// A batch route is moved away from a service without targets while its items wait there. They waited for that service for as long
// as their job existed.
#[test]
fn waiting_items_are_run_by_the_service_that_their_route_is_moved_to() {
    let mut moved = route("batch", 3, false);
    moved["maxWaitS"] = json!(36_000);
    let (platform, target) = change_route_of_waiting_items(Some(moved));
    let results = platform.all_results(0, "job-1", 3);
    assert!(results.iter().all(|it| it["state"] == "completed"), "{results:?}");
    assert_eq!(target.runs().len(), 3);
}

#[test]
fn waiting_items_whose_route_is_removed_are_given_up() {
    let (platform, target) = change_route_of_waiting_items(None);
    let results = platform.all_results(0, "job-1", 3);
    assert!(results.iter().all(|it| it["state"] == "errored"), "{results:?}");
    assert!(target.runs().is_empty());
}

// The entry of the only target is written again and again, and removed for a moment, while a stream runs and others wait.
#[test]
fn requests_keep_their_places_while_the_table_of_targets_is_rebuilt() {
    let (platform, target) = start(SLOW);
    let mut callers: Vec<Connection> = (0..SENT_AT_ONCE + 4).map(|_| connect(&platform)).collect();
    for (number, caller) in callers.iter_mut().enumerate() {
        send(caller, "/stays/run", &format!("id-{number}")).expect("a new connection");
    }
    wait_until("all places are taken", || target.running() == SENT_AT_ONCE);
    for seq in 2..50 {
        let mut entry = target.entry("reader", "brisbane-north", "ready");
        entry["seq"] = json!(seq);
        entry["coldLeftMs"] = json!(seq * 10);
        platform.store.put("servers", &target.name, entry);
        thread::sleep(Duration::from_millis(20));
    }
    for (number, caller) in callers.iter_mut().enumerate() {
        let reply = caller.receive(ANSWER_TIMEOUT).0;
        assert!(is_whole_stream(&reply), "{number}: {reply:?}");
    }
    assert_eq!(target.runs().len(), SENT_AT_ONCE + 4);
}

#[test]
fn a_stream_whose_target_is_removed_is_completed() {
    let (platform, target) = start(SLOW);
    let mut caller = connect(&platform);
    send(&mut caller, "/stays/run", "id-1").expect("a new connection");
    wait_until("it runs", || target.running() == 1);
    platform.store.remove("servers", &target.name);
    platform.wait_logged(0, "targets: removed");
    assert_eq!(target.finished(), 0, "the stream outlasts its target's entry");
    assert!(is_whole_stream(&caller.receive(ANSWER_TIMEOUT).0));
}

/// What a caller has seen on its kept connections.
#[derive(Debug, Default)]
struct Seen {
    served: usize,
    refused: usize,
    /// Requests without a complete answer, with the time for which their connection had been idle.
    unanswered: Vec<(String, Duration, Reply)>,
}

/// Sends requests on kept connections until `end`, on a route that stays and on one that comes and goes, with pauses of up
/// to four fifths of the lowest idle limit.
fn call_on_kept_connections(platform: &Platform, caller: usize, end: Instant) -> Seen {
    let mut seen = Seen::default();
    let mut kept: Option<Connection> = None;
    for number in 0.. {
        if Instant::now() >= end {
            break;
        }
        let pause = Duration::from_millis([0, 7, 31, 0, 250, 3][(number + caller) % 6]);
        thread::sleep(pause);
        let id = format!("caller-{caller}-{number}");
        let path = ["/stays/run", "/removed/run", "/moved/run", "/split/run"][number % 4];
        let mut connection = kept.take().unwrap_or_else(|| connect(platform));
        let sent = send(&mut connection, path, &id);
        let (reply, is_reusable) = connection.receive(ANSWER_TIMEOUT);
        match reply.status {
            200 if is_whole_stream(&reply) => seen.served += 1,
            404 | 503 if reply.is_complete => seen.refused += 1,
            _ => seen.unanswered.push((format!("{id} {path} {sent:?}"), pause, reply)),
        }
        kept = is_reusable.then_some(connection);
    }
    seen
}

// The configuration changes every 20 ms beside requests on kept connections: routes come, go and move, and the limits are
// raised and lowered. Each request gets a whole answer or a refusal.
#[test]
fn requests_on_kept_connections_are_answered_beside_fast_changes() {
    let (platform, _target) = start(FAST);
    let end = Instant::now() + Duration::from_secs(8);
    let seen: Vec<Seen> = thread::scope(|scope| {
        let platform = &platform;
        let callers: Vec<_> = (0..6)
            .map(|it| scope.spawn(move || call_on_kept_connections(platform, it, end)))
            .collect();
        let mut version = 3;
        while Instant::now() < end {
            version += 1;
            let limits = limits(300 + version % 5 * 300, 400 + version % 7 * 500);
            let routes = CHANGES.iter().filter_map(|it| match version % 2 == 0 {
                true => route_after(it),
                false => Some(route_before(it)),
            });
            platform.store.put("config", "main", config(version, routes, &limits));
            thread::sleep(Duration::from_millis(20));
        }
        callers.into_iter().map(|it| it.join().expect("no panic")).collect()
    });
    let sum = |count: fn(&Seen) -> usize| seen.iter().map(count).sum::<usize>();
    let (served, refused) = (sum(|it| it.served), sum(|it| it.refused));
    assert!(served > 0 && refused > 0, "{served} served, {refused} refused");
    let unanswered: Vec<_> = seen.iter().flat_map(|it| &it.unanswered).collect();
    assert!(unanswered.is_empty(), "{served} served, {refused} refused, {unanswered:#?}");
    assert!(platform.times_logged(0, "routes: activated") > 5, "the configuration changed");
}
