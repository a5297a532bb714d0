//! The suspects, suspected and quarantined, that this process was told of.

use std::collections::BTreeMap;

use super::{CrashVerdict, QUARANTINE_CRASHES, Suspect, limit_len, remembered_ms};

#[derive(Debug, Clone, Copy)]
struct Known {
    crashes: u32,
    judged_at_ms: u64,
}

/// Suspected and quarantined requests and parts.
#[derive(Debug, Default)]
pub struct KnownSuspects {
    suspects: BTreeMap<Suspect, Known>,
}

impl KnownSuspects {
    /// Whether there are none, so that no request has to be compared.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Whether it is suspected or quarantined, as far as this process was told.
    pub fn contains(&self, suspect: Suspect) -> bool {
        self.suspects.contains_key(&suspect)
    }

    /// Whether requests must not be sent that are this suspect, or have it in their prompts.
    pub fn is_quarantined(&self, now_ms: u64, suspect: Suspect) -> bool {
        self.get(now_ms, suspect).is_some_and(|it| it.crashes >= QUARANTINE_CRASHES)
    }

    /// Whether it is suspected, so that the next whole answer clears it.
    pub fn is_suspected(&self, now_ms: u64, suspect: Suspect) -> bool {
        self.get(now_ms, suspect).is_some_and(|it| it.crashes < QUARANTINE_CRASHES)
    }

    /// The quarantined ones, for gateways that may not know them.
    pub fn quarantined(&mut self, now_ms: u64) -> impl Iterator<Item = CrashVerdict> {
        self.forget(now_ms);
        let quarantined = self.suspects.iter().filter(|(_, it)| it.crashes >= QUARANTINE_CRASHES);
        quarantined.map(move |(suspect, it)| CrashVerdict {
            suspect: *suspect,
            crashes: it.crashes,
            age_ms: now_ms.saturating_sub(it.judged_at_ms) as u32,
        })
    }

    /// Takes over what a coordinator tells. Returns whether the suspect is quarantined by it and was not
    /// before.
    pub fn apply(&mut self, now_ms: u64, verdict: CrashVerdict) -> bool {
        self.forget(now_ms);
        let was_quarantined = self.is_quarantined(now_ms, verdict.suspect);
        if verdict.crashes == 0 {
            self.suspects.remove(&verdict.suspect);
            return false;
        }
        let known = self.suspects.entry(verdict.suspect);
        let judged_at_ms = now_ms.saturating_sub(verdict.age_ms.into());
        let known = known.or_insert(Known { crashes: 0, judged_at_ms });
        known.crashes = known.crashes.max(verdict.crashes);
        known.judged_at_ms = known.judged_at_ms.max(judged_at_ms);
        limit_len(&mut self.suspects, |it| (it.crashes, it.judged_at_ms));
        !was_quarantined && verdict.crashes >= QUARANTINE_CRASHES
    }

    fn forget(&mut self, now_ms: u64) {
        self.suspects.retain(|_, it| it.judged_at_ms + remembered_ms(it.crashes) > now_ms);
    }

    fn get(&self, now_ms: u64, suspect: Suspect) -> Option<&Known> {
        let known = self.suspects.get(&suspect)?;
        (known.judged_at_ms + remembered_ms(known.crashes) > now_ms).then_some(known)
    }
}
