//! Counts the crashes of the requests that rendezvous hashing assigns to this process.

use std::collections::BTreeMap;

use super::{CrashVerdict, QUARANTINE_CRASHES, SUSPECTED_CRASHES, limit_len, remembered_ms};

/// A request that was lost together with its target. Times are relative, as clocks of gateways differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashReport {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Time since it was sent to the target.
    pub sent_ago_ms: u32,
    /// Time since it was lost.
    pub lost_ago_ms: u32,
}

#[derive(Debug, Clone, Copy)]
struct Crashes {
    count: u32,
    last_at_ms: u64,
}

/// Crashes by fingerprint.
#[derive(Debug, Default)]
pub struct CrashCoordinator {
    crashes: BTreeMap<u64, Crashes>,
}

impl CrashCoordinator {
    /// Counts a reported crash. Returns what all gateways have to be told, also if they were told before: a request that
    /// is still reported is not known to one of them.
    pub fn report(&mut self, now_ms: u64, report: &CrashReport) -> Option<CrashVerdict> {
        self.forget(now_ms);
        let sent_at_ms = now_ms.saturating_sub(report.sent_ago_ms.into());
        let lost_at_ms = now_ms.saturating_sub(report.lost_ago_ms.into());
        let new = Crashes { count: 0, last_at_ms: 0 };
        let crashes = self.crashes.entry(report.fingerprint).or_insert(new);
        // Both times are late by the delays of their reports. So a request that was sent up to the delay between regions before
        // the last crash may count as sent after it, which is rare and needs to happen twice for a false quarantine.
        if crashes.count == 0 || sent_at_ms > crashes.last_at_ms {
            crashes.count += 1;
            crashes.last_at_ms = lost_at_ms;
        }
        let verdict = CrashVerdict { fingerprint: report.fingerprint, crashes: crashes.count };
        limit_len(&mut self.crashes, |it| (it.count, it.last_at_ms));
        (verdict.crashes >= SUSPECTED_CRASHES).then_some(verdict)
    }

    /// Clears a request that got a whole answer. A quarantined one stays: that answer is of a run that began before.
    pub fn clear(&mut self, fingerprint: u64) -> Option<CrashVerdict> {
        let crashes = self.crashes.get(&fingerprint)?;
        if crashes.count >= QUARANTINE_CRASHES {
            return None;
        }
        self.crashes.remove(&fingerprint);
        Some(CrashVerdict { fingerprint, crashes: 0 })
    }

    fn forget(&mut self, now_ms: u64) {
        self.crashes.retain(|_, it| it.last_at_ms + remembered_ms(it.count) > now_ms);
    }
}
