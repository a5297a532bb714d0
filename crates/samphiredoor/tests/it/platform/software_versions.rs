//! Targets of two software versions side by side in one service: a stream goes on only at the version that began it, and
//! the text of an item is by one version.

use std::{collections::BTreeSet, net::SocketAddr, thread, time::Duration};

use samphiredoor_standin::{
    fleet::{EVENTS, route, stream_after},
    http::Answer,
    platform_store::StoreFault,
    platform_target::{PlatformTarget, TargetFault},
    soak,
};
use serde_json::{Value, json};

use super::env::{BINARY, Platform, metric, metrics_address};
use crate::env::wait_until;

const FAST: Duration = Duration::from_millis(2);
const STREAMS: usize = 16;
const VERSIONS: [&str; 2] = ["v1", "v2"];
const RESUMABLE: &str = "/stream-resumable/check";

/// Starts a platform with two targets of each version and this many gateways. A request may run at `attempts` targets.
fn two_versions(attempts: u32, gateways: usize) -> (Platform, Vec<PlatformTarget>) {
    let mut platform = Platform::new(BINARY);
    platform.put_routes(2, attempts);
    let start = |number: usize| {
        platform.start_target_at(VERSIONS[number % 2], &format!("t-{number}"), FAST)
    };
    let targets = (0..4).map(start).collect();
    (0..gateways).for_each(|_| _ = platform.start_gateway());
    (platform, targets)
}

/// Versions of the targets that ran requests with one of these ids.
fn versions_of(targets: &[PlatformTarget], ids: &[&str]) -> BTreeSet<String> {
    let ran = |it: &&PlatformTarget| it.runs().iter().any(|run| ids.contains(&run.id.as_str()));
    targets.iter().filter(ran).map(|it| it.version().to_string()).collect()
}

/// Whether a text is all of a stream after an event, as one of the versions writes it.
fn is_whole_of_one_version(text: &str, after: u64) -> bool {
    VERSIONS.iter().any(|it| stream_after(it, 0, after) == text)
}

fn fail_each_run(targets: &[PlatformTarget], fault: TargetFault) {
    targets.iter().for_each(|it| it.fail_next(10_000, fault));
}

/// Guards against answers whose events are by two versions.
#[test]
fn a_stream_is_resumed_within_its_answer_at_the_version_that_began_it() {
    let (platform, targets) = two_versions(3, 1);
    fail_each_run(&targets, TargetFault::CutAfter(2));
    for number in 0..STREAMS {
        let id = format!("id-{number}");
        let answer = platform.send(0, RESUMABLE, &id, "");
        assert_eq!(answer.status, 200, "{id}");
        assert!(is_whole_of_one_version(&answer.text, 0), "{id}: {}", answer.text);
        assert_eq!(versions_of(&targets, &[&id]).len(), 1, "{id}");
    }
    assert_eq!(versions_of_all(&targets).len(), 2, "new streams begin at both versions");
}

/// Guards against streams that go on at another version when their callers take them up at another gateway.
#[test]
fn a_stream_that_its_caller_takes_up_at_another_gateway_goes_on_at_its_version() {
    let (platform, targets) = two_versions(1, 2);
    wait_for_peers(&platform, 2);
    for number in 0..STREAMS {
        let (first, second) = (format!("first-{number}"), format!("second-{number}"));
        fail_each_run(&targets, TargetFault::CutAfter(2));
        assert_eq!(platform.send(0, RESUMABLE, &first, "").status, 0);
        fail_each_run(&targets, TargetFault::None);
        let headers = [("last-event-id", "2"), ("resumes", &*first)];
        let answer = platform.send_with(1, RESUMABLE, &second, &headers, "");
        assert_eq!(answer.status, 200, "{second}: {}", answer.text);
        assert!(is_whole_of_one_version(&answer.text, 2), "{second}: {}", answer.text);
        assert_eq!(versions_of(&targets, &[&first, &second]).len(), 1, "{second}");
    }
}

/// Guards against results whose text is by two versions.
#[test]
fn the_text_of_an_item_is_by_one_version() {
    let (platform, targets) = two_versions(3, 1);
    fail_each_run(&targets, TargetFault::CutAfter(2));
    platform.submit_many(0, "job", STREAMS);
    platform.all_results(0, "job", STREAMS);
    for number in 0..STREAMS {
        assert_item_of_one_version(&targets, &format!("item-{number}"));
    }
}

