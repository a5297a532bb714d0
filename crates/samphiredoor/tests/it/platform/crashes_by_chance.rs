//! Bursts of crashes under sound work, and whether it is served soon after; and bounds on crashes by work that does crash
//! targets, trials included.

use std::{
    collections::BTreeSet,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use samphiredoor_standin::platform_target::{PlatformTarget, TargetFault};
use serde_json::{Value, json};

use super::env::{BINARY, Platform};
use crate::env::wait_until;

/// Events of an answer, and the pause after each: no answer is complete before the last pulse.
const EVENTS: u64 = 40;
const PAUSE: Duration = Duration::from_millis(50);
/// First part of all prompts.
const FIRST: &str = "a0";
/// Part that sound requests and items share.
const SHARED: &str = "b0";
/// Part that crashes targets.
const CRASHING: &str = "c0";
const GATEWAYS: usize = 2;
const TARGETS: usize = 12;
/// Time from one pulse of crashes to the next one.
const PULSE_INTERVAL: Duration = Duration::from_millis(400);
/// Targets that crash in a pulse, and the time from one of these crashes to the next one.
const CRASHES_IN_PULSE: usize = 4;
const WITHIN_PULSE: Duration = Duration::from_millis(40);
/// Time after which a target that has crashed starts again under a new name.
const DOWN_TIME: Duration = Duration::from_millis(100);
/// Ages of runs at which their targets crash by chance.
const AGES_MS: [u64; 6] = [300, 550, 800, 400, 650, 300];
/// Time after the last crash within which all items have results.
const ITEMS_WITHIN: Duration = Duration::from_secs(10);
/// The same for online requests.
const SERVED_WITHIN: Duration = Duration::from_secs(5);
/// Time within which what was held is served once it no longer crashes targets.
const RELEASED_WITHIN: Duration = Duration::from_secs(15);
const RESEND_INTERVAL: Duration = Duration::from_millis(250);
/// Crashes after which all gateways in touch have to know content, and a part; time within which they do, and how many more
/// crashes are allowed.
const CRASHES_KNOWN: usize = 3;
const PART_CRASHES_KNOWN: usize = 5;
const TOLD_WITHIN: Duration = Duration::from_secs(4);
const MOST_LATER_CRASHES: usize = 3;

/// Which targets crash in a pulse.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Hit {
    /// Those whose runs have been lost most often.
    SameRuns,
    /// Those that run for longest: each pulse hits other ones.
    OtherTargets,
}

/// Targets that run, and those that have crashed.
#[derive(Default)]
struct Targets {
    running: Vec<PlatformTarget>,
    crashed: Vec<PlatformTarget>,
    /// Events of an answer.
    events: u64,
    /// Faults by parts and by bodies.
    part_fault: TargetFault,
    body_fault: TargetFault,
}

impl Targets {
    fn start(platform: &Platform, count: usize, events: u64) -> Targets {
        let mut targets = Targets { events, ..Targets::default() };
        (0..count).for_each(|_| targets.start_one(platform));
        targets
    }

    fn start_one(&mut self, platform: &Platform) {
        let name = format!("t-{}", self.running.len() + self.crashed.len());
        let target = PlatformTarget::start(&name, self.events, PAUSE).expect("a target starts");
        target.fail_part(CRASHING, self.part_fault);
        target.fail_always(CRASHING, self.body_fault);
        platform.register(&target, "ready");
        self.running.push(target);
    }

    /// Sets the fault of requests with the part that crashes targets, also at targets that start later.
    fn fail_part(&mut self, fault: TargetFault) {
        self.part_fault = fault;
        self.running.iter().for_each(|it| it.fail_part(CRASHING, fault));
    }

    /// Sets the fault of requests with the content that crashes targets, also at targets that start later.
    fn fail_body(&mut self, fault: TargetFault) {
        self.body_fault = fault;
        self.running.iter().for_each(|it| it.fail_always(CRASHING, fault));
    }

    fn crash(&mut self, index: usize) {
        let target = self.running.remove(index);
        target.crash();
        self.crashed.push(target);
    }

    /// Starts a target anew for each one that has crashed by itself; returns the number of all that have crashed.
    fn restart_crashed(&mut self, platform: &Platform) -> usize {
        while let Some(index) = self.running.iter().position(PlatformTarget::has_crashed) {
            let target = self.running.remove(index);
            platform.store.remove("servers", &target.name);
            self.crashed.push(target);
            self.start_one(platform);
        }
        self.crashed.len()
    }

