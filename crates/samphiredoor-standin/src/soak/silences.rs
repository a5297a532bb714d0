//! Targets that fall silent and go on, beside changes of the configuration, kills of gateways and bursts of crashes.
//!
//! A sound target may send nothing for a second or so. No answer may end by that, so an answer that is neither whole nor a
//! refusal needs another reason: its target crashed, its gateway was killed, its time was up, or its caller sent it on a
//! connection that was just being closed.

use std::{
    collections::HashMap,
    mem,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use serde_json::{Value, json};

use super::{
    connection::Reply,
    plan::{Fault, Plan, Sizes, Step},
};
use crate::{
    fleet::{EVENTS, Platform, route},
    platform_target::{DEFAULT_SERVICE, Run, TargetFault},
};

/// Path of the route that is moved to [`OTHER_SERVICE`] and back.
pub const MOVED_PATH: &str = "/moved/check";
/// Path of the route that is removed and put again.
pub const REMOVED_PATH: &str = "/removed/check";
/// Service that only the moved route uses.
pub const OTHER_SERVICE: &str = "editor";
/// One in so many targets serves it.
pub const OTHER_SERVICE_EVERY: usize = 4;

/// Time before the first fault.
const FIRST_FAULT_MS: u64 = 500;
/// Length of a silence: what callers bear is longer. Half of them are longer than the time after which a target counts as
/// silent.
const SILENCE_MS: std::ops::Range<u64> = 300..1_600;
const LONG_SILENCE_MS: std::ops::Range<u64> = 1_100..1_600;
const LONG_SILENCE_PROBABILITY: f64 = 0.5;
/// Time from one silence to the next, of any target.
const SILENCE_INTERVAL_MS: std::ops::Range<u64> = 50..400;
/// Probability that all work of a target falls silent, and not just its next answers.
const WHOLE_TARGET_PROBABILITY: f64 = 0.3;
/// Time from one change of the configuration to the next, and how long a route is moved or removed.
const CHANGE_INTERVAL_MS: std::ops::Range<u64> = 100..1_000;
const CHANGE_MS: std::ops::Range<u64> = 200..3_000;
/// Idle limits of connections, and timeouts of routes. The least timeout is that of callers: with a shorter one, an answer that
/// ended by a silence could not be told from one whose time was up.
const IDLE_LIMITS_MS: [u64; 4] = [1_500, 3_000, 8_000, 20_000];
const TIMEOUTS_MS: [u64; 3] = [3_000, 5_000, 20_000];
/// Time from one kill of a gateway to the next, and the time until it starts again.
const KILL_INTERVAL_MS: std::ops::Range<u64> = 2_000..6_000;
const DOWN_MS: std::ops::Range<u64> = 200..1_000;
/// Time from one burst of crashes to the next, and the number of pulses in one.
const BURST_INTERVAL_MS: std::ops::Range<u64> = 3_000..7_000;
const PULSES: std::ops::RangeInclusive<u64> = 1..=3;
const PULSE_INTERVAL_MS: std::ops::Range<u64> = 200..600;

/// Time within which a change of the configuration has to be active.
const ACTIVE_WITHIN: Duration = Duration::from_secs(4);
/// Part of its time after which a request may end without an answer.
const TIME_USED: f64 = 0.7;
/// Time from a crash to the end of the answers that it breaks off.
const CRASH_NOTICED_WITHIN: Duration = Duration::from_millis(300);
/// Time within which a request ends that its gateway has closed the connection of without having read it.
const CLOSED_WITHIN: Duration = Duration::from_secs(1);

impl Plan {
    /// Plan of silences beside changes of the configuration, kills of gateways and bursts of crashes, and of nothing else:
    /// each answer that is not whole can then be told from one that a silence ended.
    pub fn of_silences(seed: u64, seconds: u64, sizes: Sizes) -> Plan {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut plan, end_ms) = (Plan::default(), seconds * 1_000);
        plan.add_at_intervals(&mut rng, end_ms, SILENCE_INTERVAL_MS, |rng| {
            let is_long = rng.random_bool(LONG_SILENCE_PROBABILITY);
            let ms = rng.random_range(if is_long { LONG_SILENCE_MS } else { SILENCE_MS });
            let target = rng.random_range(0..sizes.targets);
            if rng.random_bool(WHOLE_TARGET_PROBABILITY) {
                return (Fault::SilenceTarget(target), ms);
            }
            let after = rng.random_bool(0.8).then(|| rng.random_range(0..=EVENTS));
            let fault = TargetFault::Pauses { after, ms };
            (Fault::Target(target, fault, rng.random_range(1..8)), ms)
        });
        plan.add_at_intervals(&mut rng, end_ms, CHANGE_INTERVAL_MS, |rng| {
            let idle_ms = *IDLE_LIMITS_MS.choose(rng).expect("a limit");
            let timeout_ms = *TIMEOUTS_MS.choose(rng).expect("a timeout");
            let limits = Fault::ChangeLimits(idle_ms, timeout_ms);
            let changes = [limits, limits, Fault::MoveRoute, Fault::RemoveRoute];
            (*changes.choose(rng).expect("a change"), rng.random_range(CHANGE_MS))
        });
        plan.add_at_intervals(&mut rng, end_ms, KILL_INTERVAL_MS, |rng| {
            let gateway = rng.random_range(0..sizes.gateways);
            (Fault::KillGateway(gateway), rng.random_range(DOWN_MS))
        });
        let mut at_ms = FIRST_FAULT_MS + rng.random_range(BURST_INTERVAL_MS);
        while at_ms < end_ms {
            for _ in 0..rng.random_range(PULSES) {
                plan.add_pulse(&mut rng, at_ms, sizes);
                at_ms += rng.random_range(PULSE_INTERVAL_MS);
            }
            at_ms += rng.random_range(BURST_INTERVAL_MS);
        }
        plan.0.sort_by_key(|it| it.at_ms);
        plan
    }

    fn add_at_intervals(
        &mut self,
        rng: &mut SmallRng,
        end_ms: u64,
        interval_ms: std::ops::Range<u64>,
        fault: impl Fn(&mut SmallRng) -> (Fault, u64),
    ) {
        let mut at_ms = FIRST_FAULT_MS + rng.random_range(0..interval_ms.end);
        while at_ms < end_ms {
            let (fault, for_ms) = fault(rng);
            self.0.push(Step { at_ms, for_ms: for_ms.min(end_ms - at_ms), fault });
            at_ms += rng.random_range(interval_ms.clone());
        }
    }
}

