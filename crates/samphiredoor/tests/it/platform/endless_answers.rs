//! Targets that send bytes which are no answer without end: one of them costs an attempt, and nothing else.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use samphiredoor_standin::{
    fleet::EVENTS,
    platform_target::{EndlessBytes, PlatformTarget, TargetFault},
};
use serde_json::json;

use super::env::{BINARY, Platform, route, whole_stream};
use crate::{
    env::wait_until,
    raw_target::{RawTarget, Reply},
};

const PAUSE: Duration = Duration::from_millis(2);
const REQUESTS: usize = 8;
const ATTEMPTS: u32 = 2;
/// Timeout of the routes.
const TIMEOUT_MS: u64 = 20_000;
const IDLE_MS: u64 = 15_000;
/// Most by which endless answers may increase the memory of a gateway: the limit of all answers that are being read at once
/// (32 MB), as much again where a buffer moves to a larger place, and a few megabytes for everything else.
const MAX_GROWTH_KB: u64 = 80 * 1024;
/// Time in which an item is completed elsewhere; much less than the time after which it is given up.
const ITEM_TIME: Duration = Duration::from_secs(15);
const ITEM: &str = "item-a";

/// Starts a gateway with two targets, of which the nearer one always has this fault, and a sound target of another service.
fn endless_and_sound(bytes: EndlessBytes) -> (Platform, [PlatformTarget; 2]) {
    let mut platform = Platform::new(BINARY);
    let mut sound = route("safe", ATTEMPTS, false);
    sound["pathPrefix"] = json!("/sound/");
    sound["service"] = json!("writer");
    platform.put_limits_and_routes(2, ATTEMPTS, (IDLE_MS, TIMEOUT_MS), vec![sound]);
    platform.start_target_of("writer", "t-sound", PAUSE);
    let targets = [("t-near", "brisbane-north"), ("t-far", "brisbane-south")];
    let targets = targets.map(|(name, zone)| {
        let target = PlatformTarget::start(name, EVENTS, PAUSE).expect("a target starts");
        platform.store.put("servers", name, target.entry("reader", zone, "ready"));
        target
    });
    targets[0].fail_next(1_000, TargetFault::Endless(bytes));
    platform.start_gateway();
    platform.wait_logged(0, "routes: activated version=2");
    (platform, targets)
}

/// Sends sound requests one after another until told to stop; all have to be answered.
fn send_sound(platform: &Platform, has_ended: &AtomicBool) -> usize {
    let mut sent = 0;
    while sent == 0 || !has_ended.load(Ordering::Relaxed) {
        let answer = platform.send(0, "/sound/a", &format!("sound-{sent}"), "");
        assert_eq!((answer.status, answer.text), (200, whole_stream()));
        sent += 1;
    }
    sent
}

/// Sends requests of which the first attempts get an endless answer; all have to be answered whole by the other target.
fn costs_an_attempt(bytes: EndlessBytes, path: &str) {
    let (mut platform, [endless, sound]) = endless_and_sound(bytes);
    assert_eq!(platform.send(0, "/sound/a", "first", "").status, 200);
    let before_kb = platform.gateway(0).status_kb("VmRSS");
    let has_ended = AtomicBool::new(false);
    let answers: Vec<_> = thread::scope(|scope| {
        let (platform, has_ended) = (&platform, &has_ended);
        let beside = scope.spawn(move || send_sound(platform, has_ended));
        let send =
            |number| scope.spawn(move || platform.send(0, path, &format!("id-{number}"), ""));
        let sent: Vec<_> = (0..REQUESTS).map(send).collect();
        let answers = sent.into_iter().map(|it| it.join().expect("a request ends")).collect();
        has_ended.store(true, Ordering::Relaxed);
        assert!(beside.join().expect("sound requests are answered") > 0);
        answers
    });
    let statuses: Vec<u16> = answers.iter().map(|it| it.status).collect();
    assert_eq!(statuses, [200; REQUESTS]);
    assert!(answers.iter().all(|it| it.text == whole_stream()));
    assert!(!endless.runs().is_empty() && !sound.runs().is_empty());
    let growth_kb = platform.gateway(0).status_kb("VmHWM").saturating_sub(before_kb);
    assert!(growth_kb <= MAX_GROWTH_KB, "{growth_kb} KB");
}