/// Guards against the same when another owner goes on with the saved text.
#[test]
fn the_text_of_an_item_that_another_owner_resumes_is_by_one_version() {
    let (mut platform, targets) = two_versions(3, 3);
    platform.wait_logged(2, "peers: peer is live");
    finish_at_another_owner(&mut platform, &targets);
    for number in 0..STREAMS {
        assert_item_of_one_version(&targets, &format!("item-{number}"));
    }
}

/// Submits a job, kills its owner once outputs of its items are saved, and waits until another owner has finished it.
fn finish_at_another_owner(platform: &mut Platform, targets: &[PlatformTarget]) {
    targets.iter().for_each(|it| it.set_pause(Duration::from_millis(700)));
    platform.submit_many(0, "job", STREAMS);
    wait_until("outputs are saved", || !platform.store.names("jobsegments").is_empty());
    platform.gateway(0).kill();
    targets.iter().for_each(|it| it.set_pause(FAST));
    platform.all_results(1, "job", STREAMS);
}

fn versions_of_all(targets: &[PlatformTarget]) -> BTreeSet<String> {
    let ran = targets.iter().filter(|it| !it.runs().is_empty());
    ran.map(|it| it.version().to_string()).collect()
}

/// Each run that resumes an item has to be at the version of the run before it.
fn assert_item_of_one_version(targets: &[PlatformTarget], id: &str) {
    let runs = targets.iter().flat_map(|target| {
        let runs = target.runs().into_iter().filter(|it| it.id == id);
        runs.map(|run| (run.at, run.after, target.version().to_string()))
    });
    let mut runs: Vec<_> = runs.collect();
    runs.sort();
    let mut version = None;
    for (_, after, ran_at) in runs {
        match after {
            None => version = Some(ran_at),
            Some(_) => assert_eq!(version.as_deref(), Some(&*ran_at), "{id}"),
        }
    }
}

/// Waits until each of the gateways has heard of all others.
fn wait_for_peers(platform: &Platform, gateways: usize) {
    for gateway in 0..gateways {
        let heard = || platform.times_logged(gateway, "peers: peer is live") >= gateways - 1;
        wait_until("the gateways know each other", heard);
    }
}

/// Guards against streams that can't go on because only the gateway that began them knew their versions.
#[test]
fn streams_of_a_killed_gateway_go_on_at_their_versions_at_another() {
    let (mut platform, targets) = two_versions(1, 4);
    wait_for_peers(&platform, 4);
    targets.iter().for_each(|it| it.set_pause(Duration::from_millis(300)));
    let callers = platform.callers(0);
    let begun: Vec<_> = (0..STREAMS)
        .map(|it| thread::spawn(move || first_events(callers, &format!("first-{it}"))))
        .collect();
    wait_until("the streams run", || {
        targets.iter().map(|it| it.runs().len()).sum::<usize>() == STREAMS
    });
    thread::sleep(Duration::from_millis(450));
    platform.gateway(0).kill();
    let received = begun.into_iter().map(|it| it.join().expect("no panic"));
    let received: Vec<u64> = received.collect();
    targets.iter().for_each(|it| it.set_pause(FAST));
    for (number, after) in received.into_iter().enumerate() {
        let (first, second) = (format!("first-{number}"), format!("second-{number}"));
        let after_text = after.to_string();
        let headers = [("last-event-id", &*after_text), ("resumes", &*first)];
        let answer = platform.send_with(1, RESUMABLE, &second, &headers, "");
        assert_eq!(answer.status, 200, "{second}: {}", answer.text);
        assert!(is_whole_of_one_version(&answer.text, after), "{second}: {}", answer.text);
        assert_eq!(versions_of(&targets, &[&first, &second]).len(), 1, "{second}");
    }
}

/// Sends a request and reads its answer until it breaks off; returns the number of the last event.
fn first_events(gateway: SocketAddr, id: &str) -> u64 {
    let mut connection = soak::Connection::open(gateway).expect("a connection");
    let headers = [("X-Request-Id", id)];
    let timeout = Duration::from_secs(30);
    let request =
        soak::Request { method: "POST", path: RESUMABLE, headers: &headers, body: "", timeout };
    connection.send(&request).expect("sent");
    let (reply, _) = connection.receive(timeout);
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    assert!(
        !reply.is_complete && text.contains("\n\n"),
        "{id} was interrupted after an event: {text}"
    );
    text.matches("\n\n").count() as u64
}

