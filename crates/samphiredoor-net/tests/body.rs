//! Bodies read piece by piece.

use std::time::Duration;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use hyper::{HeaderMap, body::Frame};
use samphiredoor_net::{
    Body, BoxError,
    body::{PieceError, next_piece},
};

type Piece = Result<Bytes, BoxError>;

const LONG: Duration = Duration::from_secs(60);

fn piece(text: &'static str) -> Piece {
    Ok(Bytes::from_static(text.as_bytes()))
}

fn cut() -> Piece {
    Err("cut".into())
}

async fn read(mut body: Body, wait: Duration) -> (Vec<Bytes>, Option<PieceError>) {
    let mut pieces = Vec::new();
    loop {
        match next_piece(&mut body, wait).await {
            Ok(Some(piece)) => pieces.push(piece),
            Ok(None) => return (pieces, None),
            Err(err) => return (pieces, Some(err)),
        }
    }
}

macro_rules! ends {
    ($($name:ident: $body:expr, $wait:expr => $pieces:expr, $end:expr;)*) => {$(
        #[test]
        fn $name() {
            let runtime = compio::runtime::Runtime::new().expect("a runtime");
            let (pieces, end) = runtime.block_on(read($body, $wait));
            assert_eq!(pieces, $pieces);
            assert_eq!(end, $end);
        }
    )*};
}

ends! {
    a_whole_body_is_read_to_its_end:
        Body::stream(stream::iter([piece("a"), piece("b")])), LONG => ["a", "b"], None;
    a_cut_body_is_not_taken_for_a_whole_one:
        Body::stream(stream::iter([piece("a"), cut()])), LONG => ["a"], Some(PieceError::Cut);
    a_silent_body_is_not_waited_for_for_ever:
        Body::stream(stream::iter([piece("a")]).chain(stream::pending())), Duration::from_millis(1)
        => ["a"], Some(PieceError::TimedOut);
    a_piece_that_has_arrived_is_not_lost_at_the_deadline:
        Body::stream(stream::iter([piece("a"), piece("b")])), Duration::ZERO => ["a", "b"], None;
    trailers_are_no_piece: with_trailers(), LONG => ["a"], None;
}

fn with_trailers() -> Body {
    let frames = [
        Ok::<_, BoxError>(Frame::data(Bytes::from_static(b"a"))),
        Ok(Frame::trailers(HeaderMap::new())),
    ];
    Body::boxed(http_body_util::StreamBody::new(stream::iter(frames)))
}
