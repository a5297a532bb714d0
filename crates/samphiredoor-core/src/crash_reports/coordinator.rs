//! Counts the crashes of targets of the services that rendezvous hashing assigns to this process, and finds their causes.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    CERTAIN_PART_CRASHES, Content, CrashVerdict, MAX_SUSPECTS, PART_MARGIN,
    PART_QUARANTINE_CRASHES, QUARANTINE_CRASHES, QuarantineRule, RunTime, SUSPECTED_CRASHES,
    Suspect, SuspectKind, Trials,
    evidence::{CrashId, Evidence, Loss},
    limit_len, remembered_ms,
};

/// Time after the first report of a crash in which its other reports arrive, and answers that clear suspects. Judged
/// earlier, a suspect that was lost beside the cause of a crash may be the only one that is known of it.
pub const SETTLE_MS: u64 = 150;
/// Time for which a suspect has been told to all gateways before it is quarantined, so that those which have answered it can
/// say so.
const CONFIRM_MS: u64 = SETTLE_MS;
/// Losses at one target within this time are of one crash: a target takes longer to start again.
const SAME_CRASH_MS: u64 = 1_000;
/// Shortest run without a crash that shows a part to be sound.
const MIN_SURVIVED_MS: u32 = 1_000;
/// How much longer such a run is than those that ended with a crash.
const SURVIVED_FACTOR: u32 = 2;
/// Number of crashes after which a request may crash few more targets.
const REQUEST_BOUND_FROM: u32 = 3;
/// The same for a part.
const PART_BOUND_FROM: u32 = 5;
/// Age of the crash after which a suspect may crash few more targets, from which its quarantine counts as late.
const LATE_MS: u64 = 500;

/// A request that was lost together with its target. Times are relative, as clocks of gateways differ.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// What the request consists of; without the parts that its gateway has lately seen in a whole answer.
    pub content: Content,
    /// Whether the first of these parts is the first of the prompt.
    pub has_first_part: bool,
    /// Hash of the target's address.
    pub target: u64,
    /// Time since it was sent to the target.
    pub sent_ago_ms: u32,
    /// Time since it was lost.
    pub lost_ago_ms: u32,
    /// Time for which it ran, as far as its gateway can tell.
    pub ran_ms: u32,
}

/// A crash of a target.
#[derive(Debug, Clone, Copy)]
struct Crash {
    service: u64,
    target: u64,
    at_ms: u64,
    reported_ms: u64,
}

impl Evidence {
    /// Whether no gateway has cleared it although all had time to.
    fn is_confirmed(&self, now_ms: u64) -> bool {
        self.suspected_at_ms.is_some_and(|it| it + CONFIRM_MS <= now_ms)
    }

    /// Rank by which entries above the limit are dropped.
    fn rank(&self) -> (u32, u64) {
        (self.crashes.len() as u32, self.last_at_ms)
    }
}

/// Crashes of targets, and what was lost with them.
#[derive(Debug, Default)]
pub struct CrashCoordinator {
    rule: QuarantineRule,
    crashes: BTreeMap<CrashId, Crash>,
    last_crash: CrashId,
    evidence: BTreeMap<Suspect, Evidence>,
    /// Number of targets of each service.
    targets: BTreeMap<u64, usize>,
    /// When reports are to be judged.
    due_ms: Option<u64>,
}

impl CrashCoordinator {
    /// A coordinator that judges by this rule.
    pub fn with_rule(rule: QuarantineRule) -> CrashCoordinator {
        CrashCoordinator { rule, ..CrashCoordinator::default() }
    }

    /// Sets the number of targets of a service, which tells how many of them crash by chance.
    pub fn set_targets(&mut self, service: u64, targets: usize) {
        self.targets.insert(service, targets);
    }

