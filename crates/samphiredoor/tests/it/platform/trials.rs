//! Trials of quarantined content whose callers or jobs leave before the attempt has shown anything.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use samphiredoor_standin::{
    fleet::HOST,
    platform_target::{PlatformTarget, TargetFault},
};
use serde_json::json;

use super::env::{BINARY, Platform, metric, metrics_address};
use crate::env::wait_until;

const EVENTS: u64 = 20;
const PAUSE: Duration = Duration::from_millis(50);
const TARGETS: usize = 12;
/// Body of the request, and part of prompts, that crash targets.
const CRASHING: &str = "c0";
/// Time between requests, so that the crashes count as separate.
const RESEND_INTERVAL: Duration = Duration::from_millis(300);
/// Time in which the first output of a run reaches its gateway.
const OUTPUT_WITHIN: Duration = Duration::from_millis(200);
/// Most times that a request is sent again until it is served.
const MAX_RESENDS: u32 = 60;

/// Gateways of a fleet in which most are no coordinators.
const SEVERAL_GATEWAYS: usize = 7;
/// Time after which all gateways have to know what is quarantined.
const KNOWN_WITHIN: Duration = Duration::from_secs(4);
/// Time for which coordinators get no processor time: longer than a gateway waits for their answers, and too short for them to
/// count as gone.
const SLOW_FOR: Duration = Duration::from_millis(600);

/// Time in which a target sends no output.
const NO_OUTPUT_MS: u64 = 60_000;
/// Time from when a caller has left until the target crashes under the request.
const CRASHES_AFTER: Duration = Duration::from_millis(300);
/// Time in which trials are counted, and how many are due in it: after one and three seconds.
const TRIALS_FOR: Duration = Duration::from_millis(10_500);
const TRIALS_MEANWHILE: usize = 2;

/// Gateways, of which the first has metrics, and targets.
struct Fleet {
    platform: Platform,
    gateways: usize,
    targets: Vec<PlatformTarget>,
    metrics: SocketAddr,
    sent: usize,
}

impl Fleet {
    fn start() -> Fleet {
        Fleet::with_gateways(2)
    }

    fn with_gateways(gateways: usize) -> Fleet {
        let mut platform = Platform::new(BINARY);
        let targets: Vec<PlatformTarget> = (0..TARGETS)
            .map(|it| PlatformTarget::start(&format!("t-{it}"), EVENTS, PAUSE).expect("a target"))
            .collect();
        targets.iter().for_each(|it| platform.register(it, "ready"));
        let metrics = metrics_address();
        platform.more_settings = format!("metrics.address = \"{metrics}\"");
        platform.start_gateway();
        platform.more_settings = String::new();
        (1..gateways).for_each(|_| _ = platform.start_gateway());
        let fleet = Fleet { platform, gateways, targets, metrics, sent: 0 };
        (0..gateways).for_each(|it| fleet.wait_for_peers(it));
        fleet
    }

    /// Waits until a gateway has heard of all others.
    fn wait_for_peers(&self, by: usize) {
        for of in (0..self.gateways).filter(|it| *it != by) {
            self.platform.wait_logged(by, &format!("peers: peer is live peer=gateway-{of} "));
        }
    }

    /// Sets what becomes of requests with the body and of those with the part.
    fn set_fault(&self, fault: TargetFault) {
        for target in &self.targets {
            target.fail_always(CRASHING, fault);
            target.fail_part(CRASHING, fault);
        }
    }

    /// Sends requests that crash targets until their content is quarantined at both gateways, and lets them crash no more.
    fn quarantine(&mut self, body: Option<&str>) {
        self.set_fault(TargetFault::Crashes);
        let is_known = |it: &Fleet| {
            (0..it.gateways).all(|at| it.platform.times_logged(at, "crashes: quarantined") > 0)
        };
        while !is_known(self) {
            assert!(self.targets.iter().any(|it| !it.has_crashed()), "all targets have crashed");
            self.send(body);
            thread::sleep(RESEND_INTERVAL);
        }
        self.set_fault(TargetFault::None);
        self.withdraw_crashed();
    }

    fn withdraw_crashed(&self) {
        for crashed in self.targets.iter().filter(|it| it.has_crashed()) {
            self.platform.store.remove("servers", &crashed.name);
        }
    }

