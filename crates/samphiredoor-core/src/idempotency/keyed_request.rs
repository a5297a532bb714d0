//! A request that carries an idempotency key, and how keys are hashed to shards.

use crate::{Name, dispatch::RequestId, key_digest::key_digest};

/// Hash of a workspace and an idempotency key, in hexadecimal digits; the first digits select the shard.
pub type KeyId = Name;

/// A request that carries an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRequest {
    /// Id of the request, unique within this process.
    pub request: RequestId,
    /// Hashed idempotency key, as made by [`key_id`].
    pub key: KeyId,
    /// Digest of the request, which distinguishes a resend from another request with the same key.
    pub digest: Name,
    /// Wall-clock time by which a run of the request has ended.
    pub deadline_unix_ms: u64,
}

/// Hashes an idempotency key within its workspace; each resend with the same workspace and key has the same id.
pub fn key_id(workspace: &str, key: &str) -> KeyId {
    key_digest(workspace, key, KEY_DIGITS)
}

const KEY_DIGITS: usize = 32;
const SHARD_DIGITS: usize = 8;

/// Number of the shard that holds a key, below `shards`.
pub(super) fn shard_of(key: &str, shards: u32) -> u32 {
    let digits = key.get(..SHARD_DIGITS).unwrap_or_default();
    u32::from_str_radix(digits, 16).unwrap_or_default() % shards.max(1)
}