macro_rules! refused_resumptions {
    ($($name:ident: $headers:expr, $reason:expr;)*) => {
        $(
            /// Guards against a stream that goes on at a version that was guessed.
            #[test]
            fn $name() {
                let (platform, targets) = two_versions(3, 2);
                let answer = platform.send_with(1, RESUMABLE, "id-1", &$headers, "");
                assert_eq!(answer.status, 503, "{}", answer.text);
                assert!(answer.headers.contains_key("retry-after"));
                assert!(answer.text.contains($reason), "{}", answer.text);
                assert!(versions_of_all(&targets).is_empty(), "it did not run");
            }
        )*
    };
}

refused_resumptions! {
    a_stream_that_nobody_knows_does_not_go_on:
        [("last-event-id", "2"), ("resumes", "unknown")], "version_unknown";
    a_stream_without_its_first_attempt_does_not_go_on_beside_two_versions:
        [("last-event-id", "2")], "version_unknown";
}

/// A deployment without versions has callers who do not name the first attempt.
#[test]
fn a_stream_without_its_first_attempt_goes_on_where_there_is_one_version() {
    let mut platform = Platform::new(BINARY);
    let _target = platform.start_target("t-1", FAST);
    platform.start_gateway();
    let answer = platform.send_with(0, RESUMABLE, "id-1", &[("last-event-id", "2")], "");
    assert_eq!((answer.status, answer.text), (200, stream_after("v1", 0, 2)));
}

/// A deployment whose targets have been of one version for long pays nothing for versions, and its streams go on although
/// nobody remembers them.
#[test]
fn no_records_are_sent_once_there_was_one_version_for_long() {
    let mut platform = Platform::new(BINARY);
    let metrics = metrics_address();
    let _target = platform.start_target("t-1", FAST);
    platform.start_gateway();
    platform.more_settings = format!("metrics.address = \"{metrics}\"");
    platform.start_gateway();
    wait_for_peers(&platform, 2);
    let records_sent =
        || metric::<u64>(metrics, "stream_records_sent_total").expect("it is exported");
    assert_eq!(platform.send(1, RESUMABLE, "early", "").status, 200);
    wait_until("a record is sent", || records_sent() == 1);
    let mut number = 0;
    wait_until("a stream begins without a record", || {
        number += 1;
        let before = records_sent();
        assert_eq!(platform.send(1, RESUMABLE, &format!("id-{number}"), "").status, 200);
        thread::sleep(Duration::from_millis(50));
        records_sent() == before
    });
    let before = records_sent();
    for number in 0..STREAMS {
        assert_eq!(platform.send(1, RESUMABLE, &format!("late-{number}"), "").status, 200);
    }
    let headers = [("last-event-id", "2"), ("resumes", "unknown")];
    let answer = platform.send_with(0, RESUMABLE, "resumed", &headers, "");
    assert_eq!((answer.status, answer.text), (200, stream_after("v1", 0, 2)));
    assert_eq!(records_sent(), before);
}

const SERVICES: [&str; 2] = ["reader", "elsewhere"];

/// Starts a gateway, and a target of the same version in each of two services; all routes go to the first one.
fn two_services() -> (Platform, [PlatformTarget; 2]) {
    let mut platform = Platform::new(BINARY);
    platform.put_routes(2, 1);
    let targets = SERVICES.map(|service| {
        let name = format!("t-{service}");
        let target = PlatformTarget::start(&name, EVENTS, FAST).expect("a target starts");
        platform.store.put("servers", &name, target.entry(service, "brisbane-north", "ready"));
        target
    });
    platform.start_gateway();
    platform.wait_logged(0, "routes: activated version=2");
    (platform, targets)
}

/// Changes a route, which becomes the only one, and waits until that is active.
fn change_route(platform: &Platform, kind: &str, change: impl Fn(&mut Value)) {
    let mut changed = route(kind, 3, kind == "stream");
    change(&mut changed);
    platform.store.put("config", "main", json!({ "version": 3, "routes": [changed] }));
    platform.wait_logged(0, "routes: activated version=3");
}

fn move_route(route: &mut Value) {
    route["service"] = json!(SERVICES[1]);
}

fn split_route(route: &mut Value) {
    let split = SERVICES.map(|service| json!({ "service": service, "weight": 1 }));
    route["trafficSplit"] = json!(split);
}