    /// Sends this body, or another one each time whose prompt has the part; returns the status of the answer.
    fn send(&mut self, body: Option<&str>) -> u16 {
        self.sent += 1;
        let own = format!("own-{}", self.sent);
        let prompt = prompt(&own);
        let part = [("x-prompt-prefix", &*prompt)];
        let headers = if body.is_some() { &[] } else { &part[..] };
        self.platform.send_with(0, "/stream/check", &own, headers, body.unwrap_or(&own)).status
    }

    /// Sends the request that was quarantined until it runs as a trial, with output; returns its connection.
    fn begin_trial(&mut self) -> TcpStream {
        for _ in 0..MAX_RESENDS {
            let caller = self.send_unread();
            thread::sleep(RESEND_INTERVAL);
            if self.running().is_some() {
                thread::sleep(OUTPUT_WITHIN);
                return caller;
            }
        }
        panic!("no trial runs");
    }

    /// Sends a request as [`Fleet::send`] does until it is served.
    fn wait_served(&mut self, body: Option<&str>) {
        for _ in 0..MAX_RESENDS {
            if self.send(body) == 200 {
                return;
            }
            thread::sleep(RESEND_INTERVAL);
        }
        panic!("not served");
    }

    fn send_unread(&mut self) -> TcpStream {
        self.send_unread_to(0)
    }

    fn send_unread_to(&mut self, gateway: usize) -> TcpStream {
        self.sent += 1;
        let mut caller = TcpStream::connect(self.platform.callers(gateway)).expect("a connection");
        let length = CRASHING.len();
        write!(
            caller,
            "POST /stream/check HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: id-{}\r\n\
             Content-Length: {length}\r\n\r\n{CRASHING}",
            self.sent
        )
        .expect("it is sent");
        caller
    }

    /// Gateways that have counted the crashes, and all others.
    fn coordinators_and_others(&self) -> (Vec<usize>, Vec<usize>) {
        let has_told =
            |it: &usize| self.platform.times_logged(*it, "crashes: all gateways are told") > 0;
        (0..self.gateways).partition(has_told)
    }

    /// Number of targets that have crashed.
    fn crashed(&self) -> usize {
        self.targets.iter().filter(|it| it.has_crashed()).count()
    }

    /// The target that runs something.
    fn running(&self) -> Option<&PlatformTarget> {
        self.targets.iter().find(|it| it.running() > 0)
    }

    /// The target that holds the request without having crashed under it.
    fn holder(&self) -> Option<&PlatformTarget> {
        self.targets.iter().find(|it| !it.has_crashed() && it.runs_of(CRASHING) > 0)
    }

    /// Number of trials of which the first gateway has noted this.
    fn trials(&self, reason: &str) -> u64 {
        metric(self.metrics, &format!("trials_total{{reason=\"{reason}\"}}")).unwrap_or(0)
    }
}

// Guards against content that is quarantined, and is sent to as many targets again once all gateways have been killed.
#[test]
fn a_quarantine_outlasts_a_kill_of_all_gateways() {
    let mut fleet = Fleet::with_gateways(3);
    fleet.quarantine(Some(CRASHING));
    thread::sleep(KNOWN_WITHIN);
    (0..fleet.gateways).for_each(|it| fleet.platform.gateway(it).kill());
    (0..fleet.gateways).for_each(|it| fleet.platform.restart_gateway(it));
    (0..fleet.gateways).for_each(|it| fleet.platform.wait_ready(it));
    thread::sleep(KNOWN_WITHIN);
    fleet.set_fault(TargetFault::Crashes);
    let crashed = fleet.crashed();
    let until = Instant::now() + TRIALS_FOR;
    while Instant::now() < until {
        fleet.send(Some(CRASHING));
        thread::sleep(RESEND_INTERVAL);
    }
    assert_eq!(fleet.crashed(), crashed, "crashes after the kill");
    fleet.set_fault(TargetFault::None);
    fleet.wait_served(Some(CRASHING));
}

/// Prompt with the part that crashes targets, between parts of its own.
fn prompt(own: &str) -> String {
    format!("a-{own}:100,{CRASHING}:100,z-{own}:100")
}

// Guards against a trial that is spent although its caller has left before its end.
#[test]
fn a_trial_whose_caller_leaves_is_given_back() {
    let mut fleet = Fleet::start();
    fleet.quarantine(Some(CRASHING));
    let caller = fleet.begin_trial();
    drop(caller);
    wait_until("the trial is given back", || fleet.trials("returned") == 1);
    fleet.wait_served(Some(CRASHING));
}

