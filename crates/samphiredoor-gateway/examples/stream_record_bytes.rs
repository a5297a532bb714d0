//! Bytes of the messages by which gateways remember the software versions of streams.
//!
//! `cargo run --release -p samphiredoor-gateway --example stream_record_bytes`

use samphiredoor_core::software_versions::{Answer, Record, StreamOrigin};
use samphiredoor_gateway::peers::{OriginAnswer, OriginQuestion, OriginRecord, datagram::Datagram};

/// IPv4 and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;

/// Different bits, which packing cannot shorten.
fn hash(number: u64) -> u64 {
    number.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

fn main() {
    let (stream, service) = (hash(1), hash(2));
    let origin = StreamOrigin {
        version: "v12.3".into(),
        service,
        target: hash(3),
        target_started_unix_ms: 1_796_000_000_123,
    };
    let record = OriginRecord { stream, origin: origin.clone(), keep_ms: 5_000 };
    let answer = OriginAnswer { stream, holder: hash(4), answer: Answer::Recorded(origin) };
    let messages = [
        ("record", Datagram::StreamOrigin(record)),
        (
            "question",
            Datagram::OriginQuestion(OriginQuestion { stream, service, within_ms: 20_000 }),
        ),
        ("answer", Datagram::OriginAnswer(answer)),
    ];
    println!("message,bytes,bytes_with_headers");
    for (name, message) in messages {
        let bytes = message.encode().len();
        println!("{name},{bytes},{}", bytes + HEADER_BYTES);
    }
    println!("record in memory without its strings,{}", std::mem::size_of::<(u64, Record)>());
}
