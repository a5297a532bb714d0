//! Settings of the idempotency keys.

use crate::Name;

/// Number of shards in the store. The same key must map to the same shard everywhere, so all gateways use this number.
pub const SHARDS: u32 = 65_536;

/// Settings of [`Keys`](super::Keys).
#[derive(Debug, Clone)]
pub struct KeysConfig {
    /// Name of this process and incarnation in the records that it writes, as made by [`holder_name`].
    pub holder: Name,
    /// Number of shards in the store; the same at all gateways.
    pub shards: u32,
    /// How long a key is remembered after its intent was created, by wall clock.
    pub remember_ms: u64,
    /// Limit of the requests that run or whose outcome is not written yet; beyond it new keys are refused.
    pub max_open: usize,
    /// Limit of the bytes of answers that are not written yet; beyond it new keys are refused.
    pub max_unsaved_bytes: usize,
    /// Size from which idle shards are evicted from the cache.
    pub cache_bytes: usize,
}

impl KeysConfig {
    /// Default settings for a holder and a retention time.
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

/// Name of an incarnation of a process as the holder of intents.
pub fn holder_name(process: &str, incarnation: u64) -> Name {
    format!("{process}/{incarnation}").into()
}