// Guards against trials that are spent by what is left before its first output, as items are that online requests preempt.
#[test]
fn a_trial_that_is_left_before_its_first_output_is_given_back() {
    let mut fleet = Fleet::start();
    fleet.quarantine(Some(CRASHING));
    fleet.set_fault(TargetFault::Pauses { after: None, ms: NO_OUTPUT_MS });
    for _ in 0..MAX_RESENDS {
        let caller = fleet.send_unread();
        thread::sleep(RESEND_INTERVAL);
        drop(caller);
        if fleet.holder().is_some() {
            break;
        }
    }
    wait_until("the trial is given back", || fleet.trials("returned") == 1);
    assert_eq!(fleet.trials("counted"), 0);
    fleet.set_fault(TargetFault::None);
    fleet.wait_served(Some(CRASHING));
}

// Guards against a trial that is spent although the task of its item was dropped before its end.
#[test]
fn a_trial_whose_job_is_cancelled_is_given_back() {
    let mut fleet = Fleet::start();
    fleet.quarantine(None);
    let item = json!({
        "id": "item-1", "path": "/batch/item", "body": STANDARD.encode("item-1"), "tokenCount": 10,
        "headers": { "X-Model": "m", "X-Prompt-Prefix": prompt("item") },
    });
    let body = json!({ "items": [item] }).to_string();
    assert_eq!(fleet.platform.send(0, "/batch/submit", "job-1", &body).status, 202);
    wait_until("the trial runs", || fleet.running().is_some());
    thread::sleep(OUTPUT_WITHIN);
    wait_until("it is cancelled", || fleet.platform.cancel(0, "job-1").status == 200);
    wait_until("the trial is given back", || fleet.trials("returned") == 1);
    fleet.wait_served(None);
}

// Guards against trials that cost nothing as each caller leaves when the request crashes its target.
#[test]
fn a_trial_whose_target_crashes_as_its_caller_leaves_counts() {
    let mut fleet = Fleet::start();
    fleet.quarantine(Some(CRASHING));
    let caller = fleet.begin_trial();
    // The gateway sees both at once.
    fleet.platform.signal(0, "STOP");
    drop(caller);
    fleet.running().expect("a target runs the trial").crash();
    fleet.platform.signal(0, "CONT");
    wait_until("the trial counts", || fleet.trials("counted") == 1);
    assert_eq!(fleet.trials("returned"), 0);
}

// Guards against a trial by each gateway at once, when the coordinators are too slow to say which of them may send it.
#[test]
fn trials_stay_one_at_a_time_while_their_coordinators_are_slow() {
    let mut fleet = Fleet::with_gateways(SEVERAL_GATEWAYS);
    fleet.quarantine(Some(CRASHING));
    thread::sleep(KNOWN_WITHIN);
    fleet.set_fault(TargetFault::Crashes);
    let crashed = fleet.crashed();
    let (coordinators, others) = fleet.coordinators_and_others();
    coordinators.iter().for_each(|it| fleet.platform.signal(*it, "STOP"));
    let callers: Vec<TcpStream> = others.iter().map(|it| fleet.send_unread_to(*it)).collect();
    thread::sleep(SLOW_FOR);
    coordinators.iter().for_each(|it| fleet.platform.signal(*it, "CONT"));
    thread::sleep(SLOW_FOR);
    drop(callers);
    let trials = fleet.crashed() - crashed;
    assert!(trials <= 1, "{trials} trials at once");
    fleet.set_fault(TargetFault::None);
    fleet.withdraw_crashed();
    fleet.wait_served(Some(CRASHING));
}

// Guards against trials that cost nothing as their callers leave before their targets have begun to answer, and then crash.
#[test]
fn trials_that_crash_their_targets_after_their_callers_have_left_stay_within_the_bound() {
    let mut fleet = Fleet::start();
    fleet.quarantine(Some(CRASHING));
    let quarantined_at = Instant::now();
    fleet.set_fault(TargetFault::Pauses { after: None, ms: NO_OUTPUT_MS });
    let mut trials = 0;
    while quarantined_at.elapsed() < TRIALS_FOR {
        let caller = fleet.send_unread();
        thread::sleep(RESEND_INTERVAL);
        let holder = fleet.holder();
        drop(caller);
        if let Some(holder) = holder {
            thread::sleep(CRASHES_AFTER);
            holder.crash();
            trials += 1;
            fleet.withdraw_crashed();
        }
    }
    assert!(trials <= TRIALS_MEANWHILE, "{trials} trials");
}
