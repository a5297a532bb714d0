//! Targets that send nothing for a while: a sound one goes on, and ends no answer by its silence.

use std::{
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

use samphiredoor_standin::{
    fleet::EVENTS,
    platform_target::{PlatformTarget, TargetFault},
};
use serde_json::json;
use socket2::{Domain, Socket, Type};

use super::env::{BINARY, Platform, whole_stream};
use crate::env::wait_until;

const PAUSE: Duration = Duration::from_millis(2);
/// Longer than the time after which a target counts as silent.
const SILENCE_MS: u64 = 1_300;
/// Silence that leaves time for other requests while the target counts as silent.
const LASTING_SILENCE_MS: u64 = 3_000;
/// Part of that silence after which the target counts as silent.
const INTO_SILENCE: Duration = Duration::from_millis(2_000);
/// Longer than callers bear.
const LONG_SILENCE_MS: u64 = 6_000;
/// Pause within an answer that callers bear.
const BORNE: Duration = Duration::from_secs(2);
/// Time for a loaded machine.
const SLACK: Duration = Duration::from_millis(1_500);
/// Longest time for which two targets may work on a request.
const BOTH_AT_WORK: Duration = Duration::from_millis(400);
const REQUESTS: usize = 4;
const NEAR: &str = "brisbane-north";
const FAR: &str = "brisbane-south";

/// Pause after this number of events, or before the first byte.
fn pause(after: Option<u64>, ms: u64) -> TargetFault {
    TargetFault::Pauses { after, ms }
}

/// Starts a target in a zone.
fn platform_target(platform: &Platform, name: &str, zone: &str) -> PlatformTarget {
    let target = PlatformTarget::start(name, EVENTS, PAUSE).expect("a target starts");
    platform.store.put("servers", name, target.entry("reader", zone, "ready"));
    target
}

/// Starts a gateway with two targets, of which the first is nearer; routes allow this number of attempts.
fn near_and_far(attempts: u32) -> (Platform, [PlatformTarget; 2]) {
    let mut platform = Platform::new(BINARY);
    platform.put_routes(2, attempts);
    let targets = [("t-near", NEAR), ("t-far", FAR)];
    let targets = targets.map(|(name, zone)| platform_target(&platform, name, zone));
    platform.start_gateway();
    platform.wait_logged(0, "routes: activated version=2");
    (platform, targets)
}

/// Sends requests at once while each run at a target pauses; all answers have to be whole.
fn answers_are_whole(path: &str, attempts: u32, after: Option<u64>) {
    let (platform, targets) = near_and_far(attempts);
    targets.iter().for_each(|it| it.fail_next(1_000, pause(after, SILENCE_MS)));
    let answers: Vec<_> = thread::scope(|scope| {
        let platform = &platform;
        let send =
            |number| scope.spawn(move || platform.send(0, path, &format!("id-{number}"), ""));
        let sent: Vec<_> = (0..REQUESTS).map(send).collect();
        sent.into_iter().map(|it| it.join().expect("a request ends")).collect()
    });
    let statuses: Vec<u16> = answers.iter().map(|it| it.status).collect();
    assert_eq!(statuses, [200; REQUESTS]);
    assert!(answers.iter().all(|it| it.text == whole_stream()));
    let runs: usize = targets.iter().map(|it| it.runs().len()).sum();
    assert!(runs <= REQUESTS * attempts as usize, "{runs} runs");
}

macro_rules! silences {
    ($($name:ident: $path:expr, $attempts:expr, $after:expr;)*) => {
        $(
            // Guards against answers that are broken off while their targets are silent, with nothing better at hand.
            #[test]
            fn $name() {
                answers_are_whole($path, $attempts, $after);
            }
        )*
    };
}

silences! {
    a_stream_with_one_attempt_outlasts_a_silence_before_its_head: "/stream-resumable/a", 1, None;
    a_stream_with_one_attempt_outlasts_a_silence_before_its_first_event: "/stream-resumable/a", 1, Some(0);
    a_stream_with_one_attempt_outlasts_a_silence_between_events: "/stream-resumable/a", 1, Some(3);
    a_stream_on_its_last_attempt_outlasts_a_silence_before_its_head: "/stream-resumable/a", 2, None;
    a_stream_on_its_last_attempt_outlasts_a_silence_before_its_first_event: "/stream-resumable/a", 2, Some(0);
    a_stream_on_its_last_attempt_outlasts_a_silence_between_events: "/stream-resumable/a", 2, Some(2);
    a_repeatable_request_with_one_attempt_outlasts_a_silence_before_its_head: "/safe/a", 1, None;
    a_repeatable_request_with_one_attempt_outlasts_a_silence_within_its_answer: "/safe/a", 1, Some(3);
    a_repeatable_request_on_its_last_attempt_outlasts_a_silence_before_its_head: "/safe/a", 2, None;
    a_repeatable_request_with_attempts_left_outlasts_a_silence_within_its_answer: "/safe/a", 2, Some(3);
    a_request_that_runs_once_outlasts_a_silence_before_its_head: "/unsafe/a", 2, None;
}

/// Sends a request whose target stays silent; another one has to answer in time.
fn moves(path: &str, after: Option<u64>) {
    let (platform, [near, far]) = near_and_far(3);
    near.fail_next(1, pause(after, LONG_SILENCE_MS));
    let sent = Instant::now();
    let answer = platform.send(0, path, "id-1", "");
    assert_eq!((answer.status, answer.text), (200, whole_stream()));
    assert!(sent.elapsed() < BORNE + SLACK, "{:?}", sent.elapsed());
    let resumed_after: Vec<_> = far.runs().iter().map(|it| it.after).collect();
    assert_eq!(resumed_after, [after.filter(|it| *it > 0)]);
    assert_eq!(near.runs().len(), 1);
}

macro_rules! moved {
    ($($name:ident: $path:expr, $after:expr;)*) => {
        $(
            // Guards against requests that wait for a silent target while another one has free slots.
            #[test]
            fn $name() {
                moves($path, $after);
            }
        )*
    };
}

moved! {
    a_repeatable_request_leaves_a_silent_target_for_a_free_one: "/safe/a", None;
    a_stream_leaves_a_silent_target_for_a_free_one_before_its_first_event: "/stream-resumable/a", Some(0);
    a_stream_leaves_a_silent_target_for_a_free_one_between_events: "/stream-resumable/a", Some(3);
    a_stream_leaves_a_silent_target_for_a_free_one_after_its_last_event: "/stream-resumable/a", Some(EVENTS);
}

macro_rules! stays {
    ($($name:ident: $path:expr, $after:expr;)*) => {
        $(
            // Guards against an answer that leaves a silent target for one that refuses connections, and is cut then.
            #[test]
            fn $name() {
                let (platform, [near, far]) = near_and_far(3);
                far.crash();
                near.fail_next(1, pause($after, SILENCE_MS));
                let answer = platform.send(0, $path, "id-1", "");
                assert_eq!((answer.status, answer.text), (200, whole_stream()));
                assert_eq!(near.runs().len(), 1);
            }
        )*
    };
}

stays! {
    a_stream_stays_at_a_silent_target_while_the_other_one_refuses_connections: "/stream-resumable/a", Some(3);
    a_repeatable_request_stays_at_a_silent_target_while_the_other_one_refuses_connections: "/safe/a", None;
}

/// Registers a listener as the nearest target.
fn register(platform: &Platform, listener: &TcpListener) {
    let address = listener.local_addr().expect("an address");
    let entry = json!({
        "service": "reader", "addr": address.to_string(), "zone": NEAR, "version": "v1", "slots": 8,
        "state": "ready", "coldLeftMs": 0, "seq": 1, "born": 1,
    });
    platform.store.put("servers", "t-near", entry);
}

/// What becomes of new connections to a target that is gone, while those that it had stay open.
#[derive(Debug, Clone, Copy)]
enum NewConnections {
    Refused,
    Unanswered,
}

/// A target that accepts one connection, sends this answer and nothing more, and is gone then.
fn start_gone(platform: &Platform, answer: &'static str, new: NewConnections) {
    let listener = listener_without_queue();
    register(platform, &listener);
    thread::spawn(move || {
        let mut stream = accept_request(&listener);
        let _open = match new {
            NewConnections::Refused => {
                drop(listener);
                None
            }
            NewConnections::Unanswered => Some((fill_queue(&listener), listener)),
        };
        stream.write_all(answer.as_bytes()).expect("the answer is sent");
        // Keeps the connections open.
        thread::sleep(Duration::from_secs(60));
    });
}

/// A listener at which hardly any connection can wait to be accepted.
fn listener_without_queue() -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    socket.bind(&any.into()).expect("a port");
    socket.listen(0).expect("it listens");
    socket.into()
}

