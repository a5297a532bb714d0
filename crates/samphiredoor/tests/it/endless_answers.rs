//! Checks that an answer that does not end, or does not go on, costs one attempt of one call.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

use crate::{
    env::{DoorLocation, TestEnv, get, job_lines, post, target, wait_until},
    raw_target::{RawTarget, Reply},
};

/// Guards against orders that wait forever for the rest of an answer, so that their target never gets its weights.
#[test]
fn an_order_whose_answer_stops_is_sent_again() {
    let started = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf";
    let engine = RawTarget::start([Reply::Send(started)]);
    let mut env = TestEnv::new();
    env.start_door();
    let mut target = target("engine-0", "small", engine.address);
    target["weights"] = json!(["base"]);
    env.declare(&json!({
        "services": [{ "name": "small", "kind": "engine" }],
        "targets": [target],
        "weight_store": { "loads_at_once": 1, "longest_order_ms": 300 },
    }));
    wait_until("the order is sent again", || engine.ran().len() > 1);
    assert!(engine.connections() > 1);
}

const STREAM: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
const LAST_EVENTS: &str =
    "data: {\"choices\":[{\"text\":\"a\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";

macro_rules! items {
    ($($name:ident: $start:expr, $repeated:expr, runs: $runs:expr;)*) => {
        $(
            /// Guards against an item, and its slot, that are lost for ten minutes to an engine that sends without end.
            #[test]
            fn $name() {
                let start: &'static str = Box::leak(format!("{STREAM}{}", $start).into_boxed_str());
                let whole: &'static str =
                    Box::leak(format!("{STREAM}{LAST_EVENTS}").into_boxed_str());
                let script =
                    [Reply::Endless(start, $repeated.repeat(1_000)), Reply::SendAndClose(whole)];
                let engine = RawTarget::start(script);
                let mut env = TestEnv::new();
                env.start_door();
                env.declare(&json!({
                    "services": [{ "name": "small", "kind": "engine", "resumable": true, "repeatable": true }],
                    "targets": [target("engine-0", "small", engine.address)],
                }));
                let key = [("idempotency-key", "monday")];
                let submitted = env.post(0, "/v1/batches", &key, &job_lines(1, 1));
                assert_eq!(submitted.status, 200, "{}", submitted.text);
                let job = submitted.json()["id"].as_str().expect("an id").to_owned();
                wait_until("the job is completed", || {
                    env.get(0, &format!("/v1/batches/{job}")).json()["status"] == "completed"
                });
                let results = env.get(0, &format!("/v1/batches/{job}/results")).text;
                assert!(results.contains(r#""outcome":"answered""#), "{results}");
                assert_eq!(engine.ran().len(), $runs);
            }
        )*
    };
}

items! {
    an_item_without_output_is_sent_again: "", ": wait\n\n", runs: 2;
    an_item_whose_event_does_not_end_is_sent_again: "data: {\"choices\":[", "a", runs: 2;
    an_item_with_its_last_event_is_complete: LAST_EVENTS, "a", runs: 1;
    an_item_with_events_after_its_last_one_is_complete: LAST_EVENTS, ": wait\n\n", runs: 1;
}

/// Time after which a stream counts as one without end; deadlines of the tests are shorter.
const MAX_STREAM_TIME: Duration = Duration::from_secs(20);
const CALL: &str = r#"{"model":"small","prompt":"nuts?","stream":true}"#;

/// Sends a streamed call and reads its answer to the end; `None` if it does not end. Returns the last part of it.
fn read_stream(env: &TestEnv, headers: &str) -> Option<String> {
    let mut caller = TcpStream::connect(env.callers(0)).expect("the gateway listens");
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: door\r\nconnection: close\r\ncontent-length: {}\r\n{headers}\r\n",
        CALL.len()
    );
    caller.write_all(format!("{head}{CALL}").as_bytes()).expect("sent");
    caller.set_read_timeout(Some(MAX_STREAM_TIME)).expect("a timeout");
    let (started, mut last, mut buffer) = (Instant::now(), Vec::new(), [0; 16 * 1024]);
    while started.elapsed() < MAX_STREAM_TIME {
        let read = caller.read(&mut buffer).ok()?;
        if read == 0 {
            return Some(String::from_utf8_lossy(&last).into_owned());
        }
        last.extend_from_slice(&buffer[..read]);
        last.drain(..last.len().saturating_sub(buffer.len()));
    }
    None
}

fn gateway_with(kind: &str, start: &str, repeated: &str) -> (TestEnv, RawTarget) {
    let start: &'static str = Box::leak(format!("{STREAM}{start}").into_boxed_str());
    let target_0 = RawTarget::start([Reply::Endless(start, repeated.repeat(1_000))]);
    let mut env = TestEnv::new();
    env.start_door();
    env.declare(&json!({
        "services": [{ "name": "small", "kind": kind, "repeatable": false }],
        "targets": [target("target-0", "small", target_0.address)],
    }));
    (env, target_0)
}

macro_rules! streams {
    ($($name:ident: $kind:expr, $start:expr, $repeated:expr, ends_with: $end:expr;)*) => {
        $(
            /// Guards against streams that go on after their deadline or their last event, as long as bytes pour in.
            #[test]
            fn $name() {
                let (env, target) = gateway_with($kind, $start, $repeated);
                let stream = read_stream(&env, "x-deadline-ms: 2000\r\n").expect("the stream ends");
                assert!(stream.contains($end), "{stream}");
                wait_until("the connection is closed", || target.endless_closed() == 1);
            }
        )*
    };
}

streams! {
    a_stream_of_events_ends_at_its_deadline: "engine", "", "data: a\n\n", ends_with: "deadline_passed";
    a_stream_of_a_plain_service_ends_at_its_deadline: "plain", "", "data: a\n\n", ends_with: "data: a";
    a_stream_whose_event_does_not_end_is_cut: "engine", "data: ", "a", ends_with: "answer_cut";
    a_stream_ends_after_its_last_event: "engine", LAST_EVENTS, "a", ends_with: "data: [DONE]\n\n\r\n0\r\n";
    a_stream_ends_after_its_last_event_before_empty_lines:
        "engine", LAST_EVENTS, "\n", ends_with: "data: [DONE]\n\n";
}

/// Guards against keys that stay unanswered, and run no more, after a whole answer whose connection stays open.
#[test]
fn a_keyed_stream_is_answered_after_its_last_event() {
    let (env, target) = gateway_with("engine", LAST_EVENTS, "a");
    let headers = "idempotency-key: monday\r\nx-deadline-ms: 2000\r\n";
    assert!(read_stream(&env, headers).is_some_and(|it| it.contains("[DONE]")));
    let again = read_stream(&env, headers).expect("an answer");
    assert!(again.contains("x-replayed: true"), "{again}");
    assert_eq!(target.ran().len(), 1);
}

/// Answer to some of the calls to a store.
#[derive(Clone)]
struct StoreReply {
    /// Part of the head of these calls.
    to: &'static str,
    answer: &'static str,
    /// Sent after the answer until the gateway closes the connection, unless it is empty.
    repeated: String,
}

/// Passes calls to a store, except those that get a reply; counts the connections of endless replies that the gateway closed.
fn start_store(store: SocketAddr, reply: StoreReply) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let closed = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&closed);
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let (reply, closed) = (reply.clone(), Arc::clone(&counter));
            thread::spawn(move || relay_calls(client, store, &reply, &closed));
        }
    });
    (address, closed)
}

