//! Counts the crashes of the requests that rendezvous hashing assigns to this process.

use std::collections::{BTreeMap, BTreeSet};

use smallvec::SmallVec;

use super::{
    CrashVerdict, MAX_SUSPECTS, QUARANTINE_CRASHES, SUSPECTED_CRASHES, limit_len, remembered_ms,
};

/// Time after the first report of a crash in which its other reports arrive, and answers that clear requests. Judged
/// earlier, a request that was lost beside the cause of a crash may be the only one that is known of it.
pub const SETTLE_MS: u64 = 150;
/// Losses at one target within this time are of one crash: a target takes longer to start again.
const SAME_CRASH_MS: u64 = 1_000;
/// Crashes count for a request that was on several targets at once only if they are this far apart. The loss of a rack is
/// one crash, which gateways notice within less.
const SEPARATE_MS: u64 = 250;
/// Most crashes that are remembered of one request.
const MAX_CRASHES: usize = 16;

/// A request that was lost together with its target. Times are relative, as clocks of gateways differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashReport {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Hash of the target's address.
    pub target: u64,
    /// Time since it was sent to the target.
    pub sent_ago_ms: u32,
    /// Time since it was lost.
    pub lost_ago_ms: u32,
}

/// Number of a crash, in the order of first reports.
type CrashId = u64;

/// A crash of a target.
#[derive(Debug, Clone, Copy)]
struct Crash {
    target: u64,
    at_ms: u64,
    reported_ms: u64,
}

/// What speaks against a request.
#[derive(Debug, Default)]
struct Evidence {
    /// Crashes that count for it, in order.
    crashes: SmallVec<[CrashId; 4]>,
    last_at_ms: u64,
    /// Whether it has been quarantined.
    is_quarantined: bool,
    /// Whether it was reported since the last verdicts.
    is_reported: bool,
}

impl Evidence {
    /// Counts a crash under which the request was lost, unless it is one loss of several targets.
    fn count(&mut self, crash: CrashId, sent_at_ms: u64, at_ms: u64) {
        self.is_reported = true;
        let is_separate = self.crashes.is_empty()
            || sent_at_ms > self.last_at_ms
            || at_ms >= self.last_at_ms + SEPARATE_MS;
        if !is_separate || self.crashes.contains(&crash) {
            return;
        }
        if self.crashes.len() == MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
        self.last_at_ms = at_ms;
    }

    /// Rank by which entries above the limit are dropped.
    fn rank(&self) -> (u32, u64) {
        (self.crashes.len() as u32, self.last_at_ms)
    }
}

/// Crashes of targets, and the requests that were lost with them.
#[derive(Debug, Default)]
pub struct CrashCoordinator {
    crashes: BTreeMap<CrashId, Crash>,
    last_crash: CrashId,
    evidence: BTreeMap<u64, Evidence>,
    /// When reports are to be judged.
    due_ms: Option<u64>,
}

impl CrashCoordinator {
    /// Records a reported loss; [`CrashCoordinator::verdicts`] judges it.
    pub fn report(&mut self, now_ms: u64, report: &CrashReport) {
        self.forget(now_ms);
        let sent_at_ms = now_ms.saturating_sub(report.sent_ago_ms.into());
        let lost_at_ms = now_ms.saturating_sub(report.lost_ago_ms.into());
        let crash = self.crash(now_ms, report.target, lost_at_ms);
        // Both times are late by the delays of their reports. So a request that was sent up to the delay between regions before
        // the last crash may count as sent after it, which is rare and needs to happen twice for a false quarantine.
        let evidence = self.evidence.entry(report.fingerprint).or_default();
        evidence.count(crash, sent_at_ms, lost_at_ms);
        let wait_ms = if self.has_rival(report.fingerprint) { SETTLE_MS } else { 0 };
        limit_len(&mut self.evidence, Evidence::rank);
        let due_ms = now_ms + wait_ms;
        self.due_ms = Some(self.due_ms.map_or(due_ms, |it| it.min(due_ms)));
    }

    /// When reports are to be judged next, if there are any.
    pub fn due_ms(&self) -> Option<u64> {
        self.due_ms
    }

