//! Options of the keys.

use crate::Name;

/// Shards of all doors together; every door must use the same number.
pub const SHARDS: u32 = 65_536;

/// Options of the machine.
#[derive(Debug, Clone)]
pub struct KeysConfig {
    /// Process and incarnation, as made by [`holder_name`].
    pub holder: Name,
    /// Shards of all doors together.
    pub shards: u32,
    /// How long a key is remembered, by wall clock.
    pub remember_ms: u64,
    /// Requests that may run or wait for their outcome's write at once.
    pub max_open: usize,
    /// Bytes of answers that may wait for their write at once.
    pub max_unsaved_bytes: usize,
    /// Bytes of shards that are kept in memory.
    pub cache_bytes: usize,
}

impl KeysConfig {
    /// Usual options.
    pub fn new(holder: Name, remember_ms: u64) -> KeysConfig {
        KeysConfig {
            holder,
            shards: SHARDS,
            remember_ms,
            max_open: 10_000,
            max_unsaved_bytes: 8 * 1024 * 1024,
            cache_bytes: 8 * 1024 * 1024,
        }
    }
}

/// Name under which a process writes intents.
pub fn holder_name(process: &str, incarnation: u64) -> Name {
    format!("{process}/{incarnation}").into()
}
