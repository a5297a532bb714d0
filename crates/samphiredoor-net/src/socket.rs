//! TCP socket options that detect an unreachable remote end.
//!
//! A connection can fail without a reset, if its packets are dropped on the way or the remote host loses power. Then
//! nothing arrives any more, and whoever waits on the connection waits until its own deadline. The user timeout detects
//! this on a connection with unacknowledged bytes, and keep-alive probes on one that only waits to receive.

use std::{io, os::fd::AsFd, time::Duration};

use compio::net::TcpStream;
use socket2::{SockRef, TcpKeepalive};

/// How soon an unreachable remote end is detected.
#[derive(Debug, Clone, Copy)]
pub struct SocketTimeouts {
    /// Limits the wait for the acknowledgement of sent bytes.
    pub unacknowledged: Duration,
    /// Idle time after which keep-alive probes are sent.
    pub idle: Duration,
    /// Time between two probes.
    pub probe_interval: Duration,
    /// Number of unanswered probes after which the connection fails.
    pub max_probes: u32,
}

impl Default for SocketTimeouts {
    /// About two seconds in total: less than the time in which a platform expects a host to be back in service, and far more
    /// than a round trip between regions.
    fn default() -> SocketTimeouts {
        SocketTimeouts {
            unacknowledged: Duration::from_secs(2),
            idle: Duration::from_secs(1),
            probe_interval: Duration::from_secs(1),
            max_probes: 2,
        }
    }
}

/// Limits the kernel's buffers of a connection in both directions; of a listener, those of the connections that it accepts.
/// Without a limit, the kernel may hold megabytes of data that the process has not read or the client has not taken.
///
/// # Errors
///
/// The system rejects an option.
pub fn limit_buffers<S: AsFd>(socket: &S, bytes: usize) -> io::Result<()> {
    let socket = SockRef::from(socket);
    socket.set_recv_buffer_size(bytes)?;
    socket.set_send_buffer_size(bytes)
}

/// Makes the close of a connection reset it. Bytes that the remote end has not read are lost.
///
/// # Errors
///
/// The system rejects the option.
pub fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// Configures a connection to send small writes at once and to detect an unreachable remote end.
///
/// # Errors
///
/// The system rejects an option.
pub fn configure(stream: &TcpStream, timeouts: SocketTimeouts) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(timeouts.idle)
        .with_interval(timeouts.probe_interval)
        .with_retries(timeouts.max_probes);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(timeouts.unacknowledged))
}
