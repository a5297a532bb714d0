//! A request that arrives under a key.

use std::sync::Arc;

use crate::{Name, dispatch::RequestId};

/// Key of a request within its workspace, hashed; its first digits tell the shard.
pub type KeyId = Name;

/// A request under a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRequest {
    /// Identity within this process.
    pub request: RequestId,
    /// Key.
    pub key: KeyId,
    /// Digest of the request, to tell a resend from another request under the same key.
    pub digest: Name,
    /// Wall-clock time at which a run of it ends at the latest.
    pub deadline_unix_ms: u64,
}

/// Hashed key of a request: the same for every resend under the same workspace and key.
pub fn key_id(workspace: &str, key: &str) -> KeyId {
    let mut hasher = blake3::Hasher::new();
    hasher.update(workspace.as_bytes());
    hasher.update(&[0]);
    hasher.update(key.as_bytes());
    let digest = hasher.finalize().to_hex();
    Arc::from(&digest[..KEY_DIGITS])
}

const KEY_DIGITS: usize = 32;
const SHARD_DIGITS: usize = 8;

/// Shard of a key, of `shards`.
pub(super) fn shard_of(key: &str, shards: u32) -> u32 {
    let digits = key.get(..SHARD_DIGITS).unwrap_or_default();
    u32::from_str_radix(digits, 16).unwrap_or_default() % shards.max(1)
}
