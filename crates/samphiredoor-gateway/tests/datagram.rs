//! Datagrams between gateways.

use samphiredoor_core::{
    crash_reports::{
        Content, CrashReport, CrashVerdict, MAX_PARTS, Parts, RunTime, Suspect, TrialOutcome,
        Trials,
    },
    overload::{
        ExpectedReturns, FailingTarget, ItemRunTime, MAX_ENTRIES, OverloadNews, OwedItems,
        SpeedReport, WorkspaceUsage,
    },
    placement::{GatewayLoad, GatewayState},
    software_versions::{Answer, StreamOrigin},
};
use samphiredoor_gateway::peers::{
    CrashNews, OriginAnswer, OriginQuestion, OriginRecord, Status, TrialAnswer, TrialPurpose,
    TrialQuestion,
    datagram::{Datagram, MAX_BYTES},
};

/// Different bits, which packing cannot shorten.
fn hash(number: usize) -> u64 {
    (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

fn entries<T>(count: usize, entry: impl Fn(u64) -> T) -> Vec<T> {
    (0..count).map(|it| entry(hash(it))).collect()
}

fn status(targets: usize, news: usize) -> Status {
    let overload = OverloadNews {
        speeds: entries(news, |target| SpeedReport { target, percent: 777, age_ms: 333 }),
        failing: entries(news, |target| FailingTarget { target, failures: 333, age_ms: 777 }),
        usage: entries(news, |workspace| WorkspaceUsage { workspace, running: 999, rejected: 999 }),
        returns: entries(news, |service| ExpectedReturns {
            service,
            callers: 999,
            last_in_ms: 1_500,
        }),
        item_runs: entries(news, |service| ItemRunTime { service, run_ms: 99_999, weight: 8 }),
        owed: entries(news, |service| OwedItems { service, due_in_ms: 16_000, items: 3_333 }),
    };
    let loads = entries(targets, |target| GatewayLoad { target, online: 300, batch: 300 });
    Status {
        name: "gateway-with-a-long-name-0123456789".to_owned(),
        incarnation: u64::MAX,
        routes_version: u64::MAX,
        store_reached: true,
        stopping: false,
        requests: GatewayState { loads, waiting: Vec::new() },
        jobs: Vec::new(),
        seen: Default::default(),
        store_silent_ms: 777,
        overload,
    }
}

// Receivers drop a datagram that is too large. In an overload, when all lists are full, they would count its sender as dead.
#[test]
fn a_status_with_full_lists_fits_into_a_datagram_and_keeps_the_loads() {
    let full = status(36, MAX_ENTRIES);
    let bytes = Datagram::Status(full.clone()).encode();
    assert!(bytes.len() <= MAX_BYTES, "{} bytes", bytes.len());
    let Ok(Datagram::Status(received)) = Datagram::decode(&bytes) else {
        panic!("the status is decoded");
    };
    assert_eq!(received.requests, full.requests);
    let count = received.overload.speeds.len();
    assert!((1..MAX_ENTRIES).contains(&count), "{count} entries");
    assert_eq!(received.overload.speeds, full.overload.speeds[..count], "the first ones are kept");
}

#[test]
fn a_status_that_fits_keeps_all_entries() {
    let small = status(2, 4);
    let bytes = Datagram::Status(small.clone()).encode();
    assert_eq!(Datagram::decode(&bytes).ok(), Some(Datagram::Status(small)));
}

fn parts(count: usize) -> Parts {
    (0..count).map(hash).collect()
}

fn origin() -> StreamOrigin {
    StreamOrigin {
        version: "v1.2".into(),
        service: hash(2),
        target: hash(3),
        target_started_unix_ms: u64::MAX,
    }
}

macro_rules! messages {
    ($($name:ident: $message:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let message = $message;
                assert_eq!(Datagram::decode(&message.encode()).expect("it can be read"), message);
            }
        )*
    };
}

fn answer(answer: Answer) -> Datagram {
    Datagram::OriginAnswer(OriginAnswer { stream: hash(1), holder: hash(2), answer })
}

messages! {
    a_record_of_a_stream_arrives_as_it_was_sent: Datagram::StreamOrigin(OriginRecord {
        stream: hash(1), origin: origin(), keep_ms: 5_000,
    });
    a_question_arrives_as_it_was_sent:
        Datagram::OriginQuestion(OriginQuestion { stream: hash(1), service: hash(2), within_ms: 20_000 });
    an_answer_with_a_record_arrives_as_it_was_sent: answer(Answer::Recorded(origin()));
    an_answer_without_a_record_arrives_as_it_was_sent: answer(Answer::NoRecord(None));
    an_answer_with_a_sole_version_arrives_as_it_was_sent:
        answer(Answer::NoRecord(Some("v1.2".into())));
    an_answer_of_no_version_is_not_one_without_a_record: answer(Answer::NoRecord(Some("".into())));
    an_uncertain_answer_arrives_as_it_was_sent: answer(Answer::Ambiguous);
    a_report_of_a_crash_arrives_as_it_was_sent:
        Datagram::CrashReport(CrashNews::Lost(CrashReport {
            content: Content { service: hash(1), fingerprint: Some(hash(2)), parts: parts(MAX_PARTS) },
            has_first_part: true, target: hash(3), sent_ago_ms: 70_000, lost_ago_ms: 3, ran_ms: 40_000,
        }));
    a_report_of_an_item_that_was_lost_arrives_as_it_was_sent:
        Datagram::CrashReport(CrashNews::Lost(CrashReport {
            content: Content { service: hash(1), fingerprint: None, parts: parts(1) },
            has_first_part: false, target: hash(3), sent_ago_ms: 5, lost_ago_ms: 3, ran_ms: 2,
        }));
    an_answer_to_suspects_arrives_as_it_was_sent:
        Datagram::CrashReport(CrashNews::Answered(
            [Suspect::request(hash(1), hash(2)), Suspect::part(hash(1), hash(3))].into(),
        ));
    a_part_that_ran_without_a_crash_arrives_as_it_was_sent:
        Datagram::CrashReport(CrashNews::Survived(
            [Suspect::part(hash(1), hash(3))].as_slice().into(),
            RunTime { longest_ms: 1_400, total_ms: 70_000, period_ms: 10_000 },
        ));
    an_answer_with_a_suspected_part_arrives_as_it_was_sent:
        Datagram::CrashReport(CrashNews::Answered([Suspect::part(hash(1), hash(3))].as_slice().into()));
    a_verdict_on_a_part_arrives_as_it_was_sent: Datagram::CrashVerdict(CrashVerdict {
        suspect: Suspect::part(hash(1), hash(2)), crashes: 5, age_ms: 77_000,
        trials: Trials { version: 300, granted: 3, in_ms: 200_000 },
    });
    a_verdict_on_a_request_arrives_as_it_was_sent: Datagram::CrashVerdict(CrashVerdict {
        suspect: Suspect::request(hash(1), hash(2)), crashes: 0, age_ms: 0, trials: Trials::default(),
    });
    a_question_for_a_trial_arrives_as_it_was_sent: Datagram::TrialQuestion(TrialQuestion {
        id: 9, suspects: [Suspect::request(hash(1), hash(2)), Suspect::part(hash(1), hash(3))].into(),
        purpose: TrialPurpose::Ask,
    });
    a_trial_that_is_given_back_arrives_as_it_was_sent: Datagram::TrialQuestion(TrialQuestion {
        id: 0, suspects: [Suspect::part(hash(1), hash(3))].as_slice().into(), purpose: TrialPurpose::Return,
    });
    a_granted_trial_arrives_as_it_was_sent:
        Datagram::TrialAnswer(TrialAnswer { id: 9, outcome: TrialOutcome::Granted });
    an_unknown_quarantine_arrives_as_it_was_sent:
        Datagram::TrialAnswer(TrialAnswer { id: 10, outcome: TrialOutcome::Unknown });
}

/// Guards against a datagram of packed zeros that takes a thousand times its size in memory.
#[test]
fn a_datagram_that_unpacks_to_a_large_message_is_unreadable() {
    // Packed: the segment table, then words of zeros in runs of 256.
    let runs = 400_u32;
    let message_words = runs * 256;
    let mut bytes = vec![0b0111_0000];
    bytes.extend_from_slice(&message_words.to_le_bytes()[..3]);
    for _ in 0..runs {
        bytes.extend([0, 255]);
    }
    assert!(bytes.len() <= MAX_BYTES);
    assert!(Datagram::decode(&bytes).is_err());
}