    /// Bodies whose runs were lost with a target, each as often as it was.
    fn lost(&self) -> Vec<Vec<u8>> {
        self.crashed.iter().flat_map(PlatformTarget::runs).map(|it| it.body).collect()
    }

    /// Index of the target that crashes next.
    fn next_hit(&self, hit: Hit, lost: &[Vec<u8>]) -> usize {
        if hit == Hit::OtherTargets {
            return 0;
        }
        let losses = |index: &usize| {
            let runs = self.running[*index].runs();
            let of = |body: &[u8]| lost.iter().filter(|it| *it == body).count();
            (runs.iter().map(|it| of(&it.body)).max(), runs.len())
        };
        (0..self.running.len()).max_by_key(losses).expect("a target runs")
    }

    /// Index of the target whose last run began last.
    fn with_youngest_run(&self) -> usize {
        let began_at = |index: &usize| self.running[*index].runs().last().map(|it| it.at);
        (0..self.running.len()).max_by_key(began_at).expect("a target runs")
    }

    /// Crashes targets shortly one after the other, and starts others in their place.
    fn pulse(&mut self, platform: &Platform, hit: Hit) {
        let (lost, before) = (self.lost(), self.crashed.len());
        for _ in 0..CRASHES_IN_PULSE {
            self.crash(self.next_hit(hit, &lost));
            thread::sleep(WITHIN_PULSE);
        }
        thread::sleep(DOWN_TIME);
        for index in before..self.crashed.len() {
            platform.store.remove("servers", &self.crashed[index].name);
            self.start_one(platform);
        }
    }

    /// Crashes targets in this many pulses; the last one is over when it returns.
    fn burst(&mut self, platform: &Platform, pulses: u32, hit: Hit) {
        let started_at = Instant::now();
        for number in 1..=pulses {
            let next = started_at + PULSE_INTERVAL * number;
            thread::sleep(next.saturating_duration_since(Instant::now()));
            self.pulse(platform, hit);
        }
    }

    /// Number of targets that have run something.
    fn used(&self) -> usize {
        self.running.iter().filter(|it| !it.runs().is_empty()).count()
    }

    /// Number of runs so far.
    fn runs(&self) -> usize {
        self.running.iter().chain(&self.crashed).map(|it| it.runs().len()).sum()
    }

    fn runs_of(&self, body: &str) -> usize {
        self.running.iter().chain(&self.crashed).map(|it| it.runs_of(body)).sum()
    }

    /// Starts of the runs with the part that crashes targets, in order.
    fn crashes_by_part(&self) -> Vec<Instant> {
        let runs = self.running.iter().chain(&self.crashed).flat_map(PlatformTarget::runs);
        let is_crashing = |prompt: &&str| prompt.contains(CRASHING);
        let crashing =
            runs.filter(|it| it.header_values("x-prompt-prefix").iter().any(is_crashing));
        let mut starts: Vec<Instant> = crashing.map(|it| it.at).collect();
        starts.sort_unstable();
        starts
    }
}

/// Gateways that know each other, and targets.
fn fleet() -> (Platform, Targets) {
    fleet_with_answers_of(EVENTS)
}

fn fleet_with_answers_of(events: u64) -> (Platform, Targets) {
    let mut platform = Platform::new(BINARY);
    let targets = Targets::start(&platform, TARGETS, events);
    (0..GATEWAYS).for_each(|_| _ = platform.start_gateway());
    (0..GATEWAYS).for_each(|it| wait_live(&platform, it, GATEWAYS));
    (platform, targets)
}

fn wait_live(platform: &Platform, gateway: usize, gateways: usize) {
    wait_until("all gateways know each other", || {
        platform.times_logged(gateway, "peers: peer is live") >= gateways - 1
    });
}

/// Prompt with this part after the first one, and with a last part of its own.
fn prompt(part: &str, own: &str) -> String {
    format!("{FIRST}:100,{part}:100,{own}:100")
}

/// Submits a job of items that each have one of these parts in their prompts; the body of each is its id.
fn submit(platform: &Platform, job: &str, parts: &[&str]) {
    let item = |(number, part): (usize, &&str)| {
        let id = format!("{job}-{number}");
        json!({
            "id": id, "path": "/batch/item", "body": STANDARD.encode(&id), "tokenCount": 10,
            "headers": { "X-Model": "m", "X-Prompt-Prefix": prompt(part, &format!("e{number}")) },
        })
    };
    let items: Vec<Value> = parts.iter().enumerate().map(item).collect();
    let body = json!({ "items": items }).to_string();
    assert_eq!(platform.send(0, "/batch/submit", job, &body).status, 202);
}

