//! Which members do something for all: the first of an order by hash that every door works out alike.

use std::sync::Arc;

use smallvec::SmallVec;

use super::roster::low_bits;
use crate::Name;

/// The `count` members that rendezvous hashing prefers for `key`. Where doors know other members they choose otherwise
/// for a while, so the choice is a hint. A member that comes or goes moves only the keys that it is chosen for.
pub fn rendezvous_select<'a>(
    key: &str,
    members: impl IntoIterator<Item = &'a Name>,
    count: usize,
) -> SmallVec<[Name; 2]> {
    let mut best: SmallVec<[(u64, &Name); 4]> = SmallVec::new();
    for name in members {
        let place = (weight(key, name), name);
        let at = best.partition_point(|it| *it > place);
        best.insert(at, place);
        best.truncate(count);
    }
    best.into_iter().map(|(_, name)| Arc::clone(name)).collect()
}

fn weight(key: &str, name: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(name.as_bytes());
    low_bits(&hasher)
}
