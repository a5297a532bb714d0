//! Targets that respond twice, late, partly or not at all, and callers that disconnect.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
};

use http_body_util::BodyExt;
use hyper::{
    Request, Response,
    header::{HeaderName, HeaderValue},
};
use samphiredoor_net::{
    Body, Pool,
    body::read_whole,
    fetch::{FetchError, FetchLimits},
    pool::{CloseDelimited, ResponseBody, SendError, within},
};

/// Timeout of the test, not of the pool.
const TEST_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(20);

/// Starts a target that calls `serve` for one connection after another, with their numbers.
fn start_target(serve: impl Fn(usize, TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            serve(number, stream);
        }
    });
    address
}

/// Reads one request without a body; returns its path, or `None` if the client has closed the connection.
fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        text.push(byte[0]);
    }
    String::from_utf8_lossy(&text).split(' ').nth(1).map(str::to_owned)
}

fn complete_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

fn write(stream: &mut TcpStream, text: &str) {
    let _ = stream.write_all(text.as_bytes());
}

fn get(path: &str) -> Request<Body> {
    let request = Request::builder().uri(path).header("host", "target");
    request.body(Body::empty()).expect("a request")
}

async fn text(response: Response<ResponseBody>) -> Result<String, String> {
    match read_whole(response.into_body(), 100_000).await {
        Ok(body) => Ok(String::from_utf8_lossy(&body).into_owned()),
        Err(err) => Err(format!("{err:?}")),
    }
}

fn run(test: impl Future<Output = ()>) {
    compio::runtime::Runtime::new().expect("a runtime").block_on(test);
}

/// The target sends two responses to one request, as a faulty one may after a retry of its own. The second response is
/// already on the connection when the next caller's request is sent; that caller must not get it.
#[test]
fn a_second_response_never_goes_to_the_next_request() {
    let address = start_target(|_, mut stream| {
        thread::spawn(move || {
            while let Some(path) = read_request(&mut stream) {
                let extra =
                    if path == "/first" { complete_response("stray") } else { String::new() };
                write(&mut stream, &(complete_response(&path) + &extra));
            }
        });
    });
    run(async {
        for _ in 0..100 {
            let pool = Pool::new(address);
            let first = pool.send(get("/first")).await.expect("a response");
            assert_eq!(text(first).await.as_deref(), Ok("/first"));
            match pool.send(get("/second")).await {
                Ok(second) => assert_eq!(text(second).await.as_deref(), Ok("/second")),
                Err(SendError::NotSent(err)) => panic!("a new connection was possible: {err}"),
                // Allowed: the caller learns that the request may have run, although its result is lost.
                Err(SendError::MayHaveRun(_)) => {}
            }
        }
    });
}

/// A response arrives after its caller has stopped waiting. Its connection must not carry another request, which would get
/// the late response.
#[test]
fn a_late_response_never_goes_to_another_request() {
    let (request_sender, requests) = flume::unbounded::<()>();
    let (release, gate) = flume::unbounded::<()>();
    let address = start_target(move |number, mut stream| {
        let (request_sender, gate) = (request_sender.clone(), gate.clone());
        thread::spawn(move || {
            while let Some(path) = read_request(&mut stream) {
                let _ = request_sender.send(());
                if number == 0 {
                    let _ = gate.recv();
                }
                write(&mut stream, &complete_response(&path));
            }
        });
    });
    run(async {
        let pool = Pool::new(address);
        {
            let late = std::pin::pin!(pool.send(get("/late")));
            let received = std::pin::pin!(requests.recv_async());
            let _ = futures_util::future::select(late, received).await;
        }
        release.send(()).expect("the target waits");
        assert_eq!(pool.idle_len(), 0);
        let next = pool.send(get("/next")).await.expect("a response");
        assert_eq!(text(next).await.as_deref(), Ok("/next"));
    });
}