    /// Records a reported loss; [`CrashCoordinator::verdicts`] judges it.
    pub fn report(&mut self, now_ms: u64, report: &CrashReport) {
        self.forget(now_ms);
        let sent_at_ms = now_ms.saturating_sub(report.sent_ago_ms.into());
        let lost_at_ms = now_ms.saturating_sub(report.lost_ago_ms.into());
        let crash = self.crash(now_ms, report, lost_at_ms);
        let loss = Loss { crash, sent_at_ms, at_ms: lost_at_ms, ran_ms: report.ran_ms };
        // Both times are late by the delays of their reports. So a request that was sent up to the delay between regions before
        // the last crash may count as sent after it, which is rare and needs to happen twice for a false quarantine.
        if let Some(request) = report.content.request() {
            self.evidence.entry(request).or_default().count(loss);
        }
        for (index, part) in report.content.part_suspects().enumerate() {
            let evidence = self.evidence.entry(part).or_default();
            evidence.depth = index + 1;
            evidence.is_common =
                index == 0 && report.has_first_part && report.content.parts.len() > 1;
            evidence.count(loss);
        }
        let rival = report.content.request().is_some_and(|it| self.has_rival(it));
        let must_wait = !report.content.parts.is_empty() || rival;
        let wait_ms = if must_wait { SETTLE_MS } else { 0 };
        limit_len(&mut self.evidence, Evidence::rank);
        let due_ms = now_ms + wait_ms;
        self.due_ms = Some(self.due_ms.map_or(due_ms, |it| it.min(due_ms)));
    }

    /// Whether it was quarantined here.
    pub fn has_quarantined(&self, suspect: Suspect) -> bool {
        self.evidence.get(&suspect).is_some_and(Evidence::is_quarantined)
    }

    /// When reports are to be judged next, if there are any.
    pub fn due_ms(&self) -> Option<u64> {
        self.due_ms
    }

    /// Judges the suspects that were reported. Returns what all gateways have to be told, also if they were told before: one
    /// that is still reported is not known to one of them.
    pub fn verdicts(&mut self, now_ms: u64) -> Vec<CrashVerdict> {
        if self.due_ms.is_none_or(|it| now_ms < it) {
            return Vec::new();
        }
        let settled = self.settled(now_ms);
        let mut causes = self.causes(&settled);
        let mut verdicts = self.lift_explained_parts(&causes);
        let sole = self.evidence.iter().filter(|(it, by)| self.is_sole_cause(it, by));
        causes.extend(sole.map(|(suspect, _)| *suspect));
        let mut ages_ms = BTreeMap::new();
        for suspect in causes {
            let Some(evidence) = self.evidence.get_mut(&suspect) else { continue };
            if !evidence.is_quarantined() && evidence.is_confirmed(now_ms) {
                let bounding = evidence.nth_loss(bounded_from(suspect.kind));
                let is_late = bounding.is_some_and(|it| now_ms > it.at_ms + LATE_MS);
                // A gateway that is short of processor time notices a crash late.
                let since_ms = bounding.map_or(now_ms, |it| it.sent_at_ms);
                ages_ms.insert(suspect, now_ms.saturating_sub(since_ms) as u32);
                evidence.quarantine = Some(Trials::of_new(is_late));
                evidence.is_reported = true;
            }
        }
        for (suspect, evidence) in &mut self.evidence {
            let count = evidence.crashes.len() as u32;
            let crashes = if evidence.is_quarantined() {
                count.max(QUARANTINE_CRASHES)
            } else {
                count.min(SUSPECTED_CRASHES)
            };
            if crashes >= SUSPECTED_CRASHES && std::mem::take(&mut evidence.is_reported) {
                evidence.suspected_at_ms.get_or_insert(now_ms);
                let trials = evidence.quarantine.unwrap_or_default();
                let age_ms = ages_ms.get(suspect).copied().unwrap_or(0);
                verdicts.push(CrashVerdict { suspect: *suspect, crashes, age_ms, trials });
            }
        }
        let settled = self.crashes.values().map(|it| it.reported_ms + SETTLE_MS);
        let suspected = self.evidence.values().filter_map(|it| it.suspected_at_ms);
        let due = settled.chain(suspected.map(|it| it + CONFIRM_MS));
        self.due_ms = due.filter(|it| *it > now_ms).min();
        verdicts
    }

