//! A fleet of gateways and targets in simulated time, with the coordinator of one service.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use samphiredoor_core::crash_reports::{
    AnsweredKeys, Content, CrashCoordinator, CrashReport, CrashVerdict, KnownSuspects, Parts,
    QuarantineRule, Suspect, SuspectKind, TrialOutcome,
};

const SERVICE: u64 = 1;
/// Time of a message between gateways.
const MESSAGE_MS: u64 = 25;
/// Time after which a target that has crashed is back.
const DOWN_MS: u64 = 3_000;
/// Time from the sending of a request to its first output.
const FIRST_OUTPUT_MS: u64 = 80;
/// Most time that a run without output counts as having run.
const MAX_WAIT_MS: u64 = 250;
/// Attempts of a gateway for one request.
const ATTEMPTS: u32 = 2;
/// Times at which what crashes targets does so after it was sent.
const CRASHES_AFTER_MS: std::ops::Range<u64> = 30..120;
/// First parts that requests share.
const FIRST_PARTS: usize = 4;
const FIRST_PART_HASHES: u64 = 1_000;
const DEEP_PART_HASHES: u64 = 10_000;
/// Hashes of what crashes targets.
const CAUSE_HASHES: u64 = 1_000_000;
/// Time from one pulse of crashes by chance to the next one, and time over which the targets of a pulse crash.
const PULSE_INTERVAL_MS: u64 = 400;
const PULSE_MS: u64 = 120;

/// Size and traffic of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub gateways: usize,
    pub targets: usize,
    pub requests_per_s: u64,
}

/// What crashes each target that runs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// A request that its caller sends again and again.
    Request,
    /// A deeper part, of requests of which no two are alike.
    DeepPart,
    /// A first part, with various sound parts behind it.
    FirstPart,
    /// The first part that most requests share.
    CommonFirstPart,
}

impl Cause {
    /// Crashes after which it may crash few more targets.
    fn bound(self) -> u64 {
        if self == Cause::Request { 3 } else { 5 }
    }
}

/// What happens in a run of the simulation, which begins with gateways that have answered nothing.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub size: Size,
    pub duration_ms: u64,
    /// Mean time of a sound run.
    pub run_ms: u64,
    /// Crashes of one target by chance, in an hour.
    pub crashes_per_hour: u64,
    /// Pulses of a burst of crashes by chance, and the share of targets that each of them hits.
    pub pulses: u64,
    pub hit_share: f64,
    /// When the burst begins at the latest.
    pub burst_until_ms: u64,
    pub causes: Vec<Cause>,
    /// When the causes begin.
    pub causes_from_ms: u64,
    /// Requests a second of each cause.
    pub cause_per_s: u64,
}

/// What a run of the simulation has shown.
#[derive(Debug, Default, Clone)]
pub struct Outcome {
    pub requests: u64,
    pub refused: u64,
    /// Sound suspects that were quarantined: requests, deeper parts, first parts.
    pub false_alarms: [usize; 3],
    /// For each cause the targets that it has crashed until gateways knew its quarantine, and all that it has crashed.
    pub crashes_until_known: Vec<Option<u64>>,
    pub crashes: Vec<u64>,
    /// For each cause the time from the crash from which it may crash few more targets, the third one of a request and the
    /// fifth one of a part, until gateways knew its quarantine; 0 if they knew it before.
    pub known_after_ms: Vec<Option<u64>>,
}

#[derive(Debug, Clone)]
struct Request {
    content: Content,
    /// Index of the cause that it holds.
    cause: Option<usize>,
    attempt: u32,
    gateway: usize,
}

#[derive(Debug)]
struct Run {
    request: Request,
    sent_ms: u64,
}

#[derive(Debug)]
enum Event {
    Arrives,
    CauseArrives(usize),
    Sent(Request),
    Ends { target: usize, run: u64 },
    Crashes { target: usize, start: u64, cause: Option<usize> },
    Returns(usize),
    Reported { report: CrashReport, sent_ms: u64, lost_ms: u64 },
    Judged,
    Told(CrashVerdict),
    Cleared(Suspect),
}

#[derive(Debug, Default)]
struct Target {
    start: u64,
    is_down: bool,
    runs: BTreeMap<u64, Run>,
}

struct Fleet<'a> {
    scenario: &'a Scenario,
    random: SmallRng,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    by_number: BTreeMap<u64, Event>,
    number: u64,
    targets: Vec<Target>,
    answered: Vec<AnsweredKeys>,
    coordinator: CrashCoordinator,
    known: KnownSuspects,
    false_alarms: BTreeSet<Suspect>,
    /// When each cause had crashed as many targets as it may before it is known.
    bounds_ms: Vec<Option<u64>>,
    /// Cumulated weights of the deeper parts.
    deep_weights: Vec<f64>,
    outcome: Outcome,
}