/// Runs of a request in the order of their starts: the event after which each went on, and its target.
fn runs_of(targets: &[PlatformTarget; 2], id: &str) -> Vec<(Option<u64>, String)> {
    let mut runs: Vec<_> = targets
        .iter()
        .flat_map(|target| target.runs().into_iter().map(|run| (run, target.name.clone())))
        .filter(|(run, _)| run.id == id)
        .collect();
    runs.sort_by_key(|(run, _)| run.at);
    runs.into_iter().map(|(run, target)| (run.after, target)).collect()
}

/// Guards against streams that go on at a service which has not begun them: its targets may have the same version by chance.
#[test]
fn a_stream_whose_route_has_moved_does_not_go_on_at_another_service() {
    let (platform, targets) = two_services();
    targets[0].fail_next(1, TargetFault::CutAfter(2));
    assert_eq!(platform.send(0, RESUMABLE, "first", "").status, 0);
    change_route(&platform, "stream", move_route);
    let headers = [("last-event-id", "2"), ("resumes", "first")];
    let answer = platform.send_with(0, RESUMABLE, "second", &headers, "");
    assert_eq!(answer.status, 503, "{}", answer.text);
    assert!(answer.text.contains("version_gone"), "{}", answer.text);
    assert!(runs_of(&targets, "second").is_empty());
}

/// Guards against the same on a route that is split between services.
#[test]
fn a_stream_of_a_split_route_goes_on_at_the_service_that_began_it() {
    let (platform, targets) = two_services();
    change_route(&platform, "stream", |route| {
        split_route(route);
        route["attempts"] = json!(1);
    });
    for number in 0..STREAMS {
        let (first, second) = (format!("first-{number}"), format!("second-{number}"));
        fail_each_run(&targets, TargetFault::CutAfter(2));
        assert_eq!(platform.send(0, RESUMABLE, &first, "").status, 0);
        fail_each_run(&targets, TargetFault::None);
        let headers = [("last-event-id", "2"), ("resumes", &*first)];
        assert_eq!(platform.send_with(0, RESUMABLE, &second, &headers, "").status, 200);
        assert_eq!(runs_of(&targets, &first)[0].1, runs_of(&targets, &second)[0].1, "{first}");
    }
}

/// Guards against results whose text is by targets of two services.
#[test]
fn an_item_whose_route_has_moved_begins_anew_at_the_other_service() {
    let (platform, targets) = two_services();
    targets[0].set_pause(Duration::from_millis(1_000));
    targets[0].fail_next(1, TargetFault::CutAfter(3));
    assert_eq!(platform.submit(0, "job", &["a"]).status, 202);
    wait_until("it runs", || targets[0].runs().len() == 1);
    change_route(&platform, "batch", move_route);
    let results = platform.all_results(0, "job", 1);
    assert_eq!(results[0]["text"], targets[1].text());
    let id = results[0]["id"].as_str().expect("an id");
    let runs = [(None, "t-reader".to_owned()), (None, "t-elsewhere".to_owned())];
    assert_eq!(runs_of(&targets, id), runs);
}

/// Guards against the same on a route that is split between services, where it would happen without a change.
#[test]
fn an_item_of_a_split_route_goes_on_at_the_service_that_began_it() {
    let (platform, targets) = two_services();
    change_route(&platform, "batch", split_route);
    targets.iter().for_each(|it| it.fail_next(STREAMS as u32, TargetFault::CutAfter(2)));
    platform.submit_many(0, "job", STREAMS);
    for result in platform.all_results(0, "job", STREAMS) {
        let id = result["id"].as_str().expect("an id");
        let runs = runs_of(&targets, id);
        assert!(runs.iter().all(|(_, target)| *target == runs[0].1), "{id}: {runs:?}");
    }
}

/// Guards against a text by two services when another owner goes on with what is saved of it.
#[test]
fn an_item_of_a_split_route_that_another_owner_resumes_stays_with_the_service_that_began_it() {
    let (mut platform, targets) = two_services();
    (0..2).for_each(|_| _ = platform.start_gateway());
    change_route(&platform, "batch", split_route);
    (1..3).for_each(|it| platform.wait_logged(it, "routes: activated version=3"));
    wait_for_peers(&platform, 3);
    finish_at_another_owner(&mut platform, &targets);
    let ids = (0..STREAMS).map(|it| format!("item-{it}"));
    let runs: Vec<_> = ids.map(|it| runs_of(&targets, &it)).collect();
    assert!(runs.iter().flatten().any(|(after, _)| after.is_some()), "some texts went on");
    for runs in runs {
        for pair in runs.windows(2).filter(|it| it[1].0.is_some()) {
            assert_eq!(pair[0].1, pair[1].1, "{runs:?}");
        }
    }
}