    /// Clears a suspect that was in a whole answer: what crashes each target that runs it gets none. That also ends a
    /// quarantine, under which no further answer could show that it is sound.
    pub fn clear(&mut self, suspect: Suspect) -> Option<CrashVerdict> {
        self.evidence.remove(&suspect)?;
        Some(CrashVerdict::cleared(suspect))
    }

    /// Counts time for which a suspect ran without a crash. Returns what all gateways have to be told, if that ends its
    /// suspicion or quarantine: a run shows that it is sound, or its crashes are no more than others meet that run as much.
    pub fn survived(
        &mut self,
        now_ms: u64,
        suspect: Suspect,
        run_time: RunTime,
    ) -> Option<CrashVerdict> {
        if self.is_sound_after(suspect, run_time.longest_ms) {
            return self.clear(suspect);
        }
        self.evidence.get_mut(&suspect)?.survived(now_ms, run_time);
        let evidence = &self.evidence[&suspect];
        let crashes = evidence.crashes.iter().copied().collect();
        let is_lifted =
            evidence.is_quarantined() && self.may_be_chance(suspect.service, evidence, &crashes);
        if is_lifted { self.clear(suspect) } else { None }
    }

    /// Whether a run that its target has survived for this time shows that a part is sound: what crashes targets would have
    /// crashed this one long before. Items of jobs are often preempted before their whole answers.
    pub fn is_sound_after(&self, suspect: Suspect, ran_ms: u32) -> bool {
        let longest_ms = self.evidence.get(&suspect).map(Evidence::longest_run_ms);
        let needed_ms = longest_ms.map(|it| MIN_SURVIVED_MS.max(SURVIVED_FACTOR * it));
        suspect.kind == SuspectKind::Part && needed_ms.is_some_and(|it| ran_ms >= it)
    }

    /// Ends the quarantine of parts that were taken for a cause, and all of whose crashes other causes explain by now.
    fn lift_explained_parts(&mut self, causes: &[Suspect]) -> Vec<CrashVerdict> {
        let explained: BTreeSet<CrashId> =
            causes.iter().flat_map(|it| self.evidence[it].crashes.iter().copied()).collect();
        let mut lifted = Vec::new();
        for (suspect, evidence) in &mut self.evidence {
            let is_lifted = evidence.is_quarantined()
                && suspect.kind == SuspectKind::Part
                && !causes.contains(suspect)
                && evidence.crashes.iter().all(|it| explained.contains(it));
            if is_lifted {
                evidence.quarantine = None;
                lifted.push(CrashVerdict::cleared(*suspect));
            }
        }
        lifted
    }

    /// The crash of a target at a time; it is new if no loss was reported of it.
    fn crash(&mut self, now_ms: u64, report: &CrashReport, at_ms: u64) -> CrashId {
        let (service, target) = (report.content.service, report.target);
        let is_same = |it: &Crash| it.target == target && it.at_ms.abs_diff(at_ms) < SAME_CRASH_MS;
        if let Some((id, _)) = self.crashes.iter().rev().find(|(_, it)| is_same(it)) {
            return *id;
        }
        self.last_crash += 1;
        self.crashes.insert(self.last_crash, Crash { service, target, at_ms, reported_ms: now_ms });
        if self.crashes.len() > MAX_SUSPECTS {
            self.crashes.pop_first();
        }
        self.last_crash
    }

    /// Whether another request was lost in two or more of the crashes that count for a request, and may be their cause.
    fn has_rival(&self, request: Suspect) -> bool {
        let Some(own) = self.evidence.get(&request) else { return false };
        let crashes = own.crashes.iter().copied().collect();
        let mut others = self.requests().filter(|(it, _)| **it != request);
        others.any(|(_, it)| count_of(it, &crashes) >= SUSPECTED_CRASHES)
    }

