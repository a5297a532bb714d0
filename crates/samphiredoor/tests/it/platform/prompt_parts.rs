//! Parts of prompts that crash each target that answers a request with them. No two such requests are alike, and sound ones
//! share their caller and their other parts.

use std::{thread, time::Duration};

use base64::{Engine, engine::general_purpose::STANDARD};
use samphiredoor_standin::platform_target::{PlatformTarget, TargetFault};
use serde_json::{Value, json};

use super::env::{BINARY, Platform};
use crate::env::wait_until;

const PAUSE: Duration = Duration::from_millis(2);
const GATEWAYS: usize = 2;
const TARGETS: usize = 14;
/// First part of all prompts.
const FIRST: &str = "a0";
const CRASHING: &str = "c0";
/// Crashes after which all gateways in touch have to know the part, within a time, and how many more it may cause.
const CRASHES_KNOWN: usize = 5;
const CRASHES_TOLD_WITHIN: Duration = Duration::from_secs(4);
const MOST_LATER_CRASHES: usize = 3;

struct Fleet {
    platform: Platform,
    targets: Vec<PlatformTarget>,
    sent: usize,
}

impl Fleet {
    /// Gateways that know each other, and targets that crash under a part.
    fn new() -> Fleet {
        let mut platform = Platform::new(BINARY);
        let targets: Vec<PlatformTarget> =
            (0..TARGETS).map(|it| platform.start_target(&format!("t-{it}"), PAUSE)).collect();
        targets.iter().for_each(|it| it.fail_part(CRASHING, TargetFault::Crashes));
        for _ in 0..GATEWAYS {
            platform.start_gateway();
        }
        (0..GATEWAYS).for_each(|it| platform.wait_logged(it, "peers: peer is live"));
        Fleet { platform, targets, sent: 0 }
    }

    /// Sends a request with these parts after the first, and with a part and a body of its own, to one gateway after the
    /// other. Returns the status of the answer.
    fn send(&mut self, parts: &[&str]) -> u16 {
        self.sent += 1;
        let own = format!("f{}", self.sent);
        let all = [&[FIRST], parts, &[&*own]].concat();
        let prompt: Vec<String> = all.iter().map(|it| format!("{it}:100")).collect();
        let headers = [("x-prompt-prefix", &*prompt.join(","))];
        let (gateway, id) = (self.sent % GATEWAYS, format!("id-{}", self.sent));
        self.platform.send_with(gateway, "/stream/check", &id, &headers, &own).status
    }

    /// Submits a job of items that each have one of these parts after the first, and one of their own.
    fn submit(&self, job: &str, parts: &[&str]) {
        let item = |(number, part): (usize, &&str)| {
            let id = format!("{job}-{number}");
            let prompt = format!("{FIRST}:100,{part}:100,e{number}:100");
            json!({
                "id": id, "path": "/batch/item", "body": STANDARD.encode(&id), "tokenCount": 10,
                "headers": { "X-Model": "m", "X-Prompt-Prefix": prompt },
            })
        };
        let items: Vec<Value> = parts.iter().enumerate().map(item).collect();
        let body = json!({ "items": items }).to_string();
        assert_eq!(self.platform.send(0, "/batch/submit", job, &body).status, 202);
    }

    /// Number of targets that have crashed.
    fn crashed(&self) -> usize {
        let runs = self.targets.iter().flat_map(PlatformTarget::runs);
        runs.filter(|it| it.header_values("x-prompt-prefix")[0].contains(CRASHING)).count()
    }
}

// Guards against a part whose requests, of which no two are alike, crash one target after the other.
#[test]
fn requests_with_a_part_that_crashes_targets_are_not_sent_to_ever_more_of_them() {
    let mut fleet = Fleet::new();
    assert_eq!([fleet.send(&["b1"]), fleet.send(&["b2"])], [200, 200]);
    (0..CRASHES_KNOWN).for_each(|_| _ = fleet.send(&[CRASHING]));
    assert_eq!(fleet.crashed(), CRASHES_KNOWN);
    thread::sleep(CRASHES_TOLD_WITHIN);
    (0..TARGETS - CRASHES_KNOWN - 1).for_each(|_| _ = fleet.send(&[CRASHING]));
    let later = fleet.crashed() - CRASHES_KNOWN;
    assert!(later <= MOST_LATER_CRASHES, "{later} targets crashed after the fifth");
    assert_eq!([fleet.send(&["b1"]), fleet.send(&["b3"])], [200, 200]);
}

// Guards against items of jobs with such a part, each of which is sent again until its time is up.
#[test]
fn items_with_a_part_that_crashes_targets_are_not_sent_to_ever_more_of_them() {
    let mut fleet = Fleet::new();
    (0..CRASHES_KNOWN).for_each(|_| _ = fleet.send(&[CRASHING]));
    thread::sleep(CRASHES_TOLD_WITHIN);
    fleet.submit("job-1", &[CRASHING, "b1", CRASHING, CRASHING, CRASHING, "b2", CRASHING]);
    assert_eq!(fleet.platform.all_results(0, "job-1", 2).len(), 2);
    thread::sleep(CRASHES_TOLD_WITHIN);
    let later = fleet.crashed() - CRASHES_KNOWN;
    assert!(later <= MOST_LATER_CRASHES, "{later} targets crashed after the fifth");
}

// Guards against a part whose only requests are items, whose lost answers were not reported.
#[test]
fn a_part_that_crashes_targets_under_items_is_quarantined() {
    let mut fleet = Fleet::new();
    for number in 0..CRASHES_KNOWN {
        fleet.submit(&format!("job-{number}"), &[CRASHING]);
        wait_until("a target crashes", || fleet.crashed() > number);
    }
    thread::sleep(CRASHES_TOLD_WITHIN);
    let known = fleet.crashed();
    assert_eq!(fleet.send(&[CRASHING]), 503);
    assert_eq!((fleet.crashed(), fleet.send(&["b1"])), (known, 200));
}