/// A caller disconnects during its response. The target must see the close at once, or an engine would continue generating.
#[test]
fn dropping_a_response_closes_the_connection() {
    let (sender, next_read) = flume::bounded(1);
    let address = start_target(move |_, mut stream| {
        read_request(&mut stream);
        write(&mut stream, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi\r\n");
        let _ = sender.send(read_request(&mut stream));
    });
    run(async {
        let pool = Pool::new(address);
        let mut body = pool.send(get("/stream")).await.expect("a head").into_body();
        let first = body.frame().await.expect("a piece").expect("whole");
        assert_eq!(first.into_data().expect("data").as_ref(), b"hi");
        drop(body);
        let seen =
            within(TEST_TIMEOUT, next_read.recv_async()).await.expect("the target sees the end");
        assert_eq!(seen, Ok(None));
        assert_eq!(pool.idle_len(), 0);
    });
}

/// The target closes a pooled connection while it is idle. The next request must use a new connection, not be lost.
#[test]
fn a_connection_closed_while_idle_loses_no_request() {
    let address = start_target(|_, mut stream| {
        if let Some(path) = read_request(&mut stream) {
            write(&mut stream, &complete_response(&path));
        }
    });
    run(async {
        let pool = Pool::new(address);
        for number in 0..20 {
            let path = format!("/{number}");
            match pool.send(get(&path)).await {
                Ok(response) => assert_eq!(text(response).await, Ok(path)),
                // The request was written before the close was seen: no other error is allowed.
                Err(SendError::MayHaveRun(_)) => {}
                Err(SendError::NotSent(err)) => panic!("a new connection was possible: {err}"),
            }
        }
    });
}

/// A request that is reported as not sent counts as not run, and is run elsewhere. The pool must never report this of a
/// request that the target has read.
#[test]
fn a_request_that_was_read_is_never_reported_as_not_sent() {
    let (sender, paths) = flume::unbounded();
    let address = start_target(move |number, mut stream| {
        let sender = sender.clone();
        thread::spawn(move || {
            // Responds to some requests of a connection, then closes it before or after reading the next one.
            for _ in 0..number % 3 {
                let Some(path) = read_request(&mut stream) else { return };
                let _ = sender.send(path);
                write(&mut stream, &complete_response("ok"));
            }
            if number % 2 == 0
                && let Some(path) = read_request(&mut stream)
            {
                let _ = sender.send(path);
            }
        });
    });
    run(async {
        let pool = Pool::new(address);
        let mut unsent = Vec::new();
        for number in 0..300 {
            let path = format!("/{number}");
            match pool.send(get(&path)).await {
                Ok(response) => {
                    let _ = text(response).await;
                }
                Err(SendError::NotSent(_)) => unsent.push(path),
                Err(SendError::MayHaveRun(_)) => {}
            }
        }
        let read: Vec<String> = paths.drain().collect();
        let twice = read.len() - read.iter().collect::<std::collections::BTreeSet<_>>().len();
        assert_eq!(twice, 0, "a request was sent twice");
        assert!(!unsent.iter().any(|it| read.contains(it)), "{unsent:?}");
    });
}

const ID: HeaderName = HeaderName::from_static("x-id");
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");

fn get_with_id(path: &str, id: &str) -> Request<Body> {
    let mut request = get(path);
    request.headers_mut().insert(ID, HeaderValue::from_str(id).expect("a value"));
    request
}

/// Starts a target that echoes the number "1" as the id of each request, and responds again to the request before each one on
/// the same connection. Responses have the number of the connection and the path of the request.
fn start_target_that_repeats() -> SocketAddr {
    start_target(|number, mut stream| {
        thread::spawn(move || {
            let mut earlier = String::new();
            while let Some(path) = read_request(&mut stream) {
                let body = format!("{number}{path}");
                let length = body.len();
                let own =
                    format!("HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: {length}\r\n\r\n{body}");
                write(&mut stream, if earlier.is_empty() { &own } else { &earlier });
                earlier = own;
            }
        });
    })
}

/// All attempts of a request have the same id, so the id does not tell a late second response to an earlier attempt from that
/// to a later one.
#[test]
fn a_second_response_to_an_attempt_never_goes_to_the_next_attempt() {
    let address = start_target_that_repeats();
    run(async {
        let pool = Pool::new(address).with_echoed_header(ID);
        for number in 0..20 {
            let path = format!("/{number}");
            let response = pool.send(get_with_id(&path, "1")).await.expect("a response");
            assert_eq!(text(response).await, Ok(format!("{number}{path}")));
        }
    });
}

/// Guards against a new connection for each request, and against the loss of those that one request can't use.
#[test]
fn a_connection_is_reused_for_requests_with_other_ids() {
    let address = start_target(|number, mut stream| {
        thread::spawn(move || {
            while read_request(&mut stream).is_some() {
                write(&mut stream, &complete_response(&number.to_string()));
            }
        });
    });
    run(async {
        let pool = Pool::new(address).with_echoed_header(ID);
        let mut connections = Vec::new();
        for id in ["1", "2", "2", "1", "3", "3"] {
            let response = pool.send(get_with_id("/", id)).await.expect("a response");
            connections.push(text(response).await.expect("a body"));
        }
        assert_eq!(connections, ["0", "0", "1", "1", "1", "0"]);
        for _ in 0..2 {
            let response = pool.send(get("/")).await.expect("a response");
            assert_eq!(text(response).await.as_deref(), Ok("0"), "without an id");
        }
    });
}

/// Number of connections that may be used again after a response with this status and header.
async fn reusable_after(status: &str, header: &str) -> usize {
    let response = format!("HTTP/1.1 {status}\r\n{header}content-length: 0\r\n\r\n");
    let address = start_target(move |_, mut stream| {
        let response = response.clone();
        thread::spawn(move || {
            while read_request(&mut stream).is_some() {
                write(&mut stream, &response);
            }
        });
    });
    let pool = Pool::new(address).with_echoed_header(ID).with_refusal_header(NOT_RUN);
    let received = pool.send(get_with_id("/", "1")).await.expect("a response");
    assert_eq!(text(received).await.as_deref(), Ok(""));
    pool.idle_len()
}

macro_rules! connections_after_refusals {
    ($($name:ident: $status:expr, $header:expr => $reusable:expr;)*) => {
        $(
            // Guards against a request that runs twice, as the late second copy of a refusal is taken for the response to it.
            #[test]
            fn $name() {
                run(async { assert_eq!(reusable_after($status, $header).await, $reusable) });
            }
        )*
    };
}

connections_after_refusals! {
    a_connection_is_not_reused_after_a_refusal_without_an_id: "503 Busy", "x-not-run: 1\r\n" => 0;
    a_connection_is_not_reused_after_a_wrong_target_without_an_id: "421 Misdirected", "" => 0;
    a_connection_is_reused_after_a_refusal_with_its_id: "503 Busy", "x-not-run: 1\r\nx-id: 1\r\n" => 1;
    a_connection_is_reused_after_a_failure_without_an_id: "503 Busy", "" => 1;
}

macro_rules! incomplete_responses {
    ($($name:ident: $sent:expr;)*) => {
        $(
            /// The target closes the connection during its response. Reading the response must fail, or a caller would
            /// take a part for the whole; and the connection must not be used again.
            #[test]
            fn $name() {
                let address = start_target(|_, mut stream| {
                    read_request(&mut stream);
                    write(&mut stream, $sent);
                });
                run(async {
                    let pool = Pool::new(address);
                    match pool.send(get("/")).await {
                        Ok(response) => assert!(text(response).await.is_err()),
                        Err(err) => assert!(matches!(err, SendError::MayHaveRun(_)), "{err:?}"),
                    }
                    assert_eq!(pool.idle_len(), 0);
                });
            }
        )*
    };
}

incomplete_responses! {
    a_close_without_a_response_is_an_error: "";
    a_truncated_head_is_an_error: "HTTP/1.1 200 OK\r\ncontent-le";
    a_body_shorter_than_its_length_is_an_error:
        "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf";
    chunked_framing_without_its_last_chunk_is_an_error:
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n";
    a_truncated_chunk_is_an_error:
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nhalf";
    a_chunk_without_a_length_is_an_error:
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nxyz\r\nhalf\r\n0\r\n\r\n";
    a_response_that_only_the_close_ends_is_an_error: "HTTP/1.1 200 OK\r\n\r\nhalf";
    a_response_that_is_not_http_is_an_error: "hello there\r\n\r\n";
    two_lengths_are_an_error:
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 2\r\n\r\nhalf";
}

/// Heads with a length, with chunks, of an event stream that its connection ends, and after an interim one.
const HEADS: [&str; 4] = [
    "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
];

macro_rules! heads_that_break_off {
    ($($name:ident: $close_delimited:expr;)*) => {
        $(
            /// Guards against an empty response in place of one whose head breaks off at any byte.
            #[test]
            fn $name() {
                let parts = HEADS.iter().flat_map(|head| (1..head.len()).map(|it| &head[..it]));
                let parts: Vec<&'static str> = parts.collect();
                let count = parts.len();
                let address = start_target(move |number, mut stream| {
                    read_request(&mut stream);
                    write(&mut stream, parts[number]);
                });
                run(async {
                    let pool = Pool::new(address).with_close_delimited($close_delimited);
                    for number in 0..count {
                        let limits = FetchLimits::new(TEST_TIMEOUT, 100);
                        let fetched = pool.fetch(get("/"), limits).await;
                        assert!(matches!(fetched, Err(FetchError::MayHaveRun(_))), "{number}: {fetched:?}");
                    }
                });
            }
        )*
    };
}

heads_that_break_off! {
    a_part_of_a_head_is_no_response_of_a_target: CloseDelimited::Complete;
    a_part_of_a_head_is_no_response_of_the_store_or_a_gateway: CloseDelimited::Incomplete;
}

/// Target that announces a keep-alive timeout with each response, which has the number of its connection.
fn start_target_that_announces(seconds: &'static str) -> SocketAddr {
    start_target(move |number, mut stream| {
        while read_request(&mut stream).is_some() {
            let body = number.to_string();
            write(
                &mut stream,
                &format!(
                    "HTTP/1.1 200 OK\r\nkeep-alive: timeout={seconds}\r\ncontent-length: {}\r\n\r\n{body}",
                    body.len()
                ),
            );
        }
    })
}

macro_rules! announced_timeouts {
    ($($name:ident: $seconds:expr;)*) => {
        $(
            // Guards against a panic on a number in `Keep-Alive` that no time has.
            #[test]
            fn $name() {
                let pool = Pool::new(start_target_that_announces($seconds));
                run(async move {
                    for _ in 0..2 {
                        let response = pool.send(get("/")).await.expect("a response");
                        assert_eq!(text(response).await, Ok("0".to_owned()), "the connection is reused");
                    }
                });
            }
        )*
    };
}

announced_timeouts! {
    a_keep_alive_timeout_is_kept: "60";
    the_largest_number_as_a_keep_alive_timeout_is_kept: "18446744073709551615";
    a_number_beyond_all_times_as_a_keep_alive_timeout_is_ignored: "99999999999999999999999";
    no_number_as_a_keep_alive_timeout_is_ignored: "soon";
}
