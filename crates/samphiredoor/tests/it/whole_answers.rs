//! Checks that callers get complete answers or an error, and that "not run" is true, with a target that records what it
//! ran.

use serde_json::json;

use crate::{
    env::{Answer, RefusingPort, TestEnv, target, wait_until},
    raw_target::{RawTarget, Reply},
};

const PATH: &str = "/services/booking/confirm";

fn gateway_with(service: &str, kind: &str, address: std::net::SocketAddr) -> TestEnv {
    let mut env = TestEnv::new();
    env.start_door();
    env.declare(&json!({
        "services": [{ "name": service, "kind": kind, "repeatable": false }],
        "targets": [target("target-0", service, address)],
    }));
    env
}

fn error(answer: &Answer) -> String {
    answer.json()["error"]["type"].as_str().unwrap_or_default().to_owned()
}

macro_rules! broken_answers {
    ($($name:ident: $reply:expr => $error:expr, $ran:expr;)*) => {
        $(
            /// A target breaks off at a point where the gateway cannot determine whether the booking was made. If the
            /// gateway reported "not run" or an answer, the booking would be made twice or not at all.
            #[test]
            fn $name() {
                let target = RawTarget::start([$reply]);
                let env = gateway_with("booking", "plain", target.address);
                let answer = env.post(0, PATH, &[], "monday");
                assert_eq!(error(&answer), $error, "{}", answer.text);
                assert!(answer.text.contains("may have run"), "{}", answer.text);
                assert_eq!(target.ran().len(), $ran);
                // The next request gets its own answer over a new connection.
                let next = env.post(0, PATH, &[], "tuesday");
                assert_eq!((next.status, next.text.as_str()), (200, "ok"));
                assert_eq!(target.connections(), $ran + 1);
            }
        )*
    };
}

broken_answers! {
    closed_before_reading: Reply::CloseUnread => "connection_lost", 0;
    closed_after_reading: Reply::Close => "connection_lost", 1;
    garbage: Reply::SendAndClose("good day\r\n\r\n") => "connection_lost", 1;
    half_of_a_body:
        Reply::SendAndClose("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf") => "answer_cut", 1;
    cut_chunks:
        Reply::SendAndClose("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n")
        => "answer_cut", 1;
    no_framing: Reply::SendAndClose("HTTP/1.1 200 OK\r\n\r\nhalf") => "answer_cut", 1;
}

/// Guards against answers that go to the wrong caller: an answer arrives after the deadline of its caller, and the
/// connection would be used for the next request.
#[test]
fn a_late_answer_is_discarded() {
    let (open, gate) = flume::bounded(1);
    let target = RawTarget::start([Reply::Gated(gate, "late")]);
    let env = gateway_with("booking", "plain", target.address);
    let late = env.post(0, PATH, &[("x-deadline-ms", "200")], "monday");
    assert_eq!((late.status, error(&late).as_str()), (504, "deadline_passed"));
    assert!(late.text.contains("may have run"), "{}", late.text);
    open.send(()).expect("the target waits");
    assert_eq!(env.post(0, PATH, &[], "tuesday").text, "ok");
    assert_eq!(target.ran(), ["monday", "tuesday"]);
}

/// A target sends two answers; the second one must not be used as the answer to the next request.
#[test]
fn a_second_answer_is_discarded() {
    let twice = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\noneHTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\ntwo";
    let target = RawTarget::start([Reply::Send(twice)]);
    let env = gateway_with("booking", "plain", target.address);
    assert_eq!(env.post(0, PATH, &[], "monday").text, "one");
    assert_eq!(env.post(0, PATH, &[], "tuesday").text, "ok");
    assert_eq!(target.ran(), ["monday", "tuesday"]);
}

const STREAM: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

macro_rules! streams {
    ($($name:ident: $chunks:expr, whole: $whole:expr;)*) => {
        $(
            /// Guards against truncated answers that look complete: an engine fails in the middle of a stream, and its
            /// framing still ends correctly.
            #[test]
            fn $name() {
                let text: &'static str = Box::leak(format!("{STREAM}{}", $chunks).into_boxed_str());
                let target = RawTarget::start([Reply::SendAndClose(text)]);
                let env = gateway_with("small", "engine", target.address);
                let call = r#"{"model":"small","prompt":"nuts?","stream":true}"#;
                let answer = env.post(0, "/v1/completions", &[], call);
                // If nothing has reached the caller yet, it gets an error instead of a stream.
                let reported = answer.text.contains("event: error") || answer.status == 502;
                assert_eq!(reported, !$whole, "{}", answer.text);
                assert_eq!(answer.text.contains("answer_cut"), !$whole, "{}", answer.text);
            }
        )*
    };
}

