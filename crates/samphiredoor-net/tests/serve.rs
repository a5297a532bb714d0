//! Clients that are slow, silent or gone.

use std::{
    cell::Cell,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    rc::Rc,
    thread,
    time::Duration,
};

use bytes::Bytes;
use hyper::Response;
use samphiredoor_net::{Body, BoxError, ServeLimits, Server};

const PIECE: &[u8] = &[b'x'; 64 * 1024];

/// Counts the streams that have ended.
struct Ended(Rc<Cell<usize>>);

impl Drop for Ended {
    fn drop(&mut self) {
        self.0.set(self.0.get() + 1);
    }
}

fn endless(ended: &Rc<Cell<usize>>) -> Body {
    let guard = Ended(Rc::clone(ended));
    let pieces = futures_util::stream::unfold(guard, |guard| async {
        Some((Ok::<_, BoxError>(Bytes::from_static(PIECE)), guard))
    });
    Body::stream(pieces)
}

/// Serves endless streams; the channel gets a word when the first has ended.
fn serve(limits: ServeLimits) -> (SocketAddr, flume::Receiver<&'static str>) {
    let (sender, receiver) = flume::bounded(1);
    let (ended, ends) = flume::bounded(1);
    thread::spawn(move || {
        let runtime = compio::runtime::Runtime::new().expect("a runtime");
        runtime.block_on(async move {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let server = Server::bind(any, limits).await.expect("a port");
            sender.send(server.local_addr().expect("an address")).expect("a waiting test");
            let streams = Rc::new(Cell::new(0));
            let seen = Rc::clone(&streams);
            let handler = move |_| {
                let body = endless(&streams);
                async move { Response::new(body) }
            };
            compio::runtime::spawn(server.run(handler)).detach();
            while seen.get() == 0 {
                compio::time::sleep(Duration::from_millis(5)).await;
            }
            ended.send("a stream ended").expect("a waiting test");
        });
    });
    (receiver.recv().expect("the server starts"), ends)
}

fn ask(address: SocketAddr) -> TcpStream {
    let mut client = TcpStream::connect(address).expect("a connection");
    client.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").expect("a request");
    client
}

/// A target is busy with an answer that nobody reads: a client asked for a long stream and stopped reading without
/// closing. Its connection, and with it the stream, must end by itself.
#[test]
fn a_client_that_does_not_read_is_cut() {
    let limits =
        ServeLimits { stall_timeout: Duration::from_millis(100), ..ServeLimits::default() };
    let (address, ends) = serve(limits);
    let client = ask(address);
    assert_eq!(ends.recv(), Ok("a stream ended"));
    drop(client);
}

/// A target is busy with an answer for a caller that has hung up: the stream must end with the connection.
#[test]
fn a_client_that_closes_ends_its_stream() {
    let (address, ends) = serve(ServeLimits::default());
    let mut client = ask(address);
    client.read_exact(&mut [0; 64]).expect("a beginning of the stream");
    drop(client);
    assert_eq!(ends.recv(), Ok("a stream ended"));
}

/// A door has no connections left for callers: half-open clients have sent half of their headers and hold them all.
#[test]
fn half_sent_headers_do_not_hold_a_connection() {
    let limits =
        ServeLimits { header_read_timeout: Duration::from_millis(100), ..ServeLimits::default() };
    let (address, _ends) = serve(limits);
    let mut client = TcpStream::connect(address).expect("a connection");
    client.write_all(b"GET / HTTP/1.1\r\nhost:").expect("half of a request");
    let mut rest = Vec::new();
    // Ends only when the server closes; what it says before does not matter here.
    let _ = client.read_to_end(&mut rest);
}