/// Submits an item of which the first attempts get an endless answer; it has to be completed by the other target.
fn item_is_completed(bytes: EndlessBytes) {
    let (platform, [endless, sound]) = endless_and_sound(bytes);
    assert_eq!(platform.submit(0, "job-1", &[ITEM]).status, 202);
    let submitted = Instant::now();
    wait_until("the item has a result", || !platform.available_results(0, "job-1").is_empty());
    let results = platform.available_results(0, "job-1");
    assert_eq!(
        (&results[0]["state"], &results[0]["text"]),
        (&json!("completed"), &json!(sound.text()))
    );
    assert!(submitted.elapsed() < ITEM_TIME, "{:?}", submitted.elapsed());
    assert_eq!((endless.runs_of(ITEM) > 0, sound.runs_of(ITEM)), (true, 1));
}

macro_rules! endless_answers {
    ($($name:ident: $bytes:ident, $path:expr;)*) => {
        $(
            // Guards against requests that fail, and a gateway that stalls or grows, at a target that never stops sending.
            #[test]
            fn $name() {
                costs_an_attempt(EndlessBytes::$bytes, $path);
            }
        )*
    };
}

endless_answers! {
    endless_bytes_in_place_of_a_head_cost_an_attempt: NoHead, "/safe/a";
    an_endless_head_costs_an_attempt: Head, "/safe/a";
    endless_interim_heads_cost_an_attempt: InterimHeads, "/safe/a";
    an_endless_first_event_costs_an_attempt: FirstEvent, "/safe/a";
    an_endless_first_event_of_a_resumable_stream_costs_an_attempt: FirstEvent, "/stream-resumable/a";
    endless_lines_of_data_cost_an_attempt: DataLines, "/stream-resumable/a";
    an_endless_second_event_costs_an_attempt: SecondEvent, "/stream-resumable/a";
    endless_comment_lines_cost_an_attempt: CommentLines, "/stream-resumable/a";
    endless_comments_cost_an_attempt: Comments, "/stream-resumable/a";
    endless_blank_lines_cost_an_attempt: BlankLines, "/stream-resumable/a";
    a_first_event_that_comes_slowly_without_end_costs_an_attempt: SlowFirstEvent, "/safe/a";
    slow_comments_without_end_cost_an_attempt: SlowComments, "/stream-resumable/a";
    an_endless_whole_answer_costs_an_attempt: WholeAnswer, "/safe/a";
    an_endless_failure_costs_an_attempt: Failure, "/safe/a";
}

macro_rules! endless_answers_to_items {
    ($($name:ident: $bytes:ident;)*) => {
        $(
            // Guards against an item that ends with an error, or late, although another target is sound.
            #[test]
            fn $name() {
                item_is_completed(EndlessBytes::$bytes);
            }
        )*
    };
}

endless_answers_to_items! {
    an_item_leaves_endless_bytes_in_place_of_a_head: NoHead;
    an_item_leaves_an_endless_head: Head;
    an_item_leaves_endless_interim_heads: InterimHeads;
    an_item_leaves_an_endless_first_event: FirstEvent;
    an_item_leaves_endless_lines_of_data: DataLines;
    an_item_leaves_an_endless_second_event: SecondEvent;
    an_item_leaves_endless_comments: Comments;
    an_item_leaves_endless_blank_lines: BlankLines;
    an_item_leaves_a_first_event_that_comes_slowly_without_end: SlowFirstEvent;
    an_item_leaves_slow_comments_without_end: SlowComments;
    an_item_leaves_an_endless_whole_answer: WholeAnswer;
}

/// Kinds of routes to the target, and requests that are sent to each at the same time.
const PATHS: [&str; 4] = ["/safe/a", "/unsafe/a", "/stream/a", "/stream-resumable/a"];
const REQUESTS_EACH: usize = 8;

/// Sends requests on all kinds of routes to a target whose whole answers begin with this head and never end.
fn whole_answers_take_limited_memory(head: &'static str) {
    let requests = PATHS.len() * REQUESTS_EACH;
    let values = "[1,2,3],".repeat(512);
    let replies = std::iter::repeat_with(|| Reply::Endless(head, values.clone()));
    let target = RawTarget::start(replies.take(4 * requests));
    let mut platform = Platform::new(BINARY);
    let entry = json!({
        "service": "reader", "addr": target.address.to_string(), "zone": "brisbane-north", "version": "v1",
        "slots": requests, "state": "ready", "born": 1,
    });
    platform.store.put("servers", "raw", entry);
    platform.put_limits(2, ATTEMPTS, IDLE_MS, TIMEOUT_MS);
    platform.start_gateway();
    platform.wait_logged(0, "routes: activated version=2");
    let before_kb = platform.gateway(0).status_kb("VmRSS");
    thread::scope(|scope| {
        let platform = &platform;
        for number in 0..requests {
            let path = PATHS[number % PATHS.len()];
            scope.spawn(move || {
                let answer = platform.send(0, path, &format!("id-{number}"), "");
                assert!([502, 503].contains(&answer.status), "{path}: {}", answer.status);
            });
        }
    });
    let growth_kb = platform.gateway(0).status_kb("VmHWM").saturating_sub(before_kb);
    assert!(growth_kb <= MAX_GROWTH_KB, "{growth_kb} KB");
}

