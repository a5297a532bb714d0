//! Identity and intervals of a process's ledger.

use crate::Name;

/// Identity of the process, and the intervals and limits of its ledger.
#[derive(Debug, Clone)]
pub struct LedgerConfig {
    /// Name of the process.
    pub process: Name,
    /// Incarnation of the process; higher after each start.
    pub incarnation: u64,
    /// Token stored with its writes, unique to each incarnation of each process.
    pub writer: Name,
    /// Seed of the random jitter.
    pub seed: u64,
    /// No items are started within this time before the process's own lease ends.
    pub lease_margin_ms: u64,
    /// Delay between the takeover attempts of successive candidates for the same job.
    pub takeover_stagger_ms: u64,
    /// Interval between scans for the jobs of a process whose lease has expired.
    pub orphan_scan_ms: u64,
    /// Interval between scans for jobs without an owner.
    pub free_scan_ms: u64,
    /// Interval between scans for cancelled jobs of this process.
    pub cancel_scan_ms: u64,
    /// Interval between scans for jobs that name this process as owner but are missing from its ledger.
    pub own_scan_ms: u64,
    /// Age of the oldest pending result at which an incomplete group may be written.
    pub linger_ms: u64,
    /// Mean interval between writes of incomplete groups by this process under sustained load.
    pub linger_write_interval_ms: u64,
    /// Maximum number of items running at once.
    pub max_running: usize,
    /// Maximum number of items of one job running at once.
    pub max_running_per_job: usize,
    /// No items are started while this many bytes of results wait to be written to the store.
    pub max_pending_bytes: usize,
}

impl LedgerConfig {
    /// Creates a configuration with the default intervals and limits.
    pub fn new(process: Name, incarnation: u64, writer: Name) -> LedgerConfig {
        LedgerConfig {
            process,
            incarnation,
            writer,
            seed: incarnation,
            lease_margin_ms: 1_000,
            takeover_stagger_ms: 2_000,
            orphan_scan_ms: 10_000,
            free_scan_ms: 10_000,
            cancel_scan_ms: 3_000,
            own_scan_ms: 60_000,
            linger_ms: 500,
            linger_write_interval_ms: 10_000,
            max_running: 4_096,
            max_running_per_job: 256,
            max_pending_bytes: 16 * 1024 * 1024,
        }
    }
}