    /// Whether it is a request with enough evidence of which no other request may be the cause, whether or not its crashes
    /// are settled.
    fn is_sole_cause(&self, suspect: &Suspect, evidence: &Evidence) -> bool {
        suspect.kind == SuspectKind::Request
            && self.suffices(suspect, evidence, &evidence.crashes.iter().copied().collect())
            && !self.has_rival(*suspect)
    }

    /// Whether it may have been lost in these crashes by chance: as many would be expected of anything that ran for as long
    /// while so many targets crashed.
    fn may_be_chance(
        &self,
        service: u64,
        evidence: &Evidence,
        crashes: &BTreeSet<CrashId>,
    ) -> bool {
        let losses = evidence.counted_losses().filter(|it| crashes.contains(&it.crash));
        let times = losses.clone().map(|it| it.at_ms);
        let (Some(first_ms), Some(last_ms)) = (times.clone().min(), times.max()) else {
            return true;
        };
        // Its other losses are no further events: targets that crash at the same time are one, as those of a rack.
        let of_service = self.crashes.iter().filter(|(_, it)| it.service == service);
        let without_it = of_service.filter(|(id, _)| !evidence.was_lost_in(**id));
        let events = without_it.map(|(_, it)| it.at_ms).chain(losses.clone().map(|it| it.at_ms));
        let chance = evidence.exposure().chance_of(
            losses.count() as u32,
            (first_ms, last_ms),
            events,
            self.target_count(service),
        );
        let max_chance = match evidence.is_common {
            true => self.rule.common_part_max_chance,
            false => self.rule.max_chance,
        };
        chance > max_chance
    }

    /// Number of targets of a service; those that have crashed while it is not known.
    fn target_count(&self, service: u64) -> usize {
        let known = self.targets.get(&service).copied().filter(|it| *it > 0);
        known.unwrap_or_else(|| {
            let of_service = self.crashes.values().filter(|it| it.service == service);
            of_service.map(|it| it.target).collect::<BTreeSet<u64>>().len()
        })
    }

    fn requests(&self) -> impl Iterator<Item = (&Suspect, &Evidence)> {
        self.evidence.iter().filter(|(it, _)| it.kind == SuspectKind::Request)
    }

    /// Crashes of which all reports are expected to have arrived.
    fn settled(&self, now_ms: u64) -> BTreeSet<CrashId> {
        let settled = self.crashes.iter().filter(|(_, it)| it.reported_ms + SETTLE_MS <= now_ms);
        settled.map(|(id, _)| *id).collect()
    }

    /// The fewest suspects that explain the crashes: the one that was lost with most of them, then the one that was lost with
    /// most of the others, and so on. Suspects that are only lost beside it are left out.
    fn causes(&self, settled: &BTreeSet<CrashId>) -> Vec<Suspect> {
        let mut unexplained = settled.clone();
        let mut causes = Vec::new();
        loop {
            let possible =
                self.evidence.iter().filter(|(it, by)| self.suffices(it, by, &unexplained));
            // At the same count a request is more specific than a part, and a deeper part than one before it.
            let rank = |it: &Suspect, by: &Evidence| {
                (count_of(by, &unexplained), it.kind == SuspectKind::Request, by.depth)
            };
            let best = possible.max_by_key(|(it, by)| rank(it, by));
            let Some((cause, evidence)) = best else { return causes };
            causes.push(*cause);
            evidence.crashes.iter().for_each(|it| _ = unexplained.remove(it));
        }
    }

    /// Whether there is enough evidence in these crashes for a quarantine.
    fn suffices(
        &self,
        suspect: &Suspect,
        evidence: &Evidence,
        crashes: &BTreeSet<CrashId>,
    ) -> bool {
        let count = count_of(evidence, crashes);
        if count < QUARANTINE_CRASHES || self.may_be_chance(suspect.service, evidence, crashes) {
            return false;
        }
        if suspect.kind == SuspectKind::Request {
            return true;
        }
        let own = among(evidence, crashes);
        let has_enough = match evidence.is_common {
            true => count >= CERTAIN_PART_CRASHES || self.is_simplest(evidence, &own),
            false => count >= PART_QUARANTINE_CRASHES,
        };
        has_enough
            && count >= self.most_of_one_request(&own) + PART_MARGIN
            && !self.is_explained_otherwise(evidence, own)
    }

