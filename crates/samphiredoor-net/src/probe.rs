//! Tells a server that has ended from one that cannot be reached.

use std::{io::ErrorKind, net::SocketAddr, time::Duration};

use compio::net::TcpStream;

use crate::pool::within_or_late;

/// Time for a connection to be refused; a server of another region is 24 ms away.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Delay before the second probe: a process that ends may close its connections before its listening socket.
const SECOND_PROBE_DELAY: Duration = Duration::from_millis(20);

/// Result of opening a connection to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// The server accepts connections.
    Accepted,
    /// Nothing listens at its address.
    Refused,
    /// There was no answer in time, or the address cannot be reached.
    Unanswered,
}

/// Opens a connection to a server and closes it.
pub async fn probe(server: SocketAddr) -> ProbeResult {
    match within_or_late(PROBE_TIMEOUT, TcpStream::connect(server)).await {
        Some(Ok(_)) => ProbeResult::Accepted,
        Some(Err(err)) if err.kind() == ErrorKind::ConnectionRefused => ProbeResult::Refused,
        Some(Err(_)) | None => ProbeResult::Unanswered,
    }
}

/// Whether a server refuses connections in one of two probes. One that does not answer is unreachable, which is no proof
/// that it ended.
pub async fn refuses_connections(server: SocketAddr) -> bool {
    if refuses_connection(server).await {
        return true;
    }
    compio::time::sleep(SECOND_PROBE_DELAY).await;
    refuses_connection(server).await
}

async fn refuses_connection(server: SocketAddr) -> bool {
    probe(server).await == ProbeResult::Refused
}
