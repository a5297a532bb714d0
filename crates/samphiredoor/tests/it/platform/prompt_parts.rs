//! Parts of prompts that crash each target that answers a request with them. No two such requests are alike, and sound ones
//! share their caller and their other parts.

use std::{thread, time::Duration};

use samphiredoor_standin::platform_target::{PlatformTarget, TargetFault};

use super::env::{BINARY, Platform};

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
