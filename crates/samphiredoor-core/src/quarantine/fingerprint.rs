//! Fingerprints of requests.

/// Hash of what stays the same when a request is sent again, such as its caller, path and body. It has the same value in
/// every process and incarnation.
pub fn fingerprint<const N: usize>(parts: [&[u8]; N]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for (number, part) in parts.into_iter().enumerate() {
        if number > 0 {
            // Separates the parts; paths and names hold no zero byte.
            hasher.update(&[0]);
        }
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let (first, _) = digest.as_bytes().split_at(8);
    first.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}
