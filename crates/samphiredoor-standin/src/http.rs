//! Blocking HTTP calls for tests, and servers on threads of their own.

use std::{net::SocketAddr, thread, time::Duration};

use samphiredoor_net::{Body, ServeLimits, Server};
use serde_json::Value;

const MAX_POLLS: u32 = 9_000;
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Answer to an HTTP call.
#[derive(Debug)]
pub struct Answer {
    /// Status; 0 if no complete answer was received.
    pub status: u16,
    /// Headers.
    pub headers: hyper::HeaderMap,
    /// Body, or the error message if there is no complete answer.
    pub text: String,
}

impl Answer {
    /// Body as JSON; null if it isn't valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or(Value::Null)
    }
}

/// Sends a POST request.
pub fn post(address: SocketAddr, path: &str, headers: &[(&str, &str)], body: &str) -> Answer {
    call(hyper::Method::POST, address, path, headers, body)
}

/// Sends a GET request.
pub fn get(address: SocketAddr, path: &str) -> Answer {
    call(hyper::Method::GET, address, path, &[], "")
}

/// Polls a condition until it holds.
///
/// # Panics
///
/// The condition does not hold within 90 s.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    for _ in 0..MAX_POLLS {
        if condition() {
            return;
        }
        thread::sleep(POLL_INTERVAL);
    }
    panic!("timed out waiting: {what}");
}

/// Sends one request on a new connection; the status is 0 if no complete answer was received.
pub fn call(
    method: hyper::Method,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Answer {
    let exchange = async {
        let client = cyper::Client::new()?;
        let mut request = client.request(method, format!("http://{address}{path}"))?;
        for (name, value) in headers {
            request = request.header(*name, *value)?;
        }
        let response = request.body(body.to_owned()).send().await?;
        let status = response.status().as_u16();
        let headers = response.headers().clone();
        Ok::<_, cyper::Error>(Answer { status, headers, text: response.text().await? })
    };
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    match runtime.block_on(exchange) {
        Ok(answer) => answer,
        Err(err) => Answer { status: 0, headers: hyper::HeaderMap::new(), text: err.to_string() },
    }
}

/// Starts a server on a new thread with the handler that `make` creates there; returns its address.
pub fn start<M, H, F>(make: M) -> SocketAddr
where
    M: FnOnce() -> H + Send + 'static,
    H: Fn(hyper::Request<hyper::body::Incoming>) -> F + 'static,
    F: Future<Output = hyper::Response<Body>> + 'static,
{
    let (sender, receiver) = flume::bounded(1);
    thread::spawn(move || {
        let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
        runtime.block_on(async move {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let server = Server::bind(any, ServeLimits::default()).await.expect("a free port");
            sender.send(server.local_addr().expect("an address")).expect("a waiting test");
            server.run(make()).await;
        });
    });
    receiver.recv().expect("the server starts")
}
