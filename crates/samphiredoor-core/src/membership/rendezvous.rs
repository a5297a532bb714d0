//! Rendezvous hashing: which members do a task for the whole fleet. Members with equal rosters choose the same ones.

use std::sync::Arc;

use smallvec::SmallVec;

use super::roster::low_bits;
use crate::{Name, rendezvous};

/// The `count` members with the highest rendezvous weights for `key`. Processes whose rosters differ may choose other
/// members for a while, so the choice is a hint. When a member joins or leaves, only the keys that it is chosen for
/// move.
pub fn rendezvous_select<'a>(
    key: &str,
    members: impl IntoIterator<Item = &'a Name>,
    count: usize,
) -> SmallVec<[Name; 2]> {
    let weighted = members.into_iter().map(|name| (weight(key, name), name));
    rendezvous::highest(weighted, count).into_iter().map(|(_, name)| Arc::clone(name)).collect()
}

fn weight(key: &str, name: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(name.as_bytes());
    low_bits(&hasher)
}