    /// Whether a first part has crashed enough targets, and several others would have to be the causes if it were not.
    fn is_simplest(&self, part: &Evidence, crashes: &BTreeSet<CrashId>) -> bool {
        crashes.len() as u32 >= self.rule.common_part_crashes
            && self.fewest_others(part, crashes) >= self.rule.common_part_causes
    }

    /// Number of requests and deeper parts that explain these crashes without a part: the one that was lost with most of them
    /// first.
    fn fewest_others(&self, part: &Evidence, crashes: &BTreeSet<CrashId>) -> u32 {
        let mut unexplained = crashes.clone();
        let mut others = 0;
        while !unexplained.is_empty() {
            others += 1;
            let possible = self
                .evidence
                .iter()
                .filter(|(it, by)| it.kind == SuspectKind::Request || by.depth > part.depth);
            let Some((_, best)) = possible.max_by_key(|(_, by)| count_of(by, &unexplained)) else {
                return others;
            };
            let left = unexplained.len();
            best.crashes.iter().for_each(|it| _ = unexplained.remove(it));
            if unexplained.len() == left {
                // Items of jobs with this part alone: each crash of theirs has a cause of its own.
                return others + left as u32 - 1;
            }
        }
        others
    }

    /// Most of these crashes in which one request was lost.
    fn most_of_one_request(&self, crashes: &BTreeSet<CrashId>) -> u32 {
        self.requests().map(|(_, it)| count_of(it, crashes)).max().unwrap_or(0)
    }

    /// Whether deeper parts, and one request, may be the causes of a part's crashes. Most requests share the first parts, which
    /// explain the crashes of several causes together.
    fn is_explained_otherwise(&self, part: &Evidence, mut crashes: BTreeSet<CrashId>) -> bool {
        let deeper = self.evidence.iter().filter(|(it, by)| {
            it.kind == SuspectKind::Part && by.depth > part.depth && self.is_shared(by)
        });
        for (_, by) in deeper {
            by.crashes.iter().for_each(|it| _ = crashes.remove(it));
        }
        let left = crashes.len() as u32;
        left == 0 || left >= QUARANTINE_CRASHES && self.most_of_one_request(&crashes) == left
    }

    /// Whether several requests with a part were lost.
    fn is_shared(&self, part: &Evidence) -> bool {
        if part.crashes.len() < SUSPECTED_CRASHES as usize {
            return false;
        }
        let crashes: BTreeSet<CrashId> = part.crashes.iter().copied().collect();
        crashes.len() as u32 > self.most_of_one_request(&crashes)
    }

    fn forget(&mut self, now_ms: u64) {
        let crashes = |it: &Evidence| if it.is_quarantined() { QUARANTINE_CRASHES } else { 0 };
        self.evidence.retain(|_, it| it.last_at_ms + remembered_ms(crashes(it)) > now_ms);
        self.crashes.retain(|_, it| it.at_ms + remembered_ms(0) > now_ms);
    }
}

/// Number of crashes after which a suspect may crash few more targets.
fn bounded_from(kind: SuspectKind) -> u32 {
    match kind {
        SuspectKind::Request => REQUEST_BOUND_FROM,
        SuspectKind::Part => PART_BOUND_FROM,
    }
}

/// Number of these crashes that count for a suspect.
fn count_of(evidence: &Evidence, among: &BTreeSet<CrashId>) -> u32 {
    evidence.crashes.iter().filter(|it| among.contains(it)).count() as u32
}

/// Those of these crashes that count for a suspect.
fn among(evidence: &Evidence, crashes: &BTreeSet<CrashId>) -> BTreeSet<CrashId> {
    evidence.crashes.iter().filter(|it| crashes.contains(it)).copied().collect()
}