/// Gateways of the tests below, which are all killed at once.
const RESTARTED: usize = 3;

/// Begins streams at gateway 0 that break off after two events.
fn break_off_streams(platform: &Platform, targets: &[PlatformTarget]) {
    fail_each_run(targets, TargetFault::CutAfter(2));
    for number in 0..STREAMS {
        let id = format!("first-{number}");
        assert_eq!(platform.send(0, RESUMABLE, &id, "").status, 0, "{id}");
    }
    fail_each_run(targets, TargetFault::None);
}

/// Kills all gateways at once, and starts them again.
fn restart_all(platform: &mut Platform) {
    (0..RESTARTED).for_each(|it| platform.gateway(it).kill());
    (0..RESTARTED).for_each(|it| platform.restart_gateway(it));
    (0..RESTARTED).for_each(|it| platform.wait_ready(it));
    wait_for_peers(platform, RESTARTED);
}

/// Takes a stream up after its second event, with or without the id of its first attempt.
fn take_up(platform: &Platform, gateway: usize, first: &str, is_named: bool) -> Answer {
    let headers = [("last-event-id", "2"), ("resumes", first)];
    let headers = if is_named { &headers[..] } else { &headers[..1] };
    platform.send_with(gateway, RESUMABLE, &format!("again-{is_named}-{first}"), headers, "")
}

/// Platform with gateways that have recorded a version.
fn recorded_version() -> (Platform, PlatformTarget) {
    let mut platform = Platform::new(BINARY);
    platform.put_routes(2, 1);
    let target = platform.start_target_at("v1", "t-1", FAST);
    (0..RESTARTED).for_each(|_| _ = platform.start_gateway());
    wait_for_peers(&platform, RESTARTED);
    wait_until("the version is recorded", || {
        !platform.store.objects_containing("v1").is_empty()
            && !platform.store.names("targetversions").is_empty()
    });
    (platform, target)
}

/// Streams begin at one version, whose targets leave as those of another come, and all gateways are killed at once. Guards
/// against streams that go on at the version that is left.
#[test]
fn streams_go_on_at_no_other_version_after_all_gateways_were_killed() {
    let (mut platform, old) = recorded_version();
    break_off_streams(&platform, std::slice::from_ref(&old));
    let new = platform.start_target_at("v2", "t-2", FAST);
    platform.store.remove("servers", "t-1");
    (0..RESTARTED).for_each(|it| platform.wait_logged(it, "targets: removed target=t-1"));
    restart_all(&mut platform);
    for is_named in [false, true] {
        for number in 0..STREAMS {
            let answer = take_up(&platform, 1, &format!("first-{number}"), is_named);
            assert_eq!(answer.status, 503, "{number}: {}", answer.text);
            assert!(answer.text.contains("version_unknown"), "{}", answer.text);
        }
    }
    assert!(new.runs().is_empty(), "nothing ran at the version that is left");
}

/// The same, and the release happens while no gateway runs.
#[test]
fn streams_go_on_at_no_version_that_came_while_no_gateway_ran() {
    let (mut platform, old) = recorded_version();
    break_off_streams(&platform, std::slice::from_ref(&old));
    (0..RESTARTED).for_each(|it| platform.gateway(it).kill());
    let new = platform.start_target_at("v2", "t-2", FAST);
    platform.store.remove("servers", "t-1");
    (0..RESTARTED).for_each(|it| platform.restart_gateway(it));
    (0..RESTARTED).for_each(|it| platform.wait_ready(it));
    for number in 0..STREAMS {
        let answer = take_up(&platform, 1, &format!("first-{number}"), false);
        assert_eq!(answer.status, 503, "{number}: {}", answer.text);
    }
    assert!(new.runs().is_empty(), "nothing ran at the version that is left");
}

/// Guards against refused streams of a service that never had but one version.
#[test]
fn streams_of_the_only_version_go_on_after_all_gateways_were_killed() {
    let (mut platform, target) = recorded_version();
    break_off_streams(&platform, std::slice::from_ref(&target));
    restart_all(&mut platform);
    for is_named in [false, true] {
        for number in 0..STREAMS {
            let answer = take_up(&platform, 1, &format!("first-{number}"), is_named);
            assert_eq!((answer.status, answer.text), (200, stream_after("v1", 0, 2)), "{number}");
        }
    }
}

