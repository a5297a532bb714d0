//! Targets that close, cut, cross and delay their answers.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
};

use http_body_util::BodyExt;
use hyper::{Request, Response};
use samphiredoor_net::{
    Body, Pool,
    body::read_whole,
    pool::{ResponseBody, SendError, within},
};

const PATIENCE: std::time::Duration = std::time::Duration::from_secs(20);

/// A target whose connections are given to `serve` one after another, with their numbers.
fn target(serve: impl Fn(usize, TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            serve(number, stream);
        }
    });
    address
}

/// Reads one request without a body; its path, or `None` when the far side has closed.
fn read(stream: &mut TcpStream) -> Option<String> {
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

fn whole(body: &str) -> String {
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

/// The target answers twice to one request, as a broken one may after a retry of its own. The second answer stands on
/// the connection when the next caller's request is sent; that caller must not get it.
#[test]
fn a_second_answer_never_goes_to_the_next_request() {
    let address = target(|_, mut stream| {
        thread::spawn(move || {
            while let Some(path) = read(&mut stream) {
                let extra = if path == "/first" { whole("stray") } else { String::new() };
                write(&mut stream, &(whole(&path) + &extra));
            }
        });
    });
    run(async {
        for _ in 0..100 {
            let pool = Pool::new(address);
            let first = pool.send(get("/first")).await.expect("answered");
            assert_eq!(text(first).await.as_deref(), Ok("/first"));
            match pool.send(get("/second")).await {
                Ok(second) => assert_eq!(text(second).await.as_deref(), Ok("/second")),
                Err(SendError::NotSent(err)) => panic!("a new connection was to be had: {err}"),
                // Safe, as the caller is told; but the request ran for nothing.
                Err(SendError::MayHaveRun(_)) => {}
            }
        }
    });
}

/// An answer comes after its caller has given up. Its connection must not carry another request, or that one would get
/// the late answer.
#[test]
fn a_late_answer_never_goes_to_another_request() {
    let (ask, asked) = flume::unbounded::<()>();
    let (go, gate) = flume::unbounded::<()>();
    let address = target(move |number, mut stream| {
        let (ask, gate) = (ask.clone(), gate.clone());
        thread::spawn(move || {
            while let Some(path) = read(&mut stream) {
                let _ = ask.send(());
                if number == 0 {
                    let _ = gate.recv();
                }
                write(&mut stream, &whole(&path));
            }
        });
    });
    run(async {
        let pool = Pool::new(address);
        {
            let late = std::pin::pin!(pool.send(get("/late")));
            let asked = std::pin::pin!(asked.recv_async());
            let _ = futures_util::future::select(late, asked).await;
        }
        go.send(()).expect("the target waits");
        assert_eq!(pool.idle_len(), 0);
        let next = pool.send(get("/next")).await.expect("answered");
        assert_eq!(text(next).await.as_deref(), Ok("/next"));
    });
}

/// A caller goes away in mid-answer. The target must see it at once, or an engine would go on generating.
#[test]
fn giving_up_an_answer_closes_the_connection() {
    let (tell, told) = flume::bounded(1);
    let address = target(move |_, mut stream| {
        read(&mut stream);
        write(&mut stream, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi\r\n");
        let _ = tell.send(read(&mut stream));
    });
    run(async {
        let pool = Pool::new(address);
        let mut answer = pool.send(get("/stream")).await.expect("a head").into_body();
        let first = answer.frame().await.expect("a piece").expect("whole");
        assert_eq!(first.into_data().expect("data").as_ref(), b"hi");
        drop(answer);
        let seen = within(PATIENCE, told.recv_async()).await.expect("the target sees the end");
        assert_eq!(seen, Ok(None));
        assert_eq!(pool.idle_len(), 0);
    });
}

/// A kept connection is closed by the target while it is idle. The next request must go by a new one, not be lost.
#[test]
fn a_connection_closed_while_idle_costs_no_request() {
    let address = target(|_, mut stream| {
        if let Some(path) = read(&mut stream) {
            write(&mut stream, &whole(&path));
        }
    });
    run(async {
        let pool = Pool::new(address);
        for number in 0..20 {
            let path = format!("/{number}");
            match pool.send(get(&path)).await {
                Ok(answer) => assert_eq!(text(answer).await, Ok(path)),
                // The close raced with the request: it was written, so nothing else may be said.
                Err(SendError::MayHaveRun(_)) => {}
                Err(SendError::NotSent(err)) => panic!("a new connection was to be had: {err}"),
            }
        }
    });
}

/// "Not sent" leads to "not run", and to another run elsewhere. Where the target has read the request, the pool must
/// never say so.
#[test]
fn not_sent_is_never_said_of_a_request_that_was_read() {
    let (tell, told) = flume::unbounded();
    let address = target(move |number, mut stream| {
        let tell = tell.clone();
        thread::spawn(move || {
            // Answers some requests of a connection, then closes at the next one, before or after reading it.
            for _ in 0..number % 3 {
                let Some(path) = read(&mut stream) else { return };
                let _ = tell.send(path);
                write(&mut stream, &whole("ok"));
            }
            if number % 2 == 0
                && let Some(path) = read(&mut stream)
            {
                let _ = tell.send(path);
            }
        });
    });
    run(async {
        let pool = Pool::new(address);
        let mut unsent = Vec::new();
        for number in 0..300 {
            let path = format!("/{number}");
            match pool.send(get(&path)).await {
                Ok(answer) => {
                    let _ = text(answer).await;
                }
                Err(SendError::NotSent(_)) => unsent.push(path),
                Err(SendError::MayHaveRun(_)) => {}
            }
        }
        let read: Vec<String> = told.drain().collect();
        let twice = read.len() - read.iter().collect::<std::collections::BTreeSet<_>>().len();
        assert_eq!(twice, 0, "a request was sent twice");
        assert!(!unsent.iter().any(|it| read.contains(it)), "{unsent:?}");
    });
}

macro_rules! cut_answers {
    ($($name:ident: $sent:expr;)*) => {
        $(
            /// The target breaks off in mid-answer. What arrived must be told as cut and its connection not be used
            /// again, or a caller would take a part of the answer for the whole.
            #[test]
            fn $name() {
                let address = target(|_, mut stream| {
                    read(&mut stream);
                    write(&mut stream, $sent);
                });
                run(async {
                    let pool = Pool::new(address);
                    match pool.send(get("/")).await {
                        Ok(answer) => assert!(text(answer).await.is_err()),
                        Err(err) => assert!(matches!(err, SendError::MayHaveRun(_)), "{err:?}"),
                    }
                    assert_eq!(pool.idle_len(), 0);
                });
            }
        )*
    };
}

cut_answers! {
    no_answer_at_all_is_told_as_cut: "";
    a_cut_head_is_told_as_cut: "HTTP/1.1 200 OK\r\ncontent-le";
    a_body_shorter_than_its_length_is_told_as_cut:
        "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf";
    chunked_framing_without_its_last_chunk_is_told_as_cut:
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n";
    a_cut_chunk_is_told_as_cut:
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nhalf";
    a_chunk_without_a_length_is_told_as_cut:
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nxyz\r\nhalf\r\n0\r\n\r\n";
    an_answer_that_only_the_close_ends_is_told_as_cut: "HTTP/1.1 200 OK\r\n\r\nhalf";
    an_answer_that_is_not_http_is_told_as_cut: "hello there\r\n\r\n";
    two_lengths_are_told_as_cut:
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 2\r\n\r\nhalf";
}