/// Opens connections until the listener answers no more of them.
fn fill_queue(listener: &TcpListener) -> Vec<TcpStream> {
    let address = listener.local_addr().expect("an address");
    let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
    std::iter::from_fn(connect).collect()
}

/// Waits for a connection on which a request comes.
fn accept_request(listener: &TcpListener) -> TcpStream {
    loop {
        let (mut stream, _) = listener.accept().expect("a connection");
        if stream.read(&mut [0; 4_096]).expect("a request") > 0 {
            return stream;
        }
    }
}

// Guards against a request that runs at two targets at once after it has left a silent one.
#[test]
fn a_request_that_leaves_a_silent_target_closes_its_connection() {
    let mut platform = Platform::new(BINARY);
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    register(&platform, &listener);
    let far = platform_target(&platform, "t-far", FAR);
    platform.start_gateway();
    let closed = thread::spawn(move || {
        let mut stream = accept_request(&listener);
        // Ends with the connection, also if it is reset.
        let _ = stream.read(&mut [0; 1]);
        Instant::now()
    });
    assert_eq!(platform.send(0, "/safe/a", "id-1", "").text, whole_stream());
    let closed_at = closed.join().expect("the connection ends");
    assert!(closed_at < far.runs()[0].at + BOTH_AT_WORK);
}

