//! Servers and clients that send bytes without end.

use std::{
    future::poll_fn,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    pin::Pin,
    task::ready,
    thread,
    time::Duration,
};

use futures_util::future::join;
use hyper::{
    Method, Request, Response,
    body::Incoming,
    rt::{Read as _, ReadBuf},
};
use samphiredoor_net::{
    Body, Pool, ServeLimits, Server,
    body::read_whole,
    pool::{SendError, within},
    stream::Stream,
};

/// Timeout of the tests. It is kept by a thread of its own, as a flood may stop the timers of a runtime.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of a request whose response does not end.
const DEADLINE: Duration = Duration::from_millis(300);
const INTERIM_HEAD: &str = "HTTP/1.1 100 Continue\r\n\r\n";
const HINT: &str = "HTTP/1.1 103 Early Hints\r\nlink: </a>; rel=preload\r\n\r\n";
const RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// Reads the head of a request; `false` if the client has closed the connection.
fn read_head(stream: &mut TcpStream) -> bool {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).is_ok_and(|it| it > 0) {
            head.push(byte[0]);
        } else {
            return false;
        }
    }
    true
}

/// Sends `text` again and again, until the connection is closed.
fn flood(stream: &mut TcpStream, text: &str, pause: Duration) {
    let text = match pause {
        Duration::ZERO => text.repeat(64 * 1024 / text.len()),
        _ => text.to_owned(),
    };
    while stream.write_all(text.as_bytes()).is_ok() {
        thread::sleep(pause);
    }
}

/// Starts a server that answers each request with `start`, followed by `endless` again and again if it is not empty. The
/// channel receives a message for each connection that was closed during that.
fn start_target(
    start: &'static str,
    endless: &'static str,
    pause: Duration,
) -> (SocketAddr, flume::Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (sender, closes) = flume::unbounded();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let sender = sender.clone();
            thread::spawn(move || {
                while read_head(&mut stream) && stream.write_all(start.as_bytes()).is_ok() {
                    if !endless.is_empty() {
                        flood(&mut stream, endless, pause);
                        let _ = sender.send(());
                    }
                }
            });
        }
    });
    (address, closes)
}

fn start_sound_target() -> SocketAddr {
    start_target(RESPONSE, "", Duration::ZERO).0
}

fn get() -> Request<Body> {
    Request::get("/").header("host", "target").body(Body::empty()).expect("a request")
}

/// Runs a test in a thread of its own, for at most [`TEST_TIMEOUT`].
fn run<F: Future<Output = ()>>(test: impl FnOnce() -> F + Send + 'static) {
    let (sender, ended) = flume::bounded(1);
    thread::spawn(move || {
        compio::runtime::Runtime::new().expect("a runtime").block_on(test());
        let _ = sender.send(());
    });
    ended.recv_timeout(TEST_TIMEOUT).expect("the test ends in time");
}

async fn is_answered(pool: &Pool) -> bool {
    let Ok(response) = pool.send(get()).await else { return false };
    read_whole(response.into_body(), 100).await.is_ok_and(|it| it == "ok")
}

/// Whether a request to another target is answered after the flood has begun.
async fn is_answered_beside() -> bool {
    let sound = Pool::new(start_sound_target());
    compio::time::sleep(DEADLINE).await;
    is_answered(&sound).await
}

macro_rules! floods_before_a_response {
    ($($name:ident: $start:expr, $endless:expr, $pause_ms:expr;)*) => {$(
        /// The request must fail and its connection close, without harm to a request to another target.
        #[test]
        fn $name() {
            let (faulty, closes) = start_target($start, $endless, Duration::from_millis($pause_ms));
            run(async move || {
                let pool = Pool::new(faulty);
                let (flooded, is_answered) = join(pool.send(get()), is_answered_beside()).await;
                assert!(matches!(flooded, Err(SendError::MayHaveRun(_))), "{:?}", flooded.err());
                assert!(is_answered);
                assert_eq!(pool.idle_len(), 0);
                closes.recv_async().await.expect("the target sees the close");
            });
        }
    )*};
}

floods_before_a_response! {
    interim_heads_without_end_fail_the_request: "", INTERIM_HEAD, 0;
    interim_heads_that_arrive_slowly_fail_the_request: "", INTERIM_HEAD, 20;
    long_interim_heads_without_end_fail_the_request: "", HINT, 0;
    a_head_without_end_fails_the_request: "HTTP/1.1 200 OK\r\n", "x: y\r\n", 0;
    empty_lines_without_end_fail_the_request: "", "\r\n", 0;
}

/// Guards against limits that reject the interim heads of sound servers.
#[test]
fn a_few_interim_heads_precede_a_response() {
    let start = format!("{INTERIM_HEAD}{}{RESPONSE}", HINT.repeat(5)).leak();
    let (address, _closes) = start_target(start, "", Duration::ZERO);
    run(async move || {
        let pool = Pool::new(address);
        for _ in 0..100 {
            assert!(is_answered(&pool).await);
        }
        assert_eq!(pool.idle_len(), 1);
    });
}

/// Guards against limits that count the content of a sound response.
#[test]
fn many_small_chunks_are_read_completely() {
    const CHUNKS: usize = 20_000;
    let start = format!("{CHUNKED_HEAD}{}0\r\n\r\n", "1\r\nx\r\n".repeat(CHUNKS)).leak();
    let (address, _closes) = start_target(start, "", Duration::ZERO);
    run(async move || {
        let pool = Pool::new(address);
        let body = pool.send(get()).await.expect("a head").into_body();
        assert_eq!(read_whole(body, CHUNKS).await.map(|it| it.len()).ok(), Some(CHUNKS));
        assert_eq!(pool.idle_len(), 1);
    });
}