/// Waits until a job has `count` results, for at most this time; returns the ids of its items that have one.
fn results_within(
    platform: &Platform,
    job: &str,
    count: usize,
    time: Duration,
) -> BTreeSet<String> {
    let until = Instant::now() + time;
    loop {
        let results = platform.available_results(0, job);
        if results.len() >= count || Instant::now() > until {
            let completed = results.iter().filter(|it| it["state"] == "completed");
            return completed.filter_map(|it| Some(it["id"].as_str()?.to_owned())).collect();
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// Crashes each target that runs a sound item, at these ages of its runs, and checks that the item has a result soon.
fn an_item_has_its_result_after_crashes(ages_ms: &[u64]) {
    // Longer than all its runs until the last crash, as an item goes on with its text.
    let (platform, mut targets) = fleet_with_answers_of(3 * EVENTS);
    assert_eq!(platform.submit(0, "job-1", &["item-1"]).status, 202);
    for (number, age_ms) in ages_ms.iter().enumerate() {
        let until = Instant::now() + ITEMS_WITHIN;
        while targets.runs_of("item-1") <= number {
            assert!(Instant::now() < until, "not run again after crash {number}");
            thread::sleep(Duration::from_millis(5));
        }
        thread::sleep(Duration::from_millis(*age_ms));
        let runs_it = |it: &PlatformTarget| it.runs_of("item-1") > 0;
        let index = targets.running.iter().position(runs_it).expect("a target runs it");
        targets.crash(index);
    }
    let results = results_within(&platform, "job-1", 1, ITEMS_WITHIN);
    assert_eq!(results.len(), 1, "no result, runs: {}", targets.runs_of("item-1"));
}

// Guards against a sound item that is held because three targets crashed by chance while they ran it.
#[test]
fn an_item_under_which_three_targets_crashed_by_chance_has_its_result_soon() {
    an_item_has_its_result_after_crashes(&AGES_MS[..3]);
}

// Guards against a bound on the crashes under one item that sound items can reach in a burst.
#[test]
fn an_item_under_which_six_targets_crashed_by_chance_has_its_result_soon() {
    an_item_has_its_result_after_crashes(&AGES_MS);
}

/// Runs items that share a part at most targets, crashes targets in pulses, and checks that all items have results soon.
fn items_with_a_part_have_results_after_pulses(pulses: u32, hit: Hit) {
    const ITEMS: usize = 40;
    let (platform, mut targets) = fleet();
    submit(&platform, "job-1", &[SHARED; ITEMS]);
    wait_until("most targets run items", || targets.used() > TARGETS * 2 / 3);
    targets.burst(&platform, pulses, hit);
    let results = results_within(&platform, "job-1", ITEMS, ITEMS_WITHIN);
    assert_eq!(results.len(), ITEMS, "results");
}

// Guards against a part of the prompts of a whole job that is blamed for two pulses of crashes.
#[test]
fn items_that_share_a_part_have_their_results_soon_after_two_pulses_of_crashes() {
    items_with_a_part_have_results_after_pulses(2, Hit::OtherTargets);
}

// Guards against a part of the prompts of a whole job that is blamed for three pulses of crashes.
#[test]
fn items_that_share_a_part_have_their_results_soon_after_three_pulses_of_crashes() {
    items_with_a_part_have_results_after_pulses(3, Hit::OtherTargets);
}

// Guards against the same for three pulses, in which single items are also lost three times.
#[test]
fn items_that_share_a_part_and_are_lost_thrice_have_their_results_soon() {
    items_with_a_part_have_results_after_pulses(3, Hit::SameRuns);
}

// Guards against a part of the prompts of a whole job that is blamed for crashes in a row, as only the time of its lost runs
// counts and not that of its runs at all other targets.
#[test]
fn items_that_share_a_part_are_not_held_during_crashes_in_a_row() {
    const ITEMS: usize = 24;
    const CRASHES: usize = 12;
    // Longer than all crashes, so that no whole answer clears the part.
    let (platform, mut targets) = fleet_with_answers_of(10 * EVENTS);
    submit(&platform, "job-1", &[SHARED; ITEMS]);
    wait_until("all items run", || targets.runs() >= ITEMS);
    for _ in 0..CRASHES {
        thread::sleep(PULSE_INTERVAL);
        targets.crash(targets.with_youngest_run());
        thread::sleep(DOWN_TIME);
        let crashed = targets.crashed.last().expect("a target has crashed");
        platform.store.remove("servers", &crashed.name);
        targets.start_one(&platform);
    }
    let held: usize = (0..GATEWAYS).map(|it| platform.times_logged(it, "item: held")).sum();
    assert_eq!(held, 0, "items held");
}

/// Sends a resumable stream.
///
/// # Errors
///
/// It was not answered in full; returns the answer.
fn send_stream(
    platform: &Platform,
    gateway: usize,
    id: &str,
    part: Option<&str>,
    body: &str,
) -> Result<(), String> {
    let prompt = part.map(|it| prompt(it, &format!("e{body}")));
    let headers: Vec<(&str, &str)> =
        prompt.iter().map(|it| ("x-prompt-prefix", it.as_str())).collect();
    let answer = platform.send_with(gateway, "/stream-resumable/check", id, &headers, body);
    let is_whole = answer.status == 200 && answer.text.contains(&format!("id: {EVENTS}\n"));
    if is_whole { Ok(()) } else { Err(format!("{id}: {} {}", answer.status, answer.text)) }
}

/// Sends the stream of a caller, at one gateway after the other, until it is served or the time is over.
fn send_until_served(
    platform: &Platform,
    caller: usize,
    part: Option<&str>,
    is_over: &AtomicBool,
) -> Result<Instant, String> {
    let mut number = 0;
    loop {
        let (gateway, id) = ((caller + number) % GATEWAYS, format!("c{caller}-{number}"));
        match send_stream(platform, gateway, &id, part, &format!("body-{caller}")) {
            Ok(()) => return Ok(Instant::now()),
            Err(answer) if is_over.load(Ordering::SeqCst) => return Err(answer),
            Err(_) => thread::sleep(RESEND_INTERVAL),
        }
        number += 1;
    }
}

/// Lets callers send streams, each with content of its own, until each is served; crashes targets in pulses meanwhile.
/// Checks that all are served soon after, and new ones with the same content or part, too.
fn streams_are_served_after_pulses(part: Option<&str>, hit: Hit) {
    const CALLERS: usize = 36;
    let (platform, mut targets) = fleet();
    let is_over = AtomicBool::new(false);
    let (platform, is_over) = (&platform, &is_over);
    let (ends, calm_until) = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|it| scope.spawn(move || send_until_served(platform, it, part, is_over)))
            .collect();
        wait_until("all requests run", || targets.runs() == CALLERS);
        targets.burst(platform, 3, hit);
        let calm_until = Instant::now() + SERVED_WITHIN;
        thread::sleep(SERVED_WITHIN);
        is_over.store(true, Ordering::SeqCst);
        let ends = callers.into_iter().map(|it| it.join().expect("the caller ends"));
        (ends.collect::<Vec<Result<Instant, String>>>(), calm_until)
    });
    let new = (0..4 * GATEWAYS).map(|it| {
        let body = if it % 2 == 0 { format!("body-{it}") } else { format!("new-{it}") };
        send_stream(platform, it % GATEWAYS, &format!("new-{it}"), part, &body)
    });
    let new: Vec<String> = new.filter_map(Result::err).collect();
    let late = |end: Result<Instant, String>| match end {
        Ok(at) => (at > calm_until).then(|| "served late".to_owned()),
        Err(answer) => Some(answer),
    };
    let not_served: Vec<String> = ends.into_iter().filter_map(late).chain(new).collect();
    assert!(not_served.is_empty(), "{} not served: {not_served:?}", not_served.len());
}