fn relay_calls(mut client: TcpStream, store: SocketAddr, reply: &StoreReply, closed: &AtomicUsize) {
    let mut upstream = TcpStream::connect(store).expect("the store listens");
    let (mut answers, mut to_client) =
        (upstream.try_clone().expect("a handle"), client.try_clone().expect("a handle"));
    thread::spawn(move || std::io::copy(&mut answers, &mut to_client));
    let mut buffer = [0; 16 * 1024];
    while let Some(read) = client.read(&mut buffer).ok().filter(|it| *it > 0) {
        if !String::from_utf8_lossy(&buffer[..read]).contains(reply.to) {
            if upstream.write_all(&buffer[..read]).is_err() {
                return;
            }
            continue;
        }
        let _ = client.write_all(reply.answer.as_bytes());
        if !reply.repeated.is_empty() {
            while client.write_all(reply.repeated.as_bytes()).is_ok() {}
            closed.fetch_add(1, Ordering::SeqCst);
            return;
        }
    }
}

fn gateway_at(reply: StoreReply) -> (TestEnv, Arc<AtomicUsize>) {
    let mut env = TestEnv::new();
    let (store, closed) = start_store(env.store, reply);
    env.start_door_at(&DoorLocation { store, ..DoorLocation::default() }, "");
    env.declare(&json!({ "services": [], "targets": [] }));
    (env, closed)
}

