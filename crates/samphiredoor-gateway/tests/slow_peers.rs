//! Answers of other processes that arrive a byte at a time, for as long as anyone reads them.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::{Duration, Instant},
};

use samphiredoor_core::store::Kind;
use samphiredoor_gateway::{
    jobs::peer_call::{PeerCall, exchange},
    mirror::{MirrorUse, Mirrors},
};
use samphiredoor_net::Pool;

/// Less than the longest pause within any answer.
const PAUSE: Duration = Duration::from_millis(100);
/// Longest wait for the answer of another process, many times what it takes to reach it.
const MAX_WAIT: Duration = Duration::from_secs(10);

fn start_slow_peer() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let _ = stream.read(&mut [0; 4_096]);
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n");
                while stream.write_all(b"a").is_ok() {
                    thread::sleep(PAUSE);
                }
            });
        }
    });
    address
}

fn elapsed(call: impl Future<Output = bool>) -> Duration {
    let started = Instant::now();
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    assert!(!runtime.block_on(call), "there is no answer");
    started.elapsed()
}

/// Guards against a takeover of jobs, or a read of results, that one process delays for half a minute.
#[test]
fn a_call_to_a_peer_ends_while_its_answer_arrives_slowly() {
    let pool = Pool::new(start_slow_peer());
    let call = PeerCall::CheckAlive { incarnation: 1 };
    let checked = async { exchange(&pool, &call, Duration::from_millis(300)).await.is_some() };
    assert!(elapsed(checked) < MAX_WAIT);
}

/// Guards against a gateway whose start one mirror delays for half a minute.
#[test]
fn a_search_for_a_mirror_ends_while_an_answer_arrives_slowly() {
    let mirrors = Mirrors::new(&[start_slow_peer()], "brisbane".into());
    let listed = async { mirrors.list(Kind::Routes, MirrorUse::LargeCopy).await.is_some() };
    assert!(elapsed(listed) < MAX_WAIT);
}
