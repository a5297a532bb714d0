//! Limits on what a gateway holds for its callers, derived from the memory of its host.
//!
//! Memory is used for the state of connections, for bytes that have arrived and are not read, and for what is buffered:
//! request bodies, jobs, and answers. Each part is limited, so that their sum stays below the memory of the host whatever
//! callers send.

use std::ops::RangeInclusive;

use samphiredoor_schema::gateway_settings::GatewayOverload;

use crate::settings::SettingError;

/// Memory on which the limits are based if the settings do not give it.
const DEFAULT_MEMORY_BYTES: u64 = 256_000_000;
/// Most connections of callers at once. With two sockets for each request this stays below common file descriptor limits.
const MAX_CONNECTIONS: u64 = 1_500;
/// Memory for each connection: for its state, the kernel's receive buffer and the bytes that a request body may always hold, and
/// a third for everything else.
const MEMORY_PER_CONNECTION_BYTES: u64 = 150_000;
/// Part of the memory for the kernel's receive buffers of all connections.
const RECEIVE_BUFFERS_PERCENT: u64 = 20;
/// The kernel allocates twice the size that is set.
const KERNEL_FACTOR: u64 = 2;
/// Bounds of the kernel's buffers of a connection, in each direction. By default the kernel holds up to some megabytes for
/// each. The upper one is enough for 2 MB/s over a round trip of 24 ms between regions.
const SOCKET_BUFFER_BYTES: RangeInclusive<u64> = 8 * 1024..=48 * 1024;
const BUFFER_PERCENT: RangeInclusive<u32> = 1..=50;

/// Limits on what a gateway holds for its callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Most bytes of request bodies, jobs and answers.
    pub buffer_bytes: u64,
    /// Most connections at once.
    pub max_connections: usize,
    /// Limit of the kernel's buffers of each connection, in each direction.
    pub socket_buffer_bytes: usize,
}

impl ClientLimits {
    /// Limits for the memory in the settings.
    ///
    /// # Errors
    ///
    /// A setting is out of its range.
    pub fn new(settings: &GatewayOverload) -> Result<ClientLimits, SettingError> {
        let memory_bytes = match settings.memory_limit_bytes {
            0 => DEFAULT_MEMORY_BYTES,
            bytes => bytes,
        };
        let percent = settings.buffer_percent.get();
        if !BUFFER_PERCENT.contains(&percent) {
            let (least, most) = (BUFFER_PERCENT.start(), BUFFER_PERCENT.end());
            let problem = format!("{percent} is not between {least} and {most}");
            return Err(SettingError::new("overload.buffer_percent", problem));
        }
        let max_connections =
            (memory_bytes / MEMORY_PER_CONNECTION_BYTES).clamp(1, MAX_CONNECTIONS);
        let receive_buffers = memory_bytes / 100 * RECEIVE_BUFFERS_PERCENT;
        let socket_buffer_bytes = receive_buffers / max_connections / KERNEL_FACTOR;
        let (least, most) = SOCKET_BUFFER_BYTES.into_inner();
        Ok(ClientLimits {
            buffer_bytes: memory_bytes / 100 * u64::from(percent),
            max_connections: max_connections as usize,
            socket_buffer_bytes: socket_buffer_bytes.clamp(least, most) as usize,
        })
    }
}
