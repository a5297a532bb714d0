//! Bodies that are read whole in segments.

use bytes::Bytes;
use samphiredoor_gateway::segments::Segments;

/// Content of this length in pieces of this size, of which so much is announced.
fn read(len: usize, piece: usize, expected: usize) -> (Bytes, Bytes) {
    let content: Bytes = (0..len).map(|it| it as u8).collect();
    let mut segments = Segments::new(expected);
    for start in (0..len).step_by(piece) {
        segments.push(content.slice(start..len.min(start + piece)));
    }
    assert_eq!(segments.len_bytes(), len);
    (segments.into_bytes(), content)
}

macro_rules! contents {
    ($($name:ident: $len:expr, $piece:expr, $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let (whole, content) = read($len, $piece, $expected);
                assert_eq!(whole, content);
            }
        )*
    };
}

contents! {
    no_content_is_whole: 0, 1, 0;
    short_content_is_whole: 700, 100, 0;
    content_of_many_segments_is_whole: 1_000_003, 4_096, 0;
    pieces_larger_than_a_segment_are_whole: 500_000, 200_000, 0;
    announced_content_is_whole: 300_000, 4_096, 300_000;
    content_beyond_what_was_announced_is_whole: 300_000, 4_096, 100_000;
    content_that_fills_its_segments_is_whole: 131_072, 65_536, 0;
}
