//! Responses that are slow, stall halfway, or are too large.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use hyper::Request;
use samphiredoor_net::{
    Body, Pool,
    fetch::{FetchError, FetchLimits, Fetched},
};

const PIECES: usize = 12;
const PIECE: &[u8] = &[b'x'; 100];
/// Shorter than the whole response takes, and longer than the pause after each piece.
const TIMEOUT: Duration = Duration::from_millis(1_500);
const PIECE_PAUSE: Duration = Duration::from_millis(200);
const LIMITS: FetchLimits =
    FetchLimits { head_timeout: TIMEOUT, idle_timeout: TIMEOUT, max_bytes: PIECES * PIECE.len() };

/// Starts a server that responds to each request with a length of `PIECES` pieces, and sends `sent` of them.
fn start_server(sent: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || respond(stream, sent));
        }
    });
    address
}

fn respond(mut stream: TcpStream, sent: usize) {
    let _ = stream.read(&mut [0; 1_000]);
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", PIECES * PIECE.len());
    let _ = stream.write_all(head.as_bytes());
    for _ in 0..sent {
        let _ = stream.write_all(PIECE);
        thread::sleep(PIECE_PAUSE);
    }
    // Keeps the connection open until the client closes it.
    let _ = stream.read(&mut [0; 1]);
}

fn fetch(address: SocketAddr, limits: FetchLimits) -> Result<Fetched, FetchError> {
    let request =
        Request::get("/").header("host", "server").body(Body::empty()).expect("a request");
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(Pool::new(address).fetch(request, limits))
}

// A timeout on the whole response would discard the received part of a large one, which is then requested again.
#[test]
fn a_slow_response_is_read_completely() {
    let fetched = fetch(start_server(PIECES), LIMITS).expect("the complete response");
    assert_eq!(fetched.body.len(), PIECES * PIECE.len());
}

#[test]
fn a_response_that_stalls_halfway_times_out() {
    let end = fetch(start_server(3), LIMITS).expect_err("the rest never arrives");
    assert!(matches!(end, FetchError::TimedOut { received_bytes: 300 }), "{end:?}");
}

#[test]
fn a_response_that_is_too_large_is_an_error() {
    let limits = FetchLimits { max_bytes: PIECE.len(), ..LIMITS };
    let end = fetch(start_server(PIECES), limits).expect_err("more bytes than allowed");
    assert!(matches!(end, FetchError::MayHaveRun(_)), "{end:?}");
}