macro_rules! floods_within_a_body {
    ($($name:ident: $start:expr, $endless:expr;)*) => {$(
        /// The deadline of the request must be kept, without harm to a request to another target.
        #[test]
        fn $name() {
            let (faulty, closes) = start_target($start, $endless, Duration::ZERO);
            run(async move || {
                let pool = Pool::new(faulty);
                let read = async {
                    let body = pool.send(get()).await.expect("a head").into_body();
                    read_whole(body, usize::MAX).await
                };
                let (read, is_answered) =
                    join(within(DEADLINE, read), is_answered_beside()).await;
                assert!(!matches!(read, Some(Ok(_))));
                assert!(is_answered);
                assert_eq!(pool.idle_len(), 0);
                closes.recv_async().await.expect("the target sees the close");
            });
        }
    )*};
}

floods_within_a_body! {
    chunks_without_end_do_not_stop_other_requests: CHUNKED_HEAD, "1\r\nx\r\n";
    a_chunk_size_without_end_does_not_stop_other_requests: CHUNKED_HEAD, "0";
    trailers_without_end_do_not_stop_other_requests:
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "x: y\r\n";
}

/// A chunk size without end is no progress: it must fail the response before the deadline of its reader.
#[test]
fn a_chunk_size_without_end_fails_the_response() {
    let (address, _closes) = start_target(CHUNKED_HEAD, "0", Duration::ZERO);
    run(async move || {
        let body = Pool::new(address).send(get()).await.expect("a head").into_body();
        assert!(read_whole(body, usize::MAX).await.is_err());
    });
}

macro_rules! floods_after_a_response {
    ($($name:ident: $start:expr, $endless:expr, $body:expr;)*) => {$(
        /// The response must be complete, and its connection close although no further request is sent.
        #[test]
        fn $name() {
            let (address, closes) = start_target($start, $endless, Duration::ZERO);
            run(async move || {
                let pool = Pool::new(address);
                for _ in 0..20 {
                    let response = pool.send(get()).await.expect("a response");
                    let body = read_whole(response.into_body(), 100).await.expect("complete");
                    assert_eq!(body, $body);
                    closes.recv_async().await.expect("the target sees the close");
                    assert!(pool.idle_len() <= 1);
                }
            });
        }
    )*};
}

floods_after_a_response! {
    bytes_without_end_after_a_response_close_its_connection: RESPONSE, "x", "ok";
    empty_lines_without_end_after_a_response_close_its_connection: RESPONSE, "\r\n", "ok";
    interim_heads_without_end_after_a_response_close_its_connection: RESPONSE, INTERIM_HEAD, "ok";
    responses_without_end_after_a_response_close_its_connection: RESPONSE, RESPONSE, "ok";
    bytes_without_end_after_an_empty_response_close_its_connection:
        "HTTP/1.1 204 No Content\r\n\r\n", "x", "";
    bytes_without_end_after_the_last_chunk_close_its_connection:
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "x", "ok";
}

/// Starts a server that reads the body of a request of method POST, and responds to others at once.
fn start_server() -> SocketAddr {
    let (sender, address) = flume::bounded(1);
    thread::spawn(move || {
        compio::runtime::Runtime::new().expect("a runtime").block_on(async move {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let server = Server::bind(any, ServeLimits::default()).await.expect("a port");
            sender.send(server.local_addr().expect("an address")).expect("a waiting test");
            let handler = |request: Request<Incoming>| async move {
                if request.method() == Method::POST {
                    let _ = within(TEST_TIMEOUT, read_whole(request.into_body(), usize::MAX)).await;
                }
                Response::new(Body::full("ok"))
            };
            server.run(handler).await;
        });
    });
    address.recv().expect("the server starts")
}

/// A client that sends a chunk size without end must not stop the requests of others.
#[test]
fn a_flood_by_a_client_does_not_stop_other_requests() {
    let address = start_server();
    let head = "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut client = TcpStream::connect(address).expect("a connection");
    client.write_all(head.as_bytes()).expect("a request");
    thread::spawn(move || flood(&mut client, "0", Duration::ZERO));
    run(async move || {
        compio::time::sleep(DEADLINE).await;
        assert!(is_answered(&Pool::new(address)).await);
    });
}

/// A task that reads slower than the bytes arrive must yield, or it stops the timers of the runtime.
#[test]
fn a_read_that_always_finds_bytes_yields() {
    let (address, _closes) = start_target("", "x", Duration::ZERO);
    run(async move || {
        let mut socket = compio::net::TcpStream::connect(address).await.expect("a connection");
        let request = "GET / HTTP/1.1\r\n\r\n";
        compio::io::AsyncWriteExt::write_all(&mut socket, request).await.0.expect("a request");
        let mut stream = Stream::new(socket);
        let reading = poll_fn(|cx| {
            loop {
                thread::sleep(Duration::from_millis(1));
                let mut buffer = [0; 1_024];
                let mut buffer = ReadBuf::new(&mut buffer);
                ready!(Pin::new(&mut stream).poll_read(cx, buffer.unfilled())).expect("bytes");
            }
        });
        let read: Option<()> = within(DEADLINE, reading).await;
        assert_eq!(read, None);
    });
}
