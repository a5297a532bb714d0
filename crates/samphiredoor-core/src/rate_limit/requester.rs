//! Requests for runs: the part of a gateway that asks the coordinators of a workspace.

use std::collections::{BTreeSet, HashMap, VecDeque};

use smallvec::SmallVec;

use super::{MAX_RETRY_AFTER_MS, RateLimit, RunGrant, RunReport, Tolerance};
use crate::rendezvous;

/// How long a coordinator may take to answer before the decision is made without it. A round trip between regions takes
/// 24 ms, and a busy gateway answers some milliseconds later.
const ANSWER_TIMEOUT_MS: u64 = 60;
/// How long a coordinator that did not answer in time is not waited for again. It is still asked, and any answer ends
/// this.
const SILENT_MS: u64 = 1_000;
/// Delay before returned runs are reported if no request comes that reports them as well.
const RETURN_DELAY_MS: u64 = 100;
/// Part of the runs of a window that all gateways together may use without a coordinator. Those that reach one may use
/// the whole limit at the same time, so this part has to stay within the tolerance when a third of them is cut off.
const ALONE_PART: f64 = 0.25;
/// Coordinators of a workspace: one that decides, and one that takes its place.
const COORDINATORS: usize = 2;
/// Retry-after of a refusal without a coordinator: the retry may arrive at a gateway that reaches one.
const RETRY_ELSEWHERE_MS: u64 = 200;
/// Windows without a request after which the totals of a workspace are dropped: coordinators have dropped theirs before.
const IDLE_WINDOWS: u64 = 60;

/// Identifies a request that waits for a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RunTicket(pub u64);

/// Gateways that coordinate a workspace's limit, by the hashes of their names.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Coordinators {
    /// At most two, the one that decides first; none while this gateway reaches too few others.
    pub chosen: SmallVec<[u64; 2]>,
    /// Number of gateways that share the limit.
    pub gateways: u32,
}

/// What a gateway knows of another one when it chooses coordinators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OtherGateway {
    /// Hash of its name.
    pub key: u64,
    /// Whether it counts as live.
    pub is_live: bool,
    /// Whether it is one of the gateways of which at least half have to be live.
    pub is_expected: bool,
    /// Whether it is stopping; it coordinates nothing then.
    pub is_stopping: bool,
}

/// What the caller of the requester has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Send a report to these coordinators, and pass their answers to [`RunRequester::answered`].
    Report {
        /// Coordinators that get the report.
        to: SmallVec<[u64; 2]>,
        /// Report to send.
        report: RunReport,
    },
    /// The request may run.
    Grant {
        /// Request that waited.
        ticket: RunTicket,
    },
    /// The request exceeds the limit of its workspace.
    Refuse {
        /// Request that waited.
        ticket: RunTicket,
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
}

impl Coordinators {
    /// Chooses the two coordinators of a workspace among gateways by rendezvous hashing, so that gateways that know the
    /// same ones choose alike, and few workspaces move when a gateway joins or leaves.
    pub fn new(workspace: u64, candidates: impl Iterator<Item = u64>) -> Coordinators {
        let mut gateways = 0;
        let counted = candidates.inspect(|_| gateways += 1);
        let chosen = rendezvous::choose(workspace, counted, COORDINATORS);
        Coordinators { chosen, gateways }
    }

    /// Coordinators of a workspace as a gateway sees the others, in one walk over them; none while it reaches less than
    /// half of the expected gateways, as the others coordinate without it then.
    pub fn among(
        workspace: u64,
        own: u64,
        others: impl Iterator<Item = OtherGateway>,
    ) -> Coordinators {
        let (mut live, mut expected) = (1, 1);
        let counted = others.inspect(|it| {
            live += u32::from(it.is_live);
            expected += u32::from(it.is_expected);
        });
        let candidates = counted.filter(|it| it.is_live && !it.is_stopping).map(|it| it.key);
        let coordinators = Coordinators::new(workspace, candidates.chain([own]));
        if live * 2 < expected {
            return Coordinators { gateways: expected, ..Coordinators::default() };
        }
        coordinators
    }
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    ticket: RunTicket,
    /// Sequence number of the first report that includes the request.
    sequence: u32,
    since_ms: u64,
}