/// Limits and further routes of the newest configuration. Faults that overlap count how often a route is moved or removed.
#[derive(Debug, Default)]
pub struct Changes {
    limits_ms: Option<(u64, u64)>,
    moved: usize,
    removed: usize,
}

impl Changes {
    /// Notes the start or end of a fault; returns whether it changes the configuration.
    pub fn note(&mut self, fault: Fault, begins: bool) -> bool {
        let count = |it: usize| if begins { it + 1 } else { it - 1 };
        match fault {
            Fault::ChangeLimits(idle_ms, timeout_ms) if begins => {
                self.limits_ms = Some((idle_ms, timeout_ms));
            }
            Fault::MoveRoute => self.moved = count(self.moved),
            Fault::RemoveRoute => self.removed = count(self.removed),
            _ => return false,
        }
        true
    }

    /// Writes the configuration, and records it.
    pub fn put(&self, platform: &Platform, version: u64, attempts: u32, silences: &mut Silences) {
        let limits_ms = self.limits_ms.unwrap_or((15_000, 20_000));
        let further = |name: &str, path: &str, service: &str| {
            let mut route = route("stream", attempts, true);
            route["name"] = json!(name);
            route["pathPrefix"] = json!(path.trim_end_matches("check"));
            route["service"] = json!(service);
            route
        };
        let service = if self.moved > 0 { OTHER_SERVICE } else { DEFAULT_SERVICE };
        let mut routes: Vec<Value> = vec![further("r-moved", MOVED_PATH, service)];
        if self.removed == 0 {
            routes.push(further("r-removed", REMOVED_PATH, DEFAULT_SERVICE));
        }
        silences.record_configuration(Duration::from_millis(limits_ms.1), self.removed > 0);
        platform.put_limits_and_routes(version, attempts, limits_ms, routes);
    }
}

/// Answer that was neither whole nor a refusal.
#[derive(Debug, Clone)]
pub struct Ending {
    /// Id of the request.
    pub id: String,
    /// Gateway that was asked.
    pub gateway: usize,
    /// When its connection was opened.
    pub connected_at: Instant,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When the answer ended.
    pub ended_at: Instant,
    /// How long the caller waits.
    pub deadline: Duration,
    /// Status; 0 without an answer.
    pub status: u16,
}

/// Run of a request, and the crash of its target.
#[derive(Debug, Clone, Copy)]
pub struct RunEnd {
    /// When the request arrived at the target.
    pub at: Instant,
    /// When the target crashed.
    pub crashed_at: Option<Instant>,
}

#[derive(Debug, Clone, Copy)]
struct Configuration {
    from: Instant,
    timeout: Duration,
    is_route_removed: bool,
}

