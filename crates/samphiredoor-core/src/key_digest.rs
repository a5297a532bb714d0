//! Digests of the keys that callers choose for their requests and jobs.

use blake3::Hasher;

use crate::Name;

/// First hexadecimal digits of the digest of a key in its workspace. A zero byte separates the two.
pub(crate) fn key_digest(workspace: &str, key: &str, digits: usize) -> Name {
    let mut hasher = Hasher::new();
    hasher.update(workspace.as_bytes());
    hasher.update(&[0]);
    hasher.update(key.as_bytes());
    hasher.finalize().to_hex()[..digits].into()
}