/// The last answer of one coordinator.
#[derive(Debug, Clone, Copy)]
struct Answer {
    coordinator: u64,
    grant: RunGrant,
    /// Requests refused because of it.
    refused: u32,
}

/// Runs of one workspace at this gateway.
#[derive(Debug)]
struct WorkspaceRuns {
    limit: RateLimit,
    limit_version: u64,
    used: u32,
    sequence: u32,
    coordinators: Coordinators,
    waiting: VecDeque<Waiting>,
    answers: SmallVec<[Answer; 2]>,
    /// Coordinators that have not answered, and the time of the first report since their last answer.
    unanswered_since: SmallVec<[(u64, u64); 2]>,
    /// Times of the runs of the last window that no coordinator has granted.
    alone: VecDeque<u64>,
    /// When returned runs are reported.
    report_due_ms: Option<u64>,
    requested_ms: u64,
}

/// A coordinator that did not answer in time.
#[derive(Debug, Clone, Copy)]
struct Silence {
    since_ms: u64,
    /// Until when it is not waited for.
    until_ms: u64,
}

/// Whether an answer of a coordinator is waited for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Presence {
    /// It may answer.
    Expected,
    /// It did not answer in time. This gateway may be cut off from it and most others, which go on with it.
    Silent,
    /// It did not answer in time, and this gateway has heard of most others since.
    Lost,
}

/// How the first waiting request is decided.
enum Decision {
    /// By the answer at this index.
    By(usize),
    /// Without a coordinator.
    Alone,
}

/// Asks for runs of workspaces, and decides by the answers of their coordinators.
#[derive(Debug)]
pub struct RunRequester {
    gateway: u64,
    incarnation: u64,
    tolerance: Tolerance,
    workspaces: HashMap<u64, WorkspaceRuns>,
    /// Workspaces with waiting requests or a report that is due.
    active: BTreeSet<u64>,
    /// Coordinators that are not waited for.
    silences: HashMap<u64, Silence>,
    /// Since when this gateway has heard of more than half of the expected gateways.
    majority_seen_ms: u64,
    swept_ms: u64,
}

impl RunRequester {
    /// Creates the requester of one incarnation of a gateway.
    pub fn new(gateway: u64, incarnation: u64, tolerance: Tolerance) -> RunRequester {
        RunRequester {
            gateway,
            incarnation,
            tolerance,
            workspaces: HashMap::new(),
            active: BTreeSet::new(),
            silences: HashMap::new(),
            majority_seen_ms: u64::MAX,
            swept_ms: 0,
        }
    }

    /// Records since when this gateway has heard of more than half of the expected gateways, itself included.
    pub fn record_majority(&mut self, seen_ms: u64) {
        self.majority_seen_ms = seen_ms;
    }

    /// Asks for one run of a workspace, whose limit is the one of this version of the routes.
    pub fn request(
        &mut self,
        now_ms: u64,
        ticket: RunTicket,
        (workspace, limit, limit_version): (u64, RateLimit, u64),
        coordinators: Coordinators,
        out: &mut Vec<Step>,
    ) {
        self.sweep(now_ms);
        let runs = self.workspaces.entry(workspace).or_insert_with(|| WorkspaceRuns::new(limit));
        (runs.limit, runs.limit_version) = (limit, limit_version);
        runs.requested_ms = now_ms;
        if runs.coordinators != coordinators {
            runs.answers.retain(|it| coordinators.chosen.contains(&it.coordinator));
            runs.coordinators = coordinators;
        }
        // The report of this request gets the next sequence number.
        let sequence = runs.sequence + 1;
        runs.waiting.push_back(Waiting { ticket, sequence, since_ms: now_ms });
        self.send_report(now_ms, workspace, out);
        self.decide(now_ms, workspace, out);
    }

