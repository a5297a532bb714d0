//! Clients that send only half of a request.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::env::TestEnv;

/// Many times the timeout of a body.
const MAX_WAIT: Duration = Duration::from_secs(20);

fn half_sent(address: SocketAddr, request: &str) -> String {
    let mut client = TcpStream::connect(address).expect("a connection");
    let head = format!(
        "{request} HTTP/1.1\r\nhost: x\r\nidempotency-key: half\r\ncontent-length: 100\r\n\r\nhalf"
    );
    client.write_all(head.as_bytes()).expect("half of a request");
    client.set_read_timeout(Some(MAX_WAIT)).expect("a timeout");
    let mut answer = String::new();
    // Ends when the gateway closes the connection. It has to: the rest of the body would be parsed as a new request.
    client.read_to_string(&mut answer).expect("an answer, and the end");
    answer
}

macro_rules! half_sent {
    ($($name:ident: $listener:ident, $request:expr;)*) => {
        $(
            /// Guards against a gateway that runs out of connections and memory: clients on a broken link send half of
            /// their bodies and would hold their connections forever.
            #[test]
            fn $name() {
                let mut env = TestEnv::new();
                let door = env.start_door_with("callers.body_timeout_ms = 100");
                let answer = half_sent(env.door(door).$listener, $request);
                assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
                assert!(answer.contains("not run"), "{answer}");
            }
        )*
    };
}

half_sent! {
    half_an_online_request_is_answered_and_closed: callers, "POST /v1/completions";
    half_a_job_is_answered_and_closed: callers, "POST /v1/batches";
    half_a_statement_is_answered_and_closed: operators, "POST /statement";
    half_a_manifest_is_answered_and_closed: operators, "PUT /manifest";
}
