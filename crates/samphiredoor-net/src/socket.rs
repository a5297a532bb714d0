//! Options of TCP sockets that find a far side which has fallen silent.
//!
//! A connection can go silent for good without a reset: its packets are dropped on the way, or the far host has lost
//! power. Nothing then ever arrives, and whoever waits on the connection waits until its deadline. Unacknowledged bytes
//! are bounded by the user timeout, and a connection that only waits for the far side by keep-alive probes.

use std::{io, time::Duration};

use compio::net::TcpStream;
use socket2::{SockRef, TcpKeepalive};

/// How soon a silent far side is noticed.
#[derive(Debug, Clone, Copy)]
pub struct SilenceLimits {
    /// Longest wait for the acknowledgement of sent bytes.
    pub unacknowledged: Duration,
    /// Quiet time after which the far side is probed.
    pub idle: Duration,
    /// Time between two probes.
    pub probe: Duration,
    /// Probes without an answer after which the connection is given up.
    pub probes: u32,
}

impl Default for SilenceLimits {
    /// Two seconds in all: below the time that a platform gives a host to be back in service, and far above the round
    /// trip between regions.
    fn default() -> SilenceLimits {
        SilenceLimits {
            unacknowledged: Duration::from_secs(2),
            idle: Duration::from_secs(1),
            probe: Duration::from_secs(1),
            probes: 2,
        }
    }
}

/// Sets a connection to send small pieces at once, and to notice a silent far side.
///
/// # Errors
///
/// The system refuses an option.
pub fn prepare(stream: &TcpStream, limits: SilenceLimits) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(limits.idle)
        .with_interval(limits.probe)
        .with_retries(limits.probes);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(limits.unacknowledged))
}
