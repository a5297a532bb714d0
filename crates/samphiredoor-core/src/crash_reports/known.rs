//! The suspects, suspected and quarantined, that this process was told of.

use std::{cmp::Reverse, collections::BTreeMap};

use super::{
    CrashVerdict, QUARANTINE_CRASHES, QUARANTINE_MS, Suspect, TrialOutcome, Trials, limit_len,
    remembered_ms, trials::NEW_MS,
};

#[derive(Debug, Clone, Copy)]
struct Known {
    crashes: u32,
    judged_at_ms: u64,
    trials: Trials,
    /// When the next trial may be granted.
    next_trial_ms: u64,
    /// Until when its quarantine is new.
    new_until_ms: u64,
    /// Number of trials that the store has a record of.
    recorded_trials: u8,
}

impl Known {
    fn set_trials(&mut self, now_ms: u64, trials: Trials) {
        self.trials = trials;
        self.next_trial_ms = now_ms + u64::from(trials.in_ms);
    }

    /// What other gateways are told.
    fn verdict(&self, now_ms: u64, suspect: Suspect) -> CrashVerdict {
        let in_ms = self.next_trial_ms.saturating_sub(now_ms) as u32;
        CrashVerdict {
            suspect,
            crashes: self.crashes,
            age_ms: now_ms.saturating_sub(self.judged_at_ms) as u32,
            trials: Trials { in_ms, ..self.trials },
        }
    }
}

