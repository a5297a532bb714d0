//! Names in messages between gateways.

/// Start of a cell's name; names of gateways contain no space.
pub(crate) const CELL_NAME_PREFIX: &str = "cell ";

/// Hash that identifies a target or a service in messages between gateways.
pub fn name_hash(name: &str) -> u64 {
    rapidhash::v3::rapidhash_v3(name.as_bytes())
}

/// Whether a peer is a cell that sends summaries, and not a gateway.
pub fn is_cell_name(peer: &str) -> bool {
    peer.starts_with(CELL_NAME_PREFIX)
}