/// What the checks know of silences.
#[derive(Debug, Default)]
pub struct Silences {
    /// Path and time of each request.
    sent: HashMap<String, (&'static str, Instant)>,
    endings: Vec<Ending>,
    configurations: Vec<Configuration>,
    crashes: Vec<Instant>,
    /// Answers that ended early for a reason.
    pub excused: Excused,
}

/// Answers that ended early for a reason, by the first one that holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Excused {
    /// Their gateway was killed.
    pub killed: u64,
    /// Their time was up.
    pub late: u64,
    /// Their target crashed.
    pub crashed: u64,
    /// A target crashed that may not have read the request.
    pub beside_crash: u64,
    /// The connection was closed before the request was read.
    pub unread: u64,
}

impl Silences {
    /// Records that a request is about to be sent.
    pub fn record_request(&mut self, id: &str, path: &'static str) {
        self.sent.insert(id.to_owned(), (path, Instant::now()));
    }

    /// Records the answer to a request, to be judged once what happened meanwhile is known.
    pub fn record_ending(&mut self, reply: &Reply, ending: Ending) {
        if !reply.is_refusal() && reply.status != 404 && !(reply.status == 200 && reply.is_complete)
        {
            self.endings.push(ending);
        }
    }

    /// Answers that ended long enough ago to be judged.
    pub fn take_endings(&mut self) -> Vec<Ending> {
        let is_due = |it: &Ending| it.ended_at.elapsed() > CRASH_NOTICED_WITHIN;
        let (due, later) = mem::take(&mut self.endings).into_iter().partition(is_due);
        self.endings = later;
        due
    }

    /// Records a new configuration by the timeout of its routes.
    pub fn record_configuration(&mut self, timeout: Duration, is_route_removed: bool) {
        let from = Instant::now();
        self.configurations.push(Configuration { from, timeout, is_route_removed });
    }

    /// Sets the times at which targets crashed.
    pub fn set_crashes(&mut self, crashes: Vec<Instant>) {
        self.crashes = crashes;
    }

    /// Configurations that were in force, or may still have been, in a time.
    fn in_force(&self, from: Instant, until: Instant) -> impl Iterator<Item = &Configuration> {
        let replaced_at = self.configurations.iter().skip(1).map(|it| Some(it.from));
        let spans = self.configurations.iter().zip(replaced_at.chain([None]));
        spans
            .filter(move |(it, replaced_at)| {
                it.from < until && replaced_at.is_none_or(|at| at + ACTIVE_WITHIN > from)
            })
            .map(|(it, _)| it)
    }

    /// Whether the route of a request may be unknown to a gateway.
    pub fn may_be_unknown(&self, id: &str) -> bool {
        let sent = self.sent.get(id).filter(|(path, _)| *path == REMOVED_PATH);
        sent.is_some_and(|(_, at)| self.in_force(*at, Instant::now()).any(|it| it.is_route_removed))
    }

    /// What is wrong with an answer that ended early; `was_disturbed` tells whether its gateway was.
    pub fn problem(
        &mut self,
        ending: &Ending,
        runs: &[RunEnd],
        was_disturbed: bool,
    ) -> Option<String> {
        let Ending { sent_at, ended_at, status, .. } = *ending;
        let took = ended_at - sent_at;
        let timeouts = self.in_force(sent_at, ended_at).map(|it| it.timeout);
        let time = timeouts.fold(ending.deadline, Duration::min);
        let has_crashed = |it: &RunEnd| it.crashed_at.is_some_and(|at| at <= ended_at);
        // A target may crash before it has read a request that was sent to it.
        let is_beside_crash = self.crashes.iter().any(|it| {
            *it <= ended_at
                && (*it + CRASH_NOTICED_WITHIN > ended_at || runs.is_empty())
                && *it > sent_at
        });
        let was_closed_unread = status == 0 && runs.is_empty() && took < CLOSED_WITHIN;
        let reasons = [
            (was_disturbed, &mut self.excused.killed),
            (took >= time.mul_f64(TIME_USED), &mut self.excused.late),
            (runs.iter().any(has_crashed), &mut self.excused.crashed),
            (is_beside_crash, &mut self.excused.beside_crash),
            (was_closed_unread, &mut self.excused.unread),
        ];
        if let Some((_, count)) = reasons.into_iter().find(|(holds, _)| *holds) {
            *count += 1;
            return None;
        }
        Some(format!(
            "status {status} after {} of {} ms, {} runs at sound targets, gateway {}",
            took.as_millis(),
            time.as_millis(),
            runs.len(),
            ending.gateway
        ))
    }

    /// Id of a request that a target of the other service ran although its route was never moved there.
    pub fn wrong_service(&self, runs: &[Run]) -> Option<String> {
        let is_allowed = |it: &&Run| self.sent.get(&it.id).is_some_and(|it| it.0 == MOVED_PATH);
        runs.iter().find(|it| !is_allowed(it)).map(|it| it.id.clone())
    }
}