/// The same for gateways that have only just started. Guards against taking the version that is left for the only one that there
/// ever was, as no record was written yet.
#[test]
fn streams_of_gateways_that_had_just_started_go_on_at_no_other_version() {
    let mut platform = Platform::new(BINARY);
    platform.put_routes(2, 1);
    let old = platform.start_target_at("v1", "t-1", FAST);
    (0..RESTARTED).for_each(|_| _ = platform.spawn_gateway());
    (0..RESTARTED).for_each(|it| platform.wait_ready(it));
    break_off_streams(&platform, std::slice::from_ref(&old));
    let new = platform.start_target_at("v2", "t-2", FAST);
    platform.store.remove("servers", "t-1");
    (0..RESTARTED).for_each(|it| platform.wait_logged(it, "targets: removed target=t-1"));
    restart_all(&mut platform);
    for is_named in [false, true] {
        for number in 0..STREAMS {
            let answer = take_up(&platform, 1, &format!("first-{number}"), is_named);
            assert_eq!(answer.status, 503, "{number}: {}", answer.text);
        }
    }
    assert!(new.runs().is_empty(), "nothing ran at the version that is left");
}

/// Gateways of the tests of one that is out of step, which is the last of them.
const IN_STEP: usize = 3;
/// Timeout of the routes.
const TIMEOUT_MS: u64 = 5_000;
/// Age of a gateway from which it takes the versions that it has seen for all that its streams may be of.
const GROWN_UP: Duration = Duration::from_secs(22);

/// What keeps a gateway from learning of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OutOfStep {
    /// It gets no processor time until streams are taken up.
    Stopped,
    /// The store answers none of its calls.
    CutOff,
    /// The same until streams are taken up.
    CutOffBefore,
}

/// Plays a release that one of four gateways misses: streams that began at the new version break off at the others, and are taken up
/// there. None may go on at the old version.
fn missed_release(how: OutOfStep) {
    let mut platform = Platform::new(BINARY);
    platform.put_limits(2, 1, 15_000, TIMEOUT_MS);
    let old: Vec<_> =
        (0..2).map(|it| platform.start_target_at("v1", &format!("old-{it}"), FAST)).collect();
    (0..=IN_STEP).for_each(|_| _ = platform.start_gateway());
    wait_for_peers(&platform, IN_STEP + 1);
    thread::sleep(GROWN_UP);
    match how {
        OutOfStep::Stopped => platform.signal(IN_STEP, "STOP"),
        _ => platform.set_store_path_fault(IN_STEP, StoreFault::Silent),
    }
    let new: Vec<_> =
        (0..4).map(|it| platform.start_target_at("v2", &format!("new-{it}"), FAST)).collect();
    (0..IN_STEP).for_each(|it| platform.wait_logged(it, "target=new-3"));
    fail_each_run(&new, TargetFault::CutAfter(2));
    let begun: Vec<String> = (0..4 * STREAMS)
        .map(|number| (format!("first-{number}"), number % IN_STEP))
        .filter(|(id, gateway)| platform.send(*gateway, RESUMABLE, id, "").status == 0)
        .map(|(id, _)| id)
        .collect();
    assert!(begun.len() >= STREAMS, "{} streams began at the new version", begun.len());
    fail_each_run(&new, TargetFault::None);
    match how {
        OutOfStep::Stopped => platform.signal(IN_STEP, "CONT"),
        OutOfStep::CutOffBefore => platform.set_store_path_fault(IN_STEP, StoreFault::None),
        OutOfStep::CutOff => {}
    }
    thread::scope(|scope| {
        for first in &begun {
            for is_named in [false, true] {
                let platform = &platform;
                scope.spawn(move || take_up(platform, IN_STEP, first, is_named));
            }
        }
    });
    let ids: BTreeSet<String> = old
        .iter()
        .flat_map(PlatformTarget::runs)
        .filter(|it| it.after.is_some())
        .map(|it| it.id)
        .collect();
    assert!(ids.is_empty(), "went on at the old version: {ids:?}");
}

macro_rules! missed_releases {
    ($($name:ident: $how:expr;)*) => {
        $(
            /// Guards against streams that go on at another version at a gateway that was out of step while that version joined.
            #[test]
            fn $name() {
                missed_release($how);
            }
        )*
    };
}

missed_releases! {
    a_gateway_that_stood_still_joins_no_streams_of_two_versions: OutOfStep::Stopped;
    a_gateway_without_the_store_joins_no_streams_of_two_versions: OutOfStep::CutOff;
    a_gateway_that_was_without_the_store_joins_no_streams_of_two_versions: OutOfStep::CutOffBefore;
}