macro_rules! watches {
    ($($name:ident: $repeated:expr;)*) => {
        $(
            /// Guards against watches that are busy forever with bytes that are no events, so that no change arrives.
            #[test]
            fn $name() {
                let (mut env, closed) = gateway_at(StoreReply {
                    to: "/manifests?watch=1",
                    answer: "HTTP/1.1 200 OK\r\n\r\n",
                    repeated: $repeated.repeat(1_000),
                });
                wait_until("the watch is closed", || closed.load(Ordering::SeqCst) > 0);
                wait_until("the gateway is ready", || {
                    get(env.door(0).operators, "/ready").status == 200
                });
            }
        )*
    };
}

watches! {
    a_watch_whose_event_does_not_end_is_closed: "a";
    a_watch_whose_events_cannot_be_read_is_closed: "a\n";
    a_watch_of_empty_lines_is_closed: "\n";
}

/// Guards against a list that reads the same page forever, and a call of an operator that is never answered.
#[test]
fn a_list_that_repeats_a_page_fails() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 62\r\n\r\n\
        {\"metadata\":{\"resourceVersion\":\"1\",\"continue\":\"a\"},\"items\":[]}";
    let reply = StoreReply { to: "/jobs?limit=", answer, repeated: String::new() };
    let (mut env, _) = gateway_at(reply);
    let operators = env.door(0).operators;
    let asking = thread::spawn(move || post(operators, "/statement", &[], "jobs"));
    wait_until("the operator is answered", || asking.is_finished());
    assert_eq!(asking.join().expect("an answer").status, 503);
}

/// Objects of other writers, of which none is a job.
const ODD_OBJECTS: [&str; 5] = [
    "null",
    "{\"metadata\":{\"name\":\"a\",\"resourceVersion\":\"3\"}}",
    "{\"metadata\":{\"name\":\"b\",\"resourceVersion\":\"1e99\"},\"spec\":{}}",
    "{\"metadata\":{\"name\":\"c\",\"labels\":{\"a\":7}},\"spec\":{}}",
    "{\"metadata\":{\"name\":[[[[[[[[]]]]]]]]},\"spec\":{}}",
];

/// Guards against a list that fails as a whole because of an object in it that another writer left.
#[test]
fn a_list_with_odd_objects_is_read() {
    for odd in ODD_OBJECTS {
        let body = format!("{{\"metadata\":{{\"resourceVersion\":\"1\"}},\"items\":[{odd}]}}");
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        let answer = answer.leak();
        let reply = StoreReply { to: "/jobs?limit=", answer, repeated: String::new() };
        let (mut env, _) = gateway_at(reply);
        let asked = post(env.door(0).operators, "/statement", &[], "jobs");
        assert_eq!(asked.status, 200, "{odd}: {}", asked.text);
    }
}

macro_rules! links {
    ($($name:ident: $byte:expr;)*) => {
        $(
            /// Guards against a gateway that stands still, or keeps a link, while bytes that are no call pour in.
            #[test]
            fn $name() {
                let mut env = TestEnv::new();
                env.start_door();
                let mut link = TcpStream::connect(env.door(0).peers).expect("the gateway listens");
                let sending = thread::spawn(move || while link.write_all(&[$byte; 64 * 1024]).is_ok() {});
                env.declare(&json!({ "services": [], "targets": [] }));
                wait_until("the link is closed", || sending.is_finished());
            }
        )*
    };
}

links! {
    a_link_of_empty_messages_is_closed: 0_u8;
    a_link_without_messages_is_closed: b'a';
}