macro_rules! many_endless_whole_answers {
    ($($name:ident: $head:expr;)*) => {
        $(
            // Guards against a gateway that runs out of memory at whole answers without a length, whose buffers are larger than
            // what they hold.
            #[test]
            fn $name() {
                whole_answers_take_limited_memory(concat!("HTTP/1.1 ", $head, "\r\n\r\n"));
            }
        )*
    };
}

many_endless_whole_answers! {
    many_endless_json_answers_take_limited_memory: "200 OK\r\ncontent-type: application/json";
    many_endless_texts_take_limited_memory: "200 OK\r\ncontent-type: text/plain";
    many_endless_timeouts_take_limited_memory: "408 Request Timeout\r\ncontent-type: application/json";
}

/// Shorter than the time that the target goes on sending.
const SHORT_TIMEOUT_MS: u64 = 1_500;

macro_rules! single_attempts {
    ($($name:ident: $bytes:ident => $status:expr;)*) => {
        $(
            // Guards against callers that wait longer than the route's timeout for a target that never stops sending.
            #[test]
            fn $name() {
                let (platform, [endless, _]) = endless_and_sound(EndlessBytes::$bytes);
                platform.put_limits(3, 1, IDLE_MS, SHORT_TIMEOUT_MS);
                platform.wait_logged(0, "routes: activated version=3");
                assert_eq!(platform.send(0, "/stream/a", "id-1", "").status, $status);
                assert_eq!(endless.runs().len(), 1);
            }
        )*
    };
}

single_attempts! {
    an_endless_first_event_ends_a_single_attempt: FirstEvent => 502;
    a_first_event_that_comes_slowly_ends_a_single_attempt_at_its_deadline: SlowFirstEvent => 504;
    slow_comments_end_a_single_attempt_at_its_deadline: SlowComments => 0;
}

// Guards against a log and metrics that don't tell why an answer was given up.
#[test]
fn what_an_endless_answer_was_is_logged() {
    let (platform, _) = endless_and_sound(EndlessBytes::SecondEvent);
    assert_eq!(platform.send(0, "/stream-resumable/a", "id-1", "").status, 200);
    platform.wait_logged(0, "end=bytes_without_event");
    let (platform, _) = endless_and_sound(EndlessBytes::WholeAnswer);
    assert_eq!(platform.send(0, "/safe/a", "id-1", "").status, 200);
    platform.wait_logged(0, "reason=too_large");
}

/// Size of an answer that is read whole, a little below the limit.
const LARGE_BYTES: usize = 15 * 1024 * 1024;

// Guards against large answers of sound targets that are lost as too many come at once.
#[test]
fn large_answers_that_announce_their_length_wait_for_memory() {
    let mut platform = Platform::new(BINARY);
    let target = platform.start_target("t-1", PAUSE).with_failure_bytes(LARGE_BYTES);
    target.fail_next(REQUESTS as u32, TargetFault::Fails);
    platform.start_gateway();
    thread::scope(|scope| {
        let platform = &platform;
        let send = |number| {
            scope.spawn(move || platform.send(0, "/unsafe/a", &format!("id-{number}"), ""))
        };
        let sent: Vec<_> = (0..REQUESTS).map(send).collect();
        for answer in sent.into_iter().map(|it| it.join().expect("a request ends")) {
            assert_eq!((answer.status, answer.text.len()), (500, LARGE_BYTES));
        }
    });
}

// Guards against a large answer that is lost although there is memory for it.
#[test]
fn a_large_answer_without_a_length_is_read_whole() {
    let answer = format!("HTTP/1.1 200 OK\r\n\r\n{}", "-".repeat(LARGE_BYTES));
    let target = RawTarget::start([Reply::SendAndClose(answer.leak())]);
    let mut platform = Platform::new(BINARY);
    let entry = json!({
        "service": "reader", "addr": target.address.to_string(), "zone": "brisbane-north", "version": "v1",
        "slots": 8, "state": "ready", "born": 1,
    });
    platform.store.put("servers", "raw", entry);
    platform.start_gateway();
    let answer = platform.send(0, "/unsafe/a", "id-1", "monday");
    assert_eq!((answer.status, answer.text.len()), (200, LARGE_BYTES));
}
