//! Settings of the ledger.

use crate::Name;

/// Who the ledger works for, and at which pace.
#[derive(Debug, Clone)]
pub struct LedgerConfig {
    /// Name of the process.
    pub process: Name,
    /// Start of the process.
    pub incarnation: u64,
    /// Token of its writes; differs between any two starts of any process.
    pub writer: Name,
    /// Seed of all jitter.
    pub seed: u64,
    /// Hand-outs stop this long before the own lease ends.
    pub lease_margin_ms: u64,
    /// Time for the preferred process to take a job before the next one tries.
    pub spread_ms: u64,
    /// Time between two looks for the jobs of a process whose lease has lapsed.
    pub orphan_scan_ms: u64,
    /// Time between two looks for free jobs.
    pub free_scan_ms: u64,
    /// Time between two looks for cancelled jobs of this process.
    pub cancel_list_ms: u64,
    /// Time between two looks for jobs of this process that it does not know of.
    pub own_list_ms: u64,
    /// Age at which results that fill no group are worth a write.
    pub linger_ms: u64,
    /// Mean time between two such writes of the process under sustained load.
    pub commit_ms: u64,
    /// Most items handed out at once.
    pub max_running: usize,
    /// Most items of one job handed out at once.
    pub max_running_per_job: usize,
    /// Bytes of results on their way to the store above which nothing is handed out.
    pub max_pending_bytes: usize,
}

impl LedgerConfig {
    /// Settings with the usual pace.
    pub fn new(process: Name, incarnation: u64, writer: Name) -> LedgerConfig {
        LedgerConfig {
            process,
            incarnation,
            writer,
            seed: incarnation,
            lease_margin_ms: 1_000,
            spread_ms: 2_000,
            orphan_scan_ms: 10_000,
            free_scan_ms: 10_000,
            cancel_list_ms: 3_000,
            own_list_ms: 60_000,
            linger_ms: 500,
            commit_ms: 10_000,
            max_running: 4_096,
            max_running_per_job: 256,
            max_pending_bytes: 16 * 1024 * 1024,
        }
    }
}