// Guards against sound content that stays quarantined after a burst of crashes.
#[test]
fn streams_are_served_again_soon_after_pulses_of_crashes() {
    streams_are_served_after_pulses(None, Hit::SameRuns);
}

// Guards against a part of sound prompts that stays quarantined after a burst of crashes.
#[test]
fn streams_that_share_a_part_are_served_again_soon_after_pulses_of_crashes() {
    streams_are_served_after_pulses(Some(SHARED), Hit::OtherTargets);
}

// Guards against trials of a held item that crash ever more targets, and against an item that is never tried again.
#[test]
fn a_held_item_crashes_few_targets_and_is_run_once_it_no_longer_does() {
    const HELD_FOR: Duration = Duration::from_secs(30);
    let (platform, mut targets) = fleet();
    targets.fail_part(TargetFault::Crashes);
    submit(&platform, "job-1", &[CRASHING, SHARED, CRASHING]);
    let until = Instant::now() + HELD_FOR;
    let mut crashed = 0;
    while Instant::now() < until {
        crashed = targets.restart_crashed(&platform);
        thread::sleep(DOWN_TIME);
    }
    let crashes = targets.crashes_by_part();
    let known_at = crashes[PART_CRASHES_KNOWN - 1] + TOLD_WITHIN;
    let later = crashes.iter().filter(|it| **it > known_at).count();
    assert!(later <= MOST_LATER_CRASHES, "{later} of {crashed} crashes came later");
    let sound = results_within(&platform, "job-1", 1, Duration::ZERO);
    assert!(sound.contains("job-1-1"), "the sound item has no result");
    targets.fail_part(TargetFault::None);
    let results = results_within(&platform, "job-1", 3, RELEASED_WITHIN);
    assert_eq!(results.len(), 3, "results, {crashed} targets had crashed");
}