/// Plays a scenario.
pub fn play(scenario: &Scenario, rule: QuarantineRule, seed: u64) -> Outcome {
    let mut coordinator = CrashCoordinator::with_rule(rule);
    coordinator.set_targets(SERVICE, scenario.size.targets);
    let mut fleet = Fleet {
        scenario,
        random: SmallRng::seed_from_u64(seed),
        now_ms: 0,
        events: BinaryHeap::new(),
        by_number: BTreeMap::new(),
        number: 0,
        targets: (0..scenario.size.targets).map(|_| Target::default()).collect(),
        answered: (0..scenario.size.gateways).map(|_| AnsweredKeys::default()).collect(),
        coordinator,
        known: KnownSuspects::default(),
        false_alarms: BTreeSet::new(),
        bounds_ms: vec![None; scenario.causes.len()],
        deep_weights: zipf(10 * scenario.size.targets),
        outcome: Outcome {
            crashes_until_known: vec![None; scenario.causes.len()],
            crashes: vec![0; scenario.causes.len()],
            known_after_ms: vec![None; scenario.causes.len()],
            ..Outcome::default()
        },
    };
    fleet.schedule();
    fleet.run();
    fleet.outcome.false_alarms = fleet.count_false_alarms();
    fleet.outcome
}

/// Cumulated weights of a popularity by Zipf's law.
fn zipf(count: usize) -> Vec<f64> {
    let mut sum = 0.0;
    (1..=count)
        .map(|it| {
            sum += 1.0 / it as f64;
            sum
        })
        .collect()
}