/// Begin of a stream, with one event.
const BEGIN: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Server-Stamp: stamp-id-1\r\n\
                     Transfer-Encoding: chunked\r\nX-Request-Id: id-1\r\n\r\n15\r\nid: 1\ndata: piece-1\n\n\r\n";

/// Sends a request to a target that is gone, without another target; it has to end long before its deadline.
fn ends_early(
    path: &str,
    attempts: u32,
    (begin, new): (&'static str, NewConnections),
    status: u16,
) {
    let mut platform = Platform::new(BINARY);
    platform.put_routes(2, attempts);
    start_gone(&platform, begin, new);
    platform.start_gateway();
    platform.wait_logged(0, "routes: activated version=2");
    let sent = Instant::now();
    assert_eq!(platform.send(0, path, "id-1", "").status, status);
    assert!(sent.elapsed() < BORNE + SLACK, "{:?}", sent.elapsed());
    platform.wait_logged(0, "front: silent target is gone");
    assert_eq!(platform.times_logged(0, "front: silent target is gone"), 1);
}

macro_rules! gone {
    ($($name:ident: $path:expr, $attempts:expr, $begin:expr, $new:expr => $status:expr;)*) => {
        $(
            // Guards against callers that wait until their deadline for a target that is gone.
            #[test]
            fn $name() {
                ends_early($path, $attempts, ($begin, $new), $status);
            }
        )*
    };
}

gone! {
    a_stream_whose_target_is_gone_ends_before_its_deadline: "/stream-resumable/a", 1, BEGIN, NewConnections::Refused => 0;
    a_stream_whose_target_is_cut_off_ends_before_its_deadline: "/stream-resumable/a", 1, BEGIN, NewConnections::Unanswered => 0;
    a_repeatable_request_whose_target_is_gone_ends_before_its_deadline: "/safe/a", 1, "", NewConnections::Refused => 502;
    a_repeatable_request_whose_target_is_cut_off_ends_before_its_deadline: "/safe/a", 1, "", NewConnections::Unanswered => 502;
    a_repeatable_request_whose_only_target_is_gone_ends_before_its_deadline: "/safe/a", 3, "", NewConnections::Refused => 502;
}

// Guards against new requests for a target while it is silent, and against one that is avoided after it has gone on.
#[test]
fn a_silent_target_is_avoided_until_it_goes_on() {
    let (platform, [near, far]) = near_and_far(1);
    near.fail_next(1, pause(Some(3), LASTING_SILENCE_MS));
    thread::scope(|scope| {
        let first = scope.spawn(|| platform.send(0, "/stream-resumable/a", "id-1", ""));
        thread::sleep(INTO_SILENCE);
        assert_eq!(platform.send(0, "/safe/a", "id-2", "").status, 200);
        assert_eq!((near.runs().len(), far.runs().len()), (1, 1));
        assert_eq!(first.join().expect("it ends").text, whole_stream());
    });
    assert_eq!(platform.send(0, "/safe/a", "id-3", "").status, 200);
    assert_eq!((near.runs().len(), far.runs().len()), (2, 1));
}

// Guards against a target that stays avoided although it has gone on for another request.
#[test]
fn a_target_that_a_request_has_left_is_used_again_once_it_goes_on() {
    let (platform, [near, far]) = near_and_far(2);
    near.fail_next(1, pause(Some(3), LASTING_SILENCE_MS));
    near.fail_then(1, pause(None, LASTING_SILENCE_MS));
    thread::scope(|scope| {
        // It may run only once, so it stays.
        let stays = scope.spawn(|| platform.send(0, "/stream/a", "id-1", ""));
        thread::sleep(Duration::from_millis(50));
        let leaves = scope.spawn(|| platform.send(0, "/safe/a", "id-2", ""));
        assert_eq!(stays.join().expect("it ends").text, whole_stream());
        assert_eq!(leaves.join().expect("it ends").text, whole_stream());
    });
    assert_eq!((near.runs().len(), far.runs().len()), (2, 1));
    assert_eq!(platform.send(0, "/safe/a", "id-3", "").status, 200);
    assert_eq!((near.runs().len(), far.runs().len()), (3, 1));
}

/// Sends a request to a target that pauses for long and is removed from the list meanwhile, while it accepts connections.
fn outlasts_removal(path: &str, after: Option<u64>) {
    let (platform, [near, far]) = near_and_far(1);
    near.fail_next(1, pause(after, LONG_SILENCE_MS));
    thread::scope(|scope| {
        let sent = scope.spawn(|| platform.send(0, path, "id-1", ""));
        wait_until("it runs", || near.runs().len() == 1);
        platform.store.remove("servers", "t-near");
        let answer = sent.join().expect("it ends");
        assert_eq!((answer.status, answer.text), (200, whole_stream()));
    });
    platform.wait_logged(0, "front: target spoke again");
    assert_eq!((near.runs().len(), far.runs().len()), (1, 0));
}

macro_rules! removals {
    ($($name:ident: $path:expr, $after:expr;)*) => {
        $(
            // Guards against answers that are broken off because their target is leaving and silent for a few seconds.
            #[test]
            fn $name() {
                outlasts_removal($path, $after);
            }
        )*
    };
}

removals! {
    a_stream_outlasts_a_silence_of_a_target_that_leaves: "/stream-resumable/a", Some(3);
    a_repeatable_request_outlasts_a_silence_of_a_target_that_leaves: "/safe/a", None;
}

// Guards against callers that wait until their deadline for a frozen process: its kernel still accepts connections.
#[test]
fn a_request_whose_target_has_left_long_ago_ends_before_its_deadline() {
    let (platform, [near, _]) = near_and_far(1);
    near.fail_next(1, pause(None, ENDLESS_MS));
    thread::scope(|scope| {
        let sent = scope.spawn(|| platform.send(0, "/safe/a", "id-1", ""));
        wait_until("it runs", || near.runs().len() == 1);
        platform.store.remove("servers", "t-near");
        assert_eq!(sent.join().expect("it ends").status, 502);
    });
    platform.wait_logged(0, "sign=unlisted");
}

/// Longer than the time after which a target counts as silent for an item.
const ITEM_SILENCE_MS: u64 = 4_000;
/// Longer than a test runs.
const ENDLESS_MS: u64 = 120_000;
const ITEM: &str = "item-a";

macro_rules! item_silences {
    ($($name:ident: $after:expr;)*) => {
        $(
            // Guards against items that are run again although their targets are at work, with no other target.
            #[test]
            fn $name() {
                let mut platform = Platform::new(BINARY);
                let target = platform.start_target("t-1", PAUSE);
                target.fail_next(1, pause($after, ITEM_SILENCE_MS));
                platform.start_gateway();
                assert_eq!(platform.submit(0, "job-1", &[ITEM]).status, 202);
                let results = platform.all_results(0, "job-1", 1);
                assert_eq!(results[0]["text"], target.text());
                assert_eq!(target.runs_of(ITEM), 1);
            }
        )*
    };
}

item_silences! {
    an_item_outlasts_a_silence_before_its_head: None;
    an_item_outlasts_a_silence_between_events: Some(3);
}

// Guards against an item that is run again although its target, which is leaving, is at work.
#[test]
fn an_item_outlasts_a_silence_of_a_target_that_leaves() {
    let mut platform = Platform::new(BINARY);
    let target = platform.start_target("t-1", PAUSE);
    target.fail_next(1, pause(Some(3), LONG_SILENCE_MS));
    platform.start_gateway();
    assert_eq!(platform.submit(0, "job-1", &[ITEM]).status, 202);
    wait_until("it runs", || target.runs_of(ITEM) == 1);
    platform.store.remove("servers", "t-1");
    assert_eq!(platform.all_results(0, "job-1", 1)[0]["text"], target.text());
    platform.wait_logged(0, "item: target spoke again");
    assert_eq!(target.runs_of(ITEM), 1);
}

// Guards against an item that waits for a target which is silent for long, while another one has free slots.
#[test]
fn an_item_leaves_a_silent_target_for_a_free_one() {
    let (platform, [near, far]) = near_and_far(3);
    near.fail_always(ITEM, pause(Some(3), ENDLESS_MS));
    assert_eq!(platform.submit(0, "job-1", &[ITEM]).status, 202);
    assert_eq!(platform.all_results(0, "job-1", 1)[0]["text"], near.text());
    let runs = far.runs();
    assert_eq!(runs.iter().map(|it| it.after).collect::<Vec<_>>(), [Some(3)]);
    assert_eq!(near.runs_of(ITEM), 1);
}

// Guards against an item that stays at a target which is gone until its time there is up.
#[test]
fn an_item_whose_target_is_gone_is_run_again() {
    let mut platform = Platform::new(BINARY);
    start_gone(&platform, "", NewConnections::Refused);
    platform.start_gateway();
    assert_eq!(platform.submit(0, "job-1", &[ITEM]).status, 202);
    platform.wait_logged(0, "item: attempt ended");
    let target = platform_target(&platform, "t-new", FAR);
    let results = platform.all_results(0, "job-1", 1);
    assert_eq!(results[0]["text"], target.text());
    platform.wait_logged(0, "end=Gone");
    assert_eq!(platform.times_logged(0, "end=Gone"), 1);
}
