//! Texts of items that several runs make up: each run goes on only where it was asked to.

use std::time::Duration;

use samphiredoor_standin::{
    platform_store::StoreFault, platform_target::PlatformTarget, run_chain::RunChain,
};
use serde_json::Value;

use super::env::{BINARY, Platform};
use crate::env::wait_until;

/// Enough that those that remain after two losses don't count as isolated.
const GATEWAYS: usize = 5;
const FORMER: usize = 0;
const EVENTS: u64 = 12;
/// Last event that the former owner saves before it is cut off from the store.
const SAVED: u64 = 5;
/// Last event that it receives.
const RECEIVED: u64 = 8;
/// Last event that the next owner saves.
const SAVED_BY_NEXT: u64 = 10;
/// Time after which items are given up, so long that a busy machine finishes them.
const MAX_WAIT_S: u64 = 600;

/// Part of an item's text that is saved in the log of its job.
#[derive(Debug, Clone, PartialEq, Eq)]
struct SavedPart {
    after: Option<u64>,
    last: u64,
    text: String,
}

/// A job of one item, whose gateways and target the test holds back.
struct OneItem {
    platform: Platform,
    target: PlatformTarget,
}

impl OneItem {
    /// Submits the job at the gateway that becomes its former owner.
    fn submitted() -> OneItem {
        let mut platform = Platform::without_routes(BINARY);
        platform.put_routes_with_max_wait(1, MAX_WAIT_S);
        let target = PlatformTarget::start("t-1", EVENTS, Duration::ZERO).expect("a target");
        let target = target.with_named_runs();
        target.hold_after(Some(SAVED));
        platform.add_target(&target);
        (0..GATEWAYS).for_each(|_| _ = platform.start_gateway());
        for gateway in 0..GATEWAYS {
            wait_until("the gateways know each other", || {
                platform.times_logged(gateway, "peers: peer is live") >= GATEWAYS - 1
            });
        }
        assert_eq!(platform.submit(FORMER, "job-1", &["item-a"]).status, 202);
        OneItem { platform, target }
    }

    /// Parts in the log, in order.
    fn parts(&self) -> Vec<SavedPart> {
        let store = &self.platform.store;
        let segments = store.names("jobsegments").into_iter();
        let specs = segments.filter_map(|it| store.spec("jobsegments", &it));
        let outputs = specs.flat_map(|it| it["outputs"].as_array().cloned().unwrap_or_default());
        outputs.map(|it| SavedPart::read(&it)).collect()
    }

    /// Number of the last event in the log.
    fn last_saved(&self) -> Option<u64> {
        self.parts().last().map(|it| it.last)
    }

    fn owner(&self) -> Option<usize> {
        let header = self.platform.store.spec("orderedjobs", "job-1")?;
        header["owner"]["process"].as_str()?.strip_prefix("gateway-")?.parse().ok()
    }

    /// Numbers of the events after which the runs of the item were asked to go on.
    fn asked_after(&self) -> Vec<Option<u64>> {
        self.target.runs().iter().map(|it| it.after).collect()
    }

    /// Lets the former owner save a part of the text, and cuts it off from the store and its peers while it writes the next
    /// one. Returns the number of runs so far.
    fn cut_off_former_owner(&self) -> usize {
        wait_until("a part is saved", || self.last_saved() == Some(SAVED));
        let writes = || self.platform.store.calls().get("POST jobsegments").copied();
        let before = writes();
        self.platform.set_store_path_fault(FORMER, StoreFault::WritesHeld);
        self.target.hold_after(Some(RECEIVED));
        wait_until("the next part is on its way", || writes() > before);
        self.platform.signal(FORMER, "STOP");
        self.target.hold_after(Some(SAVED));
        self.target.runs().len()
    }

    /// Lets the next owner take the job over and run the item, before the write of the former one takes effect. Returns the
    /// number of the last event in that write.
    fn take_over_before_late_write(&self, former_runs: usize) -> u64 {
        wait_until("the item runs at the next owner", || self.target.runs().len() > former_runs);
        assert_eq!(self.last_saved(), Some(SAVED), "the write is held");
        self.platform.set_store_path_fault(FORMER, StoreFault::None);
        wait_until("the write takes effect", || self.last_saved() > Some(SAVED));
        self.last_saved().expect("a part")
    }

    /// Lets the next owner save its own text up to the event with which the former's part ends, and then more.
    fn save_at_next_owner(&self, met: u64) {
        let ends = || self.parts().iter().filter(|it| it.last == met).count();
        self.target.hold_after(Some(met));
        wait_until("both owners have saved a part up to the same event", || ends() == 2);
        self.target.hold_after(Some(SAVED_BY_NEXT));
        wait_until("the next owner saves more", || self.last_saved() == Some(SAVED_BY_NEXT));
    }

    /// Kills the next owner, and returns the text with which a third one finishes the item.
    fn finish_at_third_owner(&mut self) -> String {
        let next = self.owner().expect("an owner");
        assert_ne!(next, FORMER);
        self.platform.gateway(next).kill();
        self.target.hold_after(None);
        let reader = (0..GATEWAYS).find(|it| ![FORMER, next].contains(it)).expect("a gateway");
        let results = self.platform.all_results(reader, "job-1", 1);
        assert_ne!(self.owner(), Some(next));
        results[0]["text"].as_str().expect("a text").to_owned()
    }
}

impl SavedPart {
    fn read(output: &Value) -> SavedPart {
        SavedPart {
            after: output["after"].as_u64(),
            last: output["last"].as_u64().expect("a number"),
            text: output["text"].as_str().expect("a text").to_owned(),
        }
    }
}

// Guards against a text that is joined from parts that two owners of a job have saved, where their numbers happen to meet.
#[test]
fn a_text_changes_runs_only_where_the_next_run_was_asked_to_go_on() {
    let mut item = OneItem::submitted();
    let former_runs = item.cut_off_former_owner();
    let met = item.take_over_before_late_write(former_runs);
    item.save_at_next_owner(met);
    let (parts, asked_after) = (item.parts(), item.asked_after());
    let text = item.finish_at_third_owner();
    let mut chain = RunChain::after(None);
    let chained = chain.push_text(&text);
    assert_eq!(chained, Ok(()), "{text}\nsaved: {parts:#?}\nruns asked after {asked_after:?}");
    assert_eq!(chain.last(), Some(EVENTS), "{text}");
}