impl Fleet<'_> {
    fn schedule(&mut self) {
        self.after(0, Event::Arrives);
        for cause in 0..self.scenario.causes.len() {
            let from_ms = self.scenario.causes_from_ms + self.random.random_range(0..250);
            self.after(from_ms, Event::CauseArrives(cause));
        }
        let (targets, duration_ms) = (self.scenario.size.targets, self.scenario.duration_ms);
        let rate = self.scenario.crashes_per_hour as f64 / 3_600_000.0;
        for target in 0..targets {
            let mut at_ms = 0.0;
            while rate > 0.0 && at_ms < duration_ms as f64 {
                at_ms += -self.random.random::<f64>().max(1e-12).ln() / rate;
                self.after(at_ms as u64, Event::Crashes { target, start: u64::MAX, cause: None });
            }
        }
        let begin_ms = self.random.random_range(100..=self.scenario.burst_until_ms.max(100));
        let hits = (targets as f64 * self.scenario.hit_share).ceil() as u64;
        for pulse in 0..self.scenario.pulses {
            for hit in 0..hits {
                let target = self.random.random_range(0..targets);
                let at_ms = begin_ms + pulse * PULSE_INTERVAL_MS + hit * PULSE_MS / hits;
                self.after(at_ms, Event::Crashes { target, start: u64::MAX, cause: None });
            }
        }
    }

    fn after(&mut self, delay_ms: u64, event: Event) {
        self.number += 1;
        self.by_number.insert(self.number, event);
        self.events.push(Reverse((self.now_ms + delay_ms, self.number)));
    }

    fn run(&mut self) {
        while let Some(Reverse((at_ms, number))) = self.events.pop() {
            if at_ms > self.scenario.duration_ms {
                return;
            }
            self.now_ms = at_ms;
            let event = self.by_number.remove(&number).expect("an event");
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrives => self.arrives(),
            Event::CauseArrives(cause) => self.cause_arrives(cause),
            Event::Sent(request) => self.send(request),
            Event::Ends { target, run } => self.ends(target, run),
            Event::Crashes { target, start, cause } => self.crashes(target, start, cause),
            Event::Returns(target) => self.targets[target].is_down = false,
            Event::Reported { report, sent_ms, lost_ms } => {
                let sent_ago_ms = (self.now_ms - sent_ms) as u32;
                let lost_ago_ms = (self.now_ms - lost_ms) as u32;
                let report = CrashReport { sent_ago_ms, lost_ago_ms, ..report };
                self.coordinator.report(self.now_ms, &report);
                self.judge_when_due();
            }
            Event::Judged => {
                let verdicts = self.coordinator.verdicts(self.now_ms);
                verdicts.into_iter().for_each(|it| self.after(MESSAGE_MS, Event::Told(it)));
                self.judge_when_due();
            }
            Event::Told(verdict) => self.told(verdict),
            Event::Cleared(suspect) => {
                if let Some(verdict) = self.coordinator.clear(suspect) {
                    self.after(MESSAGE_MS, Event::Told(verdict));
                }
            }
        }
    }

    fn judge_when_due(&mut self) {
        if let Some(due_ms) = self.coordinator.due_ms() {
            self.after(due_ms.saturating_sub(self.now_ms), Event::Judged);
        }
    }

    /// Time until the next event of a Poisson process.
    fn pause_ms(&mut self, per_s: u64) -> u64 {
        (-self.random.random::<f64>().max(1e-12).ln() * 1_000.0 / per_s as f64) as u64
    }

    fn sound_parts(&mut self) -> Parts {
        let firsts = zipf(FIRST_PARTS);
        let first = pick(&firsts, self.random.random());
        let deep = pick(&self.deep_weights, self.random.random());
        Parts::from_slice(&[FIRST_PART_HASHES + first, DEEP_PART_HASHES + deep])
    }

    fn arrives(&mut self) {
        let pause_ms = self.pause_ms(self.scenario.size.requests_per_s);
        self.after(pause_ms, Event::Arrives);
        self.outcome.requests += 1;
        let parts = self.sound_parts();
        let common = self.scenario.causes.iter().position(|it| *it == Cause::CommonFirstPart);
        let is_active = self.now_ms >= self.scenario.causes_from_ms;
        let cause = common.filter(|_| is_active && parts[0] == FIRST_PART_HASHES);
        let fingerprint = self.random.random();
        self.first_attempt(Some(fingerprint), parts, cause);
    }

    fn cause_arrives(&mut self, cause: usize) {
        if self.scenario.causes[cause] == Cause::CommonFirstPart {
            return;
        }
        let pause_ms = self.pause_ms(self.scenario.cause_per_s);
        self.after(pause_ms, Event::CauseArrives(cause));
        let mut parts = self.sound_parts();
        let mut fingerprint = self.random.random();
        let hash = CAUSE_HASHES + cause as u64;
        match self.scenario.causes[cause] {
            Cause::Request => {
                fingerprint = hash;
                parts = Parts::from_slice(&[FIRST_PART_HASHES, DEEP_PART_HASHES + cause as u64]);
            }
            Cause::DeepPart => parts = Parts::from_slice(&[FIRST_PART_HASHES, hash]),
            Cause::FirstPart | Cause::CommonFirstPart => parts[0] = hash,
        }
        self.first_attempt(Some(fingerprint), parts, Some(cause));
    }

    fn first_attempt(&mut self, fingerprint: Option<u64>, parts: Parts, cause: Option<usize>) {
        let gateway = self.random.random_range(0..self.scenario.size.gateways);
        let content = Content { service: SERVICE, fingerprint, parts };
        self.send(Request { content, cause, attempt: 1, gateway });
    }

    fn send(&mut self, request: Request) {
        let quarantined: Vec<Suspect> = request
            .content
            .suspects()
            .filter(|it| self.known.is_quarantined(self.now_ms, *it))
            .collect();
        if !quarantined.is_empty() {
            let (outcome, _) = self.known.grant_trial(self.now_ms, &quarantined);
            if outcome != TrialOutcome::Granted {
                self.outcome.refused += u64::from(request.cause.is_none());
                return;
            }
        }
        let two = [0, 1].map(|_| self.random.random_range(0..self.targets.len()));
        let up = two.into_iter().filter(|it| !self.targets[*it].is_down);
        let Some(target) = up.min_by_key(|it| self.targets[*it].runs.len()) else {
            return self.after(20, Event::Sent(request));
        };
        self.number += 1;
        let run = self.number;
        let cause = request.cause;
        self.targets[target].runs.insert(run, Run { request, sent_ms: self.now_ms });
        if cause.is_some() {
            let crash = Event::Crashes { target, start: self.targets[target].start, cause };
            let after_ms = self.random.random_range(CRASHES_AFTER_MS);
            self.after(after_ms, crash);
        } else {
            let length = -self.random.random::<f64>().max(1e-12).ln() * self.scenario.run_ms as f64;
            self.after(FIRST_OUTPUT_MS + length as u64, Event::Ends { target, run });
        }
    }

    fn ends(&mut self, target: usize, run: u64) {
        let Some(run) = self.targets[target].runs.remove(&run) else { return };
        let now_ms = self.now_ms;
        let suspects: Vec<Suspect> = run.request.content.suspects().collect();
        for suspect in suspects {
            self.answered[run.request.gateway].insert(now_ms, key(suspect));
            if self.known.is_suspected(now_ms, suspect)
                || self.known.is_quarantined(now_ms, suspect)
            {
                self.after(MESSAGE_MS, Event::Cleared(suspect));
            }
        }
    }

    fn crashes(&mut self, index: usize, start: u64, cause: Option<usize>) {
        let target = &mut self.targets[index];
        if target.is_down || start != u64::MAX && target.start != start {
            return;
        }
        target.is_down = true;
        target.start += 1;
        let lost = std::mem::take(&mut target.runs);
        if let Some(cause) = cause {
            self.outcome.crashes[cause] += 1;
            if self.outcome.crashes[cause] == self.scenario.causes[cause].bound() {
                self.bounds_ms[cause] = Some(self.now_ms);
            }
        }
        self.after(DOWN_MS, Event::Returns(index));
        for run in lost.into_values() {
            self.report(index, &run);
            if run.request.attempt < ATTEMPTS {
                let attempt = run.request.attempt + 1;
                self.after(5, Event::Sent(Request { attempt, ..run.request }));
            }
        }
    }

    fn report(&mut self, target: usize, run: &Run) {
        let answered = &self.answered[run.request.gateway];
        let mut content = run.request.content.clone();
        let is_answered = content.request().is_some_and(|it| answered.contains(key(it)));
        content.parts.retain(|it| !answered.contains(key(Suspect::part(SERVICE, *it))));
        if is_answered {
            return;
        }
        let age_ms = self.now_ms - run.sent_ms;
        let ran_ms = match age_ms.checked_sub(FIRST_OUTPUT_MS) {
            Some(ran_ms) if run.request.cause.is_none() => ran_ms,
            _ => age_ms.min(MAX_WAIT_MS),
        };
        let report = CrashReport {
            has_first_part: content.parts.first() == run.request.content.parts.first(),
            content,
            target: target as u64,
            sent_ago_ms: 0,
            lost_ago_ms: 0,
            ran_ms: ran_ms as u32,
        };
        let delay_ms = MESSAGE_MS + self.random.random_range(0..40);
        let lost_ms = self.now_ms;
        self.after(delay_ms, Event::Reported { report, sent_ms: run.sent_ms, lost_ms });
    }

    fn told(&mut self, verdict: CrashVerdict) {
        let suspect = verdict.suspect;
        let is_new = self.known.apply(self.now_ms, verdict);
        if verdict.crashes > 0 && self.answered.iter().any(|it| it.contains(key(suspect))) {
            self.after(MESSAGE_MS, Event::Cleared(suspect));
        }
        if !is_new {
            return;
        }
        match self.cause_of(suspect) {
            Some(cause) => {
                let crashes = self.outcome.crashes[cause];
                self.outcome.crashes_until_known[cause].get_or_insert(crashes);
                let bound_ms = self.bounds_ms[cause].unwrap_or(self.now_ms);
                self.outcome.known_after_ms[cause].get_or_insert(self.now_ms - bound_ms);
            }
            None => _ = self.false_alarms.insert(suspect),
        }
    }

    fn cause_of(&self, suspect: Suspect) -> Option<usize> {
        let is_it = |(number, cause): (usize, &Cause)| {
            let hash = match cause {
                Cause::CommonFirstPart => FIRST_PART_HASHES,
                _ => CAUSE_HASHES + number as u64,
            };
            let is_request = *cause == Cause::Request;
            (hash == suspect.hash && is_request == (suspect.kind == SuspectKind::Request))
                .then_some(number)
        };
        self.scenario.causes.iter().enumerate().find_map(is_it)
    }

    fn count_false_alarms(&self) -> [usize; 3] {
        let is_first = |it: &Suspect| it.hash < DEEP_PART_HASHES;
        let mut counts = [0; 3];
        for suspect in &self.false_alarms {
            let index = match suspect.kind {
                SuspectKind::Request => 0,
                SuspectKind::Part if !is_first(suspect) => 1,
                SuspectKind::Part => 2,
            };
            counts[index] += 1;
        }
        counts
    }
}

/// Index of a part that is as popular as its weight.
fn pick(weights: &[f64], random: f64) -> u64 {
    let sum = weights.last().copied().unwrap_or(0.0);
    weights.partition_point(|it| *it < random * sum).min(weights.len() - 1) as u64
}

/// Requests and parts have different hashes here, so that one set holds both.
fn key(suspect: Suspect) -> u64 {
    suspect.hash
}