    /// Processes an answer of a coordinator.
    pub fn answered(
        &mut self,
        now_ms: u64,
        coordinator: u64,
        grant: RunGrant,
        out: &mut Vec<Step>,
    ) {
        self.silences.remove(&coordinator);
        let Some(runs) = self.workspaces.get_mut(&grant.workspace) else { return };
        runs.note_answered(now_ms, coordinator, grant.sequence);
        let last = runs.answers.iter_mut().find(|it| it.coordinator == coordinator);
        let answer = Answer { coordinator, grant, refused: 0 };
        match last {
            Some(last) if last.grant.sequence < grant.sequence => *last = answer,
            Some(_) => return,
            None if runs.coordinators.chosen.contains(&coordinator) => runs.answers.push(answer),
            None => return,
        }
        self.decide(now_ms, grant.workspace, out);
    }

    /// Returns a run that was granted to a request that has certainly not run.
    pub fn returned(&mut self, now_ms: u64, workspace: u64) {
        let Some(runs) = self.workspaces.get_mut(&workspace) else { return };
        runs.used = runs.used.saturating_sub(1);
        runs.report_later(now_ms);
        self.active.insert(workspace);
    }

    /// Makes the decisions and sends the reports that are due.
    pub fn tick(&mut self, now_ms: u64, out: &mut Vec<Step>) {
        for workspace in self.active.clone() {
            self.decide(now_ms, workspace, out);
            let runs = self.workspaces.get(&workspace);
            if runs.and_then(|it| it.report_due_ms).is_some_and(|it| it <= now_ms) {
                self.send_report(now_ms, workspace, out);
                self.update_active(workspace);
            }
        }
    }

    /// When [`RunRequester::tick`] has something to do.
    pub fn next_tick_ms(&self) -> Option<u64> {
        let active = self.active.iter().filter_map(|it| self.workspaces.get(it));
        let due = active.flat_map(|it| {
            let answer_due = it.waiting.front().map(|it| it.since_ms + ANSWER_TIMEOUT_MS);
            [answer_due, it.report_due_ms]
        });
        due.flatten().min()
    }

    fn send_report(&mut self, now_ms: u64, workspace: u64, out: &mut Vec<Step>) {
        let (gateway, incarnation) = (self.gateway, self.incarnation);
        let Some(runs) = self.workspaces.get_mut(&workspace) else { return };
        runs.sequence += 1;
        runs.report_due_ms = None;
        if runs.coordinators.chosen.is_empty() {
            return;
        }
        runs.note_asked(now_ms);
        let report = RunReport {
            workspace,
            gateway,
            incarnation,
            sequence: runs.sequence,
            used: runs.used,
            wanted: runs.used + runs.waiting.len() as u32,
            limit: runs.limit,
            limit_version: runs.limit_version,
        };
        out.push(Step::Report { to: runs.coordinators.chosen.clone(), report });
    }

    /// Decides on waiting requests, in order of arrival, as far as answers or timeouts allow.
    fn decide(&mut self, now_ms: u64, workspace: u64, out: &mut Vec<Step>) {
        let Some(runs) = self.workspaces.get_mut(&workspace) else { return };
        while let Some(first) = runs.waiting.front().copied() {
            let is_over = now_ms >= first.since_ms + ANSWER_TIMEOUT_MS;
            if is_over {
                for coordinator in runs.unanswered(first.sequence) {
                    let silence = self.silences.entry(coordinator);
                    let silence = silence.or_insert(Silence { since_ms: now_ms, until_ms: 0 });
                    silence.until_ms = now_ms + SILENT_MS;
                }
            }
            let silence = |it: u64| match self.silences.get(&it) {
                Some(silence) if now_ms < silence.until_ms => match self.majority_seen_ms {
                    seen_ms if seen_ms > silence.since_ms => Presence::Lost,
                    _ => Presence::Silent,
                },
                _ => Presence::Expected,
            };
            let decision = runs.decision(now_ms, first.sequence, self.gateway, silence);
            let Some(decision) = decision else { break };
            runs.waiting.pop_front();
            let ticket = first.ticket;
            out.push(match decision {
                Decision::By(index) => runs.decide_by(index, ticket),
                Decision::Alone => runs.decide_alone(now_ms, self.tolerance, ticket),
            });
        }
        if runs.has_unused_grants() {
            runs.report_later(now_ms);
        }
        self.update_active(workspace);
    }

