//! Share keys of callers that are known by their addresses only.
//!
//! Such a key costs its owner nothing: one host can use a thousand IPv6 networks. If each had a share of its own, a flood
//! from many addresses would take the capacity of all other callers. Therefore only a limited number of address blocks
//! have their own share: those that have sent requests for some time before the overload. All others have one in common.

use std::{collections::HashMap, net::IpAddr};

use crate::names::name_hash;

/// Bit that is set in the keys of callers without a workspace, and in no others.
const ADDRESS_BIT: u64 = 1 << 63;
/// Key that all callers have in common of which no address is known.
pub const UNKNOWN_KEY: u64 = 0;
/// Key that all address blocks without their own share have in common.
pub const COMMON_KEY: u64 = ADDRESS_BIT;

/// Most address blocks with their own share.
const MAX_BLOCKS: usize = 256;
/// Most address blocks that are observed before they get their own share.
const MAX_CANDIDATES: usize = 1_024;
/// Time from the first request of a block until it can get its own share: longer than it takes until a new flood fills
/// all slots and is detected.
const PROBATION_MS: u64 = 10_000;
/// Time without requests after which a block may lose its place to another one.
const IDLE_MS: u64 = 60_000;

/// Share key of a workspace.
pub fn workspace_key(workspace: &str) -> u64 {
    name_hash(workspace) & !ADDRESS_BIT
}

/// Share key of a caller without a workspace: of its /24 network of IPv4 or /64 network of IPv6.
pub fn address_key(address: IpAddr) -> u64 {
    let block = match address.to_canonical() {
        IpAddr::V4(it) => u64::from(it.to_bits() >> 8),
        IpAddr::V6(it) => (it.to_bits() >> 64) as u64,
    };
    // A key of its own for each family: the hash also covers the length of the prefix.
    let prefix_len: u8 = if address.to_canonical().is_ipv4() { 24 } else { 64 };
    let mut bytes = [prefix_len; 9];
    bytes[1..].copy_from_slice(&block.to_be_bytes());
    // COMMON_KEY itself is no block's key.
    (rapidhash::v3::rapidhash_v3(&bytes) | ADDRESS_BIT).max(COMMON_KEY + 1)
}

/// Share key of a caller without a workspace that is connected from this address. Callers behind a proxy on the same host
/// all have a loopback address, which tells nothing about them.
pub fn caller_key(address: Option<IpAddr>) -> u64 {
    match address.map(|it| it.to_canonical()) {
        Some(address) if !address.is_loopback() => address_key(address),
        _ => UNKNOWN_KEY,
    }
}

fn is_address_key(key: u64) -> bool {
    key & ADDRESS_BIT != 0
}

/// Address blocks that have their own share, and those that may get one.
#[derive(Debug, Default)]
pub(super) struct CallerBuckets {
    /// Time of the last request of each block with its own share.
    blocks: HashMap<u64, u64>,
    /// Time of the first request of each block that is observed.
    candidates: HashMap<u64, u64>,
}

impl CallerBuckets {
    /// Key under which a request counts. During an overload no further block gets its own share.
    pub(super) fn key(&mut self, now_ms: u64, key: u64, is_overloaded: bool) -> u64 {
        if !is_address_key(key) {
            return key;
        }
        if let Some(last_ms) = self.blocks.get_mut(&key) {
            *last_ms = now_ms;
            return key;
        }
        let first_ms = self.first_request_ms(now_ms, key);
        let is_known = first_ms.is_some_and(|it| now_ms >= it + PROBATION_MS);
        if is_overloaded || !is_known || !self.has_room(now_ms) {
            return COMMON_KEY;
        }
        self.candidates.remove(&key);
        self.blocks.insert(key, now_ms);
        key
    }

    /// Time of the first request of a block without its own share; `None` if too many others are observed.
    fn first_request_ms(&mut self, now_ms: u64, key: u64) -> Option<u64> {
        if let Some(first_ms) = self.candidates.get(&key) {
            return Some(*first_ms);
        }
        if self.candidates.len() >= MAX_CANDIDATES {
            self.candidates.retain(|_, first_ms| now_ms < *first_ms + IDLE_MS);
        }
        if self.candidates.len() < MAX_CANDIDATES {
            self.candidates.insert(key, now_ms);
            return Some(now_ms);
        }
        None
    }

    fn has_room(&mut self, now_ms: u64) -> bool {
        if self.blocks.len() >= MAX_BLOCKS {
            self.blocks.retain(|_, last_ms| now_ms < *last_ms + IDLE_MS);
        }
        self.blocks.len() < MAX_BLOCKS
    }
}
