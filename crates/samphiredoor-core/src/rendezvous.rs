//! Rendezvous hashing over hashed names: processes that know the same candidates choose the same ones, and few keys move
//! when a candidate joins or leaves.

use smallvec::SmallVec;

/// Weight of a candidate for a key; the candidate with the highest one is preferred.
pub fn weight(key: u64, candidate: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&candidate.to_le_bytes());
    rapidhash::v3::rapidhash_v3(&bytes)
}

/// The `count` candidates with the highest weights, the preferred one first.
pub fn choose(key: u64, candidates: impl Iterator<Item = u64>, count: usize) -> SmallVec<[u64; 2]> {
    let weighted = candidates.map(|it| (weight(key, it), it));
    highest(weighted, count).into_iter().map(|(_, it)| it).collect()
}

/// The `count` highest items, in descending order.
pub fn highest<T: Ord>(items: impl Iterator<Item = T>, count: usize) -> SmallVec<[T; 4]> {
    let mut highest: SmallVec<[T; 4]> = SmallVec::new();
    for item in items {
        let index = highest.partition_point(|it| *it > item);
        highest.insert(index, item);
        highest.truncate(count);
    }
    highest
}