// Guards against trials of a quarantined request that crash ever more targets, and against one that is never served again.
#[test]
fn a_quarantined_request_crashes_few_targets_and_is_served_once_it_no_longer_does() {
    const SENT_FOR: Duration = Duration::from_secs(29);
    let (platform, mut targets) = fleet();
    targets.fail_body(TargetFault::Crashes);
    let mut sent = 0;
    let mut send = |platform: &Platform| {
        let both = [0, 1].map(|gateway| {
            sent += 1;
            platform.send(gateway, "/stream/check", &format!("id-{sent}"), CRASHING).status
        });
        thread::sleep(RESEND_INTERVAL * 2);
        both.contains(&200)
    };
    let until = Instant::now() + SENT_FOR;
    while Instant::now() < until {
        send(&platform);
        targets.restart_crashed(&platform);
    }
    let runs = targets.running.iter().chain(&targets.crashed).flat_map(PlatformTarget::runs);
    let mut crashes: Vec<Instant> = runs.map(|it| it.at).collect();
    crashes.sort_unstable();
    let known_at = crashes[CRASHES_KNOWN - 1] + TOLD_WITHIN;
    let later = crashes.iter().filter(|it| **it > known_at).count();
    assert!(later <= MOST_LATER_CRASHES, "{later} of {} crashes came later", crashes.len());
    targets.fail_body(TargetFault::None);
    let until = Instant::now() + RELEASED_WITHIN;
    while !send(&platform) {
        assert!(Instant::now() < until, "not served, {} targets had crashed", crashes.len());
    }
}

// Guards against crashes that gateways which have just started count apart, and that none of them adds up.
#[test]
fn crashes_in_the_first_second_of_gateways_are_counted_together() {
    const NEW_GATEWAYS: usize = 5;
    let mut platform = Platform::new(BINARY);
    let mut targets = Targets::start(&platform, 4 * NEW_GATEWAYS, EVENTS);
    targets.fail_part(TargetFault::Crashes);
    let send = |platform: &Platform, gateway: usize, own: &str| {
        let headers = [("x-prompt-prefix", &*prompt(CRASHING, own))];
        platform.send_with(gateway, "/stream/check", own, &headers, own).status
    };
    (0..NEW_GATEWAYS).for_each(|_| _ = platform.spawn_gateway());
    thread::scope(|scope| {
        let platform = &platform;
        for gateway in 0..NEW_GATEWAYS {
            scope.spawn(move || {
                platform.wait_ready(gateway);
                (0..2).for_each(|it| _ = send(platform, gateway, &format!("first-{gateway}-{it}")));
            });
        }
    });
    let first = targets.crashes_by_part().len();
    (0..NEW_GATEWAYS).for_each(|it| wait_live(&platform, it, NEW_GATEWAYS));
    thread::sleep(TOLD_WITHIN);
    for number in 0..4 * NEW_GATEWAYS {
        targets.restart_crashed(&platform);
        send(&platform, number % NEW_GATEWAYS, &format!("later-{number}"));
    }
    let later = targets.crashes_by_part().len() - first;
    assert!(first >= PART_CRASHES_KNOWN, "{first} targets crashed at first");
    assert!(later <= MOST_LATER_CRASHES, "{later} targets crashed after {first}");
}
