//! Bytes of the messages about requests, and parts of prompts, that crash targets.
//!
//! `cargo run --release -p samphiredoor-gateway --example crash_report_bytes`

use samphiredoor_core::crash_reports::{Content, CrashReport, CrashVerdict, Suspect, Trials};
use samphiredoor_gateway::peers::{CrashNews, datagram::Datagram};

/// IPv4 and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;

/// Different bits, which packing cannot shorten.
fn hash(number: u64) -> u64 {
    number.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

fn main() {
    let (service, fingerprint, target) = (hash(1), hash(2), hash(3));
    let report = |parts: u64| {
        let parts = (4..4 + parts).map(hash).collect();
        let content = Content { service, fingerprint: Some(fingerprint), parts };
        let report = CrashReport {
            content,
            has_first_part: true,
            target,
            sent_ago_ms: 200,
            lost_ago_ms: 2,
            ran_ms: 150,
        };
        Datagram::CrashReport(CrashNews::Lost(report))
    };
    let suspect = Suspect::part(service, hash(4));
    let messages = [
        ("report without parts", report(0)),
        ("report with two parts", report(2)),
        ("answer", Datagram::CrashReport(CrashNews::Answered([suspect].as_slice().into()))),
        (
            "verdict",
            Datagram::CrashVerdict(CrashVerdict {
                suspect,
                crashes: 4,
                age_ms: 0,
                trials: Trials::of_new(false),
            }),
        ),
    ];
    println!("message,bytes,bytes_with_headers");
    for (name, message) in messages {
        let bytes = message.encode().len();
        println!("{name},{bytes},{}", bytes + HEADER_BYTES);
    }
}