    fn update_active(&mut self, workspace: u64) {
        let runs = self.workspaces.get(&workspace);
        match runs.is_some_and(|it| !it.waiting.is_empty() || it.report_due_ms.is_some()) {
            true => self.active.insert(workspace),
            false => self.active.remove(&workspace),
        };
    }

    fn sweep(&mut self, now_ms: u64) {
        let idle_ms = self.tolerance.window_ms * IDLE_WINDOWS;
        if now_ms < self.swept_ms + idle_ms {
            return;
        }
        self.swept_ms = now_ms;
        self.workspaces
            .retain(|_, it| now_ms < it.requested_ms + idle_ms || !it.waiting.is_empty());
        self.active.retain(|it| self.workspaces.contains_key(it));
        self.silences.retain(|_, it| now_ms < it.until_ms);
    }
}

impl WorkspaceRuns {
    fn new(limit: RateLimit) -> WorkspaceRuns {
        WorkspaceRuns {
            limit,
            limit_version: 0,
            used: 0,
            sequence: 0,
            coordinators: Coordinators::default(),
            waiting: VecDeque::new(),
            answers: SmallVec::new(),
            unanswered_since: SmallVec::new(),
            alone: VecDeque::new(),
            report_due_ms: None,
            requested_ms: 0,
        }
    }

    /// Index of the answer of a coordinator to a report with at least this sequence number.
    fn answer_of(&self, coordinator: u64, sequence: u32) -> Option<usize> {
        self.answers
            .iter()
            .position(|it| it.coordinator == coordinator && it.grant.sequence >= sequence)
    }

    /// Notes that a report is sent to the coordinators.
    fn note_asked(&mut self, now_ms: u64) {
        let chosen = &self.coordinators.chosen;
        self.unanswered_since.retain(|(it, _)| chosen.contains(it));
        for coordinator in chosen {
            if !self.unanswered_since.iter().any(|(it, _)| it == coordinator) {
                self.unanswered_since.push((*coordinator, now_ms));
            }
        }
    }

    fn note_answered(&mut self, now_ms: u64, coordinator: u64, sequence: u32) {
        let is_last = sequence >= self.sequence;
        self.unanswered_since.retain(|(it, since_ms)| {
            *since_ms = if *it == coordinator { now_ms } else { *since_ms };
            *it != coordinator || !is_last
        });
    }

    /// Whether a coordinator has left reports without an answer for too long. Grants of the other one alone do not suffice
    /// then: requests that are granted at once would never notice that it is silent.
    fn is_overdue(&self, now_ms: u64, coordinator: Option<u64>) -> bool {
        let since = self.unanswered_since.iter().find(|(it, _)| Some(*it) == coordinator);
        since.is_some_and(|(_, since_ms)| now_ms >= since_ms + ANSWER_TIMEOUT_MS)
    }

    fn unanswered(&self, sequence: u32) -> SmallVec<[u64; 2]> {
        let chosen = self.coordinators.chosen.iter().copied();
        chosen.filter(|it| self.answer_of(*it, sequence).is_none()).collect()
    }

