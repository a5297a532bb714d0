//! Answers that come slowly, stop halfway, or are too large.

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
/// Shorter than the whole answer takes, and longer than each piece.
const SILENCE: Duration = Duration::from_millis(1_500);
const PIECE_PAUSE: Duration = Duration::from_millis(200);
const LIMITS: FetchLimits =
    FetchLimits { head: SILENCE, silence: SILENCE, max_bytes: PIECES * PIECE.len() };

/// A far side that answers each request with a length of `PIECES` pieces, and sends `sent` of them.
fn far_side(sent: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || answer(stream, sent));
        }
    });
    address
}

fn answer(mut stream: TcpStream, sent: usize) {
    let _ = stream.read(&mut [0; 1_000]);
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", PIECES * PIECE.len());
    let _ = stream.write_all(head.as_bytes());
    for _ in 0..sent {
        let _ = stream.write_all(PIECE);
        thread::sleep(PIECE_PAUSE);
    }
    // Open until the near side closes it.
    let _ = stream.read(&mut [0; 1]);
}

fn fetch(address: SocketAddr, limits: FetchLimits) -> Result<Fetched, FetchError> {
    let request = Request::get("/").header("host", "far").body(Body::empty()).expect("a request");
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(Pool::new(address).fetch(request, limits))
}

// A limit on the whole answer would throw away what has come of a large one, and ask for it again.
#[test]
fn an_answer_is_read_for_as_long_as_it_comes() {
    let fetched = fetch(far_side(PIECES), LIMITS).expect("the whole answer");
    assert_eq!(fetched.body.len(), PIECES * PIECE.len());
}

#[test]
fn an_answer_that_stops_halfway_is_given_up() {
    let end = fetch(far_side(3), LIMITS).expect_err("the rest never comes");
    assert!(matches!(end, FetchError::TimedOut { received_bytes: 300 }), "{end:?}");
}

#[test]
fn an_answer_that_is_too_large_is_not_read() {
    let limits = FetchLimits { max_bytes: PIECE.len(), ..LIMITS };
    let end = fetch(far_side(PIECES), limits).expect_err("more than is taken");
    assert!(matches!(end, FetchError::MayHaveRun(_)), "{end:?}");
}
