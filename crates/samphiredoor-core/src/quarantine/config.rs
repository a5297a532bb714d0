//! Settings of the quarantine.

use crate::Name;

/// Limits and intervals of the quarantine.
#[derive(Debug, Clone)]
pub struct QuarantineConfig {
    /// Name of this process and incarnation, for the writer token of the stored list.
    pub writer: Name,
    /// Largest number of fingerprints that are remembered.
    pub max_suspects: usize,
    /// How long a fingerprint stays suspected after its last recorded death.
    pub suspect_ms: u64,
    /// How long a fingerprint stays quarantined after its last recorded death, or is remembered as lifted.
    pub quarantine_ms: u64,
    /// Time between two reads of the stored list.
    pub read_ms: u64,
}

impl QuarantineConfig {
    /// Default settings.
    pub fn new(writer: Name) -> QuarantineConfig {
        QuarantineConfig {
            writer,
            max_suspects: 1_000,
            suspect_ms: 3_600_000,
            quarantine_ms: 86_400_000,
            read_ms: 60_000,
        }
    }
}
