//! Checks which streams count as whole when their body ends.

use proptest::{
    collection::vec,
    prelude::{any, prop_assert_eq},
    sample::{Index, select},
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use samphiredoor_gateway::{
    event_stream::{BreakOff, StreamEnd},
    events::{EventBuffer, MAX_EVENTLESS_BYTES},
};
use samphiredoor_net::pool::Framing;

const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunked, Framing::Close];

/// End of a stream whose body has these bytes, and the number of its whole events.
fn end_of(framing: Framing, body: &[u8]) -> (StreamEnd, usize) {
    let mut buffer = EventBuffer::default();
    buffer.push(body);
    let events = std::iter::from_fn(|| buffer.take_event()).count();
    (StreamEnd::of_body(framing, events > 0, &buffer), events)
}

macro_rules! ends {
    ($($name:ident: $body:expr, $framing:ident => $end:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(end_of(Framing::$framing, $body).0, $end);
            }
        )*
    };
}

const INSIDE: StreamEnd = StreamEnd::BrokenOff(BreakOff::InsideEvent);

ends! {
    after_an_event_the_close_of_the_connection_ends_a_stream: b"id: 1\ndata: a\n\n", Close => StreamEnd::Whole;
    without_an_event_the_close_of_the_connection_proves_nothing:
        b"", Close => StreamEnd::BrokenOff(BreakOff::NoEvent);
    a_comment_is_no_event: b": ping\n", Close => StreamEnd::BrokenOff(BreakOff::NoEvent);
    an_empty_stream_with_chunks_is_whole: b"", Chunked => StreamEnd::Whole;
    a_last_comment_and_blank_lines_are_not_inside_an_event:
        b"data: a\n\n: done\n\r\n\n", Chunked => StreamEnd::Whole;
    an_event_without_its_blank_line_is_broken_off: b"data: a\n\ndata: b\n", Length => INSIDE;
    a_line_without_its_end_is_broken_off: b"data: a\n\ni", Close => INSIDE;
    a_comment_without_its_end_is_broken_off: b"data: a\n\n: d", Chunked => INSIDE;
}

/// Guards against streams that break off anywhere and count as whole: a stream that is cut at any byte is whole only
/// between two events.
#[test]
fn a_stream_that_is_cut_inside_an_event_is_never_whole() {
    let config = Config { cases: 2_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let cases =
        (vec("[a-z:\\r ]{0,12}", 1..6), any::<bool>(), any::<Index>(), select(&FRAMINGS[..]));
    let result = TestRunner::new_with_rng(config, rng).run(&cases, |(data, crlf, cut, framing)| {
        let end = if crlf { "\r\n" } else { "\n" };
        let event =
            |(number, data): (usize, &String)| format!("id: {number}{end}data: {data}{end}{end}");
        let events: Vec<String> = data.iter().enumerate().map(event).collect();
        let body = events.concat();
        let cut = cut.index(body.len() + 1);
        let (stream_end, whole_events) = end_of(framing, &body.as_bytes()[..cut]);
        let is_between = events[..whole_events].concat().len() == cut;
        let is_whole = is_between && (whole_events > 0 || framing != Framing::Close);
        prop_assert_eq!(stream_end == StreamEnd::Whole, is_whole);
        Ok(())
    });
    result.expect("each cut is judged by its place");
}

/// Whether a stream of this text, sent in pieces without end, is given up, and after how many events.
fn given_up_after(text: &str) -> (bool, usize) {
    let (mut buffer, mut events) = (EventBuffer::default(), 0);
    for _ in 0..=MAX_EVENTLESS_BYTES / text.len() {
        buffer.push(text.as_bytes());
        events += std::iter::from_fn(|| buffer.take_event()).count();
    }
    (buffer.is_overlong(), events)
}

macro_rules! endless {
    ($($name:ident: $text:expr => $is_given_up:expr;)*) => {
        $(
            // Guards against memory that grows, and waits that last, while a target sends bytes that are no event.
            #[test]
            fn $name() {
                let (is_given_up, events) = given_up_after($text);
                assert_eq!((is_given_up, events == 0), ($is_given_up, $is_given_up));
            }
        )*
    };
}

endless! {
    bytes_without_a_line_are_no_event: "-" => true;
    lines_of_data_are_no_event: "data: a\n" => true;
    comment_lines_are_no_event: ": ping\n" => true;
    comments_are_no_event: ": ping\r\n\r\n" => true;
    blank_lines_are_no_event: "\n" => true;
    lines_of_other_text_are_no_event: "-\n\n" => true;
    events_go_on: "id: 1\n\n" => false;
    events_with_comments_go_on: ": ping\n\ndata: a\n\n" => false;
}

/// Guards against comments that are lost, and against an event that is passed on before its end.
#[test]
fn a_comment_is_returned_with_the_next_event() {
    let mut buffer = EventBuffer::default();
    buffer.push(b"\n: ping\n\nid: 1\n");
    assert_eq!(buffer.take_event(), None);
    buffer.push(b"\n: done\n\n");
    let event = buffer.take_event().expect("a whole event");
    assert_eq!((&*event.raw, event.id), (&b"\n: ping\n\nid: 1\n\n"[..], Some(1)));
    assert!(!buffer.is_inside_event());
    assert_eq!(buffer.take_rest(), ": done\n\n");
}

/// Guards against a search that begins anew with each piece: a stream of large events would keep the process busy.
#[test]
fn an_event_is_found_in_pieces_of_one_byte() {
    let event = format!("data: {}\n\n", "-".repeat(MAX_EVENTLESS_BYTES - 8));
    let mut buffer = EventBuffer::default();
    event.as_bytes().chunks(1).for_each(|it| buffer.push(it));
    assert_eq!(buffer.take_event().map(|it| it.raw.len()), Some(event.len()));
}