    /// How a request is decided at the gateway `own`, or `None` if an answer has to be waited for.
    fn decision(
        &self,
        now_ms: u64,
        sequence: u32,
        own: u64,
        presence: impl Fn(u64) -> Presence,
    ) -> Option<Decision> {
        let chosen = &self.coordinators.chosen;
        let (first, second) = (chosen.first().copied(), chosen.get(1).copied());
        let answer_of = |it: Option<u64>| it.and_then(|it| self.answer_of(it, sequence));
        let presence = |it: Option<u64>| it.map_or(Presence::Lost, &presence);
        let is_missing = |it: Option<u64>| presence(it) != Presence::Expected;
        match (answer_of(first), answer_of(second)) {
            (Some(one), Some(other)) => Some(Decision::By(self.deciding(one, other))),
            (None, None) => (is_missing(first) && is_missing(second)).then_some(Decision::Alone),
            (answer, other) => {
                let by = answer.or(other)?;
                let unanswered = if answer.is_some() { second } else { first };
                // A gateway that is cut off hears only itself, while the others go on with the other coordinator.
                if self.answers[by].coordinator == own && unanswered.is_some() {
                    return is_missing(unanswered).then_some(Decision::Alone);
                }
                // So does a group of gateways that is cut off with one of the coordinators.
                if presence(unanswered) == Presence::Silent {
                    return Some(Decision::Alone);
                }
                let is_first = answer.is_some() && !self.answers[by].grant.is_new;
                let suffices =
                    (is_first || self.grants(by)) && !self.is_overdue(now_ms, unanswered);
                (suffices || is_missing(unanswered)).then_some(Decision::By(by))
            }
        }
    }

    /// Whether an answer grants a run that is not used yet.
    fn grants(&self, answer: usize) -> bool {
        self.used < self.answers[answer].grant.granted
    }

    /// The answer that decides if both coordinators have answered: one that grants a run, as both buckets are charged for the
    /// runs that the other one grants; else that of the first one, unless only the other knows all runs of the window.
    fn deciding(&self, one: usize, other: usize) -> usize {
        let is_new = |it: usize| self.answers[it].grant.is_new;
        match (self.grants(one), self.grants(other)) {
            (true, _) => one,
            (false, true) => other,
            (false, false) if is_new(one) && !is_new(other) => other,
            (false, false) => one,
        }
    }

    fn decide_by(&mut self, index: usize, ticket: RunTicket) -> Step {
        if self.grants(index) {
            self.used += 1;
            return Step::Grant { ticket };
        }
        let answer = &mut self.answers[index];
        // The coordinator told when the first refused request should come back; the others follow at the rate.
        let later_ms = self.limit.interval_ms() * f64::from(answer.refused);
        answer.refused += 1;
        let retry_after_ms = u64::from(answer.grant.retry_after_ms) + later_ms as u64;
        Step::Refuse { ticket, retry_after_ms: retry_after_ms.min(MAX_RETRY_AFTER_MS) }
    }

    /// Grants a run from the budget that this gateway has without a coordinator: an equal part for each gateway, and at
    /// least one run in a window.
    fn decide_alone(&mut self, now_ms: u64, tolerance: Tolerance, ticket: RunTicket) -> Step {
        while self.alone.front().is_some_and(|it| it + tolerance.window_ms <= now_ms) {
            self.alone.pop_front();
        }
        let part = ALONE_PART / f64::from(self.coordinators.gateways.max(1));
        let budget = ((tolerance.window_runs(self.limit) * part) as usize).max(1);
        if self.alone.len() >= budget {
            return Step::Refuse { ticket, retry_after_ms: RETRY_ELSEWHERE_MS };
        }
        self.alone.push_back(now_ms);
        self.used += 1;
        Step::Grant { ticket }
    }

    /// Whether a coordinator has granted runs that no request here uses or waits for.
    fn has_unused_grants(&self) -> bool {
        let needed = self.used + self.waiting.len() as u32;
        self.answers
            .iter()
            .any(|it| it.grant.sequence == self.sequence && it.grant.granted > needed)
    }

    fn report_later(&mut self, now_ms: u64) {
        self.report_due_ms.get_or_insert(now_ms + RETURN_DELAY_MS);
    }
}