streams! {
    a_stream_with_its_last_event_is_whole: "9\r\ndata: a\n\n\r\ne\r\ndata: [DONE]\n\n\r\n0\r\n\r\n", whole: true;
    a_last_event_may_be_split_over_chunks:
        "9\r\ndata: a\n\n\r\n5\r\ndata:\r\n9\r\n [DONE]\n\n\r\n0\r\n\r\n", whole: true;
    a_stream_that_ends_in_order_without_its_last_event_is_cut:
        "9\r\ndata: a\n\n\r\n0\r\n\r\n", whole: false;
    a_last_event_inside_of_a_text_does_not_count:
        "18\r\ndata: say data: [DONE] \n\n\r\n0\r\n\r\n", whole: false;
    a_stream_without_its_last_chunk_is_cut: "9\r\ndata: a\n\n\r\n", whole: false;
    an_empty_stream_is_cut: "0\r\n\r\n", whole: false;
}

const CALL: &str = r#"{"model":"small","prompt":"nuts?","stream":true}"#;

/// Guards against errors after whole answers: the connection ends a stream without a length or chunks, after its last event.
#[test]
fn a_stream_that_its_connection_ends_after_its_last_event_is_whole() {
    let text =
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: a\n\ndata: [DONE]\n\n";
    let target = RawTarget::start([Reply::SendAndClose(text)]);
    let env = gateway_with("small", "engine", target.address);
    let answer = env.post(0, "/v1/completions", &[], CALL);
    assert_eq!((answer.status, answer.text.as_str()), (200, "data: a\n\ndata: [DONE]\n\n"));
}

/// Guards against truncated answers that look complete: streams of plain services have no last event that shows it.
#[test]
fn a_broken_off_stream_of_a_plain_service_cuts_the_connection() {
    let text: &'static str = Box::leak(format!("{STREAM}9\r\ndata: a\n\n\r\n").into_boxed_str());
    let target = RawTarget::start([Reply::SendAndClose(text)]);
    let env = gateway_with("small", "plain", target.address);
    let answer = env.post(0, "/v1/completions", &[], CALL);
    assert_eq!(answer.status, 0, "{}", answer.text);
}

/// Each refusal that happens before a target is called: the target has run nothing, and the answer reports that.
#[test]
fn requests_reported_as_not_run_did_not_run() {
    let target = RawTarget::start([]);
    let env = gateway_with("booking", "plain", target.address);
    let long_key = "k".repeat(300);
    let other = ("x-other", "header");
    let cases = [
        ("/v1/completions", other, "no json", "bad_request"),
        (PATH, ("x-deadline-ms", "soon"), "", "bad_request"),
        (PATH, ("idempotency-key", &*long_key), "", "bad_request"),
        (PATH, ("x-deadline-ms", "0"), "", "deadline_too_short"),
        ("/services/other/confirm", other, "", "unknown_service"),
        ("/v1/completions", other, r#"{"model":"other"}"#, "unknown_service"),
    ];
    for (path, header, body, reason) in cases {
        let answer = env.post(0, path, &[header], body);
        assert_eq!(error(&answer), reason, "{}", answer.text);
        assert!(answer.text.contains(r#""not run""#), "{}", answer.text);
    }
    assert!(target.ran().is_empty());
}

/// No target accepts a connection: nothing was sent, and the answer reports "not run".
#[test]
fn a_refused_connection_is_reported_as_not_run() {
    let refusing = RefusingPort::new();
    let env = gateway_with("booking", "plain", refusing.address);
    let answer = env.post(0, PATH, &[], "monday");
    assert_eq!(answer.status, 503, "{}", answer.text);
    assert!(answer.text.contains(r#""not run""#), "{}", answer.text);
}

/// Guards against wasted work of targets: a caller disconnects while its answer is being sent, and the target must see
/// its connection closed.
#[test]
fn a_target_sees_that_its_caller_disconnected() {
    let target =
        RawTarget::start([Reply::Send("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf")]);
    let mut env = gateway_with("booking", "plain", target.address);
    let request = format!("POST {PATH} HTTP/1.1\r\nhost: door\r\ncontent-length: 6\r\n\r\nmonday");
    let mut caller =
        std::net::TcpStream::connect(env.door(0).callers).expect("the gateway listens");
    std::io::Write::write_all(&mut caller, request.as_bytes()).expect("sent");
    wait_until("the target runs it", || target.ran().len() == 1);
    drop(caller);
    wait_until("the target sees the connection closed", || target.closed_by_client() == 1);
}