/// Suspected and quarantined requests and parts.
#[derive(Debug, Default)]
pub struct KnownSuspects {
    suspects: BTreeMap<Suspect, Known>,
    /// When suspects were cleared. What was judged before is out of date, whoever tells it.
    cleared_at_ms: BTreeMap<Suspect, u64>,
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
        quarantined.map(move |(suspect, it)| it.verdict(now_ms, *suspect))
    }

    /// The suspects with the most crashes, quarantined or not.
    pub fn worst(&self, now_ms: u64, limit: usize) -> Vec<Suspect> {
        let known =
            self.suspects.keys().filter_map(|it| Some((self.get(now_ms, *it)?.crashes, it)));
        let mut by_crashes: Vec<(u32, &Suspect)> = known.collect();
        by_crashes.sort_unstable_by_key(|(crashes, _)| Reverse(*crashes));
        by_crashes.into_iter().take(limit).map(|(_, it)| *it).collect()
    }

    /// What is known of a suspect; `None` if it is neither suspected nor quarantined.
    pub fn verdict(&self, now_ms: u64, suspect: Suspect) -> Option<CrashVerdict> {
        self.get(now_ms, suspect).map(|it| it.verdict(now_ms, suspect))
    }

    /// What is known of a suspect beyond what another gateway tells: that it was cleared since, or further trials.
    pub fn newer_than(&self, now_ms: u64, told: &CrashVerdict) -> Option<CrashVerdict> {
        if told.crashes == 0 {
            return None;
        }
        if self.is_cleared_since(now_ms, told) {
            return Some(CrashVerdict::cleared(told.suspect));
        }
        let known = self.get(now_ms, told.suspect)?;
        let is_newer = known.trials.is_later_than(told.trials);
        is_newer.then(|| known.verdict(now_ms, told.suspect))
    }

    fn is_cleared_since(&self, now_ms: u64, told: &CrashVerdict) -> bool {
        let judged_at_ms = now_ms.saturating_sub(told.age_ms.into());
        self.cleared_at_ms.get(&told.suspect).is_some_and(|it| judged_at_ms < *it)
    }

    /// Whether a trial of a quarantined suspect may be granted now, as far as this process was told.
    pub fn is_trial_due(&self, now_ms: u64, suspect: Suspect) -> bool {
        self.get(now_ms, suspect).is_some_and(|it| it.next_trial_ms <= now_ms)
    }

    /// Whether the next trial of a suspect is recorded, or may do without a record as its quarantine is new.
    pub fn is_next_trial_recorded(&self, now_ms: u64, suspect: Suspect) -> bool {
        self.get(now_ms, suspect).is_none_or(|it| {
            let is_new = now_ms < it.new_until_ms;
            is_new || it.trials.after_grant(false).granted <= it.recorded_trials
        })
    }

    /// Notes that the store has a record of this number of trials.
    pub fn mark_recorded(&mut self, suspect: Suspect, trials: u8) {
        if let Some(known) = self.suspects.get_mut(&suspect) {
            known.recorded_trials = trials;
        }
    }

    /// Whether it was cleared within the time for which quarantines last.
    pub fn was_cleared(&self, suspect: Suspect) -> bool {
        self.cleared_at_ms.contains_key(&suspect)
    }

    /// Time until a trial of a suspect may be granted.
    pub fn next_trial_in_ms(&self, now_ms: u64, suspect: Suspect) -> u64 {
        self.get(now_ms, suspect).map_or(0, |it| it.next_trial_ms.saturating_sub(now_ms))
    }

    /// Decides whether a request may be sent as a trial of all these suspects. Returns what all gateways have to be told.
    pub fn grant_trial(
        &mut self,
        now_ms: u64,
        suspects: &[Suspect],
    ) -> (TrialOutcome, Vec<CrashVerdict>) {
        if !suspects.iter().all(|it| self.is_quarantined(now_ms, *it)) {
            return (TrialOutcome::Unknown, Vec::new());
        }
        if !suspects.iter().all(|it| self.is_trial_due(now_ms, *it)) {
            return (TrialOutcome::Denied, Vec::new());
        }
        let grant = |it: &Known| it.trials.after_grant(now_ms < it.new_until_ms);
        (TrialOutcome::Granted, self.change_trials(now_ms, suspects, grant))
    }

    /// Takes back a granted trial that no target has run. Returns what all gateways have to be told.
    pub fn return_trial(&mut self, now_ms: u64, suspects: &[Suspect]) -> Vec<CrashVerdict> {
        self.change_trials(now_ms, suspects, |it| it.trials.after_return())
    }

    /// Lets this process ask for no trial of these suspects for a time.
    pub fn defer_trial(&mut self, now_ms: u64, suspects: &[Suspect], pause_ms: u64) {
        for suspect in suspects {
            if let Some(known) = self.suspects.get_mut(suspect) {
                known.next_trial_ms = known.next_trial_ms.max(now_ms + pause_ms);
            }
        }
    }

    fn change_trials(
        &mut self,
        now_ms: u64,
        suspects: &[Suspect],
        change: impl Fn(&Known) -> Trials,
    ) -> Vec<CrashVerdict> {
        let mut verdicts = Vec::new();
        for suspect in suspects {
            if let Some(known) = self.suspects.get_mut(suspect) {
                known.set_trials(now_ms, change(known));
                verdicts.push(known.verdict(now_ms, *suspect));
            }
        }
        verdicts
    }

    /// Takes over what a coordinator tells. Returns whether the suspect is quarantined by it and was not
    /// before.
    pub fn apply(&mut self, now_ms: u64, verdict: CrashVerdict) -> bool {
        self.forget(now_ms);
        let was_quarantined = self.is_quarantined(now_ms, verdict.suspect);
        if verdict.crashes == 0 {
            self.clear(now_ms, verdict.suspect);
            return false;
        }
        if self.is_cleared_since(now_ms, &verdict) {
            return false;
        }
        let known = self.suspects.entry(verdict.suspect);
        let judged_at_ms = now_ms.saturating_sub(verdict.age_ms.into());
        let unknown = Known {
            crashes: 0,
            judged_at_ms,
            trials: Trials::default(),
            next_trial_ms: 0,
            new_until_ms: 0,
            recorded_trials: 0,
        };
        let known = known.or_insert(unknown);
        known.crashes = known.crashes.max(verdict.crashes);
        known.judged_at_ms = known.judged_at_ms.max(judged_at_ms);
        if verdict.trials.is_later_than(known.trials) {
            known.set_trials(now_ms, verdict.trials);
            if verdict.trials.version == 1 {
                known.new_until_ms = judged_at_ms + NEW_MS;
            }
        }
        limit_len(&mut self.suspects, |it| (it.crashes, it.judged_at_ms));
        !was_quarantined && verdict.crashes >= QUARANTINE_CRASHES
    }

    fn clear(&mut self, now_ms: u64, suspect: Suspect) {
        self.suspects.remove(&suspect);
        self.cleared_at_ms.insert(suspect, now_ms);
        limit_len(&mut self.cleared_at_ms, |it| (0, *it));
    }

    fn forget(&mut self, now_ms: u64) {
        self.cleared_at_ms.retain(|_, it| *it + QUARANTINE_MS > now_ms);
        self.suspects.retain(|_, it| it.judged_at_ms + remembered_ms(it.crashes) > now_ms);
    }

    fn get(&self, now_ms: u64, suspect: Suspect) -> Option<&Known> {
        let known = self.suspects.get(&suspect)?;
        (known.judged_at_ms + remembered_ms(known.crashes) > now_ms).then_some(known)
    }
}