    /// Judges the requests that were reported. Returns what all gateways have to be told, also if they were told before: a
    /// request that is still reported is not known to one of them.
    pub fn verdicts(&mut self, now_ms: u64) -> Vec<CrashVerdict> {
        if self.due_ms.is_none_or(|it| now_ms < it) {
            return Vec::new();
        }
        let settled = self.settled(now_ms);
        let mut causes = self.causes(&settled);
        causes.extend(self.evidence.keys().filter(|it| self.is_sole_cause(**it)));
        for fingerprint in causes {
            if let Some(evidence) = self.evidence.get_mut(&fingerprint) {
                evidence.is_quarantined = true;
            }
        }
        let mut verdicts = Vec::new();
        for (fingerprint, evidence) in &mut self.evidence {
            let count = evidence.crashes.len() as u32;
            let crashes = if evidence.is_quarantined {
                count.max(QUARANTINE_CRASHES)
            } else {
                count.min(SUSPECTED_CRASHES)
            };
            if crashes >= SUSPECTED_CRASHES && std::mem::take(&mut evidence.is_reported) {
                verdicts.push(CrashVerdict { fingerprint: *fingerprint, crashes, age_ms: 0 });
            }
        }
        let unsettled = self.crashes.values().map(|it| it.reported_ms + SETTLE_MS);
        self.due_ms = unsettled.filter(|it| *it > now_ms).min();
        verdicts
    }

    /// Clears a request that got a whole answer. A quarantined one stays: that answer is of a run that began before.
    pub fn clear(&mut self, fingerprint: u64) -> Option<CrashVerdict> {
        let evidence = self.evidence.get(&fingerprint)?;
        if evidence.is_quarantined {
            return None;
        }
        self.evidence.remove(&fingerprint);
        Some(CrashVerdict { fingerprint, crashes: 0, age_ms: 0 })
    }

    /// The crash of a target at a time; it is new if no loss was reported of it.
    fn crash(&mut self, now_ms: u64, target: u64, at_ms: u64) -> CrashId {
        let is_same = |it: &Crash| it.target == target && it.at_ms.abs_diff(at_ms) < SAME_CRASH_MS;
        if let Some((id, _)) = self.crashes.iter().rev().find(|(_, it)| is_same(it)) {
            return *id;
        }
        self.last_crash += 1;
        self.crashes.insert(self.last_crash, Crash { target, at_ms, reported_ms: now_ms });
        if self.crashes.len() > MAX_SUSPECTS {
            self.crashes.pop_first();
        }
        self.last_crash
    }

    /// Whether another request was lost in two or more of the crashes that count for this one, and may be their cause.
    fn has_rival(&self, fingerprint: u64) -> bool {
        let Some(own) = self.evidence.get(&fingerprint) else { return false };
        let crashes = own.crashes.iter().copied().collect();
        let mut others = self.evidence.iter().filter(|(it, _)| **it != fingerprint);
        others.any(|(_, it)| count_of(it, &crashes) >= SUSPECTED_CRASHES)
    }

    /// Whether a request was lost in enough crashes, of which no other one may be the cause.
    fn is_sole_cause(&self, fingerprint: u64) -> bool {
        let count = self.evidence.get(&fingerprint).map_or(0, |it| it.crashes.len());
        count >= QUARANTINE_CRASHES as usize && !self.has_rival(fingerprint)
    }

    /// Crashes of which all reports are expected to have arrived.
    fn settled(&self, now_ms: u64) -> BTreeSet<CrashId> {
        let settled = self.crashes.iter().filter(|(_, it)| it.reported_ms + SETTLE_MS <= now_ms);
        settled.map(|(id, _)| *id).collect()
    }

    /// The fewest requests that explain the crashes: the one that was lost with most of them, then the one that was lost with
    /// most of the others, and so on. Requests that are only lost beside it are left out.
    fn causes(&self, settled: &BTreeSet<CrashId>) -> Vec<u64> {
        let mut unexplained = settled.clone();
        let mut causes = Vec::new();
        loop {
            let counts = self.evidence.iter().map(|(it, by)| (count_of(by, &unexplained), *it));
            let Some((count, cause)) = counts.max() else { return causes };
            if count < QUARANTINE_CRASHES {
                return causes;
            }
            self.evidence[&cause].crashes.iter().for_each(|it| _ = unexplained.remove(it));
            causes.push(cause);
        }
    }

    fn forget(&mut self, now_ms: u64) {
        let crashes = |it: &Evidence| if it.is_quarantined { QUARANTINE_CRASHES } else { 0 };
        self.evidence.retain(|_, it| it.last_at_ms + remembered_ms(crashes(it)) > now_ms);
        self.crashes.retain(|_, it| it.at_ms + remembered_ms(0) > now_ms);
    }
}

/// Number of these crashes that count for a request.
fn count_of(evidence: &Evidence, among: &BTreeSet<CrashId>) -> u32 {
    evidence.crashes.iter().filter(|it| among.contains(it)).count() as u32
}
