//! Bounds of the quarantine.

use crate::Name;

/// Bounds of the quarantine.
#[derive(Debug, Clone)]
pub struct QuarantineConfig {
    /// Process and incarnation, for the store's writer token.
    pub writer: Name,
    /// Most fingerprints that are remembered.
    pub max_suspects: usize,
    /// How long a suspicion is remembered.
    pub suspect_ms: u64,
    /// How long a blamed fingerprint is refused.
    pub blamed_ms: u64,
    /// Time between two reads of the stored list.
    pub read_ms: u64,
}

impl QuarantineConfig {
    /// Usual bounds.
    pub fn new(writer: Name) -> QuarantineConfig {
        QuarantineConfig {
            writer,
            max_suspects: 1_000,
            suspect_ms: 3_600_000,
            blamed_ms: 86_400_000,
            read_ms: 60_000,
        }
    }
}
